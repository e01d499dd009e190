"""A stand-in for a replica that speaks the platform's headers."""

from collections.abc import Iterator

import attrs

from geraniumhall_bench.standins.model import (
    BEHAVIOURS,
    JSON_HEADERS,
    MODELS,
    CallArrived,
    Reply,
    StandInState,
)
from geraniumhall_wire.heads import Header

HANDLE_PREFIX = "/geraniumhall/kv-handle/"
EVENT_STREAM: Header = (b"content-type", b"text/event-stream")
EVENTS = 3


@attrs.define
class ReplicaModel:
    """What a replica has done: requests that ran, and prompts it keeps.

    A replica of `phase` ``prefill`` runs nothing. While it is `full` it
    rejects every request.
    """

    phase: str = ""
    full: bool = False
    ran: list[str] = attrs.field(factory=list)
    handles: set[str] = attrs.field(factory=set)


@MODELS.register("replica")
def build_replica(phase: str = "", full: bool = False) -> ReplicaModel:
    """Return a replica that has done nothing."""
    return ReplicaModel(phase, full)


@BEHAVIOURS.register("replica")
def serve_replica(state: StandInState, event: CallArrived) -> Iterator[Reply]:
    """Answer as the platform's replicas do."""
    model: ReplicaModel = state.model
    if event.head.path.startswith(HANDLE_PREFIX):
        model.handles.discard(event.head.path.removeprefix(HANDLE_PREFIX))
        yield Reply.from_json(event.call_id, 200, {})
        return
    wants_prompt = _find_text(event, b"x-serving-phase") == "prefill"
    is_other = _find_text(event, b"x-expect-instance") != state.name
    if is_other or wants_prompt != (model.phase == "prefill"):
        named: Header = (b"x-instance-id", state.name.encode())
        yield Reply.from_json(event.call_id, 421, {}, (named,))
    elif model.full:
        yield Reply.from_json(event.call_id, 503, {}, ((b"x-not-executed", b"1"),))
    elif wants_prompt:
        yield _read_prompt(model, event)
    else:
        yield _run(model, event)


def _read_prompt(model: ReplicaModel, event: CallArrived) -> Reply:
    handle = f"h{len(model.handles) + 1}"
    model.handles.add(handle)
    tokens = int(_find_text(event, b"x-token-counts").partition(",")[0])
    answer = {"transfer_handle": handle, "tokens": tokens, "version": 1}
    return Reply.from_json(event.call_id, 200, answer)


def _run(model: ReplicaModel, event: CallArrived) -> Reply:
    request_id = _find_text(event, b"x-request-id")
    model.ran.append(request_id)
    signed: tuple[Header, ...] = (
        (b"x-request-id", request_id.encode()),
        (b"x-server-stamp", f"stamp-{len(model.ran)}".encode()),
    )
    if not _find_text(event, b"x-token-counts"):
        body = event.body or b"plain answer"
        headers = (*JSON_HEADERS, *signed)
        return Reply(call_id=event.call_id, headers=headers, chunks=(body,))
    chunks = tuple(f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, EVENTS + 1))
    return Reply(
        call_id=event.call_id,
        headers=(EVENT_STREAM, *signed),
        chunks=chunks,
        interval=0.01,
    )


def _find_text(event: CallArrived, name: bytes) -> str:
    return (event.head.find(name) or b"").decode("latin-1")
