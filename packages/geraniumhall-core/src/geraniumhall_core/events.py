"""Events of the daemon.

`at` is in seconds on a clock that includes suspension (CLOCK_BOOTTIME). `draws`
are random numbers, uniform in [0, 1), drawn by the runtime. `wall_time` is in
seconds since the epoch.
"""

import attrs

from geraniumhall_core.admin import AdminCommand
from geraniumhall_core.notices import ReceivedNotice
from geraniumhall_core.orders import OrderIntent, OrderOutcome
from geraniumhall_core.peers import PeerMessage
from geraniumhall_core.platform import PlatformAnswer
from geraniumhall_core.policy import Policy
from geraniumhall_core.purposes import Purpose
from geraniumhall_core.reducer import Event
from geraniumhall_core.requests import AttemptOutcome, CallerRequest, KvCacheRef
from geraniumhall_core.revisions import Revision
from geraniumhall_core.verdict import Verdict


@attrs.frozen(kw_only=True)
class DaemonStarted(Event):
    """The process has started and listens."""


@attrs.frozen(kw_only=True)
class RequestArrived(Event):
    """A front end received a complete request.

    Its last bytes were read `age` seconds before, by a process that was behind.
    """

    request: CallerRequest
    draws: tuple[float, float]
    age: float = 0.0


@attrs.frozen(kw_only=True)
class RequestAbandoned(Event):
    """The caller of a request had closed the connection before it was admitted.

    Its last bytes were read `age` seconds before.
    """

    request: CallerRequest
    age: float


@attrs.frozen(kw_only=True)
class CallerDisconnected(Event):
    """The caller closed the connection before an attempt was started."""

    request_id: str


@attrs.frozen(kw_only=True)
class PrefillEnded(Event):
    """Prefill on a separate backend server ended.

    `kv_cache` refers to the exported KV cache, or is None if there is none. `notice` is
    what the server stated of itself, None if no head that is surely its was read.
    """

    request_id: str
    attempt_id: str
    outcome: AttemptOutcome
    draws: tuple[float, float]
    kv_cache: KvCacheRef | None = None
    reason: str = ""
    notice: ReceivedNotice | None = None


@attrs.frozen(kw_only=True)
class ResponseStarted(Event):
    """The response head was relayed, so the request can't be retried any more.

    `notice` is what the server stated of itself in the head.
    """

    request_id: str
    attempt_id: str
    wall_time: float
    notice: ReceivedNotice | None = None


@attrs.frozen(kw_only=True)
class AttemptEnded(Event):
    """An attempt to relay a request to a backend server ended.

    Token counts are those reported by the backend server, or those of the relayed
    response if it reported none. `longest_pause` is the longest time between
    two parts of the response, in seconds, and `events` the number of its events, zero
    if not counted. With `is_server_error` the server reported an error of its own, and
    that answer was relayed. `notice` is what the server stated of itself,
    None if `ResponseStarted` had it or no head that is surely the server's was read.
    """

    request_id: str
    attempt_id: str
    outcome: AttemptOutcome
    verdict: Verdict
    wall_time: float
    draws: tuple[float, float]
    longest_pause: float = 0.0
    events: int = 0
    is_server_error: bool = False
    prompt_tokens: int = 0
    generated_tokens: int = 0
    reason: str = ""
    notice: ReceivedNotice | None = None


@attrs.frozen(kw_only=True)
class PlatformAnswered(Event):
    """A platform call that was sent at `called_at` seconds was answered or failed."""

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
    """A message of another host was received."""

    message: PeerMessage
    draws: tuple[float, float]


@attrs.frozen(kw_only=True)
class OrderAnswered(Event):
    """An order to a backend server was answered, or sending it failed."""

    server: str
    intent: OrderIntent
    version: Revision
    outcome: OrderOutcome


@attrs.frozen(kw_only=True)
class ServerProbed(Event):
    """A new connection to a backend server was tried after an answer broke off.

    With `is_refused` nothing listens at its address: the process has ended.
    """

    server: str
    incarnation: int
    is_refused: bool
    draws: tuple[float, float]


@attrs.frozen(kw_only=True)
class HoldEnded(Event):
    """The time for which a request may wait for room is over."""

    request_id: str
    draws: tuple[float, float]


@attrs.frozen(kw_only=True)
class DrainRequested(Event):
    """A drain was requested by signal."""


@attrs.frozen(kw_only=True)
class SettingsChanged(Event):
    """The settings were reloaded and are valid."""

    policy: Policy


@attrs.frozen(kw_only=True)
class DumpRequested(Event):
    """A state dump was requested by signal."""


@attrs.frozen(kw_only=True)
class Ticked(Event):
    """The runtime's periodic timer fired."""

    wall_time: float
    draws: tuple[float, float]
