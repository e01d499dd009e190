"""Mutation tests: check that tests of the promises fail without the mechanisms.

A promise is a property that must always hold. Each mutation removes one
mechanism behind a promise from a copy of the packages, by replacing a piece of
source, and its tests must then fail. The exit code is 1 if a mutation survives
or its source is not found exactly once.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import attrs
from mutations import MUTATIONS, Mutation

ROOT = Path(__file__).resolve().parent.parent
WORKERS = 3


@attrs.frozen
class MutationResult:
    """Whether a mutation was killed, and the tests that failed or the reason."""

    mutation: Mutation
    is_killed: bool
    detail: str


def main() -> int:
    """Run all mutations, or those whose name contains the first argument."""
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    chosen = [m for m in MUTATIONS if pattern in m.name]
    with ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(try_mutation, chosen))
    for result in results:
        word = "killed" if result.is_killed else "SURVIVED"
        mutation = result.mutation
        print(f"{mutation.promise:>2}  {word:11}  {mutation.name}: {result.detail}")
    survived = sum(not result.is_killed for result in results)
    print(f"{len(results) - survived} mutations killed, {survived} survived")
    return 1 if survived else 0


def try_mutation(mutation: Mutation) -> MutationResult:
    """Run a mutation's tests on a changed copy of the packages."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for part in ("packages", "platform", "tools"):
            shutil.copytree(ROOT / part, copy / part, ignore=_ignore_built)
        file = copy / mutation.file
        source = file.read_text()
        if source.count(mutation.old) != 1:
            return MutationResult(mutation, False, "its source must occur once")
        file.write_text(source.replace(mutation.old, mutation.new))
        return _run_tests(mutation, copy)


def _run_tests(mutation: Mutation, copy: Path) -> MutationResult:
    sources = sorted(str(path) for path in copy.glob("packages/*/src"))
    sources.append(str(copy / "platform/src"))
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sources)}
    command = [sys.executable, str(copy / "tools/run_tests.py"), mutation.tests]
    result = subprocess.run(
        command, capture_output=True, text=True, env=environment, check=False
    )
    failed = {
        line.split()[1]
        for line in result.stderr.splitlines()
        if line.startswith(("FAIL: ", "ERROR: "))
    }
    detail = ", ".join(sorted(failed)) or "no test failed"
    return MutationResult(mutation, bool(failed) and result.returncode != 0, detail)


def _ignore_built(folder: str, names: list[str]) -> set[str]:
    return {n for n in names if n.endswith((".egg-info", "__pycache__"))}


if __name__ == "__main__":
    sys.exit(main())
