"""Tests of the planning policy `kept_prompt`, and of loads with shared beginnings.

The patterns: beginnings that are asked for again and again fill the engines' memory,
one beginning is wanted by many at once, and engines are unevenly fast while that goes
on. The policies that it is compared with are beside it.
"""

import unittest
from collections import Counter
from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from random import Random

import attrs
from builders import apply_feed_answer, build_open_entry, build_state, reduce

from geraniumhall_core.catalogue import (
    BackendServer,
    Configuration,
    EngineProfile,
    Service,
    ServiceClass,
)
from geraniumhall_core.effects import PrefillPrompt, RelayRequest, ServerAttempt
from geraniumhall_core.events import RequestArrived
from geraniumhall_core.kept_prompts import plan_by_kept_prompt, plan_without_fetching
from geraniumhall_core.orders import ServerRole
from geraniumhall_core.planning import (
    EngineView,
    Plan,
    PlanQuery,
    StreamPace,
    plan_by_rendezvous,
    plan_earliest_answer,
)
from geraniumhall_core.platform import Changes, Feed
from geraniumhall_core.prefixes import (
    EngineCache,
    KeptTokens,
    PartUse,
    PrefixCaches,
    PromptUse,
)
from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.requests import CallerRequest, PathTarget, PromptPart
from geraniumhall_core.revisions import Revision
from geraniumhall_core.speeds import EngineSpeed
from geraniumhall_core.state import DaemonState

SHARED_TOKENS = 5_400
OWN_TOKENS = 6_600
PROMPT_TOKENS = SHARED_TOKENS + OWN_TOKENS
READ_RATE = 60_000.0  # tokens a second of an engine that only runs prefill
AIM_SECONDS = 0.8


def build_engine(name: str, held: float = 0.0, **fields: object) -> EngineView:
    """Return an idle engine that only runs prefill, unless `fields` say otherwise."""
    settings = {
        "role": ServerRole.PREFILL,
        "is_local": True,
        "queued_prefill_tokens": 0,
        "requests": 0,
        "slots": 64,
        "cached_tokens": int(held),
        "kept": KeptTokens(held, held),
        "memory_capacity": 400_000,
        **fields,
    }
    return EngineView(name=name, **settings)


DECODE_ENGINE = build_engine("d", role=ServerRole.DECODE, requests=60)


def build_query(**fields: object) -> PlanQuery:
    """Return the query of a long prompt whose beginning others share."""
    settings = {
        "prompt_tokens": PROMPT_TOKENS,
        "shared_prefix_tokens": SHARED_TOKENS,
        "shared_prefix_hash": 7,
        "prefill_rate": READ_RATE,
        "kv_transfer_rate": 1e6,
        "objective": AIM_SECONDS,
        **fields,
    }
    return PlanQuery(**settings)


class WeighingTest(unittest.TestCase):
    """What is saved by a kept beginning is weighed against the wait."""

    def choose(self, *engines: EngineView, **fields: object) -> Plan:
        """Return the plan among some prefill engines, without fetching."""
        plan = plan_without_fetching([*engines, DECODE_ENGINE], build_query(**fields))
        assert plan is not None
        return plan

    def test_holder_with_a_short_queue_is_taken(self) -> None:
        """A wait that is shorter than what is saved is accepted."""
        holder = build_engine("p1", SHARED_TOKENS, queued_prefill_tokens=4_000)
        self.assertEqual(self.choose(holder, build_engine("p2")).server, "p1")

    def test_holder_with_a_long_queue_is_left(self) -> None:
        """A caller does not wait past the objective for a kept beginning."""
        holder = build_engine("p1", SHARED_TOKENS, queued_prefill_tokens=50_000)
        self.assertEqual(self.choose(holder, build_engine("p2")).server, "p2")

    def test_wait_within_the_objective_keeps_the_beginning_in_one_place(self) -> None:
        """An answer in time earns the same, while a second read takes engine time."""
        holder = build_engine("p1", SHARED_TOKENS, queued_prefill_tokens=7_000)
        other = build_engine("p2")
        self.assertEqual(self.choose(holder, other, objective=2.0).server, "p1")
        earliest = plan_earliest_answer([holder, other, DECODE_ENGINE], build_query())
        self.assertEqual(earliest.server, "p2")

    def test_slow_holder_is_left(self) -> None:
        """A kept beginning does not outweigh that the rest is read slowly."""
        holder = build_engine("p1", SHARED_TOKENS, speed=EngineSpeed(prefill=0.2))
        self.assertEqual(self.choose(holder, build_engine("p2")).server, "p2")

    def test_much_used_beginning_gets_a_second_copy(self) -> None:
        """Many uses share the price of another copy, a single one pays it alone."""
        holder = build_engine("p1", SHARED_TOKENS, queued_prefill_tokens=12_000)
        other = build_engine("p2")
        rare = self.choose(holder, other, shared_use_rate=0.0, objective=2.0)
        wanted = self.choose(holder, other, shared_use_rate=20.0, objective=2.0)
        self.assertEqual((rare.server, wanted.server), ("p1", "p2"))
        self.assertGreater(wanted.copy_seconds, 0.0)

    def test_copy_on_a_full_engine_costs_more(self) -> None:
        """A copy pushes out what others use where memory runs out."""
        holder = build_engine("p1", SHARED_TOKENS, queued_prefill_tokens=60_000)
        prices = [
            self.choose(holder, build_engine("p2", memory_tokens=used)).copy_seconds
            for used in (0, 300_000)
        ]
        self.assertLess(prices[0], prices[1])

    def test_first_copy_costs_nothing(self) -> None:
        """Nobody reads twice what no engine keeps."""
        plan = self.choose(build_engine("p1"), build_engine("p2"))
        self.assertEqual(plan.copy_seconds, 0.0)

    def test_hosts_begin_a_wanted_part_on_the_same_engine(self) -> None:
        """Hosts that hear of uses but of no copy yet all start at one engine."""
        engines = [build_engine(f"p{number}") for number in range(6)]
        started = {
            self.choose(*engines, shared_use_rate=20.0, draw=number / 10).server
            for number in range(10)
        }
        self.assertEqual(len(started), 1)

    def test_hosts_do_not_all_take_the_fastest_engine(self) -> None:
        """Many hosts that hear of no work yet spread over engines of similar speed."""
        engines = [
            build_engine(f"p{number}", speed=EngineSpeed(prefill=1 + number / 50))
            for number in range(6)
        ]
        hosts = 60
        chosen = Counter(
            self.choose(*engines, shared_prefix_tokens=0, draw=number / hosts).server
            for number in range(hosts)
        )
        self.assertLess(max(chosen.values()), hosts / 3)

    def test_beginning_is_fetched_by_an_idle_engine(self) -> None:
        """While its holder is busy, a copy of it is fetched, not read again."""
        holder = build_engine("p1", SHARED_TOKENS, queued_prefill_tokens=50_000)
        plan = plan_by_kept_prompt(
            [holder, build_engine("p2"), DECODE_ENGINE], build_query()
        )
        self.assertEqual((plan.server, plan.fetches_from), ("p2", "p1"))

    def test_slow_link_is_not_used(self) -> None:
        """A beginning that takes longer to fetch than to read is read."""
        holder = build_engine("p1", SHARED_TOKENS, queued_prefill_tokens=50_000)
        plan = plan_by_kept_prompt(
            [holder, build_engine("p2"), DECODE_ENGINE],
            build_query(kv_transfer_rate=20_000.0),
        )
        self.assertEqual((plan.server, plan.fetches_from), ("p2", ""))

    def test_streams_are_not_made_to_pause(self) -> None:
        """A prompt is not read between the tokens of many streams with an objective."""
        pace = StreamPace(
            event_seconds=0.05, gap_objective=0.2, mixed_prefill_rate=READ_RATE / 2
        )
        busy = build_engine("p1", queued_prefill_tokens=30_000)
        decoding = build_engine("d", role=ServerRole.DECODE, requests=3)
        for known, server in ((pace, "p1"), (StreamPace(), "d")):
            plan = plan_by_kept_prompt([busy, decoding], build_query(pace=known))
            self.assertEqual(plan.server, server)

    def test_short_prompt_is_not_read_apart(self) -> None:
        """Moving its KV cache takes more than it saves of the decode engine's time."""
        engines = [build_engine("p1"), build_engine("d", role=ServerRole.DECODE)]
        for tokens, server in ((800, "d"), (PROMPT_TOKENS, "p1")):
            query = build_query(prompt_tokens=tokens, shared_prefix_tokens=0)
            self.assertEqual(plan_by_kept_prompt(engines, query).server, server)

    def test_no_plan_without_decode_engines(self) -> None:
        """Prefill engines alone can't generate a response."""
        self.assertIsNone(plan_by_kept_prompt([build_engine("p1")], build_query()))


class KeptTokensTest(unittest.TestCase):
    """How much of a prompt an engine still keeps as its memory runs out."""

    def setUp(self) -> None:
        """Let an engine of 1,000 tokens read a part of 300, and then one of 200."""
        self.cache = EngineCache(1, 1000)
        self.parts = (PartUse(1, 300),)
        self.cache.add_use(self.parts)
        self.cache.add_use((PartUse(2, 200),))

    def test_part_is_certain_while_there_is_memory(self) -> None:
        """All of it counts if what was used since and runs now fits beside it."""
        self.assertEqual(self.cache.estimate_kept(self.parts, 700).held, 300)

    def test_part_counts_less_under_pressure(self) -> None:
        """It may have yielded if running requests need more than is left."""
        kept = self.cache.estimate_kept(self.parts, 900).held
        self.assertTrue(0 < kept < 300, kept)

    def test_older_part_counts_less(self) -> None:
        """The less recently used part yields first."""
        kept = self.cache.estimate_kept(self.parts, 900).held
        newer = self.cache.estimate_kept((PartUse(2, 200),), 900).held
        self.assertLess(kept / 300, newer / 200)

    def test_nothing_is_kept_without_memory(self) -> None:
        """Running requests that fill the memory leave nothing."""
        self.assertEqual(self.cache.estimate_kept(self.parts, 1000).held, 0)

    def test_part_that_is_being_read_can_not_be_fetched(self) -> None:
        """It counts for requests that wait there, and for others once it is read."""
        for now, settled in ((0.2, 0), (0.6, 300)):
            kept = self.cache.estimate_kept(self.parts, 0, now)
            self.assertEqual((kept.held, kept.settled), (300, settled))

    def test_unused_beginnings_are_forgotten(self) -> None:
        """The counts of uses don't grow with the number of beginnings."""
        caches = PrefixCaches()
        caches.add_use(PromptUse("e", (PartUse(1, 9), PartUse(2, 9))), 1, 1000, 0.0)
        self.assertGreater(caches.compute_use_rate((PartUse(1, 9),) * 2, 1.0), 0)
        caches.forget_unused(60.0)
        self.assertEqual(caches.shared_uses, {})


class HostTest(unittest.TestCase):
    """A host applies the policy to the engines and uses that it knows."""

    def build(self) -> DaemonState:
        """Return a state with two prefill engines and one that decodes."""
        state = build_state(policy={"planning": "kept_prompt"})
        entry = build_open_entry(ServiceClass.MODEL, "/m/", "llm")
        profile = EngineProfile(
            slots=64, memory_tokens=400_000, token_bytes=10, link_rate=1e9, handle_ttl=5
        )
        configuration = Configuration(
            version=1, entries={"m": entry}, services={"llm": Service(engine=profile)}
        )
        key = ObjectKey("configuration", "main")
        change = VersionedRecord(key, Revision(number=101), configuration)
        apply_feed_answer(state, Feed.CONFIGURATION, Changes(change.version, (change,)))
        roles = {"p1": ServerRole.PREFILL, "p2": ServerRole.PREFILL}
        for number, (name, role) in enumerate(
            [*roles.items(), ("d", ServerRole.DECODE)]
        ):
            server = BackendServer(
                address=f"10.0.0.{number}:80",
                failure_domain="a",
                service="llm",
                role=role,
            )
            key = ObjectKey("registered_server", name)
            change = VersionedRecord(key, Revision(number=102 + number), server)
            apply_feed_answer(state, Feed.SERVERS, Changes(change.version, (change,)))
        return state

    def send(self, state: DaemonState, number: int, at: float = 2.0) -> ServerAttempt:
        """Send a prompt with the shared beginning; return what goes to an engine."""
        request = CallerRequest(
            request_id=f"r{number}",
            target=PathTarget("/m/x"),
            prompt_tokens=PROMPT_TOKENS,
            parts=(
                PromptPart("shared", SHARED_TOKENS),
                PromptPart(f"own{number}", OWN_TOKENS),
            ),
        )
        event = RequestArrived(at=at, request=request, draws=(0.0, 0.0))
        effects = reduce(state, event)
        return next(e for e in effects if isinstance(e, PrefillPrompt | RelayRequest))

    def test_beginning_is_fetched_from_the_engine_that_reads_it(self) -> None:
        """A second engine is told the address of the first one."""
        state = self.build()
        first = self.send(state, 1)
        others = [self.send(state, number, at=2.6) for number in range(2, 4)]
        moved = next(sent for sent in others if sent.server != first.server)
        self.assertEqual(first.fetch_address, "")
        self.assertEqual(moved.fetch_address, first.address)
        self.assertEqual(state.counters["prompts.fetched"], 1)

    def test_uses_are_counted(self) -> None:
        """Each request counts as a use of its beginning."""
        state = self.build()
        for number in range(3):
            self.send(state, number)
        self.assertEqual(
            [uses.count for uses in state.prefix_caches.shared_uses.values()], [3.0]
        )


Planner = Callable[[Sequence[EngineView], PlanQuery], Plan | None]
ENGINES = 6
CAPACITY_TOKENS = 120_000
REQUESTS = 1_000
REPORT_SECONDS = 0.15
HOSTS = 4


@attrs.define
class Beginnings:
    """A load: how many beginnings there are, how often one of them is drawn."""

    count: int
    wanted_share: float = 0.0
    load: float = 0.7  # of what all engines can read if they keep no beginning

    def draw(self, random: Random) -> int:
        """Return the number of a request's beginning; 0 is the wanted one."""
        if random.random() < self.wanted_share:
            return 0
        return random.randrange(self.count)


@attrs.define
class LoadResult:
    """What a run of the load cost: shared tokens read, late answers, and the wait."""

    read: int = 0
    fetched: int = 0
    late: int = 0
    seconds: float = 0.0


@attrs.define
class ModelEngine:
    """An engine that reads one prompt at a time, with its true cache and speed."""

    cache: EngineCache
    speed: float
    free_at: float = 0.0
    pending: list[tuple[float, int]] = attrs.field(factory=list)

    def count_pending(self, now: float) -> int:
        """Return the tokens whose prefill has not ended by `now`."""
        self.pending = [(end, tokens) for end, tokens in self.pending if end > now]
        return sum(tokens for _, tokens in self.pending)


def play_beginnings(planner: Planner, load: Beginnings, seed: int) -> LoadResult:
    """Play long prompts over several hosts, on engines whose memory runs out.

    A host learns of another one's prompts `REPORT_SECONDS` later. The work at each
    engine and its speed are known, so that only the placement differs.
    """
    random, result = Random(seed), LoadResult()
    engines = {
        f"e{number}": ModelEngine(
            EngineCache(1, CAPACITY_TOKENS), random.uniform(0.7, 1.7)
        )
        for number in range(ENGINES)
    }
    caches = [PrefixCaches() for _ in range(HOSTS)]
    reports: list[tuple[float, int, PromptUse]] = []
    capacity = sum(engine.speed for engine in engines.values()) * READ_RATE
    now = 0.0
    for number in range(REQUESTS):
        now += random.expovariate(capacity * load.load / PROMPT_TOKENS)
        while reports and reports[0][0] <= now:
            at, reader, use = heappop(reports)
            caches[reader].add_use(use, 1, CAPACITY_TOKENS, at)
        host, part = random.randrange(HOSTS), load.draw(random)
        parts = (PartUse(part, SHARED_TOKENS), PartUse(10_000 + number, OWN_TOKENS))
        views = [
            build_engine(
                name,
                role=ServerRole.BOTH,
                queued_prefill_tokens=engine.count_pending(now),
                cached_tokens=caches[host].count_cached(name, 1, parts),
                kept=caches[host].estimate_kept(name, 1, parts, 0, now),
                memory_capacity=CAPACITY_TOKENS,
                speed=EngineSpeed(prefill=engine.speed),
            )
            for name, engine in engines.items()
        ]
        query = build_query(
            shared_prefix_hash=part + 1,
            prefill_rate=2 * READ_RATE,
            draw=random.random(),
            shared_use_rate=caches[host].compute_use_rate(parts, now),
        )
        plan = planner(views, query)
        assert plan is not None
        engine = engines[plan.server]
        kept = engine.cache.count_cached(parts)
        fetch = 0.0
        if plan.fetches_from:
            source = engines[plan.fetches_from].cache.count_cached(parts)
            result.fetched += max(0, source - kept)
            fetch = max(0, source - kept) / query.kv_transfer_rate
            kept = max(kept, source)
        engine.cache.add_use(parts)
        use = PromptUse(plan.server, parts)
        caches[host].add_use(use, 1, CAPACITY_TOKENS, now)
        for reader in range(HOSTS):
            if reader != host:
                heappush(reports, (now + REPORT_SECONDS, reader, use))
        work = PROMPT_TOKENS - kept
        begun = max(now + fetch, engine.free_at)
        engine.free_at = begun + work / READ_RATE / engine.speed
        engine.pending.append((engine.free_at, work))
        result.read += max(0, SHARED_TOKENS - kept)
        result.late += engine.free_at - now > AIM_SECONDS
        result.seconds += engine.free_at - now
    return result


class LoadTest(unittest.TestCase):
    """Loads with shared beginnings, beside the policies of before."""

    def compare(self, load: Beginnings, baseline: Planner) -> None:
        """Check that `kept_prompt` reads less and is late less often."""
        for seed in range(3):
            with self.subTest(seed=seed):
                kept = play_beginnings(plan_by_kept_prompt, load, seed)
                before = play_beginnings(baseline, load, seed)
                self.assertLess(kept.read, before.read)
                self.assertLessEqual(kept.late, before.late)

    def test_memory_that_runs_out(self) -> None:
        """Beginnings that fill all engines' memory are read less often."""
        self.compare(Beginnings(count=60, load=0.95), plan_earliest_answer)
        self.compare(Beginnings(count=60, load=0.95), plan_by_rendezvous)

    def test_one_beginning_that_many_want(self) -> None:
        """A third of the requests share one beginning, which spreads."""
        load = Beginnings(count=60, wanted_share=0.33, load=0.95)
        self.compare(load, plan_earliest_answer)
        self.compare(load, plan_by_rendezvous)


if __name__ == "__main__":
    unittest.main()
