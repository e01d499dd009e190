"""Tells other hosts of the restrictions of backend servers.

What is new goes by datagrams to some hosts, each of which passes it on once. Besides,
each host that knows any sends them to a random one every second (anti-entropy: Demers
et al., 1987), for hosts that missed datagrams, and a host that has started asks some
others. None of this needs the store.
"""

from collections.abc import Iterator

from geraniumhall_core.effects import LogField, SendToPeers, WriteLog
from geraniumhall_core.events import PeerMessageReceived
from geraniumhall_core.handlers.access import identify
from geraniumhall_core.handlers.peers import PEER_MESSAGE_HANDLERS, list_peers
from geraniumhall_core.notices import Incarnation
from geraniumhall_core.reducer import Effect
from geraniumhall_core.restrictions import (
    LimitStatement,
    RestrictionReport,
    ServerRestrictions,
)
from geraniumhall_core.state import DaemonState

MIN_REPORT_INTERVAL_SECONDS = 0.05
EXCHANGE_SECONDS = 1.0
# Each host passes news on, so more would get each of them many times.
HOSTS_PER_REPORT = 6
HOSTS_ASKED_AT_START = 4
MAX_REPORTED_SERVERS = 128  # in one datagram


def adopt_limit(
    state: DaemonState,
    statement: LimitStatement,
    source: str,
    now: float,
    age: float = 0.0,
) -> Iterator[Effect]:
    """Adopt a statement if it is newer than what is known, and log the change.

    `source` is the host that told it, `age` seconds after an answer confirmed it.

    Whether there is a limit is passed on at once. Its value concerns the hosts with a
    share, which read it in their own answers; others learn it by an exchange.
    """
    view = state.restrictions
    known = view.open_server(statement.source)
    before = known.rate
    if not known.adopt(statement, source, now):
        return
    if (before is None) != (statement.rate is None):
        view.unreported[statement.source] = None
    if before != statement.rate:
        yield _log_change(state, known, before, age)


def adopt_leaving(
    state: DaemonState, source: Incarnation, told_by: str, now: float
) -> Iterator[Effect]:
    """Record that a server leaves, which holds for good, and pass it on."""
    view = state.restrictions
    known = view.open_server(source)
    if known.is_leaving:
        return
    known.left_at = now
    view.unreported[source] = None
    state.counters["notices.leaving"] += 1
    fields = (LogField("server", source.server), LogField("learned_from", told_by))
    yield WriteLog(level="info", event="server_leaving", fields=fields)


def report_restrictions(state: DaemonState, now: float) -> Iterator[Effect]:
    """Send what is new to other hosts, at most once in a short time."""
    view = state.restrictions
    if not view.unreported or now - view.reported_at < MIN_REPORT_INTERVAL_SECONDS:
        return
    view.reported_at = now
    sources = list(view.unreported)[:MAX_REPORTED_SERVERS]
    for source in sources:
        del view.unreported[source]
    peers = tuple(list_peers(state, now).values())[:HOSTS_PER_REPORT]
    if peers and state.policy.peer_address:
        report = RestrictionReport(
            host=state.policy.host,
            limits=view.build_limits(sources, now),
            leaving=view.list_leaving(sources),
        )
        yield SendToPeers(addresses=peers, message=report)


def exchange_restrictions(
    state: DaemonState, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    """Send all that is known to one random host.

    Of more than fit into a datagram, a random range is sent.
    """
    view = state.restrictions
    if now < view.next_exchange_at or not view.servers:
        return
    view.next_exchange_at = now + EXCHANGE_SECONDS
    _forget_restrictions(state, now)
    addresses = _choose_hosts(state, now, draws[1], 1)
    if addresses:
        report = _build_report(state, now, draws[0])
        yield SendToPeers(addresses=addresses, message=report)


def ask_for_restrictions(
    state: DaemonState, now: float, draw: float
) -> Iterator[Effect]:
    """Ask some hosts for what they know, once this host knows them."""
    addresses = _choose_hosts(state, now, draw, HOSTS_ASKED_AT_START)
    if addresses:
        report = _build_report(state, now, draw, state.policy.peer_address)
        yield SendToPeers(addresses=addresses, message=report)


@PEER_MESSAGE_HANDLERS.register(RestrictionReport)
def handle_restriction_report(
    state: DaemonState, event: PeerMessageReceived, message: RestrictionReport
) -> Iterator[Effect]:
    """Adopt what is newer in another host's report, and pass it on."""
    for source in message.leaving:
        yield from adopt_leaving(state, source, message.host, event.at)
    for reported in message.limits:
        statement = reported.statement
        age = reported.age
        yield from adopt_limit(state, statement, message.host, event.at, age)
        known = state.restrictions.servers[statement.source]
        if known.statement == statement:
            known.confirm(event.at - age)
    yield from report_restrictions(state, event.at)
    if message.address and state.restrictions.servers:
        answer = _build_report(state, event.at, event.draws[0])
        yield SendToPeers(addresses=(message.address,), message=answer)


def _choose_hosts(
    state: DaemonState, now: float, draw: float, count: int
) -> tuple[str, ...]:
    """Return the addresses of some random live hosts."""
    if not state.policy.peer_address:
        return ()
    live = state.list_live_hosts(now).values()
    addresses = sorted(host.record.peer_address for host in live)
    addresses = [address for address in addresses if address]
    start = int(draw * len(addresses))
    return tuple((addresses + addresses)[start : start + min(count, len(addresses))])


def _forget_restrictions(state: DaemonState, now: float) -> None:
    """Drop the restrictions of servers that are gone."""
    if state.restrictions.servers:
        servers = state.catalogue.servers.items()
        current = {identify(name, server) for name, server in servers}
        state.restrictions.forget(current, now)


def _build_report(
    state: DaemonState, now: float, draw: float, address: str = ""
) -> RestrictionReport:
    sources = list(state.restrictions.servers)
    if len(sources) > MAX_REPORTED_SERVERS:
        start = int(draw * len(sources))
        sources = (sources + sources)[start : start + MAX_REPORTED_SERVERS]
    return RestrictionReport(
        host=state.policy.host,
        limits=state.restrictions.build_limits(sources, now),
        leaving=state.restrictions.list_leaving(sources),
        address=address,
    )


def _log_change(
    state: DaemonState, known: ServerRestrictions, before: float | None, age: float
) -> WriteLog:
    """Log that a limit was learned, changed or has ended, with the host that saw it."""
    assert known.statement is not None
    event = "server_limit_changed"
    if before is None:
        event = "server_limit_learned"
    elif known.rate is None:
        event = "server_limit_ended"
    state.counters[f"limits.{event.removeprefix('server_limit_')}"] += 1
    return WriteLog(
        level="info",
        event=event,
        fields=(
            LogField("server", known.statement.source.server),
            LogField("limit", "none" if known.rate is None else known.rate),
            LogField("before", "none" if before is None else before),
            LogField("seen_by", known.statement.host),
            LogField("learned_from", known.learned_from),
            LogField("number", known.statement.number),
            LogField("age", round(age, 3)),
        ),
    )
