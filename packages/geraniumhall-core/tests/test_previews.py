"""Tests of the preview of where a request would go."""

import unittest

import attrs
from builders import build_arrival, build_state, find_effect, reduce

from geraniumhall_core.admin import InvalidRecord, PlacementPreview, PreviewPlacement
from geraniumhall_core.effects import AnswerAdmin, RelayRequest
from geraniumhall_core.events import AdminCalled
from geraniumhall_core.handlers.previews import PREVIEW_DRAWS
from geraniumhall_core.requests import PromptPart
from geraniumhall_core.state import DaemonState


def preview(state: DaemonState, entry: str = "draft") -> PlacementPreview:
    """Return the preview of a request with a prompt of two parts."""
    command = PreviewPlacement(
        entry=entry,
        workspace="audit",
        prompt_tokens=900,
        parts=(PromptPart("shared", 800), PromptPart("own", 100)),
    )
    effects = reduce(state, AdminCalled(at=2.0, call_id=1, command=command))
    answer = find_effect(effects, AnswerAdmin).answer
    assert isinstance(answer, PlacementPreview)
    return answer


class PreviewTest(unittest.TestCase):
    """A preview tells the decision and changes nothing."""

    def test_it_names_the_server_that_the_request_gets(self) -> None:
        """A request that arrives at once goes where the preview said."""
        state = build_state()
        told = preview(state)
        arrival = attrs.evolve(build_arrival(), draws=PREVIEW_DRAWS)
        effects = reduce(state, arrival)
        self.assertEqual(told.outcome, "admit")
        self.assertEqual(find_effect(effects, RelayRequest).server, told.server)

    def test_nothing_is_counted_or_sent(self) -> None:
        """Requests, work at servers, counters and the rotation stay as they were."""
        state = build_state()
        before = (dict(state.counters), state.round_robin_index, len(state.requests))
        preview(state)
        after = (dict(state.counters), state.round_robin_index, len(state.requests))
        self.assertEqual(after, before)
        self.assertFalse([load for load in state.loads.values() if load.outstanding])

    def test_candidates_tell_why_they_are_left_out(self) -> None:
        """A server that is suspended after a failure is listed with the reason."""
        state = build_state()
        name = preview(state).server
        state.get_load(name).record_failure(2.0, 0.5, 15.0)
        told = {item.server: item.left_out for item in preview(state).candidates}
        self.assertEqual(told[name], "suspended after 1 failures")
        self.assertNotEqual(preview(state).server, name)

    def test_an_unknown_entry_is_named(self) -> None:
        """The answer tells which field is wrong."""
        command = PreviewPlacement(entry="nothing")
        effects = reduce(build_state(), AdminCalled(at=2.0, call_id=1, command=command))
        answer = find_effect(effects, AnswerAdmin).answer
        self.assertIsInstance(answer, InvalidRecord)
        self.assertEqual(answer.path, "$.entry")


if __name__ == "__main__":
    unittest.main()
