"""Generate docs/reference.md from attrs classes and registries.

With ``--check`` nothing is written, and the exit code is 1 if the page is out
of date.
"""

import sys
from enum import Enum
from inspect import cleandoc
from pathlib import Path
from typing import Any

import attrs

from geraniumhall_core.catalogue import (
    BackendServer,
    CatalogueEntry,
    EntryLimits,
    Workspace,
)
from geraniumhall_core.orders import DesiredRole
from geraniumhall_core.registry import Registry
from geraniumhall_core.routing import ROUTING_POLICIES
from geraniumhall_wire.admin_routes import ADMIN_ROUTES
from geraniumhall_wire.refusals import STATUS_BY_CODE
from geraniumhall_wire.settings import Settings

PAGE = Path(__file__).resolve().parent.parent / "docs" / "reference.md"
RECORDS = {
    "workspace": Workspace,
    "entry": CatalogueEntry,
    "entry limits": EntryLimits,
    "server": BackendServer,
    "wish": DesiredRole,
}


def main() -> int:
    """Write the page, or check that it is up to date; return the exit code."""
    page = build_page()
    if "--check" in sys.argv:
        return 0 if PAGE.read_text() == page else 1
    PAGE.write_text(page)
    return 0


def build_page() -> str:
    """Return the page as Markdown."""
    note = "Made by `tools/make_reference.py`; a test keeps it current."
    parts = ["# Reference", note]
    parts.append("## Settings")
    for field in attrs.fields(attrs.resolve_types(Settings)):
        parts.append(f"### `{field.name}`")
        parts += _describe_class(field.type)
    parts.append("## Catalogue records")
    for name, record in RECORDS.items():
        parts.append(f"### {name}")
        parts += _describe_class(record)
    parts += _describe_policies("Routing policies", ROUTING_POLICIES)
    parts.append("## Admin API")
    parts.append(_list_routes())
    parts.append("## Refusals")
    parts.append(_list_refusals())
    return "\n\n".join(parts) + "\n"


def _describe_class(kind: Any) -> list[str]:
    rows = ["| field | type | default |", "|---|---|---|"]
    for field in attrs.fields(attrs.resolve_types(kind)):
        rows.append(
            f"| `{field.name}` | {_name_type(field.type)} | {_name_default(field)} |"
        )
    return [cleandoc(kind.__doc__ or ""), "\n".join(rows)]


def _describe_policies(title: str, registry: Registry) -> list[str]:
    rows = [f"- `{name}`: {_first_line(registry.find(name))}" for name in registry]
    return [f"## {title}", "\n".join(rows)]


def _list_routes() -> str:
    rows = ["| method | path | what it does |", "|---|---|---|"]
    for method, path in ADMIN_ROUTES:
        line = _first_line(ADMIN_ROUTES.find((method, path)))
        rows.append(f"| {method} | `{path}` | {line} |")
    return "\n".join(rows)


def _list_refusals() -> str:
    rows = ["| code | HTTP status |", "|---|---|"]
    rows += [f"| `{code}` | {status} |" for code, status in STATUS_BY_CODE.items()]
    return "\n".join(rows)


def _first_line(target: Any) -> str:
    return cleandoc(target.__doc__ or "").splitlines()[0]


def _name_type(kind: Any) -> str:
    if isinstance(kind, type) and issubclass(kind, Enum):
        return " or ".join(f"`{member.value}`" for member in kind)
    name = getattr(kind, "__name__", str(kind))
    return str(kind).replace("typing.", "") if name in ("tuple", "dict") else name


def _name_default(field: Any) -> str:
    if field.default is attrs.NOTHING:
        return "required"
    if isinstance(field.default, attrs.Factory):  # type: ignore[arg-type]
        return "empty"
    if attrs.has(type(field.default)):
        return "defaults of its fields"
    return f"`{field.default!r}`"


if __name__ == "__main__":
    sys.exit(main())
