"""Events of the daemon.

Times `at` are seconds of a clock that counts suspension (CLOCK_BOOTTIME).
Draws are uniform in [0, 1) and come from the runtime.
"""

import attrs

from geraniumhall_core.admin import AdminCommand
from geraniumhall_core.orders import OrderIntent, OrderOutcome
from geraniumhall_core.peers import PeerMessage
from geraniumhall_core.platform import PlatformAnswer
from geraniumhall_core.policy import Policy
from geraniumhall_core.purposes import Purpose
from geraniumhall_core.reducer import Event
from geraniumhall_core.requests import AttemptOutcome, CallerRequest, KvCacheRef
from geraniumhall_core.verdict import Verdict


@attrs.frozen(kw_only=True)
class DaemonStarted(Event):
    """The process listens."""


@attrs.frozen(kw_only=True)
class RequestArrived(Event):
    """A whole request arrived at a front end."""

    request: CallerRequest
    draws: tuple[float, float]


@attrs.frozen(kw_only=True)
class CallerDisconnected(Event):
    """The caller closed the connection before an attempt was under way."""

    request_id: str


@attrs.frozen(kw_only=True)
class PrefillEnded(Event):
    """Reading a prompt ahead on one backend server ended.

    `kv_cache` is where the KV cache is, None if there is none.
    """

    request_id: str
    attempt_id: str
    outcome: AttemptOutcome
    draws: tuple[float, float]
    kv_cache: KvCacheRef | None = None
    reason: str = ""


@attrs.frozen(kw_only=True)
class ResponseStarted(Event):
    """The head of an answer was passed on; the request can't move any more.

    `wall_time` is in seconds since the epoch.
    """

    request_id: str
    attempt_id: str
    wall_time: float


@attrs.frozen(kw_only=True)
class AttemptEnded(Event):
    """An attempt on a backend server ended.

    `wall_time` is in seconds since the epoch. The token counts are those that
    the backend server reported, or what was passed on if it reported none.
    `longest_pause` is in seconds, between parts of the answer.
    """

    request_id: str
    attempt_id: str
    outcome: AttemptOutcome
    verdict: Verdict
    wall_time: float
    draws: tuple[float, float]
    longest_pause: float = 0.0
    prompt_tokens: int = 0
    generated_tokens: int = 0
    reason: str = ""


@attrs.frozen(kw_only=True)
class PlatformAnswered(Event):
    """The platform answered a call that was made at `called_at`.

    `wall_time` is in seconds since the epoch.
    """

    called_at: float
    wall_time: float
    purpose: Purpose
    answer: PlatformAnswer
    draws: tuple[float, float]


@attrs.frozen(kw_only=True)
class AdminCalled(Event):
    """An operator called the admin API."""

    call_id: int
    command: AdminCommand


@attrs.frozen(kw_only=True)
class PeerMessageReceived(Event):
    """Another host sent a message."""

    message: PeerMessage
    draws: tuple[float, float]


@attrs.frozen(kw_only=True)
class OrderAnswered(Event):
    """Sending an order to a backend server ended."""

    server: str
    intent: OrderIntent
    version: int
    outcome: OrderOutcome


@attrs.frozen(kw_only=True)
class DrainRequested(Event):
    """A planned stop was asked for, by signal or by an operator."""


@attrs.frozen(kw_only=True)
class SettingsChanged(Event):
    """The settings were read again and are valid."""

    policy: Policy


@attrs.frozen(kw_only=True)
class DumpRequested(Event):
    """A state dump was asked for by signal."""


@attrs.frozen(kw_only=True)
class Ticked(Event):
    """Time passed; `wall_time` is in seconds since the epoch."""

    wall_time: float
    draws: tuple[float, float]
