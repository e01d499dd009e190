"""Requests in progress on one host."""

from enum import Enum

import attrs

from geraniumhall_core.claims import Claim
from geraniumhall_core.keys import Proof
from geraniumhall_core.verdict import Verdict


@attrs.frozen
class ModelTarget:
    """The request names a model."""

    model: str


@attrs.frozen
class PathTarget:
    """The request names a plain service by its path."""

    path: str


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A request as a front end understood it, without body and key.

    `idempotency_key` is a digest of what the caller sent. `prefix` is a hash
    of the first part of the prompt. `timeout` is in seconds, None if the
    caller named no deadline.
    """

    request_id: str
    target: ModelTarget | PathTarget
    proof: Proof | None = None
    idempotency_key: str | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix: int = 0
    timeout: float | None = None


class Phase(Enum):
    """Where a request stands."""

    BORROWING = "borrowing"
    CLAIMING = "claiming"
    QUEUED = "queued"
    RUNNING = "running"


class AttemptOutcome(Enum):
    """How one attempt on a backend server ended."""

    COMPLETED = "completed"
    CONNECT_FAILED = "connect_failed"
    BUSY = "busy"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    CALLER_LEFT = "caller_left"


@attrs.define(kw_only=True)
class RequestRecord:
    """One accepted request until it ends.

    `deadline` is a time in seconds on the host's clock. `claim_version` is
    the version of the claim object, zero while there is none.
    """

    request: CallerRequest
    entry: str
    workspace: str
    repeatable: bool
    arrived_at: float
    deadline: float
    phase: Phase = Phase.QUEUED
    attempts: int = 0
    server: str = ""
    tried: set[str] = attrs.field(factory=set)
    verdict: Verdict = Verdict.NOT_RUN
    response_started: bool = False
    claim: Claim | None = None
    claim_version: int = 0

    @property
    def attempt_id(self) -> str:
        """The id of the current attempt, unique over all hosts."""
        return f"{self.request.request_id}.{self.attempts}"
