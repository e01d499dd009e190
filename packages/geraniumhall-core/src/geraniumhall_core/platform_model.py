"""A model of the platform: its object store and its duty calls.

The memory driver, the platform stand-in and the simulated cluster of the bench use
it. It is independent of any encoding.
"""

from bisect import bisect_right
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from geraniumhall_core.catalogue import CONFIGURATION_KIND, REGISTERED_SERVER_KIND
from geraniumhall_core.platform import (
    Changes,
    Conflict,
    DeleteObject,
    DutyAccepted,
    DutyFenced,
    DutyMessage,
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
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.reducer import Effect, Event, Reducer
from geraniumhall_core.registry import Registry
from geraniumhall_core.revisions import NO_REVISION, Revision
from geraniumhall_core.usage import UsageLine

HISTORY_LENGTH = 4096  # changes
FEEDS_BY_KIND = {
    CONFIGURATION_KIND: Feed.CONFIGURATION,
    REGISTERED_SERVER_KIND: Feed.SERVERS,
}


@attrs.frozen(kw_only=True)
class CallReceived(Event):
    """A client called the platform."""

    call_id: int
    message: PlatformMessage


@attrs.frozen(kw_only=True)
class ClockAdvanced(Event):
    """Time advanced; watches whose deadline has passed are to be answered."""


@attrs.frozen(kw_only=True)
class StoreCopied(Event):
    """A copy of the store was made."""


@attrs.frozen(kw_only=True)
class StoreRewound(Event):
    """The store came back from its latest copy; a new era begins."""


@attrs.frozen(kw_only=True)
class AnswerCall(Effect):
    """Send the answer to the call with this id."""

    call_id: int
    answer: PlatformAnswer


@attrs.frozen
class PlatformCopy:
    """A copy of the store, from which it may come back."""

    revision: Revision
    objects: dict[ObjectKey, VersionedRecord]
    history: tuple[VersionedRecord, ...]
    compacted_revision: Revision


@attrs.frozen
class PendingWatch:
    """A watch that waits for a change, or until `deadline` in seconds."""

    call_id: int
    message: WatchObjects
    deadline: float


@attrs.define
class PlatformState:
    """The platform's state.

    The `history` of changes begins after `compacted_revision`. `copy` is what the
    store comes back from if it is rewound, at first the empty store. `fencing_tokens`
    holds the highest token seen for each subject of duty calls; a lower one is
    rejected if `checks_fencing` is true. `calls` counts messages by type.
    """

    revision: Revision = Revision(number=1)
    objects: dict[ObjectKey, VersionedRecord] = attrs.field(factory=dict)
    history: list[VersionedRecord] = attrs.field(factory=list)
    compacted_revision: Revision = NO_REVISION
    copy: PlatformCopy = PlatformCopy(Revision(number=1), {}, (), NO_REVISION)
    watches: dict[int, PendingWatch] = attrs.field(factory=dict)
    checks_fencing: bool = True
    fencing_tokens: dict[tuple[str, ...], int] = attrs.field(factory=dict)
    usage: dict[int, tuple[UsageLine, ...]] = attrs.field(factory=dict)
    scales: dict[tuple[str, str, bool], int] = attrs.field(factory=dict)
    calls: dict[str, int] = attrs.field(factory=dict)


PLATFORM: Reducer[PlatformState] = Reducer("platform")

CallHandler = Callable[[PlatformState, Any, float], PlatformAnswer]
CALL_HANDLERS: Registry[type[PlatformMessage], CallHandler] = Registry(
    "platform call handler"
)


@PLATFORM.handles(CallReceived)
def answer_call(state: PlatformState, event: CallReceived) -> Iterator[Effect]:
    """Answer a call or hold it as a watch, and answer the watches it completes."""
    message = event.message
    revision = state.revision
    name = type(message).__name__
    state.calls[name] = state.calls.get(name, 0) + 1
    if isinstance(message, WatchObjects):
        watch = PendingWatch(event.call_id, message, event.at + message.wait)
        state.watches[event.call_id] = watch
    else:
        answer = CALL_HANDLERS.find(type(message))(state, message, event.at)
        yield AnswerCall(call_id=event.call_id, answer=answer)
    if state.revision != revision or isinstance(message, WatchObjects):
        yield from _answer_watches(state, event.at)


@PLATFORM.handles(ClockAdvanced)
def expire_watches(state: PlatformState, event: ClockAdvanced) -> Iterator[Effect]:
    """Answer the watches whose deadline has passed."""
    yield from _answer_watches(state, event.at)


@PLATFORM.handles(StoreCopied)
def copy_store(state: PlatformState, event: StoreCopied) -> Iterator[Effect]:
    """Keep a copy of the objects and their history."""
    state.copy = PlatformCopy(
        state.revision,
        dict(state.objects),
        tuple(state.history),
        state.compacted_revision,
    )
    yield from ()


@PLATFORM.handles(StoreRewound)
def rewind_store(state: PlatformState, event: StoreRewound) -> Iterator[Effect]:
    """Go back to the copy, in the next era; the watches learn of it with the clock."""
    era, copy = state.revision.era + 1, state.copy
    state.revision = Revision(era, copy.revision.number)
    state.objects = {key: _move_to_era(item, era) for key, item in copy.objects.items()}
    state.history = [_move_to_era(item, era) for item in copy.history]
    state.compacted_revision = Revision(era, copy.compacted_revision.number)
    yield from ()


@CALL_HANDLERS.register(GetObject)
def get_object(state: PlatformState, message: GetObject, at: float) -> PlatformAnswer:
    """Read one object."""
    found = state.objects.get(message.key)
    return ObjectFound(found) if found else ObjectMissing(era=state.revision.era)


@CALL_HANDLERS.register(PutObject)
def put_object(state: PlatformState, message: PutObject, at: float) -> PlatformAnswer:
    """Write one object if its version matches."""
    return _write_object(state, message.key, message.record, message.expected_version)


@CALL_HANDLERS.register(DeleteObject)
def delete_object(
    state: PlatformState, message: DeleteObject, at: float
) -> PlatformAnswer:
    """Delete one object if its version matches."""
    if message.key not in state.objects:
        return Conflict(None, era=state.revision.era)
    return _write_object(state, message.key, DELETED, message.expected_version)


@CALL_HANDLERS.register(ListObjects)
def list_objects(
    state: PlatformState, message: ListObjects, at: float
) -> PlatformAnswer:
    """List the objects of a feed, or those of one kind."""
    found = [
        item
        for item in state.objects.values()
        if find_feed(item.key) is message.feed and message.kind in (None, item.key.kind)
    ]
    return Listing(state.revision, tuple(sorted(found, key=lambda o: o.key)))


@CALL_HANDLERS.register(ReportUsage)
def report_usage(
    state: PlatformState, message: ReportUsage, at: float
) -> PlatformAnswer:
    """Record a window's figures; accept a repeated report of the same figures."""
    if _is_fenced(state, message, ("usage",)):
        return DutyFenced()
    if state.usage.setdefault(message.window, message.lines) != message.lines:
        return DutyRejected("the window was reported with other figures")
    return DutyAccepted()


@CALL_HANDLERS.register(ScaleService)
def scale_service(
    state: PlatformState, message: ScaleService, at: float
) -> PlatformAnswer:
    """Record the requested number of servers."""
    subject = ("scale", message.service, message.failure_domain)
    if _is_fenced(state, message, subject):
        return DutyFenced()
    key = (message.service, message.failure_domain, message.reclaimable)
    state.scales[key] = message.count
    return DutyAccepted()


def find_feed(key: ObjectKey) -> Feed:
    """Return the feed that an object belongs to."""
    return FEEDS_BY_KIND.get(key.kind, Feed.RECORDS)


def _is_fenced(
    state: PlatformState, message: DutyMessage, subject: tuple[str, ...]
) -> bool:
    """Return whether a higher token was seen, and record this one if not."""
    highest = state.fencing_tokens.get(subject, 0)
    state.fencing_tokens[subject] = max(highest, message.fencing_token)
    return state.checks_fencing and message.fencing_token < highest


def _move_to_era(item: VersionedRecord, era: int) -> VersionedRecord:
    return attrs.evolve(item, version=Revision(era, item.version.number))


def _write_object(
    state: PlatformState, key: ObjectKey, record: Any, expected: Revision
) -> PlatformAnswer:
    """Write an object; like the store itself, compare the versions' numbers only."""
    current = state.objects.get(key)
    if (current.version.number if current else 0) != expected.number:
        return Conflict(current, era=state.revision.era)
    state.revision = state.revision.advance()
    written = VersionedRecord(key, state.revision, record)
    if record is DELETED:
        del state.objects[key]
    else:
        state.objects[key] = written
    state.history.append(written)
    if len(state.history) > HISTORY_LENGTH:
        state.compacted_revision = state.history.pop(0).version
    return Written(written.version)


def _answer_watches(state: PlatformState, at: float) -> Iterator[Effect]:
    for watch in list(state.watches.values()):
        answer = _answer_watch(state, watch, at)
        if answer is not None:
            del state.watches[watch.call_id]
            yield AnswerCall(call_id=watch.call_id, answer=answer)


def _answer_watch(
    state: PlatformState, watch: PendingWatch, at: float
) -> PlatformAnswer | None:
    after = watch.message.after.number
    if not state.compacted_revision.number <= after <= state.revision.number:
        return HistoryGone(era=state.revision.era)
    first = bisect_right(state.history, after, key=lambda c: c.version.number)
    recent = state.history[first:]
    changes = tuple(c for c in recent if find_feed(c.key) is watch.message.feed)
    if changes or at >= watch.deadline:
        return Changes(state.revision, changes)
    return None
