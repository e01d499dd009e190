"""Tests of token buckets, demand meters and shares of a limit."""

import unittest

from hypothesis import example, given, seed
from hypothesis import strategies as st

from geraniumhall_core.limits import (
    DEMAND_HALF_LIFE_SECONDS,
    DemandHistory,
    DemandMeter,
    Share,
    TokenBucket,
    compute_fraction,
)
from geraniumhall_core.state import PublishingState


class TokenBucketTest(unittest.TestCase):
    """A bucket never allows more than its burst and rate."""

    def test_starts_empty(self) -> None:
        """A new bucket is empty, so that a restart grants no second burst."""
        self.assertFalse(TokenBucket(Share(1.0, 5.0), 0.0).try_spend(1, 0.0))

    def test_clock_that_runs_back_earns_nothing(self) -> None:
        """A clock that runs backwards adds no tokens."""
        bucket = TokenBucket(Share(1.0, 5.0), 10.0)
        bucket.refill(5.0)
        bucket.refill(10.0)
        self.assertEqual(bucket.tokens, 0.0)

    def test_cost_over_the_burst_is_never_affordable(self) -> None:
        """A cost over the burst never becomes affordable."""
        self.assertIsNone(TokenBucket(Share(1.0, 5.0), 0.0).seconds_until(6))

    def test_smaller_burst_loses_tokens(self) -> None:
        """Reducing the burst discards the tokens above it."""
        bucket = TokenBucket(Share(1.0, 5.0), 0.0)
        bucket.resize(Share(1.0, 2.0), 100.0)
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
        """Any window spends at most the burst plus the rate times its length."""
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


class OverdraftTest(unittest.TestCase):
    """An overdraft raises what a window may spend by a bounded amount."""

    @seed(20261204)
    @given(st.lists(st.tuples(st.floats(0.0, 2.0), st.floats(1.0, 20.0)), max_size=60))
    def test_any_window_exceeds_by_one_request_and_the_overdraft(
        self, steps: list[tuple[float, float]]
    ) -> None:
        """The excess over rate and burst is at most the overdraft and one request."""
        rate, burst, overdraft, largest, now = 2.0, 5.0, 3.0, 20.0, 0.0
        bucket = TokenBucket(Share(rate, burst, overdraft), 0.0)
        spent: list[tuple[float, float]] = []
        for gap, amount in steps:
            now += gap
            if bucket.try_spend(amount, now):
                spent.append((now, amount))
        for start, (began, _) in enumerate(spent):
            total = sum(amount for _, amount in spent[start:])
            allowed = burst + rate * (spent[-1][0] - began) + overdraft + largest
            self.assertLessEqual(total, allowed + 1e-6)

    def test_small_requests_use_the_overdraft(self) -> None:
        """Small requests are allowed until burst and overdraft are used up."""
        bucket = TokenBucket(Share(2.0, 5.0, 3.0), 0.0, 5.0)
        taken = sum(bucket.try_spend(1.0, 0.0) for _ in range(20))
        self.assertEqual(taken, 8)

    def test_large_request_needs_a_full_bucket(self) -> None:
        """A cost above burst and overdraft is allowed only by a full bucket."""
        bucket = TokenBucket(Share(2.0, 5.0, 3.0), 0.0, 4.9)
        self.assertFalse(bucket.try_spend(20.0, 0.0))
        bucket.tokens = 5.0
        self.assertTrue(bucket.try_spend(20.0, 0.0))

    def test_refund_restores_tokens(self) -> None:
        """A refund of the whole cost restores the tokens."""
        bucket = TokenBucket(Share(1.0, 5.0), 0.0, 5.0)
        bucket.try_spend(4.0, 0.0)
        bucket.refund(4.0)
        self.assertEqual(bucket.tokens, 5.0)


class FractionTest(unittest.TestCase):
    """Hosts divide a limit in proportion to their demand."""

    @seed(20261204)
    @given(st.lists(st.floats(0.0, 1e6), min_size=1, max_size=12))
    def test_fractions_sum_to_one(self, demands: list[float]) -> None:
        """The fractions of hosts with the same view of demand sum to one."""
        parts = [
            compute_fraction(own, demands[:index] + demands[index + 1 :])
            for index, own in enumerate(demands)
        ]
        self.assertAlmostEqual(sum(parts), 1.0)

    def test_without_demand_parts_are_equal(self) -> None:
        """Without any demand all hosts get equal fractions."""
        self.assertEqual(compute_fraction(0.0, [0.0, 0.0, 0.0]), 0.25)

    def test_busier_host_gets_more(self) -> None:
        """A host with three times the demand gets three times the fraction."""
        part = compute_fraction(300.0, [100.0])
        self.assertAlmostEqual(part, 0.75)

    def test_demand_decays(self) -> None:
        """Measured demand halves in each half-life."""
        meter = DemandMeter()
        meter.add(100.0, 0.0)
        self.assertAlmostEqual(
            meter.read(DEMAND_HALF_LIFE_SECONDS), meter.read(0.0) / 2
        )


class DemandHistoryTest(unittest.TestCase):
    """An increase of demand counts only after the propagation bound."""

    def build(self, *rates: float) -> DemandHistory:
        """Return a history in which one of `rates` was published each second."""
        history = DemandHistory()
        for second, rate in enumerate(rates):
            history.add({"audit": rate}, float(second), propagation_bound=3.0)
        return history

    def test_nothing_published_counts_nothing(self) -> None:
        """A host that has published nothing counts no demand."""
        self.assertEqual(DemandHistory().compute_counted("audit", 9.0, 3.0), 0.0)

    def test_increase_counts_late(self) -> None:
        """An increase counts three seconds after it was published."""
        history = self.build(10.0, 10.0, 10.0, 10.0, 90.0)
        self.assertEqual(history.compute_counted("audit", 6.9, 3.0), 10.0)
        self.assertEqual(history.compute_counted("audit", 7.1, 3.0), 90.0)

    def test_decrease_counts_at_once(self) -> None:
        """A decrease counts at once, which leaves more for other hosts."""
        history = self.build(90.0, 90.0, 90.0, 90.0, 10.0)
        self.assertEqual(history.compute_counted("audit", 4.0, 3.0), 10.0)

    @seed(20261204)
    @given(st.lists(st.floats(0.0, 100.0), min_size=1, max_size=12))
    def test_never_more_than_any_reader_may_know(self, rates: list[float]) -> None:
        """The counted demand is at most what any reader up to 3 s late has read."""
        history = self.build(*rates)
        now = float(len(rates) - 1)
        counted = history.compute_counted("audit", now, 3.0)
        for late in range(4):
            if now - late >= 0:
                self.assertLessEqual(counted, rates[int(now - late)])


class ReaderTest(unittest.TestCase):
    """A reader counts at least the demand that a host counts for itself."""

    @seed(20261204)
    @given(
        st.lists(
            st.tuples(
                st.floats(0.0, 100.0),
                st.floats(0.0, 1.0),
                st.floats(0.0, 1.0),
                st.booleans(),
            ),
            min_size=2,
            max_size=12,
        ),
        st.floats(0.1, 2.0),
    )
    @example([(0.0, 1.0, 1.0, False), (1.0, 1.0, 0.0, False)], 0.25)
    def test_reader_counts_at_least_what_the_host_counts(
        self, writes: list[tuple[float, float, float, bool]], read_every: float
    ) -> None:
        """Late or lost answers to writes and unread records don't break the bound.

        A host sends no write before the one before it was answered, or timed out.
        """
        bound, tick = 3.0, 0.25
        host = PublishingState()
        reader = DemandHistory()
        committed: list[tuple[float, float]] = []
        confirmations: list[tuple[float, bool]] = []
        for second, (rate, delay, reply, is_lost) in enumerate(writes):
            committed.append((second + delay / 2, rate))
            confirmations.append((second + delay / 2 + reply / 2, is_lost))
        read_at, now, sent, settled, seen = 0.0, 0.0, 0, 0, -1
        while now < len(writes) + bound + 1:
            while settled < sent and confirmations[settled][0] <= now:
                if not confirmations[settled][1]:
                    host.confirm(confirmations[settled][0], bound)
                settled += 1
            while sent < len(writes) and sent <= now:
                host.unconfirmed.append({"audit": writes[sent][0]})
                sent += 1
            if now >= read_at + read_every:
                done = [n for n, (at, _) in enumerate(committed) if at <= now]
                if done and done[-1] != seen:
                    since = read_at if seen >= 0 else float("-inf")
                    seen = done[-1]
                    reader.add({"audit": committed[seen][1]}, since, bound)
                read_at = now
            if seen >= 0:
                own = host.compute_counted_demand("audit", now, bound)
                told = reader.compute_counted("audit", now, bound)
                self.assertLessEqual(own, told + 1e-9)
            now += tick
