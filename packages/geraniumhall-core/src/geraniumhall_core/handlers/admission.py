"""Decides whether a request is accepted, and queues it."""

from collections.abc import Iterator

from geraniumhall_core.catalogue import CatalogueEntry
from geraniumhall_core.effects import CloseExchange, RefuseRequest
from geraniumhall_core.events import CallerLeft, RequestArrived
from geraniumhall_core.handlers.attempts import end_request
from geraniumhall_core.handlers.borrowing import may_borrow, wait_for_loan
from geraniumhall_core.handlers.catalogue import is_catalogue_fresh
from geraniumhall_core.handlers.progress import proceed_request
from geraniumhall_core.handlers.reducer import REDUCER
from geraniumhall_core.keys import Proof
from geraniumhall_core.reducer import Effect
from geraniumhall_core.refusals import (
    CATALOGUE_STALE,
    DRAINING,
    KEY_MISSING,
    KEY_UNKNOWN,
    NOT_PERMITTED,
    OVERLOADED,
    RATE_EXCEEDED,
    UNKNOWN_MODEL,
    UNKNOWN_ROUTE,
    Refusal,
)
from geraniumhall_core.requests import CallerRequest, ModelTarget, Phase, RequestRecord
from geraniumhall_core.state import DaemonState


@REDUCER.handles(RequestArrived)
def admit_request(state: DaemonState, event: RequestArrived) -> Iterator[Effect]:
    """Accept a request and start its first attempt, or refuse it."""
    admitted = _check_request(state, event)
    if isinstance(admitted, Refusal):
        yield _refuse_arrival(state, event.request, admitted)
        return
    state.requests[event.request.request_id] = admitted
    state.counters["requests.accepted"] += 1
    state.retry_budget.earn()
    if admitted.phase is Phase.BORROWING:
        yield from wait_for_loan(state, admitted, event.at)
    else:
        yield from proceed_request(state, admitted, event.at, event.draws)


@REDUCER.handles(CallerLeft)
def forget_request(state: DaemonState, event: CallerLeft) -> Iterator[Effect]:
    """Drop a request whose caller left before it was sent anywhere."""
    record = state.requests.get(event.request_id)
    if record is None or record.phase is Phase.RUNNING:
        return
    if record.phase is Phase.QUEUED:
        queue = state.find_queue(record.entry)
        queue.remove_waiting(record.workspace, event.request_id)
    state.counters["requests.abandoned"] += 1
    yield from end_request(state, record)
    yield CloseExchange(request_id=event.request_id)


def _check_request(
    state: DaemonState, event: RequestArrived
) -> RequestRecord | Refusal:
    request = event.request
    if state.drain.stopped_listening:
        return DRAINING
    name = _find_entry(state, request)
    entry = state.catalogue.entries.get(name) if name else None
    if name is None or entry is None:
        return _refuse_unknown(request)
    workspace = _identify_workspace(state, entry, request.proof, event.at)
    if isinstance(workspace, Refusal):
        return workspace
    phase = _check_capacity(state, name, entry, workspace, event.at)
    if isinstance(phase, Refusal):
        return phase
    timeout = entry.limits.deadline
    if request.timeout is not None:
        timeout = min(timeout, request.timeout)
    return RequestRecord(
        request=request,
        entry=name,
        workspace=workspace,
        repeatable=entry.repeatable,
        arrived_at=event.at,
        deadline=event.at + timeout,
        phase=phase,
    )


def _find_entry(state: DaemonState, request: CallerRequest) -> str | None:
    if isinstance(request.target, ModelTarget):
        return request.target.model
    return state.catalogue.find_entry_by_path(request.target.path)


def _refuse_unknown(request: CallerRequest) -> Refusal:
    if isinstance(request.target, ModelTarget):
        return UNKNOWN_MODEL.because(
            f"no catalogue entry has the model {request.target.model!r}"
        )
    return UNKNOWN_ROUTE


def _identify_workspace(
    state: DaemonState, entry: CatalogueEntry, proof: Proof | None, now: float
) -> str | Refusal:
    if proof is None and not entry.open_to_all:
        return KEY_MISSING
    if not is_catalogue_fresh(state, now):
        return CATALOGUE_STALE.retry_in(state.policy.watch_wait)
    if proof is None:
        return entry.owner
    key = state.catalogue.keys.get(proof.key_id)
    if key is None or not key.accepts(proof):
        return KEY_UNKNOWN
    return key.workspace if entry.permits(key.workspace) else NOT_PERMITTED


def _check_capacity(
    state: DaemonState, name: str, entry: CatalogueEntry, workspace: str, now: float
) -> Phase | Refusal:
    queue = state.find_queue(name)
    if queue.waiting_count >= entry.limits.max_queued > 0:
        return OVERLOADED
    bucket = state.buckets.get(workspace)
    if bucket is None:
        return RATE_EXCEEDED.because("the workspace has no share on this host")
    if workspace not in state.borrows and bucket.try_spend(1, now):
        return Phase.QUEUED
    if may_borrow(state, workspace, now):
        return Phase.BORROWING
    wait = bucket.seconds_until(1)
    return RATE_EXCEEDED if wait is None else RATE_EXCEEDED.retry_in(wait)


def _refuse_arrival(
    state: DaemonState, request: CallerRequest, refusal: Refusal
) -> Effect:
    state.counters[f"requests.refused.{refusal.code}"] += 1
    return RefuseRequest(request_id=request.request_id, refusal=refusal)
