"""Calls that are cancelled at a time on a clock that includes suspension."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import trio


@attrs.define(eq=False)
class Expiries:
    """The calls in flight that expire, and when, in seconds on the host's clock.

    The clock of trio's timeouts stands still while the host is suspended. A call
    that has expired meanwhile is cancelled by `cancel_expired` after the host has
    been resumed.
    """

    _scopes: dict[trio.CancelScope, float] = attrs.field(factory=dict, init=False)

    @contextmanager
    def limit_until(self, expires_at: float | None, now: float) -> Iterator[None]:
        """Cancel the block once the host's clock, now at `now`, has reached a time.

        With None the block has no limit.
        """
        if expires_at is None:
            yield
            return
        with trio.move_on_after(max(0.0, expires_at - now)) as scope:
            self._scopes[scope] = expires_at
            try:
                yield
            finally:
                del self._scopes[scope]

    def cancel_expired(self, now: float) -> None:
        """Cancel the calls that expired before `now` seconds on the host's clock."""
        for scope, expires_at in self._scopes.items():
            if now >= expires_at:
                scope.cancel()
