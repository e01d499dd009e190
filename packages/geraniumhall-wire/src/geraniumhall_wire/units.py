"""Quantities in settings: text with a unit, such as ``5s``, ``250ms``, ``8MiB``."""

from re import fullmatch
from typing import Any, NewType

from cattrs import Converter

from geraniumhall_wire.converter import WrongTypeError, register_newtype_hook

Seconds = NewType("Seconds", float)
ByteCount = NewType("ByteCount", int)
Address = NewType("Address", str)

SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
BYTES_BY_UNIT = {"B": 1, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}


def register_units(converter: Converter) -> None:
    """Register hooks for durations, sizes and addresses with `converter`."""
    register_newtype_hook(converter, Seconds, parse_seconds)
    register_newtype_hook(converter, ByteCount, parse_bytes)
    register_newtype_hook(converter, Address, parse_address)


def parse_seconds(value: Any) -> float:
    """Return a duration such as ``250ms`` in seconds."""
    return _parse_quantity(value, SECONDS_BY_UNIT, "a duration such as 5s")


def parse_bytes(value: Any) -> int:
    """Return a size such as ``8MiB`` in bytes."""
    return int(_parse_quantity(value, BYTES_BY_UNIT, "a size such as 8MiB"))


def parse_address(value: Any) -> str:
    """Check an address such as ``127.0.0.1:8080`` and return it unchanged."""
    if not isinstance(value, str) or not fullmatch(r"[^\s:]+:\d{1,5}", value):
        raise WrongTypeError(f"expected an address such as 127.0.0.1:80, got {value!r}")
    return value


def _parse_quantity(value: Any, units: dict[str, Any], expected: str) -> float:
    known = ", ".join(units)
    if isinstance(value, int | float) and not isinstance(value, bool):
        raise WrongTypeError(f"missing unit, expected {expected} (units: {known})")
    match = fullmatch(r"(\d+(?:\.\d+)?)\s*([A-Za-z]+)", str(value))
    if match is None or match[2] not in units:
        raise WrongTypeError(f"expected {expected} (units: {known}), got {value!r}")
    return float(match[1]) * units[match[2]]
