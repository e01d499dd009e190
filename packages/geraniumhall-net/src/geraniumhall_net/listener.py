"""TCP listeners with a limit on open connections."""

import select
from collections.abc import Awaitable, Callable

import attrs
import trio
from loguru import logger

from geraniumhall_net.liveness import enable_tcp_keepalive
from geraniumhall_wire.settings import split_address

BACKLOG = 1024

ConnectionHandler = Callable[[trio.SocketStream], Awaitable[None]]


@attrs.define(eq=False)
class Listener:
    """Accepts connections up to a limit; more wait in the kernel's backlog.

    An exception from a connection's handler is logged and ends only that
    connection.
    """

    _listeners: list[trio.SocketListener]
    _handler: ConnectionHandler
    _connection_limiter: trio.CapacityLimiter
    _accept_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope, init=False)

    @classmethod
    async def from_address(
        cls, address: str, handler: ConnectionHandler, max_connections: int
    ) -> "Listener":
        """Bind a listener to `address`; raises `OSError`."""
        host, port = split_address(address)
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
        return cls(listeners, handler, trio.CapacityLimiter(max_connections))

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
        await self._connection_limiter.acquire_on_behalf_of(token)
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

    async def _handle(self, stream: trio.SocketStream, token: object) -> None:
        try:
            enable_tcp_keepalive(stream.socket)
            await self._handler(stream)
        except Exception:
            logger.exception("connection_handler_failed")
        finally:
            self._connection_limiter.release_on_behalf_of(token)
