"""Sharing policies: which hosts may use how much of a server's request limit.

Each policy is a function registered under the name used in settings. It gets a limit
and the hosts that share it, and returns the shares of those that get one::

    @SHARING_POLICIES.register("first_host")
    def give_first(query):
        return {min(query.hosts): Share(query.rate, 1.0)}

The users' rule allows 1.5 times the limit and 5 requests in any 4 s, over all hosts.
With a burst of one request for each of n hosts, n requests come on top of the limit, so
a limit must fall to few hosts.
"""

from collections.abc import Callable

import attrs
from xxhash import xxh64_intdigest

from geraniumhall_core.limits import Share
from geraniumhall_core.registry import Registry

MIN_RATE = 0.2  # so that the end of a limit of zero is noticed
SURPLUS_REQUESTS = 3.0  # the burst of all hosts, beyond what the limit allows in 1 s
MIN_BURST = 1.5  # of one host; with 1 a fourth of its share lapses between requests


@attrs.frozen(kw_only=True)
class SharingQuery:
    """A server's limit of `rate` requests a second, and the hosts that share it."""

    server: str
    rate: float
    hosts: tuple[str, ...]


SharingPolicy = Callable[[SharingQuery], dict[str, Share]]
SHARING_POLICIES: Registry[str, SharingPolicy] = Registry("sharing policy")


@SHARING_POLICIES.register("few_hosts")
def share_among_few(query: SharingQuery) -> dict[str, Share]:
    """Give equal shares to the hosts that rank highest for the server.

    Hosts are ranked by rendezvous hashing (Thaler and Ravishankar, 1998), so that those
    with the same view agree, and a host that comes or goes changes few shares. The
    number of hosts grows with the limit. It answers the load in which many hosts with
    few requests each have a server in common (test_request_limits).
    """
    rate = max(MIN_RATE, query.rate)
    burst = rate + SURPLUS_REQUESTS
    count = min(len(query.hosts), int(burst / MIN_BURST))
    ranked = rank_hosts(query.server, query.hosts)
    return dict.fromkeys(ranked[:count], Share(rate / count, burst / count))


@SHARING_POLICIES.register("equal_shares")
def share_equally(query: SharingQuery) -> dict[str, Share]:
    """Give each host an equal share: the baseline."""
    rate = max(MIN_RATE, query.rate) / len(query.hosts)
    return dict.fromkeys(query.hosts, Share(rate, max(1.0, rate)))


def rank_hosts(server: str, hosts: tuple[str, ...]) -> list[str]:
    """Return the hosts by their rendezvous rank for a server, the highest first."""
    seed = xxh64_intdigest(server)
    return sorted(hosts, key=lambda host: xxh64_intdigest(host, seed=seed))
