"""Log lines about one request, with the inputs and results of each decision."""

from geraniumhall_core.effects import LogField, WriteLog
from geraniumhall_core.events import RequestAbandoned, RequestArrived
from geraniumhall_core.handlers.placement import Placement
from geraniumhall_core.handlers.speeds import find_speed
from geraniumhall_core.overload import AdmissionQuery
from geraniumhall_core.refusals import Refusal
from geraniumhall_core.requests import AttemptOutcome, RequestRecord
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict


def log_placement(
    state: DaemonState, record: RequestRecord, placement: Placement, now: float
) -> WriteLog:
    """Log the server that a request is sent to, with the load figures used.

    The work of other hosts is estimated from `reporting_hosts` of `other_hosts`. The
    speeds are relative to the service's usual one.
    """
    load = state.get_load(placement.server)
    foreign = state.estimate_foreign_work(placement.server)
    speed = find_speed(state, placement.server, now)
    return WriteLog(
        level="info",
        event="request_placed",
        fields=(
            LogField("request", record.request.request_id),
            LogField("caller_id", record.request.caller_id),
            LogField("entry", record.entry),
            LogField("workspace", record.workspace),
            LogField("server", placement.server),
            LogField("reads_ahead", placement.is_prefill_only),
            LogField("cost", round(record.cost)),
            LogField("prompt_tokens", record.request.prompt_tokens),
            LogField("unread_tokens", placement.prefill_tokens),
            LogField("own_waiting", load.prefill_tokens),
            LogField("foreign_waiting", foreign.prompt_tokens),
            LogField("running", load.outstanding + foreign.requests),
            LogField("reporting_hosts", state.count_reporting_hosts()),
            LogField("other_hosts", state.live_hosts - 1),
            LogField("waited", round(now - record.arrived_at, 4)),
            LogField("expected", round(placement.expected_seconds, 4)),
            LogField("kept_tokens", round(placement.kept_tokens)),
            LogField("fetches_from", placement.fetches_from),
            LogField("copy_price", round(placement.copy_seconds, 4)),
            LogField("read_speed", round(speed.prefill, 2)),
            LogField("decode_speed", round(speed.decode, 2)),
            LogField("failing", round(speed.failing, 2)),
            LogField("rank", record.rank),
            LogField("time_left", round(record.deadline - now, 4)),
            LogField("is_repeat", record.is_repeat),
        ),
    )


def log_admission(
    state: DaemonState,
    record: RequestRecord,
    server: str,
    query: AdmissionQuery,
    outcome: str,
    now: float,
) -> WriteLog:
    """Log why a request waits for room or is refused, with what that rests on.

    `server` would be the best for it; `refused_before` is how long ago that last said
    that it is full, and -1 if it never did.
    """
    load = state.get_load(server)
    foreign = state.estimate_foreign_work(server)
    refused_before = now - load.refused_at if load.refusals else -1.0
    return WriteLog(
        level="info",
        event="admission_decided",
        fields=(
            LogField("request", record.request.request_id),
            LogField("caller_id", record.request.caller_id),
            LogField("entry", record.entry),
            LogField("outcome", outcome),
            LogField("server", server),
            LogField("room_in", round(query.wait_seconds, 4)),
            LogField("first_in", round(query.first_seconds, 4)),
            LogField("last_in", round(query.last_seconds, 4)),
            LogField("time_left", round(query.time_left, 4)),
            LogField("hold_left", round(query.hold_left, 4)),
            LogField("is_repeat", record.is_repeat),
            LogField("running", load.outstanding + foreign.requests),
            LogField("refused_before", round(refused_before, 3)),
            LogField("reporting_hosts", state.count_reporting_hosts()),
            LogField("other_hosts", state.live_hosts - 1),
        ),
    )


def log_progress(
    event: str, record: RequestRecord, now: float, *more: LogField
) -> WriteLog:
    """Log that a request reached a stage, with the seconds since it arrived."""
    return WriteLog(
        level="info",
        event=event,
        fields=(
            LogField("request", record.request.request_id),
            LogField("server", record.server),
            LogField("seconds", round(now - record.arrived_at, 4)),
            *more,
        ),
    )


def log_attempt_failed(
    level: str, record: RequestRecord, outcome: AttemptOutcome, reason: str
) -> WriteLog:
    """Log why an attempt failed, and whether the request may have run.

    `shared_parts` are the ids of the prompt's parts but the last; with `began` false no
    event of the answer had come.
    """
    shared = " ".join(part.id for part in record.request.parts[:-1])
    return WriteLog(
        level=level,
        event="attempt_failed",
        fields=(
            LogField("request", record.request.request_id),
            LogField("attempt", record.attempts),
            LogField("server", record.server),
            LogField("outcome", outcome.value),
            LogField("reason", reason),
            LogField("verdict", record.verdict.value),
            LogField("began", record.response_started),
            LogField("shared_parts", shared),
        ),
    )


def log_refusal(
    state: DaemonState, event: RequestArrived, refusal: Refusal
) -> WriteLog:
    """Log why a request was not admitted, and how old the catalogue was."""
    age = state.compute_catalogue_age(event.at)
    return WriteLog(
        level="info",
        event="request_refused",
        fields=(
            LogField("request", event.request.request_id),
            LogField("caller_id", event.request.caller_id),
            *_build_refusal_fields(refusal),
            LogField("tokens", event.request.memory_tokens),
            LogField("catalogue_age", round(age, 3)),
        ),
    )


def log_abandoned(record: RequestRecord, now: float) -> WriteLog:
    """Log that a caller left, with the request's age and what had been tried."""
    attempts = LogField("attempts", record.attempts)
    verdict = LogField("verdict", record.verdict.value)
    return log_progress("request_abandoned", record, now, attempts, verdict)


def log_unadmitted(event: RequestAbandoned) -> WriteLog:
    """Log that a caller had left before its request was admitted."""
    return WriteLog(
        level="info",
        event="request_abandoned",
        fields=(
            LogField("request", event.request.request_id),
            LogField("caller_id", event.request.caller_id),
            LogField("seconds", round(event.age, 4)),
            LogField("attempts", 0),
            LogField("verdict", Verdict.NOT_RUN.value),
        ),
    )


def log_failure(record: RequestRecord, refusal: Refusal) -> WriteLog:
    """Log why an accepted request was refused or failed."""
    return WriteLog(
        level="info",
        event="request_failed",
        fields=(
            LogField("request", record.request.request_id),
            LogField("caller_id", record.request.caller_id),
            LogField("entry", record.entry),
            *_build_refusal_fields(refusal),
            LogField("tokens", record.request.memory_tokens),
            LogField("verdict", refusal.verdict.value),
            LogField("attempts", record.attempts),
        ),
    )


def _build_refusal_fields(refusal: Refusal) -> tuple[LogField, LogField]:
    return LogField("code", refusal.code), LogField("reason", refusal.reason)
