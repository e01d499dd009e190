"""Carries out the effects of daemons on virtual hosts."""

from typing import Any

from geraniumhall_bench.virtual.hosts import (
    GENERATED_TOKENS,
    PROMPT_TOKENS,
    VIRTUAL_PERFORMERS,
    Refused,
    Started,
    VirtualDaemon,
    VirtualHosts,
)
from geraniumhall_core.effects import (
    AbortResponse,
    AnswerAdmin,
    CallPlatform,
    CloseExchange,
    EmitMetrics,
    EndProcess,
    RefuseRequest,
    RelayRequest,
    SendOrder,
    SendToPeers,
    StopListening,
    WriteDump,
    WriteLog,
)
from geraniumhall_core.events import AttemptEnded, PlatformAnswered
from geraniumhall_core.platform import PlatformAnswer
from geraniumhall_core.requests import AttemptOutcome
from geraniumhall_core.verdict import Verdict

Place = tuple[VirtualHosts, VirtualDaemon]


@VIRTUAL_PERFORMERS.performs(CallPlatform)
def call_platform(place: Place, effect: CallPlatform) -> None:
    """Call the platform after the effect's delay."""
    hosts, daemon = place

    def begin() -> None:
        called_at = hosts.now

        def reply(answer: PlatformAnswer) -> None:
            hosts.send(
                daemon,
                lambda at: PlatformAnswered(
                    at=at,
                    called_at=called_at,
                    wall_time=at,
                    purpose=effect.purpose,
                    answer=answer,
                    draws=hosts.draw(),
                ),
            )

        hosts.call_platform(daemon.state.policy.host, effect.message, reply)

    hosts.after(effect.delay, begin)


@VIRTUAL_PERFORMERS.performs(SendToPeers)
def send_to_peers(place: Place, effect: SendToPeers) -> None:
    """Carry a message to other daemons."""
    hosts, daemon = place
    hosts.send_to_peers(daemon.state.policy.host, effect)


@VIRTUAL_PERFORMERS.performs(RelayRequest)
def relay_request(place: Place, effect: RelayRequest) -> None:
    """Let a backend server answer after the fixed time."""
    hosts, daemon = place
    record = daemon.state.requests[effect.request_id]
    host = daemon.state.policy.host
    hosts.started.append(Started(hosts.now, host, record.workspace, effect))

    def end() -> None:
        hosts.send(
            daemon,
            lambda at: AttemptEnded(
                at=at,
                request_id=effect.request_id,
                attempt_id=effect.attempt_id,
                outcome=AttemptOutcome.COMPLETED,
                verdict=Verdict.RAN,
                wall_time=at,
                draws=hosts.draw(),
                prompt_tokens=PROMPT_TOKENS,
                generated_tokens=GENERATED_TOKENS,
            ),
        )

    hosts.after(hosts.service_seconds, end)


@VIRTUAL_PERFORMERS.performs(SendOrder)
def send_order(place: Place, effect: SendOrder) -> None:
    """Carry an order to a backend server and its answer back.

    A daemon paused now sends the order when it goes on.
    """
    hosts, daemon = place
    hosts.after(hosts.order_latency, lambda: hosts.reach_server(daemon, effect))


@VIRTUAL_PERFORMERS.performs(RefuseRequest)
def refuse_request(place: Place, effect: RefuseRequest) -> None:
    """Note a refusal."""
    hosts, daemon = place
    host = daemon.state.policy.host
    refused = Refused(hosts.now, host, effect.request_id, effect.refusal)
    hosts.refused.append(refused)


@VIRTUAL_PERFORMERS.performs(AnswerAdmin)
def answer_admin(place: Place, effect: AnswerAdmin) -> None:
    """Keep an answer to an operator."""
    place[0].admin_answers[effect.call_id] = effect.answer


@VIRTUAL_PERFORMERS.performs(WriteLog)
def keep_log(place: Place, effect: WriteLog) -> None:
    """Keep a log line."""
    place[1].log.append(effect)


@VIRTUAL_PERFORMERS.performs(EndProcess)
def end_process(place: Place, effect: EndProcess) -> None:
    """End the daemon."""
    place[1].is_alive = False


@VIRTUAL_PERFORMERS.performs(
    AbortResponse, CloseExchange, EmitMetrics, StopListening, WriteDump
)
def ignore_effect(place: Place, effect: Any) -> None:
    """Do nothing; no caller or operator is there to see it."""
