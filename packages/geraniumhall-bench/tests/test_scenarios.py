"""Tests that run the shipped scenarios against real processes on loopback."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

import trio

from geraniumhall_bench import steps
from geraniumhall_bench.scenario import SCENARIO_FOLDER, STEPS, Scenario, ScenarioError

__all__ = ["steps"]


class ScenarioTest(unittest.TestCase):
    """The shipped scenarios pass."""

    def test_shipped_scenarios(self) -> None:
        """Every scenario in the package's folder passes."""
        for path in sorted(SCENARIO_FOLDER.glob("*.yaml")):
            with self.subTest(scenario=path.stem):
                trio.run(Scenario.from_file(path).run, _discard_line)


class LanguageTest(unittest.TestCase):
    """An invalid scenario is rejected before any step runs."""

    def read(self, text: str) -> str:
        """Return the error message for an invalid scenario."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / "faulty.yaml"
            path.write_text(text)
            with self.assertRaises(ScenarioError) as caught:
                Scenario.from_file(path)
        return str(caught.exception)

    def test_unknown_step(self) -> None:
        """The message names the unknown step."""
        message = self.read("- jump: {}")
        self.assertIn("step 1 (jump): unknown scenario step", message)

    def test_unknown_field(self) -> None:
        """The message names the unknown field."""
        message = self.read("- call: {via: a, modle: x}")
        self.assertIn("unknown field modle", message)

    def test_every_step_has_a_description(self) -> None:
        """Every step has a docstring."""
        for name in STEPS:
            self.assertTrue(STEPS.find(name).__doc__)


def _discard_line(line: str) -> None:
    """Discard a report line."""
