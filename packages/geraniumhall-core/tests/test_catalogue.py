"""Tests of the host's copy of the catalogue."""

import unittest

from builders import (
    build_answer,
    build_listing,
    build_records,
    build_server,
    build_state,
    reduce,
)
from hypothesis import given, seed
from hypothesis import strategies as st

from geraniumhall_core.catalogue import Catalogue, apply_changes, apply_listing
from geraniumhall_core.effects import CallPlatform
from geraniumhall_core.platform import (
    Changes,
    HistoryGone,
    ListObjects,
    PlatformFailure,
    WatchObjects,
)
from geraniumhall_core.purposes import SyncCatalogue
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.verdict import Verdict

KEY = ObjectKey("key", "k1")


class ForwardOnlyTest(unittest.TestCase):
    """An accepted configuration never reverts."""

    def test_older_change_is_ignored(self) -> None:
        """A change below the known version is not applied."""
        catalogue = Catalogue()
        apply_changes(catalogue, 9, [VersionedRecord(KEY, 9, DELETED)])
        apply_changes(catalogue, 5, [VersionedRecord(KEY, 5, "old")])
        self.assertEqual((catalogue.keys, catalogue.revision), ({}, 9))

    def test_old_listing_deletes_nothing_newer(self) -> None:
        """A listing from before a record was made does not remove it."""
        catalogue = Catalogue()
        apply_changes(catalogue, 9, [VersionedRecord(KEY, 9, "new")])
        apply_listing(catalogue, 5, [])
        self.assertEqual(catalogue.keys, {"k1": "new"})

    def test_listing_deletes_what_it_lacks(self) -> None:
        """A newer listing removes records that were deleted meanwhile."""
        catalogue = Catalogue()
        apply_changes(catalogue, 9, [VersionedRecord(KEY, 9, "new")])
        apply_listing(catalogue, 12, [])
        self.assertEqual(catalogue.keys, {})

    @seed(20261204)
    @given(st.permutations(range(1, 9)))
    def test_any_order_ends_at_the_newest(self, order: list[int]) -> None:
        """Changes in any order leave the newest version in force."""
        catalogue = Catalogue()
        for version in order:
            apply_changes(catalogue, version, [VersionedRecord(KEY, version, version)])
        self.assertEqual(catalogue.keys, {"k1": 8})


class SyncTest(unittest.TestCase):
    """The copy is kept current by one watch at a time."""

    def answer(self, answer: object) -> CallPlatform:
        """Return what follows an answer to the watch."""
        event = build_answer(SyncCatalogue(), answer)
        effects = reduce(build_state(), event)
        return next(e for e in effects if isinstance(e, CallPlatform))

    def test_watch_continues_after_the_revision(self) -> None:
        """The next watch asks for what comes after the answer."""
        message = self.answer(Changes(120, ())).message
        self.assertIsInstance(message, WatchObjects)
        self.assertEqual(message.after, 120)

    def test_failure_backs_off(self) -> None:
        """A failed watch is repeated after a delay."""
        call = self.answer(PlatformFailure("down", Verdict.NOT_RUN))
        self.assertGreater(call.delay, 0.0)

    def test_lost_history_lists_again(self) -> None:
        """A platform that forgot the history is asked for everything."""
        self.assertIsInstance(self.answer(HistoryGone(500)).message, ListObjects)

    def test_failure_confirms_nothing(self) -> None:
        """Only an answer makes the copy fresh."""
        state = build_state()
        failure = PlatformFailure("down", Verdict.NOT_RUN)
        reduce(state, build_answer(SyncCatalogue(), failure, at=4.0))
        self.assertEqual(state.catalogue.confirmed_at, 1.0)

    def test_leaving_server_gets_no_new_work(self) -> None:
        """A server marked as leaving is no candidate any more."""
        state = build_state()
        key = ObjectKey("server", "e1")
        change = VersionedRecord(key, 101, build_server("draft", leaving=True))
        reduce(state, build_answer(SyncCatalogue(), Changes(101, (change,))))
        self.assertEqual(state.catalogue.servers_by_entry["draft"], ("e2",))

    def test_listing_builds_the_index(self) -> None:
        """Entries know their servers after a listing."""
        catalogue = Catalogue()
        listing = build_listing(build_records())
        apply_listing(catalogue, listing.revision, listing.objects)
        self.assertEqual(catalogue.servers_by_entry["filing"], ("s1", "s2"))
