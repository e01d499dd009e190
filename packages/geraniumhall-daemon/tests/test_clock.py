"""Tests of the time of day on a host whose clock jumps."""

import unittest

from geraniumhall_daemon.clock import STEP_CONFIRMATION_SECONDS, SystemClock


class StepTest(unittest.TestCase):
    """A jump of the time of day moves nothing at first."""

    def setUp(self) -> None:
        """Build a clock over two clocks that the test moves."""
        self.boot = 100.0
        self.wall = 5000.0
        self.clock = SystemClock(lambda: self.boot, lambda: self.wall)

    def advance(self, seconds: float) -> float:
        """Let both clocks run on; return the time of day."""
        self.boot += seconds
        self.wall += seconds
        return self.clock.read_wall_time()

    def test_time_without_a_step(self) -> None:
        """Without a jump the time of day is the host's."""
        self.assertAlmostEqual(self.advance(7.0), 5007.0)

    def test_reverted_step_is_ignored(self) -> None:
        """A jump that is taken back changes no time in between."""
        self.wall += 3.0
        self.assertAlmostEqual(self.advance(5.0), 5005.0)
        self.wall -= 3.0
        self.assertAlmostEqual(self.advance(100.0), 5105.0)

    def test_lasting_step_is_adopted(self) -> None:
        """A corrected clock is believed after a while."""
        self.wall -= 9.0
        self.advance(1.0)
        self.advance(STEP_CONFIRMATION_SECONDS)
        self.assertAlmostEqual(self.advance(1.0), self.wall)
