"""Load and failures of backend servers, as one host knows them."""

import attrs


@attrs.define
class ServerLoad:
    """This host's work in progress on a backend server, and its recent failures.

    `outstanding` counts requests in progress, and `failures` counts failures in a
    row. `prefill_tokens` are prompt tokens whose prefill is still pending, and
    `memory_tokens` those that the requests in progress keep in memory. After a
    failure the server gets no new work until `suspended_until`, in seconds on the
    host's clock, unless no other server can take it. `incarnation` is the start
    time of the server process that the failures belong to. It has said `refusals`
    times in a row that it is full, last at `refused_at`, and counts as full until
    `full_until`.
    """

    incarnation: int = 0
    outstanding: int = 0
    prefill_tokens: int = 0
    memory_tokens: int = 0
    failures: int = 0
    suspended_until: float = float("-inf")
    refusals: int = 0
    refused_at: float = float("-inf")
    full_until: float = float("-inf")

    def start_work(self, prefill_tokens: int, memory_tokens: int) -> None:
        """Count a request that is sent to the server."""
        self.outstanding += 1
        self.prefill_tokens += prefill_tokens
        self.memory_tokens += memory_tokens

    def finish_prefill(self, prefill_tokens: int) -> None:
        """Subtract a request's prompt tokens once its prefill is done."""
        self.prefill_tokens -= prefill_tokens

    def finish_work(self, memory_tokens: int) -> None:
        """Stop counting a request that has ended on the server."""
        self.outstanding -= 1
        self.memory_tokens -= memory_tokens

    def update_incarnation(self, started_at: int) -> None:
        """Clear the failures if the server process has been restarted."""
        if started_at != self.incarnation:
            self.incarnation = started_at
            self.failures = 0
            self.suspended_until = float("-inf")
            self.record_room(float("inf"))

    def record_success(self) -> None:
        """Clear the failures after a complete response."""
        self.failures = 0

    def record_refusal(self, now: float, seconds: float, limit: float) -> None:
        """Count the server as full until its work has had time to drain.

        That is `seconds`, doubled with each refusal in a row, up to `limit` seconds.
        """
        self.full_until = now + min(limit, seconds * 2**self.refusals)
        self.refused_at = now
        self.refusals += 1

    def record_room(self, sent_at: float) -> None:
        """Count the server as having room: it took a request sent at `sent_at`.

        One that was sent before the last refusal proves nothing of the time after it.
        """
        if sent_at >= self.refused_at:
            self.refusals = 0
            self.full_until = float("-inf")

    def record_failure(self, now: float, base: float, limit: float) -> None:
        """Suspend the server after a failure.

        The suspension starts at `base` seconds and doubles with each failure in a
        row, up to `limit` seconds.
        """
        seconds = min(limit, base * 2**self.failures)
        self.failures += 1
        self.suspended_until = now + seconds

    def is_usable(self, now: float) -> bool:
        """Return whether the server is not suspended."""
        return now >= self.suspended_until


@attrs.frozen
class ForeignWork:
    """Work of all other hosts in progress at a server, by their load reports.

    `prompt_tokens` are those whose prefill is still pending, and `memory_tokens`
    those that the requests keep in memory.
    """

    requests: float = 0
    prompt_tokens: float = 0
    memory_tokens: float = 0

    def add(self, other: "ForeignWork", factor: float) -> "ForeignWork":
        """Return the sum with `other` multiplied by `factor`."""
        return ForeignWork(
            self.requests + other.requests * factor,
            self.prompt_tokens + other.prompt_tokens * factor,
            self.memory_tokens + other.memory_tokens * factor,
        )

    def scale(self, factor: float) -> "ForeignWork":
        """Return the work multiplied by `factor`."""
        return NO_FOREIGN_WORK.add(self, factor)


NO_FOREIGN_WORK = ForeignWork()
