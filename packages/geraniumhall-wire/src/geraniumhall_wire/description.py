"""Conversion of typed values to plain data, for dumps, logs and golden files.

Fields marked as secret are omitted, and the class of an object is written as
its field ``type``::

    describe(Credential("k7", "..."))   # {'type': 'Credential', 'key_id': 'k7'}
"""

from collections import deque
from enum import Enum
from math import isinf
from typing import Any

import attrs


def describe(value: Any) -> Any:
    """Return `value` as JSON-compatible data without secrets.

    Infinite floats become None.
    """
    if attrs.has(type(value)):
        return _describe_attrs(value)
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return {_describe_key(k): describe(v) for k, v in value.items()}
    if isinstance(value, list | tuple | deque):
        return [describe(item) for item in value]
    if isinstance(value, set | frozenset):
        return sorted((describe(item) for item in value), key=repr)
    if isinstance(value, float) and isinf(value):
        return None
    return value


def _describe_attrs(value: Any) -> dict[str, Any]:
    fields = [f for f in attrs.fields(type(value)) if not f.metadata.get("secret")]
    described = {f.name.lstrip("_"): describe(getattr(value, f.name)) for f in fields}
    return {"type": type(value).__name__, **described}


def _describe_key(key: Any) -> str:
    if isinstance(key, tuple):
        return "/".join(str(part) for part in key)
    if attrs.has(type(key)):
        return "/".join(str(part) for part in attrs.astuple(key))
    return str(key)
