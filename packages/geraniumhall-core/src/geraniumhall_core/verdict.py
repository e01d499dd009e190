"""Whether a request may have run on a backend server."""

from enum import Enum


class Verdict(Enum):
    """What is known about the execution of a request without a complete response.

    Only `NOT_RUN` allows another attempt of a request that is not repeatable.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"

    def join(self, other: "Verdict") -> "Verdict":
        """Return the combined verdict on two attempts of one request."""
        order = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
        return max(self, other, key=order.index)
