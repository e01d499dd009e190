"""Tests of the parts that engines end under: evidence, holds, trials and releases."""

import unittest
from typing import Any

import attrs
from builders import (
    DRAWS,
    apply_feed_answer,
    build_answer,
    build_arrival,
    build_attempt_end,
    build_server,
    build_state,
    find_effect,
    reduce,
)

from geraniumhall_core.catalogue import EntryLimits
from geraniumhall_core.effects import (
    CallPlatform,
    ProbeServer,
    RefuseRequest,
    RelayRequest,
    ReleaseKvCache,
    SendToPeers,
    WriteLog,
)
from geraniumhall_core.events import (
    CallerDisconnected,
    PeerMessageReceived,
    PrefillEnded,
    ResponseStarted,
    ServerProbed,
    Ticked,
)
from geraniumhall_core.handlers.part_records import MAX_STORED_SUSPECTS
from geraniumhall_core.holding import Suspicion, choose_repeated_crash, hold_nothing
from geraniumhall_core.hosts import HostRecord
from geraniumhall_core.parts import (
    MAX_CRASHES,
    CrashId,
    CrashReport,
    PartCrash,
    PartHold,
    PartRecord,
    PartReport,
    PartState,
    SuspectedPart,
    list_shared_parts,
    name_part,
)
from geraniumhall_core.platform import (
    Changes,
    Conflict,
    DeleteObject,
    Feed,
    PlatformFailure,
    PutObject,
    Written,
)
from geraniumhall_core.purposes import ClaimTrial, SavePart
from geraniumhall_core.quarantine import (
    MAX_PARTS,
    MAX_SOUND_PARTS,
    BrokenRequest,
    Quarantine,
)
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.requests import (
    AttemptOutcome,
    CallerRequest,
    KvCacheRef,
    ModelTarget,
    Phase,
    PromptPart,
)
from geraniumhall_core.revisions import Revision
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict

PART = "deadly"
KEY = ObjectKey("part", PART)
HOLD = PartHold(number=1, seconds=15.0, source="crashes")
PARTS = tuple(PromptPart(part, 100) for part in ("system", PART, "own"))


def build_crash(server: str, **fields: Any) -> PartCrash:
    """Return a crash that host h2 saw."""
    fields.setdefault("host", "h2")
    return PartCrash(server=server, incarnation=0, **fields)


def hold_part(state: DaemonState, at: float = 2.0, hold: PartHold = HOLD) -> None:
    """Deliver a stored hold of the part to a state."""
    record = PartRecord(crashes=(build_crash("e9"),), hold=hold)
    change = VersionedRecord(KEY, Revision(number=200), record)
    apply_feed_answer(
        state, Feed.RECORDS, Changes(Revision(number=200), (change,)), at=at
    )


def start_request(state: DaemonState, request_id: str, at: float, **fields: Any) -> Any:
    """Let a request with the part arrive, and return the effects."""
    fields.setdefault("parts", PARTS)
    return reduce(state, build_arrival(request_id, at=at, **fields))


def break_request(state: DaemonState, request_id: str, at: float, **fields: Any) -> Any:
    """Let a request be sent to a server that ends before it answers."""
    sent = find_effect(start_request(state, request_id, at, **fields), RelayRequest)
    ended = reduce(state, build_attempt_end(sent, AttemptOutcome.BROKEN, at=at + 0.1))
    probe = find_effect(ended, ProbeServer)
    return reduce(state, build_probe(probe, at=at + 0.12))


def build_probe(probe: ProbeServer, at: float, is_refused: bool = True) -> ServerProbed:
    """Return the event that ends a probe."""
    return ServerProbed(
        at=at,
        server=probe.server,
        incarnation=probe.incarnation,
        is_refused=is_refused,
        draws=DRAWS,
    )


def confirm_copy(state: DaemonState, at: float) -> None:
    """Confirm the host's copy of the store."""
    for feed in (Feed.RECORDS, Feed.CONFIGURATION):
        state.feeds[feed].confirmed_at = at


def tick(state: DaemonState, at: float) -> Any:
    """Let the timer fire."""
    return reduce(state, Ticked(at=at, wall_time=at, draws=DRAWS))


def answer_request(state: DaemonState, request_id: str, at: float, part: str) -> None:
    """Let a request be answered completely, on a part."""
    parts = (PromptPart(part, 100), PromptPart("own", 1))
    sent = find_effect(start_request(state, request_id, at, parts=parts), RelayRequest)
    started = ResponseStarted(
        at=at + 0.1, request_id=request_id, attempt_id=sent.attempt_id, wall_time=at
    )
    reduce(state, started)
    end = build_attempt_end(
        sent, AttemptOutcome.COMPLETED, verdict=Verdict.RAN, at=at + 0.2
    )
    reduce(state, end)


def find_refusal(effects: Any) -> Any:
    """Return the refusal among effects."""
    return find_effect(effects, RefuseRequest).refusal


def list_logged(effects: Any, event: str) -> list[WriteLog]:
    """Return the log lines of an event."""
    return [e for e in effects if isinstance(e, WriteLog) and e.event == event]


class AttributionTest(unittest.TestCase):
    """Which part a crash counts against."""

    def test_two_crashes_in_turn_hold_the_part(self):
        """The part is held once two servers ended under it, one after the other."""
        state = build_state()
        answer_request(state, "r0", 2.0, "system")
        break_request(state, "r1", 3.0)
        tick(state, 3.2)
        self.assertFalse(state.quarantine.is_held(PART))
        break_request(state, "r2", 3.3)
        tick(state, 3.5)
        self.assertTrue(state.quarantine.is_held(PART))
        self.assertFalse(state.quarantine.is_held("system"))

    def test_crashes_of_one_moment_count_once(self):
        """A group of servers that ends at once is no evidence of a part."""
        state = build_state()
        first = find_effect(start_request(state, "r1", 3.0), RelayRequest)
        second = find_effect(start_request(state, "r2", 3.0), RelayRequest)
        self.assertNotEqual(first.server, second.server)
        for sent in (first, second):
            end = build_attempt_end(sent, AttemptOutcome.BROKEN, at=3.1)
            probe = find_effect(reduce(state, end), ProbeServer)
            reduce(state, build_probe(probe, at=3.12))
        tick(state, 3.3)
        self.assertFalse(state.quarantine.is_held(PART))
        self.assertEqual(state.quarantine.parts[PART].count_crashes(set()), 1)

    def test_reset_without_a_crash_counts_nothing(self):
        """A server that still listens has not ended."""
        state = build_state()
        sent = find_effect(start_request(state, "r1", 3.0), RelayRequest)
        end = build_attempt_end(sent, AttemptOutcome.BROKEN, at=3.1)
        probe = find_effect(reduce(state, end), ProbeServer)
        reduce(state, build_probe(probe, at=3.12, is_refused=False))
        self.assertNotIn(PART, state.quarantine.parts)

    def test_crash_that_is_seen_after_the_restart_counts(self):
        """Guards against a crash that is taken for one of the process that followed."""
        state = build_state()
        sent = find_effect(start_request(state, "r1", 3.0), RelayRequest)
        server = attrs.evolve(state.catalogue.servers[sent.server], started_at=9)
        key = ObjectKey("server", sent.server)
        change = VersionedRecord(key, Revision(number=200), server)
        changes = Changes(Revision(number=200), (change,))
        apply_feed_answer(state, Feed.RECORDS, changes, at=3.05)
        end = build_attempt_end(sent, AttemptOutcome.BROKEN, at=3.1)
        probe = find_effect(reduce(state, end), ProbeServer)
        reduce(state, build_probe(probe, at=3.12, is_refused=False))
        crashes = state.quarantine.parts[PART].crashes
        self.assertEqual(list(crashes), [CrashId(sent.server, sent.started_at)])

    def test_announced_end_counts_nothing(self):
        """A server that was leaving, or is not listed any more, is not probed."""
        state = build_state()
        sent = find_effect(start_request(state, "r1", 3.0), RelayRequest)
        key = ObjectKey("server", sent.server)
        change = VersionedRecord(key, Revision(number=200), DELETED)
        apply_feed_answer(
            state, Feed.RECORDS, Changes(Revision(number=200), (change,)), at=3.05
        )
        end = reduce(state, build_attempt_end(sent, AttemptOutcome.BROKEN, at=3.1))
        self.assertFalse([e for e in end if isinstance(e, ProbeServer)])

    def test_leaving_server_that_ends_counts_nothing(self):
        """A server that is still listed, but as leaving, is not probed."""
        state = build_state()
        sent = find_effect(start_request(state, "r1", 3.0), RelayRequest)
        leaving = attrs.evolve(state.catalogue.servers[sent.server], leaving=True)
        key = ObjectKey("server", sent.server)
        change = VersionedRecord(key, Revision(number=200), leaving)
        apply_feed_answer(
            state, Feed.RECORDS, Changes(Revision(number=200), (change,)), at=3.05
        )
        end = reduce(state, build_attempt_end(sent, AttemptOutcome.BROKEN, at=3.1))
        self.assertFalse([e for e in end if isinstance(e, ProbeServer)])

    def test_request_that_had_written_is_no_suspect(self):
        """A stream that was under way when its server ended did no harm."""
        state = build_state()
        sent = find_effect(start_request(state, "r1", 3.0), RelayRequest)
        started = ResponseStarted(
            at=3.1, request_id="r1", attempt_id=sent.attempt_id, wall_time=3.1
        )
        reduce(state, started)
        end = reduce(state, build_attempt_end(sent, AttemptOutcome.BROKEN, at=4.0))
        self.assertFalse([e for e in end if isinstance(e, ProbeServer)])

    def test_request_that_had_just_begun_is_a_suspect(self):
        """A server may end shortly after its first event."""
        state = build_state()
        sent = find_effect(start_request(state, "r1", 3.0), RelayRequest)
        started = ResponseStarted(
            at=3.1, request_id="r1", attempt_id=sent.attempt_id, wall_time=3.1
        )
        reduce(state, started)
        end = reduce(state, build_attempt_end(sent, AttemptOutcome.BROKEN, at=3.2))
        find_effect(end, ProbeServer)

    def test_last_part_never_counts(self):
        """The last part belongs to the request alone."""
        request = CallerRequest(
            request_id="r1", target=ModelTarget("draft"), parts=PARTS
        )
        self.assertEqual(list_shared_parts(request), ("system", PART))

    def test_requests_that_merely_fail_hold_nothing(self):
        """Errors, rejections and time-outs are no evidence, however many there are."""
        state = build_state()
        outcomes = (
            AttemptOutcome.SERVER_ERROR,
            AttemptOutcome.BUSY,
            AttemptOutcome.TIMED_OUT,
            AttemptOutcome.CONNECT_FAILED,
        )
        for number in range(40):
            confirm_copy(state, 3.0 + number)
            effects = start_request(state, f"r{number}", 3.0 + number)
            sent = find_effect(effects, RelayRequest)
            outcome = outcomes[number % len(outcomes)]
            end = build_attempt_end(sent, outcome, at=3.1 + number)
            retried = reduce(state, end)
            for effect in retried:
                if isinstance(effect, RelayRequest):
                    end = build_attempt_end(effect, outcome, at=3.2 + number)
                    reduce(state, end)
        self.assertEqual(state.quarantine.parts, {})

    def test_answer_clears_a_part(self):
        """A part whose request was answered after a crash did not cause it."""
        state = build_state()
        break_request(state, "r1", 3.0)
        answer_request(state, "r2", 3.5, PART)
        self.assertEqual(state.quarantine.parts[PART].crashes, {})

    def test_stream_that_goes_on_clears_its_parts(self):
        """A part is cleared once its answer has gone on, before it is complete."""
        state = build_state()
        break_request(state, "r1", 3.0)
        sent = find_effect(start_request(state, "r2", 3.5), RelayRequest)
        started = ResponseStarted(
            at=3.6, request_id="r2", attempt_id=sent.attempt_id, wall_time=3.6
        )
        reduce(state, started)
        tick(state, 3.7)
        self.assertTrue(state.quarantine.parts[PART].crashes)
        tick(state, 3.9)
        self.assertFalse(state.quarantine.parts[PART].crashes)

    def test_answer_that_began_before_a_crash_clears_nothing(self):
        """A part may begin to crash servers after many sound answers."""
        state = build_state()
        sent = find_effect(start_request(state, "r1", 2.0), RelayRequest)
        started = ResponseStarted(
            at=2.5, request_id="r1", attempt_id=sent.attempt_id, wall_time=2.5
        )
        reduce(state, started)
        break_request(state, "r2", 2.6)
        end = build_attempt_end(
            sent, AttemptOutcome.COMPLETED, verdict=Verdict.RAN, at=3.0
        )
        reduce(state, end)
        self.assertTrue(state.quarantine.parts[PART].crashes)

    def test_culprit_that_was_sound_before_is_held(self):
        """A part that was answered shortly before needs one crash more."""
        state = build_state()
        answer_request(state, "r0", 2.0, PART)
        answer_request(state, "r00", 2.0, "system")
        servers = [
            VersionedRecord(
                ObjectKey("server", "e3"), Revision(number=200), build_server("draft")
            )
        ]
        changes = Changes(Revision(number=200), tuple(servers))
        apply_feed_answer(state, Feed.RECORDS, changes, at=2.5)
        for number, at in enumerate((3.0, 3.2, 3.4), 1):
            break_request(state, f"r{number}", at)
            tick(state, at + 0.19)
            self.assertEqual(state.quarantine.is_held(PART), number == 3)
        self.assertFalse(state.quarantine.is_held("system"))


class LongPromptTest(unittest.TestCase):
    """A part is found wherever it stands among very many."""

    def build_parts(self, count: int, place: int, owner: str) -> tuple[PromptPart, ...]:
        """Return the parts of a prompt, with the culprit at a place."""
        names = [f"{owner}-{number}" for number in range(count)]
        names[place] = PART
        return tuple(PromptPart(name, 1) for name in names)

    def test_culprit_at_any_place_is_held(self):
        """Guards against engines that end until the last: only late parts counted."""
        for count in (40, 400, 3000):
            for place in (0, count // 2, count - 2):
                with self.subTest(count=count, place=place):
                    state = build_state()
                    for request_id, at in (("r1", 3.0), ("r2", 3.3)):
                        parts = self.build_parts(count, place, request_id)
                        break_request(state, request_id, at, parts=parts)
                        tick(state, at + 0.2)
                    self.assertTrue(state.quarantine.is_held(PART))
                    parts = self.build_parts(count, place, "r3")
                    find_refusal(start_request(state, "r3", 4.0, parts=parts))

    def test_ids_beside_the_parts_count(self):
        """A front may keep the sizes of only some parts of a prompt."""
        state = build_state()
        ids = ("system", PART, "own")
        for request_id, at in (("r1", 3.0), ("r2", 3.3)):
            fields = {"parts": (PARTS[0], PARTS[-1]), "part_ids": ids}
            break_request(state, request_id, at, **fields)
            tick(state, at + 0.2)
        self.assertTrue(state.quarantine.parts.get(PART))

    def crash(self, state: DaemonState, number: int, parts: tuple[str, ...]) -> Any:
        """Let a server end under a request with these shared parts."""
        at = 3.0 + number
        crash_id = CrashId(f"e{number}", 0)
        state.breaks[crash_id] = [BrokenRequest(f"r{number}", parts, at)]
        probed = ServerProbed(
            at=at + 0.1,
            server=crash_id.server,
            incarnation=0,
            is_refused=True,
            draws=DRAWS,
        )
        return reduce(state, probed)

    def test_new_suspects_displace_no_repeated_one(self):
        """A crash with more suspects than are kept leaves older evidence in place."""
        state = build_state()
        self.crash(state, 1, (PART,))
        others = tuple(f"p{number}" for number in range(2 * MAX_PARTS))
        effects = self.crash(state, 2, (*others, PART))
        self.assertEqual(state.quarantine.parts[PART].count_crashes(set()), 2)
        self.assertEqual(len(state.quarantine.parts), MAX_PARTS)
        self.assertEqual(len(list_logged(effects, "parts_dropped")), 1)

    def test_no_place_of_a_prompt_is_always_dropped(self):
        """Guards against a first part that is never held beside too many others."""
        state = build_state()
        for number in range(6):
            others = (f"{number}-{index}" for index in range(2 * MAX_PARTS))
            self.crash(state, number, (PART, *others))
            tick(state, 3.2 + number)
        self.assertTrue(state.quarantine.is_held(PART))

    def test_crash_that_follows_takes_the_place_of_one_of_the_same_moment(self):
        """Guards against a culprit that is never held after a loss of many engines."""
        known = PartState()
        for number in range(MAX_CRASHES):
            known.add_crash(build_crash(f"e{number}"), 1.0)
        self.assertEqual(known.count_crashes(set()), 1)
        self.assertTrue(known.add_crash(build_crash("next", follows=True), 2.0))
        self.assertEqual(known.count_crashes(set()), 2)
        self.assertEqual(len(known.crashes), MAX_CRASHES)

    def test_crash_under_thousands_of_parts_takes_few_calls(self):
        """Guards against a flood of datagrams and writes for each crash."""
        state = build_state(policy={"peer_address": "10.0.0.1:7000"})
        record = HostRecord(
            failure_domain="a", incarnation=1, sequence=1, peer_address="10.0.0.2:7000"
        )
        key = ObjectKey("host", "h2")
        change = VersionedRecord(key, Revision(number=200), record)
        changes = Changes(Revision(number=200), (change,))
        apply_feed_answer(state, Feed.RECORDS, changes, at=2.0)
        parts = tuple(f"p{number}" for number in range(3000))
        effects = self.crash(state, 1, parts)
        sent = [e.message for e in effects if isinstance(e, SendToPeers)]
        told = [suspect.part for report in sent for suspect in report.suspects]
        self.assertEqual(sorted(told), sorted(parts))
        self.assertLess(len(sent), 30)
        state.feeds[Feed.RECORDS].confirmed_at = 5.4
        saved = [
            effect
            for effect in tick(state, 5.4)
            if isinstance(effect, CallPlatform) and isinstance(effect.purpose, SavePart)
        ]
        self.assertEqual(len(saved), MAX_STORED_SUSPECTS)

    def test_suspects_of_another_host_count(self):
        """The next crash here may be the second that other hosts know of."""
        state = build_state()
        suspects = (SuspectedPart(part="first"), SuspectedPart(part=PART))
        report = CrashReport(host="h2", server="e9", incarnation=0, suspects=suspects)
        reduce(state, PeerMessageReceived(at=2.5, message=report, draws=DRAWS))
        self.crash(state, 1, ("other", PART))
        tick(state, 4.3)
        self.assertTrue(state.quarantine.is_held(PART))


class PolicyTest(unittest.TestCase):
    """Which of several suspected parts is held."""

    def test_part_without_answers_goes_first(self):
        """A shared part that answers were seen on is spared."""
        shared = Suspicion(part="a", position=1, crashes=3, was_sound=True)
        rare = Suspicion(part="b", position=0, crashes=2, was_sound=False)
        self.assertEqual(choose_repeated_crash([shared, rare]), rare)

    def test_latest_part_goes_first(self):
        """Of two unknown parts the later one is on fewer requests."""
        early = Suspicion(part="a", position=0, crashes=2, was_sound=False)
        late = Suspicion(part="b", position=1, crashes=2, was_sound=False)
        self.assertEqual(choose_repeated_crash([late, early]), late)

    def test_single_crash_holds_nothing(self):
        """One crash may have any cause."""
        once = Suspicion(part="a", position=0, crashes=1, was_sound=False)
        self.assertIsNone(choose_repeated_crash([once]))

    def test_part_on_few_of_many_crashes_needs_more(self):
        """While engines end all the time, two crashes may be chance."""
        chance = Suspicion(part="a", position=0, crashes=2, was_sound=False, recent=5)
        self.assertIsNone(choose_repeated_crash([chance]))
        likely = Suspicion(part="a", position=0, crashes=2, was_sound=False, recent=4)
        self.assertEqual(choose_repeated_crash([likely]), likely)

    def test_baseline_holds_nothing(self):
        """The policy `never` keeps the former behaviour."""
        often = Suspicion(part="a", position=0, crashes=9, was_sound=False)
        self.assertIsNone(hold_nothing([often]))

    def test_held_part_explains_its_crashes(self):
        """Crashes under a held part are not held against the parts beside it."""
        quarantine = Quarantine()
        for part in ("system", PART):
            known = quarantine.get_part(part, 1.0)
            known.add_crash(build_crash("e1"), 1.0)
            known.add_crash(build_crash("e2", follows=True), 2.0)
        quarantine.parts[PART].set_hold(HOLD, 2.0)
        crash_id = CrashId("e2", 0)
        self.assertEqual(quarantine.list_suspicions(crash_id), [])
        quarantine.parts["system"].add_crash(build_crash("e3", follows=True), 3.0)
        (system,) = quarantine.list_suspicions(CrashId("e3", 0))
        self.assertEqual(system.crashes, 1)


class HeldRequestTest(unittest.TestCase):
    """No request with a held part reaches a server."""

    def test_arriving_request_is_refused(self):
        """It is refused at once, as not run, with the time until the next trial."""
        state = build_state()
        hold_part(state)
        refusal = find_refusal(start_request(state, "r1", 5.0))
        self.assertEqual(refusal.code, "part_held")
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)
        self.assertAlmostEqual(refusal.retry_after, 12.0)
        self.assertIn(PART, refusal.reason)

    def test_refused_arrival_costs_no_rate(self):
        """Nothing is taken from the workspace's rate."""
        state = build_state(rate=10.0, burst=1000.0)
        hold_part(state)
        before = state.buckets["audit"].tokens
        start_request(state, "r1", 2.0)
        self.assertEqual(state.buckets["audit"].tokens, before)

    def test_sound_request_is_admitted(self):
        """A request that shares the key and the other parts is sent."""
        state = build_state()
        hold_part(state)
        parts = (PARTS[0], PromptPart("other", 9), PARTS[2])
        find_effect(start_request(state, "r1", 5.0, parts=parts), RelayRequest)

    def test_request_whose_own_part_is_held_is_admitted(self):
        """The last part never counts, not even with the name of a held one."""
        state = build_state()
        hold_part(state)
        parts = (PARTS[0], PromptPart(PART, 9))
        find_effect(start_request(state, "r1", 5.0, parts=parts), RelayRequest)

    def test_queued_request_is_refused(self):
        """A request that waits is refused when its part is held, and not at the end."""
        state = build_state(limits=EntryLimits(max_running=1))
        start_request(state, "r1", 2.0, parts=())
        self.assertFalse(
            [e for e in start_request(state, "r2", 2.1) if isinstance(e, RelayRequest)]
        )
        hold_part(state, at=2.2)
        self.assertEqual(find_refusal(tick(state, 2.3)).code, "part_held")
        self.assertNotIn("r2", state.requests)

    def test_prefilled_request_does_not_start_to_decode(self):
        """Its KV cache is released and it is refused as not run."""
        state = build_state()
        sent = find_effect(start_request(state, "r1", 2.0), RelayRequest)
        state.requests["r1"].phase = Phase.PREFILL
        hold_part(state, at=2.2)
        cache = KvCacheRef("e1", "10.0.0.1:80", "handle", 100)
        ended = PrefillEnded(
            at=2.3,
            request_id="r1",
            attempt_id=sent.attempt_id,
            outcome=AttemptOutcome.COMPLETED,
            draws=DRAWS,
            kv_cache=cache,
        )
        effects = reduce(state, ended)
        find_effect(effects, ReleaseKvCache)
        self.assertIs(find_refusal(effects).verdict, Verdict.NOT_RUN)

    def test_request_that_ended_a_server_is_not_repeated(self):
        """A repeatable request does not go on to the next server."""
        state = build_state()
        effects = break_request(state, "r1", 3.0)
        self.assertEqual(find_refusal(effects).code, "upstream_failed")
        self.assertIs(find_refusal(effects).verdict, Verdict.MAY_HAVE_RUN)

    def test_sound_request_is_repeated_after_a_crash(self):
        """One whose parts were answered shortly before is sent to another server."""
        state = build_state()
        answer_request(state, "r0", 2.0, PART)
        answer_request(state, "r00", 2.0, "system")
        effects = break_request(state, "r1", 3.0)
        find_effect(effects, RelayRequest)

    def test_request_is_repeated_if_the_server_lives(self):
        """A connection that was reset says nothing of the parts."""
        state = build_state()
        sent = find_effect(start_request(state, "r1", 3.0), RelayRequest)
        end = build_attempt_end(sent, AttemptOutcome.BROKEN, at=3.1)
        probe = find_effect(reduce(state, end), ProbeServer)
        effects = reduce(state, build_probe(probe, at=3.12, is_refused=False))
        find_effect(effects, RelayRequest)


class TrialTest(unittest.TestCase):
    """The way back of a held part."""

    def claim(self, state: DaemonState, request_id: str, at: float) -> CallPlatform:
        """Let a request claim the trial, and return the call."""
        call = find_effect(start_request(state, request_id, at), CallPlatform)
        self.assertIsInstance(call.purpose, ClaimTrial)
        return call

    def test_one_request_tries_the_part_once_the_hold_is_over(self):
        """The store accepts its claim, which extends the hold for all others."""
        state = build_state()
        hold_part(state)
        confirm_copy(state, 16.9)
        refusal = find_refusal(start_request(state, "r0", 16.9))
        self.assertEqual(refusal.code, "part_held")
        confirm_copy(state, 18.0)
        call = self.claim(state, "r1", 18.0)
        self.assertEqual(call.message.expected_version, Revision(number=200))
        effects = reduce(
            state, build_answer(call.purpose, Written(Revision(number=201)), at=18.01)
        )
        find_effect(effects, RelayRequest)
        self.assertEqual(
            find_refusal(start_request(state, "r2", 18.1)).code, "part_held"
        )
        self.assertEqual(state.quarantine.parts[PART].hold.seconds, 30.0)

    def test_claim_of_another_host_wins(self):
        """A host whose claim conflicts refuses the request."""
        state = build_state()
        hold_part(state)
        confirm_copy(state, 18.0)
        call = self.claim(state, "r1", 18.0)
        other = PartRecord(crashes=(), hold=HOLD.extend("h2"))
        conflict = Conflict(VersionedRecord(KEY, Revision(number=201), other))
        effects = reduce(state, build_answer(call.purpose, conflict, at=18.01))
        self.assertEqual(find_refusal(effects).code, "part_held")
        self.assertEqual(state.quarantine.parts[PART].hold.trial_host, "h2")

    def test_store_that_is_away_allows_no_trial(self):
        """Without an answer to the claim the request is refused."""
        state = build_state()
        hold_part(state)
        confirm_copy(state, 18.0)
        call = self.claim(state, "r1", 18.0)
        failure = PlatformFailure("no answer", Verdict.MAY_HAVE_RUN)
        effects = reduce(state, build_answer(call.purpose, failure, at=19.0))
        self.assertEqual(find_refusal(effects).code, "part_held")

    def test_caller_that_leaves_during_the_claim_is_forgotten(self):
        """The claim's answer finds no request."""
        state = build_state()
        hold_part(state)
        confirm_copy(state, 18.0)
        call = self.claim(state, "r1", 18.0)
        reduce(state, CallerDisconnected(at=18.0, request_id="r1"))
        effects = reduce(
            state, build_answer(call.purpose, Written(Revision(number=201)), at=18.01)
        )
        self.assertFalse([e for e in effects if isinstance(e, RelayRequest)])

    def test_answered_trial_releases_the_part(self):
        """The record is deleted, and the part's requests are admitted."""
        state = build_state()
        hold_part(state)
        confirm_copy(state, 18.0)
        call = self.claim(state, "r1", 18.0)
        effects = reduce(
            state, build_answer(call.purpose, Written(Revision(number=201)), at=18.01)
        )
        sent = find_effect(effects, RelayRequest)
        end = build_attempt_end(
            sent, AttemptOutcome.COMPLETED, verdict=Verdict.RAN, at=18.5
        )
        effects = reduce(state, end)
        deletion = find_effect(effects, CallPlatform)
        self.assertEqual(deletion.message, DeleteObject(KEY, Revision(number=201)))
        find_effect(start_request(state, "r2", 18.6), RelayRequest)

    def test_trial_that_ends_a_server_keeps_the_hold(self):
        """The next trial is due after twice the time."""
        state = build_state()
        hold_part(state)
        confirm_copy(state, 18.0)
        call = self.claim(state, "r1", 18.0)
        effects = reduce(
            state, build_answer(call.purpose, Written(Revision(number=201)), at=18.01)
        )
        sent = find_effect(effects, RelayRequest)
        end = build_attempt_end(sent, AttemptOutcome.BROKEN, at=18.1)
        probe = find_effect(reduce(state, end), ProbeServer)
        effects = reduce(state, build_probe(probe, at=18.2))
        self.assertEqual(find_refusal(effects).code, "upstream_failed")
        confirm_copy(state, 40.0)
        refusal = find_refusal(start_request(state, "r2", 40.0))
        self.assertEqual(refusal.code, "part_held")


class StoreTest(unittest.TestCase):
    """What hosts learn of a part through the store."""

    def test_starting_host_knows_held_parts(self):
        """A hold in the listing applies before the first request."""
        state = build_state()
        hold_part(state)
        find_refusal(start_request(state, "r1", 2.0))

    def test_deleted_record_releases_the_part(self):
        """An operator's deletion admits the requests again."""
        state = build_state()
        hold_part(state)
        change = VersionedRecord(KEY, Revision(number=300), DELETED)
        apply_feed_answer(
            state, Feed.RECORDS, Changes(Revision(number=300), (change,)), at=3.0
        )
        find_effect(start_request(state, "r1", 3.1), RelayRequest)

    def test_deleted_record_releases_a_hold_of_this_host(self):
        """A host that wrote the hold obeys the operator's deletion too."""
        state = build_state()
        known = state.quarantine.get_part(PART, 3.0)
        known.set_hold(HOLD, 3.0)
        known.is_dirty = True
        calls = [e for e in tick(state, 3.1) if isinstance(e, CallPlatform)]
        saved = next(call for call in calls if isinstance(call.purpose, SavePart))
        reduce(
            state, build_answer(saved.purpose, Written(Revision(number=250)), at=3.2)
        )
        own = VersionedRecord(KEY, Revision(number=250), saved.message.record)
        apply_feed_answer(
            state, Feed.RECORDS, Changes(Revision(number=250), (own,)), at=3.3
        )
        change = VersionedRecord(KEY, Revision(number=300), DELETED)
        apply_feed_answer(
            state, Feed.RECORDS, Changes(Revision(number=300), (change,)), at=3.4
        )
        self.assertFalse(state.quarantine.is_held(PART))

    def test_record_of_a_released_hold_is_deleted(self):
        """A host that saw a crash removes what another host's answer has refuted."""
        state = build_state()
        crash = build_crash("e9", host="h1")
        stored = PartRecord(crashes=(crash,), hold=HOLD)
        change = VersionedRecord(KEY, Revision(number=200), stored)
        apply_feed_answer(
            state, Feed.RECORDS, Changes(Revision(number=200), (change,)), at=2.0
        )
        report = PartReport(
            host="h2", part=PART, refuted=(crash.crash_id,), released=HOLD.number
        )
        reduce(state, PeerMessageReceived(at=2.5, message=report, draws=DRAWS))
        calls = [e for e in tick(state, 2.6) if isinstance(e, CallPlatform)]
        self.assertIn(
            DeleteObject(KEY, Revision(number=200)), [call.message for call in calls]
        )

    def test_operator_hold_needs_no_crash_and_has_no_trial(self):
        """It stays until it is released, and no time to wait is given."""
        state = build_state()
        hold_part(state, hold=PartHold())
        confirm_copy(state, 9000.0)
        refusal = find_refusal(start_request(state, "r1", 9000.0))
        self.assertEqual((refusal.code, refusal.retry_after), ("part_held", None))

    def test_evidence_is_written_if_it_lasts(self):
        """A part that is not cleared within a second is stored."""
        state = build_state()
        break_request(state, "r1", 3.0)
        early = [e for e in tick(state, 3.5) if isinstance(e, CallPlatform)]
        self.assertFalse([e for e in early if isinstance(e.purpose, SavePart)])
        late = [e for e in tick(state, 4.3) if isinstance(e, CallPlatform)]
        saved = [e for e in late if isinstance(e.purpose, SavePart)]
        self.assertEqual({e.message.key.name for e in saved}, {"system", PART})
        self.assertTrue(all(isinstance(e.message, PutObject) for e in saved))

    def test_conflicting_evidence_is_merged_into_a_hold(self):
        """A crash that another host stored counts beside the own one."""
        state = build_state()
        known = state.quarantine.get_part(PART, 3.0)
        known.add_crash(build_crash("e1", host="h1"), 3.0)
        known.is_dirty = True
        call = next(
            e
            for e in tick(state, 3.1)
            if isinstance(e, CallPlatform) and isinstance(e.purpose, SavePart)
        )
        stored = PartRecord(crashes=(build_crash("e2", follows=True),))
        conflict = Conflict(VersionedRecord(KEY, Revision(number=250), stored))
        effects = reduce(state, build_answer(call.purpose, conflict, at=3.2))
        message = find_effect(effects, CallPlatform).message
        self.assertEqual(message.expected_version, Revision(number=250))
        self.assertEqual(len(message.record.crashes), 2)

    def test_failed_write_is_logged_and_repeated(self):
        """A store that is away is no reason to forget."""
        state = build_state()
        known = state.quarantine.get_part(PART, 3.0)
        known.set_hold(HOLD, 3.0)
        known.is_dirty = True
        purpose = SavePart(PART, PartRecord(hold=HOLD))
        failure = PlatformFailure("no answer", Verdict.MAY_HAVE_RUN)
        effects = reduce(state, build_answer(purpose, failure, at=3.1))
        self.assertTrue(list_logged(effects, "part_not_saved"))
        self.assertTrue(state.quarantine.is_held(PART))
        repeated = [e for e in tick(state, 3.7) if isinstance(e, CallPlatform)]
        self.assertTrue([e for e in repeated if isinstance(e.purpose, SavePart)])


class PeersTest(unittest.TestCase):
    """What hosts tell each other of a part."""

    def receive(self, state: DaemonState, at: float = 3.0, **fields: Any) -> Any:
        """Deliver another host's report."""
        report = PartReport(host="h2", part=PART, **fields)
        return reduce(state, PeerMessageReceived(at=at, message=report, draws=DRAWS))

    def test_hold_of_another_host_applies_at_once(self):
        """No call to the store is needed to refuse the part's requests."""
        state = build_state()
        self.receive(state, hold=HOLD)
        find_refusal(start_request(state, "r1", 3.1))

    def test_late_report_does_not_restore_a_released_hold(self):
        """A report that was sent before the release has no effect."""
        state = build_state()
        self.receive(state, hold=HOLD, crashes=(build_crash("e1"),))
        self.receive(state, refuted=(CrashId("e1", 0),), released=1)
        self.receive(state, hold=HOLD, crashes=(build_crash("e1"),))
        self.assertFalse(state.quarantine.is_held(PART))
        self.assertEqual(state.quarantine.parts[PART].crashes, {})

    def test_release_that_overtakes_the_hold_applies(self):
        """Datagrams may arrive in another order than they were sent."""
        state = build_state()
        self.receive(state, released=1)
        self.receive(state, hold=HOLD)
        self.assertFalse(state.quarantine.is_held(PART))

    def test_crash_of_another_host_counts(self):
        """Each host sees few crashes; the second of two may be its first."""
        state = build_state()
        self.receive(state, at=2.5, crashes=(build_crash("e9"),))
        break_request(state, "r1", 3.0)
        tick(state, 3.2)
        self.assertTrue(state.quarantine.is_held(PART))


class BoundTest(unittest.TestCase):
    """Memory and time are bounded."""

    def test_unique_parts_are_bounded(self):
        """Evidence on many parts drops the oldest, but no held one."""
        quarantine = Quarantine()
        quarantine.get_part(PART, 0.0).set_hold(HOLD, 0.0)
        for number in range(3 * MAX_PARTS):
            quarantine.get_part(f"p{number}", float(number))
        self.assertEqual(len(quarantine.parts), MAX_PARTS)
        self.assertTrue(quarantine.is_held(PART))

    def test_sound_parts_are_bounded(self):
        """The least recently answered parts are forgotten."""
        quarantine = Quarantine()
        for number in range(2 * MAX_SOUND_PARTS):
            quarantine.record_sound(f"p{number}", float(number))
        self.assertEqual(len(quarantine.sound_at), MAX_SOUND_PARTS)

    def test_many_long_prompts_that_break_off_together(self):
        """Requests with more parts than are kept end on one server."""
        state = build_state()
        crash_id = CrashId("e1", 0)
        for number in range(20):
            names = tuple(f"p{number}-{index}" for index in range(40))
            parts = (*(PromptPart(name, 1) for name in names), PARTS[-1])
            request = CallerRequest(
                request_id=f"r{number}", target=ModelTarget("draft"), parts=parts
            )
            broken = BrokenRequest(f"r{number}", list_shared_parts(request), 2.0)
            state.breaks.setdefault(crash_id, []).append(broken)
        probed = ServerProbed(
            at=2.1, server="e1", incarnation=0, is_refused=True, draws=DRAWS
        )
        reduce(state, probed)
        tick(state, 2.3)
        self.assertLessEqual(len(state.quarantine.parts), MAX_PARTS)

    def test_old_evidence_is_forgotten(self):
        """A single crash does not stay for ever."""
        state = build_state()
        break_request(state, "r1", 3.0)
        known = state.quarantine.parts[PART]
        known.is_dirty = False
        tick(state, 90.0)
        self.assertNotIn(PART, state.quarantine.parts)

    def test_crashes_of_a_part_are_bounded(self):
        """A part keeps a bounded number of crashes."""
        known = PartState()
        for number in range(1000):
            known.add_crash(build_crash(f"e{number}"), 1.0)
        self.assertLess(len(known.crashes), 100)

    def test_odd_part_ids_are_not_used_as_names(self):
        """A caller can't write into logs or keys by a part's id."""
        for part in ("a/b", "x" * 100, 'a" b', ""):
            with self.subTest(part=part):
                self.assertRegex(name_part(part), r"\A[0-9a-f]{32}\Z")
        self.assertEqual(name_part("5c1e07a2"), "5c1e07a2")
