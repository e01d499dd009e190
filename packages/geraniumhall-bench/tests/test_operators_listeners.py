"""Tests of crowds at the listeners for health checks, metrics and operators.

Each test starts one `geraniumhalld`, lets a small crowd at one of these listeners and
checks that the process lives, that its memory and descriptors stay under their bounds,
and that one ordinary request of a caller and one at that listener are answered.
"""

import unittest
from typing import Any

import trio
from crowds import MIB, CrowdCase, Sender, build_seed, open_crowd

MAX_MEMORY = 160 * MIB
MAX_DESCRIPTORS = 200
CROWD = 80  # more than a listener has open
LISTENERS = ("health", "metrics", "admin")
CROWD_SECONDS = 8.0
SETTLE_SECONDS = 2.0
READINESS = b"GET /readyz HTTP/1.1\r\nhost: a\r\n\r\n"
BEGUN_HEAD = READINESS[:-2]
POST = b"POST /admin/v1/records HTTP/1.1\r\nhost: a\r\n"
BODY_BYTES = 8 * MIB - 1
METRICS = b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n"


def build_settings(server: str) -> dict[str, Any]:
    """Return settings of a daemon with a listener of each kind."""
    return {
        "host": {"name": "h1", "failure_domain": "a"},
        "callers": {"listen": "127.0.0.1:0"},
        "health": {"listen": "127.0.0.1:0"},
        "metrics": {"listen": "127.0.0.2:0"},
        "admin": {"listen": "127.0.0.1:0"},
        "platform": {"driver": "memory", "seed": build_seed(server, "filings")},
    }


async def begin_head(stream: trio.SocketStream) -> None:
    """Send the start of a head, then nothing."""
    await stream.send_all(BEGUN_HEAD)


async def stay_idle(stream: trio.SocketStream) -> None:
    """Send nothing."""


async def send_body(stream: trio.SocketStream) -> None:
    """Send a long body that stops a byte short of its length."""
    await stream.send_all(POST + b"content-length: %d\r\n\r\n" % (BODY_BYTES + 1))
    for _ in range(BODY_BYTES // 65_536):
        await stream.send_all(b"x" * 65_536)


async def read_nothing(stream: trio.SocketStream) -> None:
    """Ask for the metrics again and again and read none of them."""
    while True:
        await stream.send_all(METRICS * 100)


class OperatorsListenerTest(CrowdCase):
    """No crowd at these listeners ends a daemon or keeps others out."""

    def play(self, send: Sender) -> None:
        """Let a crowd at each listener and check what must hold."""
        for listener in LISTENERS:
            with self.subTest(listener=listener):
                self.play_at(listener, send)

    def play_at(self, listener: str, send: Sender) -> None:
        """Let a crowd at one listener and check what must hold."""
        found: dict[str, Any] = {}

        async def run() -> None:
            async with open_crowd(build_settings) as crowd:
                crowd.nursery.start_soon(crowd.watch_memory)
                with trio.move_on_after(CROWD_SECONDS):
                    await crowd.send_all(CROWD, send, listener)
                await trio.sleep(SETTLE_SECONDS)
                found["descriptors"] = crowd.count_descriptors()
                found["answer"] = await crowd.call_ordinarily()
                found["ready"] = await crowd.call_ordinarily(READINESS, listener)
                found["peak"] = crowd.peak
                found["exit"] = crowd.process.process.poll()

        trio.run(run)
        self.check(found, MAX_MEMORY)
        self.assertLess(found["descriptors"], MAX_DESCRIPTORS)
        self.assertEqual(found["ready"], b"HTTP/1.1 200 ")

    def test_heads_that_stop_short(self) -> None:
        """Connections with the start of a head yield to a health check."""
        self.play(begin_head)

    def test_connections_that_send_nothing(self) -> None:
        """Connections without a request yield to a health check."""
        self.play(stay_idle)

    def test_long_bodies_that_stop_short(self) -> None:
        """A body is held within the memory for all connections."""
        self.play(send_body)

    def test_answers_that_are_not_read(self) -> None:
        """Those who ask for metrics and read none yield to a health check."""
        self.play(read_nothing)


if __name__ == "__main__":
    unittest.main()
