"""Tells other hosts what is known of parts, and keeps it in the store.

What is known of a part is told to other hosts by datagrams, each of which passes new
knowledge on, and is stored as one record, so that hosts which start or missed the
datagrams learn it from the store.
"""

from collections.abc import Iterator

import attrs
from xxhash import xxh32_intdigest

from geraniumhall_core.effects import CallPlatform, LogField, SendToPeers, WriteLog
from geraniumhall_core.events import PeerMessageReceived, PlatformAnswered
from geraniumhall_core.handlers.eras import ERA_HANDLERS
from geraniumhall_core.handlers.part_logs import log_dropped, log_hold, log_release
from geraniumhall_core.handlers.peers import PEER_MESSAGE_HANDLERS, list_peers
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.parts import (
    PART_KIND,
    CrashReport,
    PartCrash,
    PartRecord,
    PartReport,
    PartState,
)
from geraniumhall_core.platform import (
    Conflict,
    DeleteObject,
    PlatformMessage,
    PutObject,
    Written,
)
from geraniumhall_core.purposes import ClaimTrial, SavePart
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.reducer import Effect
from geraniumhall_core.requests import RequestRecord
from geraniumhall_core.state import DaemonState

WRITE_RETRY_SECONDS = 0.5
RESTORE_SPREAD_SECONDS = 1.0
CLAIM_TIMEOUT_SECONDS = 1.0
MAX_REPORTED_SUSPECTS = 128  # in one datagram
MAX_STORED_SUSPECTS = 64  # parts that aren't held and have a record, of all hosts


def claim_trial(
    state: DaemonState, record: RequestRecord, part: str, now: float
) -> CallPlatform | None:
    """Return the call that claims the next trial of a held part, if it is due.

    The store accepts the claim of one host only.
    """
    known = state.quarantine.parts[part]
    if known.hold is None or known.get_wait(now) != 0.0 or not known.version.number:
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
        yield log_hold(purpose.part, known, "trial", event.at)
        yield from _tell_peers(state, purpose.part, event.at)
    elif isinstance(event.answer, Conflict):
        yield from _adopt_current(state, purpose.part, event.answer, event.at)


def observe_part(
    state: DaemonState, change: VersionedRecord, now: float, is_copy: bool = False
) -> Iterator[Effect]:
    """Adopt what the store says of a part, with `is_copy` in the copy of a new era.

    Knowledge of this host that is not stored yet stays and is written again.
    """
    part = change.key.name
    known = state.quarantine.get_part(part, now)
    if change.version <= known.version:
        return
    if change.record is DELETED:
        known.version = state.era.absent_version
        if not known.is_dirty:
            yield from _apply_deletion(known, part, now)
        return
    known.record_stored(change.version, change.record)
    if _merge_record(known, change.record, now, is_copy):
        yield log_hold(part, known, "the store's record", now)
    known.is_dirty = known.is_dirty and known.build_record() != change.record


@ERA_HANDLERS.register("parts")
def suspend_claims(state: DaemonState, event: PlatformAnswered) -> Iterator[Effect]:
    """Write no part and claim no trial until the records of the era were listed."""
    for known in state.quarantine.parts.values():
        known.is_dirty = known.is_dirty or known.version.number > 0
        known.version = state.era.absent_version
        known.next_write_at = float("inf")
    yield from ()


def restore_parts(state: DaemonState, now: float) -> None:
    """Write what the store has lost of parts again, after its records were listed.

    The hosts that saw a part's crashes write at once, the others later, each at another
    time, unless the record is back by then.
    """
    for part, known in state.quarantine.parts.items():
        stored = None
        if known.version.number:
            stored = state.catalogue.tables[PART_KIND].get(part)
        is_due = known.is_dirty or stored is not None
        known.is_dirty = is_due and known.build_record() != stored
        known.next_write_at = now
        crashes = known.crashes.values()
        if not any(crash.host == state.policy.host for crash in crashes):
            place = xxh32_intdigest(f"{state.policy.host}/{part}") / 2**32
            spread = RESTORE_SPREAD_SECONDS * state.interval_factor
            known.next_write_at += spread * (1 + place)


def _apply_deletion(known: PartState, part: str, now: float) -> Iterator[Effect]:
    """Clear a part whose record was deleted; a hold that was not stored yet stays."""
    hold, stored = known.hold, known.stored_hold
    known.clear(list(known.crashes), stored, now)
    if hold is not None and known.hold is None:
        yield log_release(part, hold, "the store's record")


def _merge_record(
    known: PartState, record: PartRecord, now: float, is_copy: bool = False
) -> bool:
    """Merge a stored record; return whether it brought a hold.

    A hold in the copy of a new era that has been released meanwhile stays released.
    """
    for crash in record.crashes:
        known.add_crash(crash, now)
    if record.hold is None:
        return False
    if is_copy and record.hold.number <= known.released:
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
        yield log_hold(message.part, known, f"host {message.host}", event.at)
    elif known.hold is None and hold is not None:
        yield log_release(message.part, hold, f"host {message.host}")
    if state.quarantine.take_forward(event.at):
        yield from _tell_peers(state, message.part, event.at)


@PEER_MESSAGE_HANDLERS.register(CrashReport)
def handle_crash_report(
    state: DaemonState, event: PeerMessageReceived, message: CrashReport
) -> Iterator[Effect]:
    """Record a crash that another host saw against its suspects, and pass on news."""
    quarantine = state.quarantine
    quarantine.record_crashes([message.crash_id], event.at)
    suspects = {suspect.part: suspect for suspect in message.suspects}
    new = []
    host = state.policy.host
    for part in quarantine.order_suspects(host, message.crash_id, suspects):
        known = quarantine.get_part(part, event.at)
        if known.add_crash(message.build_crash(suspects[part]), event.at):
            new.append(suspects[part])
    yield from log_dropped(state)
    if new and quarantine.take_forward(event.at):
        report = attrs.evolve(message, suspects=tuple(new))
        yield from _send_to_peers(state, report, event.at)


def save_parts(state: DaemonState, now: float) -> Iterator[Effect]:
    """Write the records of parts that are due, and drop old evidence.

    Of the parts that aren't held only some get a record, those with most crashes first:
    each crash may be held against thousands, of which answers clear most.
    """
    for part in state.quarantine.list_outdated(state.policy.host, now):
        known = state.quarantine.parts[part]
        if known.version.number:
            known.forget(now)
            known.is_dirty = True
        elif not known.is_writing:
            del state.quarantine.parts[part]
    for part, known in state.quarantine.parts.items():
        if _is_record_refuted(state, part, known):
            known.is_dirty = True
    dirty = [item for item in state.quarantine.parts.items() if item[1].is_dirty]
    dirty.sort(key=lambda item: len(item[1].crashes), reverse=True)
    room = MAX_STORED_SUSPECTS - state.quarantine.count_stored_suspects()
    for part, known in dirty:
        is_added = known.hold is None and not known.version.number
        if is_added and room <= 0:
            continue
        calls = tuple(_save_part(state, part, known, now))
        room -= is_added and bool(calls)
        yield from calls


def _is_record_refuted(state: DaemonState, part: str, known: PartState) -> bool:
    """Return whether a stored record is refuted that this host has to delete.

    The hosts that saw its crashes delete it, since the host whose answer refuted it may
    not have read it yet.
    """
    stored = state.catalogue.tables[PART_KIND].get(part)
    if stored is None or not known.version.number:
        return False
    if known.build_record() is not None:
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
    if record is None and not known.version.number:
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
    known.record_stored(conflict.version, current.record if current else None)
    if current is not None and _merge_record(known, current.record, now):
        yield log_hold(part, known, "the store's record", now)
    stored = current.record if current else None
    known.is_dirty = known.is_dirty and known.build_record() != stored


def spread_part(state: DaemonState, part: str, now: float) -> Iterator[Effect]:
    """Tell other hosts what changed here, and write it to the store."""
    known = state.quarantine.get_part(part, now)
    known.is_dirty = True
    yield from _tell_peers(state, part, now)
    yield from _save_part(state, part, known, now)


def spread_crash(
    state: DaemonState, evidence: dict[str, PartCrash], now: float
) -> Iterator[Effect]:
    """Tell other hosts of one crash, which is new evidence against parts.

    Parts without other evidence, some of which may have been dropped here, are told
    together, to keep the datagrams few.
    """
    first: list[tuple[str, PartCrash]] = []
    for part, crash in evidence.items():
        known = state.quarantine.parts.get(part)
        if known is not None and not known.is_first_evidence:
            yield from spread_part(state, part, now)
            continue
        if known is not None:
            known.is_dirty = True
        first.append((part, crash))
    for start in range(0, len(first), MAX_REPORTED_SUSPECTS):
        report = CrashReport.from_crashes(first[start : start + MAX_REPORTED_SUSPECTS])
        yield from _send_to_peers(state, report, now)


def _tell_peers(state: DaemonState, part: str, now: float) -> Iterator[Effect]:
    report = state.quarantine.get_part(part, now).build_report(state.policy.host, part)
    yield from _send_to_peers(state, report, now)


def _send_to_peers(
    state: DaemonState, message: CrashReport | PartReport, now: float
) -> Iterator[Effect]:
    peers = tuple(list_peers(state, now).values())
    if peers and state.policy.peer_address:
        yield SendToPeers(addresses=peers, message=message)
