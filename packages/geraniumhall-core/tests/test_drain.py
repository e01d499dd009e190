"""Tests of the end of a drain."""

import unittest

from builders import (
    NOW,
    build_answer,
    build_arrival,
    build_attempt_end,
    build_state,
    find_effect,
    reduce,
)

from geraniumhall_core.effects import CallPlatform, EndProcess, RelayRequest
from geraniumhall_core.events import DrainRequested, Ticked
from geraniumhall_core.platform import ObjectMissing, PutObject, Written
from geraniumhall_core.purposes import PublishHost
from geraniumhall_core.reducer import Effect
from geraniumhall_core.requests import AttemptOutcome
from geraniumhall_core.revisions import Revision
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict

GRACE_SECONDS = 2.0
LIMIT_SECONDS = 7.0


def tick(state: DaemonState, at: float) -> tuple[Effect, ...]:
    """Let the timer fire, and answer the calls that are not about the host's record."""
    effects = reduce(state, Ticked(at=at, wall_time=at, draws=(0.5, 0.5)))
    others = [call for call in list_calls(effects) if call not in list_records(effects)]
    while others:
        others += list_calls(answer(state, others.pop(), at))
    return effects


def answer(state: DaemonState, call: CallPlatform, at: float) -> tuple[Effect, ...]:
    """Answer a call to the store, which takes every write and has no objects."""
    is_write = isinstance(call.message, PutObject)
    found = Written(Revision(number=500)) if is_write else ObjectMissing()
    return reduce(state, build_answer(call.purpose, found, at=at))


def list_calls(effects: tuple[Effect, ...]) -> list[CallPlatform]:
    """Return the calls to the store."""
    return [effect for effect in effects if isinstance(effect, CallPlatform)]


def list_records(effects: tuple[Effect, ...]) -> list[CallPlatform]:
    """Return the writes of the host's record."""
    calls = list_calls(effects)
    return [call for call in calls if isinstance(call.purpose, PublishHost)]


def start_drain() -> tuple[DaemonState, RelayRequest]:
    """Return a state that is being drained, with one request open."""
    policy = {"drain_grace": GRACE_SECONDS, "drain_limit": LIMIT_SECONDS}
    state = build_state(policy={**policy, "publish_interval": 60.0})
    relay = find_effect(reduce(state, build_arrival()), RelayRequest)
    for call in list_records(tick(state, NOW + 0.1)):
        answer(state, call, NOW + 0.1)
    reduce(state, DrainRequested(at=NOW + 0.2))
    return state, relay


class HandOverTest(unittest.TestCase):
    """The last record has the counts of all requests, so it comes after them."""

    def test_open_request_delays_the_last_record(self) -> None:
        """Neither the record nor the end comes while a request is open."""
        state, _ = start_drain()
        for second in range(1, int(LIMIT_SECONDS)):
            effects = tick(state, NOW + second)
            self.assertEqual(list_records(effects), [])
            self.assertFalse([e for e in effects if isinstance(e, EndProcess)])

    def test_last_record_follows_the_last_request(self) -> None:
        """Its answer then ends the process."""
        state, relay = start_drain()
        tick(state, NOW + 3.0)
        end = build_attempt_end(
            relay, AttemptOutcome.COMPLETED, Verdict.RAN, at=NOW + 3.1
        )
        reduce(state, end)
        (call,) = list_records(tick(state, NOW + 3.3))
        assert isinstance(call.message, PutObject)
        self.assertTrue(call.message.record.is_leaving)
        answer(state, call, NOW + 3.4)
        find_effect(tick(state, NOW + 3.6), EndProcess)
