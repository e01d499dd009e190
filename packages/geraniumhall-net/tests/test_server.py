"""Tests of HTTP server connections."""

import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from geraniumhall_core.refusals import Refusal
from geraniumhall_net.server import (
    ReceivedRequest,
    ServerConnection,
    ServerLimits,
    open_server_connection,
)

LIMITS = ServerLimits(
    max_head=512, max_body=64, head_timeout=2, read_timeout=5, idle_timeout=60
)


def read_limits() -> ServerLimits:
    """Return the limits that all tests use."""
    return LIMITS


HEAD = b"POST /x HTTP/1.1\r\nhost: a\r\n"


def receive(*pieces: bytes, close: bool = False) -> object:
    """Return what a connection receives when the pieces are sent in order."""

    async def run() -> object:
        client_stream, server_stream = trio.testing.memory_stream_pair()
        async with open_server_connection(server_stream, read_limits) as connection:
            for piece in pieces:
                await client_stream.send_all(piece)
            if close:
                await client_stream.aclose()
            return await connection.receive_request()

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def run_with_connection(test: Callable[..., Awaitable[None]]) -> None:
    """Run a test with a client's stream and the server connection at its end."""

    async def run() -> None:
        client_stream, server_stream = trio.testing.memory_stream_pair()
        async with open_server_connection(server_stream, read_limits) as connection:
            await test(client_stream, connection)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


class ReceiveTest(unittest.TestCase):
    """Requests are received completely or refused with a reason."""

    def test_whole_request(self) -> None:
        """A request whose head and body arrive in pieces is complete."""
        received = receive(HEAD[:9], HEAD[9:] + b"content-length: 3\r\n\r\na", b"bc")
        assert isinstance(received, ReceivedRequest)
        self.assertEqual((received.head.path, received.body), ("/x", b"abc"))

    def test_faults(self) -> None:
        """Each kind of faulty request has its own refusal."""
        chunk = b"transfer-encoding: chunked\r\n\r\n41\r\n" + b"x" * 65
        cases = {
            "malformed": (b"nonsense\r\n\r\n",),
            "head_too_large": (HEAD + b"x: " + b"y" * 600 + b"\r\n",),
            "body_too_large": (HEAD + b"content-length: 65\r\n\r\n",),
            "request_timeout": (HEAD + b"content-length: 5\r\n\r\nab",),
        }
        for code, pieces in cases.items():
            with self.subTest(code=code):
                received = receive(*pieces)
                assert isinstance(received, Refusal)
                self.assertEqual(received.code, code)
        chunked = receive(HEAD + chunk)
        assert isinstance(chunked, Refusal)
        self.assertEqual(chunked.code, "body_too_large")

    def receive_slowly(self, *pieces: bytes, seconds: float) -> object:
        """Return what a connection receives with `seconds` between the pieces."""

        async def run() -> object:
            client_stream, server_stream = trio.testing.memory_stream_pair()

            async def send() -> None:
                for piece in pieces:
                    await client_stream.send_all(piece)
                    await trio.sleep(seconds)

            async with (
                open_server_connection(server_stream, read_limits) as connection,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(send)
                received = await connection.receive_request()
                nursery.cancel_scope.cancel()
            return received

        return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_head_has_its_own_time(self) -> None:
        """A client that sends its head a byte now and then is refused."""
        received = self.receive_slowly(HEAD, b"x", b": y\r\n\r\n", seconds=1.5)
        assert isinstance(received, Refusal)
        self.assertEqual(received.code, "request_timeout")

    def test_body_may_take_longer_than_the_head(self) -> None:
        """The time for the head does not end a slow body."""
        head = HEAD + b"content-length: 2\r\n\r\n"
        received = self.receive_slowly(head, b"a", b"b", seconds=1.5)
        self.assertIsInstance(received, ReceivedRequest)

    def test_age_counts_from_the_last_bytes_read(self) -> None:
        """A process that is behind receives a request after it was read."""

        async def test(client: trio.abc.Stream, connection: ServerConnection) -> None:
            await client.send_all(HEAD + b"content-length: 1\r\n\r\n")
            await trio.sleep(1.0)
            await client.send_all(b"a")
            await trio.sleep(0.75)
            received = await connection.receive_request()
            assert isinstance(received, ReceivedRequest)
            self.assertAlmostEqual(received.age, 0.75)

        run_with_connection(test)

    def test_silent_peer(self) -> None:
        """A client that sends nothing ends the connection at the idle timeout."""
        self.assertIsNone(receive())

    def test_peer_that_closes(self) -> None:
        """A client that disconnects ends the connection."""
        self.assertIsNone(receive(close=True))

    def test_expect_continue(self) -> None:
        """A client that expects 100-continue gets it before it sends the body."""

        async def test(
            client_stream: trio.abc.Stream, connection: ServerConnection
        ) -> None:
            head = HEAD + b"content-length: 2\r\nexpect: 100-continue\r\n\r\n"
            await client_stream.send_all(head)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.receive_request)
                answer = await client_stream.receive_some(1000)
                self.assertTrue(answer.startswith(b"HTTP/1.1 100 "))
                await client_stream.send_all(b"ab")

        run_with_connection(test)

    @seed(20261204)
    @settings(max_examples=150, deadline=None)
    @given(st.lists(st.binary(min_size=1, max_size=60), max_size=4))
    def test_any_bytes(self, pieces: list[bytes]) -> None:
        """Receiving arbitrary bytes raises nothing."""
        received = receive(*pieces, close=True)
        self.assertIsInstance(received, ReceivedRequest | Refusal | None)

    @seed(20261204)
    @settings(max_examples=150, deadline=None)
    @given(st.binary(max_size=80))
    def test_any_header_bytes(self, tail: bytes) -> None:
        """Receiving arbitrary bytes after a valid start raises nothing."""
        received = receive(HEAD + tail + b"\r\n\r\n", close=True)
        self.assertIsInstance(received, ReceivedRequest | Refusal | None)


class DisconnectTest(unittest.TestCase):
    """A disconnect is noticed while the response is being prepared."""

    def test_block_is_cancelled(self) -> None:
        """The scope of `cancel_on_disconnect` is cancelled by a disconnect."""

        async def test(
            client_stream: trio.abc.Stream, connection: ServerConnection
        ) -> None:
            with connection.cancel_on_disconnect() as scope:
                await client_stream.aclose()
                await trio.sleep(1000)
            self.assertTrue(scope.cancelled_caught)

        run_with_connection(test)

    def test_pipelined_request_is_kept(self) -> None:
        """A pipelined request is served after the first one."""

        async def test(
            client_stream: trio.abc.Stream, connection: ServerConnection
        ) -> None:
            await client_stream.send_all(
                HEAD + b"\r\n" + HEAD.replace(b"/x", b"/y") + b"\r\n"
            )
            paths = []
            for _ in range(2):
                received = await connection.receive_request()
                assert isinstance(received, ReceivedRequest)
                paths.append(received.head.path)
                await connection.send_response(200, (), b"")
                connection.start_next_cycle()
            self.assertEqual(paths, ["/x", "/y"])

        run_with_connection(test)
