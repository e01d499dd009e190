"""The one place where state changes: a reducer over events.

A handler takes the state and one event, changes the state and yields effects.
It does no input or output, reads no clock and draws no random number; all of
these come in as fields of events. A recorded list of events therefore replays
to the same effects::

    REDUCER: Reducer[CounterState] = Reducer("counter")

    @REDUCER.handles(Incremented)
    def count(state, event):
        state.total += event.amount
        yield Announce(total=state.total)

    REDUCER.reduce(state, Incremented(at=0.0, amount=2))
"""

from collections.abc import Callable, Iterable
from typing import Any, Generic, TypeVar

import attrs

from geraniumhall_core.registry import Registry

S = TypeVar("S")


@attrs.frozen(kw_only=True)
class Event:
    """Something that happened; `at` is in seconds on the host's own clock."""

    at: float


@attrs.frozen(kw_only=True)
class Effect:
    """Something to be done, carried out by a performer."""


Handler = Callable[[Any, Any], Iterable[Effect]]


@attrs.define
class Reducer(Generic[S]):
    """Send each event to the one handler registered for its type."""

    name: str
    _handlers: Registry[type[Event], Handler] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._handlers = Registry(f"{self.name} handler")

    def handles(self, *event_types: type[Event]) -> Callable[[Handler], Handler]:
        """Register the decorated handler for each of `event_types`."""
        return self._handlers.register(*event_types)

    def reduce(self, state: S, event: Event) -> tuple[Effect, ...]:
        """Apply `event` to `state` and return the effects in order.

        Raises `UnknownEntryError` when no handler takes the event's type.
        """
        return tuple(self._handlers.find(type(event))(state, event))
