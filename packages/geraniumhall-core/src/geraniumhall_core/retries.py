"""Retry budgets: further attempts are a bounded fraction of requests."""

import attrs


@attrs.define
class RetryBudget:
    """Each request earns `ratio` of a retry, up to `burst` retries."""

    ratio: float
    burst: float
    balance: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.balance = self.burst

    def earn(self) -> None:
        """Count one new request."""
        self.balance = min(self.burst, self.balance + self.ratio)

    def set_burst(self, burst: float) -> None:
        """Change how many retries may be saved up."""
        self.burst = burst
        self.balance = min(self.balance, burst)

    def can_spend(self) -> bool:
        """Tell whether a retry could be spent."""
        return self.balance >= 1

    def try_spend(self) -> bool:
        """Spend one retry and return True, or return False."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


def compute_backoff(failures: int, base: float, limit: float, draw: float) -> float:
    """Return a delay in seconds, exponential in `failures`, with full jitter.

    `draw` is in [0, 1). At least half of the exponential delay is kept, so
    that a fleet spreads out but never retries at once.
    """
    ceiling = min(limit, base * 2 ** min(failures, 16))
    return ceiling * (0.5 + draw / 2)
