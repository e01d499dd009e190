"""What a daemon's decisions depend on besides events: its fixed policy."""

import attrs


@attrs.frozen(kw_only=True)
class Policy:
    """Fixed parameters of one daemon process; times are in seconds.

    `incarnation` differs for every process that ever ran on the host.
    """

    host: str
    failure_domain: str
    incarnation: int
    seeds: tuple[str, ...] = ()
    routing: str = "prefix_affinity"
    sharing: str = "borrow"
    stale_after: float = 5.0
    watch_wait: float = 1.0
    max_attempts: int = 3
    retry_ratio: float = 0.1
    retry_burst: float = 10.0
    suspend_base: float = 0.5
    suspend_limit: float = 15.0
    reconnect_base: float = 0.1
    reconnect_limit: float = 2.0
    drain_grace: float = 2.0
    usage_window: float = 60.0
    metrics_interval: float = 1.0
    share_delay: float = 6.0
    pull_interval: float = 1.0
    suspect_after: float = 5.0
    watchers_per_domain: int = 2
    lease_ttl: float = 9.0
    lease_margin: float = 1.0
    flush_interval: float = 10.0
    seal_grace: float = 15.0
    settle_grace: float = 30.0
    seals_kept: int = 60
    prefill_price: float = 1.0
    decode_price: float = 4.0
