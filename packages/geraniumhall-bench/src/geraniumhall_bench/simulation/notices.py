"""What simulated backend servers state of themselves in their answers."""

import attrs

from geraniumhall_core.effects import RelayRequest
from geraniumhall_core.notices import Incarnation, ReceivedNotice, ServerNotice


@attrs.define(eq=False)
class SimulatedNotices:
    """What servers state, by name.

    `limits` are in requests a second. Servers that are `leaving` say so and serve on.
    Those in `closed` refuse every request and ask to wait for so many seconds.
    """

    limits: dict[str, float] = attrs.field(factory=dict)
    leaving: set[str] = attrs.field(factory=set)
    closed: dict[str, float] = attrs.field(factory=dict)

    def build(self, effect: RelayRequest) -> ReceivedNotice:
        """Return what the server of an attempt states in an answer that begins now."""
        notice = ServerNotice(
            request_limit=self.limits.get(effect.server),
            is_leaving=effect.server in self.leaving,
            retry_after=self.closed.get(effect.server),
            is_answer=effect.server not in self.closed,
        )
        source = Incarnation(effect.server, effect.started_at)
        return ReceivedNotice(source=source, sent_at=effect.sent_at, notice=notice)
