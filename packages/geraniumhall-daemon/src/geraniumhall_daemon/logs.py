"""Structured logs: one JSON object per line on standard output.

The rate of lines and the length of each text in them are limited, and writing to a
pipe never blocks. Lines over the limit, and lines for which a slow reader leaves no
buffer space, are dropped and counted; a later line reports how many.
"""

import fcntl
import os
import stat
import sys
import time
from collections import deque
from collections.abc import Callable
from json import dumps
from typing import Any

import attrs
from loguru import logger

LINES_PER_SECOND = 400
BURST_LINES = 1200
MAX_BUFFERED_BYTES = 1 << 20
MAX_TEXT_CHARACTERS = 1024  # of one field, which may quote a caller or a server


@attrs.define(eq=False)
class LogOutput:
    """Writes lines to a file descriptor without blocking.

    `read_now` returns monotonic time in seconds. `dropped` is the number of
    lines dropped since the last line that reported such a number.
    """

    descriptor: int
    read_now: Callable[[], float] = time.monotonic
    dropped: int = 0
    _available_lines: float = BURST_LINES
    _refilled_at: float = float("-inf")
    _pending: deque[bytes] = attrs.field(factory=deque)
    _pending_bytes: int = 0

    @classmethod
    def from_descriptor(cls, descriptor: int) -> "LogOutput":
        """Return an output for `descriptor`; a pipe is made non-blocking."""
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
            fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)
        return cls(descriptor)

    def write_line(self, line: dict[str, Any]) -> None:
        """Write a line, or drop and count it."""
        if not self._consume_line():
            self.dropped += 1
            return
        if self.dropped:
            report = {**line, "level": "warning", "event": "log_lines_dropped"}
            kept = {key: report[key] for key in ("time", "level", "event", "host")}
            self._append({**kept, "lines": self.dropped})
            self.dropped = 0
        self._append(line)
        self._flush()

    def _append(self, line: dict[str, Any]) -> None:
        short = {name: _shorten(value) for name, value in line.items()}
        data = dumps(short, default=str).encode() + b"\n"
        if self._pending_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._pending.append(data)
        self._pending_bytes += len(data)

    def _flush(self) -> None:
        while self._pending:
            data = self._pending.popleft()
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone, so the error can't be reported anywhere.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(data):
                self._pending.appendleft(data[written:])
                return

    def _consume_line(self) -> bool:
        now = self.read_now()
        refill = max(0.0, now - self._refilled_at) * LINES_PER_SECOND
        self._available_lines = min(BURST_LINES, self._available_lines + refill)
        self._refilled_at = now
        if self._available_lines < 1:
            return False
        self._available_lines -= 1
        return True


def _shorten(value: Any) -> Any:
    """Return the start of a long text, and other values as they are."""
    if isinstance(value, str) and len(value) > MAX_TEXT_CHARACTERS:
        return f"{value[:MAX_TEXT_CHARACTERS]}..."
    return value


def configure_logs(level: str, host: str) -> None:
    """Write log lines at or above `level` to standard output."""
    output = LogOutput.from_descriptor(sys.stdout.fileno())
    logger.remove()
    logger.configure(extra={"host": host})
    logger.add(
        lambda message: output.write_line(_build_line(message.record)),
        level=level.upper(),
        format="{message}",
    )


def write_log(level: str, event: str, fields: dict[str, Any]) -> None:
    """Write one line for `event`."""
    logger.bind(**fields).log(level.upper(), event)


def _build_line(record: Any) -> dict[str, Any]:
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    return line
