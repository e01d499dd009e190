"""The daemon process: passes events to the reducer and performs its effects."""

from collections import deque
from itertools import count
from random import Random
from typing import Any, Protocol

import attrs
import trio

from geraniumhall_core.events import (
    DaemonStarted,
    RequestAbandoned,
    RequestArrived,
    SettingsChanged,
    Ticked,
)
from geraniumhall_core.handlers import REDUCER
from geraniumhall_core.performers import Performers
from geraniumhall_core.reducer import Effect, Event
from geraniumhall_core.senders import SenderScreen
from geraniumhall_core.state import DaemonState
from geraniumhall_daemon.budgets import LimitLog, build_budget
from geraniumhall_daemon.clock import SystemClock
from geraniumhall_daemon.exchanges import Exchange
from geraniumhall_daemon.expiries import Expiries
from geraniumhall_daemon.metrics import MetricsSink
from geraniumhall_net.budget import MemoryBudget, ParsingPace
from geraniumhall_net.client import ClientPool, Connector, connect_tcp
from geraniumhall_net.drivers import PLATFORM_DRIVERS, PlatformDriver
from geraniumhall_net.listener import Listener
from geraniumhall_wire.description import describe
from geraniumhall_wire.fronts import FRONTS, Front
from geraniumhall_wire.settings import Settings

TICK_SECONDS = 0.1
INCARNATION_RANDOM_BITS = 16
MILLISECONDS_PER_SECOND = 1000
MAX_HISTORY_STEPS = 128

PERFORMERS = Performers("daemon")


class Clock(Protocol):
    """Source of monotonic and wall time, in seconds."""

    def read_now(self) -> float:
        """Return monotonic time, including time in suspend."""

    def read_wall_time(self) -> float:
        """Return seconds since the epoch."""


class Recorder(Protocol):
    """Records each event together with its effects."""

    def record(self, event: Event, effects: tuple[Effect, ...]) -> None:
        """Record one event and the effects that it caused."""

    def describe_steps(self) -> list[Any]:
        """Return the recorded steps as plain data, without secrets."""


@attrs.define
class RecentHistory:
    """The last `MAX_HISTORY_STEPS` events with their effects, for the state dump.

    Of a request only the start of what its caller chose is kept.
    """

    steps: deque[tuple[Event, tuple[Effect, ...]]] = attrs.field(
        factory=lambda: deque(maxlen=MAX_HISTORY_STEPS)
    )

    def record(self, event: Event, effects: tuple[Effect, ...]) -> None:
        """Append one step; a full history drops its oldest step."""
        if isinstance(event, RequestArrived | RequestAbandoned):
            event = attrs.evolve(event, request=event.request.shorten())
        self.steps.append((event, effects))

    def describe_steps(self) -> list[Any]:
        """Return the recorded steps, oldest first."""
        return describe(self.steps)


@attrs.define(eq=False, kw_only=True)
class Daemon:
    """A daemon process on a trio event loop.

    `is_stopping` is set once the reducer has ended the process, and `stopped`
    once no exchange is open either.
    """

    settings: Settings
    connector: Connector
    state: DaemonState
    clock: Clock
    random: Random
    platform: PlatformDriver
    pool: ClientPool
    metrics: MetricsSink
    front: Front
    recorder: Recorder
    limit_log: LimitLog
    budget: MemoryBudget = attrs.field(factory=MemoryBudget)
    pace: ParsingPace = attrs.field(factory=ParsingPace)
    senders: SenderScreen = attrs.field(factory=SenderScreen)
    exchanges: dict[str, Exchange] = attrs.field(factory=dict)
    expiries: Expiries = attrs.field(factory=Expiries)
    admin_calls: dict[int, trio.MemorySendChannel] = attrs.field(factory=dict)
    listeners: list[Listener] = attrs.field(factory=list)
    peers_socket: trio.socket.SocketType | None = None
    nursery: trio.Nursery | None = None
    is_stopping: bool = False
    stopped: trio.Event = attrs.field(factory=trio.Event)
    _pending_events: deque[Event] = attrs.field(factory=deque)
    _is_dispatching: bool = False
    _ids: count = attrs.field(factory=lambda: count(1))

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        clock: Clock | None = None,
        random: Random | None = None,
        connector: Connector = connect_tcp,
        recorder: Recorder | None = None,
    ) -> "Daemon":
        """Build a daemon from its settings, without starting it."""
        random = random or Random()
        clock = clock or SystemClock()
        policy = settings.build_policy(_generate_incarnation(clock, random))
        metrics = MetricsSink.from_settings(settings.metrics)
        limit_log = LimitLog(metrics)
        budget = build_budget(settings.callers, settings.host, limit_log)
        pool = ClientPool(
            connector=connector,
            connect_timeout=settings.upstream.connect_timeout,
            idle_timeout=settings.upstream.idle_timeout,
            max_idle=settings.upstream.max_idle,
            is_short=lambda: budget.is_short,
            pace=ParsingPace(
                settings.upstream.max_chunk_rate,
                on_wait=lambda: limit_log.record_limit("answer_paced"),
            ),
        )
        return cls(
            settings=settings,
            connector=connector,
            state=DaemonState.from_policy(policy),
            clock=clock,
            random=random,
            platform=_build_driver(settings, connector),
            front=FRONTS.find(settings.callers.front)(),
            pool=pool,
            metrics=metrics,
            recorder=recorder or RecentHistory(),
            budget=budget,
            pace=ParsingPace(
                settings.callers.max_chunk_rate,
                on_wait=lambda: limit_log.record_limit("paced"),
            ),
            limit_log=limit_log,
        )

    def change_settings(self, settings: Settings) -> None:
        """Apply new settings to the platform's driver, the policy and new requests.

        What was built at the start stays as it is: bound addresses, the front,
        the pool of connections to backend servers, the budget of memory and the
        export of metrics.
        """
        if settings.platform != self.settings.platform:
            self.platform = _build_driver(settings, self.connector)
        self.settings = settings
        policy = settings.build_policy(self.state.policy.incarnation)
        self.dispatch(SettingsChanged(at=self.read_now(), policy=policy))

    def dispatch(self, event: Event) -> None:
        """Reduce an event and perform its effects.

        An event dispatched by a performer is queued until the current one is
        done, so events are reduced one at a time, in order of arrival.
        """
        self._pending_events.append(event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._pending_events:
                self._reduce(self._pending_events.popleft())
        finally:
            self._is_dispatching = False

    def end_exchange(self, request_id: str) -> None:
        """Remove an exchange that has finished."""
        del self.exchanges[request_id]
        self.stop_when_idle()

    def stop_when_idle(self) -> None:
        """Stop the process if a stop is pending and no exchange is open."""
        if self.is_stopping and not self.exchanges:
            self.stopped.set()

    def read_now(self) -> float:
        """Return monotonic time in seconds, as events carry it."""
        return self.clock.read_now()

    def draw(self) -> tuple[float, float]:
        """Return two random numbers in [0, 1) for an event."""
        return self.random.random(), self.random.random()

    def generate_request_id(self) -> str:
        """Return a request id that is unique across hosts and restarts."""
        policy = self.state.policy
        return f"{policy.host}-{policy.incarnation:x}-{next(self._ids)}"

    def next_call_id(self) -> int:
        """Return an admin call id that is unique within this process."""
        return next(self._ids)

    async def run_timers(self) -> None:
        """Dispatch the start event, then a tick every `TICK_SECONDS` until stopped."""
        self.dispatch(DaemonStarted(at=self.read_now()))
        while not self.stopped.is_set():
            self.expiries.cancel_expired(self.read_now())
            self.dispatch(
                Ticked(
                    at=self.read_now(),
                    wall_time=self.clock.read_wall_time(),
                    draws=self.draw(),
                )
            )
            await self.pool.close_expired()
            with trio.move_on_after(TICK_SECONDS):
                await self.stopped.wait()

    def _reduce(self, event: Event) -> None:
        effects = REDUCER.reduce(self.state, event)
        self.recorder.record(event, effects)
        for effect in effects:
            self._perform(effect)

    def _perform(self, effect: Effect) -> None:
        performer = PERFORMERS.find(effect)
        if performer.is_task:
            assert self.nursery is not None
            self.nursery.start_soon(performer.function, self, effect)
        else:
            performer.function(self, effect)


def _build_driver(settings: Settings, connector: Connector) -> PlatformDriver:
    return PLATFORM_DRIVERS.find(settings.platform.driver)(settings, connector)


def _generate_incarnation(clock: Clock, random: Random) -> int:
    """Return a number greater than that of any earlier process.

    It is the wall time in milliseconds, followed by random bits.
    """
    milliseconds = int(clock.read_wall_time() * MILLISECONDS_PER_SECOND)
    bits = random.getrandbits(INCARNATION_RANDOM_BITS)
    return (milliseconds << INCARNATION_RANDOM_BITS) | bits
