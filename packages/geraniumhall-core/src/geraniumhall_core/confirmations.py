"""Confirmation policies: what keeps a host's copy of the store current.

Every host has to know of withdrawn keys, routes and leaving servers within their
bounds. Everything else in the store may be read later or be seconds old, if no
limit depends on it. A policy is a function registered under the name used in
settings; it returns the plan by which a host reads and writes the store::

    @CONFIRMATION_POLICIES.register("rare")
    def read_rarely():
        return ConfirmationPlan(is_sparing=True)
"""

from collections.abc import Callable
from math import ceil

import attrs

from geraniumhall_core.registry import Registry

MAX_SPARING_INTERVAL_SECONDS = 6.0
READERS_PER_DOMAIN = 2  # so that one may fail


@attrs.frozen(kw_only=True)
class ConfirmationPlan:
    """How a host keeps its copy of the store current.

    With `is_sparing`, records of hosts are written once in a usage window and read
    from whichever copy of the store is cheapest, while no limit and no access of
    callers depends on records. `readers` is how many hosts of each failure domain
    read the configuration and the servers from the store; None means all.
    """

    is_sparing: bool = False
    readers: int | None = None


ConfirmationPolicy = Callable[[], ConfirmationPlan]
CONFIRMATION_POLICIES: Registry[str, ConfirmationPolicy] = Registry(
    "confirmation policy"
)


@CONFIRMATION_POLICIES.register("store")
def read_always() -> ConfirmationPlan:
    """Let every host confirm every feed by the store itself: the baseline."""
    return ConfirmationPlan()


@CONFIRMATION_POLICIES.register("sparing")
def read_sparingly() -> ConfirmationPlan:
    """Make no call that no promise needs."""
    return ConfirmationPlan(is_sparing=True)


@CONFIRMATION_POLICIES.register("relayed")
def relay_copies() -> ConfirmationPlan:
    """Let a few readers of each failure domain confirm the copies of the others."""
    return ConfirmationPlan(is_sparing=True, readers=READERS_PER_DOMAIN)


def compute_sparing_interval(window: float) -> float:
    """Return the seconds between two writes of a host's record.

    `window` is the length of a usage window in seconds. The interval divides it, so
    that one of the writes follows the end of each window::

        compute_sparing_interval(5.0) == 5.0
        compute_sparing_interval(60.0) == 6.0
    """
    return window / ceil(window / MAX_SPARING_INTERVAL_SECONDS)
