"""A whole session against its golden file.

The file holds every event with its effects, and the bytes at both edges.
``GOLDEN_WRITE=1`` writes it anew, for a change that is meant.
"""

import os
import unittest
from json import loads
from pathlib import Path

import trio
from session import KEY, SECRET, Session, build_chat, build_post, run_session

GOLDEN = Path(__file__).parent / "golden" / "session.jsonl"


async def make_calls(session: Session) -> None:
    """Make a streamed, a whole and a plain call, and be refused twice."""
    await session.call(build_chat(stream=True))
    await session.call(build_chat())
    await session.call(build_post("/filings", b"report"))
    await session.call(build_chat(model="nope"))
    await session.call(build_post("/filings", KEY.encode()))
    await trio.sleep(1.5)


class GoldenSessionTest(unittest.TestCase):
    """Decisions and bytes stay as they are."""

    def test_session_equals_golden_file(self) -> None:
        """Every line equals the golden file's."""
        lines = run_session(make_calls).recorder.lines
        if os.environ.get("GOLDEN_WRITE"):
            GOLDEN.write_text("\n".join(lines) + "\n")
        self.assertEqual(lines, GOLDEN.read_text().splitlines())

    def test_session_is_repeatable(self) -> None:
        """A second run gives the same lines."""
        first = run_session(make_calls).recorder.lines
        self.assertEqual(first, run_session(make_calls).recorder.lines)

    def test_no_key_goes_upstream_or_into_events(self) -> None:
        """The key crosses the caller's edge only."""
        for line in GOLDEN.read_text().splitlines():
            if not loads(line).get("edge", "").startswith("caller received"):
                self.assertNotIn(SECRET, line)
