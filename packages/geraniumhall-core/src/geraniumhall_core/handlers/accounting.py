"""Accounts requests and tokens for usage reports, metrics and fair queueing."""

from geraniumhall_core.events import AttemptEnded
from geraniumhall_core.requests import RequestRecord
from geraniumhall_core.state import DaemonState
from geraniumhall_core.usage import UsageFigures
from geraniumhall_core.verdict import Verdict


def count_request(state: DaemonState, record: RequestRecord, wall_time: float) -> None:
    """Count a request once, in the usage window of `wall_time`."""
    if not record.is_usage_counted:
        record.is_usage_counted = True
        state.usage.add(wall_time, record.workspace, UsageFigures(1))


def count_tokens(
    state: DaemonState, record: RequestRecord, event: AttemptEnded
) -> None:
    """Count the tokens of an attempt that ran or whose response started.

    The prompt tokens estimated at admission were charged when the request was
    dispatched, so only those beyond the estimate are charged here.
    """
    if event.verdict is not Verdict.RAN and not record.response_started:
        return
    count_request(state, record, event.wall_time)
    state.counters["tokens.prompt"] += event.prompt_tokens
    state.counters["tokens.generated"] += event.generated_tokens
    figures = UsageFigures(0, event.prompt_tokens, event.generated_tokens)
    state.usage.add(event.wall_time, record.workspace, figures)
    surplus = event.prompt_tokens - record.request.prompt_tokens
    charge_workspace(state, record, max(0, surplus), event.generated_tokens)


def charge_workspace(
    state: DaemonState, record: RequestRecord, prefill: int, decode: int
) -> None:
    """Charge a workspace for tokens in the fair queue of the request's entry."""
    policy = state.policy
    cost = prefill * policy.prefill_price + decode * policy.decode_price
    workspace = state.catalogue.workspaces.get(record.workspace)
    weight = workspace.weight if workspace else 1.0
    state.get_queue(record.entry).charge(record.workspace, cost, weight)
