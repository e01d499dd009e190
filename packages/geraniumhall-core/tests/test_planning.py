"""Tests of where prompts are read and answers generated."""

import unittest

from geraniumhall_core.orders import ServerRole
from geraniumhall_core.planning import (
    EngineView,
    PlanQuery,
    choose_generator,
    plan_directly,
    plan_earliest_answer,
)


def build_engine(name: str, role: ServerRole, **fields: object) -> EngineView:
    """Return an engine without work in the host's own failure domain."""
    settings = {
        "is_local": True,
        "waiting_tokens": 0,
        "requests": 0,
        "slots": 64,
        **fields,
    }
    return EngineView(name=name, role=role, **settings)


def build_query(prompt_tokens: int, shared_tokens: int = 0) -> PlanQuery:
    """Return a query for engines that read 80 tokens a millisecond."""
    return PlanQuery(
        prompt_tokens=prompt_tokens,
        shared_tokens=shared_tokens,
        affinity=7,
        read_rate=80_000.0,
        handover_rate=1e6,
    )


READER = build_engine("p1", ServerRole.PREFILL)
GENERATOR = build_engine("d1", ServerRole.DECODE)


class PlanTest(unittest.TestCase):
    """The way whose first event is expected first is taken."""

    def test_long_prompt_is_read_ahead(self) -> None:
        """A prefill engine reads at twice the speed, which pays for handing over."""
        plan = plan_earliest_answer([READER, GENERATOR], build_query(12_000))
        self.assertEqual((plan.server, plan.is_prefill_only), ("p1", True))

    def test_short_prompt_is_read_where_it_runs(self) -> None:
        """Handing a short prompt over takes longer than reading it."""
        plan = plan_earliest_answer([READER, GENERATOR], build_query(400))
        self.assertEqual((plan.server, plan.is_prefill_only), ("d1", False))

    def test_busy_reader_is_passed_over(self) -> None:
        """A long prompt does not wait behind others if it need not."""
        busy = build_engine("p1", ServerRole.PREFILL, waiting_tokens=100_000)
        plan = plan_earliest_answer([busy, GENERATOR], build_query(12_000))
        self.assertFalse(plan.is_prefill_only)

    def test_without_generators_there_is_no_plan(self) -> None:
        """Engines that only read can't answer."""
        self.assertIsNone(plan_earliest_answer([READER], build_query(400)))

    def test_without_readers_the_plan_is_direct(self) -> None:
        """Engines that do everything read for themselves."""
        both = build_engine("b1", ServerRole.BOTH)
        plan = plan_earliest_answer([both], build_query(12_000))
        self.assertEqual((plan.server, plan.is_prefill_only), ("b1", False))

    def test_shared_parts_have_a_home(self) -> None:
        """Requests with the same shared parts go to one engine while it is free."""
        engines = [build_engine(f"d{n}", ServerRole.DECODE) for n in range(5)]
        query = build_query(3_000, shared_tokens=2_000)
        homes = {plan_directly(engines, query).server for _ in range(9)}
        fewer = [engine for engine in engines if engine.name not in homes]
        self.assertEqual(len(homes), 1)
        self.assertNotIn(plan_directly(fewer, query).server, homes)

    def test_full_engine_is_passed_over(self) -> None:
        """An engine without a free slot gets no more while another has some."""
        full = build_engine("d1", ServerRole.DECODE, requests=64)
        other = build_engine("d2", ServerRole.DECODE, requests=40)
        plan = plan_directly([full, other], build_query(400))
        self.assertEqual(plan.server, "d2")

    def test_attention_makes_long_prompts_dearer(self) -> None:
        """Twice the tokens are more than twice the effort."""
        short = plan_directly([GENERATOR], build_query(20_000)).unread_tokens
        long = plan_directly([GENERATOR], build_query(40_000)).unread_tokens
        self.assertGreater(long, 2 * short)


class GeneratorTest(unittest.TestCase):
    """The engine that goes on from a prompt read ahead."""

    def test_near_engine_is_preferred(self) -> None:
        """Handing over within the reader's failure domain is faster."""
        far = build_engine("d1", ServerRole.DECODE, is_local=False)
        near = build_engine("d2", ServerRole.DECODE)
        self.assertEqual(choose_generator([far, near], True).name, "d2")
        self.assertEqual(choose_generator([far, near], False).name, "d1")

    def test_readers_do_not_generate(self) -> None:
        """An engine that only reads is no candidate."""
        self.assertIsNone(choose_generator([READER], True))
