"""JSON form of the admin API, version 1.

Each route is registered under its method and path; a path with a name in
braces takes one segment there::

    @ADMIN_ROUTES.register(("GET", "/admin/v1/catalogue/{kind}"))
    def parse_list(call): ...
"""

from collections.abc import Callable
from json import dumps, loads
from typing import Any

import attrs

from geraniumhall_core.admin import (
    AdminAnswer,
    AdminCommand,
    DeleteRecord,
    DrainStarted,
    InvalidRecord,
    ListRecords,
    MemberStatuses,
    NotJoined,
    PlatformResult,
    ReadDump,
    ReadHosts,
    ReadMembers,
    ReadRecord,
    ReadServers,
    ReadStatus,
    ServerStatuses,
    StartDrain,
    StateDump,
    Status,
    WriteRecord,
)
from geraniumhall_core.catalogue import CATALOGUE_KINDS
from geraniumhall_core.keys import KeyRecord
from geraniumhall_core.platform import (
    Answer,
    Conflict,
    HostListing,
    Listing,
    ObjectFound,
    ObjectMissing,
    PlatformFailure,
    Written,
)
from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.registry import Registry
from geraniumhall_wire.caller import RequestHead
from geraniumhall_wire.converter import InvalidDataError
from geraniumhall_wire.description import describe
from geraniumhall_wire.platform_json import decode_record, encode_record

ADMIN_PREFIX = "/admin/v1"
EDITABLE_KINDS = ("entry", "workspace", "server", "wish")


@attrs.frozen
class NewKey:
    """The random parts of a key, drawn for a call that issues one."""

    key_id: str
    salt: str
    secret: str


@attrs.frozen
class AdminCall:
    """A call that matched a route; `names` are the segments in braces."""

    head: RequestHead
    body: bytes
    names: dict[str, str]
    new_key: NewKey


@attrs.frozen
class AdminFault:
    """A call that was refused before it reached the reducer."""

    status: int
    code: str
    reason: str
    path: str = ""


@attrs.frozen
class AdminReply:
    """Status, JSON value and version tag of an answer."""

    status: int
    data: Any
    version: int | None = None

    def encode(self) -> bytes:
        """Return the JSON body."""
        return dumps(self.data, default=str).encode() + b"\n"


AdminRoute = Callable[[AdminCall], AdminCommand | AdminFault]
ADMIN_ROUTES: Registry[tuple[str, str], AdminRoute] = Registry("admin route")

AnswerEncoder = Callable[[Any], AdminReply]
ANSWER_ENCODERS: Registry[type, AnswerEncoder] = Registry("answer encoder")


def parse_admin_call(
    head: RequestHead, body: bytes, new_key: NewKey
) -> AdminCommand | AdminFault:
    """Return the command of a call, or the fault to answer with."""
    method = head.method.decode("ascii", "replace")
    segments = head.path.strip("/").split("/")
    is_known_path = False
    for route_method, template in ADMIN_ROUTES:
        names = _match_template(template, segments)
        if names is None:
            continue
        is_known_path = True
        if route_method == method:
            route = ADMIN_ROUTES.find((route_method, template))
            return route(AdminCall(head, body, names, new_key))
    if is_known_path:
        return AdminFault(405, "method_not_allowed", f"{method} is not allowed here")
    return AdminFault(404, "unknown_route", f"no route {head.path}")


def encode_admin_answer(answer: AdminAnswer) -> AdminReply:
    """Return the reply for an answer of the reducer."""
    return ANSWER_ENCODERS.find(type(answer))(answer)


def encode_admin_fault(fault: AdminFault) -> AdminReply:
    """Return the reply for a call that was refused."""
    error = {"code": fault.code, "reason": fault.reason, "path": fault.path}
    return AdminReply(fault.status, {"error": error})


@ADMIN_ROUTES.register(("GET", f"{ADMIN_PREFIX}/status"))
def parse_status(call: AdminCall) -> AdminCommand:
    """Read a summary of the daemon."""
    return ReadStatus()


@ADMIN_ROUTES.register(("GET", f"{ADMIN_PREFIX}/dump"))
def parse_dump(call: AdminCall) -> AdminCommand:
    """Read the daemon's whole state."""
    return ReadDump()


@ADMIN_ROUTES.register(("GET", f"{ADMIN_PREFIX}/hosts"))
def parse_hosts(call: AdminCall) -> AdminCommand:
    """Read the platform's list of hosts."""
    return ReadHosts()


@ADMIN_ROUTES.register(("GET", f"{ADMIN_PREFIX}/servers"))
def parse_servers(call: AdminCall) -> AdminCommand:
    """Read the backend servers as this daemon sees them."""
    return ReadServers()


@ADMIN_ROUTES.register(("GET", f"{ADMIN_PREFIX}/members"))
def parse_members(call: AdminCall) -> AdminCommand:
    """Read the other daemons as this one sees them."""
    return ReadMembers()


@ADMIN_ROUTES.register(("POST", f"{ADMIN_PREFIX}/drain"))
def parse_drain(call: AdminCall) -> AdminCommand:
    """Begin a planned stop."""
    return StartDrain()


@ADMIN_ROUTES.register(("GET", f"{ADMIN_PREFIX}/catalogue/{{kind}}"))
def parse_list(call: AdminCall) -> AdminCommand | AdminFault:
    """List the records of one kind."""
    return _check_kind(call, CATALOGUE_KINDS) or ListRecords(call.names["kind"])


@ADMIN_ROUTES.register(("GET", f"{ADMIN_PREFIX}/catalogue/{{kind}}/{{name}}"))
def parse_read(call: AdminCall) -> AdminCommand | AdminFault:
    """Read one record."""
    return _check_kind(call, CATALOGUE_KINDS) or ReadRecord(_build_key(call))


@ADMIN_ROUTES.register(("PUT", f"{ADMIN_PREFIX}/catalogue/{{kind}}/{{name}}"))
def parse_write(call: AdminCall) -> AdminCommand | AdminFault:
    """Write one record under a condition."""
    fault = _check_kind(call, EDITABLE_KINDS)
    if fault is not None:
        return fault
    version = _read_condition(call.head)
    if isinstance(version, AdminFault):
        return version
    try:
        record = decode_record(call.names["kind"], loads(call.body))
    except ValueError as error:
        return _describe_fault(error)
    return WriteRecord(_build_key(call), record, version)


@ADMIN_ROUTES.register(("DELETE", f"{ADMIN_PREFIX}/catalogue/{{kind}}/{{name}}"))
def parse_delete(call: AdminCall) -> AdminCommand | AdminFault:
    """Delete one record under a condition; for a key this withdraws it."""
    fault = _check_kind(call, CATALOGUE_KINDS)
    if fault is not None:
        return fault
    version = _read_condition(call.head)
    if isinstance(version, AdminFault):
        return version
    return DeleteRecord(_build_key(call), version)


@ADMIN_ROUTES.register(("POST", f"{ADMIN_PREFIX}/keys"))
def parse_issue(call: AdminCall) -> AdminCommand | AdminFault:
    """Issue a key for a workspace."""
    try:
        workspace = loads(call.body)["workspace"]
    except (ValueError, KeyError, TypeError):
        reason = 'expected an object such as {"workspace": "name"}'
        return AdminFault(400, "invalid_record", reason, "$")
    key = call.new_key
    record = KeyRecord.from_secret(str(workspace), key.salt, key.secret)
    return WriteRecord(ObjectKey("key", key.key_id), record, 0)


@ANSWER_ENCODERS.register(NotJoined)
def encode_not_joined(answer: NotJoined) -> AdminReply:
    """Encode the refusal of an edit by a daemon that has not joined yet."""
    unheard = ", ".join(answer.unheard) or "the platform"
    reason = f"this daemon takes edits once it has heard from {unheard}"
    return encode_admin_fault(AdminFault(503, "not_joined", reason))


@ANSWER_ENCODERS.register(Status, ServerStatuses, MemberStatuses, StateDump)
def encode_description(answer: AdminAnswer) -> AdminReply:
    """Encode an answer field by field, without secrets."""
    return AdminReply(200, describe(answer))


@ANSWER_ENCODERS.register(DrainStarted)
def encode_drain(answer: DrainStarted) -> AdminReply:
    """Encode the start of a planned stop."""
    return AdminReply(202, {"draining": True})


@ANSWER_ENCODERS.register(InvalidRecord)
def encode_invalid(answer: InvalidRecord) -> AdminReply:
    """Encode a fault in a record."""
    fault = AdminFault(422, "invalid_record", answer.reason, answer.path)
    return encode_admin_fault(fault)


@ANSWER_ENCODERS.register(PlatformResult)
def encode_result(answer: PlatformResult) -> AdminReply:
    """Encode an answer of the platform."""
    return ANSWER_ENCODERS.find(type(answer.answer))(answer.answer)


@ANSWER_ENCODERS.register(ObjectFound)
def encode_found(answer: ObjectFound) -> AdminReply:
    """Encode one record."""
    data = _describe_versioned(answer.object)
    return AdminReply(200, data, answer.object.version)


@ANSWER_ENCODERS.register(ObjectMissing)
def encode_missing(answer: Answer) -> AdminReply:
    """Encode the absence of a record."""
    return encode_admin_fault(AdminFault(404, "not_found", "there is no such record"))


@ANSWER_ENCODERS.register(Written)
def encode_written(answer: Written) -> AdminReply:
    """Encode a write that took effect."""
    return AdminReply(200, {"version": answer.version}, answer.version)


@ANSWER_ENCODERS.register(Conflict)
def encode_conflict(answer: Conflict) -> AdminReply:
    """Encode a lost race, with the record as it is now."""
    current = _describe_versioned(answer.current) if answer.current else None
    reason = "the record is not at the version of the condition"
    error = {"code": "conflict", "reason": reason, "path": ""}
    version = answer.current.version if answer.current else 0
    return AdminReply(412, {"error": error, "current": current}, version)


@ANSWER_ENCODERS.register(Listing)
def encode_listing(answer: Listing) -> AdminReply:
    """Encode the records of one kind."""
    records = [_describe_versioned(item) for item in answer.objects]
    return AdminReply(200, {"revision": answer.revision, "records": records})


@ANSWER_ENCODERS.register(HostListing)
def encode_hosts(answer: HostListing) -> AdminReply:
    """Encode the platform's list of hosts."""
    return AdminReply(200, describe(answer))


@ANSWER_ENCODERS.register(PlatformFailure)
def encode_failure(answer: PlatformFailure) -> AdminReply:
    """Encode a failure of the platform, with what is known of the write."""
    error = {
        "code": "platform_failed",
        "reason": answer.reason,
        "verdict": answer.verdict.value,
        "path": "",
    }
    return AdminReply(503, {"error": error})


def _describe_versioned(item: VersionedRecord) -> dict[str, Any]:
    if isinstance(item.record, KeyRecord):
        record: Any = {"workspace": item.record.workspace}
    else:
        record = encode_record(item.record)
    return {"name": item.key.name, "version": item.version, "record": record}


def _match_template(template: str, segments: list[str]) -> dict[str, str] | None:
    parts = template.strip("/").split("/")
    if len(parts) != len(segments):
        return None
    names = {}
    for part, segment in zip(parts, segments, strict=True):
        if part.startswith("{"):
            names[part.strip("{}")] = segment
        elif part != segment:
            return None
    return names


def _build_key(call: AdminCall) -> ObjectKey:
    return ObjectKey(call.names["kind"], call.names["name"])


def _check_kind(call: AdminCall, kinds: tuple[str, ...]) -> AdminFault | None:
    kind = call.names["kind"]
    if kind in kinds:
        return None
    reason = f"no such kind of record here: {kind!r}; known are: {', '.join(kinds)}"
    return AdminFault(404, "unknown_kind", reason)


def _read_condition(head: RequestHead) -> int | AdminFault:
    if head.find(b"if-none-match") == b"*":
        return 0
    tag = (head.find(b"if-match") or b"").strip(b'"')
    if tag.isdigit():
        return int(tag)
    reason = 'an edit needs If-Match: "VERSION", or If-None-Match: * for a new record'
    return AdminFault(428, "condition_missing", reason)


def _describe_fault(error: ValueError) -> AdminFault:
    if isinstance(error, InvalidDataError):
        fault = error.faults[0]
        return AdminFault(422, "invalid_record", str(error), fault.path)
    return AdminFault(400, "invalid_record", f"not JSON: {error}", "$")
