"""Log lines about parts of prompts: crashes, holds and releases with the evidence."""

from collections.abc import Iterator

from geraniumhall_core.effects import LogField, WriteLog
from geraniumhall_core.parts import CrashId, PartHold, PartState
from geraniumhall_core.quarantine import BrokenRequest
from geraniumhall_core.state import DaemonState


def log_crash(
    state: DaemonState, crash_id: CrashId, request: BrokenRequest
) -> WriteLog:
    """Log an engine that ended, with the suspected parts and their crashes."""
    suspects = (
        f"{part}:{state.quarantine.parts[part].count_crashes(set())}"
        for part in request.parts
        if part in state.quarantine.parts
    )
    return WriteLog(
        level="warning",
        event="crash_attributed",
        fields=(
            LogField("server", crash_id.server),
            LogField("incarnation", crash_id.incarnation),
            LogField("request", request.request_id),
            LogField("suspects", " ".join(suspects)),
        ),
    )


def log_dropped(state: DaemonState) -> Iterator[WriteLog]:
    """Log how many parts were dropped for others, if there were any."""
    dropped = state.quarantine.take_dropped()
    if dropped:
        state.counters["parts.dropped"] += dropped
        field = LogField("count", dropped)
        yield WriteLog(level="warning", event="parts_dropped", fields=(field,))


def log_hold(part: str, known: PartState, source: str, now: float) -> WriteLog:
    """Log a hold; `evidence_age` is in seconds since this host knew the first crash."""
    hold = known.hold
    assert hold is not None
    age = max(0.0, now - known.suspected_at)
    return WriteLog(
        level="warning",
        event="part_held",
        fields=(
            LogField("part", part),
            LogField("number", hold.number),
            LogField("seconds", hold.seconds or 0.0),
            LogField("reason", hold.source),
            LogField("trial_host", hold.trial_host),
            LogField("crashes", list_servers(known)),
            LogField("evidence_age", round(age, 3)),
            LogField("learned_from", source),
        ),
    )


def list_servers(known: PartState) -> str:
    """Return the engines that ended under a part, separated by spaces."""
    return " ".join(crash_id.server for crash_id in known.crashes)


def log_release(part: str, hold: PartHold | None, source: str) -> WriteLog:
    """Log that a part's hold has ended, or that its evidence was refuted."""
    return WriteLog(
        level="info",
        event="part_released" if hold else "part_cleared",
        fields=(
            LogField("part", part),
            LogField("number", hold.number if hold else 0),
            LogField("learned_from", source),
        ),
    )
