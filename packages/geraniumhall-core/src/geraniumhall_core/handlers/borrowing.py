"""Borrows rate-limit tokens from other hosts for requests that wait for them.

One round is under way for a workspace at a time. It asks the hosts that
should have most, by what they had left when last asked, and ends when the
waiting requests have their tokens or no host should have any.
"""

from collections.abc import Callable, Iterator

import attrs

from geraniumhall_core.effects import AnswerPeer, CallPeer
from geraniumhall_core.events import PeerAnswered, PeerCalled
from geraniumhall_core.handlers.attempts import refuse_accepted
from geraniumhall_core.handlers.membership import CALL_HANDLERS, PEER_ANSWER_HANDLERS
from geraniumhall_core.handlers.membership_view import is_live
from geraniumhall_core.handlers.progress import proceed_request
from geraniumhall_core.handlers.shares import find_share
from geraniumhall_core.limits import LOAN_SECONDS, BorrowRound, LenderLevel
from geraniumhall_core.peering import BorrowAnswer, BorrowRequest, PeerAnswer
from geraniumhall_core.reducer import Effect
from geraniumhall_core.refusals import RATE_EXCEEDED
from geraniumhall_core.registry import Registry
from geraniumhall_core.requests import Phase, RequestRecord
from geraniumhall_core.state import DaemonState

BORROW_FAN_OUT = 2
BORROW_TIMEOUT_SECONDS = 0.04
MAX_WAITING = 64
MIN_LOAN = 0.05
TOKENS_PER_REQUEST = 1.0


@attrs.frozen
class Lender:
    """A host that may lend, and the tokens that it should have."""

    host: str
    tokens: float


SharingPolicy = Callable[[DaemonState, str, float], list[Lender]]
SHARING_POLICIES: Registry[str, SharingPolicy] = Registry("sharing policy")


@SHARING_POLICIES.register("split")
def lend_nothing(state: DaemonState, workspace: str, now: float) -> list[Lender]:
    """Keep to the equal split; no host lends."""
    return []


@SHARING_POLICIES.register("borrow")
def list_lenders(state: DaemonState, workspace: str, now: float) -> list[Lender]:
    """Return the live hosts that should have tokens, the richest first."""
    record = state.catalogue.workspaces.get(workspace)
    known = state.membership.known
    lenders = [
        Lender(host, _estimate_level(state, workspace, host, now))
        for host in (record.hosts if record else ())
        if host in known and is_live(state, known[host], now)
    ]
    rich = [lender for lender in lenders if lender.tokens >= MIN_LOAN]
    return sorted(rich, key=lambda lender: -lender.tokens)


def may_borrow(state: DaemonState, workspace: str, now: float) -> bool:
    """Tell whether a request of the workspace may wait for a loan."""
    current = state.borrows.get(workspace)
    if current is not None:
        return len(current.waiting) < MAX_WAITING
    lenders = _find_lenders(state, workspace, now)
    total = sum(lender.tokens for lender in lenders)
    return total + state.buckets[workspace].tokens >= TOKENS_PER_REQUEST


def wait_for_loan(
    state: DaemonState, record: RequestRecord, now: float
) -> Iterator[Effect]:
    """Let a request wait, and ask lenders unless that is under way."""
    record.phase = Phase.BORROWING
    current = state.borrows.get(record.workspace)
    if current is not None:
        current.waiting.append(record.request.request_id)
        return
    started = BorrowRound(waiting=[record.request.request_id])
    state.borrows[record.workspace] = started
    yield from _ask_lenders(state, record.workspace, started, now)
    yield from _end_if_idle(state, record.workspace, started)


@CALL_HANDLERS.register(BorrowRequest)
def answer_borrow(
    state: DaemonState, event: PeerCalled, message: BorrowRequest
) -> Iterator[Effect]:
    """Give up tokens to another host, if there are any."""
    bucket = state.buckets.get(message.workspace)
    answer = BorrowAnswer(0.0, 0.0)
    if bucket is not None:
        amount = bucket.lend(message.amount, event.at)
        answer = BorrowAnswer(amount, bucket.tokens)
    yield AnswerPeer(call_id=event.call_id, answer=answer)


@PEER_ANSWER_HANDLERS.register(BorrowRequest)
def receive_loan(
    state: DaemonState, event: PeerAnswered, answer: PeerAnswer
) -> Iterator[Effect]:
    """Use a loan for the waiting requests; a late one is void."""
    message = event.message
    assert isinstance(message, BorrowRequest)
    left = answer.left if isinstance(answer, BorrowAnswer) else 0.0
    level = LenderLevel(left, event.at)
    state.lender_levels[(message.workspace, event.host)] = level
    current = state.borrows.get(message.workspace)
    if current is None:
        return
    current.outstanding -= 1
    is_late = event.at - event.asked_at >= LOAN_SECONDS
    if isinstance(answer, BorrowAnswer) and not is_late:
        current.pool += answer.amount
    if current.outstanding == 0:
        yield from _end_round(state, message.workspace, current, event)


def _end_round(
    state: DaemonState, workspace: str, current: BorrowRound, event: PeerAnswered
) -> Iterator[Effect]:
    yield from _spend_pool(state, workspace, current, event)
    if current.waiting:
        yield from _ask_lenders(state, workspace, current, event.at)
    yield from _end_if_idle(state, workspace, current)


def _end_if_idle(
    state: DaemonState, workspace: str, current: BorrowRound
) -> Iterator[Effect]:
    if current.outstanding == 0:
        del state.borrows[workspace]
        yield from _refuse_waiting(state, workspace, current)


def _spend_pool(
    state: DaemonState, workspace: str, current: BorrowRound, event: PeerAnswered
) -> Iterator[Effect]:
    bucket = state.buckets[workspace]
    waiting = [n for n in current.waiting if n in state.requests]
    current.waiting = []
    for index, request_id in enumerate(waiting):
        rest = bucket.spend_with_loan(TOKENS_PER_REQUEST, current.pool, event.at)
        if rest is None:
            current.waiting = waiting[index:]
            break
        current.pool = rest
        record = state.requests[request_id]
        yield from proceed_request(state, record, event.at, event.draws)
    bucket.keep(current.pool, event.at)
    current.pool = 0.0


def _ask_lenders(
    state: DaemonState, workspace: str, current: BorrowRound, now: float
) -> Iterator[Effect]:
    bucket = state.buckets[workspace]
    needed = len(current.waiting) * TOKENS_PER_REQUEST - bucket.tokens
    lenders = _find_lenders(state, workspace, now)
    total = sum(lender.tokens for lender in lenders)
    if total + bucket.tokens < TOKENS_PER_REQUEST:
        return
    for lender in lenders[:BORROW_FAN_OUT]:
        if needed <= 0:
            return
        current.outstanding += 1
        amount = max(needed, MIN_LOAN)
        yield CallPeer(
            host=lender.host,
            address=state.membership.known[lender.host].member.address,
            message=BorrowRequest(state.policy.host, workspace, amount),
            timeout=BORROW_TIMEOUT_SECONDS,
        )
        needed -= lender.tokens


def _find_lenders(state: DaemonState, workspace: str, now: float) -> list[Lender]:
    return SHARING_POLICIES.find(state.policy.sharing)(state, workspace, now)


def _estimate_level(state: DaemonState, workspace: str, host: str, now: float) -> float:
    share = find_share(state, workspace, host)
    level = state.lender_levels.get((workspace, host))
    return level.estimate(share, now) if level else share.burst


def _refuse_waiting(
    state: DaemonState, workspace: str, current: BorrowRound
) -> Iterator[Effect]:
    wait = state.buckets[workspace].seconds_until(TOKENS_PER_REQUEST)
    refusal = RATE_EXCEEDED if wait is None else RATE_EXCEEDED.retry_in(wait)
    for request_id in current.waiting:
        record = state.requests.get(request_id)
        if record is not None:
            yield from refuse_accepted(state, record, refusal)
