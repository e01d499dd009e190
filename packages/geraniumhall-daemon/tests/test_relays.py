"""Tests of relays under faults of backend servers and callers."""

import unittest
from json import loads
from types import SimpleNamespace
from typing import Any

import attrs
import trio
from session import Session, build_chat, build_post, run_session

from geraniumhall_bench.standins.model import FaultInjection
from geraniumhall_core.effects import PrefillPrompt
from geraniumhall_daemon.relays import Relay
from geraniumhall_net.bodies import MAX_SHORT_BODY_BYTES
from geraniumhall_net.client import ExchangeFailedError, ResponseHead
from geraniumhall_wire.scanners import PassthroughScanner

ENGINES = ("10.0.0.1:80", "10.0.0.2:80")
SERVICE = "10.0.0.3:80"
WHOLE_TEXT = "t0 t1 t2 "
SUSPENSION_SECONDS = 30.0  # exceeds the longest suspension of a failed server


def read_text(body: bytes) -> str:
    """Return the text of a buffered chat response."""
    return loads(body)["choices"][0]["message"]["content"]


def read_stream_text(body: bytes) -> str:
    """Return the text of a streamed chat response."""
    lines = [loads(x[6:]) for x in body.split(b"\n") if x.startswith(b"data: {")]
    choices = [choice for line in lines for choice in line["choices"]]
    return "".join(choice["delta"]["content"] for choice in choices)


class RepeatableCallTest(unittest.TestCase):
    """A repeatable call gets one complete response if any server can give it."""

    def call_with_one_fault(
        self, fault: FaultInjection, stream: bool = False
    ) -> list[tuple[ResponseHead, bytes]]:
        """Call twice, with the fault at either engine in turn."""
        answers: list[tuple[ResponseHead, bytes]] = []

        async def test(session: Session) -> None:
            for faulty, healthy in (ENGINES, reversed(ENGINES)):
                session.inject_faults(faulty, fault)
                session.inject_faults(healthy)
                answers.append(await session.call(build_chat(stream=stream)))
                await trio.sleep(SUSPENSION_SECONDS)

        session = run_session(test)
        calls = sum(session.count_calls(address) for address in ENGINES)
        self.assertEqual(calls, 3, "one of the two calls meets the fault")
        return answers

    def test_faults_before_the_answer_are_hidden(self) -> None:
        """After a fault, another server gives the complete response."""
        for name in ("down", "lose_reply", "crossed", "silent"):
            with self.subTest(fault=name):
                for head, body in self.call_with_one_fault(FaultInjection(name=name)):
                    self.assertEqual((head.status, read_text(body)), (200, WHOLE_TEXT))

    def test_stream_faults_before_the_answer_are_hidden(self) -> None:
        """A stream that has not started yet is retried on another server."""
        for name in ("down", "lose_reply", "crossed", "silent"):
            with self.subTest(fault=name):
                fault = FaultInjection(name=name)
                for head, body in self.call_with_one_fault(fault, stream=True):
                    found = (head.status, read_stream_text(body))
                    self.assertEqual(found, (200, WHOLE_TEXT))

    def test_unreachable_servers(self) -> None:
        """If no server can be reached, the refusal's verdict is not run."""

        async def test(session: Session) -> None:
            session.unreachable.update(ENGINES)
            self.head, self.body = await session.call(build_chat())

        run_session(test)
        error = loads(self.body)["error"]
        found = (self.head.status, error["code"], error["verdict"])
        self.assertEqual(found, (503, "no_backend_server", "not_run"))


@attrs.define
class EndlessUpstream:
    """A connection whose answer never ends."""

    read: int = 0

    async def read_chunk(self) -> bytes:
        """Return a further part of the body."""
        self.read += 4096
        return b"x" * 4096


class EndlessPrefillTest(unittest.TestCase):
    """What is read of a prefill's answer is short, however long that is."""

    def test_long_answer_fails_the_prefill(self) -> None:
        """Guards against a mebibyte for each prefill on a faulty engine."""
        upstream = EndlessUpstream()
        share = SimpleNamespace(add=lambda size: None)
        connection = SimpleNamespace(share=share)
        effect = PrefillPrompt(
            request_id="r1",
            attempt_id="r1.1",
            server="e1",
            address=ENGINES[0],
            timeout=1.0,
            reuse=True,
        )

        async def test() -> None:
            exchange: Any = SimpleNamespace(connection=connection)
            relay = Relay(SimpleNamespace(), exchange, effect)  # type: ignore[arg-type]
            relay.upstream = upstream  # type: ignore[assignment]
            relay.scanner = PassthroughScanner()
            relay.next_deadline_update = float("inf")
            with self.assertRaises(ExchangeFailedError):
                head = ResponseHead(status=200, headers=())
                await relay._read_prefill_result(head)

        trio.run(test)
        self.assertLess(upstream.read, 2 * MAX_SHORT_BODY_BYTES)


class BrokenStreamTest(unittest.TestCase):
    """A stream that breaks after its start ends in an error."""

    def call_broken(self, fault: FaultInjection) -> tuple[bytes, bool]:
        """Return the bytes that the caller got, and whether they were cut."""
        received = bytearray()
        cut: list[bool] = []

        async def test(session: Session) -> None:
            for address in ENGINES:
                session.inject_faults(address, fault)
            caller = session.open_caller()
            await caller.send_request(build_chat(stream=True))
            await caller.read_head()
            try:
                while (chunk := await caller.read_chunk()) is not None:
                    received.extend(chunk)
            except ExchangeFailedError:
                cut.append(True)

        run_session(test)
        return bytes(received), bool(cut)

    def test_cut_streams_end_in_an_error(self) -> None:
        """The caller gets an error event and no end marker."""
        for name in ("crash", "stall", "unfinished"):
            with self.subTest(fault=name):
                body, cut = self.call_broken(FaultInjection(name=name, amount=2))
                self.assertTrue(cut)
                self.assertIn(b'"verdict": "may_have_run"', body)


class UnrepeatableCallTest(unittest.TestCase):
    """A call that is not repeatable runs at most once."""

    def test_faults_after_sending(self) -> None:
        """After a fault that follows sending, the call is not sent again."""
        for name in ("lose_reply", "crossed", "silent"):
            with self.subTest(fault=name):
                session = self.call_filing(FaultInjection(name=name))
                self.assertEqual(session.count_calls(SERVICE), 1)
                self.assertEqual(self.error["verdict"], "may_have_run")

    def test_unreachable_service_is_not_run(self) -> None:
        """A failed connect proves that the call did not run."""
        session = self.call_filing(FaultInjection(name="slow"), unreachable=True)
        self.assertEqual(session.count_calls(SERVICE), 0)
        self.assertEqual(self.error["verdict"], "not_run")

    def call_filing(self, fault: FaultInjection, unreachable: bool = False) -> Session:
        """Make a call that is not repeatable, with a fault at the service."""

        async def test(session: Session) -> None:
            session.inject_faults(SERVICE, fault)
            if unreachable:
                session.unreachable.add(SERVICE)
            _, body = await session.call(build_post("/filings", b"report"))
            self.error = loads(body)["error"]

        return run_session(test)


class CallerTest(unittest.TestCase):
    """Callers may disconnect, and one connection may carry several requests."""

    def test_disconnected_caller_is_cleaned_up(self) -> None:
        """No state of the request remains, and it is counted as abandoned."""

        async def test(session: Session) -> None:
            for address in ENGINES:
                session.inject_faults(address, FaultInjection(name="silent"))
            caller = session.open_caller()
            await caller.send_request(build_chat())
            await trio.testing.wait_all_tasks_blocked()
            await caller.close()
            await trio.sleep(0.1)
            assert session.daemon is not None
            self.state = session.daemon.state

        run_session(test)
        self.assertEqual(self.state.requests, {})
        self.assertEqual(self.state.counters["requests.abandoned"], 1)

    def test_one_connection_many_requests(self) -> None:
        """Requests on one connection get their own responses, in order."""
        texts = []

        async def test(session: Session) -> None:
            caller = session.open_caller()
            for count in (1, 2, 3):
                await caller.send_request(build_chat(max_tokens=count))
                await caller.read_head()
                texts.append(read_text(await caller.read_body()))
                self.assertTrue(caller.start_next_cycle())

        run_session(test)
        self.assertEqual(texts, ["t0 ", "t0 t1 ", "t0 t1 t2 "])
