"""Records what backend servers state of themselves in their answers."""

from collections.abc import Iterator

from geraniumhall_core.effects import LogField, WriteLog
from geraniumhall_core.handlers.restrictions import (
    adopt_leaving,
    adopt_limit,
    report_restrictions,
)
from geraniumhall_core.notices import Incarnation, ReceivedNotice
from geraniumhall_core.reducer import Effect
from geraniumhall_core.restrictions import LimitStatement
from geraniumhall_core.state import DaemonState


def record_notice(
    state: DaemonState, received: ReceivedNotice | None, now: float
) -> Iterator[Effect]:
    """Adopt what an answer says of its server, and tell other hosts what is new.

    A notice of an earlier process of the server is ignored. That of one that isn't
    listed counts: its entry may have lapsed while it runs, and come back.
    """
    if received is None:
        return
    source = received.source
    server = state.catalogue.servers.get(source.server)
    if server is not None and server.started_at != source.started_at:
        return
    for reason in received.notice.invalid:
        yield from _report_invalid(state, source, reason)
    if received.notice.is_leaving:
        yield from adopt_leaving(state, source, state.policy.host, now)
    yield from _record_closure(state, received, now)
    yield from _record_limit(state, received, now)
    yield from report_restrictions(state, now)


def _record_limit(
    state: DaemonState, received: ReceivedNotice, now: float
) -> Iterator[Effect]:
    """Adopt the limit of an answer, or its absence.

    An answer with an invalid limit, or one that is only a refusal without a limit,
    confirms and ends nothing.
    """
    source, notice = received.source, received.notice
    rate = notice.request_limit
    if rate is None and (notice.invalid or not notice.is_answer):
        return
    known = state.restrictions.servers.get(source)
    if known is None and rate is None:
        return
    known = known or state.restrictions.open_server(source)
    if known.equals(rate):
        known.confirm(now)
    elif known.is_contradicted(rate, received.sent_at):
        number = known.statement.number + 1 if known.statement else 1
        host = state.policy.host
        statement = LimitStatement(source=source, rate=rate, number=number, host=host)
        known.confirm(now)
        yield from adopt_limit(state, statement, host, now)


def _record_closure(
    state: DaemonState, received: ReceivedNotice, now: float
) -> Iterator[Effect]:
    """Close a server to this host for the time that it has asked for."""
    seconds = received.notice.retry_after
    if seconds is None:
        return
    seconds = min(seconds, state.policy.max_closed)
    known = state.restrictions.open_server(received.source)
    if now + seconds <= known.closed_until:
        return
    known.closed_until = now + seconds
    state.counters["notices.closed"] += 1
    fields = (
        LogField("server", received.source.server),
        LogField("seconds", round(seconds, 3)),
    )
    yield WriteLog(level="info", event="server_closed", fields=fields)


def _report_invalid(
    state: DaemonState, source: Incarnation, reason: str
) -> Iterator[Effect]:
    """Count an invalid field, and log it once for each server."""
    state.counters["notices.invalid"] += 1
    if state.restrictions.invalid.get(source) != reason:
        state.restrictions.invalid[source] = reason
        fields = (LogField("server", source.server), LogField("reason", reason))
        yield WriteLog(level="warning", event="notice_invalid", fields=fields)
