"""Loans of rate tokens between hosts, by datagrams.

A host whose callers ask for more than its share asks its peers, and each that
has more than it needs gives some up. Tokens leave the lender's bucket before
they are sent, so a lost datagram costs tokens and never makes any.
"""

import attrs

LENDABLE_FRACTION = 0.5


@attrs.frozen(kw_only=True)
class LoanRequest:
    """Ask for `amount` tokens of a workspace, in the borrower's round `number`."""

    host: str
    address: str
    workspace: str
    amount: float
    number: int


@attrs.frozen(kw_only=True)
class Loan:
    """Tokens that a host has given up for a round; there may be none."""

    host: str
    workspace: str
    amount: float
    number: int


@attrs.define
class BorrowRound:
    """One attempt to borrow tokens of a workspace.

    `waiting` are the requests that need them. Answers come from
    `awaited_hosts` until `ends_at` seconds.
    """

    number: int
    ends_at: float
    waiting: list[str] = attrs.field(factory=list)
    awaited_hosts: set[str] = attrs.field(factory=set)
    received: float = 0.0


@attrs.define
class BorrowingState:
    """The rounds under way, and until when none is started, by workspace."""

    rounds: dict[str, BorrowRound] = attrs.field(factory=dict)
    backoff_until: dict[str, float] = attrs.field(factory=dict)
    number: int = 0
