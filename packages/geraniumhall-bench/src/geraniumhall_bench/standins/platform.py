"""A stand-in for the platform: core's model behind the platform's HTTP protocol."""

from collections.abc import Callable, Iterator
from json import dumps, loads
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import attrs

from geraniumhall_bench.standins.model import (
    BEHAVIOURS,
    CLOCK_HANDLERS,
    CONTROLS,
    JSON_HEADERS,
    MODELS,
    CallArrived,
    Reply,
    StandInState,
    TimePassed,
)
from geraniumhall_core.platform import (
    Changes,
    Conflict,
    DeleteObject,
    DutyAccepted,
    DutyFenced,
    DutyRejected,
    Feed,
    GetObject,
    HistoryGone,
    Listing,
    ListObjects,
    ObjectFound,
    ObjectMissing,
    PlatformAnswer,
    PlatformMessage,
    PutObject,
    ReportUsage,
    ScaleService,
    WatchObjects,
    Written,
)
from geraniumhall_core.platform_model import (
    PLATFORM,
    AnswerCall,
    CallReceived,
    ClockAdvanced,
    PlatformState,
    StoreCopied,
    StoreRewound,
)
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.reducer import Effect
from geraniumhall_core.registry import Registry
from geraniumhall_core.revisions import Revision
from geraniumhall_core.usage import UsageFigures, UsageLine

OBJECTS_PATH = "/geraniumhall/objects/"
ERA_HEADER = b"store-era"
FEEDS_BY_PATH = {
    "config": Feed.CONFIGURATION,
    "servers": Feed.SERVERS,
    "geraniumhall": Feed.RECORDS,
}
RECORD_KINDS_BY_FEED = {
    Feed.CONFIGURATION: "configuration",
    Feed.SERVERS: "registered_server",
}
MILLISECONDS_PER_SECOND = 1000

AnswerEncoder = Callable[[Any], tuple[int, Any]]
ANSWER_ENCODERS: Registry[type[PlatformAnswer], AnswerEncoder] = Registry(
    "platform answer"
)


@attrs.define
class PlatformStandInModel:
    """The state of the platform's model."""

    platform: PlatformState = attrs.field(factory=PlatformState)

    @property
    def calls(self) -> dict[str, int]:
        """Number of calls received, by message type."""
        return self.platform.calls


@MODELS.register("platform")
def build_platform() -> PlatformStandInModel:
    """Return an empty platform."""
    return PlatformStandInModel()


@BEHAVIOURS.register("platform")
def serve_platform(state: StandInState, event: CallArrived) -> Iterator[Reply]:
    """Dispatch a call to the platform's model.

    Specs of objects are kept as parsed JSON, not converted to records. A call
    that can't be parsed is answered with status 400.
    """
    try:
        message = _parse_call(event)
    except (ValueError, KeyError, TypeError) as error:
        yield Reply.from_json(event.call_id, 400, {"error": str(error)})
        return
    call = CallReceived(at=event.at, call_id=event.call_id, message=message)
    yield from _encode(
        state.model.platform, PLATFORM.reduce(state.model.platform, call)
    )


@CLOCK_HANDLERS.register("platform")
def advance_platform(state: StandInState, event: TimePassed) -> Iterator[Reply]:
    """Answer the watches whose wait has ended."""
    advanced = ClockAdvanced(at=event.at)
    effects = PLATFORM.reduce(state.model.platform, advanced)
    yield from _encode(state.model.platform, effects)


@CONTROLS.register("copy")
def copy_store(state: StandInState, event: CallArrived) -> Any:
    """Make the copy from which a rewind brings the store back."""
    PLATFORM.reduce(state.model.platform, StoreCopied(at=event.at))
    return {"revision": state.model.platform.revision.number}


@CONTROLS.register("rewind")
def rewind_store(state: StandInState, event: CallArrived) -> Any:
    """Bring the store back from its copy; return the era and revision then."""
    PLATFORM.reduce(state.model.platform, StoreRewound(at=event.at))
    return attrs.asdict(state.model.platform.revision)


def _parse_call(event: CallArrived) -> PlatformMessage:
    url = urlsplit(event.head.target.decode("latin-1"))
    if url.path == "/usage":
        return _parse_usage(event)
    if url.path == "/scale":
        return _parse_scale(event)
    kind, _, name = url.path.removeprefix(OBJECTS_PATH).partition("/")
    query = {key: values[0] for key, values in parse_qs(url.query).items()}
    feed = FEEDS_BY_PATH[kind]
    if event.head.method == b"GET" and not name:
        if "watch" not in query:
            return ListObjects(feed)
        wait = int(query.get("wait_ms", "0")) / MILLISECONDS_PER_SECOND
        return WatchObjects(feed, Revision(number=int(query["watch"])), wait)
    if event.head.method == b"GET":
        return GetObject(_build_key(feed, unquote(name)))
    if event.head.method == b"DELETE":
        key = _build_key(feed, unquote(name))
        return DeleteObject(key, Revision(number=int(query["revision"])))
    data = loads(event.body)
    metadata = data["metadata"]
    key = _build_key(feed, str(metadata["name"]))
    expected = Revision(number=int(metadata.get("revision", 0)))
    return PutObject(key, data["spec"], expected)


def _parse_usage(event: CallArrived) -> ReportUsage:
    data = loads(event.body)
    counts = data["counts"]
    return ReportUsage(
        host=_read_header(event, b"x-duty-holder"),
        fencing_token=int(_read_header(event, b"x-fencing-token")),
        window=data["window_id"],
        lines=tuple(UsageLine(k, UsageFigures(v)) for k, v in counts.items()),
    )


def _parse_scale(event: CallArrived) -> ScaleService:
    data = loads(event.body)
    return ScaleService(
        host=_read_header(event, b"x-duty-holder"),
        fencing_token=int(_read_header(event, b"x-fencing-token")),
        service=data["service"],
        failure_domain=data["zone"],
        count=data["desired"],
        reclaimable=bool(data.get("spot", False)),
    )


def _read_header(event: CallArrived, name: bytes) -> str:
    return (event.head.find(name) or b"").decode("latin-1")


def _build_key(feed: Feed, name: str) -> ObjectKey:
    return ObjectKey(RECORD_KINDS_BY_FEED.get(feed, "record"), name)


def _encode(platform: PlatformState, effects: tuple[Effect, ...]) -> Iterator[Reply]:
    """Encode answers; a store in era zero is one that states no era."""
    headers, era = JSON_HEADERS, platform.revision.era
    if era:
        headers = (*headers, (ERA_HEADER, str(era).encode()))
    for effect in effects:
        assert isinstance(effect, AnswerCall)
        encoder = ANSWER_ENCODERS.find(type(effect.answer))
        status, data = encoder(effect.answer)
        body = dumps(data).encode()
        yield Reply(
            call_id=effect.call_id, status=status, headers=headers, chunks=(body,)
        )


@ANSWER_ENCODERS.register(ObjectFound)
def encode_found(answer: ObjectFound) -> tuple[int, Any]:
    """Encode one object."""
    return 200, _encode_object(answer.object)


@ANSWER_ENCODERS.register(ObjectMissing)
def encode_missing(answer: ObjectMissing) -> tuple[int, Any]:
    """Encode that there is no such object."""
    return 404, {}


@ANSWER_ENCODERS.register(Written)
def encode_written(answer: Written) -> tuple[int, Any]:
    """Encode a write that took effect."""
    return 200, {"metadata": {"revision": answer.version.number}}


@ANSWER_ENCODERS.register(Conflict)
def encode_conflict(answer: Conflict) -> tuple[int, Any]:
    """Encode a write whose version did not match: 409 with the current object.

    An object that does not exist is answered with 404.
    """
    if answer.current is None:
        return 404, {}
    return 409, _encode_object(answer.current)


@ANSWER_ENCODERS.register(Listing)
def encode_listing(answer: Listing) -> tuple[int, Any]:
    """Encode all objects of a feed as a single page."""
    items = [_encode_object(item) for item in answer.objects]
    return 200, {
        "items": items,
        "more_pages": False,
        "current_rev": answer.revision.number,
    }


@ANSWER_ENCODERS.register(Changes)
def encode_changes(answer: Changes) -> tuple[int, Any]:
    """Encode the changes that a watch reports."""
    events = [
        {"tombstone": item.record is DELETED, "object": _encode_object(item)}
        for item in answer.changes
    ]
    return 200, {"events": events, "current_rev": answer.revision.number}


@ANSWER_ENCODERS.register(HistoryGone)
def encode_history_gone(answer: HistoryGone) -> tuple[int, Any]:
    """Encode that the history since the given revision was discarded."""
    return 410, {}


@ANSWER_ENCODERS.register(DutyAccepted)
def encode_accepted(answer: DutyAccepted) -> tuple[int, Any]:
    """Encode a usage report or scale request that was accepted."""
    return 200, {}


@ANSWER_ENCODERS.register(DutyFenced)
def encode_fenced(answer: DutyFenced) -> tuple[int, Any]:
    """Encode a duty call that was fenced off by a higher token."""
    return 409, {"error": "a higher fencing token was seen"}


@ANSWER_ENCODERS.register(DutyRejected)
def encode_rejected(answer: DutyRejected) -> tuple[int, Any]:
    """Encode a duty call that was rejected for another reason."""
    return 409, {"error": answer.reason}


def _encode_object(item: VersionedRecord) -> dict[str, Any]:
    metadata = {
        "name": item.key.name,
        "revision": item.version.number,
        "created": item.version.number,
        "finalizers": [],
        "deleting": False,
    }
    spec = None if item.record is DELETED else item.record
    return {"metadata": metadata, "spec": spec, "status": None}
