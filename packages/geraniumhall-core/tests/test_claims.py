"""Tests of claims: a call that may not be repeated runs at most once."""

import unittest

from builders import (
    build_answer,
    build_arrival,
    build_end,
    build_state,
    find_effect,
    reduce,
)

from geraniumhall_core.claims import Claim, ClaimStatus
from geraniumhall_core.effects import CallPlatform, RefuseRequest, RelayRequest
from geraniumhall_core.events import CallerLeft
from geraniumhall_core.platform import (
    Conflict,
    DeleteObject,
    GetObject,
    ObjectFound,
    ObjectMissing,
    PlatformFailure,
    PutObject,
    Written,
)
from geraniumhall_core.records import VersionedRecord
from geraniumhall_core.requests import AttemptOutcome, PathTarget
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict

LOST = PlatformFailure("reply lost", Verdict.MAY_HAVE_RUN)
DOWN = PlatformFailure("down", Verdict.NOT_RUN)


class ClaimTest(unittest.TestCase):
    """The claim comes before the request, and only its owner may send."""

    def setUp(self) -> None:
        """Let a filing with an idempotency key arrive."""
        self.state: DaemonState = build_state()
        arrival = build_arrival(target=PathTarget("/filings"), idempotency_key="i-1")
        self.call = find_effect(reduce(self.state, arrival), CallPlatform)

    def find_stored(self, **changes: str) -> VersionedRecord:
        """Return the claim as it would be stored, with changes."""
        fields = {"host": "h1", "incarnation": 1, "request_id": "r1", **changes}
        return VersionedRecord(self.call.message.key, 7, Claim(**fields))

    def answer(self, answer: object) -> tuple:
        """Answer the claim and return the effects."""
        return reduce(self.state, build_answer(self.call.purpose, answer))

    def test_nothing_is_sent_before_the_claim(self) -> None:
        """The only effect of the arrival is the conditional creation."""
        self.assertEqual(self.call.message.if_version, 0)

    def test_created_claim_sends_the_request(self) -> None:
        """The creator of the claim sends."""
        find_effect(self.answer(Written(7)), RelayRequest)

    def test_claim_of_another_host_refuses(self) -> None:
        """A claim by another host means that the call may have run."""
        other = self.find_stored(host="h2")
        refusal = find_effect(self.answer(Conflict(other)), RefuseRequest).refusal
        self.assertIs(refusal.verdict, Verdict.MAY_HAVE_RUN)

    def test_lost_reply_is_read_back(self) -> None:
        """Without a reply nothing is assumed; the claim is read."""
        read = find_effect(self.answer(LOST), CallPlatform)
        self.assertEqual(read.message, GetObject(self.call.message.key))

    def test_own_claim_read_back_sends(self) -> None:
        """A claim read back that is one's own is a claim."""
        read = find_effect(self.answer(LOST), CallPlatform)
        found = ObjectFound(self.find_stored())
        effects = reduce(self.state, build_answer(read.purpose, found))
        find_effect(effects, RelayRequest)

    def test_missing_claim_read_back_refuses(self) -> None:
        """A write that may still land must not be followed by a send."""
        read = find_effect(self.answer(LOST), CallPlatform)
        effects = reduce(self.state, build_answer(read.purpose, ObjectMissing()))
        refusal = find_effect(effects, RefuseRequest).refusal
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)

    def test_platform_down_refuses_as_not_run(self) -> None:
        """Without a claim nothing runs."""
        refusal = find_effect(self.answer(DOWN), RefuseRequest).refusal
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)

    def test_answered_call_is_marked_done(self) -> None:
        """After the answer the claim says so."""
        relay = find_effect(self.answer(Written(7)), RelayRequest)
        end = build_end(relay, AttemptOutcome.COMPLETED, Verdict.RAN)
        settle = find_effect(reduce(self.state, end), CallPlatform)
        self.assertIs(settle.message.record.status, ClaimStatus.DONE)

    def test_call_that_did_not_run_is_released(self) -> None:
        """If no server was ever reached, the key may be used again."""
        first = find_effect(self.answer(Written(7)), RelayRequest)
        end = build_end(first, AttemptOutcome.CONNECT_FAILED, Verdict.NOT_RUN)
        second = find_effect(reduce(self.state, end), RelayRequest)
        end = build_end(second, AttemptOutcome.CONNECT_FAILED, Verdict.NOT_RUN)
        settle = find_effect(reduce(self.state, end), CallPlatform)
        self.assertEqual(settle.message, DeleteObject(self.call.message.key, 7))

    def test_call_that_may_have_run_stays_claimed(self) -> None:
        """A claim whose call may have run is never released."""
        relay = find_effect(self.answer(Written(7)), RelayRequest)
        effects = reduce(self.state, build_end(relay, AttemptOutcome.BROKEN))
        writes = [e for e in effects if isinstance(e, CallPlatform)]
        self.assertEqual(writes, [])

    def test_claim_of_a_caller_who_left_is_released(self) -> None:
        """A claim created after its caller left is given back."""
        reduce(self.state, CallerLeft(at=2.0, request_id="r1"))
        release = find_effect(self.answer(Written(7)), CallPlatform)
        self.assertEqual(release.message, DeleteObject(self.call.message.key, 7))

    def test_call_without_a_key_needs_no_claim(self) -> None:
        """Without an idempotency key there is one attempt and no claim."""
        arrival = build_arrival("r2", target=PathTarget("/filings"))
        effects = reduce(self.state, arrival)
        kinds = [type(effect) for effect in effects]
        self.assertEqual(kinds, [RelayRequest])

    def test_claim_is_conditional_on_absence(self) -> None:
        """The claim is a conditional write."""
        self.assertIsInstance(self.call.message, PutObject)
