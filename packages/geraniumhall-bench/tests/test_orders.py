"""An engine never receives conflicting orders, whoever believes to be in charge."""

import unittest
from random import Random

from histories import HISTORY_SETTINGS, NAMES, SEED, FaultRules
from hypothesis import seed
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, rule

from geraniumhall_bench.virtual import PLATFORM_NAME, VirtualHosts
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

SERVERS = {"fenced": True, "unfenced": False}
SETTLE_SECONDS = 8.0
OWNER = Workspace(rate=1.0, burst=1.0)
ENTRY = CatalogueEntry(owner="audit", service_class=ServiceClass.MODEL)
POLICY = {"lease_ttl": 3.0, "lease_margin": 0.5}


def build_hosts() -> VirtualHosts:
    """Return three joined daemons and a server of each kind."""
    hosts = VirtualHosts(Random(9))
    for name in NAMES:
        hosts.start(name, **POLICY)
    hosts.run_for(SETTLE_SECONDS)
    hosts.call_admin("h0", WriteRecord(ObjectKey("workspace", "audit"), OWNER, 0))
    hosts.run_for(0.1)
    hosts.call_admin("h0", WriteRecord(ObjectKey("entry", "draft"), ENTRY, 0))
    for name, checks_fencing in SERVERS.items():
        server = BackendServer(
            address="10.0.0.1:80",
            failure_domain="a",
            entries=(),
            checks_fencing=checks_fencing,
        )
        hosts.call_admin("h0", WriteRecord(ObjectKey("server", name), server, 0))
        hosts.run_for(0.1)
        wish_for(hosts, "h0", name, ServerRole.BOTH)
    hosts.run_for(SETTLE_SECONDS)
    return hosts


def wish_for(hosts: VirtualHosts, via: str, server: str, role: ServerRole) -> None:
    """Ask for a role through a daemon."""
    key = ObjectKey("wish", server)
    found = hosts.platform.objects.get(key)
    version = found.version if found else 0
    hosts.call_admin(via, WriteRecord(key, DesiredRole(role=role), version))


def find_holder(hosts: VirtualHosts) -> str:
    """Return the daemon in charge of the servers."""
    return next(
        name
        for name, daemon in hosts.daemons.items()
        if find_held_term(daemon.state, hosts.now) is not None
    )


def list_tokens(hosts: VirtualHosts, server: str) -> list[int]:
    """Return the fencing tokens of the orders that a server took, in order."""
    return [intent.fencing_token for _, intent in hosts.servers[server].taken]


def find_status(hosts: VirtualHosts, server: str) -> IntentStatus:
    """Return what the platform says of a server's last order."""
    return hosts.platform.objects[ObjectKey("intent", server)].record.status


class OrderMachine(FaultRules):
    """Wishes and lost answers among the faults."""

    policy = POLICY

    @initialize()
    def start(self) -> None:
        """Start the daemons."""
        self.hosts = build_hosts()

    @rule(
        via=st.sampled_from(NAMES),
        server=st.sampled_from(sorted(SERVERS)),
        role=st.sampled_from(list(ServerRole)),
    )
    def wish(self, via: str, server: str, role: ServerRole) -> None:
        """Ask for another role."""
        wish_for(self.hosts, via, server, role)

    @rule(answers=st.integers(0, 2))
    def lose_answers(self, answers: int) -> None:
        """Lose the next answers of servers."""
        self.hosts.lost_order_answers = answers

    @invariant()
    def takes_no_older_order(self) -> None:
        """No server takes an order after a newer one."""
        if self.hosts is None:
            return
        for server in self.hosts.servers:
            tokens = list_tokens(self.hosts, server)
            assert tokens == sorted(tokens)


@seed(SEED)
@HISTORY_SETTINGS
class SeededOrderMachine(OrderMachine):
    """The machine with its fixed seed."""


class OrderHistoryTest(SeededOrderMachine.TestCase):  # type: ignore[name-defined, misc]
    """Random histories bring no server an older order."""


class OrderTest(unittest.TestCase):
    """Orders are recorded, sent, answered, and held back where in doubt."""

    def test_wish_reaches_both_kinds(self) -> None:
        """Without faults every wish is carried out."""
        hosts = build_hosts()
        for server in SERVERS:
            wish_for(hosts, "h1", server, ServerRole.PREFILL)
        hosts.run_for(SETTLE_SECONDS)
        for server in SERVERS:
            taken = hosts.servers[server].taken
            self.assertEqual(taken[-1][1].role, ServerRole.PREFILL)
            self.assertIs(find_status(hosts, server), IntentStatus.DONE)

    def pause_before_sending(self, server: str) -> tuple[VirtualHosts, str]:
        """Pause the sender after its check and before its order leaves."""
        hosts = build_hosts()
        holder = find_holder(hosts)
        hosts.order_latency = 0.05
        wish_for(hosts, holder, server, ServerRole.PREFILL)
        key = ObjectKey("intent", server)
        while hosts.platform.objects[key].record.role is not ServerRole.PREFILL:
            hosts.run_for(0.005)
        hosts.run_for(0.01)
        hosts.pause(holder)
        other = next(name for name in NAMES if name != holder)
        wish_for(hosts, other, server, ServerRole.DECODE)
        hosts.run_for(20)
        return hosts, holder

    def test_fenced_server_rejects_the_late_order(self) -> None:
        """The successor's order stands; the late one is rejected."""
        hosts, holder = self.pause_before_sending("fenced")
        hosts.resume(holder)
        hosts.run_for(SETTLE_SECONDS)
        roles = [intent.role for _, intent in hosts.servers["fenced"].taken]
        self.assertEqual(roles, [ServerRole.BOTH, ServerRole.DECODE])

    def test_unfenced_server_gets_no_other_order_meanwhile(self) -> None:
        """While the sender may still send, nobody sends a different order."""
        hosts, _ = self.pause_before_sending("unfenced")
        roles = [intent.role for _, intent in hosts.servers["unfenced"].taken]
        self.assertEqual(roles, [ServerRole.BOTH])

    def test_unfenced_server_goes_on_once_the_sender_answered(self) -> None:
        """When the sender has recorded its answer, the next order goes out."""
        hosts, holder = self.pause_before_sending("unfenced")
        hosts.resume(holder)
        hosts.run_for(2 * SETTLE_SECONDS)
        roles = [intent.role for _, intent in hosts.servers["unfenced"].taken]
        expected = [ServerRole.BOTH, ServerRole.PREFILL, ServerRole.DECODE]
        self.assertEqual(roles, expected)

    def test_doubt_outlasts_a_record_that_was_lost(self) -> None:
        """A repeated order that is accepted does not clear an earlier doubt."""
        hosts = build_hosts()
        holder = find_holder(hosts)
        key = ObjectKey("intent", "unfenced")
        wish_for(hosts, holder, "unfenced", ServerRole.PREFILL)
        while hosts.platform.objects[key].record.role is not ServerRole.PREFILL:
            hosts.run_for(0.005)
        hosts.lost_order_answers = 1
        hosts.run_for(0.008)
        hosts.cut(holder, PLATFORM_NAME)
        hosts.run_for(0.5)
        hosts.heal()
        hosts.run_for(2 * SETTLE_SECONDS)
        self.assertGreater(len(hosts.servers["unfenced"].taken), 2)
        self.assertIsNot(find_status(hosts, "unfenced"), IntentStatus.DONE)

    def test_lost_answer_blocks_other_orders_of_unfenced(self) -> None:
        """After a lost answer an unfenced server gets the same order only."""
        hosts = build_hosts()
        hosts.lost_order_answers = 1
        wish_for(hosts, "h0", "unfenced", ServerRole.PREFILL)
        hosts.run_for(SETTLE_SECONDS)
        wish_for(hosts, "h0", "unfenced", ServerRole.DECODE)
        hosts.run_for(SETTLE_SECONDS)
        roles = {intent.role for _, intent in hosts.servers["unfenced"].taken[1:]}
        self.assertEqual(roles, {ServerRole.PREFILL})
