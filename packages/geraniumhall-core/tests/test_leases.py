"""Tests of a candidate's view of the control lease."""

import unittest

from geraniumhall_core.leases import Lease, LeaseState
from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.revisions import Revision

TTL = 9.0
KEY = ObjectKey("lease", "usage")


def build_lease(renewal: int) -> Lease:
    """Return a lease held by host h1."""
    return Lease(host="h1", incarnation=1, term=1, renewal=renewal)


class LeaseStateTest(unittest.TestCase):
    """The TTL of a lease counts from when its own write was sent."""

    def test_lease_runs_from_sending(self) -> None:
        """The TTL counts from sending the write, not from its answer."""
        state = LeaseState()
        renewal = state.start_write(100.0)
        state.confirm_write(Revision(number=5), build_lease(renewal), TTL)
        self.assertEqual(state.held_until, 109.0)

    def test_older_write_runs_from_its_own_sending(self) -> None:
        """A later write that did not take effect does not extend the lease."""
        state = LeaseState()
        first = state.start_write(100.0)
        state.start_write(103.0)
        state.confirm_write(Revision(number=5), build_lease(first), TTL)
        self.assertEqual(state.held_until, 109.0)

    def test_write_of_another_process_holds_nothing(self) -> None:
        """A lease written by an earlier process on the host is not held."""
        state = LeaseState()
        state.confirm_write(Revision(number=5), build_lease(7), TTL)
        self.assertEqual(state.held_until, float("-inf"))

    def test_same_version_does_not_restart_the_wait(self) -> None:
        """Reading the same version again does not restart the wait for takeover."""
        state = LeaseState()
        state.observe(VersionedRecord(KEY, Revision(number=5), build_lease(1)), 100.0)
        state.observe(VersionedRecord(KEY, Revision(number=5), build_lease(1)), 107.0)
        self.assertEqual(state.first_seen_at, 100.0)

    def test_new_version_restarts_the_wait(self) -> None:
        """A renewal restarts the wait for takeover."""
        state = LeaseState()
        state.observe(VersionedRecord(KEY, Revision(number=5), build_lease(1)), 100.0)
        state.observe(VersionedRecord(KEY, Revision(number=6), build_lease(2)), 107.0)
        self.assertEqual(state.first_seen_at, 107.0)
