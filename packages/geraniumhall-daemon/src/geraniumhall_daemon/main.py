"""Entry point of geraniumhalld, which runs one daemon from a settings file."""

import signal
import sys
from collections.abc import Callable
from functools import partial

import trio
from fire import Fire

from geraniumhall_core.events import DrainRequested, DumpRequested
from geraniumhall_core.reducer import Event
from geraniumhall_daemon import holds, memory, orders, performers, probes, relays
from geraniumhall_daemon.admin import serve_operator
from geraniumhall_daemon.allocation import map_large_blocks
from geraniumhall_daemon.budgets import count_caller_connections
from geraniumhall_daemon.callers import serve_caller
from geraniumhall_daemon.daemon import Daemon
from geraniumhall_daemon.health import serve_status
from geraniumhall_daemon.logs import configure_logs, write_log
from geraniumhall_daemon.peers import open_peers_socket, receive_messages
from geraniumhall_daemon.reloads import SettingsFile
from geraniumhall_daemon.serving import CALLERS, HEALTH, OPERATORS
from geraniumhall_net.listener import Listener
from geraniumhall_platform import ObjectsDriver, RoutedFront
from geraniumhall_wire.openai_front import OpenAiFront
from geraniumhall_wire.settings import Settings, SettingsError

EXIT_START_FAILED = 1
MAX_OPERATOR_CONNECTIONS = 64  # on each listener but that for callers
SETTINGS_POLL_SECONDS = 2.0

SIGNAL_EVENTS: dict[int, Callable[..., Event]] = {
    signal.SIGTERM: DrainRequested,
    signal.SIGINT: DrainRequested,
    signal.SIGUSR1: DumpRequested,
}

__all__ = [
    "ObjectsDriver",
    "OpenAiFront",
    "RoutedFront",
    "holds",
    "main",
    "memory",
    "orders",
    "performers",
    "probes",
    "relays",
    "run_daemon",
]


def main() -> None:
    """Run the command line of geraniumhalld."""
    Fire(run, name="geraniumhalld")


def run(settings: str) -> None:
    """Run a daemon with the settings in a YAML file.

    Example: geraniumhalld --settings riga-1.yaml
    """
    try:
        loaded = Settings.from_file(settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_START_FAILED)
    configure_logs(loaded.log.level, loaded.host.name)
    map_large_blocks()
    trio.run(run_daemon, Daemon.from_settings(loaded), SettingsFile(settings))


async def run_daemon(daemon: Daemon, file: SettingsFile) -> None:
    """Serve callers and operators until a drain has completed."""
    try:
        listeners = await open_listeners(daemon)
        if daemon.settings.hosts.listen:
            address = daemon.settings.hosts.listen
            daemon.peers_socket = await open_peers_socket(address)
    except OSError as error:
        write_log("error", "listen_failed", {"reason": str(error)})
        sys.exit(EXIT_START_FAILED)
    daemon.listeners.append(listeners["callers"])
    async with trio.open_nursery() as nursery:
        daemon.nursery = nursery
        nursery.start_soon(watch_signals, daemon, file)
        nursery.start_soon(watch_settings, daemon, file)
        if daemon.peers_socket is not None:
            nursery.start_soon(receive_messages, daemon)
        for listener in listeners.values():
            nursery.start_soon(listener.serve, nursery)
        addresses = {name: item.address for name, item in listeners.items()}
        write_log("info", "listening", addresses)
        await daemon.run_timers()
        nursery.cancel_scope.cancel()
    write_log("info", "stopped", {})


async def open_listeners(daemon: Daemon) -> dict[str, Listener]:
    """Bind all TCP listen addresses of the settings; raises `OSError`.

    Health checks and metrics may share one address. At the limit of each listener a
    stalled or idle connection yields to a new one.
    """
    settings = daemon.settings
    callers = settings.callers
    status = {settings.health.listen: HEALTH, settings.metrics.listen: "metrics"}
    status.pop("", None)
    listeners = {
        "callers": await Listener.from_address(
            callers.listen,
            partial(serve_caller, daemon),
            count_caller_connections(callers, settings.host),
            partial(daemon.budget.close_one, CALLERS),
            callers.max_per_address,
            partial(daemon.limit_log.record_limit, "address"),
        ),
        "admin": await Listener.from_address(
            settings.admin.listen,
            partial(serve_operator, daemon),
            MAX_OPERATOR_CONNECTIONS,
            partial(daemon.budget.close_one, OPERATORS),
        ),
    }
    for address, name in status.items():
        listeners[name] = await Listener.from_address(
            address,
            partial(serve_status, daemon, group=name),
            MAX_OPERATOR_CONNECTIONS,
            partial(daemon.budget.close_one, name),
        )
    return listeners


async def watch_signals(daemon: Daemon, file: SettingsFile) -> None:
    """Dispatch an event for each signal; SIGHUP reloads the settings."""
    with trio.open_signal_receiver(signal.SIGHUP, *SIGNAL_EVENTS) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                write_log("info", "reload_requested", {})
                file.reload(daemon)
            else:
                daemon.dispatch(SIGNAL_EVENTS[number](at=daemon.read_now()))


async def watch_settings(daemon: Daemon, file: SettingsFile) -> None:
    """Poll the settings file and reload it when it changes without a signal."""
    while True:
        await trio.sleep(SETTINGS_POLL_SECONDS)
        file.reload(daemon)
