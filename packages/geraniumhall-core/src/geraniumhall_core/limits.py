"""Distributed rate limits: a token bucket for each workspace on each host.

A workspace's rate and burst apply to all hosts together. Each host takes a share
in proportion to its callers' demand among all live hosts. It claims an increase
of its own demand only once every other host must have seen it, so that the
shares never sum to much more than one while demand shifts.
"""

import attrs

DEMAND_HALF_LIFE_SECONDS = 8.0
MIN_DEMAND_FRACTION = 0.25


@attrs.frozen
class Share:
    """A host's share of a workspace's rate (tokens a second) and burst (tokens).

    With an `overdraft`, the bucket may go that many tokens below zero, and a
    request that costs more than burst and overdraft together needs a full bucket.
    """

    rate: float
    burst: float
    overdraft: float = 0.0

    def compute_required_level(self, cost: float) -> float:
        """Return the tokens that a bucket must hold to admit a request of `cost`."""
        if not self.overdraft:
            return cost
        return min(cost, self.burst + self.overdraft) - self.overdraft

    def scale(self, fraction: float) -> "Share":
        """Return the share multiplied by `fraction`."""
        return Share(
            self.rate * fraction, self.burst * fraction, self.overdraft * fraction
        )


@attrs.frozen(kw_only=True)
class RateTolerance:
    """The tolerated excess over a limit that counts tokens, over all hosts.

    In any `window` seconds, a workspace may exceed what its rate and burst allow
    by the fraction `ratio` of it plus `slack` tokens.
    """

    window: float = 0.0
    ratio: float = 0.0
    slack: float = 0.0

    def compute_excess(self, rate: float, burst: float) -> float:
        """Return the tolerated excess within one window, in tokens."""
        return (rate * self.window + burst) * self.ratio + self.slack


@attrs.define
class TokenBucket:
    """A token bucket that refills at `share.rate` a second up to `share.burst`.

    The bucket starts empty, so that a restarted process can't spend a burst that
    its predecessor on the host has already spent.
    """

    share: Share
    updated_at: float
    tokens: float = 0.0

    def refill(self, now: float) -> None:
        """Add the tokens earned since the last update; ignore an earlier `now`."""
        elapsed = max(0.0, now - self.updated_at)
        earned = self.tokens + elapsed * self.share.rate
        self.tokens = min(self.share.burst, earned)
        self.updated_at = max(self.updated_at, now)

    def try_spend(self, cost: float, now: float) -> bool:
        """Take `cost` tokens and return True if the bucket holds enough.

        Otherwise return False and take nothing.
        """
        self.refill(now)
        if self.tokens < self.share.compute_required_level(cost):
            return False
        self.tokens -= cost
        return True

    def refund(self, amount: float) -> None:
        """Put back the tokens of a request that did not run."""
        self.tokens = min(self.share.burst, self.tokens + amount)

    def seconds_until(self, cost: float) -> float | None:
        """Return the seconds until `cost` can be spent, or None if it never can."""
        level = self.share.compute_required_level(cost)
        if self.share.rate <= 0 or self.share.burst < level:
            return None
        return max(0.0, (level - self.tokens) / self.share.rate)

    def resize(self, share: Share, now: float) -> None:
        """Change the share; tokens above the new burst are dropped."""
        self.refill(now)
        self.share = share
        self.tokens = min(self.tokens, share.burst)


@attrs.define
class DemandMeter:
    """An exponentially decaying measure of demand a second.

    Constant demand reads as 1 / ln 2 (1.44) times its rate.
    """

    rate: float = 0.0
    updated_at: float = float("-inf")

    def add(self, amount: float, now: float) -> None:
        """Add a request that costs `amount`."""
        self.rate = self.read(now) + amount / DEMAND_HALF_LIFE_SECONDS
        self.updated_at = now

    def read(self, now: float) -> float:
        """Return the measured demand at `now`."""
        age = max(0.0, now - self.updated_at)
        return self.rate * 0.5 ** (age / DEMAND_HALF_LIFE_SECONDS)


@attrs.frozen
class PublishedDemand:
    """Demand rates that a host published, by workspace, in force from `since`."""

    since: float
    rates: dict[str, float]


@attrs.define
class DemandHistory:
    """Demand that a host published recently, oldest first.

    A host keeps the history of its own records, and each reader keeps that of
    every other host. The host dates a record when the write was confirmed, and a
    reader dates it before the write, so that a reader never counts less for a
    host than the host claims for itself.
    """

    entries: list[PublishedDemand] = attrs.field(factory=list)

    def add(
        self, rates: dict[str, float], since: float, propagation_bound: float
    ) -> None:
        """Add rates that other hosts can read from `since`.

        Entries that were replaced more than `propagation_bound` seconds before
        that are dropped.
        """
        self.entries.append(PublishedDemand(since, rates))
        while (
            len(self.entries) > 1 and self.entries[1].since <= since - propagation_bound
        ):
            del self.entries[0]

    def compute_counted(
        self, workspace: str, now: float, propagation_bound: float
    ) -> float:
        """Return the demand that the host may claim a share for at `now`.

        A higher demand counts once it has been published for `propagation_bound`
        seconds, since a host whose copy is older than that admits no requests
        with a key. A lower demand counts at once.
        """
        if not self.entries or self.entries[0].since > now - propagation_bound:
            return 0.0
        recent = [e for e in self.entries[1:] if e.since > now - propagation_bound]
        older = [e for e in self.entries if e.since <= now - propagation_bound][-1:]
        return min(entry.rates.get(workspace, 0.0) for entry in [*older, *recent])


def compute_fraction(own: float, others: list[float]) -> float:
    """Return a host's fraction of a limit by its demand among all live hosts.

    Every host counts with at least `MIN_DEMAND_FRACTION` of the mean demand, so
    that a host without callers so far can admit its first request.
    """
    demands = [own, *others]
    mean = max(sum(demands) / len(demands), 1.0)
    floor = mean * MIN_DEMAND_FRACTION
    weights = [max(demand, floor) for demand in demands]
    return weights[0] / sum(weights)
