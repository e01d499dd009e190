"""Tests of the hosts' copies of the store under each confirmation policy, simulated."""

import unittest
from random import Random
from typing import Any

from geraniumhall_bench.simulation import SimulatedCluster
from geraniumhall_core.catalogue import (
    CONFIGURATION_KEY,
    REGISTERED_SERVER_KIND,
    BackendServer,
    CatalogueEntry,
    Configuration,
    ServiceClass,
)
from geraniumhall_core.platform import ReportUsage
from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.requests import CallerRequest, ModelTarget

WINDOW_SECONDS = 5.0
USAGE_BOUND_SECONDS = 10.0  # after the end of a window
REQUEST_SECONDS = 0.05
HOSTS = 12
DOMAINS = "abc"
POLICY: dict[str, Any] = {
    "publish_interval": 1.5,
    "watch_wait": 1.0,
    "stale_after": 4.5,
    "unready_after": 2.5,
    "host_silence": 6.0,
    "usage_window": WINDOW_SECONDS,
    "seal_grace": 3.0,
    "lease_ttl": 3.0,
    "lease_margin": 0.5,
    "servers_max_pause": 1.2,
}
ENTRY = CatalogueEntry(
    owner="audit", service_class=ServiceClass.MODEL, open_to_all=True, repeatable=True
)


def write(cluster: SimulatedCluster, key: ObjectKey, record: Any) -> None:
    """Write an object of the operators or of a server, and tell the watches."""
    cluster.platform.revision += 1
    item = VersionedRecord(key, cluster.platform.revision, record)
    cluster.platform.objects[key] = item
    cluster.platform.history.append(item)


def build_cluster(confirmation: str, hosts: int = HOSTS) -> SimulatedCluster:
    """Return hosts in three failure domains, with one entry on four servers."""
    cluster = SimulatedCluster(Random(11))
    configuration = Configuration(version=1, entries={"draft": ENTRY})
    write(cluster, CONFIGURATION_KEY, configuration)
    for number in range(4):
        server = BackendServer(
            address=f"e{number}:80", failure_domain="a", entries=("draft",)
        )
        write(cluster, ObjectKey(REGISTERED_SERVER_KIND, f"e{number}"), server)
    for number in range(hosts):
        cluster.start(
            f"h{number}",
            DOMAINS[number % len(DOMAINS)],
            confirmation=confirmation,
            **POLICY,
        )
    return cluster


def send_requests(cluster: SimulatedCluster, seconds: float) -> None:
    """Send requests to all hosts in turn."""
    for number in range(round(seconds / REQUEST_SECONDS)):
        cluster.run_for(REQUEST_SECONDS)
        hosts = [name for name, daemon in cluster.daemons.items() if daemon.is_alive]
        request = CallerRequest(
            request_id=f"r{cluster.now:.3f}", target=ModelTarget("draft")
        )
        cluster.request(hosts[number % len(hosts)], request)


def list_reports(cluster: SimulatedCluster) -> dict[int, tuple[float, int]]:
    """Return when each window was reported first, and its requests."""
    reports: dict[int, tuple[float, int]] = {}
    for duty in cluster.delivered_duties:
        if isinstance(duty.message, ReportUsage):
            requests = sum(line.figures.requests for line in duty.message.lines)
            reports.setdefault(duty.message.window, (duty.at, requests))
    return reports


class UsageTest(unittest.TestCase):
    """Usage is reported whole and in time, with fewer calls."""

    def test_windows_are_whole_and_in_time(self) -> None:
        """Every window has the requests of all hosts within its bound."""
        cluster = build_cluster("sparing")
        cluster.run_for(10.0)
        send_requests(cluster, 30.0)
        cluster.run_for(15.0)
        reports = list_reports(cluster)
        for window in range(2, 8):
            at, requests = reports[window]
            end = (window + 1) * WINDOW_SECONDS
            self.assertLessEqual(at, end + USAGE_BOUND_SECONDS)
            self.assertAlmostEqual(requests, WINDOW_SECONDS / REQUEST_SECONDS, delta=2)

    def test_holder_that_ends_is_replaced_in_time(self) -> None:
        """A candidate that reads old answers takes the lease, and no window is late."""
        cluster = build_cluster("sparing")
        cluster.run_for(10.0)
        send_requests(cluster, 10.0)
        holder = max(cluster.delivered_duties, key=lambda duty: duty.at).message.host
        cluster.kill(holder)
        cluster.run_for(25.0)
        reports = list_reports(cluster)
        for window in range(2, 7):
            end = (window + 1) * WINDOW_SECONDS
            self.assertLessEqual(reports[window][0], end + USAGE_BOUND_SECONDS)


if __name__ == "__main__":
    unittest.main()
