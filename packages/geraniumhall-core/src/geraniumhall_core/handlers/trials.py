"""Trials of held parts, and the end of probes under requests that broke off."""

from collections.abc import Iterator

from geraniumhall_core.events import PlatformAnswered, ServerProbed
from geraniumhall_core.handlers.admission import admit_record
from geraniumhall_core.handlers.attempts import refuse_unpaid, retry_after_probe
from geraniumhall_core.handlers.part_records import conclude_claim
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.handlers.quarantine import (
    describe_hold,
    find_held_part,
    has_restarted,
    report_crash,
)
from geraniumhall_core.handlers.reducer import REDUCER
from geraniumhall_core.parts import CrashId
from geraniumhall_core.purposes import ClaimTrial
from geraniumhall_core.reducer import Effect
from geraniumhall_core.requests import Phase
from geraniumhall_core.state import DaemonState


@REDUCER.handles(ServerProbed)
def handle_probe(state: DaemonState, event: ServerProbed) -> Iterator[Effect]:
    """Attribute a crash if the server has ended, then retry what waited for it."""
    crash_id = CrashId(event.server, event.incarnation)
    broken = state.breaks.pop(crash_id, [])
    has_ended = event.is_refused or has_restarted(state, crash_id)
    if has_ended:
        yield from report_crash(state, crash_id, broken, event.at)
    else:
        state.counters["crashes.not_confirmed"] += 1
    for request in broken:
        record = state.requests.get(request.request_id)
        if record is not None and record.is_probing:
            record.is_probing = False
            yield from retry_after_probe(
                state, record, event.at, event.draws, has_ended
            )


@ANSWER_HANDLERS.register(ClaimTrial)
def start_trial(
    state: DaemonState, event: PlatformAnswered, purpose: ClaimTrial
) -> Iterator[Effect]:
    """Admit the request that tries a held part, if its claim was accepted."""
    yield from conclude_claim(state, event, purpose)
    record = state.requests.get(purpose.request_id)
    if record is None or record.phase is not Phase.CLAIMING:
        return
    known = state.quarantine.parts[purpose.part]
    if known.hold == purpose.hold:
        record.trial_part = purpose.part
    held = find_held_part(state, record)
    if held is not None:
        yield from refuse_unpaid(state, record, describe_hold(state, held, event.at))
    else:
        yield from admit_record(state, record, event.at, event.draws)
