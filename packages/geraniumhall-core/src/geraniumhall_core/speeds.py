"""Speed policies: how fast each engine is taken to be.

Engines of one service may differ in speed, and an engine may turn slow for a while or
fail a part of its requests. Each ended attempt yields a sample. The samples of an
engine are summarized by their weighted median, so that single slow answers don't move
it, and the weight of a sample halves every `HALF_LIFE_SECONDS`, so that an engine that
was left alone counts as usual again after a while. Each policy is a function
registered under the name used in settings. It gets such a summary and returns the
engine's speed relative to the service's usual one::

    @SPEED_POLICIES.register("half")
    def assume_half(observed):
        return EngineSpeed(prefill=0.5, decode=0.5)
"""

from collections import deque
from collections.abc import Callable

import attrs

from geraniumhall_core.registry import Registry

HALF_LIFE_SECONDS = 2.0
MAX_ENGINE_SAMPLES = 15
MAX_SERVICE_SAMPLES = 101
MAX_ECHOES = 32
REFRESH_SECONDS = 0.5  # between two summaries of the same samples
# Engines whose samples weigh less are reported to other hosts.
KNOWN_WEIGHT = 4.0
USUAL_WEIGHT = 1.0  # of the usual speed, in answers
SOUND_WEIGHT = 2.0  # of the assumption that an engine doesn't fail, in answers
PERCENT = 100
MICROSECONDS = 1_000_000
MAX_PREFILL_PERCENT = 1600
MAX_EVENT_MICROS = 10 * MICROSECONDS


@attrs.frozen(kw_only=True)
class EngineSpeed:
    """Speed factors of an engine; 1 is the usual speed of its service.

    `failing` is the share of its requests that it is expected to fail.
    """

    prefill: float = 1.0
    decode: float = 1.0
    failing: float = 0.0


@attrs.frozen(kw_only=True)
class ObservedSpeed:
    """What requests showed of an engine's speed.

    The factors are relative to the usual speed; `prefill_weight` and `decode_weight`
    are the numbers of answers that they rest on, which decrease as these age.
    `failed` of `ended` attempts failed, weighted in the same way.
    """

    prefill: float = 1.0
    prefill_weight: float = 0.0
    decode: float = 1.0
    decode_weight: float = 0.0
    failed: float = 0.0
    ended: float = 0.0


USUAL_SPEED = EngineSpeed()
UNIFORM = "uniform"  # the policy that needs no samples

SpeedPolicy = Callable[[ObservedSpeed], EngineSpeed]
SPEED_POLICIES: Registry[str, SpeedPolicy] = Registry("speed policy")


@SPEED_POLICIES.register(UNIFORM)
def assume_uniform(observed: ObservedSpeed) -> EngineSpeed:
    """Take all engines of a service to be equally fast: the baseline."""
    return USUAL_SPEED


@SPEED_POLICIES.register("learned")
def learn_speed(observed: ObservedSpeed) -> EngineSpeed:
    """Take each engine to be as fast as its latest answers showed.

    With few or old answers the speed is between the observed and the usual one: the
    usual one counts for `USUAL_WEIGHT` answers, in the geometric mean.
    """
    return EngineSpeed(
        prefill=_shrink(observed.prefill, observed.prefill_weight),
        decode=_shrink(observed.decode, observed.decode_weight),
        failing=observed.failed / (observed.ended + SOUND_WEIGHT),
    )


def _shrink(factor: float, weight: float) -> float:
    return factor ** (weight / (weight + USUAL_WEIGHT))


@attrs.frozen
class SpeedSample:
    """What one attempt showed of an engine, as hosts report it.

    `prefill_percent` is its prefill rate in percent of the configured one and
    `event_micros` the time between two events of its answer in microseconds; zero
    means not measured.
    """

    server: str
    prefill_percent: int = 0
    event_micros: int = 0
    has_failed: bool = False


@attrs.frozen
class Sample:
    """A measured value and when it was measured, in seconds on the host's clock."""

    value: float
    seen_at: float


@attrs.frozen
class Summary:
    """A typical value of some samples, and their total weight."""

    value: float
    weight: float


@attrs.define
class Samples:
    """The latest samples of one quantity."""

    limit: int
    latest: deque[Sample] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.latest = deque(maxlen=self.limit)

    def add(self, value: float, now: float) -> None:
        """Add a sample; the oldest one yields."""
        self.latest.append(Sample(value, now))

    def compute_median(self, now: float, default: float) -> Summary:
        """Return the weighted median, or `default` without samples of any weight."""
        weighed = sorted((s.value, _weigh(s, now)) for s in self.latest)
        total = sum(weight for _, weight in weighed)
        reached = 0.0
        for value, weight in weighed:
            reached += weight
            # All weights vanish when the latest sample is very old.
            if total and reached >= total / 2:
                return Summary(value, total)
        return Summary(default, 0.0)

    def compute_mean(self, now: float) -> Summary:
        """Return the weighted mean, zero without samples."""
        weighed = [(s.value, _weigh(s, now)) for s in self.latest]
        total = sum(weight for _, weight in weighed)
        if not total:
            return Summary(0.0, 0.0)
        return Summary(sum(v * weight for v, weight in weighed) / total, total)


def _weigh(sample: Sample, now: float) -> float:
    return 0.5 ** ((now - sample.seen_at) / HALF_LIFE_SECONDS)


@attrs.define
class ServiceSpeed:
    """The usual speed of a service's engines.

    `prefill` is the usual rate as a factor of the configured one and `event_seconds`
    the usual time between two events of an answer, zero if not known. Both are as of
    `summarized_at` seconds on the host's clock.
    """

    prefill: float = 1.0
    event_seconds: float = 0.0
    summarized_at: float = float("-inf")
    prefill_samples: Samples = attrs.field(factory=lambda: Samples(MAX_SERVICE_SAMPLES))
    event_samples: Samples = attrs.field(factory=lambda: Samples(MAX_SERVICE_SAMPLES))

    def refresh(self, now: float) -> None:
        """Summarize the samples again if `REFRESH_SECONDS` have passed."""
        if now - self.summarized_at < REFRESH_SECONDS:
            return
        self.summarized_at = now
        prefill = self.prefill_samples.compute_median(now, self.prefill)
        self.prefill = prefill.value
        event = self.event_samples.compute_median(now, self.event_seconds)
        self.event_seconds = event.value


@attrs.define
class EngineSamples:
    """The samples of one incarnation of an engine, and what was made of them.

    `prefill` holds rates as factors of the configured one, `events` the seconds
    between two events, and `failures` 1 for each attempt that failed and 0 for each
    other one.
    """

    incarnation: int
    speed: EngineSpeed = USUAL_SPEED
    summarized_at: float = float("-inf")
    prefill: Samples = attrs.field(factory=lambda: Samples(MAX_ENGINE_SAMPLES))
    events: Samples = attrs.field(factory=lambda: Samples(MAX_ENGINE_SAMPLES))
    failures: Samples = attrs.field(factory=lambda: Samples(MAX_ENGINE_SAMPLES))

    def add(self, sample: SpeedSample, usual: ServiceSpeed, now: float) -> None:
        """Add what one attempt showed, also to the usual speed of the service."""
        if sample.prefill_percent:
            self.prefill.add(sample.prefill_percent / PERCENT, now)
            usual.prefill_samples.add(sample.prefill_percent / PERCENT, now)
        if sample.event_micros:
            self.events.add(sample.event_micros / MICROSECONDS, now)
            usual.event_samples.add(sample.event_micros / MICROSECONDS, now)
        self.failures.add(float(sample.has_failed), now)

    def observe(self, usual: ServiceSpeed, now: float) -> ObservedSpeed:
        """Summarize the samples, relative to the usual speed."""
        prefill = self.prefill.compute_median(now, usual.prefill)
        event = self.events.compute_median(now, usual.event_seconds)
        failures = self.failures.compute_mean(now)
        is_paced = event.value > 0 and usual.event_seconds > 0
        return ObservedSpeed(
            prefill=prefill.value / usual.prefill,
            prefill_weight=prefill.weight,
            decode=usual.event_seconds / event.value if is_paced else 1.0,
            decode_weight=event.weight,
            failed=failures.value * failures.weight,
            ended=failures.weight,
        )


@attrs.define
class SpeedBook:
    """What is known of the speed of all engines, by server and by service.

    `unreported` holds this host's samples for its next report to other hosts, and
    `echoes` the latest ones, which come back in summaries.
    """

    engines: dict[str, EngineSamples] = attrs.field(factory=dict)
    services: dict[str, ServiceSpeed] = attrs.field(factory=dict)
    unreported: list[SpeedSample] = attrs.field(factory=list)
    echoes: deque[SpeedSample] = attrs.field(factory=lambda: deque(maxlen=MAX_ECHOES))

    def find_usual(self, service: str) -> ServiceSpeed:
        """Return the usual speed of a service, created on first use."""
        return self.services.setdefault(service, ServiceSpeed())

    def find_engine(self, server: str, incarnation: int) -> EngineSamples:
        """Return the samples of an engine; a new incarnation starts without any."""
        engine = self.engines.get(server)
        if engine is None or engine.incarnation != incarnation:
            engine = EngineSamples(incarnation)
            self.engines[server] = engine
        return engine

    def is_known(self, server: str, now: float) -> bool:
        """Return whether an engine has enough recent samples."""
        engine = self.engines.get(server)
        return engine is not None and (
            engine.failures.compute_mean(now).weight >= KNOWN_WEIGHT
        )

    def take_unreported(self) -> tuple[SpeedSample, ...]:
        """Return this host's samples since the last call."""
        samples, self.unreported = tuple(self.unreported), []
        return samples
