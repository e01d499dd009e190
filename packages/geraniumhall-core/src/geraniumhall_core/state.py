"""The state of a daemon process; only the reducer's handlers change it."""

from collections import Counter

import attrs
from xxhash import xxh32_intdigest

from geraniumhall_core.catalogue import Catalogue
from geraniumhall_core.confirmations import (
    CONFIRMATION_POLICIES,
    ConfirmationPlan,
    compute_sparing_interval,
)
from geraniumhall_core.copies import RelayState
from geraniumhall_core.eras import EraState
from geraniumhall_core.fairness import EntryQueue, RoomQueue
from geraniumhall_core.hosts import HostsView, KnownHost
from geraniumhall_core.leases import LeaseState
from geraniumhall_core.limits import DemandHistory, DemandMeter, TokenBucket
from geraniumhall_core.loans import BorrowingState
from geraniumhall_core.orders import OrderIntent, OrderState
from geraniumhall_core.pace import EntryProfile, ServicePace
from geraniumhall_core.parts import CrashId
from geraniumhall_core.platform import Feed
from geraniumhall_core.policy import Policy
from geraniumhall_core.prefixes import PrefixCaches
from geraniumhall_core.quarantine import BrokenRequest, Quarantine
from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.reports import ReportingState, ReportsView
from geraniumhall_core.requests import RequestRecord
from geraniumhall_core.restrictions import RestrictionsView
from geraniumhall_core.retries import RetryBudget
from geraniumhall_core.revisions import NO_REVISION, Revision
from geraniumhall_core.scaling import ScaleRequest, ServiceDemand
from geraniumhall_core.server_load import NO_FOREIGN_WORK, ForeignWork, ServerLoad
from geraniumhall_core.speeds import SpeedBook
from geraniumhall_core.summaries import CollectingState
from geraniumhall_core.usage import UsageLedger, UsageSeals

# At the default interval of 1.5 s, 40 hosts write 27 records a second in all.
COVERED_FRACTION = 0.5  # of the silence after which a host counts as down
HOSTS_AT_BASE_INTERVAL = 40
MISSED_WRITES = 3  # of a host's record, after which it counts as down
# The rest is for hosts not discovered yet and for requests that release a KV cache.
USABLE_CONNECTION_FRACTION = 0.8


@attrs.define
class DrainState:
    """Progress of a drain; times are in seconds on the host's clock.

    With `has_timed_out` the requests that were left have been ended. `pending_calls`
    counts the platform calls in flight that publish the last host record.
    """

    requested_at: float | None = None
    stopped_listening: bool = False
    has_timed_out: bool = False
    is_handing_over: bool = False
    pending_calls: int = 0
    ended: bool = False


@attrs.define
class FeedState:
    """Sync state of the local copy of one feed; times are in seconds.

    Without a `revision` the next call is a full listing. `confirmed_at` is the
    time at which the newest successful call was sent: the copy is known to have
    been current then. If answers since may have been old, `exact_until` is when the
    last exact one confirmed it, and infinity otherwise. `failures` counts failed
    calls in a row. `unusable` holds the objects that can't be decoded, with the reason.
    Answers to calls of an earlier `series` are ignored; a new one begins with each era
    of the store, and where a call is given up. `requested_at` is when the latest call
    was due. `listed_era` is the era of the latest listing.
    """

    revision: Revision = NO_REVISION
    confirmed_at: float = float("-inf")
    exact_until: float = float("inf")
    failures: int = 0
    series: int = 0
    requested_at: float = float("-inf")
    listed_era: int = 0
    unusable: dict[ObjectKey | None, str] = attrs.field(factory=dict)

    @property
    def has_synced(self) -> bool:
        """Whether the feed has been read at least once."""
        return self.confirmed_at != float("-inf")


@attrs.define
class PublishingState:
    """State of publishing this daemon's host record.

    `demand_history` holds the demand rates of writes that took effect;
    `unconfirmed` holds those of later writes that may have taken effect, oldest
    first. `version` is the record's last known version in the store. With
    `awaits_listing` it is not known in this era of the store yet.
    """

    demand_history: DemandHistory = attrs.field(factory=DemandHistory)
    unconfirmed: list[dict[str, float]] = attrs.field(factory=list)
    version: Revision = NO_REVISION
    sequence: int = 0
    awaits_listing: bool = False
    is_calling: bool = False
    next_call_at: float = float("-inf")

    def compute_counted_demand(
        self, workspace: str, now: float, propagation_bound: float
    ) -> float:
        """Return the demand that this host claims a share for at `now`.

        A write whose outcome is unknown may lower the claim but never raises it.
        """
        counted = self.demand_history.compute_counted(workspace, now, propagation_bound)
        return min(
            [counted, *(rates.get(workspace, 0.0) for rates in self.unconfirmed)]
        )

    def forget_recent(self, now: float, propagation_bound: float) -> None:
        """Keep only the demand that is counted at `now`.

        All hosts have read that; the store may have lost what was written later.
        """
        names = {name for entry in self.demand_history.entries for name in entry.rates}
        counted = {
            name: self.compute_counted_demand(name, now, propagation_bound)
            for name in names
        }
        self.demand_history = DemandHistory()
        self.demand_history.add(counted, now - propagation_bound, propagation_bound)
        self.unconfirmed.clear()

    def confirm(self, now: float, propagation_bound: float) -> None:
        """Move unconfirmed rates to the history after the last write took effect.

        Rates of earlier writes go with them, since these may have taken effect.
        """
        for rates in self.unconfirmed:
            self.demand_history.add(rates, now, propagation_bound)
        self.unconfirmed.clear()


@attrs.define
class ForeignDemand:
    """Cached demand rates that the other `hosts` with shares claim, by workspace.

    The cache is valid until `valid_until` seconds on the host's clock.
    """

    hosts: int = 0
    rates: dict[str, list[float]] = attrs.field(factory=dict)
    valid_until: float = float("-inf")


@attrs.define
class DeferredDeletions:
    """Deletions of server records that a store outage may have caused.

    They are applied at `apply_at` seconds on the host's clock, except for servers
    that have registered again by then. Deletions that are read from `until` on
    apply at once.
    """

    deletions: list[VersionedRecord] = attrs.field(factory=list)
    until: float = float("-inf")
    apply_at: float = float("-inf")


@attrs.define
class SealingState:
    """Progress of sealing and reporting usage under the control lease.

    `seals` is the store's record at `version`, or None if it has to be read. Windows
    up to `last_doubtful` may have been sealed in an earlier era of the store.
    `reported` holds the numbers of the windows that this process has reported.
    """

    seals: UsageSeals | None = None
    version: Revision = NO_REVISION
    last_doubtful: int = -1
    reported: set[int] = attrs.field(factory=set)
    is_calling: bool = False
    next_call_at: float = float("-inf")


@attrs.define
class MetricsState:
    """The counters at the last report; metrics are sent as increases."""

    reported_at: float = float("-inf")
    reported: Counter[str] = attrs.field(factory=Counter)


@attrs.define
class OverloadState:
    """What decisions under load rest on, by service, and by entry for `profiles`.

    `arrivals`, `refusals` and `completions` measure the requests a second that this
    host accepts, refuses for lack of room and has answered.
    """

    waiting: dict[str, RoomQueue] = attrs.field(factory=dict)
    paces: dict[str, ServicePace] = attrs.field(factory=dict)
    profiles: dict[str, EntryProfile] = attrs.field(factory=dict)
    arrivals: dict[str, DemandMeter] = attrs.field(factory=dict)
    refusals: dict[str, DemandMeter] = attrs.field(factory=dict)
    completions: dict[str, DemandMeter] = attrs.field(factory=dict)

    def get_pace(self, service: str) -> ServicePace:
        """Return the pace of a service, created on first use."""
        return self.paces.setdefault(service, ServicePace())

    def get_queue(self, service: str) -> RoomQueue:
        """Return the requests that wait for a service, created on first use."""
        return self.waiting.setdefault(service, RoomQueue())

    def stop_waiting(self, service: str, request_id: str) -> None:
        """Remove a request that may wait for a service."""
        queue = self.waiting.get(service)
        if queue is not None:
            queue.workspaces.pop(request_id, None)

    def count_waiting(self) -> int:
        """Return the number of requests that wait for room."""
        return sum(len(queue.workspaces) for queue in self.waiting.values())


@attrs.define
class DaemonState:
    """State of one daemon process.

    `platform_up_since` is the time in seconds since which every call that reads a
    feed has been answered, and infinity after one that failed;
    `platform_contact_at` is when the latest one was answered, and `platform_down_at`
    when one could not reach the platform, because it got no answer if
    `platform_was_silent`. `live_hosts` includes this host. `breaks` holds the requests
    that broke off on a server until it is known whether the server has ended.
    `has_buckets` is true once this process has created its first buckets; all of them
    are resized at `buckets_due_at` seconds. The keys of `scale_requests` are a service,
    a failure domain and whether the servers are reclaimable. `intents` are the latest
    ones that were read, by server.
    """

    policy: Policy
    usage: UsageLedger
    catalogue: Catalogue = attrs.field(factory=Catalogue)
    feeds: dict[Feed, FeedState] = attrs.field(
        factory=lambda: {feed: FeedState() for feed in Feed}
    )
    platform_up_since: float = float("-inf")
    platform_contact_at: float = float("-inf")
    platform_down_at: float = float("-inf")
    platform_was_silent: bool = False
    era: EraState = attrs.field(factory=EraState)
    deferred: DeferredDeletions = attrs.field(factory=DeferredDeletions)
    hosts: HostsView = attrs.field(factory=HostsView)
    publishing: PublishingState = attrs.field(factory=PublishingState)
    foreign_demand: ForeignDemand = attrs.field(factory=ForeignDemand)
    relay: RelayState = attrs.field(factory=RelayState)
    reports: ReportsView = attrs.field(factory=ReportsView)
    reporting: ReportingState = attrs.field(factory=ReportingState)
    collecting: CollectingState = attrs.field(factory=CollectingState)
    live_hosts: int = 1
    demand_meters: dict[str, DemandMeter] = attrs.field(factory=dict)
    buckets: dict[str, TokenBucket] = attrs.field(factory=dict)
    borrowing: BorrowingState = attrs.field(factory=BorrowingState)
    has_buckets: bool = False
    buckets_due_at: float = float("-inf")
    retry_budgets: dict[str, RetryBudget] = attrs.field(factory=dict)
    requests: dict[str, RequestRecord] = attrs.field(factory=dict)
    queues: dict[str, EntryQueue] = attrs.field(factory=dict)
    loads: dict[str, ServerLoad] = attrs.field(factory=dict)
    overload: OverloadState = attrs.field(factory=OverloadState)
    restrictions: RestrictionsView = attrs.field(factory=RestrictionsView)
    prefix_caches: PrefixCaches = attrs.field(factory=PrefixCaches)
    speeds: SpeedBook = attrs.field(factory=SpeedBook)
    quarantine: Quarantine = attrs.field(factory=Quarantine)
    breaks: dict[CrashId, list[BrokenRequest]] = attrs.field(factory=dict)
    round_robin_index: int = 0
    lease: LeaseState = attrs.field(factory=LeaseState)
    orders: dict[str, OrderState] = attrs.field(factory=dict)
    intents: dict[str, OrderIntent] = attrs.field(factory=dict)
    scale_requests: dict[tuple[str, str, bool], ScaleRequest] = attrs.field(
        factory=dict
    )
    service_demands: dict[str, ServiceDemand] = attrs.field(factory=dict)
    sealing: SealingState = attrs.field(factory=SealingState)
    drain: DrainState = attrs.field(factory=DrainState)
    counters: Counter[str] = attrs.field(factory=Counter)
    metrics: MetricsState = attrs.field(factory=MetricsState)

    @classmethod
    def from_policy(cls, policy: Policy) -> "DaemonState":
        """Return the state of a process that has just started.

        Hosts begin their rotations at different places, so that after a common
        start their requests don't go to the same servers in turn.
        """
        return cls(
            policy=policy,
            usage=UsageLedger(policy.usage_window),
            round_robin_index=xxh32_intdigest(policy.host),
        )

    @property
    def is_draining(self) -> bool:
        """Whether a drain was requested."""
        return self.drain.requested_at is not None

    @property
    def all_feeds_synced(self) -> bool:
        """Whether every feed has been read at least once."""
        return all(feed.has_synced for feed in self.feeds.values())

    @property
    def has_catalogue(self) -> bool:
        """Whether every feed was read and the catalogue has entries."""
        return self.all_feeds_synced and bool(self.catalogue.entries)

    @property
    def interval_factor(self) -> float:
        """The factor by which calls to the store are spaced out.

        It is 1 up to `HOSTS_AT_BASE_INTERVAL` live hosts and grows in proportion
        above that, so that the total call rate stays constant.
        """
        return max(1.0, self.live_hosts / HOSTS_AT_BASE_INTERVAL)

    @property
    def confirmation_plan(self) -> ConfirmationPlan:
        """How this host keeps its copy of the store current."""
        return CONFIRMATION_POLICIES.find(self.policy.confirmation)()

    @property
    def is_sparing(self) -> bool:
        """Whether no promise depends on the records that daemons write."""
        if not self.confirmation_plan.is_sparing:
            return False
        is_limited = self.restrictions.count_limited() > 0
        return not self.catalogue.depends_on_records and not is_limited

    @property
    def publish_interval(self) -> float:
        """The seconds between two writes of this host's record.

        They grow with the number of hosts, so that the write rate of all hosts
        together stays bounded.
        """
        interval = self.policy.publish_interval * self.interval_factor
        if self.is_sparing:
            window = self.policy.usage_window
            return max(interval, compute_sparing_interval(window))
        return interval

    @property
    def silence_bound(self) -> float:
        """The seconds of silence after which another host counts as down.

        Hosts may learn at different times that records are needed, so a sparing plan
        always allows the longer interval of writing.
        """
        silence = self.policy.host_silence * self.interval_factor
        if self.confirmation_plan.is_sparing:
            interval = compute_sparing_interval(self.policy.usage_window)
            return max(silence, interval * MISSED_WRITES)
        return silence

    def list_live_hosts(self, now: float) -> dict[str, KnownHost]:
        """Return the other hosts that published recently and are not leaving."""
        return self.hosts.list_live(now, self.silence_bound)

    def list_claimants(self, now: float) -> dict[str, KnownHost]:
        """Return the other hosts that may use a share of the workspaces' limits.

        Without contact to the store, that is as of a time shortly after the last one.
        """
        silence = self.silence_bound
        confirmed_at = self.feeds[Feed.RECORDS].confirmed_at
        as_of = min(now, confirmed_at + silence * COVERED_FRACTION)
        return self.hosts.list_claimants(as_of, silence)

    def excuse_silence(self, unread: float) -> None:
        """Count no silence of hosts for most of a time in which nothing was read.

        `unread` is in seconds.
        """
        covered = self.silence_bound * COVERED_FRACTION
        if unread > covered:
            self.hosts.excuse_silence(unread - covered)

    def compute_catalogue_age(self, now: float) -> float:
        """Return the seconds since keys, limits and routes were last confirmed."""
        confirmed_at = self.feeds[Feed.CONFIGURATION].confirmed_at
        if not self.is_sparing:
            records = self.feeds[Feed.RECORDS]
            confirmed_at = min(confirmed_at, records.confirmed_at, records.exact_until)
        return now - confirmed_at

    def is_ready(self, now: float) -> bool:
        """Return whether the load balancer should send requests to this host."""
        is_current = self.compute_catalogue_age(now) <= self.policy.unready_after
        return self.has_catalogue and is_current and not self.is_draining

    def get_load(self, server: str) -> ServerLoad:
        """Return the load of a backend server, created on first use.

        Failures of an earlier incarnation of the server are cleared.
        """
        load = self.loads.setdefault(server, ServerLoad())
        record = self.catalogue.servers.get(server)
        if record is not None:
            load.update_incarnation(record.started_at)
        return load

    def estimate_foreign_work(self, server: str) -> ForeignWork:
        """Estimate the work of all other hosts at a backend server.

        A summary of all hosts tells it. Without one it is estimated from reports:
        hosts whose reports are missing are assumed to have as much work as those that
        reported.
        """
        if self.collecting.total.hosts:
            return self.collecting.estimate_work(server)
        reported = self.reports.totals.get(server)
        if reported is None:
            return NO_FOREIGN_WORK
        others = max(self.live_hosts - 1, len(self.reports.latest))
        return reported.scale(others / max(1, len(self.reports.latest)))

    def count_reporting_hosts(self) -> int:
        """Return from how many other hosts the work at servers is known."""
        if self.collecting.total.hosts:
            return self.collecting.total.hosts - 1
        return len(self.reports.latest)

    def compute_connection_share(self, server: str) -> int | None:
        """Return this host's connection limit to a backend server, None if unlimited.

        It is `USABLE_CONNECTION_FRACTION` of the smallest limit among the server's
        services, divided by the number of live hosts, and at least one.
        """
        record = self.catalogue.servers.get(server)
        services = record.services if record else ()
        limits = [self.catalogue.find_service(s).max_connections for s in services]
        known = [limit for limit in limits if limit is not None]
        if not known:
            return None
        return max(1, int(min(known) * USABLE_CONNECTION_FRACTION / self.live_hosts))

    def has_connection_capacity(self, server: str) -> bool:
        """Return whether this host may send another request to a backend server."""
        share = self.compute_connection_share(server)
        return share is None or self.get_load(server).outstanding < share

    def get_queue(self, entry: str) -> EntryQueue:
        """Return the queue of an entry, created on first use."""
        return self.queues.setdefault(entry, EntryQueue())

    def get_retry_budget(self, service: str) -> RetryBudget:
        """Return this host's share of a service's retry budget."""
        burst = max(1.0, self.policy.retry_slack / self.live_hosts)
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.policy.retry_ratio, burst)
            self.retry_budgets[service] = budget
        budget.set_burst(burst)
        return budget
