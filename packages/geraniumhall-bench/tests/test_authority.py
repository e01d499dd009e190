"""Tests that a lease has one holder at a time and usage is reported once."""

import unittest
from collections import Counter
from itertools import count
from random import Random
from unittest.mock import patch

from histories import HISTORY_SETTINGS, HOST_NAMES, SEED, FaultRules
from hypothesis import seed
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, rule

from geraniumhall_bench.simulation import PLATFORM_NAME, SimulatedCluster
from geraniumhall_core.admin import WriteRecord
from geraniumhall_core.catalogue import (
    BackendServer,
    CatalogueEntry,
    ServiceClass,
    Workspace,
)
from geraniumhall_core.events import DrainRequested
from geraniumhall_core.handlers.leases import find_held_term
from geraniumhall_core.platform import ReportUsage
from geraniumhall_core.purposes import SEALS_KEY
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.requests import CallerRequest, ModelTarget
from geraniumhall_core.revisions import NO_REVISION

JOIN_SECONDS = 6.0
TTL_SECONDS = 3.0
POLICY = {
    "usage_window": 5.0,
    "lease_ttl": TTL_SECONDS,
    "lease_margin": 0.5,
    "seal_grace": 3.0,
}
WORKSPACES = ("audit", "other")


def build_cluster() -> SimulatedCluster:
    """Return a cluster of three daemons with an open entry for each workspace."""
    cluster = SimulatedCluster(Random(5))
    for name in HOST_NAMES:
        cluster.start(name, **POLICY)
    cluster.run_for(JOIN_SECONDS)
    for name in WORKSPACES:
        workspace = Workspace(rate=1e6, burst=1e6)
        cluster.call_admin(
            "h0", WriteRecord(ObjectKey("workspace", name), workspace, NO_REVISION)
        )
        cluster.run_for(1.0)
        entry = CatalogueEntry(
            owner=name,
            service_class=ServiceClass.MODEL,
            open_to_all=True,
            repeatable=True,
        )
        cluster.call_admin(
            "h0", WriteRecord(ObjectKey("entry", name), entry, NO_REVISION)
        )
    server = BackendServer(
        address="10.0.0.1:80", failure_domain="a", entries=WORKSPACES
    )
    cluster.call_admin("h0", WriteRecord(ObjectKey("server", "e"), server, NO_REVISION))
    cluster.run_for(JOIN_SECONDS)
    return cluster


def list_holders(cluster: SimulatedCluster) -> list[tuple[str, int]]:
    """Return the daemons that consider themselves holders of the lease, with terms."""
    return [
        (name, term)
        for name, daemon in cluster.daemons.items()
        if daemon.is_alive
        and (term := find_held_term(daemon.state, cluster.now)) is not None
    ]


def list_reports(cluster: SimulatedCluster) -> list[ReportUsage]:
    """Return every report that reached the platform."""
    return [m for m in cluster.platform_messages if isinstance(m, ReportUsage)]


def count_reported(cluster: SimulatedCluster) -> int:
    """Return the number of requests in all reported windows."""
    lines = {r.window: r.lines for r in list_reports(cluster)}
    return sum(line.figures.requests for ls in lines.values() for line in ls)


class FaultMachine(FaultRules):
    """Requests and faults in random order."""

    policy = POLICY

    @initialize()
    def start(self) -> None:
        """Start the cluster."""
        self.cluster = build_cluster()
        self.ids = count(1)

    @rule(
        host=st.sampled_from(HOST_NAMES),
        workspace=st.sampled_from(WORKSPACES),
        number=st.integers(1, 5),
    )
    def request(self, host: str, workspace: str, number: int) -> None:
        """Send requests to a host."""
        for _ in range(number):
            name = f"r{next(self.ids)}"
            request = CallerRequest(request_id=name, target=ModelTarget(workspace))
            self.cluster.request(host, request)

    @invariant()
    def has_one_holder(self) -> None:
        """Check that no two daemons hold the lease at the same time."""
        if self.cluster is not None:
            assert len(list_holders(self.cluster)) <= 1

    @invariant()
    def reports_one_figure_for_a_window(self) -> None:
        """Check that no window is reported with different figures."""
        if self.cluster is None:
            return
        reports = {(r.window, r.lines) for r in list_reports(self.cluster)}
        windows = Counter(window for window, _ in reports)
        assert all(number == 1 for number in windows.values())

    @invariant()
    def reports_no_more_than_was_served(self) -> None:
        """Check that no more requests are reported than were relayed."""
        if self.cluster is not None:
            assert count_reported(self.cluster) <= len(self.cluster.relayed_requests)


@seed(SEED)
@HISTORY_SETTINGS
class SeededFaultMachine(FaultMachine):
    """The machine with a fixed seed."""


class FaultTest(SeededFaultMachine.TestCase):  # type: ignore[name-defined, misc]
    """In random histories a lease has one holder and a window one set of figures."""


class LeaseTest(unittest.TestCase):
    """The lease changes hands without overlap and without needless delay."""

    def find_holder(self, cluster: SimulatedCluster) -> str:
        """Return the holder of the lease, which must be the only one."""
        holders = list_holders(cluster)
        self.assertEqual(len(holders), 1, holders)
        return holders[0][0]

    def test_paused_holder_has_lost_its_lease(self) -> None:
        """A holder that was paused past its lease's end does not hold it any more."""
        cluster = build_cluster()
        holder = self.find_holder(cluster)
        cluster.pause(holder)
        cluster.run_for(12)
        cluster.daemons[holder].is_paused = False
        self.assertNotEqual(self.find_holder(cluster), holder)

    def test_lost_renewal_does_not_lengthen_the_lease(self) -> None:
        """A renewal that never arrived does not extend the lease.

        Without the renewal number in the record, a holder that reads back an
        earlier write would count the lease from a later one that was lost.
        """
        cluster = build_cluster()
        holder = self.find_holder(cluster)
        lease = cluster.daemons[holder].state.lease
        cluster.run_for(max(0.0, lease.next_call_at - cluster.now - 0.1))
        before = lease.held_until
        cluster.block_link(holder, PLATFORM_NAME)
        cluster.run_for(0.9)
        cluster.heal()
        cluster.run_for(0.2)
        renewals = len(lease.written_at)
        self.assertGreaterEqual(renewals, 1)
        self.assertLessEqual(lease.held_until, max(before, cluster.now + TTL_SECONDS))

    def test_term_rises_with_each_holder(self) -> None:
        """Every holder has a higher term than all holders before it."""
        cluster = build_cluster()
        terms = []
        for _ in range(4):
            terms.append(list_holders(cluster)[0][1])
            self.restart(cluster, self.find_holder(cluster))
        self.assertEqual(terms, sorted(set(terms)))

    def test_restarted_holder_goes_on_at_once(self) -> None:
        """A restarted holder need not wait, as no other host can hold the lease."""
        cluster = build_cluster()
        holder = self.find_holder(cluster)
        cluster.kill(holder)
        cluster.start(holder, **POLICY)
        cluster.run_for(TTL_SECONDS * 0.9)
        self.assertEqual(self.find_holder(cluster), holder)

    def test_holder_goes_on_after_an_outage(self) -> None:
        """After an outage of the store the last holder takes the lease again."""
        cluster = build_cluster()
        holder = self.find_holder(cluster)
        for name in HOST_NAMES:
            cluster.block_link(name, PLATFORM_NAME)
        cluster.run_for(2 * TTL_SECONDS)
        cluster.heal()
        # Without candidates by rank, only the last holder may take the lease.
        with patch("geraniumhall_core.handlers.leases.MAX_CANDIDATES", 0):
            cluster.run_for(TTL_SECONDS * 0.9)
        self.assertEqual(self.find_holder(cluster), holder)

    def restart(self, cluster: SimulatedCluster, host: str) -> None:
        """Kill a daemon, start it again and wait until the lease is held."""
        cluster.kill(host)
        cluster.start(host, **POLICY)
        cluster.run_for(12)

    def test_drain_hands_over_the_lease(self) -> None:
        """A lease that a draining daemon releases is taken before it would expire.

        Without the release a successor waits for a margin after the expiry.
        """
        cluster = build_cluster()
        holder = self.find_holder(cluster)
        daemon = cluster.daemons[holder]
        cluster.dispatch(daemon, lambda at: DrainRequested(at=at))
        expires_at = 0.0
        while [name for name, _ in list_holders(cluster)] in ([], [holder]):
            expires_at = max(expires_at, daemon.state.lease.held_until)
            cluster.run_for(0.05)
        self.assertLess(cluster.now, expires_at)


class UsageTest(unittest.TestCase):
    """Reported usage counts the requests of every host once."""

    def serve(
        self, cluster: SimulatedCluster, host: str, number: int, seconds: float = 1.0
    ) -> None:
        """Send requests to a host and advance virtual time."""
        for index in range(number):
            name = f"{host}-{cluster.now}-{index}"
            request = CallerRequest(request_id=name, target=ModelTarget("audit"))
            cluster.request(host, request)
        cluster.run_for(seconds)

    def begin_window(self, cluster: SimulatedCluster) -> None:
        """Advance virtual time to 0.1 s after the start of the next window."""
        length = POLICY["usage_window"]
        cluster.run_for(length - cluster.now % length + 0.1)

    def test_counts_of_all_hosts_are_added(self) -> None:
        """Reports add up the requests and tokens of all hosts."""
        cluster = build_cluster()
        self.begin_window(cluster)
        for host in HOST_NAMES:
            self.serve(cluster, host, 7)
        cluster.run_for(30)
        lines = [line for r in list_reports(cluster) for line in r.lines]
        self.assertEqual(count_reported(cluster), 21)
        self.assertEqual(sum(n.figures.generated_tokens for n in lines), 21 * 5)

    def test_window_waits_for_hosts_that_are_late(self) -> None:
        """Sealing waits up to the grace for a host that can't publish its counts."""
        cluster = build_cluster()
        self.begin_window(cluster)
        self.serve(cluster, "h1", 3)
        cluster.run_for(1.0)
        cluster.block_link("h2", PLATFORM_NAME)
        self.serve(cluster, "h2", 4)
        cluster.run_for(5.0)
        cluster.heal()
        cluster.run_for(20)
        self.assertEqual(count_reported(cluster), 7)

    def test_window_has_the_counts_of_a_host_that_returns_in_time(self) -> None:
        """A host that reaches the store up to 2.5 s before the seal is counted.

        Reports are due 10 s after a window's end, so it is sealed 9 s after it at
        the latest. The host's next regular write and the holder's next read of the
        records would together take 3 s.
        """
        for returns_after in (3.0, 4.0, 5.0, 5.5, 6.0, 6.5):
            with self.subTest(returns_after=returns_after):
                cluster = build_cluster()
                cluster.platform_latency = 0.001
                holder = list_holders(cluster)[0][0]
                other = next(name for name in HOST_NAMES if name != holder)
                self.begin_window(cluster)
                cluster.run_for(2.0)
                cluster.block_link(other, PLATFORM_NAME)
                self.serve(cluster, other, 4, seconds=0.5)
                self.serve(cluster, holder, 3, seconds=2.4)
                cluster.run_for(returns_after)
                cluster.heal()
                cluster.run_for(12)
                self.assertEqual(count_reported(cluster), 7)

    def test_reports_are_sealed_before_they_are_due(self) -> None:
        """A host that stays away delays a window by 9 s at most."""
        cluster = build_cluster()
        holder = list_holders(cluster)[0][0]
        other = next(name for name in HOST_NAMES if name != holder)
        self.begin_window(cluster)
        window = int(cluster.now // POLICY["usage_window"])
        cluster.block_link(other, PLATFORM_NAME)
        cluster.run_for(POLICY["usage_window"] + 9.6)
        self.assertIn(window, [report.window for report in list_reports(cluster)])

    def test_successor_repeats_the_report(self) -> None:
        """A successor reports a sealed window whose report was lost."""
        cluster = build_cluster()
        self.begin_window(cluster)
        self.serve(cluster, "h1", 5)
        holder = list_holders(cluster)[0][0]
        cluster.delayed_calls.append(lambda message: isinstance(message, ReportUsage))
        while not cluster.platform.objects.get(SEALS_KEY):
            cluster.run_for(0.1)
        cluster.kill(holder)
        cluster.run_for(30)
        self.assertEqual(count_reported(cluster), 5)

    def test_new_windows_go_before_repeated_reports(self) -> None:
        """A successor seals and reports due windows before it repeats older reports."""
        cluster = build_cluster()
        self.begin_window(cluster)
        cluster.run_for(40)
        holder = list_holders(cluster)[0][0]
        cluster.kill(holder)
        for name in HOST_NAMES:
            cluster.block_link(name, PLATFORM_NAME)
        cluster.run_for(12)
        cluster.heal()
        cluster.run_for(12)
        successor = list_holders(cluster)[0][0]
        mine = [r for r in list_reports(cluster) if r.host == successor]
        known = {r.window for r in list_reports(cluster) if r.host == holder}
        repeated = [index for index, r in enumerate(mine) if r.window in known]
        sealed = [index for index, r in enumerate(mine) if r.window not in known]
        self.assertLess(sealed[0], repeated[1])

    def test_restart_inherits_the_counts(self) -> None:
        """Counts that a killed process had published are kept by its successor."""
        cluster = build_cluster()
        self.begin_window(cluster)
        self.serve(cluster, "h2", 5, seconds=2.0)
        cluster.kill("h2")
        cluster.start("h2", **POLICY)
        cluster.run_for(30)
        self.assertEqual(count_reported(cluster), 5)

    def test_drain_loses_no_counts(self) -> None:
        """A draining daemon publishes its counts before it ends."""
        cluster = build_cluster()
        self.begin_window(cluster)
        self.serve(cluster, "h2", 5, seconds=0.1)
        cluster.dispatch(cluster.daemons["h2"], lambda at: DrainRequested(at=at))
        cluster.run_for(40)
        self.assertFalse(cluster.daemons["h2"].is_alive)
        self.assertEqual(count_reported(cluster), 5)
