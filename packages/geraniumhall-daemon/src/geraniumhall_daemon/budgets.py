"""The budget of memory for connections and the bound on them, from the settings.

Each decision of the budget other than a grant is counted and logged, and so is each
connection that meets another limit. What may happen for every packet is logged once in
`QUIET_SECONDS`.
"""

from resource import RLIM_INFINITY, RLIMIT_NOFILE, getrlimit

import attrs
import trio

from geraniumhall_core.buffers import MEMORY_POLICIES, Holding
from geraniumhall_daemon.logs import write_log
from geraniumhall_daemon.metrics import MetricsSink
from geraniumhall_net.budget import CONNECTION_BYTES, MemoryBudget
from geraniumhall_wire.settings import CallerSettings, HostSettings

MEMORY_FRACTION = 0.25  # of the host's, held for connections
CONNECTION_FRACTION = 0.5  # of that, for what each connection needs without a request
RESERVED_DESCRIPTORS = 200  # for files and for the connections of operators
DESCRIPTOR_FRACTION = 0.5  # of the others; a request needs one on each side
QUIET_SECONDS = 1.0  # between two log lines of a limit that is met again and again
LOGGED_ALWAYS = ("closed", "refused")


@attrs.define(eq=False)
class LimitLog:
    """Counts and logs when connections meet a limit, and datagrams are dropped."""

    metrics: MetricsSink
    _quiet_until: dict[str, float] = attrs.field(factory=dict)

    def record_decision(self, name: str, holding: Holding) -> None:
        """Record a decision of the budget on a connection."""
        self.metrics.count(f"caller_memory.{name}")
        now = trio.current_time()
        if name not in LOGGED_ALWAYS and not self._is_due(name):
            return
        fields = {
            "decision": name,
            "group": holding.group,
            "kind": holding.kind.value,
            "bytes": holding.size,
            "silent_ms": round(1000 * (now - holding.progressed_at)),
        }
        write_log("warning", "caller_memory", fields)

    def record_limit(self, name: str, peer: str = "") -> None:
        """Record that a connection met another limit, such as `paced`.

        A refusal's reason is left out, since it may quote the request.
        """
        self.metrics.count(f"caller_limits.{name}")
        if self._is_due(name):
            write_log("warning", "caller_limit", {"limit": name, "peer": peer})

    def record_datagram(self, name: str, reason: str) -> None:
        """Record a datagram that is dropped, under the name of the kind of reason."""
        self.metrics.count(f"peer_messages.{name}")
        if self._is_due(f"datagram {name}"):
            fields = {"kind": name, "reason": reason}
            write_log("warning", "peer_message_dropped", fields)

    def _is_due(self, name: str) -> bool:
        now = trio.current_time()
        if now < self._quiet_until.get(name, float("-inf")):
            return False
        self._quiet_until[name] = now + QUIET_SECONDS
        return True


def build_budget(
    callers: CallerSettings, host: HostSettings, log: LimitLog
) -> MemoryBudget:
    """Return the budget of a process on a host with this much memory."""
    total = _compute_budget(callers, host)
    policy = MEMORY_POLICIES.find(callers.memory_policy)()
    budget = MemoryBudget(total, policy, log.record_decision)
    log.metrics.observe_gauge("caller_memory_bytes", lambda: budget.used)
    log.metrics.observe_gauge("caller_memory_limit_bytes", lambda: budget.total)
    return budget


def count_caller_connections(callers: CallerSettings, host: HostSettings) -> int:
    """Return how many connections of callers may be open.

    Connections to backend servers need as many descriptors again. Open connections
    leave a part of the budget of memory to what they bring.
    """
    by_memory = _compute_budget(callers, host) * CONNECTION_FRACTION / CONNECTION_BYTES
    bound = max(1, min(callers.max_connections, int(by_memory)))
    limit = host.max_descriptors or getrlimit(RLIMIT_NOFILE)[0]
    if limit == RLIM_INFINITY:
        return bound
    usable = int((limit - RESERVED_DESCRIPTORS) * DESCRIPTOR_FRACTION)
    return max(1, min(bound, usable))


def _compute_budget(callers: CallerSettings, host: HostSettings) -> int:
    return callers.memory or int(host.memory * MEMORY_FRACTION)
