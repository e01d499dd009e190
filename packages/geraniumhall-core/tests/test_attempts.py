"""Tests of attempts: connection limits, retries, verdicts and usage."""

import unittest

import attrs
from builders import (
    apply_feed_answer,
    build_arrival,
    build_attempt_end,
    build_listing,
    build_state,
    find_effect,
    reduce,
)

from geraniumhall_core.catalogue import CONFIGURATION_KEY, Configuration, Service
from geraniumhall_core.effects import (
    AbortResponse,
    CloseExchange,
    RefuseRequest,
    RelayRequest,
    ReleaseKvCache,
)
from geraniumhall_core.events import ResponseStarted
from geraniumhall_core.handlers.retries import MAX_UNSENT, may_retry
from geraniumhall_core.platform import Changes, Feed
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.requests import (
    AttemptOutcome,
    CallerRequest,
    KvCacheRef,
    PathTarget,
    RequestRecord,
)
from geraniumhall_core.revisions import Revision
from geraniumhall_core.state import DaemonState
from geraniumhall_core.usage import UsageFigures
from geraniumhall_core.verdict import Verdict

FILING = PathTarget("/filings")
PENDING = RequestRecord(
    request=CallerRequest(request_id="r1", target=FILING),
    entry="draft",
    workspace="audit",
    repeatable=True,
    arrived_at=1.0,
    deadline=9.0,
    service="draft",
)


class ConnectionShareTest(unittest.TestCase):
    """All hosts together stay within a server's connection limit."""

    def build_state(self, live_hosts: int = 1) -> DaemonState:
        """Return a state in which each server of `draft` accepts five connections."""
        state = build_state()
        services = {"draft": Service(max_connections=5)}
        record = Configuration(version=1, services=services)
        listing = build_listing({CONFIGURATION_KEY: record}, revision=200)
        apply_feed_answer(state, Feed.CONFIGURATION, listing)
        state.live_hosts = live_hosts
        return state

    def test_full_server_is_skipped(self) -> None:
        """A server at the host's connection share gets no more requests."""
        state = self.build_state()
        state.get_load("e1").outstanding = 4
        relays = [
            find_effect(reduce(state, build_arrival(f"r{n}")), RelayRequest)
            for n in range(3)
        ]
        self.assertEqual({relay.server for relay in relays}, {"e2"})

    def test_all_servers_are_full(self) -> None:
        """A request is refused as not run when every server is at the share."""
        state = self.build_state()
        for name in ("e1", "e2"):
            state.get_load(name).outstanding = 4
        refusal = find_effect(reduce(state, build_arrival()), RefuseRequest).refusal
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)

    def test_share_shrinks_with_the_hosts(self) -> None:
        """Two hosts get two connections each, and a hundred hosts one each."""
        state = self.build_state(live_hosts=2)
        relay = find_effect(reduce(state, build_arrival()), RelayRequest)
        self.assertEqual(relay.max_connections, 2)
        state.live_hosts = 100
        self.assertEqual(state.compute_connection_share("e1"), 1)


class RetryTest(unittest.TestCase):
    """Attempts are retried only where that is safe."""

    def test_failed_connection_is_retried_on_another_server(self) -> None:
        """A retry goes to a server that was not tried yet."""
        state = build_state()
        first = find_effect(reduce(state, build_arrival()), RelayRequest)
        end = build_attempt_end(first, AttemptOutcome.CONNECT_FAILED, Verdict.NOT_RUN)
        second = find_effect(reduce(state, end), RelayRequest)
        self.assertNotEqual(first.server, second.server)

    def test_attempts_have_distinct_ids(self) -> None:
        """Each attempt of a request has its own id."""
        state = build_state()
        first = find_effect(reduce(state, build_arrival()), RelayRequest)
        end = build_attempt_end(first, AttemptOutcome.BROKEN)
        second = find_effect(reduce(state, end), RelayRequest)
        self.assertNotEqual(first.attempt_id, second.attempt_id)

    def test_unrepeatable_call_is_not_sent_twice(self) -> None:
        """A call that is not repeatable fails without a retry if it may have run."""
        state = build_state()
        relay = find_effect(reduce(state, build_arrival(target=FILING)), RelayRequest)
        effects = reduce(state, build_attempt_end(relay, AttemptOutcome.BROKEN))
        refusal = find_effect(effects, RefuseRequest).refusal
        self.assertIs(refusal.verdict, Verdict.MAY_HAVE_RUN)

    def test_unrepeatable_call_uses_a_new_connection(self) -> None:
        """A failure on a reused connection could not prove that nothing was sent."""
        state = build_state()
        relay = find_effect(reduce(state, build_arrival(target=FILING)), RelayRequest)
        self.assertFalse(relay.reuse)

    def test_no_retry_after_the_response_started(self) -> None:
        """After the response head was sent, a failure aborts the response."""
        state = build_state()
        relay = find_effect(reduce(state, build_arrival()), RelayRequest)
        started = ResponseStarted(
            at=2.0,
            request_id=relay.request_id,
            attempt_id=relay.attempt_id,
            wall_time=2.0,
        )
        reduce(state, started)
        effects = reduce(state, build_attempt_end(relay, AttemptOutcome.BROKEN))
        find_effect(effects, AbortResponse)

    def test_retries_are_bounded_by_the_budget(self) -> None:
        """A request fails without a retry when the budget is exhausted."""
        state = build_state()
        relay = find_effect(reduce(state, build_arrival()), RelayRequest)
        state.get_retry_budget("draft").balance = 0.5
        effects = reduce(state, build_attempt_end(relay, AttemptOutcome.BROKEN))
        find_effect(effects, RefuseRequest)

    def test_retry_of_what_was_not_sent_needs_no_budget(self) -> None:
        """Many servers are gone at once: nothing arrived, so a retry is no extra one.

        Servers that can't be reached take no budget from those that broke off.
        """
        state = build_state()
        relay = find_effect(reduce(state, build_arrival()), RelayRequest)
        state.get_retry_budget("draft").balance = 0.5
        failed = AttemptOutcome.CONNECT_FAILED
        end = build_attempt_end(relay, failed, Verdict.NOT_RUN)
        find_effect(reduce(state, end), RelayRequest)
        self.assertEqual(state.get_retry_budget("draft").balance, 0.5)

    def test_unused_kv_cache_is_decoded_on_another_server(self) -> None:
        """After an engine that can't be reached, the prompt isn't prefilled again."""
        state = build_state()
        relay = find_effect(reduce(state, build_arrival()), RelayRequest)
        cache = KvCacheRef("e9", "10.0.0.9:80", "x", 900)
        state.requests["r1"].kv_cache = cache
        failed = AttemptOutcome.CONNECT_FAILED
        end = build_attempt_end(relay, failed, Verdict.NOT_RUN)
        effects = reduce(state, end)
        again = find_effect(effects, RelayRequest)
        self.assertEqual(again.kv_cache, cache)
        self.assertNotEqual(again.server, relay.server)
        self.assertFalse(any(isinstance(e, ReleaseKvCache) for e in effects))

    def test_unsent_attempts_of_a_request_are_bounded(self) -> None:
        """A request doesn't try every server of a service that is gone."""
        state = build_state()
        record = attrs.evolve(PENDING, unsent=MAX_UNSENT)
        failed = AttemptOutcome.CONNECT_FAILED
        self.assertFalse(may_retry(state, record, failed, 2.0))

    def build_limited(self, max_attempts: int | None) -> DaemonState:
        """Return a state whose repeatable entry allows so many attempts."""
        state = build_state()
        self.change_entry(state, max_attempts, 200)
        return state

    def change_entry(self, state: DaemonState, number: int | None, at: int) -> None:
        """Change the attempts of the entry at a revision of the store."""
        key = ObjectKey("entry", "draft")
        entry = attrs.evolve(state.catalogue.entries["draft"], max_attempts=number)
        self.change(state, VersionedRecord(key, Revision(number=at), entry))

    def change(self, state: DaemonState, change: VersionedRecord) -> None:
        """Apply one change of the records."""
        apply_feed_answer(state, Feed.RECORDS, Changes(change.version, (change,)))

    def break_attempt(self, state: DaemonState, sent: RelayRequest) -> list:
        """Let an answer be lost and return the attempts that follow."""
        effects = reduce(state, build_attempt_end(sent, AttemptOutcome.BROKEN))
        return [effect for effect in effects if isinstance(effect, RelayRequest)]

    def test_attempts_of_a_removed_entry_stay_bounded(self) -> None:
        """Guards against a request that runs twice: its route, with one, is removed."""
        state = self.build_limited(1)
        sent = find_effect(reduce(state, build_arrival()), RelayRequest)
        key = ObjectKey("entry", "draft")
        self.change(state, VersionedRecord(key, Revision(number=201), DELETED))
        self.assertEqual(self.break_attempt(state, sent), [])

    def test_newer_version_raises_no_bound_of_attempts(self) -> None:
        """Of the versions that a request has met, the lowest bound applies."""
        for before, after, repeats in (
            (1, None, 0),
            (1, 3, 0),
            (None, 1, 0),
            (2, 3, 1),
        ):
            with self.subTest(before=before, after=after):
                state = self.build_limited(before)
                sent = find_effect(reduce(state, build_arrival()), RelayRequest)
                self.change_entry(state, after, 201)
                self.assertEqual(len(self.break_attempt(state, sent)), repeats)

    def test_event_of_an_old_attempt_is_ignored(self) -> None:
        """The late end of an earlier attempt has no effect."""
        state = build_state()
        first = find_effect(reduce(state, build_arrival()), RelayRequest)
        reduce(state, build_attempt_end(first, AttemptOutcome.BROKEN))
        self.assertEqual(
            reduce(state, build_attempt_end(first, AttemptOutcome.BROKEN)), ()
        )


class CompletionTest(unittest.TestCase):
    """The end of an attempt updates usage, requests and the server's failures."""

    def test_usage_is_counted_for_the_workspace(self) -> None:
        """Reported tokens are counted in the workspace's current window."""
        state = build_state()
        relay = find_effect(reduce(state, build_arrival()), RelayRequest)
        end = build_attempt_end(
            relay,
            AttemptOutcome.COMPLETED,
            Verdict.RAN,
            prompt_tokens=7,
            generated_tokens=9,
        )
        find_effect(reduce(state, end), CloseExchange)
        table = state.usage.windows[0]
        self.assertEqual(table, {"audit": UsageFigures(1, 7, 9)})

    def test_no_state_is_left(self) -> None:
        """No request, queue slot or server load is left after completion."""
        state = build_state()
        relay = find_effect(reduce(state, build_arrival()), RelayRequest)
        reduce(state, build_attempt_end(relay, AttemptOutcome.COMPLETED, Verdict.RAN))
        running = state.get_queue("draft").running
        outstanding = state.get_load(relay.server).outstanding
        self.assertEqual((state.requests, running, outstanding), ({}, 0, 0))

    def test_failing_server_is_suspended(self) -> None:
        """A server that failed is suspended for a time."""
        state = build_state()
        relay = find_effect(reduce(state, build_arrival()), RelayRequest)
        reduce(state, build_attempt_end(relay, AttemptOutcome.BROKEN))
        self.assertFalse(state.get_load(relay.server).is_usable(2.1))
