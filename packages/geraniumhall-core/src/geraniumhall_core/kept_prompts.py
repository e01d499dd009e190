"""The planning policy `kept_prompt`: weighs what is kept of a prompt against the wait.

An engine that keeps the beginning of a prompt need not read it again, which answers
sooner and leaves its time to others. For each request and engine the policy adds up, in
seconds, what the request's caller and everyone else pay:

- the time to the first event, from the engine's queue, its learned speed, its running
  requests and memory, and the part of the prompt that it is not expected to keep,
- the time of engines that the request takes, also for moving its KV cache,
- how likely the first event comes after the objective, and how late,
- the streams that the engine generates and that the prefill makes pause for too long,
- the price of another copy of the shared beginning, if a different engine keeps it.

A copy costs the engine time of reading it, and more if it pushes out parts that others
would use. The more often the beginning is used, the more requests share that price, so
a beginning that many want spreads over several engines, and a rare one stays where it
is. An engine may also fetch the beginning from the one that keeps it.
"""

from collections.abc import Sequence
from math import exp

import attrs
from xxhash import xxh64_intdigest

from geraniumhall_core.orders import ServerRole
from geraniumhall_core.planning import (
    CROSS_DOMAIN_LATENCY_SECONDS,
    KV_TRANSFER_OVERHEAD_SECONDS,
    LATE_ANSWER_SECONDS,
    MIXED_PREFILL_RATE_FACTOR,
    PLANNING_POLICIES,
    PREFILL_INTERFERENCE_FACTOR,
    EngineView,
    Plan,
    PlanQuery,
    choose_among_close,
    estimate_lateness,
    estimate_loss,
    estimate_read_cost,
    estimate_running_delay,
    estimate_stream_delay,
)

# A caller who waits within the objective loses little, while the engine time that an
# early answer takes is lost to all who come after it.
WAIT_WEIGHT = 0.5
# Engines keep a part for some seconds, in which a copy may serve other requests.
RETENTION_SECONDS = 10.0
# Until hosts have heard of a copy, they would each begin one.
TELLING_SECONDS = 0.25
# An engine that keeps this fraction of the shared parts counts as holding a copy.
COPY_FRACTION = 0.9
# Transfers between failure domains take this much longer.
CROSS_DOMAIN_TRANSFER_FACTOR = 2.0
# A transfer takes the time, a slot and memory of both engines.
TRANSFER_ENDS = 2
# Less is read again in the time that a transfer takes to begin.
MIN_FETCH_TOKENS = 1_000


@attrs.frozen(kw_only=True)
class Option:
    """One way to serve a request, and the price in seconds of all that is weighed."""

    plan: Plan
    price: float


@PLANNING_POLICIES.register("kept_prompt")
def plan_by_kept_prompt(engines: Sequence[EngineView], query: PlanQuery) -> Plan | None:
    """Take the plan with the least total price of wait, engine time and copies."""
    return _plan_least_price(engines, query, may_fetch=True)


@PLANNING_POLICIES.register("kept_prompt_read")
def plan_without_fetching(
    engines: Sequence[EngineView], query: PlanQuery
) -> Plan | None:
    """Plan as `kept_prompt`, but never fetch a beginning from another engine."""
    return _plan_least_price(engines, query, may_fetch=False)


@attrs.frozen(kw_only=True)
class _Situation:
    """What all engines have in common for one request.

    The shared parts are held by `copies` engines, and `available` tokens of them are
    held somewhere. `source` is the engine to fetch from, `fetchable` tokens. Until an
    engine holds all, `starters` are the engines of each kind to begin with, by
    rendezvous hashing (Thaler and Ravishankar, 1998); that saves `start_tokens` on
    average.
    """

    query: PlanQuery
    available: float
    source: EngineView
    fetchable: float
    copies: int
    starters: tuple[str, ...]
    start_tokens: float

    @classmethod
    def from_engines(
        cls, groups: Sequence[Sequence[EngineView]], query: PlanQuery
    ) -> "_Situation":
        """Return the situation of a request among groups of engines."""
        engines = [engine for group in groups for engine in group]
        shared = query.shared_prefix_tokens
        source = max(engines, key=lambda engine: engine.kept.settled)
        most = max(engine.kept.held for engine in engines)
        holders = [e for e in engines if e.kept.held >= shared * COPY_FRACTION]
        starters: tuple[str, ...] = ()
        if shared and not holders:
            starters = tuple(_find_starter(group, query) for group in groups if group)
        others = query.shared_use_rate * TELLING_SECONDS
        return cls(
            query=query,
            available=min(most, shared),
            source=source,
            fetchable=min(source.kept.settled, shared),
            copies=len(holders) if shared else 0,
            starters=starters,
            start_tokens=shared * (1 - exp(-others)),
        )


@attrs.frozen(kw_only=True)
class _Candidate:
    """An engine that may get the request.

    Its prefill is followed by `later` seconds until the first event, of which a
    transfer of the KV cache takes `transfer`. `rate` is that of prefill there in tokens
    a second, and `read_factor` what the streams that it generates add to the cost of a
    token.
    """

    engine: EngineView
    is_prefill_only: bool
    later: float
    transfer: float
    rate: float
    read_factor: float

    @classmethod
    def from_engine(
        cls,
        engine: EngineView,
        query: PlanQuery,
        decode_delay: float,
        is_prefill_only: bool,
    ) -> "_Candidate":
        """Return the candidate for a prefill only, or for the whole request."""
        transfer = 0.0
        if is_prefill_only:
            transfer = KV_TRANSFER_OVERHEAD_SECONDS
            transfer += query.prompt_tokens / query.kv_transfer_rate
        rate = query.prefill_rate * engine.speed.prefill
        interference = engine.requests * PREFILL_INTERFERENCE_FACTOR
        return cls(
            engine=engine,
            is_prefill_only=is_prefill_only,
            later=transfer + decode_delay,
            transfer=transfer,
            rate=rate if is_prefill_only else rate * MIXED_PREFILL_RATE_FACTOR,
            read_factor=1.0 if is_prefill_only else 1.0 + interference,
        )


def _find_starter(engines: Sequence[EngineView], query: PlanQuery) -> str:
    names = (engine.name for engine in engines)
    seed = query.shared_prefix_hash
    return max(names, key=lambda name: xxh64_intdigest(name, seed=seed))


def _plan_least_price(
    engines: Sequence[EngineView], query: PlanQuery, may_fetch: bool
) -> Plan | None:
    decode_engines = [e for e in engines if e.role is not ServerRole.PREFILL]
    if not decode_engines:
        return None
    prefill_engines = [e for e in engines if e.role is ServerRole.PREFILL]
    situation = _Situation.from_engines((prefill_engines, decode_engines), query)
    decode_delays = [_estimate_decode_delay(e, query) for e in decode_engines]
    candidates = [
        _Candidate.from_engine(engine, query, min(decode_delays), True)
        for engine in prefill_engines
    ]
    candidates += [
        _Candidate.from_engine(engine, query, delay, False)
        for engine, delay in zip(decode_engines, decode_delays, strict=True)
    ]
    options = [_weigh_ways(item, situation, may_fetch) for item in candidates]
    return choose_among_close(options, lambda option: option.price, query.draw).plan


def _weigh_ways(
    candidate: _Candidate, situation: _Situation, may_fetch: bool
) -> Option:
    """Return the better one of reading and fetching."""
    reading = _weigh_reading(candidate, situation)
    if not may_fetch or not _can_fetch(candidate, situation):
        return reading
    fetching = _weigh_fetching(candidate, situation)
    return fetching if fetching.price < reading.price else reading


def _can_fetch(candidate: _Candidate, situation: _Situation) -> bool:
    missing = situation.fetchable - candidate.engine.kept.held
    return missing >= MIN_FETCH_TOKENS and candidate.engine is not situation.source


def _weigh_reading(candidate: _Candidate, situation: _Situation) -> Option:
    """Return the option that an engine reads all that it does not keep."""
    kept = candidate.engine.kept.held
    if candidate.engine.name in situation.starters:
        kept = max(kept, situation.start_tokens)
    copy_work = max(0.0, situation.available - kept) / candidate.rate
    return _weigh(candidate, situation, kept, candidate.later, copy_work, rereads=True)


def _weigh_fetching(candidate: _Candidate, situation: _Situation) -> Option:
    """Return the option that an engine fetches the shared parts from the source."""
    query, source = situation.query, situation.source
    missing = situation.fetchable - candidate.engine.kept.held
    seconds = missing / query.kv_transfer_rate
    if not (candidate.engine.is_local and source.is_local):
        seconds *= CROSS_DOMAIN_TRANSFER_FACTOR
    seconds += KV_TRANSFER_OVERHEAD_SECONDS
    later = candidate.later + seconds
    option = _weigh(candidate, situation, situation.fetchable, later, seconds)
    return attrs.evolve(
        option, plan=attrs.evolve(option.plan, fetches_from=source.name)
    )


def _weigh(
    candidate: _Candidate,
    situation: _Situation,
    kept: float,
    later: float,
    copy_work: float,
    rereads: bool = False,
) -> Option:
    """Return the option of an engine that has `kept` tokens of the prompt.

    The first event follows `later` seconds after the prefill. Another copy of the
    shared parts takes `copy_work` seconds, of the prefill if the engine `rereads` them.
    """
    engine, query = candidate.engine, situation.query
    read_tokens = estimate_read_cost(query.prompt_tokens, int(kept))
    read = read_tokens * candidate.read_factor
    pending = engine.queued_prefill_tokens + read
    network = 0.0 if engine.is_local else CROSS_DOMAIN_LATENCY_SECONDS
    delay = later + network
    if candidate.is_prefill_only:
        delay += estimate_loss(engine)
    expected = pending / candidate.rate + delay
    copy_seconds = _price_copy(engine, situation, copy_work)
    mixing = 1.0 if candidate.is_prefill_only else MIXED_PREFILL_RATE_FACTOR
    plan = Plan(
        server=engine.name,
        prefill_tokens=read_tokens,
        pending_prefill=pending / mixing,
        kept_tokens=kept,
        copy_seconds=copy_seconds,
        expected_seconds=expected,
        is_prefill_only=candidate.is_prefill_only,
    )
    work = read / candidate.rate - (copy_work if rereads else 0.0)
    work += TRANSFER_ENDS * candidate.transfer
    price = _price_wait(expected, query) + work + copy_seconds
    if not candidate.is_prefill_only:
        price += _price_pauses(engine, read, query)
    return Option(plan=plan, price=price)


def _price_wait(seconds: float, query: PlanQuery) -> float:
    """Return the price of a first event after `seconds`."""
    if query.objective is None:
        return seconds
    late = estimate_lateness(seconds, query.objective) * LATE_ANSWER_SECONDS
    return seconds * WAIT_WEIGHT + late + max(0.0, seconds - query.objective)


def _price_pauses(engine: EngineView, read: float, query: PlanQuery) -> float:
    """Return the price of pauses that a prefill causes in the engine's streams."""
    pace = query.pace
    more_late = pace.estimate_lateness(engine, read) - pace.estimate_lateness(engine)
    return engine.requests * more_late * LATE_ANSWER_SECONDS


def _price_copy(engine: EngineView, situation: _Situation, copy_work: float) -> float:
    """Return the price of another copy of the shared parts, in seconds."""
    pressure = 0.0
    if engine.memory_capacity:
        pressure = min(1.0, engine.memory_tokens / engine.memory_capacity)
    uses = situation.query.shared_use_rate * RETENTION_SECONDS
    return copy_work * (1 + pressure) / (1 + uses / (situation.copies + 1))


def _estimate_decode_delay(engine: EngineView, query: PlanQuery) -> float:
    running = estimate_running_delay(engine, query.memory_tokens)
    return running + estimate_stream_delay(engine, query.pace)
