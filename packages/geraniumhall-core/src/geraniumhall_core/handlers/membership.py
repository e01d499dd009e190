"""Membership: registration, and pulls between daemons with a bounded fan-out."""

from collections.abc import Callable, Iterator
from typing import Any

from geraniumhall_core.effects import (
    AnswerPeer,
    CallPeer,
    CallPlatform,
    LogField,
    WriteLog,
)
from geraniumhall_core.events import (
    DaemonStarted,
    PeerAnswered,
    PeerCalled,
    PlatformAnswered,
)
from geraniumhall_core.handlers.catalogue import (
    apply_listing_to_state,
    apply_to_state,
    confirm_catalogue,
    start_sync,
)
from geraniumhall_core.handlers.membership_view import (
    has_joined,
    list_peer_addresses,
    list_watchers,
)
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.handlers.reducer import REDUCER
from geraniumhall_core.peering import (
    HostRecord,
    MemberReport,
    PeerFailure,
    PeerMessage,
    PullAnswer,
    PullRequest,
)
from geraniumhall_core.platform import (
    DeleteObject,
    GetObject,
    ObjectFound,
    ObjectMissing,
    PutObject,
    Written,
)
from geraniumhall_core.purposes import RegisterHost, UnregisterHost
from geraniumhall_core.records import ObjectKey
from geraniumhall_core.reducer import Effect
from geraniumhall_core.registry import Registry
from geraniumhall_core.retries import compute_backoff
from geraniumhall_core.state import DaemonState

PULL_FAN_OUT = 2
PULL_TIMEOUT_SECONDS = 1.0

CallHandler = Callable[[DaemonState, PeerCalled, Any], Iterator[Effect]]
AnswerHandler = Callable[[DaemonState, PeerAnswered, Any], Iterator[Effect]]
CALL_HANDLERS: Registry[type[PeerMessage], CallHandler] = Registry("peer call handler")
PEER_ANSWER_HANDLERS: Registry[type[PeerMessage], AnswerHandler] = Registry(
    "peer answer handler"
)


@REDUCER.handles(DaemonStarted)
def join(state: DaemonState, event: DaemonStarted) -> Iterator[Effect]:
    """Ask for the catalogue and register where peers find this daemon."""
    state.peering.address = event.peer_address
    yield start_sync(state)
    if event.peer_address:
        yield CallPlatform(purpose=RegisterHost(), message=GetObject(_name_self(state)))


@ANSWER_HANDLERS.register(RegisterHost)
def register_host(
    state: DaemonState, event: PlatformAnswered, purpose: RegisterHost
) -> Iterator[Effect]:
    """Write the host's record over what was there; begin again on a failure."""
    answer = event.answer
    if isinstance(answer, Written):
        state.peering.record_version = answer.version
        state.peering.registered_at = event.at
        state.peering.next_pull_at = event.at
        yield WriteLog(level="info", event="host_registered")
    elif isinstance(answer, ObjectMissing):
        yield _write_record(state, 0)
    elif isinstance(answer, ObjectFound):
        found: HostRecord = answer.object.record
        if found.incarnation >= state.peering.incarnation:
            state.peering.incarnation = found.incarnation + 1
        yield _write_record(state, answer.object.version)
    else:
        limit = state.policy.reconnect_limit
        delay = compute_backoff(0, limit, limit, event.draws[0])
        message = GetObject(_name_self(state))
        yield CallPlatform(purpose=RegisterHost(), message=message, delay=delay)


@ANSWER_HANDLERS.register(UnregisterHost)
def note_unregistered(
    state: DaemonState, event: PlatformAnswered, purpose: UnregisterHost
) -> Iterator[Effect]:
    """Go on with the planned stop; a record that stays is removed later."""
    state.drain.pending_calls -= 1
    yield from ()


def unregister_host(state: DaemonState) -> Iterator[Effect]:
    """Take this daemon out of the catalogue."""
    if state.peering.record_version:
        key = _name_self(state)
        message = DeleteObject(key, state.peering.record_version)
        yield CallPlatform(purpose=UnregisterHost(), message=message)


def pull_from_peers(state: DaemonState, now: float) -> Iterator[Effect]:
    """Ask a few peers in turn, and a watcher close by, for what they know."""
    peering = state.peering
    if not peering.address or now < peering.next_pull_at:
        return
    peering.next_pull_at = now + state.policy.pull_interval
    for host, address in _choose_peers(state, now).items():
        request = PullRequest(state.describe_self(), state.catalogue.revision)
        yield CallPeer(
            host=host, address=address, message=request, timeout=PULL_TIMEOUT_SECONDS
        )


def note_joined(state: DaemonState) -> Iterator[Effect]:
    """Log once that this daemon takes edits."""
    if not state.peering.is_join_logged and has_joined(state):
        state.peering.is_join_logged = True
        yield WriteLog(level="info", event="joined")


@REDUCER.handles(PeerCalled)
def receive_call(state: DaemonState, event: PeerCalled) -> Iterator[Effect]:
    """Pass a peer's call to the handler of its message."""
    handler = CALL_HANDLERS.find(type(event.message))
    yield from handler(state, event, event.message)


@REDUCER.handles(PeerAnswered)
def receive_peer_answer(state: DaemonState, event: PeerAnswered) -> Iterator[Effect]:
    """Pass a peer's answer to the handler of the message it answers."""
    handler = PEER_ANSWER_HANDLERS.find(type(event.message))
    yield from handler(state, event, event.answer)


@CALL_HANDLERS.register(PullRequest)
def answer_pull(
    state: DaemonState, event: PeerCalled, message: PullRequest
) -> Iterator[Effect]:
    """Tell a peer of members and of the catalogue.

    The caller's state is taken in as old as can be, since how long the call
    was under way is not known.
    """
    state.membership.merge(message.sender, float("-inf"))
    own = MemberReport(state.describe_self(), 0.0)
    age: float | None = event.at - state.catalogue.confirmed_at
    if age == float("inf"):
        age = None
    reports = state.membership.list_reports(event.at)
    catalogue = state.catalogue
    is_full = message.revision < catalogue.complete_since
    after = message.revision
    changes = catalogue.list_objects() if is_full else catalogue.list_changes(after)
    answer = PullAnswer(
        reports=(own, *reports),
        revision=catalogue.revision,
        confirmed_age=age,
        changes=changes,
        is_full=is_full,
    )
    yield AnswerPeer(call_id=event.call_id, answer=answer)


@PEER_ANSWER_HANDLERS.register(PullRequest)
def receive_pull(
    state: DaemonState, event: PeerAnswered, answer: PullAnswer | PeerFailure
) -> Iterator[Effect]:
    """Take in what a peer told."""
    if isinstance(answer, PeerFailure):
        state.counters["peers.failures"] += 1
        return
    for report in answer.reports:
        yield from _merge_report(state, report, event.asked_at - report.age)
    if answer.is_full:
        yield from apply_listing_to_state(
            state, answer.revision, answer.changes, event.at
        )
    else:
        yield from apply_to_state(state, answer.revision, answer.changes, event.at)
    if answer.confirmed_age is not None:
        confirm_catalogue(state, event.asked_at - answer.confirmed_age)
    yield from note_joined(state)


def _choose_peers(state: DaemonState, now: float) -> dict[str, str]:
    """Return addresses by host: some of all in turn, and a watcher's."""
    peering = state.peering
    addresses = sorted(list_peer_addresses(state).items())
    if not addresses:
        addresses = [("", seed) for seed in state.policy.seeds]
    chosen = {}
    for _ in range(min(PULL_FAN_OUT, len(addresses))):
        host, address = addresses[peering.turn % len(addresses)]
        peering.turn += 1
        chosen[host] = address
    watchers = list_watchers(state, now)
    if watchers:
        host = watchers[peering.turn // PULL_FAN_OUT % len(watchers)]
        chosen[host] = state.membership.known[host].member.address
    return chosen


def _merge_report(
    state: DaemonState, report: MemberReport, heard_at: float
) -> Iterator[Effect]:
    member = report.member
    if member.host == state.policy.host:
        return
    is_unknown = member.host not in state.membership.known
    state.membership.merge(member, heard_at)
    if is_unknown:
        fields = (LogField("member", member.host),)
        yield WriteLog(level="info", event="member_joined", fields=fields)


def _write_record(state: DaemonState, if_version: int) -> CallPlatform:
    record = HostRecord(
        address=state.peering.address,
        failure_domain=state.policy.failure_domain,
        incarnation=state.peering.incarnation,
    )
    message = PutObject(_name_self(state), record, if_version)
    return CallPlatform(purpose=RegisterHost(), message=message)


def _name_self(state: DaemonState) -> ObjectKey:
    return ObjectKey("host", state.policy.host)
