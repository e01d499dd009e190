"""Simulate several daemons in one process, on a virtual clock.

Each daemon runs the real reducer. Its environment is simulated: the model of
the platform, messages between hosts with a fixed latency, and backend servers
that complete every request after a fixed time. Tests inject faults: blocked
links, lost or delayed platform calls, and daemons that are paused, killed or
restarted. Network bandwidth and engine load are not modelled.

All randomness comes from the generator that the caller passes in, and actions
run in the order of their virtual time, so a seeded run is reproducible.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

import attrs

from geraniumhall_bench.simulation.engines import SimulatedEngines
from geraniumhall_bench.simulation.notices import SimulatedNotices
from geraniumhall_bench.simulation.records import (
    DeliveredDuty,
    EventBuilder,
    RefusedRequest,
    RelayedRequest,
    SimulatedDaemon,
)
from geraniumhall_bench.simulation.servers import SimulatedServer
from geraniumhall_core.admin import AdminAnswer, AdminCommand
from geraniumhall_core.effects import SendOrder, SendToPeers
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
from geraniumhall_core.platform import (
    DutyMessage,
    PlatformAnswer,
    PlatformFailure,
    PutObject,
)
from geraniumhall_core.platform_model import (
    PLATFORM,
    AnswerCall,
    CallReceived,
    ClockAdvanced,
    PlatformState,
    StoreCopied,
    StoreRewound,
)
from geraniumhall_core.policy import Policy
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.reducer import Event
from geraniumhall_core.requests import CallerRequest
from geraniumhall_core.revisions import NO_REVISION
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict

PLATFORM_NAME = "platform"
TICK_SECONDS = 0.25
PLATFORM_TICK_SECONDS = 0.25
PLATFORM_TIMEOUT_SECONDS = 2.0
PLATFORM_DELAY_SECONDS = 7.0  # the caller has timed out when the call arrives
# Every simulated attempt reports this usage.
PROMPT_TOKENS = 3
GENERATED_TOKENS = 5

SIMULATION_PERFORMERS = Performers("simulated daemon")


@attrs.define(eq=False)
class SimulatedCluster:
    """Daemons, the platform, backend servers and the links between them.

    Latencies and times are in seconds. `blocked_links` holds pairs of sender
    and receiver, each a host's name or `PLATFORM_NAME`. `replies_to_drop` and
    `order_answers_to_drop` count the next answers that are lost on their way
    back. Each predicate in `delayed_calls` delays the first platform call that
    it matches by `PLATFORM_DELAY_SECONDS`. `duty_latencies` holds the latency of
    duty calls of hosts whose packets are lost on the way and sent again.
    `peer_loss` is the fraction of messages between hosts that are lost.
    """

    random: Random
    platform_latency: float = 0.003
    peer_latency: float = 0.0015
    service_seconds: float = 0.05
    now: float = 0.0
    platform: PlatformState = attrs.field(factory=PlatformState)
    daemons: dict[str, SimulatedDaemon] = attrs.field(factory=dict)
    blocked_links: set[tuple[str, str]] = attrs.field(factory=set)
    replies_to_drop: int = 0
    delayed_calls: list[Callable[[Any], bool]] = attrs.field(factory=list)
    order_answers_to_drop: int = 0
    order_latency: float = 0.01
    servers: dict[str, SimulatedServer] = attrs.field(factory=dict)
    engines: SimulatedEngines = attrs.field(factory=SimulatedEngines)
    notices: SimulatedNotices = attrs.field(factory=SimulatedNotices)
    peer_loss: float = 0.0
    relayed_requests: list[RelayedRequest] = attrs.field(factory=list)
    refused_requests: list[RefusedRequest] = attrs.field(factory=list)
    admin_answers: dict[int, AdminAnswer] = attrs.field(factory=dict)
    platform_messages: list[Any] = attrs.field(factory=list)
    delivered_duties: list[DeliveredDuty] = attrs.field(factory=list)
    duty_latencies: dict[str, float] = attrs.field(factory=dict)
    _scheduled_actions: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    _ids: count = attrs.field(factory=lambda: count(1))
    _pending_platform_calls: dict[int, Callable[[PlatformAnswer], None]] = attrs.field(
        factory=dict
    )

    def __attrs_post_init__(self) -> None:
        self._schedule(PLATFORM_TICK_SECONDS, self._tick_platform)

    def start(self, host: str, failure_domain: str = "a", **policy: Any) -> None:
        """Start a daemon with a new incarnation, replacing any earlier one."""
        daemon_policy = Policy(
            host=host,
            failure_domain=failure_domain,
            incarnation=next(self._ids),
            peer_address=host,
            **policy,
        )
        daemon = SimulatedDaemon(DaemonState.from_policy(daemon_policy))
        self.daemons[host] = daemon
        self.dispatch(daemon, lambda at: DaemonStarted(at=at))
        self._schedule(self.random.random() * TICK_SECONDS, lambda: self._tick(daemon))

    def kill(self, host: str) -> None:
        """Stop a daemon at once; messages that it sent are still delivered."""
        self.daemons[host].is_alive = False

    def pause(self, host: str) -> None:
        """Suspend a daemon; its events are queued until it is resumed."""
        self.daemons[host].is_paused = True

    def resume(self, host: str) -> None:
        """Resume a paused daemon and dispatch the events queued meanwhile."""
        daemon = self.daemons[host]
        daemon.is_paused = False
        waiting, daemon.inbox = daemon.inbox, []
        for build_event in waiting:
            self.dispatch(daemon, build_event)

    def block_link(self, source: str, target: str, both_ways: bool = True) -> None:
        """Drop messages from `source` to `target`, by default in both directions."""
        self.blocked_links.add((source, target))
        if both_ways:
            self.blocked_links.add((target, source))

    def write_object(self, key: ObjectKey, record: Any) -> None:
        """Write an object whatever its version, as others than hosts do."""
        current = self.platform.objects.get(key)
        expected = current.version if current else NO_REVISION
        call_id = next(self._ids)
        self._pending_platform_calls[call_id] = _discard_answer
        message = PutObject(key, record, expected)
        self._apply_to_platform(
            CallReceived(at=self.now, call_id=call_id, message=message)
        )

    def copy_store(self) -> None:
        """Make the copy from which `rewind_store` brings the platform's store back."""
        self._apply_to_platform(StoreCopied(at=self.now))

    def rewind_store(self) -> None:
        """Bring the platform's store back from its copy, in the next era."""
        self._apply_to_platform(StoreRewound(at=self.now))

    def heal(self) -> None:
        """Unblock all links."""
        self.blocked_links.clear()

    def dispatch(self, daemon: SimulatedDaemon, build_event: EventBuilder) -> None:
        """Reduce an event and perform its effects.

        Events for a killed daemon are dropped.
        """
        if not daemon.is_alive:
            return
        if daemon.is_paused:
            daemon.inbox.append(build_event)
            return
        for effect in REDUCER.reduce(daemon.state, build_event(self.now)):
            SIMULATION_PERFORMERS.find(effect).function((self, daemon), effect)

    def request(self, host: str, request: CallerRequest) -> None:
        """Send a caller's request to a daemon."""
        daemon = self.daemons[host]
        draws = (self.random.random(), self.random.random())
        self.dispatch(
            daemon, lambda at: RequestArrived(at=at, request=request, draws=draws)
        )

    def call_admin(self, host: str, command: AdminCommand) -> int:
        """Send an admin command and return the key of its entry in `admin_answers`."""
        call_id = next(self._ids)
        daemon = self.daemons[host]
        self.dispatch(
            daemon, lambda at: AdminCalled(at=at, call_id=call_id, command=command)
        )
        return call_id

    def run_for(self, seconds: float) -> None:
        """Advance virtual time, running the actions that come due."""
        end = self.now + seconds
        while self._scheduled_actions and self._scheduled_actions[0][0] <= end:
            self.now, _, action = heappop(self._scheduled_actions)
            action()
        self.now = end

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after `seconds` of virtual time."""
        self._schedule(seconds, action)

    def deliver_order(self, daemon: SimulatedDaemon, effect: SendOrder) -> None:
        """Deliver an order to a backend server and dispatch the answer.

        While the sender is paused, delivery is retried every tick. An order of
        a killed sender is still delivered, since it may have been sent before
        the kill.
        """
        if daemon.is_paused:
            self._schedule(TICK_SECONDS, lambda: self.deliver_order(daemon, effect))
            return
        server = self.servers.setdefault(effect.server, SimulatedServer())
        checks = daemon.state.catalogue.servers[effect.server].checks_fencing
        is_accepted = server.accept_order(self.now, effect.intent, checks)
        outcome = OrderOutcome.ACCEPTED if is_accepted else OrderOutcome.REJECTED
        if self.order_answers_to_drop:
            self.order_answers_to_drop -= 1
            outcome = OrderOutcome.UNKNOWN
        self.dispatch(
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
        """Return two random numbers in [0, 1) for the `draws` of an event."""
        return self.random.random(), self.random.random()

    def call_platform(
        self,
        host: str,
        message: Any,
        reply: Callable[[PlatformAnswer], None],
        expires_at: float | None = None,
    ) -> None:
        """Deliver a call to the platform and pass the answer to `reply`.

        A lost request or answer fails the call with `PlatformFailure`,
        `PLATFORM_TIMEOUT_SECONDS` after the loss. A delayed call fails that
        long after it was sent, but still takes effect when it arrives. A call
        that has not arrived by `expires_at` is lost.
        """
        if (host, PLATFORM_NAME) in self.blocked_links:
            lost = PlatformFailure("link is blocked", Verdict.MAY_HAVE_RUN)
            self._schedule(PLATFORM_TIMEOUT_SECONDS, lambda: reply(lost))
            return
        call_id = next(self._ids)
        latency = self.platform_latency
        if isinstance(message, DutyMessage):
            latency = self.duty_latencies.get(host, latency)
        self._pending_platform_calls[call_id] = lambda answer: self._return_answer(
            host, reply, answer
        )
        if self._consume_delay(message):
            latency = PLATFORM_DELAY_SECONDS
            self._pending_platform_calls[call_id] = _discard_answer
            lost = PlatformFailure("reply timed out", Verdict.MAY_HAVE_RUN)
            self._schedule(PLATFORM_TIMEOUT_SECONDS, lambda: reply(lost))
        daemon = self.daemons[host]
        self._schedule(
            latency, lambda: self._deliver_call(daemon, call_id, message, expires_at)
        )

    def _deliver_call(
        self,
        sender: SimulatedDaemon,
        call_id: int,
        message: Any,
        expires_at: float | None,
    ) -> None:
        """Deliver a call, unless its sender has reset the connection.

        A paused sender sends nothing again until it is resumed. What a killed
        one has sent still arrives.
        """
        if sender.is_paused and sender.is_alive:
            self._schedule(
                TICK_SECONDS,
                lambda: self._deliver_call(sender, call_id, message, expires_at),
            )
        elif sender.is_alive and expires_at is not None and self.now >= expires_at:
            reply = self._pending_platform_calls.pop(call_id)
            reply(PlatformFailure("the call has expired", Verdict.MAY_HAVE_RUN))
        else:
            self._deliver_to_platform(call_id, message)

    def _consume_delay(self, message: Any) -> bool:
        """Return whether a message is to be delayed, and use up the predicate."""
        for index, matches in enumerate(self.delayed_calls):
            if matches(message):
                del self.delayed_calls[index]
                return True
        return False

    def send_to_peers(self, host: str, effect: SendToPeers) -> None:
        """Deliver a message to the daemons whose links are not blocked."""
        for address in effect.addresses:
            target = self.daemons.get(address)
            if target is None or (host, address) in self.blocked_links:
                continue
            if not self.peer_loss or self.random.random() >= self.peer_loss:
                self._schedule(self.peer_latency, self._build_delivery(target, effect))

    def _build_delivery(self, target: SimulatedDaemon, effect: SendToPeers) -> Callable:
        message = effect.message
        return lambda: self.dispatch(
            target,
            lambda at: PeerMessageReceived(at=at, message=message, draws=self.draw()),
        )

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        heappush(self._scheduled_actions, (self.now + delay, next(self._ids), action))

    def _tick(self, daemon: SimulatedDaemon) -> None:
        if daemon.is_alive:
            if not daemon.is_paused:
                self.dispatch(
                    daemon, lambda at: Ticked(at=at, wall_time=at, draws=self.draw())
                )
            self._schedule(TICK_SECONDS, lambda: self._tick(daemon))

    def _tick_platform(self) -> None:
        self._apply_to_platform(ClockAdvanced(at=self.now))
        self._schedule(PLATFORM_TICK_SECONDS, self._tick_platform)

    def _deliver_to_platform(self, call_id: int, message: Any) -> None:
        self.platform_messages.append(message)
        if isinstance(message, DutyMessage):
            self.delivered_duties.append(DeliveredDuty(self.now, message))
        event = CallReceived(at=self.now, call_id=call_id, message=message)
        self._apply_to_platform(event)

    def _apply_to_platform(self, event: Event) -> None:
        for effect in PLATFORM.reduce(self.platform, event):
            assert isinstance(effect, AnswerCall)
            answer = effect.answer
            reply = self._pending_platform_calls.pop(effect.call_id)
            self._schedule(self.platform_latency, _bind(reply, answer))

    def _return_answer(
        self, host: str, reply: Callable[[PlatformAnswer], None], answer: PlatformAnswer
    ) -> None:
        is_lost = (
            self.replies_to_drop > 0 or (PLATFORM_NAME, host) in self.blocked_links
        )
        if is_lost:
            self.replies_to_drop = max(0, self.replies_to_drop - 1)
            answer = PlatformFailure("reply lost", Verdict.MAY_HAVE_RUN)
            self._schedule(PLATFORM_TIMEOUT_SECONDS, _bind(reply, answer))
            return
        reply(answer)


def _discard_answer(answer: PlatformAnswer) -> None:
    """Discard an answer that arrives after its caller's timeout."""


def _bind(function: Callable[[Any], None], value: Any) -> Callable[[], None]:
    return lambda: function(value)
