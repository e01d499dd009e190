"""Sends orders to backend servers over HTTP."""

from json import dumps

from geraniumhall_core.effects import SendOrder
from geraniumhall_core.events import OrderAnswered
from geraniumhall_core.orders import OrderOutcome
from geraniumhall_daemon.daemon import PERFORMERS, Daemon
from geraniumhall_net.client import (
    ConnectFailedError,
    ExchangeFailedError,
    request_whole,
)
from geraniumhall_wire.caller import UpstreamRequest

ORDER_TARGET = b"/orders"
JSON_HEADERS = ((b"content-type", b"application/json"),)
OUTCOMES_BY_STATUS = {200: OrderOutcome.ACCEPTED, 409: OrderOutcome.REJECTED}


@PERFORMERS.performs(SendOrder)
async def send_order(daemon: Daemon, effect: SendOrder) -> None:
    """Send an order and report how that ended."""
    outcome = await _send(daemon, effect)
    daemon.dispatch(
        OrderAnswered(
            at=daemon.read_now(),
            server=effect.server,
            intent=effect.intent,
            version=effect.version,
            outcome=outcome,
        )
    )


async def _send(daemon: Daemon, effect: SendOrder) -> OrderOutcome:
    data = {
        "role": effect.intent.role.value,
        "fencing_token": effect.intent.fencing_token,
    }
    request = UpstreamRequest(b"POST", ORDER_TARGET, JSON_HEADERS, dumps(data).encode())
    try:
        response = await request_whole(
            daemon.pool, effect.address, request, effect.timeout, reuse=False
        )
    except ConnectFailedError:
        return OrderOutcome.NOT_SENT
    except ExchangeFailedError:
        return OrderOutcome.UNKNOWN
    return OUTCOMES_BY_STATUS.get(response.head.status, OrderOutcome.UNKNOWN)
