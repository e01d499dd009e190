"""Tests of admission under load, one class for each load that it answers.

The baseline policy stands beside each: it sends everything at once, and leaves it to
the servers to turn requests away.
"""

import unittest
from random import Random
from typing import Any

import attrs
from builders import (
    DRAWS,
    NOW,
    apply_feed_answer,
    build_attempt_end,
    find_effect,
    reduce,
)

from geraniumhall_core.catalogue import (
    BackendServer,
    CatalogueEntry,
    Configuration,
    EntryLimits,
    Objectives,
    ServiceClass,
    ServiceWeight,
)
from geraniumhall_core.effects import RefuseRequest, RelayRequest, WatchHold
from geraniumhall_core.events import (
    CallerDisconnected,
    DrainRequested,
    HoldEnded,
    PeerMessageReceived,
    RequestArrived,
    ResponseStarted,
    Ticked,
)
from geraniumhall_core.fairness import FAIR_TURN, RoomQueue
from geraniumhall_core.hosts import HostRecord
from geraniumhall_core.notices import Incarnation, ReceivedNotice, ServerNotice
from geraniumhall_core.overload import (
    ADMISSION_POLICIES,
    AdmissionQuery,
    AdmissionVerdict,
)
from geraniumhall_core.pace import EntryProfile
from geraniumhall_core.platform import Feed, Listing
from geraniumhall_core.policy import Policy
from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.reducer import Effect
from geraniumhall_core.reports import LoadReport, ServerWork
from geraniumhall_core.requests import AttemptOutcome, CallerRequest, PathTarget, Phase
from geraniumhall_core.returns import RETURN_POLICIES
from geraniumhall_core.revisions import Revision
from geraniumhall_core.room import ROOM_POLICIES, RoomQuery, ServerRoom
from geraniumhall_core.state import DaemonState
from geraniumhall_core.urgency import URGENCY_POLICIES, UrgencyQuery
from geraniumhall_core.verdict import Verdict

OBJECTIVE = 1.2
DEADLINE = 4.0
SLOTS = 4
HOSTS = 80
SERVERS = 10
IN_TIME = {
    "admission": "in_time",
    "full_returns": "as_room_frees",
    "room": "drawn_share",
    "urgency": "time_and_size",
}
QUERY = AdmissionQuery(
    time_left=DEADLINE, first_objective=OBJECTIVE, first_seconds=0.1, last_seconds=0.5
)
URGENCY = UrgencyQuery(
    priority=1,
    size=1.0,
    time_left=DEADLINE,
    objective_left=OBJECTIVE,
    first_seconds=0.1,
    last_seconds=0.5,
)


def build_entry(path: str, priority: int) -> CatalogueEntry:
    """Return an entry of the service `work` that is open to all."""
    return CatalogueEntry(
        owner=f"owner{priority}",
        service_class=ServiceClass.SERVICE,
        path=path,
        open_to_all=True,
        repeatable=True,
        priority=priority,
        services=(ServiceWeight("work", 1.0),),
        objectives=Objectives(first_answer=OBJECTIVE),
        limits=EntryLimits(deadline=DEADLINE),
    )


def build_host(name: str = "h1", servers: int = 1, **policy: Any) -> DaemonState:
    """Return a host with two entries of unlike urgency on the same servers."""
    state = DaemonState.from_policy(
        Policy(host=name, failure_domain="a", incarnation=1, **policy)
    )
    entries = {"urgent": build_entry("/u/", 0), "patient": build_entry("/p/", 2)}
    configuration = Configuration(version=1, entries=entries, services={})
    key = ObjectKey("configuration", "main")
    listed = [
        VersionedRecord(
            ObjectKey("registered_server", f"s{number}"),
            Revision(number=1 + number),
            BackendServer(
                address=f"10.0.0.{number}:80",
                failure_domain="a",
                service="work",
                slots=SLOTS,
            ),
        )
        for number in range(servers)
    ]
    listings = {
        Feed.CONFIGURATION: (VersionedRecord(key, Revision(number=1), configuration),),
        Feed.SERVERS: tuple(listed),
        Feed.RECORDS: (),
    }
    for feed, objects in listings.items():
        apply_feed_answer(state, feed, Listing(Revision(number=servers), objects))
    return state


def arrive(
    state: DaemonState,
    request_id: str,
    path: str = "/p/x",
    at: float = NOW,
    draws: tuple[float, float] = DRAWS,
    **fields: Any,
) -> tuple[Effect, ...]:
    """Let a request arrive and return the effects."""
    request = CallerRequest(
        request_id=request_id, target=PathTarget(path, ""), **fields
    )
    return reduce(state, RequestArrived(at=at, request=request, draws=draws))


def list_relays(effects: tuple[Effect, ...]) -> list[RelayRequest]:
    """Return what is sent to servers."""
    return [effect for effect in effects if isinstance(effect, RelayRequest)]


def turn_away(state: DaemonState, at: float = NOW) -> tuple[Effect, ...]:
    """Let the only server say that it is full to a first request."""
    relay = find_effect(arrive(state, "first", at=at), RelayRequest)
    end = build_attempt_end(relay, AttemptOutcome.BUSY, Verdict.NOT_RUN, at=at)
    return reduce(state, end)


class TooMuchForTooLittleRoomTest(unittest.TestCase):
    """Too many requests for too little room."""

    def test_full_server_is_left_alone_until_its_work_has_drained(self) -> None:
        """A request waits here instead of being turned away by the server again."""
        state = build_host(**IN_TIME)
        turn_away(state)
        effects = arrive(state, "next")
        self.assertEqual(list_relays(effects), [])
        find_effect(effects, WatchHold)

    def test_baseline_sends_to_a_full_server(self) -> None:
        """Under the baseline the next request is sent to be turned away."""
        state = build_host()
        turn_away(state)
        find_effect(arrive(state, "next"), RelayRequest)

    def test_hold_is_a_small_part_of_the_objective(self) -> None:
        """A request is held for at most an eighth of its objective."""
        state = build_host(**IN_TIME)
        turn_away(state)
        hold = find_effect(arrive(state, "next"), WatchHold)
        self.assertLessEqual(hold.seconds, OBJECTIVE / 8)

    def test_waiting_request_is_placed_when_the_server_has_drained(self) -> None:
        """The next look for room after the server's time sends the request."""
        state = build_host(**IN_TIME)
        turn_away(state)
        arrive(state, "next")
        tick = Ticked(at=NOW + 0.12, wall_time=NOW, draws=DRAWS)
        self.assertEqual(len(list_relays(reduce(state, tick))), 1)

    def test_request_that_found_no_room_in_its_time_is_refused(self) -> None:
        """At the end of its hold it is refused, truthfully as not run."""
        state = build_host(**IN_TIME)
        turn_away(state)
        hold = find_effect(arrive(state, "next"), WatchHold)
        state.get_load("s0").full_until = NOW + 9.0
        at = NOW + hold.seconds
        effects = reduce(state, HoldEnded(at=at, request_id="next", draws=DRAWS))
        refusal = find_effect(effects, RefuseRequest).refusal
        self.assertEqual(refusal.code, "overloaded")
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)
        self.assertEqual(state.overload.count_waiting(), 0)

    def test_what_cannot_end_in_time_is_refused_at_once(self) -> None:
        """A busy server's answer that would end after the deadline isn't asked for."""
        query = attrs.evolve(QUERY, last_seconds=DEADLINE + 0.1, is_busy=True)
        in_time = ADMISSION_POLICIES.find("in_time")(query)
        self.assertIs(in_time, AdmissionVerdict.REJECT)
        baseline = ADMISSION_POLICIES.find("queue_bound")(query)
        self.assertIs(baseline, AdmissionVerdict.ADMIT)

    def test_what_begins_after_its_caller_left_is_refused_at_once(self) -> None:
        """A stream whose caller would leave before its first event isn't asked for."""
        query = attrs.evolve(
            QUERY, first_seconds=2.1, last_seconds=2.5, patience_left=2.0, is_busy=True
        )
        in_time = ADMISSION_POLICIES.find("in_time")(query)
        self.assertIs(in_time, AdmissionVerdict.REJECT)
        baseline = ADMISSION_POLICIES.find("queue_bound")(query)
        self.assertIs(baseline, AdmissionVerdict.ADMIT)

    def test_an_estimate_alone_refuses_nothing(self) -> None:
        """A request isn't refused while most places are free and nothing waits."""
        query = attrs.evolve(QUERY, last_seconds=DEADLINE + 0.1)
        self.assertIs(ADMISSION_POLICIES.find("in_time")(query), AdmissionVerdict.ADMIT)

    def test_nothing_learned_refuses_nothing(self) -> None:
        """Before answers were observed, a busy plain server isn't taken to be slow."""
        state = build_host(**IN_TIME)
        for number in range(SLOTS):
            arrive(state, f"busy{number}")
        find_effect(arrive(state, "next", timeout=1.0), RelayRequest)

    def test_learned_pace_refuses_at_a_busy_server(self) -> None:
        """Answers that took long let a request with little time left be refused."""
        state = build_host(**IN_TIME)
        for number in range(8):
            relay = find_effect(arrive(state, f"r{number}"), RelayRequest)
            completed = AttemptOutcome.COMPLETED
            reduce(state, build_attempt_end(relay, completed, at=NOW + 2.0))
        for number in range(SLOTS):
            arrive(state, f"busy{number}")
        refusal = find_effect(arrive(state, "late", timeout=1.0), RefuseRequest).refusal
        self.assertEqual(refusal.code, "overloaded")

    def test_an_answer_to_an_earlier_request_opens_no_full_server(self) -> None:
        """Only a request that was sent after the refusal shows new room."""
        state = build_host(**IN_TIME)
        earlier = find_effect(arrive(state, "earlier", at=NOW - 0.5), RelayRequest)
        turn_away(state)
        completed = AttemptOutcome.COMPLETED
        reduce(state, build_attempt_end(earlier, completed, at=NOW + 0.01))
        find_effect(arrive(state, "next", at=NOW + 0.02), WatchHold)

    def test_caller_that_leaves_stops_waiting(self) -> None:
        """A waiting request is dropped with its caller, and none is sent later."""
        state = build_host(**IN_TIME)
        turn_away(state)
        arrive(state, "next")
        reduce(state, CallerDisconnected(at=NOW + 0.01, request_id="next"))
        tick = Ticked(at=NOW + 0.12, wall_time=NOW, draws=DRAWS)
        self.assertEqual(list_relays(reduce(state, tick)), [])
        self.assertEqual(state.requests, {})

    def test_waiting_request_that_asks_for_a_token_waits_no_more(self) -> None:
        """A limit named meanwhile lets it ask other hosts, and only that."""
        state = build_host(peer_address="10.0.0.1:7000", **IN_TIME)
        record = HostRecord(
            failure_domain="a", incarnation=1, sequence=1, peer_address="10.0.0.2:7000"
        )
        state.hosts.observe("h2", record, NOW)
        turn_away(state)
        arrive(state, "next")
        notice = ReceivedNotice(
            source=Incarnation("s0", 0),
            sent_at=NOW,
            notice=ServerNotice(request_limit=0.5),
        )
        started = ResponseStarted(
            at=NOW, request_id="none", attempt_id="none", wall_time=NOW, notice=notice
        )
        reduce(state, started)
        reduce(state, Ticked(at=NOW + 0.12, wall_time=NOW, draws=DRAWS))
        self.assertIs(state.requests["next"].phase, Phase.ASKING)
        self.assertEqual(state.overload.count_waiting(), 0)

    def test_waiting_request_is_answered_in_a_drain(self) -> None:
        """A host that stops refuses what waits, and loses nothing."""
        state = build_host(**IN_TIME)
        turn_away(state)
        arrive(state, "next")
        state.get_load("s0").full_until = NOW + 99.0
        reduce(state, DrainRequested(at=NOW))
        limit = state.policy.drain_limit
        effects = reduce(state, Ticked(at=NOW + limit, wall_time=NOW, draws=DRAWS))
        find_effect(effects, RefuseRequest)


class BurstOfLessUrgentKindTest(unittest.TestCase):
    """A burst of the less urgent kind fills what room there is."""

    def test_urgent_request_gets_the_room_that_frees(self) -> None:
        """What arrived last but is more urgent is placed first."""
        state = build_host(**IN_TIME)
        turn_away(state)
        for number in range(3):
            arrive(state, f"p{number}")
        arrive(state, "u", path="/u/x")
        tick = Ticked(at=NOW + 0.12, wall_time=NOW, draws=DRAWS)
        self.assertEqual(list_relays(reduce(state, tick))[0].request_id, "u")

    def test_engines_are_told_the_order(self) -> None:
        """The rank that is sent keeps the kinds apart, so that engines keep the order.

        Under the baseline the entry's priority is sent.
        """
        for policy, ranks in ((IN_TIME, [0, 6]), ({}, [0, 2])):
            state = build_host(**policy)
            sent = [arrive(state, "u", path="/u/x"), arrive(state, "p")]
            relays = [find_effect(effects, RelayRequest) for effects in sent]
            self.assertEqual([relay.priority for relay in relays], ranks)

    def test_less_urgent_kind_is_not_starved(self) -> None:
        """Each fourth turn goes to the workspace that got room least often."""
        queue = RoomQueue(workspaces={"p": "patient"})
        placed = []
        for number in range(FAIR_TURN):
            queue.workspaces[f"u{number}"] = "urgent"
            order = queue.order_requests(lambda name: float(name == "p"))
            queue.count_placed(order[0])
            del queue.workspaces[order[0]]
            placed.append(order[0])
        self.assertIn("p", placed)


class RepeatingCallersTest(unittest.TestCase):
    """Callers that were refused repeat at once and often."""

    def test_a_repeat_is_known_by_the_time_that_is_left(self) -> None:
        """A caller that has tried before states less time than first attempts have."""
        profile = EntryProfile()
        for _ in range(5):
            profile.observe(100.0, DEADLINE)
        self.assertFalse(profile.is_repeat(DEADLINE))
        self.assertTrue(profile.is_repeat(DEADLINE - 0.3))
        self.assertFalse(profile.is_repeat(None))

    def test_unlike_first_attempts_are_no_repeats(self) -> None:
        """Callers count their time from before a request reaches a host."""
        profile = EntryProfile()
        timeouts = [DEADLINE - 0.01 * number for number in range(10)]
        for timeout in timeouts:
            profile.observe(100.0, timeout)
        self.assertFalse(any(profile.is_repeat(timeout) for timeout in timeouts))

    def test_repeats_get_room_after_first_attempts(self) -> None:
        """A repeat comes after first attempts of its kind, before the next kind."""
        rank = URGENCY_POLICIES.find("time_and_size")
        repeat = rank(attrs.evolve(URGENCY, is_repeat=True))
        self.assertGreater(repeat, rank(URGENCY))
        self.assertLess(repeat, rank(attrs.evolve(URGENCY, priority=2)))
        baseline = URGENCY_POLICIES.find("priority")
        self.assertEqual(
            baseline(attrs.evolve(URGENCY, is_repeat=True)), baseline(URGENCY)
        )

    def test_repeats_do_not_push_out_a_first_attempt(self) -> None:
        """Of those that wait, the first attempt is placed before earlier repeats."""
        state = build_host(**IN_TIME)
        turn_away(state)
        arrive(state, "full", timeout=DEADLINE)
        reduce(state, CallerDisconnected(at=NOW, request_id="full"))
        for number in range(3):
            arrive(state, f"repeat{number}", timeout=DEADLINE - 1.0)
        arrive(state, "fresh", timeout=DEADLINE)
        tick = Ticked(at=NOW + 0.12, wall_time=NOW, draws=DRAWS)
        self.assertEqual(list_relays(reduce(state, tick))[0].request_id, "fresh")

    def test_returns_are_spread_and_within_patience(self) -> None:
        """Refused callers come back at unlike times, and within a third of theirs."""
        told = set()
        for number in range(20):
            state = build_host(**IN_TIME)
            turn_away(state)
            state.get_load("s0").full_until = NOW + 9.0
            draws = (number / 20, 0.5)
            effects = arrive(state, "next", draws=draws)
            told.add(find_effect(effects, RefuseRequest).refusal.retry_after)
        self.assertGreater(len(told), 5)
        self.assertLessEqual(max(told), DEADLINE / 3 + 1e-6)

    def test_baseline_tells_all_the_same(self) -> None:
        """Under the baseline all come back at the same moment."""
        policy = RETURN_POLICIES.find("at_once")
        self.assertEqual(policy(0.5, 0.1), policy(0.5, 0.9))


class ManyHostsAndOneFreeEngineTest(unittest.TestCase):
    """Many hosts see the same engine with a few free slots."""

    def count_choices(self, policy: str) -> int:
        """Return how many of the hosts that send a request send it to the free one.

        All other engines have one free slot left. In the time until a request is known
        to other hosts, a quarter of the hosts send one.
        """
        random = Random(7)
        rooms = [ServerRoom(name="free", requests=0.0, slots=SLOTS)]
        rooms += [
            ServerRoom(name=f"s{number}", requests=SLOTS - 1.0, slots=SLOTS)
            for number in range(SERVERS)
        ]
        chosen = 0
        for _ in range(HOSTS // 4):
            query = RoomQuery(
                arrivals=float(HOSTS), answer_seconds=1.0, draw=random.random()
            )
            names = ROOM_POLICIES.find(policy)(rooms, query)
            best = min(names, key=lambda name: (name != "free", random.random()))
            chosen += best == "free"
        return chosen

    def test_free_slots_are_drawn_for(self) -> None:
        """About as many hosts choose the free engine as it has slots."""
        self.assertLessEqual(self.count_choices("drawn_share"), 2 * SLOTS)

    def test_baseline_fills_the_engine(self) -> None:
        """Under the baseline every host chooses the same engine."""
        self.assertEqual(self.count_choices("unlimited"), HOSTS // 4)

    def test_plenty_of_room_is_left_to_the_planner(self) -> None:
        """While free slots abound, no server is drawn away from a cached prompt."""
        rooms = [
            ServerRoom(name=f"s{number}", requests=1.0, slots=SLOTS)
            for number in range(2 * HOSTS)
        ]
        query = RoomQuery(arrivals=float(HOSTS), answer_seconds=1.0, draw=0.9)
        self.assertEqual(len(ROOM_POLICIES.find("drawn_share")(rooms, query)), 160)

    def test_full_engine_is_left_out(self) -> None:
        """A server that has just said that it is full isn't chosen beside another."""
        state = build_host(servers=2, routing="least_loaded", **IN_TIME)
        state.get_load("s0").record_refusal(NOW, 0.5, 1.0)
        sent = [arrive(state, f"r{number}") for number in range(SLOTS)]
        servers = {find_effect(effects, RelayRequest).server for effects in sent}
        self.assertEqual(servers, {"s1"})

    def test_reported_work_of_other_hosts_takes_room(self) -> None:
        """Slots that other hosts report as taken aren't free here."""
        state = build_host(servers=2, **IN_TIME)
        work = (ServerWork("s0", SLOTS, 0),)
        report = LoadReport(host="other", incarnation=1, sequence=1, work=work)
        reduce(state, PeerMessageReceived(at=NOW, message=report, draws=DRAWS))
        sent = [arrive(state, f"r{number}") for number in range(SLOTS)]
        servers = {find_effect(effects, RelayRequest).server for effects in sent}
        self.assertEqual(servers, {"s1"})


class LongBesideShortTest(unittest.TestCase):
    """Long prompts beside short ones."""

    def test_short_ones_come_first(self) -> None:
        """Of one kind, a short request gets room before a large one."""
        rank = URGENCY_POLICIES.find("time_and_size")
        large = attrs.evolve(URGENCY, size=4.0)
        self.assertLess(rank(URGENCY), rank(large))
        baseline = URGENCY_POLICIES.find("priority")
        self.assertEqual(baseline(URGENCY), baseline(large))

    def test_one_that_misses_its_objective_makes_way(self) -> None:
        """What is late anyway comes after what can still be in time."""
        rank = URGENCY_POLICIES.find("time_and_size")
        late = attrs.evolve(URGENCY, first_seconds=OBJECTIVE + 0.1, last_seconds=1.5)
        self.assertLess(rank(attrs.evolve(URGENCY, size=4.0)), rank(late))

    def test_a_large_one_near_its_deadline_is_not_starved(self) -> None:
        """With just the time that it takes left, a large request comes first."""
        rank = URGENCY_POLICIES.find("time_and_size")
        last = attrs.evolve(URGENCY, size=4.0, time_left=0.7, objective_left=-1.0)
        self.assertEqual(rank(last), rank(URGENCY))


if __name__ == "__main__":
    unittest.main()
