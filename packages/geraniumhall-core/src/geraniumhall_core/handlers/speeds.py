"""Learns the speed of engines from attempts on them.

Only hosts whose speed policy uses samples collect and report any. A report that is lost
is not repeated: the next attempt yields another sample.
"""

from collections.abc import Iterable

from geraniumhall_core.events import AttemptEnded, PrefillEnded
from geraniumhall_core.requests import AttemptOutcome, RequestRecord
from geraniumhall_core.speeds import (
    MAX_EVENT_MICROS,
    MAX_PREFILL_PERCENT,
    MICROSECONDS,
    PERCENT,
    REFRESH_SECONDS,
    SPEED_POLICIES,
    UNIFORM,
    USUAL_SPEED,
    EngineSpeed,
    ServiceSpeed,
    SpeedSample,
)
from geraniumhall_core.state import DaemonState

# Shorter prefills take less time than what surrounds them.
MIN_PREFILL_SECONDS = 0.02
# Connection, first step and reading of the answer.
FIRST_EVENT_OVERHEAD_SECONDS = 0.01
FAILED_OUTCOMES = frozenset(
    {AttemptOutcome.CONNECT_FAILED, AttemptOutcome.BROKEN, AttemptOutcome.SERVER_ERROR}
)
# Engines beyond these are counted for operators.
SLOW_FACTOR = 0.5
FAILING_SHARE = 0.2
# Without a first event by then, these show that an engine is slow.
CUT_OUTCOMES = frozenset({AttemptOutcome.TIMED_OUT, AttemptOutcome.CALLER_LEFT})


def is_learning(state: DaemonState) -> bool:
    """Return whether this host's speed policy uses what attempts show."""
    return state.policy.speeds != UNIFORM


def find_usual_speed(state: DaemonState, service: str, now: float) -> ServiceSpeed:
    """Return the usual speed of a service's engines."""
    usual = state.speeds.find_usual(service)
    usual.refresh(now)
    return usual


def find_speed(state: DaemonState, name: str, now: float) -> EngineSpeed:
    """Return the speed that an engine is taken to have."""
    if not is_learning(state) or name not in state.speeds.engines:
        return USUAL_SPEED
    server = state.catalogue.servers[name]
    engine = state.speeds.find_engine(name, server.started_at)
    if now - engine.summarized_at >= REFRESH_SECONDS:
        engine.summarized_at = now
        observed = engine.observe(find_usual_speed(state, server.service, now), now)
        engine.speed = SPEED_POLICIES.find(state.policy.speeds)(observed)
    return engine.speed


def count_slow_engines(state: DaemonState) -> int:
    """Return how many engines count as slower than `SLOW_FACTOR`, or as failing."""
    speeds = [engine.speed for engine in state.speeds.engines.values()]
    return sum(
        min(speed.prefill, speed.decode) < SLOW_FACTOR or speed.failing > FAILING_SHARE
        for speed in speeds
    )


def observe_first_event(state: DaemonState, record: RequestRecord, now: float) -> None:
    """Measure the prefill rate of an attempt whose first event has come."""
    if is_learning(state):
        record.prefill_percent = _measure_prefill(state, record, now)


def observe_attempt(
    state: DaemonState, record: RequestRecord, event: PrefillEnded | AttemptEnded
) -> None:
    """Add what an ended attempt showed of its engine, and queue it for other hosts.

    Attempts that an engine refused for lack of room show nothing of its speed.
    """
    if not is_learning(state) or not record.request.parts:
        return
    if isinstance(event, PrefillEnded) and event.outcome is AttemptOutcome.COMPLETED:
        observe_first_event(state, record, event.at)
    elif event.outcome in CUT_OUTCOMES and not record.response_started:
        record.prefill_percent = _bound_prefill(state, record, event.at)
    has_failed = event.outcome in FAILED_OUTCOMES
    if isinstance(event, AttemptEnded):
        has_failed = has_failed or event.is_server_error
    has_ended = event.outcome is AttemptOutcome.COMPLETED or has_failed
    if not has_ended and not record.prefill_percent:
        return
    sample = SpeedSample(
        record.server,
        record.prefill_percent,
        _measure_events(record, event),
        has_failed,
    )
    is_news = not state.speeds.is_known(record.server, event.at)
    if add_speed_sample(state, sample, event.at) and is_news:
        state.counters["speeds.samples"] += 1
        if state.policy.peer_address:
            state.speeds.unreported.append(sample)
            state.speeds.echoes.append(sample)


def add_speed_sample(state: DaemonState, sample: SpeedSample, now: float) -> bool:
    """Add a sample of this or another host; return False for an unknown engine."""
    server = state.catalogue.servers.get(sample.server)
    if server is None or not is_learning(state):
        return False
    if state.catalogue.find_service(server.service).engine is None:
        return False
    usual = state.speeds.find_usual(server.service)
    engine = state.speeds.find_engine(sample.server, server.started_at)
    engine.add(sample, usual, now)
    return True


def add_summed_speeds(
    state: DaemonState, samples: Iterable[SpeedSample], now: float
) -> None:
    """Add the samples of a summary, which also has those that this host reported."""
    echoes = state.speeds.echoes
    for sample in samples:
        if sample in echoes:
            echoes.remove(sample)
        else:
            add_speed_sample(state, sample, now)


def forget_removed_speeds(state: DaemonState) -> None:
    """Drop the samples of servers that are gone."""
    engines = state.speeds.engines
    for name in engines.keys() - state.catalogue.servers.keys():
        del engines[name]


def _measure_prefill(state: DaemonState, record: RequestRecord, now: float) -> int:
    """Return the prefill rate in percent of the configured one, zero if unknown."""
    expected = record.pending_prefill / state.policy.engine_read_rate
    seconds = now - record.attempted_at - FIRST_EVENT_OVERHEAD_SECONDS
    if expected < MIN_PREFILL_SECONDS:
        return 0
    percent = expected / max(seconds, expected / MAX_PREFILL_PERCENT) * PERCENT
    return max(1, min(MAX_PREFILL_PERCENT, round(percent)))


def _bound_prefill(state: DaemonState, record: RequestRecord, now: float) -> int:
    """Return the most that the rate can have been, zero if that shows nothing."""
    usual = state.speeds.find_usual(record.service).prefill * PERCENT
    percent = _measure_prefill(state, record, now)
    return percent if percent < usual else 0


def _measure_events(record: RequestRecord, event: PrefillEnded | AttemptEnded) -> int:
    """Return the time between two events in microseconds, zero if unknown."""
    if isinstance(event, PrefillEnded) or record.began_at is None or event.events < 2:
        return 0
    seconds = (event.at - record.began_at) / (event.events - 1)
    return min(MAX_EVENT_MICROS, round(seconds * MICROSECONDS))
