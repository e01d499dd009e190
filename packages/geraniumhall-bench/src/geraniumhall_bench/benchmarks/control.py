"""Idle control work of daemons, and how long an edit takes to be in force.

Real processes on loopback: one platform stand-in and some daemons, three to a
failure domain. Bytes are those of the loopback device, which carries nothing
else while the benchmark runs.
"""

from collections.abc import Awaitable, Callable
from json import loads
from pathlib import Path
from statistics import median

import attrs
import trio

from geraniumhall_bench.benchmarks.registry import BENCHMARKS
from geraniumhall_bench.benchmarks.usage import ProcessUsage
from geraniumhall_bench.processes import ManagedProcess, ProcessGroup
from geraniumhall_net.client import ClientPool, build_json_request, request_whole
from geraniumhall_wire.caller import UpstreamRequest

SIZES = (3, 9, 30, 60)
DAEMONS_PER_DOMAIN = 3
IDLE_SECONDS = 20.0
SETTLE_SECONDS = 10.0
EDITS = 20
PROPAGATION_DAEMONS = 9
START_BATCH = 6
CPU_BUDGET_PERCENT = 1.9
BYTES_BUDGET = 7000
MEMORY_BUDGET_MIB = 128
IN_FORCE_BUDGET_SECONDS = 5.0
TIMEOUT_SECONDS = 30.0


@attrs.frozen(kw_only=True)
class ControlFigures:
    """Idle control work of each of `daemons` daemons."""

    daemons: int
    cpu_percent: float
    worst_cpu_percent: float
    bytes_a_second: float
    platform_calls_a_second: float
    resident_mib: float
    worst_heard_age: float


@attrs.define(eq=False)
class Fleet:
    """A platform stand-in and some daemons that have joined."""

    group: ProcessGroup
    platform: str
    daemons: list[ManagedProcess] = attrs.field(factory=list)
    admins: list[str] = attrs.field(factory=list)
    pool: ClientPool = attrs.field(factory=ClientPool)

    async def start_daemon(self, index: int) -> None:
        """Start one daemon."""
        name = f"h{index:03d}"
        settings = {
            "host": {"name": name, "failure_domain": f"d{index // DAEMONS_PER_DOMAIN}"},
            "callers": {"listen": "127.0.0.1:0"},
            "admin": {"listen": "127.0.0.1:0"},
            "peers": {"listen": "127.0.0.1:0"},
            "platform": {"address": self.platform},
        }
        line = await self.group.start_daemon(name, settings)
        self.daemons.append(self.group.processes[name])
        self.admins.append(line["admin"])

    async def await_joined(self) -> None:
        """Wait until every daemon takes edits."""
        for daemon in self.daemons:
            await daemon.wait_for_event("joined")

    async def edit(self, request: UpstreamRequest) -> dict:
        """Make an edit through the first daemon and return its answer."""
        response = await request_whole(
            self.pool, self.admins[0], request, TIMEOUT_SECONDS
        )
        if response.head.status >= 300:
            raise RuntimeError(response.body.decode())
        return loads(response.body)

    async def find_worst_heard_age(self) -> float:
        """Return the longest time since the first daemon heard of another."""
        request = build_json_request("GET", "/admin/v1/members", None)
        response = await request_whole(
            self.pool, self.admins[0], request, TIMEOUT_SECONDS
        )
        members = loads(response.body)["members"]
        return max(member["heard_age"] for member in members)

    async def count_platform_calls(self) -> int:
        """Return how many calls the platform received so far."""
        request = build_json_request("GET", "/standin/state", None)
        response = await request_whole(
            self.pool, self.platform, request, TIMEOUT_SECONDS
        )
        return sum(loads(response.body)["calls"].values())


async def run_with_fleet(count: int, test: Callable[[Fleet], Awaitable]) -> object:
    """Run a test with `count` daemons and end them afterwards."""
    async with trio.open_nursery() as nursery:
        group = ProcessGroup(nursery)
        try:
            fleet = Fleet(group, await group.start_stand_in("platform", "platform"))
            for first in range(0, count, START_BATCH):
                async with trio.open_nursery() as batch:
                    for index in range(first, min(count, first + START_BATCH)):
                        batch.start_soon(fleet.start_daemon, index)
            await fleet.await_joined()
            return await test(fleet)
        finally:
            group.kill_all()
            nursery.cancel_scope.cancel()
    return None


async def measure_idle(fleet: Fleet) -> ControlFigures:
    """Measure the fleet while nobody calls it."""
    await trio.sleep(SETTLE_SECONDS)
    before = [ProcessUsage.from_pid(d.pid) for d in fleet.daemons]
    calls = await fleet.count_platform_calls()
    sent = _read_loopback_bytes()
    await trio.sleep(IDLE_SECONDS)
    sent = _read_loopback_bytes() - sent
    calls = await fleet.count_platform_calls() - calls
    after = [ProcessUsage.from_pid(d.pid) for d in fleet.daemons]
    shares = [
        100 * (b.cpu_seconds - a.cpu_seconds) / IDLE_SECONDS
        for a, b in zip(before, after, strict=True)
    ]
    return ControlFigures(
        daemons=len(fleet.daemons),
        cpu_percent=median(shares),
        worst_cpu_percent=max(shares),
        bytes_a_second=sent / IDLE_SECONDS / len(fleet.daemons),
        platform_calls_a_second=calls / IDLE_SECONDS,
        resident_mib=median(usage.resident_mib for usage in after),
        worst_heard_age=await fleet.find_worst_heard_age(),
    )


@BENCHMARKS.register("control")
def run_control_benchmark() -> None:
    """Print CPU, bytes, memory and platform calls of idle daemons."""
    print(
        f"budget for a daemon: {CPU_BUDGET_PERCENT}% of a core,"
        f" {BYTES_BUDGET} B/s, {MEMORY_BUDGET_MIB} MiB"
    )
    for count in SIZES:
        figures = trio.run(run_with_fleet, count, measure_idle)
        print_control(figures)


def print_control(figures: object) -> None:
    """Print one line of figures."""
    assert isinstance(figures, ControlFigures)
    print(
        f"{figures.daemons:>3} daemons: CPU {figures.cpu_percent:.2f}%"
        f" (worst {figures.worst_cpu_percent:.2f}%),"
        f" {figures.bytes_a_second:.0f} B/s on loopback a daemon,"
        f" platform {figures.platform_calls_a_second:.1f} calls/s,"
        f" {figures.resident_mib:.1f} MiB,"
        f" member heard at most {figures.worst_heard_age:.1f} s ago"
    )


@BENCHMARKS.register("propagation")
def run_propagation_benchmark() -> None:
    """Print the time from an accepted edit to its being in force everywhere."""
    trio.run(run_with_fleet, PROPAGATION_DAEMONS, _measure_propagation)


async def _measure_propagation(fleet: Fleet) -> None:
    edits = [await _time_edit(fleet, index) for index in range(EDITS)]
    withdrawals = [await _time_withdrawal(fleet) for _ in range(EDITS)]
    for name, times in (("edit", edits), ("key withdrawal", withdrawals)):
        print(
            f"{name}: {len(times)} times, in force on the last of"
            f" {PROPAGATION_DAEMONS} daemons after median {median(times):.3f} s,"
            f" worst {max(times):.3f} s; budget {IN_FORCE_BUDGET_SECONDS} s"
        )


async def _time_edit(fleet: Fleet, index: int) -> float:
    record = {"rate": 1.0, "burst": 1.0, "hosts": []}
    target = f"/admin/v1/catalogue/workspace/w{index}"
    request = build_json_request("PUT", target, record)
    condition = (b"if-none-match", b"*")
    request = attrs.evolve(request, headers=(*request.headers, condition))
    return await _time_in_force(fleet, request)


async def _time_withdrawal(fleet: Fleet) -> float:
    issue = build_json_request("POST", "/admin/v1/keys", {"workspace": "w0"})
    issued = await fleet.edit(issue)
    target = f"/admin/v1/catalogue/key/{issued['id']}"
    condition = (b"if-match", str(issued["version"]).encode())
    request = build_json_request("DELETE", target, None)
    request = attrs.evolve(request, headers=(*request.headers, condition))
    return await _time_in_force(fleet, request)


async def _time_in_force(fleet: Fleet, request: UpstreamRequest) -> float:
    version = (await fleet.edit(request))["version"]
    accepted_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        for daemon in fleet.daemons:
            nursery.start_soon(_await_applied, daemon, version)
    return trio.current_time() - accepted_at


async def _await_applied(daemon: ManagedProcess, version: int) -> None:
    await daemon.wait_for(
        lambda line: (
            line.get("event") == "catalogue_applied" and line["revision"] >= version
        )
    )


def _read_loopback_bytes() -> int:
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, rest = line.partition(":")
        if name.strip() == "lo":
            return int(rest.split()[0])
    return 0
