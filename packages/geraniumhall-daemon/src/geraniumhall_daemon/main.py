"""The binary geraniumhalld: runs one daemon from a settings file."""

import signal
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial

import trio
from fire import Fire

from geraniumhall_core.events import DrainRequested, DumpRequested
from geraniumhall_core.reducer import Event
from geraniumhall_daemon import orders, performers, relays
from geraniumhall_daemon.admin import serve_operator
from geraniumhall_daemon.callers import serve_caller
from geraniumhall_daemon.daemon import Daemon
from geraniumhall_daemon.logs import configure_logs, write_log
from geraniumhall_daemon.peers import open_grpc_transport
from geraniumhall_net.listener import Listener
from geraniumhall_wire.settings import Settings, SettingsError

EXIT_SETTINGS = 1
MAX_OPERATORS = 64

SIGNAL_EVENTS: dict[int, Callable[..., Event]] = {
    signal.SIGTERM: DrainRequested,
    signal.SIGINT: DrainRequested,
    signal.SIGUSR1: DumpRequested,
}

__all__ = ["main", "orders", "performers", "relays", "run_daemon"]


def main() -> None:
    """Run the binary."""
    Fire(run, name="geraniumhalld")


def run(settings: str) -> None:
    """Run a daemon with the settings in a YAML file.

    Example: geraniumhalld --settings riga-1.yaml
    """
    try:
        loaded = Settings.from_file(settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    configure_logs(loaded.log.level, loaded.host.name)
    trio.run(run_daemon, Daemon.from_settings(loaded))


async def run_daemon(daemon: Daemon) -> None:
    """Serve callers and operators until a planned stop has ended."""
    callers = daemon.settings.callers
    try:
        caller_listener = await Listener.from_address(
            callers.listen, partial(serve_caller, daemon), callers.max_connections
        )
        admin_listener = await Listener.from_address(
            daemon.settings.admin.listen, partial(serve_operator, daemon), MAX_OPERATORS
        )
    except OSError as error:
        write_log("error", "listen_failed", {"reason": str(error)})
        sys.exit(EXIT_SETTINGS)
    daemon.listeners.append(caller_listener)
    async with trio.open_nursery() as nursery, open_peers(daemon) as addresses:
        daemon.nursery = nursery
        nursery.start_soon(watch_signals, daemon)
        nursery.start_soon(caller_listener.serve, nursery)
        nursery.start_soon(admin_listener.serve, nursery)
        addresses["callers"] = caller_listener.address
        addresses["admin"] = admin_listener.address
        write_log("info", "listening", addresses)
        await daemon.run_timers()
        nursery.cancel_scope.cancel()
    write_log("info", "stopped", {})


@asynccontextmanager
async def open_peers(daemon: Daemon) -> AsyncIterator[dict[str, str]]:
    """Listen for other daemons, if the settings say so, while the block runs."""
    listen = daemon.settings.peers.listen
    if not listen:
        yield {}
        return
    async with open_grpc_transport(listen, daemon.receive_peer_call) as transport:
        daemon.peers = transport
        yield {"peers": transport.address}


async def watch_signals(daemon: Daemon) -> None:
    """Turn signals into events."""
    with trio.open_signal_receiver(*SIGNAL_EVENTS) as signals:
        async for number in signals:
            daemon.dispatch(SIGNAL_EVENTS[number](at=daemon.read_now()))
