"""Tests of request timelines built from logs."""

import unittest
from json import dumps
from typing import Any

from geraniumhall_cli.explanations import explain_request


def build_line(second: float, event: str, host: str = "h1", **fields: Any) -> str:
    """Return a line of a daemon's log."""
    time = f"2026-12-04T10:00:{second:06.3f}+00:00"
    return dumps({"time": time, "level": "info", "event": event, "host": host} | fields)


FAILED = build_line(
    10.5,
    "attempt_failed",
    request="h1-7",
    attempt=1,
    server="e1",
    outcome="broken",
    reason="reset",
    verdict="may_have_run",
)
GIVEN_UP = build_line(
    10.6,
    "request_failed",
    request="h1-7",
    caller_id="c3f0",
    entry="draft",
    code="upstream_failed",
    reason="the backend server failed",
    verdict="may_have_run",
    attempts=1,
)


PLACED = {
    "request": "h1-7",
    "caller_id": "c3f0",
    "server": "e1",
    "reads_ahead": True,
    "unread_tokens": 900,
    "own_waiting": 0,
    "foreign_waiting": 40,
    "running": 2,
    "waited": 0.0,
    "expected": 0.1,
}


class TimelineTest(unittest.TestCase):
    """The events of one request are formatted in order of time."""

    def test_held_part_is_named_with_its_crashes(self) -> None:
        """A refusal for a held part shows the part and the engines that ended."""
        hold = build_line(
            9.9,
            "part_held",
            part="5c1e07a2",
            number=1,
            seconds=15.0,
            reason="crashes",
            trial_host="",
            crashes="e1 e2",
            evidence_age=0.4,
            learned_from="own evidence",
        )
        refused = build_line(
            10.0,
            "request_refused",
            request="h1-9",
            caller_id="c9",
            code="part_held",
            reason="part '5c1e07a2' of the prompt is held",
            catalogue_age=0.1,
        )
        stories = [line.story for line in explain_request([refused, hold], "c9")]
        self.assertIn("servers that ended under it: e1 e2", stories[0])
        self.assertIn("refused, part_held", stories[1])

    def test_refusal_by_what_servers_state_is_explained(self) -> None:
        """The limit, the leaving and the wish to wait stand before the refusal."""
        limit = build_line(
            9.0,
            "server_limit_learned",
            server="e1",
            limit=2.4,
            before="none",
            seen_by="h2",
            learned_from="h3",
            number=1,
            age=0.2,
        )
        leaving = build_line(9.1, "server_leaving", server="e2", learned_from="h2")
        closed = build_line(9.2, "server_closed", server="e3", seconds=1.5)
        refused = build_line(
            10.0,
            "request_refused",
            request="h1-9",
            caller_id="c9",
            code="servers_restricted",
            reason="no server of 's' is open to this host",
            catalogue_age=0.1,
        )
        lines = [refused, limit, leaving, closed]
        stories = [line.story for line in explain_request(lines, "c9")]
        self.assertIn("e1 takes 2.4 requests a second", stories[0])
        self.assertIn("seen by h2, known from h3", stories[0])
        self.assertIn("e2 is leaving", stories[1])
        self.assertIn("e3 wants nothing of this host for 1.5 s", stories[2])
        self.assertIn("refused, servers_restricted", stories[3])

    def test_refusal_for_lack_of_room_is_explained(self) -> None:
        """The estimate and the reports that it rests on stand beside the refusal."""
        decided = build_line(
            10.0,
            "admission_decided",
            request="h1-9",
            caller_id="c9",
            outcome="refuse",
            server="e1",
            room_in=0.0,
            first_in=2.1,
            last_in=4.3,
            time_left=3.9,
            running=70,
            reporting_hosts=16,
            other_hosts=79,
        )
        story = explain_request([decided], "c9")[0].story
        self.assertIn("the last 4.3 s after it is sent, 3.9 s left", story)
        self.assertIn("the reports of 16 of 79 other hosts", story)

    def test_lines_come_in_order(self) -> None:
        """Events are sorted by time, whatever their order in the log."""
        timeline = explain_request([GIVEN_UP, FAILED], "c3f0")
        self.assertEqual([line.after for line in timeline], [0.0, 0.1])
        self.assertIn("attempt 1 on e1 failed, broken: reset", timeline[0].story)

    def test_daemons_id_gives_the_same_timeline(self) -> None:
        """The daemon's id and the caller's id give the same timeline."""
        lines = [FAILED, GIVEN_UP]
        self.assertEqual(explain_request(lines, "h1-7"), explain_request(lines, "c3f0"))

    def test_host_events_are_included(self) -> None:
        """A feed lost on the request's host is included, on another host it is not."""
        lost = {"feed": "servers", "reason": "no answer"}
        lines = [
            build_line(9.0, "feed_lost", **lost),
            build_line(9.1, "feed_lost", host="h2", **lost),
            FAILED,
            GIVEN_UP,
        ]
        timeline = explain_request(lines, "c3f0")
        self.assertEqual([line.host for line in timeline], ["h1", "h1", "h1"])
        self.assertIn("the feed servers was lost: no answer", timeline[0].story)

    def test_placement_says_who_reported(self) -> None:
        """The work of other hosts comes with the number of hosts that reported it."""
        line = build_line(
            1.0, "request_placed", **PLACED, reporting_hosts=16, other_hosts=78
        )
        story = explain_request([line], "c3f0")[0].story
        self.assertIn("40 of others (reported by 16 of 78 hosts),", story)

    def test_placement_by_kept_prompt(self) -> None:
        """The kept tokens, a fetch, the price of a copy and the speed are shown."""
        line = build_line(
            1.0,
            "request_placed",
            **PLACED,
            kept_tokens=5400,
            fetches_from="e2",
            copy_price=0.02,
            read_speed=0.7,
            decode_speed=1.1,
            failing=0.0,
        )
        story = explain_request([line], "c3f0")[0].story
        self.assertIn("keeps 5400 tokens after a fetch from e2, another copy", story)
        self.assertIn("0.7 times as fast in prefill and 1.1 in decode", story)

    def test_placement_of_an_older_log(self) -> None:
        """A line without the number of reporting hosts is formatted without it."""
        line = build_line(1.0, "request_placed", **PLACED)
        self.assertIn("40 of others, 2 req", explain_request([line], "c3f0")[0].story)

    def test_unknown_request(self) -> None:
        """A request that no line mentions has an empty timeline."""
        self.assertEqual(explain_request([FAILED], "other"), [])

    def test_other_lines_are_skipped(self) -> None:
        """Text before a log record is ignored, and lines without one are skipped."""
        lines = ["starting", "{", '{"a": 1}', f"10.5 h1 {FAILED}"]
        self.assertEqual(len(explain_request(lines, "h1-7")), 1)

    def test_event_without_formatter(self) -> None:
        """An event without a formatter is shown by its fields."""
        line = build_line(1.0, "request_paused", request="h1-7", server="e1")
        self.assertEqual(explain_request([line], "h1-7")[0].story, "server e1")
