"""The reducer over events, the only place where state changes.

A handler takes the state and one event, changes the state and yields effects. It
does no I/O, reads no clock and draws no random numbers; times and random draws
are fields of events. Replaying a recorded list of events therefore gives the same
effects::

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
    """Something that happened at `at` seconds on the host's own clock."""

    at: float


@attrs.frozen(kw_only=True)
class Effect:
    """An action as data, to be carried out by a performer."""


Handler = Callable[[Any, Any], Iterable[Effect]]


@attrs.define
class Reducer(Generic[S]):
    """Dispatch each event to the one handler registered for its type."""

    name: str
    _handlers: Registry[type[Event], Handler] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._handlers = Registry(f"{self.name} handler")

    def handles(self, *event_types: type[Event]) -> Callable[[Handler], Handler]:
        """Register the decorated handler for each of `event_types`.

        Raises `DuplicateEntryError` if a type already has a handler.
        """
        return self._handlers.register(*event_types)

    def reduce(self, state: S, event: Event) -> tuple[Effect, ...]:
        """Apply `event` to `state` and return the effects in order.

        Raises `UnknownEntryError` if no handler is registered for the event's type.
        """
        return tuple(self._handlers.find(type(event))(state, event))
