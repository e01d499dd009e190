"""Validates admin edits, writes them conditionally and reads back unanswered ones."""

from collections.abc import Iterator

from geraniumhall_core.admin import DeleteRecord, PlatformResult, WriteRecord
from geraniumhall_core.effects import AnswerAdmin, CallPlatform
from geraniumhall_core.events import AdminCalled, PlatformAnswered
from geraniumhall_core.handlers.admin import COMMAND_HANDLERS, call_platform
from geraniumhall_core.handlers.feeds import apply_edit
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.handlers.record_checks import RECORD_CHECKS
from geraniumhall_core.platform import (
    Conflict,
    DeleteObject,
    EraChanged,
    GetObject,
    ObjectFound,
    ObjectMissing,
    PlatformAnswer,
    PlatformFailure,
    PutObject,
    Written,
)
from geraniumhall_core.purposes import ConfirmEdit, ServeAdmin
from geraniumhall_core.records import DELETED, VersionedRecord
from geraniumhall_core.reducer import Effect
from geraniumhall_core.revisions import NO_REVISION
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict

READ_BACK_DELAY_SECONDS = 0.1
MAX_READ_BACKS = 40


@COMMAND_HANDLERS.register(WriteRecord)
def write_record(
    state: DaemonState, event: AdminCalled, command: WriteRecord
) -> Iterator[Effect]:
    """Validate a record against the catalogue and write it to the platform."""
    fault = RECORD_CHECKS.find(type(command.record))(state, command.record)
    if fault is not None:
        yield AnswerAdmin(call_id=event.call_id, answer=fault)
        return
    message = PutObject(command.key, command.record, command.expected_version)
    yield _start_edit(state, event, message)


@COMMAND_HANDLERS.register(DeleteRecord)
def delete_record(
    state: DaemonState, event: AdminCalled, command: DeleteRecord
) -> Iterator[Effect]:
    """Delete a record from the platform."""
    message = DeleteObject(command.key, command.expected_version)
    yield _start_edit(state, event, message)


@ANSWER_HANDLERS.register(ServeAdmin)
def answer_admin_call(
    state: DaemonState, event: PlatformAnswered, purpose: ServeAdmin
) -> Iterator[Effect]:
    """Answer an admin call with the platform's result.

    A write whose outcome is unknown is read back first.
    """
    message = purpose.message
    if not isinstance(message, PutObject | DeleteObject):
        result = PlatformResult(event.answer)
        yield AnswerAdmin(call_id=purpose.call_id, answer=result)
    elif _is_outcome_unknown(event.answer):
        yield _read_back(purpose.call_id, message, 1)
    else:
        yield from _complete_edit(
            state, purpose.call_id, message, event.answer, event.at
        )


@ANSWER_HANDLERS.register(ConfirmEdit)
def confirm_edit(
    state: DaemonState, event: PlatformAnswered, purpose: ConfirmEdit
) -> Iterator[Effect]:
    """Resolve a write whose reply was lost, by the object read back.

    A deletion has no object to read the version from, so it is confirmed once
    the feed has delivered it. Until then the read is repeated, up to
    `MAX_READ_BACKS` times.
    """
    message = purpose.message
    is_gone = isinstance(event.answer, ObjectMissing)
    is_applied = (
        state.catalogue.versions.get(message.key, NO_REVISION)
        > message.expected_version
    )
    if is_gone and not is_applied and purpose.attempt < MAX_READ_BACKS:
        yield _read_back(purpose.call_id, message, purpose.attempt + 1)
        return
    resolved = _resolve_edit(event.answer, message, state)
    yield from _complete_edit(state, purpose.call_id, message, resolved, event.at)


def _start_edit(
    state: DaemonState, event: AdminCalled, message: PutObject | DeleteObject
) -> Effect:
    """Return the effect that writes an edit, or that refuses one of an earlier era.

    The store would compare the number of its condition only.
    """
    expected, era = message.expected_version, state.era.number
    if expected != NO_REVISION and expected.era < era:
        answer = PlatformResult(EraChanged(era=era))
        return AnswerAdmin(call_id=event.call_id, answer=answer)
    return call_platform(event, message)


def _read_back(
    call_id: int, message: PutObject | DeleteObject, attempt: int
) -> CallPlatform:
    return CallPlatform(
        purpose=ConfirmEdit(call_id, message, attempt),
        message=GetObject(message.key),
        delay=READ_BACK_DELAY_SECONDS,
    )


def _complete_edit(
    state: DaemonState,
    call_id: int,
    message: PutObject | DeleteObject,
    answer: PlatformAnswer,
    now: float,
) -> Iterator[Effect]:
    """Apply a successful edit to the local catalogue, then answer the call."""
    if isinstance(answer, Written):
        record = message.record if isinstance(message, PutObject) else DELETED
        change = VersionedRecord(message.key, answer.version, record)
        yield from apply_edit(state, change, now)
    yield AnswerAdmin(call_id=call_id, answer=PlatformResult(answer))


def _is_outcome_unknown(answer: PlatformAnswer) -> bool:
    if isinstance(answer, EraChanged):
        return True
    if not isinstance(answer, PlatformFailure):
        return False
    return answer.verdict is not Verdict.NOT_RUN


def _resolve_edit(
    found: PlatformAnswer, message: PutObject | DeleteObject, state: DaemonState
) -> PlatformAnswer:
    version = state.catalogue.versions.get(message.key, NO_REVISION)
    is_gone = isinstance(found, ObjectMissing) and isinstance(message, DeleteObject)
    if is_gone and version > message.expected_version:
        return Written(version)
    if not isinstance(found, ObjectFound):
        reason = "no reply to the write, and none to reading it back"
        return PlatformFailure(reason, Verdict.MAY_HAVE_RUN)
    current = found.object
    if isinstance(message, PutObject) and current.record == message.record:
        return Written(current.version)
    if current.version == message.expected_version:
        reason = "no reply to the write; it had not taken effect when read back"
        return PlatformFailure(reason, Verdict.MAY_HAVE_RUN)
    return Conflict(current)
