"""Run one soak: start the processes, inject the faults, check the logs."""

import signal
import socket
import sys
from collections import Counter
from json import loads
from random import Random
from re import compile as compile_pattern
from typing import Any

import attrs
import trio

from geraniumhall_bench.processes import ManagedProcess
from geraniumhall_bench.scenario import ExpectationError, RunContext, run_in_context
from geraniumhall_bench.soak.callers import Caller
from geraniumhall_bench.soak.checker import (
    CHECKER,
    CheckerState,
    FaultEnded,
    FaultStarted,
    LimitEnded,
    ReportFinding,
    ServerCalled,
    SoakEnded,
    UsageReported,
)
from geraniumhall_bench.soak.faults import SOAK_FAULTS, ScheduledFault, draw_schedule
from geraniumhall_bench.soak.links import Link
from geraniumhall_bench.steps.catalogue import IssueKey, PutRecord, WithdrawKey
from geraniumhall_bench.steps.common import call_admin, control_stand_in
from geraniumhall_bench.steps.processes import StartDaemon, StartStandIn
from geraniumhall_core.reducer import Event

DAEMONS = ("riga-1", "riga-2", "riga-3")
ENGINES = ("engine-1", "engine-2")
SERVICES = ("filing-1", "filing-2")
PLATFORM_NAME = "platform"
WORKSPACE = "audit"
CALLER_COUNT = 10
FAULT_FREE_SECONDS = 6.0
REGISTER_RETRY_SECONDS = 0.2
RECOVERY_SECONDS = 4.0
REVOCATION_BOUND_SECONDS = 3.0
CALL_NAME_PATTERN = compile_pattern(r"c\d+-\d+\.")


@attrs.frozen(kw_only=True)
class SoakResult:
    """The outcome of a soak and the faults that were injected.

    `served` counts calls answered with status 200.
    """

    seed: int
    calls: int
    served: int
    schedule: tuple[ScheduledFault, ...]
    findings: tuple[ReportFinding, ...]


@attrs.define(eq=False)
class Soak:
    """The processes and links of one run, and the findings so far.

    `keys` holds the callers' keys, the current one last. `withdrawn_at` maps a
    withdrawn key to the time of its withdrawal in seconds. `server_starts` counts the
    processes that each server has registered.
    """

    context: RunContext
    seed: int
    links: dict[str, Link] = attrs.field(factory=dict)
    daemons: dict[str, StartDaemon] = attrs.field(factory=dict)
    checker: CheckerState = attrs.field(factory=CheckerState)
    findings: list[ReportFinding] = attrs.field(factory=list)
    keys: list[str] = attrs.field(factory=list)
    withdrawn_at: dict[str, float] = attrs.field(factory=dict)
    server_starts: Counter[str] = attrs.field(factory=Counter)
    is_over: bool = False
    _restarting: set[str] = attrs.field(factory=set, init=False)

    def dispatch(self, event: Event) -> None:
        """Check an event and collect the findings."""
        for effect in CHECKER.reduce(self.checker, event):
            assert isinstance(effect, ReportFinding)
            self.findings.append(effect)

    def choose_key(self, random: Random) -> str:
        """Return the current key, or less often an earlier one."""
        return random.choice([*self.keys[-1:] * 9, *self.keys])

    def is_key_revoked(self, key: str) -> bool:
        """Return whether a key was withdrawn longer ago than the revocation bound."""
        withdrawn_at = self.withdrawn_at.get(key, float("inf"))
        return trio.current_time() > withdrawn_at + REVOCATION_BOUND_SECONDS

    async def rotate_key(self) -> None:
        """Issue a new key for the callers, then withdraw the current one.

        If a call of the admin API fails, the error is printed and the old key
        does not count as withdrawn. Nothing happens if no daemon is running.
        """
        number = len(self.keys)
        via = next((d for d in DAEMONS if self.find_process(d) is not None), None)
        if via is None:
            return
        try:
            await self._issue_key(f"key-{number + 1}", via)
            await WithdrawKey(via=via, name=f"key-{number}").run(self.context)
        except (ConnectionError, ExpectationError) as error:
            print(f"failed to rotate the callers' key: {error}", file=sys.stderr)
        else:
            self.withdrawn_at[self.context.find(f"key-{number}")] = trio.current_time()

    def find_process(self, daemon: str) -> ManagedProcess | None:
        """Return a daemon's process, or None while it is not running."""
        if daemon in self._restarting:
            return None
        process = self.context.group.processes[daemon]
        return process if process.process.poll() is None else None

    async def restart(self, daemon: str, signal_number: int, seconds: float) -> None:
        """End a daemon with a signal and start it again after `seconds`.

        Nothing happens if the daemon is not running.
        """
        process = self.find_process(daemon)
        if process is None:
            return
        self._restarting.add(daemon)
        try:
            process.send_signal(signal_number)
            # A process that is suspended handles SIGTERM only once it is resumed.
            if signal_number == signal.SIGTERM:
                process.send_signal(signal.SIGCONT)
            await process.wait()
            await trio.sleep(seconds)
            await self.daemons[daemon].run(self.context)
        finally:
            self._restarting.discard(daemon)

    async def prepare(self) -> None:
        """Start all processes and fill the catalogue."""
        kinds = {PLATFORM_NAME: "platform", **dict.fromkeys(SERVICES, "service")}
        for name, kind in kinds.items():
            await StartStandIn(kind=kind, name=name).run(self.context)
        for name in ENGINES:
            options = {"token_seconds": 0.02}
            await StartStandIn(kind="engine", name=name, options=options).run(
                self.context
            )
        for name in (*ENGINES, *SERVICES):
            await self._open_link(name, self.context.find(name))
        for name in DAEMONS:
            await self._open_link(name, self.context.find(PLATFORM_NAME))
            settings = self._build_settings(name)
            start = StartDaemon(name=name, failure_domain="riga", settings=settings)
            self.daemons[name] = start
            await start.run(self.context)
        await self._fill_catalogue()

    async def run(self, seconds: float) -> SoakResult:
        """Inject the faults while callers make calls, and return the findings."""
        targets_by_kind = {
            "daemon": list(DAEMONS),
            "link": list(self.links),
            "platform": [PLATFORM_NAME],
            "server": [*ENGINES, *SERVICES],
        }
        schedule = draw_schedule(self.seed, seconds, targets_by_kind)
        async with trio.open_nursery() as callers:
            for index in range(CALLER_COUNT):
                caller = Caller(self, f"c{index}", Random(f"{self.seed}/{index}"))
                callers.start_soon(caller.run)
            async with trio.open_nursery() as faults:
                for scheduled in schedule:
                    faults.start_soon(self._inject_fault, scheduled)
            await trio.sleep(RECOVERY_SECONDS)
            fault_free_since = trio.current_time()
            await trio.sleep(FAULT_FREE_SECONDS)
            self.is_over = True
        await self._read_logs()
        self.dispatch(
            SoakEnded(at=trio.current_time(), fault_free_since=fault_free_since)
        )
        answers = [c.answer for c in self.checker.calls.values() if c.answer]
        return SoakResult(
            seed=self.seed,
            calls=len(self.checker.calls),
            served=sum(answer.status == 200 for answer in answers),
            schedule=schedule,
            findings=tuple(self.findings),
        )

    async def _inject_fault(self, scheduled: ScheduledFault) -> None:
        await trio.sleep(scheduled.at)
        fault = SOAK_FAULTS.find(scheduled.name)
        started = FaultStarted(
            at=trio.current_time(), target=scheduled.target, is_planned=fault.is_planned
        )
        self.dispatch(started)
        try:
            await fault.action(self, scheduled.target, scheduled.seconds)
        finally:
            self.dispatch(FaultEnded(at=trio.current_time(), fault=started))

    async def _open_link(self, name: str, target: str) -> None:
        self.links[name] = await Link.open(target, self.context.nursery)

    def _build_settings(self, daemon: str) -> dict[str, Any]:
        platform = self.links[daemon].address
        return {
            "hosts": {"listen": f"127.0.0.1:{_find_free_port()}"},
            "platform": {"address": platform, "duties_address": platform},
            "catalogue": {"revocation_bound": f"{REVOCATION_BOUND_SECONDS}s"},
            "usage": {"window": "2s", "seal_grace": "1s"},
            "leases": {"ttl": "2s", "margin": "200ms"},
            "upstream": {"silence_timeout": "3s"},
            "drain": {"grace": "3s"},
        }

    async def _fill_catalogue(self) -> None:
        context, via = self.context, DAEMONS[0]

        async def put(kind: str, name: str, record: dict[str, Any]) -> None:
            await PutRecord(via=via, kind=kind, name=name, record=record).run(context)

        await put("workspace", WORKSPACE, {"rate": 20000, "burst": 4000})
        model = {"owner": WORKSPACE, "service_class": "model", "repeatable": True}
        await put("entry", "draft", {**model, "limits": {"deadline": 5}})
        service = {"owner": WORKSPACE, "service_class": "service", "path": "/filings"}
        await put("entry", "filing", {**service, "limits": {"deadline": 5}})
        for name in (*ENGINES, *SERVICES):
            await put("server", name, self._build_server(name))
        await self._issue_key("key-1", via)
        await trio.sleep(RECOVERY_SECONDS)

    def _build_server(self, name: str) -> dict[str, Any]:
        return {
            "address": self.links[name].address,
            "failure_domain": "riga",
            "entries": ["filing" if name in SERVICES else "draft"],
            "started_at": self.server_starts[name],
        }

    async def _issue_key(self, name: str, via: str) -> None:
        await IssueKey(via=via, workspace=WORKSPACE, name=name).run(self.context)
        self.keys.append(self.context.find(name))

    async def _read_logs(self) -> None:
        """Dispatch the calls that servers and platform logged to the checker."""
        for name in (*ENGINES, *SERVICES):
            for call in await self._read_log(name):
                found = CALL_NAME_PATTERN.search(call["body"])
                called = found[0] if found else call["target"]
                self.dispatch(ServerCalled(at=trio.current_time(), name=called))
        for call in await self._read_log(PLATFORM_NAME):
            if call["target"] == "/usage":
                data = loads(call["body"])
                counts = str(sorted(data["counts"].items()))
                self.dispatch(
                    UsageReported(
                        at=trio.current_time(), window=data["window_id"], counts=counts
                    )
                )

    async def register_again(self, server: str) -> None:
        """Register a server as a new process, as soon as a daemon takes the record."""
        self.server_starts[server] += 1
        record = self._build_server(server)
        while not self.is_over:
            for via in DAEMONS:
                if self.find_process(via) is None:
                    continue
                version = f"${{server/{server}}}"
                step = PutRecord(
                    via=via, kind="server", name=server, record=record, version=version
                )
                try:
                    await step.run(self.context)
                except (ConnectionError, ExpectationError) as error:
                    print(f"failed to register {server}: {error}", file=sys.stderr)
                    await self._read_version(via, server)
                else:
                    return
            await trio.sleep(REGISTER_RETRY_SECONDS)

    async def _read_version(self, via: str, server: str) -> None:
        """Read a server's version, as a write without an answer may have changed it."""
        target = f"/admin/v1/catalogue/server/{server}"
        try:
            response = await call_admin(self.context, via, "GET", target, None)
        except ConnectionError as error:
            print(f"failed to read {server}: {error}", file=sys.stderr)
            return
        if response.head.status == 200:
            version = str(loads(response.body)["version"])
            self.context.variables[f"server/{server}"] = version

    async def check_limit(self, server: str, limit: float) -> None:
        """Check the calls that a server got while it named a limit."""
        calls = await self._read_log(server)
        arrivals = tuple(call["at"] for call in calls if call["limit"] == limit)
        event = LimitEnded(
            at=trio.current_time(), server=server, limit=limit, arrivals=arrivals
        )
        self.dispatch(event)

    async def _read_log(self, stand_in: str) -> list[dict[str, Any]]:
        return loads(
            (await control_stand_in(self.context, stand_in, "GET", "log")).body
        )


async def run_soak(seed: int, seconds: float) -> SoakResult:
    """Run a soak whose faults span `seconds`, then end every process.

    Raises `ProcessFailedError` if a process does not start or stop, and
    `ExpectationError` if the catalogue can't be filled or a log can't be read.
    """

    async def execute(context: RunContext) -> SoakResult:
        soak = Soak(context, seed)
        await soak.prepare()
        return await soak.run(seconds)

    return await run_in_context(execute)


def _find_free_port() -> int:
    with socket.socket(type=socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
