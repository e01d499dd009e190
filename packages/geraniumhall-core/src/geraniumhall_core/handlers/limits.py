"""Enforces the workspaces' rate limits across all hosts."""

from geraniumhall_core.catalogue import RateUnit, Workspace
from geraniumhall_core.limits import DemandMeter, Share, TokenBucket, compute_fraction
from geraniumhall_core.refusals import RATE_EXCEEDED, Refusal
from geraniumhall_core.requests import CallerRequest, RequestRecord
from geraniumhall_core.state import DaemonState, ForeignDemand

EXCESS_RATE_FRACTION = 0.4  # of the tolerated excess
EXCESS_OVERDRAFT_FRACTION = 0.35  # of the tolerated excess
FOREIGN_DEMAND_TTL_SECONDS = 0.25


def compute_cost(workspace: Workspace | None, request: CallerRequest) -> float:
    """Return what a request costs in the unit of its workspace's rate.

    If the unit is tokens, that is the prompt and the most that may be generated,
    or the workspace's `plain_tokens` if the request states neither.
    """
    if workspace is None or workspace.unit is RateUnit.REQUESTS:
        return 1.0
    tokens = request.prompt_tokens + request.max_tokens
    return float(tokens or workspace.plain_tokens)


def spend_tokens(
    state: DaemonState, name: str, cost: float, now: float, is_new: bool = True
) -> Refusal | None:
    """Take a request's cost from this host's bucket, or return a refusal.

    With `is_new` the cost also counts as demand, once for each request.
    """
    workspace = state.catalogue.workspaces.get(name)
    if workspace is None or workspace.rate is None:
        return None
    if is_new:
        state.demand_meters.setdefault(name, DemandMeter()).add(cost, now)
    bucket = _refresh_bucket(state, name, workspace, now)
    if bucket.try_spend(cost, now):
        return None
    wait = bucket.seconds_until(cost)
    refusal = RATE_EXCEEDED.with_reason(
        f"the workspace {name!r} is over its rate: this host's share is"
        f" {bucket.share.rate:.0f} of {workspace.rate:.0f} a second, of which"
        f" {bucket.tokens:.0f} are left; {state.foreign_demand.hosts + 1} hosts have"
        f" shares, {state.live_hosts} are live"
    )
    return refusal if wait is None else refusal.with_retry_after(wait)


def refresh_buckets(state: DaemonState, now: float) -> None:
    """Resize all buckets by the catalogue and the other hosts' demand.

    The first buckets of a process start with the overdraft used, so that a restart
    grants neither a second burst nor a second overdraft. Buckets of workspaces added
    later start full, because such a workspace is new on every host.
    """
    if now < state.buckets_due_at or not state.all_feeds_synced:
        return
    state.buckets_due_at = now + FOREIGN_DEMAND_TTL_SECONDS
    for name, workspace in state.catalogue.workspaces.items():
        if workspace.rate is not None:
            _refresh_bucket(state, name, workspace, now)
    for name in [n for n in state.buckets if n not in state.catalogue.workspaces]:
        del state.buckets[name]
        state.demand_meters.pop(name, None)
    state.has_buckets = True


def refund_cost(state: DaemonState, record: RequestRecord) -> None:
    """Refund the cost of a request that did not run."""
    bucket = state.buckets.get(record.workspace)
    if bucket is not None:
        bucket.refund(record.cost)


def _refresh_bucket(
    state: DaemonState, name: str, workspace: Workspace, now: float
) -> TokenBucket:
    share = _compute_share(state, name, workspace, now)
    bucket = state.buckets.get(name)
    if bucket is None:
        initial = share.burst if state.has_buckets else -share.overdraft
        bucket = TokenBucket(share, now, initial)
        state.buckets[name] = bucket
    elif bucket.share != share:
        bucket.resize(share, now)
    return bucket


def _compute_share(
    state: DaemonState, name: str, workspace: Workspace, now: float
) -> Share:
    propagation_bound = state.policy.stale_after
    own = state.publishing.compute_counted_demand(name, now, propagation_bound)
    foreign = _collect_foreign_demand(state, now)
    others = foreign.rates.get(name, [])
    silent = [0.0] * max(0, foreign.hosts - len(others))
    fraction = compute_fraction(own, [*others, *silent])
    return _compute_fleet_limit(state, workspace).scale(fraction)


def _compute_fleet_limit(state: DaemonState, workspace: Workspace) -> Share:
    """Return the limit of a workspace over all hosts together.

    Requests differ widely in tokens, and hosts learn of each other's demand
    with a delay. Token limits therefore use part of the excess that the
    platform tolerates: one part raises the rate, another is an overdraft.
    """
    assert workspace.rate is not None
    rate, burst = workspace.rate, workspace.burst
    tolerance = state.policy.rate_tolerance
    if workspace.unit is not RateUnit.TOKENS or not tolerance.window:
        return Share(rate, burst)
    excess = tolerance.compute_excess(rate, burst)
    extra_rate = excess * EXCESS_RATE_FRACTION / tolerance.window
    return Share(rate + extra_rate, burst, excess * EXCESS_OVERDRAFT_FRACTION)


def _collect_foreign_demand(state: DaemonState, now: float) -> ForeignDemand:
    """Return the demand of the other hosts that may use a share.

    The result is cached for `FOREIGN_DEMAND_TTL_SECONDS`. It is computed for
    the end of that time, so that it includes the increases that the hosts may
    count by then.
    """
    foreign = state.foreign_demand
    if now < foreign.valid_until:
        return foreign
    foreign.valid_until = now + FOREIGN_DEMAND_TTL_SECONDS
    foreign.rates = {}
    propagation_bound = state.policy.stale_after
    claimants = state.list_claimants(now)
    foreign.hosts = len(claimants)
    for host in claimants.values():
        for demand in host.record.demands:
            counted = host.demand_history.compute_counted(
                demand.workspace, foreign.valid_until, propagation_bound
            )
            foreign.rates.setdefault(demand.workspace, []).append(counted)
    return foreign
