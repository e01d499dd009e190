"""Output of results, as tables and fields or as JSON."""

import sys
from json import dumps
from typing import Any, NoReturn

from geraniumhall_cli.client import AdminResponse

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
STATUS_PRECONDITION_FAILED = 412


def print_result(data: Any, as_json: bool) -> None:
    """Print a result to standard output."""
    if as_json:
        print(dumps(data, indent=2))
    elif isinstance(data, list):
        print(format_table(data))
    else:
        print(format_fields(data))


def format_table(rows: list[dict[str, Any]]) -> str:
    """Return rows as an aligned table.

    There is one column for each field of the first row except `type`.
    """
    if not rows:
        return "(none)"
    columns = [name for name in rows[0] if name != "type"]
    cells = [[_format_cell(row.get(name)) for name in columns] for row in rows]
    lines = [[name.upper() for name in columns], *cells]
    widths = [max(len(line[n]) for line in lines) for n in range(len(columns))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    ).rstrip()


def format_fields(data: dict[str, Any], indent: str = "") -> str:
    """Return an object with one field per line, without `type`.

    Nested objects are indented.
    """
    lines = []
    for name, value in data.items():
        if name == "type":
            continue
        if isinstance(value, dict) and value:
            lines.append(f"{indent}{name}:")
            lines.append(format_fields(value, indent + "  "))
        else:
            lines.append(f"{indent}{name}: {_format_cell(value)}")
    return "\n".join(lines)


def exit_with_error(response: AdminResponse) -> NoReturn:
    """Print the error of a failed call, and exit."""
    error = response.data.get("error", {})
    location = f" at {error['path']}" if error.get("path") else ""
    reason = error.get("reason", "no reason given")
    print(f"{error.get('code', 'failed')}{location}: {reason}", file=sys.stderr)
    if response.status == STATUS_PRECONDITION_FAILED:
        current = response.data.get("current")
        print(f"current: {dumps(current)}", file=sys.stderr)
        sys.exit(EXIT_CONFLICT)
    sys.exit(EXIT_REFUSED)


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, list):
        return ",".join(str(item) for item in value) or "-"
    if isinstance(value, dict):
        return dumps(value)
    return str(value)
