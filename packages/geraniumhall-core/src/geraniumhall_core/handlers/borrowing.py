"""Borrows rate-limit tokens from other hosts for requests that wait for them."""

from collections.abc import Iterator

from geraniumhall_core.effects import AnswerPeer, CallPeer
from geraniumhall_core.events import PeerAnswered, PeerCalled
from geraniumhall_core.handlers.attempts import refuse_accepted
from geraniumhall_core.handlers.membership import CALL_HANDLERS, PEER_ANSWER_HANDLERS
from geraniumhall_core.handlers.membership_view import is_live
from geraniumhall_core.handlers.progress import proceed_request
from geraniumhall_core.limits import LOAN_SECONDS, SHARING_POLICIES, BorrowRound
from geraniumhall_core.peering import BorrowAnswer, BorrowRequest, PeerAnswer
from geraniumhall_core.reducer import Effect
from geraniumhall_core.refusals import RATE_EXCEEDED
from geraniumhall_core.requests import Phase, RequestRecord
from geraniumhall_core.state import DaemonState

BORROW_FAN_OUT = 2
BORROW_TIMEOUT_SECONDS = 0.15
BORROW_PAUSE_SECONDS = 0.1
MAX_WAITING = 64
TOKENS_PER_REQUEST = 1.0


def may_borrow(state: DaemonState, workspace: str, now: float) -> bool:
    """Tell whether a request of the workspace may wait for a loan."""
    if now < state.borrow_after.get(workspace, float("-inf")):
        return False
    current = state.borrows.get(workspace)
    if current is not None:
        return len(current.waiting) < MAX_WAITING
    return bool(_list_lenders(state, workspace, set(), now))


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


@CALL_HANDLERS.register(BorrowRequest)
def answer_borrow(
    state: DaemonState, event: PeerCalled, message: BorrowRequest
) -> Iterator[Effect]:
    """Give up tokens to another host, if there are any."""
    bucket = state.buckets.get(message.workspace)
    amount = bucket.lend(message.amount, event.at) if bucket else 0.0
    yield AnswerPeer(call_id=event.call_id, answer=BorrowAnswer(amount))


@PEER_ANSWER_HANDLERS.register(BorrowRequest)
def receive_loan(
    state: DaemonState, event: PeerAnswered, answer: PeerAnswer
) -> Iterator[Effect]:
    """Use a loan for the waiting requests; a late one is void."""
    message = event.message
    assert isinstance(message, BorrowRequest)
    current = state.borrows.get(message.workspace)
    if current is None:
        return
    current.outstanding -= 1
    is_late = event.at - event.asked_at >= LOAN_SECONDS
    if isinstance(answer, BorrowAnswer) and not is_late:
        current.pool += answer.amount
    if current.outstanding > 0:
        return
    yield from _spend_pool(state, message.workspace, current, event)
    if not current.waiting:
        del state.borrows[message.workspace]
        return
    yield from _ask_lenders(state, message.workspace, current, event.at)
    if current.outstanding == 0:
        yield from _give_up(state, message.workspace, current, event.at)


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
    lenders = _list_lenders(state, workspace, current.asked, now)
    bucket = state.buckets[workspace]
    missing = max(0.0, len(current.waiting) * TOKENS_PER_REQUEST - bucket.tokens)
    state.turn += 1
    for offset in range(min(BORROW_FAN_OUT, len(lenders))):
        host = lenders[(state.turn + offset) % len(lenders)]
        current.asked.add(host)
        current.outstanding += 1
        yield CallPeer(
            host=host,
            address=state.membership.known[host].member.address,
            message=BorrowRequest(state.policy.host, workspace, missing),
            timeout=BORROW_TIMEOUT_SECONDS,
        )


@SHARING_POLICIES.register("split")
def lend_nothing(
    state: DaemonState, workspace: str, asked: set[str], now: float
) -> list[str]:
    """Keep to the equal split; no host lends."""
    return []


@SHARING_POLICIES.register("borrow")
def list_holders(
    state: DaemonState, workspace: str, asked: set[str], now: float
) -> list[str]:
    """Return the live hosts with a share that were not asked yet."""
    record = state.catalogue.workspaces.get(workspace)
    known = state.membership.known
    return [
        host
        for host in (record.hosts if record else ())
        if host in known and host not in asked and is_live(state, known[host], now)
    ]


def _list_lenders(
    state: DaemonState, workspace: str, asked: set[str], now: float
) -> list[str]:
    policy = SHARING_POLICIES.find(state.policy.sharing)
    return policy(state, workspace, asked, now)


def _give_up(
    state: DaemonState, workspace: str, current: BorrowRound, now: float
) -> Iterator[Effect]:
    del state.borrows[workspace]
    state.borrow_after[workspace] = now + BORROW_PAUSE_SECONDS
    wait = state.buckets[workspace].seconds_until(TOKENS_PER_REQUEST)
    refusal = RATE_EXCEEDED if wait is None else RATE_EXCEEDED.retry_in(wait)
    for request_id in current.waiting:
        record = state.requests.get(request_id)
        if record is not None:
            yield from refuse_accepted(state, record, refusal)
