"""A stand-in for the platform: its model behind HTTP."""

from collections.abc import Iterator

from geraniumhall_bench.standins.model import (
    BEHAVIOURS,
    CLOCKS,
    MODELS,
    CallArrived,
    Reply,
    StandInState,
    TimePassed,
)
from geraniumhall_core.platform import ListedHost
from geraniumhall_core.platform_model import (
    PLATFORM,
    AnswerCall,
    CallReceived,
    ClockAdvanced,
    PlatformState,
)
from geraniumhall_core.reducer import Effect
from geraniumhall_wire.converter import InvalidDataError
from geraniumhall_wire.platform_json import decode_message, encode_answer


@MODELS.register("platform")
def build_platform(hosts: str = "") -> PlatformState:
    """Return an empty platform; `hosts` lists name:domain pairs with commas."""
    pairs = [item.partition(":") for item in hosts.split(",") if item]
    listed = tuple(ListedHost(name, domain) for name, _, domain in pairs)
    return PlatformState(hosts=listed)


@BEHAVIOURS.register("platform")
def serve_platform(state: StandInState, event: CallArrived) -> Iterator[Reply]:
    """Pass a call to the platform's model."""
    try:
        message = decode_message(event.body)
    except InvalidDataError as error:
        yield Reply.from_json(event.call_id, 400, {"error": str(error)})
        return
    call = CallReceived(at=event.at, call_id=event.call_id, message=message)
    yield from _encode(PLATFORM.reduce(state.model, call))


@CLOCKS.register("platform")
def advance_platform(state: StandInState, event: TimePassed) -> Iterator[Reply]:
    """Answer the watches whose wait is over."""
    yield from _encode(PLATFORM.reduce(state.model, ClockAdvanced(at=event.at)))


def _encode(effects: tuple[Effect, ...]) -> Iterator[Reply]:
    for effect in effects:
        assert isinstance(effect, AnswerCall)
        yield Reply(call_id=effect.call_id, chunks=(encode_answer(effect.answer),))
