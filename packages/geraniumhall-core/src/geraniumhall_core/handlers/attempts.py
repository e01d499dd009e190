"""Sends accepted requests to backend servers and decides what a failure means."""

from collections.abc import Iterator
from math import inf

from geraniumhall_core.effects import (
    AbortResponse,
    CloseExchange,
    LogField,
    RefuseRequest,
    RelayRequest,
    WriteLog,
)
from geraniumhall_core.events import AttemptEnded, ResponseStarted
from geraniumhall_core.handlers.claims import settle_claim
from geraniumhall_core.handlers.reducer import REDUCER
from geraniumhall_core.reducer import Effect
from geraniumhall_core.refusals import (
    DEADLINE_EXCEEDED,
    NO_SERVER,
    UPSTREAM_FAILED,
    Refusal,
)
from geraniumhall_core.requests import AttemptOutcome, Phase, RequestRecord
from geraniumhall_core.routing import ROUTING_POLICIES, RoutingQuery, ServerView
from geraniumhall_core.state import DaemonState
from geraniumhall_core.usage import UsageFigures
from geraniumhall_core.verdict import Verdict

SERVER_FAULTS = frozenset(
    {AttemptOutcome.CONNECT_FAILED, AttemptOutcome.BROKEN, AttemptOutcome.BUSY}
)


@REDUCER.handles(ResponseStarted)
def mark_started(state: DaemonState, event: ResponseStarted) -> Iterator[Effect]:
    """Note that the caller has the head, so that no retry can be hidden."""
    record = state.requests.get(event.request_id)
    if record is not None and record.attempt_id == event.attempt_id:
        record.response_started = True
    yield from ()


@REDUCER.handles(AttemptEnded)
def conclude_attempt(state: DaemonState, event: AttemptEnded) -> Iterator[Effect]:
    """End the request, or try another backend server where that is safe."""
    record = state.requests.get(event.request_id)
    if record is None or record.attempt_id != event.attempt_id:
        return
    record.verdict = record.verdict.join(event.verdict)
    _update_load(state, record, event)
    if event.outcome is AttemptOutcome.COMPLETED:
        _count_answer(state, record, event)
        yield from end_request(state, record)
        yield CloseExchange(request_id=event.request_id)
    elif _may_retry(state, record, event):
        state.counters["attempts.retried"] += 1
        yield from _start_attempt(state, record, event.at, event.draws)
    else:
        yield from _fail_request(state, record, event)
    yield from dispatch_waiting(state, record.entry, event.at, event.draws)


def enqueue_request(
    state: DaemonState, record: RequestRecord, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    """Put an accepted request in its entry's queue and start what can run."""
    record.phase = Phase.QUEUED
    queue = state.find_queue(record.entry)
    queue.add_waiting(record.workspace, record.request.request_id)
    yield from dispatch_waiting(state, record.entry, now, draws)


def dispatch_waiting(
    state: DaemonState, entry: str, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    """Start waiting requests of an entry while it has room.

    Those of an entry that was deleted are all started, and refused for want
    of a backend server.
    """
    queue = state.find_queue(entry)
    known = state.catalogue.entries.get(entry)
    room = known.limits.max_running if known else inf
    while queue.running < room:
        request_id = queue.take_next()
        if request_id is None:
            return
        record = state.requests[request_id]
        queue.running += 1
        _charge_service(state, record, record.request.prompt_tokens, 0)
        yield from _start_attempt(state, record, now, draws)


def end_request(state: DaemonState, record: RequestRecord) -> Iterator[Effect]:
    """Forget a request and give back its place; its claim is settled."""
    del state.requests[record.request.request_id]
    if record.phase is Phase.RUNNING:
        state.find_queue(record.entry).running -= 1
    yield from settle_claim(record)


def expire_waiting(state: DaemonState, now: float) -> Iterator[Effect]:
    """Refuse waiting requests whose deadline passed."""
    for record in list(state.requests.values()):
        if record.phase is Phase.QUEUED and record.deadline <= now:
            queue = state.find_queue(record.entry)
            queue.remove_waiting(record.workspace, record.request.request_id)
            yield from refuse_accepted(state, record, DEADLINE_EXCEEDED)


def refuse_accepted(
    state: DaemonState, record: RequestRecord, refusal: Refusal
) -> Iterator[Effect]:
    """Refuse a request after it was accepted."""
    state.counters[f"requests.refused.{refusal.code}"] += 1
    yield from end_request(state, record)
    request_id = record.request.request_id
    if record.response_started:
        yield AbortResponse(request_id=request_id, refusal=refusal)
    else:
        yield RefuseRequest(request_id=request_id, refusal=refusal)


def _start_attempt(
    state: DaemonState, record: RequestRecord, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    record.phase = Phase.RUNNING
    if record.deadline <= now:
        refusal = DEADLINE_EXCEEDED.with_verdict(record.verdict)
        yield from refuse_accepted(state, record, refusal)
        return
    name = _choose_server(state, record, now, draws)
    if name is None:
        refusal = NO_SERVER.with_verdict(record.verdict)
        yield from refuse_accepted(state, record, refusal)
        return
    record.attempts += 1
    record.server = name
    record.tried.add(name)
    state.find_load(name).outstanding += 1
    yield RelayRequest(
        request_id=record.request.request_id,
        attempt_id=record.attempt_id,
        server=name,
        address=state.catalogue.servers[name].address,
        timeout=record.deadline - now,
        reuse=record.repeatable,
    )


def _choose_server(
    state: DaemonState, record: RequestRecord, now: float, draws: tuple[float, float]
) -> str | None:
    names = state.catalogue.servers_by_entry.get(record.entry, ())
    usable = [n for n in names if n not in record.tried and _is_usable(state, n, now)]
    if not usable:
        usable = [n for n in names if n not in record.tried]
    if not usable:
        return None
    views = [ServerView(name, state.find_load(name).outstanding) for name in usable]
    state.turn += 1
    query = RoutingQuery(
        prefix=record.request.prefix,
        turn=state.turn,
        draw=draws[0],
        second_draw=draws[1],
    )
    return ROUTING_POLICIES.find(state.policy.routing)(views, query).name


def _is_usable(state: DaemonState, name: str, now: float) -> bool:
    load = state.loads.get(name)
    return load is None or load.is_usable(now)


def _update_load(
    state: DaemonState, record: RequestRecord, event: AttemptEnded
) -> None:
    load = state.find_load(record.server)
    load.outstanding -= 1
    if event.outcome is AttemptOutcome.COMPLETED:
        load.record_success()
    elif event.outcome in SERVER_FAULTS:
        policy = state.policy
        load.record_failure(event.at, policy.suspend_base, policy.suspend_limit)
        state.counters[f"attempts.{event.outcome.value}"] += 1


def _may_retry(state: DaemonState, record: RequestRecord, event: AttemptEnded) -> bool:
    if event.outcome not in SERVER_FAULTS or record.response_started:
        return False
    if not record.repeatable and record.verdict is not Verdict.NOT_RUN:
        return False
    if record.attempts >= state.policy.max_attempts or record.deadline <= event.at:
        return False
    return state.retry_budget.try_spend()


def _fail_request(
    state: DaemonState, record: RequestRecord, event: AttemptEnded
) -> Iterator[Effect]:
    if event.outcome is AttemptOutcome.CALLER_LEFT:
        state.counters["requests.abandoned"] += 1
        _count_answer(state, record, event)
        yield from end_request(state, record)
        yield CloseExchange(request_id=event.request_id)
        return
    refusal = NO_SERVER if record.verdict is Verdict.NOT_RUN else UPSTREAM_FAILED
    if event.outcome is AttemptOutcome.TIMED_OUT:
        refusal = DEADLINE_EXCEEDED
    yield WriteLog(
        level="warning",
        event="request_failed",
        fields=(
            LogField("request", event.request_id),
            LogField("server", record.server),
            LogField("outcome", event.outcome.value),
            LogField("reason", event.reason),
        ),
    )
    yield from refuse_accepted(state, record, refusal.with_verdict(record.verdict))


def _count_answer(
    state: DaemonState, record: RequestRecord, event: AttemptEnded
) -> None:
    if event.outcome is AttemptOutcome.COMPLETED:
        state.counters["requests.completed"] += 1
    state.counters["tokens.prompt"] += event.prompt_tokens
    state.counters["tokens.generated"] += event.generated_tokens
    figures = UsageFigures(1, event.prompt_tokens, event.generated_tokens)
    state.usage.add(event.wall_time, (record.workspace, record.entry), figures)
    surplus = event.prompt_tokens - record.request.prompt_tokens
    _charge_service(state, record, max(0, surplus), event.generated_tokens)


def _charge_service(
    state: DaemonState, record: RequestRecord, prefill: int, decode: int
) -> None:
    policy = state.policy
    cost = prefill * policy.prefill_price + decode * policy.decode_price
    workspace = state.catalogue.workspaces.get(record.workspace)
    weight = workspace.weight if workspace else 1.0
    state.find_queue(record.entry).charge(record.workspace, cost, weight)
