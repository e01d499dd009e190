"""Messages between hosts, sent as datagrams that may be lost.

No guarantee depends on their delivery.
"""

from geraniumhall_core.copies import CopyAnswer, CopyQuery
from geraniumhall_core.loans import Loan, LoanRequest
from geraniumhall_core.parts import CrashReport, PartReport
from geraniumhall_core.reports import LoadReport
from geraniumhall_core.restrictions import Grant, GrantRequest, RestrictionReport
from geraniumhall_core.summaries import WorkSummary

PeerMessage = (
    LoadReport
    | LoanRequest
    | Loan
    | PartReport
    | CrashReport
    | RestrictionReport
    | GrantRequest
    | Grant
    | WorkSummary
    | CopyQuery
    | CopyAnswer
)
