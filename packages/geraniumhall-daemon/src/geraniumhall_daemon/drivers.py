"""Drivers of the platform's interfaces, chosen in the settings by name.

A driver takes a message and returns an answer. It never raises for a fault
of the platform: that is a `PlatformFailure` whose verdict says whether a
write may have taken effect.
"""

from collections.abc import Callable
from itertools import count
from typing import Protocol

import attrs
import trio

from geraniumhall_core.platform import Answer, Message, PlatformFailure, WatchObjects
from geraniumhall_core.platform_model import (
    PLATFORM,
    AnswerCall,
    CallReceived,
    ClockAdvanced,
    PlatformState,
)
from geraniumhall_core.records import VersionedRecord
from geraniumhall_core.registry import Registry
from geraniumhall_core.verdict import Verdict
from geraniumhall_net.client import (
    ClientPool,
    ConnectFailedError,
    ExchangeFailedError,
    request_whole,
)
from geraniumhall_wire.caller import UpstreamRequest
from geraniumhall_wire.converter import InvalidDataError
from geraniumhall_wire.platform_json import decode_answer, encode_message
from geraniumhall_wire.settings import Settings

HTTP_OK = 200
CALL_TARGET = b"/v1/call"
JSON_HEADERS = ((b"content-type", b"application/json"),)


class PlatformDriver(Protocol):
    """A way to reach the platform."""

    async def call(self, message: Message) -> Answer:
        """Make one call and return its answer."""


PLATFORM_DRIVERS: Registry[str, Callable[[Settings], PlatformDriver]] = Registry(
    "platform driver"
)


@PLATFORM_DRIVERS.register("http")
@attrs.define(eq=False)
class HttpDriver:
    """The platform over HTTP; `timeout` is in seconds."""

    address: str
    timeout: float
    pool: ClientPool

    def __init__(self, settings: Settings) -> None:
        self.address = settings.platform.address
        self.timeout = settings.platform.timeout
        self.pool = ClientPool(connect_timeout=self.timeout)

    async def call(self, message: Message) -> Answer:
        """Make one call over a pooled connection."""
        wait = message.wait if isinstance(message, WatchObjects) else 0.0
        body = encode_message(message)
        request = UpstreamRequest(b"POST", CALL_TARGET, JSON_HEADERS, body)
        try:
            timeout = self.timeout + wait
            response = await request_whole(self.pool, self.address, request, timeout)
            if response.head.status != HTTP_OK:
                reason = f"the platform answered with status {response.head.status}"
                return PlatformFailure(reason, Verdict.MAY_HAVE_RUN)
            return decode_answer(response.body)
        except ConnectFailedError as error:
            return PlatformFailure(str(error), Verdict.NOT_RUN)
        except (ExchangeFailedError, InvalidDataError) as error:
            return PlatformFailure(str(error), Verdict.MAY_HAVE_RUN)


@PLATFORM_DRIVERS.register("memory")
@attrs.define(eq=False)
class MemoryDriver:
    """The platform's model inside the process, seeded from the settings."""

    state: PlatformState
    _ids: count
    _waiting: dict[int, trio.Event]
    _answers: dict[int, Answer]

    def __init__(self, settings: Settings) -> None:
        self.state = PlatformState()
        self._ids = count(1)
        self._waiting = {}
        self._answers = {}
        for key, record in settings.read_seed().items():
            self.state.revision += 1
            item = VersionedRecord(key, self.state.revision, record)
            self.state.objects[key] = item
        self.state.forgotten_revision = self.state.revision

    async def call(self, message: Message) -> Answer:
        """Make one call to the model."""
        call_id = next(self._ids)
        self._waiting[call_id] = trio.Event()
        now = trio.current_time()
        self._apply(CallReceived(at=now, call_id=call_id, message=message))
        if isinstance(message, WatchObjects):
            with trio.move_on_after(message.wait):
                await self._waiting[call_id].wait()
            self._apply(ClockAdvanced(at=now + message.wait))
        await trio.lowlevel.checkpoint()
        del self._waiting[call_id]
        return self._answers.pop(call_id)

    def _apply(self, event: CallReceived | ClockAdvanced) -> None:
        for effect in PLATFORM.reduce(self.state, event):
            assert isinstance(effect, AnswerCall)
            self._answers[effect.call_id] = effect.answer
            self._waiting[effect.call_id].set()
