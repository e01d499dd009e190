"""The checks of a soak: one handler for each type of event."""

from collections.abc import Iterator

from geraniumhall_bench.soak.checker import (
    CHECKER,
    AnswerReceived,
    CallKind,
    CallSent,
    CheckerState,
    FaultEnded,
    FaultStarted,
    LimitEnded,
    LimitStarted,
    ObservedCall,
    ReportFinding,
    ServerCalled,
    SoakEnded,
    UsageReported,
)
from geraniumhall_core.reducer import Effect

MODEL_TOKENS = 20
# The engine stand-in's answer to a request for MODEL_TOKENS tokens.
MODEL_TEXT = "".join(f"t{index} " for index in range(MODEL_TOKENS))
SETTLING_SECONDS = 1.0  # calls sent this soon after a fault count as overlapping it
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_CONTACT_SECONDS = 1.0  # from the first call that gets the limit in its answer
MIN_SERVED_FRACTION = 0.25  # of the calls sent after the last fault
STATUS_OK = 200


@CHECKER.handles(CallSent)
def record_call(state: CheckerState, event: CallSent) -> Iterator[Effect]:
    """Record a call, and whether it overlaps an unplanned fault."""
    overlaps_fault = state.active_unplanned_faults > 0 or event.at < state.settled_at
    state.calls[event.name] = ObservedCall(event, overlapped_fault=overlaps_fault)
    yield from ()


@CHECKER.handles(FaultStarted)
def record_fault_start(state: CheckerState, event: FaultStarted) -> Iterator[Effect]:
    """Mark the calls in progress as overlapping an unplanned fault."""
    if not event.is_planned:
        state.active_unplanned_faults += 1
        state.unplanned_faults += 1
        for call in state.list_unanswered():
            call.overlapped_fault = True
    yield from ()


@CHECKER.handles(FaultEnded)
def record_fault_end(state: CheckerState, event: FaultEnded) -> Iterator[Effect]:
    """Record the end of a fault, and when connections count as recovered."""
    if not event.fault.is_planned:
        state.active_unplanned_faults -= 1
        state.settled_at = event.at + SETTLING_SECONDS
    yield from ()


@CHECKER.handles(ServerCalled)
def check_runs(state: CheckerState, event: ServerCalled) -> Iterator[Effect]:
    """Check that a call may run on a backend server.

    A submission runs at most once. A call that was refused as not run, or whose
    key was revoked, does not run at all.
    """
    call = state.calls.get(event.name)
    if call is None:
        yield ReportFinding(check="unasked", reason=f"{event.name} was not sent")
        return
    call.runs += 1
    if call.sent.kind is CallKind.SUBMISSION and call.runs > 1:
        yield ReportFinding(check="twice", reason=f"{event.name} ran {call.runs} times")
    if call.sent.is_key_revoked:
        reason = f"{event.name} ran with a withdrawn key"
        yield ReportFinding(check="withdrawn key", reason=reason)
    yield from _check_refusal(call)


@CHECKER.handles(AnswerReceived)
def check_answer(state: CheckerState, event: AnswerReceived) -> Iterator[Effect]:
    """Check an answer's content, and that a refused call did not run.

    An answer may be truncated only if its call overlapped an unplanned fault.
    """
    call = state.calls[event.name]
    call.answer = event
    if event.status == STATUS_OK and event.is_complete:
        yield from _check_text(state, call, event)
    was_cut = event.status == STATUS_OK and not event.is_complete
    if was_cut and not call.overlapped_fault:
        reason = (
            f"{event.name} by {call.sent.daemon} was truncated,"
            " but overlapped no unplanned fault"
        )
        yield ReportFinding(check="cut", reason=reason)
    yield from _check_refusal(call)


@CHECKER.handles(UsageReported)
def check_usage(state: CheckerState, event: UsageReported) -> Iterator[Effect]:
    """Check that all reports of a window have the same figures."""
    known = state.usage.setdefault(event.window, event.counts)
    if known != event.counts:
        reason = f"window {event.window}: reported {known} and {event.counts}"
        yield ReportFinding(check="usage", reason=reason)


@CHECKER.handles(LimitStarted)
def record_limit(state: CheckerState, event: LimitStarted) -> Iterator[Effect]:
    """Record whether a limit begins beside no other unplanned fault."""
    state.limited.pop(event.server, None)
    if state.active_unplanned_faults <= 1 and event.at >= state.settled_at:
        state.limited[event.server] = state.unplanned_faults
    yield from ()


@CHECKER.handles(LimitEnded)
def check_limit(state: CheckerState, event: LimitEnded) -> Iterator[Effect]:
    """Check the calls of a limited server, if no daemon or link was disturbed."""
    if state.limited.pop(event.server, None) != state.unplanned_faults:
        return
    since = min(event.arrivals, default=0.0) + LIMIT_CONTACT_SECONDS
    times = [at for at in event.arrivals if at >= since]
    most = max(
        (sum(at <= t < at + LIMIT_WINDOW_SECONDS for t in times) for at in times),
        default=0,
    )
    allowed = 1.5 * event.limit * LIMIT_WINDOW_SECONDS + 5
    if most > allowed:
        reason = f"{event.server} got {most} calls in a window, {allowed:.0f} allowed"
        yield ReportFinding(check="limit", reason=reason)


@CHECKER.handles(SoakEnded)
def check_end(state: CheckerState, event: SoakEnded) -> Iterator[Effect]:
    """Check that calls were answered, and that service recovered.

    A call that ran may stay unanswered only if it overlapped an unplanned fault.
    """
    for call in state.calls.values():
        is_unanswered = call.answer is None or call.answer.status == 0
        if is_unanswered and call.runs and not call.overlapped_fault:
            reason = (
                f"{call.sent.name} ran and got no answer,"
                " but overlapped no unplanned fault"
            )
            yield ReportFinding(check="cut", reason=reason)
    calls = [c for c in state.calls.values() if c.sent.at >= event.fault_free_since]
    served = [c for c in calls if c.answer is not None and c.answer.status == STATUS_OK]
    if len(served) < MIN_SERVED_FRACTION * len(calls) or not calls:
        reason = f"{len(served)} of {len(calls)} calls were served after the faults"
        yield ReportFinding(check="recovery", reason=reason)


def _check_refusal(call: ObservedCall) -> Iterator[Effect]:
    answer = call.answer
    if answer is not None and answer.verdict == "not_run" and call.runs:
        reason = f"{answer.name} was refused as not run ({answer.status}), but ran"
        yield ReportFinding(check="refused", reason=reason)


def _check_text(
    state: CheckerState, call: ObservedCall, event: AnswerReceived
) -> Iterator[Effect]:
    if call.sent.kind is CallKind.MODEL:
        if event.text != MODEL_TEXT:
            reason = f"{event.name} got {event.text!r} instead of the model's text"
            yield ReportFinding(check="mixed", reason=reason)
        return
    owner = state.submissions.setdefault(event.text, event.name)
    if owner != event.name:
        reason = f"{event.name} and {owner} got the same submission {event.text}"
        yield ReportFinding(check="mixed", reason=reason)
