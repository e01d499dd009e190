"""Why the platform is called; the answer goes to the purpose's handler."""

import attrs

from geraniumhall_core.leases import Lease
from geraniumhall_core.orders import OrderIntent
from geraniumhall_core.platform import Answer, DeleteObject, Message, PutObject
from geraniumhall_core.purchases import Purchase
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.usage import UsageLine, UsageSeal


@attrs.frozen
class Purpose:
    """The reason of one platform call."""


@attrs.frozen
class SyncCatalogue(Purpose):
    """Bring the host's copy of the catalogue up to date."""


@attrs.frozen
class RegisterHost(Purpose):
    """Put the address of this daemon into the catalogue."""


@attrs.frozen
class UnregisterHost(Purpose):
    """Take this daemon out of the catalogue at its planned end."""


@attrs.frozen
class TendLease(Purpose):
    """Read a lease, or write `written` as its new state."""

    name: str
    written: Lease | None = None


@attrs.frozen
class GiveUpLease(Purpose):
    """Free a lease at a planned stop."""


@attrs.frozen
class TendOrder(Purpose):
    """Read what order stands for a backend server."""

    server: str


@attrs.frozen
class StartOrder(Purpose):
    """Record an order before it is sent."""

    server: str
    intent: OrderIntent


@attrs.frozen
class RecordOrder(Purpose):
    """Record the answer to an order."""

    server: str


@attrs.frozen
class ReadPurchase(Purpose):
    """Read the last order for backend servers under a wish."""

    wish: str


@attrs.frozen
class CountOrdered(Purpose):
    """Read what the platform was ordered so far, after order `number`."""

    wish: str
    number: int
    version: int


@attrs.frozen
class StartPurchase(Purpose):
    """Record an order for backend servers before it is sent."""

    wish: str
    purchase: Purchase


@attrs.frozen
class SendPurchase(Purpose):
    """Order backend servers from the platform."""

    wish: str
    purchase: Purchase
    version: int


@attrs.frozen
class FinishPurchase(Purpose):
    """Record that the platform took an order."""

    wish: str


@attrs.frozen
class FlushUsage(Purpose):
    """Write this process's counts of a window, as the part `sequence`."""

    window: int
    sequence: int


@attrs.frozen
class SettleUsage(Purpose):
    """Read a window's seal, to compare it with this process's counts."""

    window: int


@attrs.frozen
class ListUsage(Purpose):
    """Read all parts and seals, to find what is to be done."""


@attrs.frozen
class SealUsage(Purpose):
    """Write the final figures of a window."""

    seal: UsageSeal


@attrs.frozen
class ReportSealed(Purpose):
    """Report one workspace's figures of a sealed window."""

    line: UsageLine


@attrs.frozen
class FinishSeal(Purpose):
    """Mark a seal as reported."""


@attrs.frozen
class RemoveUsage(Purpose):
    """Remove a part or seal that is no longer needed."""


@attrs.frozen
class TakeClaim(Purpose):
    """Create the claim of a request."""

    request_id: str
    key: ObjectKey


@attrs.frozen
class ConfirmClaim(Purpose):
    """Read back a claim whose creation got no reply."""

    request_id: str
    key: ObjectKey


@attrs.frozen
class SettleClaim(Purpose):
    """Mark a claim as done, or release it."""


@attrs.frozen
class ServeAdmin(Purpose):
    """Carry out an operator's call."""

    call_id: int
    message: Message


@attrs.frozen
class ConfirmEdit(Purpose):
    """Read back an operator's edit whose write got no reply."""

    call_id: int
    message: PutObject | DeleteObject
    attempt: int


@attrs.frozen
class VerifySelf(Purpose):
    """Read this daemon's own record before an edit is confirmed as `answer`."""

    call_id: int
    answer: Answer


@attrs.frozen
class ListGone(Purpose):
    """Read the platform's list of hosts, to find those that are gone."""


@attrs.frozen
class RemoveHost(Purpose):
    """Remove the record of a host that is gone."""

    host: str
