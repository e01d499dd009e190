"""Writes this process's counts to the platform and settles them with seals."""

from collections.abc import Iterator

from geraniumhall_core.effects import CallPlatform
from geraniumhall_core.events import PlatformAnswered
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.platform import (
    Conflict,
    GetObject,
    ObjectFound,
    PlatformFailure,
    PutObject,
    Written,
)
from geraniumhall_core.purposes import FlushUsage, SettleUsage
from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.reducer import Effect
from geraniumhall_core.state import DaemonState
from geraniumhall_core.usage import OpenWindow, UsagePart, list_lines

SETTLE_INTERVAL_SECONDS = 5.0


def flush_usage(state: DaemonState, now: float, wall_time: float) -> Iterator[Effect]:
    """Write the counts that changed since they were last written.

    With an infinite wall time everything is written at once.
    """
    _carry_over_old(state, wall_time)
    for number, opened in state.usage.windows.items():
        is_due = now >= opened.next_call_at or wall_time == float("inf")
        if opened.is_calling or opened.is_written or not is_due:
            continue
        opened.is_calling = True
        opened.next_call_at = now + state.policy.flush_interval
        yield _write_part(state, number, opened)


def _carry_over_old(state: DaemonState, wall_time: float) -> None:
    """Move counts of windows whose seals may be gone to the current window.

    Only windows of which no part was ever sent are moved; of the others the
    seal, if it is still there, tells what it took in.
    """
    if wall_time == float("inf"):
        return
    usage = state.usage
    oldest = usage.find_window(wall_time) - state.policy.seals_kept // 2
    unsent = [n for n, w in usage.windows.items() if n < oldest and not w.written]
    for number in unsent:
        for key, figures in usage.windows.pop(number).table.items():
            usage.add(wall_time, key, figures)


def settle_usage(state: DaemonState, now: float, wall_time: float) -> Iterator[Effect]:
    """Read the seals of windows that ended a while ago."""
    for number, opened in state.usage.windows.items():
        settles_at = state.usage.find_end(number) + state.policy.settle_grace
        if opened.is_calling or wall_time < settles_at or now < opened.next_call_at:
            continue
        opened.is_calling = True
        opened.next_call_at = now + SETTLE_INTERVAL_SECONDS
        yield CallPlatform(
            purpose=SettleUsage(number), message=GetObject(name_seal(number))
        )


def name_seal(window: int) -> ObjectKey:
    """Return the key of a window's seal."""
    return ObjectKey("usage_seal", str(window))


def name_part(part: UsagePart) -> ObjectKey:
    """Return the key of a process's part of a window."""
    name = f"{part.window}.{part.host}.{part.incarnation}"
    return ObjectKey("usage_part", name)


@ANSWER_HANDLERS.register(FlushUsage)
def receive_flushed(
    state: DaemonState, event: PlatformAnswered, purpose: FlushUsage
) -> Iterator[Effect]:
    """Note the part's version; what failed is written again later."""
    opened = state.usage.windows.get(purpose.window)
    if opened is None:
        return
    opened.is_calling = False
    answer = event.answer
    if isinstance(answer, Written):
        opened.version = answer.version
        opened.confirmed = purpose.sequence
    elif isinstance(answer, Conflict):
        yield from _resolve_conflict(state, purpose.window, opened, answer.current)
    elif isinstance(answer, PlatformFailure):
        state.counters["usage.flush_failures"] += 1


@ANSWER_HANDLERS.register(SettleUsage)
def receive_seal(
    state: DaemonState, event: PlatformAnswered, purpose: SettleUsage
) -> Iterator[Effect]:
    """Carry over what the seal did not take in."""
    opened = state.usage.windows.get(purpose.window)
    if opened is None:
        return
    opened.is_calling = False
    if not isinstance(event.answer, ObjectFound):
        return
    seal = event.answer.object.record
    policy = state.policy
    sequence = seal.find_sequence(policy.host, policy.incarnation)
    left = state.usage.settle(purpose.window, sequence)
    current = max([purpose.window + 1, *state.usage.windows])
    wall_time = current * state.usage.window_seconds
    for key, figures in left.items():
        state.counters["usage.late_requests"] += figures.requests
        state.usage.add(wall_time, key, figures)
    yield from ()


def _resolve_conflict(
    state: DaemonState, window: int, opened: OpenWindow, current: VersionedRecord | None
) -> Iterator[Effect]:
    """Go on from the version that an earlier write with a lost reply left.

    A part that is gone was taken into a seal; settling tells what it lacked.
    """
    if current is None:
        opened.confirmed = max(opened.written)
        return
    opened.version = current.version
    opened.is_calling = True
    yield _write_part(state, window, opened)


def _write_part(state: DaemonState, window: int, opened: OpenWindow) -> CallPlatform:
    sequence = state.usage.start_part(window)
    part = UsagePart(
        window=window,
        host=state.policy.host,
        incarnation=state.policy.incarnation,
        sequence=sequence,
        lines=list_lines(opened.table),
    )
    message = PutObject(name_part(part), part, opened.version)
    return CallPlatform(purpose=FlushUsage(window, sequence), message=message)
