"""The reducer that all stand-ins share, and the registries that extend it.

A behaviour turns a call into replies; a fault changes a reply before it is
sent. Every call is logged, so that a test can check what was received::

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
    """The stand-in's timer fired."""


@attrs.frozen(kw_only=True)
class Reply(Effect):
    """Answer a call; `delay` and `interval` are in seconds.

    A reply of several chunks is streamed with `interval` between the chunks.
    After the chunks, `is_silent` keeps the connection open without ending the
    response, and `is_cut` closes it without ending the response.
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
        """Return a reply whose body is `data` as JSON."""
        return cls(
            call_id=call_id,
            status=status,
            headers=(*JSON_HEADERS, *headers),
            chunks=(dumps(data).encode(),),
        )


@attrs.frozen(kw_only=True)
class FaultInjection:
    """A fault for the next `count` calls that contain `match`.

    `match` is a substring of ``METHOD TARGET`` followed by the body; an empty
    one matches every call. `amount` is the fault's parameter, in seconds or
    chunks.
    """

    name: str
    amount: float = 0.0
    count: int = 1_000_000  # in effect unlimited
    match: str = ""


@attrs.frozen(kw_only=True)
class LoggedCall:
    """A call as it was received, `at` seconds on the stand-in's clock.

    `limit` is the request limit that the answer names, zero if it names none.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: str
    at: float = 0.0
    limit: float = 0.0


@attrs.define
class StandInState:
    """State of one stand-in; `model` is the state of its behaviour."""

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
    """Answer a control call, or run the behaviour and inject matching faults."""
    if event.head.path.startswith(CONTROL_PREFIX):
        control = CONTROLS.find(event.head.path.removeprefix(CONTROL_PREFIX))
        yield Reply.from_json(event.call_id, 200, control(state, event))
        return
    injections = _match_injections(state, event)
    if state.is_logging:
        state.log.append(_log_call(event, injections))
    for reply in BEHAVIOURS.find(state.kind)(state, event):
        yield (
            _apply_injections(reply, injections)
            if reply.call_id == event.call_id
            else reply
        )


@STAND_IN.handles(TimePassed)
def advance_clock(state: StandInState, event: TimePassed) -> Iterator[Effect]:
    """Run the clock handler of this kind of stand-in, if it has one."""
    if state.kind in CLOCK_HANDLERS:
        yield from CLOCK_HANDLERS.find(state.kind)(state, event)


@CONTROLS.register("faults")
def set_injections(state: StandInState, event: CallArrived) -> Any:
    """Replace the injected faults with those in the body.

    Raises `UnknownEntryError` if a fault is not registered.
    """
    injections = structure(_CONVERTER, loads(event.body), list[FaultInjection])
    for injection in injections:
        REPLY_FAULTS.find(injection.name)
    state.injections = injections
    return {"planned": len(injections)}


@CONTROLS.register("log")
def read_log(state: StandInState, event: CallArrived) -> Any:
    """Return the calls received so far, oldest first."""
    return [attrs.asdict(call) for call in state.log]


@CONTROLS.register("state")
def read_state(state: StandInState, event: CallArrived) -> Any:
    """Return the stand-in's name, kind and number of calls by path or message."""
    calls = getattr(state.model, "calls", {})
    return {"name": state.name, "kind": state.kind, "calls": calls}


def echo_attempt(event: CallArrived) -> tuple[Header, ...]:
    """Return the header that echoes the attempt id, if the call had one."""
    attempt = event.head.find(ATTEMPT_HEADER)
    return ((ATTEMPT_HEADER, attempt),) if attempt is not None else ()


def _match_injections(state: StandInState, event: CallArrived) -> list[FaultInjection]:
    text = event.head.method + b" " + event.head.target + event.body
    matched = [i for i in state.injections if i.match.encode() in text]
    state.injections = [
        attrs.evolve(injection, count=injection.count - 1)
        if injection in matched
        else injection
        for injection in state.injections
    ]
    state.injections = [
        injection for injection in state.injections if injection.count > 0
    ]
    return matched


def _apply_injections(reply: Reply, injections: list[FaultInjection]) -> Reply:
    for injection in injections:
        reply = REPLY_FAULTS.find(injection.name)(reply, injection.amount)
    return reply


def _log_call(event: CallArrived, injections: list[FaultInjection]) -> LoggedCall:
    limits = [i.amount for i in injections if i.name == "limit"]
    headers = {k.decode(): v.decode("latin-1") for k, v in event.head.headers}
    return LoggedCall(
        method=event.head.method.decode(),
        target=event.head.target.decode("latin-1"),
        headers=headers,
        body=event.body.decode("latin-1"),
        at=event.at,
        limit=min(limits, default=0.0),
    )
