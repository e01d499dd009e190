"""Tests of followers that confirm their copies by readers, simulated."""

import unittest
from collections import Counter
from random import Random

from copies import DOMAINS, ENTRY, HOSTS, POLICY, build_cluster

from geraniumhall_bench.simulation import PLATFORM_NAME, SimulatedCluster
from geraniumhall_core.catalogue import (
    CONFIGURATION_KEY,
    REGISTERED_SERVER_KIND,
    Configuration,
)
from geraniumhall_core.handlers.confirmations import is_reader
from geraniumhall_core.platform import (
    DeleteObject,
    Feed,
    ListObjects,
    PutObject,
    WatchObjects,
)
from geraniumhall_core.records import ObjectKey

APPLY_SECONDS = 3.0
READY_SECONDS = POLICY["unready_after"]
WRITER = "h0"  # never cut off, so that the time of its writes is known


def list_feed_reads(cluster: SimulatedCluster) -> Counter[str]:
    """Return how many reads of the configuration and servers reached the store."""
    feeds = (Feed.CONFIGURATION, Feed.SERVERS)
    return Counter(
        message.feed.value
        for message in cluster.platform_messages
        if isinstance(message, ListObjects | WatchObjects) and message.feed in feeds
    )


def count_reads(confirmation: str, hosts: int = HOSTS) -> int:
    """Return the reads of the relayed feeds in half a minute without changes."""
    cluster = build_cluster(confirmation, hosts)
    cluster.run_for(10.0)
    cluster.platform_messages.clear()
    cluster.run_for(30.0)
    return list_feed_reads(cluster).total()


def find_follower(cluster: SimulatedCluster) -> str:
    """Return a host that does not read the store."""
    return next(
        name
        for name, daemon in cluster.daemons.items()
        if name != WRITER and not is_reader(daemon.state, cluster.now)
    )


class RelayTest(unittest.TestCase):
    """Followers confirm their copies by the word of readers."""

    def setUp(self) -> None:
        """Start a cluster whose hosts know each other."""
        self.cluster = build_cluster("relayed")
        self.cluster.run_for(10.0)

    def watch_ages(self, seconds: float, left_out: tuple[str, ...] = ()) -> float:
        """Return the highest age of a running host's catalogue over some time."""
        highest = 0.0
        for _ in range(round(seconds / 0.1)):
            self.cluster.run_for(0.1)
            ages = [
                daemon.state.compute_catalogue_age(self.cluster.now)
                for name, daemon in self.cluster.daemons.items()
                if daemon.is_alive and not daemon.is_paused and name not in left_out
            ]
            highest = max(highest, *ages)
        return highest

    def list_readers(self, domain: str = "a") -> list[str]:
        """Return the running hosts of a failure domain that read the store."""
        return [
            name
            for name, daemon in self.cluster.daemons.items()
            if daemon.state.policy.failure_domain == domain
            and daemon.is_alive
            and is_reader(daemon.state, self.cluster.now)
        ]

    def write_configuration(self, version: int) -> None:
        """Write a configuration without entries."""
        item = self.cluster.platform.objects[CONFIGURATION_KEY]
        configuration = Configuration(version=version)
        message = PutObject(CONFIGURATION_KEY, configuration, item.version)
        self.cluster.call_platform(WRITER, message, lambda answer: None)

    def remove_server(self, name: str) -> None:
        """Delete a server's registration."""
        key = ObjectKey(REGISTERED_SERVER_KIND, name)
        message = DeleteObject(key, self.cluster.platform.objects[key].version)
        self.cluster.call_platform(WRITER, message, lambda answer: None)

    def test_two_hosts_of_each_domain_read(self) -> None:
        """All other hosts follow."""
        for domain in DOMAINS:
            self.assertEqual(len(self.list_readers(domain)), 2)

    def test_hosts_stay_ready(self) -> None:
        """In calm no copy gets as old as that a host is taken out of use."""
        self.assertLessEqual(self.watch_ages(30.0), READY_SECONDS)

    def test_reads_do_not_grow_with_the_hosts(self) -> None:
        """With twice the hosts the reads of configuration and servers are the same."""
        few, many = count_reads("relayed", 18), count_reads("relayed", 36)
        self.assertLessEqual(many, few * 1.1)
        self.assertLessEqual(many, count_reads("store", 36) / 2)

    def test_configuration_is_applied_in_time(self) -> None:
        """Every host knows a new configuration within its bound."""
        self.write_configuration(2)
        self.cluster.run_for(APPLY_SECONDS)
        for daemon in self.cluster.daemons.values():
            self.assertEqual(daemon.state.catalogue.configuration.version, 2)

    def test_leaving_server_is_known_in_time(self) -> None:
        """Changes of servers are relayed to every follower."""
        self.remove_server("e1")
        self.cluster.run_for(APPLY_SECONDS)
        relayed = 0
        for daemon in self.cluster.daemons.values():
            self.assertNotIn("e1", daemon.state.catalogue.servers)
            self.assertIn("e2", daemon.state.catalogue.servers)
            relayed += daemon.state.counters["copies.relayed_changes"]
        self.assertEqual(relayed, HOSTS - 2 * len(DOMAINS))

    def test_reader_that_ends_is_replaced(self) -> None:
        """Its followers stay ready, and another host reads instead."""
        self.cluster.kill(self.list_readers()[0])
        self.assertLessEqual(self.watch_ages(25.0), READY_SECONDS)
        self.assertEqual(len(self.list_readers()), 2)

    def test_readers_that_end_together_are_replaced(self) -> None:
        """Without any reader the followers read the store themselves for a while."""
        for name in self.list_readers():
            self.cluster.kill(name)
        self.assertLessEqual(self.watch_ages(25.0), READY_SECONDS)

    def test_frozen_reader_is_replaced(self) -> None:
        """A reader that is suspended for seconds is no loss of readiness for others."""
        first = self.list_readers()[0]
        self.cluster.pause(first)
        self.assertLessEqual(self.watch_ages(8.0), READY_SECONDS)
        self.cluster.resume(first)
        self.assertLessEqual(self.watch_ages(5.0, (first,)), READY_SECONDS)

    def test_restarted_reader_is_no_loss(self) -> None:
        """A reader that starts again leaves the others ready."""
        first = self.list_readers()[0]
        self.cluster.kill(first)
        self.assertLessEqual(self.watch_ages(0.5), READY_SECONDS)
        self.cluster.start(first, "a", confirmation="relayed", **POLICY)
        self.assertLessEqual(self.watch_ages(10.0, (first,)), READY_SECONDS)

    def test_reader_behind_the_store_is_replaced(self) -> None:
        """The followers of a reader that is cut off from the store stay ready."""
        first = self.list_readers()[0]
        self.cluster.block_link(first, PLATFORM_NAME)
        self.assertLessEqual(self.watch_ages(15.0, (first,)), READY_SECONDS)

    def test_refused_hosts_find_one_that_is_served(self) -> None:
        """A host that is refused with both readers stays ready by a third host."""
        follower = next(
            name
            for name, daemon in self.cluster.daemons.items()
            if daemon.state.policy.failure_domain == "a"
            and name not in (*self.list_readers(), WRITER)
        )
        for name in (*self.list_readers(), follower):
            self.cluster.block_link(name, PLATFORM_NAME)
        self.cluster.run_for(6.0)
        state = self.cluster.daemons[follower].state
        for _ in range(60):
            self.cluster.run_for(0.1)
            self.assertTrue(state.is_ready(self.cluster.now))

    def test_lost_messages_leave_hosts_ready(self) -> None:
        """With a third of the messages lost, hosts read the store where they must."""
        self.cluster.peer_loss = 0.33
        self.assertLessEqual(self.watch_ages(20.0), READY_SECONDS)

    def test_hosts_without_the_store_confirm_nothing(self) -> None:
        """Hosts that only hear each other don't keep each other's copies fresh."""
        names = [
            name
            for name, daemon in self.cluster.daemons.items()
            if daemon.state.policy.failure_domain == "a"
        ]
        for name in names:
            self.cluster.block_link(name, PLATFORM_NAME)
        self.cluster.run_for(POLICY["stale_after"] + 1.0)
        for name in names:
            state = self.cluster.daemons[name].state
            age = state.compute_catalogue_age(self.cluster.now)
            self.assertGreater(age, POLICY["stale_after"])


class ProofTest(unittest.TestCase):
    """A copy that counts as confirmed has every change made before then."""

    def test_delayed_answer_proves_only_its_time(self) -> None:
        """Answers that waited for a suspended follower prove nothing later."""
        for moment in (0.0, 0.1, 0.2, 0.3, 0.4, 0.5):
            with self.subTest(moment=moment):
                self.check_suspended_follower(moment)

    def check_suspended_follower(self, moment: float) -> None:
        """Suspend a follower for 8 s while answers are on their way to it."""
        cluster = build_cluster("relayed")
        cluster.peer_latency = 0.1
        cluster.run_for(10.0 + moment)
        follower = find_follower(cluster)
        cluster.pause(follower)
        stopped_at = cluster.now
        cluster.run_for(8.0)
        cluster.block_link(follower, PLATFORM_NAME)
        cluster.blocked_links |= {(name, follower) for name in cluster.daemons}
        cluster.resume(follower)
        cluster.run_for(0.05)
        feed = cluster.daemons[follower].state.feeds[Feed.CONFIGURATION]
        self.assertLessEqual(feed.confirmed_at, stopped_at)

    def test_random_faults_never_confirm_too_much(self) -> None:
        """Cuts, freezes, restarts and losses leave every claim of a host true."""
        for number in range(6):
            with self.subTest(seed=number):
                self.play_faults(Random(number))

    def play_faults(self, random: Random) -> None:
        """Inject faults while the configuration changes; check every host's claim."""
        cluster = build_cluster("relayed")
        cluster.run_for(8.0)
        written_at = {1: 0.0}
        for step in range(60):
            self.inject(cluster, random)
            if step % 4 == 0:
                version = step + 2
                item = cluster.platform.objects[CONFIGURATION_KEY]
                record = Configuration(version=version, entries={"draft": ENTRY})
                message = PutObject(CONFIGURATION_KEY, record, item.version)
                cluster.call_platform(WRITER, message, lambda answer: None)
                written_at[version] = cluster.now + cluster.platform_latency
            cluster.run_for(random.random())
            self.check_claims(cluster, written_at)

    def inject(self, cluster: SimulatedCluster, random: Random) -> None:
        """Bring about or end one fault of one host."""
        name = random.choice([name for name in cluster.daemons if name != WRITER])
        daemon = cluster.daemons[name]
        fault = random.randrange(6)
        if fault == 0 and not daemon.is_paused:
            cluster.pause(name)
        elif fault == 1 and daemon.is_paused:
            cluster.resume(name)
        elif fault == 2:
            cluster.block_link(name, PLATFORM_NAME)
        elif fault == 3:
            cluster.heal()
        elif fault == 4:
            cluster.kill(name)
            domain = daemon.state.policy.failure_domain
            cluster.start(name, domain, confirmation="relayed", **POLICY)
        else:
            cluster.replies_to_drop += 1
            cluster.peer_loss = random.choice((0.0, 0.2, 0.5))

    def check_claims(
        self, cluster: SimulatedCluster, written_at: dict[int, float]
    ) -> None:
        """Check that no host claims a time at which a newer version was in force."""
        for name, daemon in cluster.daemons.items():
            feed = daemon.state.feeds[Feed.CONFIGURATION]
            held = daemon.state.catalogue.configuration
            if not feed.has_synced or held is None or daemon.is_paused:
                continue
            newer = [at for version, at in written_at.items() if version > held.version]
            if newer:
                self.assertLessEqual(feed.confirmed_at, min(newer), name)


if __name__ == "__main__":
    unittest.main()
