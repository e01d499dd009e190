"""A stand-in for a plain service whose calls must not be repeated."""

from collections.abc import Iterator

import attrs

from geraniumhall_bench.standins.model import (
    BEHAVIOURS,
    MODELS,
    CallArrived,
    Reply,
    StandInState,
    echo_attempt,
)


@attrs.define
class ServiceModel:
    """The submissions that the service accepted, oldest first."""

    submissions: list[str] = attrs.field(factory=list)


@MODELS.register("service")
def build_service() -> ServiceModel:
    """Return the initial state of a service."""
    return ServiceModel()


@BEHAVIOURS.register("service")
def serve_submission(state: StandInState, event: CallArrived) -> Iterator[Reply]:
    """Accept a submission and answer with its number and the server's name."""
    model: ServiceModel = state.model
    model.submissions.append(event.body.decode("latin-1"))
    answer = {"submission": len(model.submissions), "server": state.name}
    yield Reply.from_json(event.call_id, 200, answer, echo_attempt(event))
