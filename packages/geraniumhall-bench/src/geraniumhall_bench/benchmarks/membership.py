"""Membership and platform calls of a whole fleet, on a virtual clock.

The daemons' reducers run in this process, joined one after another. Bytes and
processor time are not measured here, but what each daemon knows and asks for.
"""

from random import Random
from statistics import median

from geraniumhall_bench.benchmarks.registry import BENCHMARKS
from geraniumhall_bench.virtual import VirtualHosts
from geraniumhall_core.handlers.catalogue import is_catalogue_fresh
from geraniumhall_core.handlers.membership_view import is_live

SIZES = ((9, 3), (60, 16), (590, 16))
JOIN_GAP_SECONDS = 0.02
SETTLE_SECONDS = 20.0
OBSERVED_SECONDS = 5.0


@BENCHMARKS.register("membership")
def run_membership_benchmark() -> None:
    """Print what the daemons of fleets of several sizes know and ask for."""
    for count, domains in SIZES:
        print(_measure_fleet(count, domains))


def _measure_fleet(count: int, domains: int) -> str:
    hosts = VirtualHosts(Random(1))
    for index in range(count):
        hosts.start(f"h{index:03d}", failure_domain=f"d{index % domains}")
        hosts.run_for(JOIN_GAP_SECONDS)
    hosts.run_for(SETTLE_SECONDS)
    before = len(hosts.platform_messages)
    hosts.run_for(OBSERVED_SECONDS)
    calls = (len(hosts.platform_messages) - before) / OBSERVED_SECONDS
    states = [daemon.state for daemon in hosts.daemons.values()]
    ages = [
        hosts.now - known.heard_at
        for state in states
        for known in state.membership.known.values()
    ]
    suspected = sum(
        not is_live(state, known, hosts.now)
        for state in states
        for known in state.membership.known.values()
    )
    confirmed = [hosts.now - state.catalogue.confirmed_at for state in states]
    fresh = sum(is_catalogue_fresh(state, hosts.now) for state in states)
    watching = sum(state.is_syncing for state in states)
    return (
        f"{count:>3} daemons, {domains:>2} failure domains:"
        f" member heard {median(ages):.1f} s ago (worst {max(ages):.1f} s),"
        f" {suspected} of {len(ages)} suspected;"
        f" catalogue confirmed {median(confirmed):.1f} s ago"
        f" (worst {max(confirmed):.1f} s), {fresh} fresh;"
        f" {watching} watch, platform {calls:.1f} calls/s"
    )
