"""Counts the attempts of requests on their servers, and frees what they leave there."""

from collections.abc import Iterator

from geraniumhall_core.effects import ReleaseKvCache
from geraniumhall_core.handlers.access import take_request
from geraniumhall_core.handlers.placement import Placement, record_prompt_use
from geraniumhall_core.handlers.retries import SERVER_FAULT_OUTCOMES
from geraniumhall_core.reducer import Effect
from geraniumhall_core.requests import AttemptOutcome, KvCacheRef, RequestRecord
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict


def assign_server(
    state: DaemonState, record: RequestRecord, placement: Placement, now: float
) -> None:
    """Count a request's attempt on the server that it is sent to."""
    take_request(state, placement.server, now)
    record.attempts += 1
    record.server = placement.server
    record.server_started_at = state.catalogue.servers[placement.server].started_at
    record.prefill_tokens = placement.prefill_tokens
    record.pending_prefill = placement.pending_prefill
    record.prefill_percent = 0
    record.attempted_at = now
    record.tried_servers.add(placement.server)
    load = state.get_load(placement.server)
    load.start_work(placement.prefill_tokens, record.request.memory_tokens)
    record_prompt_use(state, record, placement, now)
    state.reporting.is_dirty = True


def finish_prefill(state: DaemonState, record: RequestRecord) -> None:
    """Take a request's prompt off the prefill that is pending on its server."""
    state.get_load(record.server).finish_prefill(record.prefill_tokens)
    record.prefill_tokens = 0
    state.reporting.is_dirty = True


def release_server(
    state: DaemonState, record: RequestRecord, now: float, outcome: AttemptOutcome
) -> None:
    """Take an ended attempt off its server, and record whether the server failed."""
    finish_prefill(state, record)
    load = state.get_load(record.server)
    load.finish_work(record.request.memory_tokens)
    if outcome is AttemptOutcome.COMPLETED:
        load.record_success()
    elif outcome in SERVER_FAULT_OUTCOMES:
        policy = state.policy
        load.record_failure(now, policy.suspend_base, policy.suspend_limit)
    if outcome is not AttemptOutcome.COMPLETED:
        state.counters[f"attempts.{outcome.value}"] += 1


def release_kv_cache(
    state: DaemonState, record: RequestRecord, verdict: Verdict, now: float
) -> Iterator[Effect]:
    """Free a prompt's KV cache if the last attempt certainly did not use it."""
    kv_cache, record.kv_cache = record.kv_cache, None
    if kv_cache is not None and verdict is Verdict.NOT_RUN:
        yield from release_memory(state, kv_cache, now)


def release_memory(
    state: DaemonState, kv_cache: KvCacheRef, now: float
) -> Iterator[Effect]:
    """Free a KV cache, or let it expire on a server that takes no request now."""
    if take_request(state, kv_cache.server, now):
        yield ReleaseKvCache(kv_cache=kv_cache)
    else:
        state.counters["kv_caches.left"] += 1
