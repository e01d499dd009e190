"""Seals and reports usage windows, under the control lease."""

from collections.abc import Iterator

import attrs

from geraniumhall_core.effects import CallPlatform, LogField, WriteLog
from geraniumhall_core.events import PlatformAnswered
from geraniumhall_core.handlers.eras import ERA_HANDLERS
from geraniumhall_core.handlers.leases import (
    compute_authority_end,
    find_duty_term,
    find_held_term,
    step_down,
)
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.platform import (
    DutyAccepted,
    DutyFenced,
    DutyRejected,
    GetObject,
    ObjectFound,
    ObjectMissing,
    PlatformMessage,
    PutObject,
    ReportUsage,
    Written,
)
from geraniumhall_core.purposes import (
    SEALS_KEY,
    Purpose,
    ReadSeals,
    ReportWindow,
    SealWindow,
)
from geraniumhall_core.reducer import Effect
from geraniumhall_core.state import DaemonState, SealingState
from geraniumhall_core.usage import WINDOWS_KEPT, UsageSeals, WindowUsage, sum_windows

RETRY_SECONDS = 0.5
MAX_SEAL_DELAY_FACTOR = 3.0


def advance_usage_sealing(
    state: DaemonState, now: float, wall_time: float
) -> Iterator[Effect]:
    """Take the next step: read the seals, report a window or seal the next one.

    The newest seal is reported first. Older ones, which an earlier lease
    holder may not have reported, are reported while no window is due.
    """
    sealing = state.sealing
    if find_held_term(state, now) is None:
        state.sealing = SealingState(is_calling=sealing.is_calling)
        return
    if sealing.is_calling or now < sealing.next_call_at:
        return
    term = find_duty_term(state, now)
    if term is None or not state.policy.has_duties:
        return
    if sealing.seals is None:
        yield _start_call(sealing, ReadSeals(), GetObject(SEALS_KEY))
        return
    unreported = _find_unreported(sealing)
    due = _find_due_window(state, wall_time)
    is_newest = bool(unreported) and unreported[0] is sealing.seals.windows[-1]
    if unreported and (is_newest or due is None):
        yield _report_window(state, unreported[0], term)
    elif due is not None:
        sealed = _sum_usage(state, due)
        seals = sealing.seals.add(sealed, state.era.number)
        put = PutObject(SEALS_KEY, seals, sealing.version)
        yield _start_call(sealing, SealWindow(sealed), put)


@ERA_HANDLERS.register("usage seals")
def forget_seals(state: DaemonState, event: PlatformAnswered) -> Iterator[Effect]:
    """Read the seals again in the new era."""
    state.sealing.seals = None
    yield from ()


@ANSWER_HANDLERS.register(ReadSeals)
def handle_seals_read(
    state: DaemonState, event: PlatformAnswered, purpose: ReadSeals
) -> Iterator[Effect]:
    """Store the seals that were read.

    All of them are reported again, because an earlier lease holder may have
    sealed a window without reporting it.
    """
    sealing = state.sealing
    sealing.is_calling = False
    if isinstance(event.answer, ObjectFound):
        sealing.version = event.answer.object.version
        yield from _adopt_seals(state, event.answer.object.record)
    elif isinstance(event.answer, ObjectMissing):
        sealing.version = state.era.absent_version
        yield from _adopt_seals(state, UsageSeals())
    else:
        sealing.next_call_at = event.at + RETRY_SECONDS


def _adopt_seals(state: DaemonState, stored: UsageSeals) -> Iterator[Effect]:
    """Adopt the store's seals; seals of an earlier era may lack the latest ones.

    Those that this host has read are added. Any other window that was due when this
    host learned of the era may have been sealed and reported: it is not sealed again.
    """
    sealing, era = state.sealing, state.era
    sealing.seals, sealing.last_doubtful = stored, -1
    if stored.era == era.number:
        return
    sealing.seals = stored.merge(state.usage.seals)
    learned_at = era.began_wall_time + state.policy.lease_margin
    sealing.last_doubtful = _find_latest_due(state, learned_at)
    last = sealing.seals.last_window
    fields = (
        LogField("era", era.number),
        LogField("restored", len(sealing.seals.windows) - len(stored.windows)),
        LogField("last_known", -1 if last is None else last),
        LogField("last_doubtful", sealing.last_doubtful),
    )
    yield WriteLog(level="info", event="usage_seals_restored", fields=fields)


@ANSWER_HANDLERS.register(SealWindow)
def handle_window_sealed(
    state: DaemonState, event: PlatformAnswered, purpose: SealWindow
) -> Iterator[Effect]:
    """Store a new seal; unless the write succeeded, read the seals again."""
    sealing = state.sealing
    sealing.is_calling = False
    if not isinstance(event.answer, Written) or sealing.seals is None:
        sealing.seals = None
        sealing.next_call_at = event.at + RETRY_SECONDS
        return
    sealing.seals = sealing.seals.add(purpose.window, state.era.number)
    sealing.version = event.answer.version
    fields = (
        *_build_window_fields(purpose.window),
        LogField("hosts", state.live_hosts),
    )
    yield WriteLog(level="info", event="usage_sealed", fields=fields)


@ANSWER_HANDLERS.register(ReportWindow)
def handle_window_reported(
    state: DaemonState, event: PlatformAnswered, purpose: ReportWindow
) -> Iterator[Effect]:
    """Record an accepted report; any other is sent again unchanged.

    A fenced report makes this host step down.
    """
    sealing = state.sealing
    sealing.is_calling = False
    described = _build_window_fields(purpose.window)
    if isinstance(event.answer, DutyAccepted):
        sealing.reported.add(purpose.window.window)
        yield WriteLog(level="info", event="usage_reported", fields=described)
        return
    sealing.next_call_at = event.at + RETRY_SECONDS
    if isinstance(event.answer, DutyFenced):
        yield from step_down(state, event.at)
    elif isinstance(event.answer, DutyRejected):
        fields = (*described, LogField("reason", event.answer.reason))
        yield WriteLog(level="warning", event="usage_report_refused", fields=fields)


def _build_window_fields(window: WindowUsage) -> tuple[LogField, LogField]:
    requests = sum(line.figures.requests for line in window.lines)
    return LogField("window", window.window), LogField("requests", requests)


def _find_unreported(sealing: SealingState) -> list[WindowUsage]:
    """Return the sealed windows not reported by this process, newest first."""
    assert sealing.seals is not None
    windows = reversed(sealing.seals.windows)
    return [window for window in windows if window.window not in sealing.reported]


def _report_window(state: DaemonState, window: WindowUsage, term: int) -> CallPlatform:
    message = ReportUsage(
        host=state.policy.host,
        fencing_token=term,
        window=window.window,
        lines=window.lines,
    )
    call = _start_call(state.sealing, ReportWindow(window), message)
    return attrs.evolve(call, expires_at=compute_authority_end(state))


def _find_due_window(state: DaemonState, wall_time: float) -> int | None:
    """Return the next window to seal, or None if none is due.

    The first window ever sealed is the latest one that is due. After a long gap,
    windows that are too old for hosts to keep their counts are skipped. A window
    is due once its grace period is over and every known host has published after
    its end, or after `MAX_SEAL_DELAY_FACTOR` times the grace period at the latest.
    """
    usage, sealing = state.usage, state.sealing
    assert sealing.seals is not None
    grace = state.policy.seal_grace
    latest = _find_latest_due(state, wall_time)
    last = sealing.seals.last_window
    first = latest if last is None else max(last + 1, latest - WINDOWS_KEPT + 2)
    first = max(first, sealing.last_doubtful + 1)
    if first > latest:
        return None
    end = usage.compute_window_end(first)
    is_late = wall_time >= end + grace * MAX_SEAL_DELAY_FACTOR
    return first if is_late or _have_hosts_published(state, end) else None


def _find_latest_due(state: DaemonState, wall_time: float) -> int:
    """Return the latest window whose grace is over at `wall_time`."""
    return state.usage.compute_window(wall_time - state.policy.seal_grace) - 1


def _have_hosts_published(state: DaemonState, moment: float) -> bool:
    """Return whether all known hosts have published since `moment`.

    `moment` is in seconds since the epoch. Leaving hosts count as published.
    """
    known = state.hosts.known.values()
    return all(
        host.record.published_at >= moment or host.record.is_leaving for host in known
    )


def _sum_usage(state: DaemonState, window: int) -> WindowUsage:
    parts = [part for host in state.hosts.known.values() for part in host.record.usage]
    return sum_windows([*parts, *state.usage.list_windows()], window)


def _start_call(
    sealing: SealingState, purpose: Purpose, message: PlatformMessage
) -> CallPlatform:
    sealing.is_calling = True
    return CallPlatform(purpose=purpose, message=message)
