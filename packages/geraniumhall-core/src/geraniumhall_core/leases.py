"""The control lease: who is in charge of duties, and under which term.

The lease is an object in the platform, taken and renewed by conditional writes.
Its holder counts the lease's life from before it sent the write, on a clock
that counts suspension, and stops a margin early. A successor waits a whole
life and margin from its own first sight of the last version. The term rises
with every change of holder and serves as the fencing token.
"""

import attrs

from geraniumhall_core.records import RECORD_KINDS, VersionedRecord


@RECORD_KINDS.register("lease")
@attrs.frozen(kw_only=True)
class Lease:
    """A lease as the platform keeps it.

    `renewal` numbers the holder's writes, so that one read back tells when it
    was sent. A lease that was given up has no host.
    """

    host: str
    incarnation: int
    term: int
    renewal: int


@attrs.define
class LeaseState:
    """A lease as one candidate sees it; times are in seconds on its clock.

    `version` is the last one seen, at `first_seen_at` for the first time.
    `written_at` is the time before each of the candidate's own writes was
    sent, by renewal number. A former holder leaves the lease to others until
    `cooldown_until`.
    """

    version: int = 0
    record: Lease | None = None
    first_seen_at: float = float("-inf")
    written_at: dict[int, float] = attrs.field(factory=dict)
    renewal: int = 0
    held_until: float = float("-inf")
    term: int = 0
    is_calling: bool = False
    next_call_at: float = float("-inf")
    cooldown_until: float = float("-inf")

    def observe(self, current: VersionedRecord | None, now: float) -> None:
        """Take in what the platform holds now."""
        version = current.version if current else 0
        if version != self.version or self.record is None:
            self.first_seen_at = now
        self.version = version
        self.record = current.record if current else None

    def confirm_write(self, version: int, record: Lease, ttl: float) -> None:
        """Note that one's own write `record` took effect.

        Its life counts from when that very write was sent, not a later one.
        """
        self.version = version
        self.record = record
        self.term = record.term
        sent_at = self.written_at.get(record.renewal, float("-inf"))
        self.held_until = sent_at + ttl
        self.written_at = {
            number: moment
            for number, moment in self.written_at.items()
            if number >= record.renewal
        }

    def start_write(self, now: float) -> int:
        """Return the number of a write that is being sent."""
        self.renewal += 1
        self.written_at[self.renewal] = now
        return self.renewal

    def release(self) -> None:
        """Note that the lease is another's."""
        self.held_until = float("-inf")
