"""JSON of other writers, of which one odd part must not hide the rest."""

from json import JSONDecodeError, loads
from re import compile as compile_pattern
from typing import Any

MAX_DEPTH = 64  # what is nested deeper is replaced with null
MAX_DIGITS = 400  # an integer with more is decoded as an infinite float
TOKEN_PATTERN = compile_pattern(rb'"(?:[^"\\]|\\.)*+"|[\[\]{}]')


def load_json(text: bytes) -> Any:
    """Decode JSON, without what no valid record holds.

    What is nested too deep becomes null, and an integer with too many digits an
    infinite number, so that only the record with it is rejected. Raises `ValueError`
    if the text is not JSON::

        load_json(b'[{"a": 1}, ' + b"[" * 5000 + b"]" * 5000 + b"]")
    """
    try:
        return loads(text)
    except JSONDecodeError:
        raise
    except (RecursionError, ValueError):
        return loads(_prune(text), parse_int=_parse_integer)


def _prune(text: bytes) -> bytes:
    """Return the text with every value below `MAX_DEPTH` replaced with null."""
    pieces: list[bytes] = []
    depth = start = 0
    for token in TOKEN_PATTERN.finditer(text):
        if token[0] in (b"[", b"{"):
            depth += 1
            if depth == MAX_DEPTH + 1:
                pieces.append(text[start : token.start()])
        elif token[0] in (b"]", b"}"):
            if depth == MAX_DEPTH + 1:
                pieces.append(b"null")
                start = token.end()
            depth -= 1
    if depth > MAX_DEPTH:
        raise ValueError("the text ends inside a value")
    return b"".join([*pieces, text[start:]])


def _parse_integer(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_DIGITS else float("inf")
