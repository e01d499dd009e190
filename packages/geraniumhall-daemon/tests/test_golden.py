"""Comparison of a recorded session with its golden file.

The file holds all events but ticks with their effects, and the bytes at both
edges. ``GOLDEN_WRITE=1`` rewrites it after an intended change.
"""

import os
import unittest
from json import loads
from pathlib import Path

import trio
from session import KEY, SECRET, Session, build_chat, build_post, run_session

GOLDEN = Path(__file__).parent / "golden" / "session.jsonl"


async def make_calls(session: Session) -> None:
    """Make a streamed, a buffered and a service call, and two faulty ones."""
    await session.call(build_chat(stream=True))
    await session.call(build_chat())
    await session.call(build_post("/filings", b"report"))
    await session.call(build_chat(model="nope"))
    await session.call(build_post("/filings", KEY.encode()))
    await trio.sleep(1.5)


class GoldenSessionTest(unittest.TestCase):
    """A change of decisions or bytes shows as a difference from the file."""

    def test_session_equals_golden_file(self) -> None:
        """The session's lines equal the golden file."""
        lines = run_session(make_calls).recorder.lines
        if os.environ.get("GOLDEN_WRITE"):
            GOLDEN.write_text("\n".join(lines) + "\n")
        self.assertEqual(lines, GOLDEN.read_text().splitlines())

    def test_session_is_repeatable(self) -> None:
        """Two runs give the same lines."""
        first = run_session(make_calls).recorder.lines
        self.assertEqual(first, run_session(make_calls).recorder.lines)

    def test_no_key_goes_upstream_or_into_events(self) -> None:
        """The key appears only in what callers send."""
        for line in GOLDEN.read_text().splitlines():
            if not loads(line).get("edge", "").startswith("caller received"):
                self.assertNotIn(SECRET, line)
