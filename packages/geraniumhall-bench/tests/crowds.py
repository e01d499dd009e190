"""A daemon under test, and crowds of callers that keep to no limits.

A crowd's program gets a connection of its own for each caller::

    async with open_crowd(build_settings()) as crowd:
        await crowd.send_all(60, send_something)
        status = await crowd.call_ordinarily()
"""

import os
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from json import dumps
from pathlib import Path
from typing import Any

import attrs
import trio

from geraniumhall_bench.processes import ManagedProcess, ProcessGroup
from geraniumhall_bench.steps.common import build_condition
from geraniumhall_net.client import ClientPool, build_json_request, fetch_response
from geraniumhall_wire.heads import UpstreamRequest
from geraniumhall_wire.settings import split_address

MIB = 2**20
CROWD_SECONDS = 25.0
ANSWER_SECONDS = 20.0
SAMPLE_SECONDS = 0.05
REPORT_BYTES = MIB - 1024  # just less than is read before any of it is forwarded
HEAD = b"POST /filings HTTP/1.1\r\nhost: a\r\nconnection: keep-alive\r\n"
ORDINARY = HEAD + b"content-length: 2\r\n\r\nhi"
ANSWER = b"HTTP/1.1 200 OK\r\nx-server-stamp: 1\r\n"  # the front routed needs a stamp
LISTENING = "0A"  # the state of a socket in /proc/net/tcp

Sender = Callable[[trio.SocketStream], Awaitable[None]]


def build_entries(*names: str) -> dict[str, dict[str, Any]]:
    """Return a route for each name, open to all."""
    return {
        name: {
            "owner": "audit",
            "service_class": "service",
            "path": f"/{name}",
            "open_to_all": True,
        }
        for name in names
    }


def build_seed(server: str, *names: str) -> dict[str, Any]:
    """Return a catalogue with one server for the named routes."""
    return {
        "workspace": {"audit": {"rate": 100_000, "burst": 100_000}},
        "entry": build_entries(*names),
        "server": {
            "s1": {"address": server, "failure_domain": "a", "entries": [*names]}
        },
    }


@attrs.define(eq=False)
class Crowd:
    """A daemon under test and the connections of its callers.

    `address` is that of the callers' listener and `addresses` holds those of all, by
    name. `server` is the address of the backend server, `store` that of the stand-in
    for the store, if there is one. In bytes, `peak` is the most memory that the process
    and the kernel's buffers of its connections have held together, and `peak_buffered`
    the most that these buffers have.
    """

    process: ManagedProcess
    address: tuple[str, int]
    nursery: trio.Nursery
    addresses: dict[str, tuple[str, int]] = attrs.field(factory=dict)
    server: tuple[str, int] = ("", 0)
    store: str = ""
    streams: list[trio.SocketStream] = attrs.field(factory=list)
    peak: int = 0
    peak_buffered: int = 0

    async def connect(self, listener: str = "") -> trio.SocketStream:
        """Open a connection that stays open until the test has ended."""
        address = self.addresses[listener] if listener else self.address
        stream = await trio.open_tcp_stream(*address)
        self.streams.append(stream)
        return stream

    async def send_all(self, count: int, send: Sender, listener: str = "") -> None:
        """Let `count` callers send at once, each on a connection of its own."""

        async def call() -> None:
            try:
                await send(await self.connect(listener))
            except (OSError, trio.BrokenResourceError):
                return  # the daemon may close the connection of such a caller

        with trio.move_on_after(CROWD_SECONDS):
            async with trio.open_nursery() as nursery:
                for _ in range(count):
                    nursery.start_soon(call)

    async def call_ordinarily(
        self, request: bytes = ORDINARY, listener: str = ""
    ) -> bytes:
        """Make an ordinary request on a new connection; return the status line.

        An ordinary caller repeats a request that was refused as not run.
        """
        address = self.addresses[listener] if listener else self.address
        status = b""
        with trio.move_on_after(ANSWER_SECONDS):
            while not status.startswith(b"HTTP/1.1 200"):
                stream = await trio.open_tcp_stream(*address)
                async with stream:
                    await stream.send_all(request)
                    status = bytes(await stream.receive_some(4096)).split(b"\r\n")[0]
                await trio.sleep(0.05)
        return status

    async def put_records(self, seed: dict[str, Any]) -> None:
        """Write new records of a catalogue, by kind and name, as an operator does."""
        for kind, records in seed.items():
            for name, record in records.items():
                target = f"/admin/v1/catalogue/{kind}/{name}"
                request = build_json_request("PUT", target, record)
                headers = (*request.headers, build_condition(0))
                request = attrs.evolve(request, headers=headers)
                await self.send_to_operators(request)

    async def send_to_operators(self, request: UpstreamRequest) -> None:
        """Send a call to the admin API until it succeeds."""
        host, port = self.addresses["admin"]
        pool = ClientPool()
        with trio.fail_after(ANSWER_SECONDS):
            while True:
                address = f"{host}:{port}"
                answer = await fetch_response(pool, address, request, ANSWER_SECONDS)
                if answer.head.status == 200:
                    return
                await trio.sleep(0.2)

    async def leave(self) -> None:
        """Close the connections of all callers."""
        while self.streams:
            await trio.aclose_forcefully(self.streams.pop())

    def read_memory(self, field: str) -> int:
        """Return a figure of the process's memory in bytes, 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except FileNotFoundError:
            return 0
        for line in text.splitlines():
            if line.startswith(f"{field}:"):
                return int(line.split()[1]) * 1024
        return 0

    def count_descriptors(self) -> int:
        """Return how many descriptors the process has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def measure_buffered(self) -> int:
        """Return the bytes that the kernel holds for the daemon's connections.

        These are the bytes that it has yet to read, from callers and from its server,
        and those that its callers have yet to take. Connections that wait to be
        accepted count too.
        """
        ports = {port for _, port in self.addresses.values()}
        buffered = 0
        for row in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, remote, state, queues, *_ = row.split()
            if state == LISTENING:
                continue
            unsent, unread = (int(size, 16) for size in queues.split(":"))
            if _parse_port(local) in ports:
                buffered += unsent + unread
            elif _parse_port(remote) == self.server[1]:
                buffered += unread
        return buffered

    async def watch_memory(self) -> None:
        """Measure the memory held again and again until cancelled."""
        while True:
            buffered = self.measure_buffered()
            self.peak_buffered = max(self.peak_buffered, buffered)
            self.peak = max(self.peak, self.read_memory("VmRSS") + buffered)
            await trio.sleep(SAMPLE_SECONDS)


class CrowdCase(unittest.TestCase):
    """A test of a crowd that records what it found by name."""

    def check(self, found: dict[str, Any], max_memory: int) -> None:
        """Check that the process lives, its memory in bytes, and the last answer.

        With `CROWD_FIGURES` in the environment what was found is printed.
        """
        shown = dumps({name: str(value) for name, value in found.items()})
        if os.environ.get("CROWD_FIGURES"):
            print(self.id(), shown)
        self.assertIsNone(found["exit"], shown)
        self.assertLess(found["peak"], max_memory, shown)
        self.assertEqual(found["answer"], b"HTTP/1.1 200 ", shown)


SettingsBuilder = Callable[[str], dict[str, Any]]


@asynccontextmanager
async def open_crowd(
    build_settings: SettingsBuilder, has_store: bool = False
) -> AsyncIterator[Crowd]:
    """Start a daemon and its server; end both with the block.

    The settings are built for the address of the server. With `has_store` the daemon
    keeps its catalogue in a stand-in for the platform's store, instead of a seed, and
    has to be filled with `put_record`.
    """
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()[:2]
        nursery.start_soon(_serve_backend, listeners)
        group = ProcessGroup(nursery)
        try:
            settings = build_settings(f"{host}:{port}")
            store = ""
            if has_store:
                store = await group.start_stand_in("platform", "store")
                settings["platform"] = {"driver": "objects", "address": store}
            line = await group.start_daemon("h1", settings)
            addresses = _find_addresses(line)
            crowd = Crowd(
                group.processes["h1"],
                addresses["callers"],
                nursery,
                addresses,
                (host, port),
                store,
            )
            yield crowd
            await crowd.leave()
        finally:
            group.kill_all()
        nursery.cancel_scope.cancel()


async def serve_backend(stream: trio.SocketStream) -> None:
    """Answer requests as a backend server, by their path.

    ``/reports`` gets a long answer, ``/streams`` one without end, ``/waits`` none.
    """
    buffer = b""
    async with stream:
        async for data in stream:
            buffer += data
            while b"\r\n\r\nhi" in buffer:
                head, _, buffer = buffer.partition(b"\r\n\r\nhi")
                if head.startswith(b"POST /waits"):
                    continue
                if head.startswith(b"POST /streams"):
                    await _send_without_end(stream)
                size = REPORT_BYTES if head.startswith(b"POST /reports") else 2
                answer = ANSWER + b"content-length: %d\r\n\r\n" % size
                await stream.send_all(answer + b"x" * size)


async def _send_without_end(stream: trio.SocketStream) -> None:
    await stream.send_all(ANSWER + b"transfer-encoding: chunked\r\n\r\n")
    while True:
        await stream.send_all(b"10000\r\n" + b"x" * 0x10000 + b"\r\n")


async def _serve_backend(listeners: list[trio.SocketListener]) -> None:
    async def serve(stream: trio.SocketStream) -> None:
        try:
            await serve_backend(stream)
        except trio.BrokenResourceError:
            return  # the daemon closed the connection

    await trio.serve_listeners(serve, listeners)


def _find_addresses(line: dict[str, Any]) -> dict[str, tuple[str, int]]:
    """Return the addresses of a daemon's listeners by name."""
    names = ("callers", "admin", "health", "metrics")
    return {name: split_address(line[name]) for name in names if name in line}


def _parse_port(address: str) -> int:
    return int(address.partition(":")[2], 16)
