"""The catalogue: what operators configure, and a host's copy of it.

A copy never goes back to an older version. Each record carries the store's
version, and a change at or below the known version is ignored.

Entries, workspaces and keys come from two sources: single records, written
through the daemons' admin API, and the configuration, one object that the
platform's operators replace as a whole. Backend servers are either single
records or register themselves. The indexes of a copy merge the sources; where
both have a name, the configuration or the registration takes precedence.
"""

from collections.abc import Collection, Iterable
from enum import Enum
from typing import Any

import attrs

from geraniumhall_core.keys import KeyRecord
from geraniumhall_core.orders import DesiredRole, ServerRole
from geraniumhall_core.parts import PART_KIND
from geraniumhall_core.path_index import PathIndex
from geraniumhall_core.records import DELETED, RECORD_KINDS, ObjectKey, VersionedRecord
from geraniumhall_core.revisions import NO_REVISION, Revision

CONFIGURATION_KIND = "configuration"
REGISTERED_SERVER_KIND = "registered_server"
EDITABLE_KINDS = ("entry", "workspace", "key", "server", "wish", PART_KIND)
CATALOGUE_KINDS = (*EDITABLE_KINDS, CONFIGURATION_KIND, REGISTERED_SERVER_KIND)
CONFIGURATION_KEY = ObjectKey(CONFIGURATION_KIND, "main")


class ServiceClass(Enum):
    """Whether an entry takes calls to a model or to a plain service."""

    MODEL = "model"
    SERVICE = "service"


class RateUnit(Enum):
    """The unit of a workspace's rate and burst."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@attrs.frozen(kw_only=True)
class EntryLimits:
    """Limits of one entry on each host.

    `max_running` and `max_queued` count requests; with a `max_queued` of zero no
    request waits, and None sets no limit. `deadline` is in seconds.
    """

    max_running: int = attrs.field(default=256, validator=attrs.validators.ge(1))
    max_queued: int | None = attrs.field(
        default=1024,
        validator=attrs.validators.optional(attrs.validators.ge(0)),  # type: ignore[arg-type]
    )
    deadline: float = attrs.field(default=60.0, validator=attrs.validators.gt(0))


@attrs.frozen
class ServiceWeight:
    """A service and its share of an entry's requests."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Objectives:
    """Latency objectives of an entry, in seconds.

    `first_answer` is the time to the first event of a stream, or to the complete
    response; `gap` is the longest pause between events. Callers leave a stream of
    which they have got nothing for `patience`.
    """

    first_answer: float | None = None
    gap: float | None = None
    patience: float | None = None


@RECORD_KINDS.register("entry")
@attrs.frozen(kw_only=True)
class CatalogueEntry:
    """A model or plain service that callers may use.

    A model entry is found by the model's name, a service entry by its virtual
    host and path prefix. The owner and the listed `workspaces` may use the entry,
    or any workspace if it is `shared`; if it is `open_to_all`, no key is needed.
    Requests to an entry that is not `repeatable` run at most once. `max_attempts`
    overrides the daemon's setting. Without `services`, the entry's name is also
    that of its service. `priority` zero is the most urgent.
    """

    owner: str
    service_class: ServiceClass
    host: str = ""
    path: str = ""
    open_to_all: bool = False
    shared: bool = False
    repeatable: bool = False
    max_attempts: int | None = None
    priority: int = 0
    workspaces: tuple[str, ...] = ()
    services: tuple[ServiceWeight, ...] = ()
    objectives: Objectives = Objectives()
    limits: EntryLimits = EntryLimits()

    def permits(self, workspace: str) -> bool:
        """Return whether `workspace` may use this entry."""
        if self.open_to_all or self.shared or workspace == self.owner:
            return True
        return workspace in self.workspaces


@RECORD_KINDS.register("workspace")
@attrs.frozen(kw_only=True)
class Workspace:
    """A customer, with limits that apply to all hosts together.

    `rate` is in `unit` a second and `burst` in `unit`; a rate of None means no
    limit. If the unit is tokens, a request that states no token counts costs
    `plain_tokens`. `weight` is the relative share under contention. `priority`
    overrides that of the entry.
    """

    rate: float | None = attrs.field(
        default=None, validator=attrs.validators.optional(attrs.validators.ge(0))
    )
    burst: float = attrs.field(default=0.0, validator=attrs.validators.ge(0))
    unit: RateUnit = RateUnit.REQUESTS
    plain_tokens: int = 1
    weight: float = attrs.field(default=1.0, validator=attrs.validators.gt(0))
    priority: int | None = None


@attrs.frozen(kw_only=True)
class EngineProfile:
    """Properties that the engines of a service have in common.

    `memory_tokens` is the capacity of the KV cache in tokens and `token_bytes` its
    size for each token. `link_rate` is the bandwidth between engines in bytes a
    second. `handle_ttl` is how long an exported KV cache is kept, in seconds.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_rate: float
    handle_ttl: float


@attrs.frozen(kw_only=True)
class ScaleBounds:
    """How many servers a service may have in each failure domain.

    `prices` holds the price a second of a server in each domain. A reclaimable
    server costs that times `reclaimable_price`, and None means that there are no
    reclaimable servers. A server is ready `boot_seconds` after the request.
    """

    minimum: int
    maximum: int
    boot_seconds: float
    reclaimable_price: float | None
    prices: dict[str, float]


@attrs.frozen(kw_only=True)
class Service:
    """A service that backend servers offer.

    `max_connections` is each server's connection limit over all hosts.
    """

    max_connections: int | None = None
    engine: EngineProfile | None = None
    scale: ScaleBounds | None = None


@attrs.frozen(kw_only=True)
class CallerBounds:
    """Limits on what callers send, in bytes and seconds."""

    max_head: int
    max_body: int
    head_timeout: float
    idle_timeout: float


@RECORD_KINDS.register("server")
@RECORD_KINDS.register(REGISTERED_SERVER_KIND)
@attrs.frozen(kw_only=True)
class BackendServer:
    """A model engine or plain service that answers requests.

    It serves the listed `entries` and the `service`. `started_at`, in milliseconds
    since the epoch, distinguishes its incarnations. `checks_fencing` is true if it
    rejects orders with an old fencing token. `slots` is the number of requests that
    an engine runs at once; with zero it never counts as full. A server that is
    `leaving` gets no new requests.
    """

    address: str
    failure_domain: str
    entries: tuple[str, ...] = ()
    service: str = ""
    started_at: int = 0
    slots: int = 0
    role: ServerRole = ServerRole.BOTH
    checks_fencing: bool = False
    leaving: bool = False
    reclaimable: bool = False

    @property
    def services(self) -> tuple[str, ...]:
        """The names of the services that it offers."""
        return (*self.entries, self.service) if self.service else self.entries


RECORD_KINDS.register("key")(KeyRecord)


@RECORD_KINDS.register(CONFIGURATION_KIND)
@attrs.frozen(kw_only=True)
class Configuration:
    """The configuration of the platform's operators, as one object."""

    version: int
    entries: dict[str, CatalogueEntry] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    workspaces: dict[str, Workspace] = attrs.field(factory=dict)
    keys: dict[str, KeyRecord] = attrs.field(factory=dict)
    bounds: CallerBounds | None = None


@attrs.define
class Catalogue:
    """A host's copy of the catalogue, with its indexes.

    `tables` holds the records by kind and name. `versions` holds the newest known
    version of each object, also of deleted ones. `paths` finds the names of entries.
    `depends_on_records` is true if access or a limit of callers depends on records
    that daemons write.
    """

    tables: dict[str, dict[str, Any]] = attrs.field(
        factory=lambda: {kind: {} for kind in CATALOGUE_KINDS}
    )
    versions: dict[ObjectKey, Revision] = attrs.field(factory=dict)
    entries: dict[str, CatalogueEntry] = attrs.field(factory=dict)
    workspaces: dict[str, Workspace] = attrs.field(factory=dict)
    keys: dict[str, KeyRecord] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    servers: dict[str, BackendServer] = attrs.field(factory=dict)
    servers_by_service: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    paths: PathIndex = PathIndex()
    depends_on_records: bool = False

    @property
    def configuration(self) -> Configuration | None:
        """The operators' configuration, or None if there is none yet."""
        return self.tables[CONFIGURATION_KIND].get(CONFIGURATION_KEY.name)

    @property
    def desired_roles(self) -> dict[str, DesiredRole]:
        """The roles that operators want, by backend server."""
        return self.tables["wish"]

    def find_entry_by_path(self, host: str, path: str) -> str | None:
        """Return the name of the entry with the longest matching prefix, if any.

        `path` is that of a request, without a query.
        """
        return self.paths.find(host, path)

    def find_service(self, name: str) -> Service:
        """Return a service's configuration, or the default if it has none."""
        return self.services.get(name, UNCONFIGURED_SERVICE)


UNCONFIGURED_SERVICE = Service()


def infer_deletions(
    catalogue: Catalogue,
    kinds: tuple[str, ...],
    revision: Revision,
    listed: Collection[ObjectKey],
) -> list[VersionedRecord]:
    """Return the deletions implied by a full listing of `kinds` at `revision`.

    A known object that the listing lacks was deleted, unless it is newer.
    """
    return [
        VersionedRecord(key, revision, DELETED)
        for key, version in catalogue.versions.items()
        if key.kind in kinds and key not in listed and version < revision
    ]


def apply_changes(
    catalogue: Catalogue, changes: Iterable[VersionedRecord]
) -> tuple[ObjectKey, ...]:
    """Apply the changes that are newer than the copy and return their keys."""
    applied = tuple(item.key for item in changes if _apply_change(catalogue, item))
    if applied:
        _index_catalogue(catalogue)
    return applied


def _apply_change(catalogue: Catalogue, item: VersionedRecord) -> bool:
    if item.key.kind not in catalogue.tables:
        return False
    if catalogue.versions.get(item.key, NO_REVISION) >= item.version:
        return False
    catalogue.versions[item.key] = item.version
    table = catalogue.tables[item.key.kind]
    if item.record is DELETED:
        table.pop(item.key.name, None)
    else:
        table[item.key.name] = item.record
    return True


def _index_catalogue(catalogue: Catalogue) -> None:
    tables = catalogue.tables
    configured = catalogue.configuration or Configuration(version=0)
    catalogue.entries = {**tables["entry"], **configured.entries}
    catalogue.workspaces = {**tables["workspace"], **configured.workspaces}
    catalogue.keys = {**tables["key"], **configured.keys}
    catalogue.services = configured.services
    catalogue.servers = {**tables["server"], **tables[REGISTERED_SERVER_KIND]}
    catalogue.servers_by_service = _group_servers(catalogue.servers)
    catalogue.paths = PathIndex.from_entries(catalogue.entries)
    catalogue.depends_on_records = _depends_on_records(catalogue)


def _depends_on_records(catalogue: Catalogue) -> bool:
    """Return whether operators edit records, or a limit applies to all hosts."""
    edited = any(catalogue.tables[kind] for kind in EDITABLE_KINDS if kind != PART_KIND)
    workspaces = catalogue.workspaces.values()
    return edited or any(workspace.rate is not None for workspace in workspaces)


def _group_servers(servers: dict[str, BackendServer]) -> dict[str, tuple[str, ...]]:
    groups: dict[str, list[str]] = {}
    for name, server in sorted(servers.items()):
        if not server.leaving:
            for service in server.services:
                groups.setdefault(service, []).append(name)
    return {service: tuple(names) for service, names in groups.items()}
