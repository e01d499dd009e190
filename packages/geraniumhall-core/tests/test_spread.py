"""Tests of a load from many hosts that know little of each other's work.

The pattern: callers reach all hosts within one moment, before any host has heard of
another's work. What one host can't know must not make all hosts choose alike.
"""

import unittest
from collections import Counter
from random import Random
from typing import Any

from builders import apply_feed_answer, build_answer, build_open_entry, reduce

from geraniumhall_core.catalogue import (
    BackendServer,
    Configuration,
    EngineProfile,
    Service,
    ServiceClass,
)
from geraniumhall_core.effects import CallPlatform, PrefillPrompt, RelayRequest
from geraniumhall_core.events import PrefillEnded, RequestArrived, Ticked
from geraniumhall_core.orders import ServerRole
from geraniumhall_core.platform import Feed, Listing, Written
from geraniumhall_core.policy import Policy
from geraniumhall_core.purposes import PublishHost
from geraniumhall_core.records import ObjectKey, VersionedRecord
from geraniumhall_core.reducer import Effect
from geraniumhall_core.requests import (
    AttemptOutcome,
    CallerRequest,
    KvCacheRef,
    PathTarget,
    PromptPart,
)
from geraniumhall_core.revisions import Revision
from geraniumhall_core.routing import ROUTING_POLICIES
from geraniumhall_core.state import DaemonState

HOSTS = 60
SERVERS = 30  # of each kind
SLOTS = 12
LONG_TOKENS = 6_000
SHORT_TOKENS = 300
READ_RATE = 80_000.0  # tokens a second, the default of `engine_read_rate`
FIRST_ANSWER_SECONDS = 0.6
NOW = 2.0
PROFILE = EngineProfile(
    slots=SLOTS,
    memory_tokens=400_000,
    token_bytes=18_432,
    link_rate=1.6e10,
    handle_ttl=5.0,
)


def build_listings() -> dict[Feed, Listing]:
    """Return two entries that are open to all, engines in both roles, and servers."""
    entries = {
        "m": build_open_entry(ServiceClass.MODEL, "/m/", "llm"),
        "s": build_open_entry(ServiceClass.SERVICE, "/s/", "filing"),
    }
    configuration = Configuration(
        version=1, entries=entries, services={"llm": Service(engine=PROFILE)}
    )
    servers = [
        build_registration(number, role.value, "llm", slots=SLOTS, role=role)
        for role in (ServerRole.PREFILL, ServerRole.DECODE)
        for number in range(SERVERS)
    ]
    servers += [build_registration(n, "plain", "filing") for n in range(SERVERS)]
    key = ObjectKey("configuration", "main")
    return {
        Feed.CONFIGURATION: Listing(
            Revision(number=1),
            (VersionedRecord(key, Revision(number=1), configuration),),
        ),
        Feed.SERVERS: Listing(Revision(number=SERVERS), tuple(servers)),
        Feed.RECORDS: Listing(Revision(number=1), ()),
    }


def build_registration(
    number: int, kind: str, service: str, **fields: Any
) -> VersionedRecord:
    """Return the registration of a backend server."""
    server = BackendServer(
        address=f"10.0.0.{number}:80", failure_domain="a", service=service, **fields
    )
    key = ObjectKey("registered_server", f"{kind}{number}")
    return VersionedRecord(key, Revision(number=1 + number), server)


def build_hosts(routing: str = "prefix_affinity") -> list[DaemonState]:
    """Return hosts that know the engines, and nothing of each other's work."""
    listings = build_listings()
    hosts = []
    for number in range(HOSTS):
        policy = Policy(
            host=f"h{number}", failure_domain="a", incarnation=1, routing=routing
        )
        state = DaemonState.from_policy(policy)
        for feed, listing in listings.items():
            apply_feed_answer(state, feed, listing)
        hosts.append(state)
    return hosts


def send_prompt(state: DaemonState, tokens: int, random: Random) -> Effect:
    """Return the effect that sends a prompt of one part to an engine."""
    request = CallerRequest(
        request_id=f"{state.policy.host}-1",
        target=PathTarget("/m/x"),
        prompt_tokens=tokens,
        parts=(PromptPart(f"{state.policy.host}{tokens}", tokens),),
    )
    draws = (random.random(), random.random())
    effects = reduce(state, RequestArrived(at=NOW, request=request, draws=draws))
    return next(e for e in effects if isinstance(e, PrefillPrompt | RelayRequest))


def send_plain(state: DaemonState, random: Random) -> RelayRequest:
    """Return the effect that sends a request without a prompt to a server."""
    request = CallerRequest(
        request_id=f"{state.policy.host}-1", target=PathTarget("/s/x")
    )
    draws = (random.random(), random.random())
    effects = reduce(state, RequestArrived(at=NOW, request=request, draws=draws))
    return next(e for e in effects if isinstance(e, RelayRequest))


def end_prefill(state: DaemonState, sent: Effect, random: Random) -> Effect:
    """Return the effect that sends a request on to decode after its prefill."""
    assert isinstance(sent, PrefillPrompt)
    event = PrefillEnded(
        at=NOW + 0.1,
        request_id=sent.request_id,
        attempt_id=sent.attempt_id,
        outcome=AttemptOutcome.COMPLETED,
        draws=(random.random(), random.random()),
        kv_cache=KvCacheRef(sent.server, sent.address, "k", LONG_TOKENS),
    )
    effects = reduce(state, event)
    return next(e for e in effects if isinstance(e, RelayRequest))


def list_writes(state: DaemonState, since: float) -> list[int]:
    """Return the half seconds in which a host writes its record in seven seconds."""
    writes = []
    for tick in range(70):
        at = since + tick / 10
        effects = reduce(state, Ticked(at=at, wall_time=at, draws=(0.5, 0.5)))
        for call in effects:
            if isinstance(call, CallPlatform) and isinstance(call.purpose, PublishHost):
                writes.append(int(at / 0.5))
                reduce(
                    state,
                    build_answer(
                        call.purpose, Written(Revision(number=tick + 1)), at=at
                    ),
                )
    return writes


class ManyHostsTest(unittest.TestCase):
    """Guards against hosts that all choose the same of several idle engines."""

    def test_prefill_is_not_piled_on_one_engine(self) -> None:
        """Long prompts of all hosts are prefilled within the latency objective."""
        random = Random(1)
        sent = [send_prompt(host, LONG_TOKENS, random) for host in build_hosts()]
        self.assertTrue(all(isinstance(effect, PrefillPrompt) for effect in sent))
        busiest = max(Counter(effect.server for effect in sent).values())
        seconds = busiest * LONG_TOKENS / READ_RATE
        self.assertLess(seconds, FIRST_ANSWER_SECONDS)

    def test_decode_is_not_piled_on_one_engine(self) -> None:
        """No engine gets more streams than it has slots while others are idle."""
        random = Random(2)
        hosts = build_hosts()
        sent = [send_prompt(host, LONG_TOKENS, random) for host in hosts]
        placed = [end_prefill(*pair, random) for pair in zip(hosts, sent, strict=True)]
        busiest = max(Counter(effect.server for effect in placed).values())
        self.assertLessEqual(busiest, SLOTS)

    def test_short_prompts_are_not_piled_on_one_engine(self) -> None:
        """Prompts that need no separate prefill do not exceed an engine's slots."""
        random = Random(3)
        sent = [send_prompt(host, SHORT_TOKENS, random) for host in build_hosts()]
        self.assertTrue(all(isinstance(effect, RelayRequest) for effect in sent))
        busiest = max(Counter(effect.server for effect in sent).values())
        self.assertLessEqual(busiest, SLOTS)

    def test_plain_requests_are_not_piled_on_one_server(self) -> None:
        """The hosts' first requests spread, whatever the routing policy."""
        for routing in ROUTING_POLICIES:
            with self.subTest(routing=routing):
                random = Random(4)
                sent = [send_plain(host, random) for host in build_hosts(routing)]
                busiest = max(Counter(effect.server for effect in sent).values())
                self.assertLessEqual(busiest, SLOTS)

    def test_records_are_not_all_written_at_once(self) -> None:
        """Hosts that start together write at different times, also after an outage.

        Every host reads all records. If they are written together, it gets them in
        one answer, which delays the streams of callers on a thin link. No half
        second has twice as many writes as if they were spread evenly.
        """
        hosts = build_hosts()
        even = 0.0
        for number, state in enumerate(hosts):
            state.live_hosts = HOSTS
            even += 0.5 / state.publish_interval
            writes = list_writes(state, NOW + 0.3 * number / HOSTS)
            hosts[number].publishing.next_call_at = NOW + 10.0  # the store is back
            writes += list_writes(state, NOW + 10.0)
            self.written.update(writes)
        for since in (NOW + 1.0, NOW + 11.0):
            half_seconds = [int(since / 0.5) + n for n in range(10)]
            busiest = max(self.written[moment] for moment in half_seconds)
            self.assertLessEqual(busiest, 2 * even)

    def setUp(self) -> None:
        """Start without writes; they are counted by half second."""
        self.written: Counter[int] = Counter()


if __name__ == "__main__":
    unittest.main()
