"""Purposes of platform calls.

An answer of the platform is dispatched to the handler of its call's purpose.
"""

from typing import ClassVar

import attrs

from geraniumhall_core.leases import Lease
from geraniumhall_core.orders import OrderIntent
from geraniumhall_core.parts import PartHold, PartRecord
from geraniumhall_core.platform import DeleteObject, Feed, PlatformMessage, PutObject
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.usage import WindowUsage


@attrs.frozen
class Purpose:
    """The purpose of one platform call.

    Calls of a duty go to another address of the platform than the store's.
    """

    is_duty: ClassVar[bool] = False


@attrs.frozen
class FollowFeed(Purpose):
    """Update the host's copy of a feed by a watch of `wait` seconds, or a listing.

    Unless `is_exact`, the answer may be seconds old. Of the calls for a feed only those
    of its latest `series` count.
    """

    feed: Feed
    wait: float = 0.0
    is_exact: bool = True
    series: int = 0


@attrs.frozen
class PublishHost(Purpose):
    """Write this host's record."""

    sequence: int


@attrs.frozen
class MaintainLease(Purpose):
    """Read the control lease, or write `written` as its new state.

    Unless `is_exact`, what was read may be seconds old.
    """

    written: Lease | None = None
    is_exact: bool = True


@attrs.frozen
class ReleaseLease(Purpose):
    """Release the control lease during a drain."""


@attrs.frozen
class ReadIntent(Purpose):
    """Read the recorded intent for a backend server."""

    server: str


@attrs.frozen
class WriteIntent(Purpose):
    """Record the intent of an order before it is sent."""

    server: str
    intent: OrderIntent


@attrs.frozen
class RecordOutcome(Purpose):
    """Record the outcome of an order."""

    server: str


@attrs.frozen
class ScaleDomain(Purpose):
    """Request a number of servers for a service in a failure domain."""

    is_duty: ClassVar[bool] = True

    service: str
    failure_domain: str
    reclaimable: bool
    count: int


@attrs.frozen
class ReadSeals(Purpose):
    """Read the sealed usage windows."""


@attrs.frozen
class SealWindow(Purpose):
    """Seal the figures of a window."""

    window: WindowUsage


@attrs.frozen
class ReportWindow(Purpose):
    """Report the figures of a sealed window."""

    is_duty: ClassVar[bool] = True

    window: WindowUsage


@attrs.frozen
class SavePart(Purpose):
    """Write what is held against a prompt part; with None its record is deleted."""

    part: str
    record: PartRecord | None


@attrs.frozen
class ClaimTrial(Purpose):
    """Extend the hold of a part, so that one request may try it."""

    part: str
    request_id: str
    hold: PartHold


@attrs.frozen
class ServeAdmin(Purpose):
    """Execute an operator's call to the admin API."""

    call_id: int
    message: PlatformMessage


@attrs.frozen
class ConfirmEdit(Purpose):
    """Read back an operator's edit whose write was not answered."""

    call_id: int
    message: PutObject | DeleteObject
    attempt: int


SEALS_KEY = ObjectKey("seals", "usage")
LEASE_KEY = ObjectKey("lease", "control")
