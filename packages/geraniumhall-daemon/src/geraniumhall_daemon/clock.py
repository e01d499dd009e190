"""Clocks of a daemon process."""

import time

import attrs


@attrs.frozen
class SystemClock:
    """The host's clocks, in seconds."""

    def read_now(self) -> float:
        """Return a clock that never runs back and counts suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_wall_time(self) -> float:
        """Return seconds since the epoch."""
        return time.time()
