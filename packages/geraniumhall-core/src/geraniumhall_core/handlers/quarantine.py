"""Attributes crashes of engines to parts of prompts, and holds such parts."""

from collections.abc import Iterator

from geraniumhall_core.effects import ProbeServer
from geraniumhall_core.handlers.access import is_leaving
from geraniumhall_core.handlers.part_logs import (
    list_servers,
    log_crash,
    log_dropped,
    log_hold,
    log_release,
)
from geraniumhall_core.handlers.part_records import spread_crash, spread_part
from geraniumhall_core.holding import HOLD_POLICIES
from geraniumhall_core.parts import CrashId, PartCrash, PartHold, list_shared_parts
from geraniumhall_core.quarantine import PROVEN_SECONDS, BrokenRequest, UndecidedCrash
from geraniumhall_core.reducer import Effect
from geraniumhall_core.refusals import PART_HELD, Refusal
from geraniumhall_core.requests import RequestRecord
from geraniumhall_core.state import DaemonState

PROBE_DELAY_SECONDS = 0.02
DECISION_DELAY_SECONDS = 0.04
EVIDENCE_DELAY_SECONDS = 1.0  # most suspects are cleared by then and never stored


def examine_break(
    state: DaemonState, record: RequestRecord, now: float
) -> Iterator[Effect]:
    """Probe the server under a request that broke off as it was about to write.

    Only a server that has ended counts against the request's parts, and only if its
    end was not announced. It counts as the process that the request was sent to, also
    if another one is listed by now. Without shared parts there is nothing to suspect.
    """
    parts = list_shared_parts(record.request)
    has_written = (
        record.began_at is not None and now - record.began_at >= PROVEN_SECONDS
    )
    server = state.catalogue.servers.get(record.server)
    if not parts or has_written or server is None:
        return
    if is_leaving(state, record.server):
        return
    crash_id = CrashId(record.server, record.server_started_at)
    record.is_probing = True
    request_id = record.request.request_id
    broken = BrokenRequest(request_id, parts, record.sent_at)
    state.breaks.setdefault(crash_id, []).append(broken)
    if len(state.breaks[crash_id]) == 1:
        yield ProbeServer(
            server=record.server,
            address=server.address,
            incarnation=crash_id.incarnation,
            delay=PROBE_DELAY_SECONDS,
        )


def has_restarted(state: DaemonState, crash_id: CrashId) -> bool:
    """Return whether a server is listed as another process than it was."""
    server = state.catalogue.servers.get(crash_id.server)
    return server is not None and server.started_at != crash_id.incarnation


def report_crash(
    state: DaemonState, crash_id: CrashId, broken: list[BrokenRequest], now: float
) -> Iterator[Effect]:
    """Record a crash against the parts of the requests that were about to write.

    Whether a part is held is decided a little later, since other hosts may have had
    the request that caused the crash.
    """
    quarantine = state.quarantine
    state.counters["crashes.attributed"] += 1
    changed: dict[str, PartCrash] = {}
    quarantine.record_crashes([crash_id], now)
    for request in broken:
        positions = {part: position for position, part in enumerate(request.parts)}
        host = state.policy.host
        for part in quarantine.order_suspects(host, crash_id, positions):
            known = quarantine.get_part(part, now)
            crash = PartCrash(
                server=crash_id.server,
                incarnation=crash_id.incarnation,
                host=host,
                position=positions[part],
                follows=request.sent_at > known.suspected_at,
                was_sound=quarantine.was_sound(part, now),
            )
            if known.add_crash(crash, now):
                changed[part] = crash
                known.next_write_at = now + EVIDENCE_DELAY_SECONDS
        yield log_crash(state, crash_id, request)
    yield from log_dropped(state)
    yield from spread_crash(state, changed, now)
    due = UndecidedCrash(crash_id, now + DECISION_DELAY_SECONDS)
    quarantine.undecided.append(due)


def decide_crashes(state: DaemonState, now: float) -> Iterator[Effect]:
    """Hold the part that the policy names for each crash that is due."""
    policy = HOLD_POLICIES.find(state.policy.holding)
    for crash_id in state.quarantine.take_due(now):
        held = policy(state.quarantine.list_suspicions(crash_id))
        if held is not None:
            known = state.quarantine.parts[held.part]
            hold = PartHold(
                number=known.released + 1,
                seconds=state.policy.first_hold,
                source="crashes",
            )
            known.set_hold(hold, now)
            known.next_write_at = now
            yield log_hold(held.part, known, "own evidence", now)
            yield from spread_part(state, held.part, now)


def prove_parts(
    state: DaemonState, record: RequestRecord, now: float
) -> Iterator[Effect]:
    """Record that an answer has begun and gone on, which clears its parts.

    It clears them of the crashes that were known before the answer began.
    """
    if record.is_proven or record.began_at is None:
        return
    record.is_proven = True
    for part in list_shared_parts(record.request):
        state.quarantine.record_sound(part, now)
        known = state.quarantine.parts.get(part)
        if known is None or record.began_at <= known.heard_at:
            continue
        hold = known.hold
        released = hold.number if hold and hold.seconds is not None else 0
        if known.clear(list(known.crashes), released, now):
            known.next_write_at = now
            request_id = record.request.request_id
            yield log_release(part, hold, f"request {request_id} was answered")
            yield from spread_part(state, part, now)


def prove_running(state: DaemonState, now: float) -> Iterator[Effect]:
    """Clear the parts of requests that have written for `PROVEN_SECONDS`."""
    for record in list(state.requests.values()):
        if record.began_at is not None and now - record.began_at >= PROVEN_SECONDS:
            yield from prove_parts(state, record, now)


def find_held_part(state: DaemonState, record: RequestRecord) -> str | None:
    """Return the first part of a request that is held, unless the request tries it."""
    if not any(known.hold for known in state.quarantine.parts.values()):
        return None
    held = state.quarantine.list_held(list_shared_parts(record.request))
    return next((part for part in held if part != record.trial_part), None)


def describe_hold(state: DaemonState, part: str, now: float) -> Refusal:
    """Return the refusal of a request with a held part, with the evidence."""
    known = state.quarantine.parts[part]
    wait = known.get_wait(now)
    source = known.hold.source if known.hold else "none"
    reason = (
        f"part {part!r} of the prompt is held ({source}): "
        f"{len(known.crashes)} servers ended under it: {list_servers(known)}"
    )
    refusal = PART_HELD.with_reason(reason)
    return refusal if wait is None else refusal.with_retry_after(max(1.0, wait))


def may_repeat(state: DaemonState, record: RequestRecord, now: float) -> bool:
    """Return whether a request may go to another server after one ended under it.

    It may if answers on all its shared parts were seen shortly before.
    """
    quarantine = state.quarantine
    parts = list_shared_parts(record.request)
    return all(
        quarantine.was_sound(part, now) and not quarantine.is_held(part)
        for part in parts
    )
