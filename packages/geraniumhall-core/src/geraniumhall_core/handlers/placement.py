"""Placement: selects a backend server by the configured policies."""

from collections.abc import Sequence

import attrs
from xxhash import xxh64_intdigest

from geraniumhall_core.catalogue import BackendServer, EngineProfile
from geraniumhall_core.handlers.access import is_open, is_place_for
from geraniumhall_core.handlers.room import prefer_room
from geraniumhall_core.handlers.speeds import find_speed, find_usual_speed
from geraniumhall_core.orders import ServerRole
from geraniumhall_core.planning import (
    MIXED_PREFILL_RATE_FACTOR,
    PLANNING_POLICIES,
    EngineView,
    PlanQuery,
    StreamPace,
    choose_decode_engine,
)
from geraniumhall_core.prefixes import PartUse, PromptUse
from geraniumhall_core.requests import CallerRequest, RequestRecord
from geraniumhall_core.routing import ROUTING_POLICIES, RoutingQuery, ServerView
from geraniumhall_core.state import DaemonState


@attrs.frozen(kw_only=True)
class Placement:
    """The backend server that a request is sent to next.

    With `is_prefill_only` the server only runs prefill. `prefill_tokens` is the
    expected prefill work there, and `pending_prefill` that work with all that is
    queued before it, as tokens of an engine that only runs prefill. The first event is
    expected after `expected_seconds`, which is zero if no estimate was made. With
    `fetches_from` the server first fetches what that one keeps of the prompt.
    `kept_tokens` of the prompt are expected to be held there or fetched, and
    `copy_seconds` is what another copy of the shared parts was priced at.
    """

    server: str
    prefill_tokens: int = 0
    pending_prefill: float = 0.0
    fetches_from: str = ""
    kept_tokens: float = 0.0
    copy_seconds: float = 0.0
    expected_seconds: float = 0.0
    is_prefill_only: bool = False


def find_placement(
    state: DaemonState, record: RequestRecord, now: float, draws: tuple[float, float]
) -> Placement | None:
    """Return the placement of an attempt, or None if no server can take it."""
    names = _list_usable(state, record, now)
    if not names:
        return None
    names = prefer_room(state, record.service, names, now, draws[0])
    engine = state.catalogue.find_service(record.service).engine
    if engine is None or not record.request.parts:
        return _place_by_routing(state, record, names, draws)
    return _place_by_planning(state, record, engine, names, now, draws[1])


def place_decode(
    state: DaemonState, record: RequestRecord, now: float, draw: float
) -> Placement | None:
    """Return the server that decodes after a prefill, or None if there is none."""
    assert record.kv_cache is not None
    names = _list_usable(state, record, now)
    names = prefer_room(state, record.service, names, now, draw)
    views = [_build_engine_view(state, name, (), now) for name in names]
    prefill_server = state.catalogue.servers.get(record.kv_cache.server)
    is_local = prefill_server is not None and _is_local(state, prefill_server)
    chosen = choose_decode_engine(
        views,
        is_local,
        record.request.memory_tokens,
        draw,
        _build_pace(state, record, now),
    )
    return Placement(server=chosen.name) if chosen else None


def view_engine(
    state: DaemonState, request: CallerRequest, name: str, now: float
) -> EngineView:
    """Return what the planner knows of an engine, for a request."""
    return _build_engine_view(state, name, _list_part_uses(request), now)


def has_alternative(state: DaemonState, record: RequestRecord, now: float) -> bool:
    """Return whether an untried server that is open to this host is left.

    Engines in the prefill role do not count, because they don't decode.
    """
    servers = state.catalogue.servers
    names = _list_open(state, record, now)
    return any(servers[name].role is not ServerRole.PREFILL for name in names)


def _list_usable(state: DaemonState, record: RequestRecord, now: float) -> list[str]:
    """Return the candidate servers, suspended ones only if there are no others.

    Places on limited servers are left to the requests that gain most by them, unless
    no other server can answer this one.
    """
    candidates = _list_open(state, record, now)
    usable = [name for name in candidates if state.get_load(name).is_usable(now)]
    usable = usable or candidates
    places = [name for name in usable if is_place_for(state, name, record, now)]
    servers = state.catalogue.servers
    can_answer = any(servers[name].role is not ServerRole.PREFILL for name in places)
    return places if can_answer else usable


def _list_open(state: DaemonState, record: RequestRecord, now: float) -> list[str]:
    """Return the untried servers with free connections that are open to this host."""
    names = state.catalogue.servers_by_service.get(record.service, ())
    return [
        n
        for n in names
        if n not in record.tried_servers
        and state.has_connection_capacity(n)
        and is_open(state, n, now)
    ]


def _place_by_routing(
    state: DaemonState,
    record: RequestRecord,
    names: list[str],
    draws: tuple[float, float],
) -> Placement:
    state.round_robin_index += 1
    query = RoutingQuery(
        prefix_hash=record.request.prefix_hash,
        round_robin_index=state.round_robin_index,
        draw=draws[0],
        second_draw=draws[1],
    )
    views = [_build_server_view(state, name) for name in names]
    chosen = ROUTING_POLICIES.find(state.policy.routing)(views, query)
    return Placement(server=chosen.name, prefill_tokens=record.request.prompt_tokens)


def _place_by_planning(
    state: DaemonState,
    record: RequestRecord,
    engine: EngineProfile,
    names: list[str],
    now: float,
    draw: float,
) -> Placement | None:
    request = record.request
    shared = sum(part.tokens for part in request.parts[:-1])
    uses = _list_part_uses(request)
    views = [_build_engine_view(state, name, uses, now) for name in names]
    usual = find_usual_speed(state, record.service, now)
    query = PlanQuery(
        prompt_tokens=request.prompt_tokens,
        shared_prefix_tokens=min(shared, request.prompt_tokens),
        shared_prefix_hash=_hash_shared_prefix(request),
        prefill_rate=state.policy.engine_read_rate * usual.prefill,
        kv_transfer_rate=engine.link_rate / engine.token_bytes,
        memory_tokens=request.memory_tokens,
        pace=_build_pace(state, record, now),
        draw=draw,
        shared_use_rate=state.prefix_caches.compute_use_rate(uses, now),
        objective=_compute_objective_left(state, record, now),
    )
    plan = PLANNING_POLICIES.find(state.policy.planning)(views, query)
    if plan is None:
        return None
    return Placement(
        server=plan.server,
        prefill_tokens=plan.prefill_tokens,
        pending_prefill=plan.pending_prefill,
        fetches_from=plan.fetches_from,
        kept_tokens=plan.kept_tokens,
        copy_seconds=plan.copy_seconds,
        expected_seconds=plan.expected_seconds,
        is_prefill_only=plan.is_prefill_only,
    )


def _compute_objective_left(
    state: DaemonState, record: RequestRecord, now: float
) -> float | None:
    """Return the seconds left of the entry's objective, None without one."""
    entry = state.catalogue.entries.get(record.entry)
    if entry is None or entry.objectives.first_answer is None:
        return None
    return max(0.0, record.arrived_at + entry.objectives.first_answer - now)


def record_prompt_use(
    state: DaemonState, record: RequestRecord, placement: Placement, now: float
) -> None:
    """Record that an engine gets a request's prompt, to be reported to other hosts."""
    if record.request.parts:
        _count_placement(state, placement)
        use = PromptUse(placement.server, _list_part_uses(record.request))
        if add_prompt_use(state, use, now) and state.policy.peer_address:
            state.prefix_caches.unreported.append(use)


def _count_placement(state: DaemonState, placement: Placement) -> None:
    """Count a prompt that an engine is to prefill, by what is kept of it."""
    if not placement.expected_seconds:
        return
    state.counters["prompts.placed"] += 1
    if placement.fetches_from:
        state.counters["prompts.fetched"] += 1
    elif placement.copy_seconds:
        state.counters["prompts.copied"] += 1
    elif placement.kept_tokens:
        state.counters["prompts.kept"] += 1


def add_prompt_use(state: DaemonState, use: PromptUse, now: float = 0.0) -> bool:
    """Add a use to the inferred caches; return False for a server without one."""
    server = state.catalogue.servers.get(use.server)
    if server is None:
        return False
    engine = state.catalogue.find_service(server.service).engine
    if engine is None:
        return False
    capacity = engine.memory_tokens
    state.prefix_caches.add_use(use, server.started_at, capacity, now)
    return True


def forget_removed_engines(state: DaemonState, now: float) -> None:
    """Drop the inferred caches of servers that are gone, and counts of unused parts."""
    state.prefix_caches.forget_unused(now)
    engines = state.prefix_caches.engines
    for name in engines.keys() - state.catalogue.servers.keys():
        state.prefix_caches.remove_engine(name)


def _list_part_uses(request: CallerRequest) -> tuple[PartUse, ...]:
    return tuple(PartUse.from_part(part) for part in request.parts)


def _hash_shared_prefix(request: CallerRequest) -> int:
    """Return a hash of the last prompt part but one, zero with fewer than two.

    The last part is taken to be the request's own, those before it as shared.
    """
    if len(request.parts) < 2:
        return 0
    return xxh64_intdigest(request.parts[-2].id)


def _build_server_view(state: DaemonState, name: str) -> ServerView:
    load = state.get_load(name).outstanding
    return ServerView(name, load + state.estimate_foreign_work(name).requests)


def _build_engine_view(
    state: DaemonState, name: str, uses: Sequence[PartUse], now: float
) -> EngineView:
    server = state.catalogue.servers[name]
    caches = state.prefix_caches
    engine = state.catalogue.find_service(server.service).engine
    load = state.get_load(name)
    foreign = state.estimate_foreign_work(name)
    running_tokens = load.memory_tokens + foreign.memory_tokens
    return EngineView(
        name=name,
        role=server.role,
        is_local=_is_local(state, server),
        queued_prefill_tokens=load.prefill_tokens + foreign.prompt_tokens,
        requests=load.outstanding + foreign.requests,
        slots=server.slots,
        cached_tokens=caches.count_cached(name, server.started_at, uses),
        memory_tokens=running_tokens,
        memory_capacity=engine.memory_tokens if engine else 0,
        kept=caches.estimate_kept(name, server.started_at, uses, running_tokens, now),
        speed=find_speed(state, name, now),
    )


def _build_pace(state: DaemonState, record: RequestRecord, now: float) -> StreamPace:
    """Return the usual time between two events and the entry's objective for it."""
    usual = find_usual_speed(state, record.service, now)
    entry = state.catalogue.entries.get(record.entry)
    gap = entry.objectives.gap if entry else None
    rate = state.policy.engine_read_rate * usual.prefill * MIXED_PREFILL_RATE_FACTOR
    return StreamPace(
        event_seconds=usual.event_seconds, gap_objective=gap, mixed_prefill_rate=rate
    )


def _is_local(state: DaemonState, server: BackendServer) -> bool:
    return server.failure_domain == state.policy.failure_domain
