"""The checks of a soak, one handler an event."""

from collections.abc import Iterator

from geraniumhall_bench.soak.witness import (
    WITNESS,
    AnswerCame,
    CallFacts,
    CallKind,
    CallSent,
    FaultBegan,
    FaultEnded,
    ReportFinding,
    ServerCalled,
    SoakEnded,
    UsageReported,
    WitnessState,
)
from geraniumhall_core.reducer import Effect

MODEL_TOKENS = 20
MODEL_TEXT = "".join(f"t{index} " for index in range(MODEL_TOKENS))
SETTLING_SECONDS = 1.0
SERVED_FRACTION = 0.25
OK = 200


@WITNESS.handles(CallSent)
def note_call(state: WitnessState, event: CallSent) -> Iterator[Effect]:
    """Remember a call, and whether a fault is under way."""
    is_disturbed = state.unplanned > 0 or event.at < state.calm_at
    state.calls[event.name] = CallFacts(event, was_disturbed=is_disturbed)
    yield from ()


@WITNESS.handles(FaultBegan)
def note_fault(state: WitnessState, event: FaultBegan) -> Iterator[Effect]:
    """Remember which calls an unplanned fault may have touched."""
    if not event.is_planned:
        state.unplanned += 1
        for facts in state.find_open():
            facts.was_disturbed = True
    yield from ()


@WITNESS.handles(FaultEnded)
def note_fault_end(state: WitnessState, event: FaultEnded) -> Iterator[Effect]:
    """Give connections a moment to recover."""
    if not event.fault.is_planned:
        state.unplanned -= 1
        state.calm_at = event.at + SETTLING_SECONDS
    yield from ()


@WITNESS.handles(ServerCalled)
def check_runs(state: WitnessState, event: ServerCalled) -> Iterator[Effect]:
    """Check that submissions run once, and nothing after a refusal or lost key."""
    facts = state.calls.get(event.name)
    if facts is None:
        yield ReportFinding(check="unasked", reason=f"{event.name} was never sent")
        return
    facts.runs += 1
    if facts.sent.kind is CallKind.SUBMISSION and facts.runs > 1:
        yield ReportFinding(
            check="twice", reason=f"{event.name} ran {facts.runs} times"
        )
    if facts.sent.key_ended:
        reason = f"{event.name} ran with a key that had been withdrawn"
        yield ReportFinding(check="withdrawn key", reason=reason)
    yield from _check_refusal(facts)


@WITNESS.handles(AnswerCame)
def check_answer(state: WitnessState, event: AnswerCame) -> Iterator[Effect]:
    """Check that whole answers are the calls' own, and that refusals are true."""
    facts = state.calls[event.name]
    facts.answer = event
    if event.status == OK and event.is_complete:
        yield from _check_text(state, facts, event)
    was_cut = event.status == OK and not event.is_complete
    if was_cut and not facts.was_disturbed:
        reason = f"{event.name} by {facts.sent.daemon} was cut without a fault"
        yield ReportFinding(check="cut", reason=reason)
    yield from _check_refusal(facts)


@WITNESS.handles(UsageReported)
def check_usage(state: WitnessState, event: UsageReported) -> Iterator[Effect]:
    """Check that every report of a window says the same."""
    known = state.usage.setdefault(event.window, event.counts)
    if known != event.counts:
        reason = f"window {event.window}: {known} and {event.counts}"
        yield ReportFinding(check="usage", reason=reason)


@WITNESS.handles(SoakEnded)
def check_end(state: WitnessState, event: SoakEnded) -> Iterator[Effect]:
    """Check that what ran was answered, and that calls are served again."""
    for facts in state.calls.values():
        is_unanswered = facts.answer is None or facts.answer.status == 0
        if is_unanswered and facts.runs and not facts.was_disturbed:
            reason = f"{facts.sent.name} ran and got no answer without a fault"
            yield ReportFinding(check="cut", reason=reason)
    calm = [f for f in state.calls.values() if f.sent.at >= event.calm_since]
    served = [f for f in calm if f.answer is not None and f.answer.status == OK]
    if len(served) < SERVED_FRACTION * len(calm) or not calm:
        reason = f"{len(served)} of {len(calm)} calls were served after the faults"
        yield ReportFinding(check="recovery", reason=reason)


def _check_refusal(facts: CallFacts) -> Iterator[Effect]:
    answer = facts.answer
    if answer is not None and answer.verdict == "not_run" and facts.runs:
        reason = f"{answer.name} was answered {answer.status} as not run, and ran"
        yield ReportFinding(check="refused", reason=reason)


def _check_text(
    state: WitnessState, facts: CallFacts, event: AnswerCame
) -> Iterator[Effect]:
    if facts.sent.kind is CallKind.MODEL:
        if event.text != MODEL_TEXT:
            reason = f"{event.name} got {event.text!r} as its whole answer"
            yield ReportFinding(check="mixed", reason=reason)
        return
    owner = state.submissions.setdefault(event.text, event.name)
    if owner != event.name:
        reason = f"{event.name} and {owner} both got {event.text}"
        yield ReportFinding(check="mixed", reason=reason)
