"""Routing policies: which backend server gets a request.

Each policy is a function registered under the name that settings use. It
gets the servers that may take the request, never none, and two draws::

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
    """A backend server as routing sees it; `load` is in requests under way."""

    name: str
    load: float


@attrs.frozen(kw_only=True)
class RoutingQuery:
    """What a choice depends on; `draw` and `second_draw` are in [0, 1)."""

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
    """Take the servers in turn."""
    return servers[query.round_robin_index % len(servers)]


@ROUTING_POLICIES.register("random")
def choose_random(servers: Sequence[ServerView], query: RoutingQuery) -> ServerView:
    """Take any server."""
    return servers[int(query.draw * len(servers))]


@ROUTING_POLICIES.register("least_loaded")
def choose_least_loaded(
    servers: Sequence[ServerView], query: RoutingQuery
) -> ServerView:
    """Take the server with the least load, in turn among equals."""
    lowest = min(server.load for server in servers)
    equals = [server for server in servers if server.load == lowest]
    return equals[query.round_robin_index % len(equals)]


@ROUTING_POLICIES.register("two_choices")
def choose_of_two(servers: Sequence[ServerView], query: RoutingQuery) -> ServerView:
    """Take the less loaded of two servers drawn at random.

    See Mitzenmacher, "The power of two choices in randomized load balancing",
    2001.
    """
    first = servers[int(query.draw * len(servers))]
    second = servers[int(query.second_draw * len(servers))]
    return first if first.load <= second.load else second


@ROUTING_POLICIES.register("prefix_affinity")
def choose_by_prefix(servers: Sequence[ServerView], query: RoutingQuery) -> ServerView:
    """Take the prefix's own server unless it is overloaded, then its next one.

    Servers are ranked by rendezvous hashing (Thaler and Ravishankar, 1998);
    one over `BOUNDED_LOAD_FACTOR` times the mean load is passed over
    (Mirrokni, Thorup and Zadimoghaddam, 2018). Without a prefix the choice is
    that of two at random.
    """
    if query.prefix_hash == 0:
        return choose_of_two(servers, query)
    total = sum(server.load for server in servers) + 1
    bound = BOUNDED_LOAD_FACTOR * total / len(servers)
    within = [server for server in servers if server.load < bound]
    return max(within, key=lambda server: _rank_server(server.name, query.prefix_hash))


def _rank_server(name: str, prefix_hash: int) -> int:
    return xxh64_intdigest(name, seed=prefix_hash)
