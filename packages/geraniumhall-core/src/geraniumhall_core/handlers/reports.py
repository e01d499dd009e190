"""Sends load reports to other hosts, and takes in theirs."""

from collections.abc import Iterator

from geraniumhall_core.effects import SendToPeers
from geraniumhall_core.events import PeerMessageReceived
from geraniumhall_core.handlers.peers import PEER_MESSAGE_HANDLERS, list_peers
from geraniumhall_core.reducer import Effect
from geraniumhall_core.reports import LoadReport, ServerWork
from geraniumhall_core.state import DaemonState

MIN_INTERVAL_SECONDS = 0.02
HOSTS_AT_MIN_INTERVAL = 12
MAX_INTERVAL_SECONDS = 0.5
EXPIRY_SECONDS = 1.5


@PEER_MESSAGE_HANDLERS.register(LoadReport)
def handle_load_report(
    state: DaemonState, event: PeerMessageReceived, message: LoadReport
) -> Iterator[Effect]:
    """Take in another host's report."""
    state.reports.update(message, event.at)
    yield from ()


def report_load(state: DaemonState, now: float) -> Iterator[Effect]:
    """Tell the peers of this host's work if it has changed.

    A report is repeated after a while, in case the last one was lost. The more
    hosts there are, the less one request matters, and the rarer are reports.
    """
    reporting = state.reporting
    age = now - reporting.sent_at
    groups = max(1.0, state.live_hosts / HOSTS_AT_MIN_INTERVAL)
    is_due = reporting.is_dirty and age >= MIN_INTERVAL_SECONDS * groups
    if not state.policy.peer_address or not (is_due or age >= MAX_INTERVAL_SECONDS):
        return
    reporting.sent_at = now
    reporting.is_dirty = False
    reporting.sequence += 1
    peers = tuple(list_peers(state, now).values())
    if peers:
        yield SendToPeers(addresses=peers, message=_build_load_report(state))


def expire_reports(state: DaemonState, now: float) -> None:
    """Forget the hosts that have been silent for a while."""
    state.reports.expire(now - EXPIRY_SECONDS)


def _build_load_report(state: DaemonState) -> LoadReport:
    work = [
        ServerWork(name, load.outstanding, load.prefill_tokens)
        for name, load in state.loads.items()
        if load.outstanding > 0
    ]
    return LoadReport(
        host=state.policy.host,
        incarnation=state.policy.incarnation,
        sequence=state.reporting.sequence,
        work=tuple(work),
    )
