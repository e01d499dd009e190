"""Fronts: the protocols that callers and backend servers speak with a daemon.

A front turns a caller's bytes into a typed request, an attempt into the bytes
for a backend server, and a refusal into an answer. Decisions see typed values
only, so another front is another class under a name that settings use::

    @FRONTS.register("openai")
    class OpenAiFront: ...
"""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import attrs

from geraniumhall_core.effects import ServerAttempt
from geraniumhall_core.refusals import Refusal
from geraniumhall_core.registry import Registry
from geraniumhall_core.requests import CallerRequest, KvCacheRef
from geraniumhall_wire.heads import Header, RequestHead, ResponseHead, UpstreamRequest
from geraniumhall_wire.scanners import Scanner


@attrs.frozen
class ParsedCall:
    """A caller's request in both forms: for decisions and for relaying."""

    request: CallerRequest
    upstream: UpstreamRequest


class ResponseKind(Enum):
    """What the head of a backend server's answer says of the attempt."""

    ANSWER = "answer"
    FAILED = "failed"
    NOT_RUN = "not_run"
    MISDIRECTED = "misdirected"
    FOREIGN = "foreign"


@attrs.frozen
class EncodedRefusal:
    """A refusal as an answer to a caller."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class Front(Protocol):
    """A protocol of callers and backend servers."""

    def parse_call(
        self, request_id: str, head: RequestHead, body: bytes
    ) -> ParsedCall | Refusal:
        """Return a caller's request, or the refusal that it deserves."""

    def build_attempt(
        self, call: ParsedCall, attempt: ServerAttempt
    ) -> UpstreamRequest:
        """Return what is sent to a backend server."""

    def classify_response(
        self, call: ParsedCall, attempt: ServerAttempt, head: ResponseHead
    ) -> ResponseKind:
        """Return what an answer's head says."""

    def choose_scanner(self, call: ParsedCall, head: ResponseHead) -> Scanner:
        """Return the scanner that sees the answer pass."""

    def decode_kv_cache_ref(self, attempt: ServerAttempt, body: bytes) -> KvCacheRef:
        """Return where a prompt was read to, or raise `InvalidDataError`."""

    def build_kv_cache_release(self, kv_cache: KvCacheRef) -> UpstreamRequest:
        """Return the request that frees a prompt's memory."""

    def encode_refusal(self, refusal: Refusal) -> EncodedRefusal:
        """Return a refusal as an answer."""

    def encode_abort(self, refusal: Refusal) -> bytes:
        """Return what ends a stream that can't go on, besides its cut."""


FRONTS: Registry[str, Callable[[], Front]] = Registry("front")
