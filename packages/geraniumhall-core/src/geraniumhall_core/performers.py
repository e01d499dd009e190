"""Performers carry out effects; one is registered for each effect type.

The registry is independent of the runtime that uses it. A performer takes the
runtime and the effect. A plain function has carried out the effect when it
returns; a coroutine function is started as a task by the runtime::

    PERFORMERS = Performers("daemon")

    @PERFORMERS.performs(WriteLog)
    def write_log(daemon, effect): ...
"""

from collections.abc import Callable
from inspect import iscoroutinefunction
from typing import Any

import attrs

from geraniumhall_core.reducer import Effect
from geraniumhall_core.registry import Registry


@attrs.frozen
class Performer:
    """A function that carries out effects of one type."""

    function: Callable[[Any, Any], Any]
    is_task: bool


@attrs.define
class Performers:
    """Map each effect type to its performer."""

    name: str
    _performers: Registry[type[Effect], Performer] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._performers = Registry(f"{self.name} performer")

    def performs(self, *effect_types: type[Effect]) -> Callable[[Callable], Callable]:
        """Register the decorated function for each of `effect_types`."""

        def decorate(function: Callable) -> Callable:
            performer = Performer(function, iscoroutinefunction(function))
            self._performers.register(*effect_types)(performer)
            return function

        return decorate

    def find(self, effect: Effect) -> Performer:
        """Return the performer of `effect`, or raise `UnknownEntryError`."""
        return self._performers.find(type(effect))
