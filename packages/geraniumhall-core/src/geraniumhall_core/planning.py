"""Planning policies: where a prompt is read, and where its answer is generated.

An engine in the prefill role only reads prompts and hands the KV cache over;
one in the decode role generates, and reads a prompt itself at part of the
speed where no cache is handed over; one in both roles does everything. A plan
names the engine that reads ahead, if any, or the engine that takes the
request at once.

Each policy is a function registered under the name that settings use. It gets
the engines that may take part, never none, and returns None if they can't
serve the request::

    @PLANNING_POLICIES.register("first")
    def choose_first(engines, query):
        return Plan(server=engines[0].name, prefill_tokens=query.prompt_tokens)
"""

from collections.abc import Callable, Sequence

import attrs
from xxhash import xxh64_intdigest

from geraniumhall_core.orders import ServerRole
from geraniumhall_core.registry import Registry

MIXED_PREFILL_RATE_FACTOR = 0.5
CROSS_DOMAIN_LATENCY_SECONDS = 0.004
KV_TRANSFER_OVERHEAD_SECONDS = 0.020
RUNNING_REQUEST_DELAY_SECONDS = 0.0005
FULL_SLOTS_DELAY_SECONDS = 0.5
PREFILL_INTERFERENCE_FACTOR = 0.05
ATTENTION_DOUBLING_TOKENS = 74_000


@attrs.frozen(kw_only=True)
class EngineView:
    """An engine as planning sees it.

    `queued_prefill_tokens` of prompts are still to be read there, and `requests` are
    under way, as far as this host knows. `is_local` tells whether it is in
    the host's failure domain.
    """

    name: str
    role: ServerRole
    is_local: bool
    queued_prefill_tokens: float
    requests: float
    slots: int


@attrs.frozen(kw_only=True)
class PlanQuery:
    """What a plan depends on.

    `shared_prefix_tokens` of the `prompt_tokens` are in parts that other requests
    have too; `shared_prefix_hash` is a hash of the last of these parts.
    `prefill_rate` is in tokens a second of a prefill engine, `kv_transfer_rate`
    in tokens a second between engines.
    """

    prompt_tokens: int
    shared_prefix_tokens: int
    shared_prefix_hash: int
    prefill_rate: float
    kv_transfer_rate: float


@attrs.frozen(kw_only=True)
class Plan:
    """The engine that reads the prompt ahead, or the one that does it all.

    `prefill_tokens` are those that it is expected to read; `expected_seconds` is when
    the first event is expected.
    """

    server: str
    prefill_tokens: int
    expected_seconds: float = 0.0
    is_prefill_only: bool = False


PlanningPolicy = Callable[[Sequence[EngineView], PlanQuery], Plan | None]
PLANNING_POLICIES: Registry[str, PlanningPolicy] = Registry("planning policy")


@PLANNING_POLICIES.register("direct")
def plan_directly(engines: Sequence[EngineView], query: PlanQuery) -> Plan | None:
    """Never read ahead: take the generating engine that is free first.

    Reading a prompt there slows the streams that it generates, so each of
    them makes reading count for more.
    """
    return _plan_direct(engines, query)[1]


@PLANNING_POLICIES.register("earliest_answer")
def plan_earliest_answer(
    engines: Sequence[EngineView], query: PlanQuery
) -> Plan | None:
    """Take the way whose first event is expected first.

    The engine that has the highest rendezvous rank for the shared parts (as
    in Thaler and Ravishankar, 1998) is taken to have them in its cache.
    """
    ahead = _plan_disaggregated(engines, query)
    direct = _plan_direct(engines, query)
    return min(ahead, direct, key=lambda pair: pair[0])[1]


def choose_decode_engine(
    engines: Sequence[EngineView], is_prefill_local: bool
) -> EngineView | None:
    """Return the engine that goes on from a prompt that was read ahead."""
    decode_engines = [
        engine for engine in engines if engine.role is not ServerRole.PREFILL
    ]
    if not decode_engines:
        return None

    def estimate(engine: EngineView) -> float:
        network_delay = (
            0.0 if engine.is_local == is_prefill_local else CROSS_DOMAIN_LATENCY_SECONDS
        )
        return _estimate_running_delay(engine) + network_delay

    return min(decode_engines, key=estimate)


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
    running_delay = min(_estimate_running_delay(engine) for engine in decode_engines)

    def estimate(engine: EngineView) -> float:
        prefill_tokens = _estimate_prefill_tokens(engine, prefix_owner, query)
        prefill = (engine.queued_prefill_tokens + prefill_tokens) / query.prefill_rate
        network_delay = 0.0 if engine.is_local else CROSS_DOMAIN_LATENCY_SECONDS
        return prefill + network_delay

    best = min(prefill_engines, key=estimate)
    expected_seconds = estimate(best) + transfer + running_delay
    return expected_seconds, Plan(
        server=best.name,
        prefill_tokens=_estimate_prefill_tokens(best, prefix_owner, query),
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
    rate = query.prefill_rate * MIXED_PREFILL_RATE_FACTOR

    def estimate(engine: EngineView) -> float:
        prefill_tokens = _estimate_prefill_tokens(engine, prefix_owner, query)
        prefill = (engine.queued_prefill_tokens + prefill_tokens) / rate
        prefill += prefill_tokens / rate * engine.requests * PREFILL_INTERFERENCE_FACTOR
        network_delay = 0.0 if engine.is_local else CROSS_DOMAIN_LATENCY_SECONDS
        return prefill + _estimate_running_delay(engine) + network_delay

    best = min(decode_engines, key=estimate)
    expected_seconds = estimate(best)
    return expected_seconds, Plan(
        server=best.name,
        prefill_tokens=_estimate_prefill_tokens(best, prefix_owner, query),
        expected_seconds=expected_seconds,
    )


def _estimate_running_delay(engine: EngineView) -> float:
    """Return the seconds by which running requests delay the next one."""
    delay = engine.requests * RUNNING_REQUEST_DELAY_SECONDS
    return delay + FULL_SLOTS_DELAY_SECONDS * (engine.requests >= engine.slots > 0)


def _find_prefix_owner(
    engines: Sequence[EngineView], query: PlanQuery
) -> EngineView | None:
    if not query.shared_prefix_tokens:
        return None
    return max(
        engines,
        key=lambda engine: xxh64_intdigest(engine.name, seed=query.shared_prefix_hash),
    )


def _estimate_prefill_tokens(
    engine: EngineView, prefix_owner: EngineView | None, query: PlanQuery
) -> int:
    """Return the effort of reading a prompt there, as tokens of a short one.

    Attention makes each token cost more by the length of what precedes it.
    """
    cached = query.shared_prefix_tokens if engine is prefix_owner else 0
    uncached = query.prompt_tokens - cached
    preceding = query.prompt_tokens - uncached / 2
    return int(uncached * (1 + preceding / ATTENTION_DOUBLING_TOKENS))
