"""Hold policies: when a part of prompts is held for the crashes of engines."""

from collections.abc import Callable

import attrs

from geraniumhall_core.registry import Registry

CRASHES_TO_HOLD = 2
CRASHES_TO_HOLD_DOUBTFUL = 3


@attrs.frozen(kw_only=True)
class Suspicion:
    """A part under suspicion, as a holding policy sees it.

    `crashes` is from `PartState.count_crashes`. `position` is that in the prompt.
    `was_sound` is true if an answer on the part was seen shortly before a crash.
    `recent` counts the recent crashes of all engines.
    """

    part: str
    position: int
    crashes: int
    was_sound: bool
    recent: int = 0

    @property
    def is_doubtful(self) -> bool:
        """Whether answers, or many crashes without the part, speak against it."""
        return self.was_sound or self.recent > 2 * self.crashes


HoldPolicy = Callable[[list[Suspicion]], Suspicion | None]
HOLD_POLICIES: Registry[str, HoldPolicy] = Registry("hold policy")


@HOLD_POLICIES.register("never")
def hold_nothing(suspicions: list[Suspicion]) -> Suspicion | None:
    """Hold no part: the baseline."""
    return None


@HOLD_POLICIES.register("repeated_crash")
def choose_repeated_crash(suspicions: list[Suspicion]) -> Suspicion | None:
    """Hold the part under which engines crash one after the other.

    It answers the load in which requests with one part come at all hosts, among sound
    ones that share their other parts (test_quarantine). Of several parts it takes one
    that no answer was seen on, then the one with most crashes, then the latest in its
    prompt: fewer sound requests share it.
    """
    guilty = [
        item
        for item in suspicions
        if item.crashes
        >= (CRASHES_TO_HOLD_DOUBTFUL if item.is_doubtful else CRASHES_TO_HOLD)
    ]
    return max(
        guilty,
        key=lambda item: (not item.was_sound, item.crashes, item.position, item.part),
        default=None,
    )
