"""JSON bodies of the platform's interfaces, for drivers and stand-ins.

A message or answer is an object whose ``type`` is its registered name. A
record is read into the class that its kind names.
"""

from json import dumps, loads
from typing import Any, TypeVar

from cattrs import Converter

from geraniumhall_core.platform import ANSWERS, MESSAGES, Answer, Message, PutObject
from geraniumhall_core.records import DELETED, RECORD_KINDS, ObjectKey, VersionedRecord
from geraniumhall_core.registry import Registry, UnknownEntryError
from geraniumhall_wire.converter import (
    Fault,
    InvalidDataError,
    build_converter,
    structure,
)

T = TypeVar("T")


def encode_message(message: Message) -> bytes:
    """Return the JSON body of a message."""
    return _encode_tagged(MESSAGES, message)


def decode_message(body: bytes) -> Message:
    """Return the message in a JSON body, or raise `InvalidDataError`."""
    return _decode_tagged(MESSAGES, body)


def encode_answer(answer: Answer) -> bytes:
    """Return the JSON body of an answer."""
    return _encode_tagged(ANSWERS, answer)


def decode_answer(body: bytes) -> Answer:
    """Return the answer in a JSON body, or raise `InvalidDataError`."""
    return _decode_tagged(ANSWERS, body)


def encode_record(record: Any) -> Any:
    """Return a record as plain data."""
    return CONVERTER.unstructure(record)


def decode_record(kind: str, data: Any) -> Any:
    """Return the record of this kind in plain data, or raise `InvalidDataError`."""
    try:
        record_class = RECORD_KINDS.find(kind)
    except UnknownEntryError as error:
        raise InvalidDataError((Fault("$", str(error)),)) from error
    return structure(CONVERTER, data, record_class)


def _encode_tagged(registry: Registry[str, type], value: Any) -> bytes:
    name = next(name for name in registry if registry.find(name) is type(value))
    data = {"type": name, **CONVERTER.unstructure(value)}
    return dumps(data, separators=(",", ":")).encode()


def _decode_tagged(registry: Registry[str, type], body: bytes) -> Any:
    try:
        data = loads(body)
        kind = registry.find(data.pop("type"))
    except (ValueError, AttributeError, KeyError, UnknownEntryError) as error:
        raise InvalidDataError((Fault("$.type", str(error)),)) from error
    return structure(CONVERTER, data, kind)


def _structure_versioned(data: Any, _: type) -> VersionedRecord:
    key = CONVERTER.structure(data["key"], ObjectKey)
    return VersionedRecord(key, int(data["version"]), _take_record(key, data))


def _structure_put(data: Any, _: type) -> PutObject:
    key = CONVERTER.structure(data["key"], ObjectKey)
    return PutObject(key, _take_record(key, data), int(data["if_version"]))


def _take_record(key: ObjectKey, data: Any) -> Any:
    if data["record"] == DELETED.value:
        return DELETED
    return CONVERTER.structure(data["record"], RECORD_KINDS.find(key.kind))


def _build() -> Converter:
    converter = build_converter()
    converter.register_structure_hook(VersionedRecord, _structure_versioned)
    converter.register_structure_hook(PutObject, _structure_put)
    return converter


CONVERTER = _build()
