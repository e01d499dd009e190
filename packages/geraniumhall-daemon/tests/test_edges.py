"""Tests of faulty requests, status pages and statsd metrics."""

import socket
import unittest
from collections.abc import Awaitable, Callable
from json import loads

import trio.testing
from session import KEY, Session, build_chat, run_session

from geraniumhall_core.effects import EmitMetrics, Metric
from geraniumhall_daemon.admin import serve_operator
from geraniumhall_daemon.callers import serve_caller
from geraniumhall_daemon.daemon import Daemon
from geraniumhall_daemon.health import STATUS_PAGES, serve_status
from geraniumhall_daemon.metrics import MetricsSink
from geraniumhall_wire.settings import MetricsSettings

CHAT = b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n"
BODY = b'{"model": "draft", "messages": [{"role": "user", "content": "hi"}]}'
HUGE = str(9 * 2**20).encode()

ConnectionServer = Callable[[Daemon, trio.abc.Stream], Awaitable[None]]


def build_raw(head: bytes, body: bytes = BODY) -> bytes:
    """Return the bytes of a request."""
    length = str(len(body)).encode()
    return head + b"content-length: " + length + b"\r\n\r\n" + body


def build_get(path: str) -> bytes:
    """Return the bytes of a request without a body."""
    return b"GET " + path.encode() + b" HTTP/1.1\r\nhost: a\r\n\r\n"


def with_key(key: str) -> bytes:
    """Return the head of a chat request that carries `key`."""
    return CHAT + b"authorization: Bearer " + key.encode() + b"\r\n"


CASES = {
    b"nonsense\r\n\r\n": (400, "malformed"),
    CHAT + b"content-length: x\r\n\r\n": (400, "malformed"),
    CHAT + b"x: " + b"y" * 40000 + b"\r\n\r\n": (431, "head_too_large"),
    CHAT + b"content-length: " + HUGE + b"\r\n\r\n": (413, "body_too_large"),
    CHAT + b"content-length: 9\r\n\r\nabc": (408, "request_timeout"),
    build_raw(with_key(KEY), b"{"): (400, "malformed"),
    build_raw(with_key(KEY), b"[]"): (400, "malformed"),
    build_raw(with_key(KEY), BODY.replace(b"draft", b"nope")): (404, "unknown_model"),
    build_raw(CHAT): (401, "key_missing"),
    build_raw(with_key(KEY[:-1] + "x")): (401, "key_unknown"),
    build_raw(with_key("nothing")): (401, "key_unknown"),
    build_raw(with_key(KEY).replace(b"POST", b"PUT")): (405, "method_not_allowed"),
    build_raw(b"POST /nowhere HTTP/1.1\r\nhost: a\r\n"): (404, "unknown_route"),
}


async def send_raw(
    session: Session, request: bytes, serve: ConnectionServer = serve_caller
) -> bytes:
    """Send bytes on a new connection and return what first arrives in response."""
    client_stream, server_stream = trio.testing.memory_stream_pair()
    session.nursery.start_soon(serve, session.daemon, server_stream)
    await client_stream.send_all(request)
    return bytes(await client_stream.receive_some(100_000))


class FaultyRequestTest(unittest.TestCase):
    """Each kind of faulty request is refused with its status, code and verdict."""

    def test_faults(self) -> None:
        """Faulty requests are refused as not run, and a valid one is then served."""

        async def test(session: Session) -> None:
            for request, (status, code) in CASES.items():
                with self.subTest(request=request[:80]):
                    answer = await send_raw(session, request)
                    head, _, body = answer.partition(b"\r\n\r\n")
                    error = loads(body)["error"]
                    found = (int(head.split()[1]), error["code"], error["verdict"])
                    self.assertEqual(found, (status, code, "not_run"))
            head, _ = await session.call(build_chat())
            self.assertEqual(head.status, 200)

        run_session(test)


class StatusPageTest(unittest.TestCase):
    """Status pages are served to operators and load balancers, not to callers."""

    def test_status_and_admin_listeners_serve_all_pages_without_a_key(self) -> None:
        """Health, readiness and metrics need no key there."""

        async def test(session: Session) -> None:
            for serve in (serve_status, serve_operator):
                for path in STATUS_PAGES:
                    with self.subTest(path=path, serve=serve.__name__):
                        answer = await send_raw(session, build_get(path), serve)
                        self.assertTrue(answer.startswith(b"HTTP/1.1 200"))

        run_session(test)

    # Guards against review/1: callers got the daemon's own pages as their answers.
    def test_callers_listener_serves_no_page(self) -> None:
        """A caller without a key gets the refusal of any unknown path."""

        async def test(session: Session) -> None:
            for path in STATUS_PAGES:
                with self.subTest(path=path):
                    answer = await send_raw(session, build_get(path))
                    self.assertTrue(answer.startswith(b"HTTP/1.1 404"))
                    self.assertIn(b"unknown_route", answer)

        run_session(test)

    def test_status_listener_serves_nothing_else(self) -> None:
        """A caller's path is refused there."""

        async def test(session: Session) -> None:
            answer = await send_raw(session, build_get("/filings"), serve_status)
            self.assertTrue(answer.startswith(b"HTTP/1.1 404"))

        run_session(test)


class MetricsTest(unittest.TestCase):
    """Each metrics report is sent to statsd as one datagram."""

    def test_report(self) -> None:
        """Counters and gauges share one datagram."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
            receiver.bind(("127.0.0.1", 0))
            host, port = receiver.getsockname()
            sink = MetricsSink.from_settings(MetricsSettings(statsd=f"{host}:{port}"))
            report = EmitMetrics(
                counters=(Metric("requests.accepted", 3),),
                gauges=(Metric("requests.open", 1),),
            )
            sink.send(report)
            lines = receiver.recv(1000).split(b"\n")
        expected = [
            b"geraniumhall.requests.accepted:3|c",
            b"geraniumhall.requests.open:1|g",
        ]
        self.assertEqual(lines, expected)
