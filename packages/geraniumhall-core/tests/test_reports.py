"""Tests of load reports between hosts."""

import unittest

from builders import apply_feed_answer, build_arrival, build_state, find_effect, reduce
from hypothesis import given, seed
from hypothesis import strategies as st

from geraniumhall_core.effects import SendToPeers, WriteLog
from geraniumhall_core.events import PeerMessageReceived, Ticked
from geraniumhall_core.hosts import HostRecord
from geraniumhall_core.platform import Changes, Feed
from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.reports import LoadReport, ReportsView, ServerWork
from geraniumhall_core.revisions import Revision
from geraniumhall_core.server_load import ForeignWork
from geraniumhall_core.state import DaemonState


def build_report(sequence: int, requests: int, host: str = "h2") -> LoadReport:
    """Return a report of work at one server."""
    work = (ServerWork("e1", requests, 100 * requests),)
    return LoadReport(host=host, incarnation=1, sequence=sequence, work=work)


def build_peer_event(report: LoadReport) -> PeerMessageReceived:
    """Return the event of a received report."""
    return PeerMessageReceived(at=2.0, message=report, draws=(0.5, 0.5))


def build_state_with_peer() -> DaemonState:
    """Return a state with one other host that listens for peer messages."""
    state = build_state(policy={"peer_address": "10.0.0.1:7000"})
    record = HostRecord(
        failure_domain="b", incarnation=1, sequence=1, peer_address="10.0.0.2:7000"
    )
    change = VersionedRecord(ObjectKey("host", "h2"), Revision(number=101), record)
    apply_feed_answer(state, Feed.RECORDS, Changes(Revision(number=101), (change,)))
    return state


class ReportsViewTest(unittest.TestCase):
    """Only the newest report of each host counts."""

    def test_reports_are_summed(self) -> None:
        """The work of several hosts at one server is summed."""
        view = ReportsView()
        view.update(build_report(1, 2, "h2"), 0.0)
        view.update(build_report(1, 3, "h3"), 0.0)
        self.assertEqual(view.totals, {"e1": ForeignWork(5, 500)})

    @seed(20261204)
    @given(st.permutations(range(1, 7)), st.lists(st.integers(1, 6)))
    def test_order_and_repetition_do_not_matter(
        self, order: list[int], repeats: list[int]
    ) -> None:
        """Whatever the order of datagrams, the newest one counts."""
        view = ReportsView()
        for sequence in [*order, *repeats]:
            view.update(build_report(sequence, sequence), 0.0)
        self.assertEqual(view.totals, {"e1": ForeignWork(6, 600)})

    def test_silent_host_expires(self) -> None:
        """The work of a host that has stopped reporting is dropped."""
        view = ReportsView()
        view.update(build_report(1, 2), 1.0)
        view.expire(2.0)
        self.assertEqual((view.latest, view.totals), ({}, {}))

    def test_idle_host_leaves_no_total(self) -> None:
        """A server without reported work is not kept in the totals."""
        view = ReportsView()
        view.update(build_report(1, 2), 1.0)
        view.update(LoadReport(host="h2", incarnation=1, sequence=2), 1.0)
        self.assertEqual(view.totals, {})


class ReportSendingTest(unittest.TestCase):
    """A host reports to its peers when its work changes."""

    def test_new_work_is_reported(self) -> None:
        """A request that is sent to a server is reported at once."""
        effects = reduce(build_state_with_peer(), build_arrival())
        effect = find_effect(effects, SendToPeers)
        self.assertEqual(effect.addresses, ("10.0.0.2:7000",))
        self.assertEqual([w.requests for w in effect.message.work], [1])

    def test_reports_are_rate_limited(self) -> None:
        """Changes within the minimum interval are sent in one report."""
        state = build_state_with_peer()
        reduce(state, build_arrival("r1"))
        effects = reduce(state, build_arrival("r2", at=2.001))
        self.assertFalse([e for e in effects if isinstance(e, SendToPeers)])
        ticked = reduce(state, Ticked(at=2.1, wall_time=2.1, draws=(0.0, 0.0)))
        report = find_effect(ticked, SendToPeers).message
        self.assertEqual(sum(w.requests for w in report.work), 2)

    def test_own_report_is_ignored(self) -> None:
        """A host's own report, if it is received, is not counted."""
        state = build_state_with_peer()
        reduce(state, build_peer_event(build_report(1, 5, "h1")))
        self.assertEqual(state.estimate_foreign_work("e1"), ForeignWork())

    def test_placement_logs_the_reporting_hosts(self) -> None:
        """The log of a placement tells how many hosts the known work comes from."""
        state = build_state_with_peer()
        state.live_hosts = 5
        reduce(state, build_peer_event(build_report(1, 2)))
        lines = [e for e in reduce(state, build_arrival()) if isinstance(e, WriteLog)]
        placed = next(line for line in lines if line.event == "request_placed")
        fields = {field.name: field.value for field in placed.fields}
        self.assertEqual((fields["reporting_hosts"], fields["other_hosts"]), (1, 4))

    def test_missing_reports_are_extrapolated(self) -> None:
        """Hosts without a report are assumed to have as much work as the others."""
        state = build_state_with_peer()
        state.live_hosts = 5
        reduce(state, build_peer_event(build_report(1, 2)))
        self.assertEqual(state.estimate_foreign_work("e1"), ForeignWork(8, 800))
