"""Keeps the host's copy of the catalogue current.

Two daemons in each failure domain watch the platform; the others pull from
their peers and watch only when that does not keep them fresh.
"""

from collections.abc import Iterable, Iterator

from geraniumhall_core.catalogue import CATALOGUE_KINDS, apply_changes, apply_listing
from geraniumhall_core.effects import CallPlatform, LogField, WriteLog
from geraniumhall_core.events import PlatformAnswered
from geraniumhall_core.handlers.membership_view import is_watcher, list_unheard_hosts
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.handlers.shares import find_raise_time, resize_buckets
from geraniumhall_core.platform import (
    Answer,
    Changes,
    GetObject,
    HistoryGone,
    Listing,
    ListObjects,
    Message,
    PlatformFailure,
    WatchObjects,
)
from geraniumhall_core.purposes import RegisterHost, SyncCatalogue
from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.reducer import Effect
from geraniumhall_core.retries import compute_backoff
from geraniumhall_core.state import DaemonState

STALE_FRACTION = 0.8


@ANSWER_HANDLERS.register(SyncCatalogue)
def receive_catalogue(
    state: DaemonState, event: PlatformAnswered, purpose: SyncCatalogue
) -> Iterator[Effect]:
    """Apply what the platform sent and ask for what comes next."""
    state.is_syncing = False
    if not isinstance(event.answer, Listing | Changes):
        yield from _retry_sync(state, event)
        return
    state.platform_failures = 0
    confirm_catalogue(state, event.asked_at)
    yield from _apply_answer(state, event.answer, event.at)
    if should_watch(state, event.at):
        yield start_sync(state)


def start_sync(state: DaemonState, delay: float = 0.0) -> CallPlatform:
    """Return the effect that asks for the catalogue, or for its changes."""
    state.is_syncing = True
    message: Message = ListObjects(CATALOGUE_KINDS)
    if state.catalogue.revision:
        after = state.catalogue.revision
        message = WatchObjects(CATALOGUE_KINDS, after, state.policy.watch_wait)
    return CallPlatform(purpose=SyncCatalogue(), message=message, delay=delay)


def resume_sync(state: DaemonState, now: float) -> Iterator[Effect]:
    """Start to watch if the daemon should and does not."""
    if not state.is_syncing and should_watch(state, now):
        yield start_sync(state)


def should_watch(state: DaemonState, now: float) -> bool:
    """Tell whether this daemon is a watcher, or is not kept fresh by others."""
    age = now - state.catalogue.confirmed_at
    return is_watcher(state, now) or age > state.policy.stale_after * STALE_FRACTION


def confirm_catalogue(state: DaemonState, moment: float) -> None:
    """Note that the copy was the newest at `moment`."""
    confirmed_at = max(state.catalogue.confirmed_at, moment)
    state.catalogue.confirmed_at = confirmed_at


def is_catalogue_fresh(state: DaemonState, now: float) -> bool:
    """Tell whether the copy can be trusted for keys.

    It can if the platform confirmed it within the bound, directly or through
    peers. While the platform is out of reach it also can if every other
    daemon was heard within the bound and none knows of a newer edit: edits
    are made through daemons only, and a daemon takes none before every other
    one has heard of it.
    """
    if not state.catalogue.revision:
        return False
    if now - state.catalogue.confirmed_at <= state.policy.stale_after:
        return True
    bound = now - state.policy.stale_after
    if not state.peering.record_version or list_unheard_hosts(state, bound):
        return False
    members = state.membership.known.values()
    revisions = [known.member.revision for known in members]
    return max(revisions, default=0) <= state.catalogue.revision


def apply_to_state(
    state: DaemonState, revision: int, changes: Iterable[VersionedRecord], now: float
) -> Iterator[Effect]:
    """Apply changes that are complete up to `revision`, and what follows."""
    applied = apply_changes(state.catalogue, revision, changes)
    yield from _follow_changes(state, applied, now)


def apply_listing_to_state(
    state: DaemonState, revision: int, objects: Iterable[VersionedRecord], now: float
) -> Iterator[Effect]:
    """Apply a whole listing taken at `revision`, and what follows."""
    is_first = state.catalogue.revision == 0
    if is_first:
        state.ready_at = find_raise_time(state, now)
    applied = apply_listing(state.catalogue, revision, objects)
    yield from _follow_changes(state, applied, now, is_first)


def _apply_answer(state: DaemonState, answer: Answer, now: float) -> Iterator[Effect]:
    if isinstance(answer, Listing):
        yield from apply_listing_to_state(state, answer.revision, answer.objects, now)
    elif isinstance(answer, Changes):
        yield from apply_to_state(state, answer.revision, answer.changes, now)


def _follow_changes(
    state: DaemonState,
    applied: tuple[ObjectKey, ...],
    now: float,
    is_first: bool = False,
) -> Iterator[Effect]:
    if not applied:
        return
    resize_buckets(state, applied, now, is_first)
    for key in applied:
        if key.kind == "host":
            yield from _follow_host(state, key.name, now)
    newest = max(state.catalogue.versions[key] for key in applied)
    yield WriteLog(
        level="info",
        event="catalogue_applied",
        fields=(LogField("revision", newest), LogField("changes", len(applied))),
    )


def _follow_host(state: DaemonState, host: str, now: float) -> Iterator[Effect]:
    if host == state.policy.host:
        yield from _follow_own_record(state)
    elif host not in state.catalogue.hosts:
        state.membership.known.pop(host, None)
    elif host not in state.membership.known:
        state.peering.next_pull_at = now


def _follow_own_record(state: DaemonState) -> Iterator[Effect]:
    """Register again if this daemon's record was removed or replaced."""
    key = ObjectKey("host", state.policy.host)
    peering = state.peering
    if not peering.record_version or state.is_draining:
        return
    if state.catalogue.versions[key] <= peering.record_version:
        return
    peering.record_version = 0
    yield WriteLog(level="warning", event="host_record_lost")
    if key.name not in state.catalogue.hosts:
        yield CallPlatform(purpose=RegisterHost(), message=GetObject(key))


def _retry_sync(state: DaemonState, event: PlatformAnswered) -> Iterator[Effect]:
    if isinstance(event.answer, HistoryGone):
        state.is_syncing = True
        message = ListObjects(CATALOGUE_KINDS)
        yield CallPlatform(purpose=SyncCatalogue(), message=message)
        return
    if state.platform_failures == 0 and isinstance(event.answer, PlatformFailure):
        reason = LogField("reason", event.answer.reason)
        yield WriteLog(level="warning", event="platform_unreachable", fields=(reason,))
    policy = state.policy
    delay = compute_backoff(
        state.platform_failures,
        policy.reconnect_base,
        policy.reconnect_limit,
        event.draws[0],
    )
    state.platform_failures += 1
    state.counters["platform.failures"] += 1
    if should_watch(state, event.at):
        yield start_sync(state, delay)
