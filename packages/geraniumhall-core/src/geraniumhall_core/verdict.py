"""Whether a request may have run on a backend server."""

from enum import Enum


class Verdict(Enum):
    """What is known of a request that did not end in its own whole answer.

    Only `NOT_RUN` allows another attempt of a call that may not be repeated.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"

    def join(self, other: "Verdict") -> "Verdict":
        """Return the verdict on two attempts of one request together."""
        order = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
        return max(self, other, key=order.index)
