"""Tests of which hosts have a share of a workspace's limit."""

import unittest

from builders import (
    apply_feed_answer,
    build_listing,
    build_records,
    build_state,
    reduce,
)

from geraniumhall_core.catalogue import RateUnit, Workspace
from geraniumhall_core.events import Ticked
from geraniumhall_core.hosts import HostRecord
from geraniumhall_core.limits import RateTolerance
from geraniumhall_core.platform import Changes, Feed, Listing
from geraniumhall_core.policy import Policy
from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.revisions import Revision
from geraniumhall_core.state import DaemonState

RATE = 900.0
STARTED_AT = 2.0


def write_record(state: DaemonState, host: str, at: float, **fields: object) -> None:
    """Let a host's record change."""
    version = int(at * 1000)
    record = HostRecord(failure_domain="b", incarnation=1, sequence=version, **fields)
    change = VersionedRecord(ObjectKey("host", host), Revision(number=version), record)
    apply_feed_answer(
        state, Feed.RECORDS, Changes(Revision(number=version), (change,)), at=at
    )


def build_fleet(hosts: int) -> DaemonState:
    """Return the state of one of `hosts` hosts without any demand."""
    state = build_state(rate=RATE)
    for number in range(2, hosts + 1):
        write_record(state, f"h{number}", STARTED_AT)
    return state


def read_rate(state: DaemonState, at: float) -> float:
    """Return this host's share of the rate at a time."""
    reduce(state, Ticked(at=at, wall_time=at, draws=(0.5, 0.5)))
    return state.buckets["audit"].share.rate


class LeavingHostTest(unittest.TestCase):
    """A host that leaves keeps its share until it is silent."""

    # Guards against review/4: two hosts used the share of one that was leaving.
    def test_leaving_host_counts(self) -> None:
        """It admits requests for a while, and its next process has its share."""
        state = build_fleet(3)
        write_record(state, "h3", 3.0, is_leaving=True)
        self.assertAlmostEqual(read_rate(state, 3.3), RATE / 3)

    def test_silent_host_does_not_count(self) -> None:
        """Its share is free once it has written nothing for long."""
        state = build_fleet(3)
        write_record(state, "h3", 3.0, is_leaving=True)
        for second in range(4, 9):
            write_record(state, "h2", float(second))
        self.assertAlmostEqual(read_rate(state, 8.3), RATE / 2)


class OutageTest(unittest.TestCase):
    """A host that can't read the records keeps the hosts that it knew."""

    # Guards against the review's finding: after an outage of the store the shares of
    # all hosts added up to about twice the limit.
    def test_hosts_that_were_not_read_since_count(self) -> None:
        """Only one of eight others has written again when the store is back."""
        state = build_fleet(9)
        write_record(state, "h2", 8.7)
        self.assertAlmostEqual(read_rate(state, 8.8), RATE / 9)

    def test_hosts_count_during_an_outage(self) -> None:
        """However long it lasts, nobody's share grows."""
        self.assertAlmostEqual(read_rate(build_fleet(9), 60.0), RATE / 9)

    def test_host_that_stays_silent_is_dropped(self) -> None:
        """The time since the store is back counts as silence."""
        state = build_fleet(3)
        for second in range(9, 14):
            write_record(state, "h2", second - 0.3)
        self.assertAlmostEqual(read_rate(state, 13.0), RATE / 2)


class RestartTest(unittest.TestCase):
    """A process that starts again has what its predecessor had, and not more."""

    # Guards against review/4: each process of a host used the overdraft once more.
    def test_restart_brings_no_second_overdraft(self) -> None:
        """The buckets that a new process creates first have used their overdraft."""
        tolerance = RateTolerance(window=8.0, ratio=0.1, slack=1000.0)
        policy = Policy(
            host="h1", failure_domain="a", incarnation=2, rate_tolerance=tolerance
        )
        state = DaemonState.from_policy(policy)
        records = build_records()
        records[ObjectKey("workspace", "audit")] = Workspace(
            rate=RATE, burst=100.0, unit=RateUnit.TOKENS
        )
        apply_feed_answer(state, Feed.CONFIGURATION, Listing(Revision(number=100), ()))
        apply_feed_answer(state, Feed.SERVERS, Listing(Revision(number=100), ()))
        apply_feed_answer(state, Feed.RECORDS, build_listing(records))
        bucket = state.buckets["audit"]
        self.assertGreater(bucket.share.overdraft, 0.0)
        self.assertEqual(bucket.tokens, -bucket.share.overdraft)
