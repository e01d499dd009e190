"""Tests of the examples and commands that the pages name."""

import re
import subprocess
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

import yaml

from geraniumhall_bench.benchmarks import BENCHMARKS
from geraniumhall_bench.benchmarks.relay import build_daemon_settings
from geraniumhall_cli.commands import Commands
from geraniumhall_wire.settings import Settings

ROOT = Path(__file__).resolve().parents[3]
PAGES = (ROOT / "README.md", ROOT / "DEVELOPERS.md", *ROOT.glob("docs/*.md"))
DAEMON = Path(sys.executable).parent / "geraniumhalld"
CODE = re.compile(r"`[^`]+`|^ {4}.+$", re.MULTILINE)


def read_make_targets() -> set[str]:
    """Return the targets that the Makefile defines."""
    makefile = (ROOT / "Makefile").read_text()
    return set(re.findall(r"^([a-z]+):", makefile, re.MULTILINE))


def read_code(page: Path) -> str:
    """Return the code spans and the indented blocks of a page, one a line."""
    return "\n".join(CODE.findall(page.read_text()))


class ExampleTest(unittest.TestCase):
    """Each example is accepted as it stands."""

    def test_examples_are_valid_settings(self) -> None:
        """Every file in the folder of examples passes the check of settings."""
        examples = sorted((ROOT / "examples").glob("*.yaml"))
        self.assertTrue(examples)
        for example in examples:
            with self.subTest(example=example.name):
                Settings.from_file(str(example))

    def test_readme_command_starts_a_daemon(self) -> None:
        """The README's command for a single daemon serves until it is stopped."""
        readme = (ROOT / "README.md").read_text()
        example = re.search(r"geraniumhalld --settings (\S+)", readme)
        assert example is not None
        settings = (ROOT / example[1]).read_text()
        free = re.sub(r"127\.0\.0\.1:80(80|81)\b", "127.0.0.1:0", settings)
        with TemporaryDirectory() as folder:
            file = Path(folder) / "solo.yaml"
            file.write_text(free)
            process = subprocess.Popen(
                [str(DAEMON), "--settings", str(file)],
                stdout=subprocess.PIPE,
                text=True,
            )
            assert process.stdout is not None
            line = process.stdout.readline()
            process.terminate()
            process.communicate(timeout=30)
        self.assertIn('"listening"', line)


class CommandTest(unittest.TestCase):
    """Each command that a page names exists."""

    def test_make_targets_exist(self) -> None:
        """Every `make` target in the code of a page is defined in the Makefile."""
        targets = read_make_targets()
        named = 0
        for page in PAGES:
            for target in re.findall(r"\bmake ([a-z]+)\b", read_code(page)):
                named += 1
                with self.subTest(page=page.name, target=target):
                    self.assertIn(target, targets)
        self.assertGreaterEqual(named, len(targets) - 1)

    def test_benchmarks_of_the_makefile_exist(self) -> None:
        """Every benchmark that the Makefile runs is registered."""
        makefile = (ROOT / "Makefile").read_text()
        names = re.findall(r"geraniumhall bench ([a-z]+)", makefile)
        self.assertTrue(names)
        for name in names:
            with self.subTest(name=name):
                BENCHMARKS.find(name)

    def test_benchmark_settings_are_valid(self) -> None:
        """The settings with which the relay benchmark starts a daemon are valid."""
        text = yaml.safe_dump(build_daemon_settings("127.0.0.1:9"))
        Settings.from_text(text)

    def test_cli_commands_exist(self) -> None:
        """Every `geraniumhall` command in a page's code is a command."""
        pattern = re.compile(r"(?:^|`|bin/)geraniumhall ([a-z]+)", re.MULTILINE)
        for page in PAGES:
            for name in pattern.findall(page.read_text()):
                with self.subTest(page=page.name, command=name):
                    self.assertTrue(hasattr(Commands, name))


if __name__ == "__main__":
    unittest.main()
