"""Orders to backend servers, each recorded in the platform before it is sent.

At most one intent stands for a server. A server that checks fencing rejects
an order whose token is below the highest it has seen, and every new order has
a higher one. A server that does not check could still take an order that was
delayed on its way, and no clock rules that out; so a different order goes out
only after the earlier one's own sender has recorded its answer. If that
sender is lost, or got no answer, the server gets the same order again or none.
"""

from enum import Enum

import attrs

from geraniumhall_core.records import RECORD_KINDS

FENCING_TOKENS_PER_TERM = 1 << 20


class ServerRole(Enum):
    """What part of the work an engine takes."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


class IntentStatus(Enum):
    """What became of an order, as its own sender recorded it."""

    OPEN = "open"
    DOUBTFUL = "doubtful"
    DONE = "done"
    REJECTED = "rejected"


class OrderOutcome(Enum):
    """How sending an order ended."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@RECORD_KINDS.register("wish")
@attrs.frozen(kw_only=True)
class DesiredRole:
    """The role that operators want a backend server to have."""

    role: ServerRole


@RECORD_KINDS.register("intent")
@attrs.frozen(kw_only=True)
class OrderIntent:
    """The last order for a backend server, by one process under one token."""

    role: ServerRole
    fencing_token: int
    host: str
    incarnation: int
    status: IntentStatus = IntentStatus.OPEN

    def is_issued_by(self, host: str, incarnation: int) -> bool:
        """Tell whether this process made the order."""
        return (self.host, self.incarnation) == (host, incarnation)

    @property
    def is_answered(self) -> bool:
        """Whether the order can't be on its way any more."""
        return self.status in (IntentStatus.DONE, IntentStatus.REJECTED)


@attrs.define
class OrderState:
    """What the process in charge of a backend server is doing.

    `doubtful_tokens` are those of orders whose answer never came.
    """

    doubtful_tokens: set[int] = attrs.field(factory=set)
    is_calling: bool = False
    is_sending: bool = False
    next_call_at: float = float("-inf")


def compute_fencing_token(term: int, previous: OrderIntent | None) -> int:
    """Return a token above any earlier one for the server."""
    lowest = previous.fencing_token + 1 if previous else 0
    return max(term * FENCING_TOKENS_PER_TERM, lowest)


def may_replace(intent: OrderIntent | None, checks_fencing: bool) -> bool:
    """Tell whether a different order may follow this intent."""
    return intent is None or intent.is_answered or checks_fencing
