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
    """Run the command line with the given arguments."""
    environment = {**os.environ, "PAGER": "cat"}
    return subprocess.run(
        [str(BINARY), *arguments],
        capture_output=True,
        text=True,
        env=environment,
        check=False,
    )


class ExitCodeTest(unittest.TestCase):
    """Exit codes are those given in the help."""

    def test_wrong_command(self) -> None:
        """An unknown command is a usage error."""
        self.assertEqual(run("fly").returncode, 2)

    def test_missing_argument(self) -> None:
        """A missing argument is a usage error, printed to standard error."""
        result = run("catalogue", "get", "entry")
        self.assertEqual((result.returncode, result.stdout), (2, ""))

    def test_unreachable_daemon(self) -> None:
        """An unreachable daemon has its own exit code."""
        self.assertEqual(run("--admin", UNUSED_ADDRESS, "status").returncode, 4)

    def test_faulty_settings(self) -> None:
        """Invalid settings are refused with the path of the field."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / "bad.yaml"
            path.write_text("host: {name: a, failure_domain: b}\ndrain: {grace: 3}")
            result = run("settings", "check", str(path))
        self.assertEqual(result.returncode, 1)
        self.assertIn("$.drain.grace: missing unit", result.stderr)


class FormatTest(unittest.TestCase):
    """Results are printed as aligned tables and indented fields."""

    def test_table(self) -> None:
        """Columns are aligned under their headings."""
        rows = [{"name": "a", "entries": ["x", "y"]}, {"name": "bbbb", "entries": []}]
        expected = "NAME  ENTRIES\na     x,y    \nbbbb  -"
        self.assertEqual(format_table(rows), expected)

    def test_empty_table(self) -> None:
        """A table without rows is printed as (none)."""
        self.assertEqual(format_table([]), "(none)")

    def test_nested_fields(self) -> None:
        """Nested objects are indented."""
        self.assertEqual(format_fields({"a": {"b": None}}), "a:\n  b: -")
