"""What simulated backend servers state of themselves in their answers."""

import attrs

from geraniumhall_core.effects import RelayRequest
from geraniumhall_core.notices import Incarnation, ReceivedNotice, ServerNotice


@attrs.define(eq=False)
class SimulatedNotices:
    """The limits that servers name, in requests a second; no other server has one."""

    limits: dict[str, float] = attrs.field(factory=dict)

    def build(self, effect: RelayRequest) -> ReceivedNotice:
        """Return what the server of an attempt states in an answer that begins now."""
        notice = ServerNotice(request_limit=self.limits.get(effect.server))
        source = Incarnation(effect.server, effect.started_at)
        return ReceivedNotice(source=source, sent_at=effect.sent_at, notice=notice)
