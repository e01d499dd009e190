"""Settings of a daemon process, read from a YAML file and checked on load."""

from collections.abc import Callable
from ipaddress import ip_address
from pathlib import Path
from typing import Any

import attrs
import yaml
from attrs import validators

from geraniumhall_core.catalogue import CATALOGUE_KINDS
from geraniumhall_core.handlers.borrowing import SHARING_POLICIES
from geraniumhall_core.policy import Policy
from geraniumhall_core.records import RECORD_KINDS, ObjectKey
from geraniumhall_core.registry import Registry
from geraniumhall_core.routing import ROUTING_POLICIES
from geraniumhall_wire.converter import (
    Fault,
    InvalidDataError,
    build_converter,
    structure,
)
from geraniumhall_wire.units import Address, ByteCount, Seconds, register_units

SHARE_DELAY_FACTOR = 1.2


@attrs.frozen
class SettingsError(Exception):
    """Raised when a settings file can't be used; names the file and the faults."""

    file: str
    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return "\n".join(f"{self.file}: {fault}" for fault in self.faults)


def _check_entry(registry: Registry[str, Any]) -> Callable[..., None]:
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
    """The listener for callers and its bounds."""

    listen: Address = Address("127.0.0.1:8080")
    max_connections: int = attrs.field(default=4096, validator=validators.ge(1))
    max_head: ByteCount = ByteCount(32 * 2**10)
    max_body: ByteCount = ByteCount(8 * 2**20)
    read_timeout: Seconds = Seconds(30.0)
    idle_timeout: Seconds = Seconds(60.0)


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

    `seed` holds catalogue records by kind and name for the `memory` driver.
    """

    driver: str = "http"
    address: Address = Address("127.0.0.1:7070")
    timeout: Seconds = Seconds(2.0)
    seed: dict[str, dict[str, Any]] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class PeerSettings:
    """The listener for other daemons; needed with the `http` driver.

    `seeds` are addresses of other daemons to begin with while the platform
    can't be reached.
    """

    listen: str = ""
    seeds: tuple[Address, ...] = ()
    pull_interval: Seconds = Seconds(1.0)


@attrs.frozen(kw_only=True)
class CatalogueSettings:
    """How current the copy of the catalogue must be."""

    stale_after: Seconds = Seconds(5.0)
    watch_wait: Seconds = Seconds(1.0)


@attrs.frozen(kw_only=True)
class RoutingSettings:
    """How backend servers are chosen and failures are retried."""

    policy: str = attrs.field(
        default="prefix_affinity", validator=_check_entry(ROUTING_POLICIES)
    )
    max_attempts: int = attrs.field(default=3, validator=validators.ge(1))
    retry_ratio: float = attrs.field(default=0.1, validator=validators.ge(0))


@attrs.frozen(kw_only=True)
class LimitSettings:
    """How hosts share a workspace's rate: `borrow`, or an equal `split`."""

    sharing: str = attrs.field(
        default="borrow", validator=_check_entry(SHARING_POLICIES)
    )


@attrs.frozen(kw_only=True)
class UpstreamSettings:
    """Connections to backend servers."""

    connect_timeout: Seconds = Seconds(1.0)
    silence_timeout: Seconds = Seconds(15.0)
    idle_timeout: Seconds = Seconds(4.0)
    max_idle: int = attrs.field(default=64, validator=validators.ge(0))


@attrs.frozen(kw_only=True)
class DrainSettings:
    """Planned stops."""

    grace: Seconds = Seconds(2.0)


@attrs.frozen(kw_only=True)
class UsageSettings:
    """Usage windows.

    Counts are written every `flush_interval`, a window is sealed `seal_grace`
    after its end, and compared with the seal `settle_grace` after its end.
    """

    window: Seconds = Seconds(60.0)
    flush_interval: Seconds = Seconds(10.0)
    seal_grace: Seconds = Seconds(15.0)
    settle_grace: Seconds = Seconds(30.0)


@attrs.frozen(kw_only=True)
class LeaseSettings:
    """How long authority lasts, and how much earlier a holder stops."""

    ttl: Seconds = Seconds(9.0)
    margin: Seconds = Seconds(1.0)


@attrs.frozen(kw_only=True)
class MetricsSettings:
    """Where metrics go; an empty address turns them off."""

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
    platform: PlatformSettings = PlatformSettings()
    catalogue: CatalogueSettings = CatalogueSettings()
    peers: PeerSettings = PeerSettings()
    routing: RoutingSettings = RoutingSettings()
    limits: LimitSettings = LimitSettings()
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
            raise SettingsError(path, (Fault("$", error.strerror or ""),)) from error
        return cls.from_text(text, path)

    @classmethod
    def from_text(cls, text: str, file: str = "<text>") -> "Settings":
        """Check YAML text, or raise `SettingsError` that names `file`."""
        try:
            data = yaml.safe_load(text)
            if not isinstance(data, dict):
                raise SettingsError(file, (Fault("$", "expected a mapping"),))
            settings = structure(CONVERTER, data, cls)
            settings.read_seed()
            settings.check_peers()
            return settings
        except yaml.YAMLError as error:
            fault = Fault("$", f"not YAML: {error}")
            raise SettingsError(file, (fault,)) from error
        except InvalidDataError as error:
            raise SettingsError(file, error.faults) from error

    def read_seed(self) -> dict[ObjectKey, Any]:
        """Return the seed records by key, or raise `InvalidDataError`."""
        records: dict[ObjectKey, Any] = {}
        for kind, named in self.platform.seed.items():
            if kind not in CATALOGUE_KINDS:
                fault = Fault(f"$.platform.seed.{kind}", "unknown kind of record")
                raise InvalidDataError((fault,))
            for name, data in named.items():
                records[ObjectKey(kind, name)] = _read_record(kind, name, data)
        return records

    def check_peers(self) -> None:
        """Raise `InvalidDataError` if peers are needed and not set."""
        if self.platform.driver != "memory" and not self.peers.listen:
            reason = "expected an address, which drivers other than memory need"
            raise InvalidDataError((Fault("$.peers.listen", reason),))

    def build_policy(self, incarnation: int) -> Policy:
        """Return the policy of a process with this `incarnation`."""
        return Policy(
            host=self.host.name,
            failure_domain=self.host.failure_domain,
            incarnation=incarnation,
            routing=self.routing.policy,
            sharing=self.limits.sharing,
            seeds=self.peers.seeds,
            pull_interval=self.peers.pull_interval,
            stale_after=self.catalogue.stale_after,
            share_delay=self.catalogue.stale_after * SHARE_DELAY_FACTOR,
            watch_wait=self.catalogue.watch_wait,
            max_attempts=self.routing.max_attempts,
            retry_ratio=self.routing.retry_ratio,
            drain_grace=self.drain.grace,
            usage_window=self.usage.window,
            flush_interval=self.usage.flush_interval,
            seal_grace=self.usage.seal_grace,
            settle_grace=self.usage.settle_grace,
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


def _read_record(kind: str, name: str, data: Any) -> Any:
    try:
        return structure(CONVERTER, data, RECORD_KINDS.find(kind))
    except InvalidDataError as error:
        prefix = f"$.platform.seed.{kind}.{name}"
        faults = tuple(Fault(prefix + f.path[1:], f.reason) for f in error.faults)
        raise InvalidDataError(faults) from error


CONVERTER = build_converter()
register_units(CONVERTER)
