"""What hosts tell each other through the platform's store.

Each daemon writes one record about itself at an interval that grows with the
number of hosts, so that all hosts together stay within the store's rate. The
others judge by their own clock whether a record still changes.
"""

import attrs

from geraniumhall_core.limits import DemandHistory
from geraniumhall_core.records import RECORD_KINDS
from geraniumhall_core.usage import WindowUsage


@attrs.frozen
class Demand:
    """What callers of a workspace asked of a host, in its rate's unit a second.

    `counted` is the part of it that the host counted when it wrote this.
    """

    workspace: str
    rate: float
    counted: float = 0.0


@RECORD_KINDS.register("host")
@attrs.frozen(kw_only=True)
class HostRecord:
    """What a daemon says of itself; `sequence` rises with every write.

    `published_at` is in seconds since the epoch on the daemon's host.
    `peer_address` takes messages of other hosts; it is empty without a
    listener.
    """

    failure_domain: str
    incarnation: int
    sequence: int
    published_at: float = 0.0
    peer_address: str = ""
    is_leaving: bool = False
    demands: tuple[Demand, ...] = ()
    usage: tuple[WindowUsage, ...] = ()


@attrs.define
class KnownHost:
    """Another host's latest record, seen to change at `changed_at` seconds."""

    record: HostRecord
    changed_at: float
    demand_history: DemandHistory = attrs.field(factory=DemandHistory)


@attrs.define
class HostsView:
    """The hosts that this daemon knows of, itself left out."""

    known: dict[str, KnownHost] = attrs.field(factory=dict)

    def observe(
        self,
        name: str,
        record: HostRecord,
        now: float,
        since: float = float("-inf"),
        propagation_bound: float = 0.0,
    ) -> None:
        """Take in a record that has changed, `since` seconds at the earliest."""
        known = self.known.get(name)
        rates = {demand.workspace: demand.rate for demand in record.demands}
        if known is None:
            known = KnownHost(record, now)
            self.known[name] = known
            since = float("-inf")
        known.record = record
        known.changed_at = now
        known.demand_history.add(rates, since, propagation_bound)

    def remove(self, name: str) -> None:
        """Drop a host whose record was removed."""
        self.known.pop(name, None)

    def list_live(self, now: float, silence: float) -> dict[str, KnownHost]:
        """Return the hosts whose records changed within `silence` seconds."""
        return {
            name: known
            for name, known in self.known.items()
            if now - known.changed_at <= silence and not known.record.is_leaving
        }
