"""Tests of the limits on callers that follow from the settings."""

import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from geraniumhall_core.buffers import Holding
from geraniumhall_daemon.budgets import LimitLog, build_budget, count_caller_connections
from geraniumhall_daemon.metrics import MetricsSink
from geraniumhall_net.server import PACED_CHUNKS, RECEIVE_BYTES
from geraniumhall_wire.settings import ByteCount, CallerSettings, HostSettings

LONGEST_DEADLINE_SECONDS = 10.5  # of the callers of the deployments in service
MIB = 2**20


def build_host(**fields: int) -> HostSettings:
    """Build the settings of a host."""
    return HostSettings(name="h1", failure_domain="a", **fields)


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test on trio's mock clock."""
    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


class BudgetTest(unittest.TestCase):
    """Memory and connections follow from what the host has."""

    def test_budget_is_a_part_of_the_hosts_memory(self) -> None:
        """A setting of its own goes first."""
        for memory, stated, expected in ((160, 0, 40), (552, 0, 138), (160, 20, 20)):
            host = build_host(memory=memory * MIB)
            callers = CallerSettings(memory=ByteCount(stated * MIB))
            budget = build_budget(callers, host, LimitLog(MetricsSink()))
            self.assertEqual(budget.total, expected * MIB)

    def test_connections_leave_descriptors_to_servers(self) -> None:
        """Half of those beyond the reserve, and no more than the setting."""
        callers = CallerSettings(max_connections=1000)
        for descriptors, expected in ((1638, 719), (4100, 1000), (100, 1)):
            host = build_host(max_descriptors=descriptors)
            self.assertEqual(count_caller_connections(callers, host), expected)

    def test_connections_leave_memory_to_what_they_bring(self) -> None:
        """Half of the budget is for the connections themselves."""
        callers = CallerSettings()
        for memory, expected in ((96, 768), (160, 1280), (300, 2400), (600, 4096)):
            host = build_host(memory=memory * MIB, max_descriptors=20_000)
            self.assertEqual(count_caller_connections(callers, host), expected)


class DefaultTest(unittest.TestCase):
    """No caller that keeps to the limits of the pages meets a default."""

    def test_callers_inside_the_limits(self) -> None:
        """Neither by the progress of a body, its chunks, nor a balancer's address."""
        callers = CallerSettings()
        budget = build_budget(callers, build_host(), LimitLog(MetricsSink()))
        self.assertGreater(callers.progress_window, LONGEST_DEADLINE_SECONDS)
        self.assertLess(callers.max_body // RECEIVE_BYTES, PACED_CHUNKS)
        self.assertEqual(callers.max_per_address, 0)
        self.assertLess(2 * callers.max_body, budget.total)


class LimitLogTest(unittest.TestCase):
    """Each limit that is met is counted."""

    def test_counters(self) -> None:
        """Decisions of the budget and other limits have a counter each."""
        metrics = MetricsSink()

        async def test() -> None:
            log = LimitLog(metrics)
            for _ in range(3):
                log.record_decision("delayed", Holding())
            log.record_limit("paced")

        run(test)
        text = metrics.encode().decode()
        self.assertIn('geraniumhall_caller_memory_total{name="delayed"} 3.0', text)
        self.assertIn('geraniumhall_caller_limits_total{name="paced"} 1.0', text)


if __name__ == "__main__":
    unittest.main()
