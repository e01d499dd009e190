"""Seals usage windows and reports them, under the usage lease."""

from collections.abc import Iterator

import attrs

from geraniumhall_core.effects import CallPlatform, LogField, WriteLog
from geraniumhall_core.events import PlatformAnswered
from geraniumhall_core.handlers.leases import USAGE_LEASE, find_term
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.handlers.usage import name_part, name_seal
from geraniumhall_core.platform import (
    DeleteObject,
    Listing,
    ListObjects,
    Message,
    PutObject,
    ReportUsage,
    UsageAccepted,
    UsageConflict,
    Written,
)
from geraniumhall_core.purposes import (
    FinishSeal,
    ListUsage,
    Purpose,
    RemoveUsage,
    ReportSealed,
    SealUsage,
)
from geraniumhall_core.records import VersionedRecord
from geraniumhall_core.reducer import Effect
from geraniumhall_core.state import DaemonState
from geraniumhall_core.usage import (
    SealedPart,
    UsagePart,
    UsageSeal,
    add_parts,
    sum_by_workspace,
)

LISTING_INTERVAL_SECONDS = 5.0
MAX_REMOVALS = 16


def tend_sealing(state: DaemonState, now: float) -> Iterator[Effect]:
    """Look for windows to seal and seals to report, if in charge."""
    sealing = state.sealing
    if find_term(state, USAGE_LEASE, now) is None:
        sealing.seal = None
        return
    if sealing.is_calling or now < sealing.next_listing_at:
        return
    sealing.next_listing_at = now + LISTING_INTERVAL_SECONDS
    yield _call(state, ListUsage(), ListObjects(("usage_part", "usage_seal")))


@ANSWER_HANDLERS.register(ListUsage)
def plan_work(
    state: DaemonState, event: PlatformAnswered, purpose: ListUsage
) -> Iterator[Effect]:
    """Report the oldest seal that is not reported, or seal the next window."""
    state.sealing.is_calling = False
    answer = event.answer
    term = find_term(state, USAGE_LEASE, event.at)
    if term is None or not isinstance(answer, Listing):
        return
    seals = [item for item in answer.objects if isinstance(item.record, UsageSeal)]
    parts = [item for item in answer.objects if isinstance(item.record, UsagePart)]
    sealed = {item.record.window for item in seals}
    pending = [item for item in seals if not item.record.is_reported]
    if pending:
        yield from _start_report(state, pending[0])
        return
    window = _find_due_window(state, parts, sealed, event.wall_time)
    if window is not None:
        due = [item.record for item in parts if item.record.window == window]
        seal = _build_seal(window, term, due)
        message = PutObject(name_seal(window), seal, if_version=0)
        yield _call(state, SealUsage(seal), message)
        return
    yield from _remove_old(state, parts, seals, event.wall_time)


@ANSWER_HANDLERS.register(SealUsage)
def receive_sealed(
    state: DaemonState, event: PlatformAnswered, purpose: SealUsage
) -> Iterator[Effect]:
    """List again: only what is stored is reported, whatever the answer was."""
    state.sealing.is_calling = False
    state.sealing.next_listing_at = event.at
    if isinstance(event.answer, Written):
        fields = (
            LogField("window", purpose.seal.window),
            LogField("parts", len(purpose.seal.parts)),
        )
        yield WriteLog(level="info", event="usage_sealed", fields=fields)


@ANSWER_HANDLERS.register(ReportSealed)
def receive_reported(
    state: DaemonState, event: PlatformAnswered, purpose: ReportSealed
) -> Iterator[Effect]:
    """Report the next workspace; a failed report is repeated as it was."""
    sealing = state.sealing
    sealing.is_calling = False
    if sealing.seal is None or find_term(state, USAGE_LEASE, event.at) is None:
        return
    if isinstance(event.answer, UsageConflict):
        workspace = LogField("workspace", purpose.line.workspace)
        yield WriteLog(level="error", event="usage_conflict", fields=(workspace,))
    if isinstance(event.answer, UsageAccepted | UsageConflict):
        sealing.pending_reports.pop(0)
        yield from _report_next(state)


@ANSWER_HANDLERS.register(FinishSeal, RemoveUsage)
def note_done(
    state: DaemonState, event: PlatformAnswered, purpose: Purpose
) -> Iterator[Effect]:
    """Go on; what failed shows in the next listing."""
    state.sealing.is_calling = False
    yield from ()


def _start_report(state: DaemonState, item: VersionedRecord) -> Iterator[Effect]:
    sealing = state.sealing
    sealing.seal = item.record
    sealing.seal_version = item.version
    sealing.pending_reports = sum_by_workspace(item.record.lines)
    yield from _report_next(state)


def _report_next(state: DaemonState) -> Iterator[Effect]:
    sealing = state.sealing
    seal = sealing.seal
    assert seal is not None
    if not sealing.pending_reports:
        done = attrs.evolve(seal, is_reported=True)
        message = PutObject(name_seal(seal.window), done, sealing.seal_version)
        sealing.seal = None
        fields = (LogField("window", seal.window),)
        yield WriteLog(level="info", event="usage_reported", fields=fields)
        yield _call(state, FinishSeal(), message)
        return
    line = sealing.pending_reports[0]
    report = ReportUsage(
        line.workspace,
        seal.window,
        line.figures.prompt_tokens,
        line.figures.generated_tokens,
        line.figures.requests,
    )
    yield _call(state, ReportSealed(line), report)


def _find_due_window(
    state: DaemonState, parts: list[VersionedRecord], sealed: set[int], wall_time: float
) -> int | None:
    grace = state.policy.seal_grace
    oldest = state.usage.find_window(wall_time) - state.policy.seals_kept
    due = [
        item.record.window
        for item in parts
        if item.record.window not in sealed
        and item.record.window > oldest
        and state.usage.find_end(item.record.window) + grace <= wall_time
    ]
    return min(due, default=None)


def _build_seal(window: int, term: int, parts: list[UsagePart]) -> UsageSeal:
    return UsageSeal(
        window=window,
        term=term,
        parts=tuple(SealedPart(p.host, p.incarnation, p.sequence) for p in parts),
        lines=add_parts(parts),
    )


def _remove_old(
    state: DaemonState,
    parts: list[VersionedRecord],
    seals: list[VersionedRecord],
    wall_time: float,
) -> Iterator[Effect]:
    """Remove sealed parts, and seals that every process has settled with."""
    sealed = {item.record.window for item in seals}
    oldest = state.usage.find_window(wall_time) - state.policy.seals_kept
    keys = [
        (name_part(item.record), item.version)
        for item in parts
        if item.record.window in sealed
    ]
    keys += [
        (name_seal(item.record.window), item.version)
        for item in seals
        if item.record.window < oldest
    ]
    for key, version in keys[:MAX_REMOVALS]:
        yield _call(state, RemoveUsage(), DeleteObject(key, version))


def _call(state: DaemonState, purpose: Purpose, message: Message) -> CallPlatform:
    state.sealing.is_calling = True
    return CallPlatform(purpose=purpose, message=message)
