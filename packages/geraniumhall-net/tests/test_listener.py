"""Tests of listeners over real sockets."""

import unittest
from socket import SO_RCVBUF, SO_SNDBUF, SOL_SOCKET

import trio

from geraniumhall_net.kernel_buffers import (
    KERNEL_FACTOR,
    SEND_BYTES,
    WAITING_RECEIVE_BYTES,
)
from geraniumhall_net.listener import Listener

WAITING_CLIENTS = 5
SERVING_SECONDS = 0.02


async def answer(stream: trio.SocketStream) -> None:
    """Answer one request of a client."""
    data = await stream.receive_some(100)
    await trio.sleep(SERVING_SECONDS)
    await stream.send_all(b"answer to " + data)
    await stream.aclose()


class StopTest(unittest.TestCase):
    """A stopped listener accepts nothing new and cuts nothing off."""

    async def play(self, max_connections: int) -> tuple[list[bytes], bool]:
        """Stop a listener while clients wait in the kernel's queue.

        Return what the clients got, and whether a later connection is refused.
        """
        answers: list[bytes] = []
        async with trio.open_nursery() as nursery:
            listener = await Listener.from_address(
                "127.0.0.1:0", answer, max_connections
            )
            host, port = listener.address.split(":")
            streams = []
            for number in range(WAITING_CLIENTS):
                stream = await trio.open_tcp_stream(host, int(port))
                await stream.send_all(b"%d" % number)
                streams.append(stream)
            nursery.start_soon(listener.serve, nursery)
            listener.stop_accepting()
            for stream in streams:
                try:
                    answers.append(await stream.receive_some(100))
                except trio.BrokenResourceError:
                    answers.append(b"reset")
            await trio.sleep(2 * SERVING_SECONDS)
            is_refused = False
            try:
                await trio.open_tcp_stream(host, int(port))
            except OSError:
                is_refused = True
            nursery.cancel_scope.cancel()
        return answers, is_refused

    def test_clients_that_had_connected_are_answered(self) -> None:
        """Closing the listening socket would reset connections in its queue.

        Their clients have sent requests already, and can't know that these were not
        read.
        """
        expected = [b"answer to %d" % number for number in range(WAITING_CLIENTS)]
        for max_connections in (1, 2, 100):
            with self.subTest(max_connections=max_connections):
                answers, is_refused = trio.run(self.play, max_connections)
                self.assertEqual(answers, expected)
                self.assertTrue(is_refused)


class LimitTest(unittest.TestCase):
    """A listener that is full, or has many connections of one address."""

    async def connect(self, listener: Listener, count: int) -> list[bytes]:
        """Open connections, send on the last one and return what each one gets."""
        host, port = listener.address.split(":")
        streams = [await trio.open_tcp_stream(host, int(port)) for _ in range(count)]
        await streams[-1].send_all(b"hello")
        answers = []
        for stream in reversed(streams):
            with trio.move_on_after(10 * SERVING_SECONDS) as scope:
                answers.append(await stream.receive_some(100))
            if scope.cancelled_caught:
                answers.append(b"open")
        return answers

    def test_connection_that_waits_makes_another_one_yield(self) -> None:
        """Without it a new connection would wait for as long as an old one stays."""
        scopes: list[trio.CancelScope] = []

        async def serve(stream: trio.SocketStream) -> None:
            with trio.CancelScope() as scope:
                scopes.append(scope)
                await answer(stream)
            await trio.aclose_forcefully(stream)

        async def run() -> list[bytes]:
            async with trio.open_nursery() as nursery:
                listener = await Listener.from_address(
                    "127.0.0.1:0", serve, 2, lambda: scopes.pop(0).cancel()
                )
                nursery.start_soon(listener.serve, nursery)
                answers = await self.connect(listener, 3)
                nursery.cancel_scope.cancel()
            return answers

        self.assertEqual(trio.run(run), [b"answer to hello", b"open", b""])

    def test_connections_of_one_address_are_bounded(self) -> None:
        """A further one is closed at once, and named."""
        refused: list[str] = []

        async def run() -> list[bytes]:
            async with trio.open_nursery() as nursery:
                listener = await Listener.from_address(
                    "127.0.0.1:0",
                    answer,
                    100,
                    max_per_address=2,
                    on_refused=refused.append,
                )
                nursery.start_soon(listener.serve, nursery)
                host, port = listener.address.split(":")
                streams = []
                for _ in range(3):
                    streams.append(await trio.open_tcp_stream(host, int(port)))
                    await trio.sleep(SERVING_SECONDS)
                closed = await streams[2].receive_some(100)
                await streams[1].send_all(b"hello")
                answers = [closed, await streams[1].receive_some(100)]
                nursery.cancel_scope.cancel()
            return answers

        self.assertEqual(trio.run(run), [b"", b"answer to hello"])
        self.assertEqual(refused, ["127.0.0.1"])


class BufferTest(unittest.TestCase):
    """The kernel holds little for each connection."""

    def test_accepted_connection_has_bounded_buffers(self) -> None:
        """The bounds hold while it waits to be accepted too, so they are inherited."""
        sizes: list[int] = []

        async def measure(stream: trio.SocketStream) -> None:
            for option in (SO_RCVBUF, SO_SNDBUF):
                sizes.append(stream.socket.getsockopt(SOL_SOCKET, option))
            await stream.aclose()

        async def play() -> None:
            async with trio.open_nursery() as nursery:
                listener = await Listener.from_address("127.0.0.1:0", measure, 1)
                nursery.start_soon(listener.serve, nursery)
                host, port = listener.address.split(":")
                client = await trio.open_tcp_stream(host, int(port))
                await client.receive_some(1)
                nursery.cancel_scope.cancel()

        trio.run(play)
        bounds = [KERNEL_FACTOR * WAITING_RECEIVE_BYTES, KERNEL_FACTOR * SEND_BYTES]
        self.assertEqual(sizes, bounds)


if __name__ == "__main__":
    unittest.main()
