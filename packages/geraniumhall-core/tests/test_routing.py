"""Tests of routing policies."""

import unittest
from collections import Counter

from geraniumhall_core.routing import ROUTING_POLICIES, RoutingQuery, ServerView

SERVERS = [ServerView(f"e{n}", 0) for n in range(8)]


def build_query(prefix_hash: int = 0, round_robin_index: int = 0) -> RoutingQuery:
    """Return a query with fixed draws."""
    return RoutingQuery(
        prefix_hash=prefix_hash,
        round_robin_index=round_robin_index,
        draw=0.3,
        second_draw=0.8,
    )


class RoutingPolicyTest(unittest.TestCase):
    """Each policy keeps its own guarantee."""

    def test_every_policy_takes_the_only_server(self) -> None:
        """With a single candidate, every policy takes it."""
        for name in ROUTING_POLICIES:
            with self.subTest(policy=name):
                policy = ROUTING_POLICIES.find(name)
                only = [ServerView("e1", 50)]
                self.assertEqual(policy(only, build_query(7)).name, "e1")

    def test_prefix_keeps_its_server(self) -> None:
        """Requests with one prefix go to one server while loads are equal."""
        policy = ROUTING_POLICIES.find("prefix_affinity")
        names = {
            policy(SERVERS, build_query(42, round_robin_index)).name
            for round_robin_index in range(9)
        }
        self.assertEqual(len(names), 1)

    def test_prefix_moves_when_its_server_is_overloaded(self) -> None:
        """A server far above the mean load is skipped."""
        policy = ROUTING_POLICIES.find("prefix_affinity")
        owner = policy(SERVERS, build_query(42)).name
        loaded = [ServerView(s.name, 50 if s.name == owner else 1) for s in SERVERS]
        self.assertNotEqual(policy(loaded, build_query(42)).name, owner)

    def test_prefix_changes_little_when_a_server_leaves(self) -> None:
        """Only prefixes of the server that left move to another."""
        policy = ROUTING_POLICIES.find("prefix_affinity")
        for prefix_hash in range(1, 200):
            before = policy(SERVERS, build_query(prefix_hash)).name
            after = policy(SERVERS[:-1], build_query(prefix_hash)).name
            if before != SERVERS[-1].name:
                self.assertEqual(before, after)

    def test_round_robin_is_even(self) -> None:
        """Round robin gives each server the same number of requests."""
        policy = ROUTING_POLICIES.find("round_robin")
        chosen = (
            policy(SERVERS, build_query(round_robin_index=t)).name for t in range(16)
        )
        self.assertEqual(set(Counter(chosen).values()), {2})
