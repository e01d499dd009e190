"""Acquires, renews and releases the control lease."""

from collections.abc import Iterator

from xxhash import xxh64_intdigest

from geraniumhall_core.effects import CallPlatform, LogField, WriteLog
from geraniumhall_core.events import PlatformAnswered
from geraniumhall_core.handlers.eras import ERA_HANDLERS
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.leases import Lease
from geraniumhall_core.platform import (
    Conflict,
    GetObject,
    ObjectFound,
    ObjectMissing,
    PlatformAnswer,
    PutObject,
    Written,
)
from geraniumhall_core.purposes import LEASE_KEY, MaintainLease, ReleaseLease
from geraniumhall_core.records import DELETED, VersionedRecord
from geraniumhall_core.reducer import Effect
from geraniumhall_core.revisions import Revision
from geraniumhall_core.state import DaemonState

MAX_CANDIDATES = 2
# Covers a duty call that a killed holder sent at the end of its lease and whose
# packets were lost and sent again.
UNCHECKED_SETTLE_SECONDS = 1.0
CALL_INTERVAL_FRACTION = 1 / 3  # of the lease's TTL


def find_held_term(state: DaemonState, now: float) -> int | None:
    """Return the term of the lease if this daemon holds it now, else None."""
    if now >= compute_authority_end(state):
        return None
    return state.lease.term


def find_duty_term(state: DaemonState, now: float) -> int | None:
    """Return the term under which duty calls may be started now, else None.

    A draining host starts none, since it releases the lease as soon as all of them
    are answered. A platform that does not check fencing tokens accepts calls in
    any order, so there a new holder first waits until a call of the holder before
    it can't arrive any more.
    """
    if state.is_draining:
        return None
    if not state.policy.checks_fencing:
        settled_at = state.lease.term_since + UNCHECKED_SETTLE_SECONDS
        if now < settled_at:
            return None
    return find_held_term(state, now)


def compute_authority_end(state: DaemonState) -> float:
    """Return when calls under the held lease expire, in seconds on its clock."""
    return state.lease.held_until - state.policy.lease_margin


def maintain_lease(state: DaemonState, now: float) -> Iterator[Effect]:
    """Renew the lease if it is held, else read it if this host may acquire it."""
    lease = state.lease
    if state.is_draining or not state.has_catalogue:
        return
    if lease.is_calling or now < lease.next_call_at:
        return
    lease.next_call_at = now + state.policy.lease_ttl * CALL_INTERVAL_FRACTION
    if find_held_term(state, now) is not None:
        yield _write_lease(state, lease.term, now)
    elif _is_candidate(state, now) and now >= lease.cooldown_until:
        yield _read_lease(state, not state.confirmation_plan.is_sparing)


def observe_lease(
    state: DaemonState, changes: list[VersionedRecord], now: float
) -> None:
    """Record a lease seen in a feed, unless this host holds it."""
    lease = state.lease
    for item in changes:
        is_newer = item.key == LEASE_KEY and item.version > lease.version
        if (
            is_newer
            and item.record is not DELETED
            and find_held_term(state, now) is None
        ):
            lease.observe(item, now)


@ERA_HANDLERS.register("lease")
def suspend_lease(state: DaemonState, event: PlatformAnswered) -> Iterator[Effect]:
    """Stop acting under a lease of an earlier era of the store.

    Another host may hold one that the store has lost, until its own clock ends it.
    """
    if find_held_term(state, event.at) is not None:
        fields = (LogField("term", state.lease.term), LogField("reason", "new era"))
        yield WriteLog(level="warning", event="lease_lost", fields=fields)
    state.lease.begin_era(state.era.number)


def step_down(state: DaemonState, now: float) -> Iterator[Effect]:
    """Give up the current term after the platform has seen a higher one."""
    if find_held_term(state, now) is not None:
        term = LogField("term", state.lease.term)
        yield WriteLog(level="warning", event="lease_fenced", fields=(term,))
    state.lease.release()
    state.lease.cooldown_until = now + _compute_cooldown(state)


def release_lease(state: DaemonState, now: float) -> Iterator[Effect]:
    """Release the lease when a drain has begun, by writing it without a holder.

    That waits until the calls under the lease are answered, so that those of a
    successor can't overtake them. The record is not deleted, so that the term
    keeps rising.
    """
    lease = state.lease
    is_waiting = lease.is_calling or _awaits_duty_answer(state)
    if not state.is_draining or is_waiting or find_held_term(state, now) is None:
        return
    lease.release()
    lease.is_calling = True
    free = Lease(
        host="", incarnation=0, term=lease.term, renewal=0, era=state.era.number
    )
    message = PutObject(LEASE_KEY, free, lease.version)
    yield CallPlatform(purpose=ReleaseLease(), message=message)


@ANSWER_HANDLERS.register(MaintainLease)
def handle_lease_answer(
    state: DaemonState, event: PlatformAnswered, purpose: MaintainLease
) -> Iterator[Effect]:
    """Hold the lease after a successful write; acquire it if it has expired."""
    lease = state.lease
    lease.is_calling = False
    answer = event.answer
    written = purpose.written
    if not purpose.is_exact:
        yield from _evaluate_old_lease(state, answer, event.at)
    elif isinstance(answer, Written) and written and written.era == state.era.number:
        yield from _mark_held(state, answer.version, written)
    elif isinstance(answer, Conflict):
        yield from _mark_lost(state, event.at)
        lease.observe(answer.current, event.at, answer.era)
    elif isinstance(answer, ObjectMissing):
        lease.observe(None, event.at, answer.era)
        if _has_outwaited(state, state.era.began_at, event.at):
            yield _write_lease(state, lease.compute_next_term(), event.at)
    elif isinstance(answer, ObjectFound):
        lease.observe(answer.object, event.at)
        yield from _evaluate_lease(state, event.at)


@ANSWER_HANDLERS.register(ReleaseLease)
def handle_lease_released(
    state: DaemonState, event: PlatformAnswered, purpose: ReleaseLease
) -> Iterator[Effect]:
    """Continue the drain once the lease was released.

    A failure is ignored, because the lease then expires by itself.
    """
    state.lease.is_calling = False
    yield from ()


def _awaits_duty_answer(state: DaemonState) -> bool:
    """Return whether a duty call, or a call that prepares one, is in flight."""
    is_scaling = any(request.is_calling for request in state.scale_requests.values())
    return is_scaling or state.sealing.is_calling


def _read_lease(state: DaemonState, is_exact: bool) -> CallPlatform:
    state.lease.is_calling = True
    message = GetObject(LEASE_KEY, is_exact)
    return CallPlatform(purpose=MaintainLease(is_exact=is_exact), message=message)


def _evaluate_old_lease(
    state: DaemonState, answer: PlatformAnswer, now: float
) -> Iterator[Effect]:
    """Read the lease exactly if an answer that may be old shows it to be free.

    An old answer renews nothing and never leads to a write by itself.
    """
    lease = state.lease
    if isinstance(answer, ObjectFound):
        if answer.object.version > lease.version or lease.record is None:
            lease.observe(answer.object, now)
        record = lease.record
        if record is not None and _is_free(state, record, now):
            yield _read_lease(state, is_exact=True)
    elif isinstance(answer, ObjectMissing):
        yield _read_lease(state, is_exact=True)


def _evaluate_lease(state: DaemonState, now: float) -> Iterator[Effect]:
    lease = state.lease
    record = lease.record
    assert record is not None
    policy = state.policy
    is_own = (record.host, record.incarnation) == (policy.host, policy.incarnation)
    if is_own and record.era == state.era.number:
        yield from _mark_held(state, lease.version, record)
    if find_held_term(state, now) is None and _is_free(state, record, now):
        yield _write_lease(state, lease.compute_next_term(), now)


def _is_free(state: DaemonState, record: Lease, now: float) -> bool:
    """Return whether no process can hold the lease any more.

    A host runs one daemon at a time. A lease of this host that this process does
    not hold therefore belongs to an earlier process, or has expired. A call of
    an earlier process may still arrive, which only a platform that checks fencing
    tokens rejects.

    A lease that was written in an earlier era of the store tells nothing of its latest
    holder. The longest that one can act counts from when this host learned of the era.
    """
    policy = state.policy
    if record.era != state.era.number:
        since = max(state.lease.first_seen_at, state.era.began_at)
        return _has_outwaited(state, since, now)
    is_released = not record.host
    is_own = (record.host, record.incarnation) == (policy.host, policy.incarnation)
    is_predecessor = record.host == policy.host and policy.checks_fencing
    if is_released or is_own or is_predecessor:
        return True
    return _has_outwaited(state, state.lease.first_seen_at, now)


def _has_outwaited(state: DaemonState, since: float, now: float) -> bool:
    """Return whether a lease that was held until `since` has expired at `now`."""
    return now - since >= state.policy.lease_ttl + state.policy.lease_margin


def _mark_held(
    state: DaemonState, version: Revision, record: Lease
) -> Iterator[Effect]:
    lease = state.lease
    is_new = lease.term != record.term
    lease.confirm_write(version, record, state.policy.lease_ttl)
    if is_new:
        fields = (LogField("term", record.term), LogField("version", version.number))
        yield WriteLog(level="info", event="lease_taken", fields=fields)


def _mark_lost(state: DaemonState, now: float) -> Iterator[Effect]:
    lease = state.lease
    if find_held_term(state, now) is not None:
        term = LogField("term", lease.term)
        yield WriteLog(level="warning", event="lease_lost", fields=(term,))
        lease.cooldown_until = now + _compute_cooldown(state)
    lease.release()


def _compute_cooldown(state: DaemonState) -> float:
    """Return the seconds for which a former holder does not acquire the lease.

    Without a cooldown the lease could bounce between holders within one TTL.
    """
    return state.policy.lease_ttl + state.policy.lease_margin


def _is_candidate(state: DaemonState, now: float) -> bool:
    """Return whether this host tries to acquire the lease.

    The top-ranked hosts do, and so does the last holder, which need not wait
    for the lease to expire.
    """
    record = state.lease.record
    is_last = record is not None and record.host == state.policy.host
    return is_last or _rank_self(state, now) < MAX_CANDIDATES


def _rank_self(state: DaemonState, now: float) -> int:
    """Return how many live hosts rank above this one, by the hash of their names."""
    live = state.list_live_hosts(now)
    own = xxh64_intdigest(state.policy.host)
    return sum(xxh64_intdigest(name) > own for name in live)


def _write_lease(state: DaemonState, term: int, now: float) -> CallPlatform:
    lease = state.lease
    lease.is_calling = True
    record = Lease(
        host=state.policy.host,
        incarnation=state.policy.incarnation,
        term=term,
        renewal=lease.start_write(now),
        era=state.era.number,
    )
    message = PutObject(LEASE_KEY, record, lease.version)
    return CallPlatform(purpose=MaintainLease(record), message=message)
