"""Tests of the bytes that the kernel holds for a daemon's connections.

A host ends a process whose memory and unread bytes together exceed its limit. Each test
starts one `geraniumhalld` on a host with little memory, lets a small crowd at it and
checks that the process lives, that its memory and the kernel's buffers together stay
under the limit, that its descriptors do too, and that one ordinary request is answered
afterwards.
"""

import unittest
from functools import partial
from typing import Any

import trio
from crowds import HEAD, MIB, Crowd, CrowdCase, Sender, build_seed, open_crowd

HOST_MEMORY = 96 * MIB
MAX_CONNECTIONS = 100
WAITING_CROWD = 1000
CROWD = 60
READERS = 90
SETTLE_SECONDS = 1.0
BLOCK = b"x" * 65_536
BEGUN = HEAD + b"content-length: 1000000\r\n\r\n" + b"x" * 60_000
UPLOAD = HEAD + b"content-length: 1000000\r\n\r\n" + b"x" * 999_994 + b"\r\n\r\nhi"
UPLOADS = 6
UPLOADING = 5  # callers at once
SENT_ON = 8 * MIB
READ = 8 * MIB
WAIT = HEAD.replace(b"/filings", b"/waits") + b"content-length: 2\r\n\r\nhi"
SHORT = HEAD + b"content-length: 70000\r\n\r\n" + b"x" * 50_000
SHORT_CROWD = 1000
STREAM = HEAD.replace(b"/filings", b"/streams") + b"content-length: 2\r\n\r\nhi"


def build_settings(
    server: str, max_connections: int = MAX_CONNECTIONS
) -> dict[str, Any]:
    """Return settings of a daemon on a host with little memory."""
    seed = build_seed(server, "filings", "waits", "streams")
    return {
        "host": {"name": "h1", "failure_domain": "a", "memory": f"{HOST_MEMORY}B"},
        "callers": {"listen": "127.0.0.1:0", "max_connections": max_connections},
        "admin": {"listen": "127.0.0.1:0"},
        "platform": {"driver": "memory", "seed": seed},
    }


async def begin_body(stream: trio.SocketStream) -> None:
    """Send most of what is read at once of a body, then a byte now and then."""
    await stream.send_all(BEGUN)
    while True:
        await trio.sleep(0.7)
        await stream.send_all(b"x")


def build_pipelining_sender() -> Sender:
    """Return a caller that sends on while a request of its own runs.

    It first uploads some bodies, together with few others, which lets the kernel's
    buffer of its connection grow.
    """
    uploading = trio.CapacityLimiter(UPLOADING)

    async def send(stream: trio.SocketStream) -> None:
        async with uploading:
            for _ in range(UPLOADS):
                await stream.send_all(UPLOAD)
                await _read_answer(stream)
            await stream.send_all(WAIT)
        for _ in range(SENT_ON // len(BLOCK)):
            await stream.send_all(BLOCK)

    return send


async def read_and_stop(stream: trio.SocketStream) -> None:
    """Read the start of a long answer as fast as it comes, then nothing."""
    await stream.send_all(STREAM)
    size = 0
    while size < READ:
        size += len(await stream.receive_some(len(BLOCK)))


async def _read_answer(stream: trio.SocketStream) -> None:
    answer = b""
    while b"xx" not in answer:
        data = await stream.receive_some(4096)
        if not data:
            raise trio.BrokenResourceError
        answer += data


class KernelBufferTest(CrowdCase):
    """What the kernel holds for connections counts toward the memory of the host."""

    def play(
        self, count: int, send: Sender, max_connections: int = MAX_CONNECTIONS
    ) -> None:
        """Let a crowd at a daemon and check what must hold."""
        build = partial(build_settings, max_connections=max_connections)
        found: dict[str, Any] = {}

        async def run() -> None:
            async with open_crowd(build) as crowd:
                found["start"] = crowd.read_memory("VmRSS")
                crowd.nursery.start_soon(crowd.watch_memory)
                await crowd.send_all(count, send)
                await trio.sleep(SETTLE_SECONDS)
                self.record(crowd, found)
                found["answer"] = await crowd.call_ordinarily()
                self.record(crowd, found)

        trio.run(run)
        self.check(found, HOST_MEMORY)
        self.assertLess(found["descriptors"], 3 * max_connections)

    def record(self, crowd: Crowd, found: dict[str, Any]) -> None:
        """Record what is checked."""
        found["exit"] = crowd.process.process.poll()
        found["peak"] = crowd.peak
        found["buffered"] = crowd.peak_buffered
        found["descriptors"] = crowd.count_descriptors()

    def test_bodies_that_wait_to_be_accepted(self) -> None:
        """Many more connections than are open each hold the start of a body."""
        self.play(WAITING_CROWD, begin_body)

    def test_callers_that_send_on_while_a_request_runs(self) -> None:
        """Connections whose buffers have grown are sent more than is read of them."""
        self.play(CROWD, build_pipelining_sender())

    def test_long_answers_of_which_the_rest_is_not_read(self) -> None:
        """Callers read the start of an answer without end, then nothing."""
        self.play(READERS, read_and_stop)

    def test_many_short_bodies_that_stop_short(self) -> None:
        """Many connections are open, each with a body that is not long."""

        async def send(stream: trio.SocketStream) -> None:
            await stream.send_all(SHORT)

        self.play(SHORT_CROWD, send, max_connections=SHORT_CROWD)


if __name__ == "__main__":
    unittest.main()
