"""Calls between daemons, by a transport that the settings choose.

gRPC runs on an asyncio loop inside trio; calls cross over at this module, and
nothing else knows of it.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from socket import create_server
from typing import Any, Protocol

import attrs
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream
from trio_asyncio import aio_as_trio, open_loop, trio_as_aio

from geraniumhall_core.peering import (
    BorrowRequest,
    PeerAnswer,
    PeerFailure,
    PeerMessage,
    PullRequest,
)
from geraniumhall_wire.converter import InvalidDataError
from geraniumhall_wire.peer_codec import (
    decode_peer_answer,
    decode_peer_message,
    encode_peer_answer,
    encode_peer_message,
)
from geraniumhall_wire.peer_grpc import PeerBase, PeerStub
from geraniumhall_wire.settings import split_address

PeerHandler = Callable[[PeerMessage], Awaitable[PeerAnswer]]

CALL_ERRORS = (GRPCError, StreamTerminatedError, OSError, InvalidDataError)


class PeerTransport(Protocol):
    """A way to reach other daemons."""

    address: str

    async def call(self, address: str, message: PeerMessage) -> PeerAnswer:
        """Call another daemon; a failure is an answer too."""


class PeerService(PeerBase):
    """Serves the calls of other daemons."""

    def __init__(self, handler: PeerHandler) -> None:
        self._answer = trio_as_aio(handler)

    async def Pull(self, stream: Stream) -> None:  # noqa: N802
        """Answer a pull."""
        await self._serve(stream)

    async def Borrow(self, stream: Stream) -> None:  # noqa: N802
        """Answer a request for tokens."""
        await self._serve(stream)

    async def _serve(self, stream: Stream) -> None:
        request = await stream.recv_message()
        answer = await self._answer(decode_peer_message(request))
        await stream.send_message(encode_peer_answer(answer))


@attrs.define(eq=False)
class GrpcTransport:
    """Long-lived gRPC connections to other daemons."""

    address: str
    _stubs: dict[str, tuple[Channel, PeerStub]] = attrs.field(factory=dict)

    async def call(self, address: str, message: PeerMessage) -> PeerAnswer:
        """Call another daemon over its kept connection."""
        try:
            method = self._find_method(address, message)
            reply = await aio_as_trio(method)(encode_peer_message(message))
            return decode_peer_answer(reply)
        except CALL_ERRORS as error:
            self._drop(address)
            return PeerFailure(f"{type(error).__name__}: {error}")

    def close(self) -> None:
        """Close all connections."""
        for address in list(self._stubs):
            self._drop(address)

    def _find_method(self, address: str, message: PeerMessage) -> Any:
        if address not in self._stubs:
            host, port = split_address(address)
            channel = Channel(host, port)
            self._stubs[address] = (channel, PeerStub(channel))
        stub = self._stubs[address][1]
        methods = {PullRequest: stub.Pull, BorrowRequest: stub.Borrow}
        return methods[type(message)]

    def _drop(self, address: str) -> None:
        held = self._stubs.pop(address, None)
        if held is not None:
            held[0].close()


@asynccontextmanager
async def open_grpc_transport(
    listen: str, handler: PeerHandler
) -> AsyncIterator[GrpcTransport]:
    """Listen for peers while the block runs; raises `OSError`."""
    sock = create_server(split_address(listen))
    host, port = sock.getsockname()[:2]
    async with open_loop():
        server = Server([PeerService(handler)])
        await aio_as_trio(server.start)(sock=sock)
        transport = GrpcTransport(f"{host}:{port}")
        try:
            yield transport
        finally:
            transport.close()
            server.close()
