"""Effects of the daemon as data, to be carried out by performers."""

import attrs

from geraniumhall_core.admin import AdminAnswer
from geraniumhall_core.orders import OrderIntent
from geraniumhall_core.peers import PeerMessage
from geraniumhall_core.platform import PlatformMessage
from geraniumhall_core.purposes import Purpose
from geraniumhall_core.reducer import Effect
from geraniumhall_core.refusals import Refusal
from geraniumhall_core.requests import KvCacheRef
from geraniumhall_core.revisions import Revision


@attrs.frozen(kw_only=True)
class RefuseRequest(Effect):
    """Answer a request with a refusal instead of a response."""

    request_id: str
    refusal: Refusal


@attrs.frozen(kw_only=True)
class ServerAttempt(Effect):
    """The common base of attempts on a backend server.

    `timeout` is in seconds. Without `reuse` the attempt opens a new connection, so
    that a failure to connect proves that nothing was sent. `max_connections` is
    this host's share of the server's connection limit. `workspace` is empty for a
    caller without a key. `priority` is passed to the server for its scheduling;
    zero is the most urgent. `started_at` names the server's incarnation, and `sent_at`
    is the time of the decision, in seconds on the host's clock. With `fetch_address`
    the server first fetches what the engine there keeps of the prompt.
    """

    request_id: str
    attempt_id: str
    server: str
    address: str
    timeout: float
    reuse: bool
    started_at: int = 0
    sent_at: float = 0.0
    max_connections: int | None = None
    workspace: str = ""
    priority: int | None = None
    fetch_address: str = ""


@attrs.frozen(kw_only=True)
class PrefillPrompt(ServerAttempt):
    """Run prefill on a backend server; another one decodes from its KV cache."""


@attrs.frozen(kw_only=True)
class RelayRequest(ServerAttempt):
    """Send a request to a backend server and relay its response to the caller.

    With `kv_cache` the server decodes from that cache instead of running prefill.
    With `hides_errors` a response that reports a server error is not relayed, so
    that another attempt can be made.
    """

    kv_cache: KvCacheRef | None = None
    hides_errors: bool = False


@attrs.frozen(kw_only=True)
class EndAttempt(Effect):
    """End a request's current attempt as if its deadline had passed."""

    request_id: str
    reason: str


@attrs.frozen(kw_only=True)
class ReleaseKvCache(Effect):
    """Free a prompt's KV cache that no server will decode from."""

    kv_cache: KvCacheRef


@attrs.frozen(kw_only=True)
class AbortResponse(Effect):
    """Abort a response that has started, so that the caller sees it is incomplete."""

    request_id: str
    refusal: Refusal


@attrs.frozen(kw_only=True)
class CloseExchange(Effect):
    """End the exchange with the caller; no effect for the request follows."""

    request_id: str


@attrs.frozen(kw_only=True)
class CallPlatform(Effect):
    """Call the platform after `delay` seconds, for a purpose.

    A call that is not answered by `expires_at`, in seconds on the host's clock, is
    cancelled and its connection reset, so that it can't arrive any later. None
    sets no limit.
    """

    purpose: Purpose
    message: PlatformMessage
    delay: float = 0.0
    expires_at: float | None = None


@attrs.frozen(kw_only=True)
class AnswerAdmin(Effect):
    """Answer an operator's call to the admin API."""

    call_id: int
    answer: AdminAnswer


@attrs.frozen(kw_only=True)
class SendToPeers(Effect):
    """Send a message to other hosts by datagram; it may be lost."""

    addresses: tuple[str, ...]
    message: PeerMessage


@attrs.frozen(kw_only=True)
class SendOrder(Effect):
    """Send a role order to a backend server; `timeout` is in seconds.

    `version` is the version of the recorded intent in the store.
    """

    server: str
    address: str
    intent: OrderIntent
    version: Revision
    timeout: float


@attrs.frozen(kw_only=True)
class WatchHold(Effect):
    """Dispatch `HoldEnded` for a request after `seconds`."""

    request_id: str
    seconds: float


@attrs.frozen(kw_only=True)
class ProbeServer(Effect):
    """Try a new connection to a backend server, and close it without a request.

    It is tried after `delay` seconds, as a process that ends may close its
    connections before its listening socket.
    """

    server: str
    address: str
    incarnation: int
    delay: float


@attrs.frozen(kw_only=True)
class StopListening(Effect):
    """Stop accepting connections and close idle ones."""


@attrs.frozen(kw_only=True)
class EndProcess(Effect):
    """End the process after a drain."""


@attrs.frozen
class LogField:
    """One field of a log line."""

    name: str
    value: str | int | float


@attrs.frozen(kw_only=True)
class WriteLog(Effect):
    """Write one structured log line."""

    level: str
    event: str
    fields: tuple[LogField, ...] = ()


@attrs.frozen
class Metric:
    """One metric; a counter's value is its increase since the last report."""

    name: str
    value: float


@attrs.frozen(kw_only=True)
class EmitMetrics(Effect):
    """Send counters and gauges to the metrics daemon."""

    counters: tuple[Metric, ...]
    gauges: tuple[Metric, ...]


@attrs.frozen(kw_only=True)
class WriteDump(Effect):
    """Write the daemon's state to the log."""
