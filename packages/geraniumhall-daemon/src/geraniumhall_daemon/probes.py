"""Performer that finds out whether a backend server still listens."""

from errno import ECONNREFUSED

import trio

from geraniumhall_core.effects import ProbeServer
from geraniumhall_core.events import ServerProbed
from geraniumhall_daemon.daemon import PERFORMERS, Daemon
from geraniumhall_daemon.logs import write_log
from geraniumhall_net.client import ConnectFailedError

PROBE_TIMEOUT_SECONDS = 0.5


@PERFORMERS.performs(ProbeServer)
async def probe_server(daemon: Daemon, effect: ProbeServer) -> None:
    """Try a connection after the effect's delay and dispatch the result."""
    await trio.sleep(effect.delay)
    is_refused = False
    try:
        with trio.move_on_after(PROBE_TIMEOUT_SECONDS):
            stream = await daemon.connector(effect.address)
            await trio.aclose_forcefully(stream)
    except ConnectFailedError as error:
        cause = error.__cause__
        is_refused = isinstance(cause, OSError) and cause.errno == ECONNREFUSED
        fields = {"server": effect.server, "reason": str(error)}
        write_log("info", "server_probed", fields)
    daemon.dispatch(
        ServerProbed(
            at=daemon.read_now(),
            server=effect.server,
            incarnation=effect.incarnation,
            is_refused=is_refused,
            draws=daemon.draw(),
        )
    )
