"""Ends requests that wait or run and can't be served any more."""

from collections.abc import Iterator

from geraniumhall_core.effects import EndAttempt, LogField, WriteLog
from geraniumhall_core.handlers.attempts import (
    place_waiting,
    refuse_accepted,
    refuse_unpaid,
)
from geraniumhall_core.handlers.borrowing import cancel_borrowing
from geraniumhall_core.handlers.quarantine import describe_hold, find_held_part
from geraniumhall_core.reducer import Effect
from geraniumhall_core.refusals import DEADLINE_EXCEEDED, DRAINING
from geraniumhall_core.requests import Phase
from geraniumhall_core.state import DaemonState


def expire_waiting(state: DaemonState, now: float) -> Iterator[Effect]:
    """Refuse queued requests whose deadline has passed."""
    for record in list(state.requests.values()):
        if record.phase is Phase.QUEUED and record.deadline <= now:
            queue = state.get_queue(record.entry)
            queue.remove_waiting(record.workspace, record.request.request_id)
            yield from refuse_accepted(state, record, DEADLINE_EXCEEDED)


def advance_waiting(
    state: DaemonState, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    """Look for room for the requests that wait for it, as other hosts report it."""
    for service in list(state.overload.waiting):
        yield from place_waiting(state, service, now, draws)


def refuse_held(state: DaemonState, now: float) -> Iterator[Effect]:
    """Refuse waiting requests with a part that has been held meanwhile."""
    if not state.quarantine.count_held():
        return
    for record in list(state.requests.values()):
        if record.phase is Phase.QUEUED:
            part = find_held_part(state, record)
            if part is not None:
                queue = state.get_queue(record.entry)
                queue.remove_waiting(record.workspace, record.request.request_id)
                refusal = describe_hold(state, part, now)
                yield from refuse_accepted(state, record, refusal)


def end_requests(state: DaemonState) -> Iterator[Effect]:
    """End all requests of a host that stops: refuse those not sent, end the others.

    A request of which an attempt runs gets the answer to a passed deadline.
    """
    records = list(state.requests.values())
    if records:
        count = LogField("requests", len(records))
        yield WriteLog(level="warning", event="drain_timed_out", fields=(count,))
    for record in records:
        if record.phase in (Phase.PREFILL, Phase.RUNNING):
            reason = "the host is stopping"
            yield EndAttempt(request_id=record.request.request_id, reason=reason)
        elif record.phase in (Phase.BORROWING, Phase.CLAIMING):
            cancel_borrowing(state, record)
            yield from refuse_unpaid(state, record, DRAINING)
        else:
            if record.phase is Phase.QUEUED:
                queue = state.get_queue(record.entry)
                queue.remove_waiting(record.workspace, record.request.request_id)
            yield from refuse_accepted(state, record, DRAINING)
