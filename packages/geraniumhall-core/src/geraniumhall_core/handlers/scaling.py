"""Scales services through the platform, under the control lease."""

from collections import Counter
from collections.abc import Iterator
from math import ceil

import attrs

from geraniumhall_core.catalogue import ScaleBounds
from geraniumhall_core.effects import CallPlatform, LogField, WriteLog
from geraniumhall_core.events import PlatformAnswered
from geraniumhall_core.handlers.access import is_leaving
from geraniumhall_core.handlers.leases import (
    compute_authority_end,
    find_duty_term,
    find_held_term,
    step_down,
)
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.handlers.speeds import find_speed
from geraniumhall_core.platform import DutyAccepted, DutyFenced, ScaleService
from geraniumhall_core.purposes import ScaleDomain
from geraniumhall_core.reducer import Effect
from geraniumhall_core.scaling import (
    PEAK_HALF_LIFE_BOOTS,
    SCALING_POLICIES,
    DomainView,
    ScaleRequest,
    ServiceDemand,
    measure_busy,
)
from geraniumhall_core.state import DaemonState


def reconcile_scale(state: DaemonState, now: float) -> Iterator[Effect]:
    """Request the server counts that the policy wants, if the lease is held."""
    if find_held_term(state, now) is None:
        state.scale_requests.clear()
        state.service_demands.clear()
        return
    term = find_duty_term(state, now)
    if term is None or not state.policy.has_duties:
        return
    for name, service in state.catalogue.services.items():
        if service.scale is None:
            continue
        _observe_demand(state, name, service.scale, now)
        for domain in service.scale.prices:
            yield from _reconcile_domain(state, name, service.scale, domain, term, now)


@ANSWER_HANDLERS.register(ScaleDomain)
def handle_scale_answer(
    state: DaemonState, event: PlatformAnswered, purpose: ScaleDomain
) -> Iterator[Effect]:
    """Record whether a scale request was accepted, and when to send it again.

    A fenced request makes this host step down.
    """
    key = (purpose.service, purpose.failure_domain, purpose.reclaimable)
    scale_request = state.scale_requests.get(key)
    is_accepted = isinstance(event.answer, DutyAccepted)
    if scale_request is not None:
        scale_request.record_answer(purpose.count if is_accepted else None, event.at)
    yield WriteLog(
        level="info",
        event="servers_ordered",
        fields=(
            LogField("service", purpose.service),
            LogField("failure_domain", purpose.failure_domain),
            LogField("reclaimable", purpose.reclaimable),
            LogField("count", purpose.count),
            LogField("needed", _share_need(state, purpose.service) or 0),
            LogField("answer", str(attrs.asdict(event.answer))),
            LogField("taken", is_accepted),
        ),
    )
    if isinstance(event.answer, DutyFenced):
        yield from step_down(state, event.at)


def count_needed_servers(state: DaemonState) -> int:
    """Return the servers that all services need, zero unless this host decides it."""
    return sum(demand.needed for demand in state.service_demands.values())


def _observe_demand(
    state: DaemonState, service: str, bounds: ScaleBounds, now: float
) -> None:
    """Follow how many servers of a service are busy, by the work of all hosts."""
    names = state.catalogue.servers_by_service.get(service, ())
    serving = [name for name in names if not is_leaving(state, name)]
    demand = state.service_demands.get(service)
    if demand is None:
        demand = ServiceDemand.from_servers(len(serving), now)
        state.service_demands[service] = demand
    busy = sum(_measure_server(state, name, now) for name in serving)
    demand.observe(busy, bounds.boot_seconds * PEAK_HALF_LIFE_BOOTS, now)
    demand.decide()


def _measure_server(state: DaemonState, name: str, now: float) -> float:
    server = state.catalogue.servers[name]
    load = state.get_load(name)
    foreign = state.estimate_foreign_work(name)
    rate = state.policy.engine_read_rate * find_speed(state, name, now).prefill
    prefill = (load.prefill_tokens + foreign.prompt_tokens) / rate
    return measure_busy(load.outstanding + foreign.requests, server.slots, prefill)


def _view_domain(state: DaemonState, service: str, domain: str) -> DomainView:
    names = state.catalogue.servers_by_service.get(service, ())
    servers = [
        state.catalogue.servers[name] for name in names if not is_leaving(state, name)
    ]
    kinds = Counter(s.reclaimable for s in servers if s.failure_domain == domain)
    latest = state.scale_requests.get((service, domain, True))
    return DomainView(
        regular=kinds[False],
        reclaimable=kinds[True],
        lacks_reclaimable=latest is not None and latest.was_rejected,
        needed=_share_need(state, service),
    )


def _share_need(state: DaemonState, service: str) -> int | None:
    """Return the servers that a service needs in each failure domain.

    The need is spread evenly, so that a domain that is lost takes its share only. It is
    None for a service whose demand isn't known, or that a newer configuration dropped
    or scales nowhere.
    """
    scale = state.catalogue.find_service(service).scale
    demand = state.service_demands.get(service)
    if scale is None or not scale.prices or demand is None:
        return None
    return ceil(demand.needed / len(scale.prices))


def _reconcile_domain(
    state: DaemonState,
    service: str,
    bounds: ScaleBounds,
    domain: str,
    term: int,
    now: float,
) -> Iterator[Effect]:
    view = _view_domain(state, service, domain)
    target = SCALING_POLICIES.find(state.policy.scaling)(bounds, view)
    if target is None:
        return
    for reclaimable, count, serving in (
        (True, target.reclaimable, view.reclaimable),
        (False, target.regular, view.regular),
    ):
        key = (service, domain, reclaimable)
        scale_request = state.scale_requests.setdefault(key, ScaleRequest())
        scale_request.observe_servers(serving)
        if not scale_request.is_due(count, serving, bounds.boot_seconds, now):
            continue
        scale_request.is_calling = True
        yield CallPlatform(
            purpose=ScaleDomain(service, domain, reclaimable, count),
            message=ScaleService(
                host=state.policy.host,
                fencing_token=term,
                service=service,
                failure_domain=domain,
                count=count,
                reclaimable=reclaimable,
            ),
            expires_at=compute_authority_end(state),
        )
