"""The whole state of a daemon; only handlers change it."""

from collections import Counter

import attrs

from geraniumhall_core.catalogue import Catalogue
from geraniumhall_core.fairness import EntryQueue
from geraniumhall_core.fleet import ServerLoad
from geraniumhall_core.limits import TokenBucket
from geraniumhall_core.policy import Policy
from geraniumhall_core.requests import RequestRecord
from geraniumhall_core.retries import RetryBudget
from geraniumhall_core.usage import UsageLedger


@attrs.define
class DrainState:
    """The planned stop; times are in seconds on the host's clock."""

    requested_at: float | None = None
    stopped_listening: bool = False
    ended: bool = False


@attrs.define
class MetricsState:
    """What was reported last, so that counters go out as increases."""

    reported_at: float = float("-inf")
    reported: Counter[str] = attrs.field(factory=Counter)


@attrs.define
class DaemonState:
    """State of one daemon process."""

    policy: Policy
    usage: UsageLedger
    retry_budget: RetryBudget
    catalogue: Catalogue = attrs.field(factory=Catalogue)
    platform_failures: int = 0
    buckets: dict[str, TokenBucket] = attrs.field(factory=dict)
    requests: dict[str, RequestRecord] = attrs.field(factory=dict)
    queues: dict[str, EntryQueue] = attrs.field(factory=dict)
    loads: dict[str, ServerLoad] = attrs.field(factory=dict)
    turn: int = 0
    drain: DrainState = attrs.field(factory=DrainState)
    counters: Counter[str] = attrs.field(factory=Counter)
    metrics: MetricsState = attrs.field(factory=MetricsState)

    @classmethod
    def from_policy(cls, policy: Policy) -> "DaemonState":
        """Return the state of a process that has just started."""
        return cls(
            policy=policy,
            usage=UsageLedger(policy.usage_window),
            retry_budget=RetryBudget(policy.retry_ratio, policy.retry_burst),
        )

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop was asked for."""
        return self.drain.requested_at is not None

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send requests here."""
        return self.catalogue.revision > 0 and not self.is_draining

    def find_load(self, server: str) -> ServerLoad:
        """Return the load record of a backend server, made on first use."""
        return self.loads.setdefault(server, ServerLoad())

    def find_queue(self, entry: str) -> EntryQueue:
        """Return the queue of an entry, made on first use."""
        return self.queues.setdefault(entry, EntryQueue())
