"""Tests of crowds that meet the platform's front, beside the driver of its store.

Each test starts one `geraniumhalld` with the front ``routed`` and the driver
``objects`` on a stand-in for the store, lets a small crowd at it and checks that the
process lives, that its memory with the kernel's buffers and its descriptors stay under
their bounds, and that one ordinary request is answered afterwards.
"""

import unittest
from typing import Any

import trio
from crowds import HEAD, MIB, Crowd, CrowdCase, Sender, build_seed, open_crowd
from test_crowds import BLOCK, build_sender

MAX_MEMORY = 160 * MIB
MAX_CONNECTIONS = 100
MAX_DESCRIPTORS = 3 * MAX_CONNECTIONS
MAX_BODY = 8 * MIB
CROWD = 60
SMALL_CROWD = 20
LARGE_CROWD = 400
SETTLE_SECONDS = 0.5
SIZE = MAX_BODY - len(BLOCK)
ROUTED = HEAD + b"x-request-id: 1\r\nx-token-counts: 10,10\r\n"
CHUNKED = ROUTED + b"transfer-encoding: chunked\r\n\r\n"
ORDINARY = ROUTED + b"content-length: 2\r\n\r\nhi"
REPORT = ORDINARY.replace(b"/filings", b"/reports")
NAMES = ("filings", "reports")


def build_settings(server: str) -> dict[str, Any]:
    """Return settings of a daemon without a catalogue of its own."""
    return {
        "host": {"name": "h1", "failure_domain": "a"},
        "callers": {
            "front": "routed",
            "listen": "127.0.0.1:0",
            "max_connections": MAX_CONNECTIONS,
        },
        "admin": {"listen": "127.0.0.1:0"},
    }


async def fill_catalogue(crowd: Crowd) -> None:
    """Write the routes and their server, and wait until one is served."""
    host, port = crowd.server
    seed = build_seed(f"{host}:{port}", *NAMES)
    for entry in seed["entry"].values():
        entry["host"] = "a"
    await crowd.put_records(seed)
    await crowd.call_ordinarily(ORDINARY)


async def begin_head(stream: trio.SocketStream) -> None:
    """Send the start of a head, then nothing."""
    await stream.send_all(ROUTED)


async def send_announced(stream: trio.SocketStream) -> None:
    """Announce a body far over the limit and send much of it all the same."""
    await stream.send_all(ROUTED + b"content-length: %d\r\n\r\n" % (1024 * MIB))
    for _ in range(16 * MIB // len(BLOCK)):
        await stream.send_all(BLOCK)


async def ask_for_report(stream: trio.SocketStream) -> None:
    """Ask for a long answer and read none of it."""
    await stream.send_all(REPORT)


class PlatformCrowdTest(CrowdCase):
    """No crowd ends a daemon that serves the platform's clients."""

    def play(self, count: int, send: Sender) -> None:
        """Let a crowd at a daemon and check what must hold."""
        found: dict[str, Any] = {}

        async def run() -> None:
            async with open_crowd(build_settings, has_store=True) as crowd:
                await fill_catalogue(crowd)
                crowd.nursery.start_soon(crowd.watch_memory)
                await crowd.send_all(count, send)
                await trio.sleep(SETTLE_SECONDS)
                found["descriptors"] = crowd.count_descriptors()
                found["answer"] = await crowd.call_ordinarily(ORDINARY)
                found["peak"] = crowd.peak
                found["exit"] = crowd.process.process.poll()

        trio.run(run)
        self.check(found, MAX_MEMORY)
        self.assertLess(found["descriptors"], MAX_DESCRIPTORS)

    def test_large_chunks_that_stop_short(self) -> None:
        """Bodies in large chunks stop just short of their end and stay open."""
        self.play(CROWD, build_sender(CHUNKED, BLOCK, SIZE))

    def test_small_chunks_that_stop_short(self) -> None:
        """Bodies in chunks of 256 bytes stop just short of their end."""
        self.play(CROWD, build_sender(CHUNKED, b"x" * 256, SIZE))

    def test_chunks_of_one_byte(self) -> None:
        """Bodies of 200,000 chunks of one byte stop short of their end."""
        self.play(SMALL_CROWD, build_sender(CHUNKED, b"x", 200_000))

    def test_bodies_over_the_limit(self) -> None:
        """A length far over the limit is refused, whatever is sent."""
        self.play(CROWD, send_announced)

    def test_connections_that_stay_open(self) -> None:
        """Many connections with the start of a head keep no ordinary caller out."""
        self.play(LARGE_CROWD, begin_head)

    def test_answers_that_are_not_read(self) -> None:
        """Callers ask for long answers and don't read them."""
        self.play(2 * CROWD, ask_for_report)


if __name__ == "__main__":
    unittest.main()
