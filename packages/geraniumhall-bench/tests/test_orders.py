"""Tests that a backend server never takes an older order after a newer one."""

import unittest
from random import Random

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
from geraniumhall_core.handlers.leases import find_held_term
from geraniumhall_core.orders import DesiredRole, IntentStatus, ServerRole
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.revisions import NO_REVISION

SERVERS = {"fenced": True, "unfenced": False}
SETTLE_SECONDS = 8.0
OWNER = Workspace(rate=1.0, burst=1.0)
ENTRY = CatalogueEntry(owner="audit", service_class=ServiceClass.MODEL)
POLICY = {"lease_ttl": 3.0, "lease_margin": 0.5}


def build_cluster() -> SimulatedCluster:
    """Return a cluster of three daemons and two servers, one with fencing."""
    cluster = SimulatedCluster(Random(9))
    for name in HOST_NAMES:
        cluster.start(name, **POLICY)
    cluster.run_for(SETTLE_SECONDS)
    cluster.call_admin(
        "h0", WriteRecord(ObjectKey("workspace", "audit"), OWNER, NO_REVISION)
    )
    cluster.run_for(0.1)
    cluster.call_admin(
        "h0", WriteRecord(ObjectKey("entry", "draft"), ENTRY, NO_REVISION)
    )
    for name, checks_fencing in SERVERS.items():
        server = BackendServer(
            address="10.0.0.1:80",
            failure_domain="a",
            entries=(),
            checks_fencing=checks_fencing,
        )
        cluster.call_admin(
            "h0", WriteRecord(ObjectKey("server", name), server, NO_REVISION)
        )
        cluster.run_for(0.1)
        request_role(cluster, "h0", name, ServerRole.BOTH)
    cluster.run_for(SETTLE_SECONDS)
    return cluster


def request_role(
    cluster: SimulatedCluster, via: str, server: str, role: ServerRole
) -> None:
    """Request a role for a server through a daemon's admin API."""
    key = ObjectKey("wish", server)
    found = cluster.platform.objects.get(key)
    version = found.version if found else NO_REVISION
    cluster.call_admin(via, WriteRecord(key, DesiredRole(role=role), version))


def find_holder(cluster: SimulatedCluster) -> str:
    """Return the daemon that holds the lease."""
    return next(
        name
        for name, daemon in cluster.daemons.items()
        if find_held_term(daemon.state, cluster.now) is not None
    )


def list_tokens(cluster: SimulatedCluster, server: str) -> list[int]:
    """Return the fencing tokens of a server's accepted orders, oldest first."""
    return [
        intent.fencing_token for _, intent in cluster.servers[server].accepted_orders
    ]


def find_status(cluster: SimulatedCluster, server: str) -> IntentStatus:
    """Return the recorded status of a server's last order."""
    return cluster.platform.objects[ObjectKey("intent", server)].record.status


class OrderMachine(FaultRules):
    """Requested roles, lost answers and faults in random order."""

    policy = POLICY

    @initialize()
    def start(self) -> None:
        """Start the cluster."""
        self.cluster = build_cluster()

    @rule(
        via=st.sampled_from(HOST_NAMES),
        server=st.sampled_from(sorted(SERVERS)),
        role=st.sampled_from(list(ServerRole)),
    )
    def wish(self, via: str, server: str, role: ServerRole) -> None:
        """Request a role for a server."""
        request_role(self.cluster, via, server, role)

    @rule(answers=st.integers(0, 2))
    def lose_answers(self, answers: int) -> None:
        """Drop the next answers of servers to orders."""
        self.cluster.order_answers_to_drop = answers

    @invariant()
    def takes_no_older_order(self) -> None:
        """Check that no server accepts an order after a newer one."""
        if self.cluster is None:
            return
        for server in self.cluster.servers:
            tokens = list_tokens(self.cluster, server)
            assert tokens == sorted(tokens)


@seed(SEED)
@HISTORY_SETTINGS
class SeededOrderMachine(OrderMachine):
    """The machine with a fixed seed."""


class OrderHistoryTest(SeededOrderMachine.TestCase):  # type: ignore[name-defined, misc]
    """In random histories no server accepts an order after a newer one."""


class OrderTest(unittest.TestCase):
    """Orders are recorded, sent and answered, or held back if one is in doubt."""

    def test_wish_reaches_both_kinds(self) -> None:
        """Without faults every requested role is ordered and confirmed."""
        cluster = build_cluster()
        for server in SERVERS:
            request_role(cluster, "h1", server, ServerRole.PREFILL)
        cluster.run_for(SETTLE_SECONDS)
        for server in SERVERS:
            accepted_orders = cluster.servers[server].accepted_orders
            self.assertEqual(accepted_orders[-1][1].role, ServerRole.PREFILL)
            self.assertIs(find_status(cluster, server), IntentStatus.DONE)

    def pause_before_sending(self, server: str) -> tuple[SimulatedCluster, str]:
        """Pause the lease holder after it recorded an order, before it sends it.

        Another role is requested meanwhile. Return the cluster and the holder.
        """
        cluster = build_cluster()
        holder = find_holder(cluster)
        cluster.order_latency = 0.05
        request_role(cluster, holder, server, ServerRole.PREFILL)
        key = ObjectKey("intent", server)
        while cluster.platform.objects[key].record.role is not ServerRole.PREFILL:
            cluster.run_for(0.005)
        cluster.run_for(0.01)
        cluster.pause(holder)
        other = next(name for name in HOST_NAMES if name != holder)
        request_role(cluster, other, server, ServerRole.DECODE)
        cluster.run_for(20)
        return cluster, holder

    def test_fenced_server_rejects_the_late_order(self) -> None:
        """A server that checks fencing rejects the late order of a former holder."""
        cluster, holder = self.pause_before_sending("fenced")
        cluster.resume(holder)
        cluster.run_for(SETTLE_SECONDS)
        roles = [intent.role for _, intent in cluster.servers["fenced"].accepted_orders]
        self.assertEqual(roles, [ServerRole.BOTH, ServerRole.DECODE])

    def test_unfenced_server_gets_no_other_order_meanwhile(self) -> None:
        """No different order is sent while a former holder may still send its own.

        A server that does not check fencing could take the two out of order.
        """
        cluster, _ = self.pause_before_sending("unfenced")
        roles = [
            intent.role for _, intent in cluster.servers["unfenced"].accepted_orders
        ]
        self.assertEqual(roles, [ServerRole.BOTH])

    def test_unfenced_server_goes_on_once_the_sender_answered(self) -> None:
        """The next order is sent once the former holder's order has been answered."""
        cluster, holder = self.pause_before_sending("unfenced")
        cluster.resume(holder)
        cluster.run_for(2 * SETTLE_SECONDS)
        roles = [
            intent.role for _, intent in cluster.servers["unfenced"].accepted_orders
        ]
        expected = [ServerRole.BOTH, ServerRole.PREFILL, ServerRole.DECODE]
        self.assertEqual(roles, expected)

    def test_doubt_outlasts_a_record_that_was_lost(self) -> None:
        """Accepting a repeated order does not clear the doubt about an earlier one.

        The answer to the first order is lost, and the record of the doubt too.
        """
        cluster = build_cluster()
        holder = find_holder(cluster)
        key = ObjectKey("intent", "unfenced")
        request_role(cluster, holder, "unfenced", ServerRole.PREFILL)
        while cluster.platform.objects[key].record.role is not ServerRole.PREFILL:
            cluster.run_for(0.005)
        cluster.order_answers_to_drop = 1
        cluster.run_for(0.008)
        cluster.block_link(holder, PLATFORM_NAME)
        cluster.run_for(0.5)
        cluster.heal()
        cluster.run_for(2 * SETTLE_SECONDS)
        self.assertGreater(len(cluster.servers["unfenced"].accepted_orders), 2)
        self.assertIsNot(find_status(cluster, "unfenced"), IntentStatus.DONE)

    def test_lost_answer_blocks_other_orders_of_unfenced(self) -> None:
        """After a lost answer an unfenced server gets only the same order again."""
        cluster = build_cluster()
        cluster.order_answers_to_drop = 1
        request_role(cluster, "h0", "unfenced", ServerRole.PREFILL)
        cluster.run_for(SETTLE_SECONDS)
        request_role(cluster, "h0", "unfenced", ServerRole.DECODE)
        cluster.run_for(SETTLE_SECONDS)
        roles = {
            intent.role for _, intent in cluster.servers["unfenced"].accepted_orders[1:]
        }
        self.assertEqual(roles, {ServerRole.PREFILL})
