"""A bound on the bodies that are read as a whole, for all exchanges of a pool together.

Relayed answers are passed on as they come and have a budget of their own; what is read
for the daemon itself, such as the store's answers, is held until it is whole::

    with pool.bodies.open_share() as share:
        if not share.grow(len(chunk)):
            raise ExchangeFailedError("no room for the body")
"""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs

MAX_FETCHED_BYTES = 16 * 2**20  # of one body, and of all together
MAX_SHORT_BODY_BYTES = 64 * 2**10  # of an answer that is a status or a handle


@attrs.define(eq=False)
class BodyBudget:
    """At most `total` bytes of bodies that are being read.

    An exchange may always hold its equal part of them, so one that takes more than that
    fails none of the others.
    """

    total: int = MAX_FETCHED_BYTES
    _held: int = attrs.field(default=0, init=False)
    _shares: int = attrs.field(default=0, init=False)

    @contextmanager
    def open_share(self, most: int = MAX_FETCHED_BYTES) -> Iterator["BodyShare"]:
        """Open the share of an exchange, whose body has at most `most` bytes."""
        share = BodyShare(self, most)
        self._shares += 1
        try:
            yield share
        finally:
            self._shares -= 1
            self._held -= share.size

    def has_room(self, share: "BodyShare", size: int) -> bool:
        """Return whether a share may grow by `size` bytes."""
        is_equal_part = share.size + size <= self.total // max(1, self._shares)
        return is_equal_part or self._held + size <= self.total

    def add(self, size: int) -> None:
        """Count further bytes as held."""
        self._held += size


@attrs.define(eq=False)
class BodyShare:
    """What one exchange holds of a budget, in bytes."""

    _budget: BodyBudget
    most: int
    size: int = attrs.field(default=0, init=False)

    def grow(self, size: int) -> bool:
        """Hold further bytes, or return False if there is no room for them."""
        if self.size + size > self.most or not self._budget.has_room(self, size):
            return False
        self.size += size
        self._budget.add(size)
        return True
