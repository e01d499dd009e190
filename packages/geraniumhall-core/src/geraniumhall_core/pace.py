"""How fast a service answers and what an entry's requests are like, by observation."""

import attrs

DECAY = 0.85  # of what was observed before, with each observation
MIN_WEIGHT = 3.0  # observations, of about 7 at most
MIN_FACTOR = 0.05
MAX_FACTOR = 10.0
MEAN_WEIGHT = 0.05  # of the newest request in the mean size
# First attempts come with unlike deadlines, since callers count from their own start.
REPEAT_MARGIN_SECONDS = 0.1
REPEAT_MARGIN_FRACTION = 0.15  # of the longest timeout
TIMEOUT_DECAY = 0.999  # of the longest timeout, with each request


@attrs.define
class DecayingRatio:
    """A ratio of two sums in which recent observations count most."""

    numerator: float = 0.0
    denominator: float = 0.0
    weight: float = 0.0

    def add(self, numerator: float, denominator: float) -> None:
        """Add one observation."""
        self.numerator = self.numerator * DECAY + numerator
        self.denominator = self.denominator * DECAY + denominator
        self.weight = self.weight * DECAY + 1

    def read(self, default: float) -> float:
        """Return the ratio, or `default` while too little was observed."""
        if self.weight < MIN_WEIGHT or self.denominator <= 0:
            return default
        return self.numerator / self.denominator


@attrs.define
class ServicePace:
    """How fast the servers of a service answer this host's requests.

    `first` relates the actual to the planned seconds until the first event, `token`
    the seconds of generation to the generated tokens, and `whole` the seconds of
    answers to their number.
    """

    first: DecayingRatio = attrs.field(factory=DecayingRatio)
    token: DecayingRatio = attrs.field(factory=DecayingRatio)
    whole: DecayingRatio = attrs.field(factory=DecayingRatio)

    @property
    def first_factor(self) -> float:
        """The actual seconds until a first event, relative to the planned ones."""
        return min(MAX_FACTOR, max(MIN_FACTOR, self.first.read(1.0)))


@attrs.define
class EntryProfile:
    """The size of an entry's requests, and the time that callers first allow.

    The size is in weighted tokens, and `longest_timeout` in seconds.
    """

    mean_size: float = 0.0
    longest_timeout: float = 0.0

    def observe(self, size: float, timeout: float | None) -> None:
        """Count one arriving request."""
        if not self.mean_size:
            self.mean_size = size
        self.mean_size += MEAN_WEIGHT * (size - self.mean_size)
        self.longest_timeout *= TIMEOUT_DECAY
        self.longest_timeout = max(self.longest_timeout, timeout or 0.0)

    def compute_relative_size(self, size: float) -> float:
        """Return a request's size relative to the mean, one if that is unknown."""
        return size / self.mean_size if self.mean_size else 1.0

    def is_repeat(self, timeout: float | None) -> bool:
        """Return whether a request's caller has used up part of its time before.

        A caller that comes back states what is left of its time, which is less than
        first attempts are given. One that comes back sooner than first attempts
        differ can't be told from them.
        """
        if timeout is None:
            return False
        margin = max(
            REPEAT_MARGIN_SECONDS, REPEAT_MARGIN_FRACTION * self.longest_timeout
        )
        return timeout < self.longest_timeout - margin
