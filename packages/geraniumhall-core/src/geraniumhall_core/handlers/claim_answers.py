"""Answers of the platform to claims."""

from collections.abc import Iterator

from geraniumhall_core.claims import ClaimStatus
from geraniumhall_core.effects import CallPlatform
from geraniumhall_core.events import PlatformAnswered
from geraniumhall_core.handlers.attempts import enqueue_request, refuse_accepted
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.platform import (
    Conflict,
    DeleteObject,
    GetObject,
    ObjectFound,
    PlatformFailure,
    Written,
)
from geraniumhall_core.purposes import ConfirmClaim, SettleClaim, TakeClaim
from geraniumhall_core.records import VersionedRecord
from geraniumhall_core.reducer import Effect
from geraniumhall_core.refusals import ALREADY_CLAIMED, CLAIM_UNCONFIRMED
from geraniumhall_core.requests import RequestRecord
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict


@ANSWER_HANDLERS.register(TakeClaim)
def receive_claim(
    state: DaemonState, event: PlatformAnswered, purpose: TakeClaim
) -> Iterator[Effect]:
    """Send the request if its claim was created; read back if that is unknown."""
    record = state.requests.get(purpose.request_id)
    answer = event.answer
    if record is None:
        yield from _release_unused(answer, purpose)
    elif isinstance(answer, Written):
        yield from _proceed(state, record, answer.version, event)
    elif isinstance(answer, Conflict) and answer.current is not None:
        yield from _compare_claim(state, record, answer.current, event)
    elif isinstance(answer, PlatformFailure) and answer.verdict is not Verdict.NOT_RUN:
        confirm = ConfirmClaim(purpose.request_id, purpose.key)
        yield CallPlatform(purpose=confirm, message=GetObject(purpose.key))
    else:
        yield from refuse_accepted(state, record, CLAIM_UNCONFIRMED)


@ANSWER_HANDLERS.register(ConfirmClaim)
def confirm_claim(
    state: DaemonState, event: PlatformAnswered, purpose: ConfirmClaim
) -> Iterator[Effect]:
    """Send the request if the claim read back is its own."""
    record = state.requests.get(purpose.request_id)
    if record is None:
        return
    if isinstance(event.answer, ObjectFound):
        yield from _compare_claim(state, record, event.answer.object, event)
    else:
        yield from refuse_accepted(state, record, CLAIM_UNCONFIRMED)


@ANSWER_HANDLERS.register(SettleClaim)
def note_settled(
    state: DaemonState, event: PlatformAnswered, purpose: SettleClaim
) -> Iterator[Effect]:
    """Count settlements that failed; the claim then stays open, which is safe."""
    if isinstance(event.answer, PlatformFailure):
        state.counters["claims.unsettled"] += 1
    yield from ()


def _proceed(
    state: DaemonState, record: RequestRecord, version: int, event: PlatformAnswered
) -> Iterator[Effect]:
    record.claim_version = version
    yield from enqueue_request(state, record, event.at, event.draws)


def _compare_claim(
    state: DaemonState,
    record: RequestRecord,
    found: VersionedRecord,
    event: PlatformAnswered,
) -> Iterator[Effect]:
    assert record.claim is not None
    if found.record.is_by(record.claim):
        yield from _proceed(state, record, found.version, event)
        return
    refusal = ALREADY_CLAIMED
    if found.record.status is ClaimStatus.DONE:
        refusal = refusal.with_verdict(Verdict.RAN)
    yield from refuse_accepted(state, record, refusal)


def _release_unused(answer: object, purpose: TakeClaim) -> Iterator[Effect]:
    if isinstance(answer, Written):
        message = DeleteObject(purpose.key, answer.version)
        yield CallPlatform(purpose=SettleClaim(), message=message)
