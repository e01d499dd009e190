"""Messages between hosts, sent as datagrams; nothing that must hold needs them."""

from geraniumhall_core.loans import Loan, LoanRequest
from geraniumhall_core.reports import LoadReport

PeerMessage = LoadReport | LoanRequest | Loan
