"""Decides which calls to the store a promise needs, under the confirmation policy.

This answers the load of many hosts that each read all records of all others, write
their own by the clock and confirm every feed by themselves. With readers in the plan, a
few hosts of each failure domain read the store, and the others, the followers, ask
them; see `handlers.copies`.
"""

from math import ceil, floor

from xxhash import xxh32_intdigest, xxh64_intdigest

from geraniumhall_core.copies import ChangeBatch
from geraniumhall_core.handlers.leases import find_held_term
from geraniumhall_core.platform import Changes, Feed, Listing
from geraniumhall_core.revisions import Revision
from geraniumhall_core.state import DaemonState

RECORDS_PER_SPARING_READ = 20  # on average
MAX_RECORDS_PAUSE_SECONDS = 1.0
WRITE_SPREAD_FRACTION = 0.6  # of the interval between writes
WRITE_RETRY_SECONDS = 2.0
RECORDS_RETRY_SECONDS = 2.0
RELAYED_FEEDS = (Feed.CONFIGURATION, Feed.SERVERS)
OWN_READ_FRACTION = 0.8  # of the age at which a host becomes unready
OWN_READ_PAUSES = 2.0  # of the longest pause between reads of the servers
FOLLOWER_WAIT_SECONDS = 0.05
FOLLOWER_RETRY_SECONDS = 1.0
READER_PAUSE_SECONDS = 0.5  # between reads of servers, which change together


def reads_stale(state: DaemonState, feed: Feed, now: float) -> bool:
    """Return whether a feed may be read from a copy of the store that is seconds old.

    The first read is exact, because this host's earlier process may have counted
    usage that only its record holds. The holder of the lease reads exactly too, so
    that usage is sealed in time.
    """
    if feed is not Feed.RECORDS or not state.feeds[feed].has_synced:
        return False
    return state.is_sparing and find_held_term(state, now) is None


def compute_records_pause(state: DaemonState) -> float:
    """Return the seconds between two sparing reads of the records.

    A read has `RECORDS_PER_SPARING_READ` records on average, since on a thin link a
    long answer delays the streams of callers. Hosts that start together find each other
    by it, so it is never long.
    """
    reads = ceil(state.live_hosts / RECORDS_PER_SPARING_READ)
    return min(state.publish_interval / reads, MAX_RECORDS_PAUSE_SECONDS)


def compute_write_delay(state: DaemonState, wall_time: float) -> float:
    """Return the seconds until this host's record is due, in its sparing plan.

    Writes follow the end of a usage window, each host at its own place in a fraction
    of the interval, so that windows are sealed early and hosts don't write at once.
    """
    interval = state.publish_interval
    place = xxh32_intdigest(state.policy.host) / 2**32
    offset = place * interval * WRITE_SPREAD_FRACTION
    due = (floor((wall_time - offset) / interval) + 1) * interval + offset
    return due - wall_time


def is_reader(state: DaemonState, now: float) -> bool:
    """Return whether this host reads the configuration and servers from the store.

    Without readers in the plan every host does, and so does one that others ask.
    """
    plan = state.confirmation_plan
    if plan.readers is None or not state.policy.peer_address:
        return True
    relay = state.relay
    return state.policy.host in relay.readers or now < relay.asked_until


def list_readers(state: DaemonState, now: float) -> tuple[str, ...]:
    """Return the readers of this host's failure domain, best first.

    Rendezvous hashing picks them among the hosts that receive messages and were live
    when this host last read the records. Those
    that gave this host no useful answers are left out for a time, and so is this host
    while it does not reach the store.
    """
    domain = state.policy.failure_domain
    names = [
        name
        for name, known in state.list_claimants(now).items()
        if known.record.failure_domain == domain and known.record.peer_address
        if not known.record.is_leaving
        if now >= state.relay.suspects.get(name, float("-inf"))
    ]
    is_failing = bool(state.feeds[Feed.CONFIGURATION].failures)
    if not state.is_draining and not is_failing:
        names.append(state.policy.host)
    seed = xxh64_intdigest(domain)
    ranked = sorted(names, key=lambda name: xxh64_intdigest(name, seed=seed))
    return tuple(ranked[: state.confirmation_plan.readers])


def rest_feed(state: DaemonState, feed: Feed, now: float) -> bool:
    """Leave a feed unread if readers confirm it; return whether it is left unread."""
    if feed not in RELAYED_FEEDS or is_reader(state, now):
        return False
    state.relay.resting.add(feed)
    state.relay.differing.discard(feed)
    return True


def list_due_feeds(state: DaemonState, now: float) -> list[Feed]:
    """Return the resting feeds that this host has to read from the store now.

    A follower reads once what no reader has proven for a part of the bound, or what no
    reader can relay. While the store fails it tries only the configuration, since the
    servers can't be read either.
    """
    relay = state.relay
    if is_reader(state, now):
        return sorted(relay.resting, key=lambda feed: feed.value)
    is_failing = bool(state.feeds[Feed.CONFIGURATION].failures)
    return [
        feed
        for feed in RELAYED_FEEDS
        if feed in relay.resting
        and now >= relay.retry_at.get(feed, float("-inf"))
        and not (is_failing and feed is Feed.SERVERS)
        and (feed in relay.differing or _is_unproven(state, feed, now))
    ]


def postpone_feed(state: DaemonState, feed: Feed, now: float, delay: float) -> bool:
    """Leave a feed unread after a read that failed; return whether it is left.

    A follower asks its readers meanwhile, so it repeats the read less often.
    """
    if feed not in RELAYED_FEEDS or is_reader(state, now):
        return False
    state.relay.resting.add(feed)
    state.relay.retry_at[feed] = now + max(delay, FOLLOWER_RETRY_SECONDS)
    return True


def choose_relayed_wait(state: DaemonState, feed: Feed, now: float) -> float | None:
    """Return how long a watch of a relayed feed stays open, in seconds.

    A reader's is short, since its age adds to that of its followers' copies, and ends
    before its own copy is too old. A follower's single read waits for nothing. None
    leaves the choice to the feed.
    """
    if state.confirmation_plan.readers is None or feed not in RELAYED_FEEDS:
        return None
    if not is_reader(state, now):
        return FOLLOWER_WAIT_SECONDS
    age = now - state.feeds[feed].confirmed_at
    left = compute_own_read_age(state, feed) - age
    return max(FOLLOWER_WAIT_SECONDS, min(state.policy.watch_wait, left))


def record_answer(
    state: DaemonState, feed: Feed, answer: Listing | Changes, after: Revision
) -> None:
    """Record what an answer has changed, so that it can be relayed.

    Only servers are small enough; of the configuration just the revision is recorded.
    """
    if state.confirmation_plan.readers is None or feed not in RELAYED_FEEDS:
        return
    log = state.relay.get_log(feed)
    until = answer.revision
    if isinstance(answer, Listing) or answer.unusable:
        log.restart(until)
    elif answer.changes:
        if feed is Feed.SERVERS:
            log.add(ChangeBatch(after, until, answer.changes))
        else:
            log.restart(until)


def compute_own_read_age(state: DaemonState, feed: Feed) -> float:
    """Return the age in seconds at which a follower reads a feed itself.

    The configuration has to be confirmed before the host becomes unready. Of the
    servers only changes matter, which have to be known within the drain bound.
    """
    if feed is Feed.SERVERS:
        return state.policy.servers_max_pause * OWN_READ_PAUSES
    return state.policy.unready_after * OWN_READ_FRACTION


def _is_unproven(state: DaemonState, feed: Feed, now: float) -> bool:
    age = now - state.feeds[feed].confirmed_at
    return age > compute_own_read_age(state, feed)
