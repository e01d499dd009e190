"""Requests in progress on one host."""

from enum import Enum

import attrs

from geraniumhall_core.keys import Credential
from geraniumhall_core.verdict import Verdict


@attrs.frozen
class ModelTarget:
    """The request names a model."""

    model: str


@attrs.frozen
class PathTarget:
    """The request names an entry by its path, on a virtual host if it has one."""

    path: str
    host: str = ""


@attrs.frozen
class PromptPart:
    """One part of a prompt; requests share parts with equal ids."""

    id: str
    tokens: int


@attrs.frozen
class KvCacheRef:
    """A prompt's KV cache, kept at `address` for one backend server to fetch."""

    server: str
    address: str
    handle: str
    tokens: int


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A request as a front end understood it, without body and key.

    `caller_id` is the caller's own id of the request, for logs. `prefix_hash` is a
    hash of the first part of the prompt; `parts` are its parts in order, as
    far as the caller names them. `output_hint` is the caller's estimate of
    the tokens to be generated. `timeout` is in seconds, None if the caller
    named no deadline.
    """

    request_id: str
    target: ModelTarget | PathTarget
    credential: Credential | None = None
    caller_id: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    output_hint: int | None = None
    prefix_hash: int = 0
    parts: tuple[PromptPart, ...] = ()
    timeout: float | None = None


class Phase(Enum):
    """Where a request stands."""

    BORROWING = "borrowing"
    QUEUED = "queued"
    PREFILL = "reading"
    RUNNING = "running"


class AttemptOutcome(Enum):
    """How one attempt on a backend server ended."""

    COMPLETED = "completed"
    CONNECT_FAILED = "connect_failed"
    BUSY = "busy"
    MISDIRECTED = "misdirected"
    SERVER_ERROR = "server_error"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    CALLER_LEFT = "caller_left"


@attrs.define(kw_only=True)
class RequestRecord:
    """One accepted request until it ends.

    `deadline` and `first_answer_by` are times in seconds on the host's clock:
    when the request must be answered, and when its first event is still on
    time. `cost` is what it takes from the workspace's rate. `runs` counts the
    attempts that may have run. `prefill_tokens` are the prompt tokens that the server
    in use still has to read as far as this host knows. `kv_cache` is the
    prompt's KV cache, while it waits to be used.
    """

    request: CallerRequest
    entry: str
    workspace: str
    repeatable: bool
    arrived_at: float
    deadline: float
    first_answer_by: float = float("inf")
    cost: float = 1.0
    service: str = ""
    priority: int = 0
    phase: Phase = Phase.QUEUED
    attempts: int = 0
    runs: int = 0
    server: str = ""
    prefill_tokens: int = 0
    tried_servers: set[str] = attrs.field(factory=set)
    verdict: Verdict = Verdict.NOT_RUN
    response_started: bool = False
    is_usage_counted: bool = False
    kv_cache: KvCacheRef | None = None

    @property
    def attempt_id(self) -> str:
        """The id of the current attempt, unique over all hosts."""
        return f"{self.request.request_id}.{self.attempts}"
