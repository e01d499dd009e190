"""The callers' front end: HTTP requests to typed requests.

A request path is looked up in `CALLER_ROUTES`; every other path belongs to a
plain service. The caller's key is taken out of the head, and a request that
carries a key anywhere else is refused, so that no backend server sees one.
"""

from collections.abc import Callable
from hashlib import sha256
from json import dumps, loads
from re import compile as compile_pattern
from typing import Any

import attrs
from xxhash import xxh64_intdigest

from geraniumhall_core.keys import Proof, parse_key
from geraniumhall_core.refusals import MALFORMED, METHOD_NOT_ALLOWED, Refusal
from geraniumhall_core.registry import Registry
from geraniumhall_core.requests import CallerRequest, ModelTarget, PathTarget

Header = tuple[bytes, bytes]

ATTEMPT_HEADER = b"x-attempt-id"
TIMEOUT_HEADER = b"x-request-timeout-ms"
IDEMPOTENCY_HEADER = b"idempotency-key"
KEY_HEADERS = frozenset({b"authorization", b"x-api-key", b"proxy-authorization"})
HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"host",
        b"content-length",
        b"expect",
        ATTEMPT_HEADER,
    }
)
KEY_PATTERN = compile_pattern(rb"gh_[0-9A-Za-z]{1,32}_[0-9A-Za-z_-]{32,64}")
BYTES_PER_TOKEN = 4
PREFIX_BYTES = 1024


@attrs.frozen
class RequestHead:
    """The head of an HTTP request; header names are lower case."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def path(self) -> str:
        """The target's path, without the query."""
        return self.target.split(b"?", 1)[0].decode("ascii", "replace")


@attrs.frozen
class UpstreamRequest:
    """What is sent to a backend server, but for the attempt's id."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes


@attrs.frozen
class ParsedCall:
    """A caller's request in both forms: for decisions and for relaying."""

    request: CallerRequest
    upstream: UpstreamRequest


CallerRoute = Callable[[str, RequestHead, bytes, Proof | None], ParsedCall | Refusal]
CALLER_ROUTES: Registry[str, CallerRoute] = Registry("caller route")


def parse_call(request_id: str, head: RequestHead, body: bytes) -> ParsedCall | Refusal:
    """Return the parsed request, or the refusal that it deserves."""
    key = _find_key(head)
    proof = parse_key(key) if key is not None else None
    if key is not None and proof is None:
        proof = Proof("", "")
    if _holds_key(head, body, key):
        return MALFORMED.because("a key may only be sent in the authorization header")
    if head.path in CALLER_ROUTES:
        return CALLER_ROUTES.find(head.path)(request_id, head, body, proof)
    return _parse_service_call(request_id, head, body, proof)


@CALLER_ROUTES.register("/v1/chat/completions", "/v1/completions")
def parse_completion(
    request_id: str, head: RequestHead, body: bytes, proof: Proof | None
) -> ParsedCall | Refusal:
    """Parse a chat or text completion."""
    if head.method != b"POST":
        return METHOD_NOT_ALLOWED.because("this route takes POST only")
    data = _parse_object(body)
    if isinstance(data, Refusal):
        return data
    fault = _find_fault(data, head.path)
    if fault is not None:
        return MALFORMED.because(fault)
    prompt = _find_prompt(data, body, head.path)
    request = _build_request(request_id, head, ModelTarget(data["model"]), proof)
    if isinstance(request, Refusal):
        return request
    request = attrs.evolve(
        request,
        prompt_tokens=len(prompt) // BYTES_PER_TOKEN,
        max_tokens=data.get("max_tokens") or 0,
        prefix=xxh64_intdigest(prompt[:PREFIX_BYTES]),
    )
    return ParsedCall(request, _build_upstream(head, _ask_for_usage(data, body)))


def _parse_service_call(
    request_id: str, head: RequestHead, body: bytes, proof: Proof | None
) -> ParsedCall | Refusal:
    request = _build_request(request_id, head, PathTarget(head.path), proof)
    if isinstance(request, Refusal):
        return request
    return ParsedCall(request, _build_upstream(head, body))


def _find_key(head: RequestHead) -> str | None:
    for name in (b"authorization", b"x-api-key"):
        value = head.find(name)
        if value is not None:
            text = value.decode("latin-1").strip()
            scheme, _, rest = text.partition(" ")
            return rest.strip() if scheme.lower() == "bearer" else text
    return None


def _holds_key(head: RequestHead, body: bytes, key: str | None) -> bool:
    others = [v for name, v in head.headers if name not in KEY_HEADERS]
    places = [head.target, body, *others]
    if any(KEY_PATTERN.search(place) for place in places):
        return True
    sent = key.encode("latin-1") if key and parse_key(key) else b""
    return bool(sent) and any(sent in place for place in places)


def _parse_object(body: bytes) -> dict[str, Any] | Refusal:
    try:
        data = loads(body)
    except (ValueError, RecursionError):
        return MALFORMED.because("the body is not JSON")
    if not isinstance(data, dict):
        return MALFORMED.because("the body is not a JSON object")
    return data


def _find_fault(data: dict[str, Any], path: str) -> str | None:
    if not isinstance(data.get("model"), str):
        return "$.model: expected a string"
    if not isinstance(data.get("stream", False), bool):
        return "$.stream: expected true or false"
    max_tokens = data.get("max_tokens")
    is_count = isinstance(max_tokens, int) and not isinstance(max_tokens, bool)
    if max_tokens is not None and not (is_count and max_tokens > 0):
        return "$.max_tokens: expected a positive integer"
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


def _find_prompt(data: dict[str, Any], body: bytes, path: str) -> bytes:
    """Return the prompt, or the body from its messages on as they were sent.

    That serves for an estimate of its length and for a hash of its beginning,
    without encoding a list anew.
    """
    prompt = data.get("prompt")
    if path == "/v1/completions" and isinstance(prompt, str):
        return prompt.encode("utf-8", "surrogatepass")
    name = b'"prompt"' if path == "/v1/completions" else b'"messages"'
    return body[max(0, body.find(name)) :]


def _ask_for_usage(data: dict[str, Any], body: bytes) -> bytes:
    options = data.get("stream_options") or {}
    if not data.get("stream") or options.get("include_usage"):
        return body
    options = {**options, "include_usage": True}
    return dumps({**data, "stream_options": options}, separators=(",", ":")).encode()


def _build_request(
    request_id: str,
    head: RequestHead,
    target: ModelTarget | PathTarget,
    proof: Proof | None,
) -> CallerRequest | Refusal:
    timeout = head.find(TIMEOUT_HEADER)
    if timeout is not None and not (timeout.isdigit() and int(timeout) > 0):
        return MALFORMED.because("x-request-timeout-ms: expected a positive integer")
    idempotency_key = head.find(IDEMPOTENCY_HEADER)
    return CallerRequest(
        request_id=request_id,
        target=target,
        proof=proof,
        idempotency_key=_digest_idempotency_key(idempotency_key),
        timeout=int(timeout) / 1000 if timeout is not None else None,
    )


def _digest_idempotency_key(value: bytes | None) -> str | None:
    return sha256(value).hexdigest()[:32] if value is not None else None


def _build_upstream(head: RequestHead, body: bytes) -> UpstreamRequest:
    named = head.find(b"connection") or b""
    extra = {token.strip().lower() for token in named.split(b",")}
    headers = tuple(
        (name, value)
        for name, value in head.headers
        if name not in HOP_HEADERS and name not in KEY_HEADERS and name not in extra
    )
    return UpstreamRequest(head.method, head.target, headers, body)
