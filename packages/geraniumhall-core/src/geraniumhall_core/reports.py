"""Load reports: what hosts tell each other of their work at backend servers.

A host sends its whole work to its peers whenever that has changed, as one
datagram. The newest report of a host replaces its earlier ones, so that loss,
repetition and order do not matter. Nothing that must hold depends on them.
"""

import attrs

from geraniumhall_core.server_load import ForeignWork


@attrs.frozen
class ServerWork:
    """A host's own work at a backend server.

    `prompt_tokens` are those that the server still has to read.
    """

    server: str
    requests: int
    prompt_tokens: int


@attrs.frozen(kw_only=True)
class LoadReport:
    """A host's work at all servers; `sequence` rises with every report."""

    host: str
    incarnation: int
    sequence: int
    work: tuple[ServerWork, ...] = ()

    @property
    def sort_key(self) -> tuple[int, int]:
        """Newer reports of one host compare greater."""
        return (self.incarnation, self.sequence)


@attrs.frozen
class ReceivedReport:
    """A report and when it came, in seconds on this host's clock."""

    report: LoadReport
    received_at: float


@attrs.define
class ReportsView:
    """The newest reports of other hosts, and the sum of their work by server."""

    latest: dict[str, ReceivedReport] = attrs.field(factory=dict)
    totals: dict[str, ForeignWork] = attrs.field(factory=dict)

    def update(self, report: LoadReport, now: float) -> None:
        """Take in a report unless a newer one of its host is known."""
        known = self.latest.get(report.host)
        if known is not None:
            if known.report.sort_key > report.sort_key:
                return
            self._add_to_totals(known.report, -1)
        self.latest[report.host] = ReceivedReport(report, now)
        self._add_to_totals(report, 1)

    def expire(self, before: float) -> None:
        """Forget the hosts that were last heard before a moment."""
        for host, known in list(self.latest.items()):
            if known.received_at < before:
                self._add_to_totals(known.report, -1)
                del self.latest[host]

    def _add_to_totals(self, report: LoadReport, sign: int) -> None:
        for work in report.work:
            known = self.totals.get(work.server, ForeignWork())
            total = ForeignWork(
                known.requests + sign * work.requests,
                known.prompt_tokens + sign * work.prompt_tokens,
            )
            self.totals[work.server] = total
            if total == ForeignWork():
                del self.totals[work.server]


@attrs.define
class ReportingState:
    """When this host sent its last report, and whether its work has changed."""

    sequence: int = 0
    sent_at: float = float("-inf")
    is_dirty: bool = False
