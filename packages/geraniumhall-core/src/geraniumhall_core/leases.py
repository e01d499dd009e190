"""The control lease: which host performs duties, and under which term.

The lease is an object in the platform's store, acquired and renewed by
conditional writes. Its holder counts the TTL from before it sent the write, on a
clock that includes suspension, and stops acting a margin before expiry. A
successor waits TTL plus margin from when it first saw the latest version. The
term increases with every change of holder and serves as the fencing token.
"""

import attrs

from geraniumhall_core.records import RECORD_KINDS, VersionedRecord
from geraniumhall_core.revisions import NO_REVISION, Revision

TERMS_PER_ERA = 1 << 32  # above the numbers of 100 days with 400 writes a second


@RECORD_KINDS.register("lease")
@attrs.frozen(kw_only=True)
class Lease:
    """The lease as stored in the platform.

    `renewal` numbers the holder's writes, so that a lease that is read back can be
    matched to the time at which its write was sent. A released lease has an
    empty `host`. `era` is that of the store in which it was written.
    """

    host: str
    incarnation: int
    term: int
    renewal: int
    era: int = 0


@attrs.define
class LeaseState:
    """A candidate's view of the lease; times are in seconds on its clock.

    `version` is the latest version seen, and `first_seen_at` when it was first
    seen. `written_at` maps the renewal number of each own write to the time just
    before it was sent. `held_until` is when this process's lease expires, and
    `term_since` when its first write under `term` was sent. A former holder does
    not compete for the lease until `cooldown_until`.
    """

    version: Revision = NO_REVISION
    record: Lease | None = None
    first_seen_at: float = float("-inf")
    written_at: dict[int, float] = attrs.field(factory=dict)
    renewal: int = 0
    held_until: float = float("-inf")
    term: int = 0
    term_since: float = float("-inf")
    is_calling: bool = False
    next_call_at: float = float("-inf")
    cooldown_until: float = float("-inf")

    def observe(
        self, current: VersionedRecord | None, now: float, era: int = 0
    ) -> None:
        """Update the view with the object that the platform holds, None if absent.

        `era` is that of the store which lacks it.
        """
        version = current.version if current else Revision(era)
        if version != self.version or self.record is None:
            self.first_seen_at = now
        self.version = version
        self.record = current.record if current else None

    def confirm_write(self, version: Revision, record: Lease, ttl: float) -> None:
        """Hold the lease until `ttl` seconds after the own write `record` was sent.

        The TTL counts from that write, not from a later one that did not take
        effect. A write of an earlier process is unknown and holds nothing.
        """
        self.version = version
        self.record = record
        sent_at = self.written_at.get(record.renewal, float("-inf"))
        if record.term != self.term:
            self.term_since = sent_at
        self.term = record.term
        self.held_until = sent_at + ttl
        self.written_at = {
            number: moment
            for number, moment in self.written_at.items()
            if number >= record.renewal
        }

    def start_write(self, now: float) -> int:
        """Record that a write is being sent, and return its renewal number."""
        self.renewal += 1
        self.written_at[self.renewal] = now
        return self.renewal

    def release(self) -> None:
        """Stop holding the lease."""
        self.held_until = float("-inf")

    def begin_era(self, era: int) -> None:
        """Stop holding the lease, and forget what an earlier era of the store had."""
        self.release()
        self.written_at.clear()
        self.version = Revision(era)
        self.record = None

    def compute_next_term(self) -> int:
        """Return a term above all that were held before.

        In era zero that is the one after the known term. In a later era the number of
        the version that the new holder replaces is added to the first term of the era.
        So a term lies above those of earlier eras, also of holders that nobody here
        knows of, and above all earlier ones of its era, since that number rises with
        each write of the lease.
        """
        known = max(self.term, self.record.term if self.record else 0)
        if self.version.era:
            first = self.version.era * TERMS_PER_ERA
            known = max(known, first + self.version.number)
        return known + 1
