"""What all stand-ins share: one reducer, behaviours and faults by registry.

A behaviour turns a call into replies; a fault changes a reply before it is
sent. Every call is kept, as the witness of what ran::

    @BEHAVIOURS.register("service")
    def serve_booking(state, event):
        yield Reply.from_json(event.call_id, 200, {"booking": 1})
"""

from collections.abc import Callable, Iterator
from json import dumps, loads
from typing import Any

import attrs

from geraniumhall_core.reducer import Effect, Event, Reducer
from geraniumhall_core.registry import Registry
from geraniumhall_wire.converter import build_converter, structure
from geraniumhall_wire.heads import Header, RequestHead
from geraniumhall_wire.openai_front import ATTEMPT_HEADER

CONTROL_PREFIX = "/standin/"
JSON_HEADERS: tuple[Header, ...] = ((b"content-type", b"application/json"),)


@attrs.frozen(kw_only=True)
class CallArrived(Event):
    """A client sent a request."""

    call_id: int
    head: RequestHead
    body: bytes


@attrs.frozen(kw_only=True)
class TimePassed(Event):
    """Time passed."""


@attrs.frozen(kw_only=True)
class Reply(Effect):
    """Answer a call; times are in seconds.

    A reply of more than one chunk is streamed, one chunk an `interval`. With
    `is_silent` nothing is sent and the connection stays open; with `is_cut`
    it is closed before the end of the answer.
    """

    call_id: int
    status: int = 200
    headers: tuple[Header, ...] = JSON_HEADERS
    chunks: tuple[bytes, ...] = ()
    delay: float = 0.0
    interval: float = 0.0
    is_silent: bool = False
    is_cut: bool = False

    @classmethod
    def from_json(
        cls, call_id: int, status: int, data: Any, headers: tuple[Header, ...] = ()
    ) -> "Reply":
        """Return a whole JSON reply."""
        return cls(
            call_id=call_id,
            status=status,
            headers=(*JSON_HEADERS, *headers),
            chunks=(dumps(data).encode(),),
        )


@attrs.frozen(kw_only=True)
class FaultInjection:
    """A fault for the next `count` calls that hold `match`.

    It is looked for in the method, the target after it, and the body.

    `amount` is the fault's parameter: seconds, or a number of chunks.
    """

    name: str
    amount: float = 0.0
    count: int = 1_000_000
    match: str = ""


@attrs.frozen(kw_only=True)
class LoggedCall:
    """A call as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: str


@attrs.define
class StandInState:
    """State of one stand-in; `model` belongs to its behaviour."""

    kind: str
    name: str
    model: Any
    log: list[LoggedCall] = attrs.field(factory=list)
    injections: list[FaultInjection] = attrs.field(factory=list)
    is_logging: bool = True

    @classmethod
    def from_kind(cls, kind: str, name: str, **options: Any) -> "StandInState":
        """Return the initial state of a stand-in of this kind."""
        return cls(kind, name, MODELS.find(kind)(**options))


Behaviour = Callable[[StandInState, CallArrived], Iterator[Reply]]
ReplyFault = Callable[[Reply, float], Reply]
Control = Callable[[StandInState, CallArrived], Any]

STAND_IN: Reducer[StandInState] = Reducer("stand-in")
MODELS: Registry[str, Callable[..., Any]] = Registry("stand-in model")
BEHAVIOURS: Registry[str, Behaviour] = Registry("stand-in behaviour")
CLOCK_HANDLERS: Registry[str, Callable] = Registry("stand-in clock")
REPLY_FAULTS: Registry[str, ReplyFault] = Registry("stand-in fault")
CONTROLS: Registry[str, Control] = Registry("stand-in control")

_CONVERTER = build_converter()


@STAND_IN.handles(CallArrived)
def answer_call(state: StandInState, event: CallArrived) -> Iterator[Effect]:
    """Answer a call by the stand-in's behaviour, through the planned faults."""
    if event.head.path.startswith(CONTROL_PREFIX):
        control = CONTROLS.find(event.head.path.removeprefix(CONTROL_PREFIX))
        yield Reply.from_json(event.call_id, 200, control(state, event))
        return
    if state.is_logging:
        state.log.append(_log_call(event))
    injections = _match_injections(state, event)
    for reply in BEHAVIOURS.find(state.kind)(state, event):
        yield (
            _apply_injections(reply, injections)
            if reply.call_id == event.call_id
            else reply
        )


@STAND_IN.handles(TimePassed)
def advance_clock(state: StandInState, event: TimePassed) -> Iterator[Effect]:
    """Let the stand-in's model know the time, where it cares."""
    if state.kind in CLOCK_HANDLERS:
        yield from CLOCK_HANDLERS.find(state.kind)(state, event)


@CONTROLS.register("faults")
def set_injections(state: StandInState, event: CallArrived) -> Any:
    """Replace the planned faults by those in the body."""
    injections = structure(_CONVERTER, loads(event.body), list[FaultInjection])
    for injection in injections:
        REPLY_FAULTS.find(injection.name)
    state.injections = injections
    return {"planned": len(injections)}


@CONTROLS.register("log")
def read_log(state: StandInState, event: CallArrived) -> Any:
    """Return the calls received so far."""
    return [attrs.asdict(call) for call in state.log]


@CONTROLS.register("state")
def read_state(state: StandInState, event: CallArrived) -> Any:
    """Return a summary of the model."""
    calls = getattr(state.model, "calls", {})
    return {"name": state.name, "kind": state.kind, "calls": calls}


def echo_attempt(event: CallArrived) -> tuple[Header, ...]:
    """Return the header that names the attempt that is answered."""
    attempt = event.head.find(ATTEMPT_HEADER)
    return ((ATTEMPT_HEADER, attempt),) if attempt is not None else ()


def _match_injections(state: StandInState, event: CallArrived) -> list[FaultInjection]:
    text = event.head.method + b" " + event.head.target + event.body
    taken = [p for p in state.injections if p.match.encode() in text]
    state.injections = [
        attrs.evolve(injection, count=injection.count - 1)
        if injection in taken
        else injection
        for injection in state.injections
    ]
    state.injections = [
        injection for injection in state.injections if injection.count > 0
    ]
    return taken


def _apply_injections(reply: Reply, injections: list[FaultInjection]) -> Reply:
    for injection in injections:
        reply = REPLY_FAULTS.find(injection.name)(reply, injection.amount)
    return reply


def _log_call(event: CallArrived) -> LoggedCall:
    headers = {k.decode(): v.decode("latin-1") for k, v in event.head.headers}
    return LoggedCall(
        method=event.head.method.decode(),
        target=event.head.target.decode("latin-1"),
        headers=headers,
        body=event.body.decode("latin-1"),
    )
