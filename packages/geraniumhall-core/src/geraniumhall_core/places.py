"""Place policies: which requests may use a server that names a limit.

A limit counts requests, whatever their size, so a place is worth most to the request
that would burden the other servers most. Each policy is a function registered under the
name used in settings, asked only while other servers are open too::

    @PLACE_POLICIES.register("none")
    def use_no_place(query):
        return False
"""

from collections.abc import Callable

import attrs

from geraniumhall_core.registry import Registry

LAPSING_FRACTION = 0.9  # of the burst; tokens beyond the burst lapse
MEAN_WEIGHT = 0.05  # of the newest request in the mean


@attrs.frozen(kw_only=True)
class PlaceQuery:
    """A request of `prompt_tokens`, and the tokens left of this host's share.

    `mean_prompt_tokens` is the mean of recent requests of the service at this host.
    """

    prompt_tokens: int
    mean_prompt_tokens: float
    tokens: float
    burst: float


PlacePolicy = Callable[[PlaceQuery], bool]
PLACE_POLICIES: Registry[str, PlacePolicy] = Registry("place policy")


@PLACE_POLICIES.register("first_come")
def admit_any(query: PlaceQuery) -> bool:
    """Admit each request while there is a token: the baseline."""
    return True


@PLACE_POLICIES.register("largest_first")
def admit_large(query: PlaceQuery) -> bool:
    """Admit prompts that are not below the mean, and others where tokens would lapse.

    It answers the load in which most engines name limits, so that the others get more
    prompt tokens than they can prefill (test_restrictions).
    """
    is_large = query.prompt_tokens >= query.mean_prompt_tokens
    return is_large or query.tokens >= LAPSING_FRACTION * query.burst
