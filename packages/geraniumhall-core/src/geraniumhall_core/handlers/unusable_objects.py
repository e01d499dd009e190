"""Keeps account of the store's objects that can't be decoded.

Such an object costs itself alone. Its reason is logged once, and is shown to operators
until the object is replaced or deleted.
"""

from collections.abc import Iterator

from geraniumhall_core.admin import UnusableStatus
from geraniumhall_core.effects import LogField, WriteLog
from geraniumhall_core.platform import Changes, Feed, Listing, UnusableObject
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.reducer import Effect
from geraniumhall_core.state import DaemonState


def track_unusable(
    state: DaemonState, feed: Feed, answer: Listing | Changes
) -> Iterator[Effect]:
    """Record which objects of a feed are unusable, and log each new reason."""
    known = state.feeds[feed].unusable
    usable = answer.objects if isinstance(answer, Listing) else answer.changes
    versions = {item.key: item.version for item in usable}
    found = {
        item.key: item
        for item in answer.unusable
        if item.key not in versions or item.version > versions[item.key]
    }
    replaced = set(known) if isinstance(answer, Listing) else set(versions)
    for key in replaced - set(found):
        known.pop(key, None)
    for key, item in found.items():
        if known.get(key) != item.reason:
            yield _log_unusable(feed, item)
        known[key] = item.reason


def count_unusable(state: DaemonState) -> int:
    """Return the number of objects that can't be decoded now."""
    return sum(len(feed.unusable) for feed in state.feeds.values())


def describe_unusable(state: DaemonState) -> tuple[UnusableStatus, ...]:
    """Return the objects that can't be decoded, as operators are shown them."""
    return tuple(
        UnusableStatus(feed=feed.value, object=_describe_key(key), reason=reason)
        for feed, feed_state in state.feeds.items()
        for key, reason in feed_state.unusable.items()
    )


def _log_unusable(feed: Feed, item: UnusableObject) -> WriteLog:
    fields = (
        LogField("object", f"{feed.value}/{_describe_key(item.key)}"),
        LogField("reason", item.reason),
    )
    return WriteLog(level="warning", event="object_unusable", fields=fields)


def _describe_key(key: ObjectKey | None) -> str:
    return key.name if key else ""
