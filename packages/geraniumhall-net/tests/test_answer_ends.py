"""Tests of how the end of an answer is told, over real sockets to the server.

Where an answer has no length its end is that of the connection, which says nothing of
the answer if the connection was reset or the request never reached the server whole.
Both fronts, the calls to the store and the duties read their answers this way.
"""

import socket
import struct
import unittest
from collections.abc import Awaitable, Callable
from contextlib import suppress

import attrs
import trio

from geraniumhall_net.client import (
    BufferedResponse,
    ClientPool,
    ExchangeFailedError,
    fetch_response,
)
from geraniumhall_wire.heads import UpstreamRequest

TIMEOUT_SECONDS = 5.0
PAUSE_SECONDS = 0.05
SHORT_BODY = b"x" * 100_000  # the kernel takes it whole
LONG_BODY = b"x" * 64_000_000  # is still being sent when the answer comes
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nhalf"
LENGTH = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"
OLD_VERSION = b"HTTP/1.0 200 OK\r\n\r\nhalf"
PARTS = {"unframed": UNFRAMED, "length": LENGTH, "chunked": CHUNKED, "1.0": OLD_VERSION}

Ending = Callable[[trio.SocketStream], Awaitable[None]]


async def reset(stream: trio.SocketStream) -> None:
    """Reset the connection."""
    linger = struct.pack("ii", 1, 0)  # a zero linger time makes close send RST
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    await trio.aclose_forcefully(stream)


async def end_and_reset(stream: trio.SocketStream) -> None:
    """End the answer in order, and reset the connection after it."""
    await stream.send_eof()
    await reset(stream)


async def end_unread(stream: trio.SocketStream) -> None:
    """End the answer in order and never read the request."""
    await stream.send_eof()
    await trio.sleep(TIMEOUT_SECONDS)


async def close_unread(stream: trio.SocketStream) -> None:
    """Close with bytes of the request unread, which resets the connection."""
    await trio.aclose_forcefully(stream)


BROKEN_ENDS: tuple[Ending, ...] = (reset, end_and_reset, close_unread)


@attrs.define(eq=False)
class EarlyServer:
    """A server that answers once it has read the first bytes of a request."""

    answer: bytes
    end: Ending

    async def serve(self, stream: trio.SocketStream) -> None:
        """Send the answer, then end the connection."""
        try:
            await stream.receive_some(100)
            await stream.send_all(self.answer)
            await trio.sleep(PAUSE_SECONDS)
            await self.end(stream)
        except (trio.BrokenResourceError, OSError):
            return  # the caller has closed the connection


def fetch(server: EarlyServer, body: bytes) -> BufferedResponse | None:
    """Return the answer to a request, None if the exchange failed."""
    found: list[BufferedResponse] = []

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, server.serve, listeners)
            host, port = listeners[0].socket.getsockname()[:2]
            request = UpstreamRequest(b"POST", b"/", (), body)
            address, pool = f"{host}:{port}", ClientPool()
            with suppress(ExchangeFailedError):
                found.append(
                    await fetch_response(pool, address, request, TIMEOUT_SECONDS)
                )
            nursery.cancel_scope.cancel()

    trio.run(run)
    return found[0] if found else None


class EarlyAnswerTest(unittest.TestCase):
    """An answer that comes before its request was read, and breaks off."""

    def test_reset_while_the_request_is_being_sent(self) -> None:
        """The part that came is no answer, however it is framed."""
        for name, answer in PARTS.items():
            for end in BROKEN_ENDS:
                with self.subTest(answer=name, end=end.__name__):
                    self.assertIsNone(fetch(EarlyServer(answer, end), LONG_BODY))

    def test_reset_after_the_request_was_handed_to_the_kernel(self) -> None:
        """The writer notices nothing, so the reader has to."""
        for name, answer in PARTS.items():
            for end in BROKEN_ENDS:
                with self.subTest(answer=name, end=end.__name__):
                    self.assertIsNone(fetch(EarlyServer(answer, end), SHORT_BODY))

    def test_end_of_an_answer_to_a_request_that_is_not_read(self) -> None:
        """Without a length it is not taken for whole while the request waits."""
        answer = EarlyServer(UNFRAMED, end_unread)
        self.assertIsNone(fetch(answer, b"x" * 8_000_000))

    def test_whole_answer_without_a_length(self) -> None:
        """One that ends in order after the request was read is complete."""

        async def read_and_end(stream: trio.SocketStream) -> None:
            read = 0
            while read < len(SHORT_BODY) - 100:
                read += len(await stream.receive_some(65_536))
            await stream.send_eof()
            await trio.sleep(PAUSE_SECONDS)

        for name in ("unframed", "1.0"):
            with self.subTest(answer=name):
                response = fetch(EarlyServer(PARTS[name], read_and_end), SHORT_BODY)
                assert response is not None
                self.assertEqual(response.body, b"half")


class StatusTest(unittest.TestCase):
    """A status that the protocol doesn't have makes no answer."""

    def fetch_status(self, status: bytes) -> BufferedResponse | None:
        """Return the answer to a request with this status line."""
        answer = b"HTTP/1.1 " + status + b" x\r\ncontent-length: 2\r\n\r\nok"
        return fetch(EarlyServer(answer, reset), b"")

    def test_status_outside_the_protocol(self) -> None:
        """Below 100, over 599, other than three digits, or not digits at all."""
        faulty = [b"000", b"001", b"099", b"600", b"700", b"999", b"20", b"2000"]
        faulty += [b"+20", b"-20", b"2x0", b"0x2", b" 200", b"", "２００".encode()]
        for status in faulty:
            with self.subTest(status=status):
                self.assertIsNone(self.fetch_status(status))

    def test_informational_status_without_a_final_one(self) -> None:
        """It is no answer, and switching protocols was not asked for."""
        for status in (b"100", b"101", b"102", b"103", b"199"):
            with self.subTest(status=status):
                self.assertIsNone(self.fetch_status(status))

    def test_status_of_the_protocol(self) -> None:
        """The bounds of the range are answers."""
        for status in (b"200", b"599"):
            with self.subTest(status=status):
                response = self.fetch_status(status)
                assert response is not None
                self.assertEqual(response.head.status, int(status))


if __name__ == "__main__":
    unittest.main()
