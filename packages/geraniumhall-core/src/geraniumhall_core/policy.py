"""The policy: parameters that a daemon's decisions depend on besides events."""

import attrs

from geraniumhall_core.limits import RateTolerance


@attrs.frozen(kw_only=True)
class Policy:
    """Parameters of one daemon process; times are in seconds.

    They change only when the settings are reloaded. `incarnation` is unique among
    all processes that have run on the host. Fields that come from settings are
    documented there, with their sources. `checks_fencing` is true if the platform
    rejects duty calls with an old fencing token.
    """

    host: str
    failure_domain: str
    incarnation: int
    peer_address: str = ""
    has_duties: bool = True
    checks_fencing: bool = True
    routing: str = "prefix_affinity"
    planning: str = "earliest_answer"
    scaling: str = "none"
    sharing: str = "few_hosts"
    places: str = "largest_first"
    returns: str = "spread"
    full_returns: str = "at_once"
    admission: str = "queue_bound"
    room: str = "unlimited"
    urgency: str = "priority"
    speeds: str = "uniform"
    confirmation: str = "store"
    reporting: str = "sampled"
    link_rate: float = 0.0
    holding: str = "repeated_crash"
    first_hold: float = 15.0
    engine_read_rate: float = 80_000.0
    stale_after: float = 5.0
    unready_after: float = 3.0
    watch_wait: float = 1.0
    servers_max_pause: float = 0.8
    publish_interval: float = 1.0
    host_silence: float = 4.0
    rate_tolerance: RateTolerance = RateTolerance()
    max_attempts: int = 3
    retry_ratio: float = 0.1
    retry_slack: float = 10.0
    suspend_base: float = 0.5
    suspend_limit: float = 15.0
    max_closed: float = 600.0
    reconnect_base: float = 0.1
    reconnect_limit: float = 1.0
    drain_grace: float = 2.0
    drain_limit: float = 7.0
    lapse_grace: float = 2.0
    min_lapse_outage: float = 2.4
    usage_window: float = 60.0
    seal_grace: float = 15.0
    metrics_interval: float = 1.0
    lease_ttl: float = 9.0
    lease_margin: float = 1.0
    prefill_price: float = 1.0
    decode_price: float = 4.0
