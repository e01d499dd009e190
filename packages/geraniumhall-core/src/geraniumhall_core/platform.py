"""Messages of the platform's interfaces and their answers.

Each message is registered under the name that codecs use for it. A driver
takes a message and returns an answer; a failure is an answer too, and its
verdict says whether a write may have taken effect.
"""

from typing import Any

import attrs

from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.registry import Registry
from geraniumhall_core.verdict import Verdict

MESSAGES: Registry[str, type] = Registry("platform message")
ANSWERS: Registry[str, type] = Registry("platform answer")


@attrs.frozen
class Message:
    """A call to the platform."""


@attrs.frozen
class Answer:
    """What the platform, or the driver in its place, answered."""


@MESSAGES.register("get_object")
@attrs.frozen
class GetObject(Message):
    """Read one object."""

    key: ObjectKey


@MESSAGES.register("put_object")
@attrs.frozen
class PutObject(Message):
    """Write one object if its version is `if_version`; zero means absent."""

    key: ObjectKey
    record: Any
    if_version: int


@MESSAGES.register("delete_object")
@attrs.frozen
class DeleteObject(Message):
    """Delete one object if its version is `if_version`."""

    key: ObjectKey
    if_version: int


@MESSAGES.register("list_objects")
@attrs.frozen
class ListObjects(Message):
    """Read all objects of some kinds at one revision."""

    kinds: tuple[str, ...]


@MESSAGES.register("watch_objects")
@attrs.frozen
class WatchObjects(Message):
    """Wait at most `wait` seconds for changes after revision `after`."""

    kinds: tuple[str, ...]
    after: int
    wait: float


@MESSAGES.register("order_servers")
@attrs.frozen
class OrderServers(Message):
    """Order backend servers in a failure domain; `order_id` makes it idempotent."""

    order_id: str
    failure_domain: str
    model: str
    count: int
    fencing_token: int


@MESSAGES.register("list_orders")
@attrs.frozen
class ListOrders(Message):
    """Read the orders accepted for a failure domain."""

    failure_domain: str


@MESSAGES.register("report_usage")
@attrs.frozen
class ReportUsage(Message):
    """Report the final figures of a workspace for one usage window."""

    workspace: str
    window: int
    prompt_tokens: int
    generated_tokens: int
    requests: int


@MESSAGES.register("list_hosts")
@attrs.frozen
class ListHosts(Message):
    """Read the lagging list of live and leaving hosts."""


@MESSAGES.register("fetch_weights")
@attrs.frozen
class FetchWeights(Message):
    """Ask the rate-limited weight store for a model's weights."""

    model: str


@ANSWERS.register("object_found")
@attrs.frozen
class ObjectFound(Answer):
    """The object that was asked for."""

    object: VersionedRecord


@ANSWERS.register("object_missing")
@attrs.frozen
class ObjectMissing(Answer):
    """There is no such object."""


@ANSWERS.register("written")
@attrs.frozen
class Written(Answer):
    """The write took effect and gave the object this version."""

    version: int


@ANSWERS.register("conflict")
@attrs.frozen
class Conflict(Answer):
    """The condition failed; this is the object now, None when absent."""

    current: VersionedRecord | None


@ANSWERS.register("listing")
@attrs.frozen
class Listing(Answer):
    """All objects of the kinds asked for, at one revision."""

    revision: int
    objects: tuple[VersionedRecord, ...]


@ANSWERS.register("changes")
@attrs.frozen
class Changes(Answer):
    """The changes since the revision asked for, oldest first."""

    revision: int
    changes: tuple[VersionedRecord, ...]


@ANSWERS.register("history_gone")
@attrs.frozen
class HistoryGone(Answer):
    """The store no longer knows the changes since that revision."""

    revision: int


@attrs.frozen
class ServerOrder:
    """An order the platform accepted."""

    order_id: str
    failure_domain: str
    model: str
    count: int


@ANSWERS.register("order_accepted")
@attrs.frozen
class OrderAccepted(Answer):
    """The order stands; a repeat of the same id gives the same answer."""

    order: ServerOrder


@ANSWERS.register("order_rejected")
@attrs.frozen
class OrderRejected(Answer):
    """The order was refused, with the reason."""

    reason: str


@ANSWERS.register("order_listing")
@attrs.frozen
class OrderListing(Answer):
    """Orders of a failure domain."""

    orders: tuple[ServerOrder, ...]


@ANSWERS.register("usage_accepted")
@attrs.frozen
class UsageAccepted(Answer):
    """The window's figures are on record."""


@ANSWERS.register("usage_conflict")
@attrs.frozen
class UsageConflict(Answer):
    """The window was reported before with other figures."""


@attrs.frozen
class ListedHost:
    """A host in the platform's lagging list."""

    name: str
    failure_domain: str
    leaving: bool = False


@ANSWERS.register("host_listing")
@attrs.frozen
class HostListing(Answer):
    """The hosts as the platform last saw them."""

    hosts: tuple[ListedHost, ...]


@ANSWERS.register("weights_granted")
@attrs.frozen
class WeightsGranted(Answer):
    """The weights may be read now."""

    version: str


@ANSWERS.register("weights_deferred")
@attrs.frozen
class WeightsDeferred(Answer):
    """The weight store is over its rate; ask again in `retry_after` seconds."""

    retry_after: float


@ANSWERS.register("platform_failure")
@attrs.frozen
class PlatformFailure(Answer):
    """The call failed; a write with verdict `MAY_HAVE_RUN` must be read back."""

    reason: str
    verdict: Verdict
