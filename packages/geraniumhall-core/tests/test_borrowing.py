"""Tests of borrowing and lending rate tokens between hosts."""

import unittest
from typing import Any

from builders import apply_feed_answer, build_arrival, build_state, find_effect, reduce

from geraniumhall_core.effects import RefuseRequest, RelayRequest, SendToPeers
from geraniumhall_core.events import CallerDisconnected, PeerMessageReceived, Ticked
from geraniumhall_core.hosts import HostRecord
from geraniumhall_core.loans import Loan, LoanRequest
from geraniumhall_core.platform import Changes, Feed
from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.revisions import Revision
from geraniumhall_core.state import DaemonState

ADDRESS = "10.0.0.2:7000"


def build_exhausted_state() -> DaemonState:
    """Return a state with an empty bucket and one peer that listens."""
    policy = {"peer_address": "10.0.0.1:7000"}
    state = build_state(rate=1.0, burst=10.0, policy=policy)
    record = HostRecord(
        failure_domain="b", incarnation=1, sequence=1, peer_address=ADDRESS
    )
    change = VersionedRecord(ObjectKey("host", "h2"), Revision(number=101), record)
    apply_feed_answer(state, Feed.RECORDS, Changes(Revision(number=101), (change,)))
    state.buckets["audit"].tokens = 0.0
    return state


def send_request(state: DaemonState, request_id: str = "r1") -> tuple[Any, ...]:
    """Deliver a request that has to wait for tokens; return the effects."""
    return reduce(state, build_arrival(request_id, at=1.0))


def deliver_loan(state: DaemonState, amount: float, **fields: Any) -> tuple[Any, ...]:
    """Deliver a loan of the peer; return the effects."""
    settings = {"host": "h2", "workspace": "audit", "number": 1, **fields}
    loan = Loan(amount=amount, **settings)
    return reduce(
        state, PeerMessageReceived(at=1.005, message=loan, draws=(0.25, 0.75))
    )


class BorrowTest(unittest.TestCase):
    """A request over the host's share waits for loans from peers."""

    def test_peers_are_asked(self) -> None:
        """Peers get a loan request, and the request is not refused meanwhile."""
        effects = send_request(build_exhausted_state())
        effect = find_effect(effects, SendToPeers)
        self.assertEqual(effect.addresses, (ADDRESS,))
        self.assertGreaterEqual(effect.message.amount, 1.0)
        self.assertFalse([e for e in effects if isinstance(e, RefuseRequest)])

    def test_borrowed_tokens_admit_the_request(self) -> None:
        """A sufficient loan admits the request to a server."""
        state = build_exhausted_state()
        send_request(state)
        find_effect(deliver_loan(state, 2.0), RelayRequest)

    def test_empty_loans_refuse_the_request(self) -> None:
        """The request is refused as soon as all peers have answered with nothing."""
        state = build_exhausted_state()
        send_request(state)
        refusal = find_effect(deliver_loan(state, 0.0), RefuseRequest).refusal
        self.assertEqual(refusal.code, "rate_exceeded")
        self.assertNotIn("r1", state.requests)

    def test_round_ends_without_answers(self) -> None:
        """Without answers the request is refused after the round's timeout."""
        state = build_exhausted_state()
        send_request(state)
        effects = reduce(state, Ticked(at=1.06, wall_time=1.06, draws=(0.0, 0.0)))
        find_effect(effects, RefuseRequest)

    def test_no_round_starts_within_the_backoff(self) -> None:
        """After a round without tokens, a request is refused without a new round."""
        state = build_exhausted_state()
        send_request(state)
        deliver_loan(state, 0.0)
        effects = reduce(state, build_arrival("r2", at=1.01))
        self.assertFalse([e for e in effects if isinstance(e, SendToPeers)])
        find_effect(effects, RefuseRequest)

    def test_repeated_loan_counts_once(self) -> None:
        """A duplicated datagram does not add its tokens twice."""
        state = build_exhausted_state()
        for name in ("r1", "r2", "r3"):
            send_request(state, name)
        deliver_loan(state, 1.0)
        tokens = state.buckets["audit"].tokens
        deliver_loan(state, 1.0)
        self.assertLessEqual(state.buckets["audit"].tokens, tokens)

    def test_loan_of_an_earlier_round_is_ignored(self) -> None:
        """A loan that arrives after its round has ended is ignored."""
        state = build_exhausted_state()
        send_request(state)
        deliver_loan(state, 0.0)
        self.assertEqual(deliver_loan(state, 5.0), ())

    def test_loan_after_the_end_of_its_round_counts(self) -> None:
        """The lender's bucket has paid for it, so it is not lost."""
        state = build_exhausted_state()
        send_request(state)
        reduce(state, Ticked(at=1.06, wall_time=1.06, draws=(0.0, 0.0)))
        before = state.buckets["audit"].tokens
        deliver_loan(state, 2.0)
        deliver_loan(state, 2.0)
        self.assertAlmostEqual(state.buckets["audit"].tokens, before + 2.0)

    def test_leaving_host_is_asked(self) -> None:
        """The others count its share until it has ended, so it lends it."""
        state = build_exhausted_state()
        record = HostRecord(
            failure_domain="b",
            incarnation=1,
            sequence=2,
            peer_address=ADDRESS,
            is_leaving=True,
        )
        change = VersionedRecord(ObjectKey("host", "h2"), Revision(number=102), record)
        apply_feed_answer(state, Feed.RECORDS, Changes(Revision(number=102), (change,)))
        effect = find_effect(send_request(state), SendToPeers)
        self.assertEqual(effect.addresses, (ADDRESS,))

    def test_disconnected_caller_leaves_the_round(self) -> None:
        """A request whose caller disconnected spends no borrowed tokens."""
        state = build_exhausted_state()
        send_request(state)
        reduce(state, CallerDisconnected(at=1.001, request_id="r1"))
        deliver_loan(state, 2.0)
        self.assertEqual(state.requests, {})
        self.assertGreaterEqual(state.buckets["audit"].tokens, 2.0)


class LendTest(unittest.TestCase):
    """A host lends part of its surplus."""

    def deliver_loan_request(self, tokens: float, amount: float) -> tuple[float, float]:
        """Ask a host with `tokens` for a loan; return the loan and what is left."""
        state = build_exhausted_state()
        state.buckets["audit"].tokens = tokens
        request = LoanRequest(
            host="h2", address=ADDRESS, workspace="audit", amount=amount, number=4
        )
        event = PeerMessageReceived(at=1.0, message=request, draws=(0.0, 0.0))
        effect = find_effect(reduce(state, event), SendToPeers)
        self.assertEqual((effect.addresses, effect.message.number), ((ADDRESS,), 4))
        return effect.message.amount, state.buckets["audit"].tokens

    def test_lent_tokens_leave_the_bucket(self) -> None:
        """Lent tokens are taken from the lender's bucket."""
        given, left = self.deliver_loan_request(tokens=6.0, amount=2.0)
        self.assertEqual((given, left), (2.0, 4.0))

    def test_at_most_half_is_lent(self) -> None:
        """A loan is at most half of the lender's tokens."""
        self.assertEqual(self.deliver_loan_request(tokens=4.0, amount=9.0), (2.0, 2.0))

    def test_host_with_stale_catalogue_lends_nothing(self) -> None:
        """Other hosts may have taken over the share of a disconnected host."""
        state = build_exhausted_state()
        state.buckets["audit"].tokens = 9.0
        request = LoanRequest(
            host="h2", address=ADDRESS, workspace="audit", amount=2.0, number=4
        )
        event = PeerMessageReceived(at=7.0, message=request, draws=(0.0, 0.0))
        effect = find_effect(reduce(state, event), SendToPeers)
        self.assertEqual(effect.message.amount, 0.0)

    def test_debt_is_not_lent(self) -> None:
        """A bucket without an overdraft lends nothing while it is below zero."""
        self.assertEqual(
            self.deliver_loan_request(tokens=-3.0, amount=9.0), (0.0, -3.0)
        )
