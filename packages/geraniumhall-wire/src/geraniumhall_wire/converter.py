"""Strict conversion between plain data and attrs classes.

Unlike cattrs' default it coerces no types, except an integer in a field for a
float: the text "5" is not a number.
Violations carry the path of the field, as in ``$.limits.deadline``.
"""

from collections.abc import Callable
from math import isfinite
from types import GenericAlias
from typing import Any, TypeVar, get_args, get_origin

import attrs
from cattrs import Converter, transform_error
from cattrs.errors import ForbiddenExtraKeysError
from cattrs.v import format_exception

T = TypeVar("T")

MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**63 - 1
MAX_SHOWN = 200  # characters of a value in an error


@attrs.frozen
class FieldViolation:
    """One violation in plain data: the field's path and what was expected."""

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"


@attrs.frozen
class InvalidDataError(ValueError):
    """Raised when plain data does not match the class it is converted to."""

    violations: tuple[FieldViolation, ...]

    def __str__(self) -> str:
        return "; ".join(str(violation) for violation in self.violations)


class WrongTypeError(ValueError):
    """Raised when a value does not have the type of its field."""


def build_converter(ignores_unknown_fields: bool = False) -> Converter:
    """Return a converter that coerces no types, except int to float.

    Numbers are finite, and integers have at most 64 bits, as on the wire between hosts.
    Unknown fields are an error unless `ignores_unknown_fields` is set.
    """
    converter = Converter(forbid_extra_keys=not ignores_unknown_fields)
    for primitive in (str, int, float, bool):
        converter.register_structure_hook(primitive, _structure_primitive)
    converter.register_structure_hook_func(
        lambda target_type: get_origin(target_type) is tuple,
        lambda value, target_type: _structure_tuple(converter, value, target_type),
    )
    return converter


def structure(converter: Converter, data: Any, target_type: type[T]) -> T:
    """Convert `data` to `target_type`, or raise `InvalidDataError`."""
    try:
        return converter.structure(data, target_type)
    except Exception as error:
        raise InvalidDataError(_collect_violations(error)) from error


def is_unicode(text: str) -> bool:
    """Return whether a text has no half of a surrogate pair, so it can be encoded."""
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _structure_primitive(value: Any, target_type: Any) -> Any:
    allowed: tuple[type, ...] = (int, float) if target_type is float else (target_type,)
    is_misplaced_bool = isinstance(value, bool) and target_type is not bool
    if not isinstance(value, allowed) or is_misplaced_bool:
        raise WrongTypeError(f"expected {target_type.__name__}, got {_shorten(value)}")
    if isinstance(value, str) and not is_unicode(value):
        raise WrongTypeError(f"expected Unicode text, got {_shorten(value)}")
    converted: Any = target_type(value)
    if target_type is int and not MIN_INTEGER <= converted <= MAX_INTEGER:
        raise WrongTypeError("expected an integer of at most 64 bits")
    if target_type is float and not isfinite(converted):
        raise WrongTypeError(f"expected a finite number, got {converted!r}")
    return converted


def _shorten(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= MAX_SHOWN else f"{text[:MAX_SHOWN]}..."


def _structure_tuple(converter: Converter, value: Any, target_type: Any) -> tuple:
    if not isinstance(value, list | tuple):
        raise WrongTypeError(f"expected a list, got {_shorten(value)}")
    list_type: Any = GenericAlias(list, get_args(target_type)[:1])
    return tuple(converter.structure(list(value), list_type))


def _collect_violations(error: Exception) -> tuple[FieldViolation, ...]:
    lines = transform_error(error, format_exception=_format_error)
    return tuple(_parse_violation(line) for line in lines)


def _parse_violation(line: str) -> FieldViolation:
    """Parse a line of `transform_error`, which ends in ``@`` and the path."""
    reason, _, path = line.rpartition(" @ ")
    return FieldViolation(path, reason)


def _format_error(error: BaseException, target_type: type | None) -> str:
    if isinstance(error, WrongTypeError):
        return str(error)
    if isinstance(error, ForbiddenExtraKeysError):
        names = ", ".join(sorted(error.extra_fields))
        known = ", ".join(field.name for field in attrs.fields(error.cl))
        return f"unknown field {names}; expected one of {known}"
    if isinstance(error, ValueError):
        return str(error.args[0]) if error.args else "invalid value"
    return format_exception(error, target_type)


def register_newtype_hook(
    converter: Converter, target_type: Any, parse: Callable[[Any], Any]
) -> None:
    """Parse fields of the `NewType` `target_type` with `parse`."""
    converter.register_structure_hook_func(
        lambda candidate: candidate is target_type, lambda value, _: parse(value)
    )
