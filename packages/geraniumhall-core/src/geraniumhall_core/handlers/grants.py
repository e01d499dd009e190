"""Grants tokens of limited servers to other hosts, and uses those of others."""

from collections.abc import Iterator

from geraniumhall_core.effects import SendToPeers
from geraniumhall_core.events import PeerMessageReceived
from geraniumhall_core.handlers.access import identify, is_open, take_request
from geraniumhall_core.handlers.asking import ask_next_host
from geraniumhall_core.handlers.attempts import resume_asking
from geraniumhall_core.handlers.peers import PEER_MESSAGE_HANDLERS
from geraniumhall_core.notices import Incarnation
from geraniumhall_core.reducer import Effect
from geraniumhall_core.requests import Phase
from geraniumhall_core.restrictions import Grant, GrantRequest
from geraniumhall_core.state import DaemonState

GRANT_SECONDS = 0.5  # for which a token may be used
BACKOFF_SECONDS = 0.2


@PEER_MESSAGE_HANDLERS.register(GrantRequest)
def handle_grant_request(
    state: DaemonState, event: PeerMessageReceived, message: GrantRequest
) -> Iterator[Effect]:
    """Give away a token of one of the servers, if this host has one."""
    granted = _take_any(state, message.servers, event.at)
    state.counters["grants.given" if granted else "grants.denied"] += 1
    answer = Grant(host=state.policy.host, source=granted, number=message.number)
    yield SendToPeers(addresses=(message.address,), message=answer)


@PEER_MESSAGE_HANDLERS.register(Grant)
def handle_grant(
    state: DaemonState, event: PeerMessageReceived, message: Grant
) -> Iterator[Effect]:
    """Keep a token for a short time, and start the request that has asked for it.

    If the host has none, the next one is asked. A second answer of a host is ignored.
    """
    view = state.restrictions
    grant_round = view.rounds.get(message.number)
    if grant_round is None or message.host != grant_round.asked_host:
        return
    grant_round.asked_host = ""
    asking = None
    if message.source is not None:
        state.counters["grants.received"] += 1
        view.open_server(message.source).grants.append(event.at + GRANT_SECONDS)
    else:
        asking = ask_next_host(state, message.number)
    if asking is not None:
        yield asking
        return
    has_token = message.source is not None
    yield from _end_round(state, message.number, has_token, event.at, event.draws)


def expire_grant_rounds(
    state: DaemonState, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    """End the rounds in which no token has come in time."""
    for number, grant_round in list(state.restrictions.rounds.items()):
        if now >= grant_round.ends_at:
            yield from _end_round(state, number, False, now, draws)


def _end_round(
    state: DaemonState,
    number: int,
    has_token: bool,
    now: float,
    draws: tuple[float, float],
) -> Iterator[Effect]:
    """Start the request, which is refused if still no server is open."""
    view = state.restrictions
    grant_round = view.rounds.pop(number)
    if not has_token:
        view.backoff_until[grant_round.service] = now + BACKOFF_SECONDS
    record = state.requests.get(grant_round.request_id)
    if record is not None and record.phase is Phase.ASKING:
        yield from resume_asking(state, record, now, draws)


def _take_any(
    state: DaemonState, sources: tuple[Incarnation, ...], now: float
) -> Incarnation | None:
    for source in sources:
        server = state.catalogue.servers.get(source.server)
        known = state.restrictions.servers.get(source)
        if server is None or known is None or known.rate is None:
            continue
        is_current = identify(source.server, server) == source
        if is_current and is_open(state, source.server, now):
            take_request(state, source.server, now)
            return source
    return None
