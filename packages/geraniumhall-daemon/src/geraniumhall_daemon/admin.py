"""Admin API: authorization of operators and dispatch of their commands."""

from hashlib import sha256
from hmac import compare_digest
from secrets import token_hex, token_urlsafe

import trio

from geraniumhall_core.admin import AdminAnswer, AdminCommand, ReadDump, WriteRecord
from geraniumhall_core.events import AdminCalled
from geraniumhall_core.keys import format_key
from geraniumhall_daemon.daemon import Daemon
from geraniumhall_daemon.health import STATUS_PAGES, serve_page
from geraniumhall_daemon.serving import JSON_HEADERS, OPERATORS, serve_connection
from geraniumhall_net.server import ReceivedRequest, ServerConnection, ServerLimits
from geraniumhall_wire.admin_answers import (
    AdminRefusal,
    AdminResponse,
    encode_admin_answer,
    encode_admin_refusal,
)
from geraniumhall_wire.admin_routes import NewKey, parse_admin_call
from geraniumhall_wire.heads import RequestHead

KEY_ID_BYTES = 4
SALT_BYTES = 8
SECRET_BYTES = 32


async def serve_operator(daemon: Daemon, stream: trio.abc.Stream) -> None:
    """Serve an operator's connection until it closes."""
    await serve_connection(daemon, stream, ServerLimits, serve_command, OPERATORS)


async def serve_command(
    daemon: Daemon, connection: ServerConnection, received: ReceivedRequest
) -> bool:
    """Answer one admin call; return whether the connection can serve another.

    Status pages are served here too, without the operators' token.
    """
    if received.head.path in STATUS_PAGES:
        return await serve_page(daemon, connection, received)
    response = await _handle_call(daemon, received)
    headers = JSON_HEADERS
    if response.version is not None:
        headers = (*headers, (b"etag", f'"{response.version}"'.encode()))
    await connection.send_response(response.status, headers, response.encode())
    return True


async def _handle_call(daemon: Daemon, received: ReceivedRequest) -> AdminResponse:
    if not _is_authorized(daemon.settings.admin.token_sha256, received.head):
        refusal = AdminRefusal(401, "token_unknown", "the operators' token is needed")
        return encode_admin_refusal(refusal)
    new_key = NewKey(
        token_hex(KEY_ID_BYTES), token_hex(SALT_BYTES), token_urlsafe(SECRET_BYTES)
    )
    command = parse_admin_call(received.head, received.body, new_key)
    if isinstance(command, AdminRefusal):
        return encode_admin_refusal(command)
    response = encode_admin_answer(await _execute_command(daemon, command))
    if isinstance(command, ReadDump):
        response.data["recent"] = daemon.recorder.describe_steps()
    if isinstance(command, WriteRecord) and command.key.name == new_key.key_id:
        return _add_key(response, new_key)
    return response


async def _execute_command(daemon: Daemon, command: AdminCommand) -> AdminAnswer:
    sender, receiver = trio.open_memory_channel[AdminAnswer](1)
    call_id = daemon.next_call_id()
    daemon.admin_calls[call_id] = sender
    daemon.dispatch(AdminCalled(at=daemon.read_now(), call_id=call_id, command=command))
    return await receiver.receive()


def _add_key(response: AdminResponse, new_key: NewKey) -> AdminResponse:
    if response.status != 200:
        return response
    key_fields = {
        "id": new_key.key_id,
        "key": format_key(new_key.key_id, new_key.secret),
    }
    return AdminResponse(201, {**response.data, **key_fields}, response.version)


def _is_authorized(token_sha256: str, head: RequestHead) -> bool:
    if not token_sha256:
        return True
    token = (head.find(b"authorization") or b"").removeprefix(b"Bearer ")
    return compare_digest(sha256(token).hexdigest(), token_sha256.lower())
