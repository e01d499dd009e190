"""The faults of a soak by name, and the schedules that seeds generate from them."""

import signal
from collections.abc import Awaitable, Callable
from random import Random
from typing import TYPE_CHECKING, Any

import attrs
import trio

from geraniumhall_bench.soak.checker import LimitStarted
from geraniumhall_bench.soak.links import LinkState
from geraniumhall_bench.steps.stand_ins import InjectFaults
from geraniumhall_core.registry import Registry

if TYPE_CHECKING:
    from geraniumhall_bench.soak.run import Soak

MIN_FAULT_SECONDS = 0.3
MAX_FAULT_SECONDS = 4.0
FAULTS_PER_SECOND = 0.7
LIMIT_RATE = 2.0  # requests a second

FaultAction = Callable[["Soak", str, float], Awaitable[None]]


@attrs.frozen
class SoakFault:
    """A kind of fault, injected into one target of kind `target_kind`.

    A planned fault is an operation that must not disturb callers.
    """

    action: FaultAction
    target_kind: str
    is_planned: bool = False


SOAK_FAULTS: Registry[str, SoakFault] = Registry("soak fault")


@attrs.frozen(kw_only=True)
class ScheduledFault:
    """A fault of a schedule: it starts at `at` and lasts `seconds`.

    `at` is in seconds from the start of the calls.
    """

    at: float
    name: str
    target: str
    seconds: float


def draw_schedule(
    seed: int, seconds: float, targets_by_kind: dict[str, list[str]]
) -> tuple[ScheduledFault, ...]:
    """Return the faults that a seed generates for a run of `seconds`.

    Faults may overlap, also two of the same kind on one target.
    """
    random = Random(seed)
    names = sorted(SOAK_FAULTS)
    faults = []
    for _ in range(max(1, round(seconds * FAULTS_PER_SECOND))):
        name = random.choice(names)
        length = random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        fault = ScheduledFault(
            at=round(random.uniform(0.0, max(0.0, seconds - length)), 3),
            name=name,
            target=random.choice(targets_by_kind[SOAK_FAULTS.find(name).target_kind]),
            seconds=round(length, 3),
        )
        faults.append(fault)
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _register_fault(name: str, target_kind: str, is_planned: bool = False) -> Any:
    def decorate(action: FaultAction) -> FaultAction:
        SOAK_FAULTS.register(name)(SoakFault(action, target_kind, is_planned))
        return action

    return decorate


@_register_fault("pause", "daemon")
async def pause_daemon(soak: "Soak", target: str, seconds: float) -> None:
    """Suspend a process with SIGSTOP and resume it after `seconds`.

    This acts like a host that is suspended.
    """
    process = soak.find_process(target)
    if process is None:
        return
    process.send_signal(signal.SIGSTOP)
    try:
        await trio.sleep(seconds)
    finally:
        process.send_signal(signal.SIGCONT)


@_register_fault("kill", "daemon")
async def kill_daemon(soak: "Soak", target: str, seconds: float) -> None:
    """Kill a process with SIGKILL and start it again after `seconds`."""
    await soak.restart(target, signal.SIGKILL, seconds)


@_register_fault("stop", "daemon", is_planned=True)
async def stop_daemon(soak: "Soak", target: str, seconds: float) -> None:
    """Stop a process with SIGTERM and start it again once it has ended."""
    await soak.restart(target, signal.SIGTERM, 0.0)


@_register_fault("reload", "daemon", is_planned=True)
async def reload_settings(soak: "Soak", target: str, seconds: float) -> None:
    """Make a process reload its settings with SIGHUP."""
    process = soak.find_process(target)
    if process is not None:
        process.send_signal(signal.SIGHUP)


def _register_link_fault(name: str, state: LinkState) -> None:
    @_register_fault(name, "link")
    async def change_link(soak: "Soak", target: str, seconds: float) -> None:
        link = soak.links[target]
        link.set_state(state)
        try:
            await trio.sleep(seconds)
        finally:
            link.set_state(LinkState.OPEN)


for link_state in (s for s in LinkState if s is not LinkState.OPEN):
    _register_link_fault(f"link {link_state.value}", link_state)


@_register_fault("link reset", "link")
async def reset_link(soak: "Soak", target: str, seconds: float) -> None:
    """Reset a link's connections three times over `seconds`."""
    for _ in range(3):
        soak.links[target].reset()
        await trio.sleep(seconds / 3)


def _register_stand_in_fault(name: str, target_kind: str, **injection: Any) -> None:
    @_register_fault(f"{target_kind} {name}", target_kind)
    async def inject_fault(soak: "Soak", target: str, seconds: float) -> None:
        await InjectFaults(at=target, faults=({"name": name, **injection},)).run(
            soak.context
        )
        try:
            await trio.sleep(seconds)
        finally:
            with trio.CancelScope(shield=True):
                await InjectFaults(at=target).run(soak.context)


for platform_fault in ("slow", "down", "silent", "lose_reply"):
    _register_stand_in_fault(platform_fault, "platform", amount=1.5, count=20)
for server_fault in ("lose_reply", "crash", "stall", "unfinished", "crossed", "down"):
    _register_stand_in_fault(server_fault, "server", amount=2, count=6)


_register_stand_in_fault("closed", "server", amount=0.5)


@_register_fault("server leaving", "server")
async def leave_server(soak: "Soak", target: str, seconds: float) -> None:
    """Let a server say that it leaves, then register a new process of it."""
    await InjectFaults(at=target, faults=({"name": "leaving"},)).run(soak.context)
    try:
        await trio.sleep(seconds)
    finally:
        with trio.CancelScope(shield=True):
            await InjectFaults(at=target).run(soak.context)
    await soak.register_again(target)


@_register_fault("server limit", "server")
async def name_limit(soak: "Soak", target: str, seconds: float) -> None:
    """Let a server name a limit, and check what it got meanwhile."""
    soak.dispatch(LimitStarted(at=trio.current_time(), server=target))
    injection = {"name": "limit", "amount": LIMIT_RATE}
    await InjectFaults(at=target, faults=(injection,)).run(soak.context)
    try:
        await trio.sleep(seconds)
    finally:
        with trio.CancelScope(shield=True):
            await InjectFaults(at=target).run(soak.context)
    await soak.check_limit(target, LIMIT_RATE)


@_register_fault("withdraw key", "platform", is_planned=True)
async def withdraw_key(soak: "Soak", target: str, seconds: float) -> None:
    """Issue a new key for the callers and withdraw the current one."""
    await soak.rotate_key()
