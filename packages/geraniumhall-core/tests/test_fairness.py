"""Tests of weighted fair queueing."""

import unittest

from geraniumhall_core.fairness import EntryQueue


class EntryQueueTest(unittest.TestCase):
    """The workspace with the least weighted service goes first."""

    def test_least_served_goes_first(self) -> None:
        """A workspace that was served more waits behind one served less."""
        queue = EntryQueue()
        queue.charge("loud", 100.0, 1.0)
        queue.add_waiting("loud", "a")
        queue.add_waiting("quiet", "b")
        self.assertEqual([queue.pop_next(), queue.pop_next()], ["b", "a"])

    def test_weight_divides_the_cost(self) -> None:
        """A workspace gets service in proportion to its weight."""
        queue = EntryQueue()
        queue.charge("heavy", 100.0, 4.0)
        queue.charge("light", 50.0, 1.0)
        queue.add_waiting("heavy", "a")
        queue.add_waiting("light", "b")
        self.assertEqual(queue.pop_next(), "a")

    def test_idling_earns_no_credit(self) -> None:
        """A new workspace starts at the virtual time, not at zero service."""
        queue = EntryQueue()
        queue.charge("old", 500.0, 1.0)
        queue.add_waiting("old", "a")
        queue.pop_next()
        queue.add_waiting("new", "b")
        self.assertEqual(queue.served_tokens["new"], 500.0)

    def test_order_within_a_workspace(self) -> None:
        """Requests of one workspace are taken in order of arrival."""
        queue = EntryQueue()
        for request_id in ("a", "b", "c"):
            queue.add_waiting("w", request_id)
        taken = [queue.pop_next() for _ in range(4)]
        self.assertEqual(taken, ["a", "b", "c", None])
