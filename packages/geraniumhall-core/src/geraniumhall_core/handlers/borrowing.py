"""Borrows rate tokens from other hosts when this host's share is exhausted."""

from collections.abc import Iterator

from geraniumhall_core.effects import LogField, SendToPeers, WriteLog
from geraniumhall_core.events import PeerMessageReceived
from geraniumhall_core.handlers.attempts import enqueue_request, refuse_unpaid
from geraniumhall_core.handlers.limits import spend_tokens
from geraniumhall_core.handlers.peers import PEER_MESSAGE_HANDLERS, list_lenders
from geraniumhall_core.loans import LENDABLE_FRACTION, BorrowRound, Loan, LoanRequest
from geraniumhall_core.reducer import Effect
from geraniumhall_core.refusals import Refusal
from geraniumhall_core.requests import Phase, RequestRecord
from geraniumhall_core.state import DaemonState

ROUND_TIMEOUT_SECONDS = 0.05
BACKOFF_SECONDS = 0.2
LENDERS_NEEDED = 3
LENDERS_PER_ROUND = 8


def can_borrow(state: DaemonState, workspace: str, now: float) -> bool:
    """Return whether a request may wait for borrowed tokens.

    It may if there is a live peer, except during the backoff after a round
    without any tokens.
    """
    if now < state.borrowing.backoff_until.get(workspace, float("-inf")):
        return False
    return bool(list_lenders(state, now))


def start_borrowing(
    state: DaemonState, record: RequestRecord, now: float
) -> Iterator[Effect]:
    """Make a request wait for a loan, and start a round unless one is in progress.

    A round asks for the request's cost and for what refills half the burst. Each
    peer is asked for an equal part, such that `LENDERS_NEEDED` peers, or all if
    there are fewer, can lend the whole amount.
    """
    record.phase = Phase.BORROWING
    borrowing = state.borrowing
    request_id = record.request.request_id
    borrow_round = borrowing.rounds.get(record.workspace)
    if borrow_round is not None:
        borrow_round.waiting.append(request_id)
        return
    borrowing.number += 1
    peers = _choose_lenders(list_lenders(state, now), borrowing.number)
    borrow_round = BorrowRound(
        borrowing.number, now + ROUND_TIMEOUT_SECONDS, [request_id]
    )
    borrow_round.awaited_hosts = set(peers)
    borrowing.rounds[record.workspace] = borrow_round
    bucket = state.buckets[record.workspace]
    missing = record.cost + max(0.0, bucket.share.burst / 2 - bucket.tokens)
    lenders = min(LENDERS_NEEDED, len(peers))
    yield SendToPeers(
        addresses=tuple(peers.values()),
        message=LoanRequest(
            host=state.policy.host,
            address=state.policy.peer_address,
            workspace=record.workspace,
            amount=missing / lenders,
            number=borrow_round.number,
        ),
    )


def _choose_lenders(peers: dict[str, str], number: int) -> dict[str, str]:
    """Return the peers to ask, rotating through all of them from round to round."""
    names = list(peers)
    start = number * LENDERS_PER_ROUND % len(names)
    chosen = (names[start:] + names[:start])[:LENDERS_PER_ROUND]
    return {name: peers[name] for name in chosen}


def expire_rounds(
    state: DaemonState, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    """End the rounds that have timed out."""
    for workspace, borrow_round in list(state.borrowing.rounds.items()):
        if now >= borrow_round.ends_at:
            yield from _end_round(state, workspace, now, draws)


def cancel_borrowing(state: DaemonState, record: RequestRecord) -> None:
    """Remove a request from its workspace's round, if it waits there."""
    borrow_round = state.borrowing.rounds.get(record.workspace)
    if borrow_round is not None and record.request.request_id in borrow_round.waiting:
        borrow_round.waiting.remove(record.request.request_id)


@PEER_MESSAGE_HANDLERS.register(LoanRequest)
def handle_loan_request(
    state: DaemonState, event: PeerMessageReceived, message: LoanRequest
) -> Iterator[Effect]:
    """Lend part of the bucket's surplus; send an empty loan if there is none.

    A host with a stale catalogue lends nothing: the other hosts may count it
    as dead and may have taken over its share.
    """
    bucket = state.buckets.get(message.workspace)
    lent = 0.0
    is_fresh = state.compute_catalogue_age(event.at) <= state.policy.stale_after
    if bucket is not None and is_fresh:
        bucket.refill(event.at)
        surplus = (bucket.tokens + bucket.share.overdraft) * LENDABLE_FRACTION
        lent = max(0.0, min(message.amount, surplus))
        bucket.tokens -= lent
    loan = Loan(
        host=state.policy.host,
        workspace=message.workspace,
        amount=lent,
        number=message.number,
    )
    yield SendToPeers(addresses=(message.address,), message=loan)


@PEER_MESSAGE_HANDLERS.register(Loan)
def handle_loan(
    state: DaemonState, event: PeerMessageReceived, message: Loan
) -> Iterator[Effect]:
    """Add borrowed tokens to the bucket and admit waiting requests.

    Duplicate loans and loans of earlier rounds are ignored. One that comes after the
    end of the last round counts, since the lender's bucket has paid for it.
    """
    borrow_round = state.borrowing.find_round(message)
    if borrow_round is None:
        return
    borrow_round.awaited_hosts.remove(message.host)
    borrow_round.received += message.amount
    bucket = state.buckets.get(message.workspace)
    if bucket is not None:
        bucket.tokens += message.amount
    if borrow_round is not state.borrowing.rounds.get(message.workspace):
        return
    yield from _admit_waiting(state, message.workspace, event.at, event.draws)
    if not borrow_round.awaited_hosts or not borrow_round.waiting:
        yield from _end_round(state, message.workspace, event.at, event.draws)


def _admit_waiting(
    state: DaemonState, workspace: str, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    borrow_round = state.borrowing.rounds[workspace]
    while borrow_round.waiting:
        record = state.requests[borrow_round.waiting[0]]
        if spend_tokens(state, workspace, record.cost, now, is_new=False) is not None:
            return
        del borrow_round.waiting[0]
        yield from enqueue_request(state, record, now, draws)


def _end_round(
    state: DaemonState, workspace: str, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    """End a round: admit the requests that the bucket covers, refuse the others.

    After a round without any tokens no new one starts during the backoff.
    """
    yield from _admit_waiting(state, workspace, now, draws)
    borrow_round = state.borrowing.rounds.pop(workspace)
    state.borrowing.ended[workspace] = borrow_round
    if borrow_round.received <= 0:
        state.borrowing.backoff_until[workspace] = now + BACKOFF_SECONDS
    fields = (
        LogField("workspace", workspace),
        LogField("received", round(borrow_round.received, 1)),
        LogField("silent_hosts", len(borrow_round.awaited_hosts)),
        LogField("refused", len(borrow_round.waiting)),
    )
    yield WriteLog(level="info", event="tokens_borrowed", fields=fields)
    for request_id in borrow_round.waiting:
        record = state.requests[request_id]
        refusal = spend_tokens(state, workspace, record.cost, now, is_new=False)
        if isinstance(refusal, Refusal):
            yield from refuse_unpaid(state, record, refusal)
        else:
            yield from enqueue_request(state, record, now, draws)
