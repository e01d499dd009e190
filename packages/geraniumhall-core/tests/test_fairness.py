"""Tests of fair queueing."""

import unittest

from geraniumhall_core.fairness import EntryQueue


class EntryQueueTest(unittest.TestCase):
    """The least served workspace goes first."""

    def test_least_served_goes_first(self) -> None:
        """A loud workspace waits behind one that was served less."""
        queue = EntryQueue()
        queue.charge("loud", 100.0, 1.0)
        queue.add_waiting("loud", "a")
        queue.add_waiting("quiet", "b")
        self.assertEqual([queue.pop_next(), queue.pop_next()], ["b", "a"])

    def test_weight_divides_the_cost(self) -> None:
        """Twice the weight gets twice the service."""
        queue = EntryQueue()
        queue.charge("heavy", 100.0, 4.0)
        queue.charge("light", 50.0, 1.0)
        queue.add_waiting("heavy", "a")
        queue.add_waiting("light", "b")
        self.assertEqual(queue.pop_next(), "a")

    def test_idling_earns_no_credit(self) -> None:
        """A newcomer starts at the level of those who wait."""
        queue = EntryQueue()
        queue.charge("old", 500.0, 1.0)
        queue.add_waiting("old", "a")
        queue.pop_next()
        queue.add_waiting("new", "b")
        self.assertEqual(queue.served_tokens["new"], 500.0)

    def test_order_within_a_workspace(self) -> None:
        """One workspace's requests go in the order of arrival."""
        queue = EntryQueue()
        for request_id in ("a", "b", "c"):
            queue.add_waiting("w", request_id)
        taken = [queue.pop_next() for _ in range(4)]
        self.assertEqual(taken, ["a", "b", "c", None])
