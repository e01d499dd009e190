"""What follows from the members that a daemon knows."""

from heapq import nsmallest

from xxhash import xxh64_intdigest

from geraniumhall_core.peering import KnownMember
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.state import DaemonState

MEMBERS_HEARD_IN_TIME = 40


def is_live(state: DaemonState, known: KnownMember, now: float) -> bool:
    """Tell whether a member was heard lately and is not leaving.

    Pulls have a bounded size, so a member of a large fleet is heard less often
    and is suspected later.
    """
    if known.member.leaving:
        return False
    return now - known.heard_at <= _find_patience(state)


def is_watcher(state: DaemonState, now: float) -> bool:
    """Tell whether this daemon watches the platform for its failure domain.

    The first live daemons of the domain by name are its watchers. Daemons
    that see different members may disagree, which costs platform calls only.
    """
    before = [host for host in list_watchers(state, now) if host < state.policy.host]
    return len(before) < state.policy.watchers_per_domain


def list_watchers(state: DaemonState, now: float) -> list[str]:
    """Return the other daemons that should watch for this failure domain."""
    policy = state.policy
    near = [
        host
        for host, known in state.membership.known.items()
        if known.member.failure_domain == policy.failure_domain
        and is_live(state, known, now)
    ]
    return nsmallest(policy.watchers_per_domain, near)


def rank_self(state: DaemonState, lease: str, now: float) -> int:
    """Return how many live daemons come before this one for a lease.

    Rendezvous hashing spreads the leases over the daemons.
    """
    own = _score_host(state.policy.host, lease)
    return sum(
        _score_host(host, lease) > own and is_live(state, known, now)
        for host, known in state.membership.known.items()
    )


def list_peer_addresses(state: DaemonState) -> dict[str, str]:
    """Return the peer address of every other daemon by host."""
    records = state.catalogue.hosts
    addresses = {host: record.address for host, record in records.items()}
    for host, known in state.membership.known.items():
        record = records.get(host)
        if record is None or record.incarnation <= known.member.incarnation:
            addresses[host] = known.member.address
    addresses.pop(state.policy.host, None)
    return addresses


def _find_patience(state: DaemonState) -> float:
    """Return for how many seconds a member may go unheard."""
    members = max(len(state.membership.known), len(state.catalogue.hosts))
    return state.policy.suspect_after * max(1.0, members / MEMBERS_HEARD_IN_TIME)


def _score_host(host: str, lease: str) -> int:
    return xxh64_intdigest(f"{lease}/{host}")


def has_joined(state: DaemonState) -> bool:
    """Tell whether every other daemon knows of this one.

    Those that registered later found this one's record; the earlier ones must
    have answered a pull. A daemon alone, without a listener for peers, has
    nobody to join.
    """
    peering = state.peering
    if not peering.address:
        return True
    if not peering.record_version:
        return False
    if state.catalogue.revision < peering.record_version:
        return False
    return not list_unjoined_hosts(state)


def list_unjoined_hosts(state: DaemonState) -> list[str]:
    """Return the hosts that registered earlier and did not answer since."""
    versions = state.catalogue.versions
    return [
        host
        for host in list_unheard_hosts(state, state.peering.registered_at)
        if versions.get(ObjectKey("host", host), 0) < state.peering.record_version
    ]


def list_unheard_hosts(state: DaemonState, bound: float) -> list[str]:
    """Return the other hosts that were not heard at or after `bound`."""
    known = state.membership.known
    return [
        host
        for host in list_peer_addresses(state)
        if host not in known or known[host].heard_at < bound
    ]


def describe_condition(state: DaemonState, host: str, now: float) -> str:
    """Return live, suspected, leaving or unknown for another daemon."""
    known = state.membership.known.get(host)
    if known is None:
        return "unknown"
    if known.member.leaving:
        return "leaving"
    return "live" if is_live(state, known, now) else "suspected"
