"""Routing and parsing of the admin API's calls, version 1.

Each route is registered under its method and path template; a name in braces
is a parameter that matches one path segment::

    @ADMIN_ROUTES.register(("GET", "/admin/v1/catalogue/{kind}"))
    def parse_list(call): ...
"""

from collections.abc import Callable
from json import loads
from typing import Any

import attrs

from geraniumhall_core.admin import (
    AdminCommand,
    DeleteRecord,
    ListRecords,
    PreviewPlacement,
    ReadDump,
    ReadMembers,
    ReadRecord,
    ReadServers,
    ReadStatus,
    ReadUnusable,
    StartDrain,
    WriteRecord,
)
from geraniumhall_core.catalogue import EDITABLE_KINDS
from geraniumhall_core.keys import KeyRecord
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.registry import Registry
from geraniumhall_core.revisions import NO_REVISION, Revision
from geraniumhall_wire.admin_answers import AdminRefusal
from geraniumhall_wire.converter import InvalidDataError, build_converter, structure
from geraniumhall_wire.heads import RequestHead
from geraniumhall_wire.records import decode_record
from geraniumhall_wire.versions import decode_version

ADMIN_PREFIX = "/admin/v1"
CONVERTER = build_converter()
WRITABLE_KINDS = tuple(kind for kind in EDITABLE_KINDS if kind != "key")


@attrs.frozen
class NewKey:
    """The random parts of a new key, generated for each call."""

    key_id: str
    salt: str
    secret: str


@attrs.frozen
class AdminCall:
    """A call that matched a route, with the parameters of its path."""

    head: RequestHead
    body: bytes
    path_parameters: dict[str, str]
    new_key: NewKey


AdminRoute = Callable[[AdminCall], AdminCommand | AdminRefusal]
ADMIN_ROUTES: Registry[tuple[str, str], AdminRoute] = Registry("admin route")


def parse_admin_call(
    head: RequestHead, body: bytes, new_key: NewKey
) -> AdminCommand | AdminRefusal:
    """Parse a call into a command, or return a refusal."""
    method = head.method.decode("ascii", "replace")
    segments = head.path.strip("/").split("/")
    is_known_path = False
    for route_method, template in ADMIN_ROUTES:
        path_parameters = _match_template(template, segments)
        if path_parameters is None:
            continue
        is_known_path = True
        if route_method == method:
            route = ADMIN_ROUTES.find((route_method, template))
            return route(AdminCall(head, body, path_parameters, new_key))
    if is_known_path:
        return AdminRefusal(405, "method_not_allowed", f"{method} is not allowed here")
    return AdminRefusal(404, "unknown_route", f"no route {head.path}")


@ADMIN_ROUTES.register(("GET", f"{ADMIN_PREFIX}/status"))
def parse_status(call: AdminCall) -> AdminCommand:
    """Read a summary of the daemon."""
    return ReadStatus()


@ADMIN_ROUTES.register(("GET", f"{ADMIN_PREFIX}/dump"))
def parse_dump(call: AdminCall) -> AdminCommand:
    """Read the daemon's complete state."""
    return ReadDump()


@ADMIN_ROUTES.register(("GET", f"{ADMIN_PREFIX}/servers"))
def parse_servers(call: AdminCall) -> AdminCommand:
    """Read the backend servers as this daemon sees them."""
    return ReadServers()


@ADMIN_ROUTES.register(("GET", f"{ADMIN_PREFIX}/members"))
def parse_members(call: AdminCall) -> AdminCommand:
    """Read the other daemons as this one sees them."""
    return ReadMembers()


@ADMIN_ROUTES.register(("GET", f"{ADMIN_PREFIX}/unusable"))
def parse_unusable(call: AdminCall) -> AdminCommand:
    """Read the store's objects that the daemon can't decode."""
    return ReadUnusable()


@ADMIN_ROUTES.register(("POST", f"{ADMIN_PREFIX}/placement"))
def parse_placement(call: AdminCall) -> AdminCommand | AdminRefusal:
    """Tell where a described request would go now, and why, without sending it."""
    try:
        return structure(CONVERTER, _load_json(call.body), PreviewPlacement)
    except ValueError as error:
        return _refuse_record(error)


@ADMIN_ROUTES.register(("POST", f"{ADMIN_PREFIX}/drain"))
def parse_drain(call: AdminCall) -> AdminCommand:
    """Start draining the daemon."""
    return StartDrain()


@ADMIN_ROUTES.register(("GET", f"{ADMIN_PREFIX}/catalogue/{{kind}}"))
def parse_list(call: AdminCall) -> AdminCommand | AdminRefusal:
    """List the records of one kind."""
    return _check_kind(call, EDITABLE_KINDS) or ListRecords(
        call.path_parameters["kind"]
    )


@ADMIN_ROUTES.register(("GET", f"{ADMIN_PREFIX}/catalogue/{{kind}}/{{name}}"))
def parse_read(call: AdminCall) -> AdminCommand | AdminRefusal:
    """Read one record."""
    return _check_kind(call, EDITABLE_KINDS) or ReadRecord(_build_key(call))


@ADMIN_ROUTES.register(("PUT", f"{ADMIN_PREFIX}/catalogue/{{kind}}/{{name}}"))
def parse_write(call: AdminCall) -> AdminCommand | AdminRefusal:
    """Write one record, conditional on its version."""
    refusal = _check_kind(call, WRITABLE_KINDS)
    if refusal is not None:
        return refusal
    version = _parse_condition(call.head)
    if isinstance(version, AdminRefusal):
        return version
    try:
        record = decode_record(call.path_parameters["kind"], _load_json(call.body))
    except ValueError as error:
        return _refuse_record(error)
    return WriteRecord(_build_key(call), record, version)


@ADMIN_ROUTES.register(("DELETE", f"{ADMIN_PREFIX}/catalogue/{{kind}}/{{name}}"))
def parse_delete(call: AdminCall) -> AdminCommand | AdminRefusal:
    """Delete one record, conditional on its version; a deleted key is withdrawn."""
    refusal = _check_kind(call, EDITABLE_KINDS)
    if refusal is not None:
        return refusal
    version = _parse_condition(call.head)
    if isinstance(version, AdminRefusal):
        return version
    return DeleteRecord(_build_key(call), version)


@ADMIN_ROUTES.register(("POST", f"{ADMIN_PREFIX}/keys"))
def parse_issue_key(call: AdminCall) -> AdminCommand | AdminRefusal:
    """Issue a key for a workspace."""
    try:
        workspace = _load_json(call.body)["workspace"]
    except (ValueError, KeyError, TypeError):
        reason = 'expected an object such as {"workspace": "name"}'
        return AdminRefusal(400, "invalid_record", reason, "$")
    key = call.new_key
    record = KeyRecord.from_secret(str(workspace), key.salt, key.secret)
    return WriteRecord(ObjectKey("key", key.key_id), record, NO_REVISION)


def _load_json(body: bytes) -> Any:
    """Decode a body; raises `ValueError` also for one that is nested too deeply."""
    try:
        return loads(body)
    except RecursionError as error:
        raise ValueError("the body is nested too deeply") from error


def _match_template(template: str, segments: list[str]) -> dict[str, str] | None:
    parts = template.strip("/").split("/")
    if len(parts) != len(segments):
        return None
    path_parameters = {}
    for part, segment in zip(parts, segments, strict=True):
        if part.startswith("{"):
            path_parameters[part.strip("{}")] = segment
        elif part != segment:
            return None
    return path_parameters


def _build_key(call: AdminCall) -> ObjectKey:
    return ObjectKey(call.path_parameters["kind"], call.path_parameters["name"])


def _check_kind(call: AdminCall, kinds: tuple[str, ...]) -> AdminRefusal | None:
    kind = call.path_parameters["kind"]
    if kind in kinds:
        return None
    reason = f"no such kind of record here: {kind!r}; known are: {', '.join(kinds)}"
    return AdminRefusal(404, "unknown_kind", reason)


def _parse_condition(head: RequestHead) -> Revision | AdminRefusal:
    """Return the expected version of the record, zero for a new one."""
    if head.find(b"if-none-match") == b"*":
        return NO_REVISION
    etag = (head.find(b"if-match") or b"").strip(b'"')
    if etag.isdigit():
        return decode_version(int(etag))
    reason = 'an edit needs If-Match: "VERSION", or If-None-Match: * for a new record'
    return AdminRefusal(428, "condition_missing", reason)


def _refuse_record(error: ValueError) -> AdminRefusal:
    if isinstance(error, InvalidDataError):
        violation = error.violations[0]
        return AdminRefusal(422, "invalid_record", str(error), violation.path)
    return AdminRefusal(400, "invalid_record", f"not JSON: {error}", "$")
