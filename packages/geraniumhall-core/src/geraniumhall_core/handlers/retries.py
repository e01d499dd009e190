"""Decides whether an attempt that failed is repeated on another backend server."""

from geraniumhall_core.handlers.placement import has_alternative
from geraniumhall_core.requests import AttemptOutcome, RequestRecord
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict

SERVER_FAULT_OUTCOMES = frozenset(
    {
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.MISDIRECTED,
        AttemptOutcome.BROKEN,
        AttemptOutcome.SERVER_ERROR,
    }
)
MAX_UNSENT = 4  # attempts of a request that reach no server
RETRYABLE_OUTCOMES = SERVER_FAULT_OUTCOMES | {AttemptOutcome.BUSY}


def may_retry(
    state: DaemonState, record: RequestRecord, outcome: AttemptOutcome, now: float
) -> bool:
    """Return whether a failed attempt may be repeated, and spend the retry budget.

    An attempt that could not connect reached no server, so its repeat takes its place
    in the budget, which bounds arrivals.
    """
    is_unsent = outcome is AttemptOutcome.CONNECT_FAILED
    record.unsent += is_unsent
    if outcome not in RETRYABLE_OUTCOMES or record.response_started:
        return False
    if not record.repeatable and record.verdict is not Verdict.NOT_RUN:
        return False
    if not _has_attempts_left(state, record, 0) or record.deadline <= now:
        return False
    if not has_alternative(state, record, now):
        return False
    if is_unsent:
        return record.unsent < MAX_UNSENT
    return state.get_retry_budget(record.service).try_spend()


def can_retry_error(state: DaemonState, record: RequestRecord, now: float) -> bool:
    """Return whether an error response could be retried instead of passed on."""
    if not record.repeatable or not _has_attempts_left(state, record, 1):
        return False
    budget = state.get_retry_budget(record.service)
    return budget.can_spend() and has_alternative(state, record, now)


def _has_attempts_left(state: DaemonState, record: RequestRecord, planned: int) -> bool:
    """Return whether one more attempt may run after `planned` further ones.

    The bound is the entry's on admission or now, whichever is lower: a newer version
    may have raised or removed it.
    """
    entry = state.catalogue.entries.get(record.entry)
    bounds = (record.max_attempts, entry.max_attempts if entry else None)
    allowed = min((bound for bound in bounds if bound), default=None)
    return record.runs + planned < (allowed or state.policy.max_attempts)
