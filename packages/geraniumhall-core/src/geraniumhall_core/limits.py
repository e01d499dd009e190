"""Rate limits: a token bucket for each workspace on each host.

A workspace's rate and burst hold over all hosts together. Each host takes the
part of them that its callers' demand has in the demand on all live hosts. It
counts an increase of its own demand only when all others must know of it, so
that the parts never sum to much more than one while demand shifts.
"""

import attrs

DEMAND_HALF_LIFE_SECONDS = 8.0
MIN_DEMAND_FRACTION = 0.25


@attrs.frozen
class Share:
    """A host's part of a workspace's rate (a second) and burst.

    Where there is an `overdraft`, a bucket may go that far below zero, and a
    request that costs more than burst and overdraft needs a full bucket.
    """

    rate: float
    burst: float
    overdraft: float = 0.0

    def compute_required_level(self, cost: float) -> float:
        """Return what a bucket must hold for a request of this cost."""
        if not self.overdraft:
            return cost
        return min(cost, self.burst + self.overdraft) - self.overdraft

    def scale(self, fraction: float) -> "Share":
        """Return a fraction of it."""
        return Share(
            self.rate * fraction, self.burst * fraction, self.overdraft * fraction
        )


@attrs.frozen(kw_only=True)
class RateTolerance:
    """By how much all hosts together may miss a limit that counts tokens.

    In any `window` seconds a workspace may get `ratio` of what its rate and
    burst allow, and `slack` tokens, in excess.
    """

    window: float = 0.0
    ratio: float = 0.0
    slack: float = 0.0

    def compute_excess(self, rate: float, burst: float) -> float:
        """Return the tokens that may run in excess within one window."""
        return (rate * self.window + burst) * self.ratio + self.slack


@attrs.define
class TokenBucket:
    """A bucket that accrues `share.rate` a second up to `share.burst`.

    The bucket starts empty, so that a process restarted on a host can't spend
    its predecessor's burst a second time.
    """

    share: Share
    updated_at: float
    tokens: float = 0.0

    def refill(self, now: float) -> None:
        """Add the tokens earned since the last update; a clock never runs back."""
        elapsed = max(0.0, now - self.updated_at)
        earned = self.tokens + elapsed * self.share.rate
        self.tokens = min(self.share.burst, earned)
        self.updated_at = max(self.updated_at, now)

    def try_spend(self, cost: float, now: float) -> bool:
        """Spend a request's cost if the bucket's level allows and return True.

        Otherwise the bucket stays as it is.
        """
        self.refill(now)
        if self.tokens < self.share.compute_required_level(cost):
            return False
        self.tokens -= cost
        return True

    def refund(self, amount: float) -> None:
        """Return the tokens of a request that did not run."""
        self.tokens = min(self.share.burst, self.tokens + amount)

    def seconds_until(self, cost: float) -> float | None:
        """Return seconds until a request can be paid, or None if it never can."""
        level = self.share.compute_required_level(cost)
        if self.share.rate <= 0 or self.share.burst < level:
            return None
        return max(0.0, (level - self.tokens) / self.share.rate)

    def resize(self, share: Share, now: float) -> None:
        """Change the share; what is above the new burst is lost."""
        self.refill(now)
        self.share = share
        self.tokens = min(self.tokens, share.burst)


@attrs.define
class DemandMeter:
    """What callers ask a second, as an average that forgets exponentially."""

    rate: float = 0.0
    updated_at: float = float("-inf")

    def add(self, amount: float, now: float) -> None:
        """Count a request of `amount`."""
        self.rate = self.read(now) + amount / DEMAND_HALF_LIFE_SECONDS
        self.updated_at = now

    def read(self, now: float) -> float:
        """Return the demand a second at `now`."""
        age = max(0.0, now - self.updated_at)
        return self.rate * 0.5 ** (age / DEMAND_HALF_LIFE_SECONDS)


@attrs.frozen
class PublishedDemand:
    """What a host had told the others of its callers' demand, since `since`."""

    since: float
    rates: dict[str, float]


@attrs.define
class DemandHistory:
    """What a host told the others lately, oldest first.

    Kept by the host of its own records and by each reader of the others'. The
    host dates a record when the write was confirmed, and a reader dates it
    before the write, so that a reader never counts less of another host than
    that host counts of itself.
    """

    entries: list[PublishedDemand] = attrs.field(factory=list)

    def add(
        self, rates: dict[str, float], since: float, propagation_bound: float
    ) -> None:
        """Note that the others can read these rates since then.

        Entries that were replaced more than `propagation_bound` seconds ago say
        nothing any more.
        """
        self.entries.append(PublishedDemand(since, rates))
        while (
            len(self.entries) > 1 and self.entries[1].since <= since - propagation_bound
        ):
            del self.entries[0]

    def compute_counted(
        self, workspace: str, now: float, propagation_bound: float
    ) -> float:
        """Return the demand that the host counts of itself by now.

        A host that has not read what was published `propagation_bound` seconds ago
        serves no keys, so a higher demand counts from then on; a lower one
        counts at once.
        """
        if not self.entries or self.entries[0].since > now - propagation_bound:
            return 0.0
        recent = [e for e in self.entries[1:] if e.since > now - propagation_bound]
        older = [e for e in self.entries if e.since <= now - propagation_bound][-1:]
        return min(entry.rates.get(workspace, 0.0) for entry in [*older, *recent])


def compute_fraction(own: float, others: list[float]) -> float:
    """Return a host's part of a limit, by its demand among all live hosts.

    Every host counts with at least `MIN_DEMAND_FRACTION` of an equal part, so
    that one without callers so far can take its first request.
    """
    demands = [own, *others]
    equal = max(sum(demands) / len(demands), 1.0)
    floor = equal * MIN_DEMAND_FRACTION
    weights = [max(demand, floor) for demand in demands]
    return weights[0] / sum(weights)
