"""Orders the backend servers that operators want from the platform."""

from collections.abc import Iterator

import attrs

from geraniumhall_core.effects import CallPlatform, LogField, WriteLog
from geraniumhall_core.events import PlatformAnswered
from geraniumhall_core.handlers.leases import find_term, name_order_lease
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.platform import (
    GetObject,
    ListOrders,
    Message,
    ObjectFound,
    ObjectMissing,
    OrderAccepted,
    OrderListing,
    OrderServers,
    PutObject,
    ServerOrder,
    Written,
)
from geraniumhall_core.purchases import (
    CapacityWish,
    Purchase,
    PurchaseState,
    PurchaseStatus,
    count_ordered,
)
from geraniumhall_core.purposes import (
    CountOrdered,
    FinishPurchase,
    Purpose,
    ReadPurchase,
    SendPurchase,
    StartPurchase,
)
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.reducer import Effect
from geraniumhall_core.state import DaemonState

PURCHASE_INTERVAL_SECONDS = 5.0


def tend_purchases(state: DaemonState, now: float) -> Iterator[Effect]:
    """Look after the wishes of the failure domains in charge."""
    for name in state.catalogue.capacities:
        if _find_wish_term(state, name, now) is None:
            continue
        purchase = state.purchases.setdefault(name, PurchaseState())
        if not purchase.is_calling and now >= purchase.next_call_at:
            purchase.next_call_at = now + PURCHASE_INTERVAL_SECONDS
            message = GetObject(_name_purchase(name))
            yield _call(state, name, ReadPurchase(name), message)


@ANSWER_HANDLERS.register(ReadPurchase)
def judge_purchase(
    state: DaemonState, event: PlatformAnswered, purpose: ReadPurchase
) -> Iterator[Effect]:
    """Send what stands open again; else count what was ordered so far."""
    name = purpose.wish
    term = _begin_step(state, name, event.at)
    if term is None:
        return
    if isinstance(event.answer, ObjectFound):
        last: Purchase = event.answer.object.record
        version = event.answer.object.version
        if last.status is PurchaseStatus.OPEN:
            yield _send(state, name, last, version, term)
        else:
            yield _count(state, name, last.number, version)
    elif isinstance(event.answer, ObjectMissing):
        yield _count(state, name, 0, 0)


@ANSWER_HANDLERS.register(CountOrdered)
def start_purchase(
    state: DaemonState, event: PlatformAnswered, purpose: CountOrdered
) -> Iterator[Effect]:
    """Record an order for what is missing."""
    name = purpose.wish
    term = _begin_step(state, name, event.at)
    wish = state.catalogue.capacities.get(name)
    if term is None or wish is None or not isinstance(event.answer, OrderListing):
        return
    missing = wish.count - count_ordered(event.answer.orders, wish.model)
    if missing <= 0:
        return
    purchase = _build_purchase(name, wish, missing, purpose.number + 1, term)
    message = PutObject(_name_purchase(name), purchase, purpose.version)
    yield _call(state, name, StartPurchase(name, purchase), message)


@ANSWER_HANDLERS.register(StartPurchase)
def send_purchase(
    state: DaemonState, event: PlatformAnswered, purpose: StartPurchase
) -> Iterator[Effect]:
    """Send an order once it is recorded and authority still holds."""
    term = _begin_step(state, purpose.wish, event.at)
    if term is not None and isinstance(event.answer, Written):
        version = event.answer.version
        yield _send(state, purpose.wish, purpose.purchase, version, term)


@ANSWER_HANDLERS.register(SendPurchase)
def finish_purchase(
    state: DaemonState, event: PlatformAnswered, purpose: SendPurchase
) -> Iterator[Effect]:
    """Record that the platform took the order; otherwise it stays open."""
    state.purchases[purpose.wish].is_calling = False
    if not isinstance(event.answer, OrderAccepted):
        return
    order = purpose.purchase.order
    fields = (LogField("order", order.order_id), LogField("count", order.count))
    yield WriteLog(level="info", event="servers_ordered", fields=fields)
    done = attrs.evolve(purpose.purchase, status=PurchaseStatus.DONE)
    message = PutObject(_name_purchase(purpose.wish), done, purpose.version)
    yield _call(state, purpose.wish, FinishPurchase(purpose.wish), message)


@ANSWER_HANDLERS.register(FinishPurchase)
def note_finished(
    state: DaemonState, event: PlatformAnswered, purpose: FinishPurchase
) -> Iterator[Effect]:
    """Go on; an order left open is sent again under its own id."""
    state.purchases[purpose.wish].is_calling = False
    yield from ()


def _begin_step(state: DaemonState, name: str, now: float) -> int | None:
    """Note that a call ended; return the term if authority still holds."""
    state.purchases[name].is_calling = False
    return _find_wish_term(state, name, now)


def _send(
    state: DaemonState, name: str, purchase: Purchase, version: int, term: int
) -> CallPlatform:
    order = purchase.order
    message = OrderServers(
        order.order_id, order.failure_domain, order.model, order.count, term
    )
    return _call(state, name, SendPurchase(name, purchase, version), message)


def _count(state: DaemonState, name: str, number: int, version: int) -> CallPlatform:
    domain = state.catalogue.capacities[name].failure_domain
    purpose = CountOrdered(name, number, version)
    return _call(state, name, purpose, ListOrders(domain))


def _build_purchase(
    name: str, wish: CapacityWish, count: int, number: int, term: int
) -> Purchase:
    order = ServerOrder(f"{name}.{number}", wish.failure_domain, wish.model, count)
    return Purchase(order=order, term=term, number=number)


def _call(
    state: DaemonState, name: str, purpose: Purpose, message: Message
) -> CallPlatform:
    state.purchases[name].is_calling = True
    return CallPlatform(purpose=purpose, message=message)


def _find_wish_term(state: DaemonState, name: str, now: float) -> int | None:
    wish = state.catalogue.capacities.get(name)
    if wish is None:
        return None
    return find_term(state, name_order_lease(wish.failure_domain), now)


def _name_purchase(wish: str) -> ObjectKey:
    return ObjectKey("purchase", wish)
