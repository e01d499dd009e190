"""In-flight requests of callers.

The reducer's effects for a request are queued for the task that serves its
connection, which performs them in order.
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
    """A request and its response on a caller's connection.

    With `must_close` the connection closes after the response. `end_attempt` ends the
    attempt in progress for a reason.
    """

    call: ParsedCall
    connection: ServerConnection
    is_finished: bool = False
    must_close: bool = False
    is_event_stream: bool = False
    end_attempt: Callable[[str], None] | None = None
    _effects: deque[Effect] = attrs.field(factory=deque, init=False)
    _effect_queued: trio.Event | None = attrs.field(default=None, init=False)

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.call.request.request_id

    def queue_effect(self, effect: Effect) -> None:
        """Queue an effect and wake the task that waits for it."""
        self._effects.append(effect)
        if self._effect_queued is not None:
            self._effect_queued.set()

    @property
    def has_effect(self) -> bool:
        """Whether an effect is queued."""
        return bool(self._effects)

    async def receive_effect(self) -> Effect:
        """Remove and return the next effect, waiting until one is queued."""
        await self.wait_for_effect()
        return self._effects.popleft()

    async def wait_for_effect(self) -> None:
        """Wait until an effect is queued."""
        while not self._effects:
            self._effect_queued = trio.Event()
            await self._effect_queued.wait()
