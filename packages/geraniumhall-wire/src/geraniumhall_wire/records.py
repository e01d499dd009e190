"""Conversion of records to plain data, as in the admin API and the store.

Hosts read each other's records constantly. To keep these small, demands and
usage lines are encoded as lists, and usage lines without trailing zeros.
"""

from typing import Any

import attrs

from geraniumhall_core.hosts import Demand
from geraniumhall_core.records import RECORD_KINDS
from geraniumhall_core.registry import UnknownEntryError
from geraniumhall_core.usage import UsageFigures, UsageLine
from geraniumhall_wire.converter import (
    FieldViolation,
    InvalidDataError,
    WrongTypeError,
    build_converter,
    structure,
)

CONVERTER = build_converter()
CONVERTER.register_unstructure_hook(Demand, lambda item: list(attrs.astuple(item)))
CONVERTER.register_unstructure_hook(UsageLine, lambda line: _encode_usage_line(line))
CONVERTER.register_structure_hook(Demand, lambda data, _: _decode_demand(data))
CONVERTER.register_structure_hook(UsageLine, lambda data, _: _decode_usage_line(data))


def encode_record(record: Any) -> Any:
    """Convert a record to plain data."""
    return CONVERTER.unstructure(record)


def decode_record(kind: str, data: Any) -> Any:
    """Convert plain data to a record of this kind, or raise `InvalidDataError`."""
    try:
        record_class = RECORD_KINDS.find(kind)
    except UnknownEntryError as error:
        raise InvalidDataError((FieldViolation("$", str(error)),)) from error
    return structure(CONVERTER, data, record_class)


def _encode_usage_line(line: UsageLine) -> list[Any]:
    figures = list(attrs.astuple(line.figures))
    while figures and not figures[-1]:
        figures.pop()
    return [line.workspace, *figures]


def _decode_usage_line(data: Any) -> UsageLine:
    workspace, *figures = _check_list(data)
    return UsageLine(
        _structure_value(workspace, str), UsageFigures(*_structure_values(figures, int))
    )


def _decode_demand(data: Any) -> Demand:
    workspace, *rates = _check_list(data)
    return Demand(_structure_value(workspace, str), *_structure_values(rates, float))


def _check_list(data: Any) -> list[Any]:
    if not isinstance(data, list) or not data:
        raise WrongTypeError(f"expected a list that is not empty, got {data!r}")
    return data


def _structure_value(value: Any, target_type: type) -> Any:
    return CONVERTER.structure(value, target_type)


def _structure_values(values: list[Any], target_type: type) -> list[Any]:
    return [_structure_value(value, target_type) for value in values]
