"""Retry budgets, which bound retries to a fraction of requests, and backoff."""

import attrs


@attrs.define
class RetryBudget:
    """A budget to which each request adds `ratio` of a retry, up to `burst`."""

    ratio: float
    burst: float
    balance: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.balance = self.burst

    def earn(self) -> None:
        """Add the share of one new request."""
        self.balance = min(self.burst, self.balance + self.ratio)

    def set_burst(self, burst: float) -> None:
        """Change the maximum balance; what is above it is dropped."""
        self.burst = burst
        self.balance = min(self.balance, burst)

    def can_spend(self) -> bool:
        """Return whether the budget allows a retry."""
        return self.balance >= 1

    def try_spend(self) -> bool:
        """Spend one retry and return True, or return False if there is none."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


def compute_backoff(failures: int, base: float, limit: float, draw: float) -> float:
    """Return a delay in seconds that is exponential in `failures`, with jitter.

    `draw` is in [0, 1). The delay is at least half of the exponential value, so
    that hosts spread out but never retry immediately.
    """
    ceiling = min(limit, base * 2 ** min(failures, 16))
    return ceiling * (0.5 + draw / 2)
