"""Memory policies: who may hold bytes for callers when memory is short.

A process has a budget of bytes for what it holds for its connections: heads, bodies and
answers that were not read yet. While the budget has room every connection gets what it
asks for. When it has none, a policy registered under the name used in settings says
who waits, who is refused and who is closed::

    @MEMORY_POLICIES.register("never_close")
    class KeepAll: ...

A policy is a function of the holdings alone, so it is tested without a network.
"""

from collections.abc import Callable, Iterable
from enum import Enum
from typing import Protocol

import attrs

from geraniumhall_core.registry import Registry

ORDINARY_BYTES = 64 * 2**10  # a connection that holds no more may use the reserve
RESERVED_FRACTION = 0.25  # of the budget, for ordinary connections
FREED_FRACTION = 1 / 16  # of the budget, freed at once so that few decisions do
STALL_SECONDS = 1.0  # without a byte of the body
SLOW_SECONDS = 2.0  # since the first bytes of a request that isn't whole
UNREAD_SECONDS = 5.0  # without a byte of the answer taken


class HoldingKind(Enum):
    """What a connection holds memory for.

    An `IDLE` connection has no request. An `INCOMPLETE` request has not arrived whole
    and has certainly not run. A `RUNNING` one is whole. With `ANSWER` the caller has
    yet to read its response.
    """

    IDLE = "idle"
    INCOMPLETE = "incomplete"
    RUNNING = "running"
    ANSWER = "answer"


@attrs.define(eq=False, kw_only=True)
class Holding:
    """What one connection holds.

    `size` is in bytes; `began_at` and `progressed_at` are in seconds on one clock: when
    the request began, and when a part of its body came or of its answer was taken.
    `group` names the listener.
    """

    group: str = ""
    kind: HoldingKind = HoldingKind.IDLE
    size: int = 0
    began_at: float = 0.0
    progressed_at: float = 0.0

    def compute_speed(self, now: float) -> float:
        """Return the average speed since the request began, in bytes a second."""
        return self.size / max(now - self.began_at, 0.001)


class MemoryVerdict(Enum):
    """What happens to a connection that asks for bytes."""

    GRANT = "grant"
    WAIT = "wait"
    REFUSE = "refuse"


@attrs.frozen(kw_only=True)
class MemoryQuery:
    """A connection that asks for `size` further bytes, and the budget.

    `used` counts the bytes of all connections; `now` is in seconds. Bytes that
    `is_answer` asks for hold an answer back, which can be passed on without them.
    """

    now: float
    asker: Holding
    size: int
    used: int
    total: int
    is_answer: bool = False

    @property
    def is_ordinary(self) -> bool:
        """Whether the asker holds little enough to use the reserve."""
        return self.asker.size + self.size <= ORDINARY_BYTES

    @property
    def missing(self) -> int:
        """How many bytes must be freed to grant the request, at most zero if none."""
        reserve = 0 if self.is_ordinary else int(self.total * RESERVED_FRACTION)
        return self.used + self.size + reserve - self.total


@attrs.frozen
class MemoryDecision:
    """The verdict on an asker, and the connections to close before it is granted."""

    verdict: MemoryVerdict
    closed: tuple[Holding, ...] = ()


class MemoryPolicy(Protocol):
    """Decides who waits, who is refused and who is closed."""

    def decide(self, query: MemoryQuery, holdings: Iterable[Holding]) -> MemoryDecision:
        """Decide on a request for bytes that the budget has no room for."""

    def choose_closed(self, now: float, holdings: Iterable[Holding]) -> Holding | None:
        """Return the connection that yields its place to a new one, or None."""


MEMORY_POLICIES: Registry[str, Callable[[], MemoryPolicy]] = Registry("memory policy")


@MEMORY_POLICIES.register("stalled_first")
@attrs.frozen
class StalledFirst:
    """Closes incomplete requests: stalled before others, then by size, speed and age.

    Then come answers that nobody reads, then idle connections. A request that is whole
    is never closed. An asker that is next to be closed is refused, unless it is
    ordinary: then it waits for room if none can be made. Only incomplete requests have
    others closed that are not stalled.
    """

    def decide(self, query: MemoryQuery, holdings: Iterable[Holding]) -> MemoryDecision:
        """Free the missing bytes and a little more, or refuse the asker."""
        if query.missing <= 0:
            return MemoryDecision(MemoryVerdict.GRANT)
        goal = query.missing + int(query.total * FREED_FRACTION)
        closed: list[Holding] = []
        freed = 0
        for holding in _rank_for_memory(query, holdings):
            if holding is query.asker:
                if query.is_ordinary:
                    continue
                break
            closed.append(holding)
            freed += holding.size
            if freed >= goal:
                break
        if freed >= query.missing:
            return MemoryDecision(MemoryVerdict.GRANT, tuple(closed))
        is_whole = query.asker.kind is not HoldingKind.INCOMPLETE
        may_wait = not query.is_answer and (query.is_ordinary or is_whole)
        verdict = MemoryVerdict.WAIT if may_wait else MemoryVerdict.REFUSE
        return MemoryDecision(verdict, tuple(closed))

    def choose_closed(self, now: float, holdings: Iterable[Holding]) -> Holding | None:
        """Return the oldest stalled request, else the longest idle connection.

        Without either, the slowest request yields that has arrived for `SLOW_SECONDS`
        and isn't whole, then the answer that has been unread for longest. It answers
        the load in which uploads that go on, a little at a time, hold all places.
        Other connections are kept, so that a new one waits.
        """
        ranked = [(_rank_for_place(now, holding), holding) for holding in holdings]
        closable = [(rank, holding) for rank, holding in ranked if rank is not None]
        first = min(closable, key=lambda item: item[0], default=None)
        return None if first is None else first[1]


def _rank_for_place(now: float, holding: Holding) -> tuple[int, float] | None:
    silence = now - holding.progressed_at
    if holding.kind is HoldingKind.INCOMPLETE and silence > STALL_SECONDS:
        return 0, holding.began_at
    if holding.kind is HoldingKind.IDLE and silence > STALL_SECONDS:
        return 1, holding.progressed_at
    is_slow = now - holding.began_at > SLOW_SECONDS
    if holding.kind is HoldingKind.INCOMPLETE and is_slow:
        return 2, holding.compute_speed(now)
    if holding.kind is HoldingKind.ANSWER and silence > UNREAD_SECONDS:
        return 3, holding.progressed_at
    return None


def _rank_for_memory(query: MemoryQuery, holdings: Iterable[Holding]) -> list[Holding]:
    """Return the connections that may be closed for the asker, the first one first."""
    ranked = [(_rank_holding(query, holding), holding) for holding in holdings]
    closable = [(rank, holding) for rank, holding in ranked if rank is not None]
    closable.sort(key=lambda item: item[0])
    return [holding for _, holding in closable]


def _rank_holding(
    query: MemoryQuery, holding: Holding
) -> tuple[int, int, float, float] | None:
    now = query.now
    silence = now - holding.progressed_at
    order = (-holding.size, holding.compute_speed(now), holding.began_at)
    if holding.kind is HoldingKind.INCOMPLETE and silence > STALL_SECONDS:
        return 0, *order
    if query.asker.kind is not HoldingKind.INCOMPLETE or query.is_answer:
        return None
    if holding.kind is HoldingKind.INCOMPLETE:
        return 1, *order
    if holding.kind is HoldingKind.ANSWER and silence > UNREAD_SECONDS:
        return 2, *order
    if holding.kind is HoldingKind.IDLE and silence > STALL_SECONDS:
        return 3, 0, holding.progressed_at, 0.0
    return None
