"""Dispatches the platform's answers by the purpose of the call."""

from collections.abc import Callable, Iterator
from typing import Any

from geraniumhall_core.events import PlatformAnswered
from geraniumhall_core.handlers.eras import observe_era, replace_outdated
from geraniumhall_core.handlers.reducer import REDUCER
from geraniumhall_core.platform import PlatformFailure
from geraniumhall_core.purposes import FollowFeed, Purpose
from geraniumhall_core.reducer import Effect
from geraniumhall_core.registry import Registry
from geraniumhall_core.state import DaemonState

AnswerHandler = Callable[[DaemonState, PlatformAnswered, Any], Iterator[Effect]]
ANSWER_HANDLERS: Registry[type[Purpose], AnswerHandler] = Registry("answer handler")
FailureHandler = Callable[[DaemonState, PlatformAnswered], Iterator[Effect]]
FAILURE_HANDLERS: Registry[str, FailureHandler] = Registry("failure handler")


@REDUCER.handles(PlatformAnswered)
def receive_answer(state: DaemonState, event: PlatformAnswered) -> Iterator[Effect]:
    """Dispatch an answer by the purpose of its call, and count the call.

    An answer of an earlier era of the store than a known one confirms nothing. What a
    failed call tells of others is left to the handlers in `FAILURE_HANDLERS`.
    """
    state.counters[f"platform.{_name_purpose(event.purpose)}"] += 1
    yield from observe_era(state, event)
    handler = ANSWER_HANDLERS.find(type(event.purpose))
    if isinstance(event.answer, PlatformFailure):
        for name in FAILURE_HANDLERS:
            yield from FAILURE_HANDLERS.find(name)(state, event)
    yield from handler(state, replace_outdated(state, event), event.purpose)


def _name_purpose(purpose: Purpose) -> str:
    """Return the name under which the calls of a purpose are counted."""
    if isinstance(purpose, FollowFeed):
        return f"follow_{purpose.feed.value}"
    return type(purpose).__name__
