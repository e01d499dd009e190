"""Keeps the host's copy of the platform's objects in sync, feed by feed.

Each feed is listed once and then watched. Every answer confirms the copy as of
the time at which the call was made; a watch that waited in vain confirms it as of
the end of its wait. The feeds update the catalogue, the records of other hosts, the
control lease and the usage seals.
"""

from collections.abc import Generator, Iterator
from math import ceil

from geraniumhall_core.catalogue import (
    CONFIGURATION_KEY,
    CONFIGURATION_KIND,
    EDITABLE_KINDS,
    REGISTERED_SERVER_KIND,
    apply_changes,
    infer_deletions,
)
from geraniumhall_core.effects import CallPlatform, LogField, WriteLog
from geraniumhall_core.eras import find_known, stays_in_force
from geraniumhall_core.events import DaemonStarted, PlatformAnswered
from geraniumhall_core.handlers.access import is_leaving
from geraniumhall_core.handlers.confirmations import (
    READER_PAUSE_SECONDS,
    RECORDS_RETRY_SECONDS,
    choose_relayed_wait,
    compute_records_pause,
    list_due_feeds,
    postpone_feed,
    reads_stale,
    record_answer,
    rest_feed,
)
from geraniumhall_core.handlers.eras import ERA_HANDLERS
from geraniumhall_core.handlers.leases import observe_lease
from geraniumhall_core.handlers.limits import refresh_buckets
from geraniumhall_core.handlers.orders import observe_intents
from geraniumhall_core.handlers.part_records import observe_part, restore_parts
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.handlers.publishing import (
    discard_sealed_usage,
    observe_hosts,
    restore_from_record,
    resume_publishing,
    select_newer_hosts,
)
from geraniumhall_core.handlers.reducer import REDUCER
from geraniumhall_core.handlers.restrictions import ask_for_restrictions
from geraniumhall_core.handlers.unusable_objects import track_unusable
from geraniumhall_core.parts import PART_KIND
from geraniumhall_core.platform import (
    Changes,
    Feed,
    HistoryGone,
    Listing,
    ListObjects,
    PlatformAnswer,
    PlatformFailure,
    PlatformMessage,
    WatchObjects,
)
from geraniumhall_core.purposes import FollowFeed
from geraniumhall_core.records import DELETED, VersionedRecord
from geraniumhall_core.reducer import Effect
from geraniumhall_core.retries import compute_backoff
from geraniumhall_core.state import DaemonState, FeedState

CONFIGURATION_WAIT_FACTOR = 2.0
SERVERS_WAIT_FACTOR = 3.0
WAIT_FACTORS = {
    Feed.CONFIGURATION: CONFIGURATION_WAIT_FACTOR,
    Feed.SERVERS: SERVERS_WAIT_FACTOR,
    Feed.RECORDS: 1.0,
}
SILENT_CALL_SECONDS = 0.5  # a call that takes longer to fail got no answer
RECONFIRM_WAIT_SECONDS = 0.05  # after a failure
SERVERS_PAUSE_SECONDS = 0.5
RECORDS_PER_READ = 20  # on average
RELIST_SPREAD_SECONDS = 0.5
MAX_LOGGED_OBJECTS = 20
KINDS_BY_FEED = {
    Feed.CONFIGURATION: (CONFIGURATION_KIND,),
    Feed.SERVERS: (REGISTERED_SERVER_KIND,),
    Feed.RECORDS: EDITABLE_KINDS,
}


@REDUCER.handles(DaemonStarted)
def start_feeds(state: DaemonState, event: DaemonStarted) -> Iterator[Effect]:
    """Request a listing of every feed."""
    for feed in Feed:
        yield request_feed(state, feed, event.at)


@ANSWER_HANDLERS.register(FollowFeed)
def handle_feed_answer(
    state: DaemonState, event: PlatformAnswered, purpose: FollowFeed
) -> Iterator[Effect]:
    """Apply the answer to a listing or watch, and make the feed's next call."""
    feed = state.feeds[purpose.feed]
    answer = event.answer
    _record_contact(state, event)
    if purpose.series != feed.series:
        return
    if not isinstance(answer, Listing | Changes):
        yield from _handle_feed_failure(state, purpose.feed, feed, event)
        return
    if feed.failures:
        feed.failures = 0
        # The other hosts may be waiting for this host's counts.
        if not state.is_sparing:
            state.publishing.next_call_at = event.at
        yield _log_feed("info", "feed_recovered", purpose.feed)
    is_first = purpose.feed is Feed.RECORDS and not feed.has_synced
    if purpose.feed is Feed.RECORDS and not feed.has_synced:
        restore_from_record(state, answer, event.at)
    record_answer(state, purpose.feed, answer, feed.revision)
    since = feed.confirmed_at
    exact_until = min(feed.exact_until, feed.confirmed_at)
    feed.exact_until = float("inf") if purpose.is_exact else exact_until
    feed.revision = max(feed.revision, answer.revision)
    yield from _apply_answer(state, purpose.feed, answer, event.at, since)
    if not lacks_configuration(state, purpose.feed):
        feed.confirmed_at = max(feed.confirmed_at, _date_answer(event, purpose))
    if purpose.feed is Feed.RECORDS and not is_first:
        state.excuse_silence(feed.confirmed_at - since)
    if is_first:
        yield from ask_for_restrictions(state, event.at, event.draws[0])
    if not state.has_buckets:
        refresh_buckets(state, event.at)
    if rest_feed(state, purpose.feed, event.at):
        return
    pause = _choose_pause(state, purpose.feed, event)
    yield request_feed(state, purpose.feed, event.at, pause)


@ERA_HANDLERS.register("feeds")
def list_feeds_anew(state: DaemonState, event: PlatformAnswered) -> Iterator[Effect]:
    """Request a listing of every feed, and ignore the calls that are under way.

    What was known stays in force meanwhile, with its age running. Hosts learn of an
    era at the same time; the long listings of their records are spread.
    """
    state.deferred.until = max(
        state.deferred.until, event.at + state.policy.lapse_grace
    )
    spread = event.draws[0] * RELIST_SPREAD_SECONDS * state.interval_factor
    for feed, feed_state in state.feeds.items():
        feed_state.series += 1
        feed_state.revision = state.era.absent_version
        state.relay.resting.discard(feed)
        delay = spread if feed is Feed.RECORDS else 0.0
        yield request_feed(state, feed, event.at, delay)


def apply_edit(
    state: DaemonState, change: VersionedRecord, now: float
) -> Iterator[Effect]:
    """Apply an edit that this daemon has just written to the store."""
    yield from _apply_changes(state, [change], now)


def resume_feeds(state: DaemonState, now: float) -> Iterator[Effect]:
    """Read the resting feeds that no reader confirms in time."""
    for feed in list_due_feeds(state, now):
        state.relay.resting.discard(feed)
        yield request_feed(state, feed, now)


def apply_relayed(
    state: DaemonState, feed: Feed, changes: Changes, now: float
) -> Iterator[Effect]:
    """Apply changes that a reader has relayed, as if the store had answered them."""
    feed_state = state.feeds[feed]
    record_answer(state, feed, changes, feed_state.revision)
    feed_state.revision = max(feed_state.revision, changes.revision)
    yield from _apply_answer(state, feed, changes, now, feed_state.confirmed_at)


def apply_deferred_deletions(state: DaemonState, now: float) -> Iterator[Effect]:
    """Remove the servers that did not register again after an outage."""
    deferred = state.deferred
    if deferred.deletions and now >= deferred.apply_at:
        deletions, deferred.deletions = deferred.deletions, []
        yield from _apply_changes(state, deletions, now)


def use_held_back(state: DaemonState, now: float) -> Iterator[Effect]:
    """Use the servers that were gone before a rewind and are still registered.

    The store has removed those that are really gone by then.
    """
    if state.era.held_back and now >= state.era.held_until:
        held, state.era.held_back = state.era.held_back, {}
        yield from _apply_changes(state, list(held.values()), now)


def request_feed(
    state: DaemonState,
    feed: Feed,
    now: float,
    delay: float = 0.0,
    most: float = float("inf"),
) -> CallPlatform:
    """Return the call that reads a feed next; a watch waits for `most` seconds."""
    message: PlatformMessage = ListObjects(feed)
    feed_state, wait, is_exact = state.feeds[feed], 0.0, True
    if feed_state.revision.number:
        wait = min(most, _choose_watch_wait(state, feed, now))
        is_exact = not reads_stale(state, feed, now)
        message = WatchObjects(feed, feed_state.revision, wait, is_exact)
    feed_state.requested_at = now + delay
    purpose = FollowFeed(feed, wait, is_exact, feed_state.series)
    return CallPlatform(purpose=purpose, message=message, delay=delay)


def _date_answer(event: PlatformAnswered, purpose: FollowFeed) -> float:
    """Return the time as of which an answer confirms the copy.

    The store answers a watch without changes only once its wait is over, which is
    not before the wait has passed since the call.
    """
    ended_at = event.called_at + purpose.wait
    is_empty = isinstance(event.answer, Changes) and not event.answer.changes
    return ended_at if is_empty and event.at >= ended_at else event.called_at


def _record_contact(state: DaemonState, event: PlatformAnswered) -> None:
    """Track since when every call that reads a feed has been answered.

    A failure counts only if its call was made at that time or later. After an
    outage in which registrations can have expired, deletions are deferred.

    An outage may have ended before the first answer: while a host is cut off, its
    calls get no answer, and the link may be back since the last of them began.
    """
    if isinstance(event.answer, PlatformFailure):
        _record_failure(state, event)
        if event.called_at >= state.platform_up_since:
            state.platform_up_since = float("inf")
        return
    outage = event.at - state.platform_contact_at
    if event.at < state.platform_up_since:
        state.platform_up_since = event.at
        if outage >= state.policy.min_lapse_outage:
            back_at = event.at
            if state.platform_was_silent:
                back_at = min(back_at, state.platform_down_at + SILENT_CALL_SECONDS)
            state.deferred.until = back_at + state.policy.lapse_grace
    state.platform_contact_at = event.at


def _record_failure(state: DaemonState, event: PlatformAnswered) -> None:
    """Record the newest time at which the platform could not be reached.

    A call that fails soon shows a platform that was down then, and one that fails in
    silence only that the link was cut as it began.
    """
    is_silent = event.at - event.called_at > SILENT_CALL_SECONDS
    down_at = event.called_at if is_silent else event.at
    if down_at >= state.platform_down_at:
        state.platform_down_at = down_at
        state.platform_was_silent = is_silent


def _handle_feed_failure(
    state: DaemonState, feed: Feed, feed_state: FeedState, event: PlatformAnswered
) -> Iterator[Effect]:
    if isinstance(event.answer, HistoryGone):
        feed_state.revision = state.era.absent_version
        yield _log_feed("info", "feed_history_gone", feed)
        yield request_feed(state, feed, event.at)
        return
    if not feed_state.failures:
        yield _log_feed("warning", "feed_lost", feed, _describe_failure(event.answer))
    policy = state.policy
    delay = compute_backoff(
        feed_state.failures,
        policy.reconnect_base,
        policy.reconnect_limit,
        event.draws[0],
    )
    feed_state.failures += 1
    # A call that waited in vain has spaced the attempts out already.
    waited = event.at - event.called_at
    delay = max(policy.reconnect_base, delay - waited)
    if feed is Feed.RECORDS and state.is_sparing:
        delay = max(delay, RECORDS_RETRY_SECONDS)
    if not postpone_feed(state, feed, event.at, delay):
        yield request_feed(state, feed, event.at, delay)


def _apply_answer(
    state: DaemonState, feed: Feed, answer: Listing | Changes, now: float, since: float
) -> Iterator[Effect]:
    """Apply what a feed's answer holds.

    An unusable entry of a server names no server to use. Any other object that turned
    unusable stays as it was.
    """
    yield from track_unusable(state, feed, answer)
    changes = list(answer.objects if isinstance(answer, Listing) else answer.changes)
    unusable = {item.key: item.version for item in answer.unusable if item.key}
    if feed is Feed.SERVERS:
        changes += [VersionedRecord(*item, DELETED) for item in unusable.items()]
    listed = None
    if isinstance(answer, Listing):
        listed = {*unusable, *(item.key for item in changes)}
        kinds = KINDS_BY_FEED[feed]
        changes += infer_deletions(
            state.catalogue, kinds, answer.revision, listed | state.era.kept
        )
    is_new_era = isinstance(answer, Listing) and _begins_era(state, feed, answer)
    if is_new_era:
        changes = yield from _carry_over(state, feed, changes, now)
    if feed is Feed.SERVERS:
        changes = _defer_deletions(state, changes, now)
    if feed is Feed.RECORDS:
        if is_new_era:
            resume_publishing(state, changes, now)
            changes, listed = select_newer_hosts(state, changes), None
        observe_hosts(state, changes, listed, now, since)
        observe_lease(state, changes, now)
        observe_intents(state, changes)
        discard_sealed_usage(state, changes)
    yield from _apply_changes(state, changes, now, is_new_era)
    if feed is Feed.RECORDS and is_new_era:
        restore_parts(state, now)


def _begins_era(state: DaemonState, feed: Feed, listing: Listing) -> bool:
    """Return whether a listing is the first one of an era that this process met."""
    feed_state = state.feeds[feed]
    previous, feed_state.listed_era = feed_state.listed_era, listing.era
    return feed_state.has_synced and listing.era > previous


def lacks_configuration(state: DaemonState, feed: Feed) -> bool:
    """Return whether the store lacks the configuration that is in force here."""
    return feed is Feed.CONFIGURATION and CONFIGURATION_KEY in state.era.kept


def _carry_over(
    state: DaemonState, feed: Feed, changes: list[VersionedRecord], now: float
) -> Generator[Effect, None, list[VersionedRecord]]:
    """Return those of the copy's objects that replace what is known."""
    era, catalogue = state.era, state.catalogue
    kept: list[str] = []
    adopted: list[VersionedRecord] = []
    for found in changes:
        known = None
        if found.key.kind in catalogue.tables:
            known = find_known(catalogue, found.key)
        if known is None or not stays_in_force(known, found, found.key in era.kept):
            adopted.append(found)
            continue
        kept.append(f"{found.key.kind}/{found.key.name}")
        _keep(state, known, found, now)
    yield _log_era_listed(state, feed, kept, len(adopted))
    return adopted


def _keep(
    state: DaemonState, known: VersionedRecord, found: VersionedRecord, now: float
) -> None:
    """Keep what is known, until the object is written in the new era.

    A server that was gone is used again if it is still registered after the silence
    for which the store keeps one.
    """
    era, versions = state.era, state.catalogue.versions
    is_gone_server = found.key.kind == REGISTERED_SERVER_KIND
    if is_gone_server and known.record is DELETED:
        era.held_back[found.key] = found
        era.held_until = now + state.policy.min_lapse_outage + state.policy.lapse_grace
        versions[found.key] = era.absent_version
        return
    era.kept.add(found.key)
    is_absent = found.record is DELETED
    versions[found.key] = era.absent_version if is_absent else found.version


def _defer_deletions(
    state: DaemonState, changes: list[VersionedRecord], now: float
) -> list[VersionedRecord]:
    """Defer deletions of servers after an outage; return the other changes.

    Servers can't renew their registrations while the store is down, so those
    of healthy servers expire. Only a server that was already leaving is
    removed at once. If only this host was disconnected from the platform, a
    deleted server may really be gone, so the grace period counts from the first
    answer on any feed.
    """
    deferred = state.deferred
    if now >= deferred.until:
        return changes
    held = [item for item in changes if _is_deferrable(state, item)]
    if not deferred.deletions:
        deferred.apply_at = deferred.until
    deferred.apply_at = min(deferred.apply_at, deferred.until)
    deferred.deletions += held
    return [item for item in changes if item not in held]


def _is_deferrable(state: DaemonState, item: VersionedRecord) -> bool:
    name = item.key.name
    is_listed = name in state.catalogue.servers
    return item.record is DELETED and is_listed and not is_leaving(state, name)


def _apply_changes(
    state: DaemonState,
    changes: list[VersionedRecord],
    now: float,
    is_copy: bool = False,
) -> Iterator[Effect]:
    """Apply changes to the catalogue, with `is_copy` those of a new era's listing."""
    applied = apply_changes(state.catalogue, changes)
    for key in applied:
        state.era.settle(key)
    for change in changes:
        if change.key.kind == PART_KIND and change.key in applied:
            yield from observe_part(state, change, now, is_copy)
    if not applied:
        return
    newest = max(state.catalogue.versions[key] for key in applied)
    yield WriteLog(
        level="info",
        event="catalogue_applied",
        fields=(
            LogField("era", newest.era),
            LogField("revision", newest.number),
            LogField("changes", len(applied)),
            LogField("configuration", _find_configuration_version(state)),
            LogField("servers", len(state.catalogue.servers)),
        ),
    )


def _choose_watch_wait(state: DaemonState, feed: Feed, now: float) -> float:
    """Return for how many seconds the platform may hold a watch open.

    Keys and limits have to be confirmed regularly, and at once after a failure.
    The list of servers does not, so its watch stays open longer and ends only to
    detect a lost connection.
    """
    if state.feeds[feed].failures:
        return RECONFIRM_WAIT_SECONDS
    relayed_wait = choose_relayed_wait(state, feed, now)
    if relayed_wait is not None:
        return relayed_wait
    return state.policy.watch_wait * WAIT_FACTORS[feed]


def _choose_pause(state: DaemonState, feed: Feed, event: PlatformAnswered) -> float:
    """Return the seconds to wait before the feed's next call.

    Host records change all the time, so they are read in batches: often enough to
    keep the host ready, and so that no answer is long, since on a thin link a long
    one delays the streams of callers. Servers often change together; with many hosts,
    pausing saves each host a call for every single change.
    """
    pause = 0.0
    if feed is Feed.SERVERS:
        pause = min(
            (state.interval_factor - 1) * SERVERS_PAUSE_SECONDS,
            state.policy.servers_max_pause,
        )
        if state.confirmation_plan.readers is not None:
            pause = READER_PAUSE_SECONDS
    elif feed is Feed.RECORDS:
        written = state.live_hosts / state.interval_factor
        pause = state.policy.publish_interval / ceil(written / RECORDS_PER_READ)
        if state.is_sparing:
            pause = compute_records_pause(state)
    return max(0.0, event.called_at + pause - event.at)


def _log_era_listed(
    state: DaemonState, feed: Feed, kept: list[str], adopted: int
) -> WriteLog:
    state.counters["eras.kept_objects"] += len(kept)
    fields = (
        LogField("era", state.era.number),
        LogField("feed", feed.value),
        LogField("adopted", adopted),
        LogField("kept", len(kept)),
        LogField("objects", " ".join(sorted(kept)[:MAX_LOGGED_OBJECTS])),
    )
    return WriteLog(level="info", event="store_era_listed", fields=fields)


def _find_configuration_version(state: DaemonState) -> int:
    configuration = state.catalogue.configuration
    return configuration.version if configuration else 0


def _describe_failure(answer: PlatformAnswer) -> str:
    if isinstance(answer, PlatformFailure):
        return answer.reason
    return f"unexpected answer {type(answer).__name__}"


def _log_feed(level: str, event: str, feed: Feed, reason: str = "") -> WriteLog:
    fields = [LogField("feed", feed.value)]
    if reason:
        fields.append(LogField("reason", reason))
    return WriteLog(level=level, event=event, fields=tuple(fields))
