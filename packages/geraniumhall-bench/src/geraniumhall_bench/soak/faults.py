"""The faults of a soak, by name, and the plans that seeds draw of them."""

import signal
from collections.abc import Awaitable, Callable
from random import Random
from typing import TYPE_CHECKING, Any

import attrs
import trio

from geraniumhall_bench.soak.links import LinkState
from geraniumhall_bench.steps.stand_ins import PlanFaults
from geraniumhall_core.registry import Registry

if TYPE_CHECKING:
    from geraniumhall_bench.soak.run import Soak

SHORTEST_SECONDS = 0.3
LONGEST_SECONDS = 4.0
STEPS_PER_SECOND = 0.7

FaultAction = Callable[["Soak", str, float], Awaitable[None]]


@attrs.frozen
class SoakFault:
    """A fault that a plan may hold; `scope` says what it is done to."""

    action: FaultAction
    scope: str
    is_planned: bool = False


FAULTS: Registry[str, SoakFault] = Registry("soak fault")


@attrs.frozen(kw_only=True)
class FaultStep:
    """A fault of a plan; times are in seconds from the start of the calls."""

    at: float
    name: str
    target: str
    seconds: float


def draw_plan(
    seed: int, seconds: float, scopes: dict[str, list[str]]
) -> tuple[FaultStep, ...]:
    """Return the faults that a seed draws for a run of some seconds.

    They come in series and overlap; two of one kind may meet at one target.
    """
    random = Random(seed)
    names = sorted(FAULTS)
    steps = []
    for _ in range(max(1, round(seconds * STEPS_PER_SECOND))):
        name = random.choice(names)
        length = random.uniform(SHORTEST_SECONDS, LONGEST_SECONDS)
        step = FaultStep(
            at=round(random.uniform(0.0, max(0.0, seconds - length)), 3),
            name=name,
            target=random.choice(scopes[FAULTS.find(name).scope]),
            seconds=round(length, 3),
        )
        steps.append(step)
    return tuple(sorted(steps, key=lambda step: step.at))


def _register(name: str, scope: str, is_planned: bool = False) -> Any:
    def decorate(action: FaultAction) -> FaultAction:
        FAULTS.register(name)(SoakFault(action, scope, is_planned))
        return action

    return decorate


@_register("pause", "daemon")
async def pause_daemon(soak: "Soak", target: str, seconds: float) -> None:
    """Stop a process for a while, as a suspended machine would be."""
    process = soak.find_process(target)
    if process is None:
        return
    process.send_signal(signal.SIGSTOP)
    try:
        await trio.sleep(seconds)
    finally:
        process.send_signal(signal.SIGCONT)


@_register("kill", "daemon")
async def kill_daemon(soak: "Soak", target: str, seconds: float) -> None:
    """Kill a process and start it again."""
    await soak.restart(target, signal.SIGKILL, seconds)


@_register("stop", "daemon", is_planned=True)
async def stop_daemon(soak: "Soak", target: str, seconds: float) -> None:
    """Ask a process to stop, and start it again once it has ended."""
    await soak.restart(target, signal.SIGTERM, 0.0)


@_register("reload", "daemon", is_planned=True)
async def reload_settings(soak: "Soak", target: str, seconds: float) -> None:
    """Tell a process to read its settings again."""
    process = soak.find_process(target)
    if process is not None:
        process.send_signal(signal.SIGHUP)


def _register_link_fault(name: str, state: LinkState) -> None:
    @_register(name, "link")
    async def change_link(soak: "Soak", target: str, seconds: float) -> None:
        link = soak.links[target]
        link.change(state)
        try:
            await trio.sleep(seconds)
        finally:
            link.change(LinkState.OPEN)


for link_state in (s for s in LinkState if s is not LinkState.OPEN):
    _register_link_fault(f"link {link_state.value}", link_state)


@_register("link reset", "link")
async def reset_link(soak: "Soak", target: str, seconds: float) -> None:
    """Reset the connections of a link, and those that are made soon after."""
    for _ in range(3):
        soak.links[target].reset()
        await trio.sleep(seconds / 3)


def _register_stand_in_fault(name: str, scope: str, **plan: Any) -> None:
    @_register(f"{scope} {name}", scope)
    async def plan_fault(soak: "Soak", target: str, seconds: float) -> None:
        await PlanFaults(at=target, faults=({"name": name, **plan},)).run(soak.world)
        try:
            await trio.sleep(seconds)
        finally:
            with trio.CancelScope(shield=True):
                await PlanFaults(at=target).run(soak.world)


for platform_fault in ("slow", "down", "silent", "lose_reply"):
    _register_stand_in_fault(platform_fault, "platform", amount=1.5, count=20)
for server_fault in ("lose_reply", "crash", "stall", "unfinished", "crossed", "down"):
    _register_stand_in_fault(server_fault, "server", amount=2, count=6)


@_register("withdraw key", "platform", is_planned=True)
async def withdraw_key(soak: "Soak", target: str, seconds: float) -> None:
    """Withdraw the callers' key and issue another one."""
    await soak.change_key()
