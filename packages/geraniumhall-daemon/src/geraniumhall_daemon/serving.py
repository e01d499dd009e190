"""What both listeners share: requests one after another, refusals and health."""

from collections.abc import Awaitable, Callable

import trio

from geraniumhall_core.refusals import Refusal
from geraniumhall_daemon.daemon import Daemon
from geraniumhall_daemon.health import HEALTH_CHECKS, answer_health
from geraniumhall_net.server import (
    PeerGoneError,
    ReceivedRequest,
    ServerConnection,
    ServerLimits,
    open_server_connection,
)
from geraniumhall_wire.caller import Header
from geraniumhall_wire.refusals import encode_refusal, get_status

JSON_HEADERS: tuple[Header, ...] = ((b"content-type", b"application/json"),)
MIN_RETRY_SECONDS = 1

RequestHandler = Callable[[Daemon, ServerConnection, ReceivedRequest], Awaitable[bool]]


async def serve_connection(
    daemon: Daemon,
    stream: trio.abc.Stream,
    limits: ServerLimits,
    handler: RequestHandler,
) -> None:
    """Serve a connection until it closes.

    The handler answers one request and returns whether the connection may be
    used for another.
    """
    async with open_server_connection(stream, limits) as connection:
        try:
            while await _serve_request(daemon, connection, handler):
                pass
        except PeerGoneError:
            return


async def send_refusal(
    connection: ServerConnection, refusal: Refusal, close: bool
) -> None:
    """Answer with a refusal."""
    headers = JSON_HEADERS
    if refusal.retry_after is not None:
        seconds = max(MIN_RETRY_SECONDS, round(refusal.retry_after))
        headers = (*headers, (b"retry-after", str(seconds).encode()))
    body = encode_refusal(refusal)
    await connection.send_response(get_status(refusal), headers, body, close)


async def _serve_request(
    daemon: Daemon, connection: ServerConnection, handler: RequestHandler
) -> bool:
    received = await connection.receive_request()
    if received is None:
        return False
    if isinstance(received, Refusal):
        await send_refusal(connection, received, close=True)
        return False
    if received.head.path in HEALTH_CHECKS:
        await answer_health(daemon, connection, received.head.path)
        return connection.start_next_cycle()
    may_go_on = await handler(daemon, connection, received)
    return may_go_on and connection.start_next_cycle()
