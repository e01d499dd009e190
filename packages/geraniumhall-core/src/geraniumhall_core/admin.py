"""Commands and answers of the admin API, independent of their encoding."""

from typing import Any

import attrs

from geraniumhall_core.platform import PlatformAnswer
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.requests import PromptPart
from geraniumhall_core.revisions import Revision


@attrs.frozen
class AdminCommand:
    """A call of an operator to the admin API."""


@attrs.frozen
class ReadRecord(AdminCommand):
    """Read one catalogue record from the platform."""

    key: ObjectKey


@attrs.frozen
class ListRecords(AdminCommand):
    """Read all catalogue records of one kind from the platform."""

    kind: str


@attrs.frozen
class WriteRecord(AdminCommand):
    """Write a catalogue record if its version is `expected_version`."""

    key: ObjectKey
    record: Any
    expected_version: Revision


@attrs.frozen
class DeleteRecord(AdminCommand):
    """Delete a catalogue record if its version is `expected_version`."""

    key: ObjectKey
    expected_version: Revision


@attrs.frozen
class ReadStatus(AdminCommand):
    """Read a summary of this daemon's state."""


@attrs.frozen
class ReadServers(AdminCommand):
    """Read what this daemon knows of backend servers."""


@attrs.frozen
class ReadMembers(AdminCommand):
    """Read what this daemon knows of the other daemons."""


@attrs.frozen
class ReadUnusable(AdminCommand):
    """Read which objects of the store this daemon can't decode."""


@attrs.frozen
class ReadDump(AdminCommand):
    """Read the whole state of this daemon, without secrets."""


@attrs.frozen(kw_only=True)
class PreviewPlacement(AdminCommand):
    """Tell where a request would go now, and why, without sending it.

    `parts` are those of its prompt in order. `timeout` is in seconds, None if the
    caller sets no deadline.
    """

    entry: str
    workspace: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    timeout: float | None = None


@attrs.frozen
class StartDrain(AdminCommand):
    """Start draining this daemon."""


@attrs.frozen
class AdminAnswer:
    """The answer to an operator's call."""


@attrs.frozen
class PlatformResult(AdminAnswer):
    """The platform's answer to the call."""

    answer: PlatformAnswer


@attrs.frozen
class InvalidRecord(AdminAnswer):
    """The record was rejected; `path` is the JSON path of the field at fault."""

    path: str
    reason: str


@attrs.frozen
class DrainStarted(AdminAnswer):
    """The daemon is draining."""


@attrs.frozen
class StateDump(AdminAnswer):
    """The whole state; encoders leave out fields marked as secret."""

    state: Any


@attrs.frozen(kw_only=True)
class Status(AdminAnswer):
    """A summary of one daemon.

    `configuration` is the version of the operators' configuration, zero if there
    is none. `catalogue_age` is in seconds, or None if the catalogue was never
    read. `hosts` counts the live hosts, with this one; `running` and `waiting`
    count requests.
    """

    host: str
    failure_domain: str
    incarnation: int
    ready: bool
    draining: bool
    configuration: int
    catalogue_age: float | None
    catalogue_fresh: bool
    hosts: int
    running: int
    waiting: int
    counters: dict[str, int]


@attrs.frozen(kw_only=True)
class MemberStatus:
    """What this daemon knows of another; `age` of its record is in seconds."""

    host: str
    failure_domain: str
    incarnation: int
    live: bool
    leaving: bool
    age: float


@attrs.frozen
class MemberStatuses(AdminAnswer):
    """The other daemons that this one knows of."""

    members: tuple[MemberStatus, ...]


@attrs.frozen(kw_only=True)
class LimitStatus:
    """The limit that a backend server names, in requests a second over all hosts.

    `own_rate` is this host's share of it and `hosts` are those that have one. The host
    `seen_by` read it in an answer; this one heard it from `learned_from`. It was last
    confirmed `age` seconds ago.
    """

    rate: float
    own_rate: float
    hosts: tuple[str, ...]
    seen_by: str
    learned_from: str
    age: float


@attrs.frozen(kw_only=True)
class ServerStatus:
    """What this daemon knows of a backend server.

    It is not `usable` while it is suspended after failures, leaving, or takes no
    request of this host. `outstanding` counts this daemon's own requests there, and
    `failures` those in a row. It wants nothing of this host for `closed_for` seconds.
    """

    name: str
    address: str
    failure_domain: str
    services: tuple[str, ...]
    leaving: bool
    usable: bool
    outstanding: int
    failures: int
    limit: LimitStatus | None = None
    closed_for: float = 0.0


@attrs.frozen
class ServerStatuses(AdminAnswer):
    """The backend servers of the catalogue."""

    servers: tuple[ServerStatus, ...]


@attrs.frozen(kw_only=True)
class UnusableStatus:
    """An object of a feed that can't be decoded; it may lack a name."""

    feed: str
    object: str
    reason: str


@attrs.frozen
class UnusableObjects(AdminAnswer):
    """The objects of the store that this daemon can't decode."""

    objects: tuple[UnusableStatus, ...]


@attrs.frozen(kw_only=True)
class Candidate:
    """A backend server as this daemon would weigh it for a request.

    `left_out` tells why it would not be considered, empty if it would. `requests` run
    there, those of all hosts, and `waiting_tokens` of prompts wait for prefill.
    `kept_tokens` of the prompt are expected to be held there; running requests take
    `memory_used` tokens. Speeds are relative to the service's usual ones; `failing` is
    the share of requests that it fails.
    """

    server: str
    failure_domain: str
    role: str
    left_out: str
    requests: float
    slots: int
    waiting_tokens: int
    kept_tokens: int
    memory_used: int
    prefill_speed: float
    decode_speed: float
    failing: float


@attrs.frozen(kw_only=True)
class PlacementPreview(AdminAnswer):
    """Where a request would go now, and why.

    `outcome` is `admit`, `wait`, `reject` or `refuse`. The work of `known_hosts` other
    hosts is known. With `prefill_only` the server only runs prefill.
    """

    entry: str
    service: str
    outcome: str
    reason: str
    server: str
    prefill_only: bool
    fetches_from: str
    expected_seconds: float
    known_hosts: int
    candidates: tuple[Candidate, ...]
