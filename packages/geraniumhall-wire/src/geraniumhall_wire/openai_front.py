"""The OpenAI-style front: JSON requests for models, and plain services by path.

A request path that is registered in `CALLER_ROUTES` is parsed as a model
request; any other path belongs to a plain service. The caller's key is removed
from the head, and a request that carries a key anywhere else is refused, so
that no backend server receives one.
"""

from collections.abc import Callable
from json import dumps, loads
from re import compile as compile_pattern
from typing import Any

import attrs
from xxhash import xxh64_intdigest

from geraniumhall_core.effects import ServerAttempt
from geraniumhall_core.keys import Credential, parse_key
from geraniumhall_core.notices import ServerNotice
from geraniumhall_core.refusals import (
    BODY_TOO_LARGE,
    MALFORMED,
    METHOD_NOT_ALLOWED,
    Refusal,
)
from geraniumhall_core.registry import Registry
from geraniumhall_core.requests import (
    CallerRequest,
    KvCacheRef,
    ModelTarget,
    PathTarget,
)
from geraniumhall_wire.converter import FieldViolation, InvalidDataError
from geraniumhall_wire.fronts import FRONTS, EncodedRefusal, ParsedCall, ResponseKind
from geraniumhall_wire.heads import Header, RequestHead, ResponseHead, UpstreamRequest
from geraniumhall_wire.json_text import estimate_parsed_bytes
from geraniumhall_wire.notices import NoticeHeaders
from geraniumhall_wire.refusals import encode_refusal, encode_refusal_event, get_status
from geraniumhall_wire.scanners import Scanner, choose_scanner

ATTEMPT_HEADER = b"x-attempt-id"
TIMEOUT_HEADER = b"x-request-timeout-ms"
KEY_HEADERS = frozenset({b"authorization", b"x-api-key", b"proxy-authorization"})
KEY_PATTERN = compile_pattern(rb"gh_[0-9A-Za-z]{1,32}_[0-9A-Za-z_-]{32,64}")
ESTIMATED_BYTES_PER_TOKEN = 4
MAX_TOKENS = 10**9
MAX_MODEL_CHARACTERS = 256  # of a model's name
MAX_TIMEOUT_DIGITS = 15
MAX_PARSED_BYTES = 64 * 2**20  # of memory, estimated, that a JSON body is parsed into
PREFIX_BYTES = 1024  # of the prompt, hashed for routing by prefix
MIN_RETRY_SECONDS = 1
STATUS_SERVER_ERROR = 500
STATUS_UNAVAILABLE = 503
NOTICE_HEADERS = NoticeHeaders(b"x-request-limit", b"x-server-leaving")

CallerRoute = Callable[
    [str, RequestHead, bytes, Credential | None], ParsedCall | Refusal
]
CALLER_ROUTES: Registry[str, CallerRoute] = Registry("caller route")


@FRONTS.register("openai")
@attrs.frozen
class OpenAiFront:
    """The OpenAI-style JSON API, spoken by callers and engines."""

    def parse_call(
        self, request_id: str, head: RequestHead, body: bytes
    ) -> ParsedCall | Refusal:
        """Parse a caller's request; return a refusal if it is invalid."""
        return parse_call(request_id, head, body)

    def build_attempt(
        self, call: ParsedCall, attempt: ServerAttempt
    ) -> UpstreamRequest:
        """Build the caller's request with the id of the attempt added."""
        header = (ATTEMPT_HEADER, attempt.attempt_id.encode())
        upstream = call.upstream
        return attrs.evolve(upstream, headers=(*upstream.headers, header))

    def classify_response(
        self, call: ParsedCall, attempt: ServerAttempt, head: ResponseHead
    ) -> ResponseKind:
        """Classify a response by its head.

        A server may echo the attempt's id; another id marks the response as
        that of another attempt. A status of 503 means that the server is busy,
        but does not prove that the request has not run: it fails an attempt
        with `reuse`, and is the answer to any other.
        """
        echoed = head.find(ATTEMPT_HEADER)
        if echoed is not None and echoed != attempt.attempt_id.encode():
            return ResponseKind.FOREIGN
        is_busy = head.status == STATUS_UNAVAILABLE and attempt.reuse
        return ResponseKind.FAILED if is_busy else ResponseKind.ANSWER

    def decode_notice(
        self, call: ParsedCall, attempt: ServerAttempt, head: ResponseHead, now: float
    ) -> ServerNotice | None:
        """Decode what a server states of itself in the head of a response.

        On a connection that may have been used before, only a response that echoes the
        attempt's id is surely the server's to this attempt.
        """
        if attempt.reuse and head.find(ATTEMPT_HEADER) is None:
            return None
        kind = self.classify_response(call, attempt, head)
        if kind is ResponseKind.FOREIGN:
            return None
        is_answer = head.status < STATUS_SERVER_ERROR
        return NOTICE_HEADERS.decode(head, is_answer, now)

    def choose_scanner(self, call: ParsedCall, head: ResponseHead) -> Scanner:
        """Return the scanner that reads the usage and checks the end marker."""
        is_model_call = isinstance(call.request.target, ModelTarget)
        return choose_scanner(head.find(b"content-type") or b"", is_model_call)

    def decode_kv_cache_ref(self, attempt: ServerAttempt, body: bytes) -> KvCacheRef:
        """Raise `InvalidDataError`: these engines don't transfer KV caches."""
        raise InvalidDataError(
            (FieldViolation("$", "the openai front does not transfer KV caches"),)
        )

    def build_kv_cache_release(self, kv_cache: KvCacheRef) -> UpstreamRequest:
        """Raise `InvalidDataError`: these engines don't transfer KV caches."""
        raise InvalidDataError(
            (FieldViolation("$", "the openai front does not transfer KV caches"),)
        )

    def encode_refusal(self, refusal: Refusal) -> EncodedRefusal:
        """Encode a refusal as a JSON response."""
        headers: tuple[Header, ...] = ((b"content-type", b"application/json"),)
        if refusal.retry_after is not None:
            seconds = max(MIN_RETRY_SECONDS, round(refusal.retry_after))
            headers = (*headers, (b"retry-after", str(seconds).encode()))
        return EncodedRefusal(get_status(refusal), headers, encode_refusal(refusal))

    def encode_abort(self, refusal: Refusal) -> bytes:
        """Return a server-sent event that gives the reason of the abort."""
        return encode_refusal_event(refusal)


def parse_call(request_id: str, head: RequestHead, body: bytes) -> ParsedCall | Refusal:
    """Parse a caller's request; return a refusal if it is invalid."""
    key = _parse_key_header(head)
    credential = parse_key(key) if key is not None else None
    if key is not None and credential is None:
        # A key that can't be parsed counts as unknown, not as missing.
        credential = Credential("", "")
    if _contains_key(head, body, key):
        return MALFORMED.with_reason(
            "a key may only be sent in the authorization header"
        )
    if head.path in CALLER_ROUTES:
        return CALLER_ROUTES.find(head.path)(request_id, head, body, credential)
    return _parse_service_call(request_id, head, body, credential)


@CALLER_ROUTES.register("/v1/chat/completions", "/v1/completions")
def parse_completion(
    request_id: str, head: RequestHead, body: bytes, credential: Credential | None
) -> ParsedCall | Refusal:
    """Parse a request for a chat or text completion."""
    if head.method != b"POST":
        return METHOD_NOT_ALLOWED.with_reason("this route takes POST only")
    data = _parse_object(body)
    if isinstance(data, Refusal):
        return data
    violation = _find_violation(data, head.path)
    if violation is not None:
        return MALFORMED.with_reason(violation)
    prompt = _extract_prompt(data, body, head.path)
    request = _build_request(request_id, head, ModelTarget(data["model"]), credential)
    if isinstance(request, Refusal):
        return request
    request = attrs.evolve(
        request,
        prompt_tokens=len(prompt) // ESTIMATED_BYTES_PER_TOKEN,
        max_tokens=data.get("max_tokens") or 0,
        prefix_hash=xxh64_intdigest(prompt[:PREFIX_BYTES]),
    )
    return ParsedCall(
        request, _build_upstream(head, _enable_usage_reporting(data, body))
    )


def _parse_service_call(
    request_id: str, head: RequestHead, body: bytes, credential: Credential | None
) -> ParsedCall | Refusal:
    request = _build_request(request_id, head, PathTarget(head.path), credential)
    if isinstance(request, Refusal):
        return request
    return ParsedCall(request, _build_upstream(head, body))


def _parse_key_header(head: RequestHead) -> str | None:
    for name in (b"authorization", b"x-api-key"):
        value = head.find(name)
        if value is not None:
            text = value.decode("latin-1").strip()
            scheme, _, rest = text.partition(" ")
            return rest.strip() if scheme.lower() == "bearer" else text
    return None


def _contains_key(head: RequestHead, body: bytes, key: str | None) -> bool:
    """Return whether a key is in the target, the body or a header of another use."""
    others = [v for name, v in head.headers if name not in KEY_HEADERS]
    places = [head.target, body, *others]
    if any(KEY_PATTERN.search(place) for place in places):
        return True
    sent = key.encode("latin-1") if key and parse_key(key) else b""
    return bool(sent) and any(sent in place for place in places)


def _parse_object(body: bytes) -> dict[str, Any] | Refusal:
    if estimate_parsed_bytes(body) > MAX_PARSED_BYTES:
        return BODY_TOO_LARGE.with_reason("the body has too many parts")
    try:
        data = loads(body)
    except (ValueError, RecursionError):
        return MALFORMED.with_reason("the body is not JSON")
    if not isinstance(data, dict):
        return MALFORMED.with_reason("the body is not a JSON object")
    return data


def _find_violation(data: dict[str, Any], path: str) -> str | None:
    if not isinstance(data.get("model"), str):
        return "$.model: expected a string"
    if len(data["model"]) > MAX_MODEL_CHARACTERS:
        return f"$.model: expected at most {MAX_MODEL_CHARACTERS} characters"
    if not isinstance(data.get("stream", False), bool):
        return "$.stream: expected true or false"
    max_tokens = data.get("max_tokens")
    is_count = isinstance(max_tokens, int) and not isinstance(max_tokens, bool)
    if max_tokens is not None and not (is_count and 0 < max_tokens <= MAX_TOKENS):
        return f"$.max_tokens: expected an integer from 1 to {MAX_TOKENS}"
    if not isinstance(data.get("stream_options", {}), dict):
        return "$.stream_options: expected an object"
    if path == "/v1/completions":
        if not isinstance(data.get("prompt"), str | list):
            return "$.prompt: expected a string or a list"
        return None
    messages = data.get("messages")
    if not isinstance(messages, list) or not messages:
        return "$.messages: expected a list that is not empty"
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or "role" not in message:
            return f"$.messages[{index}]: expected an object with a role"
    return None


def _extract_prompt(data: dict[str, Any], body: bytes, path: str) -> bytes:
    """Return the prompt's text, or the body from the start of its messages.

    The result is used to estimate the prompt's length and to hash its prefix;
    a list of messages is not encoded again for that.
    """
    prompt = data.get("prompt")
    if path == "/v1/completions" and isinstance(prompt, str):
        return prompt.encode("utf-8", "surrogatepass")
    name = b'"prompt"' if path == "/v1/completions" else b'"messages"'
    return body[max(0, body.find(name)) :]


def _enable_usage_reporting(data: dict[str, Any], body: bytes) -> bytes:
    options = data.get("stream_options") or {}
    if not data.get("stream") or options.get("include_usage"):
        return body
    options = {**options, "include_usage": True}
    return dumps({**data, "stream_options": options}, separators=(",", ":")).encode()


def _build_request(
    request_id: str,
    head: RequestHead,
    target: ModelTarget | PathTarget,
    credential: Credential | None,
) -> CallerRequest | Refusal:
    timeout = head.find(TIMEOUT_HEADER)
    if timeout is not None and not _is_timeout(timeout):
        return MALFORMED.with_reason(
            "x-request-timeout-ms: expected a positive integer"
        )
    return CallerRequest(
        request_id=request_id,
        target=target,
        credential=credential,
        timeout=int(timeout) / 1000 if timeout is not None else None,
    )


def _is_timeout(value: bytes) -> bool:
    return value.isdigit() and len(value) <= MAX_TIMEOUT_DIGITS and int(value) > 0


def _build_upstream(head: RequestHead, body: bytes) -> UpstreamRequest:
    headers = tuple(
        item
        for item in head.select_end_to_end()
        if item[0] not in KEY_HEADERS | NOTICE_HEADERS.names | {ATTEMPT_HEADER}
    )
    return UpstreamRequest(head.method, head.target, headers, body)
