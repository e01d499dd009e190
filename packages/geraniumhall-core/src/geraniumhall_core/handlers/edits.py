"""Operators' edits: checked, written under a condition, and read back in doubt."""

from collections.abc import Iterator

import attrs

from geraniumhall_core.admin import DeleteRecord, NotJoined, PlatformResult, WriteRecord
from geraniumhall_core.effects import AnswerAdmin, CallPlatform
from geraniumhall_core.events import AdminCalled, PlatformAnswered
from geraniumhall_core.handlers.admin import COMMAND_HANDLERS, call_platform
from geraniumhall_core.handlers.catalogue import apply_to_state
from geraniumhall_core.handlers.membership_view import has_joined, list_unjoined_hosts
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.handlers.record_checks import RECORD_CHECKS
from geraniumhall_core.platform import (
    Answer,
    Conflict,
    DeleteObject,
    GetObject,
    Message,
    ObjectFound,
    ObjectMissing,
    PlatformFailure,
    PutObject,
    Written,
)
from geraniumhall_core.purposes import ConfirmEdit, ServeAdmin
from geraniumhall_core.records import DELETED, VersionedRecord
from geraniumhall_core.reducer import Effect
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict

READ_BACK_DELAY_SECONDS = 0.1


@COMMAND_HANDLERS.register(WriteRecord)
def write_record(
    state: DaemonState, event: AdminCalled, command: WriteRecord
) -> Iterator[Effect]:
    """Check a record against the catalogue and write it to the platform."""
    if not has_joined(state):
        yield _refuse_edit(state, event)
        return
    fault = RECORD_CHECKS.find(type(command.record))(state, command.record)
    if fault is not None:
        yield AnswerAdmin(call_id=event.call_id, answer=fault)
        return
    message = PutObject(command.key, command.record, command.if_version)
    yield call_platform(event, message)


@COMMAND_HANDLERS.register(DeleteRecord)
def delete_record(
    state: DaemonState, event: AdminCalled, command: DeleteRecord
) -> Iterator[Effect]:
    """Delete a record from the platform."""
    if not has_joined(state):
        yield _refuse_edit(state, event)
        return
    yield call_platform(event, DeleteObject(command.key, command.if_version))


@ANSWER_HANDLERS.register(ServeAdmin)
def return_result(
    state: DaemonState, event: PlatformAnswered, purpose: ServeAdmin
) -> Iterator[Effect]:
    """Hand the platform's answer to the operator.

    A write whose reply was lost is read back first.
    """
    message = purpose.message
    if _is_unknown(event.answer) and isinstance(message, PutObject | DeleteObject):
        yield CallPlatform(
            purpose=ConfirmEdit(purpose.call_id, message),
            message=GetObject(message.key),
            delay=READ_BACK_DELAY_SECONDS,
        )
        return
    answer = PlatformResult(event.answer)
    yield from _apply_edit(state, event, message)
    yield AnswerAdmin(call_id=purpose.call_id, answer=answer)


@ANSWER_HANDLERS.register(ConfirmEdit)
def confirm_edit(
    state: DaemonState, event: PlatformAnswered, purpose: ConfirmEdit
) -> Iterator[Effect]:
    """Tell the operator what became of a write whose reply was lost."""
    judged = _judge_edit(event.answer, purpose.message)
    yield from _apply_edit(state, attrs.evolve(event, answer=judged), purpose.message)
    yield AnswerAdmin(call_id=purpose.call_id, answer=PlatformResult(judged))


def _refuse_edit(state: DaemonState, event: AdminCalled) -> AnswerAdmin:
    answer = NotJoined(tuple(list_unjoined_hosts(state)))
    return AnswerAdmin(call_id=event.call_id, answer=answer)


def _apply_edit(
    state: DaemonState, event: PlatformAnswered, message: Message
) -> Iterator[Effect]:
    """Apply an edit that took effect, before the operator is told.

    Peers that pull from here get it even if the platform falls out of reach.
    """
    if not isinstance(event.answer, Written) or not event.answer.version:
        return
    if not isinstance(message, PutObject | DeleteObject):
        return
    record = message.record if isinstance(message, PutObject) else DELETED
    version = event.answer.version
    state.peering.latest_written = max(state.peering.latest_written, version)
    change = VersionedRecord(message.key, version, record)
    revision = state.catalogue.revision
    yield from apply_to_state(state, revision, (change,), event.at)


def _is_unknown(answer: Answer) -> bool:
    if not isinstance(answer, PlatformFailure):
        return False
    return answer.verdict is not Verdict.NOT_RUN


def _judge_edit(found: Answer, message: PutObject | DeleteObject) -> Answer:
    if isinstance(found, ObjectMissing) and isinstance(message, DeleteObject):
        return Written(0)
    if not isinstance(found, ObjectFound):
        reason = "no reply to the write, and none to reading it back"
        return PlatformFailure(reason, Verdict.MAY_HAVE_RUN)
    current = found.object
    if isinstance(message, PutObject) and current.record == message.record:
        return Written(current.version)
    if current.version == message.if_version:
        reason = "no reply to the write; it had not taken effect when read back"
        return PlatformFailure(reason, Verdict.MAY_HAVE_RUN)
    return Conflict(current)
