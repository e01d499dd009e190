"""Why the platform is called; the answer goes to the purpose's handler."""

import attrs

from geraniumhall_core.leases import Lease
from geraniumhall_core.orders import OrderIntent
from geraniumhall_core.platform import DeleteObject, Feed, PlatformMessage, PutObject
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.usage import WindowUsage


@attrs.frozen
class Purpose:
    """The reason of one platform call."""


@attrs.frozen
class FollowFeed(Purpose):
    """Bring the host's copy of a feed up to date."""

    feed: Feed


@attrs.frozen
class PublishHost(Purpose):
    """Write this host's record."""

    sequence: int


@attrs.frozen
class MaintainLease(Purpose):
    """Read the control lease, or write `written` as its new state."""

    written: Lease | None = None


@attrs.frozen
class ReleaseLease(Purpose):
    """Free the control lease at a planned stop."""


@attrs.frozen
class ReadIntent(Purpose):
    """Read what order stands for a backend server."""

    server: str


@attrs.frozen
class WriteIntent(Purpose):
    """Record an order before it is sent."""

    server: str
    intent: OrderIntent


@attrs.frozen
class RecordOutcome(Purpose):
    """Record the answer to an order."""

    server: str


@attrs.frozen
class ScaleDomain(Purpose):
    """Order the number of a service's servers in a failure domain."""

    service: str
    failure_domain: str
    reclaimable: bool
    count: int


@attrs.frozen
class ReadSeals(Purpose):
    """Read the sealed usage windows."""


@attrs.frozen
class SealWindow(Purpose):
    """Write the final figures of a window."""

    window: WindowUsage


@attrs.frozen
class ReportWindow(Purpose):
    """Report the figures of a sealed window."""

    window: WindowUsage


@attrs.frozen
class ServeAdmin(Purpose):
    """Carry out an operator's call."""

    call_id: int
    message: PlatformMessage


@attrs.frozen
class ConfirmEdit(Purpose):
    """Read back an operator's edit whose write got no reply."""

    call_id: int
    message: PutObject | DeleteObject
    attempt: int


SEALS_KEY = ObjectKey("seals", "usage")
LEASE_KEY = ObjectKey("lease", "control")
