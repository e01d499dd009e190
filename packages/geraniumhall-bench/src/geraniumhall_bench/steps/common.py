"""Helpers that several steps share: API calls, answer texts and comparisons."""

from json import loads
from typing import Any

import attrs

from geraniumhall_bench.scenario import ExpectationError, RunContext
from geraniumhall_net.client import BufferedResponse, build_json_request, fetch_response
from geraniumhall_wire.heads import Header

ADMIN_TIMEOUT_SECONDS = 30.0


async def call_admin(
    context: RunContext,
    via: str,
    method: str,
    target: str,
    data: Any,
    headers: tuple[Header, ...] = (),
) -> BufferedResponse:
    """Call a daemon's admin API and return the response, whatever its status."""
    request = build_json_request(method, target, data)
    request = attrs.evolve(request, headers=(*request.headers, *headers))
    address = context.find(f"{via}.admin")
    return await fetch_response(context.pool, address, request, ADMIN_TIMEOUT_SECONDS)


async def control_stand_in(
    context: RunContext, name: str, method: str, call: str, data: Any = None
) -> BufferedResponse:
    """Call a stand-in's control API; raises `ExpectationError` unless it succeeds."""
    request = build_json_request(method, f"/standin/{call}", data)
    response = await fetch_response(
        context.pool, context.find(name), request, ADMIN_TIMEOUT_SECONDS
    )
    check_status(response, 200, f"{call} of {name}")
    return response


def extract_answer_text(body: bytes) -> str:
    """Return the text of a model's complete answer, streamed or not."""
    if not body.startswith(b"data:"):
        return loads(body)["choices"][0]["message"]["content"]
    texts = []
    for line in body.split(b"\n"):
        if line.startswith(b"data: {"):
            for choice in loads(line[len(b"data: ") :]).get("choices", ()):
                texts.append(choice["delta"]["content"])
    return "".join(texts)


def build_condition(version: int) -> Header:
    """Return the header that makes an edit conditional on a version.

    Version zero means that there must be no record.
    """
    if version == 0:
        return (b"if-none-match", b"*")
    return (b"if-match", f'"{version}"'.encode())


def check_status(response: BufferedResponse, status: int, what: str) -> None:
    """Raise `ExpectationError` if a response has another status."""
    check_equal(f"status of {what}", response.head.status, status, response.body)


def check_equal(what: str, found: Any, expected: Any, body: bytes = b"") -> None:
    """Raise `ExpectationError`, with the start of `body`, if the values differ."""
    if found != expected:
        detail = body[:500].decode("utf-8", "replace")
        raise ExpectationError(
            f"{what}: expected {expected!r}, found {found!r} {detail}"
        )
