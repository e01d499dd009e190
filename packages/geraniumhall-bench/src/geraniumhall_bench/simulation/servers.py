"""Backend servers that take orders and answer requests after a fixed time."""

import attrs

from geraniumhall_core.orders import OrderIntent


@attrs.define
class SimulatedServer:
    """A backend server and the orders that it took, in order."""

    accepted_orders: list[tuple[float, OrderIntent]] = attrs.field(factory=list)
    highest_token: int = 0

    def accept_order(
        self, at: float, intent: OrderIntent, checks_fencing: bool
    ) -> bool:
        """Take an order, or reject it for its token."""
        if checks_fencing and intent.fencing_token < self.highest_token:
            return False
        self.highest_token = max(self.highest_token, intent.fencing_token)
        self.accepted_orders.append((at, intent))
        return True
