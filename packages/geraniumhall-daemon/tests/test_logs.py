"""Tests of the log output: its limits, and a reader that stalls or closes."""

import os
import unittest
from json import loads
from typing import Any

from geraniumhall_daemon.logs import (
    BURST_LINES,
    MAX_BUFFERED_BYTES,
    MAX_TEXT_CHARACTERS,
    LogOutput,
)

LINE = {"time": "t", "level": "info", "event": "request_placed", "host": "h1"}


class LogOutputTest(unittest.TestCase):
    """Excess lines are dropped; writing never blocks or fails."""

    def setUp(self) -> None:
        """Log to a pipe, with a clock that the test sets."""
        self.reader, writer = os.pipe()
        self.now = 0.0
        self.output = LogOutput.from_descriptor(writer)
        self.output.read_now = lambda: self.now
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)

    def read_lines(self) -> list[dict[str, Any]]:
        """Read and return the lines in the pipe."""
        data = os.read(self.reader, 16 * MAX_BUFFERED_BYTES)
        return [loads(line) for line in data.split(b"\n")[:-1]]

    def test_line_is_one_json_object(self) -> None:
        """A line is written as one JSON object."""
        self.output.write_line({**LINE, "request": "r1"})
        self.assertEqual(self.read_lines(), [{**LINE, "request": "r1"}])

    def test_long_text_is_cut(self) -> None:
        """A caller's id of the length of a head doesn't make lines as long."""
        self.output.write_line({**LINE, "caller_id": "i" * 30_000, "cost": 10**40})
        [line] = self.read_lines()
        self.assertEqual(line["caller_id"], "i" * MAX_TEXT_CHARACTERS + "...")
        self.assertEqual(line["cost"], 10**40)

    def test_dropped_lines_are_counted(self) -> None:
        """The next line within the limit is preceded by the number dropped."""
        lines = []
        for _ in range(BURST_LINES + 500):
            self.output.write_line(LINE)
            if self.output.dropped == 0:
                lines += self.read_lines()
        self.now = 10.0
        self.output.write_line(LINE)
        lines += self.read_lines()
        dropped = [n for n in lines if n["event"] == "log_lines_dropped"]
        self.assertEqual([n["lines"] for n in dropped], [500])
        self.assertEqual(len(lines), BURST_LINES + 2)

    def test_stalled_reader_does_not_block(self) -> None:
        """The buffer for a slow reader is bounded; more lines are dropped."""
        wide = {**LINE, "reason": "x" * 4000}
        for second in range(60):
            self.now = 10.0 * second
            for _ in range(30):
                self.output.write_line(wide)
        self.assertGreater(self.output.dropped, 0)

    def test_closed_reader_is_ignored(self) -> None:
        """Writing to a pipe without a reader raises nothing."""
        reader, writer = os.pipe()
        os.close(reader)
        LogOutput.from_descriptor(writer).write_line(LINE)
        os.close(writer)
