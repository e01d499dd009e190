"""Steps that send callers' requests and check their answers."""

from json import loads

import attrs
import trio

from geraniumhall_bench.scenario import STEPS, RunContext
from geraniumhall_bench.steps.common import check_equal, extract_answer_text
from geraniumhall_net.client import (
    ClientConnection,
    ExchangeFailedError,
    build_json_request,
)
from geraniumhall_wire.heads import UpstreamRequest


@attrs.frozen(kw_only=True)
class Expectation:
    """The expected answer to a call; fields that are left out are not checked.

    If `is_cut` is true, the connection must fail before the answer's end; if it
    is false, it must not.
    """

    status: int | None = None
    code: str | None = None
    verdict: str | None = None
    text: str | None = None
    is_cut: bool = False


@STEPS.register("call")
@attrs.frozen(kw_only=True)
class Call:
    """Send a caller's request and check the answer.

    With `label` the step only waits for the first bytes of the body; a later
    `finish` step checks the answer. Without `model` the request's content is
    `body`. `key` names the variable that holds the caller's key. With `show`
    the body of the answer is printed.
    """

    via: str
    path: str = "/v1/chat/completions"
    model: str = ""
    key: str = ""
    prompt: str = "hello"
    stream: bool = False
    max_tokens: int = 4
    body: str = ""
    headers: dict[str, str] = attrs.field(factory=dict)
    expect: Expectation = Expectation()
    label: str = ""
    show: bool = False

    async def run(self, context: RunContext) -> None:
        """Send the request, and check the answer unless there is a label."""
        answer = PendingAnswer(self)
        if self.label:
            context.pending[self.label] = answer
            context.nursery.start_soon(answer.fetch, context)
            await answer.started.wait()
            return
        await answer.fetch(context)
        answer.check(context)

    def build_request(self, context: RunContext) -> UpstreamRequest:
        """Return the HTTP request with the context's variables filled in."""
        headers = [
            (k.lower().encode(), context.expand(v).encode())
            for k, v in self.headers.items()
        ]
        if self.key:
            bearer = f"Bearer {context.find(self.key)}".encode()
            headers.append((b"authorization", bearer))
        if not self.model:
            body = context.expand(self.body).encode()
            return UpstreamRequest(b"POST", self.path.encode(), tuple(headers), body)
        data = {
            "model": self.model,
            "stream": self.stream,
            "max_tokens": self.max_tokens,
            "messages": [{"role": "user", "content": self.prompt}],
        }
        request = build_json_request("POST", self.path, data)
        return attrs.evolve(request, headers=(*request.headers, *headers))


@attrs.define(eq=False)
class PendingAnswer:
    """The answer to a call, as far as it was received."""

    call: Call
    started: trio.Event = attrs.field(factory=trio.Event)
    ended: trio.Event = attrs.field(factory=trio.Event)
    status: int = 0
    body: bytes = b""
    is_cut: bool = False

    async def fetch(self, context: RunContext) -> None:
        """Send the request on a new connection and collect the answer."""
        address = context.find(self.call.via)
        connection = await context.pool.acquire(address, reuse=False)
        try:
            await connection.send_request(self.call.build_request(context))
            await self._collect(connection)
        except ExchangeFailedError:
            self.is_cut = True
        finally:
            self.started.set()
            self.ended.set()
            await connection.close()

    async def _collect(self, connection: ClientConnection) -> None:
        head = await connection.read_head()
        self.status = head.status
        while (chunk := await connection.read_chunk()) is not None:
            self.body += chunk
            self.started.set()

    def check(self, context: RunContext) -> None:
        """Raise `ExpectationError` if the answer is not the expected one."""
        expect = self.call.expect
        if self.call.show:
            context.report(self.body.decode("utf-8", "replace"))
        check_equal("is_cut", self.is_cut, expect.is_cut, self.body)
        if expect.status is not None:
            check_equal("status", self.status, expect.status, self.body)
        if expect.text is not None:
            check_equal("text", extract_answer_text(self.body), expect.text, self.body)
        if expect.code is not None or expect.verdict is not None:
            error = loads(self.body)["error"]
            if expect.code is not None:
                check_equal("code", error["code"], expect.code, self.body)
            if expect.verdict is not None:
                check_equal("verdict", error["verdict"], expect.verdict, self.body)


@STEPS.register("finish")
@attrs.frozen(kw_only=True)
class FinishCall:
    """Wait for the answer to a call that was started with `label`, and check it."""

    label: str

    async def run(self, context: RunContext) -> None:
        """Wait for the answer and check it."""
        answer = context.pending.pop(self.label)
        await answer.ended.wait()
        answer.check(context)


@STEPS.register("leave")
@attrs.frozen(kw_only=True)
class LeaveCalls:
    """Send calls on connections of their own and close each without an answer."""

    call: Call
    count: int = 1

    async def run(self, context: RunContext) -> None:
        """Send the requests and close the connections."""
        for _ in range(self.count):
            connection = await context.pool.acquire(
                context.find(self.call.via), reuse=False
            )
            await connection.send_request(self.call.build_request(context))
            await connection.close()
