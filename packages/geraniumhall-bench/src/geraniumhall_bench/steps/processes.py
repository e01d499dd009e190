"""Steps that start, watch and stop processes."""

import signal
from typing import Any

import attrs

from geraniumhall_bench.scenario import STEPS, RunContext
from geraniumhall_bench.steps.common import call_admin, check_equal, check_status
from geraniumhall_core.revisions import Revision
from geraniumhall_wire.versions import decode_version


@STEPS.register("start")
@attrs.frozen(kw_only=True)
class StartStandIn:
    """Start a stand-in and set the variable `name` to its address."""

    kind: str
    name: str
    options: dict[str, Any] = attrs.field(factory=dict)

    async def run(self, context: RunContext) -> None:
        """Start the process and wait until it listens."""
        address = await context.group.start_stand_in(self.kind, self.name, self.options)
        context.variables[self.name] = address


@STEPS.register("daemon")
@attrs.frozen(kw_only=True)
class StartDaemon:
    """Start a daemon and set variables to its addresses.

    The variable `name` is set to the address for callers, and ``NAME.admin`` to
    that of the admin API.
    """

    name: str
    failure_domain: str
    settings: dict[str, Any] = attrs.field(factory=dict)

    async def run(self, context: RunContext) -> None:
        """Start the process and wait until it listens."""
        settings = context.expand(self.settings)
        settings.setdefault("host", {})
        settings["host"] = {"name": self.name, "failure_domain": self.failure_domain}
        for listener in ("callers", "admin"):
            settings.setdefault(listener, {}).setdefault("listen", "127.0.0.1:0")
        line = await context.group.start_daemon(self.name, settings)
        context.variables[self.name] = line["callers"]
        context.variables[f"{self.name}.admin"] = line["admin"]


@STEPS.register("signal")
@attrs.frozen(kw_only=True)
class SendSignal:
    """Send a signal such as SIGSTOP to a process."""

    to: str
    name: str

    async def run(self, context: RunContext) -> None:
        """Send the signal."""
        context.group.processes[self.to].send_signal(signal.Signals[self.name])


@STEPS.register("await_log")
@attrs.frozen(kw_only=True)
class AwaitLog:
    """Wait until a process has logged an event with these fields."""

    of: str
    event: str
    fields: dict[str, Any] = attrs.field(factory=dict)

    async def run(self, context: RunContext) -> None:
        """Wait for the log line."""
        wanted = {"event": self.event, **self.fields}.items()
        process = context.group.processes[self.of]
        await process.wait_for(lambda line: wanted <= line.items())


@STEPS.register("await_revision")
@attrs.frozen(kw_only=True)
class AwaitRevision:
    """Wait until daemons have applied the revision in the variable `of`."""

    daemons: tuple[str, ...]
    of: str

    async def run(self, context: RunContext) -> None:
        """Wait for the log line of each daemon."""
        wanted = decode_version(int(context.find(self.of)))
        for name in self.daemons:
            await context.group.processes[name].wait_for(
                lambda line: (
                    line.get("event") == "catalogue_applied"
                    and Revision(line["era"], line["revision"]) >= wanted
                )
            )


@STEPS.register("status")
@attrs.frozen(kw_only=True)
class ShowStatus:
    """Print the status answers of daemons."""

    daemons: tuple[str, ...]

    async def run(self, context: RunContext) -> None:
        """Request and print the status of each daemon."""
        for name in self.daemons:
            response = await call_admin(context, name, "GET", "/admin/v1/status", None)
            check_status(response, 200, f"status of {name}")
            context.report(response.body.decode().strip())


@STEPS.register("stop")
@attrs.frozen(kw_only=True)
class StopProcesses:
    """Stop processes with SIGTERM and check their exit codes."""

    names: tuple[str, ...]
    code: int = 0

    async def run(self, context: RunContext) -> None:
        """Send all signals first, then wait for each process."""
        processes = [context.group.processes[name] for name in self.names]
        for process in processes:
            process.send_signal(signal.SIGTERM)
        for process in processes:
            check_equal(f"exit code of {process.name}", await process.wait(), self.code)
