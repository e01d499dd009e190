"""Tests of the memory held for connections, of progress, and of the parsing pace."""

import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from geraniumhall_core.buffers import Holding
from geraniumhall_core.refusals import MEMORY_SHORT, REQUEST_TIMEOUT
from geraniumhall_net.budget import CONNECTION_BYTES, MemoryBudget, ParsingPace
from geraniumhall_net.kernel_buffers import (
    KERNEL_FACTOR,
    UPLOAD_RECEIVE_BYTES,
    WAITING_RECEIVE_BYTES,
)
from geraniumhall_net.pieces import JOINED_BYTES, join_small
from geraniumhall_net.server import (
    ClientDisconnectedError,
    ConnectionResources,
    ReceivedRequest,
    ServerConnection,
    ServerLimits,
    open_server_connection,
)

KIB = 2**10
LIMITS = ServerLimits(read_timeout=60.0, min_progress=100, progress_window=5.0)
HEAD = b"POST /x HTTP/1.1\r\nhost: a\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
BLOCK = b"8000\r\n" + b"x" * 32 * KIB + b"\r\n"

Test = Callable[..., Awaitable[None]]


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test on trio's mock clock."""
    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


class BudgetTest(unittest.TestCase):
    """What connections hold is counted, and given back."""

    def setUp(self) -> None:
        """Prepare a budget that records its decisions."""
        self.decisions: list[str] = []
        self.budget = MemoryBudget(1000 * KIB, on_decision=self.record)
        self.resources = ConnectionResources(self.budget)

    def record(self, name: str, holding: Holding) -> None:
        """Record the name of a decision."""
        self.decisions.append(name)

    def open(self, stream: trio.abc.Stream) -> object:
        """Open the server's end of a connection."""
        return open_server_connection(stream, lambda: LIMITS, self.resources)

    def play(self, test: Test) -> None:
        """Run a test with a client's stream and the server connection at its end."""

        async def play() -> None:
            client, server = trio.testing.memory_stream_pair()
            async with self.open(server) as connection:  # type: ignore[attr-defined]
                await test(client, connection)

        run(play)

    def test_request_is_held_until_the_next_one(self) -> None:
        """Its head and body count, not the bytes of its framing."""

        async def test(client: trio.abc.Stream, connection: ServerConnection) -> None:
            await client.send_all(CHUNKED + b"1\r\nx\r\n" * 1000 + b"0\r\n\r\n")
            received = await connection.receive_request()
            assert isinstance(received, ReceivedRequest)
            held = self.budget.used - CONNECTION_BYTES
            self.assertEqual(len(received.body), 1000)
            self.assertLess(held, 1000 + 100)
            await connection.send_response(200, (), b"ok")
            self.assertTrue(connection.start_next_cycle())
            self.assertEqual(self.budget.used, CONNECTION_BYTES)

        self.play(test)
        self.assertEqual(self.budget.used, 0)

    def test_long_body_may_wait_in_a_larger_buffer(self) -> None:
        """What the kernel may hold of it counts until its request has been answered."""
        held: list[int] = []

        async def serve(connection: ServerConnection) -> None:
            await connection.receive_request()
            held.append(self.budget.used)
            await connection.send_response(200, (), b"ok")
            connection.start_next_cycle()
            held.append(self.budget.used)

        async def test() -> None:
            client_socket, server_socket = trio.socket.socketpair()
            client = trio.SocketStream(client_socket)
            server = trio.SocketStream(server_socket)
            async with (
                self.open(server) as connection,  # type: ignore[attr-defined]
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(serve, connection)
                await client.send_all(CHUNKED + BLOCK * 4 + b"0\r\n\r\n")

        trio.run(test)
        room = KERNEL_FACTOR * (UPLOAD_RECEIVE_BYTES - WAITING_RECEIVE_BYTES)
        self.assertGreaterEqual(held[0], CONNECTION_BYTES + 4 * 32 * KIB + room)
        self.assertEqual(held[1], CONNECTION_BYTES)

    def test_stalled_request_is_refused_for_another(self) -> None:
        """It is told that it has not run, and the other one is whole."""

        async def test(client: trio.abc.Stream, connection: ServerConnection) -> None:
            other_client, other_server = trio.testing.memory_stream_pair()
            results: list[object] = []

            async def receive(server: ServerConnection) -> None:
                results.append(await server.receive_request())

            async with (
                self.open(other_server) as other,  # type: ignore[attr-defined]
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(receive, connection)
                await client.send_all(CHUNKED + BLOCK * 15)
                await trio.sleep(2.0)
                nursery.start_soon(receive, other)
                await other_client.send_all(CHUNKED + BLOCK * 14 + b"0\r\n\r\n")
            self.assertEqual(results[0], MEMORY_SHORT)
            self.assertIsInstance(results[1], ReceivedRequest)

        self.play(test)
        self.assertEqual(self.decisions, ["closed"])

    def test_single_request_over_the_budget_is_refused(self) -> None:
        """No other one can make room for it."""

        async def test(client: trio.abc.Stream, connection: ServerConnection) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(client.send_all, CHUNKED + BLOCK * 30)
                self.assertEqual(await connection.receive_request(), MEMORY_SHORT)
                nursery.cancel_scope.cancel()

        self.play(test)
        self.assertEqual(self.decisions, ["refused"])

    def test_progress_is_demanded_in_bytes(self) -> None:
        """A body that comes a byte now and then is refused within a window."""

        async def test(client: trio.abc.Stream, connection: ServerConnection) -> None:
            began_at = trio.current_time()

            async def trickle() -> None:
                await client.send_all(CHUNKED)
                while True:
                    await client.send_all(b"1\r\nx\r\n")
                    await trio.sleep(1.0)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(trickle)
                self.assertEqual(await connection.receive_request(), REQUEST_TIMEOUT)
                self.assertAlmostEqual(trio.current_time() - began_at, 5.0)
                nursery.cancel_scope.cancel()

        self.play(test)

    def test_slow_body_that_progresses_is_received(self) -> None:
        """It may take many windows, up to the time for the whole request."""

        async def test(client: trio.abc.Stream, connection: ServerConnection) -> None:
            async def send() -> None:
                await client.send_all(HEAD + b"content-length: 2000\r\n\r\n")
                for _ in range(20):
                    await client.send_all(b"x" * 100)
                    await trio.sleep(2.0)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                received = await connection.receive_request()
                self.assertIsInstance(received, ReceivedRequest)
                nursery.cancel_scope.cancel()

        self.play(test)

    def test_nothing_follows_a_response_that_was_cut_off(self) -> None:
        """A connection on which a caller stopped reading serves no further request."""

        async def test(client: trio.abc.Stream, connection: ServerConnection) -> None:
            await client.send_all(HEAD + b"\r\n")
            await connection.receive_request()

            async def block(data: bytes) -> None:
                await trio.sleep_forever()

            connection._stream.send_all = block  # type: ignore[attr-defined]
            with trio.move_on_after(1.0):
                await connection.send_response(200, (), b"x" * 100)
            self.assertFalse(connection.start_next_cycle())
            with self.assertRaises(ClientDisconnectedError):
                await connection.send_response(200, (), b"next")

        self.play(test)


class ReadTest(unittest.TestCase):
    """A read has its room before any bytes are taken from the kernel."""

    def test_size_follows_from_the_room(self) -> None:
        """Without room it is short, and an ordinary connection may use the reserve."""

        async def test() -> None:
            budget = MemoryBudget(1000 * KIB)
            ordinary = budget.open_share("", lambda: None)
            large = budget.open_share("", lambda: None)
            large.add(600 * KIB)
            sizes = [large.reserve_read(4 * KIB, 64 * KIB) for _ in range(3)]
            self.assertEqual(sizes, [64 * KIB, 4 * KIB, 4 * KIB])
            sizes = [ordinary.reserve_read(4 * KIB, 64 * KIB) for _ in range(2)]
            self.assertEqual(sizes, [48 * KIB, 4 * KIB])
            self.assertEqual(budget.used, CONNECTION_BYTES * 2 + (672 + 52) * KIB)

        run(test)


class PaceTest(unittest.TestCase):
    """Chunks beyond the rate wait, for all connections together."""

    def test_rate(self) -> None:
        """After the burst the rate holds."""

        async def test() -> None:
            pace = ParsingPace(rate=100.0, burst=1.0)
            began_at = trio.current_time()
            for _ in range(5):
                await pace.spend(100)
            self.assertAlmostEqual(trio.current_time() - began_at, 4.0)

        run(test)


class PiecesTest(unittest.TestCase):
    """Small pieces are joined, large ones pass as they are."""

    def test_large_piece_is_not_copied(self) -> None:
        """A body is the same object after it."""
        body = b"x" * (JOINED_BYTES + 1)
        joined = list(join_small([b"head", b"", b"more", body, b"end"]))
        self.assertEqual(joined, [b"headmore", body, b"end"])
        self.assertIs(joined[1], body)


if __name__ == "__main__":
    unittest.main()
