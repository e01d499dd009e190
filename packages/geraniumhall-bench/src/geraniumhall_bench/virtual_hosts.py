"""Several daemons' reducers in one process, on a virtual clock.

The interfaces around the reducers are small fakes: the platform's model, peer
calls with a fixed latency, and backend servers that answer after a fixed
time. A test or benchmark cuts, pauses, kills and restarts at will. There is
no model of a network or of engines here.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

import attrs

from geraniumhall_core.admin import AdminAnswer, AdminCommand
from geraniumhall_core.effects import (
    AbortResponse,
    AnswerAdmin,
    AnswerPeer,
    CallPeer,
    CallPlatform,
    CloseExchange,
    EmitMetrics,
    EndProcess,
    RefuseRequest,
    RelayRequest,
    SendOrder,
    StopListening,
    WriteDump,
    WriteLog,
)
from geraniumhall_core.events import (
    AdminCalled,
    AttemptEnded,
    DaemonStarted,
    OrderAnswered,
    PeerAnswered,
    PeerCalled,
    PlatformAnswered,
    RequestArrived,
    Ticked,
)
from geraniumhall_core.handlers import REDUCER
from geraniumhall_core.orders import OrderIntent, OrderOutcome
from geraniumhall_core.peering import BorrowRequest, PeerAnswer, PeerFailure
from geraniumhall_core.performers import Performers
from geraniumhall_core.platform import Answer, PlatformFailure
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
from geraniumhall_core.requests import AttemptOutcome, CallerRequest
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict

PLATFORM_NAME = "platform"
TICK_SECONDS = 0.25
PLATFORM_TICK_SECONDS = 0.25
PLATFORM_TIMEOUT_SECONDS = 2.0
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


@attrs.define
class VirtualServer:
    """A backend server and the orders that it took, in order."""

    taken: list[tuple[float, OrderIntent]] = attrs.field(factory=list)
    highest_token: int = 0

    def take(self, at: float, intent: OrderIntent, checks_fencing: bool) -> bool:
        """Take an order, or reject it for its token."""
        if checks_fencing and intent.fencing_token < self.highest_token:
            return False
        self.highest_token = max(self.highest_token, intent.fencing_token)
        self.taken.append((at, intent))
        return True


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
    lost_order_answers: int = 0
    order_latency: float = 0.01
    servers: dict[str, VirtualServer] = attrs.field(factory=dict)
    started: list[Started] = attrs.field(factory=list)
    refused: list[Refused] = attrs.field(factory=list)
    admin_answers: dict[int, AdminAnswer] = attrs.field(factory=dict)
    borrow_calls: int = 0
    platform_messages: list[Any] = attrs.field(factory=list)
    _agenda: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _ids: count = attrs.field(factory=lambda: count(1))
    _platform_calls: dict[int, Callable[[Answer], None]] = attrs.field(factory=dict)
    _peer_replies: dict[int, Callable[[PeerAnswer], None]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._schedule(PLATFORM_TICK_SECONDS, self._tick_platform)

    def start(self, host: str, failure_domain: str = "a", **policy: Any) -> None:
        """Start a daemon, or start it anew with another incarnation."""
        fixed = Policy(
            host=host,
            failure_domain=failure_domain,
            incarnation=next(self._ids),
            **policy,
        )
        daemon = VirtualDaemon(DaemonState.from_policy(fixed))
        self.daemons[host] = daemon
        self.send(daemon, lambda at: DaemonStarted(at=at, peer_address=host))
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
        self, host: str, message: Any, reply: Callable[[Answer], None]
    ) -> None:
        """Carry a call to the platform and its answer back."""
        if (host, PLATFORM_NAME) in self.cuts:
            lost = PlatformFailure("cut off", Verdict.MAY_HAVE_RUN)
            self._schedule(PLATFORM_TIMEOUT_SECONDS, lambda: reply(lost))
            return
        call_id = next(self._ids)
        self._platform_calls[call_id] = lambda answer: self._return(host, reply, answer)
        self._schedule(
            self.platform_latency, lambda: self._reach_platform(call_id, message)
        )

    def call_peer(self, host: str, effect: CallPeer, reply: Callable) -> None:
        """Carry a call to another daemon and its answer back."""
        self.borrow_calls += isinstance(effect.message, BorrowRequest)
        target = self.daemons.get(effect.address)
        failure = PeerFailure("no answer in time")
        is_done: list[bool] = []

        def finish(answer: PeerAnswer) -> None:
            if not is_done:
                is_done.append(True)
                reply(answer)

        self._schedule(effect.timeout, lambda: finish(failure))
        if target is None or (host, effect.address) in self.cuts:
            return
        call_id = next(self._ids)

        def carry_back(answer: PeerAnswer) -> None:
            if (effect.address, host) not in self.cuts:
                self._schedule(self.peer_latency, lambda: finish(answer))

        self._peer_replies[call_id] = carry_back
        message = effect.message
        self._schedule(
            self.peer_latency,
            lambda: self.send(
                target, lambda at: PeerCalled(at=at, call_id=call_id, message=message)
            ),
        )

    def answer_peer(self, call_id: int, answer: PeerAnswer) -> None:
        """Carry a daemon's answer back to the caller."""
        self._peer_replies.pop(call_id)(answer)

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        heappush(self._agenda, (self.now + delay, next(self._ids), action))

    def _tick(self, daemon: VirtualDaemon) -> None:
        if daemon.is_alive:
            if not daemon.is_paused:
                self.send(
                    daemon,
                    lambda at: Ticked(at=at, wall_time=at, draws=self.draw()),
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
        self, host: str, reply: Callable[[Answer], None], answer: Answer
    ) -> None:
        is_lost = self.lost_replies > 0 or (PLATFORM_NAME, host) in self.cuts
        if is_lost:
            self.lost_replies = max(0, self.lost_replies - 1)
            answer = PlatformFailure("reply lost", Verdict.MAY_HAVE_RUN)
            self._schedule(PLATFORM_TIMEOUT_SECONDS, _bind(reply, answer))
            return
        reply(answer)


def _bind(function: Callable[[Any], None], value: Any) -> Callable[[], None]:
    return lambda: function(value)


Place = tuple[VirtualHosts, VirtualDaemon]


@VIRTUAL_PERFORMERS.performs(CallPlatform)
def call_platform(place: Place, effect: CallPlatform) -> None:
    """Call the platform after the effect's delay."""
    hosts, daemon = place

    def begin() -> None:
        asked_at = hosts.now

        def reply(answer: Answer) -> None:
            hosts.send(
                daemon,
                lambda at: PlatformAnswered(
                    at=at,
                    asked_at=asked_at,
                    wall_time=at,
                    purpose=effect.purpose,
                    answer=answer,
                    draws=hosts.draw(),
                ),
            )

        hosts.call_platform(daemon.state.policy.host, effect.message, reply)

    hosts.after(effect.delay, begin)


@VIRTUAL_PERFORMERS.performs(CallPeer)
def call_peer(place: Place, effect: CallPeer) -> None:
    """Call another daemon."""
    hosts, daemon = place
    asked_at = hosts.now

    def reply(answer: PeerAnswer) -> None:
        hosts.send(
            daemon,
            lambda at: PeerAnswered(
                at=at,
                asked_at=asked_at,
                host=effect.host,
                message=effect.message,
                answer=answer,
                draws=hosts.draw(),
            ),
        )

    hosts.call_peer(daemon.state.policy.host, effect, reply)


@VIRTUAL_PERFORMERS.performs(AnswerPeer)
def answer_peer(place: Place, effect: AnswerPeer) -> None:
    """Answer another daemon."""
    place[0].answer_peer(effect.call_id, effect.answer)


@VIRTUAL_PERFORMERS.performs(RelayRequest)
def relay_request(place: Place, effect: RelayRequest) -> None:
    """Let a backend server answer after the fixed time."""
    hosts, daemon = place
    record = daemon.state.requests[effect.request_id]
    host = daemon.state.policy.host
    hosts.started.append(Started(hosts.now, host, record.workspace, effect))

    def end() -> None:
        hosts.send(
            daemon,
            lambda at: AttemptEnded(
                at=at,
                request_id=effect.request_id,
                attempt_id=effect.attempt_id,
                outcome=AttemptOutcome.COMPLETED,
                verdict=Verdict.RAN,
                wall_time=at,
                draws=hosts.draw(),
                prompt_tokens=PROMPT_TOKENS,
                generated_tokens=GENERATED_TOKENS,
            ),
        )

    hosts.after(hosts.service_seconds, end)


@VIRTUAL_PERFORMERS.performs(SendOrder)
def send_order(place: Place, effect: SendOrder) -> None:
    """Carry an order to a backend server and its answer back.

    A daemon paused now sends the order when it goes on.
    """
    hosts, daemon = place
    hosts.after(hosts.order_latency, lambda: hosts.reach_server(daemon, effect))


@VIRTUAL_PERFORMERS.performs(RefuseRequest)
def refuse_request(place: Place, effect: RefuseRequest) -> None:
    """Note a refusal."""
    hosts, daemon = place
    host = daemon.state.policy.host
    refused = Refused(hosts.now, host, effect.request_id, effect.refusal)
    hosts.refused.append(refused)


@VIRTUAL_PERFORMERS.performs(AnswerAdmin)
def answer_admin(place: Place, effect: AnswerAdmin) -> None:
    """Keep an answer to an operator."""
    place[0].admin_answers[effect.call_id] = effect.answer


@VIRTUAL_PERFORMERS.performs(WriteLog)
def keep_log(place: Place, effect: WriteLog) -> None:
    """Keep a log line."""
    place[1].log.append(effect)


@VIRTUAL_PERFORMERS.performs(EndProcess)
def end_process(place: Place, effect: EndProcess) -> None:
    """End the daemon."""
    place[1].is_alive = False


@VIRTUAL_PERFORMERS.performs(
    AbortResponse, CloseExchange, EmitMetrics, StopListening, WriteDump
)
def ignore_effect(place: Place, effect: Any) -> None:
    """Do nothing; no caller or operator is there to see it."""
