"""HTTP encoding of refusals: a status and a JSON body."""

from json import dumps
from typing import Any

from geraniumhall_core.refusals import Refusal

STATUS_BY_CODE = {
    "malformed": 400,
    "key_missing": 401,
    "key_unknown": 401,
    "not_permitted": 403,
    "unknown_route": 404,
    "unknown_model": 404,
    "method_not_allowed": 405,
    "request_timeout": 408,
    "body_too_large": 413,
    "rate_exceeded": 429,
    "head_too_large": 431,
    "upstream_failed": 502,
    "catalogue_stale": 503,
    "draining": 503,
    "memory_short": 503,
    "no_backend_server": 503,
    "overloaded": 503,
    "part_held": 503,
    "servers_restricted": 503,
    "deadline_exceeded": 504,
}


def get_status(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal."""
    return STATUS_BY_CODE[refusal.code]


def describe_refusal(refusal: Refusal) -> dict[str, Any]:
    """Return the JSON value of a refusal; `retry_after` is in seconds."""
    error: dict[str, Any] = {
        "code": refusal.code,
        "reason": refusal.reason,
        "verdict": refusal.verdict.value,
    }
    if refusal.retry_after is not None:
        error["retry_after"] = round(refusal.retry_after, 3)
    return {"error": error}


def encode_refusal(refusal: Refusal) -> bytes:
    """Return the JSON body of a refusal."""
    return dumps(describe_refusal(refusal)).encode()


def encode_refusal_event(refusal: Refusal) -> bytes:
    """Return the server-sent event that ends a stream with a refusal."""
    return b"data: " + encode_refusal(refusal) + b"\n\n"
