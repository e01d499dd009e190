"""Scanners of answers on their way to the caller.

A scanner sees each chunk once, changes nothing, and tells at the end whether
the answer is whole and what it used. It keeps the last bytes only, so that
its work for a chunk does not depend on the tokens in it.
"""

from collections.abc import Callable
from json import loads
from typing import Any, Protocol

import attrs

from geraniumhall_core.registry import Registry

STREAM_END = b"data: [DONE]"
MAX_TAIL_BYTES = 2048
MAX_SCANNED_BYTES = 1 << 20


@attrs.frozen
class ScanResult:
    """What a scanner found; token counts are zero where nothing told them."""

    is_complete: bool
    prompt_tokens: int = 0
    generated_tokens: int = 0


class Scanner(Protocol):
    """A reader of one answer."""

    def feed(self, chunk: bytes) -> None:
        """Take the next chunk."""

    def finish(self) -> ScanResult:
        """Return the result once the framing has ended."""


SCANNERS: Registry[bytes, Callable[[], Scanner]] = Registry("answer scanner")


def choose_scanner(content_type: bytes, is_model_call: bool) -> Scanner:
    """Return the scanner for an answer of this content type."""
    kind = content_type.split(b";", 1)[0].strip().lower()
    if is_model_call and kind in SCANNERS:
        return SCANNERS.find(kind)()
    return PassthroughScanner()


@attrs.define
class PassthroughScanner:
    """Takes any answer as whole once its framing has ended."""

    def feed(self, chunk: bytes) -> None:
        """Take no notice of the chunk."""

    def finish(self) -> ScanResult:
        """Return a whole answer without counts."""
        return ScanResult(is_complete=True)


@SCANNERS.register(b"text/event-stream")
@attrs.define
class StreamScanner:
    """Counts server-sent events and looks for the end marker and the usage."""

    events: int = 0
    tail: bytes = b""

    def feed(self, chunk: bytes) -> None:
        """Count the events of a chunk and keep its end."""
        self.events += chunk.count(b"data:")
        if len(chunk) >= MAX_TAIL_BYTES:
            self.tail = chunk[-MAX_TAIL_BYTES:]
        else:
            self.tail = (self.tail + chunk)[-MAX_TAIL_BYTES:]

    def finish(self) -> ScanResult:
        """Return the reported usage, or the number of events without it."""
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
    """Reads the usage out of a JSON answer of bounded size."""

    chunks: list[bytes] = attrs.field(factory=list)
    size: int = 0

    def feed(self, chunk: bytes) -> None:
        """Keep the chunk while the answer is within the bound."""
        self.size += len(chunk)
        if self.size <= MAX_SCANNED_BYTES:
            self.chunks.append(chunk)

    def finish(self) -> ScanResult:
        """Return the reported usage."""
        usage = _parse_usage(b"".join(self.chunks))
        return ScanResult(True, *(usage or (0, 0)))


def _parse_usage(text: bytes) -> tuple[int, int] | None:
    try:
        data: Any = loads(text)
        usage = data["usage"]
        return int(usage["prompt_tokens"]), int(usage["completion_tokens"])
    except (ValueError, TypeError, KeyError):
        return None
