"""Load reports: hosts tell their peers about their work at backend servers.

Whenever its work has changed, a host sends all of it in one datagram. The newest
report of a host replaces its earlier ones, so that lost, repeated or reordered
datagrams do no harm. Prompts sent to engines, and what attempts showed of engines'
speed, are reported once. Reports only guide
routing; no guarantee depends on them.
"""

import attrs

from geraniumhall_core.prefixes import PromptUse
from geraniumhall_core.server_load import NO_FOREIGN_WORK, ForeignWork
from geraniumhall_core.speeds import SpeedSample


@attrs.frozen
class ServerWork:
    """A host's own work in progress at a backend server.

    `prompt_tokens` are those whose prefill is still pending, and `memory_tokens`
    those that the requests keep in memory.
    """

    server: str
    requests: int
    prompt_tokens: int
    memory_tokens: int = 0


@attrs.frozen(kw_only=True)
class LoadReport:
    """A host's work at all servers; `sequence` increases with every report.

    `uses` are the prompts that it sent to engines since its last report, and `speeds`
    what its attempts showed of engines' speed since then.
    """

    host: str
    incarnation: int
    sequence: int
    work: tuple[ServerWork, ...] = ()
    uses: tuple[PromptUse, ...] = ()
    speeds: tuple[SpeedSample, ...] = ()

    @property
    def sort_key(self) -> tuple[int, int]:
        """A key by which newer reports of one host compare greater."""
        return (self.incarnation, self.sequence)


@attrs.frozen
class ReceivedReport:
    """A report and its time of receipt, in seconds on this host's clock."""

    report: LoadReport
    received_at: float


@attrs.define
class ReportsView:
    """The latest report of each other host, and their total work by server."""

    latest: dict[str, ReceivedReport] = attrs.field(factory=dict)
    totals: dict[str, ForeignWork] = attrs.field(factory=dict)

    def update(self, report: LoadReport, now: float) -> None:
        """Store a report unless a newer one of the same host is known."""
        known = self.latest.get(report.host)
        if known is not None:
            if known.report.sort_key > report.sort_key:
                return
            self._add_to_totals(known.report, -1)
        self.latest[report.host] = ReceivedReport(report, now)
        self._add_to_totals(report, 1)

    def expire(self, before: float) -> None:
        """Drop the reports received before `before` seconds on this host's clock."""
        for host, known in list(self.latest.items()):
            if known.received_at < before:
                self._add_to_totals(known.report, -1)
                del self.latest[host]

    def _add_to_totals(self, report: LoadReport, sign: int) -> None:
        for work in report.work:
            reported = ForeignWork(
                work.requests, work.prompt_tokens, work.memory_tokens
            )
            known = self.totals.get(work.server, NO_FOREIGN_WORK)
            total = known.add(reported, sign)
            self.totals[work.server] = total
            if total == NO_FOREIGN_WORK:
                del self.totals[work.server]


@attrs.define
class ReportingState:
    """State of sending this host's reports.

    `is_dirty` is true if the work has changed since the last report, which was
    sent at `sent_at` seconds on the host's clock.
    """

    sequence: int = 0
    sent_at: float = float("-inf")
    is_dirty: bool = False
