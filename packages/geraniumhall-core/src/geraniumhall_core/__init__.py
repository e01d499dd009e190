"""The decisions of geraniumhall: events, effects, state and the reducer.

Nothing in this package does I/O, reads a clock or draws random numbers.
"""

import geraniumhall_core.kept_prompts  # noqa: F401  # fills a registry
from geraniumhall_core.performers import Performers
from geraniumhall_core.policy import Policy
from geraniumhall_core.reducer import Effect, Event, Reducer
from geraniumhall_core.refusals import Refusal
from geraniumhall_core.registry import Registry
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict

__all__ = [
    "DaemonState",
    "Effect",
    "Event",
    "Performers",
    "Policy",
    "Reducer",
    "Refusal",
    "Registry",
    "Verdict",
]
