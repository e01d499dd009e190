"""Commands of the command line; each class is a group of commands."""

import sys
from json import dumps
from pathlib import Path
from typing import Any

import attrs
import trio
import yaml

from geraniumhall_bench import steps
from geraniumhall_bench.benchmarks import BENCHMARKS
from geraniumhall_bench.processes import ProcessFailedError
from geraniumhall_bench.scenario import (
    ExpectationError,
    Scenario,
    ScenarioError,
    find_scenario,
)
from geraniumhall_bench.soak import run_soak
from geraniumhall_cli.client import AdminResponse, call_admin
from geraniumhall_cli.explanations import explain_request
from geraniumhall_cli.output import (
    EXIT_REFUSED,
    EXIT_USAGE,
    exit_with_error,
    format_table,
    print_result,
)
from geraniumhall_wire.description import describe
from geraniumhall_wire.settings import Settings, SettingsError

CATALOGUE = "/admin/v1/catalogue"
STATUS_OK = 200

__all__ = ["Commands", "steps"]


@attrs.define
class CommandContext:
    """Address of the daemon to call, and the format in which to print results."""

    admin: str
    json: bool

    def call(
        self,
        method: str,
        target: str,
        data: Any = None,
        expected_version: int | None = None,
    ) -> AdminResponse:
        """Return the response to a call; print the error and exit if it failed."""
        response = call_admin(self.admin, method, target, data, expected_version)
        if response.status >= 300:
            exit_with_error(response)
        return response


@attrs.define
class CatalogueCommands:
    """Read and edit catalogue records: entry, workspace, key, server, wish, part."""

    _context: CommandContext

    def list(self, kind: str) -> None:
        """List the records of one kind."""
        data = self._context.call("GET", f"{CATALOGUE}/{kind}").data
        rows = [
            {"name": item["name"], "version": item["version"], **item["record"]}
            for item in data["records"]
        ]
        print_result(rows, self._context.json)

    def get(self, kind: str, name: str) -> None:
        """Print one record."""
        data = self._context.call("GET", f"{CATALOGUE}/{kind}/{name}").data
        print_result(data, self._context.json)

    def put(self, kind: str, name: str, file: str, version: int = 0) -> None:
        """Write a record from a YAML file; VERSION is its current one, 0 if new.

        Example: geraniumhall catalogue put workspace audit audit.yaml --version 7
        """
        record = yaml.safe_load(_read_file(file))
        path = f"{CATALOGUE}/{kind}/{name}"
        response = self._context.call("PUT", path, record, version)
        print_result(response.data, self._context.json)

    def edit(self, kind: str, name: str, **fields: Any) -> None:
        """Change fields of the current version of a record.

        Example: geraniumhall catalogue edit workspace audit --rate 50
        """
        if not fields:
            print("edit: give at least one field, as in --rate 50", file=sys.stderr)
            sys.exit(EXIT_USAGE)
        path = f"{CATALOGUE}/{kind}/{name}"
        found = self._context.call("GET", path)
        changed = {name: _as_plain(value) for name, value in fields.items()}
        record = {**found.data["record"], **changed}
        response = self._context.call("PUT", path, record, found.version)
        print_result(response.data, self._context.json)

    def delete(self, kind: str, name: str, version: int | None = None) -> None:
        """Delete a record at VERSION, by default at its current version."""
        path = f"{CATALOGUE}/{kind}/{name}"
        if version is None:
            version = self._context.call("GET", path).version
        response = self._context.call("DELETE", path, None, version)
        print_result(response.data, self._context.json)


@attrs.define
class KeyCommands:
    """Issue and withdraw callers' keys."""

    _context: CommandContext

    def issue(self, workspace: str) -> None:
        """Issue a key; it is shown only once."""
        data = {"workspace": workspace}
        response = self._context.call("POST", "/admin/v1/keys", data)
        print_result(response.data, self._context.json)

    def withdraw(self, key_id: str) -> None:
        """Withdraw a key by its id."""
        CatalogueCommands(self._context).delete("key", str(key_id))

    def list(self) -> None:
        """List key ids and workspaces."""
        CatalogueCommands(self._context).list("key")


@attrs.define
class PartCommands:
    """List, hold and release parts of prompts whose requests crash engines."""

    _context: CommandContext

    def list(self) -> None:
        """List the parts that are held or suspected, with the crashes."""
        CatalogueCommands(self._context).list("part")

    def hold(self, part: str) -> None:
        """Refuse all requests with a part until it is released."""
        path = f"{CATALOGUE}/part/{part}"
        found = call_admin(self._context.admin, "GET", path)
        version = found.version if found.status == STATUS_OK else 0
        record = {"hold": {"source": "operator"}}
        response = self._context.call("PUT", path, record, version)
        print_result(response.data, self._context.json)

    def release(self, part: str) -> None:
        """Admit requests with a part again, whoever held it."""
        CatalogueCommands(self._context).delete("part", str(part))


@attrs.define
class SettingsCommands:
    """Check settings files, without a daemon."""

    _context: CommandContext

    def check(self, file: str) -> None:
        """Check a daemon's settings file and print the resulting settings."""
        try:
            settings = Settings.from_file(file)
        except SettingsError as error:
            print(error, file=sys.stderr)
            sys.exit(EXIT_REFUSED)
        print_result(describe(settings), self._context.json)


@attrs.define
class ScenarioCommands:
    """Run test scenarios against real processes."""

    _context: CommandContext

    def run(self, name: str) -> None:
        """Run a shipped scenario by name, or one from a file."""
        try:
            scenario = Scenario.from_file(find_scenario(name))
            trio.run(scenario.run)
        except (ScenarioError, ExpectationError, ProcessFailedError) as error:
            print(error, file=sys.stderr)
            sys.exit(EXIT_REFUSED)
        print(f"{scenario.name}: {len(scenario.steps)} steps passed")


@attrs.define
class Commands:
    """Operate geraniumhall daemons.

    --admin is the address of a daemon's admin listener (or set
    GERANIUMHALL_ADMIN); --json prints JSON. Exit codes: 0 done, 1 refused,
    2 usage error, 3 version conflict, 4 daemon unreachable.
    """

    catalogue: CatalogueCommands
    key: KeyCommands
    part: PartCommands
    settings: SettingsCommands
    scenario: ScenarioCommands
    _context: CommandContext

    @classmethod
    def from_options(cls, admin: str, json: bool) -> "Commands":
        """Return the commands for the daemon at `admin`."""
        context = CommandContext(admin, json)
        return cls(
            CatalogueCommands(context),
            KeyCommands(context),
            PartCommands(context),
            SettingsCommands(context),
            ScenarioCommands(context),
            context,
        )

    def status(self) -> None:
        """Print a summary of the daemon."""
        self._print("GET", "/admin/v1/status")

    def members(self) -> None:
        """List the other hosts as the daemon sees them."""
        data = self._context.call("GET", "/admin/v1/members").data
        print_result(data["members"], self._context.json)

    def servers(self) -> None:
        """List backend servers as the daemon sees them."""
        data = self._context.call("GET", "/admin/v1/servers").data
        print_result(data["servers"], self._context.json)

    def place(
        self,
        entry: str,
        prompt_tokens: int = 0,
        max_tokens: int = 0,
        parts: str = "",
        workspace: str = "",
        timeout: float | None = None,
    ) -> None:
        """Tell where a request would go now, and why, without sending it.

        ENTRY is the catalogue entry. PARTS are those of the prompt in order, such as
        5c1e07a2:800,91bd3f06:410; TIMEOUT is in seconds.
        """
        request = {
            "entry": str(entry),
            "workspace": str(workspace),
            "prompt_tokens": prompt_tokens,
            "max_tokens": max_tokens,
            "parts": _parse_parts(parts),
            "timeout": timeout,
        }
        data = self._context.call("POST", "/admin/v1/placement", request).data
        candidates = data.pop("candidates")
        if self._context.json:
            print_result({**data, "candidates": candidates}, as_json=True)
            return
        print_result(data, as_json=False)
        print_result(candidates, as_json=False)

    def unusable(self) -> None:
        """List the store's objects that the daemon can't decode, with the reasons."""
        data = self._context.call("GET", "/admin/v1/unusable").data
        print_result(data["objects"], self._context.json)

    def bench(self, name: str) -> None:
        """Run a benchmark by name, such as relay."""
        if name not in BENCHMARKS:
            known = ", ".join(sorted(BENCHMARKS))
            print(
                f"unknown benchmark {name!r}; known benchmarks: {known}",
                file=sys.stderr,
            )
            sys.exit(EXIT_USAGE)
        BENCHMARKS.find(name)()

    def explain(self, log: str, request: str) -> None:
        """Print the timeline of a request from a log file, or standard input (-).

        REQUEST is the id that the caller or the daemon gave to the request.
        """
        timeline = explain_request(_read_file(log).splitlines(), str(request))
        if not timeline:
            print(f"{log}: no line mentions request {request!r}", file=sys.stderr)
            sys.exit(EXIT_REFUSED)
        print_result([attrs.asdict(line) for line in timeline], self._context.json)

    def soak(self, seed: int, seconds: float = 20.0, count: int = 1) -> None:
        """Run daemons under random faults, for COUNT seeds starting at SEED.

        Failed checks are printed with the fault schedule of their seed, and
        the exit code is 1.
        """
        results = [trio.run(run_soak, seed + n, float(seconds)) for n in range(count)]
        rows = [
            {
                "seed": result.seed,
                "faults": len(result.schedule),
                "calls": result.calls,
                "served": result.served,
                "findings": [f"{f.check}: {f.reason}" for f in result.findings],
            }
            for result in results
        ]
        print_result(rows, self._context.json)
        failed = [result for result in results if result.findings]
        for result in failed:
            schedule = [attrs.asdict(step) for step in result.schedule]
            print(
                f"fault schedule of seed {result.seed}:\n{format_table(schedule)}",
                file=sys.stderr,
            )
        if failed:
            sys.exit(EXIT_REFUSED)

    def dump(self) -> None:
        """Print the daemon's state and recent steps as JSON."""
        print(dumps(self._context.call("GET", "/admin/v1/dump").data, indent=2))

    def drain(self) -> None:
        """Start a drain, after which the daemon stops."""
        self._print("POST", "/admin/v1/drain")

    def _print(self, method: str, path: str) -> None:
        print_result(self._context.call(method, path).data, self._context.json)


def _parse_parts(text: str) -> list[dict[str, Any]]:
    """Return the parts of a prompt given as ID:TOKENS, separated by commas."""
    parts = []
    for item in filter(None, str(text).split(",")):
        name, _, tokens = item.rpartition(":")
        if not name or not tokens.isdecimal():
            print(f"part {item!r}, expected ID:TOKENS", file=sys.stderr)
            sys.exit(EXIT_USAGE)
        parts.append({"id": name, "tokens": int(tokens)})
    return parts


def _read_file(file: str) -> str:
    try:
        return sys.stdin.read() if file == "-" else Path(file).read_text()
    except OSError as error:
        print(f"{file}: {error.strerror}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _as_plain(value: Any) -> Any:
    return list(value) if isinstance(value, tuple) else value
