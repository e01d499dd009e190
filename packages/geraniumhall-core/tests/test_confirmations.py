"""Tests of the confirmation policies: calls left out, and proofs of readers."""

import unittest
from typing import Any

import attrs
from builders import (
    LISTED_AT,
    NOW,
    apply_feed_answer,
    build_answer,
    build_listing,
    build_records,
    build_state,
    find_effect,
    reduce,
)

from geraniumhall_core.catalogue import (
    CONFIGURATION_KEY,
    CatalogueEntry,
    Configuration,
    ServiceClass,
    Workspace,
)
from geraniumhall_core.copies import CopyAnswer, CopyProof, SentQuery
from geraniumhall_core.effects import CallPlatform
from geraniumhall_core.events import PeerMessageReceived, Ticked
from geraniumhall_core.handlers.confirmations import (
    WRITE_SPREAD_FRACTION,
    compute_records_pause,
    compute_write_delay,
)
from geraniumhall_core.handlers.leases import find_held_term
from geraniumhall_core.hosts import HostRecord
from geraniumhall_core.leases import Lease
from geraniumhall_core.platform import (
    Changes,
    Feed,
    GetObject,
    Listing,
    ObjectFound,
    PlatformFailure,
    PutObject,
    Written,
)
from geraniumhall_core.policy import Policy
from geraniumhall_core.purposes import FollowFeed, MaintainLease, PublishHost
from geraniumhall_core.records import VersionedRecord
from geraniumhall_core.reducer import Effect
from geraniumhall_core.revisions import Revision
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict

WINDOW_SECONDS = 5.0
POLICY = {"confirmation": "sparing", "usage_window": WINDOW_SECONDS, "stale_after": 4.5}
DOWN = PlatformFailure("down", Verdict.NOT_RUN)


def build_sparing(host: str = "h1", **fields: Any) -> DaemonState:
    """Return the state of a host whose workspaces are in the configuration."""
    policy = Policy(host=host, failure_domain="a", incarnation=1, **POLICY)
    state = DaemonState.from_policy(policy)
    configuration = Configuration(version=1, **fields)
    written = VersionedRecord(CONFIGURATION_KEY, Revision(number=1), configuration)
    apply_feed_answer(
        state, Feed.CONFIGURATION, Listing(Revision(number=100), (written,))
    )
    for feed in (Feed.SERVERS, Feed.RECORDS):
        apply_feed_answer(state, feed, Listing(Revision(number=100), ()))
    return state


def read_records(state: DaemonState, at: float, is_exact: bool = False) -> CallPlatform:
    """Answer a read of the records, and return the next one."""
    purpose = FollowFeed(Feed.RECORDS, is_exact=is_exact)
    answer = Changes(Revision(number=int(100 + at)), ())
    effects = reduce(state, build_answer(purpose, answer, at=at))
    return find_effect(effects, CallPlatform)


class ReadTest(unittest.TestCase):
    """Records are read from a copy of the store while no promise depends on them."""

    def test_records_may_be_old(self) -> None:
        """After the first read, records are read where it is cheap."""
        self.assertFalse(read_records(build_sparing(), NOW).message.is_exact)

    def test_first_read_is_exact(self) -> None:
        """A host learns exactly what its earlier process had counted."""
        policy = Policy(host="h1", failure_domain="a", incarnation=1, **POLICY)
        state = DaemonState.from_policy(policy)
        effects = apply_feed_answer(state, Feed.RECORDS, DOWN)
        call = find_effect(effects, CallPlatform)
        self.assertTrue(call.purpose.is_exact)

    def test_limit_makes_reads_exact(self) -> None:
        """A workspace with a rate needs the demand of all hosts."""
        limited = {"audit": Workspace(rate=10.0)}
        state = build_sparing(workspaces=limited)
        self.assertTrue(read_records(state, NOW).message.is_exact)

    def test_edited_records_make_reads_exact(self) -> None:
        """Keys that operators edit one by one are among the records."""
        state = build_state(policy=POLICY)
        self.assertTrue(read_records(state, NOW).message.is_exact)

    def test_lease_holder_reads_exactly(self) -> None:
        """The host that seals usage reads the counts of all hosts in time."""
        state = build_sparing()
        number = state.lease.start_write(NOW)
        lease = Lease(host="h1", incarnation=1, term=1, renewal=number)
        answer = build_answer(
            MaintainLease(lease), Written(Revision(number=102)), at=NOW
        )
        reduce(state, answer)
        self.assertTrue(read_records(state, NOW).message.is_exact)

    def test_other_policies_read_exactly(self) -> None:
        """Without the setting every read is exact."""
        state = build_sparing()
        state.policy = Policy(host="h1", failure_domain="a", incarnation=1)
        self.assertTrue(read_records(state, NOW).message.is_exact)

    def test_hosts_find_each_other_soon(self) -> None:
        """A host that knows no others yet reads again after a second."""
        call = read_records(build_sparing(), NOW)
        self.assertLessEqual(call.delay, 1.0)

    def test_reads_are_short(self) -> None:
        """With many hosts a read has at most 20 records on average."""
        for hosts in (1, 9, 41, 86, 590):
            with self.subTest(hosts=hosts):
                state = build_sparing()
                state.live_hosts = hosts
                written = hosts / state.publish_interval
                self.assertLessEqual(written * compute_records_pause(state), 20.01)


class AgeTest(unittest.TestCase):
    """What is as old as its oldest copy that matters."""

    def test_unneeded_records_have_no_age(self) -> None:
        """Only the configuration decides while nothing is in the records."""
        state = build_sparing()
        self.assertEqual(state.compute_catalogue_age(LISTED_AT + 9.0), 9.0)
        apply_feed_answer(
            state, Feed.CONFIGURATION, Changes(Revision(number=101), ()), at=9.0
        )
        self.assertEqual(state.compute_catalogue_age(10.0), 1.0)

    def test_old_answers_confirm_nothing(self) -> None:
        """Once a limit applies, only exact reads confirm the records."""
        state = build_sparing()
        read_records(state, 8.0)
        limited = Configuration(version=2, workspaces={"audit": Workspace(rate=1.0)})
        change = VersionedRecord(CONFIGURATION_KEY, Revision(number=101), limited)
        apply_feed_answer(
            state, Feed.CONFIGURATION, Changes(Revision(number=101), (change,)), at=9.0
        )
        self.assertEqual(state.compute_catalogue_age(9.0), 9.0 - LISTED_AT)
        read_records(state, 9.0, is_exact=True)
        self.assertEqual(state.compute_catalogue_age(9.0), 0.0)

    def test_withdrawn_key_bound_holds_for_edited_keys(self) -> None:
        """A host with edited keys is unready once their records are unconfirmed."""
        state = build_state(policy=POLICY)
        apply_feed_answer(
            state, Feed.CONFIGURATION, Changes(Revision(number=101), ()), at=8.0
        )
        self.assertFalse(state.is_ready(8.0))

    def test_listing_of_edited_records_keeps_the_plan_exact(self) -> None:
        """Edited records that are listed later make the host exact again."""
        state = build_sparing()
        listing = build_listing(build_records(), revision=200)
        apply_feed_answer(state, Feed.RECORDS, listing, at=NOW)
        self.assertFalse(state.is_sparing)


class WriteTest(unittest.TestCase):
    """A host's record is written once after the end of each usage window."""

    def tick(self, state: DaemonState, at: float) -> list[CallPlatform]:
        """Return the writes of the host's record that a tick brings."""
        event = Ticked(at=at, wall_time=1000.0 + at, draws=(0.5, 0.5))
        return [
            effect
            for effect in reduce(state, event)
            if isinstance(effect, CallPlatform)
            and isinstance(effect.purpose, PublishHost)
        ]

    def test_each_host_writes_after_the_window(self) -> None:
        """The place of each host lies early in the interval, at any time of day."""
        for number in range(40):
            state = build_sparing(f"host{number}")
            for wall_time in (1000.0, 1001.7, 1004.9):
                with self.subTest(number=number, wall_time=wall_time):
                    due = wall_time + compute_write_delay(state, wall_time)
                    self.assertGreater(due, wall_time)
                    self.assertLessEqual(due, wall_time + WINDOW_SECONDS)
                    place = due % WINDOW_SECONDS
                    latest = WINDOW_SECONDS * WRITE_SPREAD_FRACTION
                    self.assertLessEqual(place, latest)

    def test_one_write_a_window(self) -> None:
        """In a minute a host writes its record once in each window."""
        state = build_sparing()
        writes = 0
        for tick in range(1, 241):
            for call in self.tick(state, NOW + tick * 0.25):
                writes += 1
                written = build_answer(
                    call.purpose, Written(Revision(number=200 + tick)), at=NOW
                )
                reduce(state, written)
        self.assertLessEqual(writes, 60.0 / WINDOW_SECONDS + 1)

    def test_failed_write_is_repeated_soon(self) -> None:
        """Counts are not late by a whole window after a call that failed."""
        state = build_sparing()
        (call,) = self.tick(state, NOW)
        reduce(state, build_answer(call.purpose, DOWN, at=NOW))
        self.assertTrue(self.tick(state, NOW + 2.1))

    def test_silent_host_counts_as_live_for_longer(self) -> None:
        """A host that writes once in a window is not down after two of them."""
        state = build_sparing()
        record = HostRecord(failure_domain="b", incarnation=1, sequence=1)
        state.hosts.observe("h2", record, NOW)
        self.assertIn("h2", state.list_live_hosts(NOW + 2 * WINDOW_SECONDS))
        self.assertNotIn("h2", state.list_live_hosts(NOW + 3.1 * WINDOW_SECONDS))


class ProofTest(unittest.TestCase):
    """A reader's answer confirms a copy as of when the question was sent."""

    def setUp(self) -> None:
        """Let a follower ask host h2, with its copies at revision 100."""
        self.state = build_sparing()
        self.state.policy = attrs.evolve(self.state.policy, confirmation="relayed")
        self.state.relay.queries[7] = SentQuery("h2", 5.0)
        self.feed = self.state.feeds[Feed.CONFIGURATION]

    def answer(
        self, revision: Revision, changed_at: Revision | None = None, **fields: Any
    ) -> None:
        """Receive an answer at 9 s that proves the configuration with an age of 1 s."""
        proof = CopyProof(
            feed=Feed.CONFIGURATION,
            revision=revision,
            changed_at=changed_at or revision,
            age=1.0,
            after=revision,
        )
        known = {"host": "h2", "incarnation": 1, "number": 7} | fields
        message = CopyAnswer(**known, proofs=(proof,))
        reduce(
            self.state, PeerMessageReceived(at=9.0, message=message, draws=(0.5, 0.5))
        )

    def test_same_copy_is_confirmed_as_of_the_question(self) -> None:
        """The age of the reader's copy is subtracted, and the answer's way is not."""
        self.answer(Revision(number=105), Revision(number=90))
        self.assertEqual(self.feed.confirmed_at, 4.0)
        self.assertEqual(self.feed.revision, Revision(number=105))

    def test_newer_copy_is_read_from_the_store(self) -> None:
        """A change of the configuration that the follower lacks confirms nothing."""
        self.answer(Revision(number=105))
        self.assertEqual(self.feed.confirmed_at, LISTED_AT)
        self.assertIn(Feed.CONFIGURATION, self.state.relay.differing)

    def test_other_eras_prove_nothing(self) -> None:
        """A reader of an earlier or later era of the store confirms no copy."""
        self.feed.revision = Revision(2, 100)
        self.answer(Revision(1, 100))
        self.assertNotIn(Feed.CONFIGURATION, self.state.relay.differing)
        self.state.relay.queries[7] = SentQuery("h2", 5.0)
        self.answer(Revision(3, 90))
        self.assertIn(Feed.CONFIGURATION, self.state.relay.differing)
        self.assertEqual(self.feed.confirmed_at, LISTED_AT)

    def test_answers_to_other_questions_prove_nothing(self) -> None:
        """Another number, host or incarnation is no answer to this question."""
        for fields in ({"number": 6}, {"host": "h3"}, {"incarnation": 2}):
            with self.subTest(**fields):
                self.state.relay.queries[7] = SentQuery("h2", 5.0)
                self.answer(Revision(number=100), **fields)
                self.assertEqual(self.feed.confirmed_at, LISTED_AT)

    def test_question_is_answered_once(self) -> None:
        """A repeated answer finds no question."""
        self.answer(Revision(number=100))
        self.feed.confirmed_at = LISTED_AT
        self.answer(Revision(number=100))
        self.assertEqual(self.feed.confirmed_at, LISTED_AT)


class LeaseTest(unittest.TestCase):
    """A candidate for the lease watches it in old answers, and acts on exact ones."""

    def setUp(self) -> None:
        """Let a candidate read the lease."""
        self.state = build_sparing()
        entry = CatalogueEntry(owner="a", service_class=ServiceClass.MODEL)
        configuration = Configuration(version=2, entries={"draft": entry})
        change = VersionedRecord(CONFIGURATION_KEY, Revision(number=101), configuration)
        changes = Changes(Revision(number=101), (change,))
        apply_feed_answer(self.state, Feed.CONFIGURATION, changes)
        event = Ticked(at=NOW, wall_time=NOW, draws=(0.5, 0.5))
        calls = [e for e in reduce(self.state, event) if isinstance(e, CallPlatform)]
        (self.read,) = [c for c in calls if isinstance(c.message, GetObject)]

    def answer(self, call: CallPlatform, host: str) -> tuple[Effect, ...]:
        """Answer a read of the lease that this host holds."""
        lease = Lease(host=host, incarnation=5, term=3, renewal=0)
        found = ObjectFound(
            VersionedRecord(self.read.message.key, Revision(number=7), lease)
        )
        return reduce(self.state, build_answer(call.purpose, found, at=NOW))

    def test_candidate_reads_where_it_is_cheap(self) -> None:
        """The regular read may be old."""
        self.assertFalse(self.read.message.is_exact)

    def test_held_lease_leads_to_no_call(self) -> None:
        """A lease that another host holds is read again at the next interval."""
        self.assertEqual(self.answer(self.read, "h9"), ())

    def test_old_answer_never_leads_to_a_write(self) -> None:
        """A lease that seems free is read exactly, and only then written."""
        exact = find_effect(self.answer(self.read, ""), CallPlatform)
        self.assertEqual(exact.message, GetObject(self.read.message.key))
        write = find_effect(self.answer(exact, ""), CallPlatform).message
        self.assertIsInstance(write, PutObject)

    def test_old_answer_renews_nothing(self) -> None:
        """An own lease in an old answer is no proof that it is held."""
        lease = Lease(host="h1", incarnation=1, term=3, renewal=1)
        self.state.lease.start_write(NOW)
        found = ObjectFound(
            VersionedRecord(self.read.message.key, Revision(number=7), lease)
        )
        reduce(self.state, build_answer(self.read.purpose, found, at=NOW))
        self.assertIsNone(find_held_term(self.state, NOW))


if __name__ == "__main__":
    unittest.main()
