"""Tests of a store that comes back from an older copy, on simulated hosts."""

import unittest
from collections import Counter, defaultdict
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any

import attrs
from test_rate_sums import ALLOWED, RECORDS, Fleet

from geraniumhall_bench.simulation import PLATFORM_NAME, SimulatedCluster
from geraniumhall_bench.simulation.records import DeliveredDuty, SimulatedDaemon
from geraniumhall_core.catalogue import (
    CONFIGURATION_KEY,
    REGISTERED_SERVER_KIND,
    BackendServer,
    CatalogueEntry,
    Configuration,
    ScaleBounds,
    Service,
    ServiceClass,
    Workspace,
)
from geraniumhall_core.handlers.leases import find_held_term
from geraniumhall_core.parts import PART_KIND, PartHold, PartRecord
from geraniumhall_core.platform import PutObject, ReportUsage, ScaleService
from geraniumhall_core.platform_model import PlatformState
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.registry import Registry
from geraniumhall_core.requests import CallerRequest, ModelTarget

JOIN_SECONDS = 8.0
TTL_SECONDS = 3.0
POLICY: dict[str, Any] = {
    "usage_window": 5.0,
    "lease_ttl": TTL_SECONDS,
    "lease_margin": 0.5,
    "seal_grace": 1.0,
    "publish_interval": 1.2,
    "watch_wait": 1.0,
    "stale_after": 4.5,
    "host_silence": 4.0,
    "scaling": "reclaimable_first",
}
APPLY_SECONDS = 5.0
EMPTY_COPY = PlatformState().copy
SCALE = ScaleBounds(
    minimum=4, maximum=9, prices={"a": 1.0}, reclaimable_price=0.4, boot_seconds=2.0
)


def build_configuration(version: int, keys: dict[str, Any]) -> Configuration:
    """Return a configuration with one entry, which is open to all, and these keys."""
    entry = CatalogueEntry(
        owner="audit", service_class=ServiceClass.MODEL, open_to_all=True
    )
    return Configuration(
        version=version,
        entries={"draft": entry},
        services={"draft": Service(scale=SCALE)},
        workspaces={"audit": Workspace(rate=1e6, burst=1e6)},
        keys=keys,
    )


def build_server_key(name: str) -> ObjectKey:
    """Return the key of a server's registration."""
    return ObjectKey(REGISTERED_SERVER_KIND, name)


@attrs.define(eq=False)
class Drill:
    """Hosts, an operator and servers around a store that is rewound.

    `written` holds what operator and servers wrote last; it is written again
    `REWRITE_SECONDS` after a rewind at the latest. `in_force` holds the newest
    configuration that a process has had.
    """

    cluster: SimulatedCluster
    written: dict[ObjectKey, Any] = attrs.field(factory=dict)
    in_force: dict[int, int] = attrs.field(factory=dict)
    left: dict[int, set[str]] = attrs.field(factory=lambda: defaultdict(set))
    findings: list[str] = attrs.field(factory=list)
    ids: count = attrs.field(factory=lambda: count(1))

    @classmethod
    def from_seed(cls, hosts: int, seed: int, **policy: Any) -> "Drill":
        """Return a drill whose hosts have joined and whose store has a copy."""
        drill = cls(SimulatedCluster(Random(seed)))
        drill.write(CONFIGURATION_KEY, build_configuration(1, {"k0": "digest"}))
        for number in range(3):
            server = BackendServer(
                address=f"e{number}:80",
                failure_domain="a",
                service="draft",
                started_at=1,
            )
            drill.write(build_server_key(f"e{number}"), server)
        for number in range(hosts):
            drill.cluster.start(f"h{number}", **(POLICY | policy))
        drill.cluster.run_for(JOIN_SECONDS)
        drill.cluster.copy_store()
        return drill

    @property
    def daemons(self) -> dict[str, SimulatedDaemon]:
        """The processes that run, by host."""
        return {n: d for n, d in self.cluster.daemons.items() if d.is_alive}

    def write(self, key: ObjectKey, record: Any) -> None:
        """Write an object as the operator or a server does."""
        self.written[key] = record
        self.cluster.write_object(key, record)

    def rewind(self, rewrite_after: float = 1.0) -> None:
        """Rewind the store; operator and servers write again after some time."""
        self.cluster.rewind_store()
        self.cluster.call_later(rewrite_after, self.write_again)

    def write_again(self) -> None:
        """Write again what the operator and the servers wrote."""
        for key, record in self.written.items():
            self.cluster.write_object(key, record)

    def withdraw_key(self) -> None:
        """Replace the key by a new one."""
        version = self.written[CONFIGURATION_KEY].version + 1
        keys = {f"k{version}": "digest"}
        self.write(CONFIGURATION_KEY, build_configuration(version, keys))

    def replace_server(self) -> None:
        """Let a server leave, and register a new process of it later."""
        key = build_server_key(f"e{self.cluster.random.randrange(3)}")
        server = self.written[key]
        if server.leaving:
            started_at = server.started_at + 1
            self.write(key, attrs.evolve(server, leaving=False, started_at=started_at))
        else:
            self.write(key, attrs.evolve(server, leaving=True))

    def serve(self) -> None:
        """Send a request to some host."""
        host = self.cluster.random.choice(list(self.daemons))
        request = CallerRequest(
            request_id=f"r{next(self.ids)}", target=ModelTarget("draft")
        )
        self.cluster.request(host, request)

    def run(self, seconds: float) -> None:
        """Advance virtual time, and check what must hold at any moment."""
        end = self.cluster.now + seconds
        while self.cluster.now < end:
            self.cluster.run_for(0.1)
            self.serve()
            for name, daemon in self.daemons.items():
                if not daemon.is_paused:
                    self._check_process(name, daemon)
            holders = list_holders(self.cluster)
            if len(holders) > 1:
                self.findings.append(f"{self.cluster.now:.1f}: holders {holders}")

    def _check_process(self, name: str, daemon: SimulatedDaemon) -> None:
        """Check that a process takes back neither a configuration nor a leave."""
        state, identity = daemon.state, daemon.state.policy.incarnation
        configuration = state.catalogue.configuration
        version = configuration.version if configuration else 0
        if version < self.in_force.get(identity, 0):
            self.findings.append(f"{self.cluster.now:.1f}: {name} took back a version")
        self.in_force[identity] = version
        for server, record in state.catalogue.servers.items():
            start = f"{server}/{record.started_at}"
            if record.leaving:
                self.left[identity].add(start)
            elif start in self.left[identity]:
                self.findings.append(f"{self.cluster.now:.1f}: {name} uses {start}")

    def list_outdated(self) -> list[str]:
        """Return the hosts that do not have what was written last."""
        configuration = self.written[CONFIGURATION_KEY]
        servers = {k.name: r for k, r in self.written.items() if k != CONFIGURATION_KEY}
        return [
            name
            for name, daemon in self.daemons.items()
            if daemon.state.catalogue.configuration != configuration
            or daemon.state.catalogue.servers != servers
        ]


def list_holders(cluster: SimulatedCluster) -> list[tuple[str, int]]:
    """Return the hosts that hold the lease by their own clock, with their terms."""
    return [
        (name, term)
        for name, daemon in cluster.daemons.items()
        if daemon.is_alive
        and not daemon.is_paused
        and (term := find_held_term(daemon.state, cluster.now)) is not None
    ]


def find_shared_tokens(duties: list[DeliveredDuty]) -> list[int]:
    """Return the fencing tokens that several hosts have sent."""
    hosts = defaultdict(set)
    for duty in duties:
        hosts[duty.message.fencing_token].add(duty.message.host)
    return [token for token, names in hosts.items() if len(names) > 1]


def find_falling_tokens(duties: list[DeliveredDuty]) -> list[tuple[int, int]]:
    """Return neighbouring tokens of calls of different hosts that do not rise."""
    pairs = zip(duties, duties[1:], strict=False)
    return [
        (first.message.fencing_token, second.message.fencing_token)
        for first, second in pairs
        if second.message.fencing_token < first.message.fencing_token
    ]


def find_double_reports(cluster: SimulatedCluster) -> list[int]:
    """Return the windows that were reported with several figures."""
    reports = {
        (m.window, m.lines)
        for m in cluster.platform_messages
        if isinstance(m, ReportUsage)
    }
    windows = Counter(window for window, _ in reports)
    return [window for window, number in windows.items() if number > 1]


FAULTS: Registry[str, Callable[[Drill, str], None]] = Registry("drill fault")


@FAULTS.register("rewind")
def rewind(drill: Drill, host: str) -> None:
    """Rewind the store, sometimes twice in a row."""
    drill.rewind(drill.cluster.random.uniform(0.1, 1.0))
    if drill.cluster.random.random() < 0.3:
        drill.cluster.call_later(drill.cluster.random.uniform(0.0, 4.0), drill.rewind)


@FAULTS.register("rewind and kill the holder")
def rewind_and_kill(drill: Drill, host: str) -> None:
    """Rewind the store and kill the holder of the lease right after it."""
    holders = list_holders(drill.cluster)
    drill.rewind()
    if holders:
        restart(drill, holders[0][0])


@FAULTS.register("copy")
def copy(drill: Drill, host: str) -> None:
    """Make a newer copy of the store."""
    drill.cluster.copy_store()


@FAULTS.register("cut")
def cut(drill: Drill, host: str) -> None:
    """Cut a host off from the store for a while."""
    drill.cluster.block_link(host, PLATFORM_NAME)
    drill.cluster.call_later(drill.cluster.random.uniform(0.5, 6.0), drill.cluster.heal)


@FAULTS.register("freeze")
def freeze(drill: Drill, host: str) -> None:
    """Freeze a host for a while."""
    daemon = drill.cluster.daemons[host]
    drill.cluster.pause(host)

    def resume() -> None:
        if drill.cluster.daemons[host] is daemon:
            drill.cluster.resume(host)

    drill.cluster.call_later(drill.cluster.random.uniform(0.5, 6.0), resume)


@FAULTS.register("restart")
def restart(drill: Drill, host: str) -> None:
    """Kill a host's process and start the next one."""
    policy = drill.cluster.daemons[host].state.policy
    changed = {name: getattr(policy, name) for name in (*POLICY, "checks_fencing")}
    drill.cluster.kill(host)
    drill.cluster.start(host, **changed)


@FAULTS.register("lose")
def lose(drill: Drill, host: str) -> None:
    """Lose the next answers of the store."""
    drill.cluster.replies_to_drop += 2


@FAULTS.register("delay")
def delay(drill: Drill, host: str) -> None:
    """Deliver the next write seconds late."""
    drill.cluster.delayed_calls.append(lambda message: isinstance(message, PutObject))


@FAULTS.register("withdraw")
def withdraw(drill: Drill, host: str) -> None:
    """Withdraw the key that is in use."""
    drill.withdraw_key()


@FAULTS.register("replace")
def replace(drill: Drill, host: str) -> None:
    """Let a server leave, or register its next process."""
    drill.replace_server()


class RandomHistoryTest(unittest.TestCase):
    """What must hold in random histories with rewinds."""

    def play(self, hosts: int, seed: int, seconds: float, **policy: Any) -> Drill:
        """Return a drill after a fault every second or so, and their end."""
        drill = Drill.from_seed(hosts, seed, **policy)
        random = drill.cluster.random
        end = drill.cluster.now + seconds
        while drill.cluster.now < end:
            FAULTS.find(random.choice(sorted(FAULTS)))(
                drill, random.choice(list(drill.daemons))
            )
            drill.run(random.uniform(0.2, 1.6))
        drill.cluster.heal()
        drill.cluster.replies_to_drop = 0
        drill.cluster.delayed_calls.clear()
        drill.run(3 * APPLY_SECONDS)
        return drill

    def check(self, drill: Drill) -> None:
        """Check a drill's findings, duties and reports, and what its hosts know."""
        cluster = drill.cluster
        self.assertEqual(drill.findings, [])
        self.assertEqual(find_shared_tokens(cluster.delivered_duties), [])
        self.assertEqual(find_double_reports(cluster), [])
        self.assertEqual(drill.list_outdated(), [])
        eras = {daemon.state.era.number for daemon in drill.daemons.values()}
        self.assertEqual(eras, {cluster.platform.revision.era})
        self.assertEqual(len(list_holders(cluster)), 1)

    def test_nine_hosts(self) -> None:
        """Withdrawn keys, leaves, fences and usage hold at 9 hosts."""
        for seed in range(6):
            with self.subTest(seed=seed):
                self.check(self.play(9, seed, 40.0))

    def test_platform_that_checks_no_tokens(self) -> None:
        """There the tokens of duty calls arrive in their order, too."""
        for seed in range(12, 16):
            with self.subTest(seed=seed):
                drill = self.play(9, seed, 40.0, checks_fencing=False)
                self.check(drill)
                duties = drill.cluster.delivered_duties
                for kind in (ReportUsage, ScaleService):
                    calls = [d for d in duties if isinstance(d.message, kind)]
                    self.assertEqual(find_falling_tokens(calls), [])

    def test_many_hosts(self) -> None:
        """The same at 79 hosts."""
        for seed in (30,):
            with self.subTest(seed=seed):
                self.check(self.play(79, seed, 12.0))


class LeaseTest(unittest.TestCase):
    """The lease changes hands without overlap where the store has lost it."""

    def find_overlap(self, drill: Drill, seconds: float) -> list[str]:
        """Return the moments at which two hosts held the lease."""
        drill.findings.clear()
        drill.run(seconds)
        return drill.findings

    def test_holder_that_does_not_know_the_era(self) -> None:
        """It is cut off from the store, and the copy has no lease or an older one."""
        for copied_at_start in (True, False):
            with self.subTest(copied_at_start=copied_at_start):
                drill = Drill.from_seed(9, 40)
                if copied_at_start:
                    drill.cluster.platform.copy = EMPTY_COPY
                holder = list_holders(drill.cluster)[0][0]
                drill.run(1.0)
                drill.cluster.block_link(holder, PLATFORM_NAME)
                drill.rewind()
                self.assertEqual(self.find_overlap(drill, 3 * TTL_SECONDS), [])
                self.assertNotEqual(list_holders(drill.cluster)[0][0], holder)

    def test_holder_that_took_the_lease_after_the_copy(self) -> None:
        """The copy's holder, which was replaced, does not go on under its old term."""
        drill = Drill.from_seed(9, 41)
        first = list_holders(drill.cluster)[0][0]
        drill.cluster.block_link(first, PLATFORM_NAME)
        drill.run(3 * TTL_SECONDS)
        second, term = list_holders(drill.cluster)[0]
        drill.cluster.heal()
        drill.run(2.0)
        drill.cluster.block_link(second, PLATFORM_NAME)
        drill.rewind()
        self.assertEqual(self.find_overlap(drill, 3 * TTL_SECONDS), [])
        self.assertGreater(list_holders(drill.cluster)[0][1], term)

    def test_holder_killed_right_after_the_rewind(self) -> None:
        """Its next process takes the lease no sooner than any other host."""
        drill = Drill.from_seed(9, 42)
        holder, term = list_holders(drill.cluster)[0]
        drill.rewind()
        restart(drill, holder)
        drill.run(TTL_SECONDS)
        self.assertEqual(list_holders(drill.cluster), [])
        drill.run(TTL_SECONDS)
        self.assertGreater(list_holders(drill.cluster)[0][1], term)


class RewindTest(unittest.TestCase):
    """One rewind, seen from the hosts one by one."""

    def test_hosts_have_a_change_within_the_usual_bound(self) -> None:
        """A key that is withdrawn and a server that leaves after a rewind."""
        for hosts in (9, 79):
            with self.subTest(hosts=hosts):
                drill = Drill.from_seed(hosts, 50)
                drill.run(20.0)
                drill.rewind(rewrite_after=0.2)
                drill.run(1.0)
                drill.withdraw_key()
                drill.replace_server()
                drill.run(APPLY_SECONDS)
                self.assertEqual((drill.list_outdated(), drill.findings), ([], []))

    def test_hosts_are_ready_again(self) -> None:
        """They confirm their copies in the new era."""
        drill = Drill.from_seed(9, 51)
        drill.rewind()
        drill.run(3.0)
        ages = [
            daemon.state.compute_catalogue_age(drill.cluster.now)
            for daemon in drill.daemons.values()
        ]
        self.assertLess(max(ages), POLICY["stale_after"])

    def test_records_are_written_again_without_a_herd(self) -> None:
        """Every host's within four seconds, and few at a time.

        They are read every 0.6 s. 20 records occupy the thinnest link for 45 ms of the
        150 ms that streams may pause.
        """
        drill = Drill.from_seed(79, 52)
        drill.cluster.platform.copy = EMPTY_COPY
        drill.rewind()
        before = len(drill.cluster.platform_messages)
        counts = []
        for _ in range(16):
            drill.run(0.25)
            messages = drill.cluster.platform_messages
            counts.append(
                sum(
                    isinstance(message, PutObject) and message.key.kind == "host"
                    for message in messages[before:]
                )
            )
            before = len(messages)
        written = {k.name for k in drill.cluster.platform.objects if k.kind == "host"}
        self.assertEqual(written, set(drill.daemons))
        reads = [sum(counts[start : start + 3]) for start in range(14)]
        self.assertLessEqual(max(reads), 20 * 150 / 45)

    def test_held_part_is_held_on_all_hosts(self) -> None:
        """Also on one that starts afterwards, since its record is written again."""
        drill = Drill.from_seed(9, 53)
        key = ObjectKey(PART_KIND, "p")
        drill.cluster.write_object(key, PartRecord(hold=PartHold()))
        drill.run(2.0)
        drill.rewind()
        drill.run(APPLY_SECONDS)
        restart(drill, "h3")
        drill.run(2.0)
        for daemon in drill.daemons.values():
            self.assertIsNotNone(daemon.state.quarantine.parts["p"].hold)


class ShareTest(unittest.TestCase):
    """A workspace keeps to its limit while hosts learn of an era one by one."""

    def test_tokens_keep_to_the_limit(self) -> None:
        """Rewinds beside cuts, freezes and kills, under 1.6 times the limit."""
        for seed in (60, 61):
            with self.subTest(seed=seed):
                fleet = Fleet.from_seed(9, seed)
                fleet.cluster.copy_store()
                since = fleet.cluster.now
                for host in fleet.cluster.random.sample(list(fleet.living), 4):
                    fleet.cluster.rewind_store()
                    fleet.cluster.call_later(0.5, lambda f=fleet: write_records(f))
                    fleet.pause(host, 1.5)
                    fleet.run(3.0)
                    fleet.kill(host)
                    fleet.run(4.0)
                self.assertLessEqual(fleet.find_most(since), ALLOWED)
                self.assertGreater(fleet.measure_use(since), 0.5)


def write_records(fleet: Fleet) -> None:
    """Write the workspace's catalogue again, as the operator does."""
    for key, record in RECORDS.items():
        fleet.cluster.write_object(key, record)
