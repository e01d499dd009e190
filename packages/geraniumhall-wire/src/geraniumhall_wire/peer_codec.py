"""Protobuf form of the messages between daemons."""

from collections.abc import Callable
from json import dumps, loads
from typing import Any

from geraniumhall_core.peering import (
    BorrowAnswer,
    BorrowRequest,
    Member,
    MemberReport,
    PeerAnswer,
    PeerMessage,
    PullAnswer,
    PullRequest,
)
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.registry import Registry
from geraniumhall_wire import peer_pb2
from geraniumhall_wire.platform_json import decode_record, encode_record

NEVER_CONFIRMED = -1.0

ENCODERS: Registry[type, Callable[[Any], Any]] = Registry("peer encoder")
DECODERS: Registry[type, Callable[[Any], Any]] = Registry("peer decoder")


def encode_peer_message(message: PeerMessage) -> Any:
    """Return the protobuf form of a call."""
    return ENCODERS.find(type(message))(message)


def decode_peer_message(encoded: Any) -> PeerMessage:
    """Return the call in its protobuf form."""
    return DECODERS.find(type(encoded))(encoded)


def encode_peer_answer(answer: PeerAnswer) -> Any:
    """Return the protobuf form of an answer."""
    return ENCODERS.find(type(answer))(answer)


def decode_peer_answer(encoded: Any) -> PeerAnswer:
    """Return the answer in its protobuf form; raises `InvalidDataError`."""
    return DECODERS.find(type(encoded))(encoded)


@ENCODERS.register(PullRequest)
def encode_pull(message: PullRequest) -> Any:
    """Encode a pull."""
    sender = _encode_member(message.sender)
    return peer_pb2.PullRequest(sender=sender, revision=message.revision)


@DECODERS.register(peer_pb2.PullRequest)
def decode_pull(encoded: Any) -> PullRequest:
    """Decode a pull."""
    return PullRequest(_decode_member(encoded.sender), encoded.revision)


@ENCODERS.register(PullAnswer)
def encode_pull_answer(answer: PullAnswer) -> Any:
    """Encode the answer to a pull."""
    age = answer.confirmed_age
    return peer_pb2.PullAnswer(
        reports=[_encode_report(report) for report in answer.reports],
        revision=answer.revision,
        confirmed_age=NEVER_CONFIRMED if age is None else age,
        changes=[_encode_change(change) for change in answer.changes],
        is_full=answer.is_full,
    )


@DECODERS.register(peer_pb2.PullAnswer)
def decode_pull_answer(encoded: Any) -> PullAnswer:
    """Decode the answer to a pull."""
    age = encoded.confirmed_age
    return PullAnswer(
        reports=tuple(
            MemberReport(_decode_member(report.member), report.age)
            for report in encoded.reports
        ),
        revision=encoded.revision,
        confirmed_age=None if age < 0 else age,
        changes=tuple(_decode_change(change) for change in encoded.changes),
        is_full=encoded.is_full,
    )


@ENCODERS.register(BorrowRequest)
def encode_borrow(message: BorrowRequest) -> Any:
    """Encode a request for tokens."""
    return peer_pb2.BorrowRequest(
        borrower=message.borrower, workspace=message.workspace, amount=message.amount
    )


@DECODERS.register(peer_pb2.BorrowRequest)
def decode_borrow(encoded: Any) -> BorrowRequest:
    """Decode a request for tokens."""
    return BorrowRequest(encoded.borrower, encoded.workspace, encoded.amount)


@ENCODERS.register(BorrowAnswer)
def encode_loan(answer: BorrowAnswer) -> Any:
    """Encode tokens that were given up."""
    return peer_pb2.BorrowAnswer(amount=answer.amount, left=answer.left)


@DECODERS.register(peer_pb2.BorrowAnswer)
def decode_loan(encoded: Any) -> BorrowAnswer:
    """Decode tokens that were given up."""
    return BorrowAnswer(encoded.amount, encoded.left)


def _encode_member(member: Member) -> Any:
    return peer_pb2.Member(
        host=member.host,
        failure_domain=member.failure_domain,
        address=member.address,
        incarnation=member.incarnation,
        heartbeat=member.heartbeat,
        leaving=member.leaving,
        revision=member.revision,
    )


def _decode_member(encoded: Any) -> Member:
    return Member(
        host=encoded.host,
        failure_domain=encoded.failure_domain,
        address=encoded.address,
        incarnation=encoded.incarnation,
        heartbeat=encoded.heartbeat,
        leaving=encoded.leaving,
        revision=encoded.revision,
    )


def _encode_report(report: MemberReport) -> Any:
    return peer_pb2.MemberReport(member=_encode_member(report.member), age=report.age)


def _encode_change(change: VersionedRecord) -> Any:
    record = b""
    if change.record is not DELETED:
        record = dumps(encode_record(change.record)).encode()
    return peer_pb2.Change(
        kind=change.key.kind,
        name=change.key.name,
        version=change.version,
        record=record,
    )


def _decode_change(encoded: Any) -> VersionedRecord:
    key = ObjectKey(encoded.kind, encoded.name)
    if not encoded.record:
        return VersionedRecord(key, encoded.version, DELETED)
    record = decode_record(encoded.kind, loads(encoded.record))
    return VersionedRecord(key, encoded.version, record)
