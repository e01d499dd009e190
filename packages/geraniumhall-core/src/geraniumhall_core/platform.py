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
from geraniumhall_core.usage import UsageLine
from geraniumhall_core.verdict import Verdict


class Feed(Enum):
    """A set of objects that one listing or watch covers."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    RECORDS = "records"


@attrs.frozen
class PlatformMessage:
    """A call to the platform."""


@attrs.frozen
class PlatformAnswer:
    """An answer of the platform, or of the driver if the call failed."""


@attrs.frozen
class GetObject(PlatformMessage):
    """Read one object; unless `is_exact`, it may be seconds old."""

    key: ObjectKey
    is_exact: bool = True


@attrs.frozen
class PutObject(PlatformMessage):
    """Write one object if its version is `expected_version`; zero means absent."""

    key: ObjectKey
    record: Any
    expected_version: int


@attrs.frozen
class DeleteObject(PlatformMessage):
    """Delete one object if its version is `expected_version`."""

    key: ObjectKey
    expected_version: int


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
    after: int
    wait: float
    is_exact: bool = True


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


@attrs.frozen
class ObjectMissing(PlatformAnswer):
    """The requested object does not exist."""


@attrs.frozen
class Written(PlatformAnswer):
    """The write took effect; the object has this version now."""

    version: int


@attrs.frozen
class Conflict(PlatformAnswer):
    """The version did not match; `current` is the object now, None if absent."""

    current: VersionedRecord | None


@attrs.frozen
class UnusableObject:
    """An object that can't be decoded into a record, and why.

    An object of which not even the name can be read has no key.
    """

    key: ObjectKey | None
    version: int
    reason: str


@attrs.frozen
class Listing(PlatformAnswer):
    """The listed objects, at one revision of the store."""

    revision: int
    objects: tuple[VersionedRecord, ...]
    unusable: tuple[UnusableObject, ...] = ()


@attrs.frozen
class Changes(PlatformAnswer):
    """The changes after the requested revision and up to `revision`, oldest first."""

    revision: int
    changes: tuple[VersionedRecord, ...]
    unusable: tuple[UnusableObject, ...] = ()


@attrs.frozen
class HistoryGone(PlatformAnswer):
    """The store has dropped changes after the requested revision."""


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
