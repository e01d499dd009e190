"""Tests of calls to the store on connections that have gone silent."""

import unittest
from typing import Any

import attrs
from builders import apply_feed_answer, build_answer, build_state, reduce

from geraniumhall_core.effects import CallPlatform
from geraniumhall_core.handlers.feeds import RECONFIRM_WAIT_SECONDS
from geraniumhall_core.platform import Changes, Feed, PlatformFailure, WatchObjects
from geraniumhall_core.purposes import FollowFeed, PublishHost, Purpose, ScaleDomain
from geraniumhall_core.revisions import NO_REVISION, Revision
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict

LOST = PlatformFailure("no whole answer within 1.0 s", Verdict.MAY_HAVE_RUN)
CHANGES = Changes(Revision(number=120), ())
DUTY = ScaleDomain("llm", "a", False, 3)


class SilenceTest(unittest.TestCase):
    """A call that is lost tells of the watches that began before it."""

    def build(self) -> DaemonState:
        """Return a state whose watches of all feeds began at 5 s."""
        state = build_state()
        for feed in Feed:
            apply_feed_answer(state, feed, CHANGES, at=5.0)
        return state

    def lose(self, state: DaemonState, purpose: Purpose, **times: float) -> list[Any]:
        """Let a call fail; return the watches that are made again."""
        event = attrs.evolve(build_answer(purpose, LOST), **times)
        calls = [e for e in reduce(state, event) if isinstance(e, CallPlatform)]
        return [call for call in calls if isinstance(call.message, WatchObjects)]

    def test_watches_are_made_again(self) -> None:
        """Guards against a leaving server that is known only when a watch has ended."""
        state = self.build()
        watches = self.lose(state, PublishHost(1), called_at=5.5, at=6.5)
        feeds = [watch.message.feed for watch in watches]
        # The next read of the records is not due yet.
        self.assertCountEqual(feeds, (Feed.CONFIGURATION, Feed.SERVERS))
        for watch in watches:
            self.assertLessEqual(watch.message.wait, RECONFIRM_WAIT_SECONDS)
            self.assertEqual(watch.delay, 0.0)

    def test_earlier_watch_is_ignored(self) -> None:
        """It would be followed by a second watch beside the new one."""
        state = self.build()
        self.lose(state, PublishHost(1), called_at=5.5, at=6.5)
        late = build_answer(FollowFeed(Feed.SERVERS), CHANGES, at=7.0)
        self.assertEqual(reduce(state, late), ())

    def test_calls_that_began_later_are_left(self) -> None:
        """They are on another connection, or end as soon."""
        state = self.build()
        self.assertEqual(self.lose(state, PublishHost(1), called_at=4.9, at=5.9), [])

    def test_listings_are_left(self) -> None:
        """A listing of many pages would never end."""
        state = self.build()
        for feed_state in state.feeds.values():
            feed_state.revision = NO_REVISION
        event = attrs.evolve(build_answer(PublishHost(1), LOST), called_at=5.5, at=6.5)
        calls = [e for e in reduce(state, event) if isinstance(e, CallPlatform)]
        self.assertEqual([c for c in calls if isinstance(c.purpose, FollowFeed)], [])

    def test_lost_watch_is_repeated_once(self) -> None:
        """A feed whose own watch is lost is repeated as after any failure."""
        state = self.build()
        purpose = FollowFeed(Feed.RECORDS, wait=1.0)
        watches = self.lose(state, purpose, called_at=5.5, at=7.5)
        feeds = [watch.message.feed for watch in watches]
        self.assertCountEqual(feeds, Feed)

    def test_other_failures_tell_nothing(self) -> None:
        """The store has answered, or the call went to another address."""
        state = self.build()
        for purpose, seconds in ((PublishHost(1), 0.1), (DUTY, 1.0)):
            with self.subTest(purpose=purpose):
                at = 5.5 + seconds
                self.assertEqual(self.lose(state, purpose, called_at=5.5, at=at), [])

    def test_watch_that_is_refused_after_its_wait_tells_nothing(self) -> None:
        """Its wait is no silence."""
        state = self.build()
        purpose = FollowFeed(Feed.CONFIGURATION, wait=2.0)
        watches = self.lose(state, purpose, called_at=5.5, at=7.6)
        self.assertEqual([watch.message.feed for watch in watches], [purpose.feed])


if __name__ == "__main__":
    unittest.main()
