"""Simulated hosts under a confirmation policy, and what they send to the platform."""

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
    cluster.platform.revision = cluster.platform.revision.advance()
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
