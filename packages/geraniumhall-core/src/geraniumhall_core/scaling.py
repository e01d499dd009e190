"""Scaling policies: how many servers a service has in each failure domain.

Each policy is a function registered under the name that settings use. It
gets the bounds of a service, and what serves in one failure domain, and
returns the numbers to order there::

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
    """What a service has in one failure domain now."""

    regular: int
    reclaimable: int


@attrs.frozen(kw_only=True)
class DomainTarget:
    """What a service should have in one failure domain."""

    regular: int
    reclaimable: int


ScalingPolicy = Callable[[ScaleBounds, DomainView], DomainTarget | None]
SCALING_POLICIES: Registry[str, ScalingPolicy] = Registry("scaling policy")


@SCALING_POLICIES.register("none")
def leave_as_is(bounds: ScaleBounds, domain: DomainView) -> DomainTarget | None:
    """Order nothing; the servers that are there stay."""
    return None


@SCALING_POLICIES.register("reclaimable_first")
def prefer_reclaimable(bounds: ScaleBounds, domain: DomainView) -> DomainTarget | None:
    """Fill up with reclaimable servers, and give regular ones back for them.

    A regular server goes only when a reclaimable one serves in its place, so
    that the number that serves does not fall on the way.
    """
    if bounds.reclaimable_price is None:
        return None
    room = bounds.maximum - bounds.minimum
    regular = max(bounds.minimum, domain.regular)
    if domain.reclaimable:
        regular = max(bounds.minimum, domain.regular - domain.reclaimable)
    reclaimable = min(room, bounds.maximum - regular)
    return DomainTarget(regular=regular, reclaimable=reclaimable)
