"""What a host knows of backend servers from its own traffic."""

import attrs


@attrs.define
class ServerLoad:
    """Requests under way on a backend server and its recent failures.

    After a failure the server is passed over until `suspended_until`, a time
    in seconds on the host's clock.
    """

    outstanding: int = 0
    failures: int = 0
    suspended_until: float = float("-inf")

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
