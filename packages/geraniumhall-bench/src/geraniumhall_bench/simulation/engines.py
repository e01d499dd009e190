"""Simulated engines that end under some parts of prompts, or for no such reason."""

from collections import defaultdict
from collections.abc import Callable

import attrs

from geraniumhall_core.requests import CallerRequest


@attrs.frozen
class EngineCrash:
    """The end of an engine, `at` seconds of virtual time.

    `part` is the part of a prompt that caused it, empty if there was none.
    """

    at: float
    server: str
    part: str = ""


@attrs.define(eq=False)
class SimulatedEngines:
    """Engines by name; times are in seconds of virtual time.

    An engine begins to write `begin_seconds` after a request has reached it. If the
    request then has a part of `deadly_parts`, the engine ends, with all attempts on
    it, and is back `restart_seconds` later. The last part of a prompt never counts.
    """

    begin_seconds: float = 0.08
    restart_seconds: float = 3.0
    deadly_parts: set[str] = attrs.field(factory=set)
    crashes: list[EngineCrash] = attrs.field(factory=list)
    arrivals: list[tuple[float, CallerRequest]] = attrs.field(factory=list)
    _back_at: dict[str, float] = attrs.field(factory=dict)
    _attempts: defaultdict[str, dict[str, Callable[[], None]]] = attrs.field(
        factory=lambda: defaultdict(dict)
    )

    def accept(
        self,
        now: float,
        server: str,
        attempt_id: str,
        request: CallerRequest,
        break_off: Callable[[], None],
    ) -> bool:
        """Accept an attempt unless the engine is down.

        `break_off` is called if the engine ends before the attempt does.
        """
        if not self.is_up(server, now):
            return False
        self.arrivals.append((now, request))
        self._attempts[server][attempt_id] = break_off
        return True

    def is_up(self, server: str, now: float) -> bool:
        """Return whether an engine listens."""
        return now >= self._back_at.get(server, float("-inf"))

    def is_open(self, server: str, attempt_id: str) -> bool:
        """Return whether an attempt has neither ended nor broken off."""
        return attempt_id in self._attempts[server]

    def finish(self, server: str, attempt_id: str) -> None:
        """End an attempt."""
        del self._attempts[server][attempt_id]

    def begin(self, now: float, server: str, request: CallerRequest) -> None:
        """Begin to write an answer, which may end the engine."""
        for part in request.parts[:-1]:
            if part.id in self.deadly_parts:
                self.crash(now, server, part.id)
                return

    def crash(self, now: float, server: str, part: str = "") -> None:
        """End an engine and break off the attempts on it."""
        self.crashes.append(EngineCrash(now, server, part))
        self._back_at[server] = now + self.restart_seconds
        attempts = self._attempts.pop(server, {})
        for break_off in attempts.values():
            break_off()
