"""Chooses who gets this host's reports, and collects those of its failure domain."""

from collections.abc import Iterator

from geraniumhall_core.effects import LogField, SendToPeers, WriteLog
from geraniumhall_core.events import PeerMessageReceived
from geraniumhall_core.handlers.peers import PEER_MESSAGE_HANDLERS
from geraniumhall_core.handlers.placement import add_prompt_use
from geraniumhall_core.handlers.speeds import add_summed_speeds
from geraniumhall_core.prefixes import PromptUse
from geraniumhall_core.reducer import Effect
from geraniumhall_core.reports import LoadReport
from geraniumhall_core.server_load import NO_FOREIGN_WORK, ForeignWork
from geraniumhall_core.state import DaemonState
from geraniumhall_core.summaries import (
    COLLECTORS_PER_DOMAIN,
    REPORTING_POLICIES,
    Member,
    Summary,
    SummaryView,
    WorkSummary,
    rank_collectors,
)

SUMMARY_INTERVAL_SECONDS = 0.15
YIELD_SECONDS = 0.6  # three lost summaries in a row, and the time of one
ASKED_SECONDS = 1.2  # two lost reports in a row at the interval of an idle host
EXPIRY_SECONDS = 1.5
MEMBERS_TTL_SECONDS = 1.0


def list_receivers(state: DaemonState, now: float) -> tuple[str, ...]:
    """Return the addresses of the hosts that get this host's reports."""
    _refresh_members(state, now)
    return state.collecting.receivers


def note_report(state: DaemonState, report: LoadReport, now: float) -> None:
    """Take a host's report, which makes this host a collector of its domain."""
    collecting = state.collecting
    _refresh_members(state, now)
    if not collecting.is_summed:
        return
    collecting.asked_at = now
    collecting.uses += report.uses
    collecting.speeds += report.speeds


def note_own_report(state: DaemonState, report: LoadReport) -> None:
    """Remember what this host told its collectors, since their sums contain it."""
    state.collecting.reported = {
        row.server: ForeignWork(row.requests, row.prompt_tokens, row.memory_tokens)
        for row in report.work
    }
    state.collecting.uses += report.uses
    state.collecting.speeds += report.speeds


@PEER_MESSAGE_HANDLERS.register(WorkSummary)
def handle_summary(
    state: DaemonState, event: PeerMessageReceived, message: WorkSummary
) -> Iterator[Effect]:
    """Store a part of the summary of all hosts, or of another failure domain."""
    collecting = state.collecting
    for use in message.uses:
        add_prompt_use(state, use, event.at)
    add_summed_speeds(state, message.speeds, event.at)
    if not message.failure_domain:
        if not _outranks_known(state, message.host, event.at):
            collecting.total.update(message, event.at)
    elif message.failure_domain != state.policy.failure_domain:
        view = collecting.domains.setdefault(message.failure_domain, SummaryView())
        view.update(message, event.at)
        collecting.foreign_uses += message.uses
        collecting.foreign_speeds += message.speeds
    yield from ()


def send_summaries(state: DaemonState, now: float) -> Iterator[Effect]:
    """Send the summary of this domain and that of all hosts, if this host collects."""
    collecting = state.collecting
    if not _is_collector(state, now):
        if collecting.is_collecting:
            collecting.is_collecting = False
            yield _log_collecting("collecting_ended", state)
        collecting.forget_news()
        return
    if not collecting.is_collecting:
        collecting.is_collecting = True
        yield _log_collecting("collecting_started", state)
    if now - collecting.sent_at < SUMMARY_INTERVAL_SECONDS:
        return
    collecting.sent_at = now
    collecting.sequence += 1
    yield from _send(state, _summarize_domain(state), state.policy.failure_domain, now)
    total = _summarize_all(state)
    yield from _send(state, total, "", now)
    collecting.forget_news()


def expire_summaries(state: DaemonState, now: float) -> None:
    """Drop the summaries that are too old to tell the work of other hosts."""
    collecting = state.collecting
    if now - collecting.total.heard_at > EXPIRY_SECONDS:
        collecting.total = SummaryView()
    for domain, view in list(collecting.domains.items()):
        if now - view.heard_at > EXPIRY_SECONDS:
            del collecting.domains[domain]


def _is_collector(state: DaemonState, now: float) -> bool:
    """Return whether hosts report here and no host before this one collects."""
    collecting = state.collecting
    if now - collecting.asked_at > ASKED_SECONDS:
        return False
    total = collecting.total
    if total.host == state.policy.host or now - total.heard_at > YIELD_SECONDS:
        return True
    return not _precedes(state, total.host, state.policy.host)


def _outranks_known(state: DaemonState, host: str, now: float) -> bool:
    """Return whether another collector is heard that comes before `host`."""
    total = state.collecting.total
    if total.host in ("", host) or now - total.heard_at > YIELD_SECONDS:
        return False
    return _precedes(state, total.host, host)


def _precedes(state: DaemonState, first: str, second: str) -> bool:
    """Return whether `first` comes before `second` among this domain's collectors."""
    ranked = state.collecting.ranked
    if first not in ranked or second not in ranked:
        return first in ranked
    return ranked.index(first) < ranked.index(second)


def _summarize_domain(state: DaemonState) -> Summary:
    """Return the work of this host and of those of its domain that report here."""
    own = {
        name: ForeignWork(load.outstanding, load.prefill_tokens, load.memory_tokens)
        for name, load in state.loads.items()
        if load.outstanding > 0
    }
    state.collecting.reported = own
    work = dict(state.reports.totals)
    for server, item in own.items():
        work[server] = work.get(server, NO_FOREIGN_WORK).add(item, 1)
    hosts = 1 + len(state.reports.latest)
    return Summary(
        hosts=hosts,
        work=work,
        uses=_list_uses(state, is_total=False),
        speeds=tuple(state.collecting.speeds),
    )


def _summarize_all(state: DaemonState) -> Summary:
    """Return the work of all hosts, as far as their domains' summaries are known."""
    domain = _summarize_domain(state)
    work = dict(domain.work)
    hosts = domain.hosts
    for view in state.collecting.domains.values():
        hosts += view.hosts
        for server, item in view.totals.items():
            work[server] = work.get(server, NO_FOREIGN_WORK).add(item, 1)
    return Summary(
        hosts=hosts,
        work=work,
        uses=_list_uses(state, is_total=True),
        speeds=domain.speeds + tuple(state.collecting.foreign_speeds),
    )


def _list_uses(state: DaemonState, is_total: bool) -> tuple[PromptUse, ...]:
    collecting = state.collecting
    return tuple(collecting.uses + (collecting.foreign_uses if is_total else []))


def _send(
    state: DaemonState, summary: Summary, failure_domain: str, now: float
) -> Iterator[Effect]:
    """Send a summary to those it is for; this host keeps that of all hosts too."""
    collecting = state.collecting
    parts = summary.split(
        state.policy.host, state.policy.incarnation, collecting.sequence, failure_domain
    )
    _refresh_members(state, now)
    addresses = (
        collecting.foreign_collectors if failure_domain else collecting.followers
    )
    for part in parts:
        if not failure_domain:
            collecting.total.update(part, now)
        if addresses:
            yield SendToPeers(addresses=addresses, message=part)


def _refresh_members(state: DaemonState, now: float) -> None:
    """Bring up to date which hosts report to which, from the hosts' records."""
    collecting = state.collecting
    if now < collecting.members_until:
        return
    collecting.members_until = now + MEMBERS_TTL_SECONDS
    own = Member(
        host=state.policy.host,
        address=state.policy.peer_address,
        failure_domain=state.policy.failure_domain,
        link_rate=state.policy.link_rate,
    )
    others = [
        Member(
            host=name,
            address=known.record.peer_address,
            failure_domain=known.record.failure_domain,
            link_rate=known.record.link_rate,
        )
        for name, known in state.list_live_hosts(now).items()
        if known.record.peer_address
    ]
    plan = REPORTING_POLICIES.find(state.policy.reporting)(own, others)
    collecting.is_summed = plan.is_summed
    collecting.receivers = tuple(item.address for item in plan.receivers)
    domains: dict[str, list[Member]] = {}
    for item in others:
        domains.setdefault(item.failure_domain, []).append(item)
    local = domains.pop(own.failure_domain, [])
    collecting.ranked = [item.host for item in rank_collectors([own, *local])]
    collecting.followers = tuple(item.address for item in local)
    collecting.foreign_collectors = tuple(
        item.address
        for name, members in domains.items()
        for item in _list_collectors(state, name, members)
    )


def _list_collectors(
    state: DaemonState, domain: str, members: list[Member]
) -> list[Member]:
    """Return the hosts of another domain that may collect there now."""
    view = state.collecting.domains.get(domain)
    heard = view.host if view else ""
    ranked = rank_collectors(members)
    first = ranked[:COLLECTORS_PER_DOMAIN]
    return first + [item for item in ranked if item.host == heard and item not in first]


def _log_collecting(event: str, state: DaemonState) -> WriteLog:
    domain = LogField("failure_domain", state.policy.failure_domain)
    return WriteLog(level="info", event=event, fields=(domain,))
