"""Performer that sends role orders to backend servers over HTTP."""

from geraniumhall_core.effects import SendOrder
from geraniumhall_core.events import OrderAnswered
from geraniumhall_core.orders import OrderOutcome
from geraniumhall_daemon.daemon import PERFORMERS, Daemon
from geraniumhall_net.bodies import MAX_SHORT_BODY_BYTES
from geraniumhall_net.client import (
    ConnectFailedError,
    ExchangeFailedError,
    build_json_request,
    fetch_response,
)

ORDER_TARGET = "/orders"
OUTCOMES_BY_STATUS = {200: OrderOutcome.ACCEPTED, 409: OrderOutcome.REJECTED}


@PERFORMERS.performs(SendOrder)
async def send_order(daemon: Daemon, effect: SendOrder) -> None:
    """Send an order and dispatch its outcome."""
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
    request = build_json_request("POST", ORDER_TARGET, data)
    try:
        response = await fetch_response(
            daemon.pool,
            effect.address,
            request,
            effect.timeout,
            reuse=False,
            max_body=MAX_SHORT_BODY_BYTES,
        )
    except ConnectFailedError:
        return OrderOutcome.NOT_SENT
    except ExchangeFailedError:
        return OrderOutcome.UNKNOWN
    return OUTCOMES_BY_STATUS.get(response.head.status, OrderOutcome.UNKNOWN)
