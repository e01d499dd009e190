"""Performers of the daemon's effects, except those of callers' exchanges."""

import trio

from geraniumhall_core.effects import (
    AnswerAdmin,
    CallPlatform,
    EmitMetrics,
    EndProcess,
    StopListening,
    WriteDump,
    WriteLog,
)
from geraniumhall_core.events import PlatformAnswered
from geraniumhall_core.platform import PlatformAnswer, PlatformFailure
from geraniumhall_core.reducer import Effect
from geraniumhall_core.verdict import Verdict
from geraniumhall_daemon.daemon import PERFORMERS, Daemon
from geraniumhall_daemon.exchanges import EXCHANGE_EFFECTS
from geraniumhall_daemon.logs import write_log
from geraniumhall_wire.description import describe


@PERFORMERS.performs(*EXCHANGE_EFFECTS)
def queue_exchange_effect(daemon: Daemon, effect: Effect) -> None:
    """Queue an effect for the task that serves the request's connection."""
    exchange = daemon.exchanges.get(effect.request_id)  # type: ignore[attr-defined]
    if exchange is not None:
        exchange.queue_effect(effect)


@PERFORMERS.performs(CallPlatform)
async def call_platform(daemon: Daemon, effect: CallPlatform) -> None:
    """Call the platform after the effect's delay and dispatch its answer."""
    if effect.delay:
        await trio.sleep(effect.delay)
    called_at = daemon.read_now()
    answer: PlatformAnswer = PlatformFailure("the call expired", Verdict.MAY_HAVE_RUN)
    with daemon.expiries.limit_until(effect.expires_at, called_at):
        answer = await daemon.platform.call(effect.message)
    daemon.dispatch(
        PlatformAnswered(
            at=daemon.read_now(),
            called_at=called_at,
            wall_time=daemon.clock.read_wall_time(),
            purpose=effect.purpose,
            answer=answer,
            draws=daemon.draw(),
        )
    )


@PERFORMERS.performs(AnswerAdmin)
def answer_admin(daemon: Daemon, effect: AnswerAdmin) -> None:
    """Pass an answer to the task that serves the operator's connection."""
    channel = daemon.admin_calls.pop(effect.call_id, None)
    if channel is not None:
        channel.send_nowait(effect.answer)


@PERFORMERS.performs(WriteLog)
def write_log_line(daemon: Daemon, effect: WriteLog) -> None:
    """Write one structured log line."""
    fields = {field.name: field.value for field in effect.fields}
    write_log(effect.level, effect.event, fields)


@PERFORMERS.performs(WriteDump)
def write_dump(daemon: Daemon, effect: WriteDump) -> None:
    """Log the state and the recent steps as one line."""
    dump = {"state": describe(daemon.state), "recent": daemon.recorder.describe_steps()}
    write_log("info", "state_dump", dump)


@PERFORMERS.performs(EmitMetrics)
def emit_metrics(daemon: Daemon, effect: EmitMetrics) -> None:
    """Record a report of metrics."""
    daemon.metrics.send(effect)


@PERFORMERS.performs(StopListening)
def stop_listening(daemon: Daemon, effect: StopListening) -> None:
    """Stop accepting callers' connections."""
    for listener in daemon.listeners:
        listener.stop_accepting()


@PERFORMERS.performs(EndProcess)
def end_process(daemon: Daemon, effect: EndProcess) -> None:
    """Stop the process once no exchange is open."""
    daemon.is_stopping = True
    daemon.stop_when_idle()
