"""Tests of wall time on a host whose system clock steps."""

import unittest

from geraniumhall_daemon.clock import STEP_CONFIRMATION_SECONDS, SystemClock


class StepTest(unittest.TestCase):
    """A step of the system clock is adopted only once it has lasted."""

    def setUp(self) -> None:
        """Build a clock on boot and wall times that the test sets."""
        self.boot = 100.0
        self.wall = 5000.0
        self.clock = SystemClock(lambda: self.boot, lambda: self.wall)

    def advance(self, seconds: float) -> float:
        """Advance boot and wall time; return the clock's wall time."""
        self.boot += seconds
        self.wall += seconds
        return self.clock.read_wall_time()

    def test_time_without_a_step(self) -> None:
        """Without a step wall time is that of the host."""
        self.assertAlmostEqual(self.advance(7.0), 5007.0)

    def test_reverted_step_is_ignored(self) -> None:
        """A step that is reverted soon never changes wall time."""
        self.wall += 3.0
        self.assertAlmostEqual(self.advance(5.0), 5005.0)
        self.wall -= 3.0
        self.assertAlmostEqual(self.advance(100.0), 5105.0)

    def test_lasting_step_is_adopted(self) -> None:
        """A step that lasts `STEP_CONFIRMATION_SECONDS` changes wall time."""
        self.wall -= 9.0
        self.advance(1.0)
        self.advance(STEP_CONFIRMATION_SECONDS)
        self.assertAlmostEqual(self.advance(1.0), self.wall)
