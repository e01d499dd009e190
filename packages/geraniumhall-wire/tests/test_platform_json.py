"""Tests of the platform's JSON bodies."""

import unittest

from hypothesis import given, seed
from hypothesis import strategies as st

from geraniumhall_core.catalogue import BackendServer, Workspace
from geraniumhall_core.keys import KeyRecord
from geraniumhall_core.platform import (
    Changes,
    Conflict,
    DeleteObject,
    FetchWeights,
    GetObject,
    Listing,
    ListObjects,
    OrderServers,
    PlatformFailure,
    PutObject,
    ReportUsage,
    WatchObjects,
)
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.verdict import Verdict
from geraniumhall_wire.converter import InvalidDataError
from geraniumhall_wire.platform_json import (
    decode_answer,
    decode_message,
    encode_answer,
    encode_message,
)

KEY = ObjectKey("workspace", "audit")
WORKSPACE = Workspace(rate=1.0, burst=2.0, hosts=("h1", "h2"))
SERVER = BackendServer(address="1.2.3.4:5", failure_domain="a", entries=("draft",))
KEY_RECORD = KeyRecord.from_secret("audit", "salt", "secret")


class RoundTripTest(unittest.TestCase):
    """What is encoded is decoded to an equal value."""

    def test_messages(self) -> None:
        """Messages survive."""
        messages = (
            GetObject(KEY),
            PutObject(KEY, WORKSPACE, 3),
            PutObject(ObjectKey("server", "e1"), SERVER, 0),
            PutObject(ObjectKey("key", "k1"), KEY_RECORD, 0),
            DeleteObject(KEY, 4),
            ListObjects(("entry", "key")),
            WatchObjects(("entry",), 9, 2.0),
            OrderServers("o1", "a", "draft", 2, 7),
            ReportUsage("audit", 5, 1, 2, 3),
            FetchWeights("draft"),
        )
        for message in messages:
            with self.subTest(message=message):
                self.assertEqual(decode_message(encode_message(message)), message)

    def test_answers(self) -> None:
        """Answers survive, with deletions."""
        stored = VersionedRecord(KEY, 4, WORKSPACE)
        gone = VersionedRecord(KEY, 5, DELETED)
        answers = (
            Listing(9, (stored,)),
            Changes(9, (stored, gone)),
            Conflict(stored),
            Conflict(None),
            PlatformFailure("down", Verdict.NOT_RUN),
        )
        for answer in answers:
            with self.subTest(answer=answer):
                self.assertEqual(decode_answer(encode_answer(answer)), answer)

    @seed(20261204)
    @given(st.binary(max_size=100))
    def test_any_bytes_are_a_message_or_a_fault(self, body: bytes) -> None:
        """No body makes the decoder fail in another way."""
        try:
            decode_message(body)
        except InvalidDataError:
            return
        self.fail("random bytes were taken for a message")
