"""The memory that a process holds for its connections, and the pace of parsing.

Every connection has a share of one budget. It grows before bytes are kept and shrinks
when they are passed on::

    share = budget.open_share("callers", close)
    if await share.grow(len(data)):
        keep(data)

The budget grants what it has room for; without room its policy decides, see
`geraniumhall_core.buffers`.
"""

import sys
from collections.abc import Callable

import attrs
import trio

from geraniumhall_core.buffers import (
    FREED_FRACTION,
    MEMORY_POLICIES,
    ORDINARY_BYTES,
    RESERVED_FRACTION,
    Holding,
    HoldingKind,
    MemoryDecision,
    MemoryPolicy,
    MemoryQuery,
    MemoryVerdict,
)

CONNECTION_BYTES = 16 * 2**10  # of a connection's tasks and parser

DecisionListener = Callable[[str, Holding], None]


def ignore_decision(name: str, holding: Holding) -> None:
    """Do nothing; daemons count and log decisions instead."""


@attrs.define(eq=False)
class MemoryBudget:
    """A budget of `total` bytes for all connections of a process.

    `on_decision` gets the name of a decision other than a grant (`closed`, `refused`,
    `delayed`, `unbuffered`) and the connection that it concerns, before it is closed.
    """

    total: int = sys.maxsize
    policy: MemoryPolicy = attrs.field(
        factory=lambda: MEMORY_POLICIES.find("stalled_first")()
    )
    on_decision: DecisionListener = ignore_decision
    used: int = attrs.field(default=0, init=False)
    _shares: dict[Holding, "MemoryShare"] = attrs.field(factory=dict, init=False)
    _freed: trio.Event | None = attrs.field(default=None, init=False)

    @property
    def is_short(self) -> bool:
        """Whether little more than the reserve for ordinary connections is left."""
        return self.used > self.total * (1 - RESERVED_FRACTION - FREED_FRACTION)

    def has_room(self, asker: Holding, size: int) -> bool:
        """Return whether `size` bytes for an asker need no decision."""
        return self._build_query(asker, size).missing <= 0

    def open_share(self, group: str, close: Callable[[], None]) -> "MemoryShare":
        """Return the share of a new connection, which `close` ends at once."""
        now = trio.current_time()
        holding = Holding(group=group, began_at=now, progressed_at=now)
        share = MemoryShare(self, holding, close)
        self._shares[holding] = share
        share.add(CONNECTION_BYTES)
        return share

    def close_one(self, group: str) -> None:
        """Close the connection of a group that yields its place to a new one."""
        members = [holding for holding in self._shares if holding.group == group]
        holding = self.policy.choose_closed(trio.current_time(), members)
        if holding is not None:
            self._close(holding)

    def decide(
        self, asker: Holding, size: int, is_answer: bool = False
    ) -> MemoryVerdict:
        """Decide on `size` bytes for an asker, and close whom that needs."""
        query = self._build_query(asker, size, is_answer)
        if query.missing <= 0:
            return MemoryVerdict.GRANT
        decision: MemoryDecision = self.policy.decide(query, self._shares)
        for holding in decision.closed:
            self._close(holding)
        return decision.verdict

    async def wait_until_freed(self) -> None:
        """Wait until some connection holds less."""
        if self._freed is None:
            self._freed = trio.Event()
        await self._freed.wait()

    def change_used(self, size: int) -> None:
        """Add to the bytes in use, or take from them, which wakes who waits."""
        self.used += size
        if size < 0 and self._freed is not None:
            self._freed.set()
            self._freed = None

    def remove(self, holding: Holding) -> None:
        """Forget a connection that has ended."""
        if self._shares.pop(holding, None) is not None:
            self.change_used(-holding.size)
            holding.size = 0

    def _build_query(
        self, asker: Holding, size: int, is_answer: bool = False
    ) -> MemoryQuery:
        return MemoryQuery(
            now=trio.current_time(),
            asker=asker,
            size=size,
            used=self.used,
            total=self.total,
            is_answer=is_answer,
        )

    def _close(self, holding: Holding) -> None:
        self.on_decision("closed", holding)
        self._shares[holding].close()


@attrs.define(eq=False)
class MemoryShare:
    """What one connection holds of a budget; it holds nothing once it `is_closed`."""

    _budget: MemoryBudget
    holding: Holding
    _close: Callable[[], None]
    is_closed: bool = attrs.field(default=False, init=False)

    def enter(self, kind: HoldingKind) -> None:
        """Record what the connection holds memory for from now on."""
        self.holding.kind = kind
        self.holding.began_at = self.holding.progressed_at = trio.current_time()

    def record_progress(self) -> None:
        """Record that a part of the body came, or of the answer was taken."""
        self.holding.progressed_at = trio.current_time()

    async def grow(self, size: int) -> bool:
        """Hold further bytes, waiting if the policy says so.

        Return False if the connection was closed instead, as not run.
        """
        while not self.is_closed:
            verdict = self._budget.decide(self.holding, size)
            if verdict is MemoryVerdict.GRANT:
                self.add(size)
                return True
            if verdict is MemoryVerdict.REFUSE:
                self._budget.on_decision("refused", self.holding)
                self.close()
                return False
            self._budget.on_decision("delayed", self.holding)
            await self._budget.wait_until_freed()
        return False

    def reserve_read(self, least: int, most: int) -> int:
        """Hold room for a read of at most `most` bytes; return the size of that.

        Without room it is `least`, which is held in any case. A connection that stays
        ordinary with the read may use the reserve, so its read may be shorter than
        `most`.
        """
        ordinary = ORDINARY_BYTES - self.holding.size
        size = min(most, ordinary) if ordinary > least else most
        if not self.grow_if_free(size):
            size = least
            self.add(size)
        return size

    def grow_if_free(self, size: int) -> bool:
        """Hold further bytes if there is room for them; nobody is closed for it."""
        if self.is_closed or not self._budget.has_room(self.holding, size):
            return False
        self.add(size)
        return True

    def try_grow(self, size: int) -> bool:
        """Hold further bytes of an answer, or return False at once."""
        if self.is_closed:
            return False
        verdict = self._budget.decide(self.holding, size, is_answer=True)
        if verdict is not MemoryVerdict.GRANT:
            self._budget.on_decision("unbuffered", self.holding)
            return False
        self.add(size)
        return True

    def add(self, size: int) -> None:
        """Hold `size` bytes more, or less if it is negative, without a decision."""
        if not self.is_closed:
            self.holding.size += size
            self._budget.change_used(size)

    def close(self) -> None:
        """Give all bytes back and end the connection."""
        if not self.is_closed:
            self.end()
            self._close()

    def end(self) -> None:
        """Give all bytes back at the end of the connection."""
        self.is_closed = True
        self._budget.remove(self.holding)


@attrs.define(eq=False)
class ParsingPace:
    """A bound on the chunks that a process parses, `rate` a second.

    A body in chunks of a byte costs as much time as one a thousand times as long, so
    such bodies share the rate, and others are served between them.
    """

    rate: float = float("inf")
    burst: float = 1.0
    on_wait: Callable[[], None] = lambda: None
    _next_at: float = attrs.field(default=float("-inf"), init=False)

    async def spend(self, chunks: int) -> None:
        """Wait until `chunks` may have been parsed; always let other tasks run."""
        now = trio.current_time()
        self._next_at = max(now, self._next_at) + chunks / self.rate
        if self._next_at - self.burst > now:
            self.on_wait()
        await trio.sleep_until(self._next_at - self.burst)
