"""Host records, which hosts publish to each other through the platform's store.

Each daemon writes one record about itself, at an interval that grows with the
number of hosts, so that all hosts together stay within the store's rate limit.
The others decide by their own clocks whether a record still changes, and so
whether its host is alive.
"""

import attrs

from geraniumhall_core.limits import DemandHistory
from geraniumhall_core.records import RECORD_KINDS
from geraniumhall_core.usage import WindowUsage


@attrs.frozen
class Demand:
    """The demand of a workspace's callers at a host, in the rate's unit a second.

    `counted` is the part that the host claimed a share for when it wrote the record.
    """

    workspace: str
    rate: float
    counted: float = 0.0


@RECORD_KINDS.register("host")
@attrs.frozen(kw_only=True)
class HostRecord:
    """A daemon's record of itself; `sequence` increases with every write.

    `published_at` is in seconds since the epoch, by the clock of the daemon's host.
    `peer_address` receives messages of other hosts; it is empty if the daemon
    does not listen for them. `link_rate` is that of the host's network link in megabits
    a second, zero if unknown.
    """

    failure_domain: str
    incarnation: int
    sequence: int
    published_at: float = 0.0
    peer_address: str = ""
    link_rate: float = 0.0
    is_leaving: bool = False
    demands: tuple[Demand, ...] = ()
    usage: tuple[WindowUsage, ...] = ()


@attrs.define
class KnownHost:
    """The latest record of another host, and the demand that it published.

    `changed_at` is when the record last changed, in seconds on this host's clock. For
    `uncovered` seconds since then no records could be read.
    """

    record: HostRecord
    changed_at: float
    uncovered: float = 0.0
    demand_history: DemandHistory = attrs.field(factory=DemandHistory)


@attrs.define
class HostsView:
    """The other hosts that this daemon knows of."""

    known: dict[str, KnownHost] = attrs.field(factory=dict)

    def observe(
        self,
        name: str,
        record: HostRecord,
        now: float,
        since: float = float("-inf"),
        propagation_bound: float = 0.0,
    ) -> None:
        """Store a changed record, which was written at `since` or later.

        All times are in seconds on this host's clock; `now` is when the record
        was read. `propagation_bound` is in seconds. The first record of a host is
        dated before all others, so that its demand counts at once.
        """
        known = self.known.get(name)
        rates = {demand.workspace: demand.rate for demand in record.demands}
        if known is None:
            known = KnownHost(record, now)
            self.known[name] = known
            since = float("-inf")
        known.record = record
        known.changed_at = now
        known.uncovered = 0.0
        known.demand_history.add(rates, since, propagation_bound)

    def is_outdated(self, name: str, record: HostRecord) -> bool:
        """Return whether a record is older than the known one of the same host.

        The store has such a record if it came back from an older copy.
        """
        known = self.known.get(name)
        if known is None:
            return False
        if known.record.incarnation != record.incarnation:
            return record.published_at < known.record.published_at
        return record.sequence < known.record.sequence

    def remove(self, name: str) -> None:
        """Remove a host whose record was deleted."""
        self.known.pop(name, None)

    def list_live(self, now: float, silence: float) -> dict[str, KnownHost]:
        """Return the hosts whose records changed within `silence` seconds.

        Hosts that are leaving are left out.
        """
        return {
            name: known
            for name, known in self.known.items()
            if now - known.changed_at <= silence and not known.record.is_leaving
        }

    def list_claimants(self, now: float, silence: float) -> dict[str, KnownHost]:
        """Return the hosts that may use a share of the workspaces' limits.

        A leaving host admits requests for a while yet, and the process that starts
        again in its place does before its first record is read. Time without contact
        to the store is no silence of a host.
        """
        return {
            name: known
            for name, known in self.known.items()
            if now - known.changed_at - known.uncovered <= silence
        }

    def excuse_silence(self, seconds: float) -> None:
        """Count a time in which no records could be read as no silence."""
        for known in self.known.values():
            known.uncovered += seconds
