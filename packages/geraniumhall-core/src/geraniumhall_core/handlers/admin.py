"""Admin API: dispatches commands, and serves reads and the drain command."""

from collections.abc import Callable, Iterator
from typing import Any

from geraniumhall_core.admin import (
    AdminCommand,
    DrainStarted,
    ListRecords,
    MemberStatus,
    MemberStatuses,
    ReadDump,
    ReadMembers,
    ReadRecord,
    ReadServers,
    ReadStatus,
    ReadUnusable,
    ServerStatus,
    ServerStatuses,
    StartDrain,
    StateDump,
    Status,
    UnusableObjects,
)
from geraniumhall_core.catalogue import BackendServer
from geraniumhall_core.effects import AnswerAdmin, CallPlatform
from geraniumhall_core.events import AdminCalled
from geraniumhall_core.handlers.access import (
    compute_closed_seconds,
    describe_limit,
    is_leaving,
    is_open,
)
from geraniumhall_core.handlers.lifecycle import begin_drain
from geraniumhall_core.handlers.reducer import REDUCER
from geraniumhall_core.handlers.unusable_objects import describe_unusable
from geraniumhall_core.platform import Feed, GetObject, ListObjects, PlatformMessage
from geraniumhall_core.purposes import ServeAdmin
from geraniumhall_core.reducer import Effect
from geraniumhall_core.registry import Registry
from geraniumhall_core.state import DaemonState

CommandHandler = Callable[[DaemonState, AdminCalled, Any], Iterator[Effect]]
COMMAND_HANDLERS: Registry[type[AdminCommand], CommandHandler] = Registry(
    "admin command handler"
)


@REDUCER.handles(AdminCalled)
def receive_admin_call(state: DaemonState, event: AdminCalled) -> Iterator[Effect]:
    """Dispatch an admin call by the type of its command."""
    yield from COMMAND_HANDLERS.find(type(event.command))(state, event, event.command)


@COMMAND_HANDLERS.register(ReadRecord)
def read_record(
    state: DaemonState, event: AdminCalled, command: ReadRecord
) -> Iterator[Effect]:
    """Read one record from the platform's store."""
    yield call_platform(event, GetObject(command.key))


@COMMAND_HANDLERS.register(ListRecords)
def list_records(
    state: DaemonState, event: AdminCalled, command: ListRecords
) -> Iterator[Effect]:
    """List the records of one kind from the platform's store."""
    yield call_platform(event, ListObjects(Feed.RECORDS, command.kind))


@COMMAND_HANDLERS.register(ReadStatus)
def read_status(
    state: DaemonState, event: AdminCalled, command: ReadStatus
) -> Iterator[Effect]:
    """Answer with a summary of this daemon's state."""
    age = state.compute_catalogue_age(event.at)
    configuration = state.catalogue.configuration
    status = Status(
        host=state.policy.host,
        failure_domain=state.policy.failure_domain,
        incarnation=state.policy.incarnation,
        ready=state.is_ready(event.at),
        draining=state.is_draining,
        configuration=configuration.version if configuration else 0,
        catalogue_age=None if age == float("inf") else round(age, 3),
        catalogue_fresh=age <= state.policy.stale_after,
        hosts=state.live_hosts,
        running=sum(queue.running for queue in state.queues.values()),
        waiting=sum(queue.waiting_count for queue in state.queues.values()),
        counters=dict(sorted(state.counters.items())),
    )
    yield AnswerAdmin(call_id=event.call_id, answer=status)


@COMMAND_HANDLERS.register(ReadServers)
def read_servers(
    state: DaemonState, event: AdminCalled, command: ReadServers
) -> Iterator[Effect]:
    """Answer with the state of each backend server as this daemon sees it."""
    statuses = tuple(
        _build_server_status(state, name, server, event.at)
        for name, server in sorted(state.catalogue.servers.items())
    )
    yield AnswerAdmin(call_id=event.call_id, answer=ServerStatuses(statuses))


@COMMAND_HANDLERS.register(ReadMembers)
def read_members(
    state: DaemonState, event: AdminCalled, command: ReadMembers
) -> Iterator[Effect]:
    """Answer with the state of each other daemon as this one sees it."""
    live = state.list_live_hosts(event.at)
    statuses = tuple(
        MemberStatus(
            host=name,
            failure_domain=known.record.failure_domain,
            incarnation=known.record.incarnation,
            live=name in live,
            leaving=known.record.is_leaving,
            age=round(event.at - known.changed_at, 3),
        )
        for name, known in sorted(state.hosts.known.items())
    )
    yield AnswerAdmin(call_id=event.call_id, answer=MemberStatuses(statuses))


@COMMAND_HANDLERS.register(ReadUnusable)
def read_unusable(
    state: DaemonState, event: AdminCalled, command: ReadUnusable
) -> Iterator[Effect]:
    """Answer with the objects of the store that can't be decoded."""
    answer = UnusableObjects(describe_unusable(state))
    yield AnswerAdmin(call_id=event.call_id, answer=answer)


@COMMAND_HANDLERS.register(ReadDump)
def read_dump(
    state: DaemonState, event: AdminCalled, command: ReadDump
) -> Iterator[Effect]:
    """Answer with a dump of the whole state."""
    yield AnswerAdmin(call_id=event.call_id, answer=StateDump(state))


@COMMAND_HANDLERS.register(StartDrain)
def start_drain(
    state: DaemonState, event: AdminCalled, command: StartDrain
) -> Iterator[Effect]:
    """Start draining the daemon and confirm it."""
    yield from begin_drain(state, event.at)
    yield AnswerAdmin(call_id=event.call_id, answer=DrainStarted())


def _build_server_status(
    state: DaemonState, name: str, server: BackendServer, now: float
) -> ServerStatus:
    load = state.get_load(name)
    return ServerStatus(
        name=name,
        address=server.address,
        failure_domain=server.failure_domain,
        services=server.services,
        leaving=is_leaving(state, name),
        usable=load.is_usable(now) and is_open(state, name, now),
        outstanding=load.outstanding,
        failures=load.failures,
        limit=describe_limit(state, name, now),
        closed_for=compute_closed_seconds(state, name, now),
    )


def call_platform(event: AdminCalled, message: PlatformMessage) -> CallPlatform:
    """Return the effect that makes the platform call for an admin call."""
    return CallPlatform(purpose=ServeAdmin(event.call_id, message), message=message)
