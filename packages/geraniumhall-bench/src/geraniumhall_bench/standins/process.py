"""Run one stand-in as a process that serves HTTP."""

import signal
from functools import partial
from itertools import count
from json import dumps

import attrs
import trio
from fire import Fire

from geraniumhall_bench.standins import STAND_IN, StandInState
from geraniumhall_bench.standins.model import CallArrived, Reply, TimePassed
from geraniumhall_core.performers import Performers
from geraniumhall_core.reducer import Event
from geraniumhall_core.refusals import Refusal
from geraniumhall_net.listener import Listener
from geraniumhall_net.server import (
    ClientDisconnectedError,
    ServerConnection,
    ServerLimits,
    open_server_connection,
)

TICK_SECONDS = 0.02
MAX_CONNECTIONS = 4096


def build_limits() -> ServerLimits:
    """Return limits that let idle clients keep their connections for an hour."""
    return ServerLimits(idle_timeout=3600.0)


STAND_IN_PERFORMERS = Performers("stand-in")


@attrs.define(eq=False)
class StandIn:
    """A running stand-in; `pending_replies` has a channel for each open call."""

    state: StandInState
    pending_replies: dict[int, trio.MemorySendChannel] = attrs.field(factory=dict)
    _ids: count = attrs.field(factory=lambda: count(1))

    def dispatch(self, event: Event) -> None:
        """Reduce an event and perform its effects."""
        for effect in STAND_IN.reduce(self.state, event):
            STAND_IN_PERFORMERS.find(effect).function(self, effect)

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until it is closed."""
        async with open_server_connection(stream, build_limits) as connection:
            try:
                while await self._serve_call(connection):
                    pass
            except ClientDisconnectedError:
                return

    async def run_timer(self) -> None:
        """Dispatch `TimePassed` every `TICK_SECONDS`."""
        while True:
            await trio.sleep(TICK_SECONDS)
            self.dispatch(TimePassed(at=trio.current_time()))

    async def _serve_call(self, connection: ServerConnection) -> bool:
        received = await connection.receive_request()
        if received is None or isinstance(received, Refusal):
            return False
        call_id = next(self._ids)
        sender, receiver = trio.open_memory_channel[Reply](1)
        self.pending_replies[call_id] = sender
        with connection.cancel_on_disconnect():
            self.dispatch(
                CallArrived(
                    at=trio.current_time(),
                    call_id=call_id,
                    head=received.head,
                    body=received.body,
                )
            )
            reply = await receiver.receive()
            return await _send_reply(connection, reply)
        self.pending_replies.pop(call_id, None)
        return False


@STAND_IN_PERFORMERS.performs(Reply)
def deliver_reply(stand_in: StandIn, effect: Reply) -> None:
    """Pass a reply to the task that serves the call's connection.

    The reply is dropped if the client has disconnected.
    """
    sender = stand_in.pending_replies.pop(effect.call_id, None)
    if sender is not None:
        sender.send_nowait(effect)


async def _send_reply(connection: ServerConnection, reply: Reply) -> bool:
    if reply.delay:
        await trio.sleep(reply.delay)
    if len(reply.chunks) == 1 and not reply.is_cut and not reply.is_silent:
        body = reply.chunks[0]
        await connection.send_response(reply.status, reply.headers, body)
        return connection.start_next_cycle()
    if reply.chunks:
        await _stream_chunks(connection, reply)
    if reply.is_silent:
        await trio.sleep_forever()
    if reply.is_cut:
        return False
    await connection.finish_response()
    return connection.start_next_cycle()


async def _stream_chunks(connection: ServerConnection, reply: Reply) -> None:
    await connection.start_response(reply.status, reply.headers, reply.chunks[0])
    for chunk in reply.chunks[1:]:
        if reply.interval:
            await trio.sleep(reply.interval)
        await connection.send_chunk(chunk)


async def run_stand_in(stand_in: StandIn, listen: str) -> None:
    """Serve until SIGTERM or SIGINT."""
    handler = partial(StandIn.serve, stand_in)
    listener = await Listener.from_address(listen, handler, MAX_CONNECTIONS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.serve, nursery)
        nursery.start_soon(stand_in.run_timer)
        print(dumps({"event": "listening", "address": listener.address}), flush=True)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            await signals.__anext__()
        nursery.cancel_scope.cancel()


def run(
    kind: str, listen: str = "127.0.0.1:0", name: str = "stand-in", **options: object
) -> None:
    """Run a stand-in of this kind; further options are passed to its model."""
    state = StandInState.from_kind(kind, name, **options)
    trio.run(run_stand_in, StandIn(state), listen)


if __name__ == "__main__":
    Fire(run)
