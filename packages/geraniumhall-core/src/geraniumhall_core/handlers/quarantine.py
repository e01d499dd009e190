"""Attributes crashes of engines to parts of prompts, and holds such parts.

What is known of a part is told to other hosts by datagrams, each of which passes new
knowledge on, and is stored as one record, so that hosts which start or missed the
datagrams learn it from the store.
"""

from collections.abc import Iterator

from geraniumhall_core.effects import (
    CallPlatform,
    LogField,
    ProbeServer,
    SendToPeers,
    WriteLog,
)
from geraniumhall_core.events import PeerMessageReceived, PlatformAnswered
from geraniumhall_core.handlers.peers import PEER_MESSAGE_HANDLERS, list_peers
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.platform import (
    Conflict,
    DeleteObject,
    PlatformMessage,
    PutObject,
    Written,
)
from geraniumhall_core.purposes import ClaimTrial, SavePart
from geraniumhall_core.quarantine import (
    HOLD_POLICIES,
    PART_KIND,
    PROVEN_SECONDS,
    BrokenRequest,
    CrashId,
    PartCrash,
    PartHold,
    PartRecord,
    PartReport,
    PartState,
    UndecidedCrash,
    list_shared_parts,
)
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.reducer import Effect
from geraniumhall_core.refusals import PART_HELD, Refusal
from geraniumhall_core.requests import RequestRecord
from geraniumhall_core.state import DaemonState

PROBE_DELAY_SECONDS = 0.02
DECISION_DELAY_SECONDS = 0.04
WRITE_RETRY_SECONDS = 0.5
EVIDENCE_DELAY_SECONDS = 1.0  # most suspects are cleared by then and never stored
CLAIM_TIMEOUT_SECONDS = 1.0


def examine_break(
    state: DaemonState, record: RequestRecord, now: float
) -> Iterator[Effect]:
    """Probe the server under a request that broke off as it was about to write.

    Only a server that has ended counts against the request's parts, and only if its
    end was not announced. Without shared parts there is nothing to suspect.
    """
    parts = list_shared_parts(record.request)
    has_written = (
        record.began_at is not None and now - record.began_at >= PROVEN_SECONDS
    )
    server = state.catalogue.servers.get(record.server)
    if not parts or has_written or server is None or server.leaving:
        return
    crash_id = CrashId(record.server, server.started_at)
    record.is_probing = True
    request_id = record.request.request_id
    broken = BrokenRequest(request_id, parts, record.sent_at)
    state.breaks.setdefault(crash_id, []).append(broken)
    if len(state.breaks[crash_id]) == 1:
        yield ProbeServer(
            server=record.server,
            address=server.address,
            incarnation=server.started_at,
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
    changed: dict[str, None] = {}
    quarantine.record_crashes([crash_id], now)
    for request in broken:
        for position, part in enumerate(request.parts):
            known = quarantine.get_part(part, now)
            crash = PartCrash(
                server=crash_id.server,
                incarnation=crash_id.incarnation,
                host=state.policy.host,
                position=position,
                follows=request.sent_at > known.suspected_at,
                was_sound=quarantine.was_sound(part, now),
            )
            if known.add_crash(crash, now):
                changed[part] = None
                known.next_write_at = now + EVIDENCE_DELAY_SECONDS
        yield _log_crash(state, crash_id, request)
    for part in changed:
        yield from _spread(state, part, now)
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
            yield _log_hold(held.part, known, "own evidence", now)
            yield from _spread(state, held.part, now)


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
            yield _log_release(part, hold, f"request {request_id} was answered")
            yield from _spread(state, part, now)


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
        f"{len(known.crashes)} servers ended under it: {_list_servers(known)}"
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


def claim_trial(
    state: DaemonState, record: RequestRecord, part: str, now: float
) -> CallPlatform | None:
    """Return the call that claims the next trial of a held part, if it is due.

    The store accepts the claim of one host only.
    """
    known = state.quarantine.parts[part]
    if known.hold is None or known.get_wait(now) != 0.0 or not known.version:
        return None
    if known.is_writing or state.compute_catalogue_age(now) > state.policy.stale_after:
        return None
    known.is_writing = True
    hold = known.hold.extend(state.policy.host)
    stored = PartRecord(crashes=tuple(known.crashes.values()), hold=hold)
    return CallPlatform(
        purpose=ClaimTrial(part, record.request.request_id, hold),
        message=PutObject(ObjectKey(PART_KIND, part), stored, known.version),
        expires_at=now + CLAIM_TIMEOUT_SECONDS,
    )


def conclude_claim(
    state: DaemonState, event: PlatformAnswered, purpose: ClaimTrial
) -> Iterator[Effect]:
    """Adopt the extended hold if the store accepted the claim."""
    known = state.quarantine.get_part(purpose.part, event.at)
    known.is_writing = False
    if isinstance(event.answer, Written):
        known.version = max(known.version, event.answer.version)
        known.stored_hold = purpose.hold.number
        known.set_hold(purpose.hold, event.at)
        yield _log_hold(purpose.part, known, "trial", event.at)
        yield from _tell_peers(state, purpose.part, event.at)
    elif isinstance(event.answer, Conflict):
        yield from _adopt_current(state, purpose.part, event.answer, event.at)


def observe_part(
    state: DaemonState, change: VersionedRecord, now: float
) -> Iterator[Effect]:
    """Adopt what the store says of a part.

    Knowledge of this host that is not stored yet stays and is written again.
    """
    part = change.key.name
    known = state.quarantine.get_part(part, now)
    if change.version <= known.version:
        return
    if change.record is DELETED:
        known.version = 0
        if not known.is_dirty:
            yield from _apply_deletion(known, part, now)
        return
    known.record_stored(change.version, change.record)
    if _merge_record(known, change.record, now):
        yield _log_hold(part, known, "the store's record", now)


def _apply_deletion(known: PartState, part: str, now: float) -> Iterator[Effect]:
    """Clear a part whose record was deleted; a hold that was not stored yet stays."""
    hold, stored = known.hold, known.stored_hold
    known.clear(list(known.crashes), stored, now)
    if hold is not None and known.hold is None:
        yield _log_release(part, hold, "the store's record")


def _merge_record(known: PartState, record: PartRecord, now: float) -> bool:
    """Merge a stored record; return whether it brought a hold."""
    for crash in record.crashes:
        known.add_crash(crash, now)
    if record.hold is None:
        return False
    if record.hold.source == "operator" and known.hold != record.hold:
        known.hold, known.held_at, known.changed_at = record.hold, now, now
        return True
    return known.set_hold(record.hold, now)


@PEER_MESSAGE_HANDLERS.register(PartReport)
def handle_part_report(
    state: DaemonState, event: PeerMessageReceived, message: PartReport
) -> Iterator[Effect]:
    """Merge another host's knowledge of a part, and pass on what was new."""
    known = state.quarantine.get_part(message.part, event.at)
    hold = known.hold
    named = [crash.crash_id for crash in message.crashes]
    state.quarantine.record_crashes(named, event.at)
    if not known.merge(message, event.at):
        return
    if known.hold is not None and known.hold != hold:
        yield _log_hold(message.part, known, f"host {message.host}", event.at)
    elif known.hold is None and hold is not None:
        yield _log_release(message.part, hold, f"host {message.host}")
    if state.quarantine.take_forward(event.at):
        yield from _tell_peers(state, message.part, event.at)


def save_parts(state: DaemonState, now: float) -> Iterator[Effect]:
    """Write the records of parts that are due, and drop old evidence."""
    for part in state.quarantine.list_outdated(state.policy.host, now):
        known = state.quarantine.parts[part]
        if known.version:
            known.forget(now)
            known.is_dirty = True
        elif not known.is_writing:
            del state.quarantine.parts[part]
    for part, known in state.quarantine.parts.items():
        if _is_record_refuted(state, part, known):
            known.is_dirty = True
        yield from _save_part(state, part, known, now)


def _is_record_refuted(state: DaemonState, part: str, known: PartState) -> bool:
    """Return whether a stored record is refuted that this host has to delete.

    The hosts that saw its crashes delete it, since the host whose answer refuted it may
    not have read it yet.
    """
    stored = state.catalogue.tables[PART_KIND].get(part)
    if stored is None or known.build_record() is not None or not known.version:
        return False
    return any(crash.host == state.policy.host for crash in stored.crashes)


def _save_part(
    state: DaemonState, part: str, known: PartState, now: float
) -> Iterator[Effect]:
    if not known.is_dirty or known.is_writing or now < known.next_write_at:
        return
    if not state.all_feeds_synced:
        return
    record = known.build_record()
    key = ObjectKey(PART_KIND, part)
    if record is None and not known.version:
        known.is_dirty = False
        return
    message: PlatformMessage = DeleteObject(key, known.version)
    if record is not None:
        message = PutObject(key, record, known.version)
    known.is_writing = True
    yield CallPlatform(purpose=SavePart(part, record), message=message)


@ANSWER_HANDLERS.register(SavePart)
def handle_part_saved(
    state: DaemonState, event: PlatformAnswered, purpose: SavePart
) -> Iterator[Effect]:
    """Record the stored version; after a conflict merge the record and write again."""
    known = state.quarantine.get_part(purpose.part, event.at)
    known.is_writing = False
    answer = event.answer
    if isinstance(answer, Written):
        known.record_stored(answer.version, purpose.record)
        known.is_dirty = known.build_record() != purpose.record
    elif isinstance(answer, Conflict):
        yield from _adopt_current(state, purpose.part, answer, event.at)
    else:
        known.next_write_at = event.at + WRITE_RETRY_SECONDS
        fields = (LogField("part", purpose.part), LogField("answer", repr(answer)))
        yield WriteLog(level="warning", event="part_not_saved", fields=fields)
        return
    yield from _save_part(state, purpose.part, known, event.at)


def _adopt_current(
    state: DaemonState, part: str, conflict: Conflict, now: float
) -> Iterator[Effect]:
    known = state.quarantine.parts[part]
    current = conflict.current
    known.record_stored(
        current.version if current else 0, current.record if current else None
    )
    if current is not None and _merge_record(known, current.record, now):
        yield _log_hold(part, known, "the store's record", now)
    stored = current.record if current else None
    known.is_dirty = known.is_dirty and known.build_record() != stored


def _spread(state: DaemonState, part: str, now: float) -> Iterator[Effect]:
    """Tell other hosts what changed here, and write it to the store."""
    known = state.quarantine.get_part(part, now)
    known.is_dirty = True
    yield from _tell_peers(state, part, now)
    yield from _save_part(state, part, known, now)


def _tell_peers(state: DaemonState, part: str, now: float) -> Iterator[Effect]:
    peers = tuple(list_peers(state, now).values())
    if peers and state.policy.peer_address:
        known = state.quarantine.get_part(part, now)
        report = known.build_report(state.policy.host, part)
        yield SendToPeers(addresses=peers, message=report)


def _log_crash(
    state: DaemonState, crash_id: CrashId, request: BrokenRequest
) -> WriteLog:
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


def _log_hold(part: str, known: PartState, source: str, now: float) -> WriteLog:
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
            LogField("crashes", _list_servers(known)),
            LogField("evidence_age", round(age, 3)),
            LogField("learned_from", source),
        ),
    )


def _list_servers(known: PartState) -> str:
    return " ".join(crash_id.server for crash_id in known.crashes)


def _log_release(part: str, hold: PartHold | None, source: str) -> WriteLog:
    return WriteLog(
        level="info",
        event="part_released" if hold else "part_cleared",
        fields=(
            LogField("part", part),
            LogField("number", hold.number if hold else 0),
            LogField("learned_from", source),
        ),
    )
