"""Tests of response scanners."""

import unittest

from geraniumhall_wire.scanners import EventScanner, ScanResult, choose_scanner

USAGE = b'data: {"usage":{"prompt_tokens":7,"completion_tokens":2}}\n\n'
TOKEN = b'data: {"choices":[]}\n\n'
END = b"data: [DONE]\n\n"


def scan_chunks(*chunks: bytes, kind: bytes = b"text/event-stream") -> ScanResult:
    """Scan a response that arrives in these chunks."""
    scanner = choose_scanner(kind, is_model_call=True)
    for chunk in chunks:
        scanner.feed(chunk)
    return scanner.finish()


class EventScannerTest(unittest.TestCase):
    """A stream is complete if it ends after an event."""

    def scan(self, *chunks: bytes, needs_event: bool = False) -> bool:
        """Return whether a stream of these chunks is complete."""
        scanner = EventScanner(needs_event)
        for chunk in chunks:
            scanner.feed(chunk)
        return scanner.finish().is_complete

    def test_end_of_an_event_in_pieces(self) -> None:
        """The end of the last event may arrive in several chunks."""
        for end in (b"\n\n", b"\r\n\r\n", b"\r\r"):
            with self.subTest(end=end):
                pieces = [end[i : i + 1] for i in range(len(end))]
                self.assertTrue(self.scan(b"data: a", *pieces))
                self.assertFalse(self.scan(b"data: a", *pieces[:-1]))

    def test_stream_without_events(self) -> None:
        """Only the framing can say that an empty stream is complete."""
        self.assertTrue(self.scan())
        self.assertFalse(self.scan(needs_event=True))


class StreamScannerTest(unittest.TestCase):
    """A stream is complete only with its end marker."""

    def test_usage_is_read(self) -> None:
        """The token counts are taken from the usage event."""
        self.assertEqual(scan_chunks(TOKEN, TOKEN, USAGE, END), ScanResult(True, 7, 2))

    def test_usage_split_over_chunks(self) -> None:
        """A usage event that is split over chunks is parsed."""
        whole = TOKEN + USAGE + END
        pieces = [whole[n : n + 5] for n in range(0, len(whole), 5)]
        self.assertEqual(scan_chunks(*pieces), ScanResult(True, 7, 2))

    def test_missing_end(self) -> None:
        """A stream without the end marker is incomplete."""
        self.assertFalse(scan_chunks(TOKEN, USAGE).is_complete)

    def test_marker_within_text_is_no_end(self) -> None:
        """An end marker that is followed by more data does not count."""
        self.assertFalse(scan_chunks(END, TOKEN).is_complete)

    def test_events_are_counted_without_usage(self) -> None:
        """Without a usage event each event but the end marker counts as a token."""
        self.assertEqual(scan_chunks(TOKEN, TOKEN, END), ScanResult(True, 0, 2))


class BodyScannerTest(unittest.TestCase):
    """A JSON response carries its usage."""

    def test_usage_is_read(self) -> None:
        """The token counts are taken from the usage object."""
        body = b'{"usage":{"prompt_tokens":3,"completion_tokens":4}}'
        result = scan_chunks(
            body[:9], body[9:], kind=b"application/json; charset=utf-8"
        )
        self.assertEqual(result, ScanResult(True, 3, 4))

    def test_other_bodies_pass(self) -> None:
        """A body without usage is complete and has zero counts."""
        result = scan_chunks(b"[1]", kind=b"application/json")
        self.assertEqual(result, ScanResult(True))
