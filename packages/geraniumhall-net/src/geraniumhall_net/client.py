"""HTTP client connections and connection pools.

A connection carries one exchange at a time. If the exchange is truncated,
cancelled or times out, the connection is closed and not reused.
"""

import select
import struct
from collections import Counter
from collections.abc import Awaitable, Callable
from json import dumps
from re import compile as compile_pattern
from socket import AF_INET, AF_INET6, SO_LINGER, SOL_SOCKET

import attrs
import h11
import trio

from geraniumhall_net.bodies import MAX_FETCHED_BYTES, BodyBudget, BodyShare
from geraniumhall_net.budget import ParsingPace
from geraniumhall_net.head_bounds import MAX_HEAD_FIELDS, HeadBound
from geraniumhall_net.kernel_buffers import (
    SERVER_RECEIVE_BYTES,
    SERVER_SEND_BYTES,
    limit_buffers,
)
from geraniumhall_net.liveness import enable_tcp_keepalive
from geraniumhall_net.pieces import join_small
from geraniumhall_wire.heads import ResponseHead, UpstreamRequest
from geraniumhall_wire.settings import split_address

RECEIVE_BYTES = 65536  # at most, in one read
PACED_CHUNKS = 64  # of one read, parsed without letting other tasks run
MAX_INFORMATIONAL_HEADS = 16  # before the final response
MAX_STATUS = 599  # the parser takes any three digits
MAX_REFUSED = 64  # refused exchanges on one connection
BODILESS_METHODS = frozenset({b"GET", b"HEAD", b"DELETE"})
KEEP_ALIVE_PATTERN = compile_pattern(rb"timeout=(\d{1,9})(?!\d)")
KEEP_ALIVE_FRACTION = 0.7  # of the server's keep-alive timeout

Connector = Callable[[str], Awaitable[trio.abc.Stream]]


class ConnectFailedError(ConnectionError):
    """Raised when connecting failed, so that nothing was sent."""


class ExchangeFailedError(ConnectionError):
    """Raised when an exchange failed; the server may have run the request."""


@attrs.frozen
class BufferedResponse:
    """A response whose body was read completely."""

    head: ResponseHead
    body: bytes


async def connect_tcp(address: str) -> trio.abc.Stream:
    """Connect to an address such as ``127.0.0.1:80``.

    The host is an IP address, so no name is resolved and there is only one
    address to try. What the kernel holds for the connection is bounded.
    Raises `ConnectFailedError`.
    """
    try:
        host, port = split_address(address)
    except ValueError as error:
        raise ConnectFailedError(f"{address!r}: {error}") from error
    family = AF_INET6 if ":" in host else AF_INET
    try:
        tcp_socket = trio.socket.socket(family)
    except OSError as error:  # such as no descriptor left
        raise ConnectFailedError(f"{address}: {error}") from error
    try:
        limit_buffers(tcp_socket, SERVER_RECEIVE_BYTES, SERVER_SEND_BYTES)
        enable_tcp_keepalive(tcp_socket)
        await tcp_socket.connect((host, port))
    except OSError as error:
        tcp_socket.close()
        raise ConnectFailedError(f"{address}: {error}") from error
    except trio.Cancelled:
        tcp_socket.close()
        raise
    return trio.SocketStream(tcp_socket)


@attrs.define(eq=False)
class ClientConnection:
    """A connection to a server; times are in seconds.

    `idle_since` is on trio's clock. `refused` holds the names of the exchanges that
    the server refused on it: a copy of such a refusal may still arrive, so an exchange
    of the same name takes another connection. Answers in tiny chunks are parsed at the
    `pace` that all connections share.
    """

    _stream: trio.abc.Stream
    _host: bytes
    _http: h11.Connection
    idle_since: float = 0.0
    server_idle_timeout: float = float("inf")
    refused: set[str] = attrs.field(factory=set)
    pace: ParsingPace = attrs.field(factory=ParsingPace)
    _bound: HeadBound = attrs.field(factory=HeadBound, init=False)
    _parsed_chunks: int = attrs.field(default=0, init=False)  # of the latest read
    _is_body_complete: bool = attrs.field(default=False, init=False)
    _needs_data: bool = attrs.field(default=True, init=False)

    @classmethod
    def from_stream(
        cls, stream: trio.abc.Stream, address: str, pace: ParsingPace | None = None
    ) -> "ClientConnection":
        """Return a connection over a newly opened stream."""
        http = h11.Connection(h11.CLIENT)
        return cls(stream, address.encode(), http, pace=pace or ParsingPace())

    @property
    def has_no_input(self) -> bool:
        """Whether the socket has neither data nor an end of file to read.

        Input on an idle connection is its end or a response to no request, so
        the connection can't be reused.
        """
        if not isinstance(self._stream, trio.SocketStream):
            return True
        poller = select.poll()
        poller.register(self._stream.socket.fileno(), select.POLLIN)
        return not poller.poll(0)

    async def send_request(self, request: UpstreamRequest) -> None:
        """Send a request with its body; raises `ExchangeFailedError`.

        The host header defaults to the connection's address.
        """
        headers = list(request.headers)
        if all(name != b"host" for name, _ in headers):
            headers.insert(0, (b"host", self._host))
        if request.body or request.method not in BODILESS_METHODS:
            headers.append((b"content-length", str(len(request.body)).encode()))
        try:
            head = h11.Request(
                method=request.method, target=request.target, headers=headers
            )
            parts = [self._http.send(head)]
            parts.append(self._http.send(h11.Data(data=request.body)))
            parts.append(self._http.send(h11.EndOfMessage()))
            for data in join_small(part or b"" for part in parts):
                await self._stream.send_all(data)
        except h11.LocalProtocolError as error:
            raise ExchangeFailedError(f"the request can't be sent: {error}") from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ExchangeFailedError(f"sending failed: {error}") from error

    async def read_head(self) -> ResponseHead:
        """Return the head of the final response; raises `ExchangeFailedError`.

        At most `MAX_INFORMATIONAL_HEADS` heads may precede it.
        """
        for _ in range(MAX_INFORMATIONAL_HEADS + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise ExchangeFailedError(f"no status: {event.status_code}")
                head = ResponseHead(
                    status=event.status_code, headers=tuple(event.headers)
                )
                self._apply_keep_alive(head)
                return head
        raise ExchangeFailedError(
            f"more than {MAX_INFORMATIONAL_HEADS} informational responses"
        )

    async def read_chunk(self) -> bytes | None:
        """Return the next part of the body, or None at its end.

        After each `PACED_CHUNKS` of a read the part ends, and others are served.
        Raises `ExchangeFailedError` if the connection ends before the body.
        """
        pieces: list[bytes] = []
        while not self._is_body_complete and len(pieces) < PACED_CHUNKS:
            event = self._try_next_event()
            if type(event) is h11.Data:
                pieces.append(event.data)
                await self._count_chunk()
            elif type(event) is h11.EndOfMessage:
                self._is_body_complete = True
            elif pieces:
                break
            else:
                await self._receive_more()
        return b"".join(pieces) if pieces else None

    async def read_body(self, share: BodyShare | None = None) -> bytes:
        """Return the complete body, which `share` counts as held.

        Raises `ExchangeFailedError` if there is no room for it; without a share that is
        beyond `MAX_FETCHED_BYTES`.
        """
        share = share or BodyShare(BodyBudget(), MAX_FETCHED_BYTES)
        pieces = []
        while (chunk := await self.read_chunk()) is not None:
            if not share.grow(len(chunk)):
                raise ExchangeFailedError(f"no room for a body over {share.size} bytes")
            pieces.append(chunk)
        return b"".join(pieces)

    def start_next_cycle(self) -> bool:
        """Prepare the next exchange; return False if the connection can't be reused."""
        try:
            self._http.start_next_cycle()
        except h11.ProtocolError:
            return False
        self._bound = HeadBound()
        self._is_body_complete = False
        self._needs_data = True
        return not self._http.trailing_data[0]

    async def close(self) -> None:
        """Close the connection without waiting."""
        await trio.aclose_forcefully(self._stream)

    async def reset(self) -> None:
        """Close the connection with a TCP RST; what was not delivered yet is lost."""
        if isinstance(self._stream, trio.SocketStream):
            linger = struct.pack("ii", 1, 0)  # a zero linger time makes close send RST
            self._stream.setsockopt(SOL_SOCKET, SO_LINGER, linger)
        await self.close()

    def _apply_keep_alive(self, head: ResponseHead) -> None:
        """Expire an idle connection before the server's keep-alive timeout."""
        match = KEEP_ALIVE_PATTERN.search(head.find(b"keep-alive") or b"")
        if match is not None:
            self.server_idle_timeout = int(match[1]) * KEEP_ALIVE_FRACTION

    async def _next_event(self) -> object:
        while True:
            if self._needs_data:
                await self._receive_more()
            event = self._try_next_event()
            if event is not h11.NEED_DATA:
                return event

    def _try_next_event(self) -> object:
        if self._needs_data:
            return h11.NEED_DATA
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise ExchangeFailedError(f"malformed answer: {error}") from error
        if type(event) is h11.ConnectionClosed:
            raise ExchangeFailedError("the connection was closed")
        self._needs_data = event is h11.NEED_DATA
        return event

    async def _count_chunk(self) -> None:
        self._parsed_chunks += 1
        if self._parsed_chunks % PACED_CHUNKS == 0:
            await self.pace.spend(PACED_CHUNKS)

    async def _receive_more(self) -> None:
        self._parsed_chunks = 0
        try:
            data = await self._stream.receive_some(RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ExchangeFailedError(f"receiving failed: {error}") from error
        if not data and self._is_reset():
            raise ExchangeFailedError("the connection was reset after its end")
        if not self._bound.feed(data):
            raise ExchangeFailedError(f"a head of more than {MAX_HEAD_FIELDS} fields")
        self._http.receive_data(data)
        self._needs_data = False

    def _is_reset(self) -> bool:
        """Return whether a reset followed the end of what the server sent.

        The end is read before the reset is reported, so that an answer without a
        length would look complete.
        """
        if not isinstance(self._stream, trio.SocketStream):
            return False
        poller = select.poll()
        poller.register(self._stream.socket.fileno(), 0)  # errors are always reported
        return any(bits & select.POLLERR for _, bits in poller.poll(0))


@attrs.define(eq=False)
class ClientPool:
    """Pool of connections by address; times are in seconds.

    No connection is kept idle while the process `is_short` of memory. All of them share
    the `pace` at which answers in tiny chunks are parsed, and `bodies` bounds those
    answers that are read as a whole.
    """

    connector: Connector = connect_tcp
    connect_timeout: float = 1.0
    idle_timeout: float = 4.0
    max_idle: int = 64
    is_short: Callable[[], bool] = lambda: False
    pace: ParsingPace = attrs.field(factory=ParsingPace)
    bodies: BodyBudget = attrs.field(factory=BodyBudget)
    _idle: dict[str, list[ClientConnection]] = attrs.field(factory=dict, init=False)
    _open: Counter[str] = attrs.field(factory=Counter, init=False)
    _next_expiry_check: float = attrs.field(default=float("-inf"), init=False)

    async def acquire(
        self,
        address: str,
        reuse: bool = True,
        limit: int | None = None,
        exchange: str = "",
    ) -> ClientConnection:
        """Return an idle connection or a new one; raises `ConnectFailedError`.

        No connection is reused on which an `exchange` of that name was refused.
        If the address has `limit` open connections and a new one is needed,
        its oldest idle connections are closed first. Connections in use are not
        closed for it, so these may exceed the limit.
        """
        await self.close_expired()
        idle = self._idle.get(address, [])
        while reuse and idle:
            connection = idle.pop()
            if self._is_usable(connection) and exchange not in connection.refused:
                return connection
            await self.discard(address, connection)
        while limit is not None and idle and self._open[address] >= limit:
            await self.discard(address, idle.pop(0))
        return await self._connect(address)

    async def release(self, address: str, connection: ClientConnection) -> None:
        """Keep a connection whose exchange is complete, if it can be reused."""
        idle = self._idle.setdefault(address, [])
        is_kept = len(idle) < self.max_idle and not self.is_short()
        is_kept = is_kept and len(connection.refused) < MAX_REFUSED
        if not is_kept or not connection.start_next_cycle():
            await self.discard(address, connection)
            return
        connection.idle_since = trio.current_time()
        idle.append(connection)

    async def discard(self, address: str, connection: ClientConnection) -> None:
        """Close a connection, which then no longer counts as open."""
        self._count_closed(address)
        await connection.close()

    async def abort(self, address: str, connection: ClientConnection) -> None:
        """Reset a connection, so that a request still on its way is not delivered."""
        self._count_closed(address)
        await connection.reset()

    def count_open(self) -> dict[str, int]:
        """Return the number of open connections by address, idle ones included."""
        return dict(self._open)

    async def close_expired(self) -> None:
        """Close connections that idled too long, also at addresses no longer used."""
        now = trio.current_time()
        if now < self._next_expiry_check:
            return
        self._next_expiry_check = now + self.idle_timeout
        for address, idle in list(self._idle.items()):
            while idle and now - idle[0].idle_since > self.idle_timeout:
                await self.discard(address, idle.pop(0))
            if not idle:
                self._idle.pop(address, None)

    async def close_idle(self, only: str = "") -> None:
        """Close all idle connections, or those to one address only."""
        for address, idle in list(self._idle.items()):
            while idle and only in ("", address):
                await self.discard(address, idle.pop())

    async def _connect(self, address: str) -> ClientConnection:
        self._open[address] += 1
        stream = None
        try:
            with trio.move_on_after(self.connect_timeout):
                stream = await self.connector(address)
        finally:
            if stream is None:
                self._count_closed(address)
        if stream is None:
            raise ConnectFailedError(f"{address}: no connection in time")
        return ClientConnection.from_stream(stream, address, self.pace)

    def _count_closed(self, address: str) -> None:
        self._open[address] -= 1
        if not self._open[address]:
            del self._open[address]

    def _is_usable(self, connection: ClientConnection) -> bool:
        idle = trio.current_time() - connection.idle_since
        limit = min(self.idle_timeout, connection.server_idle_timeout)
        return idle <= limit and connection.has_no_input


async def fetch_response(
    pool: ClientPool,
    address: str,
    request: UpstreamRequest,
    timeout: float,
    reuse: bool = True,
    max_body: int = MAX_FETCHED_BYTES,
) -> BufferedResponse:
    """Send a request and return the response with its complete body.

    Without `reuse` a new connection is opened. `timeout` is in seconds and
    starts once there is a connection. A body of more than `max_body` bytes fails the
    exchange, and so does one that the pool has no room for. A connection without a
    whole response is reset, so that the request can't arrive later. If it has timed
    out, idle connections to the address may be as dead and are closed. Raises
    `ConnectFailedError` if connecting failed, and `ExchangeFailedError` if the exchange
    did.
    """
    connection = await pool.acquire(address, reuse)
    is_complete = False
    try:
        with trio.move_on_after(timeout), pool.bodies.open_share(max_body) as share:
            await connection.send_request(request)
            head = await connection.read_head()
            body = await connection.read_body(share)
            is_complete = True
            return BufferedResponse(head, body)
        await pool.close_idle(address)
        raise ExchangeFailedError(f"no whole answer within {timeout} s")
    finally:
        if is_complete:
            await pool.release(address, connection)
        else:
            await pool.abort(address, connection)


def build_json_request(method: str, target: str, data: object) -> UpstreamRequest:
    """Return a request with `data` as JSON body, or without a body if it is None."""
    headers = ((b"content-type", b"application/json"),)
    body = b"" if data is None else dumps(data).encode()
    return UpstreamRequest(method.encode(), target.encode(), headers, body)
