"""Slopes of state, messages and processor time, each from several sizes.

Every slope is registered with the sizes it is measured at and a function that
measures one size. A straight line is fitted and the largest residual printed,
so that a page can say how far a figure may be carried on.
"""

import gc
import tracemalloc
from collections.abc import Callable, Iterator
from json import dumps
from random import Random
from statistics import median
from time import process_time

import attrs
import numpy

from geraniumhall_bench.benchmarks.registry import BENCHMARKS
from geraniumhall_core.catalogue import (
    BackendServer,
    Catalogue,
    CatalogueEntry,
    ServiceClass,
    Workspace,
    apply_changes,
)
from geraniumhall_core.effects import AnswerPeer, RelayRequest
from geraniumhall_core.events import (
    AttemptEnded,
    PeerAnswered,
    PeerCalled,
    RequestArrived,
    Ticked,
)
from geraniumhall_core.handlers import REDUCER
from geraniumhall_core.handlers.leases import USAGE_LEASE
from geraniumhall_core.handlers.membership_view import rank_self
from geraniumhall_core.handlers.shares import resize_buckets
from geraniumhall_core.keys import KeyRecord, parse_key
from geraniumhall_core.peering import Member, PullAnswer, PullRequest
from geraniumhall_core.policy import Policy
from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.registry import Registry
from geraniumhall_core.requests import AttemptOutcome, CallerRequest, ModelTarget
from geraniumhall_core.routing import ROUTING_POLICIES, RoutingQuery, ServerView
from geraniumhall_core.state import DaemonState
from geraniumhall_core.usage import UsageFigures, UsageLine, UsagePart, add_parts
from geraniumhall_core.verdict import Verdict
from geraniumhall_wire import peer_pb2
from geraniumhall_wire.peer_codec import decode_peer_answer, encode_peer_answer
from geraniumhall_wire.platform_json import encode_record

REPEATS = 5
MICROSECONDS = 1e6
KIB = 1024
DRAWS = (0.4, 0.6)
SECRET = "s" * 43
PROOF = parse_key(f"gh_k0_{SECRET}")


@attrs.frozen
class Slope:
    """A figure that grows with a size."""

    title: str
    unit: str
    sizes: tuple[int, ...]
    measure: Callable[[int], float]


SLOPES: Registry[str, Slope] = Registry("slope")


@BENCHMARKS.register("capacity")
def run_capacity_benchmark() -> None:
    """Print each slope with its fit and its largest residual."""
    for name in SLOPES:
        slope = SLOPES.find(name)
        values = [
            median(slope.measure(size) for _ in range(REPEATS)) for size in slope.sizes
        ]
        print(_describe(slope, values))


def register_slope(
    name: str, title: str, unit: str, *sizes: int
) -> Callable[[Callable[[int], float]], Callable[[int], float]]:
    """Register the decorated function as the measure of a slope."""

    def decorate(measure: Callable[[int], float]) -> Callable[[int], float]:
        SLOPES.register(name)(Slope(title, unit, sizes, measure))
        return measure

    return decorate


@register_slope("catalogue-memory", "catalogue memory", "KiB/record", 500, 2000, 8000)
def measure_catalogue_memory(size: int) -> float:
    """Return KiB of a catalogue copy with its buckets."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    state = _build_state(size)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del state
    return used / KIB


@register_slope("catalogue-apply", "catalogue apply", "us/record", 500, 2000, 8000)
def measure_catalogue_apply(size: int) -> float:
    """Return microseconds to apply records to an empty copy."""
    records = list(_iterate_records(size))
    catalogue = Catalogue()
    return _time(lambda: apply_changes(catalogue, size, records))


@register_slope("catalogue-bytes", "catalogue bytes", "B/record", 500, 2000)
def measure_catalogue_bytes(size: int) -> float:
    """Return the bytes of records as JSON, as a listing carries them."""
    return sum(
        len(dumps(encode_record(item.record))) for item in _iterate_records(size)
    )


@register_slope("members-bytes", "pull answer bytes", "B/member", 2, 8, 20)
def measure_pull_bytes(size: int) -> float:
    """Return the bytes of an answer to a pull."""
    return len(encode_peer_answer(_answer_pull(size)).SerializeToString())


@register_slope("members-cpu", "pull both ends, decisions", "us/member", 2, 8, 20)
def measure_pull_cpu(size: int) -> float:
    """Return microseconds to answer, encode, decode and take in a pull."""
    state = _build_state(10, members=size)
    event = _build_pull()

    def exchange() -> None:
        effect = REDUCER.reduce(state, event)[0]
        assert isinstance(effect, AnswerPeer)
        encoded = encode_peer_answer(effect.answer).SerializeToString()
        answer = decode_peer_answer(_parse_answer(encoded))
        REDUCER.reduce(
            state,
            PeerAnswered(
                at=2.0,
                asked_at=1.9,
                host="m1",
                message=event.message,
                answer=answer,
                draws=DRAWS,
            ),
        )

    return _time(exchange, 20)


@register_slope("members-ranking", "ranking for a lease", "us/member", 50, 200, 590)
def measure_ranking(size: int) -> float:
    """Return microseconds to rank this daemon for one lease."""
    state = _build_state(1, members=size)
    return _time(lambda: rank_self(state, USAGE_LEASE, 2.0), 5)


@register_slope("members-tick", "one tick", "us/member", 2, 50, 590)
def measure_tick(size: int) -> float:
    """Return microseconds of a tick that has nothing to do."""
    state = _build_state(10, members=size)
    event = Ticked(at=2.0, wall_time=2.0, draws=DRAWS)
    REDUCER.reduce(state, event)
    return _time(lambda: REDUCER.reduce(state, event), 50)


@register_slope(
    "routing-cpu", "choice by prefix affinity", "us/server", 10, 100, 340, 1000
)
def measure_routing(size: int) -> float:
    """Return microseconds of one choice among servers."""
    servers = [ServerView(f"engine-{n}", n % 7) for n in range(size)]
    policy = ROUTING_POLICIES.find("prefix_affinity")
    query = RoutingQuery(prefix=42, turn=1, draw=0.3, second_draw=0.7)
    return _time(lambda: policy(servers, query), 20)


@register_slope("request-cpu", "decisions for a request", "us/server", 2, 20, 100, 340)
def measure_request(size: int) -> float:
    """Return microseconds of the reducer for a request from arrival to end."""
    state = _build_state(10, servers=size)
    return _time(lambda: _serve_request(state), 100)


@register_slope("usage-bytes", "usage part bytes", "B/line", 10, 100, 1000)
def measure_usage_bytes(size: int) -> float:
    """Return the bytes of one process's part of a window."""
    return len(dumps(encode_record(_build_part(0, size))))


@register_slope("usage-seal", "sealing", "us/line", 100, 1000, 10000)
def measure_sealing(size: int) -> float:
    """Return microseconds to add up parts of a hundred lines each."""
    parts = [_build_part(host, 100) for host in range(size // 100)]
    return _time(lambda: add_parts(parts))


def _describe(slope: Slope, values: list[float]) -> str:
    sizes = numpy.array(slope.sizes, dtype=float)
    found = numpy.array(values)
    gradient, constant = numpy.polyfit(sizes, found, 1)
    residual = float(numpy.max(numpy.abs(found - (gradient * sizes + constant))))
    pairs = zip(slope.sizes, values, strict=True)
    points = ", ".join(f"{size}: {value:.1f}" for size, value in pairs)
    return (
        f"{slope.title:28} {gradient:9.3f} {slope.unit:10} + {constant:8.1f}"
        f"  largest residual {residual:.1f}  ({points})"
    )


def _time(action: Callable[[], object], repeats: int = 1) -> float:
    started = process_time()
    for _ in range(repeats):
        action()
    return (process_time() - started) / repeats * MICROSECONDS


def _iterate_records(size: int) -> Iterator[VersionedRecord]:
    """Yield records in the proportions of the size: a workspace, three keys."""
    for number in range(size):
        version = number + 1
        if number % 4 == 0:
            record = Workspace(rate=20.0, burst=10.0, hosts=("m1", "m2", "m3"))
            key = ObjectKey("workspace", f"workspace-{number}")
            yield VersionedRecord(key, version, record)
        else:
            name = f"k{number - 1}" if number > 1 else "k0"
            owner = f"workspace-{number - number % 4}"
            key_record = KeyRecord.from_secret(owner, "salt0123", SECRET)
            yield VersionedRecord(ObjectKey("key", name), version, key_record)


def _build_state(size: int, members: int = 0, servers: int = 0) -> DaemonState:
    policy = Policy(host="m1", failure_domain="d1", incarnation=1, stale_after=1e9)
    state = DaemonState.from_policy(policy)
    records = list(_iterate_records(size))
    applied = apply_changes(state.catalogue, size, records)
    resize_buckets(state, applied, 0.0, is_first=False)
    state.catalogue.confirmed_at = 1.0
    for number in range(members):
        state.membership.merge(_build_member(number), 1.5)
    if servers:
        _add_servers(state, servers)
    return state


def _add_servers(state: DaemonState, count: int) -> None:
    entry = CatalogueEntry(
        owner="workspace-0", service_class=ServiceClass.MODEL, repeatable=True
    )
    changes = [VersionedRecord(ObjectKey("entry", "draft"), 10**6, entry)]
    for number in range(count):
        server = BackendServer(
            address="10.0.0.1:80", failure_domain="d1", entries=("draft",)
        )
        key = ObjectKey("server", f"engine-{number}")
        changes.append(VersionedRecord(key, 10**6 + number, server))
    apply_changes(state.catalogue, 2 * 10**6, changes)
    bucket = state.buckets["workspace-0"]
    bucket.share = attrs.evolve(bucket.share, rate=1e9, burst=1e9)


def _build_member(number: int) -> Member:
    return Member(
        host=f"host-{number:04d}",
        failure_domain=f"domain-{number % 16}",
        address=f"10.1.{number // 250}.{number % 250}:7946",
        incarnation=10**17 + number,
        heartbeat=1000 + number,
        leaving=False,
        revision=123456,
    )


def _build_pull() -> PeerCalled:
    message = PullRequest(_build_member(1), 10)
    return PeerCalled(at=2.0, call_id=1, message=message)


def _answer_pull(members: int) -> PullAnswer:
    state = _build_state(10, members=members)
    effect = REDUCER.reduce(state, _build_pull())[0]
    assert isinstance(effect, AnswerPeer)
    assert isinstance(effect.answer, PullAnswer)
    return effect.answer


def _parse_answer(encoded: bytes) -> object:
    return peer_pb2.PullAnswer.FromString(encoded)


def _serve_request(state: DaemonState) -> None:
    request = CallerRequest(
        request_id="r",
        target=ModelTarget("draft"),
        proof=PROOF,
        prompt_tokens=100,
        prefix=Random(1).getrandbits(64),
    )
    arrival = RequestArrived(at=2.0, request=request, draws=DRAWS)
    effect = REDUCER.reduce(state, arrival)[0]
    assert isinstance(effect, RelayRequest), effect
    REDUCER.reduce(
        state,
        AttemptEnded(
            at=2.1,
            request_id="r",
            attempt_id=effect.attempt_id,
            outcome=AttemptOutcome.COMPLETED,
            verdict=Verdict.RAN,
            wall_time=2.1,
            draws=DRAWS,
            prompt_tokens=100,
            generated_tokens=50,
        ),
    )


def _build_part(host: int, lines: int) -> UsagePart:
    return UsagePart(
        window=29939485,
        host=f"host-{host:04d}",
        incarnation=10**17 + host,
        sequence=5,
        lines=tuple(
            UsageLine(f"workspace-{n:04d}", "draft", UsageFigures(120, 45000, 9000))
            for n in range(lines)
        ),
    )
