"""Publishes this host's record and applies the records of other hosts."""

from collections.abc import Iterator
from math import floor

from xxhash import xxh32_intdigest

from geraniumhall_core.effects import CallPlatform
from geraniumhall_core.events import PlatformAnswered
from geraniumhall_core.handlers.access import refresh_membership
from geraniumhall_core.handlers.confirmations import (
    WRITE_RETRY_SECONDS,
    compute_write_delay,
)
from geraniumhall_core.handlers.eras import ERA_HANDLERS
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.hosts import Demand, HostRecord
from geraniumhall_core.limits import DemandMeter
from geraniumhall_core.platform import Changes, Conflict, Listing, PutObject, Written
from geraniumhall_core.purposes import SEALS_KEY, PublishHost
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.reducer import Effect
from geraniumhall_core.state import DaemonState

HOST_KIND = "host"
MIN_PUBLISHED_DEMAND = 0.01  # a second, in the unit of the workspace's rate


def publish_host_record(
    state: DaemonState, now: float, wall_time: float
) -> Iterator[Effect]:
    """Write this host's record when it is due."""
    publishing = state.publishing
    if publishing.is_calling or now < publishing.next_call_at:
        return
    if publishing.awaits_listing or not state.all_feeds_synced:
        return
    yield write_host_record(state, now, wall_time)


def _find_next_slot(state: DaemonState, now: float, wall_time: float) -> float:
    """Return the next time after `now` at which this host's record is due.

    Each host has its own place in the interval, by its name. Hosts that started
    together, or that reached the store again together, would otherwise all write at
    the same moment, and every host would read all records in one long answer.
    """
    if state.is_sparing:
        return now + compute_write_delay(state, wall_time)
    interval = state.publish_interval
    place = xxh32_intdigest(state.policy.host) / 2**32 * interval
    return place + (floor((now - place) / interval) + 1) * interval


def write_host_record(state: DaemonState, now: float, wall_time: float) -> CallPlatform:
    """Return the effect that writes this host's current record."""
    publishing = state.publishing
    publishing.is_calling = True
    publishing.next_call_at = _find_next_slot(state, now, wall_time)
    publishing.sequence += 1
    rates = {
        name: round(meter.read(now), 3) for name, meter in state.demand_meters.items()
    }
    record = _build_host_record(state, rates, now, wall_time)
    publishing.unconfirmed.append(rates)
    message = PutObject(_build_own_key(state), record, publishing.version)
    return CallPlatform(purpose=PublishHost(publishing.sequence), message=message)


@ANSWER_HANDLERS.register(PublishHost)
def handle_host_published(
    state: DaemonState, event: PlatformAnswered, purpose: PublishHost
) -> Iterator[Effect]:
    """Record the version that the next write must expect.

    If the answer to a write is lost, the next write conflicts, and the conflict
    carries the current version.
    """
    publishing = state.publishing
    publishing.is_calling = False
    if state.drain.is_handing_over:
        state.drain.pending_calls -= 1
    if isinstance(event.answer, Written):
        publishing.version = event.answer.version
        publishing.confirm(event.at, state.policy.stale_after)
    elif isinstance(event.answer, Conflict):
        publishing.version = event.answer.version
        publishing.next_call_at = event.at
    elif state.is_sparing:
        retry_at = event.at + WRITE_RETRY_SECONDS
        publishing.next_call_at = min(publishing.next_call_at, retry_at)
    yield from ()


def restore_from_record(
    state: DaemonState, answer: Listing | Changes, now: float
) -> None:
    """Restore version, usage and demand from an earlier process's record.

    The other hosts still count the demand published there as this host's.
    """
    objects = answer.objects if isinstance(answer, Listing) else answer.changes
    own_key = _build_own_key(state)
    for item in objects:
        if item.key == own_key and item.record is not DELETED:
            state.publishing.version = item.version
            state.usage.restore(item.record.usage)
            _restore_demand(state, item.record, now)


@ERA_HANDLERS.register("host record")
def suspend_publishing(state: DaemonState, event: PlatformAnswered) -> Iterator[Effect]:
    """Wait with this host's record for the listing of the new era.

    Rates that other hosts may not have read before the store lost them count as not
    published.
    """
    publishing = state.publishing
    publishing.version = state.era.absent_version
    publishing.awaits_listing = True
    publishing.forget_recent(event.at, state.policy.stale_after)
    yield from ()


def resume_publishing(
    state: DaemonState, listed: list[VersionedRecord], now: float
) -> None:
    """Write this host's record again at its next turn, or earlier if that is far off.

    All hosts learn of the era at the same time, so each keeps to a place of its own.
    """
    own_key = _build_own_key(state)
    for item in listed:
        if item.key == own_key and item.record is not DELETED:
            state.publishing.version = item.version
    state.publishing.awaits_listing = False
    place = xxh32_intdigest(state.policy.host) / 2**32
    spread = state.policy.publish_interval * state.interval_factor
    if state.publishing.next_call_at > now + spread:
        state.publishing.next_call_at = now + place * spread


def select_newer_hosts(
    state: DaemonState, listed: list[VersionedRecord]
) -> list[VersionedRecord]:
    """Return the records without those of hosts that this host knows later ones of."""
    return [
        item
        for item in listed
        if item.key.kind != HOST_KIND
        or item.record is DELETED
        or not state.hosts.is_outdated(item.key.name, item.record)
    ]


def discard_sealed_usage(state: DaemonState, changes: list[VersionedRecord]) -> None:
    """Discard the usage of sealed windows, so that it is no longer published."""
    for item in changes:
        if item.key == SEALS_KEY and item.record is not DELETED:
            state.usage.observe_seals(item.record)


def observe_hosts(
    state: DaemonState,
    changes: list[VersionedRecord],
    listed: set[ObjectKey] | None,
    now: float,
    since: float,
) -> None:
    """Apply the records of other hosts.

    `since` is when the previous copy was confirmed, in seconds; the records
    can't have changed before it. Hosts missing from a listing are removed; `listed`
    holds what it names, and is None for a watch and for the copy of a new era.
    """
    for item in changes:
        if item.key.kind != HOST_KIND or item.key.name == state.policy.host:
            continue
        if item.record is DELETED:
            state.hosts.remove(item.key.name)
        else:
            propagation_bound = state.policy.stale_after
            state.hosts.observe(
                item.key.name, item.record, now, since, propagation_bound
            )
    if listed is not None:
        for name in list(state.hosts.known):
            if ObjectKey(HOST_KIND, name) not in listed:
                state.hosts.remove(name)
    state.live_hosts = 1 + len(state.list_live_hosts(now))
    refresh_membership(state, now)
    state.foreign_demand.valid_until = now
    state.buckets_due_at = now


def _restore_demand(state: DaemonState, record: HostRecord, now: float) -> None:
    """Restore the demand that an earlier process published.

    What that process had counted counts at once. The published rates
    count only after the propagation bound.
    """
    propagation_bound = state.policy.stale_after
    history = state.publishing.demand_history
    counted = {
        demand.workspace: min(demand.counted, demand.rate) for demand in record.demands
    }
    history.add(counted, now - propagation_bound, propagation_bound)
    rates = {demand.workspace: demand.rate for demand in record.demands}
    history.add(rates, now, propagation_bound)
    for name, rate in rates.items():
        state.demand_meters[name] = DemandMeter(rate, now)


def _build_host_record(
    state: DaemonState, rates: dict[str, float], now: float, wall_time: float
) -> HostRecord:
    propagation_bound = state.policy.stale_after
    publishing = state.publishing
    return HostRecord(
        failure_domain=state.policy.failure_domain,
        incarnation=state.policy.incarnation,
        sequence=state.publishing.sequence,
        published_at=round(wall_time, 3),
        peer_address=state.policy.peer_address,
        link_rate=state.policy.link_rate,
        is_leaving=state.is_draining,
        demands=tuple(
            Demand(
                name,
                rate,
                round(
                    publishing.compute_counted_demand(name, now, propagation_bound), 3
                ),
            )
            for name, rate in rates.items()
            if rate > MIN_PUBLISHED_DEMAND
        ),
        usage=state.usage.list_windows(),
    )


def _build_own_key(state: DaemonState) -> ObjectKey:
    return ObjectKey(HOST_KIND, state.policy.host)
