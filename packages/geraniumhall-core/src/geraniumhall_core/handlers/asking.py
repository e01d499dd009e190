"""Asks other hosts for a token of a server that names a limit."""

from geraniumhall_core.effects import SendToPeers
from geraniumhall_core.handlers.access import list_holders
from geraniumhall_core.requests import RequestRecord
from geraniumhall_core.restrictions import GrantRequest, GrantRound
from geraniumhall_core.state import DaemonState

ROUND_SECONDS = 0.05
# They are asked in turn, since a second token for one request would lapse.
MAX_HOSTS_PER_ROUND = 3
MAX_SERVERS_PER_REQUEST = 16


def ask_for_token(
    state: DaemonState, record: RequestRecord, now: float, draw: float
) -> SendToPeers | None:
    """Return the message that asks for a token, or None if there is nobody to ask.

    A request asks once. After a round without a token, none is started for the service
    during a backoff.
    """
    view = state.restrictions
    backoff_until = view.backoff_until.get(record.service, float("-inf"))
    if record.has_asked or not state.policy.peer_address or now < backoff_until:
        return None
    live = state.list_live_hosts(now)
    holders = [
        (host, tuple(sources[:MAX_SERVERS_PER_REQUEST]))
        for host, sources in sorted(list_holders(state, record, now).items())
        if host in live and live[host].record.peer_address
    ]
    if not holders:
        return None
    start = int(draw * len(holders))
    count = min(MAX_HOSTS_PER_ROUND, len(holders))
    record.has_asked = True
    view.round_number += 1
    view.rounds[view.round_number] = GrantRound(
        request_id=record.request.request_id,
        service=record.service,
        ends_at=now + ROUND_SECONDS,
        others=(holders + holders)[start : start + count],
    )
    return ask_next_host(state, view.round_number)


def ask_next_host(state: DaemonState, number: int) -> SendToPeers | None:
    """Return the message to the next host of a round, None if all were asked."""
    grant_round = state.restrictions.rounds[number]
    while grant_round.others:
        host, servers = grant_round.others.pop(0)
        known = state.hosts.known.get(host)
        if known is not None and known.record.peer_address:
            grant_round.asked_host = host
            message = GrantRequest(
                host=state.policy.host,
                address=state.policy.peer_address,
                servers=servers,
                number=number,
            )
            return SendToPeers(addresses=(known.record.peer_address,), message=message)
    return None
