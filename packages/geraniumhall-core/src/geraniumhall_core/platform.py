"""Messages to the platform's interfaces, and their answers.

Each message and answer is an attrs class. A driver takes a message and returns an
answer. A failure is an answer too; its verdict says whether a write may have taken
effect.

Objects are read in feeds. A feed is the set of objects that one listing or watch
covers: the operators' configuration, the backend servers that registered
themselves, or the records that the daemons and their admin API write.
"""

from enum import Enum
from typing import Any

import attrs

from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.revisions import NO_REVISION, Revision
from geraniumhall_core.usage import UsageLine
from geraniumhall_core.verdict import Verdict


class Feed(Enum):
    """A set of objects that one listing or watch covers."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    RECORDS = "records"


@attrs.frozen
class PlatformMessage:
    """A call to the platform.

    `named_revision` is the revision that the call names as its condition or as the
    start of its answer. The store gets its number only, so it holds in its era only.
    """

    @property
    def named_revision(self) -> Revision:
        """The revision that the call names, or `NO_REVISION`."""
        return NO_REVISION


@attrs.frozen
class PlatformAnswer:
    """An answer of the platform, or of the driver if the call failed.

    `era` is that of the store when it answered, zero if the store states none. It is
    None if the answer is not the store's.
    """

    @property
    def era(self) -> int | None:
        """The era of the store that gave the answer."""
        return None


@attrs.frozen
class GetObject(PlatformMessage):
    """Read one object; unless `is_exact`, it may be seconds old."""

    key: ObjectKey
    is_exact: bool = True


@attrs.frozen
class PutObject(PlatformMessage):
    """Write one object if its version is `expected_version`.

    A version with the number zero means that the object must not exist yet.
    """

    key: ObjectKey
    record: Any
    expected_version: Revision

    @property
    def named_revision(self) -> Revision:
        """The version that the object must have."""
        return self.expected_version


@attrs.frozen
class DeleteObject(PlatformMessage):
    """Delete one object if its version is `expected_version`."""

    key: ObjectKey
    expected_version: Revision

    @property
    def named_revision(self) -> Revision:
        """The version that the object must have."""
        return self.expected_version


@attrs.frozen
class ListObjects(PlatformMessage):
    """Read all objects of a feed, or those of one kind in it."""

    feed: Feed
    kind: str | None = None


@attrs.frozen
class WatchObjects(PlatformMessage):
    """Wait up to `wait` seconds for changes to a feed after revision `after`.

    Unless `is_exact`, the answer may be seconds old.
    """

    feed: Feed
    after: Revision
    wait: float
    is_exact: bool = True

    @property
    def named_revision(self) -> Revision:
        """The revision after which changes are wanted."""
        return self.after


@attrs.frozen(kw_only=True)
class DutyMessage(PlatformMessage):
    """A call that only the lease holder may make, with its fencing token."""

    host: str
    fencing_token: int


@attrs.frozen(kw_only=True)
class ReportUsage(DutyMessage):
    """Report the sealed figures of a usage window, one line for each workspace."""

    window: int
    lines: tuple[UsageLine, ...]


@attrs.frozen(kw_only=True)
class ScaleService(DutyMessage):
    """Request a number of backend servers for a service in a failure domain.

    Reclaimable and regular servers are requested separately.
    """

    service: str
    failure_domain: str
    count: int
    reclaimable: bool


@attrs.frozen
class ObjectFound(PlatformAnswer):
    """The requested object."""

    object: VersionedRecord

    @property
    def era(self) -> int:
        """The era of the object's version."""
        return self.object.version.era


@attrs.frozen
class ObjectMissing(PlatformAnswer):
    """The requested object does not exist."""

    era: int = attrs.field(default=0, kw_only=True)


@attrs.frozen
class Written(PlatformAnswer):
    """The write took effect; the object has this version now."""

    version: Revision

    @property
    def era(self) -> int:
        """The era of the new version."""
        return self.version.era


@attrs.frozen
class Conflict(PlatformAnswer):
    """The version did not match; `current` is the object now, None if absent."""

    current: VersionedRecord | None
    era: int = attrs.field(default=0, kw_only=True)

    @property
    def version(self) -> Revision:
        """The version that the next write has to expect."""
        return self.current.version if self.current else Revision(self.era)


@attrs.frozen
class EraChanged(PlatformAnswer):
    """The store is in another era than the revision that the call named.

    A write may have taken effect, on a version that bears the same number.
    """

    era: int = attrs.field(kw_only=True)


@attrs.frozen
class UnusableObject:
    """An object that can't be decoded into a record, and why.

    An object of which not even the name can be read has no key.
    """

    key: ObjectKey | None
    version: Revision
    reason: str


@attrs.frozen
class Listing(PlatformAnswer):
    """The listed objects, at one revision of the store."""

    revision: Revision
    objects: tuple[VersionedRecord, ...]
    unusable: tuple[UnusableObject, ...] = ()

    @property
    def era(self) -> int:
        """The era of the listing's revision."""
        return self.revision.era


@attrs.frozen
class Changes(PlatformAnswer):
    """The changes after the requested revision and up to `revision`, oldest first."""

    revision: Revision
    changes: tuple[VersionedRecord, ...]
    unusable: tuple[UnusableObject, ...] = ()

    @property
    def era(self) -> int:
        """The era of the newest change."""
        return self.revision.era


@attrs.frozen
class HistoryGone(PlatformAnswer):
    """The store does not have the changes after the requested revision."""

    era: int = attrs.field(default=0, kw_only=True)


@attrs.frozen
class DutyAccepted(PlatformAnswer):
    """The platform accepted the call."""


@attrs.frozen
class DutyFenced(PlatformAnswer):
    """The platform rejected the call: it has seen a higher fencing token."""


@attrs.frozen
class DutyRejected(PlatformAnswer):
    """The platform rejected the call for another reason."""

    reason: str


@attrs.frozen
class PlatformFailure(PlatformAnswer):
    """The call failed; a write with verdict `MAY_HAVE_RUN` must be read back."""

    reason: str
    verdict: Verdict
    era: int | None = attrs.field(default=None, kw_only=True)


def check_era(message: PlatformMessage, answer: PlatformAnswer) -> PlatformAnswer:
    """Return the store's answer, or `EraChanged` if it is of a later era.

    Revisions of the era that the call names say nothing in a later one. A call that
    names no revision is answered in any era.
    """
    named, era = message.named_revision, answer.era
    is_failure = isinstance(answer, PlatformFailure)
    if named == NO_REVISION or is_failure or era is None or era <= named.era:
        return answer
    return EraChanged(era=era)
