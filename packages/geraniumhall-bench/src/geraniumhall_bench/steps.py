"""The steps of the scenario language."""

import signal
from json import loads
from typing import Any

import attrs
import trio

from geraniumhall_bench.scenario import STEPS, ExpectationError, World
from geraniumhall_net.client import (
    ClientConnection,
    ExchangeFailedError,
    WholeResponse,
    build_json_request,
    request_whole,
)
from geraniumhall_wire.caller import Header, UpstreamRequest

ADMIN_TIMEOUT_SECONDS = 30.0


@STEPS.register("start")
@attrs.frozen(kw_only=True)
class StartStandIn:
    """Start a stand-in; its address goes under its name."""

    kind: str
    name: str
    options: dict[str, Any] = attrs.field(factory=dict)

    async def run(self, world: World) -> None:
        """Start the process and wait until it listens."""
        address = await world.group.start_stand_in(self.kind, self.name, self.options)
        world.names[self.name] = address


@STEPS.register("daemon")
@attrs.frozen(kw_only=True)
class StartDaemon:
    """Start a daemon; its addresses go under its name and ``NAME.admin``.

    The step waits until the daemon takes edits, unless told otherwise.
    """

    name: str
    failure_domain: str
    settings: dict[str, Any] = attrs.field(factory=dict)
    await_join: bool = True

    async def run(self, world: World) -> None:
        """Start the process and wait until it is at work."""
        settings = world.expand(self.settings)
        settings.setdefault("host", {})
        settings["host"] = {"name": self.name, "failure_domain": self.failure_domain}
        for listener in ("callers", "admin", "peers"):
            settings.setdefault(listener, {}).setdefault("listen", "127.0.0.1:0")
        line = await world.group.start_daemon(self.name, settings)
        world.names[self.name] = line["callers"]
        world.names[f"{self.name}.admin"] = line["admin"]
        world.names[f"{self.name}.peers"] = line["peers"]
        process = world.group.processes[self.name]
        if self.await_join:
            await process.wait_for_event("joined")


@STEPS.register("put")
@attrs.frozen(kw_only=True)
class PutRecord:
    """Write a catalogue record through a daemon's admin API.

    `version` is the version it must have now, zero for a new record; it may
    name what an earlier step left, as in ``${server/engine-1}``.
    """

    via: str
    kind: str
    name: str
    record: dict[str, Any]
    version: str = "0"
    status: int = 200

    async def run(self, world: World) -> None:
        """Write the record and keep its version under ``KIND/NAME``."""
        target = f"/admin/v1/catalogue/{self.kind}/{self.name}"
        record = world.expand(self.record)
        condition = _build_condition(int(world.expand(self.version)))
        response = await _call_admin(
            world, self.via, "PUT", target, record, (condition,)
        )
        _check_status(response, self.status, f"put {self.kind}/{self.name}")
        if response.head.status == 200:
            world.names[f"{self.kind}/{self.name}"] = str(
                loads(response.body)["version"]
            )


@STEPS.register("issue_key")
@attrs.frozen(kw_only=True)
class IssueKey:
    """Issue a key for a workspace; it goes under `name`, its id under NAME.id."""

    via: str
    workspace: str
    name: str

    async def run(self, world: World) -> None:
        """Issue the key."""
        data = {"workspace": self.workspace}
        response = await _call_admin(world, self.via, "POST", "/admin/v1/keys", data)
        _check_status(response, 201, f"issue key for {self.workspace}")
        issued = loads(response.body)
        world.names[self.name] = issued["key"]
        world.names[f"{self.name}.id"] = issued["id"]
        world.names[f"{self.name}.version"] = str(issued["version"])


@STEPS.register("withdraw_key")
@attrs.frozen(kw_only=True)
class WithdrawKey:
    """Withdraw a key that an earlier step issued."""

    via: str
    name: str

    async def run(self, world: World) -> None:
        """Delete the key's record."""
        key_id = world.find(f"{self.name}.id")
        condition = _build_condition(int(world.find(f"{self.name}.version")))
        target = f"/admin/v1/catalogue/key/{key_id}"
        response = await _call_admin(
            world, self.via, "DELETE", target, None, (condition,)
        )
        _check_status(response, 200, f"withdraw key {self.name}")
        world.names[f"key/{self.name}"] = str(loads(response.body)["version"])


@STEPS.register("await_revision")
@attrs.frozen(kw_only=True)
class AwaitRevision:
    """Wait until daemons have applied the version kept under `of`."""

    daemons: tuple[str, ...]
    of: str

    async def run(self, world: World) -> None:
        """Wait for the log line of each daemon."""
        revision = int(world.find(self.of))
        for name in self.daemons:
            await world.group.processes[name].wait_for(
                lambda line: (
                    line.get("event") == "catalogue_applied"
                    and line["revision"] >= revision
                )
            )


@attrs.frozen(kw_only=True)
class Expectation:
    """What an answer must be; fields left out are not checked."""

    status: int | None = None
    code: str | None = None
    verdict: str | None = None
    text: str | None = None
    is_cut: bool = False


@STEPS.register("call")
@attrs.frozen(kw_only=True)
class Call:
    """Send a caller's request and check the answer.

    With `label` the step does not wait; `finish` checks it later.
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

    async def run(self, world: World) -> None:
        """Send the request, or start to."""
        answer = PendingAnswer(self)
        if self.label:
            world.pending[self.label] = answer
            world.nursery.start_soon(answer.fetch, world)
            await answer.started.wait()
            return
        await answer.fetch(world)
        answer.check(world)

    def build_request(self, world: World) -> UpstreamRequest:
        """Return the HTTP request."""
        headers = [
            (k.lower().encode(), world.expand(v).encode())
            for k, v in self.headers.items()
        ]
        if self.key:
            bearer = f"Bearer {world.find(self.key)}".encode()
            headers.append((b"authorization", bearer))
        if not self.model:
            body = world.expand(self.body).encode()
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
    """An answer that is on its way."""

    call: Call
    started: trio.Event = attrs.field(factory=trio.Event)
    ended: trio.Event = attrs.field(factory=trio.Event)
    status: int = 0
    body: bytes = b""
    is_cut: bool = False

    async def fetch(self, world: World) -> None:
        """Send the request and collect the answer as it comes."""
        address = world.find(self.call.via)
        connection = await world.pool.take(address, reuse=False)
        try:
            await connection.send_request(self.call.build_request(world))
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

    def check(self, world: World) -> None:
        """Compare the answer with what was expected."""
        expect = self.call.expect
        if self.call.show:
            world.report(self.body.decode("utf-8", "replace"))
        _compare("cut", self.is_cut, expect.is_cut, self.body)
        if expect.status is not None:
            _compare("status", self.status, expect.status, self.body)
        if expect.text is not None:
            _compare("text", _read_text(self.body), expect.text, self.body)
        if expect.code is not None or expect.verdict is not None:
            error = loads(self.body)["error"]
            if expect.code is not None:
                _compare("code", error["code"], expect.code, self.body)
            if expect.verdict is not None:
                _compare("verdict", error["verdict"], expect.verdict, self.body)


@STEPS.register("finish")
@attrs.frozen(kw_only=True)
class FinishCall:
    """Wait for the answer to a call that was started, and check it."""

    label: str

    async def run(self, world: World) -> None:
        """Wait and check."""
        answer = world.pending.pop(self.label)
        await answer.ended.wait()
        answer.check(world)


@STEPS.register("fault")
@attrs.frozen(kw_only=True)
class PlanFaults:
    """Tell a stand-in which faults to show from now on; none clears them."""

    at: str
    faults: tuple[dict[str, Any], ...] = ()

    async def run(self, world: World) -> None:
        """Replace the stand-in's faults."""
        request = build_json_request("POST", "/standin/faults", list(self.faults))
        address = world.find(self.at)
        response = await request_whole(
            world.pool, address, request, ADMIN_TIMEOUT_SECONDS
        )
        _check_status(response, 200, f"faults at {self.at}")


@STEPS.register("expect_calls")
@attrs.frozen(kw_only=True)
class ExpectCalls:
    """Check what a stand-in received: how many calls, and no text in them.

    Only calls whose path begins with `path` and whose body holds `body` count.
    """

    at: str
    path: str = ""
    body: str = ""
    count: int | None = None
    without: tuple[str, ...] = ()

    async def run(self, world: World) -> None:
        """Read the stand-in's log and check it."""
        request = build_json_request("GET", "/standin/log", None)
        address = world.find(self.at)
        response = await request_whole(
            world.pool, address, request, ADMIN_TIMEOUT_SECONDS
        )
        calls = [c for c in loads(response.body) if self._is_meant(c)]
        if self.count is not None:
            _compare("calls", len(calls), self.count, response.body)
        for name in self.without:
            if world.find(name) in response.body.decode():
                raise ExpectationError(f"{self.at} received {name}")

    def _is_meant(self, call: dict[str, Any]) -> bool:
        return call["target"].startswith(self.path) and self.body in call["body"]


@STEPS.register("signal")
@attrs.frozen(kw_only=True)
class SendSignal:
    """Send a signal such as SIGSTOP to a process."""

    to: str
    name: str

    async def run(self, world: World) -> None:
        """Send it."""
        world.group.processes[self.to].send_signal(signal.Signals[self.name])


@STEPS.register("await_log")
@attrs.frozen(kw_only=True)
class AwaitLog:
    """Wait until a process has logged an event."""

    of: str
    event: str

    async def run(self, world: World) -> None:
        """Wait."""
        await world.group.processes[self.of].wait_for_event(self.event)


@STEPS.register("status")
@attrs.frozen(kw_only=True)
class ShowStatus:
    """Print the status of daemons."""

    daemons: tuple[str, ...]

    async def run(self, world: World) -> None:
        """Ask each daemon."""
        for name in self.daemons:
            response = await _call_admin(world, name, "GET", "/admin/v1/status", None)
            _check_status(response, 200, f"status of {name}")
            world.report(response.body.decode().strip())


@STEPS.register("stop")
@attrs.frozen(kw_only=True)
class StopProcesses:
    """Ask processes to stop and check their exit codes."""

    names: tuple[str, ...]
    code: int = 0

    async def run(self, world: World) -> None:
        """Stop all at once, then wait for each."""
        processes = [world.group.processes[name] for name in self.names]
        for process in processes:
            process.send_signal(signal.SIGTERM)
        for process in processes:
            _compare(f"exit code of {process.name}", await process.wait(), self.code)


async def _call_admin(
    world: World,
    via: str,
    method: str,
    target: str,
    data: Any,
    headers: tuple[Header, ...] = (),
) -> WholeResponse:
    request = build_json_request(method, target, data)
    request = attrs.evolve(request, headers=(*request.headers, *headers))
    address = world.find(f"{via}.admin")
    return await request_whole(world.pool, address, request, ADMIN_TIMEOUT_SECONDS)


def _build_condition(version: int) -> Header:
    if version == 0:
        return (b"if-none-match", b"*")
    return (b"if-match", f'"{version}"'.encode())


def _check_status(response: WholeResponse, status: int, what: str) -> None:
    _compare(f"status of {what}", response.head.status, status, response.body)


def _compare(what: str, found: Any, expected: Any, body: bytes = b"") -> None:
    if found != expected:
        detail = body[:500].decode("utf-8", "replace")
        raise ExpectationError(
            f"{what}: expected {expected!r}, found {found!r} {detail}"
        )


def _read_text(body: bytes) -> str:
    if not body.startswith(b"data:"):
        return loads(body)["choices"][0]["message"]["content"]
    texts = []
    for line in body.split(b"\n"):
        if line.startswith(b"data: {"):
            for choice in loads(line[len(b"data: ") :]).get("choices", ()):
                texts.append(choice["delta"]["content"])
    return "".join(texts)
