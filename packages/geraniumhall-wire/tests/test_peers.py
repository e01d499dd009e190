"""Tests of the datagrams between hosts."""

import unittest

from hypothesis import given, seed
from hypothesis import strategies as st

from geraniumhall_core.catalogue import BackendServer
from geraniumhall_core.copies import CopyAnswer, CopyProof, CopyQuery, HeldCopy
from geraniumhall_core.loans import Loan, LoanRequest
from geraniumhall_core.notices import Incarnation
from geraniumhall_core.orders import ServerRole
from geraniumhall_core.parts import (
    CrashId,
    CrashReport,
    PartCrash,
    PartHold,
    PartReport,
    SuspectedPart,
)
from geraniumhall_core.peers import PeerMessage
from geraniumhall_core.platform import Feed
from geraniumhall_core.prefixes import PartUse, PromptUse
from geraniumhall_core.records import DELETED, ObjectKey, VersionedRecord
from geraniumhall_core.reports import LoadReport, ServerWork
from geraniumhall_core.restrictions import (
    Grant,
    GrantRequest,
    LimitStatement,
    ReportedLimit,
    RestrictionReport,
)
from geraniumhall_core.revisions import Revision
from geraniumhall_core.speeds import SpeedSample
from geraniumhall_core.summaries import WorkSummary
from geraniumhall_wire.converter import InvalidDataError
from geraniumhall_wire.peers import (
    MESSAGE_NAMES,
    decode_peer_message,
    decode_question,
    encode_peer_message,
)

SERVER_KEY = ObjectKey("registered_server", "e1")
SERVER = BackendServer(
    address="10.0.0.9:80",
    failure_domain="a",
    service="draft",
    started_at=7 << 40,
    role=ServerRole.DECODE,
    leaving=True,
)
WORK = (ServerWork("e1", 3, 900), ServerWork("e2", 1, 0))
MESSAGES: tuple[PeerMessage, ...] = (
    LoadReport(host="h1", incarnation=7 << 40, sequence=5, work=WORK),
    LoadReport(host="h1", incarnation=1, sequence=1),
    LoadReport(
        host="h1",
        incarnation=1,
        sequence=2,
        uses=(PromptUse("e1", (PartUse(7, 900), PartUse(2**32 - 1, 40))),),
    ),
    LoadReport(
        host="h1",
        incarnation=1,
        sequence=3,
        speeds=(SpeedSample("e1", 85, 47_000), SpeedSample("e2", has_failed=True)),
    ),
    WorkSummary(
        host="h1",
        incarnation=7 << 40,
        sequence=3,
        failure_domain="a",
        hosts=28,
        index=1,
        count=2,
        work=WORK,
        uses=(PromptUse("e1", (PartUse(7, 900),)),),
        speeds=(SpeedSample("e1", 85, 47_000),),
    ),
    LoanRequest(
        host="h1", address="10.0.0.1:7", workspace="audit", amount=5.5, number=2
    ),
    Loan(host="h2", workspace="audit", amount=0.0, number=2),
    PartReport(
        host="h1",
        part="ac01a163ee97",
        crashes=(PartCrash(server="e1", incarnation=7, host="h2", follows=True),),
        hold=PartHold(number=2, seconds=30.0, source="crashes", trial_host="h2"),
        refuted=(CrashId("e2", 8),),
        released=1,
    ),
    PartReport(host="h1", part="p-1", hold=PartHold()),
    CrashReport(
        host="h1",
        server="e1",
        incarnation=7 << 40,
        suspects=(
            SuspectedPart(part="ac01a163ee97", position=3, follows=True),
            SuspectedPart(part="p-1", was_sound=True),
        ),
    ),
    RestrictionReport(
        host="h1",
        limits=(
            ReportedLimit(
                LimitStatement(
                    source=Incarnation("e1", 7 << 40), rate=2.5, number=3, host="h2"
                ),
                0.25,
            ),
            ReportedLimit(
                LimitStatement(
                    source=Incarnation("e2", 1), rate=None, number=1, host="h1"
                ),
                1.0,
            ),
        ),
        leaving=(Incarnation("e3", 7),),
        address="10.0.0.1:7",
    ),
    RestrictionReport(host="h1"),
    GrantRequest(
        host="h1", address="10.0.0.1:7", servers=(Incarnation("e1", 7),), number=2
    ),
    Grant(host="h2", source=Incarnation("e1", 7), number=2),
    Grant(host="h2", source=None, number=2),
    CopyQuery(
        host="h1",
        incarnation=7 << 40,
        address="10.0.0.1:7",
        number=3,
        copies=(HeldCopy(Feed.SERVERS, Revision(1, 700)),),
    ),
    CopyAnswer(
        host="h2",
        incarnation=7 << 40,
        number=3,
        proofs=(
            CopyProof(
                feed=Feed.SERVERS,
                revision=Revision(1, 702),
                changed_at=Revision(1, 701),
                age=0.25,
                after=Revision(1, 699),
                changes=(
                    VersionedRecord(SERVER_KEY, Revision(1, 700), SERVER),
                    VersionedRecord(SERVER_KEY, Revision(1, 701), DELETED),
                ),
            ),
        ),
    ),
    CopyAnswer(host="h2", incarnation=1, number=1, proofs=()),
)


class PeerMessageTest(unittest.TestCase):
    """A datagram is decoded into a message or rejected."""

    def test_round_trip(self) -> None:
        """Each message is decoded as it was encoded."""
        for message in MESSAGES:
            with self.subTest(message=message):
                self.assertEqual(
                    decode_peer_message(encode_peer_message(message)), message
                )

    def test_every_message_type_is_covered(self) -> None:
        """The messages of this test cover every type."""
        self.assertEqual({type(m) for m in MESSAGES}, set(MESSAGE_NAMES))

    def test_part_name_of_other_characters_is_rejected(self) -> None:
        """A part's name is used in logs and as a key, so it is checked."""
        suspects = (SuspectedPart(part="../x"),)
        crash = CrashReport(host="h1", server="e1", incarnation=1, suspects=suspects)
        with self.assertRaises(InvalidDataError):
            decode_peer_message(encode_peer_message(crash))
        data = encode_peer_message(PartReport(host="h1", part="../x"))
        with self.assertRaises(InvalidDataError):
            decode_peer_message(data)

    def test_report_is_small(self) -> None:
        """A load report needs less than 20 bytes per server."""
        size = len(encode_peer_message(MESSAGES[0])) - len(
            encode_peer_message(MESSAGES[1])
        )
        self.assertLess(size, 2 * 20)

    def test_reported_prompt_is_small(self) -> None:
        """A prompt of two parts needs less than 32 bytes in a report."""
        size = len(encode_peer_message(MESSAGES[2])) - len(
            encode_peer_message(MESSAGES[1])
        )
        self.assertLess(size, 32)

    def test_reported_speed_is_small(self) -> None:
        """What two attempts showed needs less than 10 bytes each in a report."""
        size = len(encode_peer_message(MESSAGES[3])) - len(
            encode_peer_message(MESSAGES[1])
        )
        self.assertLess(size, 2 * 10)

    def test_speeds_out_of_range_are_rejected(self) -> None:
        """An absurd rate or pause would distort what counts as usual."""
        for sample in (
            SpeedSample("e1", -1),
            SpeedSample("e1", 10**6),
            SpeedSample("e1", 0, -1),
            SpeedSample("e1", 0, 10**9),
        ):
            report = LoadReport(host="h1", incarnation=1, sequence=1, speeds=(sample,))
            with self.subTest(sample=sample), self.assertRaises(InvalidDataError):
                decode_peer_message(encode_peer_message(report))

    def test_negative_token_counts_are_rejected(self) -> None:
        """A part of fewer than no tokens would let a cache grow without a bound."""
        use = PromptUse("e1", (PartUse(7, -1),))
        report = LoadReport(host="h1", incarnation=1, sequence=1, uses=(use,))
        with self.assertRaises(InvalidDataError):
            decode_peer_message(encode_peer_message(report))

    def test_amounts_must_be_finite_and_not_negative(self) -> None:
        """A loan of a negative, infinite or undefined amount is rejected."""
        for amount in (-1.0, float("nan"), float("inf")):
            loan = Loan(host="h", workspace="w", amount=amount, number=1)
            with self.subTest(amount=amount), self.assertRaises(InvalidDataError):
                decode_peer_message(encode_peer_message(loan))

    def test_question_is_all_that_is_read_of_a_stranger(self) -> None:
        """What it states of servers is left out."""
        leaving = (Incarnation("e1", 7),)
        report = RestrictionReport(host="h", leaving=leaving, address="10.0.0.9:1")
        question = decode_question(encode_peer_message(report), "10.0.0.9:1")
        self.assertEqual(question, RestrictionReport(host="h", address="10.0.0.9:1"))

    def test_question_is_answered_to_its_sender_only(self) -> None:
        """Another address would be sent what it did not ask for."""
        report = RestrictionReport(host="h", address="10.0.0.8:1")
        with self.assertRaises(InvalidDataError):
            decode_question(encode_peer_message(report), "10.0.0.9:1")

    def test_other_messages_are_no_questions(self) -> None:
        """No other kind of message of a stranger is read."""
        for message in MESSAGES:
            if isinstance(message, RestrictionReport):
                continue
            data = encode_peer_message(message)
            with self.subTest(message=message), self.assertRaises(InvalidDataError):
                decode_question(data, "10.0.0.9:1")

    @seed(20261207)
    @given(st.binary(max_size=512))
    def test_any_bytes_are_no_question(self, data: bytes) -> None:
        """Arbitrary bytes raise no other exception."""
        with self.assertRaises(InvalidDataError):
            decode_question(data, "10.0.0.9:1")

    def test_nested_lists_are_no_question(self) -> None:
        """Neither lists that are too deep nor those that break off."""
        for data in (b"\x91" * 512, b"\x93\x01" * 200, b"\xdd\xff\xff\xff\xff"):
            with self.subTest(data=data[:9]), self.assertRaises(InvalidDataError):
                decode_question(data, "10.0.0.9:1")

    @seed(20261204)
    @given(st.binary(max_size=80))
    def test_any_bytes_decode_or_raise_invalid_data(self, data: bytes) -> None:
        """Arbitrary bytes raise no other exception."""
        try:
            decode_peer_message(data)
        except InvalidDataError as error:
            self.assertTrue(error.violations)

    @seed(20261204)
    @given(st.integers(0, 200), st.integers(0, 255))
    def test_corrupted_datagram_decodes_or_raises_invalid_data(
        self, place: int, value: int
    ) -> None:
        """A datagram with a corrupted byte raises no other exception."""
        data = bytearray(encode_peer_message(MESSAGES[0]))
        data[place % len(data)] = value
        try:
            decode_peer_message(bytes(data))
        except InvalidDataError as error:
            self.assertTrue(error.violations)
