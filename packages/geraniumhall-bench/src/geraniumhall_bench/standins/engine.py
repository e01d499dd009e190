"""A stand-in for a model engine with deterministic answers.

An answer of n tokens is the text ``t0 t1 ... ``, so that a test can tell
whether it is complete. Orders are accepted on ``/orders``; an engine that
checks fencing rejects an order whose token is below the highest it has seen.
"""

from collections.abc import Iterator
from json import dumps, loads
from typing import Any

import attrs

from geraniumhall_bench.standins.model import (
    BEHAVIOURS,
    MODELS,
    CallArrived,
    Reply,
    StandInState,
    echo_attempt,
)
from geraniumhall_wire.heads import Header

DEFAULT_TOKENS = 16
BYTES_PER_TOKEN = 4
STREAM_HEADERS: tuple[Header, ...] = ((b"content-type", b"text/event-stream"),)


@attrs.define
class EngineModel:
    """State of an engine.

    `token_seconds` is the time between tokens and `fencing_token` the highest
    token seen. `calls` counts requests by path.
    """

    token_seconds: float = 0.0
    checks_fencing: bool = False
    fencing_token: int = 0
    role: str = "both"
    orders: list[dict[str, Any]] = attrs.field(factory=list)
    generated_tokens: int = 0
    calls: dict[str, int] = attrs.field(factory=dict)


@MODELS.register("engine")
def build_engine(
    token_seconds: float = 0.0, checks_fencing: bool = False
) -> EngineModel:
    """Return the initial state of an engine."""
    return EngineModel(token_seconds=token_seconds, checks_fencing=checks_fencing)


@BEHAVIOURS.register("engine")
def serve_engine(state: StandInState, event: CallArrived) -> Iterator[Reply]:
    """Answer a completion request or an order."""
    model: EngineModel = state.model
    model.calls[event.head.path] = model.calls.get(event.head.path, 0) + 1
    data = loads(event.body)
    if event.head.path == "/orders":
        yield _accept_order(model, event, data)
        return
    count = data.get("max_tokens") or DEFAULT_TOKENS
    model.generated_tokens += count
    if data.get("stream"):
        yield _stream_answer(model, event, data, count)
    else:
        yield _send_answer(state, event, data, count)


def _send_answer(
    state: StandInState, event: CallArrived, data: dict[str, Any], count: int
) -> Reply:
    text = "".join(f"t{index} " for index in range(count))
    answer = {
        "id": state.name,
        "model": data["model"],
        "choices": [{"index": 0, "message": {"role": "assistant", "content": text}}],
        "usage": _count_usage(event, count),
    }
    reply = Reply.from_json(event.call_id, 200, answer, echo_attempt(event))
    return attrs.evolve(reply, delay=count * state.model.token_seconds)


def _stream_answer(
    model: EngineModel, event: CallArrived, data: dict[str, Any], count: int
) -> Reply:
    chunks = [_encode_token(data["model"], f"t{index} ") for index in range(count)]
    if data.get("stream_options", {}).get("include_usage"):
        usage = {"choices": [], "usage": _count_usage(event, count)}
        chunks.append(_encode_event(dumps(usage)))
    chunks.append(_encode_event("[DONE]"))
    return Reply(
        call_id=event.call_id,
        headers=(*STREAM_HEADERS, *echo_attempt(event)),
        chunks=tuple(chunks),
        interval=model.token_seconds,
    )


def _accept_order(
    model: EngineModel, event: CallArrived, data: dict[str, Any]
) -> Reply:
    token = int(data.get("fencing_token", 0))
    if model.checks_fencing and token < model.fencing_token:
        error = {"error": f"fencing token {token} is below {model.fencing_token}"}
        return Reply.from_json(event.call_id, 409, error)
    model.fencing_token = max(model.fencing_token, token)
    model.orders.append(data)
    model.role = data.get("role", model.role)
    return Reply.from_json(event.call_id, 200, {"role": model.role})


def _count_usage(event: CallArrived, count: int) -> dict[str, int]:
    prompt = len(event.body) // BYTES_PER_TOKEN
    return {
        "prompt_tokens": prompt,
        "completion_tokens": count,
        "total_tokens": prompt + count,
    }


def _encode_token(model: str, text: str) -> bytes:
    choice = {"index": 0, "delta": {"content": text}}
    return _encode_event(dumps({"model": model, "choices": [choice]}))


def _encode_event(text: str) -> bytes:
    return b"data: " + text.encode() + b"\n\n"
