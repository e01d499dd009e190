"""JSON of other writers, of which one unreadable part must not hide the rest."""

from json import loads
from re import DOTALL
from re import compile as compile_pattern
from typing import Any

import attrs

SALVAGE_DEPTH = 4  # an answer, its list, an object of that, and the object's parts
STRING = r'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
TOKEN_PATTERN = compile_pattern(rf"{STRING}|[\[{{]+|[\]}}]+|,", DOTALL)
KEY_PATTERN = compile_pattern(rf"\s*({STRING})\s*:", DOTALL)
OPENING, CLOSING = "[{", "]}"
BYTES_PER_CONTAINER = 200  # of a parsed object or list
BYTES_PER_ITEM = 40  # of a parsed number or short text


def estimate_parsed_bytes(text: bytes) -> int:
    """Return about how much memory parsed JSON takes beside its texts."""
    containers = text.count(b"{") + text.count(b"[")
    return containers * BYTES_PER_CONTAINER + text.count(b",") * BYTES_PER_ITEM


@attrs.frozen
class Unreadable:
    """Stands for a part of a JSON text that can't be decoded."""

    reason: str


def load_json(data: bytes) -> Any:
    """Decode JSON; a part of it that can't be decoded becomes `Unreadable`.

    Such a part is one with bytes that are not UTF-8, one that is no JSON between
    balanced brackets, one that is nested too deep, or an integer with too many digits.
    Raises `ValueError` if the text as a whole can't be read::

        load_json(b'[{"a": 1}, ' + b"[" * 5000 + b"]" * 5000 + b"]")
    """
    try:
        return loads(data)
    except (ValueError, RecursionError):
        value = _salvage(data.decode("utf-8-sig", "surrogateescape"), SALVAGE_DEPTH)
    if isinstance(value, Unreadable):
        raise ValueError(value.reason)
    return value


def _salvage(text: str, depth: int) -> Any:
    """Decode what can be decoded in a text, down to `depth` levels of brackets."""
    try:
        text.encode()  # fails for a byte that was not UTF-8
        return loads(text)
    except (ValueError, RecursionError) as error:
        unreadable = Unreadable(str(error))
    parts = _split_container(text.strip()) if depth else None
    if parts is None:
        return unreadable
    if text.lstrip().startswith("["):
        return [_salvage(part, depth - 1) for part in parts]
    members = [KEY_PATTERN.match(part) for part in parts]
    keys = [_salvage(member[1], 0) if member else unreadable for member in members]
    if any(isinstance(key, Unreadable) for key in keys):
        return unreadable
    return {
        key: _salvage(part[member.end() :], depth - 1)
        for key, member, part in zip(keys, members, parts, strict=True)
        if member is not None
    }


def _split_container(text: str) -> list[str] | None:
    """Return the texts of a list's or object's members.

    Return None for other values, and if the brackets in it are not balanced.
    """
    if len(text) < 2 or text[0] + text[-1] not in ("[]", "{}"):
        return None
    parts, start, depth = [], 1, 0
    for found in TOKEN_PATTERN.finditer(text, 1, len(text) - 1):
        first, end = found[0][0], found.end()
        if first in OPENING:
            depth += end - found.start()
        elif first in CLOSING:
            depth -= end - found.start()
        elif first == "," and not depth:
            parts.append(text[start : end - 1])
            start = end
        if depth < 0:
            return None
    if depth:
        return None
    last = text[start:-1]
    return [*parts, last] if parts or last.strip() else parts
