"""Role orders to backend servers, recorded in the platform before they are sent.

There is at most one intent for each server. A server that checks fencing rejects
an order whose token is below the highest it has seen, and every new order has a
higher one. A server that does not check may still accept an order that was
delayed in transit, and no timeout rules that out. A different order is therefore
sent only after the sender of the previous one has recorded the server's answer.
If that sender is lost, or received no answer, the server gets the same order
again or none.
"""

from enum import Enum

import attrs

from geraniumhall_core.records import RECORD_KINDS

FENCING_TOKENS_PER_TERM = 1 << 20


class ServerRole(Enum):
    """Whether an engine runs prefill, decode or both."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


class IntentStatus(Enum):
    """The state of an order, as recorded by its sender.

    A doubtful order was sent without a known outcome and may still arrive. A
    rejected one had no effect: the server rejected it, or it was not sent.
    """

    OPEN = "open"
    DOUBTFUL = "doubtful"
    DONE = "done"
    REJECTED = "rejected"


class OrderOutcome(Enum):
    """The result of sending an order."""

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
    """The last order for a backend server, with its sender and fencing token.

    `era` is that of the store in which it was recorded.
    """

    role: ServerRole
    fencing_token: int
    host: str
    incarnation: int
    status: IntentStatus = IntentStatus.OPEN
    era: int = 0

    def is_issued_by(self, host: str, incarnation: int) -> bool:
        """Return whether the order was issued by that process of the host."""
        return (self.host, self.incarnation) == (host, incarnation)

    @property
    def is_answered(self) -> bool:
        """Whether the order can no longer be in transit."""
        return self.status in (IntentStatus.DONE, IntentStatus.REJECTED)


@attrs.define
class OrderState:
    """Progress of orders to one backend server, at the lease holder.

    `doubtful_tokens` are the fencing tokens of orders whose outcome was unknown;
    such orders may still arrive.
    """

    doubtful_tokens: set[int] = attrs.field(factory=set)
    is_calling: bool = False
    is_sending: bool = False
    next_call_at: float = float("-inf")


def compute_fencing_token(term: int, previous: OrderIntent | None) -> int:
    """Return a fencing token above any earlier one for the server."""
    lowest = previous.fencing_token + 1 if previous else 0
    return max(term * FENCING_TOKENS_PER_TERM, lowest)


def find_latest(stored: OrderIntent, known: OrderIntent) -> OrderIntent:
    """Return the later of a stored intent and one that was read before a rewind."""
    return known if known.fencing_token > stored.fencing_token else stored


def may_replace(intent: OrderIntent | None, checks_fencing: bool) -> bool:
    """Return whether a different order may be sent after this intent."""
    return intent is None or intent.is_answered or checks_fencing
