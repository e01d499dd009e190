"""Tests that the documentation and the package structure match the code."""

import ast
import unittest
from importlib.util import module_from_spec, spec_from_file_location
from pathlib import Path
from types import ModuleType

ROOT = Path(__file__).resolve().parents[3]
FOLDERS = {
    "core": "packages/geraniumhall-core",
    "wire": "packages/geraniumhall-wire",
    "net": "packages/geraniumhall-net",
    "platform": "platform",
    "daemon": "packages/geraniumhall-daemon",
    "bench": "packages/geraniumhall-bench",
    "cli": "packages/geraniumhall-cli",
}
ALLOWED_IMPORTS = {
    "core": set(),
    "wire": {"core"},
    "net": {"core", "wire"},
    "platform": {"core", "wire", "net"},
    "daemon": {"core", "wire", "net", "platform"},
    "bench": {"core", "wire", "net"},
    "cli": {"core", "wire", "net", "bench"},
}
DIAGRAM = """\
    core ◀── wire ◀── net ◀── platform ◀── daemon
                       ▲
                       ├───── bench ◀── cli
"""
PLATFORM_NAMES = ("x-expect-instance", "x-server-stamp", "x-duty-holder", "x-kv-")


def load_tool(name: str) -> ModuleType:
    """Import a module from the tools folder."""
    spec = spec_from_file_location(name, ROOT / "tools" / f"{name}.py")
    assert spec is not None
    assert spec.loader is not None
    module = module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def list_imports(package: str) -> set[str]:
    """Return the project's other packages that a package imports."""
    found = set()
    folder = ROOT / FOLDERS[package] / "src"
    for file in folder.rglob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            module = getattr(node, "module", None)
            if isinstance(node, ast.ImportFrom) and module:
                found.add(module.split(".")[0])
    names = {n.removeprefix("geraniumhall_") for n in found if "geraniumhall_" in n}
    return names - {package}


class PagesTest(unittest.TestCase):
    """Tests of the pages and of the imports between packages."""

    def test_reference_is_current(self) -> None:
        """The reference page is what the generator builds from the classes."""
        tool = load_tool("make_reference")
        self.assertEqual(tool.PAGE.read_text(), tool.build_page())

    def test_package_imports_follow_the_diagram(self) -> None:
        """A package imports only those that the design allows."""
        for package, allowed in ALLOWED_IMPORTS.items():
            with self.subTest(package=package):
                self.assertLessEqual(list_imports(package), allowed)

    def test_only_the_adapter_uses_platform_names(self) -> None:
        """Only the platform adapter and the stand-ins use the platform's names."""
        for file in (ROOT / "packages").glob("*/src/**/*.py"):
            if "standins" not in file.parts:
                text = file.read_text().lower()
                for name in PLATFORM_NAMES:
                    self.assertNotIn(name, text, file)

    def test_design_page_has_the_diagram(self) -> None:
        """The design page contains the diagram of the allowed imports."""
        self.assertIn(DIAGRAM, (ROOT / "docs" / "design.md").read_text())

    def test_core_does_no_input_or_output(self) -> None:
        """The core imports no module that gives access to clocks, files or sockets."""
        banned = {"time", "random", "socket", "trio", "os", "secrets", "datetime"}
        folder = ROOT / "packages" / "geraniumhall-core" / "src"
        for file in folder.rglob("*.py"):
            for node in ast.walk(ast.parse(file.read_text())):
                if isinstance(node, ast.ImportFrom):
                    self.assertNotIn((node.module or "").split(".")[0], banned)
                elif isinstance(node, ast.Import):
                    names = {alias.name.split(".")[0] for alias in node.names}
                    self.assertFalse(names & banned, file)
