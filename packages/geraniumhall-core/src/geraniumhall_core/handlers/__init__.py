"""Event handlers of the daemon's reducer, one module for each concern.

Importing this package registers every handler with `REDUCER`.
"""

from geraniumhall_core.handlers import (
    admin,
    admission,
    attempts,
    borrowing,
    edits,
    feeds,
    grants,
    leases,
    lifecycle,
    orders,
    part_records,
    peers,
    platform,
    previews,
    publishing,
    quarantine,
    reports,
    restrictions,
    scaling,
    silence,
    summaries,
    trials,
    usage,
)
from geraniumhall_core.handlers.reducer import REDUCER

__all__ = [
    "REDUCER",
    "admin",
    "admission",
    "attempts",
    "borrowing",
    "edits",
    "feeds",
    "grants",
    "leases",
    "lifecycle",
    "orders",
    "part_records",
    "peers",
    "platform",
    "previews",
    "publishing",
    "quarantine",
    "reports",
    "restrictions",
    "scaling",
    "silence",
    "summaries",
    "trials",
    "usage",
]
