"""Routing policies: which backend server gets a request.

Each policy is a function registered under the name used in settings. It gets a
non-empty list of candidate servers and two random draws::

    @ROUTING_POLICIES.register("first")
    def choose_first(servers, query):
        return servers[0]
"""

from collections.abc import Callable, Sequence

import attrs
from xxhash import xxh64_intdigest

from geraniumhall_core.registry import Registry

BOUNDED_LOAD_FACTOR = 1.25


@attrs.frozen
class ServerView:
    """The router's view of a backend server; `load` is in requests in progress."""

    name: str
    load: float


@attrs.frozen(kw_only=True)
class RoutingQuery:
    """The inputs of a routing decision.

    `prefix_hash` is zero without a prompt prefix. `round_robin_index` increases
    with every decision. `draw` and `second_draw` are uniform in [0, 1).
    """

    prefix_hash: int
    round_robin_index: int
    draw: float
    second_draw: float


RoutingPolicy = Callable[[Sequence[ServerView], RoutingQuery], ServerView]
ROUTING_POLICIES: Registry[str, RoutingPolicy] = Registry("routing policy")


@ROUTING_POLICIES.register("round_robin")
def choose_round_robin(
    servers: Sequence[ServerView], query: RoutingQuery
) -> ServerView:
    """Take the servers in rotation."""
    return servers[query.round_robin_index % len(servers)]


@ROUTING_POLICIES.register("random")
def choose_random(servers: Sequence[ServerView], query: RoutingQuery) -> ServerView:
    """Take a server at random."""
    return servers[int(query.draw * len(servers))]


@ROUTING_POLICIES.register("least_loaded")
def choose_least_loaded(
    servers: Sequence[ServerView], query: RoutingQuery
) -> ServerView:
    """Take the server with the least load, in rotation between ties."""
    lowest = min(server.load for server in servers)
    tied = [server for server in servers if server.load == lowest]
    return tied[query.round_robin_index % len(tied)]


@ROUTING_POLICIES.register("two_choices")
def choose_best_of_two(
    servers: Sequence[ServerView], query: RoutingQuery
) -> ServerView:
    """Take the less loaded of two servers drawn at random.

    See Mitzenmacher, "The power of two choices in randomized load balancing",
    2001.
    """
    first = servers[int(query.draw * len(servers))]
    second = servers[int(query.second_draw * len(servers))]
    return first if first.load <= second.load else second


@ROUTING_POLICIES.register("prefix_affinity")
def choose_by_prefix(servers: Sequence[ServerView], query: RoutingQuery) -> ServerView:
    """Take the server that ranks highest for the prefix and is not overloaded.

    Servers are ranked by rendezvous hashing (Thaler and Ravishankar, 1998). One
    whose load reaches `BOUNDED_LOAD_FACTOR` times the mean, with this request
    counted, is skipped (bounded loads: Mirrokni, Thorup and Zadimoghaddam, 2018).
    Without a prefix the policy is that of two random choices.
    """
    if query.prefix_hash == 0:
        return choose_best_of_two(servers, query)
    total = sum(server.load for server in servers) + 1
    bound = BOUNDED_LOAD_FACTOR * total / len(servers)
    eligible = [server for server in servers if server.load < bound]
    return max(
        eligible, key=lambda server: _rank_server(server.name, query.prefix_hash)
    )


def _rank_server(name: str, prefix_hash: int) -> int:
    return xxh64_intdigest(name, seed=prefix_hash)
