"""What follows once a request has its tokens: a claim, or the queue."""

from collections.abc import Iterator

from geraniumhall_core.handlers.attempts import enqueue_request
from geraniumhall_core.handlers.claims import needs_claim, take_claim
from geraniumhall_core.reducer import Effect
from geraniumhall_core.requests import RequestRecord
from geraniumhall_core.state import DaemonState


def proceed_request(
    state: DaemonState, record: RequestRecord, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    """Claim a request that must not be repeated, or queue it at once."""
    if needs_claim(record):
        yield take_claim(state, record)
    else:
        yield from enqueue_request(state, record, now, draws)
