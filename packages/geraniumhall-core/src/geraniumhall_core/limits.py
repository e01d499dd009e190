"""Rate limits: a token bucket for each workspace on each host.

The buckets of all hosts together never hold more than the workspace's burst
and never accrue faster than its rate, because each host's bucket has a fixed
share of both, and shares sum to at most one. A host that is short may borrow
from another: the lender gives the tokens up and leaves their room empty for
`LOAN_SECONDS`, and the borrower uses the answer only within that time of its
asking. So a loan, wherever it is, is always covered by empty room.
"""

import attrs

LOAN_SECONDS = 0.05


@attrs.frozen(order=True)
class Loan:
    """Tokens given up; their room is free again at `expires_at` seconds."""

    expires_at: float
    amount: float


@attrs.frozen
class Share:
    """A host's part of a workspace's rate and burst."""

    rate: float
    burst: float

    def meet(self, other: "Share") -> "Share":
        """Return the lower of both in each part."""
        return Share(min(self.rate, other.rate), min(self.burst, other.burst))


@attrs.define
class TokenBucket:
    """A bucket that accrues `rate` tokens a second up to `burst`.

    The bucket starts empty by default, so that a process restarted on a host
    can't spend its predecessor's burst a second time. A larger share comes
    into force at `pending_at` only, when no host uses an older one any more.
    """

    share: Share
    updated_at: float
    tokens: float = 0.0
    loans: list[Loan] = attrs.field(factory=list)
    pending: Share | None = None
    pending_at: float = float("inf")

    @property
    def room(self) -> float:
        """The most tokens that the bucket may hold now."""
        lent = sum(loan.amount for loan in self.loans)
        return max(0.0, self.share.burst - lent)

    def accrue(self, now: float) -> None:
        """Add the tokens earned since the last update; a clock never runs back."""
        while self.loans and self.loans[0].expires_at <= now:
            self._accrue_until(self.loans[0].expires_at)
            self.loans.pop(0)
        if self.pending is not None and self.pending_at <= now:
            self._accrue_until(self.pending_at)
            self.share = self.pending
            self.pending = None
        self._accrue_until(now)

    def try_spend(self, amount: float, now: float) -> bool:
        """Spend `amount` tokens and return True, or leave the bucket as it is."""
        return self.spend_with_loan(amount, 0.0, now) is not None

    def spend_with_loan(self, amount: float, loan: float, now: float) -> float | None:
        """Spend `amount` tokens, those of a loan first.

        Returns what is left of the loan, or None if there is not enough; the
        bucket is then left as it is.
        """
        self.accrue(now)
        if self.tokens + loan < amount:
            return None
        from_loan = min(loan, amount)
        self.tokens -= amount - from_loan
        return loan - from_loan

    def keep(self, borrowed: float, now: float) -> None:
        """Put tokens of a loan into the bucket, as far as there is room."""
        self.accrue(now)
        self.tokens = min(self.room, self.tokens + borrowed)

    def lend(self, amount: float, now: float) -> float:
        """Give up to `amount` tokens to another host; return how many."""
        self.accrue(now)
        given = min(amount, self.tokens)
        if given > 0:
            self.tokens -= given
            self.loans.append(Loan(now + LOAN_SECONDS, given))
        return given

    def seconds_until(self, amount: float) -> float | None:
        """Return seconds until `amount` is there, or None if it never will be."""
        if amount > self.share.burst or self.share.rate <= 0:
            return None
        return max(0.0, (amount - self.tokens) / self.share.rate)

    def resize(self, share: Share, now: float, raise_at: float) -> None:
        """Change the share: decreases at once, increases at `raise_at`."""
        self.accrue(now)
        self.share = self.share.meet(share)
        self.tokens = min(self.tokens, self.room)
        self.pending = share if share != self.share else None
        self.pending_at = raise_at
        self.accrue(now)

    def _accrue_until(self, moment: float) -> None:
        elapsed = max(0.0, moment - self.updated_at)
        earned = self.tokens + elapsed * self.share.rate
        self.tokens = min(self.room, earned)
        self.updated_at = max(self.updated_at, moment)


@attrs.define
class BorrowRound:
    """A host's attempt to borrow for requests that wait for tokens.

    `outstanding` is the number of answers to come, `pool` what came so far.
    """

    waiting: list[str] = attrs.field(factory=list)
    outstanding: int = 0
    pool: float = 0.0


@attrs.frozen
class LenderLevel:
    """The tokens that a lender had left at a time in seconds."""

    tokens: float
    at: float

    def estimate(self, share: Share, now: float) -> float:
        """Return what the lender may have by now, with this share."""
        return min(share.burst, self.tokens + (now - self.at) * share.rate)
