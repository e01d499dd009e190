"""The scenario language: a YAML list of steps that run against real processes.

Each step is an attrs class registered under its name, and the fields of the
class are the step's arguments. Strings may refer to addresses, keys and
versions from earlier steps as ``${name}``::

    - start: {kind: engine, name: e1}
    - put: {kind: server, name: e1, record: {address: "${e1}", ...}}
    - call: {via: riga-1, model: draft, expect: {status: 200}}
"""

from collections.abc import Awaitable, Callable
from pathlib import Path
from string import Template
from typing import Any, Protocol, TypeVar

import attrs
import trio
import yaml

from geraniumhall_bench.processes import ProcessFailedError, ProcessGroup
from geraniumhall_core.registry import Registry, UnknownEntryError
from geraniumhall_net.client import ClientPool
from geraniumhall_wire.converter import InvalidDataError, build_converter, structure

T = TypeVar("T")

SCENARIO_FOLDER = Path(__file__).parent / "scenarios"


class NameTemplate(Template):
    """A template with variables such as ``${engine-1}`` or ``${riga-1.admin}``."""

    idpattern = r"[A-Za-z][A-Za-z0-9_./-]*"


class ScenarioError(ValueError):
    """Raised when a scenario is invalid; names the file, step and problem."""


class ExpectationError(AssertionError):
    """Raised when a step's expectation does not hold."""


@attrs.define(eq=False)
class RunContext:
    """State that the steps of one run share.

    `variables` holds addresses, keys and versions from earlier steps, `pending`
    the calls by label that were started but not finished. `report` prints a
    line.
    """

    group: ProcessGroup
    nursery: trio.Nursery
    variables: dict[str, str] = attrs.field(factory=dict)
    pool: ClientPool = attrs.field(factory=ClientPool)
    pending: dict[str, Any] = attrs.field(factory=dict)
    report: Callable[[str], None] = print

    def expand(self, value: Any) -> Any:
        """Return `value` with the variables in its strings replaced.

        Unknown variables stay as they are.
        """
        if isinstance(value, str):
            return NameTemplate(value).safe_substitute(self.variables)
        if isinstance(value, list):
            return [self.expand(item) for item in value]
        if isinstance(value, dict):
            return {key: self.expand(item) for key, item in value.items()}
        return value

    def find(self, name: str) -> str:
        """Return the value of a variable.

        Raises `ExpectationError` if no earlier step has set it.
        """
        if name not in self.variables:
            raise ExpectationError(f"no earlier step has set {name!r}")
        return self.variables[name]


async def run_in_context(
    action: Callable[[RunContext], Awaitable[T]], report: Callable[[str], None] = print
) -> T:
    """Run an action in a new context, then kill the processes that it started.

    `ExpectationError` and `ProcessFailedError` are raised as the action raises
    them, not in an exception group.
    """
    results: list[T] = []
    failure: Exception | None = None
    async with trio.open_nursery() as nursery:
        group = ProcessGroup(nursery)
        try:
            results.append(await action(RunContext(group, nursery, report=report)))
        except (ExpectationError, ProcessFailedError) as error:
            failure = error
        finally:
            group.kill_all()
            nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    return results[0]


class Step(Protocol):
    """A step of a scenario."""

    async def run(self, context: RunContext) -> None:
        """Run the step; raises `ExpectationError` if an expectation fails."""


STEPS: Registry[str, type] = Registry("scenario step")

_CONVERTER = build_converter()


@attrs.frozen
class Scenario:
    """A named list of steps."""

    name: str
    steps: tuple[Step, ...]

    @classmethod
    def from_file(cls, path: Path) -> "Scenario":
        """Read a scenario from a YAML file.

        Raises `ScenarioError` if it is not a list of steps or a step is invalid.
        """
        data = yaml.safe_load(path.read_text())
        if not isinstance(data, list):
            raise ScenarioError(f"{path.name}: expected a list of steps")
        steps = [_read_step(path.name, n, item) for n, item in enumerate(data, 1)]
        return cls(path.stem, tuple(steps))

    async def run(self, report: Callable[[str], None] = print) -> None:
        """Run the steps in order, then kill the processes that they started.

        Raises `ExpectationError`, with the step's number, for the first
        expectation that fails, and `ProcessFailedError` if a process does not
        start, log an awaited line or stop.
        """
        await run_in_context(self._run_steps, report)

    async def _run_steps(self, context: RunContext) -> None:
        for number, step in enumerate(self.steps, 1):
            try:
                await step.run(context)
            except ExpectationError as error:
                place = f"{self.name}, step {number} ({type(step).__name__})"
                raise ExpectationError(f"{place}: {error}") from error


def find_scenario(name: str) -> Path:
    """Return the file of a shipped scenario, or `name` as a path if there is none."""
    shipped = SCENARIO_FOLDER / f"{name}.yaml"
    return shipped if shipped.exists() else Path(name)


def _read_step(file: str, number: int, item: Any) -> Step:
    if not isinstance(item, dict) or len(item) != 1:
        raise ScenarioError(f"{file}: step {number}: expected one step name")
    name, fields = next(iter(item.items()))
    try:
        return structure(_CONVERTER, fields or {}, STEPS.find(name))
    except (InvalidDataError, UnknownEntryError) as error:
        raise ScenarioError(f"{file}: step {number} ({name}): {error}") from error
