"""Scaling policies: how many servers a service has in each failure domain.

Each policy is a function registered under the name used in settings. It gets the
bounds of a service and its current servers in one failure domain, and returns
the numbers to request there, or None to request nothing::

    @SCALING_POLICIES.register("fixed")
    def keep_minimum(bounds, domain):
        return DomainTarget(regular=bounds.minimum, reclaimable=0)
"""

from collections.abc import Callable

import attrs

from geraniumhall_core.catalogue import ScaleBounds
from geraniumhall_core.registry import Registry


@attrs.frozen(kw_only=True)
class DomainView:
    """The number of servers that a service has in one failure domain."""

    regular: int
    reclaimable: int


@attrs.frozen(kw_only=True)
class DomainTarget:
    """The number of servers that a service should have in one failure domain."""

    regular: int
    reclaimable: int


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
    so that the number of serving servers does not drop during the change.
    """
    if bounds.reclaimable_price is None:
        return None
    headroom = bounds.maximum - bounds.minimum
    regular = max(bounds.minimum, domain.regular)
    if domain.reclaimable:
        regular = max(bounds.minimum, domain.regular - domain.reclaimable)
    reclaimable = min(headroom, bounds.maximum - regular)
    return DomainTarget(regular=regular, reclaimable=reclaimable)
