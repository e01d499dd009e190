"""Reconciles the roles of backend servers with what operators want."""

from collections.abc import Iterator

import attrs

from geraniumhall_core.effects import CallPlatform, LogField, SendOrder, WriteLog
from geraniumhall_core.events import OrderAnswered, PlatformAnswered
from geraniumhall_core.handlers.access import take_request
from geraniumhall_core.handlers.leases import find_held_term
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.handlers.reducer import REDUCER
from geraniumhall_core.orders import (
    DesiredRole,
    IntentStatus,
    OrderIntent,
    OrderOutcome,
    OrderState,
    compute_fencing_token,
    find_latest,
    may_replace,
)
from geraniumhall_core.platform import (
    GetObject,
    ObjectFound,
    ObjectMissing,
    PutObject,
    Written,
)
from geraniumhall_core.purposes import ReadIntent, RecordOutcome, WriteIntent
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.reducer import Effect
from geraniumhall_core.revisions import Revision
from geraniumhall_core.state import DaemonState

INTENT_KIND = "intent"
ORDER_INTERVAL_SECONDS = 2.0
ORDER_TIMEOUT_SECONDS = 5.0

STATUS_BY_OUTCOME = {
    OrderOutcome.ACCEPTED: IntentStatus.DONE,
    OrderOutcome.REJECTED: IntentStatus.REJECTED,
    OrderOutcome.NOT_SENT: IntentStatus.REJECTED,
    OrderOutcome.UNKNOWN: IntentStatus.DOUBTFUL,
}


def reconcile_roles(state: DaemonState, now: float) -> Iterator[Effect]:
    """Read the intents of all servers with a desired role, if the lease is held."""
    if find_held_term(state, now) is None:
        return
    for name in state.catalogue.desired_roles:
        if name not in state.catalogue.servers:
            continue
        order = state.orders.setdefault(name, OrderState())
        if order.is_calling or order.is_sending or now < order.next_call_at:
            continue
        order.is_calling = True
        order.next_call_at = now + ORDER_INTERVAL_SECONDS
        yield CallPlatform(
            purpose=ReadIntent(name), message=GetObject(_build_intent_key(name))
        )


def observe_intents(state: DaemonState, changes: list[VersionedRecord]) -> None:
    """Remember the intents of a feed, which the store may lose in a rewind."""
    for item in changes:
        if item.key.kind != INTENT_KIND:
            continue
        if item.record is DELETED:
            state.intents.pop(item.key.name, None)
        else:
            known = state.intents.get(item.key.name, item.record)
            state.intents[item.key.name] = find_latest(item.record, known)


@ANSWER_HANDLERS.register(ReadIntent)
def handle_intent_read(
    state: DaemonState, event: PlatformAnswered, purpose: ReadIntent
) -> Iterator[Effect]:
    """Start, repeat or block an order, depending on the recorded intent."""
    order = state.orders[purpose.server]
    order.is_calling = False
    term = _find_server_term(state, purpose.server, event.at)
    desired = state.catalogue.desired_roles.get(purpose.server)
    if term is None or desired is None:
        return
    known = state.intents.get(purpose.server) if state.era.number else None
    if isinstance(event.answer, ObjectMissing):
        intent, version = known, state.era.absent_version
    elif isinstance(event.answer, ObjectFound):
        version, intent = event.answer.object.version, event.answer.object.record
        intent = find_latest(intent, known or intent)
    else:
        return
    if intent is None:
        yield from _start_order(state, purpose.server, desired, term, None, version)
    else:
        found = VersionedRecord(_build_intent_key(purpose.server), version, intent)
        yield from _reconcile_intent(
            state, purpose.server, desired, term, found, event.at
        )


@ANSWER_HANDLERS.register(WriteIntent)
def handle_intent_written(
    state: DaemonState, event: PlatformAnswered, purpose: WriteIntent
) -> Iterator[Effect]:
    """Send an order once its intent is written, if the lease is still held.

    If the outcome of the write is unknown, nothing is sent: the next read
    shows whether the intent was recorded.
    """
    order = state.orders[purpose.server]
    order.is_calling = False
    has_authority = _find_server_term(state, purpose.server, event.at) is not None
    if isinstance(event.answer, Written) and has_authority:
        version = event.answer.version
        intent = purpose.intent
        yield from _send_intent(state, purpose.server, intent, version, event.at)


@REDUCER.handles(OrderAnswered)
def record_outcome(state: DaemonState, event: OrderAnswered) -> Iterator[Effect]:
    """Record the outcome of an order that this process sent.

    An order whose outcome is unknown may still arrive. Its token stays
    doubtful, also if the same order is accepted later. Nothing is recorded for an
    intent that is already doubtful or that another process issued, or in another era
    of the store than that of the intent.
    """
    order = state.orders[event.server]
    order.is_sending = False
    fields = (
        LogField("server", event.server),
        LogField("role", event.intent.role.value),
        LogField("outcome", event.outcome.value),
    )
    yield WriteLog(level="info", event="order_answered", fields=fields)
    if event.outcome is OrderOutcome.UNKNOWN:
        order.doubtful_tokens.add(event.intent.fencing_token)
    status = STATUS_BY_OUTCOME[event.outcome]
    if event.intent.fencing_token in order.doubtful_tokens:
        status = IntentStatus.DOUBTFUL
    if event.intent.status is IntentStatus.DOUBTFUL:
        return
    if not event.intent.is_issued_by(state.policy.host, state.policy.incarnation):
        return
    answered = attrs.evolve(event.intent, status=status)
    state.intents[event.server] = answered
    if event.version.era != state.era.number:
        return
    message = PutObject(_build_intent_key(event.server), answered, event.version)
    order.is_calling = True
    yield CallPlatform(purpose=RecordOutcome(event.server), message=message)


@ANSWER_HANDLERS.register(RecordOutcome)
def handle_outcome_recorded(
    state: DaemonState, event: PlatformAnswered, purpose: RecordOutcome
) -> Iterator[Effect]:
    """Allow the server's next call; if the write failed, the intent stays open."""
    state.orders[purpose.server].is_calling = False
    yield from ()


def _reconcile_intent(
    state: DaemonState,
    server: str,
    desired: DesiredRole,
    term: int,
    found: VersionedRecord,
    now: float,
) -> Iterator[Effect]:
    intent, version = found.record, found.version
    is_wanted = intent.role is desired.role
    if is_wanted and intent.status is IntentStatus.DONE:
        return
    checks_fencing = state.catalogue.servers[server].checks_fencing
    if may_replace(intent, checks_fencing):
        yield from _start_order(state, server, desired, term, intent, version)
    elif is_wanted:
        yield from _send_intent(state, server, intent, version, now)
    else:
        fields = (LogField("server", server), LogField("role", desired.role.value))
        yield WriteLog(level="warning", event="order_blocked", fields=fields)


def _start_order(
    state: DaemonState,
    server: str,
    desired: DesiredRole,
    term: int,
    previous: OrderIntent | None,
    version: Revision,
) -> Iterator[Effect]:
    intent = OrderIntent(
        role=desired.role,
        fencing_token=compute_fencing_token(term, previous),
        host=state.policy.host,
        incarnation=state.policy.incarnation,
        era=state.era.number,
    )
    state.orders[server].is_calling = True
    message = PutObject(_build_intent_key(server), intent, version)
    yield CallPlatform(purpose=WriteIntent(server, intent), message=message)


def _send_intent(
    state: DaemonState, server: str, intent: OrderIntent, version: Revision, now: float
) -> Iterator[Effect]:
    """Send an order; one to a server that takes no request now is sent later."""
    record = state.catalogue.servers.get(server)
    if record is None or not take_request(state, server, now):
        return
    state.orders[server].is_sending = True
    yield SendOrder(
        server=server,
        address=record.address,
        intent=intent,
        version=version,
        timeout=ORDER_TIMEOUT_SECONDS,
    )


def _find_server_term(state: DaemonState, server: str, now: float) -> int | None:
    record = state.catalogue.servers.get(server)
    if record is None:
        return None
    return find_held_term(state, now)


def _build_intent_key(server: str) -> ObjectKey:
    return ObjectKey(INTENT_KIND, server)
