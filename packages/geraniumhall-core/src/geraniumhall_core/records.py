"""Records in the platform's object store, and their keys.

Each kind of record is an attrs class registered under its kind::

    @RECORD_KINDS.register("workspace")
    @attrs.frozen(kw_only=True)
    class Workspace: ...

    ObjectKey("workspace", "riga-audit")
"""

from enum import Enum
from typing import Any

import attrs

from geraniumhall_core.registry import Registry
from geraniumhall_core.revisions import Revision

RECORD_KINDS: Registry[str, type] = Registry("record kind")


class Sentinel(Enum):
    """Sentinels for the absence of a record."""

    DELETED = "deleted"

    def __repr__(self) -> str:
        return self.name


DELETED = Sentinel.DELETED


@attrs.frozen(order=True)
class ObjectKey:
    """The key of one object: its kind, and its name within the kind."""

    kind: str
    name: str


@attrs.frozen
class VersionedRecord:
    """One version of an object in the store; a deletion has a version too.

    Versions are revisions of the store at which the object was written.
    """

    key: ObjectKey
    version: Revision
    record: Any
