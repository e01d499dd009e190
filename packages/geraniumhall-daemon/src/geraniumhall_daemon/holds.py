"""Performer that tells the reducer when a request has waited for room long enough."""

import trio

from geraniumhall_core.effects import WatchHold
from geraniumhall_core.events import HoldEnded
from geraniumhall_daemon.daemon import PERFORMERS, Daemon


@PERFORMERS.performs(WatchHold)
async def watch_hold(daemon: Daemon, effect: WatchHold) -> None:
    """Dispatch the end of a hold after the effect's time."""
    await trio.sleep(effect.seconds)
    daemon.dispatch(
        HoldEnded(
            at=daemon.read_now(), request_id=effect.request_id, draws=daemon.draw()
        )
    )
