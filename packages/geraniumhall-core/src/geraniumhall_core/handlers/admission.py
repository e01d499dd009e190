"""Admission: authenticates, rate-limits and queues arriving requests."""

from collections.abc import Iterator

from geraniumhall_core.catalogue import CatalogueEntry, ServiceClass
from geraniumhall_core.effects import CloseExchange, RefuseRequest
from geraniumhall_core.events import (
    CallerDisconnected,
    RequestAbandoned,
    RequestArrived,
)
from geraniumhall_core.handlers.attempts import (
    end_request,
    enqueue_request,
    refuse_unpaid,
)
from geraniumhall_core.handlers.borrowing import (
    can_borrow,
    cancel_borrowing,
    start_borrowing,
)
from geraniumhall_core.handlers.limits import compute_cost, refund_cost, spend_tokens
from geraniumhall_core.handlers.part_records import claim_trial
from geraniumhall_core.handlers.quarantine import describe_hold, find_held_part
from geraniumhall_core.handlers.reducer import REDUCER
from geraniumhall_core.handlers.request_logs import (
    log_abandoned,
    log_refusal,
    log_unadmitted,
)
from geraniumhall_core.keys import Credential
from geraniumhall_core.reducer import Effect
from geraniumhall_core.refusals import (
    CATALOGUE_STALE,
    DRAINING,
    KEY_MISSING,
    KEY_UNKNOWN,
    NOT_PERMITTED,
    OVERLOADED,
    UNKNOWN_MODEL,
    UNKNOWN_ROUTE,
    Refusal,
)
from geraniumhall_core.requests import CallerRequest, ModelTarget, Phase, RequestRecord
from geraniumhall_core.state import DaemonState


@REDUCER.handles(RequestArrived)
def admit_request(state: DaemonState, event: RequestArrived) -> Iterator[Effect]:
    """Admit a request and queue it, or refuse it.

    A request over the rate first tries to borrow tokens from other hosts. One with a
    held part is refused, unless it may be the next that tries the part.
    """
    admitted = _evaluate_request(state, event)
    if isinstance(admitted, Refusal):
        yield from _refuse_arrival(state, event, admitted)
        return
    part = find_held_part(state, admitted)
    if part is None:
        yield from _admit_arrival(state, event, admitted)
        return
    claim = claim_trial(state, admitted, part, event.at)
    if claim is None:
        yield from _refuse_arrival(state, event, describe_hold(state, part, event.at))
        return
    admitted.phase = Phase.CLAIMING
    state.requests[event.request.request_id] = admitted
    state.counters["requests.accepted"] += 1
    yield claim


def admit_record(
    state: DaemonState, record: RequestRecord, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    """Queue an accepted request that its rate covers, or let it borrow."""
    refusal = spend_tokens(state, record.workspace, record.cost, now)
    if refusal is None:
        yield from enqueue_request(state, record, now, draws)
    elif can_borrow(state, record.workspace, now):
        yield from start_borrowing(state, record, now)
    else:
        yield from refuse_unpaid(state, record, refusal)


def _admit_arrival(
    state: DaemonState, event: RequestArrived, admitted: RequestRecord
) -> Iterator[Effect]:
    refusal = spend_tokens(state, admitted.workspace, admitted.cost, event.at)
    if refusal is not None and not can_borrow(state, admitted.workspace, event.at):
        yield from _refuse_arrival(state, event, refusal)
        return
    state.requests[event.request.request_id] = admitted
    state.counters["requests.accepted"] += 1
    if refusal is not None:
        yield from start_borrowing(state, admitted, event.at)
    else:
        yield from enqueue_request(state, admitted, event.at, event.draws)


@REDUCER.handles(RequestAbandoned)
def drop_request(state: DaemonState, event: RequestAbandoned) -> Iterator[Effect]:
    """Count a request that nobody waits for; nothing is taken from any limit."""
    state.counters["requests.abandoned"] += 1
    state.counters["requests.abandoned_unsent"] += 1
    yield log_unadmitted(event)


@REDUCER.handles(CallerDisconnected)
def abandon_request(state: DaemonState, event: CallerDisconnected) -> Iterator[Effect]:
    """Drop a request whose caller disconnected before its first attempt."""
    record = state.requests.get(event.request_id)
    if record is None or record.phase in (Phase.PREFILL, Phase.RUNNING):
        return
    if record.phase is Phase.BORROWING:
        cancel_borrowing(state, record)
    elif record.phase is Phase.QUEUED:
        queue = state.get_queue(record.entry)
        queue.remove_waiting(record.workspace, event.request_id)
        refund_cost(state, record)
    elif record.phase in (Phase.ASKING, Phase.HELD):
        refund_cost(state, record)
    state.counters["requests.abandoned"] += 1
    state.counters["requests.abandoned_unsent"] += not record.attempts
    end_request(state, record)
    yield log_abandoned(record, event.at)
    yield CloseExchange(request_id=event.request_id)


def _evaluate_request(
    state: DaemonState, event: RequestArrived
) -> RequestRecord | Refusal:
    request = event.request
    if state.drain.stopped_listening:
        return DRAINING
    if not state.has_catalogue:
        return CATALOGUE_STALE.with_retry_after(state.policy.watch_wait)
    name = _find_entry(state, request)
    entry = state.catalogue.entries.get(name) if name else None
    if name is None or entry is None:
        return _refuse_unknown(request)
    workspace = _identify_workspace(state, entry, request.credential, event.at)
    if isinstance(workspace, Refusal):
        return workspace
    if state.get_queue(name).is_full(entry.limits):
        return OVERLOADED
    limits = state.catalogue.workspaces.get(workspace)
    return RequestRecord(
        request=request,
        entry=name,
        workspace=workspace,
        repeatable=entry.repeatable,
        max_attempts=entry.max_attempts,
        arrived_at=event.at - event.age,
        deadline=event.at - event.age + _choose_timeout(entry, request),
        cost=compute_cost(limits, request),
        service=choose_service(name, entry, event.draws[0]),
        priority=_choose_priority(state, entry, workspace),
    )


def _find_entry(state: DaemonState, request: CallerRequest) -> str | None:
    if isinstance(request.target, ModelTarget):
        entry = state.catalogue.entries.get(request.target.model)
        is_model = entry is not None and entry.service_class is ServiceClass.MODEL
        return request.target.model if is_model else None
    target = request.target
    return state.catalogue.find_entry_by_path(target.host, target.path)


def _refuse_unknown(request: CallerRequest) -> Refusal:
    target = request.shorten().target
    if isinstance(target, ModelTarget):
        return UNKNOWN_MODEL.with_reason(
            f"no catalogue entry has the model {target.model!r}"
        )
    return UNKNOWN_ROUTE.with_reason(f"no catalogue entry has the path {target.path!r}")


def _identify_workspace(
    state: DaemonState, entry: CatalogueEntry, credential: Credential | None, now: float
) -> str | Refusal:
    """Return the workspace that the request counts against, or a refusal.

    Requests to an open entry count against its owner. They are served even
    with a stale catalogue, because there is no key that could have been
    revoked since.
    """
    if entry.open_to_all:
        return entry.owner
    if credential is None:
        return KEY_MISSING
    if state.compute_catalogue_age(now) > state.policy.stale_after:
        return CATALOGUE_STALE.with_retry_after(state.policy.watch_wait)
    key = state.catalogue.keys.get(credential.key_id)
    if key is None or not key.accepts(credential):
        return KEY_UNKNOWN
    return key.workspace if entry.permits(key.workspace) else NOT_PERMITTED


def _choose_timeout(entry: CatalogueEntry, request: CallerRequest) -> float:
    if request.timeout is None:
        return entry.limits.deadline
    return min(entry.limits.deadline, request.timeout)


def choose_service(name: str, entry: CatalogueEntry, draw: float) -> str:
    """Pick one of the entry's services at random, in proportion to the weights."""
    if not entry.services:
        return name
    remaining = draw * sum(item.weight for item in entry.services)
    for item in entry.services:
        remaining -= item.weight
        if remaining < 0:
            return item.service
    return entry.services[-1].service


def _choose_priority(state: DaemonState, entry: CatalogueEntry, workspace: str) -> int:
    known = state.catalogue.workspaces.get(workspace)
    if known is not None and known.priority is not None:
        return known.priority
    return entry.priority


def _refuse_arrival(
    state: DaemonState, event: RequestArrived, refusal: Refusal
) -> Iterator[Effect]:
    state.counters[f"requests.refused.{refusal.code}"] += 1
    yield log_refusal(state, event, refusal)
    yield RefuseRequest(request_id=event.request.request_id, refusal=refusal)
