"""Eras of the platform's store, and what stays in force when a new one begins.

A store that comes back from an older copy begins a new era. Until an object has been
written again, the copy has an older version of it, or none. For each kind of record a
rule decides whether what this host knows stays in force against the copy. A rule gets
the record that is known, `DELETED` if the object is known to be gone, and what the copy
has, `DELETED` if it lacks the object::

    @CARRY_RULES.register("configuration")
    def keep_newer_configuration(known, found): ...
"""

from collections.abc import Callable

import attrs

from geraniumhall_core.catalogue import (
    CONFIGURATION_KIND,
    REGISTERED_SERVER_KIND,
    Catalogue,
)
from geraniumhall_core.parts import PART_KIND
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.registry import Registry
from geraniumhall_core.revisions import Revision

CarryRule = Callable[[VersionedRecord, VersionedRecord], bool]
CARRY_RULES: Registry[str, CarryRule] = Registry("carry rule")


@attrs.define
class EraState:
    """The era of the store as this host knows it; times are in seconds on its clock.

    `began_at` is when this host learned of the era, minus infinity if the store states
    none; `began_wall_time` is in seconds since the epoch. `is_known` is true once the
    store has answered. `kept` holds the objects of which the copy had an older version
    or none, until they are written again. Servers in `held_back` were gone before the
    rewind; those that are still registered at `held_until` are used again.
    """

    number: int = 0
    began_at: float = float("-inf")
    began_wall_time: float = float("-inf")
    is_known: bool = False
    kept: set[ObjectKey] = attrs.field(factory=set)
    held_back: dict[ObjectKey, VersionedRecord] = attrs.field(factory=dict)
    held_until: float = float("-inf")

    @property
    def absent_version(self) -> Revision:
        """The version of an object that does not exist in this era."""
        return Revision(self.number)

    def begin(self, number: int, now: float, wall_time: float) -> None:
        """Begin an era that was learned of at `now`."""
        self.number = number
        self.began_at = now
        self.began_wall_time = wall_time
        self.is_known = True

    def settle(self, key: ObjectKey) -> None:
        """Forget that an object was kept, once it has been written in this era."""
        self.kept.discard(key)
        self.held_back.pop(key, None)


def find_known(catalogue: Catalogue, key: ObjectKey) -> VersionedRecord | None:
    """Return what a host knows of an object of the catalogue, None if nothing."""
    version = catalogue.versions.get(key)
    if version is None:
        return None
    record = catalogue.tables[key.kind].get(key.name, DELETED)
    return VersionedRecord(key, version, record)


def stays_in_force(
    known: VersionedRecord, found: VersionedRecord, was_kept: bool
) -> bool:
    """Return whether what is known stays in force against the copy of a new era.

    An object that was kept in the era before and that the copy still has in the same
    version is kept again.
    """
    if found.record == known.record:
        return False
    if was_kept and found.version.number <= known.version.number:
        return True
    return CARRY_RULES.find(known.key.kind)(known, found)


@CARRY_RULES.register(CONFIGURATION_KIND)
def keep_newer_configuration(known: VersionedRecord, found: VersionedRecord) -> bool:
    """Keep a configuration until one is written that is not older by its own version.

    Its number in the store does not tell, since the operators write it again.
    """
    if known.record is DELETED:
        return False
    return found.record is DELETED or found.record.version < known.record.version


@CARRY_RULES.register(REGISTERED_SERVER_KIND)
def keep_newer_registration(known: VersionedRecord, found: VersionedRecord) -> bool:
    """Keep a newer process, and a leave of the same one.

    A registration that the copy lacks is dropped after the grace that applies to
    outages.
    """
    if found.record is DELETED:
        return False
    if known.record is DELETED:
        return True
    if found.record.started_at != known.record.started_at:
        return found.record.started_at < known.record.started_at
    return known.record.leaving and not found.record.leaving


@CARRY_RULES.register("key")
def keep_withdrawal(known: VersionedRecord, found: VersionedRecord) -> bool:
    """Keep a key withdrawn for good, since ids of keys are not used again."""
    return known.record is DELETED or keep_later_edit(known, found)


@CARRY_RULES.register("entry", "workspace", "server", "wish")
def keep_later_edit(known: VersionedRecord, found: VersionedRecord) -> bool:
    """Keep an edit that is later than what the copy has.

    The copy is a state that the store was in, so up to its own number the numbers of
    both eras name the same versions.
    """
    return found.record is DELETED or found.version.number < known.version.number


@CARRY_RULES.register(PART_KIND)
def keep_part(known: VersionedRecord, found: VersionedRecord) -> bool:
    """Keep what the copy lacks; other knowledge of a part is merged."""
    return found.record is DELETED
