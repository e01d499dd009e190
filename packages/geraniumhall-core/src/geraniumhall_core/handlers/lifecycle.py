"""Timers, metrics, state dumps, reloaded settings and draining."""

from collections.abc import Iterator

from geraniumhall_core.effects import (
    EmitMetrics,
    EndProcess,
    LogField,
    Metric,
    StopListening,
    WriteDump,
    WriteLog,
)
from geraniumhall_core.events import (
    DrainRequested,
    DumpRequested,
    SettingsChanged,
    Ticked,
)
from geraniumhall_core.handlers.borrowing import expire_rounds
from geraniumhall_core.handlers.confirmations import is_reader
from geraniumhall_core.handlers.copies import confirm_copies
from geraniumhall_core.handlers.feeds import apply_deferred_deletions, use_held_back
from geraniumhall_core.handlers.grants import expire_grant_rounds
from geraniumhall_core.handlers.leases import maintain_lease, release_lease
from geraniumhall_core.handlers.limits import refresh_buckets
from geraniumhall_core.handlers.orders import reconcile_roles
from geraniumhall_core.handlers.part_records import save_parts
from geraniumhall_core.handlers.publishing import publish_host_record, write_host_record
from geraniumhall_core.handlers.quarantine import decide_crashes, prove_running
from geraniumhall_core.handlers.reducer import REDUCER
from geraniumhall_core.handlers.reports import expire_reports, report_load
from geraniumhall_core.handlers.restrictions import (
    exchange_restrictions,
    report_restrictions,
)
from geraniumhall_core.handlers.scaling import count_needed_servers, reconcile_scale
from geraniumhall_core.handlers.speeds import count_slow_engines
from geraniumhall_core.handlers.summaries import expire_summaries, send_summaries
from geraniumhall_core.handlers.unusable_objects import count_unusable
from geraniumhall_core.handlers.usage import advance_usage_sealing
from geraniumhall_core.handlers.waiting import (
    advance_waiting,
    end_requests,
    expire_waiting,
    refuse_held,
)
from geraniumhall_core.reducer import Effect
from geraniumhall_core.state import DaemonState


@REDUCER.handles(Ticked)
def advance_time(state: DaemonState, event: Ticked) -> Iterator[Effect]:
    """Run everything that is due: timeouts, control loops, metrics and the drain."""
    yield from expire_waiting(state, event.at)
    yield from prove_running(state, event.at)
    yield from decide_crashes(state, event.at)
    yield from refuse_held(state, event.at)
    yield from advance_waiting(state, event.at, event.draws)
    yield from save_parts(state, event.at)
    yield from expire_rounds(state, event.at, event.draws)
    yield from expire_grant_rounds(state, event.at, event.draws)
    yield from apply_deferred_deletions(state, event.at)
    yield from use_held_back(state, event.at)
    yield from confirm_copies(state, event.at)
    expire_reports(state, event.at)
    expire_summaries(state, event.at)
    yield from send_summaries(state, event.at)
    yield from report_restrictions(state, event.at)
    yield from exchange_restrictions(state, event.at, event.draws)
    refresh_buckets(state, event.at)
    yield from report_load(state, event.at)
    yield from publish_host_record(state, event.at, event.wall_time)
    yield from release_lease(state, event.at)
    yield from maintain_lease(state, event.at)
    yield from advance_usage_sealing(state, event.at, event.wall_time)
    yield from reconcile_scale(state, event.at)
    yield from reconcile_roles(state, event.at)
    yield from _report_metrics(state, event.at)
    yield from _advance_drain(state, event.at, event.wall_time)


@REDUCER.handles(DrainRequested)
def request_drain(state: DaemonState, event: DrainRequested) -> Iterator[Effect]:
    """Start a drain; a repeated request has no effect."""
    yield from begin_drain(state, event.at)


@REDUCER.handles(SettingsChanged)
def change_settings(state: DaemonState, event: SettingsChanged) -> Iterator[Effect]:
    """Apply a new policy to all further decisions; running requests continue."""
    state.policy = event.policy
    state.usage.window_seconds = event.policy.usage_window
    yield WriteLog(level="info", event="settings_changed")


@REDUCER.handles(DumpRequested)
def request_dump(state: DaemonState, event: DumpRequested) -> Iterator[Effect]:
    """Write a dump of the state to the log."""
    yield WriteDump()


def begin_drain(state: DaemonState, now: float) -> Iterator[Effect]:
    """Report the daemon as not ready, as the first step of a drain.

    The load balancer has `drain_grace` seconds to notice before the daemon
    stops listening.
    """
    if state.is_draining:
        return
    state.drain.requested_at = now
    running = LogField("requests", len(state.requests))
    yield WriteLog(level="info", event="drain_started", fields=(running,))


def _advance_drain(
    state: DaemonState, now: float, wall_time: float
) -> Iterator[Effect]:
    drain = state.drain
    if drain.requested_at is None or drain.ended:
        return
    if now - drain.requested_at < state.policy.drain_grace:
        return
    if not drain.stopped_listening:
        drain.stopped_listening = True
        yield StopListening()
    if not drain.has_timed_out and now - drain.requested_at >= state.policy.drain_limit:
        drain.has_timed_out = True
        yield from end_requests(state)
    is_idle = not state.requests and not state.publishing.is_calling
    if not drain.is_handing_over and is_idle and not state.lease.is_calling:
        drain.is_handing_over = True
        yield from _publish_final_record(state, now, wall_time)
    if drain.is_handing_over and drain.pending_calls <= 0:
        drain.ended = True
        yield WriteLog(level="info", event="drain_finished")
        yield EndProcess()


def _publish_final_record(
    state: DaemonState, now: float, wall_time: float
) -> Iterator[Effect]:
    """Write the host's record once more, with the final counts."""
    if state.all_feeds_synced:
        state.drain.pending_calls += 1
        yield write_host_record(state, now, wall_time)


def _compute_age(state: DaemonState, now: float) -> float:
    """Return the age of the catalogue in seconds, -1 before it was first read."""
    if not state.all_feeds_synced:
        return -1.0
    return round(state.compute_catalogue_age(now), 3)


def _report_metrics(state: DaemonState, now: float) -> Iterator[Effect]:
    metrics = state.metrics
    if now - metrics.reported_at < state.policy.metrics_interval:
        return
    metrics.reported_at = now
    increases = state.counters - metrics.reported
    metrics.reported = state.counters.copy()
    waiting = sum(queue.waiting_count for queue in state.queues.values())
    waiting += state.overload.count_waiting()
    configuration = state.catalogue.configuration
    yield EmitMetrics(
        counters=tuple(Metric(k, v) for k, v in sorted(increases.items())),
        gauges=(
            Metric("requests.open", len(state.requests)),
            Metric("requests.waiting", waiting),
            Metric("hosts.live", state.live_hosts),
            Metric("store.era", state.era.number),
            Metric("store.kept_objects", len(state.era.kept)),
            Metric("objects.unusable", count_unusable(state)),
            Metric("parts.held", state.quarantine.count_held()),
            Metric("parts.suspected", len(state.quarantine.parts)),
            Metric("engines.slow", count_slow_engines(state)),
            Metric("servers.known", len(state.catalogue.servers)),
            Metric("servers.needed", count_needed_servers(state)),
            Metric("servers.limited", state.restrictions.count_limited()),
            Metric("servers.leaving", state.restrictions.count_leaving()),
            Metric("configuration", configuration.version if configuration else 0),
            Metric("copies.reader", int(is_reader(state, now))),
            Metric("copies.age", _compute_age(state, now)),
        ),
    )
