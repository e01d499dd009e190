"""Simulated backend servers, which accept or reject orders by fencing token."""

import attrs

from geraniumhall_core.orders import OrderIntent


@attrs.define
class SimulatedServer:
    """A backend server and the orders that it accepted, oldest first.

    Each order is kept with the virtual time of its arrival in seconds.
    """

    accepted_orders: list[tuple[float, OrderIntent]] = attrs.field(factory=list)
    highest_token: int = 0

    def accept_order(
        self, at: float, intent: OrderIntent, checks_fencing: bool
    ) -> bool:
        """Accept an order and return True, or return False if its token is stale.

        A server that does not check fencing accepts every order.
        """
        if checks_fencing and intent.fencing_token < self.highest_token:
            return False
        self.highest_token = max(self.highest_token, intent.fencing_token)
        self.accepted_orders.append((at, intent))
        return True
