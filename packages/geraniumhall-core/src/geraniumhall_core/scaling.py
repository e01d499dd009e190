"""Scaling policies: how many servers a service has in each failure domain.

Each policy is a function registered under the name used in settings. It gets the
bounds of a service and its current servers in one failure domain, and returns
the numbers to request there, or None to request nothing::

    @SCALING_POLICIES.register("fixed")
    def keep_minimum(bounds, domain):
        return DomainTarget(regular=bounds.minimum, reclaimable=0)
"""

from collections.abc import Callable
from math import ceil, exp

import attrs

from geraniumhall_core.catalogue import ScaleBounds
from geraniumhall_core.registry import Registry

RETRY_SECONDS = 2.0
REPEAT_SECONDS = 15.0  # between equal requests while no server is missing
# A prompt that arrives at random finds a free engine in most cases at this load.
BUSY_TARGET = 0.3
RELEASE_FRACTION = (
    0.8  # of the need; smaller changes are no reason to give servers back
)
SMOOTHING_SECONDS = 1.0
FULL_PREFILL_SECONDS = 0.1
PEAK_HALF_LIFE_BOOTS = 5.0  # in start-up times of a server


@attrs.frozen(kw_only=True)
class DomainView:
    """The number of servers that a service has in one failure domain.

    `lacks_reclaimable` is true if the latest answered request for reclaimable
    servers there was not accepted. `needed` servers there would carry the service's
    load, None if that is not known.
    """

    regular: int
    reclaimable: int
    lacks_reclaimable: bool = False
    needed: int | None = None


@attrs.frozen(kw_only=True)
class DomainTarget:
    """The number of servers that a service should have in one failure domain."""

    regular: int
    reclaimable: int


@attrs.define
class ServiceDemand:
    """How many servers a service needs, from the work at those that it has.

    `busy` is the recent number of busy servers, smoothed, and `peak` the highest of
    late, which decays so that a wave of load finds the servers of the one before it.
    `needed` is what was last decided on, for all failure domains together.
    """

    busy: float = 0.0
    peak: float = 0.0
    needed: int = 0
    observed_at: float = float("-inf")

    @classmethod
    def from_servers(cls, servers: int, now: float) -> "ServiceDemand":
        """Begin with the servers that are there as the need, until load is known."""
        return cls(0.0, servers * BUSY_TARGET, servers, now)

    def observe(self, busy: float, half_life: float, now: float) -> None:
        """Record the number of busy servers now; the peak halves in `half_life`.

        A service without work yet keeps what it has, since its load is not known.
        """
        elapsed = now - self.observed_at
        self.observed_at = now
        if not busy and not self.busy:
            return
        self.busy += (busy - self.busy) * (1 - exp(-elapsed / SMOOTHING_SECONDS))
        self.peak = max(self.busy, self.peak * 0.5 ** (elapsed / half_life))

    def decide(self) -> int:
        """Return the number of servers needed, with less need only once it is clear."""
        wanted = ceil(self.peak / BUSY_TARGET)
        if wanted > self.needed or wanted < self.needed * RELEASE_FRACTION:
            self.needed = wanted
        return self.needed


def measure_busy(requests: float, slots: int, prefill_seconds: float) -> float:
    """Return how busy a server is, from 0 to 1.

    A server is busy as far as its slots are taken, or fully while a prompt waits whose
    prefill takes `FULL_PREFILL_SECONDS`::

        measure_busy(requests=16, slots=64, prefill_seconds=0.0) == 0.25
    """
    taken = requests / slots if slots else float(requests > 0)
    return min(1.0, taken + prefill_seconds / FULL_PREFILL_SECONDS)


@attrs.define
class ScaleRequest:
    """Scale requests for a service's regular or reclaimable servers in one domain.

    `count` is that of the last answered request, or None if the platform did not
    accept it or none was answered yet. `answered_at` is in seconds on the host's
    clock, and `most_serving` the most servers that have served since.
    """

    count: int | None = None
    is_calling: bool = False
    answered_at: float = float("-inf")
    most_serving: int = 0

    @property
    def was_rejected(self) -> bool:
        """Whether the latest answered request was not accepted."""
        return self.count is None and self.answered_at != float("-inf")

    def record_answer(self, count: int | None, now: float) -> None:
        """Record an accepted count, or None for a request that was not accepted."""
        self.is_calling = False
        self.count = count
        self.answered_at = now
        self.most_serving = 0

    def observe_servers(self, serving: int) -> None:
        """Record how many of the requested servers serve now."""
        self.most_serving = max(self.most_serving, serving)

    def is_due(self, count: int, serving: int, boot_seconds: float, now: float) -> bool:
        """Return whether to request `count` servers, of which `serving` serve now.

        An accepted request is repeated if servers were lost since, or did not come,
        because the platform does not replace those that it reclaims.
        """
        if self.is_calling:
            return False
        if self.count is None:
            wait = RETRY_SECONDS
        elif self.count != count:
            wait = 0.0
        elif serving < min(count, self.most_serving):
            wait = RETRY_SECONDS
        elif serving < count:
            wait = boot_seconds + RETRY_SECONDS
        else:
            wait = REPEAT_SECONDS
        return now >= self.answered_at + wait


ScalingPolicy = Callable[[ScaleBounds, DomainView], DomainTarget | None]
SCALING_POLICIES: Registry[str, ScalingPolicy] = Registry("scaling policy")


@SCALING_POLICIES.register("none")
def leave_as_is(bounds: ScaleBounds, domain: DomainView) -> DomainTarget | None:
    """Request nothing and leave the servers as they are."""
    return None


@SCALING_POLICIES.register("reclaimable_first")
def prefer_reclaimable(bounds: ScaleBounds, domain: DomainView) -> DomainTarget | None:
    """Prefer reclaimable servers above the minimum of regular ones.

    A regular server is given up only once a reclaimable one serves in its place,
    so that the number of serving servers does not drop during the change. While no
    reclaimable ones are to be had, regular ones take their place up to half of the
    maximum. The other half is left for reclaimable ones, since the maximum applies
    to both kinds together.
    """
    if bounds.reclaimable_price is None:
        return None
    headroom = bounds.maximum - bounds.minimum
    regular = max(bounds.minimum, domain.regular)
    if domain.reclaimable:
        regular = max(bounds.minimum, domain.regular - domain.reclaimable)
    if domain.lacks_reclaimable:
        substitutes = bounds.maximum // 2 - domain.reclaimable
        regular = max(regular, substitutes)
    reclaimable = min(headroom, bounds.maximum - regular)
    return DomainTarget(regular=regular, reclaimable=reclaimable)


@SCALING_POLICIES.register("by_load")
def follow_load(bounds: ScaleBounds, domain: DomainView) -> DomainTarget | None:
    """Prefer reclaimable servers, as many as the load of the service needs.

    It answers demand that comes in waves and falls to a fraction of what the maximum
    would carry. Regular servers beyond the need are given up at once, the others only
    as reclaimable ones serve in their place. While no reclaimable ones are to be had,
    regular ones take the place of those that are missing, up to half of the maximum.
    """
    if domain.needed is None:
        return prefer_reclaimable(bounds, domain)
    if bounds.reclaimable_price is None:
        return None
    needed = min(max(domain.needed, bounds.minimum), bounds.maximum)
    regular = max(bounds.minimum, min(domain.regular, needed) - domain.reclaimable)
    if domain.lacks_reclaimable:
        substitutes = min(needed, bounds.maximum // 2) - domain.reclaimable
        regular = max(regular, substitutes)
    wanted = needed - bounds.minimum
    reclaimable = min(wanted, bounds.maximum - max(regular, domain.regular))
    return DomainTarget(regular=regular, reclaimable=max(0, reclaimable))
