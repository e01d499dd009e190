"""Validates edited records against the rest of the catalogue."""

from collections.abc import Callable
from typing import Any

from geraniumhall_core.admin import InvalidRecord
from geraniumhall_core.catalogue import (
    BackendServer,
    CatalogueEntry,
    ServiceClass,
    Workspace,
)
from geraniumhall_core.keys import KeyRecord
from geraniumhall_core.orders import DesiredRole
from geraniumhall_core.parts import PartRecord
from geraniumhall_core.registry import Registry
from geraniumhall_core.state import DaemonState

RecordCheck = Callable[[DaemonState, Any], InvalidRecord | None]
RECORD_CHECKS: Registry[type, RecordCheck] = Registry("record check")


@RECORD_CHECKS.register(CatalogueEntry)
def check_entry(state: DaemonState, record: CatalogueEntry) -> InvalidRecord | None:
    """Check that the owner and the workspaces exist and the path fits the class."""
    known = state.catalogue.workspaces
    if record.owner not in known:
        return InvalidRecord("$.owner", f"unknown workspace {record.owner!r}")
    for index, name in enumerate(record.workspaces):
        if name not in known:
            return InvalidRecord(
                f"$.workspaces[{index}]", f"unknown workspace {name!r}"
            )
    is_service = record.service_class is ServiceClass.SERVICE
    if is_service and not record.path.startswith("/"):
        return InvalidRecord(
            "$.path", "a service entry needs a path that begins with /"
        )
    if not is_service and record.path:
        return InvalidRecord("$.path", "a model entry has no path")
    return None


@RECORD_CHECKS.register(Workspace)
def check_workspace(state: DaemonState, record: Workspace) -> InvalidRecord | None:
    """Check that a workspace with a rate has a burst of at least one."""
    if record.rate and record.burst < 1:
        return InvalidRecord("$.burst", "expected at least 1 beside a rate")
    return None


@RECORD_CHECKS.register(KeyRecord)
def check_key(state: DaemonState, record: KeyRecord) -> InvalidRecord | None:
    """Check that the key's workspace exists."""
    if record.workspace not in state.catalogue.workspaces:
        reason = f"unknown workspace {record.workspace!r}"
        return InvalidRecord("$.workspace", reason)
    return None


@RECORD_CHECKS.register(DesiredRole)
def check_desired_role(state: DaemonState, record: DesiredRole) -> InvalidRecord | None:
    """Accept any role; that of an unknown server applies once it registers."""
    return None


@RECORD_CHECKS.register(PartRecord)
def check_part(state: DaemonState, record: PartRecord) -> InvalidRecord | None:
    """Check that the record holds the part; to release it, delete the record."""
    if record.hold is None:
        return InvalidRecord("$.hold", "expected a hold; delete the record to release")
    return None


@RECORD_CHECKS.register(BackendServer)
def check_server(state: DaemonState, record: BackendServer) -> InvalidRecord | None:
    """Check that the address has a host and a port."""
    host, _, port = record.address.rpartition(":")
    if not host or not port.isdigit():
        return InvalidRecord("$.address", "expected host:port")
    return None
