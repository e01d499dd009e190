"""Tests of callers' requests."""

import unittest
from typing import Any

from geraniumhall_core.requests import (
    MAX_SHOWN_CHARACTERS,
    MAX_SHOWN_PARTS,
    CallerRequest,
    ModelTarget,
    PathTarget,
    PromptPart,
)

PARTS = tuple(PromptPart(str(number), 1) for number in range(1000))


def build_request(target: ModelTarget | PathTarget, **fields: Any) -> CallerRequest:
    """Return a request for a target."""
    return CallerRequest(request_id="r1", target=target, **fields)


class ShortenTest(unittest.TestCase):
    """What is kept of a request for operators is bounded."""

    def test_short_request_is_kept_as_it_is(self) -> None:
        """It isn't copied either."""
        request = build_request(PathTarget("/filings", "a"), parts=PARTS[:3])
        self.assertIs(request.shorten(), request)

    def test_long_names_are_cut(self) -> None:
        """Whatever the request is addressed by, and its caller's id."""
        name = "x" * 10_000
        for target in (ModelTarget(name), PathTarget(name, name)):
            request = build_request(target, caller_id=name).shorten()
            self.assertLessEqual(len(repr(request)), 4 * MAX_SHOWN_CHARACTERS + 400)

    def test_first_parts_are_kept(self) -> None:
        """Those are what other requests share."""
        request = build_request(PathTarget("/filings"), parts=PARTS)
        self.assertEqual(request.shorten().parts, PARTS[:MAX_SHOWN_PARTS])


if __name__ == "__main__":
    unittest.main()
