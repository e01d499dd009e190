"""Loans of rate tokens between hosts, by datagram.

A host whose callers exceed its share asks its peers, and each peer with tokens
left lends some. Tokens leave the lender's bucket before they are sent, so that a
lost datagram loses tokens but never creates any.
"""

import attrs

LENDABLE_FRACTION = 0.5  # of the tokens that a lender has left, overdraft included


@attrs.frozen(kw_only=True)
class LoanRequest:
    """A request to lend `amount` tokens of a workspace in the round `number`."""

    host: str
    address: str
    workspace: str
    amount: float
    number: int


@attrs.frozen(kw_only=True)
class Loan:
    """Tokens that a host lends for a round; `amount` may be zero."""

    host: str
    workspace: str
    amount: float
    number: int


@attrs.define
class BorrowRound:
    """One attempt to borrow tokens of a workspace.

    `waiting` holds the ids of the requests that need the tokens. The round ends
    once all `awaited_hosts` have answered, or at `ends_at` seconds on the host's
    clock. `received` is the number of tokens borrowed so far.
    """

    number: int
    ends_at: float
    waiting: list[str] = attrs.field(factory=list)
    awaited_hosts: set[str] = attrs.field(factory=set)
    received: float = 0.0


@attrs.define
class BorrowingState:
    """Borrowing rounds in progress, by workspace, and the last one that has ended.

    No round is started for a workspace before its time in `backoff_until`, in
    seconds on the host's clock.
    """

    rounds: dict[str, BorrowRound] = attrs.field(factory=dict)
    ended: dict[str, BorrowRound] = attrs.field(factory=dict)
    backoff_until: dict[str, float] = attrs.field(factory=dict)
    number: int = 0

    def find_round(self, loan: Loan) -> BorrowRound | None:
        """Return the round that awaits a loan, which may have ended before it came."""
        rounds = (self.rounds.get(loan.workspace), self.ended.get(loan.workspace))
        for found in rounds:
            if found is not None and found.number == loan.number:
                return found if loan.host in found.awaited_hosts else None
        return None
