"""Dispatches the platform's answers by the purpose of the call."""

from collections.abc import Callable, Iterator
from typing import Any

from geraniumhall_core.events import PlatformAnswered
from geraniumhall_core.handlers.reducer import REDUCER
from geraniumhall_core.purposes import Purpose
from geraniumhall_core.reducer import Effect
from geraniumhall_core.registry import Registry
from geraniumhall_core.state import DaemonState

AnswerHandler = Callable[[DaemonState, PlatformAnswered, Any], Iterator[Effect]]
ANSWER_HANDLERS: Registry[type[Purpose], AnswerHandler] = Registry("answer handler")


@REDUCER.handles(PlatformAnswered)
def receive_answer(state: DaemonState, event: PlatformAnswered) -> Iterator[Effect]:
    """Dispatch an answer by the purpose of its call."""
    handler = ANSWER_HANDLERS.find(type(event.purpose))
    yield from handler(state, event, event.purpose)
