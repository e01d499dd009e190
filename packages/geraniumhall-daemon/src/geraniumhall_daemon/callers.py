"""The listener for callers."""

import trio

from geraniumhall_core.events import CallerLeft, RequestArrived
from geraniumhall_core.refusals import Refusal
from geraniumhall_daemon.daemon import Daemon
from geraniumhall_daemon.exchanges import EXCHANGE_STEPS, Exchange
from geraniumhall_daemon.health import HEALTH_CHECKS, answer_health
from geraniumhall_net.server import (
    PeerGoneError,
    ReceivedRequest,
    ServerConnection,
    ServerLimits,
    open_server_connection,
)
from geraniumhall_wire.caller import parse_call
from geraniumhall_wire.refusals import encode_refusal, get_status

JSON_HEADERS = ((b"content-type", b"application/json"),)


async def serve_caller(daemon: Daemon, stream: trio.abc.Stream) -> None:
    """Serve one caller's connection until it closes."""
    settings = daemon.settings.callers
    limits = ServerLimits(
        max_head=settings.max_head,
        max_body=settings.max_body,
        read_timeout=settings.read_timeout,
        idle_timeout=settings.idle_timeout,
    )
    async with open_server_connection(stream, limits) as connection:
        try:
            while await _serve_request(daemon, connection):
                pass
        except PeerGoneError:
            return


async def _serve_request(daemon: Daemon, connection: ServerConnection) -> bool:
    received = await connection.receive_request()
    if received is None:
        return False
    if isinstance(received, Refusal):
        await _send_refusal(connection, received)
        return False
    if received.head.path in HEALTH_CHECKS:
        await answer_health(daemon, connection, received.head.path)
        return connection.start_next_cycle()
    must_close = await _serve_call(daemon, connection, received)
    return not must_close and connection.start_next_cycle()


async def _serve_call(
    daemon: Daemon, connection: ServerConnection, received: ReceivedRequest
) -> bool:
    call = parse_call(daemon.name_request(), received.head, received.body)
    if isinstance(call, Refusal):
        await _send_refusal(connection, call, close=daemon.state.is_draining)
        return daemon.state.is_draining
    exchange = Exchange(call, connection)
    daemon.exchanges[exchange.request_id] = exchange
    try:
        event = RequestArrived(
            at=daemon.read_now(), request=call.request, draws=daemon.draw()
        )
        daemon.dispatch(event)
        await _run_exchange(daemon, exchange)
    finally:
        del daemon.exchanges[exchange.request_id]
    return exchange.must_close


async def _run_exchange(daemon: Daemon, exchange: Exchange) -> None:
    while not exchange.is_finished:
        if not exchange.has_effect:
            await _await_effect(daemon, exchange)
        effect = await exchange.receive_effect()
        await EXCHANGE_STEPS.find(type(effect))(daemon, exchange, effect)


async def _await_effect(daemon: Daemon, exchange: Exchange) -> None:
    with exchange.connection.watch_peer() as peer:
        await exchange.wait_effect()
    if peer.cancelled_caught:
        event = CallerLeft(at=daemon.read_now(), request_id=exchange.request_id)
        daemon.dispatch(event)


async def _send_refusal(
    connection: ServerConnection, refusal: Refusal, close: bool = True
) -> None:
    body = encode_refusal(refusal)
    await connection.send_response(get_status(refusal), JSON_HEADERS, body, close)
