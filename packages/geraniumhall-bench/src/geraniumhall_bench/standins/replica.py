"""A stand-in for a replica that uses the platform's own headers."""

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
EVENTS_PER_ANSWER = 3


@attrs.define
class ReplicaModel:
    """State of a replica: the requests it executed and the KV handles it holds.

    A replica whose `phase` is ``prefill`` only runs prefills. One that is `full`
    rejects requests as not executed.
    """

    phase: str = ""
    full: bool = False
    executed_requests: list[str] = attrs.field(factory=list)
    handles: set[str] = attrs.field(factory=set)


@MODELS.register("replica")
def build_replica(phase: str = "", full: bool = False) -> ReplicaModel:
    """Return the initial state of a replica."""
    return ReplicaModel(phase, full)


@BEHAVIOURS.register("replica")
def serve_replica(state: StandInState, event: CallArrived) -> Iterator[Reply]:
    """Answer a prefill, a request or the release of a KV handle.

    A request for another instance or phase is answered with status 421. Refusals name
    their request, as all answers do.
    """
    model: ReplicaModel = state.model
    if event.head.path.startswith(HANDLE_PREFIX):
        model.handles.discard(event.head.path.removeprefix(HANDLE_PREFIX))
        yield Reply.from_json(event.call_id, 200, {})
        return
    is_prefill = _read_header(event, b"x-serving-phase") == "prefill"
    is_misdirected = _read_header(event, b"x-expect-instance") != state.name
    named: Header = (b"x-request-id", _read_header(event, b"x-request-id").encode())
    if is_misdirected or is_prefill != (model.phase == "prefill"):
        instance_header: Header = (b"x-instance-id", state.name.encode())
        yield Reply.from_json(event.call_id, 421, {}, (instance_header, named))
    elif model.full:
        refused: Header = (b"x-not-executed", b"1")
        yield Reply.from_json(event.call_id, 503, {}, (refused, named))
    elif is_prefill:
        yield _prefill(model, event)
    else:
        yield _run(model, event)


def _prefill(model: ReplicaModel, event: CallArrived) -> Reply:
    handle = f"h{len(model.handles) + 1}"
    model.handles.add(handle)
    tokens = int(_read_header(event, b"x-token-counts").partition(",")[0])
    answer = {"transfer_handle": handle, "tokens": tokens, "version": 1}
    return Reply.from_json(event.call_id, 200, answer)


def _run(model: ReplicaModel, event: CallArrived) -> Reply:
    request_id = _read_header(event, b"x-request-id")
    model.executed_requests.append(request_id)
    identity_headers: tuple[Header, ...] = (
        (b"x-request-id", request_id.encode()),
        (b"x-server-stamp", f"stamp-{len(model.executed_requests)}".encode()),
    )
    if not _read_header(event, b"x-token-counts"):
        body = event.body or b"plain answer"
        headers = (*JSON_HEADERS, *identity_headers)
        return Reply(call_id=event.call_id, headers=headers, chunks=(body,))
    chunks = tuple(
        f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, EVENTS_PER_ANSWER + 1)
    )
    return Reply(
        call_id=event.call_id,
        headers=(EVENT_STREAM, *identity_headers),
        chunks=chunks,
        interval=0.01,
    )


def _read_header(event: CallArrived, name: bytes) -> str:
    return (event.head.find(name) or b"").decode("latin-1")
