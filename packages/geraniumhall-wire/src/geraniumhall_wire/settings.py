"""Settings of a daemon process, read from a YAML file and checked on load."""

from collections.abc import Callable
from ipaddress import ip_address
from pathlib import Path
from typing import Any

import attrs
import yaml
from attrs import validators

from geraniumhall_core.catalogue import EDITABLE_KINDS
from geraniumhall_core.limits import RateTolerance
from geraniumhall_core.planning import PLANNING_POLICIES
from geraniumhall_core.policy import Policy
from geraniumhall_core.records import RECORD_KINDS, ObjectKey
from geraniumhall_core.registry import Registry
from geraniumhall_core.routing import ROUTING_POLICIES
from geraniumhall_core.scaling import SCALING_POLICIES
from geraniumhall_wire.converter import (
    FieldViolation,
    InvalidDataError,
    build_converter,
    structure,
)
from geraniumhall_wire.units import Address, ByteCount, Seconds, register_units

STALE_AFTER_FRACTION = 0.9
UNREADY_AFTER_FRACTION = 0.5
RETRY_BUDGET_FRACTION = 0.6
DRAIN_GRACE_FRACTION = 0.35


@attrs.frozen
class SettingsError(Exception):
    """Raised when a settings file can't be used; names the file and the faults."""

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
    """Who this process is."""

    name: str = attrs.field(validator=validators.min_len(1))
    failure_domain: str = attrs.field(validator=validators.min_len(1))


@attrs.frozen(kw_only=True)
class CallerSettings:
    """The listener for callers, the front that they speak, and its bounds.

    Bounds in the operators' configuration go before these.
    """

    front: str = "openai"
    listen: Address = Address("127.0.0.1:8080")
    max_connections: int = attrs.field(default=4096, validator=validators.ge(1))
    max_head: ByteCount = ByteCount(32 * 2**10)
    max_body: ByteCount = ByteCount(8 * 2**20)
    read_timeout: Seconds = Seconds(30.0)
    idle_timeout: Seconds = Seconds(60.0)


@attrs.frozen(kw_only=True)
class HealthSettings:
    """A listener of its own for health checks; none if `listen` is empty.

    The checks are answered on the callers' and operators' listeners too.
    """

    listen: str = ""


@attrs.frozen(kw_only=True)
class AdminSettings:
    """The listener for operators.

    `token_sha256` is the SHA-256 of the operators' bearer token in hex; where
    it is empty the listener takes every caller and should be on loopback.
    """

    listen: Address = Address("127.0.0.1:8081")
    token_sha256: str = attrs.field(default="", metadata={"secret": True}, repr=False)


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """The platform's interfaces; the `memory` driver needs no address.

    `address` is the object store's, `duties_address` that of the calls that
    one host at a time makes; without it none are made. `checks_fencing` tells
    whether servers that register themselves reject orders with an old fencing
    token. `seed` holds catalogue records by kind and name for the `memory`
    driver.
    """

    driver: str = "objects"
    address: Address = Address("127.0.0.1:7070")
    duties_address: str = ""
    timeout: Seconds = Seconds(1.0)
    checks_fencing: bool = False
    seed: dict[str, dict[str, Any]] = attrs.field(factory=dict)

    @property
    def has_duties(self) -> bool:
        """Whether usage is reported and servers are ordered."""
        return self.driver == "memory" or bool(self.duties_address)


@attrs.frozen(kw_only=True)
class CatalogueSettings:
    """How current the copy of the catalogue must be.

    No request may run on a key later than `revocation_bound` after it was
    withdrawn. `lapse_grace` is the time in which servers come back whose
    entries lapsed during an outage of the store.
    """

    revocation_bound: Seconds = Seconds(5.0)
    watch_wait: Seconds = Seconds(1.0)
    lapse_grace: Seconds = Seconds(2.0)


@attrs.frozen(kw_only=True)
class HostsSettings:
    """How hosts tell each other of themselves.

    Each writes a record to the store every `publish_interval` or less often.

    A host whose record has not changed for `silence` is taken to be gone.
    `listen` is the address for messages between hosts, datagrams that may be
    lost; without it this host sends and takes none.
    """

    listen: str = ""

    publish_interval: Seconds = Seconds(1.5)
    silence: Seconds = Seconds(6.0)


@attrs.frozen(kw_only=True)
class RoutingSettings:
    """How backend servers are chosen.

    `planning` is for engines with a prompt cache, `policy` for all others,
    and `scaling` for the number of servers that is ordered.
    `engine_read_rate` is in prompt tokens a second of an engine that only
    reads prompts.
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
    engine_read_rate: float = attrs.field(default=80_000.0, validator=validators.gt(0))


@attrs.frozen(kw_only=True)
class RateSettings:
    """By how much hosts together may miss a workspace's rate in tokens.

    In any `window` that is `ratio` of what rate and burst allow, and `slack`.
    """

    window: Seconds = Seconds(0.0)
    ratio: float = attrs.field(default=0.0, validator=validators.ge(0))
    slack: float = attrs.field(default=0.0, validator=validators.ge(0))


@attrs.frozen(kw_only=True)
class RetrySettings:
    """How many further attempts all hosts together may make.

    In any window a service gets at most `ratio` of its requests, plus
    `slack`, as further attempts.
    """

    max_attempts: int = attrs.field(default=3, validator=validators.ge(1))
    ratio: float = attrs.field(default=0.1, validator=validators.ge(0))
    slack: float = attrs.field(default=10.0, validator=validators.ge(0))


@attrs.frozen(kw_only=True)
class UpstreamSettings:
    """Connections to backend servers."""

    connect_timeout: Seconds = Seconds(1.0)
    silence_timeout: Seconds = Seconds(15.0)
    idle_timeout: Seconds = Seconds(4.0)
    max_idle: int = attrs.field(default=64, validator=validators.ge(0))


@attrs.frozen(kw_only=True)
class DrainSettings:
    """Planned stops: the time from the request to stop until the kill."""

    grace: Seconds = Seconds(8.0)


@attrs.frozen(kw_only=True)
class UsageSettings:
    """Usage windows, sealed `seal_grace` after their end or a little later."""

    window: Seconds = Seconds(60.0)
    seal_grace: Seconds = Seconds(3.0)


@attrs.frozen(kw_only=True)
class LeaseSettings:
    """How long authority lasts, and how much earlier a holder stops."""

    ttl: Seconds = Seconds(9.0)
    margin: Seconds = Seconds(0.5)


@attrs.frozen(kw_only=True)
class MetricsSettings:
    """Where metrics go; an empty address turns a way off.

    `listen` serves them over HTTP, `statsd` receives them as datagrams.
    """

    listen: str = ""
    statsd: str = ""
    prefix: str = "geraniumhall"
    interval: Seconds = Seconds(1.0)


@attrs.frozen(kw_only=True)
class LogSettings:
    """What is logged."""

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
        """Read and check a YAML file, or raise `SettingsError`."""
        try:
            text = Path(path).read_text()
        except OSError as error:
            raise SettingsError(
                path, (FieldViolation("$", error.strerror or ""),)
            ) from error
        return cls.from_text(text, path)

    @classmethod
    def from_text(cls, text: str, file: str = "<text>") -> "Settings":
        """Check YAML text, or raise `SettingsError` that names `file`."""
        try:
            data = yaml.safe_load(text)
            if not isinstance(data, dict):
                raise SettingsError(file, (FieldViolation("$", "expected a mapping"),))
            settings = structure(CONVERTER, data, cls)
            settings.decode_seed()
            return settings
        except yaml.YAMLError as error:
            violation = FieldViolation("$", f"not YAML: {error}")
            raise SettingsError(file, (violation,)) from error
        except InvalidDataError as error:
            raise SettingsError(file, error.violations) from error

    def decode_seed(self) -> dict[ObjectKey, Any]:
        """Return the seed records by key, or raise `InvalidDataError`."""
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
        """Return the policy of a process with this `incarnation`.

        A host refuses keys well before the revocation bound, since its
        callers are better served by a host that reaches the store. Retries
        stay below their bound by what hosts can't know of each other.
        """
        bound = self.catalogue.revocation_bound
        return Policy(
            host=self.host.name,
            failure_domain=self.host.failure_domain,
            incarnation=incarnation,
            peer_address=self.hosts.listen,
            has_duties=self.platform.has_duties,
            routing=self.routing.policy,
            planning=self.routing.planning,
            scaling=self.routing.scaling,
            engine_read_rate=self.routing.engine_read_rate,
            stale_after=bound * STALE_AFTER_FRACTION,
            unready_after=bound * UNREADY_AFTER_FRACTION,
            watch_wait=self.catalogue.watch_wait,
            lapse_grace=self.catalogue.lapse_grace,
            publish_interval=self.hosts.publish_interval,
            host_silence=self.hosts.silence,
            rate_tolerance=RateTolerance(
                window=self.rates.window, ratio=self.rates.ratio, slack=self.rates.slack
            ),
            max_attempts=self.retries.max_attempts,
            retry_ratio=self.retries.ratio * RETRY_BUDGET_FRACTION,
            retry_slack=self.retries.slack * RETRY_BUDGET_FRACTION,
            drain_grace=self.drain.grace * DRAIN_GRACE_FRACTION,
            usage_window=self.usage.window,
            seal_grace=self.usage.seal_grace,
            lease_ttl=self.leases.ttl,
            lease_margin=self.leases.margin,
            metrics_interval=self.metrics.interval,
        )


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address such as ``127.0.0.1:80``.

    Raises `ValueError` if the host is not an IP number.
    """
    host, _, port = address.rpartition(":")
    ip_address(host)
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
