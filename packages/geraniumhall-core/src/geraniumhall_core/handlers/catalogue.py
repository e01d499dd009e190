"""Keeps the host's copy of the catalogue current, and limits with it."""

from collections.abc import Iterator

from geraniumhall_core.catalogue import (
    CATALOGUE_KINDS,
    apply_changes,
    apply_listing,
)
from geraniumhall_core.effects import CallPlatform, LogField, WriteLog
from geraniumhall_core.events import DaemonStarted, PlatformAnswered
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.handlers.reducer import REDUCER
from geraniumhall_core.limits import TokenBucket
from geraniumhall_core.platform import (
    Changes,
    HistoryGone,
    Listing,
    ListObjects,
    Message,
    PlatformFailure,
    WatchObjects,
)
from geraniumhall_core.purposes import SyncCatalogue
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.reducer import Effect
from geraniumhall_core.retries import compute_backoff
from geraniumhall_core.state import DaemonState


@REDUCER.handles(DaemonStarted)
def start_sync(state: DaemonState, event: DaemonStarted) -> Iterator[Effect]:
    """Ask for the whole catalogue."""
    yield CallPlatform(purpose=SyncCatalogue(), message=_list_catalogue())


@ANSWER_HANDLERS.register(SyncCatalogue)
def receive_catalogue(
    state: DaemonState, event: PlatformAnswered, purpose: SyncCatalogue
) -> Iterator[Effect]:
    """Apply what the platform sent and ask for what comes next."""
    answer = event.answer
    if isinstance(answer, Listing):
        changed = apply_listing(state.catalogue, answer.revision, answer.objects)
    elif isinstance(answer, Changes):
        changed = apply_changes(state.catalogue, answer.revision, answer.changes)
    else:
        yield from _retry_sync(state, event)
        return
    state.platform_failures = 0
    confirmed_at = max(state.catalogue.confirmed_at, event.asked_at)
    state.catalogue.confirmed_at = confirmed_at
    if changed:
        _resize_buckets(state, changed, event.at)
        yield _log_change(state, len(changed))
    yield CallPlatform(purpose=SyncCatalogue(), message=_watch_catalogue(state))


def is_catalogue_fresh(state: DaemonState, now: float) -> bool:
    """Tell whether the copy was confirmed within the bound of the policy."""
    return now - state.catalogue.confirmed_at <= state.policy.stale_after


def _retry_sync(state: DaemonState, event: PlatformAnswered) -> Iterator[Effect]:
    policy = state.policy
    delay = 0.0
    if not isinstance(event.answer, HistoryGone):
        delay = compute_backoff(
            state.platform_failures,
            policy.reconnect_base,
            policy.reconnect_limit,
            event.draws[0],
        )
        state.platform_failures += 1
        state.counters["platform.failures"] += 1
    if state.platform_failures == 1 and isinstance(event.answer, PlatformFailure):
        yield WriteLog(
            level="warning",
            event="platform_unreachable",
            fields=(LogField("reason", event.answer.reason),),
        )
    must_list = isinstance(event.answer, HistoryGone) or not state.catalogue.revision
    message = _list_catalogue() if must_list else _watch_catalogue(state)
    yield CallPlatform(purpose=SyncCatalogue(), message=message, delay=delay)


def _resize_buckets(
    state: DaemonState, changed: tuple[ObjectKey, ...], now: float
) -> None:
    for key in changed:
        if key.kind == "workspace":
            _resize_bucket(state, key.name, now)


def _resize_bucket(state: DaemonState, name: str, now: float) -> None:
    workspace = state.catalogue.workspaces.get(name)
    if workspace is None or state.policy.host not in workspace.hosts:
        state.buckets.pop(name, None)
        return
    rate = workspace.rate / len(workspace.hosts)
    burst = workspace.burst / len(workspace.hosts)
    bucket = state.buckets.setdefault(name, TokenBucket(rate, burst, now))
    bucket.resize(rate, burst, now)


def _log_change(state: DaemonState, count: int) -> WriteLog:
    revision = LogField("revision", state.catalogue.revision)
    return WriteLog(
        level="info",
        event="catalogue_applied",
        fields=(revision, LogField("changes", count)),
    )


def _list_catalogue() -> Message:
    return ListObjects(CATALOGUE_KINDS)


def _watch_catalogue(state: DaemonState) -> Message:
    after = state.catalogue.revision
    return WatchObjects(CATALOGUE_KINDS, after, state.policy.watch_wait)
