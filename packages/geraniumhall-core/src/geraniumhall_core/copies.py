"""Messages by which one host proves to another how current its copy of a feed is.

A follower asks with a number that it never uses again. The answer repeats it, so that
the follower dates the proof by when it asked, on its own clock: what the reader
knew when it answered, it knew no earlier than the question was sent, less the age
of its own confirmation. Wall clocks are never compared, and an answer that was
delayed, by a network or by a suspended host, proves only what was true in its time.
"""

import attrs

from geraniumhall_core.platform import Feed
from geraniumhall_core.records import VersionedRecord
from geraniumhall_core.revisions import NO_REVISION, Revision

MAX_BATCHES = 32
MAX_RELAYED_CHANGES = 40  # of a server each, about 200 B


@attrs.frozen
class HeldCopy:
    """The revision at which a host holds its copy of a feed."""

    feed: Feed
    revision: Revision


@attrs.frozen(kw_only=True)
class CopyQuery:
    """A follower's question; `number` is used once by each `incarnation`."""

    host: str
    incarnation: int
    address: str
    number: int
    copies: tuple[HeldCopy, ...]


@attrs.frozen(kw_only=True)
class CopyProof:
    """What a reader knows of a feed.

    Its copy is at `revision`, and its newest change is at `changed_at` or before. It
    was confirmed `age` seconds before the answer. The `changes` lead from any revision
    from `after` on to `revision`; without any, `after` equals `revision`.
    """

    feed: Feed
    revision: Revision
    changed_at: Revision
    age: float
    after: Revision
    changes: tuple[VersionedRecord, ...] = ()


@attrs.frozen(kw_only=True)
class CopyAnswer:
    """A reader's answer to the question `number` of a follower's `incarnation`."""

    host: str
    incarnation: int
    number: int
    proofs: tuple[CopyProof, ...]


@attrs.frozen
class ChangeBatch:
    """The changes of a feed that lead from the revision `after` to `until`."""

    after: Revision
    until: Revision
    changes: tuple[VersionedRecord, ...]


@attrs.define
class ChangeLog:
    """The newest changes of a feed that a host can relay.

    `changed_at` is the revision of the newest change, or a later one.
    """

    changed_at: Revision = NO_REVISION
    batches: list[ChangeBatch] = attrs.field(factory=list)

    def add(self, batch: ChangeBatch) -> None:
        """Record a batch that follows on the last one; drop the oldest beyond a limit.

        A batch that does not follow on the last one makes those before it useless.
        """
        if self.batches and self.batches[-1].until > batch.after:
            self.batches.clear()
        self.batches.append(batch)
        del self.batches[:-MAX_BATCHES]
        self.changed_at = max(self.changed_at, batch.until)

    def restart(self, revision: Revision) -> None:
        """Forget all changes, after a listing or a change that can't be relayed."""
        self.batches.clear()
        self.changed_at = revision

    def collect(self, revision: Revision) -> ChangeBatch | None:
        """Return the changes that follow on a revision, None if they are not known."""
        needed = [batch for batch in self.batches if batch.until > revision]
        changes = tuple(item for batch in needed for item in batch.changes)
        if not needed or needed[0].after > revision:
            return None
        if len(changes) > MAX_RELAYED_CHANGES:
            return None
        return ChangeBatch(needed[0].after, needed[-1].until, changes)


@attrs.frozen
class SentQuery:
    """A question to a host, sent at `sent_at` seconds on this host's clock."""

    host: str
    sent_at: float


@attrs.define
class RelayState:
    """A host's part in relaying copies; times are in seconds on its clock.

    `logs` holds the changes that it can relay. The `readers` are chosen again at
    `choose_at`. `queries` holds its questions by number, and `overdue` the numbers of
    those that got no answer in time. `missed` counts useless questions in a row for
    each host, which is left out of the readers until a time in `suspects`. A host
    that is asked reads the store itself until `asked_until`. `resting` holds the feeds
    that this host leaves unread, `differing` those of which it lacks changes that no
    reader can relay, and `retry_at` when a read that failed may be repeated.
    """

    logs: dict[Feed, ChangeLog] = attrs.field(factory=dict)
    readers: tuple[str, ...] = ()
    choose_at: float = float("-inf")
    number: int = 0
    queries: dict[int, SentQuery] = attrs.field(factory=dict)
    overdue: set[int] = attrs.field(factory=set)
    missed: dict[str, int] = attrs.field(factory=dict)
    suspects: dict[str, float] = attrs.field(factory=dict)
    ask_at: float = float("-inf")
    asked_until: float = float("-inf")
    resting: set[Feed] = attrs.field(factory=set)
    differing: set[Feed] = attrs.field(factory=set)
    retry_at: dict[Feed, float] = attrs.field(factory=dict)

    def get_log(self, feed: Feed) -> ChangeLog:
        """Return the log of a feed, created on first use."""
        return self.logs.setdefault(feed, ChangeLog())
