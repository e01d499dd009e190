"""Compare the daemon with a minimal relay, in alternating rounds of load."""

import sys
from statistics import median
from typing import Any

import attrs
import trio

from geraniumhall_bench.benchmarks.load import Load
from geraniumhall_bench.benchmarks.registry import BENCHMARKS
from geraniumhall_bench.benchmarks.usage import ProcessUsage
from geraniumhall_bench.processes import ProcessGroup

ROUNDS = 5
MICROSECONDS_PER_SECOND = 1e6
MILLISECONDS_PER_SECOND = 1e3
REQUESTS_PER_ROUND = 1500
# Targets for the daemon's CPU time divided by that of the plain relay.
TARGET_CPU_RATIO_PER_REQUEST = 1.5
TARGET_CPU_RATIO_PER_TOKEN = 1.1


@attrs.frozen(kw_only=True)
class LoadProfile:
    """A kind of load; `token_seconds` is the engine's time between tokens."""

    name: str
    connections: int
    requests_each: int
    max_tokens: int
    stream: bool
    token_seconds: float = 0.0

    @property
    def tokens(self) -> int:
        """The number of generated tokens in one round."""
        return self.connections * self.requests_each * self.max_tokens


LOAD_PROFILES = (
    LoadProfile(
        name="non-streamed answers",
        connections=16,
        requests_each=REQUESTS_PER_ROUND // 16,
        max_tokens=4,
        stream=False,
    ),
    LoadProfile(
        name="1 stream",
        connections=1,
        requests_each=1,
        max_tokens=1000,
        stream=True,
        token_seconds=0.002,
    ),
    LoadProfile(
        name="16 streams",
        connections=16,
        requests_each=1,
        max_tokens=250,
        stream=True,
        token_seconds=0.01,
    ),
    LoadProfile(
        name="128 streams",
        connections=128,
        requests_each=1,
        max_tokens=60,
        stream=True,
        token_seconds=0.05,
    ),
)


@attrs.define
class MeasuredProcess:
    """A process under load and its measurements, one per round."""

    name: str
    address: str
    pid: int
    key: str = ""
    cpu_seconds: list[float] = attrs.field(factory=list)
    first_byte_seconds: list[float] = attrs.field(factory=list)
    requests_per_second: list[float] = attrs.field(factory=list)
    failures: int = 0

    def reset(self) -> None:
        """Discard the measurements so far, such as those of the warm-up round."""
        self.cpu_seconds.clear()
        self.first_byte_seconds.clear()
        self.requests_per_second.clear()


@BENCHMARKS.register("relay")
def run_relay_benchmark() -> None:
    """Print CPU time per request or token, first-byte latency and memory."""
    trio.run(_run)


async def _run() -> None:
    for profile in LOAD_PROFILES:
        async with trio.open_nursery() as nursery:
            group = ProcessGroup(nursery)
            try:
                await _measure_profile(group, profile)
            finally:
                group.kill_all()
                nursery.cancel_scope.cancel()


async def _measure_profile(group: ProcessGroup, profile: LoadProfile) -> None:
    options = {"token_seconds": profile.token_seconds}
    engine = await group.start_stand_in("engine", "engine", options)
    measured_processes = [
        await _start_daemon(group, engine),
        await _start_plain(group, engine),
    ]
    direct = MeasuredProcess("direct", engine, group.processes["engine"].pid)
    await trio.sleep(1.0)
    for measured in [*measured_processes, direct]:
        await _run_round(measured, profile)
        measured.reset()
    for _ in range(ROUNDS):
        for measured in [*measured_processes, direct]:
            await _run_round(measured, profile)
    _print_profile(profile, measured_processes[0], measured_processes[1], direct)


async def _run_round(measured: MeasuredProcess, profile: LoadProfile) -> None:
    load = Load(
        address=measured.address,
        connections=profile.connections,
        requests_each=profile.requests_each,
        max_tokens=profile.max_tokens,
        stream=profile.stream,
        key=measured.key,
    )
    before = ProcessUsage.from_pid(measured.pid)
    result = await load.run()
    after = ProcessUsage.from_pid(measured.pid)
    measured.cpu_seconds.append(after.cpu_seconds - before.cpu_seconds)
    measured.first_byte_seconds.append(median(result.first_byte_seconds))
    measured.requests_per_second.append(result.requests / result.seconds)
    measured.failures += result.failures


def build_daemon_settings(engine: str) -> dict[str, Any]:
    """Return the settings of a daemon in front of the engine at an address."""
    entry = {
        "owner": "audit",
        "service_class": "model",
        "open_to_all": True,
        "repeatable": True,
    }
    server = {"address": engine, "failure_domain": "a", "entries": ["draft"]}
    seed = {
        "workspace": {"audit": {"rate": 1e6, "burst": 1e6}},
        "entry": {"draft": entry},
        "server": {"engine": server},
    }
    return {
        "host": {"name": "riga-1", "failure_domain": "a"},
        "callers": {"listen": "127.0.0.1:0"},
        "admin": {"listen": "127.0.0.1:0"},
        "platform": {"driver": "memory", "seed": seed},
    }


async def _start_daemon(group: ProcessGroup, engine: str) -> MeasuredProcess:
    settings = build_daemon_settings(engine)
    line = await group.start_daemon("riga-1", settings)
    return MeasuredProcess("daemon", line["callers"], group.processes["riga-1"].pid)


async def _start_plain(group: ProcessGroup, engine: str) -> MeasuredProcess:
    module = "geraniumhall_bench.benchmarks.baseline"
    command = [sys.executable, "-m", module, "--upstream", engine]
    process = await group.start("plain", command)
    line = await process.wait_for_event("listening")
    return MeasuredProcess("plain relay", line["address"], process.pid)


def _print_profile(
    profile: LoadProfile,
    daemon: MeasuredProcess,
    plain: MeasuredProcess,
    direct: MeasuredProcess,
) -> None:
    requests = profile.connections * profile.requests_each
    unit_count = profile.tokens if profile.stream else requests
    unit = "token" if profile.stream else "request"
    target = (
        TARGET_CPU_RATIO_PER_TOKEN if profile.stream else TARGET_CPU_RATIO_PER_REQUEST
    )
    print(f"{profile.name}: {ROUNDS} alternating rounds of {requests} requests")
    for measured in (daemon, plain):
        usage = ProcessUsage.from_pid(measured.pid)
        cpu = _format_spread(
            [s / unit_count * MICROSECONDS_PER_SECOND for s in measured.cpu_seconds]
        )
        added = median(measured.first_byte_seconds) - median(direct.first_byte_seconds)
        print(
            f"  {measured.name:12} CPU per {unit} {cpu} us,"
            f" {median(measured.requests_per_second):7.1f} requests/s,"
            f" first byte +{added * MILLISECONDS_PER_SECOND:.2f} ms,"
            f" {usage.resident_mib:.1f} MiB, {measured.failures} failed"
        )
    pairs = zip(daemon.cpu_seconds, plain.cpu_seconds, strict=True)
    ratios = [a / b for a, b in pairs if b]
    print(f"  CPU ratio per round: {_format_spread(ratios)}; target {target}")


def _format_spread(values: list[float]) -> str:
    return f"{median(values):.2f} ({min(values):.2f}-{max(values):.2f})"
