"""Tests of the operators' command line: output and exit codes."""

import os
import subprocess
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from geraniumhall_cli.output import format_fields, format_table

BINARY = Path(sys.executable).parent / "geraniumhall"
UNUSED_ADDRESS = "127.0.0.1:1"


def run(*arguments: str) -> subprocess.CompletedProcess:
    """Run the binary."""
    environment = {**os.environ, "PAGER": "cat"}
    return subprocess.run(
        [str(BINARY), *arguments],
        capture_output=True,
        text=True,
        env=environment,
        check=False,
    )


class ExitCodeTest(unittest.TestCase):
    """Exit codes are those that the help names."""

    def test_wrong_command(self) -> None:
        """A command that does not exist is wrong usage."""
        self.assertEqual(run("fly").returncode, 2)

    def test_missing_argument(self) -> None:
        """A missing argument is wrong usage, told on standard error."""
        result = run("catalogue", "get", "entry")
        self.assertEqual((result.returncode, result.stdout), (2, ""))

    def test_unreachable_daemon(self) -> None:
        """A daemon that can't be reached has its own code."""
        self.assertEqual(run("--admin", UNUSED_ADDRESS, "status").returncode, 4)

    def test_faulty_settings(self) -> None:
        """Faulty settings are refused with file and path."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / "bad.yaml"
            path.write_text("host: {name: a, failure_domain: b}\ndrain: {grace: 3}")
            result = run("settings", "check", str(path))
        self.assertEqual(result.returncode, 1)
        self.assertIn("$.drain.grace: missing unit", result.stderr)


class FormatTest(unittest.TestCase):
    """Results are tables for people."""

    def test_table(self) -> None:
        """Columns are aligned under their names."""
        rows = [{"name": "a", "entries": ["x", "y"]}, {"name": "bbbb", "entries": []}]
        expected = "NAME  ENTRIES\na     x,y    \nbbbb  -"
        self.assertEqual(format_table(rows), expected)

    def test_empty_table(self) -> None:
        """No rows are said so."""
        self.assertEqual(format_table([]), "(none)")

    def test_nested_fields(self) -> None:
        """Nested objects are indented."""
        self.assertEqual(format_fields({"a": {"b": None}}), "a:\n  b: -")
