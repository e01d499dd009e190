"""Operators' calls: reads of this daemon, and edits passed to the platform."""

from collections.abc import Callable, Iterator
from typing import Any

import attrs

from geraniumhall_core.admin import (
    AdminCommand,
    DeleteRecord,
    DrainStarted,
    InvalidRecord,
    ListRecords,
    MemberStatus,
    MemberStatuses,
    NotJoined,
    PlatformResult,
    ReadDump,
    ReadHosts,
    ReadMembers,
    ReadRecord,
    ReadServers,
    ReadStatus,
    ServerStatus,
    ServerStatuses,
    StartDrain,
    StateDump,
    Status,
    WriteRecord,
)
from geraniumhall_core.catalogue import (
    BackendServer,
    CatalogueEntry,
    ServiceClass,
    Workspace,
)
from geraniumhall_core.effects import AnswerAdmin, CallPlatform
from geraniumhall_core.events import AdminCalled, PlatformAnswered
from geraniumhall_core.handlers.catalogue import (
    apply_to_state,
    is_catalogue_fresh,
)
from geraniumhall_core.handlers.lifecycle import begin_drain
from geraniumhall_core.handlers.membership_view import (
    describe_condition,
    has_joined,
    list_peer_addresses,
    list_unjoined_hosts,
)
from geraniumhall_core.handlers.platform import ANSWER_HANDLERS
from geraniumhall_core.handlers.reducer import REDUCER
from geraniumhall_core.keys import KeyRecord
from geraniumhall_core.orders import ServerWish
from geraniumhall_core.platform import (
    Answer,
    Conflict,
    DeleteObject,
    GetObject,
    ListHosts,
    ListObjects,
    Message,
    ObjectFound,
    ObjectMissing,
    PlatformFailure,
    PutObject,
    Written,
)
from geraniumhall_core.purposes import ConfirmEdit, ServeAdmin
from geraniumhall_core.records import DELETED, VersionedRecord
from geraniumhall_core.reducer import Effect
from geraniumhall_core.registry import Registry
from geraniumhall_core.state import DaemonState
from geraniumhall_core.verdict import Verdict

READ_BACK_DELAY_SECONDS = 0.1

CommandHandler = Callable[[DaemonState, AdminCalled, Any], Iterator[Effect]]
COMMAND_HANDLERS: Registry[type[AdminCommand], CommandHandler] = Registry(
    "admin command handler"
)

RecordCheck = Callable[[DaemonState, Any], InvalidRecord | None]
RECORD_CHECKS: Registry[type, RecordCheck] = Registry("record check")


@REDUCER.handles(AdminCalled)
def serve_admin(state: DaemonState, event: AdminCalled) -> Iterator[Effect]:
    """Pass an operator's call to the handler of its command."""
    yield from COMMAND_HANDLERS.find(type(event.command))(state, event, event.command)


@ANSWER_HANDLERS.register(ServeAdmin)
def return_result(
    state: DaemonState, event: PlatformAnswered, purpose: ServeAdmin
) -> Iterator[Effect]:
    """Hand the platform's answer to the operator.

    A write whose reply was lost is read back first.
    """
    message = purpose.message
    if _is_unknown(event.answer) and isinstance(message, PutObject | DeleteObject):
        yield CallPlatform(
            purpose=ConfirmEdit(purpose.call_id, message),
            message=GetObject(message.key),
            delay=READ_BACK_DELAY_SECONDS,
        )
        return
    answer = PlatformResult(event.answer)
    yield from _apply_edit(state, event, message)
    yield AnswerAdmin(call_id=purpose.call_id, answer=answer)


@ANSWER_HANDLERS.register(ConfirmEdit)
def confirm_edit(
    state: DaemonState, event: PlatformAnswered, purpose: ConfirmEdit
) -> Iterator[Effect]:
    """Tell the operator what became of a write whose reply was lost."""
    judged = _judge_edit(event.answer, purpose.message)
    yield from _apply_edit(state, attrs.evolve(event, answer=judged), purpose.message)
    yield AnswerAdmin(call_id=purpose.call_id, answer=PlatformResult(judged))


@COMMAND_HANDLERS.register(ReadRecord)
def read_record(
    state: DaemonState, event: AdminCalled, command: ReadRecord
) -> Iterator[Effect]:
    """Read a record from the platform."""
    yield _call_platform(event, GetObject(command.key))


@COMMAND_HANDLERS.register(ListRecords)
def list_records(
    state: DaemonState, event: AdminCalled, command: ListRecords
) -> Iterator[Effect]:
    """List records of one kind from the platform."""
    yield _call_platform(event, ListObjects((command.kind,)))


@COMMAND_HANDLERS.register(WriteRecord)
def write_record(
    state: DaemonState, event: AdminCalled, command: WriteRecord
) -> Iterator[Effect]:
    """Check a record against the catalogue and write it to the platform."""
    if not has_joined(state):
        yield _refuse_edit(state, event)
        return
    fault = RECORD_CHECKS.find(type(command.record))(state, command.record)
    if fault is not None:
        yield AnswerAdmin(call_id=event.call_id, answer=fault)
        return
    message = PutObject(command.key, command.record, command.if_version)
    yield _call_platform(event, message)


@COMMAND_HANDLERS.register(DeleteRecord)
def delete_record(
    state: DaemonState, event: AdminCalled, command: DeleteRecord
) -> Iterator[Effect]:
    """Delete a record from the platform."""
    if not has_joined(state):
        yield _refuse_edit(state, event)
        return
    yield _call_platform(event, DeleteObject(command.key, command.if_version))


@COMMAND_HANDLERS.register(ReadHosts)
def read_hosts(
    state: DaemonState, event: AdminCalled, command: ReadHosts
) -> Iterator[Effect]:
    """Read the platform's list of hosts."""
    yield _call_platform(event, ListHosts())


@COMMAND_HANDLERS.register(ReadStatus)
def read_status(
    state: DaemonState, event: AdminCalled, command: ReadStatus
) -> Iterator[Effect]:
    """Summarise this daemon."""
    age = event.at - state.catalogue.confirmed_at
    status = Status(
        host=state.policy.host,
        failure_domain=state.policy.failure_domain,
        incarnation=state.policy.incarnation,
        ready=state.is_ready(event.at),
        draining=state.is_draining,
        catalogue_revision=state.catalogue.revision,
        catalogue_age=None if age == float("inf") else round(age, 3),
        catalogue_fresh=is_catalogue_fresh(state, event.at),
        members=len(state.membership.known),
        running=sum(queue.running for queue in state.queues.values()),
        waiting=sum(queue.waiting_count for queue in state.queues.values()),
        counters=dict(sorted(state.counters.items())),
    )
    yield AnswerAdmin(call_id=event.call_id, answer=status)


@COMMAND_HANDLERS.register(ReadServers)
def read_servers(
    state: DaemonState, event: AdminCalled, command: ReadServers
) -> Iterator[Effect]:
    """List the backend servers as this daemon sees them."""
    statuses = tuple(
        _describe_server(state, name, server, event.at)
        for name, server in sorted(state.catalogue.servers.items())
    )
    yield AnswerAdmin(call_id=event.call_id, answer=ServerStatuses(statuses))


@COMMAND_HANDLERS.register(ReadMembers)
def read_members(
    state: DaemonState, event: AdminCalled, command: ReadMembers
) -> Iterator[Effect]:
    """List the other daemons as this one sees them."""
    statuses = tuple(
        _describe_member(state, host, address, event.at)
        for host, address in sorted(list_peer_addresses(state).items())
    )
    yield AnswerAdmin(call_id=event.call_id, answer=MemberStatuses(statuses))


@COMMAND_HANDLERS.register(ReadDump)
def read_dump(
    state: DaemonState, event: AdminCalled, command: ReadDump
) -> Iterator[Effect]:
    """Return the whole state."""
    yield AnswerAdmin(call_id=event.call_id, answer=StateDump(state))


@COMMAND_HANDLERS.register(StartDrain)
def start_drain(
    state: DaemonState, event: AdminCalled, command: StartDrain
) -> Iterator[Effect]:
    """Begin a planned stop."""
    yield from begin_drain(state, event.at)
    yield AnswerAdmin(call_id=event.call_id, answer=DrainStarted())


@RECORD_CHECKS.register(CatalogueEntry)
def check_entry(state: DaemonState, record: CatalogueEntry) -> InvalidRecord | None:
    """Check that owner and listed workspaces exist and the path is usable."""
    known = state.catalogue.workspaces
    if record.owner not in known:
        return InvalidRecord("$.owner", f"unknown workspace {record.owner!r}")
    for index, name in enumerate(record.workspaces):
        if name not in known:
            return InvalidRecord(
                f"$.workspaces[{index}]", f"unknown workspace {name!r}"
            )
    is_service = record.service_class is ServiceClass.SERVICE
    if is_service and not record.path.startswith("/"):
        return InvalidRecord(
            "$.path", "a service entry needs a path that begins with /"
        )
    if not is_service and record.path:
        return InvalidRecord("$.path", "a model entry has no path")
    return None


@RECORD_CHECKS.register(Workspace)
def check_workspace(state: DaemonState, record: Workspace) -> InvalidRecord | None:
    """Check that the workspace's shares are on distinct hosts."""
    if len(set(record.hosts)) != len(record.hosts):
        return InvalidRecord("$.hosts", "a host is listed twice")
    return None


@RECORD_CHECKS.register(KeyRecord)
def check_key(state: DaemonState, record: KeyRecord) -> InvalidRecord | None:
    """Check that the key's workspace exists."""
    if record.workspace not in state.catalogue.workspaces:
        reason = f"unknown workspace {record.workspace!r}"
        return InvalidRecord("$.workspace", reason)
    return None


@RECORD_CHECKS.register(ServerWish)
def check_wish(state: DaemonState, record: ServerWish) -> InvalidRecord | None:
    """Accept any role; the wish of an unknown server waits for it."""
    return None


@RECORD_CHECKS.register(BackendServer)
def check_server(state: DaemonState, record: BackendServer) -> InvalidRecord | None:
    """Check that the address has a host and a port."""
    host, _, port = record.address.rpartition(":")
    if not host or not port.isdigit():
        return InvalidRecord("$.address", "expected host:port")
    return None


def _call_platform(event: AdminCalled, message: Message) -> CallPlatform:
    return CallPlatform(purpose=ServeAdmin(event.call_id, message), message=message)


def _refuse_edit(state: DaemonState, event: AdminCalled) -> AnswerAdmin:
    answer = NotJoined(tuple(list_unjoined_hosts(state)))
    return AnswerAdmin(call_id=event.call_id, answer=answer)


def _apply_edit(
    state: DaemonState, event: PlatformAnswered, message: Message
) -> Iterator[Effect]:
    """Apply an edit that took effect, before the operator is told.

    Peers that pull from here get it even if the platform falls out of reach.
    """
    if not isinstance(event.answer, Written) or not event.answer.version:
        return
    if not isinstance(message, PutObject | DeleteObject):
        return
    record = message.record if isinstance(message, PutObject) else DELETED
    version = event.answer.version
    state.peering.latest_written = max(state.peering.latest_written, version)
    change = VersionedRecord(message.key, version, record)
    revision = state.catalogue.revision
    yield from apply_to_state(state, revision, (change,), event.at)


def _is_unknown(answer: Answer) -> bool:
    if not isinstance(answer, PlatformFailure):
        return False
    return answer.verdict is not Verdict.NOT_RUN


def _judge_edit(found: Answer, message: PutObject | DeleteObject) -> Answer:
    if isinstance(found, ObjectMissing) and isinstance(message, DeleteObject):
        return Written(0)
    if not isinstance(found, ObjectFound):
        reason = "no reply to the write, and none to reading it back"
        return PlatformFailure(reason, Verdict.MAY_HAVE_RUN)
    current = found.object
    if isinstance(message, PutObject) and current.record == message.record:
        return Written(current.version)
    if current.version == message.if_version:
        reason = "no reply to the write; it had not taken effect when read back"
        return PlatformFailure(reason, Verdict.MAY_HAVE_RUN)
    return Conflict(current)


def _describe_server(
    state: DaemonState, name: str, server: BackendServer, now: float
) -> ServerStatus:
    load = state.find_load(name)
    return ServerStatus(
        name=name,
        address=server.address,
        failure_domain=server.failure_domain,
        entries=server.entries,
        leaving=server.leaving,
        usable=load.is_usable(now) and not server.leaving,
        outstanding=load.outstanding,
        failures=load.failures,
    )


def _describe_member(
    state: DaemonState, host: str, address: str, now: float
) -> MemberStatus:
    known = state.membership.known.get(host)
    is_heard = known is not None and known.heard_at > float("-inf")
    record = state.catalogue.hosts.get(host)
    domain = known.member.failure_domain if known else ""
    return MemberStatus(
        host=host,
        failure_domain=record.failure_domain if record else domain,
        address=address,
        condition=describe_condition(state, host, now),
        heard_age=round(now - known.heard_at, 3) if known and is_heard else None,
        revision=known.member.revision if known else 0,
    )
