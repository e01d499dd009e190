"""Tests of HTTP client connections and their pool."""

import os
import resource
import unittest
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import trio
import trio.testing

from geraniumhall_net.budget import ParsingPace
from geraniumhall_net.client import (
    PACED_CHUNKS,
    ClientPool,
    ConnectFailedError,
    ExchangeFailedError,
    connect_tcp,
    fetch_response,
)
from geraniumhall_wire.heads import UpstreamRequest

REQUEST = UpstreamRequest(b"GET", b"/", (), b"")
ADDRESS = "10.0.0.1:80"


class ScriptedServer:
    """Server that sends the next of the given answers on each connection."""

    def __init__(self, *answers: bytes, close: bool = False) -> None:
        self.answers = list(answers)
        self.close = close
        self.connections = 0

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a connection on which the next answer was sent already."""
        self.connections += 1
        client_stream, server_stream = trio.testing.memory_stream_pair()
        if self.answers:
            await server_stream.send_all(self.answers.pop(0))
        if self.close:
            await server_stream.send_stream.aclose()
        return client_stream


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test on trio's mock clock."""
    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


@contextmanager
def use_all_descriptors() -> Iterator[None]:
    """Lower the limit of descriptors to those that are in use."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    used = max(int(name) for name in os.listdir("/proc/self/fd"))
    opened = [os.open("/dev/null", os.O_RDONLY) for _ in range(used + 1)]
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(opened) + 1, limits[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        for descriptor in opened:
            os.close(descriptor)


class DescriptorTest(unittest.TestCase):
    """A process without a descriptor left can't connect, and goes on."""

    # Guards against a process that ended when it connected to the store.
    def test_no_descriptor_left_fails_to_connect(self) -> None:
        """The failure proves that nothing was sent, as any other of its kind."""

        async def test() -> None:
            with use_all_descriptors(), self.assertRaises(ConnectFailedError):
                await connect_tcp("127.0.0.1:9")

        trio.run(test)


class RequestTest(unittest.TestCase):
    """An exchange returns a complete response or raises an error."""

    def request(self, server: ScriptedServer, count: int = 1) -> list[bytes]:
        """Return the response bodies of `count` exchanges through one pool."""
        bodies: list[bytes] = []

        async def test() -> None:
            pool = ClientPool(connector=server.connect)
            for _ in range(count):
                response = await fetch_response(pool, ADDRESS, REQUEST, 5.0)
                bodies.append(response.body)

        run(test)
        return bodies

    def test_whole_answer(self) -> None:
        """The body of a complete response is returned."""
        server = ScriptedServer(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab")
        self.assertEqual(self.request(server), [b"ab"])

    def test_cut_answer(self) -> None:
        """A body shorter than its content length fails the exchange."""
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab"
        with self.assertRaises(ExchangeFailedError):
            self.request(ScriptedServer(answer, close=True))

    def test_silent_server(self) -> None:
        """A server that sends nothing fails the exchange at the timeout."""
        with self.assertRaises(ExchangeFailedError):
            self.request(ScriptedServer())

    def test_malformed_answer(self) -> None:
        """Bytes that are not HTTP fail the exchange."""
        with self.assertRaises(ExchangeFailedError):
            self.request(ScriptedServer(b"hello\r\n\r\n"))

    def test_surplus_bytes_forbid_reuse(self) -> None:
        """A connection with bytes after its response is not reused."""
        whole = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na"
        server = ScriptedServer(whole + whole, whole)
        self.request(server, count=2)
        self.assertEqual(server.connections, 2)

    def test_connection_that_the_server_closes(self) -> None:
        """A response that ends with its connection is complete; it is not reused."""
        closing = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nabc"
        server = ScriptedServer(closing, closing, close=True)
        self.assertEqual(self.request(server, count=2), [b"abc", b"abc"])

    def test_slow_connect(self) -> None:
        """Connecting that exceeds the timeout raises `ConnectFailedError`."""

        async def hang(address: str) -> trio.abc.Stream:
            await trio.sleep_forever()
            raise AssertionError

        async def test() -> None:
            with self.assertRaises(ConnectFailedError):
                await ClientPool(connector=hang).acquire(ADDRESS)

        run(test)


class TinyChunkTest(unittest.TestCase):
    """Answers in tiny chunks take no more than their share of the process's time."""

    HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

    def fetch(self, chunks: int, rate: float) -> tuple[int, float]:
        """Fetch an answer in chunks of a byte; return its size and the time taken."""
        answer = self.HEAD + b"1\r\nx\r\n" * chunks + b"0\r\n\r\n"
        server = ScriptedServer(answer)
        pool = ClientPool(connector=server.connect, pace=ParsingPace(rate, burst=0.0))
        size, seconds = 0, 0.0

        async def test() -> None:
            nonlocal size, seconds
            began_at = trio.current_time()
            response = await fetch_response(pool, ADDRESS, REQUEST, 1000.0)
            size = len(response.body)
            seconds = trio.current_time() - began_at

        run(test)
        return size, seconds

    def test_chunks_of_one_read_are_paced(self) -> None:
        """Guards against one exchange that is parsed until it ends."""
        size, seconds = self.fetch(640, rate=64.0)
        self.assertEqual(size, 640)
        self.assertAlmostEqual(seconds, 10.0, places=3)

    def test_few_chunks_cost_nothing(self) -> None:
        """A read of an ordinary stream has few chunks."""
        self.assertEqual(self.fetch(PACED_CHUNKS - 1, rate=1.0)[1], 0.0)

    def test_other_tasks_run_between_the_parts(self) -> None:
        """The start of a long read is handed on before the rest of it is parsed."""
        answer = self.HEAD + b"1\r\nx\r\n" * 1000
        server = ScriptedServer(answer)
        pool = ClientPool(connector=server.connect)

        async def test() -> None:
            connection = await pool.acquire(ADDRESS)
            await connection.send_request(REQUEST)
            await connection.read_head()
            chunk = await connection.read_chunk()
            self.assertEqual(chunk, b"x" * PACED_CHUNKS)

        run(test)


class AbandonedCallTest(unittest.TestCase):
    """A call without an answer is taken back, over real sockets."""

    async def abandon_call(
        self, abandon: Callable[[ClientPool, str], Awaitable[None]]
    ) -> str:
        """Abandon a call and return how its connection ends for the server.

        After a reset the client's kernel sends nothing again, whereas bytes that
        wait to be sent again still arrive after an ordinary close.
        """
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()[:2]
        await abandon(ClientPool(), f"{host}:{port}")
        stream = await listeners[0].accept()
        try:
            while await stream.receive_some(100):
                pass
        except trio.BrokenResourceError:
            return "reset"
        finally:
            await trio.aclose_forcefully(stream)
            await listeners[0].aclose()
        return "closed"

    def test_call_that_times_out_is_reset(self) -> None:
        """A call without an answer in time ends with a reset."""

        async def abandon(pool: ClientPool, address: str) -> None:
            with self.assertRaises(ExchangeFailedError):
                await fetch_response(pool, address, REQUEST, 0.05)

        self.assertEqual(trio.run(self.abandon_call, abandon), "reset")

    def test_idle_connections_are_closed_with_one_that_is_silent(self) -> None:
        """Guards against calls that wait in vain on each kept connection in turn."""
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
        server = ScriptedServer(answer, answer)
        pool = ClientPool(connector=server.connect)

        async def test() -> None:
            async with trio.open_nursery() as nursery:
                for _ in range(2):
                    nursery.start_soon(fetch_response, pool, ADDRESS, REQUEST, 1.0)
            with self.assertRaises(ExchangeFailedError):
                await fetch_response(pool, ADDRESS, REQUEST, 1.0)

        run(test)
        self.assertEqual(pool.count_open(), {})

    def test_call_that_is_cancelled_is_reset(self) -> None:
        """A cancelled call, such as one that expired, is reset too."""

        async def abandon(pool: ClientPool, address: str) -> None:
            with trio.move_on_after(0.05):
                await fetch_response(pool, address, REQUEST, 5.0)

        self.assertEqual(trio.run(self.abandon_call, abandon), "reset")


class IdleConnectionsTest(unittest.TestCase):
    """Idle connections count toward the limit, and expire."""

    def count_open(
        self, test: Callable[[ClientPool], Awaitable[None]]
    ) -> dict[str, int]:
        """Return the number of open connections by address after a test."""
        counts: dict[str, int] = {}

        async def connect(address: str) -> trio.abc.Stream:
            client_stream, server_stream = trio.testing.memory_stream_pair()
            answer = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na"
            await server_stream.send_all(answer)
            return client_stream

        async def play() -> None:
            pool = ClientPool(connector=connect)
            await test(pool)
            counts.update(pool.count_open())

        run(play)
        return counts

    def test_idle_connection_is_closed_at_the_limit(self) -> None:
        """A new connection at the limit closes an idle one."""

        async def test(pool: ClientPool) -> None:
            await fetch_response(pool, ADDRESS, REQUEST, 5.0)
            await pool.acquire(ADDRESS, reuse=False, limit=1)

        self.assertEqual(self.count_open(test), {ADDRESS: 1})

    def test_below_the_limit(self) -> None:
        """A new connection below the limit leaves the idle one open."""

        async def test(pool: ClientPool) -> None:
            await fetch_response(pool, ADDRESS, REQUEST, 5.0)
            await pool.acquire(ADDRESS, reuse=False, limit=2)

        self.assertEqual(self.count_open(test), {ADDRESS: 2})

    def test_connections_to_unused_address_are_closed(self) -> None:
        """Connections to an address that is no longer used expire."""

        async def test(pool: ClientPool) -> None:
            await fetch_response(pool, ADDRESS, REQUEST, 5.0)
            await trio.sleep(2 * pool.idle_timeout)
            await pool.acquire("10.0.0.2:80")

        self.assertEqual(self.count_open(test), {"10.0.0.2:80": 1})

    def test_expired_connections_are_closed_without_a_request(self) -> None:
        """Guards against descriptors that are held until the next request comes."""

        async def test(pool: ClientPool) -> None:
            await fetch_response(pool, ADDRESS, REQUEST, 5.0)
            await pool.close_expired()
            self.assertEqual(pool.count_open(), {ADDRESS: 1})
            await trio.sleep(2 * pool.idle_timeout)
            await pool.close_expired()

        self.assertEqual(self.count_open(test), {})

    def test_failed_connection_is_not_counted(self) -> None:
        """A failed connect does not count as an open connection."""

        async def hang(address: str) -> trio.abc.Stream:
            await trio.sleep_forever()
            raise AssertionError

        async def test(pool: ClientPool) -> None:
            pool.connector = hang
            with self.assertRaises(ConnectFailedError):
                await pool.acquire(ADDRESS)

        self.assertEqual(self.count_open(test), {})
