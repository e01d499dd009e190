"""Request loop and refusals, shared by all listeners."""

from collections.abc import Awaitable, Callable

import trio

from geraniumhall_core.refusals import Refusal
from geraniumhall_daemon.daemon import Daemon
from geraniumhall_net.server import (
    ClientDisconnectedError,
    ConnectionResources,
    LimitsSource,
    ReceivedRequest,
    ServerConnection,
    open_server_connection,
)
from geraniumhall_wire.heads import Header

CALLERS = "callers"  # groups of connections, by listener
OPERATORS = "operators"
HEALTH = "health"
JSON_HEADERS: tuple[Header, ...] = ((b"content-type", b"application/json"),)

RequestHandler = Callable[[Daemon, ServerConnection, ReceivedRequest], Awaitable[bool]]


async def serve_connection(
    daemon: Daemon,
    stream: trio.abc.Stream,
    limits: LimitsSource,
    handler: RequestHandler,
    group: str,
) -> None:
    """Serve a connection until it closes.

    The handler answers one request and returns whether the connection can
    serve another. `group` names the listener.
    """
    resources = ConnectionResources(daemon.budget, daemon.pace, group)
    async with open_server_connection(stream, limits, resources) as connection:
        try:
            while await _serve_request(daemon, connection, handler):
                pass
        except ClientDisconnectedError:
            return


async def send_refusal(
    daemon: Daemon, connection: ServerConnection, refusal: Refusal, close: bool
) -> None:
    """Send a refusal, encoded by the daemon's front."""
    encoded = daemon.front.encode_refusal(refusal)
    await connection.send_response(
        encoded.status, encoded.headers, encoded.body, close=close
    )


async def _serve_request(
    daemon: Daemon, connection: ServerConnection, handler: RequestHandler
) -> bool:
    received = await connection.receive_request()
    if received is None:
        return False
    if isinstance(received, Refusal):
        daemon.limit_log.record_limit(received.code)
        await send_refusal(daemon, connection, received, close=True)
        return False
    may_continue = await handler(daemon, connection, received)
    return may_continue and connection.start_next_cycle()
