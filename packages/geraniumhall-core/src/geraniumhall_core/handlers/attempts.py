"""Attempts: sends admitted requests to backend servers and retries failures."""

from collections.abc import Iterator
from math import inf

from geraniumhall_core.effects import (
    AbortResponse,
    CloseExchange,
    LogField,
    PrefillPrompt,
    RefuseRequest,
    RelayRequest,
    WatchHold,
)
from geraniumhall_core.events import (
    AttemptEnded,
    HoldEnded,
    PrefillEnded,
    ResponseStarted,
)
from geraniumhall_core.handlers.access import describe_closed
from geraniumhall_core.handlers.accounting import (
    charge_workspace,
    count_request,
    count_tokens,
)
from geraniumhall_core.handlers.asking import ask_for_token
from geraniumhall_core.handlers.limits import refund_cost
from geraniumhall_core.handlers.notices import record_notice
from geraniumhall_core.handlers.placement import Placement, find_placement, place_decode
from geraniumhall_core.handlers.quarantine import (
    describe_hold,
    examine_break,
    find_held_part,
    may_repeat,
    prove_parts,
)
from geraniumhall_core.handlers.reducer import REDUCER
from geraniumhall_core.handlers.reports import report_load
from geraniumhall_core.handlers.request_logs import (
    log_abandoned,
    log_admission,
    log_attempt_failed,
    log_failure,
    log_placement,
    log_progress,
)
from geraniumhall_core.handlers.retries import can_retry_error, may_retry
from geraniumhall_core.handlers.room import (
    build_query,
    compute_return_seconds,
    count_refusal,
    learn_answer,
    learn_first,
    note_outcome,
    observe_arrival,
    plan_answer,
    rank_request,
)
from geraniumhall_core.handlers.server_use import (
    assign_server,
    finish_prefill,
    release_kv_cache,
    release_memory,
    release_server,
)
from geraniumhall_core.handlers.speeds import observe_attempt, observe_first_event
from geraniumhall_core.overload import (
    ADMISSION_POLICIES,
    AdmissionQuery,
    AdmissionVerdict,
)
from geraniumhall_core.reducer import Effect
from geraniumhall_core.refusals import (
    DEADLINE_EXCEEDED,
    DRAINING,
    NO_SERVER,
    OVERLOADED,
    SERVERS_RESTRICTED,
    UPSTREAM_FAILED,
    Refusal,
)
from geraniumhall_core.requests import AttemptOutcome, Phase, RequestRecord
from geraniumhall_core.returns import RETURN_POLICIES
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict

# Phases of requests that have left their entry's queue.
PLACED_PHASES = (Phase.ASKING, Phase.HELD, Phase.PREFILL, Phase.RUNNING)
MAX_TRIED = 4  # waiting requests for which room is looked for at one event


@REDUCER.handles(ResponseStarted)
def mark_response_started(
    state: DaemonState, event: ResponseStarted
) -> Iterator[Effect]:
    """Record that the response head reached the caller.

    From then on a retry would be visible to the caller, so none is made.
    """
    yield from record_notice(state, event.notice, event.at)
    record = state.requests.get(event.request_id)
    if record is not None and record.attempt_id == event.attempt_id:
        record.response_started = True
        record.began_at = event.at
        learn_first(state, record, event.at)
        state.get_load(record.server).record_room(record.sent_at)
        finish_prefill(state, record)
        observe_first_event(state, record, event.at)
        count_request(state, record, event.wall_time)
        yield log_progress("answer_started", record, event.at)
        yield from report_load(state, event.at)


@REDUCER.handles(PrefillEnded)
def continue_after_prefill(state: DaemonState, event: PrefillEnded) -> Iterator[Effect]:
    """Start the decode phase after a prefill, or retry or fail the request."""
    yield from record_notice(state, event.notice, event.at)
    record = state.requests.get(event.request_id)
    if record is None or record.attempt_id != event.attempt_id:
        if event.kv_cache is not None:
            yield from release_memory(state, event.kv_cache, event.at)
        return
    release_server(state, record, event.at, event.outcome)
    observe_attempt(state, record, event)
    note_outcome(state, record, event.outcome, event.at)
    if event.outcome is AttemptOutcome.COMPLETED:
        record.kv_cache = event.kv_cache
        yield log_progress("prompt_read", record, event.at)
        yield from _start_decode(state, record, event.at, event.draws)
    elif may_retry(state, record, event.outcome, event.at):
        state.counters["attempts.retried"] += 1
        yield from _start_attempt(state, record, event.at, event.draws)
    else:
        yield from _fail_request(
            state, record, event.outcome, event.reason, event.at, event.draws
        )
    yield from dispatch_waiting(state, record.entry, event.at, event.draws)
    yield from place_waiting(state, record.service, event.at, event.draws)
    yield from report_load(state, event.at)


@REDUCER.handles(AttemptEnded)
def conclude_attempt(state: DaemonState, event: AttemptEnded) -> Iterator[Effect]:
    """Finish the request, or retry on another backend server if that is safe."""
    yield from record_notice(state, event.notice, event.at)
    record = state.requests.get(event.request_id)
    if record is None or record.attempt_id != event.attempt_id:
        return
    record.verdict = record.verdict.join(event.verdict)
    record.runs += event.verdict is not Verdict.NOT_RUN
    release_server(state, record, event.at, event.outcome)
    observe_attempt(state, record, event)
    note_outcome(state, record, event.outcome, event.at)
    if event.outcome in (AttemptOutcome.COMPLETED, AttemptOutcome.TIMED_OUT):
        learn_first(state, record, event.at)
    if event.outcome is AttemptOutcome.BROKEN:
        yield from examine_break(state, record, event.at)
    if event.outcome is AttemptOutcome.COMPLETED:
        state.counters["requests.completed"] += 1
        learn_answer(state, record, event.generated_tokens, event.at)
        record.began_at = record.sent_at if record.began_at is None else record.began_at
        yield from prove_parts(state, record, event.at)
        count_tokens(state, record, event)
        yield from release_kv_cache(state, record, event.verdict, event.at)
        end_request(state, record)
        pause = LogField("longest_pause", round(event.longest_pause, 3))
        yield log_progress("request_completed", record, event.at, pause)
        yield CloseExchange(request_id=event.request_id)
    elif may_retry(state, record, event.outcome, event.at):
        state.counters["attempts.retried"] += 1
        yield log_attempt_failed("info", record, event.outcome, event.reason)
        yield from _repeat_attempt(state, record, event)
    else:
        record.is_probing = False
        count_tokens(state, record, event)
        yield from release_kv_cache(state, record, event.verdict, event.at)
        yield from _fail_request(
            state, record, event.outcome, event.reason, event.at, event.draws
        )
    yield from dispatch_waiting(state, record.entry, event.at, event.draws)
    yield from place_waiting(state, record.service, event.at, event.draws)
    yield from report_load(state, event.at)


def _repeat_attempt(
    state: DaemonState, record: RequestRecord, event: AttemptEnded
) -> Iterator[Effect]:
    """Send a request again, from its prompt's KV cache if nobody can have used it.

    Another prefill would count as an arrival.
    """
    if event.outcome is AttemptOutcome.CONNECT_FAILED and record.kv_cache is not None:
        yield from _start_decode(state, record, event.at, event.draws)
        return
    yield from release_kv_cache(state, record, event.verdict, event.at)
    if not record.is_probing:
        yield from _start_attempt(state, record, event.at, event.draws)


@REDUCER.handles(HoldEnded)
def end_hold(state: DaemonState, event: HoldEnded) -> Iterator[Effect]:
    """Place a request that has waited for room as long as it may, or refuse it."""
    record = state.requests.get(event.request_id)
    if record is not None and record.phase is Phase.HELD:
        yield from _start_attempt(state, record, event.at, event.draws)
        yield from dispatch_waiting(state, record.entry, event.at, event.draws)


def place_waiting(
    state: DaemonState, service: str, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    """Look for room for the requests that wait for it, the most urgent first."""
    queue = state.overload.waiting.get(service)
    if queue is None or not queue.workspaces:
        return

    def rank(request_id: str) -> float:
        return rank_request(state, state.requests[request_id], now)

    for request_id in queue.order_requests(rank)[:MAX_TRIED]:
        yield from _start_attempt(state, state.requests[request_id], now, draws)


def enqueue_request(
    state: DaemonState, record: RequestRecord, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    """Add an admitted request to its entry's queue and dispatch what can run."""
    record.phase = Phase.QUEUED
    state.get_retry_budget(record.service).earn()
    state.restrictions.record_prompt(record.service, record.request.prompt_tokens)
    observe_arrival(state, record, now)
    queue = state.get_queue(record.entry)
    queue.add_waiting(record.workspace, record.request.request_id)
    yield from dispatch_waiting(state, record.entry, now, draws)
    yield from report_load(state, now)


def dispatch_waiting(
    state: DaemonState, entry: str, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    """Start queued requests of an entry up to its concurrency limit.

    For a deleted entry the limit is infinite, so that its queue empties: the
    requests are refused where no backend server is left.
    """
    queue = state.get_queue(entry)
    known = state.catalogue.entries.get(entry)
    limit = known.limits.max_running if known else inf
    while queue.running < limit:
        request_id = queue.pop_next()
        if request_id is None:
            return
        record = state.requests[request_id]
        queue.running += 1
        charge_workspace(state, record, record.request.prompt_tokens, 0)
        yield from _start_attempt(state, record, now, draws)


def end_request(state: DaemonState, record: RequestRecord) -> None:
    """Remove a request and free its concurrency slot."""
    del state.requests[record.request.request_id]
    if record.phase in PLACED_PHASES:
        state.get_queue(record.entry).running -= 1
    state.overload.stop_waiting(record.service, record.request.request_id)


def retry_after_probe(
    state: DaemonState,
    record: RequestRecord,
    now: float,
    draws: tuple[float, float],
    has_ended: bool,
) -> Iterator[Effect]:
    """Retry a request that broke off, unless it may be why its server ended."""
    if has_ended and not may_repeat(state, record, now):
        yield from refuse_accepted(state, record, UPSTREAM_FAILED)
    else:
        yield from _start_attempt(state, record, now, draws)
    yield from dispatch_waiting(state, record.entry, now, draws)


def resume_asking(
    state: DaemonState, record: RequestRecord, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    """Start the attempt of a request that has asked other hosts for a token."""
    yield from _start_attempt(state, record, now, draws)
    yield from dispatch_waiting(state, record.entry, now, draws)
    yield from report_load(state, now)


def refuse_unpaid(
    state: DaemonState, record: RequestRecord, refusal: Refusal
) -> Iterator[Effect]:
    """Refuse an accepted request for which nothing was taken from the rate yet."""
    record.cost = 0.0
    yield from refuse_accepted(state, record, refusal)


def refuse_accepted(
    state: DaemonState, record: RequestRecord, refusal: Refusal
) -> Iterator[Effect]:
    """Refuse an accepted request, and refund its cost if it did not run.

    A response that has started is aborted instead.
    """
    state.counters[f"requests.refused.{refusal.code}"] += 1
    if record.verdict is Verdict.NOT_RUN:
        refund_cost(state, record)
    end_request(state, record)
    request_id = record.request.request_id
    refusal = refusal.with_verdict(record.verdict)
    yield log_failure(record, refusal)
    if record.response_started:
        yield AbortResponse(request_id=request_id, refusal=refusal)
    else:
        yield RefuseRequest(request_id=request_id, refusal=refusal)


def _start_attempt(
    state: DaemonState, record: RequestRecord, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    """Place a request and send it, or send only its prompt for prefill."""
    record.phase = Phase.RUNNING
    if record.deadline <= now:
        yield from refuse_accepted(state, record, DEADLINE_EXCEEDED)
        return
    if state.drain.has_timed_out:
        yield from refuse_accepted(state, record, DRAINING)
        return
    part = find_held_part(state, record)
    if part is not None:
        yield from refuse_accepted(state, record, describe_hold(state, part, now))
        return
    placement = find_placement(state, record, now, draws)
    if placement is None:
        yield from _wait_or_refuse(state, record, now, draws)
        return
    record.planned = plan_answer(state, placement.server, placement.expected_seconds)
    query = build_query(state, record, placement.server, now)
    verdict = ADMISSION_POLICIES.find(state.policy.admission)(query)
    if verdict is not AdmissionVerdict.ADMIT and record.verdict is Verdict.NOT_RUN:
        yield from _hold_or_refuse(state, record, placement, query, verdict, now, draws)
        return
    record.rank = rank_request(state, record, now)
    record.placed_at = now
    _leave_hold(state, record)
    yield log_placement(state, record, placement, now)
    if placement.is_prefill_only:
        record.phase = Phase.PREFILL
        assign_server(state, record, placement, now)
        yield PrefillPrompt(
            request_id=record.request.request_id,
            attempt_id=record.attempt_id,
            server=placement.server,
            address=state.catalogue.servers[placement.server].address,
            timeout=record.deadline - now,
            reuse=True,
            started_at=state.catalogue.servers[placement.server].started_at,
            sent_at=now,
            max_connections=state.compute_connection_share(placement.server),
            workspace=record.workspace,
            priority=record.rank,
            fetch_address=_find_address(state, placement.fetches_from),
        )
    else:
        yield _send_request(state, record, placement, now)


def _hold_or_refuse(
    state: DaemonState,
    record: RequestRecord,
    placement: Placement,
    query: AdmissionQuery,
    verdict: AdmissionVerdict,
    now: float,
    draws: tuple[float, float],
) -> Iterator[Effect]:
    """Let a request wait for room, or refuse it, as admission has decided."""
    request_id = record.request.request_id
    queue = state.overload.get_queue(record.service)
    if verdict is AdmissionVerdict.WAIT:
        record.phase = Phase.HELD
        if request_id not in queue.workspaces:
            queue.workspaces[request_id] = record.workspace
            state.counters["admission.held"] += 1
            yield log_admission(state, record, placement.server, query, "wait", now)
            yield WatchHold(request_id=request_id, seconds=query.hold_left)
        return
    state.counters["admission.refused"] += 1
    count_refusal(state, record, now)
    yield log_admission(state, record, placement.server, query, "refuse", now)
    reason = (
        f"no room for {record.service!r} in time: room in {query.wait_seconds:.2f} s,"
        f" the answer would take {query.last_seconds:.2f} s, of"
        f" {query.time_left:.2f} s that are left"
    )
    refusal = OVERLOADED.with_reason(reason)
    seconds = _draw_return(state, record, now, draws[0], query.wait_seconds)
    yield from refuse_accepted(state, record, refusal.with_retry_after(seconds))


def _leave_hold(state: DaemonState, record: RequestRecord) -> None:
    """Count a waiting request as placed; one that doesn't wait is left alone."""
    queue = state.overload.waiting.get(record.service)
    if queue is not None and record.request.request_id in queue.workspaces:
        state.counters["admission.placed"] += 1
        queue.count_placed(record.request.request_id)
        del queue.workspaces[record.request.request_id]


def _draw_return(
    state: DaemonState,
    record: RequestRecord,
    now: float,
    draw: float,
    wait_seconds: float = 0.0,
) -> float:
    """Return the seconds after which a caller is told to come back for room."""
    seconds = compute_return_seconds(state, record, now, wait_seconds)
    return RETURN_POLICIES.find(state.policy.full_returns)(seconds, draw)


def _start_decode(
    state: DaemonState, record: RequestRecord, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    assert record.kv_cache is not None
    record.phase = Phase.RUNNING
    part = find_held_part(state, record)
    if part is not None:
        yield from release_kv_cache(state, record, Verdict.NOT_RUN, now)
        yield from refuse_accepted(state, record, describe_hold(state, part, now))
        return
    placement = place_decode(state, record, now, draws[1])
    if placement is None:
        yield from release_kv_cache(state, record, Verdict.NOT_RUN, now)
        yield from refuse_accepted(
            state, record, _explain_lack(state, record, now, draws)
        )
        return
    yield log_placement(state, record, placement, now)
    yield _send_request(state, record, placement, now)


def _send_request(
    state: DaemonState, record: RequestRecord, placement: Placement, now: float
) -> RelayRequest:
    assign_server(state, record, placement, now)
    record.sent_at = now
    return RelayRequest(
        request_id=record.request.request_id,
        attempt_id=record.attempt_id,
        server=placement.server,
        address=state.catalogue.servers[placement.server].address,
        timeout=record.deadline - now,
        reuse=record.repeatable,
        started_at=state.catalogue.servers[placement.server].started_at,
        sent_at=now,
        max_connections=state.compute_connection_share(placement.server),
        workspace=record.workspace,
        priority=record.rank,
        fetch_address=_find_address(state, placement.fetches_from),
        kv_cache=record.kv_cache,
        hides_errors=can_retry_error(state, record, now),
    )


def _find_address(state: DaemonState, server: str) -> str:
    """Return a server's address, empty for none."""
    record = state.catalogue.servers.get(server)
    return record.address if record else ""


def _wait_or_refuse(
    state: DaemonState, record: RequestRecord, now: float, draws: tuple[float, float]
) -> Iterator[Effect]:
    """Ask other hosts for a token if all servers are closed here, or refuse."""
    refusal = _explain_lack(state, record, now, draws)
    asking = None
    if refusal.code == SERVERS_RESTRICTED.code:
        asking = ask_for_token(state, record, now, draws[1])
    if asking is None:
        yield from refuse_accepted(state, record, refusal)
        return
    record.phase = Phase.ASKING
    state.overload.stop_waiting(record.service, record.request.request_id)
    yield asking


def _explain_lack(
    state: DaemonState, record: RequestRecord, now: float, draws: tuple[float, float]
) -> Refusal:
    closed = describe_closed(state, record, now, draws[0])
    return closed or NO_SERVER.with_retry_after(
        _draw_return(state, record, now, draws[0])
    )


def _abandon(state: DaemonState, record: RequestRecord, now: float) -> Iterator[Effect]:
    """Drop a request whose caller left during an attempt, or just before it."""
    state.counters["requests.abandoned"] += 1
    if record.phase is Phase.RUNNING and record.verdict is Verdict.NOT_RUN:
        state.counters["requests.abandoned_unsent"] += 1
        refund_cost(state, record)
    end_request(state, record)
    yield log_abandoned(record, now)
    yield CloseExchange(request_id=record.request.request_id)


def _fail_request(
    state: DaemonState,
    record: RequestRecord,
    outcome: AttemptOutcome,
    reason: str,
    now: float,
    draws: tuple[float, float],
) -> Iterator[Effect]:
    if outcome is AttemptOutcome.CALLER_LEFT:
        yield from _abandon(state, record, now)
        return
    yield log_attempt_failed("warning", record, outcome, reason)
    refusal = UPSTREAM_FAILED
    if record.verdict is Verdict.NOT_RUN:
        refusal = NO_SERVER.with_retry_after(_draw_return(state, record, now, draws[0]))
    if outcome is AttemptOutcome.TIMED_OUT:
        is_stopping = state.drain.has_timed_out and record.verdict is Verdict.NOT_RUN
        refusal = DRAINING if is_stopping else DEADLINE_EXCEEDED
    yield from refuse_accepted(state, record, refusal)
