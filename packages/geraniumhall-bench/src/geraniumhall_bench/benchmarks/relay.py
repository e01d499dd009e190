"""The daemon against a plain relay without decisions, in alternating rounds."""

import sys
from statistics import median

import attrs
import trio

from geraniumhall_bench.benchmarks.load import Load
from geraniumhall_bench.benchmarks.registry import BENCHMARKS
from geraniumhall_bench.benchmarks.usage import ProcessUsage
from geraniumhall_bench.processes import ProcessGroup

ROUNDS = 5
MICROSECONDS = 1e6
MILLISECONDS = 1e3
REQUESTS_PER_ROUND = 1500
TARGET_REQUEST_RATIO = 1.5
TARGET_TOKEN_RATIO = 1.1


@attrs.frozen(kw_only=True)
class Shape:
    """One kind of load; `token_seconds` is the engine's time between tokens."""

    name: str
    connections: int
    requests_each: int
    max_tokens: int
    stream: bool
    token_seconds: float = 0.0

    @property
    def tokens(self) -> int:
        """The tokens of one round."""
        return self.connections * self.requests_each * self.max_tokens


SHAPES = (
    Shape(
        name="whole answers",
        connections=16,
        requests_each=REQUESTS_PER_ROUND // 16,
        max_tokens=4,
        stream=False,
    ),
    Shape(
        name="1 stream",
        connections=1,
        requests_each=1,
        max_tokens=1000,
        stream=True,
        token_seconds=0.002,
    ),
    Shape(
        name="16 streams",
        connections=16,
        requests_each=1,
        max_tokens=250,
        stream=True,
        token_seconds=0.01,
    ),
    Shape(
        name="128 streams",
        connections=128,
        requests_each=1,
        max_tokens=60,
        stream=True,
        token_seconds=0.05,
    ),
)


@attrs.define
class Contender:
    """A process under load and its figures, one for each round."""

    name: str
    address: str
    pid: int
    key: str = ""
    cpu_seconds: list[float] = attrs.field(factory=list)
    first_byte: list[float] = attrs.field(factory=list)
    rates: list[float] = attrs.field(factory=list)
    failures: int = 0

    def reset(self) -> None:
        """Forget the figures of another shape."""
        self.cpu_seconds.clear()
        self.first_byte.clear()
        self.rates.clear()


@BENCHMARKS.register("relay")
def run_relay_benchmark() -> None:
    """Print CPU for a request and a token, first-byte delay and memory."""
    trio.run(_run)


async def _run() -> None:
    for shape in SHAPES:
        async with trio.open_nursery() as nursery:
            group = ProcessGroup(nursery)
            try:
                await _measure_shape(group, shape)
            finally:
                group.kill_all()
                nursery.cancel_scope.cancel()


async def _measure_shape(group: ProcessGroup, shape: Shape) -> None:
    options = {"token_seconds": shape.token_seconds}
    engine = await group.start_stand_in("engine", "engine", options)
    contenders = [await _start_daemon(group, engine), await _start_plain(group, engine)]
    direct = Contender("direct", engine, group.processes["engine"].pid)
    await trio.sleep(1.0)
    for contender in [*contenders, direct]:
        await _run_round(contender, shape)
        contender.reset()
    for _ in range(ROUNDS):
        for contender in [*contenders, direct]:
            await _run_round(contender, shape)
    _print_shape(shape, contenders[0], contenders[1], direct)


async def _run_round(contender: Contender, shape: Shape) -> None:
    load = Load(
        address=contender.address,
        connections=shape.connections,
        requests_each=shape.requests_each,
        max_tokens=shape.max_tokens,
        stream=shape.stream,
        key=contender.key,
    )
    before = ProcessUsage.from_pid(contender.pid)
    result = await load.run()
    after = ProcessUsage.from_pid(contender.pid)
    contender.cpu_seconds.append(after.cpu_seconds - before.cpu_seconds)
    contender.first_byte.append(median(result.first_byte_seconds))
    contender.rates.append(result.requests / result.seconds)
    contender.failures += result.failures


async def _start_daemon(group: ProcessGroup, engine: str) -> Contender:
    entry = {
        "owner": "audit",
        "service_class": "model",
        "open_to_all": True,
        "repeatable": True,
    }
    server = {"address": engine, "failure_domain": "a", "entries": ["draft"]}
    seed = {
        "workspace": {"audit": {"rate": 1e6, "burst": 1e6, "hosts": ["riga-1"]}},
        "entry": {"draft": entry},
        "server": {"engine": server},
    }
    settings = {
        "host": {"name": "riga-1", "failure_domain": "a"},
        "callers": {"listen": "127.0.0.1:0"},
        "admin": {"listen": "127.0.0.1:0"},
        "platform": {"driver": "memory", "seed": seed},
    }
    line = await group.start_daemon("riga-1", settings)
    return Contender("daemon", line["callers"], group.processes["riga-1"].pid)


async def _start_plain(group: ProcessGroup, engine: str) -> Contender:
    module = "geraniumhall_bench.benchmarks.baseline"
    command = [sys.executable, "-m", module, "--upstream", engine]
    process = await group.start("plain", command)
    line = await process.wait_for_event("listening")
    return Contender("plain relay", line["address"], process.pid)


def _print_shape(
    shape: Shape, daemon: Contender, plain: Contender, direct: Contender
) -> None:
    requests = shape.connections * shape.requests_each
    per = shape.tokens if shape.stream else requests
    unit = "token" if shape.stream else "request"
    target = TARGET_TOKEN_RATIO if shape.stream else TARGET_REQUEST_RATIO
    print(f"{shape.name}: {ROUNDS} alternating rounds of {requests} requests")
    for contender in (daemon, plain):
        usage = ProcessUsage.from_pid(contender.pid)
        cpu = _spread([s / per * MICROSECONDS for s in contender.cpu_seconds])
        added = median(contender.first_byte) - median(direct.first_byte)
        print(
            f"  {contender.name:12} CPU for a {unit} {cpu} us,"
            f" {median(contender.rates):7.1f} requests/s,"
            f" first byte +{added * MILLISECONDS:.2f} ms,"
            f" {usage.resident_mib:.1f} MiB, {contender.failures} failed"
        )
    pairs = zip(daemon.cpu_seconds, plain.cpu_seconds, strict=True)
    ratios = [a / b for a, b in pairs if b]
    print(f"  ratio of CPU, pair by pair: {_spread(ratios)}; target {target}")


def _spread(values: list[float]) -> str:
    return f"{median(values):.2f} ({min(values):.2f}-{max(values):.2f})"
