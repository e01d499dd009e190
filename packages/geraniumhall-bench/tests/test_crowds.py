"""Tests of crowds of callers that keep to no limits, against a real daemon.

Each test starts one `geraniumhalld` with lowered limits, lets a small crowd at it and
checks three things that don't depend on the machine's speed: the process lives, its
memory and descriptors stay under their bounds, and one ordinary request is answered
afterwards. A crowd ends at `CROWD_SECONDS` at the latest.
"""

import os
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager
from itertools import repeat
from json import dumps
from pathlib import Path
from typing import Any

import attrs
import trio

from geraniumhall_bench.processes import ManagedProcess, ProcessGroup
from geraniumhall_wire.settings import split_address

MIB = 2**20
# The least memory and the fewest descriptors of the hosts in service.
MAX_MEMORY = 160 * MIB
MAX_QUIET_MEMORY = MAX_MEMORY // 2  # while the crowd is connected and sends nothing
MAX_BODY = 4 * MIB
MAX_CONNECTIONS = 100
MAX_DESCRIPTORS = 2 * MAX_CONNECTIONS
CROWD = 60
LARGE_CROWD = 400
CROWD_SECONDS = 25.0
QUIET_SECONDS = 30.0
ANSWER_SECONDS = 20.0
BLOCK = b"x" * 65_536
REPORT_BYTES = MIB - 1024  # just less than is read before any of it is forwarded
HEAD = b"POST /filings HTTP/1.1\r\nhost: a\r\nconnection: keep-alive\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
ORDINARY = HEAD + b"content-length: 2\r\n\r\nhi"
REPORT = HEAD.replace(b"/filings", b"/reports") + b"content-length: 2\r\n\r\nhi"

Sender = Callable[[trio.SocketStream], Awaitable[None]]


def build_settings(server: str) -> dict[str, Any]:
    """Return settings of a daemon with one server for two routes."""
    entries = {
        name: {
            "owner": "audit",
            "service_class": "service",
            "path": f"/{name}",
            "open_to_all": True,
        }
        for name in ("filings", "reports")
    }
    address = {"address": server, "failure_domain": "a", "entries": [*entries]}
    seed = {
        "workspace": {"audit": {"rate": 100_000, "burst": 100_000}},
        "entry": entries,
        "server": {"s1": address},
    }
    return {
        "host": {"name": "h1", "failure_domain": "a"},
        "callers": {
            "listen": "127.0.0.1:0",
            "max_body": f"{MAX_BODY}B",
            "max_connections": MAX_CONNECTIONS,
        },
        "admin": {"listen": "127.0.0.1:0"},
        "platform": {"driver": "memory", "seed": seed},
    }


@attrs.define(eq=False)
class Crowd:
    """A daemon under test and the connections of its callers."""

    process: ManagedProcess
    address: tuple[str, int]
    nursery: trio.Nursery
    streams: list[trio.SocketStream] = attrs.field(factory=list)

    async def connect(self) -> trio.SocketStream:
        """Open a connection that stays open until the test has ended."""
        stream = await trio.open_tcp_stream(*self.address)
        self.streams.append(stream)
        return stream

    async def send_all(self, count: int, send: Sender) -> None:
        """Let `count` callers send at once, each on a connection of its own."""

        async def call() -> None:
            try:
                await send(await self.connect())
            except (OSError, trio.BrokenResourceError):
                return  # the daemon may close the connection of such a caller

        with trio.move_on_after(CROWD_SECONDS):
            async with trio.open_nursery() as nursery:
                for _ in range(count):
                    nursery.start_soon(call)

    async def call_ordinarily(self) -> bytes:
        """Make an ordinary request on a new connection; return the status line.

        An ordinary caller repeats a request that was refused as not run.
        """
        status = b""
        with trio.move_on_after(ANSWER_SECONDS):
            while not status.startswith(b"HTTP/1.1 200"):
                stream = await trio.open_tcp_stream(*self.address)
                async with stream:
                    await stream.send_all(ORDINARY)
                    status = bytes(await stream.receive_some(4096)).split(b"\r\n")[0]
                await trio.sleep(0.05)
        return status

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

    async def wait_until_quiet(self) -> int:
        """Return the memory held once it is under its bound, or at last."""
        with trio.move_on_after(QUIET_SECONDS):
            while self.read_memory("VmRSS") > MAX_QUIET_MEMORY:
                await trio.sleep(0.2)
        return self.read_memory("VmRSS")


async def serve_backend(stream: trio.SocketStream) -> None:
    """Answer requests as a backend server, ``/reports`` with a long answer."""
    buffer = b""
    async with stream:
        async for data in stream:
            buffer += data
            while b"\r\n\r\nhi" in buffer:
                head, _, buffer = buffer.partition(b"\r\n\r\nhi")
                size = REPORT_BYTES if head.startswith(b"POST /reports") else 2
                answer = f"HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n".encode()
                await stream.send_all(answer + b"x" * size)


@asynccontextmanager
async def open_crowd() -> AsyncIterator[Crowd]:
    """Start a daemon and its server; end both with the block."""
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()[:2]
        nursery.start_soon(_serve_backend, listeners)
        group = ProcessGroup(nursery)
        try:
            line = await group.start_daemon("h1", build_settings(f"{host}:{port}"))
            address = split_address(line["callers"])
            crowd = Crowd(group.processes["h1"], address, nursery)
            yield crowd
            for stream in crowd.streams:
                await trio.aclose_forcefully(stream)
        finally:
            group.kill_all()
        nursery.cancel_scope.cancel()


async def _serve_backend(listeners: list[trio.SocketListener]) -> None:
    async def serve(stream: trio.SocketStream) -> None:
        try:
            await serve_backend(stream)
        except trio.BrokenResourceError:
            return  # the daemon closed the connection

    await trio.serve_listeners(serve, listeners)


def build_chunks(chunk: bytes, size: int) -> Iterator[bytes]:
    """Return a chunked body of `size` bytes without its end, in large blocks."""
    encoded = f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n"
    count = size // len(chunk)
    for_block = max(1, len(BLOCK) // len(encoded))
    whole, rest = divmod(count, for_block)
    yield from repeat(encoded * for_block, whole)
    yield encoded * rest


def build_sender(head: bytes, chunk: bytes, size: int) -> Sender:
    """Return a caller that stops before the end of its body and stays open."""

    async def send(stream: trio.SocketStream) -> None:
        await stream.send_all(head)
        for block in build_chunks(chunk, size):
            await stream.send_all(block)

    return send


async def send_announced(stream: trio.SocketStream) -> None:
    """Announce a body far over the limit and send much of it all the same."""
    await stream.send_all(HEAD + b"content-length: %d\r\n\r\n" % (1024 * MIB))
    for _ in range(16 * MIB // len(BLOCK)):
        await stream.send_all(BLOCK)


async def ask_for_report(stream: trio.SocketStream) -> None:
    """Ask for a long answer and read none of it."""
    await stream.send_all(REPORT)


async def begin_head(stream: trio.SocketStream) -> None:
    """Send the start of a head, then nothing."""
    await stream.send_all(HEAD)


async def send_many_parts(stream: trio.SocketStream) -> None:
    """Send a whole JSON body of very many small parts and read the answer."""
    body = b'{"model":"m","messages":[' + b"{}," * (MAX_BODY // 3 - 20) + b"{}]}"
    head = HEAD.replace(b"/filings", b"/v1/chat/completions")
    await stream.send_all(head + b"content-length: %d\r\n\r\n" % len(body) + body)
    await stream.receive_some(4096)


class CrowdTest(unittest.TestCase):
    """No crowd ends a daemon, exceeds its memory or keeps ordinary callers out."""

    def play(self, count: int, send: Sender, is_quiet_after: bool = False) -> None:
        """Let a crowd at a daemon and check what must hold."""
        found: dict[str, Any] = {}

        async def run() -> None:
            async with open_crowd() as crowd:
                found["start"] = crowd.read_memory("VmRSS")
                await crowd.send_all(count, send)
                await trio.sleep(0.5)
                found["descriptors"] = crowd.count_descriptors()
                found["answer"] = await crowd.call_ordinarily()
                found["peak"] = crowd.read_memory("VmHWM")
                if is_quiet_after:
                    found["quiet"] = await crowd.wait_until_quiet()
                found["exit"] = crowd.process.process.poll()

        trio.run(run)
        shown = dumps({name: str(value) for name, value in found.items()})
        if os.environ.get("CROWD_FIGURES"):
            print(self.id(), shown)
        self.assertIsNone(found["exit"], shown)
        self.assertLess(found["peak"], MAX_MEMORY, shown)
        self.assertLess(found["descriptors"], MAX_DESCRIPTORS, shown)
        self.assertEqual(found["answer"], b"HTTP/1.1 200 ", shown)
        if is_quiet_after:
            self.assertLess(found["quiet"], MAX_QUIET_MEMORY, shown)

    def test_large_chunks_that_stop_short(self) -> None:
        """Bodies in large chunks stop just short of their end and stay open."""
        size = MAX_BODY - len(BLOCK)
        self.play(CROWD, build_sender(CHUNKED, BLOCK, size), is_quiet_after=True)

    def test_small_chunks_that_stop_short(self) -> None:
        """Bodies in chunks of 256 bytes stop just short of their end."""
        size = MAX_BODY - len(BLOCK)
        self.play(CROWD, build_sender(CHUNKED, b"x" * 256, size))

    def test_chunks_of_one_byte(self) -> None:
        """Bodies of 200,000 chunks of one byte stop short of their end."""
        self.play(CROWD // 3, build_sender(CHUNKED, b"x", 200_000))

    def test_body_with_a_length_that_stops_short(self) -> None:
        """Bodies with a length stop a byte short of it."""

        async def send(stream: trio.SocketStream) -> None:
            await stream.send_all(HEAD + b"content-length: %d\r\n\r\n" % MAX_BODY)
            await stream.send_all(b"x" * (MAX_BODY - 1))

        self.play(CROWD, send)

    def test_bodies_over_the_limit_that_are_announced(self) -> None:
        """A length far over the limit is refused, whatever is sent."""
        self.play(CROWD, send_announced)

    def test_bodies_over_the_limit_that_are_just_sent(self) -> None:
        """A chunked body goes on far beyond the limit."""
        self.play(CROWD, build_sender(CHUNKED, BLOCK, 16 * MAX_BODY))

    def test_connections_that_stay_open(self) -> None:
        """Many connections with the start of a head keep no ordinary caller out."""
        self.play(LARGE_CROWD, begin_head)

    def test_json_of_very_many_parts(self) -> None:
        """Bodies of 4 MiB that a JSON parser makes 1.4 million objects of."""
        self.play(CROWD // 3, send_many_parts)

    def test_answers_that_are_not_read(self) -> None:
        """Callers ask for long answers and don't read them."""
        self.play(2 * CROWD, ask_for_report)


if __name__ == "__main__":
    unittest.main()
