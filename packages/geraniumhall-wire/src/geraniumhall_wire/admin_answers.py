"""JSON encoding of the admin API's responses."""

from collections.abc import Callable
from json import dumps
from typing import Any

import attrs

from geraniumhall_core.admin import (
    AdminAnswer,
    DrainStarted,
    InvalidRecord,
    MemberStatuses,
    PlacementPreview,
    PlatformResult,
    ServerStatuses,
    StateDump,
    Status,
    UnusableObjects,
)
from geraniumhall_core.keys import KeyRecord
from geraniumhall_core.platform import (
    Conflict,
    EraChanged,
    Listing,
    ObjectFound,
    ObjectMissing,
    PlatformAnswer,
    PlatformFailure,
    Written,
)
from geraniumhall_core.records import VersionedRecord
from geraniumhall_core.registry import Registry
from geraniumhall_wire.description import describe
from geraniumhall_wire.records import encode_record
from geraniumhall_wire.versions import encode_version


@attrs.frozen
class AdminRefusal:
    """A refusal of an admin call, with its HTTP status.

    `path` names the invalid field of a record, if there is one.
    """

    status: int
    code: str
    reason: str
    path: str = ""


@attrs.frozen
class AdminResponse:
    """HTTP status, JSON value and, for the ETag, record version of a response."""

    status: int
    data: Any
    version: int | None = None

    def encode(self) -> bytes:
        """Encode the JSON body."""
        return dumps(self.data, default=str).encode() + b"\n"


AnswerEncoder = Callable[[Any], AdminResponse]
ANSWER_ENCODERS: Registry[type, AnswerEncoder] = Registry("answer encoder")


def encode_admin_answer(answer: AdminAnswer) -> AdminResponse:
    """Encode an answer of the reducer."""
    return ANSWER_ENCODERS.find(type(answer))(answer)


def encode_admin_refusal(refusal: AdminRefusal) -> AdminResponse:
    """Encode the refusal of a call."""
    error = {"code": refusal.code, "reason": refusal.reason, "path": refusal.path}
    return AdminResponse(refusal.status, {"error": error})


@ANSWER_ENCODERS.register(
    Status, ServerStatuses, MemberStatuses, UnusableObjects, PlacementPreview, StateDump
)
def encode_description(answer: AdminAnswer) -> AdminResponse:
    """Encode an answer with all its fields except secrets."""
    return AdminResponse(200, describe(answer))


@ANSWER_ENCODERS.register(DrainStarted)
def encode_drain(answer: DrainStarted) -> AdminResponse:
    """Encode the start of a drain."""
    return AdminResponse(202, {"draining": True})


@ANSWER_ENCODERS.register(InvalidRecord)
def encode_invalid_record(answer: InvalidRecord) -> AdminResponse:
    """Encode the refusal of an invalid record."""
    refusal = AdminRefusal(422, "invalid_record", answer.reason, answer.path)
    return encode_admin_refusal(refusal)


@ANSWER_ENCODERS.register(PlatformResult)
def encode_platform_result(answer: PlatformResult) -> AdminResponse:
    """Encode the platform's answer to the call that a command made on it."""
    return ANSWER_ENCODERS.find(type(answer.answer))(answer.answer)


@ANSWER_ENCODERS.register(ObjectFound)
def encode_found(answer: ObjectFound) -> AdminResponse:
    """Encode one record."""
    data = _describe_record(answer.object)
    return AdminResponse(200, data, encode_version(answer.object.version))


@ANSWER_ENCODERS.register(ObjectMissing)
def encode_missing(answer: PlatformAnswer) -> AdminResponse:
    """Encode the absence of a record."""
    return encode_admin_refusal(
        AdminRefusal(404, "not_found", "there is no such record")
    )


@ANSWER_ENCODERS.register(Written)
def encode_written(answer: Written) -> AdminResponse:
    """Encode a write that took effect."""
    version = encode_version(answer.version)
    return AdminResponse(200, {"version": version}, version)


@ANSWER_ENCODERS.register(Conflict)
def encode_conflict(answer: Conflict) -> AdminResponse:
    """Encode a failed version check, with the current record."""
    current = _describe_record(answer.current) if answer.current else None
    reason = "the record is not at the version of the condition"
    error = {"code": "conflict", "reason": reason, "path": ""}
    version = encode_version(answer.version) if answer.current else 0
    return AdminResponse(412, {"error": error, "current": current}, version)


@ANSWER_ENCODERS.register(EraChanged)
def encode_era_change(answer: EraChanged) -> AdminResponse:
    """Encode that the store has come back from an older copy."""
    reason = "the store came back from an older copy; read the record again"
    error = {"code": "era_changed", "reason": reason, "path": ""}
    return AdminResponse(412, {"error": error, "current": None})


@ANSWER_ENCODERS.register(Listing)
def encode_listing(answer: Listing) -> AdminResponse:
    """Encode the records of one kind."""
    records = [_describe_record(item) for item in answer.objects]
    return AdminResponse(
        200, {"revision": encode_version(answer.revision), "records": records}
    )


@ANSWER_ENCODERS.register(PlatformFailure)
def encode_failure(answer: PlatformFailure) -> AdminResponse:
    """Encode a failed platform call; the verdict tells whether it may have run."""
    error = {
        "code": "platform_failed",
        "reason": answer.reason,
        "verdict": answer.verdict.value,
        "path": "",
    }
    return AdminResponse(503, {"error": error})


def _describe_record(item: VersionedRecord) -> dict[str, Any]:
    """Return a record with its name and version; a key without hash and salt."""
    if isinstance(item.record, KeyRecord):
        record: Any = {"workspace": item.record.workspace}
    else:
        record = encode_record(item.record)
    return {
        "name": item.key.name,
        "version": encode_version(item.version),
        "record": record,
    }
