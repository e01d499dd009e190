"""No workspace gets more than its rate and burst across all hosts together."""

import unittest
from itertools import count
from random import Random

from histories import HISTORY_SETTINGS, NAMES, PLACES, SEED, FaultRules
from hypothesis import seed
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, rule

from geraniumhall_bench.virtual import VirtualHosts
from geraniumhall_core.admin import WriteRecord
from geraniumhall_core.catalogue import (
    BackendServer,
    CatalogueEntry,
    EntryLimits,
    ServiceClass,
    Workspace,
)
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.requests import CallerRequest, ModelTarget

RATE = 4.0
BURST = 6.0
SETTLE_SECONDS = 8.0
TOLERANCE = 1e-6
WORKSPACE = ObjectKey("workspace", "audit")


def build_hosts(rate: float = RATE, burst: float = BURST) -> VirtualHosts:
    """Return three joined daemons and an entry that is open to all."""
    hosts = VirtualHosts(Random(3))
    for name in NAMES:
        hosts.start(name)
    hosts.run_for(SETTLE_SECONDS)
    entry = CatalogueEntry(
        owner="audit",
        service_class=ServiceClass.MODEL,
        open_to_all=True,
        repeatable=True,
        limits=EntryLimits(max_running=10_000),
    )
    server = BackendServer(address="10.0.0.1:80", failure_domain="a", entries=("d",))
    workspace = Workspace(rate=rate, burst=burst, hosts=NAMES)
    hosts.call_admin("h0", WriteRecord(WORKSPACE, workspace, 0))
    hosts.run_for(1.0)
    hosts.call_admin("h0", WriteRecord(ObjectKey("entry", "d"), entry, 0))
    hosts.call_admin("h0", WriteRecord(ObjectKey("server", "e"), server, 0))
    hosts.run_for(SETTLE_SECONDS)
    return hosts


def find_excess(times: list[float], rate: float, burst: float) -> float:
    """Return how far starts are over burst plus rate in the worst window.

    A virtual bucket of the whole rate and burst, full at first, shows it: it
    would fall below zero by that much.
    """
    tokens, last, worst = burst, 0.0, 0.0
    for moment in times:
        tokens = min(burst, tokens + (moment - last) * rate) - 1
        last = moment
        worst = max(worst, -tokens)
    return worst


class RateMachine(FaultRules):
    """Requests and edits among the faults."""

    @initialize()
    def start(self) -> None:
        """Start three daemons."""
        self.hosts = build_hosts()
        self.ids = count(1)

    @rule(host=st.sampled_from(NAMES), number=st.integers(1, 9))
    def request(self, host: str, number: int) -> None:
        """Send requests to one host at once."""
        for _ in range(number):
            request = CallerRequest(
                request_id=f"r{next(self.ids)}", target=ModelTarget("d")
            )
            self.hosts.request(host, request)

    @rule(
        via=st.sampled_from(NAMES),
        holders=st.sets(st.sampled_from(NAMES), min_size=1),
        is_lost=st.booleans(),
    )
    def edit(self, via: str, holders: set[str], is_lost: bool) -> None:
        """Move the shares to other hosts, perhaps without a reply."""
        version = self.hosts.platform.objects[WORKSPACE].version
        record = Workspace(rate=RATE, burst=BURST, hosts=tuple(sorted(holders)))
        self.hosts.lost_replies = int(is_lost)
        self.hosts.call_admin(via, WriteRecord(WORKSPACE, record, version))

    def teardown(self) -> None:
        """In the end every request has ended and no round goes on."""
        if self.hosts is None:
            return
        self.end_faults(70.0)
        for daemon in self.hosts.daemons.values():
            assert daemon.state.requests == {}
            assert daemon.state.borrows == {}

    @invariant()
    def stays_within_rate_and_burst(self) -> None:
        """All hosts together stay within rate and burst in every window."""
        if self.hosts is None:
            return
        times = [started.at for started in self.hosts.started]
        assert find_excess(times, RATE, BURST) <= TOLERANCE


@seed(SEED)
@HISTORY_SETTINGS
class SeededRateMachine(RateMachine):
    """The machine with its fixed seed."""


class RateTest(SeededRateMachine.TestCase):  # type: ignore[name-defined, misc]
    """Random histories never exceed rate and burst."""


class BorrowTest(unittest.TestCase):
    """A host that is short of tokens gets them from the others."""

    def send(self, hosts: VirtualHosts, host: str, number: int, gap: float) -> None:
        """Send requests to one host, one each `gap` seconds."""
        for index in range(number):
            request_id = f"r{hosts.now}-{index}"
            request = CallerRequest(request_id=request_id, target=ModelTarget("d"))
            hosts.request(host, request)
            hosts.run_for(gap)

    def test_skewed_callers_get_the_whole_rate(self) -> None:
        """All requests at one host, at nine tenths of the rate, are served."""
        hosts = build_hosts()
        self.send(hosts, "h0", 200, 1 / (0.9 * RATE))
        self.assertEqual(hosts.refused, [])

    def test_burst_smaller_than_the_hosts(self) -> None:
        """A burst of one over three hosts still serves requests."""
        hosts = build_hosts(rate=2.0, burst=1.0)
        self.send(hosts, "h1", 50, 1.0)
        self.assertEqual(hosts.refused, [])

    def test_almost_a_token(self) -> None:
        """A host that misses a tiny part of a token borrows it."""
        hosts = build_hosts()
        bucket = hosts.daemons["h0"].state.buckets["audit"]
        bucket.accrue(hosts.now)
        bucket.tokens = 0.97
        self.send(hosts, "h0", 1, 1.0)
        self.assertEqual((len(hosts.started), hosts.refused), (1, []))

    def test_lost_loans_cost_tokens_only(self) -> None:
        """Answers that never arrive make nobody exceed the rate."""
        hosts = build_hosts()
        for lender in ("h1", "h2"):
            hosts.cut(lender, "h0", both_ways=False)
        for _ in range(50):
            self.send(hosts, "h0", 4, 0.01)
            self.send(hosts, "h1", 4, 0.01)
            hosts.run_for(0.5)
        times = [started.at for started in hosts.started]
        self.assertLessEqual(find_excess(times, RATE, BURST), TOLERANCE)

    def test_moved_share_is_not_used_twice(self) -> None:
        """A share moves only once its old holder has stopped using it."""
        hosts = build_hosts()
        hosts.run_for(5.0)
        for other in PLACES:
            hosts.cut("h2", other)
        version = hosts.platform.objects[WORKSPACE].version
        moved = Workspace(rate=RATE, burst=BURST, hosts=("h0",))
        hosts.call_admin("h0", WriteRecord(WORKSPACE, moved, version))
        for _ in range(160):
            for host in ("h0", "h2"):
                self.send(hosts, host, 1, 0.0)
            hosts.run_for(0.05)
        times = [started.at for started in hosts.started]
        self.assertLessEqual(find_excess(times, RATE, BURST), TOLERANCE)

    def test_restart_brings_no_second_burst(self) -> None:
        """Processes that follow each other on a host share one burst."""
        hosts = build_hosts()
        for _ in range(6):
            self.send(hosts, "h1", 6, 0.01)
            hosts.kill("h1")
            hosts.start("h1")
            hosts.run_for(0.3)
        times = [started.at for started in hosts.started]
        self.assertLessEqual(find_excess(times, RATE, BURST), TOLERANCE)

    def test_loud_tenant_is_held_at_its_rate(self) -> None:
        """Ten times the rate at every host gets no more than the rate."""
        hosts = build_hosts()
        for _ in range(400):
            for host in NAMES:
                self.send(hosts, host, 1, 0.0)
            hosts.run_for(1 / (10 * RATE))
        times = [started.at for started in hosts.started]
        self.assertLessEqual(find_excess(times, RATE, BURST), TOLERANCE)
