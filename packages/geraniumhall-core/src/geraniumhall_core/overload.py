"""Admission policies: what happens to a request when its servers are busy.

Each policy is a function registered under the name used in settings. It gets what is
known of the request and of the room at its servers, and returns a verdict::

    @ADMISSION_POLICIES.register("always")
    def admit_always(query):
        return AdmissionVerdict.ADMIT
"""

from collections.abc import Callable
from enum import Enum

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

    `time_left` is the time until its deadline. `first_objective` is the time left of
    its objective for the first event, None without one. `first_seconds` and
    `last_seconds` are the expected times until its first and its last event if it is
    sent now. `wait_seconds` is the expected time until room frees for it, zero if
    there is room now. `priority` zero is the most urgent.
    """

    time_left: float
    first_objective: float | None
    first_seconds: float
    last_seconds: float
    wait_seconds: float = 0.0
    priority: int = 0


AdmissionPolicy = Callable[[AdmissionQuery], AdmissionVerdict]
ADMISSION_POLICIES: Registry[str, AdmissionPolicy] = Registry("admission policy")


@ADMISSION_POLICIES.register("queue_bound")
def admit_within_queue(query: AdmissionQuery) -> AdmissionVerdict:
    """Admit every request that the entry's queue has room for: the baseline."""
    return AdmissionVerdict.ADMIT
