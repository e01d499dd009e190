"""Exchanges load reports with other hosts."""

from collections.abc import Iterator

from geraniumhall_core.effects import SendToPeers
from geraniumhall_core.events import PeerMessageReceived
from geraniumhall_core.handlers.peers import PEER_MESSAGE_HANDLERS
from geraniumhall_core.handlers.placement import add_prompt_use, forget_removed_engines
from geraniumhall_core.handlers.speeds import add_speed_sample, forget_removed_speeds
from geraniumhall_core.handlers.summaries import (
    list_receivers,
    note_own_report,
    note_report,
)
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
    """Store the load report of another host, its prompts and its samples of speed."""
    state.reports.update(message, event.at)
    note_report(state, message, event.at)
    for use in message.uses:
        add_prompt_use(state, use, event.at)
    for sample in message.speeds:
        add_speed_sample(state, sample, event.at)
    yield from ()


def report_load(state: DaemonState, now: float) -> Iterator[Effect]:
    """Send a load report to the peers if the load changed or a report is due.

    Reports are repeated every `MAX_INTERVAL_SECONDS`, because a datagram may
    be lost. The minimum interval grows with the number of hosts, because a
    single request then matters less.
    """
    reporting = state.reporting
    age = now - reporting.sent_at
    interval_factor = max(1.0, state.live_hosts / HOSTS_AT_MIN_INTERVAL)
    is_due = reporting.is_dirty and age >= MIN_INTERVAL_SECONDS * interval_factor
    if not state.policy.peer_address or not (is_due or age >= MAX_INTERVAL_SECONDS):
        return
    reporting.sent_at = now
    reporting.is_dirty = False
    reporting.sequence += 1
    report = _build_load_report(state)
    note_own_report(state, report)
    peers = list_receivers(state, now)
    if peers:
        yield SendToPeers(addresses=peers, message=report)


def expire_reports(state: DaemonState, now: float) -> None:
    """Drop the reports of hosts that have not sent one for `EXPIRY_SECONDS`.

    What was inferred of engines that are gone is dropped too.
    """
    state.reports.expire(now - EXPIRY_SECONDS)
    forget_removed_engines(state, now)
    forget_removed_speeds(state)


def _build_load_report(state: DaemonState) -> LoadReport:
    work = [
        ServerWork(name, load.outstanding, load.prefill_tokens, load.memory_tokens)
        for name, load in state.loads.items()
        if load.outstanding > 0
    ]
    return LoadReport(
        host=state.policy.host,
        incarnation=state.policy.incarnation,
        sequence=state.reporting.sequence,
        work=tuple(work),
        uses=state.prefix_caches.take_unreported(),
        speeds=state.speeds.take_unreported(),
    )
