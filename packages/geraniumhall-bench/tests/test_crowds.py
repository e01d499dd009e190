"""Tests of crowds of callers that keep to no limits, against a real daemon.

Each test starts one `geraniumhalld` with lowered limits, lets a small crowd at it and
checks three things that don't depend on the machine's speed: the process lives, its
memory and descriptors stay under their bounds, and one ordinary request is answered
afterwards. A crowd ends at `CROWD_SECONDS` at the latest.
"""

import os
import unittest
from collections.abc import Iterator
from itertools import repeat
from json import dumps
from typing import Any

import trio
from crowds import HEAD, MIB, Crowd, Sender, build_seed, open_crowd

# The least memory and the fewest descriptors of the hosts in service.
MAX_MEMORY = 160 * MIB
MAX_QUIET_MEMORY = MAX_MEMORY // 2  # while the crowd is connected and sends nothing
MAX_BODY = 4 * MIB
MAX_CONNECTIONS = 100
MAX_DESCRIPTORS = 2 * MAX_CONNECTIONS  # beside those of the process without callers
CROWD = 60
LARGE_CROWD = 400
QUIET_SECONDS = 30.0
TRICKLE_SECONDS = 0.7  # between two chunks of 100 bytes
BLOCK = b"x" * 65_536
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
REPORT = HEAD.replace(b"/filings", b"/reports") + b"content-length: 2\r\n\r\nhi"


def build_settings(server: str) -> dict[str, Any]:
    """Return settings of a daemon with one server for two routes."""
    return {
        "host": {"name": "h1", "failure_domain": "a"},
        "callers": {
            "listen": "127.0.0.1:0",
            "max_body": f"{MAX_BODY}B",
            "max_connections": MAX_CONNECTIONS,
        },
        "admin": {"listen": "127.0.0.1:0"},
        "platform": {
            "driver": "memory",
            "seed": build_seed(server, "filings", "reports"),
        },
    }


async def wait_until_quiet(crowd: Crowd) -> int:
    """Return the memory held once it is under its bound, or at last."""
    with trio.move_on_after(QUIET_SECONDS):
        while crowd.read_memory("VmRSS") > MAX_QUIET_MEMORY:
            await trio.sleep(0.2)
    return crowd.read_memory("VmRSS")


async def wait_until_closed(crowd: Crowd, own_descriptors: int) -> int:
    """Return the descriptors open once only the process's own are, or at last."""
    await crowd.leave()
    with trio.move_on_after(QUIET_SECONDS):
        while crowd.count_descriptors() > own_descriptors:
            await trio.sleep(0.2)
    return crowd.count_descriptors()


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

    def play(
        self,
        count: int,
        send: Sender,
        is_quiet_after: bool = False,
        closes_all: bool = False,
    ) -> None:
        """Let a crowd at a daemon and check what must hold.

        With `closes_all` no connection may be left once the crowd has gone.
        """
        found: dict[str, Any] = {}

        async def run() -> None:
            async with open_crowd(build_settings) as crowd:
                found["start"] = crowd.read_memory("VmRSS")
                found["own_descriptors"] = crowd.count_descriptors()
                await crowd.send_all(count, send)
                await trio.sleep(0.5)
                found["descriptors"] = crowd.count_descriptors()
                found["answer"] = await crowd.call_ordinarily()
                found["peak"] = crowd.read_memory("VmHWM")
                if is_quiet_after:
                    found["quiet"] = await wait_until_quiet(crowd)
                found["exit"] = crowd.process.process.poll()
                if closes_all:
                    own = found["own_descriptors"]
                    found["left"] = await wait_until_closed(crowd, own)

        trio.run(run)
        shown = dumps({name: str(value) for name, value in found.items()})
        if os.environ.get("CROWD_FIGURES"):
            print(self.id(), shown)
        self.assertIsNone(found["exit"], shown)
        self.assertLess(found["peak"], MAX_MEMORY, shown)
        opened = found["descriptors"] - found["own_descriptors"]
        self.assertLessEqual(opened, MAX_DESCRIPTORS, shown)
        self.assertEqual(found["answer"], b"HTTP/1.1 200 ", shown)
        if is_quiet_after:
            self.assertLess(found["quiet"], MAX_QUIET_MEMORY, shown)
        if closes_all:
            self.assertLessEqual(found["left"], found["own_descriptors"], shown)

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

    def test_bodies_that_trickle(self) -> None:
        """Guards against uploads that keep ordinary callers out while they go on."""

        async def trickle(stream: trio.SocketStream) -> None:
            chunk = b"64\r\n" + b"x" * 100 + b"\r\n"
            try:
                while True:
                    await stream.send_all(chunk)
                    await trio.sleep(TRICKLE_SECONDS)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return  # the daemon may close the connection

        async def send(stream: trio.SocketStream) -> None:
            await stream.send_all(CHUNKED)
            trio.lowlevel.spawn_system_task(trickle, stream)

        self.play(LARGE_CROWD, send)

    def test_json_of_very_many_parts(self) -> None:
        """Bodies of 4 MiB that a JSON parser makes 1.4 million objects of."""
        self.play(CROWD // 3, send_many_parts)

    def test_answers_that_are_not_read(self) -> None:
        """Callers ask for long answers and don't read them."""
        self.play(2 * CROWD, ask_for_report, closes_all=True)


if __name__ == "__main__":
    unittest.main()
