"""Performers of a caller's exchange: attempts on backend servers and responses."""

import attrs
import trio

from geraniumhall_core.effects import (
    AbortResponse,
    CloseExchange,
    EndAttempt,
    PrefillPrompt,
    RefuseRequest,
    RelayRequest,
    ReleaseKvCache,
    ServerAttempt,
)
from geraniumhall_core.events import AttemptEnded, PrefillEnded, ResponseStarted
from geraniumhall_core.notices import Incarnation, ReceivedNotice
from geraniumhall_core.requests import AttemptOutcome, KvCacheRef
from geraniumhall_core.verdict import Verdict
from geraniumhall_daemon.daemon import PERFORMERS, Daemon
from geraniumhall_daemon.exchanges import EXCHANGE_PERFORMERS, Exchange
from geraniumhall_daemon.logs import write_log
from geraniumhall_daemon.serving import send_refusal
from geraniumhall_net.bodies import MAX_SHORT_BODY_BYTES
from geraniumhall_net.client import (
    ClientConnection,
    ConnectFailedError,
    ExchangeFailedError,
    fetch_response,
)
from geraniumhall_net.server import ClientDisconnectedError
from geraniumhall_wire.converter import InvalidDataError
from geraniumhall_wire.fronts import ResponseKind
from geraniumhall_wire.heads import ResponseHead
from geraniumhall_wire.scanners import Scanner, ScanResult

MAX_BUFFERED_BYTES = 1 << 20  # of a response, read before any is forwarded
SENT_BYTES = 16384  # sent to a caller at once, each within the silence timeout
DEADLINE_UPDATE_SECONDS = 0.25  # between updates of a scope's deadline
RELEASE_TIMEOUT_SECONDS = 1.0
EVENT_STREAM = b"text/event-stream"

OUTCOMES_BY_KIND = {
    ResponseKind.FAILED: (AttemptOutcome.SERVER_ERROR, Verdict.MAY_HAVE_RUN),
    ResponseKind.NOT_RUN: (AttemptOutcome.BUSY, Verdict.NOT_RUN),
    ResponseKind.MISDIRECTED: (AttemptOutcome.MISDIRECTED, Verdict.NOT_RUN),
}


@attrs.frozen
class AttemptResult:
    """Outcome of an attempt, as observed by the relay."""

    outcome: AttemptOutcome
    verdict: Verdict
    scan: ScanResult = ScanResult(is_complete=False)
    reason: str = ""
    kv_cache: KvCacheRef | None = None


@attrs.define(eq=False)
class Relay:
    """One attempt on a backend server, on behalf of an exchange's caller.

    `is_sent` is set before the request is sent, and `is_complete` once the body
    of the server's response has ended. `deadline`, `next_deadline_update` and
    `last_chunk_at` are on trio's clock; `longest_pause` is the longest time
    between two chunks. All are in seconds. With `is_server_error` an error response of
    the server is relayed. `notice` is what the server stated of
    itself, until an event has taken it. `end_reason` tells why an attempt timed out.
    While it `is_sending`, the caller and not the server is waited for. `buffered` are
    the bytes of the answer that count toward the memory held for callers.
    """

    daemon: Daemon
    exchange: Exchange
    effect: ServerAttempt
    upstream: ClientConnection | None = None
    scanner: Scanner | None = None
    is_sent: bool = False
    is_complete: bool = False
    deadline: float = 0.0
    next_deadline_update: float = 0.0
    cancel_scope: trio.CancelScope | None = None
    last_chunk_at: float = 0.0
    longest_pause: float = 0.0
    is_server_error: bool = False
    notice: ReceivedNotice | None = None
    end_reason: str = "the deadline was exceeded"
    is_sending: bool = False
    buffered: int = 0

    def end(self, reason: str) -> None:
        """End the attempt as if its deadline had passed."""
        self.end_reason = reason
        self.deadline = trio.current_time()
        if self.cancel_scope is not None:
            self.cancel_scope.cancel()

    async def run(self) -> AttemptResult:
        """Make the attempt and return its result."""
        self.deadline = trio.current_time() + self._compute_time_left()
        self.exchange.end_attempt = self.end
        self.cancel_scope = self.exchange.connection.cancel_on_disconnect(self.deadline)
        self._extend_deadline()
        if self.daemon.state.drain.has_timed_out:
            self.end("the host is stopping")
        try:
            with self.cancel_scope:
                return await self._attempt()
        except ConnectFailedError as error:
            return self._build_failure(AttemptOutcome.CONNECT_FAILED, str(error))
        except ExchangeFailedError as error:
            return self._build_failure(AttemptOutcome.BROKEN, str(error))
        except ClientDisconnectedError as error:
            return self._build_failure(AttemptOutcome.CALLER_LEFT, str(error))
        finally:
            self.exchange.end_attempt = None
            self._free_buffered(self.buffered)
            await self._return_connection()
        if self.exchange.connection.is_disconnected:
            return self._build_failure(
                AttemptOutcome.CALLER_LEFT, "the caller disconnected"
            )
        if trio.current_time() >= self.deadline:
            return self._build_failure(AttemptOutcome.TIMED_OUT, self.end_reason)
        if self.is_sending:
            return self._build_failure(
                AttemptOutcome.CALLER_LEFT,
                "the caller read nothing within the silence timeout",
            )
        return self._build_failure(
            AttemptOutcome.BROKEN,
            "the backend server sent nothing within the silence timeout",
        )

    async def _attempt(self) -> AttemptResult:
        effect = self.effect
        exchange = self.exchange.call.request.caller_id
        upstream = await self.daemon.pool.acquire(
            effect.address, effect.reuse, effect.max_connections, exchange
        )
        self.upstream = upstream
        if await self.exchange.connection.check_disconnected():
            raise ClientDisconnectedError("the caller left before the request was sent")
        remaining = min(self.deadline - trio.current_time(), self._compute_time_left())
        if remaining <= 0.0:
            return self._build_failure(AttemptOutcome.TIMED_OUT, self.end_reason)
        self.is_sent = True
        front, call = self.daemon.front, self.exchange.call
        request = front.build_attempt(call, attrs.evolve(effect, timeout=remaining))
        await upstream.send_request(request)
        head = await upstream.read_head()
        self._extend_deadline()
        kind = front.classify_response(call, self.effect, head)
        if kind is ResponseKind.FOREIGN:
            raise ExchangeFailedError("the response belongs to another attempt")
        self._read_notice(head)
        self.scanner = front.choose_scanner(call, head)
        if kind in OUTCOMES_BY_KIND and not self._is_passed_through(kind):
            return await self._read_failure(kind, head)
        if isinstance(self.effect, PrefillPrompt):
            return await self._read_prefill_result(head)
        self.is_server_error = kind is ResponseKind.FAILED
        return await self._relay(head)

    def _compute_time_left(self) -> float:
        """Return what is left of the time, on a clock that includes suspension."""
        return self.effect.sent_at + self.effect.timeout - self.daemon.read_now()

    def take_notice(self) -> ReceivedNotice | None:
        """Return the server's notice for an event; each is dispatched once."""
        notice, self.notice = self.notice, None
        return notice

    def _read_notice(self, head: ResponseHead) -> None:
        effect = self.effect
        wall_time = self.daemon.clock.read_wall_time()
        notice = self.daemon.front.decode_notice(
            self.exchange.call, effect, head, wall_time
        )
        if notice is not None:
            source = Incarnation(effect.server, effect.started_at)
            self.notice = ReceivedNotice(
                source=source, sent_at=effect.sent_at, notice=notice
            )

    def _is_passed_through(self, kind: ResponseKind) -> bool:
        """Return whether the server's error response is relayed to the caller."""
        is_relay = isinstance(self.effect, RelayRequest)
        hides = is_relay and self.effect.hides_errors  # type: ignore[attr-defined]
        return kind is ResponseKind.FAILED and is_relay and not hides

    async def _read_failure(
        self, kind: ResponseKind, head: ResponseHead
    ) -> AttemptResult:
        outcome, verdict = OUTCOMES_BY_KIND[kind]
        if verdict is Verdict.NOT_RUN and self.upstream is not None:
            self.upstream.refused.add(self.exchange.call.request.caller_id)
        await self._read_buffered(head)
        reason = f"the backend server returned status {head.status}"
        return AttemptResult(outcome, verdict, reason=reason)

    async def _read_prefill_result(self, head: ResponseHead) -> AttemptResult:
        pieces = await self._read_buffered(head, MAX_SHORT_BODY_BYTES)
        if not self.is_complete:
            raise ExchangeFailedError(f"a body over {MAX_SHORT_BODY_BYTES} bytes")
        body = b"".join(pieces)
        try:
            kv_cache = self.daemon.front.decode_kv_cache_ref(self.effect, body)
        except InvalidDataError as error:
            raise ExchangeFailedError(str(error)) from error
        return AttemptResult(
            AttemptOutcome.COMPLETED, Verdict.NOT_RUN, kv_cache=kv_cache
        )

    async def _relay(self, head: ResponseHead) -> AttemptResult:
        content_type = head.find(b"content-type") or b""
        if content_type.startswith(EVENT_STREAM):
            self.exchange.is_event_stream = True
            chunk = await self._read_chunk()
            first = [] if chunk is None else [chunk]
        else:
            first = await self._read_buffered(head)
        await self._forward_response(head, first)
        return self._build_result()

    async def _forward_response(self, head: ResponseHead, first: list[bytes]) -> None:
        connection = self.exchange.connection
        headers = head.select_end_to_end()
        if self.is_complete and not self._scan().is_complete:
            raise ExchangeFailedError("the stream ended before its first event")
        if self.is_complete:
            await self._return_connection()
            self.is_sending = True
            await connection.send_response(
                head.status, headers, *first, close=self.exchange.must_close
            )
            self.is_sending = False
            return
        self._dispatch_started()
        await self._start_response(head, first)
        self.last_chunk_at = trio.current_time()
        while (chunk := await self._read_chunk()) is not None:
            self._record_pause()
            await self._send_chunk(chunk)
        if self._scan().is_complete:
            await connection.finish_response()

    async def _start_response(self, head: ResponseHead, first: list[bytes]) -> None:
        """Send the head with the first piece, then the others; empty `first`."""
        first.reverse()
        piece = first.pop() if first else b""
        self.is_sending = True
        await self.exchange.connection.start_response(
            head.status, head.select_end_to_end(), piece, close=self.exchange.must_close
        )
        self.is_sending = False
        self._free_buffered(len(piece))
        while first:
            piece = first.pop()
            await self._send_chunk(piece)
            self._free_buffered(len(piece))

    async def _send_chunk(self, chunk: bytes) -> None:
        """Send a chunk; a caller that takes parts of it within the timeout is kept."""
        self.is_sending = True
        for start in range(0, len(chunk), SENT_BYTES):
            part = chunk if len(chunk) <= SENT_BYTES else chunk[start:][:SENT_BYTES]
            await self.exchange.connection.send_chunk(part)
            self._extend_deadline()
        self.is_sending = False

    async def _read_chunk(self) -> bytes | None:
        assert self.upstream is not None
        assert self.scanner is not None
        if self.is_complete:
            return None
        chunk = await self.upstream.read_chunk()
        self._extend_deadline()
        if chunk is None:
            self.is_complete = True
        else:
            self.scanner.feed(chunk)
        return chunk

    async def _read_buffered(
        self, head: ResponseHead, most: int = MAX_BUFFERED_BYTES
    ) -> list[bytes]:
        """Return the pieces of the body, or of the start of a long one.

        The start ends beyond `most` bytes, or where the memory for answers does. A body
        with a length is buffered whole or not at all, so that its server is free soon.
        """
        pieces: list[bytes] = []
        size = 0
        declared = int(head.find(b"content-length") or 0)
        has_room = await self._hold(min(declared, most))
        while size <= most:
            chunk = await self._read_chunk()
            if chunk is None:
                break
            pieces.append(chunk)
            size += len(chunk)
            if not has_room or not await self._hold(size - self.buffered):
                break
        return pieces

    async def _hold(self, size: int) -> bool:
        """Count bytes of the answer as held; return False if there is no room.

        What is read for the daemon itself is always held.
        """
        if size <= 0:
            return True
        share = self.exchange.connection.share
        if isinstance(self.effect, PrefillPrompt):
            share.add(size)
        elif not share.try_grow(size):
            await self.daemon.pool.close_idle()
            return False
        self.buffered += size
        return True

    def _free_buffered(self, size: int) -> None:
        freed = min(size, self.buffered)
        self.buffered -= freed
        self.exchange.connection.share.add(-freed)

    def _build_result(self) -> AttemptResult:
        scan = self._scan()
        if not scan.is_complete:
            reason = "the response has no end marker"
            return self._build_failure(AttemptOutcome.BROKEN, reason)
        return AttemptResult(AttemptOutcome.COMPLETED, Verdict.RAN, scan)

    def _build_failure(self, outcome: AttemptOutcome, reason: str) -> AttemptResult:
        """Return the result of a failed attempt; a prefill never counts as run."""
        may_have_run = self.is_sent and isinstance(self.effect, RelayRequest)
        verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
        return AttemptResult(outcome, verdict, self._scan(), reason)

    def _scan(self) -> ScanResult:
        if self.scanner is None:
            return ScanResult(is_complete=False)
        return self.scanner.finish()

    def _extend_deadline(self) -> None:
        """Restart the silence timeout, at most every `DEADLINE_UPDATE_SECONDS`."""
        now = trio.current_time()
        if now < self.next_deadline_update:
            return
        assert self.cancel_scope is not None
        limit = self.daemon.settings.upstream.silence_timeout
        self.cancel_scope.deadline = min(self.deadline, now + limit)
        self.next_deadline_update = now + DEADLINE_UPDATE_SECONDS

    def _record_pause(self) -> None:
        now = trio.current_time()
        self.longest_pause = max(self.longest_pause, now - self.last_chunk_at)
        self.last_chunk_at = now

    def _dispatch_started(self) -> None:
        self.daemon.dispatch(
            ResponseStarted(
                at=self.daemon.read_now(),
                request_id=self.effect.request_id,
                attempt_id=self.effect.attempt_id,
                wall_time=self.daemon.clock.read_wall_time(),
                notice=self.take_notice(),
            )
        )

    async def _return_connection(self) -> None:
        """Give up the server's connection, as soon as its answer is whole."""
        upstream, self.upstream = self.upstream, None
        if upstream is None:
            return
        if self.is_complete:
            await self.daemon.pool.release(self.effect.address, upstream)
        else:
            await self.daemon.pool.discard(self.effect.address, upstream)


@EXCHANGE_PERFORMERS.register(PrefillPrompt)
async def prefill_prompt(
    daemon: Daemon, exchange: Exchange, effect: PrefillPrompt
) -> None:
    """Run the prefill on a backend server and dispatch its result."""
    relay = Relay(daemon, exchange, effect)
    result = await relay.run()
    daemon.dispatch(
        PrefillEnded(
            at=daemon.read_now(),
            request_id=effect.request_id,
            attempt_id=effect.attempt_id,
            outcome=result.outcome,
            draws=daemon.draw(),
            kv_cache=result.kv_cache,
            reason=result.reason,
            notice=relay.take_notice(),
        )
    )


@EXCHANGE_PERFORMERS.register(RelayRequest)
async def relay_request(
    daemon: Daemon, exchange: Exchange, effect: RelayRequest
) -> None:
    """Make one attempt and dispatch its outcome."""
    exchange.must_close = exchange.must_close or daemon.state.is_draining
    relay = Relay(daemon, exchange, effect)
    result = await relay.run()
    daemon.dispatch(
        AttemptEnded(
            at=daemon.read_now(),
            request_id=effect.request_id,
            attempt_id=effect.attempt_id,
            outcome=result.outcome,
            verdict=result.verdict,
            wall_time=daemon.clock.read_wall_time(),
            draws=daemon.draw(),
            longest_pause=relay.longest_pause,
            events=result.scan.events,
            is_server_error=relay.is_server_error,
            prompt_tokens=result.scan.prompt_tokens,
            generated_tokens=result.scan.generated_tokens,
            reason=result.reason,
            notice=relay.take_notice(),
        )
    )


@PERFORMERS.performs(EndAttempt)
def end_attempt(daemon: Daemon, effect: EndAttempt) -> None:
    """End the attempt in progress; one that has just ended is left alone."""
    exchange = daemon.exchanges.get(effect.request_id)
    if exchange is not None and exchange.end_attempt is not None:
        exchange.end_attempt(effect.reason)


@EXCHANGE_PERFORMERS.register(RefuseRequest)
async def refuse_request(
    daemon: Daemon, exchange: Exchange, effect: RefuseRequest
) -> None:
    """Send the refusal and finish the exchange."""
    exchange.is_finished = True
    exchange.must_close = exchange.must_close or daemon.state.is_draining
    await send_refusal(daemon, exchange.connection, effect.refusal, exchange.must_close)


@EXCHANGE_PERFORMERS.register(AbortResponse)
async def abort_response(
    daemon: Daemon, exchange: Exchange, effect: AbortResponse
) -> None:
    """Cut off a response that has started.

    An event stream first gets the front's error event, if the front has one.
    """
    exchange.is_finished = True
    exchange.must_close = True
    reason = daemon.front.encode_abort(effect.refusal)
    if exchange.is_event_stream and reason:
        await exchange.connection.send_chunk(reason)


@EXCHANGE_PERFORMERS.register(CloseExchange)
async def close_exchange(
    daemon: Daemon, exchange: Exchange, effect: CloseExchange
) -> None:
    """Finish an exchange whose response was sent."""
    exchange.is_finished = True


@PERFORMERS.performs(ReleaseKvCache)
async def release_kv_cache(daemon: Daemon, effect: ReleaseKvCache) -> None:
    """Release a prompt's KV cache; if that fails, it expires on the server."""
    kv_cache = effect.kv_cache
    request = daemon.front.build_kv_cache_release(kv_cache)
    try:
        await fetch_response(
            daemon.pool,
            kv_cache.address,
            request,
            RELEASE_TIMEOUT_SECONDS,
            max_body=MAX_SHORT_BODY_BYTES,
        )
    except ConnectionError as error:
        fields = {"server": kv_cache.server, "reason": str(error)}
        write_log("info", "memory_not_released", fields)
