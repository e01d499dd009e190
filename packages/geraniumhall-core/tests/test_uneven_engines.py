"""Tests of learned speeds, and of a load on engines that are unevenly fast.

The pattern: engines of one service are 0.7 to 1.7 times as fast as each other, all of
them are slow now and then, one turns slow for some seconds or fails a part of its
requests, and each host sees few answers of each engine.
"""

import unittest
from collections.abc import Callable
from random import Random
from typing import Any

import attrs
from builders import (
    apply_feed_answer,
    build_attempt_end,
    build_open_entry,
    build_state,
    find_effect,
    reduce,
)

from geraniumhall_core.catalogue import (
    BackendServer,
    Configuration,
    EngineProfile,
    Service,
    ServiceClass,
)
from geraniumhall_core.effects import RelayRequest, SendToPeers
from geraniumhall_core.events import (
    PeerMessageReceived,
    RequestArrived,
    ResponseStarted,
    Ticked,
)
from geraniumhall_core.handlers.speeds import FIRST_EVENT_OVERHEAD_SECONDS, find_speed
from geraniumhall_core.hosts import HostRecord
from geraniumhall_core.orders import ServerRole
from geraniumhall_core.planning import (
    EngineView,
    PlanQuery,
    StreamPace,
    choose_decode_engine,
    plan_earliest_answer,
)
from geraniumhall_core.platform import Changes, Feed
from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.reducer import Effect, Event
from geraniumhall_core.reports import LoadReport
from geraniumhall_core.requests import (
    AttemptOutcome,
    CallerRequest,
    PathTarget,
    PromptPart,
)
from geraniumhall_core.revisions import Revision
from geraniumhall_core.speeds import (
    SPEED_POLICIES,
    USUAL_SPEED,
    EngineSpeed,
    SpeedBook,
    SpeedSample,
)
from geraniumhall_core.state import DaemonState
from geraniumhall_core.summaries import WorkSummary

PROFILE = EngineProfile(
    slots=64, memory_tokens=400_000, token_bytes=10, link_rate=1e9, handle_ttl=5.0
)


class SpeedBookTest(unittest.TestCase):
    """The summary of an engine's samples."""

    def setUp(self) -> None:
        """Start with two engines of usual speed, so that the service's is known."""
        self.book = SpeedBook()
        for number in range(20):
            self.add(f"e{number % 2}", 80)

    def add(self, server: str, percent: int, at: float = 0.0, **fields: Any) -> None:
        """Add a sample of an engine's first incarnation."""
        sample = SpeedSample(server, percent, **fields)
        usual = self.book.find_usual("llm")
        self.book.find_engine(server, 1).add(sample, usual, at)

    def learn(self, server: str, at: float, incarnation: int = 1) -> EngineSpeed:
        """Return the speed of an engine by the policy `learned`."""
        usual = self.book.find_usual("llm")
        usual.refresh(at)
        engine = self.book.find_engine(server, incarnation)
        return SPEED_POLICIES.find("learned")(engine.observe(usual, at))

    def test_usual_rate_is_learned(self) -> None:
        """Engines that are all slower than configured are of usual speed."""
        self.assertAlmostEqual(self.learn("e0", 0.0).prefill, 1.0)
        self.assertAlmostEqual(self.book.find_usual("llm").prefill, 0.8)

    def test_engine_differs_from_the_usual_speed(self) -> None:
        """After some answers an engine counts as about as fast as they were."""
        for _ in range(9):
            self.add("slow", 40)
        self.assertLess(self.learn("slow", 0.0).prefill, 0.6)

    def test_single_answers_do_not_swing_it(self) -> None:
        """A sixth of the answers, 2.5 times slower by noise, changes nothing."""
        for percent in (80, 80, 32, 80, 80, 80):
            self.add("noisy", percent)
        self.assertAlmostEqual(self.learn("noisy", 0.0).prefill, 1.0)

    def test_old_answers_lose_their_weight(self) -> None:
        """A slow engine that was left alone counts as almost usual again."""
        for _ in range(9):
            self.add("slow", 16)
        for at in (0.0, 12.0):
            self.add("e0", 80, at)
        self.assertLess(self.learn("slow", 0.0).prefill, 0.3)
        self.assertGreater(self.learn("slow", 12.0).prefill, 0.75)

    def test_new_incarnation_starts_anew(self) -> None:
        """A process that was started again is of usual speed."""
        for _ in range(9):
            self.add("slow", 16)
        self.assertEqual(self.learn("slow", 0.0, incarnation=2), USUAL_SPEED)

    def test_quiet_service_keeps_its_usual_rate(self) -> None:
        """After an hour without answers the last usual rate still holds."""
        self.learn("e0", 0.0)
        self.add("e0", 16, at=0.3)
        self.assertAlmostEqual(self.learn("e0", 3600.0).prefill, 1.0)
        self.assertAlmostEqual(self.book.find_usual("llm").prefill, 0.8)

    def test_failures_are_a_share(self) -> None:
        """An engine that fails half of its requests is expected to go on so."""
        for number in range(12):
            self.add("grey", 80, has_failed=number % 2 == 0)
        self.assertGreater(self.learn("grey", 0.0).failing, 0.3)
        self.assertEqual(self.learn("e0", 0.0).failing, 0.0)

    def test_baseline_learns_nothing(self) -> None:
        """The policy `uniform` takes every engine to be of usual speed."""
        self.add("slow", 16)
        engine = self.book.find_engine("slow", 1)
        observed = engine.observe(self.book.find_usual("llm"), 0.0)
        self.assertEqual(SPEED_POLICIES.find("uniform")(observed), USUAL_SPEED)


class HostTest(unittest.TestCase):
    """Hosts measure their own attempts and tell each other."""

    def setUp(self) -> None:
        """Start without reports of the host."""
        self.reported: list[SpeedSample] = []

    def reduce(self, state: DaemonState, event: Event) -> tuple[Effect, ...]:
        """Apply an event, and keep the samples that the host reports."""
        effects = reduce(state, event)
        reports = [e.message for e in effects if isinstance(e, SendToPeers)]
        self.reported += [sample for report in reports for sample in report.speeds]
        return effects

    def build(self, speeds: str = "learned") -> DaemonState:
        """Return a state with an engine, and with another host to report to."""
        state = build_state(policy={"peer_address": "h1:1", "speeds": speeds})
        entry = build_open_entry(ServiceClass.MODEL, "/m/", "llm")
        configuration = Configuration(
            version=1, entries={"m": entry}, services={"llm": Service(engine=PROFILE)}
        )
        server = BackendServer(
            address="10.0.0.9:80", failure_domain="a", service="llm", started_at=5
        )
        peer = HostRecord(
            failure_domain="b", incarnation=1, sequence=1, peer_address="h2:1"
        )
        for feed, kind, name, record in (
            (Feed.CONFIGURATION, "configuration", "main", configuration),
            (Feed.SERVERS, "registered_server", "e9", server),
            (Feed.RECORDS, "host", "h2", peer),
        ):
            item = VersionedRecord(ObjectKey(kind, name), Revision(number=101), record)
            apply_feed_answer(state, feed, Changes(item.version, (item,)))
        return state

    def send(self, state: DaemonState, at: float) -> RelayRequest:
        """Send a prompt of 8,000 tokens to the engine: 0.2 s at the usual speed."""
        parts = (PromptPart(f"p{at}", 8_000),)
        request = CallerRequest(
            request_id=f"r{at}",
            target=PathTarget("/m/x"),
            prompt_tokens=8_000,
            parts=parts,
        )
        effects = self.reduce(
            state, RequestArrived(at=at, request=request, draws=(0.0, 0.0))
        )
        return find_effect(effects, RelayRequest)

    def answer(
        self, state: DaemonState, at: float, factor: float, **fields: Any
    ) -> None:
        """Send a prompt that is answered by an engine of this speed."""
        sent = self.send(state, at)
        expected = state.requests[sent.request_id].pending_prefill
        seconds = expected / state.policy.engine_read_rate / factor
        began = at + seconds + FIRST_EVENT_OVERHEAD_SECONDS
        started = ResponseStarted(
            at=began,
            request_id=sent.request_id,
            attempt_id=sent.attempt_id,
            wall_time=began,
        )
        self.reduce(state, started)
        fields = {"outcome": AttemptOutcome.COMPLETED, **fields}
        self.reduce(state, build_attempt_end(sent, at=began + 0.2, events=5, **fields))

    def tick(self, state: DaemonState) -> None:
        """Let the host send the report that is due."""
        self.reduce(state, Ticked(at=5.9, wall_time=5.9, draws=(0.0, 0.0)))

    def test_own_attempt_is_measured(self) -> None:
        """Prefill is timed up to the first event, decode between the events."""
        state = self.build()
        self.answer(state, 2.0, factor=0.5)
        self.tick(state)
        self.assertEqual(self.reported, [SpeedSample("e9", 50, 50_000)])

    def test_well_known_engine_is_not_reported(self) -> None:
        """Hosts stop reporting on an engine once its samples suffice."""
        state = self.build()
        for number in range(20):
            self.answer(state, 2.0 + number * 0.01, factor=1.0)
        self.tick(state)
        self.assertIn(len(self.reported), range(1, 10))

    def test_reported_sample_counts_like_an_own_one(self) -> None:
        """What another host saw makes an engine slow here, and is not passed on."""
        state = self.build()
        samples = (SpeedSample("e9", 20),) * 9 + (SpeedSample("none", 20),)
        report = LoadReport(host="h2", incarnation=1, sequence=1, speeds=samples)
        self.reduce(
            state, PeerMessageReceived(at=2.0, message=report, draws=(0.0, 0.0))
        )
        state.speeds.find_usual("llm").prefill_samples.latest.clear()
        self.assertLess(find_speed(state, "e9", 2.5).prefill, 0.4)
        self.tick(state)
        self.assertEqual(self.reported, [])

    def test_own_sample_in_a_summary_does_not_count_again(self) -> None:
        """A collector sends back what this host reported, with others' samples."""
        state = self.build()
        self.answer(state, 2.0, factor=0.5)
        summary = WorkSummary(
            host="h2",
            incarnation=1,
            sequence=1,
            failure_domain="",
            hosts=2,
            index=0,
            count=1,
            speeds=(SpeedSample("e9", 50, 50_000), SpeedSample("e9", 50, 50_000)),
        )
        self.reduce(
            state, PeerMessageReceived(at=2.9, message=summary, draws=(0.0, 0.0))
        )
        self.assertEqual(len(state.speeds.engines["e9"].prefill.latest), 2)

    def test_refusal_shows_nothing(self) -> None:
        """An engine that is full is not taken to be slow, nor to fail."""
        state = self.build()
        sent = self.send(state, 2.0)
        self.reduce(state, build_attempt_end(sent, AttemptOutcome.BUSY, at=3.0))
        self.assertEqual(state.speeds.engines, {})

    def test_long_silence_shows_a_slow_engine(self) -> None:
        """A caller that left without a first event bounds the engine's rate."""
        state = self.build()
        sent = self.send(state, 2.0)
        self.reduce(state, build_attempt_end(sent, AttemptOutcome.CALLER_LEFT, at=2.1))
        self.assertEqual(state.speeds.engines, {})
        sent = self.send(state, 3.0)
        self.reduce(state, build_attempt_end(sent, AttemptOutcome.CALLER_LEFT, at=5.1))
        rates = [s.value for s in state.speeds.engines["e9"].prefill.latest]
        self.assertLess(max(rates), 0.15)

    def test_error_response_counts_as_failure(self) -> None:
        """An error that was relayed counts like an attempt that broke."""
        state = self.build()
        self.answer(state, 2.0, factor=1.0, is_server_error=True)
        self.assertTrue(self.reported[0].has_failed)

    def test_baseline_collects_nothing(self) -> None:
        """With the policy `uniform` nothing is measured or reported."""
        state = self.build(speeds="uniform")
        self.answer(state, 2.0, factor=0.5)
        self.assertEqual(state.speeds.engines, {})
        self.tick(state)
        self.assertEqual(self.reported, [])


class DecodeEngineTest(unittest.TestCase):
    """The engine that decodes is chosen by its pace and failures too."""

    def choose(self, pace: StreamPace, queued: int = 0, **speed: float) -> str:
        """Return the choice between an idle engine of this speed and a busy one."""
        engines = [
            EngineView(
                name=name,
                role=ServerRole.DECODE,
                is_local=True,
                queued_prefill_tokens=tokens,
                requests=requests,
                slots=64,
                speed=EngineSpeed(**factors),
            )
            for name, requests, tokens, factors in (
                ("idle", 0, queued, speed),
                ("busy", 30, 0, {}),
            )
        ]
        chosen = choose_decode_engine(engines, True, 100, 0.0, pace)
        assert chosen is not None
        return chosen.name

    def test_slow_stream_is_avoided(self) -> None:
        """An engine whose pauses would exceed the objective is left alone."""
        pace = StreamPace(event_seconds=0.05, gap_objective=0.2)
        self.assertEqual(self.choose(pace, decode=0.9), "idle")
        self.assertEqual(self.choose(pace, decode=0.2), "busy")

    def test_engine_that_prefills_is_avoided(self) -> None:
        """What is read between the tokens makes the pauses longer."""
        pace = StreamPace(
            event_seconds=0.05, gap_objective=0.2, mixed_prefill_rate=30_000.0
        )
        self.assertEqual(self.choose(pace, queued=1_000), "idle")
        self.assertEqual(self.choose(pace, queued=6_000), "busy")

    def test_failing_engine_is_avoided(self) -> None:
        """An engine that fails a tenth of its requests is left alone."""
        self.assertEqual(self.choose(StreamPace(), failing=0.1), "busy")


ENGINES = 8
PROMPT_TOKENS = 6_000
READ_RATE = 60_000.0
CONFIGURED_RATE = 80_000.0
LOAD = 0.75  # of what all engines can read without noise
REQUESTS = 1_600
REPORT_SECONDS = 0.15
AIM_SECONDS = 0.5
NOISE_SHARE, NOISE_FACTOR, NOISE_SECONDS = 0.15, 2.5, 0.6
SLOW_ENGINE, SLOW_FACTOR = "e3", 5.0

SpeedCurve = Callable[[float], float]


@attrs.define
class EvenLoadResult:
    """What a run of the load cost callers, and when the slow engine got requests."""

    late: int = 0
    sent_to_slow: list[float] = attrs.field(factory=list)


def play_uneven_engines(
    policy: str, seed: int, slow_from: float = 1e9, slow_until: float = 1e9
) -> EvenLoadResult:
    """Play prompts of one length on engines that are unevenly fast and noisy.

    The work at each engine is known in tokens, a sample is known `REPORT_SECONDS`
    after the answer, and nothing else differs between the policies.
    """
    random, result, book = Random(seed), EvenLoadResult(), SpeedBook()
    names = [f"e{number}" for number in range(ENGINES)]
    speeds = {name: random.uniform(0.7, 1.7) for name in names}
    free_at = dict.fromkeys(names, 0.0)
    pending: dict[str, list[float]] = {name: [] for name in names}
    answers: list[tuple[float, SpeedSample]] = []
    capacity = sum(speeds.values()) * READ_RATE
    usual = book.find_usual("llm")
    now = 0.0
    for _ in range(REQUESTS):
        now += random.expovariate(capacity * LOAD / PROMPT_TOKENS)
        known = [a for a in answers if a[0] + REPORT_SECONDS <= now]
        answers = [a for a in answers if a[0] + REPORT_SECONDS > now]
        for at, sample in known:
            book.find_engine(sample.server, 1).add(sample, usual, at)
        usual.refresh(now)
        views = []
        for name in names:
            pending[name] = [end for end in pending[name] if end > now]
            observed = book.find_engine(name, 1).observe(usual, now)
            views.append(
                EngineView(
                    name=name,
                    role=ServerRole.BOTH,
                    is_local=True,
                    queued_prefill_tokens=len(pending[name]) * PROMPT_TOKENS,
                    requests=0,
                    slots=64,
                    speed=SPEED_POLICIES.find(policy)(observed),
                )
            )
        query = PlanQuery(
            prompt_tokens=PROMPT_TOKENS,
            shared_prefix_tokens=0,
            shared_prefix_hash=0,
            prefill_rate=2 * CONFIGURED_RATE * usual.prefill,
            kv_transfer_rate=1e9,
            draw=random.random(),
        )
        plan = plan_earliest_answer(views, query)
        assert plan is not None
        name = plan.server
        rate = speeds[name] * READ_RATE
        if random.random() < NOISE_SHARE:
            rate /= NOISE_FACTOR
        if name == SLOW_ENGINE and slow_from <= now < slow_until:
            rate /= SLOW_FACTOR
        free_at[name] = max(now, free_at[name]) + PROMPT_TOKENS / rate
        seconds = free_at[name] - now
        pending[name].append(free_at[name])
        expected = len(pending[name]) * PROMPT_TOKENS / CONFIGURED_RATE
        percent = max(1, round(100 * expected / seconds))
        answers.append((free_at[name], SpeedSample(name, percent)))
        result.late += seconds > AIM_SECONDS
        if name == SLOW_ENGINE:
            result.sent_to_slow.append(now)
    return result


class UnevenLoadTest(unittest.TestCase):
    """Many prompts on engines that are unevenly fast."""

    def test_learned_speeds_answer_more_in_time(self) -> None:
        """Fewer answers are late than if all engines count as equally fast."""
        for seed in range(4):
            with self.subTest(seed=seed):
                learned = play_uneven_engines("learned", seed)
                uniform = play_uneven_engines("uniform", seed)
                self.assertLess(learned.late, uniform.late)

    def test_engine_that_turns_slow_is_left_alone_in_time(self) -> None:
        """After two seconds it gets fewer requests, and fewer answers are late."""
        for seed in range(4):
            with self.subTest(seed=seed):
                learned = play_uneven_engines("learned", seed, 5.0, 12.0)
                uniform = play_uneven_engines("uniform", seed, 5.0, 12.0)
                self.assertLess(learned.late, uniform.late)
                sent = [
                    sum(7.0 <= at < 12.0 for at in result.sent_to_slow)
                    for result in (learned, uniform)
                ]
                self.assertLess(sent[0], sent[1])

    def test_engine_that_recovers_is_used_again(self) -> None:
        """Four seconds after it recovered it gets half as much as before at least."""
        result = play_uneven_engines("learned", 1, slow_from=5.0, slow_until=12.0)
        before = sum(2.0 <= at < 5.0 for at in result.sent_to_slow)
        after = sum(16.0 <= at < 19.0 for at in result.sent_to_slow)
        self.assertGreater(after, before / 2)


if __name__ == "__main__":
    unittest.main()
