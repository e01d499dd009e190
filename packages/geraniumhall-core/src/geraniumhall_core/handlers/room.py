"""The room at backend servers: who has some, and when a request would be answered."""

from math import inf

from geraniumhall_core.handlers.access import is_open
from geraniumhall_core.limits import DemandMeter
from geraniumhall_core.orders import ServerRole
from geraniumhall_core.overload import AdmissionQuery
from geraniumhall_core.pace import EntryProfile
from geraniumhall_core.requests import AttemptOutcome, RequestRecord
from geraniumhall_core.room import ROOM_POLICIES, RoomQuery, ServerRoom, assume_room
from geraniumhall_core.state import DaemonState
from geraniumhall_core.urgency import (
    OUTPUT_TOKEN_WEIGHT,
    URGENCY_POLICIES,
    UrgencyQuery,
)

# A caller that is refused later than this has lost time that it needs elsewhere.
HELD_FRACTION = 0.125
DEFAULT_ANSWER_SECONDS = 0.2  # until answers were observed
DRAINED_FRACTION = 0.5  # of an answer's time, until a full server is tried again
MAX_FULL_SECONDS = 2.0
BUSY_FRACTION = 0.5  # of a server's slots
HONOURED_FRACTION = 2 / 9  # of the time left; callers wait as told for a third
RETRY_AFTER_SECONDS = 0.5
MAX_CROWD_SECONDS = 2.0
METER_FACTOR = 1.44  # by which a meter reads more than constant demand


def observe_arrival(state: DaemonState, record: RequestRecord, now: float) -> None:
    """Count an accepted request, and recognise that its caller has tried before."""
    overload = state.overload
    profile = overload.profiles.setdefault(record.entry, EntryProfile())
    profile.observe(_compute_size(record), record.request.timeout)
    record.is_repeat = profile.is_repeat(record.request.timeout)
    state.counters["requests.repeats"] += record.is_repeat
    _count(overload.arrivals, record.service, now)


def prefer_room(
    state: DaemonState, service: str, names: list[str], now: float, draw: float
) -> list[str]:
    """Return the servers with room for a request of this host, or all without any.

    Engines in the prefill role are chosen apart from those that answer a request.
    """
    policy = ROOM_POLICIES.find(state.policy.room)
    if policy is assume_room:
        return names
    meter = state.overload.arrivals.get(service)
    arrivals = meter.read(now) / METER_FACTOR * state.live_hosts if meter else 0.0
    pace = state.overload.get_pace(service)
    query = RoomQuery(
        arrivals=arrivals,
        answer_seconds=pace.whole.read(DEFAULT_ANSWER_SECONDS),
        draw=draw,
    )
    servers = state.catalogue.servers
    readers = [n for n in names if servers[n].role is ServerRole.PREFILL]
    others = [n for n in names if servers[n].role is not ServerRole.PREFILL]
    chosen: set[str] = set()
    for group in (readers, others):
        if group:
            rooms = [_describe_room(state, name, now) for name in group]
            chosen.update(policy(rooms, query))
    return [name for name in names if name in chosen]


def _describe_room(state: DaemonState, name: str, now: float) -> ServerRoom:
    return ServerRoom(
        name=name,
        requests=_count_requests(state, name),
        slots=state.catalogue.servers[name].slots,
        refused_seconds=compute_full_seconds(state, name, now),
    )


def compute_full_seconds(state: DaemonState, name: str, now: float) -> float:
    """Return for how long a server still counts as full by its own refusals."""
    return max(0.0, state.get_load(name).full_until - now)


def plan_answer(state: DaemonState, server: str, expected_seconds: float) -> float:
    """Return the planned seconds until an answer begins, before the pace is applied.

    That is the planner's estimate. Without one, it is the usual time of the answers
    that the server's slots work off until then, this one included.
    """
    if expected_seconds > 0:
        return expected_seconds
    slots = max(1, state.catalogue.servers[server].slots)
    answers = max(1.0, (_count_requests(state, server) + 1) / slots)
    return answers * DEFAULT_ANSWER_SECONDS


def build_query(
    state: DaemonState, record: RequestRecord, server: str, now: float
) -> AdmissionQuery:
    """Return what admission is decided by, if a request is to go to a server now."""
    first, last = _estimate_seconds(state, record)
    objective = _find_objective(state, record)
    held = now - record.arrived_at
    bound = record.deadline - record.arrived_at if objective is None else objective
    return AdmissionQuery(
        time_left=record.deadline - now,
        first_objective=None if objective is None else objective - held,
        first_seconds=first,
        last_seconds=last,
        patience_left=_find_patience(state, record) - held,
        wait_seconds=_compute_wait(state, record, server, now),
        hold_left=bound * HELD_FRACTION - held,
        is_busy=_is_busy(state, server),
        priority=record.priority,
    )


def rank_request(state: DaemonState, record: RequestRecord, now: float) -> int:
    """Return the urgency of a request, zero first."""
    first, last = _estimate_seconds(state, record)
    objective = _find_objective(state, record)
    left = None if objective is None else record.arrived_at + objective - now
    profile = state.overload.profiles.get(record.entry)
    size = profile.compute_relative_size(_compute_size(record)) if profile else 1.0
    query = UrgencyQuery(
        priority=record.priority,
        size=size,
        time_left=record.deadline - now,
        objective_left=left,
        first_seconds=first,
        last_seconds=last,
        is_repeat=record.is_repeat,
    )
    return URGENCY_POLICIES.find(state.policy.urgency)(query)


def compute_return_seconds(
    state: DaemonState, record: RequestRecord, now: float, wait_seconds: float
) -> float:
    """Return after how many seconds a refused request finds room.

    Others that were refused want the same room: with as many refusals as answers a
    second, what was refused in a second takes another one. Callers wait as told for a
    third of their time, which leaves room for a draw.
    """
    refusals = state.overload.refusals.get(record.service)
    if refusals is None:
        return RETRY_AFTER_SECONDS
    completions = state.overload.completions.get(record.service, DemandMeter())
    crowd = refusals.read(now) / max(1e-9, completions.read(now))
    seconds = wait_seconds + min(MAX_CROWD_SECONDS, crowd)
    return max(0.0, min(seconds, (record.deadline - now) * HONOURED_FRACTION))


def count_refusal(state: DaemonState, record: RequestRecord, now: float) -> None:
    """Count a request that is refused for lack of room."""
    _count(state.overload.refusals, record.service, now)


def learn_first(state: DaemonState, record: RequestRecord, now: float) -> None:
    """Learn from the time at which an answer began, or had not begun yet."""
    if record.planned > 0 and now >= record.placed_at:
        pace = state.overload.get_pace(record.service)
        pace.first.add(now - record.placed_at, record.planned)
        record.planned = 0.0


def learn_answer(
    state: DaemonState, record: RequestRecord, generated_tokens: int, now: float
) -> None:
    """Learn from a complete answer how fast the service generates."""
    _count(state.overload.completions, record.service, now)
    pace = state.overload.get_pace(record.service)
    if now >= record.placed_at:
        pace.whole.add(now - record.placed_at, 1)
    if generated_tokens and record.response_started and record.began_at is not None:
        pace.token.add(now - record.began_at, generated_tokens)


def note_outcome(
    state: DaemonState, record: RequestRecord, outcome: AttemptOutcome, now: float
) -> None:
    """Note what an attempt's end tells of its server's room.

    With a transferred KV cache, an engine also refuses because it can't fetch that.
    """
    load = state.get_load(record.server)
    if outcome is AttemptOutcome.COMPLETED:
        load.record_room(record.placed_at)
    elif outcome is AttemptOutcome.BUSY and record.kv_cache is None:
        pace = state.overload.get_pace(record.service)
        seconds = pace.whole.read(DEFAULT_ANSWER_SECONDS) * DRAINED_FRACTION
        load.record_refusal(now, seconds, MAX_FULL_SECONDS)
        state.counters["servers.full"] += 1


def _estimate_seconds(state: DaemonState, record: RequestRecord) -> tuple[float, float]:
    """Return the expected seconds until a placed request's first and last event."""
    pace = state.overload.get_pace(record.service)
    first = record.planned * pace.first_factor
    return first, first + record.request.output_tokens * pace.token.read(0.0)


def _compute_wait(
    state: DaemonState, record: RequestRecord, server: str, now: float
) -> float:
    """Return the seconds until some server of the service has room, zero if one has."""
    wait = compute_full_seconds(state, server, now)
    if not wait:
        return 0.0
    names = state.catalogue.servers_by_service.get(record.service, ())
    servers = state.catalogue.servers
    waits = [
        compute_full_seconds(state, name, now)
        for name in names
        if servers[name].role is not ServerRole.PREFILL and is_open(state, name, now)
    ]
    return min(waits, default=wait)


def _is_busy(state: DaemonState, server: str) -> bool:
    """Return whether half of a server's places are taken, or prompts wait there."""
    slots = state.catalogue.servers[server].slots
    own = state.get_load(server).prefill_tokens
    waiting = own + state.estimate_foreign_work(server).prompt_tokens
    is_taken = slots > 0 and _count_requests(state, server) >= slots * BUSY_FRACTION
    return waiting > 0 or is_taken


def _count_requests(state: DaemonState, server: str) -> float:
    foreign = state.estimate_foreign_work(server).requests
    return state.get_load(server).outstanding + foreign


def _find_objective(state: DaemonState, record: RequestRecord) -> float | None:
    entry = state.catalogue.entries.get(record.entry)
    return entry.objectives.first_answer if entry else None


def _find_patience(state: DaemonState, record: RequestRecord) -> float:
    entry = state.catalogue.entries.get(record.entry)
    patience = entry.objectives.patience if entry else None
    return inf if patience is None else patience


def _compute_size(record: RequestRecord) -> float:
    request = record.request
    return request.prompt_tokens + OUTPUT_TOKEN_WEIGHT * request.max_tokens


def _count(meters: dict[str, DemandMeter], service: str, now: float) -> None:
    meters.setdefault(service, DemandMeter()).add(1.0, now)
