"""Harness with a daemon in the test's process, on memory streams and a mock clock."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from json import dumps
from random import Random
from typing import Any

import attrs
import trio
import trio.testing
from trio._core import _run as scheduler

from geraniumhall_bench.standins import StandInState
from geraniumhall_bench.standins.model import FaultInjection
from geraniumhall_bench.standins.process import StandIn
from geraniumhall_core.events import Ticked
from geraniumhall_core.keys import KeyRecord
from geraniumhall_core.reducer import Effect, Event
from geraniumhall_daemon import memory, performers, relays
from geraniumhall_daemon.callers import serve_caller
from geraniumhall_daemon.daemon import Daemon
from geraniumhall_daemon.logs import configure_logs
from geraniumhall_net.client import ClientConnection, ConnectFailedError, ResponseHead
from geraniumhall_wire.description import describe
from geraniumhall_wire.heads import UpstreamRequest
from geraniumhall_wire.settings import Settings

SECRET = "s" * 43
KEY = f"gh_k1_{SECRET}"
WALL_TIME_START = 1_700_000_000.0
BUCKET_FILL_SECONDS = 0.7
TOKEN_SECONDS = 0.01
SCHEDULER_SEED = 20261204
KEY_RECORD = KeyRecord.from_secret("audit", "salt", SECRET)

SETTINGS = f"""
host: {{name: h1, failure_domain: a}}
catalogue: {{watch_wait: 1.1s, revocation_bound: 5s}}
usage: {{window: 1h}}
platform:
  driver: memory
  seed:
    workspace:
      audit: {{rate: 1000000, burst: 1000000}}
    key:
      k1: {{workspace: audit, salt: salt, hashed: {KEY_RECORD.hashed}}}
    entry:
      draft: {{owner: audit, service_class: model, repeatable: true}}
      filing: {{owner: audit, service_class: service, path: /filings}}
    server:
      e1: {{address: "10.0.0.1:80", failure_domain: a, entries: [draft]}}
      e2: {{address: "10.0.0.2:80", failure_domain: b, entries: [draft]}}
      s1: {{address: "10.0.0.3:80", failure_domain: a, entries: [filing]}}
"""

__all__ = ["memory", "performers", "relays"]

configure_logs("error", "test")


class VirtualClock:
    """Clock that follows the virtual time of trio's mock clock."""

    def read_now(self) -> float:
        """Return seconds since the start of the test."""
        return round(trio.current_time(), 6)

    def read_wall_time(self) -> float:
        """Return seconds since the epoch."""
        return WALL_TIME_START + self.read_now()


@attrs.define
class SessionRecorder:
    """Record events with their effects, and the bytes at both edges.

    An edge is one direction of the connections with callers or with one
    backend server. Its bytes are joined, since chunk boundaries depend on the
    order in which tasks run.
    """

    steps: list[str] = attrs.field(factory=list)
    edges: dict[str, bytearray] = attrs.field(factory=dict)

    @property
    def lines(self) -> list[str]:
        """All recorded steps and bytes, one JSON object per line."""
        crossed = [
            dumps({"edge": edge, "bytes": data.decode("latin-1")})
            for edge, data in sorted(self.edges.items())
        ]
        return self.steps + crossed

    def record(self, event: Event, effects: tuple[Effect, ...]) -> None:
        """Record one step; ticks are left out."""
        if isinstance(event, Ticked):
            return
        step = {"event": describe(event), "effects": describe(effects)}
        self.steps.append(dumps(step))

    def describe_steps(self) -> list[Any]:
        """Return an empty list; tests read `lines` instead."""
        return []

    def record_bytes(self, edge: str, data: bytes) -> None:
        """Append bytes that crossed an edge."""
        self.edges.setdefault(edge, bytearray()).extend(data)


@attrs.define(eq=False)
class RecordingStream(trio.abc.Stream):
    """Stream that records what is sent and received on another stream."""

    stream: trio.abc.Stream
    edge: str
    recorder: SessionRecorder

    async def send_all(self, data: bytes) -> None:
        """Record the data and send it."""
        self.recorder.record_bytes(f"{self.edge} sent", bytes(data))
        await self.stream.send_all(data)

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive data and record it."""
        data = await self.stream.receive_some(max_bytes)
        if data:
            self.recorder.record_bytes(f"{self.edge} received", bytes(data))
        return data

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until sending might not block."""
        await self.stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        """Close the stream."""
        await self.stream.aclose()


@attrs.define(eq=False)
class Session:
    """A daemon and its stand-ins, with methods that call the daemon."""

    nursery: trio.Nursery
    stand_ins: dict[str, StandIn]
    recorder: SessionRecorder
    unreachable: set[str] = attrs.field(factory=set)
    daemon: Daemon | None = None

    async def connect(self, address: str) -> trio.abc.Stream:
        """Connect the daemon to the stand-in at `address`."""
        if address in self.unreachable:
            raise ConnectFailedError(f"{address}: refused")
        client_stream, server_stream = trio.testing.memory_stream_pair()
        self.nursery.start_soon(self.stand_ins[address].serve, server_stream)
        return RecordingStream(client_stream, f"upstream {address}", self.recorder)

    def open_caller(self) -> ClientConnection:
        """Open a caller's connection to the daemon."""
        assert self.daemon is not None
        client_stream, server_stream = trio.testing.memory_stream_pair()
        stream = RecordingStream(server_stream, "caller", self.recorder)
        self.nursery.start_soon(serve_caller, self.daemon, stream)
        return ClientConnection.from_stream(client_stream, "daemon")

    async def call(self, request: UpstreamRequest) -> tuple[ResponseHead, bytes]:
        """Make one call on a new connection."""
        caller = self.open_caller()
        await caller.send_request(request)
        head = await caller.read_head()
        body = await caller.read_body()
        await caller.close()
        return head, body

    def inject_faults(self, address: str, *injections: FaultInjection) -> None:
        """Inject faults into the stand-in at `address`."""
        self.stand_ins[address].state.injections = list(injections)

    def count_calls(self, address: str) -> int:
        """Return how many calls the stand-in at `address` received."""
        return len(self.stand_ins[address].state.log)


def build_chat(stream: bool = False, **fields: Any) -> UpstreamRequest:
    """Return a chat request with a valid key."""
    data = {
        "model": "draft",
        "stream": stream,
        "max_tokens": 3,
        "messages": [{"role": "user", "content": "hello"}],
        **fields,
    }
    return build_post("/v1/chat/completions", dumps(data).encode())


def build_post(
    path: str, body: bytes, headers: tuple[tuple[bytes, bytes], ...] = ()
) -> UpstreamRequest:
    """Return a POST request with a valid key."""
    key = (b"authorization", f"Bearer {KEY}".encode())
    return UpstreamRequest(b"POST", path.encode(), (key, *headers), body)


def run_session(
    test: Callable[[Session], Awaitable[None]], settings: str = SETTINGS
) -> Session:
    """Run a test with a daemon; the mock clock jumps when all tasks wait.

    Tasks that are ready at the same time run in an order fixed by the seed,
    by a private switch that trio has for property tests.
    """
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(SCHEDULER_SEED)

    async def run() -> Session:
        async with open_session(settings) as session:
            with trio.fail_after(3600):
                await test(session)
        return session

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@asynccontextmanager
async def open_session(settings: str) -> AsyncIterator[Session]:
    """Start a daemon with two engines and a service."""
    recorder = SessionRecorder()
    async with trio.open_nursery() as nursery:
        stand_ins = {
            "10.0.0.1:80": _build_engine("e1"),
            "10.0.0.2:80": _build_engine("e2"),
            "10.0.0.3:80": StandIn(StandInState.from_kind("service", "s1")),
        }
        session = Session(nursery, stand_ins, recorder)
        daemon = Daemon.from_settings(
            Settings.from_text(settings),
            clock=VirtualClock(),
            random=Random(7),
            connector=session.connect,
            recorder=recorder,
        )
        daemon.nursery = nursery
        session.daemon = daemon
        nursery.start_soon(daemon.run_timers)
        await trio.sleep(BUCKET_FILL_SECONDS)
        yield session
        nursery.cancel_scope.cancel()


def _build_engine(name: str) -> StandIn:
    state = StandInState.from_kind("engine", name, token_seconds=TOKEN_SECONDS)
    return StandIn(state)
