"""Speed policies: how fast each engine is taken to be.

Engines of one service may differ in speed. Each policy is a function registered under
the name used in settings. It gets what was observed of an engine and returns its speed
relative to the service's usual one::

    @SPEED_POLICIES.register("half")
    def assume_half(observed):
        return EngineSpeed(prefill=0.5, decode=0.5)
"""

from collections.abc import Callable

import attrs

from geraniumhall_core.registry import Registry


@attrs.frozen(kw_only=True)
class EngineSpeed:
    """Speed factors of an engine; 1 is the usual speed of its service."""

    prefill: float = 1.0
    decode: float = 1.0


@attrs.frozen(kw_only=True)
class ObservedSpeed:
    """What this host's own requests showed of an engine's speed.

    The factors are relative to the usual speed; `prefill_weight` and `decode_weight`
    are the numbers of answers that they rest on, which decrease as these age.
    """

    prefill: float = 1.0
    prefill_weight: float = 0.0
    decode: float = 1.0
    decode_weight: float = 0.0


USUAL_SPEED = EngineSpeed()

SpeedPolicy = Callable[[ObservedSpeed], EngineSpeed]
SPEED_POLICIES: Registry[str, SpeedPolicy] = Registry("speed policy")


@SPEED_POLICIES.register("uniform")
def assume_uniform(observed: ObservedSpeed) -> EngineSpeed:
    """Take all engines of a service to be equally fast: the baseline."""
    return USUAL_SPEED
