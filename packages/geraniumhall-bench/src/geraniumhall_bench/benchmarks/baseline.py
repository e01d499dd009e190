"""A minimal relay on trio and h11, the baseline of the relay benchmark.

It forwards every request over a pooled connection to one fixed upstream and
streams the response back, without routing, admission or retries.
"""

import signal
from functools import partial
from json import dumps

import attrs
import h11
import trio
from fire import Fire

from geraniumhall_wire.settings import split_address

RECEIVE_BYTES = 65536
DROPPED_HEADERS = frozenset({b"host", b"connection", b"transfer-encoding"})


@attrs.define(eq=False)
class PlainRelay:
    """Relays requests to one upstream over a pool of kept-alive connections."""

    upstream: str
    idle: list[tuple[trio.SocketStream, h11.Connection]] = attrs.field(factory=list)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it closes."""
        http = h11.Connection(h11.SERVER)
        async with stream:
            while True:
                event = await _next_event(http, stream)
                if not isinstance(event, h11.Request):
                    return
                body = b"".join([chunk async for chunk in _read_body(http, stream)])
                await self._relay(http, stream, event, body)
                if http.our_state is not h11.DONE:
                    return
                http.start_next_cycle()

    async def _relay(
        self,
        http: h11.Connection,
        stream: trio.SocketStream,
        request: h11.Request,
        body: bytes,
    ) -> None:
        if self.idle:
            upstream, client = self.idle.pop()
            client.start_next_cycle()
        else:
            upstream = await trio.open_tcp_stream(*split_address(self.upstream))
            client = h11.Connection(h11.CLIENT)
        headers = [(k, v) for k, v in request.headers if k not in DROPPED_HEADERS]
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=[(b"host", self.upstream.encode()), *headers],
        )
        data = client.send(head) or b""
        data += client.send(h11.Data(data=body)) or b""
        data += client.send(h11.EndOfMessage()) or b""
        await upstream.send_all(data)
        answer = await _next_event(client, upstream)
        assert isinstance(answer, h11.Response)
        forwarded_headers = [
            (k, v) for k, v in answer.headers if k not in DROPPED_HEADERS
        ]
        reply = h11.Response(status_code=answer.status_code, headers=forwarded_headers)
        pending = http.send(reply) or b""
        async for chunk in _read_body(client, upstream):
            await stream.send_all(pending + (http.send(h11.Data(data=chunk)) or b""))
            pending = b""
        await stream.send_all(pending + (http.send(h11.EndOfMessage()) or b""))
        self.idle.append((upstream, client))


async def _next_event(http: h11.Connection, stream: trio.SocketStream) -> object:
    while True:
        event = http.next_event()
        if event is not h11.NEED_DATA:
            return event
        http.receive_data(await stream.receive_some(RECEIVE_BYTES))


async def _read_body(http, stream):  # type: ignore[no-untyped-def]
    while True:
        event = await _next_event(http, stream)
        if isinstance(event, h11.EndOfMessage):
            return
        assert isinstance(event, h11.Data)
        yield event.data


async def run_relay(listen: str, upstream: str) -> None:
    """Serve until SIGTERM."""
    host, port = split_address(listen)
    listeners = await trio.open_tcp_listeners(port, host=host)
    address = "{}:{}".format(*listeners[0].socket.getsockname()[:2])
    relay = PlainRelay(upstream)
    async with trio.open_nursery() as nursery:
        serve = partial(trio.serve_listeners, relay.serve, listeners)
        nursery.start_soon(serve)
        print(dumps({"event": "listening", "address": address}), flush=True)
        with trio.open_signal_receiver(signal.SIGTERM) as signals:
            await signals.__anext__()
        nursery.cancel_scope.cancel()


def run(upstream: str, listen: str = "127.0.0.1:0") -> None:
    """Run the relay on `listen` in front of `upstream`."""
    trio.run(run_relay, listen, upstream)


if __name__ == "__main__":
    Fire(run)
