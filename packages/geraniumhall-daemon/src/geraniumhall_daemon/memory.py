"""In-process platform driver, for a daemon that runs without a platform."""

from itertools import count

import attrs
import trio

from geraniumhall_core.platform import PlatformAnswer, PlatformMessage, WatchObjects
from geraniumhall_core.platform_model import (
    PLATFORM,
    AnswerCall,
    CallReceived,
    ClockAdvanced,
    PlatformState,
)
from geraniumhall_core.records import VersionedRecord
from geraniumhall_net.client import Connector
from geraniumhall_net.drivers import PLATFORM_DRIVERS
from geraniumhall_wire.settings import Settings


@PLATFORM_DRIVERS.register("memory")
@attrs.define(eq=False)
class MemoryDriver:
    """In-process model of the platform, seeded from the settings."""

    state: PlatformState
    _ids: count
    _answer_events: dict[int, trio.Event]
    _answers: dict[int, PlatformAnswer]

    def __init__(self, settings: Settings, connector: Connector) -> None:
        self.state = PlatformState()
        self._ids = count(1)
        self._answer_events = {}
        self._answers = {}
        for key, record in settings.decode_seed().items():
            self.state.revision = self.state.revision.advance()
            item = VersionedRecord(key, self.state.revision, record)
            self.state.objects[key] = item
        self.state.compacted_revision = self.state.revision

    async def call(self, message: PlatformMessage) -> PlatformAnswer:
        """Apply one call to the model and return its answer."""
        call_id = next(self._ids)
        self._answer_events[call_id] = trio.Event()
        now = trio.current_time()
        self._apply(CallReceived(at=now, call_id=call_id, message=message))
        if isinstance(message, WatchObjects):
            with trio.move_on_after(message.wait):
                await self._answer_events[call_id].wait()
            self._apply(ClockAdvanced(at=now + message.wait))
        await trio.lowlevel.checkpoint()
        del self._answer_events[call_id]
        return self._answers.pop(call_id)

    def _apply(self, event: CallReceived | ClockAdvanced) -> None:
        for effect in PLATFORM.reduce(self.state, event):
            assert isinstance(effect, AnswerCall)
            self._answers[effect.call_id] = effect.answer
            self._answer_events[effect.call_id].set()
