"""Who may send this host datagrams, and what of them is read.

The hosts' records name the addresses from which hosts send. A new host may ask the
others what it has to know before its record has been read, so a question of any sender
is answered, at a low rate. Nothing else is taken from a sender without a record: its
datagrams would be kept as the state of hosts.

The addresses are compared only. Where senders can forge them, the network has to keep
strangers away from the hosts' listeners.
"""

from collections.abc import Iterable
from enum import Enum

import attrs

from geraniumhall_core.limits import Share, TokenBucket

LIST_SECONDS = 0.2  # between two looks at the records
MAX_QUESTION_BYTES = 512
QUESTIONS = Share(rate=32.0, burst=64.0)  # a second, of all unknown senders


class SenderVerdict(Enum):
    """What is read of a datagram."""

    MESSAGE = "message"
    QUESTION = "question"
    NOTHING = "nothing"


@attrs.define(eq=False)
class SenderScreen:
    """Decides what is read of a datagram, by its sender's address and its size.

    `hosts` are the addresses in the records as of `listed_at`, in seconds on the host's
    clock. An address stays known until the next look at the records.
    """

    hosts: frozenset[str] = frozenset()
    listed_at: float = float("-inf")
    _questions: TokenBucket = attrs.field(
        factory=lambda: TokenBucket(QUESTIONS, 0.0, QUESTIONS.burst)
    )

    def is_due(self, now: float) -> bool:
        """Return whether the addresses are to be listed again."""
        return now - self.listed_at >= LIST_SECONDS

    def list_hosts(self, addresses: Iterable[str], now: float) -> None:
        """Replace the addresses of the known hosts."""
        self.hosts = frozenset(addresses)
        self.listed_at = now

    def judge(self, sender: str, size: int, now: float) -> SenderVerdict:
        """Return what is to be read of `size` bytes from ``HOST:PORT``."""
        if sender in self.hosts:
            return SenderVerdict.MESSAGE
        if size <= MAX_QUESTION_BYTES and self._questions.try_spend(1.0, now):
            return SenderVerdict.QUESTION
        return SenderVerdict.NOTHING
