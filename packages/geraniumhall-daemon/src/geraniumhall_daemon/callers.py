"""The listener for callers."""

import trio

from geraniumhall_core.events import CallerLeft, RequestArrived
from geraniumhall_core.refusals import Refusal
from geraniumhall_daemon.daemon import Daemon
from geraniumhall_daemon.exchanges import EXCHANGE_STEPS, Exchange
from geraniumhall_daemon.serving import send_refusal, serve_connection
from geraniumhall_net.server import ReceivedRequest, ServerConnection, ServerLimits
from geraniumhall_wire.caller import parse_call


async def serve_caller(daemon: Daemon, stream: trio.abc.Stream) -> None:
    """Serve one caller's connection until it closes."""
    settings = daemon.settings.callers
    limits = ServerLimits(
        max_head=settings.max_head,
        max_body=settings.max_body,
        read_timeout=settings.read_timeout,
        idle_timeout=settings.idle_timeout,
    )
    await serve_connection(daemon, stream, limits, serve_call)


async def serve_call(
    daemon: Daemon, connection: ServerConnection, received: ReceivedRequest
) -> bool:
    """Answer one request; return whether the connection may go on."""
    call = parse_call(daemon.name_request(), received.head, received.body)
    if isinstance(call, Refusal):
        is_draining = daemon.state.is_draining
        await send_refusal(connection, call, close=is_draining)
        return not is_draining
    exchange = Exchange(call, connection)
    daemon.exchanges[exchange.request_id] = exchange
    try:
        event = RequestArrived(
            at=daemon.read_now(), request=call.request, draws=daemon.draw()
        )
        daemon.dispatch(event)
        await _run_exchange(daemon, exchange)
    finally:
        daemon.end_exchange(exchange.request_id)
    return not exchange.must_close


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
