"""Decides which calls to the store a promise needs, under the confirmation policy.

This answers the load of many hosts that each read all records of all others and
write their own by the clock.
"""

from math import ceil, floor

from xxhash import xxh32_intdigest

from geraniumhall_core.handlers.leases import find_held_term
from geraniumhall_core.platform import Feed
from geraniumhall_core.state import DaemonState

RECORDS_PER_SPARING_READ = 20  # on average
WRITE_SPREAD_FRACTION = 0.6  # of the interval between writes
WRITE_RETRY_SECONDS = 2.0
RECORDS_RETRY_SECONDS = 2.0


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
    long answer delays the streams of callers.
    """
    reads = ceil(state.live_hosts / RECORDS_PER_SPARING_READ)
    return state.publish_interval / reads


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
