"""Settings of a daemon process, loaded from a YAML file and validated."""

from collections.abc import Callable
from ipaddress import ip_address
from pathlib import Path
from typing import Any

import attrs
import yaml
from attrs import validators

from geraniumhall_core.buffers import MEMORY_POLICIES
from geraniumhall_core.catalogue import EDITABLE_KINDS
from geraniumhall_core.confirmations import CONFIRMATION_POLICIES
from geraniumhall_core.holding import HOLD_POLICIES
from geraniumhall_core.limits import RateTolerance
from geraniumhall_core.overload import ADMISSION_POLICIES
from geraniumhall_core.places import PLACE_POLICIES
from geraniumhall_core.planning import PLANNING_POLICIES
from geraniumhall_core.policy import Policy
from geraniumhall_core.records import RECORD_KINDS, ObjectKey
from geraniumhall_core.registry import Registry
from geraniumhall_core.returns import RETURN_POLICIES
from geraniumhall_core.room import ROOM_POLICIES
from geraniumhall_core.routing import ROUTING_POLICIES
from geraniumhall_core.scaling import SCALING_POLICIES
from geraniumhall_core.sharing import SHARING_POLICIES
from geraniumhall_core.speeds import SPEED_POLICIES
from geraniumhall_core.summaries import REPORTING_POLICIES
from geraniumhall_core.urgency import URGENCY_POLICIES
from geraniumhall_wire.converter import (
    FieldViolation,
    InvalidDataError,
    build_converter,
    structure,
)
from geraniumhall_wire.units import Address, ByteCount, Seconds, register_units

MAX_PORT = 65535
STALE_AFTER_FRACTION = 0.9  # of the revocation bound
UNREADY_AFTER_FRACTION = 0.5  # of the revocation bound
RETRY_BUDGET_FRACTION = 0.6  # of the ratio and slack of retries
# A registration expires three heartbeats after one, so at least two must be missed.
MIN_LAPSE_HEARTBEATS = 2
SERVERS_PAUSE_FRACTION = 0.4  # of the drain bound; a call and a request need the rest
DRAIN_GRACE_FRACTION = 0.35  # of the grace, given to load balancers to notice
DRAIN_LIMIT_FRACTION = 0.9  # of the grace; answers and the last record need the rest


@attrs.frozen
class SettingsError(Exception):
    """Raised when a settings file is invalid; names the file and the violations."""

    file: str
    violations: tuple[FieldViolation, ...]

    def __str__(self) -> str:
        return "\n".join(f"{self.file}: {violation}" for violation in self.violations)


def _check_registered(registry: Registry[str, Any]) -> Callable[..., None]:
    def check(instance: Any, attribute: attrs.Attribute, value: str) -> None:
        registry.find(value)

    return check


@attrs.frozen(kw_only=True)
class HostSettings:
    """Identity of the host, and what one of its processes may use.

    `memory` is the size at which the process is ended; a part of it is for what is held
    for connections. `max_descriptors` is the process's limit of descriptors; at zero it
    is the one that the system states.
    """

    name: str = attrs.field(validator=validators.min_len(1))
    failure_domain: str = attrs.field(validator=validators.min_len(1))
    memory: ByteCount = attrs.field(
        default=ByteCount(160 * 2**20), validator=validators.gt(ByteCount(0))
    )
    max_descriptors: int = attrs.field(default=0, validator=validators.ge(0))


@attrs.frozen(kw_only=True)
class CallerSettings:
    """Listener for callers: the front that they use, and its limits.

    A request must arrive within `read_timeout` of its first bytes. A connection
    without a request is closed after `idle_timeout`. The operators'
    configuration takes precedence for `max_head`, `max_body` and
    `idle_timeout`.

    While a body is incomplete, `min_progress` bytes of it must arrive in every
    `progress_window`. Bodies in very small chunks are parsed at `max_chunk_rate` chunks
    a second for all connections together. `memory` is the budget for what is held for
    connections, a quarter of the host's memory if it is zero, and `memory_policy`
    decides who waits, is refused or is closed when it is used up. Of one address at
    most `max_per_address` connections are open, or any number if it is zero, since a
    load balancer may forward all callers from one. At `max_connections`, half of the
    descriptors that are left for connections, or half of `memory` by 16 KiB, a stalled
    or idle one yields to a new one.
    """

    front: str = "openai"
    listen: Address = Address("127.0.0.1:8080")
    max_connections: int = attrs.field(default=4096, validator=validators.ge(1))
    max_head: ByteCount = ByteCount(32 * 2**10)
    max_body: ByteCount = ByteCount(8 * 2**20)
    read_timeout: Seconds = Seconds(30.0)
    idle_timeout: Seconds = Seconds(60.0)
    min_progress: ByteCount = ByteCount(2**10)
    progress_window: Seconds = attrs.field(
        default=Seconds(12.0), validator=validators.gt(Seconds(0))
    )
    max_chunk_rate: float = attrs.field(default=20_000.0, validator=validators.gt(0))
    memory: ByteCount = ByteCount(0)
    memory_policy: str = attrs.field(
        default="stalled_first", validator=_check_registered(MEMORY_POLICIES)
    )
    max_per_address: int = attrs.field(default=0, validator=validators.ge(0))


@attrs.frozen(kw_only=True)
class HealthSettings:
    """Separate listener for health checks, off if `listen` is empty.

    Health checks are also served on the listeners for operators and metrics.
    """

    listen: str = ""


@attrs.frozen(kw_only=True)
class AdminSettings:
    """Listener for operators.

    `token_sha256` is the hex SHA-256 digest of the operators' bearer token. If
    it is empty, calls need no token and the listener should be on loopback.
    """

    listen: Address = Address("127.0.0.1:8081")
    token_sha256: str = attrs.field(default="", metadata={"secret": True}, repr=False)


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Access to the platform; the `memory` driver needs no address.

    `address` is that of the object store. `duties_address` is that of the
    platform's duty calls (usage reports and scale requests), which one host at
    a time makes; if it is empty, no host makes them. `checks_fencing` tells
    whether the duties, and the servers that register themselves, reject calls
    and orders with an old fencing token. `seed` holds initial catalogue records by
    kind and name for the `memory` driver.
    """

    driver: str = "objects"
    address: Address = Address("127.0.0.1:7070")
    duties_address: str = ""
    timeout: Seconds = Seconds(1.0)
    checks_fencing: bool = False
    seed: dict[str, dict[str, Any]] = attrs.field(factory=dict)

    @property
    def checks_duty_tokens(self) -> bool:
        """Whether the platform rejects duty calls with an old fencing token."""
        return self.driver == "memory" or self.checks_fencing

    @property
    def has_duties(self) -> bool:
        """Whether hosts make duty calls: usage reports and scale requests."""
        return self.driver == "memory" or bool(self.duties_address)


@attrs.frozen(kw_only=True)
class CatalogueSettings:
    """Freshness of the host's copy of the catalogue.

    No request may run on a key later than `revocation_bound` after the key was
    withdrawn. `watch_wait` is the time for which a watch of keys and limits
    stays open; that of the servers stays open longer. Servers renew their
    registrations every `heartbeat`, and these expire after three intervals of
    silence. Servers can't renew them during an outage of the store, so a
    registration that expired in it is kept for `lapse_grace` after it, in which
    the server may renew it. A server that leaves must get no new requests later
    than `drain_bound` after it said so. `confirmation` decides which calls to the store
    are made: `store` confirms every copy on every host, `sparing` leaves out calls that
    no promise needs, and with `relayed` a few hosts confirm the copies of the others.
    """

    revocation_bound: Seconds = Seconds(5.0)
    watch_wait: Seconds = Seconds(1.0)
    lapse_grace: Seconds = Seconds(2.0)
    heartbeat: Seconds = Seconds(1.2)
    drain_bound: Seconds = Seconds(2.0)
    confirmation: str = attrs.field(
        default="store", validator=_check_registered(CONFIRMATION_POLICIES)
    )


@attrs.frozen(kw_only=True)
class HostsSettings:
    """Communication between hosts.

    Each host writes its record to the store every `publish_interval`, or less
    often with many hosts. A host whose record has not changed for `silence` is
    considered down. `listen` is the UDP address for messages between hosts,
    which may be lost; if it is empty, this host sends and receives none. `reporting`
    decides who gets this host's reports on its work at servers. `link_rate` is that of
    the host's network link in megabits a second, zero if unknown; hosts with fast links
    collect reports.
    """

    listen: str = ""
    publish_interval: Seconds = attrs.field(
        default=Seconds(1.5), validator=validators.gt(Seconds(0))
    )
    silence: Seconds = Seconds(6.0)
    reporting: str = attrs.field(
        default="sampled", validator=_check_registered(REPORTING_POLICIES)
    )
    link_rate: float = attrs.field(default=0.0, validator=validators.ge(0))


@attrs.frozen(kw_only=True)
class RoutingSettings:
    """Selection of backend servers.

    `planning` selects among engines with a prompt cache and `policy` among
    all other servers; `scaling` decides how many servers are requested, and `sharing`
    which hosts send to a server that limits its requests and `places` which requests.
    `returns` decides when refused callers are told to come back, and `admission` which
    requests are refused or wait while their servers are busy. `full_returns` decides
    when callers are told to come back that found no room, `room` which busy servers
    this host uses while others are free, and `urgency` the order in which requests
    get room. `speeds` tells how fast each engine is taken to be.
    `engine_read_rate` is the speed of a prefill-only engine in prompt tokens
    per second.
    """

    policy: str = attrs.field(
        default="prefix_affinity", validator=_check_registered(ROUTING_POLICIES)
    )
    planning: str = attrs.field(
        default="earliest_answer", validator=_check_registered(PLANNING_POLICIES)
    )
    scaling: str = attrs.field(
        default="none", validator=_check_registered(SCALING_POLICIES)
    )
    sharing: str = attrs.field(
        default="few_hosts", validator=_check_registered(SHARING_POLICIES)
    )
    places: str = attrs.field(
        default="largest_first", validator=_check_registered(PLACE_POLICIES)
    )
    returns: str = attrs.field(
        default="spread", validator=_check_registered(RETURN_POLICIES)
    )
    full_returns: str = attrs.field(
        default="at_once", validator=_check_registered(RETURN_POLICIES)
    )
    admission: str = attrs.field(
        default="queue_bound", validator=_check_registered(ADMISSION_POLICIES)
    )
    room: str = attrs.field(
        default="unlimited", validator=_check_registered(ROOM_POLICIES)
    )
    urgency: str = attrs.field(
        default="priority", validator=_check_registered(URGENCY_POLICIES)
    )
    speeds: str = attrs.field(
        default="uniform", validator=_check_registered(SPEED_POLICIES)
    )
    engine_read_rate: float = attrs.field(default=80_000.0, validator=validators.gt(0))


@attrs.frozen(kw_only=True)
class QuarantineSettings:
    """How requests are treated whose prompts crash engines.

    `policy` decides when a part of a prompt is held; `never` holds none. After
    `first_hold` one request may try the part; each further hold is twice as long.
    """

    policy: str = attrs.field(
        default="repeated_crash", validator=_check_registered(HOLD_POLICIES)
    )
    first_hold: Seconds = attrs.field(
        default=Seconds(15.0), validator=validators.gt(Seconds(0))
    )


@attrs.frozen(kw_only=True)
class RateSettings:
    """How far all hosts together may exceed a workspace's limit in tokens.

    In any `window` the excess may reach `ratio` of the tokens that rate and
    burst allow, plus `slack` tokens.
    """

    window: Seconds = Seconds(0.0)
    ratio: float = attrs.field(default=0.0, validator=validators.ge(0))
    slack: float = attrs.field(default=0.0, validator=validators.ge(0))


@attrs.frozen(kw_only=True)
class RetrySettings:
    """Retry budget over all hosts together.

    A request gets at most `max_attempts` attempts that may have run, unless
    its entry sets another number. In any window of time a service's retries
    are at most `ratio` of its requests, plus `slack`.
    """

    max_attempts: int = attrs.field(default=3, validator=validators.ge(1))
    ratio: float = attrs.field(default=0.1, validator=validators.ge(0))
    slack: float = attrs.field(default=10.0, validator=validators.ge(0))


@attrs.frozen(kw_only=True)
class UpstreamSettings:
    """Connections to backend servers.

    An attempt fails after `silence_timeout` without data from the server. At
    most `max_idle` idle connections are kept to each server, each of them for
    `idle_timeout`. A server that asks this host to wait gets no request for so long,
    but at most for `max_closed`, so that an absurd time does not lose it for good.
    Answers in very small chunks are parsed at `max_chunk_rate` chunks a second for all
    servers together; chunks that arrive one by one don't count.
    """

    connect_timeout: Seconds = Seconds(1.0)
    silence_timeout: Seconds = Seconds(15.0)
    idle_timeout: Seconds = Seconds(4.0)
    max_idle: int = attrs.field(default=64, validator=validators.ge(0))
    max_closed: Seconds = Seconds(600.0)
    max_chunk_rate: float = attrs.field(default=10_000.0, validator=validators.gt(0))


@attrs.frozen(kw_only=True)
class DrainSettings:
    """Draining before the process stops.

    `grace` is the time from the start of a drain until the process may be killed.
    Requests that are not answered shortly before its end are ended then.
    """

    grace: Seconds = Seconds(8.0)


@attrs.frozen(kw_only=True)
class UsageSettings:
    """Usage windows; each is sealed `seal_grace` after its end or a little later."""

    window: Seconds = Seconds(60.0)
    seal_grace: Seconds = Seconds(3.0)


@attrs.frozen(kw_only=True)
class LeaseSettings:
    """The control lease, held by the host that makes duty calls.

    A lease expires after `ttl`; its holder stops acting on it `margin` earlier.
    """

    ttl: Seconds = Seconds(9.0)
    margin: Seconds = Seconds(0.5)


@attrs.frozen(kw_only=True)
class MetricsSettings:
    """Export of metrics; an empty address turns an export off.

    `listen` is the address that serves metrics over HTTP, `statsd` the one that
    receives them as datagrams every `interval`, under names that start with
    `prefix`.
    """

    listen: str = ""
    statsd: str = ""
    prefix: str = "geraniumhall"
    interval: Seconds = Seconds(1.0)


@attrs.frozen(kw_only=True)
class LogSettings:
    """Logging; `level` is the lowest level that is logged."""

    level: str = attrs.field(
        default="info", validator=validators.in_(("debug", "info", "warning", "error"))
    )


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one daemon process."""

    host: HostSettings
    callers: CallerSettings = CallerSettings()
    admin: AdminSettings = AdminSettings()
    health: HealthSettings = HealthSettings()
    platform: PlatformSettings = PlatformSettings()
    catalogue: CatalogueSettings = CatalogueSettings()
    hosts: HostsSettings = HostsSettings()
    routing: RoutingSettings = RoutingSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    rates: RateSettings = RateSettings()
    retries: RetrySettings = RetrySettings()
    upstream: UpstreamSettings = UpstreamSettings()
    drain: DrainSettings = DrainSettings()
    usage: UsageSettings = UsageSettings()
    leases: LeaseSettings = LeaseSettings()
    metrics: MetricsSettings = MetricsSettings()
    log: LogSettings = LogSettings()

    @classmethod
    def from_file(cls, path: str) -> "Settings":
        """Load and validate a YAML file, or raise `SettingsError`."""
        try:
            text = Path(path).read_text()
        except OSError as error:
            raise SettingsError(
                path, (FieldViolation("$", error.strerror or ""),)
            ) from error
        return cls.from_text(text, path)

    @classmethod
    def from_text(cls, text: str, file: str = "<text>") -> "Settings":
        """Load and validate YAML text, or raise a `SettingsError` for `file`."""
        try:
            data = yaml.safe_load(text)
            if not isinstance(data, dict):
                raise SettingsError(file, (FieldViolation("$", "expected a mapping"),))
            settings = structure(CONVERTER, data, cls)
            settings.decode_seed()
            return settings
        except (yaml.YAMLError, RecursionError) as error:
            violation = FieldViolation("$", f"not YAML: {error}")
            raise SettingsError(file, (violation,)) from error
        except InvalidDataError as error:
            raise SettingsError(file, error.violations) from error

    def decode_seed(self) -> dict[ObjectKey, Any]:
        """Decode the seed records by key, or raise `InvalidDataError`."""
        records: dict[ObjectKey, Any] = {}
        for kind, named in self.platform.seed.items():
            if kind not in EDITABLE_KINDS:
                violation = FieldViolation(
                    f"$.platform.seed.{kind}", "unknown kind of record"
                )
                raise InvalidDataError((violation,))
            for name, data in named.items():
                records[ObjectKey(kind, name)] = _decode_seed_record(kind, name, data)
        return records

    def build_policy(self, incarnation: int) -> Policy:
        """Build the policy of a process with this `incarnation`.

        A host that can't reach the store becomes unready and later refuses keys,
        both before the revocation bound: its callers are better served by a host
        that reaches the store. The retry budget stays below its bound, since
        hosts don't know exactly how many retries others make.
        """
        bound = self.catalogue.revocation_bound
        return Policy(
            host=self.host.name,
            failure_domain=self.host.failure_domain,
            incarnation=incarnation,
            peer_address=self.hosts.listen,
            has_duties=self.platform.has_duties,
            checks_fencing=self.platform.checks_duty_tokens,
            routing=self.routing.policy,
            planning=self.routing.planning,
            scaling=self.routing.scaling,
            sharing=self.routing.sharing,
            places=self.routing.places,
            returns=self.routing.returns,
            full_returns=self.routing.full_returns,
            admission=self.routing.admission,
            room=self.routing.room,
            urgency=self.routing.urgency,
            speeds=self.routing.speeds,
            confirmation=self.catalogue.confirmation,
            reporting=self.hosts.reporting,
            link_rate=self.hosts.link_rate,
            engine_read_rate=self.routing.engine_read_rate,
            holding=self.quarantine.policy,
            first_hold=self.quarantine.first_hold,
            stale_after=bound * STALE_AFTER_FRACTION,
            unready_after=bound * UNREADY_AFTER_FRACTION,
            watch_wait=self.catalogue.watch_wait,
            servers_max_pause=self.catalogue.drain_bound * SERVERS_PAUSE_FRACTION,
            lapse_grace=self.catalogue.lapse_grace,
            min_lapse_outage=self.catalogue.heartbeat * MIN_LAPSE_HEARTBEATS,
            publish_interval=self.hosts.publish_interval,
            host_silence=self.hosts.silence,
            rate_tolerance=RateTolerance(
                window=self.rates.window, ratio=self.rates.ratio, slack=self.rates.slack
            ),
            max_attempts=self.retries.max_attempts,
            retry_ratio=self.retries.ratio * RETRY_BUDGET_FRACTION,
            max_closed=self.upstream.max_closed,
            retry_slack=self.retries.slack * RETRY_BUDGET_FRACTION,
            drain_grace=self.drain.grace * DRAIN_GRACE_FRACTION,
            drain_limit=self.drain.grace * DRAIN_LIMIT_FRACTION,
            usage_window=self.usage.window,
            seal_grace=self.usage.seal_grace,
            lease_ttl=self.leases.ttl,
            lease_margin=self.leases.margin,
            metrics_interval=self.metrics.interval,
        )


def split_address(address: str) -> tuple[str, int]:
    """Split an address such as ``127.0.0.1:80`` into host and port.

    Raises `ValueError` if the host is not an IP address or the port not a
    number up to `MAX_PORT`.
    """
    host, _, port = address.rpartition(":")
    ip_address(host)
    if not port.isascii() or not port.isdigit() or len(port) > len(str(MAX_PORT)):
        raise ValueError(f"{port[:20]!r} is not a port")
    if int(port) > MAX_PORT:
        raise ValueError(f"the port {port} is over {MAX_PORT}")
    return host, int(port)


def _decode_seed_record(kind: str, name: str, data: Any) -> Any:
    try:
        return structure(CONVERTER, data, RECORD_KINDS.find(kind))
    except InvalidDataError as error:
        prefix = f"$.platform.seed.{kind}.{name}"
        violations = tuple(
            FieldViolation(prefix + f.path[1:], f.reason) for f in error.violations
        )
        raise InvalidDataError(violations) from error


CONVERTER = build_converter()
register_units(CONVERTER)
