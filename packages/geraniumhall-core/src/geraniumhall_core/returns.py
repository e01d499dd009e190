"""Return policies: when callers that were refused are told to come back.

Each policy is a function registered under the name used in settings. It gets the
seconds until a server is open to this host again and a random draw, and returns the
seconds that the caller is told::

    @RETURN_POLICIES.register("twice")
    def wait_twice(seconds, draw):
        return 2 * seconds
"""

from collections.abc import Callable

from geraniumhall_core.registry import Registry

MIN_SPREAD_SECONDS = 0.25
SPREAD_FRACTION = 0.5  # of the wait

ReturnPolicy = Callable[[float, float], float]
RETURN_POLICIES: Registry[str, ReturnPolicy] = Registry("return policy")


@RETURN_POLICIES.register("at_once")
def return_at_once(seconds: float, draw: float) -> float:
    """Let all callers return as the server opens: the baseline."""
    return seconds


@RETURN_POLICIES.register("spread")
def spread_returns(seconds: float, draw: float) -> float:
    """Spread callers over a time after the server opens.

    It answers the load of callers that were refused while a server was closed and would
    all return in the moment it opens (test_restrictions).
    """
    return seconds + draw * max(MIN_SPREAD_SECONDS, SPREAD_FRACTION * seconds)


@RETURN_POLICIES.register("as_room_frees")
def return_as_room_frees(seconds: float, draw: float) -> float:
    """Spread callers evenly over the time in which room frees for them.

    It answers the load of many callers that were refused for lack of room: they come
    back at the rate at which it frees, neither all at the start nor all at the end
    (test_overload).
    """
    return max(MIN_SPREAD_SECONDS, seconds) * (SPREAD_FRACTION + draw)
