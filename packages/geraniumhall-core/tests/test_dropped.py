"""Tests of answers and timers that come after what they name was dropped.

Effects of one host are answered late, in any order and in any way that their kind
allows. Meanwhile versions of the configuration, lapses and new processes of servers,
eras of the store and the loss of the lease drop what the effects were sent for.
"""

import unittest
from collections.abc import Callable
from random import Random
from typing import Any

import attrs
from builders import (
    DRAWS,
    build_arrival,
    build_open_entry,
    build_records,
    build_state,
    reduce,
)

from geraniumhall_core.catalogue import (
    BackendServer,
    Configuration,
    EngineProfile,
    ScaleBounds,
    Service,
    ServiceClass,
    Workspace,
)
from geraniumhall_core.effects import (
    CallPlatform,
    PrefillPrompt,
    ProbeServer,
    RelayRequest,
    SendOrder,
    SendToPeers,
    WatchHold,
)
from geraniumhall_core.events import (
    AttemptEnded,
    CallerDisconnected,
    DaemonStarted,
    HoldEnded,
    OrderAnswered,
    PeerMessageReceived,
    PlatformAnswered,
    PrefillEnded,
    ResponseStarted,
    ServerProbed,
    Ticked,
)
from geraniumhall_core.hosts import HostRecord
from geraniumhall_core.loans import Loan, LoanRequest
from geraniumhall_core.notices import Incarnation, ReceivedNotice, ServerNotice
from geraniumhall_core.orders import DesiredRole, OrderOutcome, ServerRole
from geraniumhall_core.platform import (
    Changes,
    Conflict,
    DutyAccepted,
    DutyFenced,
    DutyMessage,
    DutyRejected,
    EraChanged,
    Feed,
    GetObject,
    HistoryGone,
    Listing,
    ListObjects,
    ObjectMissing,
    PlatformAnswer,
    PlatformFailure,
    WatchObjects,
    Written,
)
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.reducer import Effect, Event
from geraniumhall_core.registry import Registry
from geraniumhall_core.requests import (
    AttemptOutcome,
    KvCacheRef,
    PathTarget,
    PromptPart,
)
from geraniumhall_core.restrictions import Grant, GrantRequest
from geraniumhall_core.revisions import Revision
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict

SEEDS = 100
STEPS = 250
SERVERS = ("e1", "e2", "m1", "m2", "m3")
SCALE = ScaleBounds(
    minimum=1, maximum=4, boot_seconds=1.0, reclaimable_price=0.2, prices={"a": 1.0}
)
ENGINE = EngineProfile(
    slots=2, memory_tokens=100_000, token_bytes=1_000, link_rate=1e9, handle_ttl=5.0
)
FEEDS = {"configuration": Feed.CONFIGURATION, "registered_server": Feed.SERVERS}
POLICY = {
    "scaling": "reclaimable_first",
    "admission": "in_time",
    "room": "drawn_share",
    "speeds": "learned",
    "peer_address": "10.0.0.1:7000",
}
FAILURES = (
    PlatformFailure("no answer", Verdict.MAY_HAVE_RUN),
    PlatformFailure("refused", Verdict.NOT_RUN),
)

EffectAnswer = Callable[["History", Any], Event]
EFFECT_ANSWERS: Registry[type[Effect], EffectAnswer] = Registry("effect answer")


@attrs.define
class History:
    """A host, the effects that wait for an answer, and the store's latest version."""

    random: Random
    state: DaemonState = attrs.field(factory=lambda: build_state(policy=POLICY))
    pending: list[Effect] = attrs.field(factory=list)
    at: float = 5.0
    revision: int = 300
    era: int = 0
    version: int = 0
    requests: int = 0

    def apply(self, event: Event) -> None:
        """Apply an event and keep the effects that can be answered."""
        effects = reduce(self.state, event)
        self.pending += [item for item in effects if type(item) in EFFECT_ANSWERS]

    def answer(self) -> None:
        """Answer one of the pending effects."""
        if self.pending:
            index = self.random.randrange(len(self.pending))
            effect = self.pending.pop(index)
            self.apply(EFFECT_ANSWERS.find(type(effect))(self, effect))

    def next_revision(self) -> Revision:
        """Return a revision after all earlier ones."""
        self.revision += 1
        return Revision(self.era, self.revision)

    def tick(self) -> None:
        """Let the timer fire."""
        self.at += self.random.choice((0.05, 0.3, 1.0))
        self.apply(Ticked(at=self.at, wall_time=self.at, draws=DRAWS))

    def arrive(self) -> None:
        """Let a request arrive, or one of the callers leave."""
        self.requests += 1
        target = self.random.choice(("draft", "open", PathTarget("/model/1")))
        names = ("system", f"session{self.requests % 3}", f"own{self.requests}")
        parts = tuple(PromptPart(name, 400) for name in names)
        fields = {"parts": parts, "prompt_tokens": 1200, "max_tokens": 20}
        self.apply(build_arrival(f"r{self.requests}", target, self.at, **fields))
        if self.random.random() < 0.2:
            name = f"r{self.random.randint(1, self.requests)}"
            self.apply(CallerDisconnected(at=self.at, request_id=name))

    def configure(self) -> None:
        """Apply a version that has or lacks each service, entry and workspace."""
        self.version += 1
        pick = self.random.random
        prices = {"a": 1.0} if pick() < 0.7 else {}
        service = Service(engine=ENGINE, scale=attrs.evolve(SCALE, prices=prices))
        entry = build_open_entry(ServiceClass.MODEL, "/model/", "llm")
        workspace = Workspace(rate=2.0, burst=2.0)
        configuration = Configuration(
            version=self.version,
            services={"llm": service} if pick() < 0.6 else {},
            entries={"llm-entry": entry} if pick() < 0.7 else {},
            workspaces={"audit": workspace} if pick() < 0.5 else {},
        )
        self.change("configuration", "main", configuration)

    def move_server(self) -> None:
        """Register a server as a new process, let it leave, or remove it."""
        name = self.random.choice(SERVERS)
        is_model = name.startswith("m")
        server = BackendServer(
            address="10.0.0.9:80",
            failure_domain=self.random.choice("ab"),
            entries=() if is_model else ("draft", "open"),
            service="llm" if is_model else "",
            started_at=self.random.randint(0, 2),
            slots=2,
            role=self.random.choice(list(ServerRole)),
            leaving=self.random.random() < 0.2,
        )
        is_gone = self.random.random() < 0.4
        kind = "registered_server" if is_model else "server"
        self.change(kind, name, DELETED if is_gone else server)

    def edit(self) -> None:
        """Write or delete a record of the daemons."""
        is_gone = self.random.random() < 0.4
        host = HostRecord(
            failure_domain="b", incarnation=1, sequence=1, peer_address="10.0.0.2:7000"
        )
        wish = DesiredRole(role=self.random.choice(list(ServerRole)))
        draft = build_records()[ObjectKey("entry", "draft")]
        kind, name, record = self.random.choice(
            (("host", "h2", host), ("wish", "e1", wish), ("entry", "draft", draft))
        )
        self.change(kind, name, DELETED if is_gone else record)

    def change(self, kind: str, name: str, record: Any) -> None:
        """Deliver a change by the watches of its feed that are under way."""
        version = self.next_revision()
        change = VersionedRecord(ObjectKey(kind, name), version, record)
        for effect in list(self.pending):
            message = getattr(effect, "message", None)
            feed = FEEDS.get(kind, Feed.RECORDS)
            if isinstance(message, WatchObjects) and message.feed is feed:
                self.pending.remove(effect)
                self.reply(effect, Changes(version, (change,)))

    def reply(self, call: CallPlatform, answer: PlatformAnswer) -> None:
        """Apply the platform's answer to a call."""
        self.apply(build_reply(self, call, answer))

    def rewind(self) -> None:
        """Begin an era of the store, in which nothing is there."""
        if self.random.random() < 0.1:
            self.era += 1
            self.revision = 50

    def lose_lease(self) -> None:
        """Let the lease run out."""
        if self.random.random() < 0.2:
            self.state.lease.release()


def build_reply(
    history: History, call: CallPlatform, answer: PlatformAnswer
) -> PlatformAnswered:
    """Return the event of the platform's answer to a call."""
    return PlatformAnswered(
        at=history.at,
        called_at=history.at - 0.01,
        wall_time=history.at,
        purpose=call.purpose,
        answer=answer,
        draws=DRAWS,
    )


@EFFECT_ANSWERS.register(CallPlatform)
def answer_call(history: History, call: CallPlatform) -> Event:
    """Answer a call in one of the ways that its message allows."""
    era, message = history.era, call.message
    answers: tuple[PlatformAnswer, ...] = FAILURES
    if isinstance(message, ListObjects):
        answers += (Listing(history.next_revision(), ()),) * 4
    elif isinstance(message, WatchObjects):
        answers += (HistoryGone(era=era), Changes(Revision(era, history.revision), ()))
    elif isinstance(message, GetObject):
        answers += (ObjectMissing(era=era),) * 4
    elif isinstance(message, DutyMessage):
        answers += (DutyAccepted(), DutyAccepted(), DutyFenced(), DutyRejected("none"))
    else:
        written = Written(history.next_revision())
        answers += (written,) * 6 + (Conflict(None, era=era), EraChanged(era=era))
    return build_reply(history, call, history.random.choice(answers))


def build_notice(history: History, effect: Any) -> ReceivedNotice | None:
    """Return what the server of an attempt states of itself, if anything."""
    notice = history.random.choice(
        (
            None,
            ServerNotice(retry_after=0.5),
            ServerNotice(request_limit=3.0, is_answer=True),
            ServerNotice(is_leaving=True),
        )
    )
    if notice is None:
        return None
    source = Incarnation(effect.server, effect.started_at)
    return ReceivedNotice(source=source, sent_at=effect.sent_at, notice=notice)


@EFFECT_ANSWERS.register(RelayRequest)
def end_relay(history: History, effect: RelayRequest) -> Event:
    """End an attempt, after its answer has begun or before."""
    notice = build_notice(history, effect)
    if history.random.random() < 0.4:
        started = ResponseStarted(
            at=history.at,
            request_id=effect.request_id,
            attempt_id=effect.attempt_id,
            wall_time=history.at,
            notice=notice,
        )
        history.apply(started)
    return AttemptEnded(
        at=history.at,
        request_id=effect.request_id,
        attempt_id=effect.attempt_id,
        outcome=history.random.choice(list(AttemptOutcome)),
        verdict=history.random.choice(list(Verdict)),
        wall_time=history.at,
        draws=DRAWS,
        notice=notice,
    )


@EFFECT_ANSWERS.register(PrefillPrompt)
def end_prefill(history: History, effect: PrefillPrompt) -> Event:
    """End a prefill, with a KV cache if it has completed."""
    outcome = history.random.choice((AttemptOutcome.COMPLETED, *AttemptOutcome))
    cache = KvCacheRef(effect.server, effect.address, "handle", 100)
    return PrefillEnded(
        at=history.at,
        request_id=effect.request_id,
        attempt_id=effect.attempt_id,
        outcome=outcome,
        draws=DRAWS,
        kv_cache=cache if outcome is AttemptOutcome.COMPLETED else None,
        notice=build_notice(history, effect),
    )


@EFFECT_ANSWERS.register(ProbeServer)
def end_probe(history: History, effect: ProbeServer) -> Event:
    """End a probe."""
    return ServerProbed(
        at=history.at,
        server=effect.server,
        incarnation=effect.incarnation,
        is_refused=history.random.random() < 0.7,
        draws=DRAWS,
    )


@EFFECT_ANSWERS.register(SendOrder)
def answer_order(history: History, effect: SendOrder) -> Event:
    """Answer a role order."""
    return OrderAnswered(
        at=history.at,
        server=effect.server,
        intent=effect.intent,
        version=effect.version,
        outcome=history.random.choice(list(OrderOutcome)),
    )


@EFFECT_ANSWERS.register(WatchHold)
def end_hold(history: History, effect: WatchHold) -> Event:
    """End the time for which a request may wait."""
    return HoldEnded(at=history.at, request_id=effect.request_id, draws=DRAWS)


@EFFECT_ANSWERS.register(SendToPeers)
def answer_message(history: History, effect: SendToPeers) -> Event:
    """Answer a question of this host, or send its message back from another host."""
    message: Any = effect.message
    if isinstance(message, LoanRequest):
        message = Loan(
            host="h2",
            workspace=message.workspace,
            amount=message.amount,
            number=message.number,
        )
    elif isinstance(message, GrantRequest):
        source = history.random.choice((None, *message.servers))
        message = Grant(host="h2", source=source, number=message.number)
    else:
        message = attrs.evolve(message, host="h2")
    return PeerMessageReceived(at=history.at, message=message, draws=DRAWS)


STEP_KINDS = (
    *(History.answer,) * 5,
    *(History.tick,) * 3,
    *(History.arrive,) * 4,
    History.configure,
    *(History.move_server,) * 3,
    History.edit,
    History.rewind,
    History.lose_lease,
)


class LateAnswerTest(unittest.TestCase):
    """An answer that comes late ends no process and leaves no request behind."""

    def play(self, seed: int) -> History:
        """Play a random history and answer all that is still open at its end."""
        history = History(Random(seed))
        history.apply(DaemonStarted(at=history.at))
        for _ in range(STEPS):
            history.random.choice(STEP_KINDS)(history)
        for _ in range(40 * STEPS):
            if not history.state.requests:
                break
            history.random.choice((History.answer, History.tick))(history)
        return history

    def test_random_histories(self) -> None:
        """Guards against look-ups of what a version, a lapse or a rewind dropped."""
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                history = self.play(seed)
                self.assertEqual(list(history.state.requests), [])


if __name__ == "__main__":
    unittest.main()
