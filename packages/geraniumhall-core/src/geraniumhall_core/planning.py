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
        return Plan(server=engines[0].name, unread_tokens=query.prompt_tokens)
"""

from collections.abc import Callable, Sequence

import attrs
from xxhash import xxh64_intdigest

from geraniumhall_core.orders import ServerRole
from geraniumhall_core.registry import Registry

MIXED_READ_FACTOR = 0.5
CROSS_DOMAIN_SECONDS = 0.004
HANDOVER_SECONDS = 0.020
RUNNING_REQUEST_SECONDS = 0.0005
BUSY_SLOTS_SECONDS = 0.5
DISTURBANCE_FACTOR = 0.05
ATTENTION_TOKENS = 74_000


@attrs.frozen(kw_only=True)
class EngineView:
    """An engine as planning sees it.

    `waiting_tokens` of prompts are still to be read there, and `requests` are
    under way, as far as this host knows. `is_local` tells whether it is in
    the host's failure domain.
    """

    name: str
    role: ServerRole
    is_local: bool
    waiting_tokens: float
    requests: float
    slots: int


@attrs.frozen(kw_only=True)
class PlanQuery:
    """What a plan depends on.

    `shared_tokens` of the `prompt_tokens` are in parts that other requests
    have too; `affinity` is a hash of the last of these parts. `read_rate` is
    in tokens a second of a prefill engine, `handover_rate` in tokens a second
    between engines.
    """

    prompt_tokens: int
    shared_tokens: int
    affinity: int
    read_rate: float
    handover_rate: float


@attrs.frozen(kw_only=True)
class Plan:
    """The engine that reads the prompt ahead, or the one that does it all.

    `unread_tokens` are those that it is expected to read; `seconds` is when
    the first event is expected.
    """

    server: str
    unread_tokens: int
    seconds: float = 0.0
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
    ahead = _plan_ahead(engines, query)
    direct = _plan_direct(engines, query)
    return min(ahead, direct, key=lambda pair: pair[0])[1]


def choose_generator(
    engines: Sequence[EngineView], reader_is_local: bool
) -> EngineView | None:
    """Return the engine that goes on from a prompt that was read ahead."""
    fit = [engine for engine in engines if engine.role is not ServerRole.PREFILL]
    if not fit:
        return None

    def estimate(engine: EngineView) -> float:
        distance = 0.0 if engine.is_local == reader_is_local else CROSS_DOMAIN_SECONDS
        return _estimate_busy(engine) + distance

    return min(fit, key=estimate)


def _plan_ahead(
    engines: Sequence[EngineView], query: PlanQuery
) -> tuple[float, Plan | None]:
    readers = [engine for engine in engines if engine.role is ServerRole.PREFILL]
    others = [engine for engine in engines if engine.role is not ServerRole.PREFILL]
    if not readers or not others:
        return float("inf"), None
    home = _find_home(readers, query)
    handover = HANDOVER_SECONDS + query.prompt_tokens / query.handover_rate
    generate = min(_estimate_busy(engine) for engine in others)

    def estimate(engine: EngineView) -> float:
        unread = _count_unread(engine, home, query)
        reading = (engine.waiting_tokens + unread) / query.read_rate
        distance = 0.0 if engine.is_local else CROSS_DOMAIN_SECONDS
        return reading + distance

    best = min(readers, key=estimate)
    seconds = estimate(best) + handover + generate
    return seconds, Plan(
        server=best.name,
        unread_tokens=_count_unread(best, home, query),
        seconds=seconds,
        is_prefill_only=True,
    )


def _plan_direct(
    engines: Sequence[EngineView], query: PlanQuery
) -> tuple[float, Plan | None]:
    fit = [engine for engine in engines if engine.role is not ServerRole.PREFILL]
    if not fit:
        return float("inf"), None
    home = _find_home(fit, query)
    rate = query.read_rate * MIXED_READ_FACTOR

    def estimate(engine: EngineView) -> float:
        unread = _count_unread(engine, home, query)
        reading = (engine.waiting_tokens + unread) / rate
        reading += unread / rate * engine.requests * DISTURBANCE_FACTOR
        distance = 0.0 if engine.is_local else CROSS_DOMAIN_SECONDS
        return reading + _estimate_busy(engine) + distance

    best = min(fit, key=estimate)
    seconds = estimate(best)
    return seconds, Plan(
        server=best.name,
        unread_tokens=_count_unread(best, home, query),
        seconds=seconds,
    )


def _estimate_busy(engine: EngineView) -> float:
    """Return the seconds by which running requests delay the next one."""
    seconds = engine.requests * RUNNING_REQUEST_SECONDS
    return seconds + BUSY_SLOTS_SECONDS * (engine.requests >= engine.slots > 0)


def _find_home(engines: Sequence[EngineView], query: PlanQuery) -> EngineView | None:
    if not query.shared_tokens:
        return None
    return max(
        engines, key=lambda engine: xxh64_intdigest(engine.name, seed=query.affinity)
    )


def _count_unread(engine: EngineView, home: EngineView | None, query: PlanQuery) -> int:
    """Return the effort of reading a prompt there, as tokens of a short one.

    Attention makes each token cost more by the length of what precedes it.
    """
    cached = query.shared_tokens if engine is home else 0
    unread = query.prompt_tokens - cached
    preceding = query.prompt_tokens - unread / 2
    return int(unread * (1 + preceding / ATTENTION_TOKENS))
