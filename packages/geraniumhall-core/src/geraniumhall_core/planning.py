"""Planning policies: which engine runs prefill, and which one decodes.

An engine in the prefill role only runs prefill and transfers the KV cache. An
engine in the decode role generates the response; without a transferred cache it
runs prefill itself, at part of the speed. An engine in both roles does both. A
plan names either the engine that runs prefill only, or the engine that takes
the whole request.

Each policy is a function registered under the name used in settings. It gets a
non-empty list of candidate engines and returns None if they can't serve the
request::

    @PLANNING_POLICIES.register("first")
    def choose_first(engines, query):
        return Plan(server=engines[0].name, prefill_tokens=query.prompt_tokens)
"""

from collections.abc import Callable, Sequence
from typing import TypeVar

import attrs
from xxhash import xxh64_intdigest

from geraniumhall_core.orders import ServerRole
from geraniumhall_core.prefixes import NOTHING_KEPT, KeptTokens
from geraniumhall_core.registry import Registry
from geraniumhall_core.speeds import USUAL_SPEED, EngineSpeed

# An engine that also decodes runs prefill at this fraction of the rate.
MIXED_PREFILL_RATE_FACTOR = 0.5
CROSS_DOMAIN_LATENCY_SECONDS = 0.004
KV_TRANSFER_OVERHEAD_SECONDS = 0.020  # for a transfer of any size
RUNNING_REQUEST_DELAY_SECONDS = 0.0005  # for each running request
FULL_SLOTS_DELAY_SECONDS = 0.5  # if no slot is free
# A request that does not fit into an engine's memory waits for others to end.
FULL_MEMORY_DELAY_SECONDS = 1.0  # for each time that the memory is filled
USABLE_MEMORY_FRACTION = 0.85  # the rest is for work that is not reported yet
# Each running request adds this fraction to the cost of prefill on its engine.
PREFILL_INTERFERENCE_FACTOR = 0.05
# What failures of the engine and answers over an objective count for, as a wait.
FAILED_ATTEMPT_SECONDS = 1.0
LATE_ANSWER_SECONDS = 1.0
# Up to this part of an objective, an answer is in time though its engine stalls.
SAFE_OBJECTIVE_FRACTION = 0.4
# Estimates of hosts err by this part, as they hear of each other's work late.
ESTIMATE_ERROR_FRACTION = 0.1
MIN_ESTIMATE_ERROR_SECONDS = 0.003
# Prefill of a token behind this many others costs twice that of the first token.
ATTENTION_DOUBLING_TOKENS = 74_000


@attrs.frozen(kw_only=True)
class EngineView:
    """The planner's view of an engine, as far as this host knows.

    `queued_prefill_tokens` are prompt tokens whose prefill is pending there;
    `requests` are in progress. `is_local` is true if the engine is in the host's
    failure domain. `cached_tokens` of the prompt are assumed in its prefix cache.
    The requests in progress take `memory_tokens` of its `memory_capacity`, also in
    tokens; with a capacity of zero its memory never counts as full. `kept` is
    expected in its cache if parts that may have yielded to others count less. `speed`
    is relative to the usual speed of its service.
    """

    name: str
    role: ServerRole
    is_local: bool
    queued_prefill_tokens: float
    requests: float
    slots: int
    cached_tokens: int = 0
    memory_tokens: float = 0
    memory_capacity: int = 0
    kept: KeptTokens = NOTHING_KEPT
    speed: EngineSpeed = USUAL_SPEED


@attrs.frozen(kw_only=True)
class StreamPace:
    """The usual pause between two events of a stream, and the longest one allowed.

    Both are in seconds; zero means that the usual pause is not known, and None that
    there is no objective. What an engine prefills between the tokens of its streams, at
    `mixed_prefill_rate` tokens a second, makes the pauses longer.
    """

    event_seconds: float = 0.0
    gap_objective: float | None = None
    mixed_prefill_rate: float = float("inf")

    def estimate_lateness(self, engine: EngineView, more_tokens: float = 0.0) -> float:
        """Return how likely streams of an engine pause for too long.

        It prefills `more_tokens` besides those that are queued there.
        """
        if self.gap_objective is None or not self.event_seconds:
            return 0.0
        rate = self.mixed_prefill_rate * engine.speed.prefill
        pause = self.event_seconds / engine.speed.decode
        pause += (engine.queued_prefill_tokens + more_tokens) / rate
        return estimate_lateness(pause, self.gap_objective)


USUAL_PACE = StreamPace()


@attrs.frozen(kw_only=True)
class PlanQuery:
    """The inputs of a plan.

    The request takes `memory_tokens` of an engine's memory.
    `shared_prefix_tokens` of the `prompt_tokens` are in parts that other requests
    may share; `shared_prefix_hash` is a hash of the last of these parts.
    `prefill_rate` is that of a prefill engine and `kv_transfer_rate` that of a
    transfer between engines, both in tokens a second. `draw`, uniform in [0, 1),
    decides between engines that are expected to answer equally early. `pace` is that of
    the stream on an engine of usual speed. The last shared part is used
    `shared_use_rate` times a second over all hosts. The first event is wanted within
    `objective` seconds, None without an objective.
    """

    prompt_tokens: int
    shared_prefix_tokens: int
    shared_prefix_hash: int
    prefill_rate: float
    kv_transfer_rate: float
    memory_tokens: int = 0
    pace: StreamPace = USUAL_PACE
    draw: float = 0.0
    shared_use_rate: float = 0.0
    objective: float | None = None


@attrs.frozen(kw_only=True)
class Plan:
    """The engine that the request is sent to first.

    With `is_prefill_only` it runs prefill and another engine decodes; otherwise it
    does both. `prefill_tokens` is the expected prefill work there, and
    `expected_seconds` the expected time to the first event. `pending_prefill` is the
    prefill work with all that is queued before it, as tokens of an engine of usual
    speed that only runs prefill. With `fetches_from` the engine first fetches what that
    one keeps of the prompt. `kept_tokens` of the prompt are expected to be held or
    fetched, and `copy_seconds` is the price of another copy of the shared parts.
    """

    server: str
    prefill_tokens: int
    pending_prefill: float = 0.0
    fetches_from: str = ""
    kept_tokens: float = 0.0
    copy_seconds: float = 0.0
    expected_seconds: float = 0.0
    is_prefill_only: bool = False


Chosen = TypeVar("Chosen")
PlanningPolicy = Callable[[Sequence[EngineView], PlanQuery], Plan | None]
PLANNING_POLICIES: Registry[str, PlanningPolicy] = Registry("planning policy")


@PLANNING_POLICIES.register("direct")
def plan_directly(engines: Sequence[EngineView], query: PlanQuery) -> Plan | None:
    """Take the decode engine with the earliest expected first event.

    The engine also runs prefill. That slows the streams that it is generating, so
    each of them adds to the estimated cost of prefill.
    """
    return _plan_direct(engines, query)[1]


@PLANNING_POLICIES.register("earliest_answer")
def plan_earliest_answer(
    engines: Sequence[EngineView], query: PlanQuery
) -> Plan | None:
    """Take the plan, direct or disaggregated, with the earliest expected first event.

    An engine that holds the prompt's prefix needs less time, so requests with the
    same prefix stay together until the queue there costs more than another
    prefill elsewhere. As long as no engine holds a shared prefix, it counts as held
    by the one with the highest rendezvous rank for it (Thaler and Ravishankar,
    1998), so that all hosts begin with the same engine.
    """
    disaggregated = _plan_disaggregated(engines, query)
    direct = _plan_direct(engines, query)
    return min(disaggregated, direct, key=lambda pair: pair[0])[1]


@PLANNING_POLICIES.register("rendezvous_prefix")
def plan_by_rendezvous(engines: Sequence[EngineView], query: PlanQuery) -> Plan | None:
    """Plan as `earliest_answer`, without what is known of the prefix caches.

    Only the engine with the highest rendezvous rank counts as holding a prefix.
    This is the baseline for policies that follow the caches.
    """
    unknown = [attrs.evolve(engine, cached_tokens=0) for engine in engines]
    return plan_earliest_answer(unknown, query)


def choose_decode_engine(
    engines: Sequence[EngineView],
    is_prefill_local: bool,
    memory_tokens: int,
    draw: float = 0.0,
    pace: StreamPace = USUAL_PACE,
) -> EngineView | None:
    """Return the engine that decodes from a transferred KV cache, or None.

    The request takes `memory_tokens` of the engine's memory. `draw`, uniform in
    [0, 1), decides between engines that are equally good. `pace` is that of the stream
    on an engine of usual speed.
    """
    decode_engines = [
        engine for engine in engines if engine.role is not ServerRole.PREFILL
    ]
    if not decode_engines:
        return None

    def estimate(engine: EngineView) -> float:
        network_delay = (
            0.0 if engine.is_local == is_prefill_local else CROSS_DOMAIN_LATENCY_SECONDS
        )
        running_delay = estimate_running_delay(engine, memory_tokens)
        return running_delay + estimate_stream_delay(engine, pace) + network_delay

    if pace.event_seconds:
        return choose_among_close(decode_engines, estimate, draw)
    return choose_earliest(decode_engines, estimate, draw)


def _plan_disaggregated(
    engines: Sequence[EngineView], query: PlanQuery
) -> tuple[float, Plan | None]:
    prefill_engines = [
        engine for engine in engines if engine.role is ServerRole.PREFILL
    ]
    decode_engines = [
        engine for engine in engines if engine.role is not ServerRole.PREFILL
    ]
    if not prefill_engines or not decode_engines:
        return float("inf"), None
    prefix_owner = _find_prefix_owner(prefill_engines, query)
    transfer = (
        KV_TRANSFER_OVERHEAD_SECONDS + query.prompt_tokens / query.kv_transfer_rate
    )
    running_delay = min(
        estimate_running_delay(engine, query.memory_tokens)
        + estimate_stream_delay(engine, query.pace)
        for engine in decode_engines
    )

    def estimate_pending(engine: EngineView) -> float:
        prefill_tokens = _estimate_prefill_tokens(engine, prefix_owner, query)
        return engine.queued_prefill_tokens + prefill_tokens

    def estimate(engine: EngineView) -> float:
        rate = query.prefill_rate * engine.speed.prefill
        network_delay = 0.0 if engine.is_local else CROSS_DOMAIN_LATENCY_SECONDS
        return estimate_pending(engine) / rate + estimate_loss(engine) + network_delay

    best = choose_earliest(prefill_engines, estimate, query.draw)
    expected_seconds = estimate(best) + transfer + running_delay
    return expected_seconds, Plan(
        server=best.name,
        prefill_tokens=_estimate_prefill_tokens(best, prefix_owner, query),
        pending_prefill=estimate_pending(best),
        expected_seconds=expected_seconds,
        is_prefill_only=True,
    )


def _plan_direct(
    engines: Sequence[EngineView], query: PlanQuery
) -> tuple[float, Plan | None]:
    decode_engines = [
        engine for engine in engines if engine.role is not ServerRole.PREFILL
    ]
    if not decode_engines:
        return float("inf"), None
    prefix_owner = _find_prefix_owner(decode_engines, query)

    def estimate_pending(engine: EngineView) -> float:
        prefill_tokens = _estimate_prefill_tokens(engine, prefix_owner, query)
        interference = engine.requests * PREFILL_INTERFERENCE_FACTOR
        pending = engine.queued_prefill_tokens + prefill_tokens * (1 + interference)
        return pending / MIXED_PREFILL_RATE_FACTOR

    def estimate(engine: EngineView) -> float:
        rate = query.prefill_rate * engine.speed.prefill
        network_delay = 0.0 if engine.is_local else CROSS_DOMAIN_LATENCY_SECONDS
        running_delay = estimate_running_delay(engine, query.memory_tokens)
        stream_delay = estimate_stream_delay(engine, query.pace)
        delay = running_delay + stream_delay + network_delay
        return estimate_pending(engine) / rate + delay

    best = choose_earliest(decode_engines, estimate, query.draw)
    expected_seconds = estimate(best)
    return expected_seconds, Plan(
        server=best.name,
        prefill_tokens=_estimate_prefill_tokens(best, prefix_owner, query),
        pending_prefill=estimate_pending(best),
        expected_seconds=expected_seconds,
    )


def choose_earliest(
    options: Sequence[Chosen], estimate: Callable[[Chosen], float], draw: float
) -> Chosen:
    """Return one of the options with the least estimate, by `draw`.

    Hosts that know little of each other's work see many engines as equally idle. A
    fixed order among these would make all hosts choose the same one.
    """
    estimates = [estimate(option) for option in options]
    least = min(estimates)
    tied = [o for o, value in zip(options, estimates, strict=True) if value == least]
    return tied[int(draw * len(tied))]


def choose_among_close(
    options: Sequence[Chosen], estimate: Callable[[Chosen], float], draw: float
) -> Chosen:
    """Return an option by `draw`, the likelier the less its estimate in seconds.

    An engine that is a little better than the others, by what all hosts know of speeds
    and caches, would get the requests of all of them until they hear of each other's.
    The likelihoods fall to zero at a distance of `ESTIMATE_ERROR_FRACTION` from the
    least estimate.
    """
    weighed = sorted(((estimate(o), n) for n, o in enumerate(options)))
    least = weighed[0][0]
    reach = max(MIN_ESTIMATE_ERROR_SECONDS, least * ESTIMATE_ERROR_FRACTION)
    close = [(1 - (value - least) / reach, n) for value, n in weighed]
    close = [(weight, n) for weight, n in close if weight > 0]
    rest = draw * sum(weight for weight, _ in close)
    for weight, number in close:
        rest -= weight
        if rest < 0:
            return options[number]
    return options[close[0][1]]


def estimate_running_delay(engine: EngineView, memory_tokens: int) -> float:
    """Return the delay of a new request by running ones, in seconds."""
    delay = engine.requests * RUNNING_REQUEST_DELAY_SECONDS / engine.speed.decode
    if engine.requests >= engine.slots > 0:
        delay += FULL_SLOTS_DELAY_SECONDS
    usable = engine.memory_capacity * USABLE_MEMORY_FRACTION
    needed = engine.memory_tokens + memory_tokens
    if engine.memory_tokens and needed > usable > 0:
        delay += FULL_MEMORY_DELAY_SECONDS * needed / usable
    return delay


def estimate_stream_delay(engine: EngineView, pace: StreamPace) -> float:
    """Return what a stream loses by the engine's pace and failures, in seconds."""
    delay = pace.event_seconds / engine.speed.decode - pace.event_seconds
    delay += pace.estimate_lateness(engine) * LATE_ANSWER_SECONDS
    return delay + estimate_loss(engine)


def estimate_lateness(seconds: float, objective: float) -> float:
    """Return how likely something that is expected to take so long is late.

    Engines stall now and then, so the likelihood rises from zero at
    `SAFE_OBJECTIVE_FRACTION` of the objective, slowly at first, to one at all of it.
    """
    safe = objective * SAFE_OBJECTIVE_FRACTION
    if seconds <= safe:
        return 0.0
    if seconds >= objective:
        return 1.0
    return ((seconds - safe) / (objective - safe)) ** 2


def estimate_loss(engine: EngineView) -> float:
    """Return the expected delay of a request by failures of the engine, in seconds."""
    return engine.speed.failing * FAILED_ATTEMPT_SECONDS


def _find_prefix_owner(
    engines: Sequence[EngineView], query: PlanQuery
) -> EngineView | None:
    """Return the engine to begin a shared prefix with, None once one holds it."""
    shared = query.shared_prefix_tokens
    if not shared or any(engine.cached_tokens >= shared for engine in engines):
        return None
    return max(
        engines,
        key=lambda engine: xxh64_intdigest(engine.name, seed=query.shared_prefix_hash),
    )


def _estimate_prefill_tokens(
    engine: EngineView, prefix_owner: EngineView | None, query: PlanQuery
) -> int:
    """Return the prefill cost on an engine, in units of a prompt's first token."""
    cached = engine.cached_tokens
    if engine is prefix_owner:
        cached = max(cached, query.shared_prefix_tokens)
    return estimate_read_cost(query.prompt_tokens, cached)


def estimate_read_cost(prompt_tokens: int, cached_tokens: int) -> int:
    """Return the cost of reading what is not cached, in units of a first token.

    Attention makes a token cost more with the number of tokens before it.
    """
    uncached = prompt_tokens - min(cached_tokens, prompt_tokens)
    preceding = prompt_tokens - uncached / 2
    return int(uncached * (1 + preceding / ATTENTION_DOUBLING_TOKENS))
