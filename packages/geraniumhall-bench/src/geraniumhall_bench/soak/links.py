"""A loopback TCP proxy that injects network faults."""

import socket
import struct
from contextlib import suppress
from enum import Enum

import attrs
import trio

RECEIVE_BYTES = 65536
BACKLOG = 128
DELAY_SECONDS = 0.4


class LinkState(Enum):
    """How a link treats connections and data."""

    OPEN = "open"
    DELAYED = "delayed"
    ONE_WAY = "one way"
    SILENT = "silent"
    REFUSING = "refusing"


@attrs.define(eq=False)
class Link:
    """A TCP proxy in front of one address.

    A silent link holds back data in both directions until its state changes; a
    one-way link holds back only the target's responses. A delayed link delays
    each read by `DELAY_SECONDS`, and a refusing link closes new connections.
    """

    target: str
    listener: trio.SocketListener
    nursery: trio.Nursery
    state: LinkState = LinkState.OPEN
    _streams: set[trio.SocketStream] = attrs.field(factory=set, init=False)
    _state_changed: trio.Event = attrs.field(factory=trio.Event, init=False)

    @classmethod
    async def open(cls, target: str, nursery: trio.Nursery) -> "Link":
        """Start a link to `target` on a free port of the loopback interface."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=BACKLOG)
        link = cls(target, listeners[0], nursery)
        nursery.start_soon(link._serve)
        return link

    @property
    def address(self) -> str:
        """The address on which the link listens."""
        host, port = self.listener.socket.getsockname()[:2]
        return f"{host}:{port}"

    def set_state(self, state: LinkState) -> None:
        """Change how the link treats connections and data from now on."""
        self.state = state
        self._state_changed.set()
        self._state_changed = trio.Event()

    def reset(self) -> None:
        """Reset all open connections with a TCP RST."""
        linger = struct.pack("ii", 1, 0)  # a zero linger time makes close send RST
        for stream in list(self._streams):
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            stream.socket.close()
        self._streams.clear()

    async def _serve(self) -> None:
        while True:
            stream = await self.listener.accept()
            if self.state is LinkState.REFUSING:
                await trio.aclose_forcefully(stream)
            else:
                self.nursery.start_soon(self._proxy, stream)

    async def _proxy(self, client_stream: trio.SocketStream) -> None:
        host, port = self.target.split(":")
        try:
            server_stream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await trio.aclose_forcefully(client_stream)
            return
        self._streams |= {client_stream, server_stream}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._forward, client_stream, server_stream, False)
            nursery.start_soon(self._forward, server_stream, client_stream, True)

    async def _forward(
        self, source: trio.SocketStream, sink: trio.SocketStream, is_response: bool
    ) -> None:
        # When either side breaks, both are closed, so that the failure propagates.
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await source.receive_some(RECEIVE_BYTES):
                await self._wait_until_open(is_response)
                await sink.send_all(data)
        self._streams -= {source, sink}
        await trio.aclose_forcefully(source)
        await trio.aclose_forcefully(sink)

    async def _wait_until_open(self, is_response: bool) -> None:
        if self.state is LinkState.DELAYED:
            await trio.sleep(DELAY_SECONDS)
        while self.state is LinkState.SILENT or (
            self.state is LinkState.ONE_WAY and is_response
        ):
            await self._state_changed.wait()
