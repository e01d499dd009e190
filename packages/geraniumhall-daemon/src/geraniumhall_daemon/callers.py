"""The callers' API: connections, their limits, and one exchange per request."""

import trio

from geraniumhall_core.events import (
    CallerDisconnected,
    RequestAbandoned,
    RequestArrived,
)
from geraniumhall_core.refusals import Refusal
from geraniumhall_daemon.daemon import Daemon
from geraniumhall_daemon.exchanges import EXCHANGE_PERFORMERS, Exchange
from geraniumhall_daemon.serving import CALLERS, send_refusal, serve_connection
from geraniumhall_net.server import ReceivedRequest, ServerConnection, ServerLimits


async def serve_caller(daemon: Daemon, stream: trio.abc.Stream) -> None:
    """Serve a caller's connection until it closes."""

    def read_limits() -> ServerLimits:
        return choose_limits(daemon)

    await serve_connection(daemon, stream, read_limits, serve_call, CALLERS)


def choose_limits(daemon: Daemon) -> ServerLimits:
    """Return the limits of the operators' configuration, or of the settings.

    The settings apply if the configuration has none. The time for a whole request and
    the progress of its body always come from the settings.
    """
    configuration = daemon.state.catalogue.configuration
    bounds = configuration.bounds if configuration else None
    if bounds is None:
        settings = daemon.settings.callers
        return ServerLimits(
            max_head=settings.max_head,
            max_body=settings.max_body,
            read_timeout=settings.read_timeout,
            idle_timeout=settings.idle_timeout,
            min_progress=settings.min_progress,
            progress_window=settings.progress_window,
        )
    return ServerLimits(
        max_head=bounds.max_head,
        max_body=bounds.max_body,
        head_timeout=bounds.head_timeout,
        read_timeout=daemon.settings.callers.read_timeout,
        idle_timeout=bounds.idle_timeout,
        min_progress=daemon.settings.callers.min_progress,
        progress_window=daemon.settings.callers.progress_window,
    )


async def serve_call(
    daemon: Daemon, connection: ServerConnection, received: ReceivedRequest
) -> bool:
    """Answer one request; return whether the connection can serve another."""
    request_id = daemon.generate_request_id()
    call = daemon.front.parse_call(request_id, received.head, received.body)
    if isinstance(call, Refusal):
        daemon.limit_log.record_limit(call.code)
        is_draining = daemon.state.is_draining
        await send_refusal(daemon, connection, call, close=is_draining)
        return not is_draining
    if await connection.check_disconnected():
        daemon.dispatch(
            RequestAbandoned(
                at=daemon.read_now(), request=call.request, age=received.age
            )
        )
        return False
    exchange = Exchange(call, connection)
    daemon.exchanges[exchange.request_id] = exchange
    arrived_at = daemon.read_now()
    try:
        daemon.dispatch(
            RequestArrived(
                at=arrived_at,
                request=call.request,
                draws=daemon.draw(),
                age=received.age,
            )
        )
        await _run_exchange(daemon, exchange)
    finally:
        daemon.end_exchange(exchange.request_id)
        daemon.metrics.observe_answer(daemon.read_now() - arrived_at)
    return not exchange.must_close


async def _run_exchange(daemon: Daemon, exchange: Exchange) -> None:
    while not exchange.is_finished:
        if not exchange.has_effect:
            await _await_effect_or_disconnect(daemon, exchange)
        effect = await exchange.receive_effect()
        await EXCHANGE_PERFORMERS.find(type(effect))(daemon, exchange, effect)


async def _await_effect_or_disconnect(daemon: Daemon, exchange: Exchange) -> None:
    with exchange.connection.cancel_on_disconnect() as peer:
        await exchange.wait_for_effect()
    if peer.cancelled_caught:
        event = CallerDisconnected(at=daemon.read_now(), request_id=exchange.request_id)
        daemon.dispatch(event)
