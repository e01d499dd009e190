"""Scanners of response bodies that are relayed to callers.

A scanner receives each chunk once and leaves it unchanged. After the last one
it reports whether the response is complete and how many tokens it used. For a
stream it keeps the last bytes only and does not parse single events, so that
its cost per chunk does not grow with the number of tokens.
"""

from collections.abc import Callable
from json import loads
from typing import Any, Protocol

import attrs

from geraniumhall_core.registry import Registry

STREAM_END = b"data: [DONE]"
EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
MAX_EVENT_END_BYTES = 4
MAX_TAIL_BYTES = 2048
MAX_SCANNED_BYTES = 1 << 20


@attrs.frozen
class ScanResult:
    """Result of a scan; a count of tokens or events that is not known is zero."""

    is_complete: bool
    prompt_tokens: int = 0
    generated_tokens: int = 0
    events: int = 0


class Scanner(Protocol):
    """Scanner of one response body."""

    def feed(self, chunk: bytes) -> None:
        """Process the next chunk."""

    def finish(self) -> ScanResult:
        """Return the result; called once the HTTP framing has ended."""


SCANNERS: Registry[bytes, Callable[[], Scanner]] = Registry("answer scanner")


def choose_scanner(content_type: bytes, is_model_call: bool) -> Scanner:
    """Return the scanner for a response with this content type."""
    kind = content_type.split(b";", 1)[0].strip().lower()
    if is_model_call and kind in SCANNERS:
        return SCANNERS.find(kind)()
    return PassthroughScanner()


@attrs.define
class PassthroughScanner:
    """Reports any response as complete once its framing has ended."""

    def feed(self, chunk: bytes) -> None:
        """Ignore the chunk."""

    def finish(self) -> ScanResult:
        """Return a complete response without counts."""
        return ScanResult(is_complete=True)


@attrs.define
class EventScanner:
    """Reports a stream as complete if it ends after an event, and counts its events.

    `tail` holds the last bytes, as many as an event's end can have. With
    `needs_event` a stream without any event is not complete. An event whose end is
    split between two chunks is not counted.
    """

    needs_event: bool
    tail: bytes = b""
    events: int = 0

    def feed(self, chunk: bytes) -> None:
        """Count the events that end in the chunk, and keep the last bytes."""
        self.events += chunk.count(EVENT_ENDS[0])
        self.tail = (self.tail + chunk)[-MAX_EVENT_END_BYTES:]

    def finish(self) -> ScanResult:
        """Return whether the last event is whole, and the number of events."""
        if not self.tail:
            return ScanResult(is_complete=not self.needs_event)
        is_complete = self.tail.endswith(EVENT_ENDS)
        return ScanResult(is_complete=is_complete, events=self.events)


@SCANNERS.register(b"text/event-stream")
@attrs.define
class StreamScanner:
    """Counts server-sent events and finds the end marker and the usage.

    `tail` holds the last bytes of the stream, at most `MAX_TAIL_BYTES`. A usage
    event that is not within them is not found.
    """

    events: int = 0
    tail: bytes = b""

    def feed(self, chunk: bytes) -> None:
        """Count each ``data:`` in the chunk as an event, and keep the last bytes."""
        self.events += chunk.count(b"data:")
        if len(chunk) >= MAX_TAIL_BYTES:
            self.tail = chunk[-MAX_TAIL_BYTES:]
        else:
            self.tail = (self.tail + chunk)[-MAX_TAIL_BYTES:]

    def finish(self) -> ScanResult:
        """Return the reported usage, or else the event count as generated tokens.

        The event count excludes the end marker, and is an estimate, since
        events are not parsed.
        """
        is_complete = self.tail.rstrip().endswith(STREAM_END)
        for line in reversed(self.tail.split(b"\n")):
            if line.startswith(b"data: {") and b'"usage"' in line:
                usage = _parse_usage(line[len(b"data: ") :])
                if usage is not None:
                    return ScanResult(is_complete, *usage)
        return ScanResult(is_complete, 0, max(0, self.events - 1))


@SCANNERS.register(b"application/json")
@attrs.define
class BodyScanner:
    """Reads the usage from a JSON response.

    Chunks beyond `MAX_SCANNED_BYTES` are dropped, so that a longer response
    has no counts.
    """

    chunks: list[bytes] = attrs.field(factory=list)
    size: int = 0

    def feed(self, chunk: bytes) -> None:
        """Keep the chunk while the response is within the size limit."""
        self.size += len(chunk)
        if self.size <= MAX_SCANNED_BYTES:
            self.chunks.append(chunk)

    def finish(self) -> ScanResult:
        """Return the reported usage, or zero counts without one."""
        usage = _parse_usage(b"".join(self.chunks))
        return ScanResult(True, *(usage or (0, 0)))


def _parse_usage(text: bytes) -> tuple[int, int] | None:
    try:
        data: Any = loads(text)
        usage = data["usage"]
        return int(usage["prompt_tokens"]), int(usage["completion_tokens"])
    except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
        return None
