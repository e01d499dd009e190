"""Tests that calls expire by a clock that includes suspension."""

import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from geraniumhall_daemon.expiries import Expiries


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test on trio's mock clock."""
    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


class ExpiryTest(unittest.TestCase):
    """A call ends once its time has come, and no call does before it."""

    def test_call_ends_when_it_expires(self) -> None:
        """A call without an answer is cancelled after the seconds that are left."""

        async def test() -> None:
            with Expiries().limit_until(102.5, 100.0):
                await trio.sleep(10)
            self.assertEqual(trio.current_time(), 2.5)

        run(test)

    def test_expired_call_is_not_started(self) -> None:
        """A call that has expired already ends at its first wait."""

        async def test() -> None:
            sent = []
            with Expiries().limit_until(99.0, 100.0):
                await trio.lowlevel.checkpoint()
                sent.append("call")
            self.assertEqual(sent, [])

        run(test)

    def test_suspension_counts(self) -> None:
        """A call that expired during a suspension ends without waiting further.

        The clock of trio stands still then, so the call's timeout alone would end
        it only after the rest of its seconds.
        """

        async def test() -> None:
            expiries = Expiries()

            async def resume() -> None:
                await trio.sleep(0.1)
                expiries.cancel_expired(110.0)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(resume)
                with expiries.limit_until(102.5, 100.0):
                    await trio.sleep(10)
            self.assertAlmostEqual(trio.current_time(), 0.1)

        run(test)

    def test_other_calls_go_on(self) -> None:
        """Calls without a limit, or with a later one, are not cancelled."""

        async def test() -> None:
            expiries = Expiries()
            for expires_at in (None, 105.0):
                with expiries.limit_until(expires_at, 100.0):
                    expiries.cancel_expired(102.0)
                    await trio.sleep(1)
            self.assertEqual(trio.current_time(), 2.0)

        run(test)
