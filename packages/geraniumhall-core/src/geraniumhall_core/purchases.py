"""Orders for backend servers to the platform, each recorded before it is sent.

One purchase stands for a failure domain and model at a time. Its order id is
part of the record, and the platform takes an id once; so whoever is in charge
sends the same order until it is answered, and makes the next one only then.
"""

from enum import Enum

import attrs

from geraniumhall_core.platform import ServerOrder
from geraniumhall_core.records import RECORD_KINDS


@RECORD_KINDS.register("capacity")
@attrs.frozen(kw_only=True)
class CapacityWish:
    """How many backend servers operators want ordered in all.

    The platform's own record of orders counts what was ordered before.
    """

    failure_domain: str
    model: str
    count: int = attrs.field(validator=attrs.validators.ge(0))


class PurchaseStatus(Enum):
    """Whether the platform has answered an order."""

    OPEN = "open"
    DONE = "done"


@RECORD_KINDS.register("purchase")
@attrs.frozen(kw_only=True)
class Purchase:
    """The last order for backend servers under one wish."""

    order: ServerOrder
    term: int
    number: int
    status: PurchaseStatus = PurchaseStatus.OPEN


@attrs.define
class PurchaseState:
    """What the process in charge of a wish is doing."""

    is_calling: bool = False
    next_call_at: float = float("-inf")


def count_ordered(orders: tuple[ServerOrder, ...], model: str) -> int:
    """Return how many servers of a model were ordered."""
    return sum(order.count for order in orders if order.model == model)
