"""Tests of requests that are inside the limits and have very long or very many names.

Each test starts one `geraniumhalld` on a host with little memory, sends it requests one
after the other from a few callers and checks that the process lives, that its memory
stays under the host's and that one ordinary request is answered afterwards.
"""

import unittest
from collections.abc import Callable
from json import dumps
from typing import Any

import trio
from crowds import MIB, ORDINARY, Crowd, CrowdCase, build_seed, open_crowd

HOST_MEMORY = 96 * MIB
CALLERS = 8
REQUESTS = 400
MODEL_REQUESTS = 120
MODEL_BYTES = MIB
HEAD_BYTES = 16_000
PARTS = b",".join(b"%d:1" % part for part in range(5500))[:32_000]
ROUTED = ORDINARY.replace(b"host: a\r\n", b"host:\r\nx-request-id: 1\r\n")

RequestBuilder = Callable[[int], bytes]


def ask_for_model(number: int) -> bytes:
    """Return a request for a model with a very long name."""
    name = f"{number}{'m' * MODEL_BYTES}"
    body = dumps({"model": name, "messages": [{"role": "user", "content": "hi"}]})
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: {len(body)}"
    )
    return f"{head}\r\n\r\n{body}".encode()


def name_many_parts(number: int) -> bytes:
    """Return a request whose prompt has as many parts as a head can name."""
    head = b"POST /nothing HTTP/1.1\r\nhost:\r\nx-request-id: r%d\r\n" % number
    return head + b"x-prompt-prefix: " + PARTS + b"\r\ncontent-length: 0\r\n\r\n"


def wait_with_many_parts(number: int) -> bytes:
    """Return such a request that waits for its server."""
    request = name_many_parts(number).replace(b"/nothing", b"/waits")
    return request.replace(b"length: 0\r\n\r\n", b"length: 2\r\n\r\nhi")


def wait_with_many_fields(number: int) -> bytes:
    """Return a request with thousands of fields that waits for its server."""
    head = b"POST /waits HTTP/1.1\r\nhost:\r\nx-request-id: r%d\r\n" % number
    fields = b"a:\r\n" * ((HEAD_BYTES - len(head)) // 4)
    return head + fields + b"content-length: 2\r\n\r\nhi"


class LongRequestTest(CrowdCase):
    """What a daemon keeps of a request is bounded, whatever its names are."""

    def play(self, front: str, count: int, build: RequestBuilder) -> None:
        """Send numbered requests to a daemon and check what must hold."""
        found: dict[str, Any] = {}

        def build_settings(server: str) -> dict[str, Any]:
            seed = build_seed(server, "filings", "waits")
            memory = f"{HOST_MEMORY}B"
            return {
                "host": {"name": "h1", "failure_domain": "a", "memory": memory},
                "callers": {"front": front, "listen": "127.0.0.1:0"},
                "admin": {"listen": "127.0.0.1:0"},
                "platform": {"driver": "memory", "seed": seed},
            }

        async def run() -> None:
            async with open_crowd(build_settings) as crowd:
                found["start"] = crowd.read_memory("VmRSS")
                await self.send_all(crowd, count, build)
                ordinary = ROUTED if front == "routed" else ORDINARY
                found["answer"] = await crowd.call_ordinarily(ordinary)
                found["peak"] = crowd.read_memory("VmHWM")
                found["exit"] = crowd.process.process.poll()

        trio.run(run)
        self.check(found, HOST_MEMORY)

    async def send_all(self, crowd: Crowd, count: int, build: RequestBuilder) -> None:
        """Send the requests from a few callers, each on a connection of its own."""

        async def call(first: int) -> None:
            for number in range(first, count, CALLERS):
                stream = await trio.open_tcp_stream(*crowd.address)
                async with stream:
                    try:
                        await stream.send_all(build(number))
                        await stream.receive_some(4096)
                    except trio.BrokenResourceError:
                        continue  # the daemon may close the connection

        async with trio.open_nursery() as nursery:
            for first in range(CALLERS):
                nursery.start_soon(call, first)

    def test_long_names_of_models(self) -> None:
        """A name of a mebibyte, which no model has."""
        self.play("openai", MODEL_REQUESTS, ask_for_model)

    def test_many_parts_of_prompts(self) -> None:
        """Thousands of parts, in requests for no route."""
        self.play("routed", REQUESTS, name_many_parts)

    def test_many_fields_of_requests_that_wait(self) -> None:
        """Guards against heads that take a hundred times their bytes in memory."""
        for front in ("openai", "routed"):
            with self.subTest(front=front):
                self.play_waiting(front, wait_with_many_fields)

    def test_many_parts_of_prompts_that_wait(self) -> None:
        """Thousands of parts, in requests that all wait for their server."""
        self.play_waiting("routed", wait_with_many_parts)

    def play_waiting(self, front: str, build: RequestBuilder) -> None:
        """Let requests wait for their server all at once."""

        async def send(crowd: Crowd, count: int, build: RequestBuilder) -> None:
            async def wait(stream: trio.SocketStream) -> None:
                await stream.send_all(build(0))

            await crowd.send_all(count, wait)
            await trio.sleep(1.0)

        self.send_all = send  # type: ignore[method-assign]
        self.play(front, REQUESTS, build)


if __name__ == "__main__":
    unittest.main()
