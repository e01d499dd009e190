"""A stand-in for a plain service whose calls may not be repeated."""

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
    """The submissions that the service took, in order."""

    submissions: list[str] = attrs.field(factory=list)


@MODELS.register("service")
def build_service() -> ServiceModel:
    """Return a service without submissions."""
    return ServiceModel()


@BEHAVIOURS.register("service")
def serve_submission(state: StandInState, event: CallArrived) -> Iterator[Reply]:
    """Take a submission, and say its number and whose it is."""
    model: ServiceModel = state.model
    model.submissions.append(event.body.decode("latin-1"))
    answer = {"submission": len(model.submissions), "server": state.name}
    yield Reply.from_json(event.call_id, 200, answer, echo_attempt(event))
