"""Claims: at most one run of a call that may not be repeated.

Before such a call with an idempotency key is sent, the host creates a claim
object, conditional on its absence. Whoever creates it may send; everybody
else is told that the request may have run.
"""

from enum import Enum

import attrs

from geraniumhall_core.records import RECORD_KINDS


class ClaimStatus(Enum):
    """How far the claimed call got."""

    OPEN = "open"
    DONE = "done"


@RECORD_KINDS.register("claim")
@attrs.frozen(kw_only=True)
class Claim:
    """A claim on one idempotency key by one request of one host process."""

    host: str
    incarnation: int
    request_id: str
    status: ClaimStatus = ClaimStatus.OPEN

    def is_by(self, other: "Claim") -> bool:
        """Tell whether both were written for the same request."""
        return attrs.evolve(self, status=other.status) == other
