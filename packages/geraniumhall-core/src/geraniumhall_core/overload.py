"""Admission policies: what happens to a request when its servers are busy.

Each policy is a function registered under the name used in settings. It gets what is
known of the request and of the room at its servers, and returns a verdict::

    @ADMISSION_POLICIES.register("always")
    def admit_always(query):
        return AdmissionVerdict.ADMIT
"""

from collections.abc import Callable
from enum import Enum
from math import inf

import attrs

from geraniumhall_core.registry import Registry


class AdmissionVerdict(Enum):
    """What happens to a request now."""

    ADMIT = "admit"
    WAIT = "wait"
    REJECT = "reject"


@attrs.frozen(kw_only=True)
class AdmissionQuery:
    """A request and the room that it would find; all times are in seconds.

    `time_left` is the time until its deadline, `patience_left` that until its caller
    leaves if no event has come, and `hold_left` how much longer this
    host may keep it waiting. `first_objective` is the time left of its objective for
    the first event, None without one. `first_seconds` and `last_seconds` are the
    expected times until its first and its last event if it is sent now.
    `wait_seconds` is the expected time until room frees for it, zero if there is room
    now. With `is_busy`, half of the places of its server are taken, or prompts wait
    there. `priority` zero is the most urgent.
    """

    time_left: float
    first_objective: float | None
    first_seconds: float
    last_seconds: float
    patience_left: float = inf
    wait_seconds: float = 0.0
    hold_left: float = 0.0
    is_busy: bool = False
    priority: int = 0


AdmissionPolicy = Callable[[AdmissionQuery], AdmissionVerdict]
ADMISSION_POLICIES: Registry[str, AdmissionPolicy] = Registry("admission policy")


@ADMISSION_POLICIES.register("queue_bound")
def admit_within_queue(query: AdmissionQuery) -> AdmissionVerdict:
    """Admit every request that the entry's queue has room for: the baseline."""
    return AdmissionVerdict.ADMIT


@ADMISSION_POLICIES.register("in_time")
def admit_in_time(query: AdmissionQuery) -> AdmissionVerdict:
    """Admit what its caller would get in time, and let it wait for room.

    It answers the load of too many requests for too little room. What would end after
    its deadline, or begin after its caller has left, takes the engines' time from
    others and is refused while its caller can still do something else. An estimate
    alone refuses nothing at a server that isn't busy. A request waits here only as long
    as room is expected within the time that it may be held (test_overload).
    """
    is_full = query.wait_seconds > 0
    is_late = query.wait_seconds + query.last_seconds > query.time_left
    is_late |= query.wait_seconds + query.first_seconds > query.patience_left
    if is_late and (is_full or query.is_busy):
        return AdmissionVerdict.REJECT
    if not is_full:
        return AdmissionVerdict.ADMIT
    if query.wait_seconds <= query.hold_left:
        return AdmissionVerdict.WAIT
    return AdmissionVerdict.REJECT
