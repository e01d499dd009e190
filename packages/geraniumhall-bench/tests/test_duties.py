"""Tests that duty calls keep their order where the platform checks no tokens."""

import unittest
from collections import defaultdict
from random import Random

from histories import HISTORY_SETTINGS, HOST_NAMES, SEED, FaultRules
from hypothesis import seed
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, rule

from geraniumhall_bench.simulation import PLATFORM_NAME, SimulatedCluster
from geraniumhall_bench.simulation.records import DeliveredDuty
from geraniumhall_core.admin import WriteRecord
from geraniumhall_core.catalogue import CatalogueEntry, ServiceClass, Workspace
from geraniumhall_core.events import DrainRequested
from geraniumhall_core.handlers.leases import find_held_term
from geraniumhall_core.platform import DutyMessage, ScaleService
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.revisions import NO_REVISION

JOIN_SECONDS = 6.0
TTL_SECONDS = 3.0
# Loss of one, two or three packets in a row, sent again after 0.2 s and twice that.
RETRANSMISSION_SECONDS = (0.2, 0.6, 1.4)
POLICY = {
    "usage_window": 5.0,
    "lease_ttl": TTL_SECONDS,
    "lease_margin": 0.5,
    "seal_grace": 0.5,
    "checks_fencing": False,
}


def build_cluster(checks_fencing: bool = False) -> SimulatedCluster:
    """Return a cluster of three daemons on a platform that checks no tokens."""
    cluster = SimulatedCluster(Random(5))
    cluster.platform.checks_fencing = checks_fencing
    for name in HOST_NAMES:
        cluster.start(name, **POLICY | {"checks_fencing": checks_fencing})
    cluster.run_for(JOIN_SECONDS)
    workspace = Workspace(rate=1e6, burst=1e6)
    cluster.call_admin(
        "h0", WriteRecord(ObjectKey("workspace", "audit"), workspace, NO_REVISION)
    )
    cluster.run_for(1.0)
    entry = CatalogueEntry(owner="audit", service_class=ServiceClass.MODEL)
    cluster.call_admin(
        "h0", WriteRecord(ObjectKey("entry", "audit"), entry, NO_REVISION)
    )
    cluster.run_for(JOIN_SECONDS)
    return cluster


def find_holder(cluster: SimulatedCluster) -> str:
    """Return the holder of the lease."""
    return next(
        name
        for name, daemon in cluster.daemons.items()
        if daemon.is_alive and find_held_term(daemon.state, cluster.now) is not None
    )


def find_subject(message: DutyMessage) -> tuple[str, ...]:
    """Return the subject whose calls have to keep their order."""
    if isinstance(message, ScaleService):
        return ("scale", message.service, message.failure_domain)
    return ("usage",)


def find_lower_tokens(duties: list[DeliveredDuty]) -> list[DeliveredDuty]:
    """Return the calls with a lower token than an earlier call on their subject."""
    highest: dict[tuple[str, ...], int] = defaultdict(int)
    lower = []
    for duty in duties:
        subject = find_subject(duty.message)
        if duty.message.fencing_token < highest[subject]:
            lower.append(duty)
        highest[subject] = max(highest[subject], duty.message.fencing_token)
    return lower


def find_alternations(duties: list[DeliveredDuty]) -> list[tuple[str, str]]:
    """Return pairs of hosts that acted in the order A, B, A within the lease's TTL."""
    by_subject = defaultdict(list)
    for duty in duties:
        by_subject[find_subject(duty.message)].append(duty)
    found = []
    for calls in by_subject.values():
        for first, second in zip(calls, calls[1:], strict=False):
            if first.message.host == second.message.host:
                continue
            found += [
                (first.message.host, second.message.host)
                for third in calls
                if second.at < third.at <= first.at + TTL_SECONDS
                and third.message.host == first.message.host
            ]
    return found


class DutyMachine(FaultRules):
    """Faults in random order, among them calls that are delayed on their way."""

    policy = POLICY

    @initialize()
    def start(self) -> None:
        """Start the cluster."""
        self.cluster = build_cluster()

    @rule(
        host=st.sampled_from(HOST_NAMES),
        seconds=st.sampled_from(RETRANSMISSION_SECONDS),
    )
    def lose_packets(self, host: str, seconds: float) -> None:
        """Delay a host's duty calls from now on by the time until a retransmission."""
        self.cluster.duty_latencies[host] = seconds

    @rule()
    def stop_losing_packets(self) -> None:
        """Deliver the duty calls of all hosts at once again."""
        self.cluster.duty_latencies.clear()

    @rule(host=st.sampled_from(HOST_NAMES))
    def drain(self, host: str) -> None:
        """Drain a daemon; another step may start a new one."""
        daemon = self.cluster.daemons[host]
        self.cluster.dispatch(daemon, lambda at: DrainRequested(at=at))

    def delay_call(self) -> None:
        """Replace the delay within the platform, which excuses a late call."""

    @invariant()
    def tokens_never_fall(self) -> None:
        """Check that the platform gets no call with a lower token than before."""
        if self.cluster is not None:
            assert not find_lower_tokens(self.cluster.delivered_duties)

    @invariant()
    def holders_do_not_alternate(self) -> None:
        """Check that no two holders take turns within the lease's TTL."""
        if self.cluster is not None:
            assert not find_alternations(self.cluster.delivered_duties)


@seed(SEED)
@HISTORY_SETTINGS
class SeededDutyMachine(DutyMachine):
    """The machine with a fixed seed."""


class DutyFaultTest(SeededDutyMachine.TestCase):  # type: ignore[name-defined, misc]
    """In random histories duty calls keep their order without the platform's help."""


class HandOverTest(unittest.TestCase):
    """A former holder's call does not arrive after its successor's."""

    def run_until_report(self, cluster: SimulatedCluster) -> None:
        """Advance virtual time until a duty call has just been sent."""
        sent = []

        def observe(message: object) -> bool:
            if isinstance(message, DutyMessage):
                sent.append(message)
            return False

        cluster.delayed_calls.append(observe)
        for _ in range(2000):
            cluster.run_for(0.01)
            if sent:
                cluster.delayed_calls.clear()
                return
        self.fail("no duty call was sent in 20 s")

    def check(self, cluster: SimulatedCluster) -> None:
        """Check the order of all duty calls."""
        duties = cluster.delivered_duties
        self.assertEqual(find_lower_tokens(duties), [])
        self.assertEqual(find_alternations(duties), [])

    def test_killed_holder_with_a_call_on_its_way(self) -> None:
        """A restarted holder waits until the killed process's call has arrived.

        The host's new process has a higher term. Without the wait its calls
        overtake one that the killed process had sent and whose packets were lost.
        """
        for seconds in (*RETRANSMISSION_SECONDS, 3.0):
            with self.subTest(seconds=seconds):
                cluster = build_cluster()
                holder = find_holder(cluster)
                cluster.duty_latencies[holder] = seconds
                self.run_until_report(cluster)
                cluster.kill(holder)
                cluster.duty_latencies.clear()
                cluster.start(holder, **POLICY)
                cluster.run_for(30)
                self.check(cluster)

    def test_draining_holder_with_a_call_on_its_way(self) -> None:
        """A draining holder releases the lease only once its calls are answered."""
        for offset in range(50):
            with self.subTest(offset=offset):
                cluster = build_cluster()
                holder = find_holder(cluster)
                cluster.run_for(0.1 * offset)
                daemon = cluster.daemons[holder]
                cluster.dispatch(daemon, lambda at: DrainRequested(at=at))
                cluster.duty_latencies[holder] = 1.9
                cluster.run_for(30)
                self.check(cluster)

    def test_call_near_the_end_of_the_lease(self) -> None:
        """A call that the holder started before its lease ended expires with it."""
        for offset in range(24):
            with self.subTest(offset=offset):
                cluster = build_cluster()
                holder = find_holder(cluster)
                cluster.run_for(0.25 * offset)
                cluster.duty_latencies[holder] = 1.4
                cluster.block_link(PLATFORM_NAME, holder, both_ways=False)
                cluster.run_for(30)
                self.check(cluster)

    def test_paused_holder_with_a_call_on_its_way(self) -> None:
        """A call of a paused holder is not sent again once its lease has ended."""
        cluster = build_cluster()
        holder = find_holder(cluster)
        cluster.duty_latencies[holder] = 0.2
        self.run_until_report(cluster)
        cluster.pause(holder)
        cluster.run_for(15)
        cluster.resume(holder)
        cluster.run_for(15)
        self.check(cluster)

    def test_duties_resume_after_a_kill(self) -> None:
        """A successor acts within two lease lifetimes and the calls' longest way."""
        cluster = build_cluster()
        holder = find_holder(cluster)
        cluster.kill(holder)
        killed_at = cluster.now
        cluster.run_for(2 * TTL_SECONDS + 5.0 + 2.0)
        self.assertTrue([d for d in cluster.delivered_duties if d.at > killed_at + 2])


class FencedPlatformTest(unittest.TestCase):
    """Where the platform checks tokens, a restarted holder need not wait."""

    def test_restarted_holder_acts_at_once(self) -> None:
        """A restarted holder holds the lease well before it would have expired."""
        cluster = build_cluster(checks_fencing=True)
        holder = find_holder(cluster)
        cluster.kill(holder)
        cluster.start(holder, **POLICY | {"checks_fencing": True})
        cluster.run_for(TTL_SECONDS / 2)
        self.assertEqual(find_holder(cluster), holder)


if __name__ == "__main__":
    unittest.main()
