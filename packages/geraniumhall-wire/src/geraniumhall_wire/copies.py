"""Encoding of the messages that prove copies of the store, for datagrams.

Feeds are named by their values and revisions are lists of era and number. Records
are encoded as in the store, and a deleted one is nil.
"""

from typing import Any

from geraniumhall_core.copies import CopyAnswer, CopyProof, CopyQuery, HeldCopy
from geraniumhall_core.platform import Feed
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.revisions import Revision
from geraniumhall_wire.records import decode_record, encode_record

MAX_AGE_SECONDS = 1e9  # of a copy that was never confirmed


def encode_copy_query(query: CopyQuery) -> list[Any]:
    """Encode the fields of a question."""
    copies = [
        [held.feed.value, _encode_revision(held.revision)] for held in query.copies
    ]
    return [query.host, query.incarnation, query.address, query.number, copies]


def decode_copy_query(fields: list[Any]) -> CopyQuery:
    """Decode a question; raises what the decoder of datagrams expects."""
    host, incarnation, address, number, copies = fields
    return CopyQuery(
        host=str(host),
        incarnation=int(incarnation),
        address=str(address),
        number=int(number),
        copies=tuple(
            HeldCopy(Feed(feed), _decode_revision(revision))
            for feed, revision in copies
        ),
    )


def encode_copy_answer(answer: CopyAnswer) -> list[Any]:
    """Encode the fields of an answer."""
    proofs = [_encode_proof(proof) for proof in answer.proofs]
    return [answer.host, answer.incarnation, answer.number, proofs]


def decode_copy_answer(fields: list[Any]) -> CopyAnswer:
    """Decode an answer; raises what the decoder of datagrams expects."""
    host, incarnation, number, proofs = fields
    return CopyAnswer(
        host=str(host),
        incarnation=int(incarnation),
        number=int(number),
        proofs=tuple(_decode_proof(*proof) for proof in proofs),
    )


def _encode_proof(proof: CopyProof) -> list[Any]:
    return [
        proof.feed.value,
        _encode_revision(proof.revision),
        _encode_revision(proof.changed_at),
        min(proof.age, MAX_AGE_SECONDS),
        _encode_revision(proof.after),
        [_encode_change(change) for change in proof.changes],
    ]


def _decode_proof(
    feed: Any, revision: Any, changed_at: Any, age: Any, after: Any, changes: Any
) -> CopyProof:
    seconds = float(age)
    if not 0.0 <= seconds <= MAX_AGE_SECONDS:
        raise ValueError(f"age {seconds!r}, expected 0 to {MAX_AGE_SECONDS:.0f} s")
    return CopyProof(
        feed=Feed(feed),
        revision=_decode_revision(revision),
        changed_at=_decode_revision(changed_at),
        age=seconds,
        after=_decode_revision(after),
        changes=tuple(_decode_change(*change) for change in changes),
    )


def _encode_change(change: VersionedRecord) -> list[Any]:
    record = None if change.record is DELETED else encode_record(change.record)
    version = _encode_revision(change.version)
    return [change.key.kind, change.key.name, version, record]


def _decode_change(kind: Any, name: Any, version: Any, data: Any) -> VersionedRecord:
    record = DELETED if data is None else decode_record(str(kind), data)
    key = ObjectKey(str(kind), str(name))
    return VersionedRecord(key, _decode_revision(version), record)


def _encode_revision(revision: Revision) -> list[int]:
    return [revision.era, revision.number]


def _decode_revision(data: Any) -> Revision:
    era, number = data
    if int(era) < 0 or int(number) < 0:
        raise ValueError(f"revision {data!r}, expected two numbers >= 0")
    return Revision(int(era), int(number))
