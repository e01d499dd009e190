"""What callers and servers saw in a soak, as events of one reducer.

A check is a handler that yields a finding when something that must hold does
not.
"""

from enum import Enum

import attrs

from geraniumhall_core.reducer import Effect, Event, Reducer


class CallKind(Enum):
    """The kinds of calls that the callers make."""

    MODEL = "draft"
    SUBMISSION = "filing"


@attrs.frozen(kw_only=True)
class CallSent(Event):
    """A caller sent a call, with a key that was withdrawn if `is_key_revoked`."""

    name: str
    kind: CallKind
    daemon: str
    is_key_revoked: bool = False


@attrs.frozen(kw_only=True)
class AnswerReceived(Event):
    """A call ended; `status` is zero if no head of an answer came.

    `text` is what the answer says if it is whole. `verdict` is what a refusal
    says of whether the call ran.
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
class UsageReported(Event):
    """The platform received a report of a window, as text."""

    window: int
    counts: str


@attrs.frozen(kw_only=True)
class FaultStarted(Event):
    """A fault began; planned work may not cut answers."""

    target: str
    is_planned: bool


@attrs.frozen(kw_only=True)
class FaultEnded(Event):
    """The fault is over."""

    fault: FaultStarted


@attrs.frozen(kw_only=True)
class SoakEnded(Event):
    """All calls have ended, and all logs were read.

    Calls sent after `fault_free_since` met no fault.
    """

    fault_free_since: float


@attrs.frozen(kw_only=True)
class ReportFinding(Effect):
    """Something that must hold did not."""

    check: str
    reason: str


@attrs.define
class ObservedCall:
    """What is known of one call; times are in seconds."""

    sent: CallSent
    runs: int = 0
    answer: AnswerReceived | None = None
    overlapped_fault: bool = False


@attrs.define
class CheckerState:
    """What was seen so far."""

    calls: dict[str, ObservedCall] = attrs.field(factory=dict)
    submissions: dict[str, str] = attrs.field(factory=dict)
    usage: dict[int, str] = attrs.field(factory=dict)
    active_unplanned_faults: int = 0
    settled_at: float = float("-inf")

    def list_unanswered(self) -> list[ObservedCall]:
        """Return the calls that have not ended."""
        return [call for call in self.calls.values() if call.answer is None]


CHECKER: Reducer[CheckerState] = Reducer("soak witness")
