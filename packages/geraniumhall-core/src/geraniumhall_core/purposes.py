"""Why the platform is called; the answer goes to the purpose's handler."""

import attrs

from geraniumhall_core.platform import DeleteObject, Message, PutObject
from geraniumhall_core.records import ObjectKey


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
