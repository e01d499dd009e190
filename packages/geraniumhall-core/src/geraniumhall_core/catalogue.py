"""The catalogue: what operators configure, and a host's copy of it.

A copy only moves forward. Each record carries the store's version, and a
change with a version at or below the known one is ignored.
"""

from collections.abc import Iterable, Iterator
from enum import Enum
from typing import Any

import attrs

from geraniumhall_core.keys import KeyRecord
from geraniumhall_core.orders import ServerWish
from geraniumhall_core.peering import HostRecord
from geraniumhall_core.purchases import CapacityWish
from geraniumhall_core.records import DELETED, RECORD_KINDS, ObjectKey, VersionedRecord

CATALOGUE_KINDS = ("entry", "workspace", "key", "server", "host", "wish", "capacity")


class ServiceClass(Enum):
    """What kind of calls an entry takes."""

    MODEL = "model"
    SERVICE = "service"


@attrs.frozen(kw_only=True)
class EntryLimits:
    """Bounds of one entry on each host; times are in seconds."""

    max_running: int = attrs.field(default=256, validator=attrs.validators.ge(1))
    max_queued: int = attrs.field(default=1024, validator=attrs.validators.ge(0))
    deadline: float = attrs.field(default=60.0, validator=attrs.validators.gt(0))


@RECORD_KINDS.register("entry")
@attrs.frozen(kw_only=True)
class CatalogueEntry:
    """A model or plain service that callers may use.

    A model entry is found by the model's name, a service entry by its path
    prefix. `workspaces` may use the entry besides its owner. Calls to an
    entry that is not `repeatable` run at most once.
    """

    owner: str
    service_class: ServiceClass
    path: str = ""
    open_to_all: bool = False
    repeatable: bool = False
    workspaces: tuple[str, ...] = ()
    limits: EntryLimits = EntryLimits()

    def permits(self, workspace: str) -> bool:
        """Tell whether `workspace` may use this entry."""
        return self.open_to_all or workspace == self.owner or self._lists(workspace)

    def _lists(self, workspace: str) -> bool:
        return workspace in self.workspaces


@RECORD_KINDS.register("workspace")
@attrs.frozen(kw_only=True)
class Workspace:
    """A customer with its limits over all hosts together.

    `rate` is in requests a second and `burst` in requests. `hosts` are those
    that hold an equal share each; `weight` is the share under contention.
    """

    rate: float = attrs.field(validator=attrs.validators.ge(0))
    burst: float = attrs.field(validator=attrs.validators.ge(0))
    hosts: tuple[str, ...]
    weight: float = attrs.field(default=1.0, validator=attrs.validators.gt(0))


@RECORD_KINDS.register("server")
@attrs.frozen(kw_only=True)
class BackendServer:
    """A model engine or plain service that answers requests.

    `checks_fencing` says whether it rejects orders with an old fencing token.
    """

    address: str
    failure_domain: str
    entries: tuple[str, ...]
    checks_fencing: bool = False
    leaving: bool = False


RECORD_KINDS.register("key")(KeyRecord)


@attrs.define
class Catalogue:
    """A host's copy of the catalogue.

    The copy is complete up to `revision`; single newer records may be there
    too. Deletions are known from `complete_since` on. `confirmed_at` is the
    time in seconds at which the newest answer that confirmed this copy was
    asked for.
    """

    revision: int = 0
    complete_since: int = 0
    newest_version: int = 0
    confirmed_at: float = float("-inf")
    tables: dict[str, dict[str, Any]] = attrs.field(
        factory=lambda: {kind: {} for kind in CATALOGUE_KINDS}
    )
    versions: dict[ObjectKey, int] = attrs.field(factory=dict)
    servers_by_entry: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    entries_by_path: dict[str, str] = attrs.field(factory=dict)

    @property
    def entries(self) -> dict[str, CatalogueEntry]:
        """Entries by name."""
        return self.tables["entry"]

    @property
    def workspaces(self) -> dict[str, Workspace]:
        """Workspaces by name."""
        return self.tables["workspace"]

    @property
    def keys(self) -> dict[str, KeyRecord]:
        """Key records by key id."""
        return self.tables["key"]

    @property
    def servers(self) -> dict[str, BackendServer]:
        """Backend servers by name."""
        return self.tables["server"]

    @property
    def hosts(self) -> dict[str, HostRecord]:
        """Records of hosts whose daemons are registered, by host."""
        return self.tables["host"]

    @property
    def wishes(self) -> dict[str, ServerWish]:
        """Roles that operators want, by backend server."""
        return self.tables["wish"]

    @property
    def capacities(self) -> dict[str, CapacityWish]:
        """Numbers of backend servers that operators want, by name."""
        return self.tables["capacity"]

    def list_changes(self, after: int) -> tuple[VersionedRecord, ...]:
        """Return the newest version of each object that changed after `after`.

        Below `complete_since` deletions may be missing; a copy that old needs
        `list_objects`.
        """
        if after >= self.newest_version:
            return ()
        return tuple(
            VersionedRecord(key, version, self._find_record(key))
            for key, version in self.versions.items()
            if version > after
        )

    def list_objects(self) -> tuple[VersionedRecord, ...]:
        """Return all objects, without deletions."""
        return tuple(
            VersionedRecord(key, self.versions[key], record)
            for key, record in self._iterate_records()
        )

    def _iterate_records(self) -> Iterator[tuple[ObjectKey, Any]]:
        for kind, table in self.tables.items():
            for name, record in table.items():
                yield ObjectKey(kind, name), record

    def _find_record(self, key: ObjectKey) -> Any:
        return self.tables[key.kind].get(key.name, DELETED)

    def find_entry_by_path(self, path: str) -> str | None:
        """Return the name of the service entry with the longest matching path."""
        prefix = path.split("?", 1)[0].rstrip("/")
        while prefix:
            if prefix in self.entries_by_path:
                return self.entries_by_path[prefix]
            prefix = prefix.rpartition("/")[0]
        return None


def apply_listing(
    catalogue: Catalogue, revision: int, objects: Iterable[VersionedRecord]
) -> tuple[ObjectKey, ...]:
    """Apply a whole listing taken at `revision`; return the changed keys.

    A known object that the listing lacks was deleted, unless it is newer.
    """
    listed = {item.key: item for item in objects}
    missing = [
        VersionedRecord(key, revision, DELETED)
        for key, version in catalogue.versions.items()
        if key not in listed and version < revision
    ]
    applied = apply_changes(catalogue, revision, [*listed.values(), *missing])
    catalogue.complete_since = max(catalogue.complete_since, revision)
    return applied


def apply_changes(
    catalogue: Catalogue, revision: int, changes: Iterable[VersionedRecord]
) -> tuple[ObjectKey, ...]:
    """Apply the changes that are newer than the copy; return their keys."""
    applied = tuple(item.key for item in changes if _apply_change(catalogue, item))
    catalogue.revision = max(catalogue.revision, revision)
    if any(key.kind in ("entry", "server") for key in applied):
        _index_catalogue(catalogue)
    return applied


def _apply_change(catalogue: Catalogue, item: VersionedRecord) -> bool:
    if item.key.kind not in catalogue.tables:
        return False
    if catalogue.versions.get(item.key, 0) >= item.version:
        return False
    catalogue.versions[item.key] = item.version
    catalogue.newest_version = max(catalogue.newest_version, item.version)
    table = catalogue.tables[item.key.kind]
    if item.record is DELETED:
        table.pop(item.key.name, None)
    else:
        table[item.key.name] = item.record
    return True


def _index_catalogue(catalogue: Catalogue) -> None:
    by_entry: dict[str, list[str]] = {}
    for name, server in sorted(catalogue.servers.items()):
        if server.leaving:
            continue
        for entry in server.entries:
            by_entry.setdefault(entry, []).append(name)
    catalogue.servers_by_entry = {k: tuple(v) for k, v in by_entry.items()}
    catalogue.entries_by_path = {
        entry.path.rstrip("/"): name
        for name, entry in catalogue.entries.items()
        if entry.path
    }
