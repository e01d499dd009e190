"""Tests of servers that leave while a host is cut off from the store, simulated."""

import unittest
from random import Random

from geraniumhall_bench.simulation import PLATFORM_NAME, SimulatedCluster
from geraniumhall_core.catalogue import (
    REGISTERED_SERVER_KIND,
    BackendServer,
    CatalogueEntry,
    ServiceClass,
)
from geraniumhall_core.platform import DeleteObject
from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.requests import CallerRequest, ModelTarget

CONTACT_SECONDS = 3.0  # after the end of a cut, a host is in touch
DRAIN_SECONDS = 2.0  # after a server has left, hosts in touch send it nothing
REQUEST_SECONDS = 0.02
POLICY = {"publish_interval": 1.2, "watch_wait": 1.0}
ENTRY = CatalogueEntry(
    owner="audit", service_class=ServiceClass.MODEL, open_to_all=True, repeatable=True
)
HOST, OTHER_HOST = "h0", "h1"


def write(cluster: SimulatedCluster, kind: str, name: str, record: object) -> None:
    """Write a record to the store, as others than hosts do."""
    cluster.platform.revision = cluster.platform.revision.advance()
    key = ObjectKey(kind, name)
    version = cluster.platform.revision
    cluster.platform.objects[key] = VersionedRecord(key, version, record)


def remove(cluster: SimulatedCluster, name: str) -> None:
    """Remove a server's entry, by a call of a host that reaches the store."""
    key = ObjectKey(REGISTERED_SERVER_KIND, name)
    message = DeleteObject(key, cluster.platform.objects[key].version)
    cluster.call_platform(OTHER_HOST, message, lambda answer: None)


def send(cluster: SimulatedCluster, seconds: float) -> None:
    """Send requests to the host for a while."""
    end = cluster.now + seconds
    number = 0
    while cluster.now < end:
        cluster.run_for(REQUEST_SECONDS)
        number += 1
        request = CallerRequest(
            request_id=f"r{cluster.now}-{number}", target=ModelTarget("draft")
        )
        cluster.request(HOST, request)


class CutTest(unittest.TestCase):
    """A host is cut off for long, and a server leaves as the link is back."""

    def play(self, cut_seconds: float, left_after: float) -> float:
        """Return for how long after its removal the server got requests."""
        cluster = SimulatedCluster(Random(7), service_seconds=0.05)
        write(cluster, "entry", "draft", ENTRY)
        for number in range(4):
            server = BackendServer(
                address=f"e{number}:80", failure_domain="a", entries=("draft",)
            )
            write(cluster, REGISTERED_SERVER_KIND, f"e{number}", server)
        for number in range(3):
            cluster.start(f"h{number}", **POLICY)
        cluster.run_for(5.0)
        cluster.block_link(HOST, PLATFORM_NAME)
        cluster.run_for(cut_seconds)
        cluster.heal()
        healed_at = cluster.now
        send(cluster, left_after)
        remove(cluster, "e1")
        removed_at = cluster.now
        send(cluster, 6.0)
        late = max(removed_at + DRAIN_SECONDS, healed_at + CONTACT_SECONDS)
        sent = [r.at for r in cluster.relayed_requests if r.effect.server == "e1"]
        self.assertTrue(sent)
        return max(sent) - late

    # Guards against the DRAIN of lindo-enamel: a deletion was held after a long cut.
    def test_server_that_left_gets_nothing_once_the_host_is_in_touch(self) -> None:
        """Wherever in the host's attempts to reach the store the cut ends."""
        for tenth in range(0, 30, 2):
            for left_after in (0.2, 0.9):
                with self.subTest(tenth=tenth, left_after=left_after):
                    late = self.play(12.0 + tenth / 10, left_after)
                    self.assertLessEqual(late, 0.0)
