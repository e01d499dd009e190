"""What a host knows of backend servers from its own traffic."""

import attrs


@attrs.define
class ServerLoad:
    """Work under way on a backend server and its recent failures.

    `prefill_tokens` are those of prompts that the server still has to read.
    After a failure the server is passed over until `suspended_until`, a time
    in seconds on the host's clock. `incarnation` tells which start of the
    server this is about.
    """

    incarnation: int = 0
    outstanding: int = 0
    prefill_tokens: int = 0
    failures: int = 0
    suspended_until: float = float("-inf")

    def start_work(self, prefill_tokens: int) -> None:
        """Note a request that is sent to the server."""
        self.outstanding += 1
        self.prefill_tokens += prefill_tokens

    def finish_prefill(self, prefill_tokens: int) -> None:
        """Note that the server has read a request's prompt."""
        self.prefill_tokens -= prefill_tokens

    def finish_work(self) -> None:
        """Note that a request is not at the server any more."""
        self.outstanding -= 1

    def update_incarnation(self, started_at: int) -> None:
        """Forget the failures of an earlier start of the server."""
        if started_at != self.incarnation:
            self.incarnation = started_at
            self.failures = 0
            self.suspended_until = float("-inf")

    def record_success(self) -> None:
        """Clear the failures after a whole answer."""
        self.failures = 0

    def record_failure(self, now: float, base: float, limit: float) -> None:
        """Suspend the server for a time that doubles with each failure."""
        seconds = min(limit, base * 2**self.failures)
        self.failures += 1
        self.suspended_until = now + seconds

    def is_usable(self, now: float) -> bool:
        """Tell whether the server may get new work."""
        return now >= self.suspended_until


@attrs.frozen
class ForeignWork:
    """What all other hosts together have under way at a server, as they told."""

    requests: float = 0
    prompt_tokens: float = 0

    def scale(self, factor: float) -> "ForeignWork":
        """Return the work of more hosts than have told."""
        return ForeignWork(self.requests * factor, self.prompt_tokens * factor)


NO_FOREIGN_WORK = ForeignWork()
