"""Gives up calls to the store that wait on connections which may have gone silent.

Connections can go silent for good without a reset, all at once, while new ones work. A
long poll shows that only after its wait, longer than a change of a server may stay
unknown. So the first call that gets no answer in time tells of the others: those that
were under way with it are made again, on new connections.
"""

from collections.abc import Iterator

from geraniumhall_core.effects import LogField, WriteLog
from geraniumhall_core.events import PlatformAnswered
from geraniumhall_core.handlers.feeds import (
    RECONFIRM_WAIT_SECONDS,
    SILENT_CALL_SECONDS,
    request_feed,
)
from geraniumhall_core.handlers.platform import FAILURE_HANDLERS
from geraniumhall_core.platform import Feed
from geraniumhall_core.purposes import FollowFeed
from geraniumhall_core.reducer import Effect
from geraniumhall_core.state import DaemonState


@FAILURE_HANDLERS.register("feeds")
def renew_feeds(state: DaemonState, event: PlatformAnswered) -> Iterator[Effect]:
    """Read the feeds again whose calls began before one that got no answer in time.

    Their earlier calls are left to end by themselves, and are ignored.
    """
    if not _is_silent(state, event):
        return
    for feed, feed_state in state.feeds.items():
        if not _was_under_way(state, feed, event):
            continue
        feed_state.series += 1
        state.counters["feeds.renewed"] += 1
        fields = (LogField("feed", feed.value),)
        yield WriteLog(level="info", event="feed_renewed", fields=fields)
        yield request_feed(state, feed, event.at, most=RECONFIRM_WAIT_SECONDS)


def _is_silent(state: DaemonState, event: PlatformAnswered) -> bool:
    """Return whether a call to the store has ended by its timeout."""
    purpose, seconds = event.purpose, event.at - event.called_at
    if isinstance(purpose, FollowFeed):
        if purpose.series != state.feeds[purpose.feed].series:
            return False
        seconds -= purpose.wait
    return not purpose.is_duty and seconds > SILENT_CALL_SECONDS


def _was_under_way(state: DaemonState, feed: Feed, event: PlatformAnswered) -> bool:
    """Return whether a watch of a feed has waited since before the failed call began.

    A listing has several pages, each with a timeout of its own, and is left alone.
    """
    purpose, feed_state = event.purpose, state.feeds[feed]
    if isinstance(purpose, FollowFeed) and purpose.feed is feed:
        return False
    is_watched = feed_state.revision.number > 0 and feed not in state.relay.resting
    return is_watched and feed_state.requested_at <= event.called_at
