"""Learns of a new era of the store from the answers, and tells the other handlers.

A handler is registered under the name of what it prepares for the new era::

    @ERA_HANDLERS.register("lease")
    def suspend_lease(state, event): ...
"""

from collections.abc import Callable, Iterator

import attrs

from geraniumhall_core.effects import LogField, WriteLog
from geraniumhall_core.events import PlatformAnswered
from geraniumhall_core.platform import EraChanged, PlatformFailure
from geraniumhall_core.reducer import Effect
from geraniumhall_core.registry import Registry
from geraniumhall_core.state import DaemonState

EraHandler = Callable[[DaemonState, PlatformAnswered], Iterator[Effect]]
ERA_HANDLERS: Registry[str, EraHandler] = Registry("era handler")


def observe_era(state: DaemonState, event: PlatformAnswered) -> Iterator[Effect]:
    """Begin a new era if the answer is of a later one than any answer before it.

    The first answer that a process gets only tells it the era. It may have begun just
    before, so the lease is not taken at once.
    """
    era, number = state.era, event.answer.era
    if number is None or (era.is_known and number <= era.number):
        return
    if not era.is_known:
        if number:
            era.begin(number, event.at, event.wall_time)
        era.is_known = era.is_known or not isinstance(event.answer, PlatformFailure)
        return
    previous = LogField("previous", era.number)
    era.begin(number, event.at, event.wall_time)
    state.counters["eras.begun"] += 1
    fields = (LogField("era", number), previous)
    yield WriteLog(level="warning", event="store_era_began", fields=fields)
    for name in ERA_HANDLERS:
        yield from ERA_HANDLERS.find(name)(state, event)


def replace_outdated(state: DaemonState, event: PlatformAnswered) -> PlatformAnswered:
    """Return the event, with `EraChanged` for an answer of an earlier era."""
    number = event.answer.era
    if number is None or number >= state.era.number:
        return event
    state.counters["eras.outdated_answers"] += 1
    return attrs.evolve(event, answer=EraChanged(era=state.era.number))
