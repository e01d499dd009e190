"""A load generator: a fixed number of requests on each of some connections."""

from json import dumps

import attrs
import trio

from geraniumhall_net.client import ClientConnection, connect_tcp
from geraniumhall_wire.heads import UpstreamRequest


@attrs.define
class LoadResult:
    """The measurements of a load.

    `first_byte_seconds` has the time from sending each request to receiving the
    head of its response. Responses with a status other than 200 are failures.
    """

    requests: int = 0
    failures: int = 0
    body_bytes: int = 0
    seconds: float = 0.0
    first_byte_seconds: list[float] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Load:
    """Chat requests to one address, sent one after another on each connection."""

    address: str
    connections: int
    requests_each: int
    max_tokens: int
    stream: bool
    key: str = ""

    def build_request(self) -> UpstreamRequest:
        """Return the request that the load repeats."""
        data = {
            "model": "draft",
            "stream": self.stream,
            "max_tokens": self.max_tokens,
            "messages": [{"role": "user", "content": "hello " * 40}],
        }
        headers = [(b"content-type", b"application/json")]
        if self.key:
            headers.append((b"authorization", f"Bearer {self.key}".encode()))
        return UpstreamRequest(
            b"POST", b"/v1/chat/completions", tuple(headers), dumps(data).encode()
        )

    async def run(self) -> LoadResult:
        """Send all requests and return the measurements."""
        result = LoadResult()
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(self.connections):
                nursery.start_soon(self._run_connection, result)
        result.seconds = trio.current_time() - started
        return result

    async def _run_connection(self, result: LoadResult) -> None:
        stream = await connect_tcp(self.address)
        connection = ClientConnection.from_stream(stream, self.address)
        request = self.build_request()
        for _ in range(self.requests_each):
            await self._make_request(connection, request, result)
            connection.start_next_cycle()
        await connection.close()

    async def _make_request(
        self, connection: ClientConnection, request: UpstreamRequest, result: LoadResult
    ) -> None:
        sent_at = trio.current_time()
        await connection.send_request(request)
        head = await connection.read_head()
        result.first_byte_seconds.append(trio.current_time() - sent_at)
        result.body_bytes += len(await connection.read_body())
        result.requests += 1
        result.failures += head.status != 200
