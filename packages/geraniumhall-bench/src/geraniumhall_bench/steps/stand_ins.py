"""Steps that inject faults into stand-ins and check what these received."""

from json import loads
from typing import Any

import attrs

from geraniumhall_bench.scenario import STEPS, ExpectationError, RunContext
from geraniumhall_bench.steps.common import check_equal, control_stand_in


@STEPS.register("fault")
@attrs.frozen(kw_only=True)
class InjectFaults:
    """Replace the faults that are injected into a stand-in; none clears them."""

    at: str
    faults: tuple[dict[str, Any], ...] = ()

    async def run(self, context: RunContext) -> None:
        """Send the faults to the stand-in."""
        await control_stand_in(context, self.at, "POST", "faults", list(self.faults))


@STEPS.register("control")
@attrs.frozen(kw_only=True)
class ControlStandIn:
    """Use a control of a stand-in, such as `copy` or `rewind` of the platform."""

    at: str
    call: str

    async def run(self, context: RunContext) -> None:
        """Make the call to the stand-in's control API."""
        await control_stand_in(context, self.at, "POST", self.call)


@STEPS.register("expect_calls")
@attrs.frozen(kw_only=True)
class ExpectCalls:
    """Check the number of calls that a stand-in received.

    Only calls whose path begins with `path` and whose body contains `body` are
    counted. The values of the variables in `without` must not occur in any call.
    """

    at: str
    path: str = ""
    body: str = ""
    count: int | None = None
    at_least: int | None = None
    without: tuple[str, ...] = ()

    async def run(self, context: RunContext) -> None:
        """Read the stand-in's log and check the calls in it."""
        response = await control_stand_in(context, self.at, "GET", "log")
        calls = [c for c in loads(response.body) if self._matches(c)]
        if self.count is not None:
            check_equal("calls", len(calls), self.count, response.body)
        if self.at_least is not None and len(calls) < self.at_least:
            raise ExpectationError(
                f"calls: expected at least {self.at_least}, found {len(calls)}"
            )
        for name in self.without:
            if context.find(name) in response.body.decode():
                raise ExpectationError(f"{self.at} received the value of {name}")

    def _matches(self, call: dict[str, Any]) -> bool:
        return call["target"].startswith(self.path) and self.body in call["body"]
