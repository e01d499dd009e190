"""Tests that many hosts know each other's work by a few messages, simulated."""

import unittest
from random import Random

import attrs

from geraniumhall_bench.simulation import SimulatedCluster
from geraniumhall_core.catalogue import BackendServer, CatalogueEntry, ServiceClass
from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.requests import CallerRequest, ModelTarget
from geraniumhall_core.revisions import Revision

HOSTS = 24
DOMAINS = "abc"
SERVERS = 12
REQUEST_SECONDS = 30.0
LAG_SECONDS = 1.5
TAKEOVER_SECONDS = 3.0
ENTRY = CatalogueEntry(
    owner="audit", service_class=ServiceClass.MODEL, open_to_all=True, repeatable=True
)


def build_cluster(reporting: str, seed: int = 1) -> SimulatedCluster:
    """Return hosts of three domains that know of each other and of all servers."""
    cluster = SimulatedCluster(Random(seed), service_seconds=REQUEST_SECONDS)
    records = {ObjectKey("entry", "draft"): ENTRY}
    for number in range(SERVERS):
        records[ObjectKey("server", f"e{number}")] = BackendServer(
            address=f"10.1.0.{number}:80",
            failure_domain=DOMAINS[number % len(DOMAINS)],
            entries=("draft",),
        )
    store = cluster.platform
    for version, (key, record) in enumerate(records.items(), 1):
        store.revision = Revision(number=version)
        store.objects[key] = VersionedRecord(key, store.revision, record)
    for number in range(HOSTS):
        domain = DOMAINS[number % len(DOMAINS)]
        cluster.start(f"h{number}", domain, reporting=reporting)
    cluster.run_for(8.0)
    return cluster


def send_requests(cluster: SimulatedCluster, count: int) -> None:
    """Send requests that run for longer than the test to random living hosts."""
    living = [name for name, item in cluster.daemons.items() if item.is_alive]
    for number in range(count):
        request = CallerRequest(
            request_id=f"r{cluster.now:.3f}-{number}", target=ModelTarget("draft")
        )
        cluster.request(cluster.random.choice(living), request)
        cluster.run_for(0.01)


def count_running(cluster: SimulatedCluster) -> dict[str, int]:
    """Return the requests that living hosts run at each server."""
    counts = {f"e{number}": 0 for number in range(SERVERS)}
    for daemon in cluster.daemons.values():
        if daemon.is_alive:
            for server, load in daemon.state.loads.items():
                counts[server] += load.outstanding
    return counts


@attrs.define
class KnownWork:
    """How far the work that living hosts know of is off, in requests of all servers."""

    worst: float = 0.0

    @classmethod
    def from_cluster(cls, cluster: SimulatedCluster) -> "KnownWork":
        """Compare what each host knows with what runs."""
        truth = count_running(cluster)
        known = cls()
        for daemon in cluster.daemons.values():
            if not daemon.is_alive:
                continue
            state = daemon.state
            error = sum(
                abs(
                    state.get_load(server).outstanding
                    + state.estimate_foreign_work(server).requests
                    - running
                )
                for server, running in truth.items()
            )
            known.worst = max(known.worst, error)
        return known


class ManyHostsTest(unittest.TestCase):
    """Many hosts choose among the same servers and must know each other's work."""

    def test_each_host_knows_all_work(self) -> None:
        """Once all is summed up, no host is off by a single request."""
        cluster = build_cluster("by_domain")
        send_requests(cluster, 200)
        cluster.run_for(LAG_SECONDS)
        self.assertEqual(sum(count_running(cluster).values()), 200)
        self.assertEqual(KnownWork.from_cluster(cluster).worst, 0.0)

    def test_a_sample_leaves_hosts_far_off(self) -> None:
        """The baseline estimates the work of hosts that it does not hear."""
        cluster = build_cluster("sampled")
        send_requests(cluster, 200)
        cluster.run_for(LAG_SECONDS)
        self.assertGreater(KnownWork.from_cluster(cluster).worst, 20.0)

    def test_another_host_collects_when_the_collectors_die(self) -> None:
        """With both collectors of a domain killed, the next in rank takes over."""
        cluster = build_cluster("by_domain")
        send_requests(cluster, 100)
        cluster.run_for(LAG_SECONDS)
        for _ in range(2):
            state = next(
                item.state
                for item in cluster.daemons.values()
                if item.is_alive and item.state.policy.failure_domain == "a"
            )
            cluster.kill(state.collecting.total.host)
            cluster.run_for(TAKEOVER_SECONDS)
        send_requests(cluster, 50)
        cluster.run_for(2 * LAG_SECONDS)
        self.assertLess(KnownWork.from_cluster(cluster).worst, 20.0)

    def test_a_cut_domain_keeps_its_own_sums(self) -> None:
        """Hosts of a domain that the others don't reach still know of each other."""
        cluster = build_cluster("by_domain")
        inside = [
            n
            for n, d in cluster.daemons.items()
            if d.state.policy.failure_domain == "a"
        ]
        for name in inside:
            for other in set(cluster.daemons) - set(inside):
                cluster.block_link(name, other)
        send_requests(cluster, 100)
        cluster.run_for(LAG_SECONDS)
        for name in inside:
            collecting = cluster.daemons[name].state.collecting
            self.assertEqual(collecting.total.hosts, len(inside))

    def test_lost_datagrams_only_delay_what_is_known(self) -> None:
        """With a tenth of the messages lost, the sums are right a moment later."""
        cluster = build_cluster("by_domain", seed=3)
        cluster.peer_loss = 0.1
        send_requests(cluster, 200)
        cluster.run_for(2 * LAG_SECONDS)
        self.assertLess(KnownWork.from_cluster(cluster).worst, 20.0)


if __name__ == "__main__":
    unittest.main()
