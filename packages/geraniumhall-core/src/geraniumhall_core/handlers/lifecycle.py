"""Time, metrics, dumps and the planned stop of the process."""

from collections.abc import Iterator
from math import inf

from geraniumhall_core.effects import (
    EmitMetrics,
    EndProcess,
    LogField,
    Metric,
    StopListening,
    WriteDump,
    WriteLog,
)
from geraniumhall_core.events import DrainRequested, DumpRequested, Ticked
from geraniumhall_core.handlers.attempts import expire_waiting
from geraniumhall_core.handlers.catalogue import resume_sync
from geraniumhall_core.handlers.housekeeping import tend_hosts
from geraniumhall_core.handlers.leases import give_up_leases, tend_leases
from geraniumhall_core.handlers.membership import (
    note_joined,
    pull_from_peers,
    unregister_host,
)
from geraniumhall_core.handlers.orders import tend_orders
from geraniumhall_core.handlers.purchases import tend_purchases
from geraniumhall_core.handlers.reducer import REDUCER
from geraniumhall_core.handlers.sealing import tend_sealing
from geraniumhall_core.handlers.usage import flush_usage, settle_usage
from geraniumhall_core.reducer import Effect
from geraniumhall_core.state import DaemonState


@REDUCER.handles(Ticked)
def advance_time(state: DaemonState, event: Ticked) -> Iterator[Effect]:
    """Expire waiting requests, report metrics and go on with a planned stop."""
    yield from expire_waiting(state, event.at)
    yield from resume_sync(state, event.at)
    yield from pull_from_peers(state, event.at)
    yield from note_joined(state)
    yield from tend_leases(state, event.at)
    yield from flush_usage(state, event.at, event.wall_time)
    yield from settle_usage(state, event.at, event.wall_time)
    yield from tend_sealing(state, event.at)
    yield from tend_orders(state, event.at)
    yield from tend_purchases(state, event.at)
    yield from tend_hosts(state, event.at)
    yield from _report_metrics(state, event.at)
    yield from _advance_drain(state, event.at)


@REDUCER.handles(DrainRequested)
def request_drain(state: DaemonState, event: DrainRequested) -> Iterator[Effect]:
    """Begin a planned stop; a second request changes nothing."""
    yield from begin_drain(state, event.at)


@REDUCER.handles(DumpRequested)
def request_dump(state: DaemonState, event: DumpRequested) -> Iterator[Effect]:
    """Write the state to the log."""
    yield WriteDump()


def begin_drain(state: DaemonState, now: float) -> Iterator[Effect]:
    """Turn readiness off; the balancer has `drain_grace` seconds to notice."""
    if state.is_draining:
        return
    state.drain.requested_at = now
    running = LogField("requests", len(state.requests))
    yield WriteLog(level="info", event="drain_started", fields=(running,))


def _advance_drain(state: DaemonState, now: float) -> Iterator[Effect]:
    drain = state.drain
    if drain.requested_at is None or drain.ended:
        return
    if now - drain.requested_at < state.policy.drain_grace:
        return
    if not drain.stopped_listening:
        drain.stopped_listening = True
        yield StopListening()
    if not drain.is_handing_over and not state.requests:
        drain.is_handing_over = True
        yield from _hand_over(state, now)
    if drain.is_handing_over and not drain.pending_calls and not _is_flushing(state):
        drain.ended = True
        yield WriteLog(level="info", event="drain_finished")
        yield EndProcess()


def _hand_over(state: DaemonState, now: float) -> Iterator[Effect]:
    """Write the last counts, and give up leases and registration."""
    yield from flush_usage(state, now, inf)
    calls = [*give_up_leases(state, now), *unregister_host(state)]
    state.drain.pending_calls = len(calls)
    yield from calls


def _is_flushing(state: DaemonState) -> bool:
    """Tell whether counts are still on their way to the platform."""
    windows = state.usage.windows.values()
    has_failed = state.platform_failures > 0
    return any(w.is_calling for w in windows) and not has_failed


def _report_metrics(state: DaemonState, now: float) -> Iterator[Effect]:
    metrics = state.metrics
    if now - metrics.reported_at < state.policy.metrics_interval:
        return
    metrics.reported_at = now
    increases = state.counters - metrics.reported
    metrics.reported = state.counters.copy()
    waiting = sum(queue.waiting_count for queue in state.queues.values())
    yield EmitMetrics(
        counters=tuple(Metric(k, v) for k, v in sorted(increases.items())),
        gauges=(
            Metric("requests.open", len(state.requests)),
            Metric("requests.waiting", waiting),
            Metric("catalogue.revision", state.catalogue.revision),
        ),
    )
