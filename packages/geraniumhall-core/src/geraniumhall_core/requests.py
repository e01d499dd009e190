"""Callers' requests and their state on one host."""

from collections.abc import Iterable
from enum import Enum

import attrs

from geraniumhall_core.keys import Credential
from geraniumhall_core.verdict import Verdict

MAX_SHOWN_CHARACTERS = 256  # of a name that a caller chose
MAX_SHOWN_PARTS = 16


@attrs.frozen
class ModelTarget:
    """A request that is addressed to a model."""

    model: str


@attrs.frozen
class PathTarget:
    """A request that is addressed by path, and by virtual host if there is one."""

    path: str
    host: str = ""


@attrs.frozen
class PromptPart:
    """One part of a prompt; parts with equal ids have the same content."""

    id: str
    tokens: int


@attrs.frozen
class KvCacheRef:
    """A reference to a prompt's KV cache, exported by a backend server.

    One other backend server can fetch it from `address` by its `handle`. `server`
    is the name of the exporting server; `tokens` is the length of the prompt.
    """

    server: str
    address: str
    handle: str
    tokens: int


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A request as parsed by a front end, without body and key.

    `caller_id` is the caller's own id of the request, for logs. `prompt_tokens` may
    be an estimate; `max_tokens` is the most that may be generated, zero if not
    stated. `prefix_hash` is a hash of the first part of the prompt; `parts` are its
    parts in order, if the caller states them; of very many it may lack some, and then
    `part_ids` yields the ids of all. `output_hint` is the caller's estimate
    of the number of generated tokens. `timeout` is in seconds, or None if the caller
    set no deadline.
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
    part_ids: Iterable[str] = ()
    timeout: float | None = None

    def list_part_ids(self) -> tuple[str, ...]:
        """Return the ids of all parts of the prompt, in order."""
        return tuple(self.part_ids) or tuple(part.id for part in self.parts)

    def shorten(self) -> "CallerRequest":
        """Return the request with its long names cut and only its first parts."""
        names = [self.caller_id, *attrs.astuple(self.target)]
        is_short = sum(map(len, names)) <= MAX_SHOWN_CHARACTERS
        if is_short and len(self.parts) <= MAX_SHOWN_PARTS:
            return self
        target = attrs.asdict(self.target)
        shown = {field: text[:MAX_SHOWN_CHARACTERS] for field, text in target.items()}
        return attrs.evolve(
            self,
            target=type(self.target)(**shown),
            caller_id=self.caller_id[:MAX_SHOWN_CHARACTERS],
            parts=self.parts[:MAX_SHOWN_PARTS],
            part_ids=(),
        )

    @property
    def memory_tokens(self) -> int:
        """The most tokens that the request takes in an engine's memory."""
        return self.prompt_tokens + self.max_tokens

    @property
    def output_tokens(self) -> int:
        """The number of tokens that the request is expected to generate."""
        if self.output_hint is None:
            return self.max_tokens
        return min(self.output_hint, self.max_tokens or self.output_hint)


class Phase(Enum):
    """The phase of an accepted request."""

    BORROWING = "borrowing"
    CLAIMING = "claiming"
    QUEUED = "queued"
    ASKING = "asking"
    HELD = "held"
    PREFILL = "reading"
    RUNNING = "running"


class AttemptOutcome(Enum):
    """The outcome of one attempt on a backend server."""

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
    """The state of one accepted request until it ends.

    `deadline` is the latest time for the complete response, in seconds on the host's
    clock. `cost` is what the request takes from the workspace's rate. `runs` counts the
    attempts that may have run, of which the entry allowed `max_attempts` on admission,
    None for the default, and `unsent` those that reached no server. `server` is the
    current one, and `server_started_at` its process. `prefill_tokens` are prompt tokens
    whose prefill is pending there, as far as this host knows. `kv_cache` refers to the
    prompt's KV cache between prefill and decode. `sent_at` is when the current attempt
    was sent and `began_at` when its answer began, in seconds on the host's clock.
    `attempted_at` is when the current attempt or prefill was sent; `pending_prefill`
    are the tokens that its server had to prefill by then, this prompt included, and
    `prefill_percent` is the rate that it showed, in percent of the configured one, zero
    if not measured. A request that tries a held part has its name as `trial_part`. One
    that `has_asked` other hosts for a token does not ask again. It was placed at
    `placed_at`, and its first event planned `planned` seconds later, before the
    service's pace is applied.
    `rank` is its urgency among the requests of its service, and `is_repeat` tells that
    its caller has tried before.
    """

    request: CallerRequest
    entry: str
    workspace: str
    repeatable: bool
    arrived_at: float
    deadline: float
    cost: float = 1.0
    service: str = ""
    priority: int = 0
    phase: Phase = Phase.QUEUED
    max_attempts: int | None = None
    attempts: int = 0
    runs: int = 0
    unsent: int = 0
    server: str = ""
    server_started_at: int = 0
    prefill_tokens: int = 0
    tried_servers: set[str] = attrs.field(factory=set)
    verdict: Verdict = Verdict.NOT_RUN
    response_started: bool = False
    is_usage_counted: bool = False
    kv_cache: KvCacheRef | None = None
    sent_at: float = float("inf")
    began_at: float | None = None
    attempted_at: float = float("inf")
    pending_prefill: float = 0.0
    prefill_percent: int = 0
    is_proven: bool = False
    is_probing: bool = False
    trial_part: str = ""
    has_asked: bool = False
    placed_at: float = float("inf")
    planned: float = 0.0
    rank: int = 0
    is_repeat: bool = False

    @property
    def attempt_id(self) -> str:
        """The id of the current attempt, unique among all hosts."""
        return f"{self.request.request_id}.{self.attempts}"
