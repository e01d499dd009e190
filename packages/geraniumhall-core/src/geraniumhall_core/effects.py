"""Effects of the daemon, as data."""

import attrs

from geraniumhall_core.admin import AdminAnswer
from geraniumhall_core.orders import OrderIntent
from geraniumhall_core.peers import PeerMessage
from geraniumhall_core.platform import PlatformMessage
from geraniumhall_core.purposes import Purpose
from geraniumhall_core.reducer import Effect
from geraniumhall_core.refusals import Refusal
from geraniumhall_core.requests import KvCacheRef


@attrs.frozen(kw_only=True)
class RefuseRequest(Effect):
    """Answer a request with a refusal."""

    request_id: str
    refusal: Refusal


@attrs.frozen(kw_only=True)
class ServerAttempt(Effect):
    """What both kinds of attempts on a backend server have in common.

    `timeout` is in seconds. Without `reuse` the attempt goes over a new
    connection, so that a failure to connect proves that nothing was sent.
    `max_connections` is this host's share of what the server accepts.
    `workspace` is empty for a caller without a key. `priority` is what the
    server is to rank the request by, zero first.
    """

    request_id: str
    attempt_id: str
    server: str
    address: str
    timeout: float
    reuse: bool
    max_connections: int | None = None
    workspace: str = ""
    priority: int | None = None


@attrs.frozen(kw_only=True)
class PrefillPrompt(ServerAttempt):
    """Let a backend server read a prompt, for another one to go on from."""


@attrs.frozen(kw_only=True)
class RelayRequest(ServerAttempt):
    """Send a request to a backend server and pass its answer on.

    The server goes on from `kv_cache` if there is one. With `hides_errors` an
    answer by which the server says that it failed is not passed on, so that
    another attempt can be made.
    """

    kv_cache: KvCacheRef | None = None
    hides_errors: bool = False


@attrs.frozen(kw_only=True)
class ReleaseKvCache(Effect):
    """Free a prompt's KV cache that nothing will go on from."""

    kv_cache: KvCacheRef


@attrs.frozen(kw_only=True)
class AbortResponse(Effect):
    """End an answer that was begun in a way that shows it is not whole."""

    request_id: str
    refusal: Refusal


@attrs.frozen(kw_only=True)
class CloseExchange(Effect):
    """The request ended; nothing more is sent for it."""

    request_id: str


@attrs.frozen(kw_only=True)
class CallPlatform(Effect):
    """Call the platform after `delay` seconds."""

    purpose: Purpose
    message: PlatformMessage
    delay: float = 0.0


@attrs.frozen(kw_only=True)
class AnswerAdmin(Effect):
    """Answer an operator's call."""

    call_id: int
    answer: AdminAnswer


@attrs.frozen(kw_only=True)
class SendToPeers(Effect):
    """Send a message to other hosts; it may be lost on its way."""

    addresses: tuple[str, ...]
    message: PeerMessage


@attrs.frozen(kw_only=True)
class SendOrder(Effect):
    """Send an order to a backend server; `timeout` is in seconds.

    `version` is that of the recorded intent.
    """

    server: str
    address: str
    intent: OrderIntent
    version: int
    timeout: float


@attrs.frozen(kw_only=True)
class StopListening(Effect):
    """Accept no more connections and close the idle ones."""


@attrs.frozen(kw_only=True)
class EndProcess(Effect):
    """Nothing is left to do; the process ends."""


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
    """Write the state to the log."""
