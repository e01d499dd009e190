"""A test of crowds at a daemon that knows a deployment of eighty hosts.

What it keeps of the deployment, the budget for callers, the kernel's buffers and the
interpreter together stay under the memory of the smallest host in service.
"""

import unittest
from json import dumps
from typing import Any

import trio
from crowds import HEAD, MIB, CrowdCase, build_seed, open_crowd
from test_crowds import BLOCK, CHUNKED, build_sender

from geraniumhall_core.hosts import Demand, HostRecord
from geraniumhall_core.platform import PutObject, Written
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.revisions import NO_REVISION
from geraniumhall_net.client import connect_tcp
from geraniumhall_platform import ObjectsDriver
from geraniumhall_wire.settings import Settings

MAX_MEMORY = 160 * MIB
HOSTS = 85
SERVERS = 90
WORKSPACES = 16
ENTRIES = 60
CALLERS = 1000
UPLOADERS = 60
SIZE = 8 * MIB - len(BLOCK)
SHORT = HEAD + b"content-length: 70000\r\n\r\n" + b"x" * 50_000


def build_settings(server: str) -> dict[str, Any]:
    """Return settings of a daemon without a catalogue of its own."""
    return {
        "host": {"name": "h1", "failure_domain": "a"},
        "callers": {"listen": "127.0.0.1:0"},
        "admin": {"listen": "127.0.0.1:0"},
    }


def build_deployment(server: str) -> dict[str, Any]:
    """Return a catalogue of many servers, routes and workspaces, by kind and name."""
    seed = build_seed(server, "filings")
    for number in range(WORKSPACES):
        seed["workspace"][f"w{number}"] = {"rate": 1000, "burst": 1000}
    for number in range(ENTRIES):
        seed["entry"][f"e{number}"] = {
            "owner": f"w{number % WORKSPACES}",
            "service_class": "service",
            "path": f"/e{number}",
        }
    for number in range(SERVERS):
        seed["server"][f"x{number}"] = {
            "address": f"127.0.0.1:{20_000 + number}",
            "failure_domain": "abc"[number % 3],
            "entries": [f"e{number % ENTRIES}"],
        }
    return seed


async def write_hosts(store: str) -> None:
    """Write the records of the other hosts, each of which serves all workspaces."""
    text = dumps(
        {
            "host": {"name": "h0", "failure_domain": "a"},
            "platform": {"driver": "objects", "address": store},
        }
    )
    driver = ObjectsDriver(Settings.from_text(text), connect_tcp)
    demands = tuple(Demand(f"w{number}", 10.0, 10.0) for number in range(WORKSPACES))
    for number in range(HOSTS):
        record = HostRecord(
            failure_domain="abc"[number % 3],
            incarnation=1,
            sequence=1,
            peer_address=f"127.0.0.1:{30_000 + number}",
            demands=demands,
        )
        key = ObjectKey("host", f"host{number}")
        answer = await driver.call(PutObject(key, record, NO_REVISION))
        assert isinstance(answer, Written), answer


class LargeDeploymentTest(CrowdCase):
    """A large deployment leaves room for crowds on the smallest host."""

    def test_uploads_beside_many_short_bodies(self) -> None:
        """Long bodies take the budget, and many connections the kernel's buffers."""
        found: dict[str, Any] = {}

        async def send_short(stream: trio.SocketStream) -> None:
            await stream.send_all(SHORT)

        async def run() -> None:
            async with open_crowd(build_settings, has_store=True) as crowd:
                host, port = crowd.server
                await crowd.put_records(build_deployment(f"{host}:{port}"))
                await write_hosts(crowd.store)
                await crowd.call_ordinarily()
                found["start"] = crowd.read_memory("VmRSS")
                crowd.nursery.start_soon(crowd.watch_memory)
                upload = build_sender(CHUNKED, BLOCK, SIZE)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(crowd.send_all, CALLERS, send_short)
                    nursery.start_soon(crowd.send_all, UPLOADERS, upload)
                found["answer"] = await crowd.call_ordinarily()
                found["buffered"] = crowd.peak_buffered
                found["peak"] = crowd.peak
                found["exit"] = crowd.process.process.poll()

        trio.run(run)
        self.check(found, MAX_MEMORY)


if __name__ == "__main__":
    unittest.main()
