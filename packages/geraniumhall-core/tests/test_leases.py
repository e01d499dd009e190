"""Tests of a lease as one candidate sees it."""

import unittest

from geraniumhall_core.leases import Lease, LeaseState
from geraniumhall_core.records import ObjectKey, VersionedRecord

TTL = 9.0
KEY = ObjectKey("lease", "usage")


def build_lease(renewal: int) -> Lease:
    """Return a lease of one's own."""
    return Lease(host="h1", incarnation=1, term=1, renewal=renewal)


class LeaseStateTest(unittest.TestCase):
    """A lease's life counts from when its own write was sent."""

    def test_lease_runs_from_sending(self) -> None:
        """The reply's time does not matter."""
        state = LeaseState()
        renewal = state.start_write(100.0)
        state.confirm_write(5, build_lease(renewal), TTL)
        self.assertEqual(state.held_until, 109.0)

    def test_older_write_runs_from_its_own_sending(self) -> None:
        """A later write that did not take effect adds nothing."""
        state = LeaseState()
        first = state.start_write(100.0)
        state.start_write(103.0)
        state.confirm_write(5, build_lease(first), TTL)
        self.assertEqual(state.held_until, 109.0)

    def test_write_of_another_process_holds_nothing(self) -> None:
        """A lease of an earlier process on the host is not one's own."""
        state = LeaseState()
        state.confirm_write(5, build_lease(7), TTL)
        self.assertEqual(state.held_until, float("-inf"))

    def test_same_version_does_not_restart_the_wait(self) -> None:
        """Seeing the same version again does not start the wait anew."""
        state = LeaseState()
        state.observe(VersionedRecord(KEY, 5, build_lease(1)), 100.0)
        state.observe(VersionedRecord(KEY, 5, build_lease(1)), 107.0)
        self.assertEqual(state.first_seen_at, 100.0)

    def test_new_version_restarts_the_wait(self) -> None:
        """A renewal that is seen moves the takeover."""
        state = LeaseState()
        state.observe(VersionedRecord(KEY, 5, build_lease(1)), 100.0)
        state.observe(VersionedRecord(KEY, 6, build_lease(2)), 107.0)
        self.assertEqual(state.first_seen_at, 107.0)
