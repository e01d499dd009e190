"""Conversion between records and plain data, for the admin API and the store.

Every host reads the records of all others. To keep these small, demands and
usage lines are encoded as lists, and usage lines without trailing zeros. Most of what
a host reads are these, so they are decoded without the converter.
"""

from math import isfinite
from typing import Any

import attrs
from cattrs.gen import make_dict_unstructure_fn, override

from geraniumhall_core.hosts import Demand
from geraniumhall_core.leases import Lease
from geraniumhall_core.orders import OrderIntent
from geraniumhall_core.records import RECORD_KINDS
from geraniumhall_core.registry import UnknownEntryError
from geraniumhall_core.usage import UsageFigures, UsageLine, UsageSeals
from geraniumhall_wire.converter import (
    MAX_INTEGER,
    MIN_INTEGER,
    FieldViolation,
    InvalidDataError,
    WrongTypeError,
    build_converter,
    is_unicode,
    structure,
)

CONVERTER = build_converter()
CONVERTER.register_unstructure_hook(Demand, lambda item: list(attrs.astuple(item)))
CONVERTER.register_unstructure_hook(UsageLine, lambda line: _encode_usage_line(line))
for kind_with_era in (Lease, UsageSeals, OrderIntent):
    # Without eras, records are written as hosts that know none of them read them.
    CONVERTER.register_unstructure_hook(
        kind_with_era,
        make_dict_unstructure_fn(
            kind_with_era, CONVERTER, era=override(omit_if_default=True)
        ),
    )
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
    for figure in figures:
        if type(figure) is not int or not MIN_INTEGER <= figure <= MAX_INTEGER:
            raise WrongTypeError(f"expected an integer of 64 bits, got {figure!r}")
    return UsageLine(_check_text(workspace), UsageFigures(*figures))


def _decode_demand(data: Any) -> Demand:
    workspace, *rates = _check_list(data)
    return Demand(_check_text(workspace), *map(_check_rate, rates))


def _check_text(value: Any) -> str:
    if type(value) is not str or not is_unicode(value):
        raise WrongTypeError(f"expected Unicode text, got {value!r}")
    return value


def _check_rate(value: Any) -> float:
    if type(value) not in (int, float) or not isfinite(value):
        raise WrongTypeError(f"expected a finite number, got {value!r}")
    return float(value)


def _check_list(data: Any) -> list[Any]:
    if not isinstance(data, list) or not data:
        raise WrongTypeError(f"expected a list that is not empty, got {data!r}")
    return data
