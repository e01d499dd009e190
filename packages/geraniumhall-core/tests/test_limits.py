"""Tests of token buckets."""

import unittest

from hypothesis import given, seed
from hypothesis import strategies as st

from geraniumhall_core.limits import LOAN_SECONDS, Share, TokenBucket


class TokenBucketTest(unittest.TestCase):
    """A bucket never gives more than burst and rate allow."""

    def test_starts_empty(self) -> None:
        """A new process holds nothing, whatever its predecessor spent."""
        self.assertFalse(TokenBucket(Share(1.0, 5.0), 0.0).try_spend(1, 0.0))

    def test_clock_that_runs_back_earns_nothing(self) -> None:
        """Time that goes back adds no token."""
        bucket = TokenBucket(Share(1.0, 5.0), 10.0)
        bucket.accrue(5.0)
        bucket.accrue(10.0)
        self.assertEqual(bucket.tokens, 0.0)

    def test_never_enough(self) -> None:
        """An amount over the burst is never there."""
        self.assertIsNone(TokenBucket(Share(1.0, 5.0), 0.0).seconds_until(6))

    def test_loan_leaves_empty_room(self) -> None:
        """While a loan may be under way, its room does not fill again."""
        bucket = TokenBucket(Share(1000.0, 3.0), 0.0, 3.0)
        bucket.lend(2.0, 10.0)
        bucket.accrue(10.0 + LOAN_SECONDS * 0.9)
        self.assertEqual(bucket.tokens, 1.0)

    def test_room_fills_after_the_loan(self) -> None:
        """Once the loan can't be used any more, its room fills."""
        bucket = TokenBucket(Share(1000.0, 3.0), 0.0, 3.0)
        bucket.lend(2.0, 10.0)
        bucket.accrue(10.0 + LOAN_SECONDS * 2)
        self.assertEqual(bucket.tokens, 3.0)

    def test_smaller_burst_loses_tokens(self) -> None:
        """After a cut no more than the new burst is held."""
        bucket = TokenBucket(Share(1.0, 5.0), 0.0)
        bucket.resize(Share(1.0, 2.0), 100.0, 100.0)
        self.assertEqual(bucket.tokens, 2.0)

    @seed(20261204)
    @given(
        st.lists(
            st.tuples(st.floats(0.0, 3.0), st.sampled_from([1.0, 2.0])), max_size=60
        )
    )
    def test_any_window_is_within_rate_and_burst(
        self, steps: list[tuple[float, float]]
    ) -> None:
        """In any window at most burst plus rate times its length is spent."""
        rate, burst, now = 2.0, 5.0, 0.0
        bucket = TokenBucket(Share(rate, burst), 0.0)
        spent: list[tuple[float, float]] = []
        for gap, amount in steps:
            now += gap
            if bucket.try_spend(amount, now):
                spent.append((now, amount))
        for start, (began, _) in enumerate(spent):
            total = 0.0
            for ended, amount in spent[start:]:
                total += amount
                self.assertLessEqual(total, burst + rate * (ended - began) + 1e-6)
