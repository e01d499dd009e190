"""Tells where a request would go now, and why, without sending it."""

from collections.abc import Iterator

from geraniumhall_core.admin import (
    Candidate,
    InvalidRecord,
    PlacementPreview,
    PreviewPlacement,
)
from geraniumhall_core.effects import AnswerAdmin
from geraniumhall_core.events import AdminCalled
from geraniumhall_core.handlers.access import is_leaving, is_open
from geraniumhall_core.handlers.admin import COMMAND_HANDLERS
from geraniumhall_core.handlers.admission import choose_service
from geraniumhall_core.handlers.placement import Placement, find_placement, view_engine
from geraniumhall_core.handlers.quarantine import describe_hold, find_held_part
from geraniumhall_core.handlers.room import (
    build_query,
    compute_full_seconds,
    plan_answer,
)
from geraniumhall_core.overload import ADMISSION_POLICIES
from geraniumhall_core.reducer import Effect
from geraniumhall_core.requests import CallerRequest, ModelTarget, RequestRecord
from geraniumhall_core.state import DaemonState

PREVIEW_ID = "preview"
PREVIEW_DRAWS = (0.5, 0.5)


@COMMAND_HANDLERS.register(PreviewPlacement)
def preview_placement(
    state: DaemonState, event: AdminCalled, command: PreviewPlacement
) -> Iterator[Effect]:
    """Answer with the decision on a request that is described, and its candidates.

    Nothing is counted, taken from a limit or sent. Where draws decide, their means do.
    """
    entry = state.catalogue.entries.get(command.entry)
    if entry is None:
        reason = f"no catalogue entry {command.entry!r} is in force here"
        yield AnswerAdmin(
            call_id=event.call_id, answer=InvalidRecord("$.entry", reason)
        )
        return
    record = _build_record(state, command, event.at)
    index = state.round_robin_index
    placement = find_placement(state, record, event.at, PREVIEW_DRAWS)
    state.round_robin_index = index
    outcome, reason = _decide(state, record, placement, event.at)
    names = state.catalogue.servers_by_service.get(record.service, ())
    answer = PlacementPreview(
        entry=command.entry,
        service=record.service,
        outcome=outcome,
        reason=reason,
        server=placement.server if placement else "",
        prefill_only=placement is not None and placement.is_prefill_only,
        fetches_from=placement.fetches_from if placement else "",
        expected_seconds=round(placement.expected_seconds, 4) if placement else 0.0,
        known_hosts=state.count_reporting_hosts(),
        candidates=tuple(
            _describe_candidate(state, record, name, event.at) for name in sorted(names)
        ),
    )
    yield AnswerAdmin(call_id=event.call_id, answer=answer)


def _build_record(
    state: DaemonState, command: PreviewPlacement, now: float
) -> RequestRecord:
    entry = state.catalogue.entries[command.entry]
    timeout = entry.limits.deadline
    if command.timeout is not None:
        timeout = min(timeout, command.timeout)
    request = CallerRequest(
        request_id=PREVIEW_ID,
        target=ModelTarget(command.entry),
        prompt_tokens=command.prompt_tokens,
        max_tokens=command.max_tokens,
        parts=command.parts,
    )
    return RequestRecord(
        request=request,
        entry=command.entry,
        workspace=command.workspace,
        repeatable=entry.repeatable,
        arrived_at=now,
        deadline=now + timeout,
        service=choose_service(command.entry, entry, PREVIEW_DRAWS[0]),
        priority=entry.priority,
    )


def _decide(
    state: DaemonState, record: RequestRecord, placement: Placement | None, now: float
) -> tuple[str, str]:
    """Return what would happen to the request, and the reason."""
    part = find_held_part(state, record)
    if part is not None:
        return "refuse", describe_hold(state, part, now).reason
    if placement is None:
        return "refuse", "no backend server can take the request"
    record.planned = plan_answer(state, placement.server, placement.expected_seconds)
    query = build_query(state, record, placement.server, now)
    verdict = ADMISSION_POLICIES.find(state.policy.admission)(query)
    reason = (
        f"first event in {query.first_seconds:.3f} s,"
        f" last in {query.last_seconds:.3f} s, room in {query.wait_seconds:.3f} s;"
        f" {query.time_left:.3f} s left"
    )
    return verdict.value, reason


def _describe_candidate(
    state: DaemonState, record: RequestRecord, name: str, now: float
) -> Candidate:
    view = view_engine(state, record.request, name, now)
    return Candidate(
        server=name,
        failure_domain=state.catalogue.servers[name].failure_domain,
        role=view.role.value,
        left_out=_explain_absence(state, name, now),
        requests=round(view.requests, 1),
        slots=view.slots,
        waiting_tokens=round(view.queued_prefill_tokens),
        kept_tokens=round(view.kept.held),
        memory_used=round(view.memory_tokens),
        prefill_speed=round(view.speed.prefill, 2),
        decode_speed=round(view.speed.decode, 2),
        failing=round(view.speed.failing, 2),
    )


def _explain_absence(state: DaemonState, name: str, now: float) -> str:
    """Return why a server would not be considered, empty if it would."""
    load = state.get_load(name)
    if is_leaving(state, name):
        return "leaving"
    if not is_open(state, name, now):
        return "takes no request of this host now"
    if not state.has_connection_capacity(name):
        return "this host's connections are in use"
    if not load.is_usable(now):
        return f"suspended after {load.failures} failures"
    if compute_full_seconds(state, name, now) > 0:
        return "said that it is full"
    return ""
