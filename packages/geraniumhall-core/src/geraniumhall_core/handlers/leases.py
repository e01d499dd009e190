"""Takes, renews and gives up leases."""

from collections.abc import Iterator

from geraniumhall_core.effects import CallPlatform, LogField, WriteLog
from geraniumhall_core.events import PlatformAnswered
from geraniumhall_core.handlers.membership_view import rank_self
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.leases import Lease, LeaseState
from geraniumhall_core.platform import (
    Conflict,
    GetObject,
    ObjectFound,
    ObjectMissing,
    PutObject,
    Written,
)
from geraniumhall_core.purposes import GiveUpLease, TendLease
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.reducer import Effect
from geraniumhall_core.state import DaemonState

USAGE_LEASE = "usage"
HOSTS_LEASE = "hosts"
CANDIDATES = 2
CALL_FRACTION = 1 / 3


def find_term(state: DaemonState, name: str, now: float) -> int | None:
    """Return the term under which this daemon holds a lease now, or None."""
    lease = state.leases.get(name)
    if lease is None or now >= lease.held_until - state.policy.lease_margin:
        return None
    return lease.term


def tend_leases(state: DaemonState, now: float) -> Iterator[Effect]:
    """Renew what is held, and look after what may be taken."""
    if state.is_draining or not state.catalogue.revision:
        return
    for name in _list_lease_names(state):
        lease = state.leases.setdefault(name, LeaseState())
        if not lease.is_calling and now >= lease.next_call_at:
            lease.next_call_at = now + state.policy.lease_ttl * CALL_FRACTION
            yield from _tend_lease(state, name, lease, now)


def give_up_leases(state: DaemonState, now: float) -> Iterator[Effect]:
    """Write that the leases held are free, at a planned stop.

    The record stays, so that its term goes on rising.
    """
    for name, lease in state.leases.items():
        if find_term(state, name, now) is not None:
            lease.release()
            free = Lease(host="", incarnation=0, term=lease.term, renewal=0)
            message = PutObject(_name_lease(name), free, lease.version)
            yield CallPlatform(purpose=GiveUpLease(), message=message)


def name_order_lease(failure_domain: str) -> str:
    """Return the lease for orders to the servers of a failure domain."""
    return f"orders.{failure_domain}"


@ANSWER_HANDLERS.register(TendLease)
def receive_lease(
    state: DaemonState, event: PlatformAnswered, purpose: TendLease
) -> Iterator[Effect]:
    """Hold a lease whose write took effect; take one whose time is over."""
    lease = state.leases[purpose.name]
    lease.is_calling = False
    answer = event.answer
    if isinstance(answer, Written) and purpose.written is not None:
        yield from _hold(state, purpose.name, lease, answer.version, purpose.written)
    elif isinstance(answer, Conflict):
        lease.release()
        lease.observe(answer.current, event.at)
    elif isinstance(answer, ObjectMissing):
        lease.observe(None, event.at)
        lease.is_calling = True
        yield _write_lease(state, purpose.name, lease, lease.term + 1, event.at)
    elif isinstance(answer, ObjectFound):
        lease.observe(answer.object, event.at)
        yield from _judge_found(state, purpose.name, lease, event.at)


@ANSWER_HANDLERS.register(GiveUpLease)
def note_given_up(
    state: DaemonState, event: PlatformAnswered, purpose: GiveUpLease
) -> Iterator[Effect]:
    """Go on with the planned stop; a lease that stays runs out by itself."""
    state.drain.pending_calls -= 1
    yield from ()


def _list_lease_names(state: DaemonState) -> list[str]:
    servers = state.catalogue.servers
    domains = {
        servers[name].failure_domain
        for name in state.catalogue.wishes
        if name in servers
    }
    domains |= {wish.failure_domain for wish in state.catalogue.capacities.values()}
    fixed = [USAGE_LEASE, HOSTS_LEASE]
    return [*fixed, *(name_order_lease(domain) for domain in sorted(domains))]


def _tend_lease(
    state: DaemonState, name: str, lease: LeaseState, now: float
) -> Iterator[Effect]:
    if find_term(state, name, now) is not None:
        lease.is_calling = True
        yield _write_lease(state, name, lease, lease.term, now)
    elif rank_self(state, name, now) < CANDIDATES:
        lease.is_calling = True
        message = GetObject(_name_lease(name))
        yield CallPlatform(purpose=TendLease(name), message=message)


def _judge_found(
    state: DaemonState, name: str, lease: LeaseState, now: float
) -> Iterator[Effect]:
    record = lease.record
    assert record is not None
    policy = state.policy
    if (record.host, record.incarnation) == (policy.host, policy.incarnation):
        yield from _hold(state, name, lease, lease.version, record)
        is_free = find_term(state, name, now) is None
    else:
        waited = now - lease.first_seen_at
        is_free = not record.host or waited >= policy.lease_ttl + policy.lease_margin
    if is_free:
        lease.is_calling = True
        yield _write_lease(state, name, lease, record.term + 1, now)


def _hold(
    state: DaemonState, name: str, lease: LeaseState, version: int, record: Lease
) -> Iterator[Effect]:
    is_new = lease.term != record.term
    lease.hold(version, record, state.policy.lease_ttl)
    if is_new:
        fields = (LogField("lease", name), LogField("term", record.term))
        yield WriteLog(level="info", event="lease_taken", fields=fields)


def _write_lease(
    state: DaemonState, name: str, lease: LeaseState, term: int, now: float
) -> CallPlatform:
    record = Lease(
        host=state.policy.host,
        incarnation=state.policy.incarnation,
        term=term,
        renewal=lease.start_write(now),
    )
    message = PutObject(_name_lease(name), record, lease.version)
    return CallPlatform(purpose=TendLease(name, record), message=message)


def _name_lease(name: str) -> ObjectKey:
    return ObjectKey("lease", name)
