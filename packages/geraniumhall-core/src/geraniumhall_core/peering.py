"""Messages between daemons, and what they tell of each other.

A daemon pulls from its peers: the answer carries ages, and the time of asking
minus an age is a safe bound, however long the answer took. Reports merge to
the newest by incarnation and heartbeat, which is associative, commutative and
idempotent; so order, repetition and batching of messages do not matter.
"""

import attrs

from geraniumhall_core.records import RECORD_KINDS, VersionedRecord

MAX_REPORTS = 24


@RECORD_KINDS.register("host")
@attrs.frozen(kw_only=True)
class HostRecord:
    """Where the daemon of a host listens for its peers."""

    address: str
    failure_domain: str
    incarnation: int


@attrs.frozen(kw_only=True)
class Member:
    """What a daemon says of itself; the heartbeat rises with every pull."""

    host: str
    failure_domain: str
    address: str
    incarnation: int
    heartbeat: int
    leaving: bool
    revision: int

    @property
    def order(self) -> tuple[int, int]:
        """Newer states of one host compare greater."""
        return (self.incarnation, self.heartbeat)


@attrs.frozen
class MemberReport:
    """A member's state, at least `age` seconds old."""

    member: Member
    age: float


@attrs.frozen
class PeerMessage:
    """A call from one daemon to another."""


@attrs.frozen
class PeerAnswer:
    """The answer of another daemon."""


@attrs.frozen
class PullRequest(PeerMessage):
    """Ask for members, and for the catalogue after `revision`."""

    sender: Member
    revision: int


@attrs.frozen
class PullAnswer(PeerAnswer):
    """Members with ages, and changes of the catalogue up to `revision`.

    With `is_full` the changes are all objects, and what is missing is deleted.
    `confirmed_age` is in seconds, None if the copy was never confirmed.
    """

    reports: tuple[MemberReport, ...]
    revision: int
    confirmed_age: float | None
    changes: tuple[VersionedRecord, ...]
    is_full: bool = False


@attrs.frozen
class BorrowRequest(PeerMessage):
    """Ask for `amount` rate-limit tokens of a workspace."""

    borrower: str
    workspace: str
    amount: float


@attrs.frozen
class BorrowAnswer(PeerAnswer):
    """Tokens that the lender has given up; they must be spent at once.

    `left` is what the lender still has.
    """

    amount: float
    left: float


@attrs.frozen
class PeerFailure(PeerAnswer):
    """The peer gave no answer."""

    reason: str


@attrs.define
class KnownMember:
    """A member as this host knows it.

    `heard_at` is the latest time on this host's clock at which the member
    certainly was in its state or an older one.
    """

    member: Member
    heard_at: float


@attrs.define
class Membership:
    """The daemons that this host knows, without itself."""

    known: dict[str, KnownMember] = attrs.field(factory=dict)
    turn: int = 0

    def merge(self, member: Member, heard_at: float) -> bool:
        """Take in a report; return whether the member's state was news."""
        current = self.known.get(member.host)
        if current is None:
            self.known[member.host] = KnownMember(member, heard_at)
            return True
        if member.order >= current.member.order:
            current.heard_at = max(current.heard_at, heard_at)
        is_news = member.order > current.member.order
        if is_news:
            current.member = member
        return is_news

    def list_reports(self, now: float) -> list[MemberReport]:
        """Return members with their ages at `now`, a bounded number in turn."""
        known = list(self.known.values())
        first = self.turn % max(1, len(known))
        self.turn += MAX_REPORTS
        chosen = [*known[first:], *known[:first]][:MAX_REPORTS]
        return [
            MemberReport(item.member, max(0.0, now - item.heard_at)) for item in chosen
        ]
