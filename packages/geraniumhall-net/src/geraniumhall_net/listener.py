"""TCP listeners with a limit on open connections."""

import select
from collections import Counter
from collections.abc import Awaitable, Callable

import attrs
import trio
from loguru import logger

from geraniumhall_net.kernel_buffers import (
    SEND_BYTES,
    WAITING_RECEIVE_BYTES,
    limit_buffers,
)
from geraniumhall_net.liveness import enable_tcp_keepalive
from geraniumhall_wire.settings import split_address

BACKLOG = 1024
ROOM_SECONDS = 0.25  # between attempts to make room for a connection that waits

ConnectionHandler = Callable[[trio.SocketStream], Awaitable[None]]


@attrs.define(eq=False)
class Listener:
    """Accepts connections up to a limit; more wait in the kernel's backlog.

    What the kernel holds for a connection is bounded from its start.
    At the limit `make_room` is called while a connection waits, so that it may close
    another. Of one peer address at most `max_per_address` are open, or any number
    if that is zero; `on_refused` gets the address of a further one. An exception from a
    connection's handler is logged and ends only that connection.
    """

    _listeners: list[trio.SocketListener]
    _handler: ConnectionHandler
    _connection_limiter: trio.CapacityLimiter
    _make_room: Callable[[], None]
    _max_per_address: int
    _on_refused: Callable[[str], None]
    _open_by_address: Counter[str] = attrs.field(factory=Counter, init=False)
    _accept_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope, init=False)

    @classmethod
    async def from_address(
        cls,
        address: str,
        handler: ConnectionHandler,
        max_connections: int,
        make_room: Callable[[], None] = lambda: None,
        max_per_address: int = 0,
        on_refused: Callable[[str], None] = lambda peer: None,
    ) -> "Listener":
        """Bind a listener to `address`; raises `OSError`."""
        host, port = split_address(address)
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
        for listener in listeners:
            limit_buffers(listener.socket, WAITING_RECEIVE_BYTES, SEND_BYTES)
        limiter = trio.CapacityLimiter(max_connections)
        return cls(listeners, handler, limiter, make_room, max_per_address, on_refused)

    @property
    def address(self) -> str:
        """The bound address, as ``HOST:PORT``."""
        host, port = self._listeners[0].socket.getsockname()[:2]
        return f"{host}:{port}"

    async def serve(self, nursery: trio.Nursery) -> None:
        """Accept connections until stopped; handle each in a task of `nursery`.

        Connections that wait in the kernel's queue at the stop are still handled,
        since closing the listening socket resets them.
        """
        with self._accept_scope:
            while True:
                await self._accept_one(nursery)
        while self._has_waiting_connection():
            await self._accept_one(nursery)
        for listener in self._listeners:
            await listener.aclose()

    def stop_accepting(self) -> None:
        """Stop accepting connections; open connections are not affected."""
        self._accept_scope.cancel()

    def _has_waiting_connection(self) -> bool:
        poller = select.poll()
        poller.register(self._listeners[0].socket.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    async def _accept_one(self, nursery: trio.Nursery) -> None:
        token = object()
        await self._wait_for_place(token)
        try:
            stream = await self._listeners[0].accept()
        except OSError:
            self._connection_limiter.release_on_behalf_of(token)
            await trio.sleep(0.01)
            return
        except trio.Cancelled:
            self._connection_limiter.release_on_behalf_of(token)
            raise
        nursery.start_soon(self._handle, stream, token)

    async def _wait_for_place(self, token: object) -> None:
        """Wait until a connection may be accepted, making room for one that waits."""
        while True:
            if self._connection_limiter.available_tokens < 1:
                await trio.lowlevel.wait_readable(self._listeners[0].socket)
                self._make_room()
            with trio.move_on_after(ROOM_SECONDS):
                await self._connection_limiter.acquire_on_behalf_of(token)
                return

    async def _handle(self, stream: trio.SocketStream, token: object) -> None:
        peer = ""
        try:
            peer = _find_peer(stream)
            self._open_by_address[peer] += 1
            enable_tcp_keepalive(stream.socket)
            if self._has_place(peer):
                await self._handler(stream)
            else:
                self._on_refused(peer)
                await trio.aclose_forcefully(stream)
        except Exception:
            logger.exception("connection_handler_failed")
        finally:
            self._count_closed(peer)
            self._connection_limiter.release_on_behalf_of(token)

    def _has_place(self, peer: str) -> bool:
        limit = self._max_per_address
        return not limit or self._open_by_address[peer] <= limit

    def _count_closed(self, peer: str) -> None:
        self._open_by_address[peer] -= 1
        if self._open_by_address[peer] <= 0:
            del self._open_by_address[peer]


def _find_peer(stream: trio.SocketStream) -> str:
    """Return the address of the peer, empty if it has left already."""
    try:
        return stream.socket.getpeername()[0]
    except OSError:
        return ""
