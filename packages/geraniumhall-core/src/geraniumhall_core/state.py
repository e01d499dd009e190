"""The whole state of a daemon; only handlers change it."""

from collections import Counter

import attrs

from geraniumhall_core.catalogue import Catalogue
from geraniumhall_core.fairness import EntryQueue
from geraniumhall_core.hosts import HostsView, KnownHost
from geraniumhall_core.leases import LeaseState
from geraniumhall_core.limits import DemandHistory, DemandMeter, TokenBucket
from geraniumhall_core.loans import BorrowingState
from geraniumhall_core.orders import OrderState
from geraniumhall_core.platform import Feed
from geraniumhall_core.policy import Policy
from geraniumhall_core.records import VersionedRecord
from geraniumhall_core.reports import ReportingState, ReportsView
from geraniumhall_core.requests import RequestRecord
from geraniumhall_core.retries import RetryBudget
from geraniumhall_core.server_load import NO_FOREIGN_WORK, ForeignWork, ServerLoad
from geraniumhall_core.usage import UsageLedger, UsageSeals

HOSTS_AT_BASE_INTERVAL = 40  # together they write a record 27 times a second
USABLE_CONNECTION_FRACTION = (
    0.8  # the rest is for hosts not heard of yet and released memory
)


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
class FeedState:
    """How far the copy of a feed is; times are in seconds.

    A `revision` of zero asks for a listing. `confirmed_at` is when the newest
    answer that confirmed the copy was asked for.
    """

    revision: int = 0
    confirmed_at: float = float("-inf")
    failures: int = 0

    @property
    def has_synced(self) -> bool:
        """Whether the feed was read once."""
        return self.confirmed_at != float("-inf")


@attrs.define
class PublishingState:
    """How this daemon tells the others of itself, and when it does so next.

    `demand_history` is what it has told of its callers' demand; `unconfirmed` are the
    rates, oldest first, of writes since then that may have taken effect.
    """

    demand_history: DemandHistory = attrs.field(factory=DemandHistory)
    unconfirmed: list[dict[str, float]] = attrs.field(factory=list)
    version: int = 0
    sequence: int = 0
    is_calling: bool = False
    next_call_at: float = float("-inf")

    def compute_counted_demand(
        self, workspace: str, now: float, propagation_bound: float
    ) -> float:
        """Return the demand that this host counts of itself by now."""
        counted = self.demand_history.compute_counted(workspace, now, propagation_bound)
        return min(
            [counted, *(rates.get(workspace, 0.0) for rates in self.unconfirmed)]
        )

    def confirm(self, now: float, propagation_bound: float) -> None:
        """Note that the last write took effect, and earlier ones may have."""
        for rates in self.unconfirmed:
            self.demand_history.add(rates, now, propagation_bound)
        self.unconfirmed.clear()


@attrs.define
class ForeignDemand:
    """What the other live hosts count of their demand, by workspace.

    Summed up for a while at a time, until `valid_until` seconds.
    """

    rates: dict[str, list[float]] = attrs.field(factory=dict)
    valid_until: float = float("-inf")


@attrs.define
class DeferredDeletions:
    """Deletions of servers' entries that an outage of the store may have caused.

    They are applied at `apply_at` seconds, unless newer entries came by then.
    """

    deletions: list[VersionedRecord] = attrs.field(factory=list)
    apply_at: float = float("-inf")


@attrs.define
class SealingState:
    """What the holder of the control lease does about usage.

    `seals` is what the store holds, at `version`; None before it was read.
    `reported` are the windows that this process has reported.
    """

    seals: UsageSeals | None = None
    version: int = 0
    reported: set[int] = attrs.field(factory=set)
    is_calling: bool = False
    next_call_at: float = float("-inf")


@attrs.define
class ScaleRequest:
    """The last order for one kind of servers; None if it was not taken."""

    count: int | None = None
    is_calling: bool = False
    next_call_at: float = float("-inf")


@attrs.define
class MetricsState:
    """What was reported last, so that counters go out as increases."""

    reported_at: float = float("-inf")
    reported: Counter[str] = attrs.field(factory=Counter)


@attrs.define
class DaemonState:
    """State of one daemon process.

    The platform has answered every call since `platform_up_since` seconds, which
    is infinite while it does not.
    """

    policy: Policy
    usage: UsageLedger
    catalogue: Catalogue = attrs.field(factory=Catalogue)
    feeds: dict[Feed, FeedState] = attrs.field(
        factory=lambda: {feed: FeedState() for feed in Feed}
    )
    platform_up_since: float = float("-inf")
    deferred: DeferredDeletions = attrs.field(factory=DeferredDeletions)
    hosts: HostsView = attrs.field(factory=HostsView)
    publishing: PublishingState = attrs.field(factory=PublishingState)
    foreign_demand: ForeignDemand = attrs.field(factory=ForeignDemand)
    reports: ReportsView = attrs.field(factory=ReportsView)
    reporting: ReportingState = attrs.field(factory=ReportingState)
    live_hosts: int = 1
    demand_meters: dict[str, DemandMeter] = attrs.field(factory=dict)
    buckets: dict[str, TokenBucket] = attrs.field(factory=dict)
    borrowing: BorrowingState = attrs.field(factory=BorrowingState)
    has_buckets: bool = False
    retry_budgets: dict[str, RetryBudget] = attrs.field(factory=dict)
    requests: dict[str, RequestRecord] = attrs.field(factory=dict)
    queues: dict[str, EntryQueue] = attrs.field(factory=dict)
    loads: dict[str, ServerLoad] = attrs.field(factory=dict)
    round_robin_index: int = 0
    lease: LeaseState = attrs.field(factory=LeaseState)
    orders: dict[str, OrderState] = attrs.field(factory=dict)
    scale_requests: dict[tuple[str, str, bool], ScaleRequest] = attrs.field(
        factory=dict
    )
    sealing: SealingState = attrs.field(factory=SealingState)
    drain: DrainState = attrs.field(factory=DrainState)
    counters: Counter[str] = attrs.field(factory=Counter)
    metrics: MetricsState = attrs.field(factory=MetricsState)

    @classmethod
    def from_policy(cls, policy: Policy) -> "DaemonState":
        """Return the state of a process that has just started."""
        return cls(policy=policy, usage=UsageLedger(policy.usage_window))

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop was asked for."""
        return self.drain.requested_at is not None

    @property
    def all_feeds_synced(self) -> bool:
        """Whether every feed was read once."""
        return all(feed.has_synced for feed in self.feeds.values())

    @property
    def has_catalogue(self) -> bool:
        """Whether every feed was read and there is something to serve."""
        return self.all_feeds_synced and bool(self.catalogue.entries)

    @property
    def interval_factor(self) -> float:
        """By what factor there are more hosts than call at the usual pace."""
        return max(1.0, self.live_hosts / HOSTS_AT_BASE_INTERVAL)

    def list_live_hosts(self, now: float) -> dict[str, KnownHost]:
        """Return the other hosts whose records still change."""
        return self.hosts.list_live(
            now, self.policy.host_silence * self.interval_factor
        )

    def compute_catalogue_age(self, now: float) -> float:
        """Return the seconds since the store confirmed keys, limits and routes."""
        followed = (self.feeds[Feed.CONFIGURATION], self.feeds[Feed.RECORDS])
        return now - min(feed.confirmed_at for feed in followed)

    def is_ready(self, now: float) -> bool:
        """Tell whether the balancer should send requests here."""
        is_current = self.compute_catalogue_age(now) <= self.policy.unready_after
        return self.has_catalogue and is_current and not self.is_draining

    def get_load(self, server: str) -> ServerLoad:
        """Return the load record of a backend server, made on first use."""
        load = self.loads.setdefault(server, ServerLoad())
        record = self.catalogue.servers.get(server)
        if record is not None:
            load.update_incarnation(record.started_at)
        return load

    def estimate_foreign_work(self, server: str) -> ForeignWork:
        """Estimate what other hosts have under way at a backend server."""
        told = self.reports.totals.get(server)
        if told is None:
            return NO_FOREIGN_WORK
        others = max(self.live_hosts - 1, len(self.reports.latest))
        return told.scale(others / max(1, len(self.reports.latest)))

    def compute_connection_share(self, server: str) -> int | None:
        """Return how many connections this host may have to a backend server."""
        record = self.catalogue.servers.get(server)
        services = record.services if record else ()
        limits = [self.catalogue.find_service(s).max_connections for s in services]
        known = [limit for limit in limits if limit is not None]
        if not known:
            return None
        return max(1, int(min(known) * USABLE_CONNECTION_FRACTION / self.live_hosts))

    def has_connection_capacity(self, server: str) -> bool:
        """Tell whether a backend server may get another request of this host."""
        share = self.compute_connection_share(server)
        return share is None or self.get_load(server).outstanding < share

    def get_queue(self, entry: str) -> EntryQueue:
        """Return the queue of an entry, made on first use."""
        return self.queues.setdefault(entry, EntryQueue())

    def get_retry_budget(self, service: str) -> RetryBudget:
        """Return this host's part of a service's retry budget."""
        burst = max(1.0, self.policy.retry_slack / self.live_hosts)
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.policy.retry_ratio, burst)
            self.retry_budgets[service] = budget
        budget.set_burst(burst)
        return budget
