"""Callers of a soak, which keep their connections open between calls."""

from contextlib import suppress
from itertools import count
from json import JSONDecodeError, loads
from random import Random
from typing import TYPE_CHECKING, Any

import attrs
import trio

from geraniumhall_bench.soak.checker import AnswerReceived, CallKind, CallSent
from geraniumhall_bench.soak.checks import MODEL_TOKENS
from geraniumhall_bench.steps.common import extract_answer_text
from geraniumhall_net.client import (
    ClientConnection,
    ConnectFailedError,
    ExchangeFailedError,
    build_json_request,
)
from geraniumhall_wire.heads import UpstreamRequest

if TYPE_CHECKING:
    from geraniumhall_bench.soak.run import Soak

CALL_TIMEOUT_SECONDS = 6.0
MEAN_THINK_SECONDS = 0.12
STATUS_OK = 200


@attrs.define(eq=False)
class Caller:
    """A caller that makes one call after another until the soak is over."""

    soak: "Soak"
    name: str
    random: Random
    _ids: count = attrs.field(factory=lambda: count(1), init=False)

    async def run(self) -> None:
        """Call randomly chosen daemons, with a random think time between calls."""
        while not self.soak.is_over:
            daemon = self.random.choice(sorted(self.soak.daemons))
            await self._call(f"{self.name}-{next(self._ids)}.", daemon)
            await trio.sleep(self.random.uniform(0.0, 2 * MEAN_THINK_SECONDS))

    async def _call(self, name: str, daemon: str) -> None:
        kind = self.random.choice(list(CallKind))
        key = self.soak.choose_key(self.random)
        self.soak.dispatch(
            CallSent(
                at=trio.current_time(),
                name=name,
                kind=kind,
                daemon=daemon,
                is_key_revoked=self.soak.is_key_revoked(key),
            )
        )
        reader = ResponseReader()
        with (
            trio.move_on_after(CALL_TIMEOUT_SECONDS),
            suppress(ConnectFailedError, ExchangeFailedError),
        ):
            await self._exchange(reader, daemon, _build_call(name, kind, key))
        self.soak.dispatch(reader.build_event(name, kind))

    async def _exchange(
        self, reader: "ResponseReader", daemon: str, request: UpstreamRequest
    ) -> None:
        pool, address = self.soak.context.pool, self.soak.context.find(daemon)
        connection = await pool.acquire(address)
        try:
            await connection.send_request(request)
            await reader.read(connection)
        finally:
            if reader.is_complete:
                await pool.release(address, connection)
            else:
                await pool.discard(address, connection)


@attrs.define
class ResponseReader:
    """Reads an answer and keeps what arrived of it.

    `status` is zero until the head of the response has arrived.
    """

    status: int = 0
    body: bytes = b""
    is_complete: bool = False

    async def read(self, connection: ClientConnection) -> None:
        """Read an answer to its end.

        Raises `ExchangeFailedError` if the connection breaks before it.
        """
        head = await connection.read_head()
        self.status = head.status
        while (chunk := await connection.read_chunk()) is not None:
            self.body += chunk
        self.is_complete = True

    def build_event(self, name: str, kind: CallKind) -> AnswerReceived:
        """Return the answer as an event for the checker.

        A stream that ends without ``[DONE]`` is incomplete.
        """
        text, verdict = "", ""
        is_complete = self.is_complete
        if self.status != STATUS_OK:
            verdict = str(_read_json(self.body).get("error", {}).get("verdict", ""))
        elif kind is CallKind.MODEL:
            is_complete = is_complete and b"data: [DONE]" in self.body
            text = extract_answer_text(self.body) if is_complete else ""
        else:
            data = _read_json(self.body)
            text = f"{data.get('server')}/{data.get('submission')}"
        return AnswerReceived(
            at=trio.current_time(),
            name=name,
            status=self.status,
            is_complete=is_complete,
            text=text,
            verdict=verdict,
        )


def _build_call(name: str, kind: CallKind, key: str) -> UpstreamRequest:
    path = "/filings"
    data: dict[str, Any] = {"id": name}
    if kind is CallKind.MODEL:
        path = "/v1/chat/completions"
        message = {"role": "user", "content": name}
        data = {
            "model": kind.value,
            "stream": True,
            "max_tokens": MODEL_TOKENS,
            "messages": [message],
        }
    request = build_json_request("POST", path, data)
    bearer = (b"authorization", f"Bearer {key}".encode())
    return attrs.evolve(request, headers=(*request.headers, bearer))


def _read_json(body: bytes) -> dict[str, Any]:
    try:
        data = loads(body)
    except JSONDecodeError:
        return {}
    return data if isinstance(data, dict) else {}
