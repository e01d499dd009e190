"""Tests that the end of a stop's grace cuts no request without an answer."""

import unittest
from collections.abc import Awaitable, Callable
from json import loads

import trio
import trio.testing
from session import KEY, SETTINGS, Session, build_chat, build_post, run_session

from geraniumhall_bench.standins.model import FaultInjection
from geraniumhall_core.events import DrainRequested
from geraniumhall_daemon.callers import serve_caller
from geraniumhall_net.client import ClientConnection, ExchangeFailedError

GRACE_SECONDS = 3.0
STOP_LISTENING_SECONDS = 1.2  # more than the part that load balancers get to notice
GRACE_SETTINGS = (
    SETTINGS
    + f"""
drain: {{grace: {GRACE_SECONDS}s}}
"""
)
QUEUE_SETTINGS = GRACE_SETTINGS.replace(
    "service_class: service,", "service_class: service, limits: {max_running: 1},"
)
SLOW_SERVERS = ("10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80")


def start_drain(session: Session) -> None:
    """Ask the daemon to stop."""
    assert session.daemon is not None
    session.daemon.dispatch(DrainRequested(at=session.daemon.read_now()))


async def read_outcome(caller: ClientConnection) -> tuple[int, str]:
    """Return the status and the code of a refusal, or why the answer broke off."""
    head = await caller.read_head()
    try:
        body = await caller.read_body()
    except ExchangeFailedError:
        return head.status, "broken off"
    return head.status, loads(body)["error"]["code"] if head.status >= 400 else "whole"


class GraceTest(unittest.TestCase):
    """Each request of a stopping host is answered before it may be killed."""

    def play(
        self, test: Callable[[Session], Awaitable[None]], settings: str = GRACE_SETTINGS
    ) -> None:
        """Run a test and check that the daemon has ended within its grace."""

        async def run(session: Session) -> None:
            for address in SLOW_SERVERS:
                session.inject_faults(address, FaultInjection(name="slow", amount=60.0))
            await test(session)

        run_session(run, settings)

    # Guards against issue 33: requests were cut without an answer as the grace ended.
    def test_request_that_may_not_be_repeated(self) -> None:
        """A call that is still running gets an answer that does not say "not run"."""

        async def test(session: Session) -> None:
            caller = session.open_caller()
            await caller.send_request(build_post("/filings", b"x"))
            await trio.sleep(0.1)
            start_drain(session)
            with trio.fail_after(GRACE_SECONDS):
                outcome = await read_outcome(caller)
            self.assertEqual(outcome, (504, "deadline_exceeded"))
            self.assertEqual(session.count_calls("10.0.0.3:80"), 1)

        self.play(test)

    def test_request_taken_while_load_balancers_notice(self) -> None:
        """A call that comes just before the host stops listening is answered too."""

        async def test(session: Session) -> None:
            start_drain(session)
            await trio.sleep(0.9)
            caller = session.open_caller()
            await caller.send_request(build_chat())
            with trio.fail_after(GRACE_SECONDS - 0.9):
                status, _ = await read_outcome(caller)
            self.assertEqual(status, 504)

        self.play(test)

    def test_waiting_request(self) -> None:
        """A call that waits behind a slow one is refused as not run."""

        async def test(session: Session) -> None:
            callers = [session.open_caller() for _ in range(2)]
            for caller in callers:
                await caller.send_request(build_post("/filings", b"x"))
                await trio.sleep(0.1)
            start_drain(session)
            with trio.fail_after(GRACE_SECONDS):
                outcomes = [await read_outcome(caller) for caller in callers]
            expected = [(504, "deadline_exceeded"), (503, "draining")]
            self.assertEqual(outcomes, expected)
            self.assertEqual(session.count_calls("10.0.0.3:80"), 1)

        self.play(test, QUEUE_SETTINGS)

    def test_late_request_on_a_kept_connection(self) -> None:
        """A call that comes late in the grace is refused at once as not run."""

        async def test(session: Session) -> None:
            for address in SLOW_SERVERS:
                session.inject_faults(address)
            caller = session.open_caller()
            await caller.send_request(build_chat())
            self.assertEqual((await read_outcome(caller))[0], 200)
            caller.start_next_cycle()
            start_drain(session)
            await trio.sleep(STOP_LISTENING_SECONDS)
            await caller.send_request(build_chat())
            with trio.fail_after(0.1):
                self.assertEqual(await read_outcome(caller), (503, "draining"))

        self.play(test)

    def test_request_of_which_half_was_read(self) -> None:
        """Its rest comes once the host has stopped listening: it is refused."""

        async def test(session: Session) -> None:
            assert session.daemon is not None
            ours, theirs = trio.testing.memory_stream_pair()
            session.nursery.start_soon(serve_caller, session.daemon, theirs)
            head = b"POST /filings HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n"
            key = b"authorization: Bearer " + KEY.encode() + b"\r\n\r\n"
            await ours.send_all(head + key + b"ab")
            await trio.sleep(0.1)
            start_drain(session)
            await trio.sleep(STOP_LISTENING_SECONDS)
            await ours.send_all(b"cd")
            with trio.fail_after(0.1):
                answer = bytes(await ours.receive_some(10000))
            self.assertTrue(answer.startswith(b"HTTP/1.1 503"))
            self.assertEqual(session.count_calls("10.0.0.3:80"), 0)

        self.play(test)

    def test_stream_under_way(self) -> None:
        """A stream that goes on is broken off, which its caller can tell."""

        async def test(session: Session) -> None:
            for address in SLOW_SERVERS:
                session.inject_faults(address)
                stand_in = session.stand_ins[address]
                if stand_in.state.kind == "engine":
                    stand_in.state.model.token_seconds = 1.0
            caller = session.open_caller()
            await caller.send_request(build_chat(stream=True, max_tokens=50))
            await trio.sleep(0.5)
            start_drain(session)
            with trio.fail_after(GRACE_SECONDS):
                status, text = await read_outcome(caller)
            self.assertEqual(status, 200)
            self.assertIn(text, ("broken off", "whole"))

        self.play(test)

    def test_process_ends_within_the_grace(self) -> None:
        """With all requests answered the daemon hands over and ends in time."""

        async def test(session: Session) -> None:
            callers = [session.open_caller() for _ in range(3)]
            for caller in callers:
                await caller.send_request(build_chat())
            await trio.sleep(0.1)
            start_drain(session)
            assert session.daemon is not None
            with trio.fail_after(GRACE_SECONDS):
                for caller in callers:
                    await read_outcome(caller)
                await session.daemon.stopped.wait()

        self.play(test)
