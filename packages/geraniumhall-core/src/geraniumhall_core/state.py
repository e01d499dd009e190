"""The whole state of a daemon; only handlers change it."""

from collections import Counter

import attrs

from geraniumhall_core.catalogue import Catalogue
from geraniumhall_core.fairness import EntryQueue
from geraniumhall_core.fleet import ServerLoad
from geraniumhall_core.leases import LeaseState
from geraniumhall_core.limits import BorrowRound, LenderLevel, TokenBucket
from geraniumhall_core.orders import OrderState
from geraniumhall_core.peering import Member, Membership
from geraniumhall_core.policy import Policy
from geraniumhall_core.purchases import PurchaseState
from geraniumhall_core.requests import RequestRecord
from geraniumhall_core.retries import RetryBudget
from geraniumhall_core.usage import SealingState, UsageLedger


@attrs.define
class DrainState:
    """The planned stop; times are in seconds on the host's clock.

    `pending_calls` are those to the platform that hand over authority.
    """

    requested_at: float | None = None
    stopped_listening: bool = False
    is_handing_over: bool = False
    pending_calls: int = 0
    ended: bool = False


@attrs.define
class PeeringState:
    """How this daemon appears to others, and when it pulls next.

    `latest_written` is the version of the newest edit made through this
    daemon, which its copy of the catalogue may not have reached in order.
    """

    address: str = ""
    incarnation: int = 0
    heartbeat: int = 0
    record_version: int = 0
    registered_at: float = float("inf")
    latest_written: int = 0
    is_join_logged: bool = False
    next_pull_at: float = float("-inf")
    turn: int = 0


@attrs.define
class HousekeepingState:
    """Registered hosts that the platform did not list, since when in seconds."""

    missing_since: dict[str, float] = attrs.field(factory=dict)
    is_calling: bool = False
    next_listing_at: float = float("-inf")


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
    is_syncing: bool = False
    ready_at: float = float("inf")
    peering: PeeringState = attrs.field(factory=PeeringState)
    membership: Membership = attrs.field(factory=Membership)
    buckets: dict[str, TokenBucket] = attrs.field(factory=dict)
    borrows: dict[str, BorrowRound] = attrs.field(factory=dict)
    lender_levels: dict[tuple[str, str], LenderLevel] = attrs.field(factory=dict)
    requests: dict[str, RequestRecord] = attrs.field(factory=dict)
    queues: dict[str, EntryQueue] = attrs.field(factory=dict)
    loads: dict[str, ServerLoad] = attrs.field(factory=dict)
    turn: int = 0
    leases: dict[str, LeaseState] = attrs.field(factory=dict)
    orders: dict[str, OrderState] = attrs.field(factory=dict)
    purchases: dict[str, PurchaseState] = attrs.field(factory=dict)
    housekeeping: HousekeepingState = attrs.field(factory=HousekeepingState)
    sealing: SealingState = attrs.field(factory=SealingState)
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
            peering=PeeringState(incarnation=policy.incarnation),
        )

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop was asked for."""
        return self.drain.requested_at is not None

    def is_ready(self, now: float) -> bool:
        """Tell whether the balancer should send requests here.

        It should once the catalogue is there and its limits are in force.
        """
        return now >= self.ready_at and not self.is_draining

    def describe_self(self) -> Member:
        """Return this daemon as a member, with a new heartbeat."""
        self.peering.heartbeat += 1
        return Member(
            host=self.policy.host,
            failure_domain=self.policy.failure_domain,
            address=self.peering.address,
            incarnation=self.peering.incarnation,
            heartbeat=self.peering.heartbeat,
            leaving=self.is_draining,
            revision=max(self.catalogue.revision, self.peering.latest_written),
        )

    def find_load(self, server: str) -> ServerLoad:
        """Return the load record of a backend server, made on first use."""
        return self.loads.setdefault(server, ServerLoad())

    def find_queue(self, entry: str) -> EntryQueue:
        """Return the queue of an entry, made on first use."""
        return self.queues.setdefault(entry, EntryQueue())
