"""Rate limits: a token bucket for each workspace on each host.

The buckets of all hosts together never hold more than the workspace's burst
and never accrue faster than its rate, because each host's bucket is a fixed
share of both. Shares sum to at most one.
"""

import attrs


@attrs.define
class TokenBucket:
    """A bucket that accrues `rate` tokens a second up to `burst`.

    The bucket starts empty by default, so that a process restarted on a host
    can't spend its predecessor's burst a second time.
    """

    rate: float
    burst: float
    updated_at: float
    tokens: float = 0.0

    def accrue(self, now: float) -> None:
        """Add the tokens earned since the last update; a clock never runs back."""
        elapsed = max(0.0, now - self.updated_at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.updated_at = max(self.updated_at, now)

    def try_spend(self, amount: float, now: float) -> bool:
        """Spend `amount` tokens and return True, or leave the bucket as it is."""
        self.accrue(now)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def seconds_until(self, amount: float) -> float | None:
        """Return seconds until `amount` is there, or None if it never will be."""
        if amount > self.burst or self.rate <= 0:
            return None
        return max(0.0, (amount - self.tokens) / self.rate)

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Change rate and burst; tokens over the new burst are lost."""
        self.accrue(now)
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, burst)
