"""Performers for the effects of simulated daemons."""

from typing import Any

from geraniumhall_bench.simulation.cluster import (
    GENERATED_TOKENS,
    PROMPT_TOKENS,
    SIMULATION_PERFORMERS,
    SimulatedCluster,
)
from geraniumhall_bench.simulation.records import (
    RefusedRequest,
    RelayedRequest,
    SimulatedDaemon,
)
from geraniumhall_core.effects import (
    AbortResponse,
    AnswerAdmin,
    CallPlatform,
    CloseExchange,
    EmitMetrics,
    EndAttempt,
    EndProcess,
    ProbeServer,
    RefuseRequest,
    RelayRequest,
    SendOrder,
    SendToPeers,
    StopListening,
    WatchHold,
    WriteDump,
    WriteLog,
)
from geraniumhall_core.events import (
    AttemptEnded,
    HoldEnded,
    PlatformAnswered,
    ResponseStarted,
    ServerProbed,
)
from geraniumhall_core.notices import ReceivedNotice
from geraniumhall_core.platform import PlatformAnswer, check_era
from geraniumhall_core.requests import AttemptOutcome
from geraniumhall_core.verdict import Verdict

PerformerContext = tuple[SimulatedCluster, SimulatedDaemon]


@SIMULATION_PERFORMERS.performs(CallPlatform)
def call_platform(context: PerformerContext, effect: CallPlatform) -> None:
    """Call the platform after the effect's delay."""
    cluster, daemon = context

    def send_call() -> None:
        called_at = cluster.now

        def reply(answer: PlatformAnswer) -> None:
            cluster.dispatch(
                daemon,
                lambda at: PlatformAnswered(
                    at=at,
                    called_at=called_at,
                    wall_time=at,
                    purpose=effect.purpose,
                    answer=check_era(effect.message, answer),
                    draws=cluster.draw(),
                ),
            )

        cluster.call_platform(
            daemon.state.policy.host, effect.message, reply, effect.expires_at
        )

    cluster.call_later(effect.delay, send_call)


@SIMULATION_PERFORMERS.performs(SendToPeers)
def send_to_peers(context: PerformerContext, effect: SendToPeers) -> None:
    """Send a message to other daemons."""
    cluster, daemon = context
    cluster.send_to_peers(daemon.state.policy.host, effect)


@SIMULATION_PERFORMERS.performs(RelayRequest)
def relay_request(context: PerformerContext, effect: RelayRequest) -> None:
    """Record the request and relay it to a simulated engine.

    Its answer begins after the engines' `begin_seconds`, if they are modelled, and
    is complete after `service_seconds`.
    """
    cluster, daemon = context
    record = daemon.state.requests[effect.request_id]
    host = daemon.state.policy.host
    cluster.relayed_requests.append(
        RelayedRequest(cluster.now, host, record.workspace, effect)
    )
    engines, request = cluster.engines, record.request
    server, attempt_id = effect.server, effect.attempt_id

    notices: list[ReceivedNotice] = []

    def end_attempt(outcome: AttemptOutcome, verdict: Verdict) -> None:
        cluster.dispatch(
            daemon,
            lambda at: AttemptEnded(
                at=at,
                request_id=effect.request_id,
                attempt_id=attempt_id,
                outcome=outcome,
                verdict=verdict,
                wall_time=at,
                draws=cluster.draw(),
                prompt_tokens=PROMPT_TOKENS,
                generated_tokens=GENERATED_TOKENS,
                notice=notices[0] if notices else None,
            ),
        )

    def break_off() -> None:
        end_attempt(AttemptOutcome.BROKEN, Verdict.MAY_HAVE_RUN)

    def fail_to_connect() -> None:
        end_attempt(AttemptOutcome.CONNECT_FAILED, Verdict.NOT_RUN)

    def begin_answer() -> None:
        engines.begin(cluster.now, server, request)
        if engines.is_open(server, attempt_id):
            notice = cluster.notices.build(effect)
            cluster.dispatch(
                daemon,
                lambda at: ResponseStarted(
                    at=at,
                    request_id=effect.request_id,
                    attempt_id=attempt_id,
                    wall_time=at,
                    notice=notice,
                ),
            )

    def complete_attempt() -> None:
        if engines.is_open(server, attempt_id):
            engines.finish(server, attempt_id)
            end_attempt(AttemptOutcome.COMPLETED, Verdict.RAN)

    def refuse_request() -> None:
        end_attempt(AttemptOutcome.BUSY, Verdict.NOT_RUN)

    if effect.server in cluster.notices.closed:
        notices.append(cluster.notices.build(effect))
        cluster.call_later(cluster.peer_latency, refuse_request)
        return
    if not engines.accept(cluster.now, server, attempt_id, request, break_off):
        cluster.call_later(cluster.peer_latency, fail_to_connect)
        return
    if request.parts:
        cluster.call_later(engines.begin_seconds, begin_answer)
    else:
        notices.append(cluster.notices.build(effect))
    cluster.call_later(cluster.service_seconds, complete_attempt)


@SIMULATION_PERFORMERS.performs(ProbeServer)
def probe_server(context: PerformerContext, effect: ProbeServer) -> None:
    """Tell the daemon after the effect's delay whether the engine listens."""
    cluster, daemon = context

    def answer_probe() -> None:
        is_refused = not cluster.engines.is_up(effect.server, cluster.now)
        cluster.dispatch(
            daemon,
            lambda at: ServerProbed(
                at=at,
                server=effect.server,
                incarnation=effect.incarnation,
                is_refused=is_refused,
                draws=cluster.draw(),
            ),
        )

    cluster.call_later(effect.delay, answer_probe)


@SIMULATION_PERFORMERS.performs(WatchHold)
def watch_hold(context: PerformerContext, effect: WatchHold) -> None:
    """Tell the daemon that a request has waited long enough."""
    cluster, daemon = context

    def end_hold() -> None:
        cluster.dispatch(
            daemon,
            lambda at: HoldEnded(
                at=at, request_id=effect.request_id, draws=cluster.draw()
            ),
        )

    cluster.call_later(effect.seconds, end_hold)


@SIMULATION_PERFORMERS.performs(SendOrder)
def send_order(context: PerformerContext, effect: SendOrder) -> None:
    """Send an order to a backend server after `order_latency`.

    If the daemon is paused by then, the order is sent once it is resumed.
    """
    cluster, daemon = context
    cluster.call_later(
        cluster.order_latency, lambda: cluster.deliver_order(daemon, effect)
    )


@SIMULATION_PERFORMERS.performs(RefuseRequest)
def refuse_request(context: PerformerContext, effect: RefuseRequest) -> None:
    """Record a refusal."""
    cluster, daemon = context
    host = daemon.state.policy.host
    record = RefusedRequest(cluster.now, host, effect.request_id, effect.refusal)
    cluster.refused_requests.append(record)


@SIMULATION_PERFORMERS.performs(AnswerAdmin)
def answer_admin(context: PerformerContext, effect: AnswerAdmin) -> None:
    """Record the answer to an admin call."""
    context[0].admin_answers[effect.call_id] = effect.answer


@SIMULATION_PERFORMERS.performs(WriteLog)
def record_log(context: PerformerContext, effect: WriteLog) -> None:
    """Record a log line."""
    context[1].log.append(effect)


@SIMULATION_PERFORMERS.performs(EndProcess)
def end_process(context: PerformerContext, effect: EndProcess) -> None:
    """Mark the daemon as ended."""
    context[1].is_alive = False


@SIMULATION_PERFORMERS.performs(
    AbortResponse, CloseExchange, EndAttempt, EmitMetrics, StopListening, WriteDump
)
def ignore_effect(context: PerformerContext, effect: Any) -> None:
    """Ignore effects on connections, metrics and dumps, which are not simulated."""
