"""The soak's checker: a reducer over what callers and servers observed.

A check is a handler that yields a finding when a guarantee is violated.
"""

from enum import Enum

import attrs

from geraniumhall_core.reducer import Effect, Event, Reducer


class CallKind(Enum):
    """The kinds of calls that callers make; values are names of catalogue entries."""

    MODEL = "draft"
    SUBMISSION = "filing"


@attrs.frozen(kw_only=True)
class CallSent(Event):
    """A caller sent a call.

    `is_key_revoked` tells whether the revocation of its key must have taken
    effect everywhere.
    """

    name: str
    kind: CallKind
    daemon: str
    is_key_revoked: bool = False


@attrs.frozen(kw_only=True)
class AnswerReceived(Event):
    """A call ended; `status` is zero if no response head was received.

    `text` is the content of a complete answer. `verdict` is what a refusal
    states about whether the call ran.
    """

    name: str
    status: int
    is_complete: bool
    text: str = ""
    verdict: str = ""


@attrs.frozen(kw_only=True)
class ServerCalled(Event):
    """A backend server received a call."""

    name: str


@attrs.frozen(kw_only=True)
class LimitStarted(Event):
    """A server begins to name a limit."""

    server: str


@attrs.frozen(kw_only=True)
class LimitEnded(Event):
    """A server named `limit` requests a second, and got calls at these times."""

    server: str
    limit: float
    arrivals: tuple[float, ...]


@attrs.frozen(kw_only=True)
class UsageReported(Event):
    """The platform received a usage report; `counts` is its figures as text."""

    window: int
    counts: str


@attrs.frozen(kw_only=True)
class FaultStarted(Event):
    """A fault started.

    A planned one, such as a graceful stop, must not truncate answers.
    """

    target: str
    is_planned: bool


@attrs.frozen(kw_only=True)
class FaultEnded(Event):
    """A fault ended."""

    fault: FaultStarted


@attrs.frozen(kw_only=True)
class SoakEnded(Event):
    """All calls have ended and all logs of the stand-ins were read.

    Calls sent after `fault_free_since` overlapped no fault.
    """

    fault_free_since: float


@attrs.frozen(kw_only=True)
class ReportFinding(Effect):
    """Report that a check found a violation."""

    check: str
    reason: str


@attrs.define
class ObservedCall:
    """What was observed of one call; `runs` counts its arrivals at servers."""

    sent: CallSent
    runs: int = 0
    answer: AnswerReceived | None = None
    overlapped_fault: bool = False


@attrs.define
class CheckerState:
    """What was observed so far.

    `submissions` maps a submission to the call that got it, and `usage` a
    window to its figures. `settled_at` is the time in seconds from which
    connections count as recovered from the last unplanned fault. `unplanned_faults`
    counts those that have started, and `limited` holds that count for each server that
    names a limit, if no other fault was active when it began.
    """

    calls: dict[str, ObservedCall] = attrs.field(factory=dict)
    submissions: dict[str, str] = attrs.field(factory=dict)
    usage: dict[int, str] = attrs.field(factory=dict)
    active_unplanned_faults: int = 0
    unplanned_faults: int = 0
    limited: dict[str, int] = attrs.field(factory=dict)
    settled_at: float = float("-inf")

    def list_unanswered(self) -> list[ObservedCall]:
        """Return the calls that have no answer yet."""
        return [call for call in self.calls.values() if call.answer is None]


CHECKER: Reducer[CheckerState] = Reducer("soak checker")
