"""Tests of keeping the copy of the platform's objects in sync."""

import unittest

import attrs
from builders import (
    LISTED_AT,
    apply_feed_answer,
    build_answer,
    build_arrival,
    build_listing,
    build_records,
    build_server,
    build_state,
    find_effect,
    reduce,
)

from geraniumhall_core.catalogue import Workspace
from geraniumhall_core.effects import CallPlatform, RelayRequest
from geraniumhall_core.events import Ticked
from geraniumhall_core.hosts import Demand, HostRecord
from geraniumhall_core.platform import (
    Changes,
    Feed,
    HistoryGone,
    Listing,
    ListObjects,
    PlatformFailure,
    WatchObjects,
)
from geraniumhall_core.policy import Policy
from geraniumhall_core.purposes import FollowFeed, PublishHost
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.revisions import Revision
from geraniumhall_core.state import DaemonState
from geraniumhall_core.usage import UsageFigures, UsageLine, WindowUsage
from geraniumhall_core.verdict import Verdict

DOWN = PlatformFailure("down", Verdict.NOT_RUN)
SERVER_KEY = ObjectKey("registered_server", "e9")


def register_server(state: DaemonState, version: int = 101, **fields: object) -> None:
    """Apply the registration of a server."""
    change = VersionedRecord(
        SERVER_KEY, Revision(number=version), build_server("draft", **fields)
    )
    apply_feed_answer(state, Feed.SERVERS, Changes(Revision(number=version), (change,)))


def list_servers(state: DaemonState) -> tuple[str, ...]:
    """Return the candidate servers of the service `draft`."""
    return state.catalogue.servers_by_service.get("draft", ())


def add_hosts(state: DaemonState, total: int) -> None:
    """Let the state know of other hosts, so that there are `total` live ones."""
    for number in range(1, total):
        record = HostRecord(failure_domain="b", incarnation=1, sequence=1)
        state.hosts.observe(f"peer{number}", record, LISTED_AT)
    state.live_hosts = total


class FollowTest(unittest.TestCase):
    """Each answer leads to one further call."""

    def answer(self, answer: object) -> CallPlatform:
        """Return the call that follows an answer to a watch of the configuration."""
        effects = apply_feed_answer(build_state(), Feed.CONFIGURATION, answer)
        return find_effect(effects, CallPlatform)

    def test_watch_continues_after_the_revision(self) -> None:
        """The next watch starts at the revision of the answer."""
        message = self.answer(Changes(Revision(number=120), ())).message
        self.assertEqual(
            message, WatchObjects(Feed.CONFIGURATION, Revision(number=120), 2.0)
        )

    def test_failure_backs_off(self) -> None:
        """A failed watch is repeated after a backoff."""
        self.assertGreater(self.answer(DOWN).delay, 0.0)

    def test_lost_history_lists_again(self) -> None:
        """The feed is listed again after the store has compacted its history."""
        message = self.answer(HistoryGone()).message
        self.assertEqual(message, ListObjects(Feed.CONFIGURATION))

    def test_failure_confirms_nothing(self) -> None:
        """A failure does not make the copy fresher."""
        state = build_state()
        apply_feed_answer(state, Feed.CONFIGURATION, DOWN, at=4.0)
        self.assertEqual(state.compute_catalogue_age(4.0), 3.0)

    def test_oldest_feed_decides_the_age(self) -> None:
        """Keys come from two feeds, so the older confirmation counts."""
        state = build_state()
        apply_feed_answer(
            state, Feed.CONFIGURATION, Changes(Revision(number=120), ()), at=4.0
        )
        self.assertEqual(state.compute_catalogue_age(4.0), 3.0)
        apply_feed_answer(
            state, Feed.RECORDS, Changes(Revision(number=120), ()), at=4.0
        )
        self.assertEqual(state.compute_catalogue_age(4.0), 0.0)


class ConfirmationTest(unittest.TestCase):
    """An answer confirms the copy as of a time at which it is known to be current."""

    def confirm(self, answer: object, wait: float, seconds: float) -> float:
        """Return the copy's age after an answer that took `seconds`."""
        state = build_state()
        purpose = FollowFeed(Feed.CONFIGURATION, wait)
        event = build_answer(purpose, answer, at=10.0 + seconds)
        apply_feed_answer(
            state, Feed.RECORDS, Changes(Revision(number=120), ()), at=10.0 + seconds
        )
        reduce(state, attrs.evolve(event, called_at=10.0))
        return state.compute_catalogue_age(10.0 + seconds)

    def test_empty_watch_confirms_as_of_its_end(self) -> None:
        """A watch that waited in vain shows that nothing changed while it waited."""
        age = self.confirm(Changes(Revision(number=120), ()), wait=2.0, seconds=2.1)
        self.assertAlmostEqual(age, 0.1)

    def test_early_answer_confirms_as_of_the_call(self) -> None:
        """An answer before the end of the wait may be older than its arrival."""
        self.assertAlmostEqual(
            self.confirm(Changes(Revision(number=120), ()), 2.0, 1.9), 1.9
        )

    def test_change_confirms_as_of_the_call(self) -> None:
        """Changes may have been read right after the call arrived."""
        change = VersionedRecord(
            ObjectKey("workspace", "new"), Revision(number=121), Workspace()
        )
        self.assertAlmostEqual(
            self.confirm(Changes(Revision(number=121), (change,)), 2.0, 2.1), 2.1
        )

    def test_listing_confirms_as_of_the_call(self) -> None:
        """A listing may have been read right after the call arrived."""
        self.assertAlmostEqual(
            self.confirm(Listing(Revision(number=121), ()), 0.0, 0.4), 0.4
        )

    def test_lost_watch_is_confirmed_at_once(self) -> None:
        """After a failure the copy is confirmed without another long wait."""
        state = build_state()
        effects = apply_feed_answer(state, Feed.CONFIGURATION, DOWN)
        self.assertLessEqual(find_effect(effects, CallPlatform).message.wait, 0.1)


class RecoveryTest(unittest.TestCase):
    """A host that reaches the store again tells the others at once."""

    def test_counts_are_published_without_waiting_for_the_interval(self) -> None:
        """A window may be held open for the counts of this host."""
        state = build_state()
        state.publishing.next_call_at = 60.0
        apply_feed_answer(state, Feed.RECORDS, DOWN, at=5.0)
        apply_feed_answer(
            state, Feed.RECORDS, Changes(Revision(number=120), ()), at=9.0
        )
        effects = reduce(state, Ticked(at=9.1, wall_time=9.1, draws=(0.0, 0.0)))
        calls = [e.purpose for e in effects if isinstance(e, CallPlatform)]
        self.assertIn(PublishHost, [type(purpose) for purpose in calls])


class ReadIntervalTest(unittest.TestCase):
    """A host stays ready between reads of its feeds, for any number of hosts."""

    def compute_longest_age(self, feed: Feed, hosts: int) -> float:
        """Return the longest age of a copy before it is confirmed again.

        The answers come as late as the waits allow, without changes.
        """
        state = build_state()
        add_hosts(state, hosts)
        now, longest = LISTED_AT, 0.0
        effects = apply_feed_answer(state, feed, Changes(Revision(number=120), ()))
        for _ in range(32):
            call = find_effect(effects, CallPlatform)
            called_at = now + call.delay
            now = called_at + call.message.wait
            longest = max(longest, now - state.feeds[feed].confirmed_at)
            event = build_answer(
                call.purpose, Changes(Revision(number=120), ()), at=now
            )
            effects = reduce(state, attrs.evolve(event, called_at=called_at))
        return longest

    def test_copies_are_confirmed_in_time(self) -> None:
        """Configuration and records are confirmed before the host becomes unready.

        The readiness bound is that of a revocation bound of 5 s.
        """
        for feed in (Feed.CONFIGURATION, Feed.RECORDS):
            for hosts in (1, 9, 79, 590):
                with self.subTest(feed=feed, hosts=hosts):
                    self.assertLessEqual(self.compute_longest_age(feed, hosts), 2.5)

    def test_no_answer_has_many_records(self) -> None:
        """Guards against long answers that delay streams on hosts with thin links.

        The records that are written between two reads are at most 20 on average.
        """
        for hosts in (9, 41, 79, 590):
            with self.subTest(hosts=hosts):
                state = build_state()
                add_hosts(state, hosts)
                written = hosts / state.interval_factor / state.policy.publish_interval
                effects = apply_feed_answer(
                    state, Feed.RECORDS, Changes(Revision(number=120), ())
                )
                delay = find_effect(effects, CallPlatform).delay
                self.assertLessEqual(written * delay, 20.01)

    def test_many_hosts_batch_changes_of_servers(self) -> None:
        """With 79 hosts the next watch is delayed, with nine it is not."""
        for hosts, waits in ((9, False), (79, True)):
            state = build_state()
            state.live_hosts = hosts
            effects = apply_feed_answer(
                state, Feed.SERVERS, Changes(Revision(number=120), ())
            )
            delay = find_effect(effects, CallPlatform).delay
            self.assertEqual(delay > 0, waits)

    def test_servers_that_leave_are_known_in_time(self) -> None:
        """No pause takes more than half of the time until a leave must be known."""
        for bound in (1.0, 2.0, 4.0):
            for hosts in (9, 79, 195, 590):
                with self.subTest(bound=bound, hosts=hosts):
                    state = build_state(policy={"servers_max_pause": bound * 0.4})
                    state.live_hosts = hosts
                    effects = apply_feed_answer(
                        state, Feed.SERVERS, Changes(Revision(number=120), ())
                    )
                    delay = find_effect(effects, CallPlatform).delay
                    self.assertLessEqual(delay, bound / 2)

    def test_longer_bound_allows_longer_pauses(self) -> None:
        """With 195 hosts fewer calls are made where leaves may be known later."""
        delays = []
        for pause in (0.8, 1.6):
            state = build_state(policy={"servers_max_pause": pause})
            state.live_hosts = 195
            effects = apply_feed_answer(
                state, Feed.SERVERS, Changes(Revision(number=120), ())
            )
            delays.append(find_effect(effects, CallPlatform).delay)
        self.assertEqual(delays, [0.8, 1.6])


class HostRecordTest(unittest.TestCase):
    """A change of another host's demand is dated by the previous read of the feed."""

    def publish_demand(self, state: DaemonState, rate: float, at: float) -> None:
        """Apply a record of host h2 with this demand."""
        revision = int(100 + at)
        record = HostRecord(
            failure_domain="b",
            incarnation=1,
            sequence=revision,
            demands=(Demand("audit", rate),),
        )
        change = VersionedRecord(
            ObjectKey("host", "h2"), Revision(number=revision), record
        )
        apply_feed_answer(
            state, Feed.RECORDS, Changes(Revision(number=revision), (change,)), at=at
        )

    def test_increase_is_dated_by_the_previous_read(self) -> None:
        """An increase counts 5 s after the previous read of the feed.

        The record may have been written just after that read, and its host
        counts the increase 5 s after the write.
        """
        state = build_state()
        self.publish_demand(state, 10.0, at=2.0)
        apply_feed_answer(
            state, Feed.RECORDS, Changes(Revision(number=102), ()), at=4.0
        )
        self.publish_demand(state, 90.0, at=6.0)
        demand = state.hosts.known["h2"].demand_history
        counted = [demand.compute_counted("audit", now, 5.0) for now in (8.9, 9.0)]
        self.assertEqual(counted, [10.0, 90.0])


class LostHistoryTest(unittest.TestCase):
    """A feed whose history was compacted is listed again without side effects."""

    def test_requests_are_accepted_meanwhile(self) -> None:
        """Requests are admitted from the existing copy during the listing."""
        state = build_state()
        apply_feed_answer(state, Feed.RECORDS, HistoryGone(), at=2.0)
        find_effect(reduce(state, build_arrival()), RelayRequest)

    def test_own_record_is_inherited_once(self) -> None:
        """A new listing does not add this process's own published usage again."""
        state = build_state()
        usage = WindowUsage(4, (UsageLine("audit", UsageFigures(7)),))
        record = HostRecord(
            failure_domain="a", incarnation=1, sequence=1, usage=(usage,)
        )
        state.usage.restore((usage,))
        listing = build_listing({**build_records(), ObjectKey("host", "h1"): record})
        apply_feed_answer(state, Feed.RECORDS, HistoryGone(), at=2.0)
        apply_feed_answer(state, Feed.RECORDS, listing, at=2.0)
        self.assertEqual(state.usage.list_windows(), (usage,))


class DeferredDeletionTest(unittest.TestCase):
    """Deletions of servers after an outage are deferred for a grace period."""

    def test_removed_registration_is_gone_at_once(self) -> None:
        """Without an outage a deletion applies at once."""
        state = build_state()
        register_server(state)
        gone = VersionedRecord(SERVER_KEY, Revision(number=102), DELETED)
        apply_feed_answer(state, Feed.SERVERS, Changes(Revision(number=102), (gone,)))
        self.assertNotIn("e9", list_servers(state))

    def build_state_after_outage(self, **fields: object) -> DaemonState:
        """Return a state after an outage in which e9's registration expired."""
        state = build_state()
        register_server(state, **fields)
        apply_feed_answer(state, Feed.SERVERS, DOWN, at=5.0)
        apply_feed_answer(
            state, Feed.SERVERS, Listing(Revision(number=110), ()), at=9.0
        )
        return state

    def test_registration_expired_in_an_outage_is_kept(self) -> None:
        """A server whose registration expired in an outage stays in use at first."""
        self.assertIn("e9", list_servers(self.build_state_after_outage()))

    def test_leaving_server_is_not_kept(self) -> None:
        """A server that was already leaving is removed at once."""
        self.assertNotIn(
            "e9", self.build_state_after_outage(leaving=True).catalogue.servers
        )

    def test_grace_counts_from_the_first_answer_of_any_feed(self) -> None:
        """A late listing of one feed does not extend the grace period."""
        state = build_state()
        register_server(state)
        for feed in (Feed.SERVERS, Feed.RECORDS):
            apply_feed_answer(state, feed, DOWN, at=5.0)
        apply_feed_answer(state, Feed.RECORDS, HistoryGone(), at=9.0)
        apply_feed_answer(
            state, Feed.SERVERS, Listing(Revision(number=110), ()), at=10.0
        )
        self.assertIn("e9", list_servers(state))
        reduce(state, Ticked(at=11.1, wall_time=11.1, draws=(0.0, 0.0)))
        self.assertNotIn("e9", list_servers(state))

    def test_late_failure_does_not_lengthen_the_grace(self) -> None:
        """A call from the outage that fails later does not restart the grace period."""
        state = build_state()
        register_server(state)
        apply_feed_answer(state, Feed.SERVERS, DOWN, at=5.0)
        apply_feed_answer(
            state, Feed.RECORDS, Changes(Revision(number=120), ()), at=9.0
        )
        late = build_answer(FollowFeed(Feed.CONFIGURATION), DOWN, at=9.5)
        reduce(state, attrs.evolve(late, called_at=8.0))
        repeated = FollowFeed(Feed.SERVERS, series=state.feeds[Feed.SERVERS].series)
        listing = Listing(Revision(number=110), ())
        reduce(state, build_answer(repeated, listing, at=10.0))
        reduce(state, Ticked(at=11.1, wall_time=11.1, draws=(0.0, 0.0)))
        self.assertNotIn("e9", list_servers(state))

    # Guards against the DRAIN of lindo-enamel: a deletion was held after a long cut.
    def test_grace_after_silence_counts_from_the_last_call_in_vain(self) -> None:
        """The link may be back since that call began."""
        state = build_state()
        register_server(state)
        for called_at, at in ((5.0, 6.0), (6.5, 7.5), (8.0, 9.0)):
            lost = build_answer(FollowFeed(Feed.SERVERS), DOWN, at=at)
            reduce(state, attrs.evolve(lost, called_at=called_at))
        apply_feed_answer(
            state, Feed.SERVERS, Listing(Revision(number=110), ()), at=9.8
        )
        self.assertIn("e9", list_servers(state))
        reduce(state, Ticked(at=10.6, wall_time=10.6, draws=(0.0, 0.0)))
        self.assertNotIn("e9", list_servers(state))

    def test_refused_call_shows_a_platform_that_is_down(self) -> None:
        """Then the grace counts from the first answer, as after any such outage."""
        state = build_state()
        register_server(state)
        lost = build_answer(FollowFeed(Feed.SERVERS), DOWN, at=7.0)
        reduce(state, attrs.evolve(lost, called_at=6.0))
        apply_feed_answer(state, Feed.SERVERS, DOWN, at=8.0)
        apply_feed_answer(
            state, Feed.SERVERS, Listing(Revision(number=110), ()), at=9.0
        )
        reduce(state, Ticked(at=10.9, wall_time=10.9, draws=(0.0, 0.0)))
        self.assertIn("e9", list_servers(state))

    def test_later_outage_keeps_earlier_deletions_no_longer(self) -> None:
        """A second outage does not extend the grace of deferred deletions."""
        state = self.build_state_after_outage()
        apply_feed_answer(state, Feed.SERVERS, DOWN, at=9.5)
        apply_feed_answer(
            state, Feed.SERVERS, Listing(Revision(number=110), ()), at=10.5
        )
        reduce(state, Ticked(at=11.1, wall_time=11.1, draws=(0.0, 0.0)))
        self.assertNotIn("e9", list_servers(state))

    def test_short_outage_defers_nothing(self) -> None:
        """No registration can expire in an outage that is shorter than its silence.

        Outages and deletions of every length and order around a lost watch are
        tried; a server that left must be gone as soon as its deletion is known.
        """
        steps = [0.1 * step for step in range(1, 20)]
        for outage in steps:
            for later in steps:
                with self.subTest(outage=outage, later=later):
                    state = build_state()
                    register_server(state)
                    apply_feed_answer(
                        state, Feed.RECORDS, Changes(Revision(number=120), ()), at=5.0
                    )
                    apply_feed_answer(state, Feed.SERVERS, DOWN, at=5.0)
                    back = Changes(Revision(number=120), ())
                    apply_feed_answer(state, Feed.RECORDS, back, at=5.0 + outage)
                    gone = Changes(
                        Revision(number=121),
                        (VersionedRecord(SERVER_KEY, Revision(number=121), DELETED),),
                    )
                    seen_at = 5.0 + outage + later
                    apply_feed_answer(state, Feed.SERVERS, gone, at=seen_at)
                    self.assertNotIn("e9", list_servers(state))

    def test_short_outage_after_a_long_one_keeps_its_grace(self) -> None:
        """A lost watch does not end the grace of an outage just before it."""
        state = build_state()
        register_server(state)
        apply_feed_answer(state, Feed.RECORDS, DOWN, at=5.0)
        apply_feed_answer(
            state, Feed.RECORDS, Changes(Revision(number=120), ()), at=9.0
        )
        apply_feed_answer(state, Feed.SERVERS, DOWN, at=9.2)
        apply_feed_answer(
            state, Feed.SERVERS, Listing(Revision(number=130), ()), at=9.4
        )
        self.assertIn("e9", list_servers(state))

    def test_registration_that_is_not_renewed_is_dropped(self) -> None:
        """A server that does not register again is removed after the grace period."""
        state = self.build_state_after_outage()
        reduce(state, Ticked(at=11.1, wall_time=11.1, draws=(0.0, 0.0)))
        self.assertNotIn("e9", list_servers(state))

    def test_renewed_registration_is_kept(self) -> None:
        """A server that registers again within the grace period is kept."""
        state = self.build_state_after_outage()
        register_server(state, version=115)
        reduce(state, Ticked(at=11.1, wall_time=11.1, draws=(0.0, 0.0)))
        self.assertIn("e9", list_servers(state))


class BucketTest(unittest.TestCase):
    """Buckets start empty in a new process and full for a new workspace."""

    def build(self) -> DaemonState:
        """Return the state of a process that has just listed every feed."""
        policy = Policy(host="h1", failure_domain="a", incarnation=2)
        state = DaemonState.from_policy(policy)
        apply_feed_answer(state, Feed.CONFIGURATION, Listing(Revision(number=100), ()))
        apply_feed_answer(state, Feed.SERVERS, Listing(Revision(number=100), ()))
        apply_feed_answer(state, Feed.RECORDS, build_listing(build_records()))
        return state

    def test_restart_brings_no_second_burst(self) -> None:
        """The buckets that a new process creates first are empty."""
        self.assertEqual(self.build().buckets["audit"].tokens, 0.0)

    def test_new_workspace_has_its_burst(self) -> None:
        """The bucket of a workspace added later is full."""
        state = self.build()
        change = VersionedRecord(
            ObjectKey("workspace", "new"),
            Revision(number=101),
            Workspace(rate=1.0, burst=7.0),
        )
        apply_feed_answer(state, Feed.RECORDS, Changes(Revision(number=101), (change,)))
        reduce(state, Ticked(at=1.1, wall_time=1.1, draws=(0.0, 0.0)))
        self.assertEqual(state.buckets["new"].tokens, 7.0)

    def test_busy_host_resizes_the_buckets_of_idle_workspaces(self) -> None:
        """Requests of one workspace don't delay the smaller share of another.

        A bucket that kept its larger share could lend tokens that other hosts
        give away as well.
        """
        state = build_state()
        record = HostRecord(failure_domain="b", incarnation=1, sequence=1)
        change = VersionedRecord(ObjectKey("host", "h2"), Revision(number=101), record)
        apply_feed_answer(
            state, Feed.RECORDS, Changes(Revision(number=101), (change,)), at=2.0
        )
        reduce(state, build_arrival(at=2.0))
        reduce(state, Ticked(at=2.1, wall_time=2.1, draws=(0.0, 0.0)))
        self.assertAlmostEqual(state.buckets["other"].share.rate, 5e5)

    def test_bucket_of_a_removed_workspace_is_dropped(self) -> None:
        """A host that is always busy drops the buckets of removed workspaces."""
        state = build_state()
        gone = VersionedRecord(
            ObjectKey("workspace", "other"), Revision(number=101), DELETED
        )
        apply_feed_answer(
            state, Feed.RECORDS, Changes(Revision(number=101), (gone,)), at=2.0
        )
        reduce(state, build_arrival(at=2.0))
        reduce(state, Ticked(at=2.1, wall_time=2.1, draws=(0.0, 0.0)))
        self.assertNotIn("other", state.buckets)


class RestartTest(unittest.TestCase):
    """A server may restart under the same id."""

    def test_new_start_forgets_failures(self) -> None:
        """Failures of an earlier incarnation do not suspend the new one."""
        state = build_state()
        register_server(state, started_at=1000)
        state.get_load("e9").record_failure(2.0, 5.0, 5.0)
        register_server(state, version=102, started_at=2000)
        self.assertTrue(state.get_load("e9").is_usable(2.1))
