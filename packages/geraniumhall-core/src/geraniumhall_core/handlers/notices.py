"""Records what backend servers state of themselves in their answers."""

from collections.abc import Iterator

from geraniumhall_core.effects import LogField, WriteLog
from geraniumhall_core.notices import Incarnation, ReceivedNotice
from geraniumhall_core.reducer import Effect
from geraniumhall_core.state import DaemonState


def record_notice(
    state: DaemonState, received: ReceivedNotice | None, now: float
) -> Iterator[Effect]:
    """Record the notice of an answer, and log what it changes.

    A notice of an earlier process of the server is ignored.
    """
    if received is None:
        return
    source, notice = received.source, received.notice
    server = state.catalogue.servers.get(source.server)
    if server is None or server.started_at != source.started_at:
        return
    for reason in notice.invalid:
        yield from _report_invalid(state, source, reason)
    limit = notice.request_limit
    if limit is None and not notice.is_answer:
        return
    if state.request_limits.get(source) != limit:
        yield WriteLog(
            level="info",
            event="server_limit_stated",
            fields=(
                LogField("server", source.server),
                LogField("limit", "none" if limit is None else limit),
                LogField("sent_before", round(now - received.sent_at, 3)),
            ),
        )
    if limit is None:
        state.request_limits.pop(source, None)
    else:
        state.request_limits[source] = limit


def _report_invalid(
    state: DaemonState, source: Incarnation, reason: str
) -> Iterator[Effect]:
    """Count an invalid field, and log it once for each server."""
    state.counters["notices.invalid"] += 1
    if state.invalid_notices.get(source) != reason:
        state.invalid_notices[source] = reason
        fields = (LogField("server", source.server), LogField("reason", reason))
        yield WriteLog(level="warning", event="notice_invalid", fields=fields)
