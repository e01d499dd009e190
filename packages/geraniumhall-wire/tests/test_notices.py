"""Tests of the decoders of what servers state in headers."""

import unittest

from geraniumhall_wire.notices import (
    InvalidNoticeError,
    parse_request_limit,
    parse_retry_after,
)

EPOCH = 1_800_000_000.0
INVALID_LIMITS = (b"", b"-1", b"nan", b"inf", b"1e3", b"1" * 400, b"2,5", b"2.5.1")


class RequestLimitTest(unittest.TestCase):
    """A limit is a decimal number, or the value is rejected."""

    def test_decimal_numbers(self) -> None:
        """Whole and fractional numbers are decoded, zero too."""
        for value, expected in ((b"2.5", 2.5), (b" 3 ", 3.0), (b"0", 0.0)):
            with self.subTest(value=value):
                self.assertEqual(parse_request_limit([value]), expected)

    def test_no_header(self) -> None:
        """Without the header no limit is stated."""
        self.assertIsNone(parse_request_limit([]))

    def test_smallest_of_several_applies(self) -> None:
        """A header that is there twice states the smaller limit."""
        self.assertEqual(parse_request_limit([b"4", b"2.5"]), 2.5)

    def test_invalid_values(self) -> None:
        """Every other value is rejected with a reason that names it."""
        for value in INVALID_LIMITS:
            with self.subTest(value=value), self.assertRaises(InvalidNoticeError):
                parse_request_limit([value])
        with self.assertRaisesRegex(InvalidNoticeError, "nan"):
            parse_request_limit([b"nan"])


class RetryAfterTest(unittest.TestCase):
    """A time to wait is in seconds or an HTTP date."""

    def test_seconds(self) -> None:
        """Seconds may have a fraction; the longest of several applies."""
        self.assertEqual(parse_retry_after([b"1.5"], EPOCH), 1.5)
        self.assertEqual(parse_retry_after([b"1", b"2"], EPOCH), 2.0)
        self.assertIsNone(parse_retry_after([], EPOCH))

    def test_date(self) -> None:
        """A date is compared with the time of the call; one in the past is zero."""
        date = b"Fri, 15 Jan 2027 08:00:07 GMT"
        self.assertEqual(parse_retry_after([date], EPOCH), 7.0)
        self.assertEqual(parse_retry_after([date], EPOCH + 60), 0.0)

    def test_invalid_values(self) -> None:
        """Any other value is rejected."""
        for value in (b"", b"-1", b"soon", b"nan", b"9" * 400, b"Fri, 99 Xxx 2027"):
            with self.subTest(value=value), self.assertRaises(InvalidNoticeError):
                parse_retry_after([value], EPOCH)
