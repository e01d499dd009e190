"""Handlers of the daemon's reducer, one module for each concern.

Importing `REDUCER` from here gives the reducer with every handler registered.
"""

from geraniumhall_core.handlers import (
    admin,
    admission,
    attempts,
    borrowing,
    catalogue,
    claim_answers,
    edits,
    housekeeping,
    leases,
    lifecycle,
    membership,
    orders,
    platform,
    purchases,
    sealing,
    usage,
)
from geraniumhall_core.handlers.reducer import REDUCER

__all__ = [
    "REDUCER",
    "admin",
    "admission",
    "attempts",
    "borrowing",
    "catalogue",
    "claim_answers",
    "edits",
    "housekeeping",
    "leases",
    "lifecycle",
    "membership",
    "orders",
    "platform",
    "purchases",
    "sealing",
    "usage",
]
