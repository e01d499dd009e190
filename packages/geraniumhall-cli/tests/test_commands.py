"""Tests of the operators' command line: output and exit codes."""

import os
import re
import subprocess
import sys
import unittest
from json import loads
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

    def test_malformed_part(self) -> None:
        """A prompt part without its tokens is a usage error."""
        result = run("--admin", UNUSED_ADDRESS, "place", "draft", "--parts", "abc")
        self.assertEqual(result.returncode, 2)
        self.assertIn("ID:TOKENS", result.stderr)

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


class PartTest(unittest.TestCase):
    """Operators hold and release parts of prompts on a running daemon."""

    def test_part_is_held_listed_and_released(self) -> None:
        """A part that is held by hand is listed until it is released."""
        settings = Path(__file__).resolve().parents[3] / "examples" / "solo.yaml"
        free = re.sub(r"127\.0\.0\.1:80(80|81)\b", "127.0.0.1:0", settings.read_text())
        with TemporaryDirectory() as folder:
            file = Path(folder) / "solo.yaml"
            file.write_text(free)
            process = subprocess.Popen(
                [str(BINARY) + "d", "--settings", str(file)],
                stdout=subprocess.PIPE,
                text=True,
            )
            assert process.stdout is not None
            admin = ("--admin", str(loads(process.stdout.readline())["admin"]))
            held = run(*admin, "part", "hold", "5c1e07a2")
            held_again = run(*admin, "part", "hold", "5c1e07a2")
            listed = run(*admin, "part", "list")
            released = run(*admin, "part", "release", "5c1e07a2")
            empty = run(*admin, "part", "list")
            process.terminate()
            process.communicate(timeout=30)
        results = (held, held_again, listed, released, empty)
        self.assertEqual([r.returncode for r in results], [0] * len(results), results)
        self.assertIn("5c1e07a2", listed.stdout)
        self.assertIn("operator", listed.stdout)
        self.assertNotIn("5c1e07a2", empty.stdout)


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
