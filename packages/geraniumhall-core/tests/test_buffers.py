"""Tests of the policy for memory that callers fill, under the loads that it answers."""

import unittest
from typing import Any

from geraniumhall_core.buffers import (
    MEMORY_POLICIES,
    SLOW_SECONDS,
    Holding,
    HoldingKind,
    MemoryDecision,
    MemoryQuery,
    MemoryVerdict,
)

KIB = 2**10
TOTAL = 1000 * KIB
NOW = 100.0
POLICY = MEMORY_POLICIES.find("stalled_first")()
INCOMPLETE, RUNNING = HoldingKind.INCOMPLETE, HoldingKind.RUNNING
ANSWER, IDLE = HoldingKind.ANSWER, HoldingKind.IDLE


def build_holding(kind: HoldingKind, size: int, silence: float = 0.0) -> Holding:
    """Return what a connection holds that was last heard `silence` seconds ago."""
    return Holding(
        kind=kind, size=size * KIB, began_at=NOW - 10.0, progressed_at=NOW - silence
    )


def decide(asker: Holding, *others: Holding, **fields: Any) -> MemoryDecision:
    """Decide on 4 KiB more for the asker."""
    holdings = (asker, *others)
    query = MemoryQuery(
        now=NOW,
        asker=asker,
        size=fields.get("size", 4 * KIB),
        used=sum(holding.size for holding in holdings),
        total=TOTAL,
        is_answer=fields.get("is_answer", False),
    )
    return POLICY.decide(query, holdings)


class ShortMemoryTest(unittest.TestCase):
    """A crowd of unfinished bodies fills the budget."""

    def test_largest_stalled_request_is_closed_first(self) -> None:
        """A larger one that still arrives is spared."""
        asker = build_holding(INCOMPLETE, 20)
        stalled = [build_holding(INCOMPLETE, size, 2.0) for size in (100, 300, 200)]
        arriving = build_holding(INCOMPLETE, 380)
        decision = decide(asker, arriving, *stalled)
        expected = MemoryDecision(MemoryVerdict.GRANT, (stalled[1],))
        self.assertEqual(decision, expected)

    def test_slowest_and_then_oldest_of_a_size_is_closed_first(self) -> None:
        """The average speed since the start of the request decides."""
        asker = build_holding(INCOMPLETE, 20)
        crowd = [build_holding(INCOMPLETE, 245, 2.0) for _ in range(4)]
        crowd[2].began_at = NOW - 20.0
        self.assertEqual(decide(asker, *crowd).closed, (crowd[2],))

    def test_asker_that_would_be_closed_next_is_refused(self) -> None:
        """The largest request that arrives gives way itself."""
        asker = build_holding(INCOMPLETE, 500)
        decision = decide(asker, build_holding(INCOMPLETE, 490))
        self.assertEqual(decision.verdict, MemoryVerdict.REFUSE)

    def test_ordinary_request_gets_the_reserve(self) -> None:
        """Large requests leave a quarter of the budget to ordinary ones."""
        crowd = [build_holding(RUNNING, 375) for _ in range(2)]
        large = build_holding(INCOMPLETE, 100)
        self.assertEqual(decide(large, *crowd).verdict, MemoryVerdict.REFUSE)
        ordinary = build_holding(INCOMPLETE, 20)
        self.assertEqual(decide(ordinary, *crowd).verdict, MemoryVerdict.GRANT)

    def test_whole_requests_are_never_closed(self) -> None:
        """An ordinary request waits for them, a large one is refused."""
        crowd = [build_holding(RUNNING, 245) for _ in range(4)]
        waiting = decide(build_holding(INCOMPLETE, 20), *crowd)
        self.assertEqual(waiting, MemoryDecision(MemoryVerdict.WAIT))
        refused = decide(build_holding(INCOMPLETE, 100), *crowd)
        self.assertEqual(refused, MemoryDecision(MemoryVerdict.REFUSE))

    def test_unread_answer_is_closed_after_requests(self) -> None:
        """One whose caller still reads is not."""
        unread, read = build_holding(ANSWER, 490, 6.0), build_holding(ANSWER, 490, 1.0)
        asker = build_holding(INCOMPLETE, 20)
        self.assertEqual(decide(asker, read, unread).closed, (unread,))
        stalled = build_holding(INCOMPLETE, 200, 2.0)
        unread.size = read.size = 390 * KIB
        self.assertEqual(decide(asker, read, unread, stalled).closed, (stalled,))

    def test_buffering_an_answer_closes_no_request_that_arrives(self) -> None:
        """The answer can be passed on as it comes instead."""
        for kind in (RUNNING, ANSWER):
            asker = build_holding(kind, 100)
            arriving = build_holding(INCOMPLETE, 700)
            decision = decide(asker, arriving, is_answer=True)
            self.assertEqual(decision, MemoryDecision(MemoryVerdict.REFUSE))

    # Guards against answers that had ordinary requests closed while these arrived.
    def test_running_request_closes_no_request_that_arrives(self) -> None:
        """It reads ahead what comes after it only when there is room."""
        asker = build_holding(RUNNING, 500)
        ordinary = build_holding(INCOMPLETE, 16)
        decision = decide(asker, ordinary, build_holding(RUNNING, 480))
        self.assertEqual(decision, MemoryDecision(MemoryVerdict.WAIT))

    def test_room_is_granted_without_closing(self) -> None:
        """In calm nobody is closed, not even a stalled request."""
        stalled = build_holding(INCOMPLETE, 300, 9.0)
        decision = decide(build_holding(INCOMPLETE, 300), stalled)
        self.assertEqual(decision, MemoryDecision(MemoryVerdict.GRANT))


class FullListenerTest(unittest.TestCase):
    """A crowd of connections takes all places of a listener."""

    def choose(self, *holdings: Holding) -> Holding | None:
        """Return the connection that yields."""
        return POLICY.choose_closed(NOW, holdings)

    def test_order_of_yielding(self) -> None:
        """Stalled requests, idle connections, slow requests, unread answers.

        A connection that has just begun or was just heard of yields to none of them.
        """
        order = [
            build_holding(INCOMPLETE, 1, 2.0),
            build_holding(IDLE, 1, 9.0),
            build_holding(IDLE, 1, 3.0),
            build_holding(INCOMPLETE, 1),
            build_holding(INCOMPLETE, 50),
            build_holding(ANSWER, 1, 6.0),
        ]
        rest = [build_holding(kind, 1) for kind in (IDLE, RUNNING, ANSWER)]
        for age in (0.0, SLOW_SECONDS):
            holding = build_holding(INCOMPLETE, 1)
            holding.began_at = NOW - age
            rest.append(holding)
        while order:
            self.assertIs(self.choose(*rest, *reversed(order)), order.pop(0))
        self.assertIsNone(self.choose(*rest))


if __name__ == "__main__":
    unittest.main()
