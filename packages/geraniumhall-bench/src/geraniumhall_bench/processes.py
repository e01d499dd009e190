"""Start and watch processes for scenarios, soaks and benchmarks.

A process writes one JSON object per line. `ManagedProcess.wait_for` waits for
a line, so that no scenario polls or sleeps for readiness.
"""

import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable
from json import loads
from pathlib import Path
from typing import Any

import attrs
import trio
import yaml

START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 30.0

LinePredicate = Callable[[dict[str, Any]], bool]


class ProcessFailedError(RuntimeError):
    """Raised when a process does not write an awaited line or does not stop."""


@attrs.define(eq=False)
class ManagedProcess:
    """A child process and the lines that it wrote.

    `lines` holds the JSON objects, `raw_lines` every line as text.
    """

    name: str
    process: trio.Process
    lines: list[dict[str, Any]] = attrs.field(factory=list)
    raw_lines: list[str] = attrs.field(factory=list)
    _line_arrived: trio.Event = attrs.field(factory=trio.Event, init=False)
    _is_ended: bool = attrs.field(default=False, init=False)

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    async def read_lines(self, stream: trio.abc.ReceiveStream) -> None:
        """Collect lines until the stream ends, then wake all waiters."""
        buffer = b""
        async for data in stream:
            *whole, buffer = (buffer + data).split(b"\n")
            for line in whole:
                self._record_line(line.decode("utf-8", "replace"))
        self._is_ended = True
        self._notify_waiters()

    async def wait_for(
        self,
        predicate: LinePredicate,
        since: int = 0,
        timeout: float = START_TIMEOUT_SECONDS,
    ) -> dict[str, Any]:
        """Return the first line from index `since` on that matches `predicate`.

        Raises `ProcessFailedError`, with the last ten lines, if there is none
        within `timeout` seconds or before the output ends.
        """
        with trio.move_on_after(timeout):
            while True:
                line_arrived = self._line_arrived
                for line in self.lines[since:]:
                    if predicate(line):
                        return line
                if self._is_ended:
                    break
                await line_arrived.wait()
        tail = "\n".join(self.raw_lines[-10:])
        raise ProcessFailedError(f"{self.name} did not log the awaited line:\n{tail}")

    async def wait_for_event(self, event: str, since: int = 0) -> dict[str, Any]:
        """Return the first line from index `since` on whose event is `event`."""
        return await self.wait_for(lambda line: line.get("event") == event, since)

    def send_signal(self, number: int) -> None:
        """Send a signal to this process only."""
        self.process.send_signal(signal.Signals(number))

    async def stop(self) -> int:
        """Terminate the process with SIGTERM and return its exit code."""
        if self.process.poll() is None:
            self.process.terminate()
        return await self.wait()

    async def wait(self) -> int:
        """Return the exit code once the process has ended.

        After `STOP_TIMEOUT_SECONDS` the process is killed and
        `ProcessFailedError` raised.
        """
        with trio.move_on_after(STOP_TIMEOUT_SECONDS):
            return await self.process.wait()
        self.process.kill()
        raise ProcessFailedError(f"{self.name} did not stop before the timeout")

    def _record_line(self, line: str) -> None:
        self.raw_lines.append(line)
        try:
            parsed = loads(line)
        except ValueError:
            return
        if isinstance(parsed, dict):
            self.lines.append(parsed)
            self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._line_arrived.set()
        self._line_arrived = trio.Event()


@attrs.define(eq=False)
class ProcessGroup:
    """The processes of one run, and a folder for their settings."""

    nursery: trio.Nursery
    folder: Path = attrs.field(factory=lambda: Path(tempfile.mkdtemp()))
    processes: dict[str, ManagedProcess] = attrs.field(factory=dict)

    async def start(self, name: str, command: list[str]) -> ManagedProcess:
        """Start a process and collect its standard output and error."""
        process = await trio.lowlevel.open_process(
            command, stdout=subprocess.PIPE, stderr=subprocess.PIPE
        )
        managed = ManagedProcess(name, process)
        self.processes[name] = managed
        assert process.stdout is not None
        assert process.stderr is not None
        self.nursery.start_soon(managed.read_lines, process.stdout)
        self.nursery.start_soon(managed.read_lines, process.stderr)
        return managed

    async def start_stand_in(
        self, kind: str, name: str, options: dict[str, Any] | None = None
    ) -> str:
        """Start a stand-in on a free port and return its address."""
        command = [sys.executable, "-m", "geraniumhall_bench.standins.process"]
        command += ["--kind", kind, "--name", name]
        for option, value in (options or {}).items():
            command += [f"--{option}", str(value)]
        managed = await self.start(name, command)
        return (await managed.wait_for_event("listening"))["address"]

    async def start_daemon(self, name: str, settings: dict[str, Any]) -> dict[str, Any]:
        """Start a daemon and return its ``listening`` line with its addresses."""
        file = self.folder / f"{name}.yaml"
        file.write_text(yaml.safe_dump(settings))
        binary = Path(sys.executable).parent / "geraniumhalld"
        managed = await self.start(name, [str(binary), "--settings", str(file)])
        return await managed.wait_for_event("listening")

    def kill_all(self) -> None:
        """Kill the processes that are still running."""
        for managed in self.processes.values():
            if managed.process.poll() is None:
                managed.process.kill()
