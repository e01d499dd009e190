"""Fronts: the protocols between callers, a daemon and backend servers.

A front parses a caller's request into typed values, builds the request for a
backend server from an attempt, and encodes a refusal as a response. Decisions
are made on typed values only. A front is a class registered under the name
that selects it in the settings::

    @FRONTS.register("openai")
    class OpenAiFront: ...
"""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import attrs

from geraniumhall_core.effects import ServerAttempt
from geraniumhall_core.notices import ServerNotice
from geraniumhall_core.refusals import Refusal
from geraniumhall_core.registry import Registry
from geraniumhall_core.requests import CallerRequest, KvCacheRef
from geraniumhall_wire.heads import Header, RequestHead, ResponseHead, UpstreamRequest
from geraniumhall_wire.scanners import Scanner


@attrs.frozen
class ParsedCall:
    """A caller's request: typed for decisions, and encoded for relaying."""

    request: CallerRequest
    upstream: UpstreamRequest


class ResponseKind(Enum):
    """Classification of a backend server's response head.

    `ANSWER` is the server's response to the attempt, also if that is an HTTP
    error. A `FAILED` request may have run; with `NOT_RUN` the server states
    that it has not. A `MISDIRECTED` response comes from a server other than the
    one addressed, and a `FOREIGN` one does not belong to this attempt.
    """

    ANSWER = "answer"
    FAILED = "failed"
    NOT_RUN = "not_run"
    MISDIRECTED = "misdirected"
    FOREIGN = "foreign"


@attrs.frozen
class EncodedRefusal:
    """A refusal as an HTTP response to a caller."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class Front(Protocol):
    """A protocol spoken with callers and backend servers."""

    def parse_call(
        self, request_id: str, head: RequestHead, body: bytes
    ) -> ParsedCall | Refusal:
        """Parse a caller's request; return a refusal if it is invalid."""

    def build_attempt(
        self, call: ParsedCall, attempt: ServerAttempt
    ) -> UpstreamRequest:
        """Build the request of an attempt on a backend server."""

    def classify_response(
        self, call: ParsedCall, attempt: ServerAttempt, head: ResponseHead
    ) -> ResponseKind:
        """Classify a response by its head."""

    def decode_notice(
        self, call: ParsedCall, attempt: ServerAttempt, head: ResponseHead, now: float
    ) -> ServerNotice | None:
        """Decode what a server states of itself in the head of a response.

        Return None for a head that may belong to another request. `now` is in seconds
        since the epoch.
        """

    def choose_scanner(self, call: ParsedCall, head: ResponseHead) -> Scanner:
        """Return the scanner for the body of a response."""

    def decode_kv_cache_ref(self, attempt: ServerAttempt, body: bytes) -> KvCacheRef:
        """Decode a prefill response into a reference to the prompt's KV cache.

        Raises `InvalidDataError` if the body names no KV cache, or if the front
        does not transfer KV caches.
        """

    def build_kv_cache_release(self, kv_cache: KvCacheRef) -> UpstreamRequest:
        """Build the request that frees a prompt's KV cache.

        Raises `InvalidDataError` if the front does not transfer KV caches.
        """

    def encode_refusal(self, refusal: Refusal) -> EncodedRefusal:
        """Encode a refusal as a response."""

    def encode_abort(self, refusal: Refusal) -> bytes:
        """Return the last bytes of an aborted stream, sent before it is cut off."""


FRONTS: Registry[str, Callable[[], Front]] = Registry("front")
