"""Tests of scaling policies and of scale requests to the platform."""

import unittest

import attrs
from builders import build_answer, build_state, reduce

from geraniumhall_core.catalogue import (
    BackendServer,
    Configuration,
    ScaleBounds,
    Service,
)
from geraniumhall_core.effects import CallPlatform, WriteLog
from geraniumhall_core.events import DrainRequested, Ticked
from geraniumhall_core.leases import Lease
from geraniumhall_core.platform import (
    Changes,
    DutyAccepted,
    DutyFenced,
    DutyRejected,
    Feed,
    ObjectMissing,
    ScaleService,
    Written,
)
from geraniumhall_core.purposes import (
    FollowFeed,
    MaintainLease,
    ReadSeals,
    ReleaseLease,
    ScaleDomain,
)
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.revisions import Revision
from geraniumhall_core.scaling import (
    DomainTarget,
    DomainView,
    ServiceDemand,
    follow_load,
    measure_busy,
    prefer_reclaimable,
)
from geraniumhall_core.state import DaemonState

BOUNDS = ScaleBounds(
    minimum=1, maximum=6, boot_seconds=4.0, reclaimable_price=0.2, prices={"a": 1.0}
)


def tick(state: DaemonState, at: float) -> list[CallPlatform]:
    """Advance the time and return the scale requests that are sent."""
    effects = reduce(state, Ticked(at=at, wall_time=at, draws=(0.0, 0.0)))
    calls = [e for e in effects if isinstance(e, CallPlatform)]
    return [call for call in calls if isinstance(call.message, ScaleService)]


class PolicyTest(unittest.TestCase):
    """Reclaimable servers replace regular ones."""

    def test_targets(self) -> None:
        """No regular server is given up before its replacement serves."""
        cases = {
            (3, 0): DomainTarget(regular=3, reclaimable=3),
            (3, 2): DomainTarget(regular=1, reclaimable=5),
            (3, 1): DomainTarget(regular=2, reclaimable=4),
            (1, 5): DomainTarget(regular=1, reclaimable=5),
            (1, 0): DomainTarget(regular=1, reclaimable=5),
        }
        for (regular, reclaimable), expected in cases.items():
            domain = DomainView(regular=regular, reclaimable=reclaimable)
            with self.subTest(domain=domain):
                self.assertEqual(prefer_reclaimable(BOUNDS, domain), expected)

    def test_regular_servers_replace_reclaimed_ones(self) -> None:
        """Guards against a domain that is left with its minimum after a reclaim.

        Half of the maximum is left for the reclaimable servers that come back.
        """
        cases = {
            (1, 0): DomainTarget(regular=3, reclaimable=3),
            (3, 0): DomainTarget(regular=3, reclaimable=3),
            (1, 1): DomainTarget(regular=2, reclaimable=4),
            (1, 5): DomainTarget(regular=1, reclaimable=5),
        }
        for (regular, reclaimable), expected in cases.items():
            domain = DomainView(
                regular=regular, reclaimable=reclaimable, lacks_reclaimable=True
            )
            with self.subTest(domain=domain):
                self.assertEqual(prefer_reclaimable(BOUNDS, domain), expected)

    def test_without_reclaimable_price_nothing_is_requested(self) -> None:
        """Without a price for reclaimable servers the policy changes nothing."""
        bounds = attrs.evolve(BOUNDS, reclaimable_price=None)
        domain = DomainView(regular=3, reclaimable=0)
        self.assertIsNone(prefer_reclaimable(bounds, domain))


class LoadPolicyTest(unittest.TestCase):
    """Demand that comes in waves and needs a part of the maximum."""

    def test_targets(self) -> None:
        """Reclaimable servers come first, and regular ones go as these serve."""
        cases = {
            (3, 0, 3): DomainTarget(regular=3, reclaimable=2),
            (3, 2, 3): DomainTarget(regular=1, reclaimable=2),
            (3, 0, 1): DomainTarget(regular=1, reclaimable=0),
            (1, 5, 3): DomainTarget(regular=1, reclaimable=2),
            (1, 2, 9): DomainTarget(regular=1, reclaimable=5),
            (6, 0, 6): DomainTarget(regular=6, reclaimable=0),
        }
        for (regular, reclaimable, needed), expected in cases.items():
            domain = DomainView(regular=regular, reclaimable=reclaimable, needed=needed)
            with self.subTest(domain=domain):
                self.assertEqual(follow_load(BOUNDS, domain), expected)

    def test_a_reclaimed_domain_gets_what_it_needs(self) -> None:
        """Regular servers replace reclaimed ones, up to half of the maximum."""
        cases = {2: 2, 3: 3, 6: 3}
        for needed, expected in cases.items():
            domain = DomainView(
                regular=1, reclaimable=0, lacks_reclaimable=True, needed=needed
            )
            with self.subTest(needed=needed):
                target = follow_load(BOUNDS, domain)
                assert target is not None
                self.assertEqual(target.regular, expected)

    def test_without_known_load_the_maximum_is_kept_ready(self) -> None:
        """The baseline decides until the load is known."""
        domain = DomainView(regular=3, reclaimable=0)
        self.assertEqual(
            follow_load(BOUNDS, domain), prefer_reclaimable(BOUNDS, domain)
        )


class ServiceDemandTest(unittest.TestCase):
    """The need follows the load up at once and down slowly."""

    def run_load(self, demand: ServiceDemand, busy: float, seconds: float) -> int:
        """Observe a steady load for some time, and return the need."""
        for _ in range(int(seconds * 10)):
            demand.observe(busy, 20.0, demand.observed_at + 0.1)
        return demand.decide()

    def test_servers_without_load_are_kept_until_it_is_known(self) -> None:
        """Nothing is given back before the first request."""
        demand = ServiceDemand.from_servers(30, 0.0)
        self.assertEqual(self.run_load(demand, 0.0, 100.0), 30)

    def test_need_rises_with_a_burst(self) -> None:
        """A burst of some seconds is answered while it lasts."""
        demand = ServiceDemand.from_servers(10, 0.0)
        self.assertGreaterEqual(self.run_load(demand, 9.0, 4.0), 29)

    def test_a_wave_keeps_its_servers(self) -> None:
        """Load that falls for some seconds takes nothing away that comes back."""
        demand = ServiceDemand.from_servers(30, 0.0)
        needs = []
        for _ in range(4):
            needs.append(self.run_load(demand, 9.0, 6.0))
            needs.append(self.run_load(demand, 4.0, 5.0))
        self.assertGreaterEqual(min(needs), 24)

    def test_lasting_low_load_gives_servers_back(self) -> None:
        """After minutes of little load, only what it needs is kept."""
        demand = ServiceDemand.from_servers(30, 0.0)
        self.assertLessEqual(self.run_load(demand, 3.0, 120.0), 13)

    def test_small_changes_order_nothing(self) -> None:
        """Load that varies by a tenth leaves the need as it is."""
        demand = ServiceDemand.from_servers(30, 0.0)
        first = self.run_load(demand, 9.0, 10.0)
        self.assertEqual(self.run_load(demand, 8.1, 10.0), first)

    def test_busy_servers(self) -> None:
        """A server is busy by its slots, or by a prompt that waits for prefill."""
        self.assertEqual(measure_busy(16, 64, 0.0), 0.25)
        self.assertEqual(measure_busy(0, 64, 3.0), 1.0)
        self.assertEqual(measure_busy(1, 0, 0.0), 1.0)


class ScaleRequestTest(unittest.TestCase):
    """Only the holder of the control lease sends scale requests."""

    def build(self, is_holder: bool = True) -> DaemonState:
        """Return a state with a service that has three regular servers."""
        state = build_state(policy={"scaling": "reclaimable_first"})
        key = ObjectKey("configuration", "main")
        configuration = Configuration(
            version=1, services={"llm": Service(scale=BOUNDS)}
        )
        changes = [VersionedRecord(key, Revision(number=101), configuration)]
        purpose = FollowFeed(Feed.CONFIGURATION)
        reduce(
            state, build_answer(purpose, Changes(Revision(number=101), tuple(changes)))
        )
        server = BackendServer(address="10.0.0.9:80", failure_domain="a", service="llm")
        servers = tuple(
            VersionedRecord(
                ObjectKey("registered_server", f"s{n}"),
                Revision(number=110 + n),
                server,
            )
            for n in range(3)
        )
        reduce(
            state,
            build_answer(
                FollowFeed(Feed.SERVERS), Changes(Revision(number=120), servers)
            ),
        )
        if is_holder:
            lease = Lease(host="h1", incarnation=1, term=4, renewal=0)
            state.lease.written_at[0] = 2.0
            state.lease.confirm_write(Revision(number=5), lease, 9.0)
        return state

    def test_holder_sends_scale_requests_under_its_term(self) -> None:
        """Both kinds of servers are requested with the term as fencing token."""
        calls = tick(self.build(), 2.1)
        found = {(c.message.reclaimable, c.message.count) for c in calls}
        self.assertEqual(found, {(True, 3), (False, 3)})
        self.assertEqual({c.message.fencing_token for c in calls}, {4})

    def test_scale_requests_expire_with_the_lease(self) -> None:
        """A request must not arrive once a successor may have sent its own."""
        state = self.build()
        ends = {call.expires_at for call in tick(state, 2.1)}
        self.assertEqual(ends, {2.0 + 9.0 - state.policy.lease_margin})

    def test_new_holder_waits_where_tokens_are_not_checked(self) -> None:
        """A call of the holder before may still arrive, and nothing rejects it."""
        state = self.build()
        state.policy = attrs.evolve(state.policy, checks_fencing=False)
        self.assertEqual(tick(state, 2.9), [])
        self.assertEqual(len(tick(state, 3.1)), 2)

    def test_drain_releases_the_lease_after_the_answers(self) -> None:
        """A successor can't act while a scale request is still on its way."""
        state = self.build()
        calls = tick(state, 2.1)
        renewal = Lease(host="h1", incarnation=1, term=4, renewal=1)
        reduce(
            state,
            build_answer(MaintainLease(renewal), Written(Revision(number=6)), at=2.2),
        )
        reduce(state, DrainRequested(at=2.2))
        self.assertFalse(self.releases_lease(state, 2.3))
        for call in calls:
            reduce(state, build_answer(call.purpose, DutyAccepted(), at=2.4))
        reduce(state, build_answer(ReadSeals(), ObjectMissing(), at=2.4))
        self.assertTrue(self.releases_lease(state, 2.5))

    def releases_lease(self, state: DaemonState, at: float) -> bool:
        """Advance the time and return whether the lease is released."""
        effects = reduce(state, Ticked(at=at, wall_time=at, draws=(0.0, 0.0)))
        calls = [e for e in effects if isinstance(e, CallPlatform)]
        return any(isinstance(call.purpose, ReleaseLease) for call in calls)

    def test_others_send_no_scale_requests(self) -> None:
        """A host without the lease sends no scale requests."""
        self.assertEqual(tick(self.build(is_holder=False), 2.1), [])

    def answer(self, answer: object) -> DaemonState:
        """Return the state after every scale request got this answer."""
        state = self.build()
        for call in tick(state, 2.1):
            assert isinstance(call.purpose, ScaleDomain)
            reduce(state, build_answer(call.purpose, answer, at=2.2))
        return state

    def test_accepted_scale_request_is_not_repeated(self) -> None:
        """An accepted count is not requested again before the repeat interval."""
        state = self.answer(DutyAccepted())
        self.assertEqual(tick(state, 5.0), [])

    def test_reclaimed_servers_are_requested_again(self) -> None:
        """Guards against a domain left without servers until the repeat interval.

        Reclaimable servers take the place of two regular ones, and then all leave.
        """
        state = self.answer(DutyAccepted())
        self.replace_regular_servers(state)
        self.settle(state, 3.0)
        self.register(state, 140, leaving=True)
        calls = tick(state, 9.5)
        self.assertEqual([c.message.count for c in calls if c.message.reclaimable], [5])

    def test_loss_while_others_start_is_noticed(self) -> None:
        """A loss is answered at once although the requested servers still start."""
        state = self.answer(DutyAccepted())
        self.replace_regular_servers(state)
        self.settle(state, 3.0)
        tick(state, 4.0)
        self.register(state, 140, leaving=True)
        calls = tick(state, 5.1)
        self.assertEqual([c.message.count for c in calls if c.message.reclaimable], [5])

    def test_regular_servers_are_requested_if_none_are_to_be_had(self) -> None:
        """Regular ones are requested after a rejected request for reclaimable ones."""
        state = self.answer(DutyAccepted())
        self.replace_regular_servers(state)
        self.settle(state, 3.0)
        self.register(state, 140, leaving=True)
        self.settle(state, 9.5, DutyRejected("none available"))
        calls = tick(state, 9.6)
        self.assertEqual(
            [c.message.count for c in calls if not c.message.reclaimable], [3]
        )

    def test_servers_that_still_start_are_not_requested_again(self) -> None:
        """A request is not repeated while its servers may still be starting."""
        state = self.answer(DutyAccepted())
        self.assertEqual(tick(state, 2.2 + BOUNDS.boot_seconds), [])

    def replace_regular_servers(self, state: DaemonState) -> None:
        """Register three reclaimable servers, and remove all regular ones but one."""
        self.register(state, 130, leaving=False)
        removed = tuple(
            VersionedRecord(
                ObjectKey("registered_server", f"s{n}"),
                Revision(number=134 + n),
                DELETED,
            )
            for n in range(2)
        )
        changes = Changes(Revision(number=136), removed)
        reduce(state, build_answer(FollowFeed(Feed.SERVERS), changes))

    def register(self, state: DaemonState, revision: int, leaving: bool) -> None:
        """Register three reclaimable servers, or announce that they leave."""
        server = BackendServer(
            address="10.0.0.8:80",
            failure_domain="a",
            service="llm",
            reclaimable=True,
            leaving=leaving,
        )
        servers = tuple(
            VersionedRecord(
                ObjectKey("registered_server", f"r{n}"),
                Revision(number=revision + n),
                server,
            )
            for n in range(3)
        )
        changes = Changes(Revision(number=revision + 3), servers)
        reduce(state, build_answer(FollowFeed(Feed.SERVERS), changes))

    def settle(
        self, state: DaemonState, at: float, answer: object = DutyAccepted()
    ) -> None:
        """Send what the policy requests at `at`, and answer it."""
        for call in tick(state, at):
            reduce(state, build_answer(call.purpose, answer, at=at))

    def test_rejected_scale_request_is_sent_again(self) -> None:
        """A rejected request is sent again after the retry interval."""
        state = self.answer(DutyRejected("none available"))
        self.assertEqual(tick(state, 3.0), [])
        self.assertEqual(len(tick(state, 4.5)), 2)

    def test_answer_for_a_dropped_service_is_recorded(self) -> None:
        """Guards against a process that ends on the answer for a service that is gone.

        A version dropped it while the request was open.
        """
        for answer in (DutyAccepted(), DutyRejected("none available")):
            with self.subTest(answer=answer):
                self.assertEqual(self.answer_after({}, answer), ["servers_ordered"] * 2)

    def test_answer_for_a_service_that_scales_nowhere_is_recorded(self) -> None:
        """Guards against a division by the number of domains, of which none are left.

        A version dropped the prices of all domains while the request was open.
        """
        services = {"llm": Service(scale=attrs.evolve(BOUNDS, prices={}))}
        logged = self.answer_after(services, DutyAccepted())
        self.assertEqual(logged, ["servers_ordered"] * 2)

    def answer_after(self, services: dict[str, Service], answer: object) -> list[str]:
        """Replace the services while requests are open; return what is logged then."""
        state = self.build()
        calls = tick(state, 2.1)
        revision = Revision(number=150)
        configuration = Configuration(version=2, services=services)
        key = ObjectKey("configuration", "main")
        change = VersionedRecord(key, revision, configuration)
        purpose = FollowFeed(Feed.CONFIGURATION)
        reduce(state, build_answer(purpose, Changes(revision, (change,))))
        effects = [
            effect
            for call in calls
            for effect in reduce(state, build_answer(call.purpose, answer, at=2.2))
        ]
        return [effect.event for effect in effects if isinstance(effect, WriteLog)]

    def test_fenced_holder_sends_no_more_scale_requests(self) -> None:
        """A fenced holder steps down, since another host has a higher term."""
        state = self.answer(DutyFenced())
        self.assertEqual(tick(state, 4.5), [])
