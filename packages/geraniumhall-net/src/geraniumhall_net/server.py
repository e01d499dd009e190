"""HTTP server connections.

A pump task reads ahead by one chunk, so that a client's disconnect is noticed
while its response is being prepared::

    async with open_server_connection(stream, limits) as connection:
        request = await connection.receive_request()
        await connection.send_response(200, (), b"hello")
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from math import inf
from select import POLLERR, POLLHUP, POLLIN, POLLRDHUP, poll

import attrs
import h11
import trio

from geraniumhall_core.buffers import HoldingKind
from geraniumhall_core.refusals import (
    BODY_TOO_LARGE,
    HEAD_TOO_LARGE,
    MALFORMED,
    MEMORY_SHORT,
    REQUEST_TIMEOUT,
    Refusal,
)
from geraniumhall_net.budget import MemoryBudget, MemoryShare, ParsingPace
from geraniumhall_net.kernel_buffers import (
    KERNEL_FACTOR,
    UNTAKEN_BYTES,
    UPLOAD_RECEIVE_BYTES,
    WAITING_RECEIVE_BYTES,
    limit_receive_buffer,
)
from geraniumhall_net.pieces import join_small
from geraniumhall_wire.heads import Header, RequestHead

RECEIVE_BYTES = 65536  # at most, in one read
SHORT_READ_BYTES = 4096  # in one read while memory is short
STATUS_HEAD_TOO_LARGE = 431
# The pump may be in its own checkpoint, then reads once.
PUMP_CHECKPOINTS = 3
PACED_CHUNKS = 256  # of a body, parsed without letting other connections run
ORDINARY_FIELDS = 16
FIELD_BYTES = 160  # of a field's objects, beside its name and value
UPLOAD_BYTES = 32 * 2**10  # of a body, beyond which the kernel may hold more of it


class ClientDisconnectedError(ConnectionError):
    """Raised when a client closed its connection, or the connection broke."""


@attrs.frozen
class ServerLimits:
    """Limits of a server connection; sizes in bytes, times in seconds.

    A request must arrive within `read_timeout` of its first bytes, and its head
    within `head_timeout` of them. While its body is incomplete, `min_progress` bytes of
    it must arrive in every `progress_window`. A connection without a request ends after
    `idle_timeout`.
    """

    max_head: int = 32768
    max_body: int = 8 * 2**20
    head_timeout: float = 30.0
    read_timeout: float = 30.0
    idle_timeout: float = 60.0
    min_progress: int = 1024
    progress_window: float = 12.0


LimitsSource = Callable[[], ServerLimits]  # the class itself gives the defaults


@attrs.frozen
class ReceivedRequest:
    """A request with its complete body; its last bytes were read `age` seconds ago."""

    head: RequestHead
    body: bytes
    age: float = 0.0


@attrs.frozen
class _ReadBytes:
    """Bytes of a client, with the time on trio's clock at which they were read."""

    data: bytes
    read_at: float


@attrs.frozen
class ConnectionResources:
    """What the connections of a process share: memory, and the pace of parsing.

    `group` names the listener, within which one connection yields to another.
    """

    budget: MemoryBudget = attrs.field(factory=MemoryBudget)
    pace: ParsingPace = attrs.field(factory=ParsingPace)
    group: str = ""


@attrs.define(eq=False)
class ServerConnection:
    """A connection from a client, which serves one request at a time.

    `share` is what it holds of the process's memory. A connection on which a response
    was cut off is broken: nothing may follow on it.
    """

    _stream: trio.abc.Stream
    _read_limits: LimitsSource
    _http: h11.Connection
    _sender: trio.MemorySendChannel
    _receiver: trio.MemoryReceiveChannel
    _resources: ConnectionResources
    share: MemoryShare = attrs.field(init=False)
    _disconnect_scope: trio.CancelScope | None = None
    _request_scope: trio.CancelScope | None = None
    _is_disconnected: bool = False
    _is_broken: bool = False
    _read_at: float = 0.0
    _parsing: int = 0  # bytes given to the parser and not counted as a request's yet
    _request_size: int = 0
    _upload_room: int = 0  # bytes held since the kernel's buffer has been enlarged

    def __attrs_post_init__(self) -> None:
        self.share = self._resources.budget.open_share(
            self._resources.group, self._yield_memory
        )

    @classmethod
    def from_stream(
        cls,
        stream: trio.abc.Stream,
        read_limits: LimitsSource,
        resources: ConnectionResources,
    ) -> "ServerConnection":
        """Return a connection over a newly accepted stream.

        The limits are read again for each request.
        """
        sender, receiver = trio.open_memory_channel[_ReadBytes](1)
        max_head = read_limits().max_head
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=max_head)
        return cls(stream, read_limits, http, sender, receiver, resources)

    @property
    def _limits(self) -> ServerLimits:
        return self._read_limits()

    async def pump(self) -> None:
        """Read from the stream until the client disconnects."""
        data = b"-"
        while data:
            try:
                data = await self._receive_some()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                self._mark_disconnected()
            elif self.share.holding.kind is HoldingKind.IDLE:
                self.share.enter(HoldingKind.INCOMPLETE)
            if data and not await self.share.grow(len(data)):
                return
            await self._sender.send(_ReadBytes(data, trio.current_time()))

    async def _receive_some(self) -> bytes:
        """Read from the stream, only a little if memory is short.

        What is read is counted after the read. So that connections that become readable
        at once don't exceed the memory together, room is held until then.
        """
        if not isinstance(self._stream, trio.SocketStream):
            return await self._stream.receive_some(RECEIVE_BYTES)
        await trio.lowlevel.wait_readable(self._stream.socket)
        size = self.share.reserve_read(SHORT_READ_BYTES, RECEIVE_BYTES)
        try:
            return await self._stream.receive_some(size)
        finally:
            self.share.add(-size)

    @property
    def is_disconnected(self) -> bool:
        """Whether the client closed the connection, or the connection broke."""
        return self._is_disconnected

    async def check_disconnected(self) -> bool:
        """Return whether the client has closed, also if that still waits to be read.

        In a process that is behind, the end of the connection may wait in the socket
        while a request is prepared. A next request that waits there is no end.
        """
        if not self._is_disconnected and isinstance(self._stream, trio.SocketStream):
            waiting = _poll_input(self._stream)
            if waiting & (POLLRDHUP | POLLHUP | POLLERR):
                self._mark_disconnected()
            elif waiting:
                for _ in range(PUMP_CHECKPOINTS):
                    await trio.lowlevel.checkpoint()
        return self._is_disconnected

    def cancel_on_disconnect(self, deadline: float = inf) -> trio.CancelScope:
        """Return a scope that is cancelled when the client disconnects.

        Only the latest such scope is cancelled. It also ends at `deadline`, a
        time on trio's clock.
        """
        self._disconnect_scope = trio.CancelScope(deadline=deadline)
        if self._is_disconnected:
            self._disconnect_scope.cancel()
        return self._disconnect_scope

    async def receive_request(self) -> ReceivedRequest | Refusal | None:
        """Return the next request, a refusal of a faulty one, or None at the end.

        The end is a disconnect or the idle timeout. A request that exceeds the
        read timeout is refused, and so is one that yields its memory to others.
        """
        self._disconnect_scope = None
        has_begun = False
        with trio.move_on_after(self._limits.idle_timeout) as scope:
            self._request_scope = scope
            if self.share.is_closed:
                scope.cancel()
            has_begun = await self._receive_first_bytes()
            if not has_begun:
                return None
            self.share.enter(HoldingKind.INCOMPLETE)
            try:
                return await self._read_request(scope)
            except h11.RemoteProtocolError as error:
                return _classify_protocol_error(error)
        if not has_begun:
            return None
        return MEMORY_SHORT if self.share.is_closed else REQUEST_TIMEOUT

    async def send_response(
        self,
        status: int,
        headers: tuple[Header, ...],
        *body: bytes,
        close: bool = False,
    ) -> None:
        """Send a complete response, whose body may be in pieces.

        Raises `ClientDisconnectedError`.
        """
        self.share.enter(HoldingKind.ANSWER)
        length = (b"content-length", str(sum(map(len, body))).encode())
        head = self._build_head(status, (*headers, length), close)
        pieces = [h11.Data(data=piece) for piece in body]
        await self._send_events(head, *pieces, h11.EndOfMessage())

    async def start_response(
        self,
        status: int,
        headers: tuple[Header, ...],
        first: bytes = b"",
        close: bool = False,
    ) -> None:
        """Send the head of a response and the start of its body.

        Raises `ClientDisconnectedError`.
        """
        self.share.enter(HoldingKind.ANSWER)
        head = self._build_head(status, headers, close)
        await self._send_events(head, h11.Data(data=first))

    async def send_chunk(self, data: bytes) -> None:
        """Send the next part of a started response, waiting for a slow client.

        Raises `ClientDisconnectedError`.
        """
        await self._send_events(h11.Data(data=data))

    async def finish_response(self) -> None:
        """End a started response; raises `ClientDisconnectedError`."""
        await self._send_events(h11.EndOfMessage())

    def start_next_cycle(self) -> bool:
        """Prepare the next request; return False if the connection must close."""
        if self._is_broken or self.share.is_closed:
            return False
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self.share.add(-self._request_size)
        self._request_size = 0
        self._restore_buffer()
        self.share.enter(HoldingKind.IDLE)
        return True

    async def _receive_first_bytes(self) -> bool:
        if self._http.trailing_data[0]:
            return True
        return await self._receive_bytes()

    async def _read_request(
        self, scope: trio.CancelScope
    ) -> ReceivedRequest | Refusal | None:
        """Read a request whose first bytes have arrived.

        The deadline of `scope` is that of the head, then that of the body.
        """
        limits, begun_at = self._limits, trio.current_time()
        scope.deadline = begun_at + min(limits.head_timeout, limits.read_timeout)
        head: RequestHead | None = None
        body = bytearray()
        chunks = 0
        progress = _Progress(limits, begun_at)
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if head is not None:
                    self._count_request(_measure_request(head) + len(body))
                    self._enlarge_buffer(len(body))
                    scope.deadline = progress.compute_deadline(len(body))
                await self._receive_more()
            elif isinstance(event, h11.Request):
                head = RequestHead(
                    method=event.method,
                    target=event.target,
                    headers=tuple(event.headers),
                )
                if _has_conflicting_framing(head):
                    return MALFORMED.with_reason("both content-length and chunked")
                if _measure_head(head) > self._limits.max_head:
                    return HEAD_TOO_LARGE
                if _declared_length(head) > self._limits.max_body:
                    return BODY_TOO_LARGE
                if not await self._hold_fields(head):
                    return MEMORY_SHORT
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.max_body:
                    return BODY_TOO_LARGE
                self.share.record_progress()
                chunks += 1
                if chunks % PACED_CHUNKS == 0:
                    await self._resources.pace.spend(PACED_CHUNKS)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                self._count_request(_measure_request(head) + len(body))
                self.share.enter(HoldingKind.RUNNING)
                self._request_scope = None
                age = trio.current_time() - self._read_at
                return ReceivedRequest(head, bytes(body), age)
            else:
                return None

    async def _receive_more(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            head = h11.InformationalResponse(status_code=100, headers=[])
            await self._send_events(head)
        await self._receive_bytes()

    async def _receive_bytes(self) -> bool:
        """Pass what was read next to the parser; return False at the end."""
        received = await self._receiver.receive()
        self._read_at = received.read_at
        self._parsing += len(received.data)
        self._http.receive_data(received.data)
        return bool(received.data)

    async def _hold_fields(self, head: RequestHead) -> bool:
        """Hold what the fields take beside their bytes; return False without room."""
        size = _measure_request(head) - _measure_head(head)
        if not await self.share.grow(size):
            return False
        self._request_size += size
        return True

    def _count_request(self, size: int) -> None:
        """Count a request's parsed bytes instead of those that it was sent in.

        The parser may hold more: the start of a chunk, or of the next request.
        """
        rest = len(self._http.trailing_data[0])
        self.share.add(size + rest - self._request_size - self._parsing)
        self._request_size = size
        self._parsing = rest

    def _enlarge_buffer(self, size: int) -> None:
        """Let the kernel hold more of a long body, while there is room for it.

        A body that arrives over a long distance needs that to arrive in time.
        """
        if size < UPLOAD_BYTES or self._upload_room:
            return
        room = KERNEL_FACTOR * (UPLOAD_RECEIVE_BYTES - WAITING_RECEIVE_BYTES)
        if self.share.grow_if_free(room):
            self._upload_room = room
            self._limit_receive_buffer(UPLOAD_RECEIVE_BYTES)

    def _restore_buffer(self) -> None:
        if self._upload_room:
            self._limit_receive_buffer(WAITING_RECEIVE_BYTES)
            self.share.add(-self._upload_room)
            self._upload_room = 0

    def _limit_receive_buffer(self, size: int) -> None:
        if isinstance(self._stream, trio.SocketStream):
            limit_receive_buffer(self._stream.socket, size)

    def _yield_memory(self) -> None:
        """End the connection at once, since others need its memory or its place."""
        if self._request_scope is not None:
            self._request_scope.cancel()
        else:
            self._mark_disconnected()

    def _build_head(
        self, status: int, headers: tuple[Header, ...], close: bool
    ) -> h11.Response:
        closing = ((b"connection", b"close"),) if close else ()
        return h11.Response(status_code=status, headers=[*headers, *closing])

    async def _send_events(self, *events: h11.Event) -> None:
        """Send parts of a response, or raise `ClientDisconnectedError`.

        A client that closed its side within a request can't be sent a response. After
        a part that was not sent whole the connection is broken.
        """
        if self._is_broken:
            raise ClientDisconnectedError("a response on the connection was cut off")
        try:
            pieces = [self._http.send(event) or b"" for event in events]
            self._is_broken = True
            await self._send_pieces(pieces)
            self._is_broken = False
        except h11.LocalProtocolError as error:
            raise ClientDisconnectedError(f"can't send a response: {error}") from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ClientDisconnectedError(str(error)) from error

    async def _send_pieces(self, pieces: list[bytes]) -> None:
        """Send bytes, counting meanwhile what the kernel may hold of the answer."""
        self.share.add(UNTAKEN_BYTES)
        try:
            for data in join_small(pieces):
                await self._stream.send_all(data)
                self.share.record_progress()
        finally:
            self.share.add(-UNTAKEN_BYTES)

    def _mark_disconnected(self) -> None:
        self._is_disconnected = True
        if self._disconnect_scope is not None:
            self._disconnect_scope.cancel()


@attrs.define
class _Progress:
    """The time by which more of a body must have arrived."""

    _limits: ServerLimits
    _begun_at: float
    _counted: int = 0
    _window_ends_at: float | None = None

    def compute_deadline(self, size: int) -> float:
        """Return the deadline after `size` bytes of the body, on trio's clock."""
        has_progressed = size - self._counted >= self._limits.min_progress
        if self._window_ends_at is None or has_progressed:
            self._counted = size
            self._window_ends_at = trio.current_time() + self._limits.progress_window
        return min(self._begun_at + self._limits.read_timeout, self._window_ends_at)


@asynccontextmanager
async def open_server_connection(
    stream: trio.abc.Stream,
    read_limits: LimitsSource,
    resources: ConnectionResources | None = None,
) -> AsyncIterator[ServerConnection]:
    """Run a connection's pump for the duration of the block, then close it.

    Without `resources` it shares no memory with other connections.
    """
    resources = resources or ConnectionResources()
    connection = ServerConnection.from_stream(stream, read_limits, resources)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.pump)
            yield connection
            nursery.cancel_scope.cancel()
    finally:
        connection.share.end()
        await trio.aclose_forcefully(stream)


def _poll_input(stream: trio.SocketStream) -> int:
    """Return what waits in a socket, as the bits of the system call."""
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        return POLLHUP
    poller = poll()
    poller.register(descriptor, POLLIN | POLLRDHUP)
    return dict(poller.poll(0)).get(descriptor, 0)


def _measure_head(head: RequestHead) -> int:
    """Return the approximate size of a head in bytes.

    The parser applies its limit to incomplete heads only, so a head that
    arrives in one read must be checked apart.
    """
    fields = sum(len(name) + len(value) for name, value in head.headers)
    return len(head.target) + fields


def _measure_request(head: RequestHead) -> int:
    """Return the approximate memory of a head: its bytes and the objects of its fields.

    They are held until the request has ended, in the head and for the server. The first
    ones count with the connection.
    """
    fields = max(0, len(head.headers) - ORDINARY_FIELDS)
    return _measure_head(head) + FIELD_BYTES * fields


def _has_conflicting_framing(head: RequestHead) -> bool:
    """Return whether both framing headers are present.

    Servers may disagree on where such a body ends, which allows request
    smuggling.
    """
    has_length = head.find(b"content-length") is not None
    return has_length and head.find(b"transfer-encoding") is not None


def _declared_length(head: RequestHead) -> int:
    return int(head.find(b"content-length") or 0)


def _classify_protocol_error(error: h11.RemoteProtocolError) -> Refusal:
    if error.error_status_hint == STATUS_HEAD_TOO_LARGE:
        return HEAD_TOO_LARGE
    return MALFORMED.with_reason(f"malformed HTTP: {error}")
