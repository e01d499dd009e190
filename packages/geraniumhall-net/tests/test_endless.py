"""Tests of servers that send bytes without end, over real sockets."""

import tracemalloc
import unittest
from collections.abc import Iterator
from itertools import chain, repeat

import trio

from geraniumhall_net.bodies import MAX_FETCHED_BYTES
from geraniumhall_net.client import ClientPool, ExchangeFailedError, fetch_response
from geraniumhall_wire.heads import UpstreamRequest

REQUEST = UpstreamRequest(b"GET", b"/", (), b"")
TIMEOUT_SECONDS = 5.0  # more than the calls of a daemon have
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
BLOCK = 16_384
EXCHANGES = 8

# Each kind of answer goes on until the caller closes the connection.
ENDLESS_ANSWERS: dict[str, tuple[bytes, bytes]] = {
    "no answer at all": (b"", b"x" * BLOCK),
    "a status line": (b"HTTP/1.1 200 ", b"O" * BLOCK),
    "a header": (b"HTTP/1.1 200 OK\r\na: ", b"x" * BLOCK),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 1000),
    "informational answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 500),
    "a body with a length": (
        b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
        b"x" * BLOCK,
    ),
    "a body without a length": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * BLOCK),
    "chunks": (CHUNKED, b"4\r\nxxxx\r\n" * 1000),
    "a chunk": (CHUNKED + b"ffffffff\r\n", b"x" * BLOCK),
    "a chunk's extension": (CHUNKED + b"4;", b"x" * BLOCK),
    "trailers": (CHUNKED + b"0\r\n", b"a: b\r\n" * 1000),
}


class EndlessAnswerTest(unittest.TestCase):
    """An answer without end fails its exchange at a bound of bytes."""

    def setUp(self) -> None:
        """Use one pool for all exchanges of a test."""
        self.pool = ClientPool()

    is_closed = False
    error: ExchangeFailedError | None = None

    async def fetch(self, start: bytes, more: bytes) -> None:
        """Fetch an answer that begins with `start` and repeats `more` for ever."""

        async def serve(stream: trio.SocketStream) -> None:
            pieces: Iterator[bytes] = chain([start], repeat(more))
            try:
                for piece in pieces:
                    await stream.send_all(piece)
            except trio.BrokenResourceError:
                self.is_closed = True

        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            host, port = listeners[0].socket.getsockname()[:2]
            pool = self.pool
            try:
                await fetch_response(pool, f"{host}:{port}", REQUEST, TIMEOUT_SECONDS)
            except ExchangeFailedError as error:
                self.error = error
            self.open_connections = pool.count_open()
            with trio.move_on_after(1.0):
                while not self.is_closed:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    def test_exchange_fails_and_memory_stays_bounded(self) -> None:
        """The exchange fails by its timeout, and its connection is closed."""
        for name, (start, more) in ENDLESS_ANSWERS.items():
            with self.subTest(answer=name):
                self.is_closed, self.error = False, None
                tracemalloc.start()
                try:
                    trio.run(self.fetch, start, more)
                    peak = tracemalloc.get_traced_memory()[1]
                finally:
                    tracemalloc.stop()
                self.assertIsInstance(self.error, ExchangeFailedError)
                self.assertTrue(self.is_closed)
                self.assertEqual(self.open_connections, {})
                # The pieces and their concatenation exist at once.
                self.assertLess(peak, 3 * MAX_FETCHED_BYTES)

    def test_bodies_of_several_exchanges_are_bounded_together(self) -> None:
        """Guards against as many bodies of the largest size as there are calls."""
        kind = "a body without a length"

        async def fetch_all() -> None:
            async with trio.open_nursery() as nursery:
                for _ in range(EXCHANGES):
                    nursery.start_soon(self.fetch, *ENDLESS_ANSWERS[kind])

        tracemalloc.start()
        try:
            trio.run(fetch_all)
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        self.assertIsInstance(self.error, ExchangeFailedError)
        self.assertLess(peak, 3 * MAX_FETCHED_BYTES)

    def test_informational_answers_are_counted(self) -> None:
        """Answers that announce another one end the exchange by their number."""
        trio.run(self.fetch, *ENDLESS_ANSWERS["informational answers"])
        self.assertIn("informational", str(self.error))


if __name__ == "__main__":
    unittest.main()
