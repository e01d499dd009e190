"""Urgency policies: the order in which requests get the room that is left.

Each policy is a function registered under the name used in settings. It returns a rank
from zero, the first, to nine. Requests that wait on a host are placed in this order,
and engines are told the rank, so that it holds among the requests of all hosts::

    @URGENCY_POLICIES.register("equal")
    def rank_equally(query):
        return 0
"""

from collections.abc import Callable

import attrs

from geraniumhall_core.registry import Registry

MAX_RANK = 9
RANKS_PER_PRIORITY = 3
LARGE_FACTOR = 2.0  # of the mean size
LAST_CHANCE_FACTOR = 1.5  # of the time that the rest of the request takes
OUTPUT_TOKEN_WEIGHT = 10  # in prompt tokens, by the engine time that a token takes


@attrs.frozen(kw_only=True)
class UrgencyQuery:
    """A request that needs room; times are in seconds.

    `size` is relative to the mean size of its entry's requests. `time_left` is the
    time until its deadline, and `objective_left` until its objective for the first
    event, None without one. `first_seconds` and `last_seconds` are the expected times
    until its first and last event. A repeat is a later attempt of the same caller.
    """

    priority: int
    size: float
    time_left: float
    objective_left: float | None
    first_seconds: float
    last_seconds: float
    is_repeat: bool = False


UrgencyPolicy = Callable[[UrgencyQuery], int]
URGENCY_POLICIES: Registry[str, UrgencyPolicy] = Registry("urgency policy")


@URGENCY_POLICIES.register("priority")
def rank_by_priority(query: UrgencyQuery) -> int:
    """Rank by priority alone: the baseline."""
    return query.priority


@URGENCY_POLICIES.register("time_and_size")
def rank_by_time_and_size(query: UrgencyQuery) -> int:
    """Rank by priority, then by what the engines' time gains for the caller.

    Within a priority, a request that can still meet its objective comes before one
    that can't, and of those that can't a short one before a large one, since a large
    one gains less for each second of an engine. A repeat comes last. A request whose
    deadline is near comes first, so that a large or late one is still served. It
    answers long prompts beside short ones (test_overload).
    """
    rank = query.priority * RANKS_PER_PRIORITY
    if query.time_left > LAST_CHANCE_FACTOR * query.last_seconds:
        rank += _rank_within_priority(query)
    return min(MAX_RANK, rank)


def _rank_within_priority(query: UrgencyQuery) -> int:
    if query.is_repeat:
        return 2
    left = query.objective_left
    if left is None or left >= query.first_seconds:
        return 0
    return 2 if query.size > LARGE_FACTOR else 1
