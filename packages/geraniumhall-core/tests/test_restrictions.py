"""Tests of what backend servers state of themselves, and of every send's question."""

import unittest
from typing import Any

import attrs
from builders import (
    DRAWS,
    NOW,
    apply_feed_answer,
    build_arrival,
    build_attempt_end,
    build_server,
    build_state,
    find_effect,
    reduce,
)

from geraniumhall_core.catalogue import REGISTERED_SERVER_KIND
from geraniumhall_core.effects import (
    PrefillPrompt,
    RefuseRequest,
    RelayRequest,
    ReleaseKvCache,
    SendToPeers,
    WriteLog,
)
from geraniumhall_core.events import (
    CallerDisconnected,
    DrainRequested,
    PeerMessageReceived,
    PrefillEnded,
    ResponseStarted,
    Ticked,
)
from geraniumhall_core.handlers.access import (
    compute_handover_seconds,
    describe_limit,
    is_leaving,
    is_open,
)
from geraniumhall_core.hosts import HostRecord
from geraniumhall_core.notices import Incarnation, ReceivedNotice, ServerNotice
from geraniumhall_core.orders import ServerRole
from geraniumhall_core.places import PLACE_POLICIES, PlaceQuery
from geraniumhall_core.platform import Changes, Feed
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.requests import (
    AttemptOutcome,
    KvCacheRef,
    PathTarget,
    PromptPart,
)
from geraniumhall_core.restrictions import (
    Grant,
    GrantRequest,
    LimitStatement,
    ReportedLimit,
    RestrictionReport,
)
from geraniumhall_core.returns import RETURN_POLICIES
from geraniumhall_core.revisions import Revision
from geraniumhall_core.sharing import SHARING_POLICIES, SharingQuery
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict

LATER = NOW + 30.0  # all shares have tokens by then
FILING = PathTarget("/filings/1")


def receive(
    state: DaemonState, server: str, at: float, sent_at: float, **words: Any
) -> tuple:
    """Apply an answer of a server to a request that was sent at a time."""
    started_at = words.pop("started_at", 0)
    notice = ReceivedNotice(
        source=Incarnation(server, started_at),
        sent_at=sent_at,
        notice=ServerNotice(**words),
    )
    event = ResponseStarted(
        at=at, request_id="none", attempt_id="none", wall_time=at, notice=notice
    )
    return reduce(state, event)


def hear(state: DaemonState, at: float, **fields: Any) -> tuple:
    """Apply a report of host h2."""
    message = RestrictionReport(host="h2", **fields)
    return reduce(state, PeerMessageReceived(at=at, message=message, draws=DRAWS))


def state_limit(rate: float | None, number: int, host: str = "h2") -> ReportedLimit:
    """Return a statement on server e1 as another host reports it."""
    source = Incarnation("e1", 0)
    statement = LimitStatement(source=source, rate=rate, number=number, host=host)
    return ReportedLimit(statement, 0.5)


def find_rate(state: DaemonState, server: str = "e1", started_at: int = 0):
    """Return the limit that is in force for a server, None if there is none."""
    known = state.restrictions.servers.get(Incarnation(server, started_at))
    return known.rate if known else None


def confirm_feeds(state: DaemonState, at: float) -> None:
    """Let the copy of the catalogue be current at a time."""
    for feed in state.feeds.values():
        feed.confirmed_at = at


def add_host(state: DaemonState, name: str = "h2") -> None:
    """Add another live host."""
    record = HostRecord(
        failure_domain="a", incarnation=1, sequence=1, peer_address="10.0.0.2:7000"
    )
    state.hosts.observe(name, record, NOW)


def list_events(effects: tuple) -> list[str]:
    """Return the names of the log lines among effects."""
    return [effect.event for effect in effects if isinstance(effect, WriteLog)]


class StatementTest(unittest.TestCase):
    """Which answer decides on a limit."""

    def setUp(self) -> None:
        """Start with a server whose limit was named at 2 s."""
        self.state = build_state()
        receive(self.state, "e1", at=2.0, sent_at=1.9, request_limit=3.0)

    def test_limit_is_learned_and_logged(self) -> None:
        """An answer that names a limit puts it in force."""
        self.assertEqual(find_rate(self.state), 3.0)
        effects = receive(self.state, "e2", at=2.0, sent_at=1.9, request_limit=1.0)
        self.assertIn("server_limit_learned", list_events(effects))

    def test_answer_to_an_earlier_request_lifts_nothing(self) -> None:
        """A slow answer of before has no limit, although there is one."""
        receive(self.state, "e1", at=9.0, sent_at=1.99)
        self.assertEqual(find_rate(self.state), 3.0)

    def test_answer_to_a_later_request_lifts_the_limit(self) -> None:
        """A limit holds for as long as the server says so."""
        effects = receive(self.state, "e1", at=2.2, sent_at=2.1)
        self.assertIsNone(find_rate(self.state))
        self.assertIn("server_limit_ended", list_events(effects))

    def test_confirmed_limit_is_not_lifted_by_an_answer_of_before(self) -> None:
        """An answer that names the limit again counts as newer than those before."""
        receive(self.state, "e1", at=3.0, sent_at=2.5, request_limit=3.0)
        receive(self.state, "e1", at=3.1, sent_at=2.6)
        self.assertEqual(find_rate(self.state), 3.0)

    def test_lower_limit_applies_at_once(self) -> None:
        """Which of two answers is newer is unknown, so the lower limit holds."""
        receive(self.state, "e1", at=2.1, sent_at=1.8, request_limit=1.0)
        self.assertEqual(find_rate(self.state), 1.0)
        receive(self.state, "e1", at=2.2, sent_at=1.9, request_limit=3.0)
        self.assertEqual(find_rate(self.state), 1.0)
        receive(self.state, "e1", at=2.4, sent_at=2.3, request_limit=3.0)
        self.assertEqual(find_rate(self.state), 3.0)

    def test_refusal_without_a_limit_lifts_nothing(self) -> None:
        """Only an answer that served a request shows that there is no limit."""
        receive(self.state, "e1", at=3.0, sent_at=2.9, is_answer=False)
        self.assertEqual(find_rate(self.state), 3.0)

    def test_invalid_limit_changes_nothing_and_is_logged_once(self) -> None:
        """A value that is no number leaves the limit in force."""
        events: list[str] = []
        for at in (3.0, 4.0):
            effects = receive(
                self.state, "e1", at=at, sent_at=at, invalid=("request_limit: b'x'",)
            )
            events += list_events(effects)
        self.assertEqual(find_rate(self.state), 3.0)
        self.assertEqual(events, ["notice_invalid"])
        self.assertEqual(self.state.counters["notices.invalid"], 2)

    def test_notice_of_an_earlier_process_is_ignored(self) -> None:
        """What a server said before its restart says nothing of it now."""
        receive(self.state, "e2", at=2.0, sent_at=1.9, request_limit=1, started_at=7)
        self.assertIsNone(find_rate(self.state, "e2"))

    def list_server(self, state: DaemonState, at: int, record: Any) -> None:
        """Let server e1 be listed with a record, or not be listed."""
        change = VersionedRecord(ObjectKey("server", "e1"), Revision(number=at), record)
        changes = Changes(Revision(number=at), (change,))
        apply_feed_answer(state, Feed.RECORDS, changes)

    def test_notice_of_a_server_whose_entry_has_lapsed_counts(self) -> None:
        """Guards against requests in the time for which a server wants none.

        It answered while its entry was gone, and is listed again as the same process.
        """
        cases: tuple = (({"retry_after": 15.0}, 14.0), ({"is_leaving": True}, 30.0))
        for words, seconds in cases:
            with self.subTest(words=words):
                state = build_state()
                server = state.catalogue.servers["e1"]
                self.list_server(state, 200, DELETED)
                receive(state, "e1", NOW, NOW, **words)
                self.list_server(state, 201, server)
                self.assertFalse(is_open(state, "e1", NOW + seconds))
                tick = Ticked(at=NOW + 2.0, wall_time=NOW, draws=DRAWS)
                reduce(state, tick)
                self.assertFalse(is_open(state, "e1", NOW + seconds))

    def test_notice_before_a_lapse_does_not_bind_the_next_process(self) -> None:
        """It has said nothing itself."""
        state = build_state()
        server = state.catalogue.servers["e1"]
        self.list_server(state, 200, DELETED)
        receive(state, "e1", NOW, NOW, retry_after=15.0)
        self.list_server(state, 201, attrs.evolve(server, started_at=7))
        self.assertTrue(is_open(state, "e1", NOW))

    def test_new_process_begins_without_a_limit(self) -> None:
        """The limit ends with the process that named it."""
        replace_server(self.state, "e1", started_at=9)
        self.assertTrue(is_open(self.state, "e1", 2.1))
        self.assertIsNone(describe_limit(self.state, "e1", 2.1))

    def test_limit_of_zero_leaves_a_trickle(self) -> None:
        """If nobody sent, nobody would learn of its end."""
        receive(self.state, "e1", at=2.1, sent_at=2.0, request_limit=0.0)
        self.assertFalse(is_open(self.state, "e1", 2.2))
        self.assertTrue(is_open(self.state, "e1", 60.0))


class ReportTest(unittest.TestCase):
    """What other hosts say of servers."""

    def setUp(self) -> None:
        """Start with one other host."""
        self.state = build_state(policy={"peer_address": "10.0.0.1:7000"})
        add_host(self.state)

    def test_reported_limit_binds_like_an_own_one(self) -> None:
        """A host obeys before its first answer of the server."""
        hear(self.state, 2.0, limits=(state_limit(1.0, 4),))
        self.assertFalse(is_open(self.state, "e1", 2.0))

    def test_newer_statement_wins_in_any_order(self) -> None:
        """Numbers order statements, also if their datagrams are reordered."""
        for order in ((4, 5), (5, 4)):
            state = build_state()
            for number in order:
                rate = None if number == 5 else 1.0
                hear(state, 2.0, limits=(state_limit(rate, number),))
            self.assertIsNone(find_rate(state))

    def test_own_answer_is_numbered_after_what_was_heard(self) -> None:
        """What a host sees later counts as newer on all hosts."""
        hear(self.state, 2.0, limits=(state_limit(1.0, 4),))
        receive(self.state, "e1", at=3.0, sent_at=2.5)
        known = self.state.restrictions.servers[Incarnation("e1", 0)]
        self.assertEqual(known.statement.order, (5, "h1"))

    def test_news_is_passed_on_once(self) -> None:
        """A report that brings nothing new is not forwarded."""
        first = hear(self.state, 2.0, limits=(state_limit(1.0, 4),))
        again = hear(self.state, 3.0, limits=(state_limit(1.0, 4),))
        self.assertEqual(sum(isinstance(e, SendToPeers) for e in first), 1)
        self.assertEqual(sum(isinstance(e, SendToPeers) for e in again), 0)

    def test_question_is_answered_with_all_that_is_known(self) -> None:
        """A host that has just started asks."""
        hear(self.state, 2.0, limits=(state_limit(1.0, 4),))
        effects = hear(self.state, 3.0, address="10.0.0.2:7000")
        answer = find_effect(effects, SendToPeers)
        self.assertEqual(answer.addresses, ("10.0.0.2:7000",))
        self.assertEqual(answer.message.limits[0].statement.rate, 1.0)

    def test_knowledge_is_repeated_to_random_hosts(self) -> None:
        """Hosts that missed the datagram hear it within some seconds."""
        hear(self.state, 2.0, limits=(state_limit(1.0, 4),))
        effects = reduce(self.state, Ticked(at=4.0, wall_time=4.0, draws=DRAWS))
        reports = [
            e.message
            for e in effects
            if isinstance(e, SendToPeers) and isinstance(e.message, RestrictionReport)
        ]
        self.assertEqual(len(reports), 1)

    def test_server_that_leaves_is_told_and_logged(self) -> None:
        """All hosts stop sending to it, whoever has seen it."""
        effects = hear(self.state, 2.0, leaving=(Incarnation("e1", 0),))
        self.assertTrue(is_leaving(self.state, "e1"))
        self.assertIn("server_leaving", list_events(effects))
        self.assertTrue(find_effect(effects, SendToPeers).message.leaving)

    def test_wish_to_wait_is_not_told(self) -> None:
        """What a server wants of one host says nothing of others."""
        effects = receive(
            self.state, "e1", at=2.0, sent_at=1.9, retry_after=5.0, is_answer=False
        )
        self.assertFalse(any(isinstance(e, SendToPeers) for e in effects))


def replace_server(state: DaemonState, name: str, **fields: Any) -> None:
    """List a server with other fields, as one that registered itself."""
    fields.setdefault("entries", ("draft", "open"))
    record = build_server(*fields.pop("entries"), **fields)
    change = VersionedRecord(
        ObjectKey(REGISTERED_SERVER_KIND, name), Revision(number=200), record
    )
    apply_feed_answer(state, Feed.SERVERS, Changes(Revision(number=200), (change,)))


class SendTest(unittest.TestCase):
    """Every send asks whether the server takes a request of this host."""

    WORDS = (
        {"request_limit": 0.0},
        {"is_leaving": True},
        {"retry_after": 60.0, "is_answer": False},
        {"request_limit": 9.0, "is_leaving": True, "retry_after": 1.0},
    )

    def close(self, state: DaemonState, server: str, words: dict) -> None:
        """Apply an answer that closes a server."""
        receive(state, server, at=NOW, sent_at=1.9, **words)

    def test_first_attempt_when_no_other_server_is_left(self) -> None:
        """The request is refused at once as not run, with the time to wait."""
        for words in self.WORDS:
            with self.subTest(words=words):
                state = build_state()
                for server in ("e1", "e2"):
                    self.close(state, server, words)
                effects = reduce(state, build_arrival())
                refusal = find_effect(effects, RefuseRequest).refusal
                self.assertEqual(refusal.code, "servers_restricted")
                self.assertIs(refusal.verdict, Verdict.NOT_RUN)
                self.assertGreater(refusal.retry_after, 0.0)
                self.assertIn("e1", refusal.reason)

    def test_closed_server_is_not_used_while_others_are_suspended(self) -> None:
        """A server after failures is used rather than one that wants nothing."""
        for words in self.WORDS:
            with self.subTest(words=words):
                state = build_state()
                self.close(state, "e1", words)
                state.get_load("e2").record_failure(NOW, 60.0, 60.0)
                relay = find_effect(reduce(state, build_arrival()), RelayRequest)
                self.assertEqual(relay.server, "e2")

    def test_retry(self) -> None:
        """A request that failed elsewhere is not sent to a closed server."""
        for words in self.WORDS:
            with self.subTest(words=words):
                state = build_state()
                first = find_effect(reduce(state, build_arrival()), RelayRequest)
                other = "e2" if first.server == "e1" else "e1"
                self.close(state, other, words)
                end = build_attempt_end(first, AttemptOutcome.BUSY, Verdict.NOT_RUN)
                find_effect(reduce(state, end), RefuseRequest)

    def test_answer_that_closes_its_server_is_heard_before_the_retry(self) -> None:
        """The notice of a failed attempt is applied before the next is placed."""
        state = build_state()
        first = find_effect(reduce(state, build_arrival()), RelayRequest)
        notice = ReceivedNotice(
            source=Incarnation(first.server, 0),
            sent_at=NOW,
            notice=ServerNotice(retry_after=5.0, is_answer=False),
        )
        end = build_attempt_end(
            first, AttemptOutcome.BUSY, Verdict.NOT_RUN, notice=notice
        )
        second = find_effect(reduce(state, end), RelayRequest)
        self.assertNotEqual(second.server, first.server)
        self.assertFalse(is_open(state, first.server, NOW + 1.0))

    def test_requests_beyond_the_share_are_refused(self) -> None:
        """A host with a share sends as many requests as it has tokens."""
        state = build_state()
        for server in ("s1", "s2"):
            receive(state, server, at=NOW, sent_at=1.9, request_limit=0.5)
            is_open(state, server, NOW)
        confirm_feeds(state, LATER)
        sent = 0
        for number in range(20):
            arrival = build_arrival(f"r{number}", FILING, at=LATER)
            effects = reduce(state, arrival)
            sent += any(isinstance(e, RelayRequest) for e in effects)
        self.assertEqual(sent, 2 * 3)

    def build_engines(self) -> DaemonState:
        """Return a state whose engines separate prefill and decode."""
        state = build_state()
        replace_server(state, "e1", role=ServerRole.PREFILL)
        replace_server(state, "e2", role=ServerRole.DECODE)
        replace_server(state, "e3", role=ServerRole.DECODE)
        return state

    def end_prefill(self, state: DaemonState, effect: PrefillPrompt, **fields: Any):
        """End a prefill that has exported a KV cache."""
        cache = KvCacheRef(effect.server, effect.address, "x", 900)
        event = PrefillEnded(
            at=NOW,
            request_id=effect.request_id,
            attempt_id=effect.attempt_id,
            outcome=AttemptOutcome.COMPLETED,
            draws=DRAWS,
            kv_cache=cache,
            **fields,
        )
        return reduce(state, event)

    def start_prefill(self, state: DaemonState) -> PrefillPrompt:
        """Send a request to an engine that runs prefill only."""
        effects = reduce(state, build_arrival())
        relay = find_effect(effects, RelayRequest)
        record = state.requests["r1"]
        return PrefillPrompt(
            request_id="r1",
            attempt_id=record.attempt_id,
            server="e1",
            address=relay.address,
            timeout=1.0,
            reuse=True,
        )

    def test_decode_after_a_prefill(self) -> None:
        """Engines that have closed since the prefill get no decode."""
        for words in self.WORDS:
            with self.subTest(words=words):
                state = self.build_engines()
                prefill = self.start_prefill(state)
                for server in ("e2", "e3"):
                    receive(state, server, at=NOW, sent_at=1.9, **words)
                effects = self.end_prefill(state, prefill)
                refusal = find_effect(effects, RefuseRequest).refusal
                self.assertIs(refusal.verdict, Verdict.NOT_RUN)

    def test_notice_of_a_prefill_is_heard(self) -> None:
        """An answer to a prompt-only call may state anything that others may."""
        state = self.build_engines()
        prefill = self.start_prefill(state)
        notice = ReceivedNotice(
            source=Incarnation("e1", 0),
            sent_at=NOW,
            notice=ServerNotice(request_limit=2.0, is_leaving=True),
        )
        self.end_prefill(state, prefill, notice=notice)
        self.assertTrue(is_leaving(state, "e1"))
        self.assertEqual(find_rate(state), 2.0)

    def test_release_of_a_kv_cache(self) -> None:
        """A KV cache on a closed engine is left to expire."""
        for words in ({}, *self.WORDS):
            with self.subTest(words=words):
                state = self.build_engines()
                prefill = self.start_prefill(state)
                if words:
                    receive(state, "e1", at=NOW, sent_at=1.9, **words)
                reduce(state, CallerDisconnected(at=NOW, request_id="r1"))
                state.requests.clear()
                effects = self.end_prefill(state, prefill)
                released = any(isinstance(e, ReleaseKvCache) for e in effects)
                self.assertEqual(released, not words)
                self.assertEqual(state.counters["kv_caches.left"], bool(words))


class LeavingTest(unittest.TestCase):
    """A server that leaves gets nothing any more."""

    def setUp(self) -> None:
        """Start with a server that has said that it leaves."""
        self.state = build_state()
        receive(self.state, "e1", at=2.0, sent_at=1.9, is_leaving=True)

    def test_it_does_not_end(self) -> None:
        """A server that stays after all, or says nothing of it, gets nothing."""
        receive(self.state, "e1", at=3.0, sent_at=2.9)
        self.assertTrue(is_leaving(self.state, "e1"))
        for at in range(3, 200, 2):
            reduce(self.state, Ticked(at=float(at), wall_time=float(at), draws=DRAWS))
        self.assertTrue(is_leaving(self.state, "e1"))

    def test_registration_as_ready_changes_nothing(self) -> None:
        """The store may be slow to tell of it."""
        replace_server(self.state, "e1")
        self.assertFalse(is_open(self.state, "e1", 3.0))

    def test_new_process_is_used(self) -> None:
        """A new process at that address begins anew."""
        replace_server(self.state, "e1", started_at=9)
        self.assertTrue(is_open(self.state, "e1", 3.0))

    def test_server_that_registers_again_is_still_leaving(self) -> None:
        """A registration that lapsed and came back is of the same process."""
        record = VersionedRecord(
            ObjectKey(REGISTERED_SERVER_KIND, "e1"), Revision(number=150), DELETED
        )
        apply_feed_answer(
            self.state, Feed.SERVERS, Changes(Revision(number=150), (record,))
        )
        replace_server(self.state, "e1")
        self.assertFalse(is_open(self.state, "e1", 3.0))

    def test_store_and_answers_agree(self) -> None:
        """A server that the store lists as leaving is closed to every send too."""
        replace_server(self.state, "e2", leaving=True)
        self.assertTrue(is_leaving(self.state, "e2"))
        self.assertFalse(is_open(self.state, "e2", 3.0))


class ClosureTest(unittest.TestCase):
    """A server that wants nothing of this host for some time."""

    def close(self, seconds: float, **policy: Any) -> DaemonState:
        """Return a state in which all engines want to wait."""
        state = build_state(policy=policy)
        for server in ("e1", "e2"):
            receive(
                state, server, at=NOW, sent_at=1.9, retry_after=seconds, is_answer=False
            )
        return state

    def test_server_opens_after_the_time(self) -> None:
        """It is closed until then, and not longer."""
        state = self.close(1.5)
        self.assertFalse(is_open(state, "e1", NOW + 1.49))
        self.assertTrue(is_open(state, "e1", NOW + 1.51))

    def test_shorter_time_does_not_open_it_earlier(self) -> None:
        """The longest time that the server has named holds."""
        state = self.close(5.0)
        receive(state, "e1", at=NOW, sent_at=1.9, retry_after=1.0, is_answer=False)
        self.assertFalse(is_open(state, "e1", NOW + 4.0))

    def test_time_is_bounded(self) -> None:
        """An absurd time does not lose the server for good."""
        state = self.close(1e9, max_closed=10.0)
        self.assertTrue(is_open(state, "e1", NOW + 10.1))

    def test_callers_return_spread_over_a_time(self) -> None:
        """Callers that were refused don't all return in the moment it opens."""
        baseline, policy = (RETURN_POLICIES.find(n) for n in ("at_once", "spread"))
        draws = [number / 10 for number in range(10)]
        self.assertEqual({baseline(2.0, draw) for draw in draws}, {2.0})
        waits = sorted(policy(2.0, draw) for draw in draws)
        self.assertEqual(len(set(waits)), len(draws))
        self.assertGreaterEqual(waits[0], 2.0)
        self.assertLessEqual(waits[-1], 3.0)

    def test_caller_is_told_when_to_return(self) -> None:
        """The refusal has the time that is left."""
        state = self.close(4.0)
        effects = reduce(state, build_arrival(at=NOW + 1.0))
        refusal = find_effect(effects, RefuseRequest).refusal
        self.assertGreaterEqual(refusal.retry_after, 3.0)


class SharingTest(unittest.TestCase):
    """How a limit is shared among hosts."""

    HOSTS = tuple(f"h{number}" for number in range(79))

    def share(self, rate: float, hosts: tuple[str, ...], policy: str = "few_hosts"):
        """Return the shares of a limit."""
        query = SharingQuery(server="e1", rate=rate, hosts=hosts)
        return SHARING_POLICIES.find(policy)(query)

    def count_most(self, shares: dict, seconds: float = 4.0) -> float:
        """Return the most requests that the shares allow in a time."""
        return sum(share.burst + share.rate * seconds for share in shares.values())

    def test_few_hosts_keep_to_the_rule(self) -> None:
        """Bursts and rates of all hosts stay below 1.5 times the limit and 5."""
        for rate in (0.2, 0.5, 1.0, 2.4, 3.2, 10.0, 100.0):
            for count in (1, 2, 9, 79):
                with self.subTest(rate=rate, hosts=count):
                    shares = self.share(rate, self.HOSTS[:count])
                    most = self.count_most(shares)
                    self.assertLessEqual(most, 1.5 * 4 * rate + 5)
                    total = sum(share.rate for share in shares.values())
                    self.assertAlmostEqual(total, rate)
                    for share in shares.values():
                        self.assertGreaterEqual(share.burst, 1.0)

    def test_equal_shares_break_the_rule(self) -> None:
        """The baseline lets each host send one request at the same time."""
        shares = self.share(2.4, self.HOSTS, "equal_shares")
        self.assertGreater(self.count_most(shares), 1.5 * 4 * 2.4 + 5)

    def test_host_that_comes_changes_few_shares(self) -> None:
        """At most one of the hosts with a share is replaced."""
        before = self.share(2.4, self.HOSTS[:-1])
        after = self.share(2.4, self.HOSTS)
        self.assertLessEqual(len(before.keys() - after.keys()), 1)

    def test_new_share_waits_for_the_handover(self) -> None:
        """A host takes a share over only once the others know of the change."""
        state = build_state()
        servers = ("e1", "e2", "s1", "s2")
        for server in servers:
            receive(state, server, at=NOW, sent_at=1.9, request_limit=2.0)
            is_open(state, server, NOW)
            self.assertTrue(is_open(state, server, LATER))
            receive(state, server, at=LATER, sent_at=LATER, request_limit=2.0)
        for number in range(30):
            add_host(state, f"x{number}")
        confirm_feeds(state, LATER)
        state.policy = attrs.evolve(state.policy, host_silence=60.0)
        lost = [name for name in servers if not is_open(state, name, LATER + 1.0)]
        self.assertTrue(lost)
        for name in [n for n in state.hosts.known if n.startswith("x")]:
            state.hosts.remove(name)
        confirm_feeds(state, LATER + 2.0)
        handover = LATER + 2.0 + compute_handover_seconds(state)
        self.assertFalse(is_open(state, lost[0], LATER + 2.0))
        self.assertFalse(is_open(state, lost[0], handover))
        self.assertTrue(is_open(state, lost[0], handover + 1.0))

    def test_host_that_loses_the_store_keeps_its_view(self) -> None:
        """It can't tell which hosts still run, so it takes nothing over."""
        state = build_state(policy={"host_silence": 4.0})
        add_host(state)
        receive(state, "e1", at=NOW, sent_at=1.9, request_limit=2.0)
        is_open(state, "e1", NOW)
        self.assertEqual(state.restrictions.membership.hosts, ("h1", "h2"))
        is_open(state, "e1", NOW + 20.0)
        self.assertEqual(state.restrictions.membership.hosts, ("h1", "h2"))

    def test_last_host_keeps_its_share_while_it_is_drained(self) -> None:
        """With no other host to take it over, its callers are served to the end."""
        state = build_state(policy={"drain_grace": 60.0, "drain_limit": 90.0})
        receive(state, "e1", at=NOW, sent_at=1.9, request_limit=2.0)
        is_open(state, "e1", NOW)
        reduce(state, DrainRequested(at=NOW))
        confirm_feeds(state, LATER)
        self.assertTrue(is_open(state, "e1", LATER))

    def test_places_go_to_large_prompts_first(self) -> None:
        """Small ones get those that would lapse, so no kind is left out."""
        policy = PLACE_POLICIES.find("largest_first")
        cases = ((5000, 1.0, True), (100, 1.0, False), (100, 1.5, True))
        for tokens, level, expected in cases:
            query = PlaceQuery(
                prompt_tokens=tokens, mean_prompt_tokens=900, tokens=level, burst=1.5
            )
            with self.subTest(tokens=tokens, level=level):
                self.assertEqual(policy(query), expected)

    def test_small_prompt_uses_a_place_if_no_other_server_is_open(self) -> None:
        """A place is reserved only while the request can go elsewhere."""
        state = build_state()
        for server in ("e1", "e2"):
            receive(state, server, at=NOW, sent_at=1.9, request_limit=3.0)
            is_open(state, server, NOW)
        confirm_feeds(state, LATER)
        state.restrictions.mean_prompt_tokens["draft"] = 1e6
        parts = (PromptPart("a", 5), PromptPart("b", 5))
        for number in range(2):
            arrival = build_arrival(f"r{number}", at=LATER, parts=parts)
            find_effect(reduce(state, arrival), RelayRequest)


class GrantTest(unittest.TestCase):
    """Tokens that hosts give to each other."""

    def setUp(self) -> None:
        """Start with a limited server, and another host that asks."""
        self.state = build_state(policy={"peer_address": "10.0.0.1:7000"})
        for server in ("e1", "e2"):
            receive(self.state, server, at=NOW, sent_at=1.9, request_limit=0.5)
            is_open(self.state, server, NOW)

    def ask(self, at: float, number: int = 1) -> Grant:
        """Let another host ask for a token of e1."""
        message = GrantRequest(
            host="h2",
            address="10.0.0.2:7000",
            servers=(Incarnation("e1", 0),),
            number=number,
        )
        event = PeerMessageReceived(at=at, message=message, draws=DRAWS)
        return find_effect(reduce(self.state, event), SendToPeers).message

    def test_token_leaves_the_bucket_before_it_is_sent(self) -> None:
        """A host gives away as many tokens as it has."""
        given = [self.ask(LATER, number).source for number in range(5)]
        self.assertEqual(given, [Incarnation("e1", 0)] * 3 + [None] * 2)
        self.assertFalse(is_open(self.state, "e1", LATER))

    def test_nothing_is_given_for_another_process(self) -> None:
        """The limit of an earlier process says nothing of the one that runs."""
        replace_server(self.state, "e1", started_at=9)
        self.assertIsNone(self.ask(LATER).source)

    def test_nothing_is_given_for_a_server_that_leaves(self) -> None:
        """Closed is closed, for those that ask as well."""
        receive(self.state, "e1", at=NOW, sent_at=1.9, is_leaving=True)
        self.assertIsNone(self.ask(LATER).source)

    def start_round(self) -> GrantRequest:
        """Let a request of this host find no server open."""
        for number in range(8):
            add_host(self.state, f"x{number}")
        self.state.restrictions.membership.read_at = 0.0
        effects = reduce(self.state, build_arrival(at=NOW))
        messages = [e.message for e in effects if isinstance(e, SendToPeers)]
        (asked,) = [m for m in messages if isinstance(m, GrantRequest)]
        return asked

    def answer(self, source: Incarnation | None, at: float, host: str = "") -> tuple:
        """Answer the round of the request."""
        view = self.state.restrictions
        asked = next(iter(view.rounds.values())).asked_host if view.rounds else "x"
        message = Grant(host=host or asked, source=source, number=1)
        event = PeerMessageReceived(at=at, message=message, draws=DRAWS)
        return reduce(self.state, event)

    def test_request_runs_with_the_token_of_another_host(self) -> None:
        """It waits for the answer, and is sent to the server of the token."""
        self.start_round()
        effects = self.answer(Incarnation("e1", 0), NOW + 0.01)
        self.assertEqual(find_effect(effects, RelayRequest).server, "e1")
        self.assertFalse(is_open(self.state, "e1", NOW + 0.01))

    def test_second_answer_gives_nothing(self) -> None:
        """A repeated datagram creates no token."""
        self.start_round()
        self.answer(Incarnation("e1", 0), NOW + 0.01)
        self.answer(Incarnation("e1", 0), NOW + 0.02)
        self.assertFalse(is_open(self.state, "e1", NOW + 0.02))

    def test_request_without_a_token_is_refused_at_once(self) -> None:
        """Some hosts are asked in turn; then it is refused, before its deadline."""
        self.start_round()
        for _ in range(2):
            effects = self.answer(None, NOW + 0.01)
            find_effect(effects, SendToPeers)
        effects = self.answer(None, NOW + 0.01)
        refusal = find_effect(effects, RefuseRequest).refusal
        self.assertEqual(refusal.code, "servers_restricted")

    def test_lost_answer_ends_the_round(self) -> None:
        """The request is refused if no answer comes in time."""
        self.start_round()
        at = NOW + 0.2
        effects = reduce(self.state, Ticked(at=at, wall_time=at, draws=DRAWS))
        find_effect(effects, RefuseRequest)
        self.assertEqual(self.state.requests, {})

    def test_caller_that_leaves_meanwhile_frees_its_place(self) -> None:
        """A request that waits for a token can be abandoned."""
        self.start_round()
        reduce(self.state, CallerDisconnected(at=NOW, request_id="r1"))
        self.assertEqual(self.state.requests, {})
        self.assertEqual(self.state.get_queue("draft").running, 0)
        effects = self.answer(Incarnation("e1", 0), NOW + 0.01)
        self.assertFalse(any(isinstance(e, RelayRequest) for e in effects))

    def test_token_lapses(self) -> None:
        """A token is used soon or not at all."""
        self.start_round()
        reduce(self.state, CallerDisconnected(at=NOW, request_id="r1"))
        self.answer(Incarnation("e1", 0), NOW + 0.01)
        self.assertTrue(is_open(self.state, "e1", NOW + 0.4))
        self.assertFalse(is_open(self.state, "e1", NOW + 0.6))


class DoubtTest(unittest.TestCase):
    """A limit that no answer confirms for long."""

    def test_host_without_a_share_tries_the_server_now_and_then(self) -> None:
        """Otherwise a limit whose end nobody tells would stay for good."""
        state = build_state(policy={"sharing": "few_hosts"})
        for number in range(40):
            add_host(state, f"x{number}")
        state.hosts.known = {
            name: known for name, known in state.hosts.known.items() if name != "h1"
        }
        servers = ("e1", "e2", "s1", "s2")
        for server in servers:
            receive(state, server, at=NOW, sent_at=1.9, request_limit=1.0)
        is_open(state, "e1", NOW)
        limits = {name: describe_limit(state, name, NOW) for name in servers}
        closed = [n for n, limit in limits.items() if limit and not limit.own_rate]
        self.assertTrue(closed)
        self.assertFalse(is_open(state, closed[0], NOW + 29.0))
        self.assertFalse(is_open(state, closed[0], NOW + 31.0))
        self.assertTrue(is_open(state, closed[0], NOW + 31.0 + 41 * 5.0))
