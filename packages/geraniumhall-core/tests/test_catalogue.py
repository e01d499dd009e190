"""Tests of a host's copy of the catalogue and its indexes."""

import unittest

from builders import build_listing, build_records, build_server, build_service_entry
from hypothesis import given, seed
from hypothesis import strategies as st

from geraniumhall_core.catalogue import (
    Catalogue,
    Configuration,
    apply_changes,
    infer_deletions,
)
from geraniumhall_core.keys import KeyRecord
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.revisions import Revision

KEY = ObjectKey("key", "k1")


class MonotonicUpdateTest(unittest.TestCase):
    """A copy never goes back to an older version of a record."""

    def test_older_change_is_ignored(self) -> None:
        """A change with a version below the known one is not applied."""
        catalogue = Catalogue()
        apply_changes(catalogue, [VersionedRecord(KEY, Revision(number=9), DELETED)])
        apply_changes(catalogue, [VersionedRecord(KEY, Revision(number=5), "old")])
        self.assertEqual(catalogue.keys, {})

    def test_old_listing_deletes_nothing_newer(self) -> None:
        """A listing does not delete a record that is newer than the listing."""
        catalogue = Catalogue()
        apply_changes(catalogue, [VersionedRecord(KEY, Revision(number=9), "new")])
        self.assertEqual(
            infer_deletions(catalogue, ("key",), Revision(number=5), ()), []
        )

    def test_listing_deletes_what_it_lacks(self) -> None:
        """A newer listing deletes the records that it does not contain."""
        catalogue = Catalogue()
        apply_changes(catalogue, [VersionedRecord(KEY, Revision(number=9), "new")])
        apply_changes(
            catalogue, infer_deletions(catalogue, ("key",), Revision(number=12), ())
        )
        self.assertEqual(catalogue.keys, {})

    def test_listing_of_one_feed_deletes_nothing_of_another(self) -> None:
        """A listing only implies deletions of the kinds that it covers."""
        catalogue = Catalogue()
        apply_changes(catalogue, [VersionedRecord(KEY, Revision(number=9), "new")])
        self.assertEqual(
            infer_deletions(catalogue, ("server",), Revision(number=12), ()), []
        )

    @seed(20261204)
    @given(st.permutations(range(1, 9)))
    def test_any_order_ends_at_the_newest(self, order: list[int]) -> None:
        """Changes applied in any order leave the newest version."""
        catalogue = Catalogue()
        for version in order:
            apply_changes(
                catalogue, [VersionedRecord(KEY, Revision(number=version), version)]
            )
        self.assertEqual(catalogue.keys, {"k1": 8})


class IndexTest(unittest.TestCase):
    """The indexes merge single records and the configuration."""

    def test_listing_builds_the_index(self) -> None:
        """After a listing, the servers of each service are indexed."""
        catalogue = Catalogue()
        apply_changes(catalogue, build_listing(build_records()).objects)
        self.assertEqual(catalogue.servers_by_service["filing"], ("s1", "s2"))

    def test_leaving_server_gets_no_new_work(self) -> None:
        """A server that is leaving is not indexed as a candidate."""
        catalogue = Catalogue()
        apply_changes(catalogue, build_listing(build_records()).objects)
        key = ObjectKey("server", "e1")
        change = VersionedRecord(
            key, Revision(number=101), build_server("draft", leaving=True)
        )
        apply_changes(catalogue, [change])
        self.assertEqual(catalogue.servers_by_service["draft"], ("e2",))

    def test_configuration_replaces_itself_as_a_whole(self) -> None:
        """Entries and keys absent from a newer configuration go; records stay."""
        catalogue = Catalogue()
        key = ObjectKey("configuration", "main")
        record = KeyRecord.from_opaque("audit", "secret")
        old = Configuration(
            version=1, entries={"a": build_service_entry()}, keys={"id": record}
        )
        new = Configuration(version=2, entries={"b": build_service_entry()})
        own_entry = VersionedRecord(
            ObjectKey("entry", "own"), Revision(number=1), build_service_entry()
        )
        apply_changes(catalogue, [own_entry])
        apply_changes(catalogue, [VersionedRecord(key, Revision(number=2), old)])
        apply_changes(catalogue, [VersionedRecord(key, Revision(number=3), new)])
        self.assertEqual((set(catalogue.entries), catalogue.keys), ({"own", "b"}, {}))


class PathLookupTest(unittest.TestCase):
    """An entry is found by virtual host and longest path prefix."""

    def setUp(self) -> None:
        """Index entries of several virtual hosts, and one without."""
        self.catalogue = Catalogue()
        entries = {
            "short": build_service_entry(host="a.example", path="/x/"),
            "long": build_service_entry(host="a.example", path="/x/y/"),
            "other": build_service_entry(host="b.example", path="/x/"),
            "root": build_service_entry(host="c.example", path="/"),
            "plain": build_service_entry(path="/filings"),
        }
        configuration = Configuration(version=1, entries=entries)
        key = ObjectKey("configuration", "main")
        apply_changes(
            self.catalogue, [VersionedRecord(key, Revision(number=1), configuration)]
        )

    def test_paths(self) -> None:
        """Each path finds the expected entry, or none."""
        cases = {
            ("a.example", "/x/1"): "short",
            ("a.example", "/x/y/1"): "long",
            ("a.example", "/x/y"): "short",
            ("a.example", "/x/yy/1"): "short",
            ("b.example", "/x/y/1"): "other",
            ("a.example", "/x"): None,
            ("a.example", "/"): None,
            ("c.example", "/any/thing"): "root",
            ("", "/filings"): "plain",
            ("", "/filings/2026"): "plain",
            ("", "/filingsx"): None,
            ("d.example", "/x/1"): None,
        }
        for (host, path), expected in cases.items():
            with self.subTest(host=host, path=path):
                found = self.catalogue.find_entry_by_path(host, path)
                self.assertEqual(found, expected)
