"""Messages to the platform's interfaces and their answers.

Each message and answer is an attrs class. A driver takes a message and
returns an answer; a failure is an answer too, and its verdict says whether a
write may have taken effect.

Objects are read in feeds. A feed is what one listing or watch covers: the
operators' configuration, the backend servers that registered themselves, or
the records that the daemons and their admin API write.
"""

from enum import Enum
from typing import Any

import attrs

from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.usage import UsageLine
from geraniumhall_core.verdict import Verdict


class Feed(Enum):
    """What one listing or watch covers."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    RECORDS = "records"


@attrs.frozen
class PlatformMessage:
    """A call to the platform."""


@attrs.frozen
class PlatformAnswer:
    """What the platform, or the driver in its place, answered."""


@attrs.frozen
class GetObject(PlatformMessage):
    """Read one object."""

    key: ObjectKey


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
    """Wait at most `wait` seconds for changes of a feed after revision `after`."""

    feed: Feed
    after: int
    wait: float


@attrs.frozen(kw_only=True)
class DutyMessage(PlatformMessage):
    """A call that one host at a time may make, under a fencing token."""

    host: str
    fencing_token: int


@attrs.frozen(kw_only=True)
class ReportUsage(DutyMessage):
    """Report the final figures of a usage window, one line a workspace."""

    window: int
    lines: tuple[UsageLine, ...]


@attrs.frozen(kw_only=True)
class ScaleService(DutyMessage):
    """Order the number of backend servers of a service in a failure domain.

    Reclaimable servers are counted by themselves.
    """

    service: str
    failure_domain: str
    count: int
    reclaimable: bool


@attrs.frozen
class ObjectFound(PlatformAnswer):
    """The object that was asked for."""

    object: VersionedRecord


@attrs.frozen
class ObjectMissing(PlatformAnswer):
    """There is no such object."""


@attrs.frozen
class Written(PlatformAnswer):
    """The write took effect and gave the object this version."""

    version: int


@attrs.frozen
class Conflict(PlatformAnswer):
    """The condition failed; this is the object now, None when absent."""

    current: VersionedRecord | None


@attrs.frozen
class Listing(PlatformAnswer):
    """All objects of a feed, at one revision."""

    revision: int
    objects: tuple[VersionedRecord, ...]


@attrs.frozen
class Changes(PlatformAnswer):
    """The changes since the revision asked for, oldest first."""

    revision: int
    changes: tuple[VersionedRecord, ...]


@attrs.frozen
class HistoryGone(PlatformAnswer):
    """The store no longer knows the changes since that revision."""


@attrs.frozen
class DutyAccepted(PlatformAnswer):
    """The platform took the call."""


@attrs.frozen
class DutyFenced(PlatformAnswer):
    """The platform knows a higher fencing token."""


@attrs.frozen
class DutyRejected(PlatformAnswer):
    """The platform refused the call for another reason."""

    reason: str


@attrs.frozen
class PlatformFailure(PlatformAnswer):
    """The call failed; a write with verdict `MAY_HAVE_RUN` must be read back."""

    reason: str
    verdict: Verdict
