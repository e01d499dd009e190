"""Monotonic and wall clocks of a daemon process."""

import time
from collections.abc import Callable

import attrs

STEP_THRESHOLD_SECONDS = 0.5
STEP_CONFIRMATION_SECONDS = 60.0


def read_boot_time() -> float:
    """Return seconds since boot, including time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class SystemClock:
    """Monotonic and wall time of the host, in seconds.

    The system's wall clock may step and later step back. Wall time is
    therefore extrapolated with the boot clock from the start of the process,
    and a step is adopted only once it has lasted `STEP_CONFIRMATION_SECONDS`.
    """

    boot_clock: Callable[[], float] = read_boot_time
    wall_clock: Callable[[], float] = time.time
    _offset: float = attrs.field(init=False)
    _stepped_at: float | None = None

    def __attrs_post_init__(self) -> None:
        self._offset = self.wall_clock() - self.boot_clock()

    def read_now(self) -> float:
        """Return monotonic time, including time in suspend."""
        return self.boot_clock()

    def read_wall_time(self) -> float:
        """Return seconds since the epoch."""
        now = self.boot_clock()
        offset = self.wall_clock() - now
        if abs(offset - self._offset) < STEP_THRESHOLD_SECONDS:
            self._stepped_at = None
        elif self._stepped_at is None:
            self._stepped_at = now
        elif now - self._stepped_at >= STEP_CONFIRMATION_SECONDS:
            self._offset = offset
            self._stepped_at = None
        return now + self._offset
