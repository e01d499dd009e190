"""Borrows rate tokens from other hosts when this host's share is used up."""

from collections.abc import Iterator

from geraniumhall_core.effects import LogField, SendToPeers, WriteLog
from geraniumhall_core.events import PeerMessageReceived
from geraniumhall_core.handlers.attempts import enqueue_request, refuse_accepted
from geraniumhall_core.handlers.limits import spend_tokens
from geraniumhall_core.handlers.peers import PEER_MESSAGE_HANDLERS, list_peers
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
    """Tell whether there is anyone to ask, and a chance that it helps."""
    if now < state.borrowing.backoff_until.get(workspace, float("-inf")):
        return False
    return bool(list_peers(state, now))


def start_borrowing(
    state: DaemonState, record: RequestRecord, now: float
) -> Iterator[Effect]:
    """Let a request wait for tokens, and ask for them unless that was done."""
    record.phase = Phase.BORROWING
    borrowing = state.borrowing
    request_id = record.request.request_id
    current = borrowing.rounds.get(record.workspace)
    if current is not None:
        current.waiting.append(request_id)
        return
    borrowing.number += 1
    peers = _choose_lenders(list_peers(state, now), borrowing.number)
    current = BorrowRound(borrowing.number, now + ROUND_TIMEOUT_SECONDS, [request_id])
    current.awaited_hosts = set(peers)
    borrowing.rounds[record.workspace] = current
    bucket = state.buckets[record.workspace]
    missing = record.cost + max(0.0, bucket.share.burst / 2 - bucket.tokens)
    parts = min(LENDERS_NEEDED, len(peers))
    yield SendToPeers(
        addresses=tuple(peers.values()),
        message=LoanRequest(
            host=state.policy.host,
            address=state.policy.peer_address,
            workspace=record.workspace,
            amount=missing / parts,
            number=current.number,
        ),
    )


def _choose_lenders(peers: dict[str, str], number: int) -> dict[str, str]:
    """Return some of the peers, others in each round."""
    names = list(peers)
    start = number * LENDERS_PER_ROUND % len(names)
    chosen = (names[start:] + names[:start])[:LENDERS_PER_ROUND]
    return {name: peers[name] for name in chosen}


def expire_rounds(
    state: DaemonState, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    """End the rounds whose time is over."""
    for workspace, current in list(state.borrowing.rounds.items()):
        if now >= current.ends_at:
            yield from _end_round(state, workspace, now, draws)


def cancel_borrowing(state: DaemonState, record: RequestRecord) -> None:
    """Drop a request that does not wait for tokens any more."""
    current = state.borrowing.rounds.get(record.workspace)
    if current is not None and record.request.request_id in current.waiting:
        current.waiting.remove(record.request.request_id)


@PEER_MESSAGE_HANDLERS.register(LoanRequest)
def handle_loan_request(
    state: DaemonState, event: PeerMessageReceived, message: LoanRequest
) -> Iterator[Effect]:
    """Give up a part of what is left over here, and say so if it is nothing.

    A host that is cut off from the store lends nothing: the others may have
    taken over its share.
    """
    bucket = state.buckets.get(message.workspace)
    given = 0.0
    is_fresh = state.compute_catalogue_age(event.at) <= state.policy.stale_after
    if bucket is not None and is_fresh:
        bucket.refill(event.at)
        surplus = (bucket.tokens + bucket.share.overdraft) * LENDABLE_FRACTION
        given = max(0.0, min(message.amount, surplus))
        bucket.tokens -= given
    loan = Loan(
        host=state.policy.host,
        workspace=message.workspace,
        amount=given,
        number=message.number,
    )
    yield SendToPeers(addresses=(message.address,), message=loan)


@PEER_MESSAGE_HANDLERS.register(Loan)
def handle_loan(
    state: DaemonState, event: PeerMessageReceived, message: Loan
) -> Iterator[Effect]:
    """Use borrowed tokens for the requests that wait for them.

    A loan that comes twice or after its round counts as lost.
    """
    current = state.borrowing.rounds.get(message.workspace)
    if current is None or current.number != message.number:
        return
    if message.host not in current.awaited_hosts:
        return
    current.awaited_hosts.remove(message.host)
    current.received += message.amount
    bucket = state.buckets.get(message.workspace)
    if bucket is not None:
        bucket.tokens += message.amount
    yield from _admit_waiting(state, message.workspace, event.at, event.draws)
    if not current.awaited_hosts or not current.waiting:
        yield from _end_round(state, message.workspace, event.at, event.draws)


def _admit_waiting(
    state: DaemonState, workspace: str, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    current = state.borrowing.rounds[workspace]
    while current.waiting:
        record = state.requests[current.waiting[0]]
        if spend_tokens(state, workspace, record.cost, now, is_new=False) is not None:
            return
        del current.waiting[0]
        yield from enqueue_request(state, record, now, draws)


def _end_round(
    state: DaemonState, workspace: str, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    """Refuse what still waits; ask nobody for a while if all had nothing."""
    yield from _admit_waiting(state, workspace, now, draws)
    current = state.borrowing.rounds.pop(workspace)
    if current.received <= 0:
        state.borrowing.backoff_until[workspace] = now + BACKOFF_SECONDS
    fields = (
        LogField("workspace", workspace),
        LogField("received", round(current.received, 1)),
        LogField("silent_hosts", len(current.awaited_hosts)),
        LogField("refused", len(current.waiting)),
    )
    yield WriteLog(level="info", event="tokens_borrowed", fields=fields)
    for request_id in current.waiting:
        record = state.requests[request_id]
        refusal = spend_tokens(state, workspace, record.cost, now, is_new=False)
        if isinstance(refusal, Refusal):
            record.cost = 0.0
            yield from refuse_accepted(state, record, refusal)
        else:
            yield from enqueue_request(state, record, now, draws)
