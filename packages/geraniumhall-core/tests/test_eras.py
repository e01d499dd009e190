"""Tests of what a host decides when the store comes back from an older copy."""

import unittest
from typing import Any

from builders import (
    apply_feed_answer,
    build_answer,
    build_listing,
    build_records,
    build_server,
    build_state,
    find_effect,
    reduce,
)

from geraniumhall_core.admin import PlatformResult, WriteRecord
from geraniumhall_core.catalogue import (
    CONFIGURATION_KEY,
    BackendServer,
    Configuration,
    Workspace,
)
from geraniumhall_core.effects import AnswerAdmin, CallPlatform
from geraniumhall_core.events import AdminCalled, OrderAnswered, Ticked
from geraniumhall_core.handlers.leases import find_held_term
from geraniumhall_core.hosts import Demand, HostRecord
from geraniumhall_core.leases import TERMS_PER_ERA, Lease, LeaseState
from geraniumhall_core.orders import (
    DesiredRole,
    IntentStatus,
    OrderIntent,
    OrderOutcome,
    OrderState,
    ServerRole,
)
from geraniumhall_core.parts import PART_KIND, PartCrash, PartHold, PartRecord
from geraniumhall_core.platform import (
    Changes,
    Conflict,
    EraChanged,
    Feed,
    GetObject,
    Listing,
    ListObjects,
    ObjectFound,
    ObjectMissing,
    PlatformFailure,
    PutObject,
    WatchObjects,
    Written,
    check_era,
)
from geraniumhall_core.platform_model import (
    PLATFORM,
    CallReceived,
    PlatformState,
    StoreCopied,
    StoreRewound,
)
from geraniumhall_core.purposes import (
    LEASE_KEY,
    SEALS_KEY,
    FollowFeed,
    MaintainLease,
    PublishHost,
    ReadIntent,
    ReadSeals,
    ReportWindow,
    SavePart,
    SealWindow,
)
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.revisions import NO_REVISION, Revision
from geraniumhall_core.state import DaemonState
from geraniumhall_core.usage import UsageFigures, UsageLine, UsageSeals, WindowUsage
from geraniumhall_core.verdict import Verdict

SERVER_KEY = ObjectKey("registered_server", "e9")
LEARNED_AT = 10.0
COPY = Revision(1, 90)
TTL = 9.0
MARGIN = 1.0


def list_feed(
    state: DaemonState, feed: Feed, *objects: VersionedRecord, at: float = 10.1
) -> tuple:
    """Apply a listing of the new era to a feed."""
    purpose = FollowFeed(feed, series=state.feeds[feed].series)
    return reduce(state, build_answer(purpose, Listing(COPY, objects), at=at))


def change_feed(
    state: DaemonState, feed: Feed, *changes: VersionedRecord, at: float = 10.5
) -> tuple:
    """Apply changes to a feed; the last one names their revision."""
    purpose = FollowFeed(feed, series=state.feeds[feed].series)
    answer = Changes(changes[-1].version, changes)
    return reduce(state, build_answer(purpose, answer, at=at))


def begin_era(state: DaemonState, at: float = LEARNED_AT, era: int = 1) -> tuple:
    """Let the host learn of an era, from a refused call for example."""
    answer = PlatformFailure("refused", Verdict.NOT_RUN, era=era)
    return reduce(state, build_answer(PublishHost(1), answer, at=at))


def configure(state: DaemonState, version: int, revision: Revision) -> None:
    """Apply a configuration that was written at a revision."""
    configuration = Configuration(version=version)
    change = VersionedRecord(CONFIGURATION_KEY, revision, configuration)
    change_feed(state, Feed.CONFIGURATION, change, at=5.0)


def tick(state: DaemonState, at: float) -> list[CallPlatform]:
    """Return the platform calls that are due."""
    effects = reduce(state, Ticked(at=at, wall_time=at, draws=(0.5, 0.5)))
    return [effect for effect in effects if isinstance(effect, CallPlatform)]


def find_messages(calls: Any, kind: type) -> list:
    """Return the messages of a type among calls."""
    messages = [c.message for c in calls if isinstance(c, CallPlatform)]
    return [message for message in messages if isinstance(message, kind)]


class FeedTest(unittest.TestCase):
    """A new era makes each feed list anew."""

    def test_every_feed_is_listed(self) -> None:
        """The listings are requested at once, whatever calls are under way."""
        messages = find_messages(begin_era(build_state()), ListObjects)
        self.assertEqual({message.feed for message in messages}, set(Feed))

    def test_watch_from_an_earlier_era_is_ignored(self) -> None:
        """What it returns begins at a number that was given out again."""
        state = build_state()
        begin_era(state)
        change = VersionedRecord(
            ObjectKey("workspace", "new"), Revision(1, 130), Workspace()
        )
        answer = Changes(Revision(1, 130), (change,))
        effects = apply_feed_answer(state, Feed.RECORDS, answer, at=10.2)
        self.assertNotIn("new", state.catalogue.workspaces)
        self.assertEqual(effects, ())

    def test_answer_of_an_earlier_era_confirms_nothing(self) -> None:
        """It is neither applied nor does it make the copy younger."""
        state = build_state()
        begin_era(state)
        list_feed(state, Feed.CONFIGURATION)
        change = VersionedRecord(
            CONFIGURATION_KEY, Revision(0, 500), Configuration(version=9)
        )
        change_feed(state, Feed.CONFIGURATION, change, at=12.0)
        self.assertIsNone(state.catalogue.configuration)
        self.assertEqual(state.feeds[Feed.CONFIGURATION].confirmed_at, 10.1)

    def test_age_runs_until_the_listing(self) -> None:
        """Learning of an era confirms no copy."""
        state = build_state()
        begin_era(state)
        self.assertEqual(state.compute_catalogue_age(10.0), 9.0)

    def test_first_answer_begins_no_era(self) -> None:
        """A process that starts lists each feed once."""
        state = build_state()
        state.era.is_known = False
        self.assertEqual(find_messages(begin_era(state), ListObjects), [])
        self.assertEqual(state.era.number, 1)

    def test_lower_number_of_a_later_era_counts(self) -> None:
        """A change of the new era replaces one with a higher number."""
        state = build_state()
        configure(state, 1, Revision(number=500))
        begin_era(state)
        change = VersionedRecord(
            CONFIGURATION_KEY, Revision(1, 80), Configuration(version=2)
        )
        list_feed(state, Feed.CONFIGURATION, change)
        self.assertEqual(state.catalogue.configuration, Configuration(version=2))

    def test_second_listing_of_an_era_deletes_nothing_that_is_kept(self) -> None:
        """The store may lose its history before all is written again."""
        state = build_state()
        begin_era(state)
        for at in (10.1, 10.4):
            list_feed(state, Feed.RECORDS, at=at)
        self.assertIn("audit", state.catalogue.workspaces)


class CarryTest(unittest.TestCase):
    """What was known stays in force until it is written again."""

    def test_older_configuration_replaces_nothing_and_confirms_nothing(self) -> None:
        """A key that was withdrawn stays withdrawn, and the copy's age runs."""
        state = build_state()
        configure(state, 5, Revision(number=200))
        begin_era(state)
        older = VersionedRecord(
            CONFIGURATION_KEY, Revision(1, 60), Configuration(version=4)
        )
        list_feed(state, Feed.CONFIGURATION, older)
        self.assertEqual(state.catalogue.configuration, Configuration(version=5))
        self.assertEqual(state.feeds[Feed.CONFIGURATION].confirmed_at, 5.0)

    def test_missing_configuration_stays(self) -> None:
        """A copy without any configuration takes none away."""
        state = build_state()
        configure(state, 5, Revision(number=200))
        begin_era(state)
        list_feed(state, Feed.CONFIGURATION)
        self.assertEqual(state.catalogue.configuration, Configuration(version=5))

    def test_configuration_that_is_written_again_counts(self) -> None:
        """It wins by its own version, whatever its number, and confirms the copy."""
        state = build_state()
        configure(state, 5, Revision(number=200))
        begin_era(state)
        list_feed(state, Feed.CONFIGURATION)
        again = VersionedRecord(
            CONFIGURATION_KEY, Revision(1, 91), Configuration(version=5)
        )
        change_feed(state, Feed.CONFIGURATION, again, at=11.0)
        self.assertEqual(state.feeds[Feed.CONFIGURATION].confirmed_at, 11.0)

    def test_two_rewinds_in_a_row(self) -> None:
        """The second copy may still have the older configuration."""
        state = build_state()
        configure(state, 5, Revision(number=200))
        for era in (1, 2):
            begin_era(state, at=10.0 * era, era=era)
            older = VersionedRecord(
                CONFIGURATION_KEY, Revision(era, 60), Configuration(version=4)
            )
            purpose = FollowFeed(Feed.CONFIGURATION, series=era)
            listing = Listing(Revision(era, 90), (older,))
            reduce(state, build_answer(purpose, listing, at=10.0 * era + 0.1))
        self.assertEqual(state.catalogue.configuration, Configuration(version=5))

    def test_withdrawn_key_stays_withdrawn(self) -> None:
        """The copy has the key's record still."""
        state = build_state()
        key = ObjectKey("key", "k1")
        gone = VersionedRecord(key, Revision(number=200), DELETED)
        change_feed(state, Feed.RECORDS, gone, at=5.0)
        begin_era(state)
        listing = build_listing(build_records())
        copies = [
            VersionedRecord(item.key, Revision(1, item.version.number), item.record)
            for item in listing.objects
        ]
        list_feed(state, Feed.RECORDS, *copies)
        self.assertNotIn("k1", state.catalogue.keys)
        self.assertIn("k2", state.catalogue.keys)

    def test_edit_that_was_lost_twice_stays_in_force(self) -> None:
        """The second copy has the number of the first, and is older all the same."""
        state, key = build_state(), ObjectKey("workspace", "audit")
        edit = VersionedRecord(key, Revision(number=200), Workspace(rate=7.0))
        change_feed(state, Feed.RECORDS, edit, at=5.0)
        for era in (1, 2):
            begin_era(state, at=10.0 * era, era=era)
            older = VersionedRecord(key, Revision(era, 3), Workspace(rate=1.0))
            purpose = FollowFeed(Feed.RECORDS, series=era)
            listing = Listing(Revision(era, 90), (older,))
            reduce(state, build_answer(purpose, listing, at=10.0 * era + 0.1))
        self.assertEqual(state.catalogue.workspaces["audit"].rate, 7.0)

    def register(self, state: DaemonState, **fields: Any) -> None:
        """Apply the registration of a server before the rewind."""
        record = build_server("draft", **fields)
        change = VersionedRecord(SERVER_KEY, Revision(number=200), record)
        change_feed(state, Feed.SERVERS, change, at=5.0)

    def list_server(self, state: DaemonState, **fields: Any) -> BackendServer | None:
        """Return a server after the copy of the new era was listed with it."""
        copy = VersionedRecord(
            SERVER_KEY, Revision(1, 80), build_server("draft", **fields)
        )
        list_feed(state, Feed.SERVERS, copy)
        return state.catalogue.servers.get("e9")

    def test_leaving_server_stays_leaving(self) -> None:
        """A process that leaves does not come back into use."""
        state = build_state()
        self.register(state, leaving=True)
        begin_era(state)
        server = self.list_server(state)
        self.assertTrue(server is not None and server.leaving)

    def test_new_process_is_used(self) -> None:
        """Its start tells it from the one that left."""
        state = build_state()
        self.register(state, leaving=True, started_at=1)
        begin_era(state)
        server = self.list_server(state, started_at=2)
        self.assertTrue(server is not None and not server.leaving)

    def test_server_that_the_copy_lacks_is_kept_for_the_grace(self) -> None:
        """It registers again within two seconds, or it is gone."""
        state = build_state()
        self.register(state)
        begin_era(state)
        list_feed(state, Feed.SERVERS)
        self.assertIn("e9", state.catalogue.servers)
        tick(state, 12.1)
        self.assertNotIn("e9", state.catalogue.servers)

    def test_server_that_was_gone_is_not_used_at_once(self) -> None:
        """It is used if the store still has it after the silence of a lapse."""
        state = build_state()
        self.register(state)
        gone = VersionedRecord(SERVER_KEY, Revision(number=210), DELETED)
        change_feed(state, Feed.SERVERS, gone, at=6.0)
        begin_era(state)
        self.assertIsNone(self.list_server(state))
        tick(state, 14.0)
        self.assertNotIn("e9", state.catalogue.servers)
        tick(state, 14.6)
        self.assertIn("e9", state.catalogue.servers)

    def test_server_that_lapses_in_the_new_era_is_not_used(self) -> None:
        """The store removes a registration that nobody renews."""
        state = build_state()
        self.register(state)
        gone = VersionedRecord(SERVER_KEY, Revision(number=210), DELETED)
        change_feed(state, Feed.SERVERS, gone, at=6.0)
        begin_era(state)
        self.list_server(state)
        lapsed = VersionedRecord(SERVER_KEY, Revision(1, 95), DELETED)
        change_feed(state, Feed.SERVERS, lapsed, at=13.0)
        tick(state, 15.0)
        self.assertNotIn("e9", state.catalogue.servers)


class LeaseTest(unittest.TestCase):
    """One host acts at a time, with tokens that rise across eras."""

    def build_holder(self) -> DaemonState:
        """Return the state of a host that holds the lease until 14 s."""
        state = build_state(policy={"lease_ttl": TTL, "lease_margin": MARGIN})
        lease = Lease(host="h1", incarnation=1, term=4, renewal=0)
        state.lease.written_at[0] = 6.0
        state.lease.confirm_write(Revision(number=150), lease, TTL)
        return state

    def read_lease(self, state: DaemonState, answer: Any, at: float) -> list:
        """Return the writes of the lease that follow an answer to reading it."""
        return find_messages(
            reduce(state, build_answer(MaintainLease(), answer, at=at)), PutObject
        )

    def test_holder_stops_with_the_era(self) -> None:
        """The store does not have its lease any more."""
        state = self.build_holder()
        self.assertEqual(find_held_term(state, 10.0), 4)
        begin_era(state)
        self.assertIsNone(find_held_term(state, 10.0))

    def test_own_lease_in_the_copy_is_not_held(self) -> None:
        """Another host may have held one that was lost."""
        state = self.build_holder()
        begin_era(state)
        lease = Lease(host="h1", incarnation=1, term=4, renewal=0)
        found = ObjectFound(VersionedRecord(LEASE_KEY, Revision(1, 80), lease))
        self.assertEqual(self.read_lease(state, found, 10.2), [])
        self.assertIsNone(find_held_term(state, 10.2))

    def test_new_holder_waits_for_the_longest_lease(self) -> None:
        """Also if the copy has no lease, or one that was released."""
        free = Lease(host="", incarnation=0, term=4, renewal=0)
        released = ObjectFound(VersionedRecord(LEASE_KEY, Revision(1, 80), free))
        for answer in (released, ObjectMissing(era=1)):
            with self.subTest(answer=answer):
                state = build_state(policy={"lease_ttl": TTL, "lease_margin": MARGIN})
                begin_era(state)
                self.assertEqual(self.read_lease(state, answer, 10.1), [])
                before, after = LEARNED_AT + TTL, LEARNED_AT + TTL + MARGIN + 0.2
                self.assertEqual(self.read_lease(state, answer, before), [])
                self.assertEqual(len(self.read_lease(state, answer, after)), 1)

    def test_process_that_starts_in_an_era_waits_too(self) -> None:
        """The era may have begun just before."""
        state = build_state(policy={"lease_ttl": TTL, "lease_margin": MARGIN})
        state.era.is_known = False
        begin_era(state)
        self.assertEqual(self.read_lease(state, ObjectMissing(era=1), 10.1), [])

    def test_lease_that_is_released_in_the_era_is_free(self) -> None:
        """Its holder has waited."""
        state = build_state()
        begin_era(state)
        free = Lease(host="", incarnation=0, term=4, renewal=0, era=1)
        released = ObjectFound(VersionedRecord(LEASE_KEY, Revision(1, 95), free))
        self.assertEqual(len(self.read_lease(state, released, 10.2)), 1)

    def test_write_of_an_earlier_era_holds_nothing(self) -> None:
        """It was executed late, as its number was given out again."""
        state = self.build_holder()
        begin_era(state)
        lease = Lease(host="h1", incarnation=1, term=5, renewal=1)
        state.lease.written_at[1] = 9.9
        answer = Written(Revision(1, 91))
        reduce(state, build_answer(MaintainLease(lease), answer, at=10.2))
        self.assertIsNone(find_held_term(state, 10.2))

    def test_terms_rise_with_eras_and_writes(self) -> None:
        """A term lies above those that were lost, and a late write lowers none."""
        lost = Lease(host="h2", incarnation=1, term=1000, renewal=0)
        copied = Lease(host="h2", incarnation=1, term=3, renewal=0)
        terms = [1000]
        for version, record in (
            (Revision(1, 80), copied),
            (Revision(1, 99), lost),
            (Revision(2, 80), copied),
        ):
            state = LeaseState()
            state.observe(VersionedRecord(LEASE_KEY, version, record), 1.0)
            terms.append(state.compute_next_term())
        self.assertEqual(terms, sorted(set(terms)))

    def test_terms_without_eras_count_from_one(self) -> None:
        """They are those that they were before stores had eras."""
        state = LeaseState()
        self.assertEqual(state.compute_next_term(), 1)
        lease = Lease(host="h2", incarnation=1, term=7, renewal=0)
        state.observe(VersionedRecord(LEASE_KEY, Revision(number=900), lease), 1.0)
        self.assertEqual(state.compute_next_term(), 8)

    def test_fencing_tokens_fit_into_64_bits(self) -> None:
        """Tokens of orders, too, for a thousand eras."""
        state = LeaseState(version=Revision(1000, TERMS_PER_ERA - 1))
        self.assertLess(state.compute_next_term() << 20, 1 << 63)


class PublishingTest(unittest.TestCase):
    """A host's record is written again, and its shares are held once."""

    def test_record_waits_for_the_listing(self) -> None:
        """Its condition has to be of the new era."""
        state = build_state()
        begin_era(state)
        self.assertEqual(find_messages(tick(state, 10.2), PutObject), [])
        record = HostRecord(failure_domain="a", incarnation=1, sequence=1)
        own = VersionedRecord(ObjectKey("host", "h1"), Revision(1, 70), record)
        list_feed(state, Feed.RECORDS, own, at=10.3)
        written = [
            message
            for step in range(10)
            for message in find_messages(tick(state, 10.4 + 0.25 * step), PutObject)
            if message.key.kind == "host"
        ]
        self.assertEqual(written[0].expected_version, Revision(1, 70))

    def test_older_record_of_a_host_replaces_nothing(self) -> None:
        """The copy has what the host wrote earlier, also in an earlier process."""
        state = build_state()
        key = ObjectKey("host", "h2")
        newer = HostRecord(
            failure_domain="b",
            incarnation=2,
            sequence=3,
            published_at=4.0,
            demands=(Demand("audit", 9.0),),
        )
        older = HostRecord(
            failure_domain="b", incarnation=1, sequence=30, published_at=2.0
        )
        change_feed(
            state, Feed.RECORDS, VersionedRecord(key, Revision(number=200), newer)
        )
        begin_era(state)
        list_feed(state, Feed.RECORDS, VersionedRecord(key, Revision(1, 80), older))
        self.assertIs(state.hosts.known["h2"].record, newer)

    def test_host_that_the_copy_lacks_keeps_its_share(self) -> None:
        """It serves and has not written its record again yet."""
        state = build_state()
        record = HostRecord(failure_domain="b", incarnation=2, sequence=3)
        change = VersionedRecord(ObjectKey("host", "h2"), Revision(number=200), record)
        change_feed(state, Feed.RECORDS, change)
        begin_era(state)
        list_feed(state, Feed.RECORDS)
        self.assertIn("h2", state.list_claimants(10.2))

    def test_rates_that_may_be_lost_do_not_count(self) -> None:
        """Other hosts may not have read them before the rewind."""
        state = build_state()
        history = state.publishing.demand_history
        history.add({"audit": 10.0}, 1.0, 5.0)
        history.add({"audit": 90.0}, 8.0, 5.0)
        begin_era(state)
        counted = state.publishing.compute_counted_demand("audit", 14.0, 5.0)
        self.assertEqual(counted, 10.0)


class UsageTest(unittest.TestCase):
    """A window is reported with one set of figures."""

    def build_holder(self) -> DaemonState:
        """Return a holder in era one, which learned of it in window nine."""
        state = build_state(policy={"usage_window": 10.0, "seal_grace": 2.0})
        begin_era(state, at=95.0)
        lease = Lease(host="h1", incarnation=1, term=4, renewal=0, era=1)
        state.lease.written_at[0] = 105.0
        state.lease.confirm_write(Revision(1, 150), lease, 900.0)
        return state

    def build_seals(self, *numbers: int) -> UsageSeals:
        """Return the seals of some windows."""
        lines = (UsageLine("audit", UsageFigures(7)),)
        return UsageSeals(windows=tuple(WindowUsage(n, lines) for n in numbers))

    def read_seals(self, state: DaemonState, seals: UsageSeals) -> None:
        """Answer the read of the seals with an older copy."""
        found = ObjectFound(VersionedRecord(SEALS_KEY, Revision(1, 80), seals))
        reduce(state, build_answer(ReadSeals(), found, at=106.0))

    def list_steps(self, state: DaemonState, until: float = 140.0) -> list:
        """Return the windows that are reported and sealed, step by step."""
        steps: list[tuple[str, int]] = []
        now = 106.0
        while now < until:
            now += 0.5
            for call in tick(state, now):
                if isinstance(call.purpose, ReportWindow):
                    steps.append(("report", call.purpose.window.window))
                    state.sealing.reported.add(call.purpose.window.window)
                elif isinstance(call.purpose, SealWindow):
                    steps.append(("seal", call.purpose.window.window))
                    answer = Written(Revision(1, 200 + len(steps)))
                    reduce(state, build_answer(call.purpose, answer, at=now))
                state.sealing.is_calling = False
        return steps

    def test_window_that_was_due_is_not_sealed_again(self) -> None:
        """Its seal may be lost; window 8 was due 3 s before the era was known."""
        state = self.build_holder()
        self.read_seals(state, self.build_seals(6))
        sealed = [number for step, number in self.list_steps(state) if step == "seal"]
        self.assertEqual(sealed[0], 9)

    def test_known_seals_are_reported_unchanged(self) -> None:
        """A seal that this host has read is known, though the store lost it."""
        state = self.build_holder()
        state.usage.observe_seals(self.build_seals(6, 7, 8))
        self.read_seals(state, self.build_seals(6))
        self.assertEqual(state.sealing.seals.windows, self.build_seals(6, 7, 8).windows)
        reported = {n for step, n in self.list_steps(state) if step == "report"}
        self.assertLessEqual({6, 7, 8}, reported)

    def test_seals_of_the_era_need_no_caution(self) -> None:
        """Their first writer has left the doubtful windows out."""
        state = self.build_holder()
        seals = UsageSeals(windows=self.build_seals(6).windows, era=1)
        self.read_seals(state, seals)
        sealed = [number for step, number in self.list_steps(state) if step == "seal"]
        self.assertEqual(sealed[0], 7)

    def test_seal_of_an_earlier_era_counts_as_unknown(self) -> None:
        """The seals are read again before anything is reported."""
        state = self.build_holder()
        self.read_seals(state, self.build_seals(6))
        begin_era(state, at=107.0, era=2)
        self.assertIsNone(state.sealing.seals)


class PartTest(unittest.TestCase):
    """A held part stays held, and its record is written again."""

    def build(self) -> DaemonState:
        """Return a state with a held part whose record was stored."""
        state = build_state()
        crash = PartCrash(server="e1", incarnation=1, host="h1")
        hold = PartHold(number=2, seconds=600.0, source="crashes")
        record = PartRecord(crashes=(crash,), hold=hold)
        key = ObjectKey(PART_KIND, "p")
        change_feed(
            state, Feed.RECORDS, VersionedRecord(key, Revision(number=200), record)
        )
        return state

    def test_part_that_the_copy_lacks_stays_held(self) -> None:
        """Its record is written again as a new one."""
        state = self.build()
        begin_era(state)
        list_feed(state, Feed.RECORDS)
        self.assertIsNotNone(state.quarantine.parts["p"].hold)
        calls = [c for c in tick(state, 10.3) if isinstance(c.purpose, SavePart)]
        self.assertEqual([c.message.expected_version for c in calls], [Revision(1)])

    def test_nothing_is_written_before_the_listing(self) -> None:
        """The condition has to be of the new era."""
        state = self.build()
        begin_era(state)
        state.quarantine.parts["p"].is_dirty = True
        calls = [c for c in tick(state, 10.3) if isinstance(c.purpose, SavePart)]
        self.assertEqual(calls, [])

    def test_released_part_stays_released(self) -> None:
        """The copy has the hold still; its record is deleted again."""
        state = self.build()
        key = ObjectKey(PART_KIND, "p")
        stored = state.catalogue.tables[PART_KIND]["p"]
        gone = VersionedRecord(key, Revision(number=210), DELETED)
        change_feed(state, Feed.RECORDS, gone, at=6.0)
        begin_era(state)
        list_feed(state, Feed.RECORDS, VersionedRecord(key, Revision(1, 80), stored))
        self.assertIsNone(state.quarantine.parts["p"].hold)


class OrderTest(unittest.TestCase):
    """An order that may be on its way is not followed by another one."""

    def test_lost_intent_is_remembered(self) -> None:
        """A server that checks no tokens gets no other order while one is open."""
        state = build_state()
        wish = VersionedRecord(
            ObjectKey("wish", "e1"),
            Revision(number=190),
            DesiredRole(role=ServerRole.PREFILL),
        )
        intent = OrderIntent(
            role=ServerRole.DECODE, fencing_token=5 << 20, host="h2", incarnation=1
        )
        opened = VersionedRecord(
            ObjectKey("intent", "e1"), Revision(number=200), intent
        )
        change_feed(state, Feed.RECORDS, wish, opened, at=5.0)
        begin_era(state)
        list_feed(state, Feed.RECORDS)
        lease = Lease(host="h1", incarnation=1, term=TERMS_PER_ERA, renewal=0, era=1)
        state.lease.written_at[0] = 30.0
        state.lease.confirm_write(Revision(1, 95), lease, 900.0)
        tick(state, 31.0)
        missing = build_answer(ReadIntent("e1"), ObjectMissing(era=1), at=31.1)
        effects = reduce(state, missing)
        self.assertEqual(find_messages(effects, PutObject), [])

    def test_outcome_of_an_earlier_era_is_not_written(self) -> None:
        """The number of its condition may be another version's now."""
        state = build_state()
        state.orders["e1"] = OrderState()
        intent = OrderIntent(
            role=ServerRole.DECODE, fencing_token=5 << 20, host="h1", incarnation=1
        )
        begin_era(state)
        answered = OrderAnswered(
            at=10.2,
            server="e1",
            intent=intent,
            version=Revision(number=200),
            outcome=OrderOutcome.ACCEPTED,
        )
        self.assertEqual(find_messages(reduce(state, answered), PutObject), [])
        self.assertIs(state.intents["e1"].status, IntentStatus.DONE)


class EditTest(unittest.TestCase):
    """An operator's edit from an earlier era is not sent."""

    def test_condition_of_an_earlier_era_is_refused(self) -> None:
        """Its number may be that of another version."""
        state = build_state()
        begin_era(state)
        command = WriteRecord(
            ObjectKey("workspace", "audit"), Workspace(), Revision(number=1)
        )
        effects = reduce(state, AdminCalled(at=10.2, call_id=1, command=command))
        answer = find_effect(effects, AnswerAdmin).answer
        self.assertEqual(answer, PlatformResult(EraChanged(era=1)))


class AnswerTest(unittest.TestCase):
    """An answer of a later era than the call's revision is told from others."""

    def test_condition_of_an_earlier_era_confirms_no_write(self) -> None:
        """The store compared the number only."""
        key = ObjectKey("workspace", "audit")
        for message in (
            PutObject(key, Workspace(), Revision(0, 5)),
            WatchObjects(Feed.RECORDS, Revision(0, 5), 1.0),
        ):
            answer = check_era(message, Written(Revision(1, 6)))
            self.assertEqual(answer, EraChanged(era=1))

    def test_call_without_a_revision_is_answered_in_any_era(self) -> None:
        """So is a new object's creation."""
        key = ObjectKey("workspace", "audit")
        for message in (GetObject(key), PutObject(key, Workspace(), NO_REVISION)):
            answer = Written(Revision(1, 6))
            self.assertIs(check_era(message, answer), answer)


class ModelTest(unittest.TestCase):
    """The platform's model is rewound as the store is."""

    def call(self, state: PlatformState, message: Any) -> Any:
        """Return the answer to a call that is answered at once."""
        effects = PLATFORM.reduce(
            state, CallReceived(at=1.0, call_id=1, message=message)
        )
        return effects[0].answer

    def rewind(self) -> tuple[PlatformState, ObjectKey]:
        """Return a store that lost the second write of a workspace."""
        state, key = PlatformState(), ObjectKey("workspace", "audit")
        first = self.call(state, PutObject(key, Workspace(rate=1.0), NO_REVISION))
        PLATFORM.reduce(state, StoreCopied(at=1.0))
        self.call(state, PutObject(key, Workspace(rate=2.0), first.version))
        PLATFORM.reduce(state, StoreRewound(at=2.0))
        return state, key

    def test_writes_after_the_copy_are_lost(self) -> None:
        """Numbers are given out again, in the next era."""
        state, key = self.rewind()
        found = self.call(state, GetObject(key)).object
        self.assertEqual((found.version, found.record.rate), (Revision(1, 2), 1.0))
        written = self.call(state, PutObject(key, Workspace(), found.version))
        self.assertEqual(written.version, Revision(1, 3))

    def test_conditions_compare_numbers_only(self) -> None:
        """As the store's do: what bears the number again is overwritten."""
        state, key = self.rewind()
        answer = self.call(state, PutObject(key, Workspace(), Revision(0, 2)))
        self.assertIsInstance(answer, Written)
        stale = self.call(state, PutObject(key, Workspace(), Revision(0, 9)))
        self.assertIsInstance(stale, Conflict)

    def test_watch_from_a_number_that_is_gone(self) -> None:
        """It is told that there is no such history."""
        state, _ = self.rewind()
        watch = WatchObjects(Feed.RECORDS, Revision(0, 3), 1.0)
        self.assertEqual(type(self.call(state, watch)).__name__, "HistoryGone")
