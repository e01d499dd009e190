"""Simulated daemons, and what tests can observe of their cluster."""

from collections.abc import Callable

import attrs

from geraniumhall_core.effects import RelayRequest, WriteLog
from geraniumhall_core.platform import DutyMessage
from geraniumhall_core.reducer import Event
from geraniumhall_core.refusals import Refusal
from geraniumhall_core.state import DaemonState

EventBuilder = Callable[[float], Event]


@attrs.define
class SimulatedDaemon:
    """A daemon's state, its log, and the events that arrived while it was paused.

    `inbox` holds builders rather than events, because an event gets the time
    at which it is processed.
    """

    state: DaemonState
    is_alive: bool = True
    is_paused: bool = False
    inbox: list[EventBuilder] = attrs.field(factory=list)
    log: list[WriteLog] = attrs.field(factory=list)


@attrs.frozen
class DeliveredDuty:
    """A duty call that reached the platform, `at` seconds of virtual time."""

    at: float
    message: DutyMessage


@attrs.frozen
class RelayedRequest:
    """A request that was sent to a backend server, `at` seconds of virtual time."""

    at: float
    host: str
    workspace: str
    effect: RelayRequest


@attrs.frozen
class RefusedRequest:
    """A request that was refused, `at` seconds of virtual time."""

    at: float
    host: str
    request_id: str
    refusal: Refusal
