"""Carries out the effects of a request on its caller's connection."""

import attrs
import trio

from geraniumhall_core.effects import (
    AbortResponse,
    CloseExchange,
    RefuseRequest,
    RelayRequest,
)
from geraniumhall_core.events import AttemptEnded, ResponseStarted
from geraniumhall_core.requests import AttemptOutcome, ModelTarget
from geraniumhall_core.verdict import Verdict
from geraniumhall_daemon.daemon import Daemon
from geraniumhall_daemon.exchanges import EXCHANGE_STEPS, Exchange
from geraniumhall_daemon.serving import send_refusal
from geraniumhall_net.client import (
    ClientConnection,
    ConnectFailedError,
    ExchangeFailedError,
    ResponseHead,
)
from geraniumhall_net.server import PeerGoneError
from geraniumhall_wire.answers import Scanner, ScanResult, choose_scanner
from geraniumhall_wire.caller import ATTEMPT_HEADER, HOP_HEADERS, Header
from geraniumhall_wire.refusals import encode_refusal_event

MAX_BUFFERED_BYTES = 1 << 20
SILENCE_STEP_SECONDS = 0.25
STATUS_UNAVAILABLE = 503
EVENT_STREAM = b"text/event-stream"


@attrs.frozen
class AttemptResult:
    """How an attempt ended, as the relay saw it."""

    outcome: AttemptOutcome
    verdict: Verdict
    scan: ScanResult = ScanResult(is_whole=False)
    reason: str = ""


@attrs.define(eq=False)
class Relay:
    """One attempt: a request to a backend server and its answer to the caller."""

    daemon: Daemon
    exchange: Exchange
    effect: RelayRequest
    upstream: ClientConnection | None = None
    scanner: Scanner | None = None
    is_sent: bool = False
    is_whole: bool = False
    deadline: float = 0.0
    next_extension: float = 0.0
    scope: trio.CancelScope | None = None

    async def run(self) -> AttemptResult:
        """Make the attempt and return how it ended."""
        self.deadline = trio.current_time() + self.effect.timeout
        self.scope = self.exchange.connection.watch_peer(self.deadline)
        self._extend_silence()
        try:
            with self.scope:
                return await self._relay()
        except ConnectFailedError as error:
            return self._fail(AttemptOutcome.CONNECT_FAILED, str(error))
        except ExchangeFailedError as error:
            return self._fail(AttemptOutcome.BROKEN, str(error))
        except PeerGoneError as error:
            return self._fail(AttemptOutcome.CALLER_LEFT, str(error))
        finally:
            await self._release()
        if self.exchange.connection.is_peer_gone:
            return self._fail(AttemptOutcome.CALLER_LEFT, "the caller left")
        if trio.current_time() >= self.deadline:
            return self._fail(AttemptOutcome.TIMED_OUT, "the deadline passed")
        return self._fail(AttemptOutcome.BROKEN, "the backend server fell silent")

    async def _relay(self) -> AttemptResult:
        upstream = await self.daemon.pool.take(self.effect.address, self.effect.reuse)
        self.upstream = upstream
        self.is_sent = True
        attempt = ((ATTEMPT_HEADER, self.effect.attempt_id.encode()),)
        await upstream.send_request(self.exchange.call.upstream, attempt)
        head = await upstream.read_head()
        self._extend_silence()
        self._check_attempt(head)
        if head.status == STATUS_UNAVAILABLE and self.effect.reuse:
            return self._fail(AttemptOutcome.BUSY, "the backend server is busy")
        is_model = isinstance(self.exchange.call.request.target, ModelTarget)
        content_type = head.find(b"content-type") or b""
        self.scanner = choose_scanner(content_type, is_model)
        if content_type.startswith(EVENT_STREAM):
            self.exchange.is_event_stream = True
            first = await self._read_chunk()
        else:
            first = await self._read_buffered()
        await self._pass_on(head, first)
        return self._conclude()

    async def _pass_on(self, head: ResponseHead, first: bytes | None) -> None:
        connection = self.exchange.connection
        headers = _select_headers(head)
        if self.is_whole:
            await connection.send_response(
                head.status, headers, first or b"", self.exchange.must_close
            )
            return
        self._dispatch_started()
        await connection.start_response(
            head.status, headers, first or b"", self.exchange.must_close
        )
        while (chunk := await self._read_chunk()) is not None:
            await connection.send_chunk(chunk)
        scan = self._scan()
        if scan.is_whole:
            await connection.finish_response()

    async def _read_chunk(self) -> bytes | None:
        assert self.upstream is not None
        assert self.scanner is not None
        if self.is_whole:
            return None
        chunk = await self.upstream.read_chunk()
        self._extend_silence()
        if chunk is None:
            self.is_whole = True
        else:
            self.scanner.feed(chunk)
        return chunk

    async def _read_buffered(self) -> bytes:
        pieces: list[bytes] = []
        size = 0
        while size <= MAX_BUFFERED_BYTES:
            chunk = await self._read_chunk()
            if chunk is None:
                break
            pieces.append(chunk)
            size += len(chunk)
        return b"".join(pieces)

    def _conclude(self) -> AttemptResult:
        scan = self._scan()
        if not scan.is_whole:
            reason = "the answer has no end marker"
            return self._fail(AttemptOutcome.BROKEN, reason)
        return AttemptResult(AttemptOutcome.COMPLETED, Verdict.RAN, scan)

    def _fail(self, outcome: AttemptOutcome, reason: str) -> AttemptResult:
        verdict = Verdict.MAY_HAVE_RUN if self.is_sent else Verdict.NOT_RUN
        return AttemptResult(outcome, verdict, self._scan(), reason)

    def _scan(self) -> ScanResult:
        if self.scanner is None:
            return ScanResult(is_whole=False)
        return self.scanner.finish()

    def _check_attempt(self, head: ResponseHead) -> None:
        echoed = head.find(ATTEMPT_HEADER)
        if echoed is not None and echoed != self.effect.attempt_id.encode():
            raise ExchangeFailedError("the answer belongs to another attempt")

    def _extend_silence(self) -> None:
        now = trio.current_time()
        if now < self.next_extension:
            return
        assert self.scope is not None
        limit = self.daemon.settings.upstream.silence_timeout
        self.scope.deadline = min(self.deadline, now + limit)
        self.next_extension = now + SILENCE_STEP_SECONDS

    def _dispatch_started(self) -> None:
        self.daemon.dispatch(
            ResponseStarted(
                at=self.daemon.read_now(),
                request_id=self.effect.request_id,
                attempt_id=self.effect.attempt_id,
            )
        )

    async def _release(self) -> None:
        if self.upstream is None:
            return
        if self.is_whole:
            await self.daemon.pool.give_back(self.effect.address, self.upstream)
        else:
            await self.upstream.close()


@EXCHANGE_STEPS.register(RelayRequest)
async def relay_request(
    daemon: Daemon, exchange: Exchange, effect: RelayRequest
) -> None:
    """Make one attempt and report how it ended."""
    exchange.must_close = exchange.must_close or daemon.state.is_draining
    result = await Relay(daemon, exchange, effect).run()
    daemon.dispatch(
        AttemptEnded(
            at=daemon.read_now(),
            request_id=effect.request_id,
            attempt_id=effect.attempt_id,
            outcome=result.outcome,
            verdict=result.verdict,
            wall_time=daemon.clock.read_wall_time(),
            draws=daemon.draw(),
            prompt_tokens=result.scan.prompt_tokens,
            generated_tokens=result.scan.generated_tokens,
            reason=result.reason,
        )
    )


@EXCHANGE_STEPS.register(RefuseRequest)
async def refuse_request(
    daemon: Daemon, exchange: Exchange, effect: RefuseRequest
) -> None:
    """Answer with a refusal."""
    exchange.is_finished = True
    exchange.must_close = exchange.must_close or daemon.state.is_draining
    await send_refusal(exchange.connection, effect.refusal, exchange.must_close)


@EXCHANGE_STEPS.register(AbortResponse)
async def abort_response(
    daemon: Daemon, exchange: Exchange, effect: AbortResponse
) -> None:
    """End an answer without its end marker; a stream also says why."""
    exchange.is_finished = True
    exchange.must_close = True
    if exchange.is_event_stream:
        await exchange.connection.send_chunk(encode_refusal_event(effect.refusal))


@EXCHANGE_STEPS.register(CloseExchange)
async def close_exchange(
    daemon: Daemon, exchange: Exchange, effect: CloseExchange
) -> None:
    """End the exchange; its answer was sent."""
    exchange.is_finished = True


def _select_headers(head: ResponseHead) -> tuple[Header, ...]:
    return tuple(item for item in head.headers if item[0] not in HOP_HEADERS)
