"""Tests of building beside processes that start from the build."""

import subprocess
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

ROOT = Path(__file__).resolve().parents[3]
TOOL = ROOT / "tools" / "place_build.py"
MODULES = 40
STARTS = 40
IMPORT_ALL = "; ".join(f"import parts.m{number}" for number in range(MODULES))


class PlaceBuildTest(unittest.TestCase):
    """A build leaves what has not changed alone, and lacks no module meanwhile."""

    def setUp(self) -> None:
        """Write a package and place it."""
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.source = Path(folder.name) / "src" / "parts"
        self.target = Path(folder.name) / "deps"
        self.source.mkdir(parents=True)
        (self.source / "__init__.py").write_text("")
        self.write_modules("first")
        self.place()

    def write_modules(self, text: str) -> None:
        """Change all modules of the package."""
        for number in range(MODULES):
            (self.source / f"m{number}.py").write_text(f"text = {text!r}\n")

    def place(self) -> None:
        """Place the package as the build does."""
        command = [sys.executable, TOOL, self.source, self.target]
        subprocess.run(command, check=True)

    def test_unchanged_files_are_left_alone(self) -> None:
        """Neither the file nor its time changes."""
        placed = self.target / "parts" / "m1.py"
        before = placed.stat()
        self.place()
        after = placed.stat()
        self.assertEqual(
            (before.st_ino, before.st_mtime_ns), (after.st_ino, after.st_mtime_ns)
        )

    def test_changed_and_removed_files(self) -> None:
        """A changed file is replaced, and one that is gone is removed."""
        (self.source / "m1.py").write_text("text = 'second'\n")
        (self.source / "m2.py").unlink()
        self.place()
        placed = self.target / "parts"
        self.assertEqual((placed / "m1.py").read_text(), "text = 'second'\n")
        self.assertFalse((placed / "m2.py").exists())

    # Guards against plays whose processes ended while another play was built.
    def test_processes_start_while_a_build_is_placed(self) -> None:
        """Each finds all modules, however often the build is placed again."""
        self.write_modules("x" * 100_000)
        builds = (
            "import sys; sys.argv = ['', *sys.argv[2:]]\n"
            f"sys.path.insert(0, {str(TOOL.parent)!r})\n"
            "from pathlib import Path\n"
            "from place_build import place_package\n"
            "source, target = map(Path, sys.argv[1:])\n"
            "while True:\n"
            "    for text in ('a', 'b'):\n"
            f"        for number in range({MODULES}):\n"
            "            (source / f'm{number}.py').write_text(f'text = {text!r}')\n"
            "        place_package(source, target)\n"
        )
        command = [sys.executable, "-c", builds, "-", self.source, self.target]
        with subprocess.Popen(command) as builder:
            try:
                for _ in range(STARTS):
                    started = subprocess.run(
                        [sys.executable, "-B", "-c", IMPORT_ALL],
                        env={"PYTHONPATH": str(self.target)},
                        capture_output=True,
                        check=False,
                    )
                    self.assertEqual(started.returncode, 0, started.stderr)
            finally:
                builder.kill()
