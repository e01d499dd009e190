"""Tests of planning policies: the placement of prefill and decode."""

import unittest

from geraniumhall_core.orders import ServerRole
from geraniumhall_core.planning import (
    EngineView,
    PlanQuery,
    choose_decode_engine,
    plan_directly,
    plan_earliest_answer,
)


def build_engine(name: str, role: ServerRole, **fields: object) -> EngineView:
    """Return an idle engine in the host's own failure domain."""
    settings = {
        "is_local": True,
        "queued_prefill_tokens": 0,
        "requests": 0,
        "slots": 64,
        **fields,
    }
    return EngineView(name=name, role=role, **settings)


def build_query(prompt_tokens: int, shared_prefix_tokens: int = 0) -> PlanQuery:
    """Return a query with a prefill rate of 80,000 tokens a second."""
    return PlanQuery(
        prompt_tokens=prompt_tokens,
        shared_prefix_tokens=shared_prefix_tokens,
        shared_prefix_hash=7,
        prefill_rate=80_000.0,
        kv_transfer_rate=1e6,
    )


PREFILL_ENGINE = build_engine("p1", ServerRole.PREFILL)
DECODE_ENGINE = build_engine("d1", ServerRole.DECODE)


class PlanTest(unittest.TestCase):
    """The plan with the earliest expected first event is taken."""

    def test_long_prompt_uses_a_prefill_engine(self) -> None:
        """A prefill engine has twice the rate, which outweighs the KV transfer."""
        plan = plan_earliest_answer(
            [PREFILL_ENGINE, DECODE_ENGINE], build_query(12_000)
        )
        self.assertEqual((plan.server, plan.is_prefill_only), ("p1", True))

    def test_short_prompt_is_planned_directly(self) -> None:
        """The KV transfer of a short prompt takes longer than its prefill."""
        plan = plan_earliest_answer([PREFILL_ENGINE, DECODE_ENGINE], build_query(400))
        self.assertEqual((plan.server, plan.is_prefill_only), ("d1", False))

    def test_busy_prefill_engine_is_skipped(self) -> None:
        """A long prompt does not queue for prefill if a decode engine is idle."""
        busy = build_engine("p1", ServerRole.PREFILL, queued_prefill_tokens=100_000)
        plan = plan_earliest_answer([busy, DECODE_ENGINE], build_query(12_000))
        self.assertFalse(plan.is_prefill_only)

    def test_no_plan_without_decode_engines(self) -> None:
        """Prefill engines alone can't generate a response."""
        self.assertIsNone(plan_earliest_answer([PREFILL_ENGINE], build_query(400)))

    def test_plan_is_direct_without_prefill_engines(self) -> None:
        """Engines in both roles run their own prefill."""
        both = build_engine("b1", ServerRole.BOTH)
        plan = plan_earliest_answer([both], build_query(12_000))
        self.assertEqual((plan.server, plan.is_prefill_only), ("b1", False))

    def test_shared_prefix_stays_on_one_engine(self) -> None:
        """Requests with the same shared prefix go to one engine while it is idle.

        Without that engine they go to another one.
        """
        engines = [build_engine(f"d{n}", ServerRole.DECODE) for n in range(5)]
        query = build_query(3_000, shared_prefix_tokens=2_000)
        owners = {plan_directly(engines, query).server for _ in range(9)}
        remaining = [engine for engine in engines if engine.name not in owners]
        self.assertEqual(len(owners), 1)
        self.assertNotIn(plan_directly(remaining, query).server, owners)

    def test_full_engine_is_skipped(self) -> None:
        """An engine without a free slot is not chosen while another has one."""
        full = build_engine("d1", ServerRole.DECODE, requests=64)
        other = build_engine("d2", ServerRole.DECODE, requests=40)
        plan = plan_directly([full, other], build_query(400))
        self.assertEqual(plan.server, "d2")

    def test_prefill_cost_grows_faster_than_length(self) -> None:
        """Attention makes twice the tokens cost more than twice as much."""
        short = plan_directly([DECODE_ENGINE], build_query(20_000)).prefill_tokens
        long = plan_directly([DECODE_ENGINE], build_query(40_000)).prefill_tokens
        self.assertGreater(long, 2 * short)


class DecodeEngineTest(unittest.TestCase):
    """The choice of the engine that decodes after prefill on another."""

    def test_engine_in_same_domain_is_preferred(self) -> None:
        """A KV transfer within the prefill engine's failure domain is faster."""
        far = build_engine("d1", ServerRole.DECODE, is_local=False)
        near = build_engine("d2", ServerRole.DECODE)
        self.assertEqual(choose_decode_engine([far, near], True, 100).name, "d2")
        self.assertEqual(choose_decode_engine([far, near], False, 100).name, "d1")

    def test_prefill_engine_is_never_chosen(self) -> None:
        """An engine in the prefill role is not a candidate for decode."""
        self.assertIsNone(choose_decode_engine([PREFILL_ENGINE], True, 100))

    def test_engine_with_full_memory_is_skipped(self) -> None:
        """A long prompt waits for memory though the engine has free slots."""
        full = build_engine(
            "d1", ServerRole.DECODE, memory_tokens=80_000, memory_capacity=100_000
        )
        busy = build_engine(
            "d2",
            ServerRole.DECODE,
            is_local=False,
            requests=40,
            memory_tokens=40_000,
            memory_capacity=100_000,
        )
        self.assertEqual(choose_decode_engine([full, busy], True, 17_000).name, "d2")
        self.assertEqual(choose_decode_engine([full, busy], True, 1_000).name, "d1")

    def test_least_full_engine_is_taken_when_all_are_full(self) -> None:
        """Among engines without room the one that gets room first is taken."""
        engines = [
            build_engine(
                name, ServerRole.DECODE, memory_tokens=used, memory_capacity=100_000
            )
            for name, used in (("d1", 150_000), ("d2", 95_000))
        ]
        self.assertEqual(choose_decode_engine(engines, True, 17_000).name, "d2")
