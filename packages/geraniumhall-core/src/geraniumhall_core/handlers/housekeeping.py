"""Removes the records of hosts that the platform has not listed for a while."""

from collections.abc import Iterator

from geraniumhall_core.effects import CallPlatform, LogField, WriteLog
from geraniumhall_core.events import PlatformAnswered
from geraniumhall_core.handlers.leases import HOSTS_LEASE, find_term
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.platform import DeleteObject, HostListing, ListHosts, Written
from geraniumhall_core.purposes import ListGone, RemoveHost
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.reducer import Effect
from geraniumhall_core.state import DaemonState

LISTING_INTERVAL_SECONDS = 10.0
GONE_SECONDS = 30.0


def tend_hosts(state: DaemonState, now: float) -> Iterator[Effect]:
    """Ask for the platform's list of hosts, if in charge of it."""
    housekeeping = state.housekeeping
    if find_term(state, HOSTS_LEASE, now) is None:
        housekeeping.missing_since.clear()
    elif not housekeeping.is_calling and now >= housekeeping.next_listing_at:
        housekeeping.is_calling = True
        housekeeping.next_listing_at = now + LISTING_INTERVAL_SECONDS
        yield CallPlatform(purpose=ListGone(), message=ListHosts())


@ANSWER_HANDLERS.register(ListGone)
def find_gone(
    state: DaemonState, event: PlatformAnswered, purpose: ListGone
) -> Iterator[Effect]:
    """Remove hosts that are neither listed nor heard; an empty list says nothing."""
    state.housekeeping.is_calling = False
    answer = event.answer
    if find_term(state, HOSTS_LEASE, event.at) is None:
        return
    if not isinstance(answer, HostListing) or not answer.hosts:
        return
    listed = {host.name for host in answer.hosts}
    missing = state.housekeeping.missing_since
    for host in sorted(state.catalogue.hosts):
        if host in listed or host == state.policy.host:
            missing.pop(host, None)
            continue
        since = missing.setdefault(host, event.at)
        if event.at - since >= GONE_SECONDS and not _is_heard(state, host, since):
            key = ObjectKey("host", host)
            message = DeleteObject(key, state.catalogue.versions[key])
            yield CallPlatform(purpose=RemoveHost(host), message=message)


@ANSWER_HANDLERS.register(RemoveHost)
def note_removed(
    state: DaemonState, event: PlatformAnswered, purpose: RemoveHost
) -> Iterator[Effect]:
    """Log a removal; one that failed is tried again with the next list."""
    if isinstance(event.answer, Written):
        fields = (LogField("member", purpose.host),)
        yield WriteLog(level="info", event="host_removed", fields=fields)


def _is_heard(state: DaemonState, host: str, since: float) -> bool:
    known = state.membership.known.get(host)
    return known is not None and known.heard_at > since
