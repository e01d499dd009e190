"""Tests of servers whose answers never end, against a real daemon and its callers.

Each test starts one `geraniumhalld` with lowered limits, a sound server and a faulty
one that sends without end to whoever asks it. Callers of the faulty server come again
and again. The process must live, its memory and descriptors must stay under their
bounds, and one ordinary request to the sound server must be answered.
"""

import unittest
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from socketserver import BaseRequestHandler, ThreadingTCPServer
from threading import Thread
from typing import Any

import attrs
import trio
from crowds import MIB, ORDINARY, Crowd, CrowdCase, build_seed, open_crowd

HOST_MEMORY = 160 * MIB
MAX_CONNECTIONS = 100
# Two for each caller's request, those of the process itself, and one to each server.
MAX_DESCRIPTORS = 2 * MAX_CONNECTIONS + 20
CALLERS = 90
ROUNDS_SECONDS = 4.0
READ_SECONDS = 0.5
REQUEST = ORDINARY.replace(b"/filings", b"/endless").replace(
    b"host: a\r\n", b"host:\r\nx-request-id: 1\r\n"
)
OK = b"HTTP/1.1 200 OK\r\nx-server-stamp: 1\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"
EVENTS = OK + b"content-type: text/event-stream\r\n"
FIELDS = b"a:\r\n" * 4000


@attrs.frozen
class EndlessAnswer:
    """An answer that begins with `start` and goes on with `more` until it is closed."""

    start: bytes
    more: bytes


class _Server(ThreadingTCPServer):
    daemon_threads = True
    request_queue_size = 128
    answer: EndlessAnswer


class _Handler(BaseRequestHandler):
    def handle(self) -> None:
        server = self.server
        assert isinstance(server, _Server)
        try:
            self.request.recv(65536)
            self.request.sendall(server.answer.start)
            while True:
                self.request.sendall(server.answer.more)
        except OSError:
            return


@attrs.frozen
class EndlessServer:
    """A faulty server; its threads send as fast as they can, whatever callers do."""

    _server: _Server

    @classmethod
    @contextmanager
    def from_answer(cls, answer: EndlessAnswer) -> Iterator["EndlessServer"]:
        """Run a server that answers every request in one way."""
        with _Server(("127.0.0.1", 0), _Handler) as server:
            server.answer = answer
            thread = Thread(target=server.serve_forever, daemon=True)
            thread.start()
            yield cls(server)
            server.shutdown()
            thread.join()

    @property
    def address(self) -> str:
        """The address, as ``HOST:PORT``."""
        host, port = self._server.server_address[:2]
        return f"{host}:{port}"


ANSWERS = {
    "chunks of one byte": EndlessAnswer(CHUNKED, b"1\r\nx\r\n" * 4000),
    "chunks with extensions": EndlessAnswer(CHUNKED, b"1;a=b\r\nx\r\n" * 4000),
    "events in chunks of one byte": EndlessAnswer(
        EVENTS + b"transfer-encoding: chunked\r\n\r\n", b"1\r\n\n\r\n" * 4000
    ),
    "informational heads of very many fields": EndlessAnswer(
        b"", b"HTTP/1.1 102 Processing\r\n" + FIELDS + b"\r\n"
    ),
    "a head of very many fields": EndlessAnswer(OK + FIELDS + b"\r\n", b"x" * 65536),
    "a body without a length": EndlessAnswer(OK + b"\r\n", b"x" * 65536),
    "an event that does not end": EndlessAnswer(EVENTS + b"\r\n", b"x" * 65536),
    "an error without a length": EndlessAnswer(
        b"HTTP/1.1 500 Error\r\n\r\n", b"x" * 65536
    ),
    "no answer": EndlessAnswer(b"", b"x" * 65536),
}


async def read_and_leave(stream: trio.SocketStream) -> None:
    """Read a little of the answer once it begins, and leave."""
    await stream.send_all(REQUEST)
    await stream.receive_some(100)
    await trio.sleep(READ_SECONDS)


async def read_nothing(stream: trio.SocketStream) -> None:
    """Ask and stay, without reading."""
    await stream.send_all(REQUEST)
    await trio.sleep(ROUNDS_SECONDS)


Caller = Callable[[trio.SocketStream], Awaitable[None]]


class EndlessAnswerTest(CrowdCase):
    """Servers that never end an answer take neither memory nor time from others."""

    front = "openai"

    def play(self, answer: EndlessAnswer) -> None:
        """Let callers ask for an answer without end, and check what must hold."""
        found: dict[str, Any] = {}

        with EndlessServer.from_answer(answer) as faulty:

            def build_settings(server: str) -> dict[str, Any]:
                return self.build_settings(server, faulty.address)

            async def run() -> None:
                async with open_crowd(build_settings) as crowd:
                    found["start"] = crowd.read_memory("VmRSS")
                    await self.watch(crowd, found)

            trio.run(run)
        self.check(found, HOST_MEMORY)
        self.assertLess(found["descriptors"], MAX_DESCRIPTORS, str(found))

    async def watch(self, crowd: Crowd, found: dict[str, Any]) -> None:
        """Let the callers come again and again, and send an ordinary request."""

        async def come_again(call: Caller) -> None:
            while True:
                try:
                    async with await trio.open_tcp_stream(*crowd.address) as stream:
                        await call(stream)
                except (OSError, trio.BrokenResourceError):
                    await trio.sleep(0.05)

        async with trio.open_nursery() as nursery:
            for number in range(CALLERS):
                call = read_and_leave if number % 2 else read_nothing
                nursery.start_soon(come_again, call)
            await trio.sleep(ROUNDS_SECONDS)
            found["descriptors"] = crowd.count_descriptors()
            found["answer"] = await crowd.call_ordinarily(self.build_ordinary())
            found["peak"] = crowd.read_memory("VmHWM")
            found["exit"] = crowd.process.process.poll()
            nursery.cancel_scope.cancel()

    def build_ordinary(self) -> bytes:
        """Return an ordinary request, which each front understands."""
        return ORDINARY.replace(b"host: a\r\n", b"host:\r\nx-request-id: 1\r\n")

    def build_settings(self, server: str, faulty: str) -> dict[str, Any]:
        """Return settings with a route to a sound server and one to a faulty one."""
        seed = build_seed(server, "filings")
        other = build_seed(faulty, "endless")
        seed["entry"].update(other["entry"])
        seed["server"]["s2"] = other["server"]["s1"]
        return {
            "host": {"name": "h1", "failure_domain": "a", "memory": f"{HOST_MEMORY}B"},
            "callers": {
                "front": self.front,
                "listen": "127.0.0.1:0",
                "max_connections": MAX_CONNECTIONS,
            },
            "admin": {"listen": "127.0.0.1:0"},
            "platform": {"driver": "memory", "seed": seed},
        }

    def test_answers_without_end(self) -> None:
        """Some callers leave once an answer has begun, others don't read it."""
        for name, answer in ANSWERS.items():
            with self.subTest(answer=name):
                self.play(answer)


class RoutedEndlessAnswerTest(EndlessAnswerTest):
    """The same holds at the front for the platform's clients and replicas."""

    front = "routed"


if __name__ == "__main__":
    unittest.main()
