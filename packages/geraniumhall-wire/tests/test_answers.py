"""Tests of answer scanners."""

import unittest

from geraniumhall_wire.scanners import ScanResult, choose_scanner

USAGE = b'data: {"usage":{"prompt_tokens":7,"completion_tokens":2}}\n\n'
TOKEN = b'data: {"choices":[]}\n\n'
END = b"data: [DONE]\n\n"


def scan_chunks(*chunks: bytes, kind: bytes = b"text/event-stream") -> ScanResult:
    """Return what a scanner finds in chunks."""
    scanner = choose_scanner(kind, is_model_call=True)
    for chunk in chunks:
        scanner.feed(chunk)
    return scanner.finish()


class StreamScannerTest(unittest.TestCase):
    """A stream is whole with its end marker only."""

    def test_usage_is_read(self) -> None:
        """The usage event gives the counts."""
        self.assertEqual(scan_chunks(TOKEN, TOKEN, USAGE, END), ScanResult(True, 7, 2))

    def test_usage_split_over_chunks(self) -> None:
        """The usage may arrive in pieces."""
        whole = TOKEN + USAGE + END
        pieces = [whole[n : n + 5] for n in range(0, len(whole), 5)]
        self.assertEqual(scan_chunks(*pieces), ScanResult(True, 7, 2))

    def test_missing_end(self) -> None:
        """Without the end marker the answer is not whole."""
        self.assertFalse(scan_chunks(TOKEN, USAGE).is_complete)

    def test_marker_within_text_is_no_end(self) -> None:
        """Only a marker at the very end counts."""
        self.assertFalse(scan_chunks(END, TOKEN).is_complete)

    def test_events_are_counted_without_usage(self) -> None:
        """Without a report the events but the last are the tokens."""
        self.assertEqual(scan_chunks(TOKEN, TOKEN, END), ScanResult(True, 0, 2))


class BodyScannerTest(unittest.TestCase):
    """Whole answers carry their usage."""

    def test_usage_is_read(self) -> None:
        """The usage object gives the counts."""
        body = b'{"usage":{"prompt_tokens":3,"completion_tokens":4}}'
        result = scan_chunks(
            body[:9], body[9:], kind=b"application/json; charset=utf-8"
        )
        self.assertEqual(result, ScanResult(True, 3, 4))

    def test_other_bodies_pass(self) -> None:
        """A body without usage is whole and counts nothing."""
        result = scan_chunks(b"[1]", kind=b"application/json")
        self.assertEqual(result, ScanResult(True))
