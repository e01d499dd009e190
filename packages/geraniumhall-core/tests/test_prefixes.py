"""Tests of inferred prefix caches, and of a load of many long shared prefixes."""

import unittest
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
from geraniumhall_core.effects import RelayRequest, SendToPeers
from geraniumhall_core.events import PeerMessageReceived, RequestArrived, Ticked
from geraniumhall_core.handlers.placement import add_prompt_use
from geraniumhall_core.hosts import HostRecord
from geraniumhall_core.orders import ServerRole
from geraniumhall_core.planning import (
    EngineView,
    Plan,
    PlanQuery,
    plan_by_rendezvous,
    plan_earliest_answer,
)
from geraniumhall_core.platform import Changes, Feed
from geraniumhall_core.prefixes import (
    BLOCK_TOKENS,
    MAX_PARTS,
    EngineCache,
    PartUse,
    PrefixCaches,
    PromptUse,
)
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.reducer import Effect
from geraniumhall_core.reports import LoadReport
from geraniumhall_core.requests import CallerRequest, PathTarget, PromptPart
from geraniumhall_core.revisions import Revision
from geraniumhall_core.state import DaemonState

FIRST, SECOND, THIRD = PartUse(1, 600), PartUse(2, 300), PartUse(3, 500)
SERVER_KEY = ObjectKey("registered_server", "e9")
PROFILE = EngineProfile(
    slots=64, memory_tokens=1000, token_bytes=10, link_rate=1e9, handle_ttl=5.0
)


class EngineCacheTest(unittest.TestCase):
    """An inferred cache drops the least recently used parts, as engines do."""

    def test_parts_that_fit_are_kept(self) -> None:
        """All parts of a prompt are held after its prefill."""
        cache = EngineCache(1, 1000)
        cache.add_use((FIRST, SECOND))
        self.assertEqual(cache.count_cached((FIRST, SECOND)), 900)

    def test_least_recently_used_part_is_dropped(self) -> None:
        """A use renews a part, so that another one yields."""
        cache = EngineCache(1, 1000)
        cache.add_use((FIRST, SECOND))
        cache.add_use((FIRST,))
        cache.add_use((PartUse(4, 200),))
        self.assertEqual(list(cache.tokens_by_key), [1, 4])

    def test_part_counts_only_behind_its_predecessors(self) -> None:
        """A part whose predecessor is missing has to be prefilled again."""
        cache = EngineCache(1, 1000)
        cache.add_use((SECOND,))
        self.assertEqual(cache.count_cached((FIRST, SECOND)), 0)

    def test_prompt_over_the_capacity_is_not_held(self) -> None:
        """A prompt that does not fit at all leaves the cache within its capacity."""
        cache = EngineCache(1, 1000)
        cache.add_use((FIRST, THIRD))
        self.assertLessEqual(cache.used_tokens, 1000)

    def test_empty_parts_are_bounded(self) -> None:
        """Parts without tokens take a block each, so that they can't pile up."""
        cache = EngineCache(1, 1000)
        cache.add_use([PartUse(key, 0) for key in range(5000)])
        self.assertLessEqual(len(cache.tokens_by_key), 1000 // BLOCK_TOKENS)

    def test_new_incarnation_holds_nothing(self) -> None:
        """An engine that was started again has an empty cache."""
        caches = PrefixCaches()
        caches.add_use(PromptUse("e1", (FIRST,)), 1, 1000)
        self.assertEqual(caches.count_cached("e1", 1, (FIRST,)), 600)
        self.assertEqual(caches.count_cached("e1", 2, (FIRST,)), 0)


class HostTest(unittest.TestCase):
    """Hosts infer the caches from their own prompts and from each other's reports."""

    def build(self) -> DaemonState:
        """Return a state with an engine, and with another host to report to."""
        state = build_state(policy={"peer_address": "h1:1"})
        entry = build_open_entry(ServiceClass.MODEL, "/m/", "llm")
        configuration = Configuration(
            version=1, entries={"m": entry}, services={"llm": Service(engine=PROFILE)}
        )
        key = ObjectKey("configuration", "main")
        self.change(
            state,
            Feed.CONFIGURATION,
            VersionedRecord(key, Revision(number=101), configuration),
        )
        server = BackendServer(
            address="10.0.0.9:80", failure_domain="a", service="llm", started_at=5
        )
        self.change(
            state,
            Feed.SERVERS,
            VersionedRecord(SERVER_KEY, Revision(number=102), server),
        )
        peer = HostRecord(
            failure_domain="b", incarnation=1, sequence=1, peer_address="h2:1"
        )
        key = ObjectKey("host", "h2")
        self.change(
            state, Feed.RECORDS, VersionedRecord(key, Revision(number=103), peer)
        )
        return state

    def change(self, state: DaemonState, feed: Feed, item: VersionedRecord) -> None:
        """Apply one change of a feed."""
        apply_feed_answer(state, feed, Changes(item.version, (item,)))

    def send_prompt(
        self, state: DaemonState
    ) -> tuple[tuple[PartUse, ...], tuple[Effect, ...]]:
        """Send a request to the engine; return its prompt's parts and the effects."""
        parts = (PromptPart("a1", 400), PromptPart("b2", 100))
        request = CallerRequest(
            request_id="r1", target=PathTarget("/m/x"), prompt_tokens=500, parts=parts
        )
        effects = reduce(
            state, RequestArrived(at=2.0, request=request, draws=(0.0, 0.0))
        )
        self.assertTrue([e for e in effects if isinstance(e, RelayRequest)])
        return tuple(PartUse.from_part(part) for part in parts), effects

    def test_own_prompt_is_inferred(self) -> None:
        """The engine is assumed to hold the prompt that was sent to it."""
        state = self.build()
        parts, _ = self.send_prompt(state)
        self.assertEqual(state.prefix_caches.count_cached("e9", 5, parts), 500)

    def test_prompt_is_reported_once(self) -> None:
        """The next load report has the prompt, and later ones don't."""
        state = self.build()
        parts, effects = self.send_prompt(state)
        for at in (2.0, 2.6, 3.2):
            effects += reduce(state, Ticked(at=at, wall_time=at, draws=(0.0, 0.0)))
        reports = [e.message for e in effects if isinstance(e, SendToPeers)]
        uses = [use for report in reports for use in report.uses]
        self.assertGreater(len(reports), 1)
        self.assertEqual(uses, [PromptUse("e9", parts)])

    def test_reported_prompt_is_inferred(self) -> None:
        """Another host's prompt counts like an own one, and is not passed on."""
        state = self.build()
        uses = (PromptUse("e9", (FIRST,)),)
        report = LoadReport(host="h2", incarnation=1, sequence=1, uses=uses)
        reduce(state, PeerMessageReceived(at=2.0, message=report, draws=(0.0, 0.0)))
        self.assertEqual(state.prefix_caches.count_cached("e9", 5, (FIRST,)), 600)
        self.assertEqual(state.prefix_caches.unreported, [])

    def test_removed_engine_is_forgotten(self) -> None:
        """Nothing is kept of an engine that is gone."""
        state = self.build()
        self.send_prompt(state)
        self.change(
            state,
            Feed.SERVERS,
            VersionedRecord(SERVER_KEY, Revision(number=110), DELETED),
        )
        reduce(state, Ticked(at=2.1, wall_time=2.1, draws=(0.0, 0.0)))
        self.assertEqual(state.prefix_caches.engines, {})

    def test_report_of_an_unknown_engine_is_ignored(self) -> None:
        """A report about an engine that this host does not know changes nothing."""
        state = self.build()
        self.assertFalse(add_prompt_use(state, PromptUse("none", (FIRST,))))


Planner = Callable[[Sequence[EngineView], PlanQuery], Plan | None]
ENGINES = 5
PREFIXES = 52
PREFIX_TOKENS = 13_300
OWN_TOKENS = 3_700
CAPACITY_TOKENS = 465_000
READ_RATE = 49_600.0
REQUESTS = 1200
INTERARRIVAL_SECONDS = 0.06
REPORT_SECONDS = 0.05
AIM_SECONDS = 0.6


@attrs.define
class LoadResult:
    """What a run of the load cost: shared tokens read again, and late answers."""

    read_again: int = 0
    late: int = 0


@attrs.define
class ModelEngine:
    """An engine that prefills one prompt at a time, with its true cache."""

    cache: EngineCache
    free_at: float = 0.0
    pending: list[tuple[float, int]] = attrs.field(factory=list)

    def count_pending(self, now: float) -> int:
        """Return the tokens whose prefill has not ended by `now`."""
        self.pending = [(end, tokens) for end, tokens in self.pending if end > now]
        return sum(tokens for _, tokens in self.pending)


def play_shared_prefixes(planner: Planner, seed: int) -> LoadResult:
    """Play requests with long shared prefixes, over two hosts, on five engines.

    The pattern: 52 prefixes of 13,300 tokens, each asked for again and again at
    random, which fill more than one engine's memory but fit into all of them. A
    host learns of the other one's prompts `REPORT_SECONDS` later. The work at each
    engine is known exactly, so that only the knowledge of caches differs.
    """
    random, result = Random(seed), LoadResult()
    names = [f"e{number}" for number in range(ENGINES)]
    engines = {name: ModelEngine(EngineCache(1, CAPACITY_TOKENS)) for name in names}
    caches = [PrefixCaches(), PrefixCaches()]
    reports: list[tuple[float, int, PromptUse]] = []
    now = 0.0
    for number in range(REQUESTS):
        now += random.expovariate(1 / INTERARRIVAL_SECONDS)
        while reports and reports[0][0] <= now:
            _, reader, use = heappop(reports)
            caches[reader].add_use(use, 1, CAPACITY_TOKENS)
        host = random.randrange(2)
        prefix = random.randrange(PREFIXES)
        parts = (PartUse(prefix, PREFIX_TOKENS), PartUse(1000 + number, OWN_TOKENS))
        views = [
            EngineView(
                name=name,
                role=ServerRole.BOTH,
                is_local=True,
                queued_prefill_tokens=engines[name].count_pending(now),
                requests=0,
                slots=64,
                cached_tokens=caches[host].count_cached(name, 1, parts),
            )
            for name in names
        ]
        query = PlanQuery(
            prompt_tokens=PREFIX_TOKENS + OWN_TOKENS,
            shared_prefix_tokens=PREFIX_TOKENS,
            shared_prefix_hash=prefix + 1,
            prefill_rate=2 * READ_RATE,
            kv_transfer_rate=1e9,
        )
        plan = planner(views, query)
        assert plan is not None
        engine = engines[plan.server]
        cached = engine.cache.count_cached(parts)
        engine.cache.add_use(parts)
        use = PromptUse(plan.server, parts)
        caches[host].add_use(use, 1, CAPACITY_TOKENS)
        heappush(reports, (now + REPORT_SECONDS, 1 - host, use))
        work = query.prompt_tokens - cached
        engine.free_at = max(now, engine.free_at) + work / READ_RATE
        engine.pending.append((engine.free_at, work))
        result.read_again += max(0, PREFIX_TOKENS - cached)
        result.late += engine.free_at - now > AIM_SECONDS
    result.read_again -= PREFIXES * PREFIX_TOKENS  # the first prefill of each
    return result


class SharedPrefixLoadTest(unittest.TestCase):
    """Many long prefixes, each asked for again and again, on a few engines."""

    def test_followed_caches_save_prefill(self) -> None:
        """Following the caches reads less again, and answers more in time.

        The baseline knows one engine for each prefix. Whenever that one is busy
        it reads the prefix on another, and does not remember that it did.
        """
        late = {plan_earliest_answer: 0, plan_by_rendezvous: 0}
        for seed in range(6):
            with self.subTest(seed=seed):
                results = {
                    planner: play_shared_prefixes(planner, seed) for planner in late
                }
                for planner, result in results.items():
                    late[planner] += result.late
                followed = results[plan_earliest_answer].read_again
                self.assertLess(followed, results[plan_by_rendezvous].read_again)
        self.assertLess(late[plan_earliest_answer], late[plan_by_rendezvous])


class PartCountTest(unittest.TestCase):
    """Callers who name very many small parts fill no host's memory."""

    ENGINES = 70
    CAPACITY = 600_000  # tokens of an engine's memory

    def setUp(self) -> None:
        """Start without any inferred cache."""
        self.caches = PrefixCaches()

    def add_prompts(self, count: int, sizes: Sequence[int]) -> None:
        """Send prompts with parts of these sizes to all engines in turn."""
        for number in range(count):
            parts = tuple(
                PartUse(number * len(sizes) + place, size)
                for place, size in enumerate(sizes)
            )
            use = PromptUse(f"e{number % self.ENGINES}", parts)
            self.caches.add_use(use, 1, self.CAPACITY, float(number))

    def count_parts(self) -> int:
        """Return the number of parts that are held of all engines."""
        return sum(len(item.tokens_by_key) for item in self.caches.engines.values())

    def test_parts_of_a_token_are_bounded_over_all_engines(self) -> None:
        """Each engine alone could hold 37,500 of them."""
        self.add_prompts(1000, [1] * 256)
        self.assertLessEqual(self.count_parts(), MAX_PARTS)
        self.assertEqual(self.caches.part_count, self.count_parts())

    def test_ordinary_prompts_are_kept_whole(self) -> None:
        """The engines' memory is the bound for prompts of the usual sizes."""
        self.add_prompts(100 * self.ENGINES, [800, 410, 250])
        for engine in self.caches.engines.values():
            self.assertEqual(len(engine.tokens_by_key), 300)
        self.add_prompts(700 * self.ENGINES, [800, 410, 250])
        for engine in self.caches.engines.values():
            self.assertGreater(engine.used_tokens, self.CAPACITY - 800)

    def test_removed_engine_no_longer_counts(self) -> None:
        """Neither does an earlier incarnation of an engine."""
        self.add_prompts(self.ENGINES, [16, 16])
        use = PromptUse("e0", (PartUse(1, 16),))
        self.caches.add_use(use, 2, self.CAPACITY)
        self.caches.remove_engine("e1")
        self.assertEqual(self.caches.part_count, 2 * self.ENGINES - 3)


if __name__ == "__main__":
    unittest.main()
