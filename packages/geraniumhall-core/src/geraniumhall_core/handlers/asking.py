"""Asks other hosts for a token of a server that names a limit."""

from geraniumhall_core.effects import SendToPeers
from geraniumhall_core.handlers.access import list_holders
from geraniumhall_core.requests import RequestRecord
from geraniumhall_core.restrictions import GrantRequest, GrantRound
from geraniumhall_core.state import DaemonState

ROUND_SECONDS = 0.05
HOSTS_PER_ROUND = 1  # a second token would lapse unused
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
    holders = {
        host: sources
        for host, sources in sorted(list_holders(state, record, now).items())
        if host in live and live[host].record.peer_address
    }
    if not holders:
        return None
    names = list(holders)
    start = int(draw * len(names))
    asked = (names + names)[start : start + min(HOSTS_PER_ROUND, len(names))]
    servers = dict.fromkeys(source for host in asked for source in holders[host])
    record.has_asked = True
    view.round_number += 1
    view.rounds[view.round_number] = GrantRound(
        request_id=record.request.request_id,
        service=record.service,
        ends_at=now + ROUND_SECONDS,
        awaited_hosts=set(asked),
    )
    message = GrantRequest(
        host=state.policy.host,
        address=state.policy.peer_address,
        servers=tuple(servers)[:MAX_SERVERS_PER_REQUEST],
        number=view.round_number,
    )
    addresses = tuple(live[host].record.peer_address for host in asked)
    return SendToPeers(addresses=addresses, message=message)
