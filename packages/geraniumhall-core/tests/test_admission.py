"""Tests of admission: keys, targets, rates, deadlines and queue bounds."""

import unittest

import attrs
from builders import (
    NOW,
    build_answer,
    build_arrival,
    build_credential,
    build_state,
    find_effect,
    reduce,
)

from geraniumhall_core.catalogue import EntryLimits
from geraniumhall_core.effects import (
    CloseExchange,
    RefuseRequest,
    RelayRequest,
    WriteLog,
)
from geraniumhall_core.events import CallerDisconnected, RequestAbandoned, Ticked
from geraniumhall_core.platform import Changes, Feed
from geraniumhall_core.policy import Policy
from geraniumhall_core.purposes import FollowFeed
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.reducer import Effect
from geraniumhall_core.refusals import Refusal
from geraniumhall_core.requests import PathTarget
from geraniumhall_core.revisions import Revision
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict


def refuse(state: DaemonState, **fields: object) -> Refusal:
    """Return the refusal of an arriving request."""
    effects = reduce(state, build_arrival(**fields))
    return find_effect(effects, RefuseRequest).refusal


class KeyCheckTest(unittest.TestCase):
    """A request is admitted only with a key of a workspace that may use the entry."""

    def test_valid_key_is_admitted(self) -> None:
        """A request with a valid key is sent to a backend server."""
        effects = reduce(build_state(), build_arrival())
        self.assertIn(find_effect(effects, RelayRequest).server, ("e1", "e2"))

    def test_missing_key_is_refused(self) -> None:
        """A request without a key is refused."""
        self.assertEqual(refuse(build_state(), credential=None).code, "key_missing")

    def test_wrong_secret_is_refused(self) -> None:
        """A known key id with a wrong secret is refused."""
        wrong = build_credential(secret="x" * 40)
        self.assertEqual(refuse(build_state(), credential=wrong).code, "key_unknown")

    def test_unknown_id_is_refused(self) -> None:
        """An unknown key id is refused."""
        unknown = build_credential(key_id="k9")
        self.assertEqual(refuse(build_state(), credential=unknown).code, "key_unknown")

    def test_other_workspace_is_refused(self) -> None:
        """A key of a workspace without access to the entry is refused."""
        other = build_credential(key_id="k2")
        self.assertEqual(refuse(build_state(), credential=other).code, "not_permitted")

    def test_open_entry_needs_no_key(self) -> None:
        """An entry that is open to all admits a request without a key."""
        effects = reduce(build_state(), build_arrival(target="open", credential=None))
        find_effect(effects, RelayRequest)

    def test_withdrawn_key_is_refused(self) -> None:
        """A key is refused as soon as its deletion is applied."""
        state = build_state()
        gone = VersionedRecord(ObjectKey("key", "k1"), Revision(number=101), DELETED)
        purpose = FollowFeed(Feed.RECORDS)
        reduce(state, build_answer(purpose, Changes(Revision(number=101), (gone,))))
        self.assertEqual(refuse(state).code, "key_unknown")

    def test_stale_catalogue_refuses_keys(self) -> None:
        """A host with a stale catalogue refuses keys, as they may be revoked."""
        self.assertEqual(refuse(build_state(), at=6.1).code, "catalogue_stale")

    def test_stale_catalogue_serves_open_entries(self) -> None:
        """An open entry is served with a stale catalogue: it has no key to revoke."""
        arrival = build_arrival(at=6.1, target="open", credential=None)
        find_effect(reduce(build_state(), arrival), RelayRequest)

    def test_without_catalogue_no_target_is_unknown(self) -> None:
        """Before its first listing a host can't tell that a target is unknown."""
        state = DaemonState.from_policy(
            Policy(host="h1", failure_domain="a", incarnation=1)
        )
        self.assertEqual(refuse(state).code, "catalogue_stale")

    def test_fresh_catalogue_within_bound(self) -> None:
        """Keys are accepted up to the staleness bound of five seconds."""
        effects = reduce(build_state(), build_arrival(at=5.9))
        find_effect(effects, RelayRequest)

    def test_every_refusal_says_not_run(self) -> None:
        """Every refusal at admission has the verdict not run."""
        for fields in ({"credential": None}, {"target": "nope"}, {"at": 99.0}):
            with self.subTest(fields=fields):
                verdict = refuse(build_state(), **fields).verdict
                self.assertIs(verdict, Verdict.NOT_RUN)


class TargetTest(unittest.TestCase):
    """Requests are matched to an entry by model or path."""

    def test_unknown_model(self) -> None:
        """A request for an unknown model is refused."""
        self.assertEqual(refuse(build_state(), target="nope").code, "unknown_model")

    def test_unknown_path(self) -> None:
        """A path that only shares a text prefix with an entry is refused."""
        refusal = refuse(build_state(), target=PathTarget("/filingsx"))
        self.assertEqual(refusal.code, "unknown_route")

    def test_path_below_entry(self) -> None:
        """A path below an entry's path is matched to that entry."""
        target = PathTarget("/filings/2026/7")
        effects = reduce(build_state(), build_arrival(target=target))
        self.assertIn(find_effect(effects, RelayRequest).server, ("s1", "s2"))


class RateTest(unittest.TestCase):
    """A workspace is limited to this host's share of its rate and burst."""

    def test_refusal_over_rate_has_retry_after(self) -> None:
        """A refusal over the rate says after how many seconds to retry."""
        state = build_state(rate=0.5, burst=2.0)
        for name in ("r1", "r2"):
            reduce(state, build_arrival(name, at=1.0))
        self.assertAlmostEqual(refuse(state, at=2.0).retry_after, 1.0)

    def test_no_rate_is_no_limit(self) -> None:
        """A workspace without a rate is not limited."""
        state = build_state(rate=None, burst=0.0)
        for number in range(50):
            find_effect(reduce(state, build_arrival(f"r{number}")), RelayRequest)


class DeadlineTest(unittest.TestCase):
    """A request has its own timeout or its entry's, whichever is shorter."""

    def compute_timeout(self, timeout: float | None) -> float:
        """Return the timeout of an attempt in seconds, for an entry with 10 s."""
        state = build_state(limits=EntryLimits(deadline=10.0))
        return find_effect(
            reduce(state, build_arrival(timeout=timeout)), RelayRequest
        ).timeout

    def test_earlier_deadline_counts(self) -> None:
        """Neither timeout extends the other."""
        for asked, allowed in ((None, 10.0), (4.0, 4.0), (60.0, 10.0)):
            with self.subTest(asked=asked):
                self.assertEqual(self.compute_timeout(asked), allowed)


class AgeTest(unittest.TestCase):
    """A process that is behind admits requests some time after they were read."""

    def admit(self, age: float) -> tuple[Effect, ...]:
        """Return the effects of a request that may take 1 s."""
        arrival = attrs.evolve(build_arrival(timeout=1.0), age=age)
        return reduce(build_state(), arrival)

    def test_time_since_reading_counts(self) -> None:
        """A server gets only what is left of the caller's time."""
        relay = find_effect(self.admit(0.75), RelayRequest)
        self.assertAlmostEqual(relay.timeout, 0.25)

    # Guards against review/5, for requests that are read too late.
    def test_overdue_request_is_sent_nowhere(self) -> None:
        """It is refused as not run."""
        effects = self.admit(1.5)
        refusal = find_effect(effects, RefuseRequest).refusal
        self.assertEqual(refusal.code, "deadline_exceeded")
        self.assertEqual(refusal.verdict, Verdict.NOT_RUN)
        self.assertFalse([e for e in effects if isinstance(e, RelayRequest)])

    def test_request_whose_caller_left_takes_nothing(self) -> None:
        """It counts as abandoned and is logged with its age."""
        state = build_state()
        tokens = state.buckets["audit"].tokens
        request = build_arrival().request
        effects = reduce(state, RequestAbandoned(at=NOW, request=request, age=1.5))
        fields = {f.name: f.value for f in find_effect(effects, WriteLog).fields}
        self.assertEqual(fields["seconds"], 1.5)
        self.assertEqual(state.counters["requests.abandoned_unsent"], 1)
        self.assertEqual(state.buckets["audit"].tokens, tokens)


class QueueTest(unittest.TestCase):
    """Queues are bounded, and queued requests can expire or be abandoned."""

    def build_busy_state(self) -> DaemonState:
        """Return a state with one request running and one waiting."""
        state = build_state(limits=EntryLimits(max_running=1, max_queued=1, deadline=9))
        reduce(state, build_arrival("r1"))
        reduce(state, build_arrival("r2"))
        return state

    def test_full_queue_refuses(self) -> None:
        """A request that exceeds the queue's bound is refused."""
        state = self.build_busy_state()
        self.assertEqual(refuse(state, request_id="r3").code, "overloaded")

    def test_queue_of_zero_lets_no_request_wait(self) -> None:
        """With a bound of zero a request runs at once or is refused."""
        state = build_state(limits=EntryLimits(max_running=1, max_queued=0))
        find_effect(reduce(state, build_arrival("r1")), RelayRequest)
        self.assertEqual(refuse(state, request_id="r2").code, "overloaded")

    def test_queue_without_a_bound(self) -> None:
        """Without a bound every request may wait."""
        state = build_state(limits=EntryLimits(max_running=1, max_queued=None))
        for number in range(2000):
            reduce(state, build_arrival(f"r{number}"))
        self.assertEqual(state.get_queue("draft").waiting_count, 1999)

    def test_waiting_request_expires(self) -> None:
        """A queued request is refused at its deadline, as not run."""
        state = self.build_busy_state()
        effects = reduce(state, Ticked(at=11.5, wall_time=11.5, draws=(0.0, 0.0)))
        refusal = find_effect(effects, RefuseRequest).refusal
        self.assertEqual(
            (refusal.code, refusal.verdict), ("deadline_exceeded", Verdict.NOT_RUN)
        )

    def test_disconnected_caller_is_removed_from_the_queue(self) -> None:
        """A queued request is removed when its caller disconnects."""
        state = self.build_busy_state()
        effects = reduce(state, CallerDisconnected(at=3.0, request_id="r2"))
        find_effect(effects, CloseExchange)
        self.assertEqual(state.get_queue("draft").waiting_count, 0)
