"""Several daemons' reducers in one process, on a virtual clock.

The interfaces around the reducers are small fakes: the platform's model,
messages between hosts with a fixed latency, and backend servers that answer
after a fixed time. A test or benchmark cuts, pauses, kills and restarts at
will. There is no model of a network or of engines here.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

import attrs

from geraniumhall_bench.virtual.servers import VirtualServer
from geraniumhall_core.admin import AdminAnswer, AdminCommand
from geraniumhall_core.effects import RelayRequest, SendOrder, SendToPeers, WriteLog
from geraniumhall_core.events import (
    AdminCalled,
    DaemonStarted,
    OrderAnswered,
    PeerMessageReceived,
    RequestArrived,
    Ticked,
)
from geraniumhall_core.handlers import REDUCER
from geraniumhall_core.orders import OrderOutcome
from geraniumhall_core.performers import Performers
from geraniumhall_core.platform import PlatformAnswer, PlatformFailure
from geraniumhall_core.platform_model import (
    PLATFORM,
    AnswerCall,
    CallReceived,
    ClockAdvanced,
    PlatformState,
)
from geraniumhall_core.policy import Policy
from geraniumhall_core.reducer import Event
from geraniumhall_core.refusals import Refusal
from geraniumhall_core.requests import CallerRequest
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict

PLATFORM_NAME = "platform"
TICK_SECONDS = 0.25
PLATFORM_TICK_SECONDS = 0.25
PLATFORM_TIMEOUT_SECONDS = 2.0
PLATFORM_DELAY_SECONDS = 7.0
PROMPT_TOKENS = 3
GENERATED_TOKENS = 5

EventBuilder = Callable[[float], Event]

VIRTUAL_PERFORMERS = Performers("virtual host")


@attrs.define
class VirtualDaemon:
    """One daemon; `inbox` holds what arrived while it was paused."""

    state: DaemonState
    is_alive: bool = True
    is_paused: bool = False
    inbox: list[EventBuilder] = attrs.field(factory=list)
    log: list[WriteLog] = attrs.field(factory=list)


@attrs.frozen
class Started:
    """A request that was sent to a backend server."""

    at: float
    host: str
    workspace: str
    effect: RelayRequest


@attrs.frozen
class Refused:
    """A request that was refused."""

    at: float
    host: str
    request_id: str
    refusal: Refusal


@attrs.define(eq=False)
class VirtualHosts:
    """Some daemons and their fakes; times are in seconds."""

    random: Random
    platform_latency: float = 0.003
    peer_latency: float = 0.0015
    service_seconds: float = 0.05
    now: float = 0.0
    platform: PlatformState = attrs.field(factory=PlatformState)
    daemons: dict[str, VirtualDaemon] = attrs.field(factory=dict)
    cuts: set[tuple[str, str]] = attrs.field(factory=set)
    lost_replies: int = 0
    delays: list[Callable[[Any], bool]] = attrs.field(factory=list)
    lost_order_answers: int = 0
    order_latency: float = 0.01
    servers: dict[str, VirtualServer] = attrs.field(factory=dict)
    started: list[Started] = attrs.field(factory=list)
    refused: list[Refused] = attrs.field(factory=list)
    admin_answers: dict[int, AdminAnswer] = attrs.field(factory=dict)
    platform_messages: list[Any] = attrs.field(factory=list)
    _agenda: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _ids: count = attrs.field(factory=lambda: count(1))
    _platform_calls: dict[int, Callable[[PlatformAnswer], None]] = attrs.field(
        factory=dict
    )

    def __attrs_post_init__(self) -> None:
        self._schedule(PLATFORM_TICK_SECONDS, self._tick_platform)

    def start(self, host: str, failure_domain: str = "a", **policy: Any) -> None:
        """Start a daemon, or start it anew with another incarnation."""
        fixed = Policy(
            host=host,
            failure_domain=failure_domain,
            incarnation=next(self._ids),
            peer_address=host,
            **policy,
        )
        daemon = VirtualDaemon(DaemonState.from_policy(fixed))
        self.daemons[host] = daemon
        self.send(daemon, lambda at: DaemonStarted(at=at))
        self._schedule(self.random.random() * TICK_SECONDS, lambda: self._tick(daemon))

    def kill(self, host: str) -> None:
        """End a daemon at once; what it had sent goes on."""
        self.daemons[host].is_alive = False

    def pause(self, host: str) -> None:
        """Stop a daemon; events for it wait."""
        self.daemons[host].is_paused = True

    def resume(self, host: str) -> None:
        """Let a paused daemon go on, with what arrived meanwhile."""
        daemon = self.daemons[host]
        daemon.is_paused = False
        waiting, daemon.inbox = daemon.inbox, []
        for build in waiting:
            self.send(daemon, build)

    def cut(self, one: str, other: str, both_ways: bool = True) -> None:
        """Lose what `one` sends to `other`, and by default the reverse."""
        self.cuts.add((one, other))
        if both_ways:
            self.cuts.add((other, one))

    def heal(self) -> None:
        """Undo all cuts."""
        self.cuts.clear()

    def send(self, daemon: VirtualDaemon, build: EventBuilder) -> None:
        """Give an event to a daemon and perform the effects."""
        if not daemon.is_alive:
            return
        if daemon.is_paused:
            daemon.inbox.append(build)
            return
        for effect in REDUCER.reduce(daemon.state, build(self.now)):
            VIRTUAL_PERFORMERS.find(effect).function((self, daemon), effect)

    def request(self, host: str, request: CallerRequest) -> None:
        """Let a request arrive at a daemon."""
        daemon = self.daemons[host]
        draws = (self.random.random(), self.random.random())
        self.send(
            daemon, lambda at: RequestArrived(at=at, request=request, draws=draws)
        )

    def call_admin(self, host: str, command: AdminCommand) -> int:
        """Send an operator's command; the answer comes under this number."""
        call_id = next(self._ids)
        daemon = self.daemons[host]
        self.send(
            daemon, lambda at: AdminCalled(at=at, call_id=call_id, command=command)
        )
        return call_id

    def run_for(self, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.now + seconds
        while self._agenda and self._agenda[0][0] <= end:
            self.now, _, action = heappop(self._agenda)
            action()
        self.now = end

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something later."""
        self._schedule(seconds, action)

    def reach_server(self, daemon: VirtualDaemon, effect: SendOrder) -> None:
        """Let a backend server take an order, unless the sender is paused.

        An order of a killed sender may have left before, so it arrives.
        """
        if daemon.is_paused:
            self._schedule(TICK_SECONDS, lambda: self.reach_server(daemon, effect))
            return
        server = self.servers.setdefault(effect.server, VirtualServer())
        checks = daemon.state.catalogue.servers[effect.server].checks_fencing
        is_taken = server.take(self.now, effect.intent, checks)
        outcome = OrderOutcome.ACCEPTED if is_taken else OrderOutcome.REJECTED
        if self.lost_order_answers:
            self.lost_order_answers -= 1
            outcome = OrderOutcome.UNKNOWN
        self.send(
            daemon,
            lambda at: OrderAnswered(
                at=at,
                server=effect.server,
                intent=effect.intent,
                version=effect.version,
                outcome=outcome,
            ),
        )

    def draw(self) -> tuple[float, float]:
        """Return two random numbers for an event."""
        return self.random.random(), self.random.random()

    def call_platform(
        self, host: str, message: Any, reply: Callable[[PlatformAnswer], None]
    ) -> None:
        """Carry a call to the platform and its answer back."""
        if (host, PLATFORM_NAME) in self.cuts:
            lost = PlatformFailure("cut off", Verdict.MAY_HAVE_RUN)
            self._schedule(PLATFORM_TIMEOUT_SECONDS, lambda: reply(lost))
            return
        call_id = next(self._ids)
        latency = self.platform_latency
        self._platform_calls[call_id] = lambda answer: self._return(host, reply, answer)
        if self._take_delay(message):
            latency = PLATFORM_DELAY_SECONDS
            self._platform_calls[call_id] = _ignore
            lost = PlatformFailure("no reply in time", Verdict.MAY_HAVE_RUN)
            self._schedule(PLATFORM_TIMEOUT_SECONDS, lambda: reply(lost))
        self._schedule(latency, lambda: self._reach_platform(call_id, message))

    def _take_delay(self, message: Any) -> bool:
        """Tell whether a message is one whose delay was asked for."""
        for index, is_meant in enumerate(self.delays):
            if is_meant(message):
                del self.delays[index]
                return True
        return False

    def send_to_peers(self, host: str, effect: SendToPeers) -> None:
        """Carry a message to the daemons that can be reached."""
        for address in effect.addresses:
            target = self.daemons.get(address)
            if target is not None and (host, address) not in self.cuts:
                self._schedule(self.peer_latency, self._deliver(target, effect))

    def _deliver(self, target: VirtualDaemon, effect: SendToPeers) -> Callable:
        message = effect.message
        return lambda: self.send(
            target,
            lambda at: PeerMessageReceived(at=at, message=message, draws=self.draw()),
        )

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        heappush(self._agenda, (self.now + delay, next(self._ids), action))

    def _tick(self, daemon: VirtualDaemon) -> None:
        if daemon.is_alive:
            if not daemon.is_paused:
                self.send(
                    daemon, lambda at: Ticked(at=at, wall_time=at, draws=self.draw())
                )
            self._schedule(TICK_SECONDS, lambda: self._tick(daemon))

    def _tick_platform(self) -> None:
        self._apply_to_platform(ClockAdvanced(at=self.now))
        self._schedule(PLATFORM_TICK_SECONDS, self._tick_platform)

    def _reach_platform(self, call_id: int, message: Any) -> None:
        self.platform_messages.append(message)
        event = CallReceived(at=self.now, call_id=call_id, message=message)
        self._apply_to_platform(event)

    def _apply_to_platform(self, event: Event) -> None:
        for effect in PLATFORM.reduce(self.platform, event):
            assert isinstance(effect, AnswerCall)
            answer = effect.answer
            reply = self._platform_calls.pop(effect.call_id)
            self._schedule(self.platform_latency, _bind(reply, answer))

    def _return(
        self, host: str, reply: Callable[[PlatformAnswer], None], answer: PlatformAnswer
    ) -> None:
        is_lost = self.lost_replies > 0 or (PLATFORM_NAME, host) in self.cuts
        if is_lost:
            self.lost_replies = max(0, self.lost_replies - 1)
            answer = PlatformFailure("reply lost", Verdict.MAY_HAVE_RUN)
            self._schedule(PLATFORM_TIMEOUT_SECONDS, _bind(reply, answer))
            return
        reply(answer)


def _ignore(answer: PlatformAnswer) -> None:
    """Take an answer that nobody waits for any more."""


def _bind(function: Callable[[Any], None], value: Any) -> Callable[[], None]:
    return lambda: function(value)
