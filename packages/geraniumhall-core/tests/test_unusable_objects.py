"""Tests of objects of the store that can't be decoded."""

import unittest

from builders import (
    NOW,
    apply_feed_answer,
    build_server,
    build_service_entry,
    build_state,
    find_effect,
    reduce,
)

from geraniumhall_core.admin import ReadUnusable, UnusableObjects, UnusableStatus
from geraniumhall_core.catalogue import CONFIGURATION_KEY, Configuration
from geraniumhall_core.effects import AnswerAdmin, EmitMetrics, LogField, WriteLog
from geraniumhall_core.events import AdminCalled, Ticked
from geraniumhall_core.hosts import HostRecord
from geraniumhall_core.platform import Changes, Feed, Listing, UnusableObject
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.revisions import NO_REVISION, Revision
from geraniumhall_core.state import DaemonState

SERVER_KEY = ObjectKey("registered_server", "e9")
ODD_SERVER = UnusableObject(SERVER_KEY, Revision(number=102), "odd")
NAMELESS = UnusableObject(None, NO_REVISION, "an object without metadata")


def register_server(state: DaemonState, version: int = 101) -> None:
    """Apply the registration of a server."""
    change = VersionedRecord(
        SERVER_KEY, Revision(number=version), build_server("draft")
    )
    apply_feed_answer(state, Feed.SERVERS, Changes(Revision(number=version), (change,)))


def list_logged(state: DaemonState, answer: Listing | Changes) -> list[str]:
    """Return the objects that are logged as unusable for an answer of servers."""
    effects = apply_feed_answer(state, Feed.SERVERS, answer)
    return [
        str(effect.fields[0].value)
        for effect in effects
        if isinstance(effect, WriteLog) and effect.event == "object_unusable"
    ]


def read_unusable(state: DaemonState) -> tuple[UnusableStatus, ...]:
    """Return what operators are shown."""
    event = AdminCalled(at=NOW, call_id=1, command=ReadUnusable())
    answer = find_effect(reduce(state, event), AnswerAdmin).answer
    assert isinstance(answer, UnusableObjects)
    return answer.objects


class EffectTest(unittest.TestCase):
    """An unusable object costs itself alone."""

    def test_server_that_turned_unusable_is_not_used(self) -> None:
        """Neither after a change nor after a listing."""
        for answer in (
            Changes(Revision(number=102), (), (ODD_SERVER,)),
            Listing(Revision(number=102), (), (ODD_SERVER,)),
        ):
            with self.subTest(answer=type(answer).__name__):
                state = build_state()
                register_server(state)
                apply_feed_answer(state, Feed.SERVERS, answer)
                self.assertNotIn("e9", state.catalogue.servers)

    def test_server_is_used_again_once_its_entry_is_readable(self) -> None:
        """A newer version of the entry counts."""
        state = build_state()
        apply_feed_answer(
            state, Feed.SERVERS, Changes(Revision(number=102), (), (ODD_SERVER,))
        )
        register_server(state, 103)
        self.assertIn("e9", state.catalogue.servers)

    # Guards against a listing that took an unreadable configuration for a deleted one.
    def test_configuration_before_an_unusable_one_stays_in_force(self) -> None:
        """A watch and a listing with an unusable version leave the last good one."""
        good = Configuration(version=1, entries={"r": build_service_entry(path="/r/")})
        change = VersionedRecord(CONFIGURATION_KEY, Revision(number=101), good)
        odd = UnusableObject(CONFIGURATION_KEY, Revision(number=102), "odd")
        for answer in (
            Changes(Revision(number=102), (), (odd,)),
            Listing(Revision(number=102), (), (odd,)),
        ):
            with self.subTest(answer=type(answer).__name__):
                state = build_state()
                apply_feed_answer(
                    state, Feed.CONFIGURATION, Changes(Revision(number=101), (change,))
                )
                apply_feed_answer(state, Feed.CONFIGURATION, answer)
                self.assertIs(state.catalogue.configuration, good)

    def test_host_whose_record_is_unusable_stays_known(self) -> None:
        """Its share of the limits is not given to others before it falls silent."""
        state = build_state()
        key = ObjectKey("host", "h2")
        record = HostRecord(failure_domain="b", incarnation=1, sequence=1)
        change = VersionedRecord(key, Revision(number=101), record)
        apply_feed_answer(state, Feed.RECORDS, Changes(Revision(number=101), (change,)))
        odd = UnusableObject(key, Revision(number=102), "odd")
        apply_feed_answer(
            state, Feed.RECORDS, Listing(Revision(number=102), (), (odd,))
        )
        self.assertIn("h2", state.hosts.known)


class ReportTest(unittest.TestCase):
    """Operators learn of each unusable object."""

    def test_reason_is_logged_once(self) -> None:
        """It is logged with the object's name, and not for each listing."""
        state = build_state()
        answers = [
            Listing(Revision(number=102 + n), (), (ODD_SERVER,)) for n in range(3)
        ]
        logged = [name for answer in answers for name in list_logged(state, answer)]
        self.assertEqual(logged, ["servers/e9"])

    def test_another_reason_is_logged_again(self) -> None:
        """The object was replaced with another one that can't be decoded."""
        state = build_state()
        list_logged(state, Changes(Revision(number=102), (), (ODD_SERVER,)))
        other = UnusableObject(SERVER_KEY, Revision(number=103), "odder")
        self.assertEqual(
            list_logged(state, Changes(Revision(number=103), (), (other,))),
            ["servers/e9"],
        )

    def test_log_line_gives_the_reason(self) -> None:
        """Also of an object whose name can't be read."""
        answer = Changes(Revision(number=102), (), (NAMELESS,))
        effects = apply_feed_answer(build_state(), Feed.SERVERS, answer)
        log = next(e for e in effects if isinstance(e, WriteLog))
        fields = (LogField("object", "servers/"), LogField("reason", NAMELESS.reason))
        self.assertEqual((log.level, log.fields), ("warning", fields))

    def test_operators_are_shown_the_objects_until_they_are_gone(self) -> None:
        """A deletion, a readable version and a listing without it end the report."""
        deleted = VersionedRecord(SERVER_KEY, Revision(number=103), DELETED)
        readable = VersionedRecord(
            SERVER_KEY, Revision(number=103), build_server("draft")
        )
        ends = (
            Changes(Revision(number=103), (deleted,)),
            Changes(Revision(number=103), (readable,)),
            Listing(Revision(number=103), (readable,)),
            Listing(Revision(number=103), ()),
        )
        for end in ends:
            with self.subTest(end=end):
                state = build_state()
                apply_feed_answer(
                    state,
                    Feed.SERVERS,
                    Changes(Revision(number=102), (), (ODD_SERVER,)),
                )
                shown = UnusableStatus(feed="servers", object="e9", reason="odd")
                self.assertEqual(read_unusable(state), (shown,))
                apply_feed_answer(state, Feed.SERVERS, end)
                self.assertEqual(read_unusable(state), ())

    def test_object_that_is_readable_again_in_the_same_answer(self) -> None:
        """Only its newest version counts, in use and in the report."""
        readable = VersionedRecord(
            SERVER_KEY, Revision(number=103), build_server("draft")
        )
        state = build_state()
        self.assertEqual(
            list_logged(
                state, Changes(Revision(number=103), (readable,), (ODD_SERVER,))
            ),
            [],
        )
        self.assertEqual(read_unusable(state), ())
        self.assertIn("e9", state.catalogue.servers)

    def test_unusable_objects_are_counted(self) -> None:
        """The metrics have their number."""
        state = build_state()
        answer = Changes(Revision(number=102), (), (ODD_SERVER, NAMELESS))
        apply_feed_answer(state, Feed.SERVERS, answer)
        effects = reduce(state, Ticked(at=9.0, wall_time=9.0, draws=(0.5, 0.5)))
        report = find_effect(effects, EmitMetrics)
        counts = {metric.name: metric.value for metric in report.gauges}
        self.assertEqual(counts["objects.unusable"], 2)
