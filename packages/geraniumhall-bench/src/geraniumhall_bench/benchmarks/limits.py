"""Refusals within the rate: borrowing against an equal split between hosts.

Requests arrive at random at nine tenths of the workspace's rate. A bucket of
the whole rate and burst in one place tells which of them are within the rate;
of these, the share that the hosts refused is counted.
"""

from collections.abc import Callable
from random import Random
from statistics import mean

import attrs

from geraniumhall_bench.benchmarks.registry import BENCHMARKS
from geraniumhall_bench.virtual import VirtualHosts
from geraniumhall_core.admin import WriteRecord
from geraniumhall_core.catalogue import (
    BackendServer,
    CatalogueEntry,
    EntryLimits,
    ServiceClass,
    Workspace,
)
from geraniumhall_core.limits import Share, TokenBucket
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.registry import Registry
from geraniumhall_core.requests import CallerRequest, ModelTarget

RATE = 20.0
BURST = 10.0
LOAD = 0.9
SECONDS = 120.0
SETTLE_SECONDS = 12.0
SEEDS = (1, 2, 3, 4, 5)
HOST_COUNTS = (1, 3, 9)
POLICIES = ("split", "borrow")
LOUD_SHARE = 0.8

HostChooser = Callable[[Random, int], int]
SKEWS: Registry[str, HostChooser] = Registry("skew")


@SKEWS.register("even")
def choose_evenly(random: Random, count: int) -> int:
    """Spread requests evenly over the hosts."""
    return random.randrange(count)


@SKEWS.register("skewed")
def choose_mostly_one(random: Random, count: int) -> int:
    """Send four fifths of the requests to one host."""
    return 0 if random.random() < LOUD_SHARE else random.randrange(count)


@SKEWS.register("one host")
def choose_one(random: Random, count: int) -> int:
    """Send all requests to one host."""
    return 0


@attrs.define
class Outcome:
    """What one run came to."""

    within: int = 0
    refused: int = 0
    peer_calls: int = 0
    waits: list[float] = attrs.field(factory=list)


@BENCHMARKS.register("limits")
def run_limits_benchmark() -> None:
    """Print refusals within the rate, waits and peer calls for each policy."""
    header = f"{'hosts':>5} {'callers':9} {'policy':7} {'refused within rate':>20}"
    print(f"{header} {'mean wait':>10} {'peer calls/request':>19}")
    for count in HOST_COUNTS:
        for skew in SKEWS:
            for policy in POLICIES:
                outcomes = [_run_once(count, skew, policy, seed) for seed in SEEDS]
                print(f"{count:>5} {skew:9} {policy:7} {_describe(outcomes)}")


def _run_once(count: int, skew: str, policy: str, seed: int) -> Outcome:
    hosts = _build_hosts(count, policy, seed)
    random = Random(seed)
    ideal = TokenBucket(Share(RATE, BURST), hosts.now, BURST)
    outcome = Outcome()
    arrivals: dict[str, float] = {}
    within: set[str] = set()
    calls_before = hosts.borrow_calls
    end = hosts.now + SECONDS
    while hosts.now < end:
        hosts.run_for(random.expovariate(RATE * LOAD))
        request_id = f"r{len(arrivals)}"
        arrivals[request_id] = hosts.now
        if ideal.try_spend(1, hosts.now):
            within.add(request_id)
        host = f"h{SKEWS.find(skew)(random, count)}"
        request = CallerRequest(request_id=request_id, target=ModelTarget("d"))
        hosts.request(host, request)
    hosts.run_for(1.0)
    outcome.within = len(within)
    outcome.refused = sum(r.request_id in within for r in hosts.refused)
    outcome.peer_calls = hosts.borrow_calls - calls_before
    outcome.waits = [s.at - arrivals[s.effect.request_id] for s in hosts.started]
    return outcome


def _build_hosts(count: int, policy: str, seed: int) -> VirtualHosts:
    hosts = VirtualHosts(Random(seed))
    names = tuple(f"h{n}" for n in range(count))
    for name in names:
        hosts.start(name, sharing=policy)
    hosts.run_for(SETTLE_SECONDS)
    records = {
        ObjectKey("workspace", "audit"): Workspace(rate=RATE, burst=BURST, hosts=names),
        ObjectKey("entry", "d"): CatalogueEntry(
            owner="audit",
            service_class=ServiceClass.MODEL,
            open_to_all=True,
            repeatable=True,
            limits=EntryLimits(max_running=10_000),
        ),
        ObjectKey("server", "e"): BackendServer(
            address="10.0.0.1:80", failure_domain="a", entries=("d",)
        ),
    }
    for key, record in records.items():
        hosts.call_admin("h0", WriteRecord(key, record, 0))
        hosts.run_for(1.0)
    hosts.run_for(SETTLE_SECONDS)
    return hosts


def _describe(outcomes: list[Outcome]) -> str:
    shares = [100 * o.refused / o.within for o in outcomes]
    waits = [wait for outcome in outcomes for wait in outcome.waits]
    calls = mean(o.peer_calls / max(1, len(o.waits)) for o in outcomes)
    spread = f"{mean(shares):.2f}% ({min(shares):.2f}-{max(shares):.2f})"
    return f"{spread:>20} {mean(waits) * 1e3:>7.2f} ms {calls:>19.2f}"
