"""Put the project's packages in place for a run, with none missing at any moment.

    place_build.py SOURCE... TARGET

Each source is a package's folder. A file that has changed is replaced in one step, one
that has not is left alone, and only then are files removed that no source has. So
a process that starts meanwhile finds every module, of this build or the one before.
"""

import os
import sys
from pathlib import Path

EXIT_USAGE = 2
LEFT_OUT = "__pycache__"


def place_package(source: Path, target: Path) -> None:
    """Make a package's folder in `target` equal to the one at `source`."""
    placed = target / source.name
    wanted = set(_list_files(source))
    for file in sorted(wanted):
        _place_file(source / file, placed / file)
    for file in _list_files(placed):
        if file not in wanted:
            (placed / file).unlink()


def main() -> int:
    """Place all packages of the command line; return the exit code."""
    if len(sys.argv) < 3:
        print(__doc__, file=sys.stderr)
        return EXIT_USAGE
    *sources, target = (Path(argument) for argument in sys.argv[1:])
    for source in sources:
        place_package(source, target)
    return 0


def _list_files(folder: Path) -> list[Path]:
    files = [path for path in folder.rglob("*") if path.is_file()]
    relative = [path.relative_to(folder) for path in files]
    return [
        path
        for path in relative
        if LEFT_OUT not in path.parts and not path.name.startswith(".")
    ]


def _place_file(source: Path, target: Path) -> None:
    content = source.read_bytes()
    if target.is_file() and target.read_bytes() == content:
        return
    target.parent.mkdir(parents=True, exist_ok=True)
    written = target.with_name(f".{target.name}.{os.getpid()}")
    written.write_bytes(content)
    written.replace(target)


if __name__ == "__main__":
    sys.exit(main())
