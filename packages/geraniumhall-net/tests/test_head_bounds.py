"""Tests of the bound on the fields of response heads."""

import unittest

import trio
import trio.testing

from geraniumhall_net.client import ClientPool, ExchangeFailedError, fetch_response
from geraniumhall_net.head_bounds import MAX_HEAD_FIELDS, HeadBound
from geraniumhall_wire.heads import UpstreamRequest

OK = b"HTTP/1.1 200 OK\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\n"


def feed_all(data: bytes, size: int) -> bool:
    """Feed a bound in parts of a size; return whether all of them are within it."""
    bound = HeadBound()
    parts = [data[start:][:size] for start in range(0, len(data), size)]
    return all([bound.feed(part) for part in parts])


class HeadBoundTest(unittest.TestCase):
    """Only the fields before a body count, each head by itself."""

    def check(self, data: bytes, is_within: bool) -> None:
        """Check the verdict on a response, in parts of several sizes."""
        for size in (1, 7, len(data)):
            with self.subTest(size=size):
                self.assertEqual(feed_all(data, size), is_within)

    def test_number_of_fields(self) -> None:
        """A head may have as many fields as the bound, with either end of a line."""
        for end in (b"\r\n", b"\n"):
            fields = (b"a:" + end) * MAX_HEAD_FIELDS
            self.check(OK + fields + end, True)
            self.check(OK + fields + b"a:" + end, False)

    def test_body_does_not_count(self) -> None:
        """A body may have any number of lines."""
        self.check(OK + b"a: b\r\n\r\n" + b"x\n" * 3 * MAX_HEAD_FIELDS, True)

    def test_informational_heads_count_apart(self) -> None:
        """Each has a bound of its own, and the final head too."""
        fields = b"a:\r\n" * MAX_HEAD_FIELDS
        informational = EARLY_HINTS + fields + b"\r\n"
        self.check(informational * 3 + OK + fields + b"\r\n", True)
        self.check(informational + EARLY_HINTS + fields + b"a:\r\n", False)


class ExchangeTest(unittest.TestCase):
    """An answer with too many fields fails its exchange."""

    def test_head_of_very_many_fields(self) -> None:
        """Guards against heads that take a hundred times their bytes in memory."""
        answer = OK + b"a:\r\n" * 4000 + b"content-length: 0\r\n\r\n"

        async def connect(address: str) -> trio.abc.Stream:
            client_stream, server_stream = trio.testing.memory_stream_pair()
            await server_stream.send_all(answer)
            return client_stream

        async def test() -> None:
            request = UpstreamRequest(b"GET", b"/", (), b"")
            pool = ClientPool(connector=connect)
            with self.assertRaisesRegex(ExchangeFailedError, "fields"):
                await fetch_response(pool, "10.0.0.1:80", request, 1.0)

        trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    unittest.main()
