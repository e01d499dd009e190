"""Fault rules that the state machines of random histories share."""

import os
from typing import Any, ClassVar

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from geraniumhall_bench.simulation import PLATFORM_NAME, SimulatedCluster
from geraniumhall_core.platform import (
    DeleteObject,
    PutObject,
    ReportUsage,
    ScaleService,
)

HOST_NAMES = ("h0", "h1", "h2")
LINK_ENDPOINTS = (*HOST_NAMES, PLATFORM_NAME)
SEED = 20261204
DELAYED_KINDS = (PutObject, DeleteObject, ScaleService, ReportUsage)
HISTORY_SETTINGS = settings(
    max_examples=int(os.environ.get("GERANIUMHALL_EXAMPLES", "25")),
    stateful_step_count=int(os.environ.get("GERANIUMHALL_STEPS", "25")),
    deadline=None,
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)


class FaultRules(RuleBasedStateMachine):
    """Blocked links, pauses, kills, and lost or delayed platform calls.

    A subclass adds its own rules and starts `cluster` in its first step.
    `policy` holds the settings with which daemons are restarted.
    """

    policy: ClassVar[dict[str, Any]] = {}
    cluster: SimulatedCluster | None = None

    @rule(seconds=st.sampled_from([0.001, 0.01, 0.3, 1.5, 4.0, 12.0]))
    def wait(self, seconds: float) -> None:
        """Advance virtual time."""
        self.cluster.run_for(seconds)

    @rule(
        host=st.sampled_from(HOST_NAMES),
        peer=st.sampled_from(LINK_ENDPOINTS),
        both=st.booleans(),
    )
    def block_link(self, host: str, peer: str, both: bool) -> None:
        """Block the link from a host, in one direction or both."""
        self.cluster.block_link(host, peer, both)

    @rule(host=st.sampled_from(HOST_NAMES))
    def block_replies(self, host: str) -> None:
        """Deliver a daemon's calls to the platform, but drop the replies."""
        self.cluster.block_link(PLATFORM_NAME, host, both_ways=False)

    @rule()
    def heal(self) -> None:
        """Unblock all links."""
        self.cluster.heal()

    @rule(number=st.integers(1, 3))
    def lose_replies(self, number: int) -> None:
        """Drop the platform's next replies."""
        self.cluster.replies_to_drop = number

    @rule(kind=st.sampled_from(DELAYED_KINDS))
    def delay_call(self, kind: type) -> None:
        """Delay the next call of a type until long after its timeout."""
        self.cluster.delayed_calls.append(lambda message: isinstance(message, kind))

    @rule(host=st.sampled_from(HOST_NAMES))
    def pause(self, host: str) -> None:
        """Pause a daemon."""
        self.cluster.pause(host)

    @rule(host=st.sampled_from(HOST_NAMES))
    def resume(self, host: str) -> None:
        """Resume a paused daemon."""
        self.cluster.resume(host)

    @rule(host=st.sampled_from(HOST_NAMES))
    def restart(self, host: str) -> None:
        """Kill a daemon and start a new one on its host."""
        self.before_kill(host)
        self.cluster.kill(host)
        self.cluster.start(host, **self.policy)

    def before_kill(self, host: str) -> None:
        """Prepare for the kill of a daemon; does nothing unless overridden."""

    def end_faults(self, seconds: float) -> None:
        """Undo all faults and advance virtual time."""
        self.cluster.heal()
        self.cluster.replies_to_drop = 0
        self.cluster.delayed_calls.clear()
        for host in HOST_NAMES:
            self.cluster.resume(host)
        self.cluster.run_for(seconds)
