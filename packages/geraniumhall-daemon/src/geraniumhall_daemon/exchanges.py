"""Requests under way at the callers' front end.

The reducer's effects for a request are handed to the task of its connection,
which carries them out one after another.
"""

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import trio

from geraniumhall_core.effects import (
    AbortResponse,
    CloseExchange,
    PrefillPrompt,
    RefuseRequest,
    RelayRequest,
)
from geraniumhall_core.reducer import Effect
from geraniumhall_core.registry import Registry
from geraniumhall_net.server import ServerConnection
from geraniumhall_wire.fronts import ParsedCall

ExchangePerformer = Callable[[Any, "Exchange", Any], Awaitable[None]]
EXCHANGE_PERFORMERS: Registry[type[Effect], ExchangePerformer] = Registry(
    "exchange performer"
)
EXCHANGE_EFFECTS = (
    RefuseRequest,
    PrefillPrompt,
    RelayRequest,
    AbortResponse,
    CloseExchange,
)


@attrs.define(eq=False)
class Exchange:
    """One request and its answer on a caller's connection."""

    call: ParsedCall
    connection: ServerConnection
    is_finished: bool = False
    must_close: bool = False
    is_event_stream: bool = False
    _effects: deque[Effect] = attrs.field(factory=deque, init=False)
    _effect_queued: trio.Event | None = attrs.field(default=None, init=False)

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.call.request.request_id

    def queue_effect(self, effect: Effect) -> None:
        """Give the exchange its next effect."""
        self._effects.append(effect)
        if self._effect_queued is not None:
            self._effect_queued.set()

    @property
    def has_effect(self) -> bool:
        """Whether an effect is there already."""
        return bool(self._effects)

    async def receive_effect(self) -> Effect:
        """Return the next effect, waiting for it if it is not there yet."""
        await self.wait_for_effect()
        return self._effects.popleft()

    async def wait_for_effect(self) -> None:
        """Wait until an effect is there."""
        while not self._effects:
            self._effect_queued = trio.Event()
            await self._effect_queued.wait()
