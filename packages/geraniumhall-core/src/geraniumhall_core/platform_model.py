"""An in-memory model of the platform, for the embedded driver and stand-ins.

The model is a reducer like every other part: `CallReceived` goes in and
`AnswerCall` comes out, at once or, for a watch, when something changes.
"""

from bisect import bisect_right
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from geraniumhall_core.platform import (
    Answer,
    Changes,
    Conflict,
    DeleteObject,
    FetchWeights,
    GetObject,
    HistoryGone,
    HostListing,
    ListedHost,
    ListHosts,
    Listing,
    ListObjects,
    ListOrders,
    Message,
    ObjectFound,
    ObjectMissing,
    OrderAccepted,
    OrderListing,
    OrderRejected,
    OrderServers,
    PutObject,
    ReportUsage,
    ServerOrder,
    UsageAccepted,
    UsageConflict,
    WatchObjects,
    WeightsDeferred,
    WeightsGranted,
    Written,
)
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.reducer import Effect, Event, Reducer
from geraniumhall_core.registry import Registry

HISTORY_LENGTH = 4096
WEIGHT_INTERVAL_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class CallReceived(Event):
    """A client called the platform."""

    call_id: int
    message: Message


@attrs.frozen(kw_only=True)
class ClockAdvanced(Event):
    """Time passed; watches whose wait is over are answered."""


@attrs.frozen(kw_only=True)
class AnswerCall(Effect):
    """Answer the call with this id."""

    call_id: int
    answer: Answer


@attrs.frozen
class ParkedWatch:
    """A watch that waits for a change or for its deadline in seconds."""

    call_id: int
    message: WatchObjects
    deadline: float


@attrs.define
class PlatformState:
    """Everything the platform keeps."""

    revision: int = 0
    objects: dict[ObjectKey, VersionedRecord] = attrs.field(factory=dict)
    history: list[VersionedRecord] = attrs.field(factory=list)
    forgotten_revision: int = 0
    watches: dict[int, ParkedWatch] = attrs.field(factory=dict)
    orders: dict[str, ServerOrder] = attrs.field(factory=dict)
    fencing_tokens: dict[str, int] = attrs.field(factory=dict)
    usage: dict[tuple[str, int], ReportUsage] = attrs.field(factory=dict)
    hosts: tuple[ListedHost, ...] = ()
    weights_granted_at: float = float("-inf")
    calls: dict[str, int] = attrs.field(factory=dict)


PLATFORM: Reducer[PlatformState] = Reducer("platform")

Answerer = Callable[[PlatformState, Any, float], Answer]
ANSWERERS: Registry[type[Message], Answerer] = Registry("platform answerer")


@PLATFORM.handles(CallReceived)
def answer_call(state: PlatformState, event: CallReceived) -> Iterator[Effect]:
    """Answer a call, park it if it is a watch, and wake watches it concerns."""
    message = event.message
    revision = state.revision
    name = type(message).__name__
    state.calls[name] = state.calls.get(name, 0) + 1
    if isinstance(message, WatchObjects):
        watch = ParkedWatch(event.call_id, message, event.at + message.wait)
        state.watches[event.call_id] = watch
    else:
        answer = ANSWERERS.find(type(message))(state, message, event.at)
        yield AnswerCall(call_id=event.call_id, answer=answer)
    if state.revision != revision or isinstance(message, WatchObjects):
        yield from _answer_watches(state, event.at)


@PLATFORM.handles(ClockAdvanced)
def expire_watches(state: PlatformState, event: ClockAdvanced) -> Iterator[Effect]:
    """Answer the watches whose wait is over."""
    yield from _answer_watches(state, event.at)


@ANSWERERS.register(GetObject)
def get_object(state: PlatformState, message: GetObject, at: float) -> Answer:
    """Read one object."""
    found = state.objects.get(message.key)
    return ObjectFound(found) if found else ObjectMissing()


@ANSWERERS.register(PutObject)
def put_object(state: PlatformState, message: PutObject, at: float) -> Answer:
    """Write one object if its version is as expected."""
    return _write_object(state, message.key, message.record, message.if_version)


@ANSWERERS.register(DeleteObject)
def delete_object(state: PlatformState, message: DeleteObject, at: float) -> Answer:
    """Delete one object if its version is as expected."""
    if message.key not in state.objects:
        return Conflict(None)
    return _write_object(state, message.key, DELETED, message.if_version)


@ANSWERERS.register(ListObjects)
def list_objects(state: PlatformState, message: ListObjects, at: float) -> Answer:
    """List the objects of some kinds."""
    found = [o for o in state.objects.values() if o.key.kind in message.kinds]
    return Listing(state.revision, tuple(sorted(found, key=lambda o: o.key)))


@ANSWERERS.register(OrderServers)
def order_servers(state: PlatformState, message: OrderServers, at: float) -> Answer:
    """Accept an order once, unless its fencing token is an old one."""
    highest = state.fencing_tokens.get(message.failure_domain, 0)
    if message.fencing_token < highest:
        return OrderRejected(
            f"fencing token {message.fencing_token} is below {highest}"
        )
    state.fencing_tokens[message.failure_domain] = message.fencing_token
    order = ServerOrder(
        message.order_id, message.failure_domain, message.model, message.count
    )
    if state.orders.setdefault(message.order_id, order) != order:
        return OrderRejected("the order id stands for another order")
    return OrderAccepted(order)


@ANSWERERS.register(ListOrders)
def list_orders(state: PlatformState, message: ListOrders, at: float) -> Answer:
    """List the orders of a failure domain."""
    domain = message.failure_domain
    orders = [o for o in state.orders.values() if o.failure_domain == domain]
    return OrderListing(tuple(orders))


@ANSWERERS.register(ReportUsage)
def report_usage(state: PlatformState, message: ReportUsage, at: float) -> Answer:
    """Record a window's figures once; the same figures again are accepted."""
    key = (message.workspace, message.window)
    if state.usage.setdefault(key, message) != message:
        return UsageConflict()
    return UsageAccepted()


@ANSWERERS.register(ListHosts)
def list_hosts(state: PlatformState, message: ListHosts, at: float) -> Answer:
    """List the hosts."""
    return HostListing(state.hosts)


@ANSWERERS.register(FetchWeights)
def fetch_weights(state: PlatformState, message: FetchWeights, at: float) -> Answer:
    """Grant one read of weights an interval."""
    wait = state.weights_granted_at + WEIGHT_INTERVAL_SECONDS - at
    if wait > 0:
        return WeightsDeferred(wait)
    state.weights_granted_at = at
    return WeightsGranted("1")


def _write_object(
    state: PlatformState, key: ObjectKey, record: Any, if_version: int
) -> Answer:
    current = state.objects.get(key)
    if (current.version if current else 0) != if_version:
        return Conflict(current)
    state.revision += 1
    written = VersionedRecord(key, state.revision, record)
    if record is DELETED:
        del state.objects[key]
    else:
        state.objects[key] = written
    state.history.append(written)
    if len(state.history) > HISTORY_LENGTH:
        state.forgotten_revision = state.history.pop(0).version
    return Written(written.version)


def _answer_watches(state: PlatformState, at: float) -> Iterator[Effect]:
    for watch in list(state.watches.values()):
        answer = _answer_watch(state, watch, at)
        if answer is not None:
            del state.watches[watch.call_id]
            yield AnswerCall(call_id=watch.call_id, answer=answer)


def _answer_watch(state: PlatformState, watch: ParkedWatch, at: float) -> Answer | None:
    message = watch.message
    if message.after < state.forgotten_revision:
        return HistoryGone(state.revision)
    first = bisect_right(state.history, message.after, key=lambda c: c.version)
    recent = state.history[first:]
    changes = tuple(c for c in recent if c.key.kind in message.kinds)
    if changes or at >= watch.deadline:
        return Changes(state.revision, changes)
    return None
