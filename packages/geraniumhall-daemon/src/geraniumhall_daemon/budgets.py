"""The budget of memory for connections and the bound on them, from the settings.

Each decision of the budget other than a grant is counted and logged. A connection that
waits for memory is logged once in `DELAY_LOG_SECONDS` for all that do.
"""

from resource import RLIM_INFINITY, RLIMIT_NOFILE, getrlimit

import attrs
import trio

from geraniumhall_core.buffers import MEMORY_POLICIES, Holding
from geraniumhall_daemon.logs import write_log
from geraniumhall_daemon.metrics import MetricsSink
from geraniumhall_net.budget import MemoryBudget
from geraniumhall_wire.settings import CallerSettings, HostSettings

MEMORY_FRACTION = 0.25  # of the host's, held for connections
RESERVED_DESCRIPTORS = 200  # for files and for the connections of operators
DESCRIPTOR_FRACTION = 0.5  # of the others; a request needs one on each side
DELAY_LOG_SECONDS = 1.0
COUNTED_ALWAYS = ("closed", "refused")


@attrs.define
class DecisionLog:
    """Counts the budget's decisions and logs them."""

    metrics: MetricsSink
    _quiet_until: dict[str, float] = attrs.field(factory=dict)

    def record(self, name: str, holding: Holding) -> None:
        """Record a decision on a connection."""
        self.metrics.count(f"caller_memory.{name}")
        now = trio.current_time()
        if now < self._quiet_until.get(name, 0.0):
            return
        if name not in COUNTED_ALWAYS:
            self._quiet_until[name] = now + DELAY_LOG_SECONDS
        fields = {
            "decision": name,
            "group": holding.group,
            "kind": holding.kind.value,
            "bytes": holding.size,
            "silent_ms": round(1000 * (now - holding.progressed_at)),
        }
        write_log("warning", "caller_memory", fields)


def build_budget(
    callers: CallerSettings, host: HostSettings, metrics: MetricsSink
) -> MemoryBudget:
    """Return the budget of a process on a host with this much memory."""
    total = callers.memory or int(host.memory * MEMORY_FRACTION)
    policy = MEMORY_POLICIES.find(callers.memory_policy)()
    budget = MemoryBudget(total, policy, DecisionLog(metrics).record)
    metrics.observe_gauge("caller_memory_bytes", lambda: budget.used)
    metrics.observe_gauge("caller_memory_limit_bytes", lambda: budget.total)
    return budget


def count_caller_connections(callers: CallerSettings, host: HostSettings) -> int:
    """Return how many connections of callers may be open.

    Connections to backend servers need as many descriptors again.
    """
    limit = host.max_descriptors or getrlimit(RLIMIT_NOFILE)[0]
    if limit == RLIM_INFINITY:
        return callers.max_connections
    usable = int((limit - RESERVED_DESCRIPTORS) * DESCRIPTOR_FRACTION)
    return max(1, min(callers.max_connections, usable))
