"""Summaries of the work of all hosts, made by a few of them.

If every host told every other one of its work, the number of messages would grow with
the square of the number of hosts. With the policy ``by_domain`` a host reports to the
collectors of its failure domain only. A collector sums the reports of its domain, sends
the sum to the collectors of the other domains, and the sum of all domains to the hosts
of its own. A host then knows all work at each server, some tenths of a second late.

Summaries are datagrams that may be lost, and only guide routing. Each replaces the part
of an earlier one of the same domain that has the same index.
"""

from collections.abc import Callable, Iterable, Sequence

import attrs
from xxhash import xxh32_intdigest, xxh64_intdigest

from geraniumhall_core.prefixes import PromptUse
from geraniumhall_core.registry import Registry
from geraniumhall_core.reports import ServerWork
from geraniumhall_core.server_load import NO_FOREIGN_WORK, ForeignWork
from geraniumhall_core.speeds import SpeedSample

COLLECTORS_PER_DOMAIN = 2
MAX_SAMPLED_PEERS = 16
ROWS_PER_PART = 32  # a part fits into one packet of an Ethernet link
USES_PER_PART = 16
SPEEDS_PER_PART = 8


@attrs.frozen(kw_only=True)
class Member:
    """A host that listens for messages of other hosts.

    `link_rate` is that of its network link in megabits a second, zero if unknown.
    """

    host: str
    address: str
    failure_domain: str
    link_rate: float = 0.0


@attrs.frozen(kw_only=True)
class ReportingPlan:
    """Who gets a host's reports, and whether the receivers sum them up for others."""

    receivers: tuple[Member, ...]
    is_summed: bool = False


ReportingPolicy = Callable[[Member, Sequence[Member]], ReportingPlan]
REPORTING_POLICIES: Registry[str, ReportingPolicy] = Registry("reporting policy")


@REPORTING_POLICIES.register("sampled")
def report_to_sample(own: Member, others: Sequence[Member]) -> ReportingPlan:
    """Report to a stable sample of all hosts: the baseline.

    What the hosts outside the sample do is estimated from it.
    """
    return ReportingPlan(receivers=sample_members(own.host, others))


@REPORTING_POLICIES.register("by_domain")
def report_to_collectors(own: Member, others: Sequence[Member]) -> ReportingPlan:
    """Report to the collectors of the host's own failure domain."""
    domain = [item for item in others if item.failure_domain == own.failure_domain]
    collectors = rank_collectors([own, *domain])[:COLLECTORS_PER_DOMAIN]
    receivers = tuple(item for item in collectors if item.host != own.host)
    return ReportingPlan(receivers=receivers, is_summed=True)


def sample_members(host: str, others: Sequence[Member]) -> tuple[Member, ...]:
    """Return at most `MAX_SAMPLED_PEERS` members, the same ones each time.

    Rendezvous hashing by the name of the asking host picks them.
    """
    seed = xxh64_intdigest(host)
    ranked = sorted(others, key=lambda item: xxh64_intdigest(item.host, seed=seed))
    return tuple(ranked[:MAX_SAMPLED_PEERS])


def rank_collectors(members: Iterable[Member]) -> list[Member]:
    """Return the members of one domain, those first that should collect.

    A collector sends to each host of its domain, so hosts with the fastest links come
    first; rendezvous hashing by the domain decides between equal ones.
    """

    def rank(item: Member) -> tuple[float, int]:
        seed = xxh64_intdigest(item.failure_domain)
        return -item.link_rate, xxh64_intdigest(item.host, seed=seed)

    return sorted(members, key=rank)


@attrs.frozen(kw_only=True)
class WorkSummary:
    """One part of a collector's summary of the work at servers.

    It covers the hosts of `failure_domain`, `hosts` in number, or those of all domains
    if that is empty. Part `index` of `count` has the servers whose names hash to it.
    `uses` are prompts that were sent to engines since the last summary, and `speeds`
    what attempts showed of engines' speed; they belong to no part.
    """

    host: str
    incarnation: int
    sequence: int
    failure_domain: str
    hosts: int
    index: int
    count: int
    work: tuple[ServerWork, ...] = ()
    uses: tuple[PromptUse, ...] = ()
    speeds: tuple[SpeedSample, ...] = ()


@attrs.frozen(kw_only=True)
class Summary:
    """The work of a set of hosts at each server, before it is split into parts."""

    hosts: int
    work: dict[str, ForeignWork]
    uses: tuple[PromptUse, ...] = ()
    speeds: tuple[SpeedSample, ...] = ()

    def split(
        self, host: str, incarnation: int, sequence: int, failure_domain: str
    ) -> tuple[WorkSummary, ...]:
        """Return the messages that carry the summary.

        A server stays in the part that its name hashes to while the number of parts
        stays the same, so that a lost part makes no server count twice.
        """
        by_rows = -(-len(self.work) // ROWS_PER_PART)
        by_uses = -(-len(self.uses) // USES_PER_PART)
        by_speeds = -(-len(self.speeds) // SPEEDS_PER_PART)
        count = max(1, by_rows, by_uses, by_speeds)
        rows: list[list[ServerWork]] = [[] for _ in range(count)]
        for server, work in self.work.items():
            index = xxh32_intdigest(server) % count
            rows[index].append(_build_row(server, work))
        return tuple(
            WorkSummary(
                host=host,
                incarnation=incarnation,
                sequence=sequence,
                failure_domain=failure_domain,
                hosts=self.hosts,
                index=index,
                count=count,
                work=tuple(rows[index]),
                uses=self.uses[index::count],
                speeds=self.speeds[index::count],
            )
            for index in range(count)
        )


@attrs.define
class SummaryView:
    """The newest summary of one set of hosts, from one collector.

    `heard_at` is when the latest part was received, in seconds on this host's clock;
    `totals` are the work of those hosts by server.
    """

    host: str = ""
    sort_key: tuple[int, int] = (0, 0)
    heard_at: float = float("-inf")
    hosts: int = 0
    totals: dict[str, ForeignWork] = attrs.field(factory=dict)
    parts: dict[int, tuple[ServerWork, ...]] = attrs.field(factory=dict)

    def update(self, part: WorkSummary, now: float) -> None:
        """Store a part, unless a newer summary of the same collector is known."""
        key = (part.incarnation, part.sequence)
        if part.host == self.host and key < self.sort_key:
            return
        if part.host != self.host:
            self.parts.clear()
        self.host, self.sort_key, self.heard_at = part.host, key, now
        self.hosts = part.hosts
        self.parts[part.index] = part.work
        for index in [item for item in self.parts if item >= part.count]:
            del self.parts[index]
        self.totals = sum_rows(row for rows in self.parts.values() for row in rows)


def sum_rows(rows: Iterable[ServerWork]) -> dict[str, ForeignWork]:
    """Return the total work of rows by server."""
    totals: dict[str, ForeignWork] = {}
    for row in rows:
        work = ForeignWork(row.requests, row.prompt_tokens, row.memory_tokens)
        known = totals.get(row.server)
        totals[row.server] = known.add(work, 1) if known else work
    return totals


def _build_row(server: str, work: ForeignWork) -> ServerWork:
    return ServerWork(
        server,
        round(work.requests),
        round(work.prompt_tokens),
        round(work.memory_tokens),
    )


@attrs.define
class CollectingState:
    """What a host knows from collectors, and its own state as one.

    `total` is the newest summary of all hosts, and `domains` the newest one of each
    other failure domain. `asked_at` is when a host of this domain last reported here,
    and `sent_at` when this host last sent a summary. `uses` are prompts that were
    reported since then, and `foreign_uses` those that other domains summed up; `speeds`
    and `foreign_speeds` are samples of engines' speed in the same way.
    `reported` is this host's own work as it last told its collectors, by server.

    The addresses below were derived from the hosts' records and hold until
    `members_until`: the `receivers` of this host's reports, its `followers` in its
    domain if it collects, and the `foreign_collectors`. `ranked` are the hosts of its
    domain, those first that should collect.
    """

    total: SummaryView = attrs.field(factory=SummaryView)
    domains: dict[str, SummaryView] = attrs.field(factory=dict)
    asked_at: float = float("-inf")
    sent_at: float = float("-inf")
    sequence: int = 0
    uses: list[PromptUse] = attrs.field(factory=list)
    foreign_uses: list[PromptUse] = attrs.field(factory=list)
    speeds: list[SpeedSample] = attrs.field(factory=list)
    foreign_speeds: list[SpeedSample] = attrs.field(factory=list)
    reported: dict[str, ForeignWork] = attrs.field(factory=dict)
    is_summed: bool = False
    is_collecting: bool = False
    members_until: float = float("-inf")
    receivers: tuple[str, ...] = ()
    followers: tuple[str, ...] = ()
    foreign_collectors: tuple[str, ...] = ()
    ranked: list[str] = attrs.field(factory=list)

    def forget_news(self) -> None:
        """Drop the prompts and samples that were sent on, or are not to be."""
        for news in (self.uses, self.foreign_uses, self.speeds, self.foreign_speeds):
            news.clear()

    def estimate_work(self, server: str) -> ForeignWork:
        """Return the other hosts' work at a server, by the summary of all hosts."""
        total = self.total.totals.get(server, NO_FOREIGN_WORK)
        own = self.reported.get(server, NO_FOREIGN_WORK)
        return ForeignWork(
            max(0, total.requests - own.requests),
            max(0, total.prompt_tokens - own.prompt_tokens),
            max(0, total.memory_tokens - own.memory_tokens),
        )
