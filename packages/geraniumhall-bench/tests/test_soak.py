"""Tests of the soak: its checks, schedules and links, and a short run."""

import contextlib
import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from geraniumhall_bench.soak import run_soak
from geraniumhall_bench.soak.checker import (
    CHECKER,
    AnswerReceived,
    CallKind,
    CallSent,
    CheckerState,
    FaultEnded,
    FaultStarted,
    LimitEnded,
    LimitStarted,
    ServerCalled,
    SoakEnded,
    UsageReported,
)
from geraniumhall_bench.soak.checks import MODEL_TEXT
from geraniumhall_bench.soak.faults import SOAK_FAULTS, draw_schedule
from geraniumhall_bench.soak.links import Link, LinkState
from geraniumhall_core.reducer import Event

TARGETS_BY_KIND = {"daemon": ["d"], "link": ["l"], "platform": ["p"], "server": ["s"]}
KILL = FaultStarted(at=0.5, target="d", is_planned=False)
STOP = FaultStarted(at=0.5, target="d", is_planned=True)


def build_call(
    name: str = "c1", kind: CallKind = CallKind.MODEL, **fields: bool
) -> CallSent:
    """Return the event of a call that was sent."""
    return CallSent(at=1.0, name=name, kind=kind, daemon="d", **fields)


def build_answer(
    text: str = MODEL_TEXT,
    name: str = "c1",
    status: int = 200,
    is_complete: bool = True,
    verdict: str = "",
) -> AnswerReceived:
    """Return the event of an answer that was received."""
    return AnswerReceived(
        at=2.0,
        name=name,
        status=status,
        is_complete=is_complete,
        text=text,
        verdict=verdict,
    )


def run_checks(*events: Event) -> list[str]:
    """Return the names of the checks that report a finding."""
    state = CheckerState()
    found = [effect for event in events for effect in CHECKER.reduce(state, event)]
    return [finding.check for finding in found]


class LimitCheckTest(unittest.TestCase):
    """A server that names a limit counts the calls that it gets."""

    LIMIT = FaultStarted(at=0.0, target="e1", is_planned=False)
    STARTED = LimitStarted(at=0.0, server="e1")

    def end(self, calls: int) -> LimitEnded:
        """Return the end of a limit of two a second with calls after the contact."""
        arrivals = (0.0, *(1.5 + number / 100 for number in range(calls)))
        return LimitEnded(at=4.0, server="e1", limit=2.0, arrivals=arrivals)

    def test_calls_within_the_limit(self) -> None:
        """One and a half times the limit and five more are allowed in four seconds."""
        self.assertEqual(run_checks(self.LIMIT, self.STARTED, self.end(17)), [])

    def test_calls_beyond_the_limit(self) -> None:
        """One more is reported."""
        found = run_checks(self.LIMIT, self.STARTED, self.end(18))
        self.assertEqual(found, ["limit"])

    def test_other_faults_excuse(self) -> None:
        """Hosts that are killed, suspended or cut off meanwhile are excused."""
        found = run_checks(self.LIMIT, self.STARTED, KILL, self.end(18))
        self.assertEqual(found, [])


class CheckTest(unittest.TestCase):
    """Each check reports its own violation and nothing else."""

    def test_good_run(self) -> None:
        """A call that ran once and was answered is not reported."""
        ran = ServerCalled(at=1.5, name="c1")
        end = SoakEnded(at=9.0, fault_free_since=0.0)
        self.assertEqual(run_checks(build_call(), ran, build_answer(), end), [])

    def test_another_text(self) -> None:
        """A complete answer with another text is reported as mixed up."""
        self.assertEqual(run_checks(build_call(), build_answer("t0 ")), ["mixed"])

    def test_same_submission_for_two_calls_is_reported(self) -> None:
        """Two calls that got the same submission are reported."""
        events = [build_call(name, CallKind.SUBMISSION) for name in ("c1", "c2")]
        answers = [build_answer("7", name) for name in ("c1", "c2")]
        self.assertEqual(run_checks(*events, *answers), ["mixed"])

    def test_submission_that_ran_twice(self) -> None:
        """A submission must run once, whereas a model call may be retried."""
        ran = ServerCalled(at=1.5, name="c1")
        self.assertEqual(
            run_checks(build_call(kind=CallKind.SUBMISSION), ran, ran), ["twice"]
        )
        self.assertEqual(run_checks(build_call(), ran, ran), [])

    def test_refusal_of_what_ran(self) -> None:
        """A run is reported whether it is seen before or after the refusal."""
        ran = ServerCalled(at=1.5, name="c1")
        refused = build_answer(status=503, verdict="not_run")
        self.assertEqual(run_checks(build_call(), ran, refused), ["refused"])
        self.assertEqual(run_checks(build_call(), refused, ran), ["refused"])

    def test_withdrawn_key(self) -> None:
        """A call whose key was revoked must not run."""
        ran = ServerCalled(at=1.5, name="c1")
        self.assertEqual(
            run_checks(build_call(is_key_revoked=True), ran), ["withdrawn key"]
        )

    def test_run_that_nobody_sent(self) -> None:
        """A run without a call is reported."""
        self.assertEqual(run_checks(ServerCalled(at=1.5, name="c9")), ["unasked"])

    def test_cut_answer(self) -> None:
        """A truncated answer is reported unless it overlapped an unplanned fault.

        A fault still counts for `SETTLING_SECONDS` after its end.
        """
        cut = build_answer(is_complete=False)
        self.assertEqual(run_checks(build_call(), cut), ["cut"])
        self.assertEqual(run_checks(STOP, build_call(), cut), ["cut"])
        self.assertEqual(run_checks(KILL, build_call(), cut), [])
        ended = FaultEnded(at=0.9, fault=KILL)
        self.assertEqual(run_checks(KILL, ended, build_call(), cut), [])

    def test_run_without_an_answer(self) -> None:
        """A run without an answer is reported, even during a planned fault."""
        ran = ServerCalled(at=1.5, name="c1")
        lost = build_answer(status=0, is_complete=False)
        end = SoakEnded(at=9.0, fault_free_since=5.0)
        self.assertIn("cut", run_checks(STOP, build_call(), lost, ran, end))
        self.assertNotIn("cut", run_checks(KILL, build_call(), lost, ran, end))

    def test_different_reports_of_a_window(self) -> None:
        """Reports of one window with different figures are reported."""
        reports = [UsageReported(at=1.0, window=3, counts=c) for c in ("a", "a", "b")]
        self.assertEqual(run_checks(*reports), ["usage"])

    def test_no_recovery(self) -> None:
        """A soak in which too few calls are served after the faults is reported."""
        end = SoakEnded(at=9.0, fault_free_since=0.0)
        refused = build_answer(status=503, verdict="not_run")
        self.assertEqual(run_checks(build_call(), refused, end), ["recovery"])


class ScheduleTest(unittest.TestCase):
    """A seed determines the schedule of faults."""

    def test_schedule_is_determined_by_the_seed(self) -> None:
        """The same seed gives the same schedule, another seed another one."""
        schedules = [draw_schedule(seed, 20.0, TARGETS_BY_KIND) for seed in (1, 1, 2)]
        self.assertEqual(schedules[0], schedules[1])
        self.assertNotEqual(schedules[0], schedules[2])

    def test_every_fault_is_drawn(self) -> None:
        """Fifty seeds contain every fault, and every fault ends within the run."""
        steps = [
            s for seed in range(50) for s in draw_schedule(seed, 20.0, TARGETS_BY_KIND)
        ]
        self.assertEqual({step.name for step in steps}, set(SOAK_FAULTS))
        self.assertLessEqual(max(step.at + step.seconds for step in steps), 20.001)


class LinkTest(unittest.TestCase):
    """A link injects the network fault that is set."""

    def run_link(self, test: Callable[[Link], Awaitable[None]]) -> None:
        """Run a test with a link in front of an echo server."""

        async def echo(stream: trio.SocketStream) -> None:
            self.server_stream = stream
            with contextlib.suppress(trio.ClosedResourceError):
                async for data in stream:
                    await stream.send_all(data)

        async def run_test() -> None:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                nursery.start_soon(trio.serve_listeners, echo, listeners)
                host, port = listeners[0].socket.getsockname()[:2]
                link = await Link.open(f"{host}:{port}", nursery)
                await test(link)
                nursery.cancel_scope.cancel()

        trio.run(run_test)

    async def connect(self, link: Link) -> trio.SocketStream:
        """Return a connection through the link."""
        host, port = link.address.split(":")
        return await trio.open_tcp_stream(host, int(port))

    async def close_server(self) -> None:
        """Close the server's side of the latest connection."""
        await self.server_stream.aclose()

    def test_open_link_passes_on(self) -> None:
        """An open link passes data on in both directions."""

        async def test(link: Link) -> None:
            stream = await self.connect(link)
            await stream.send_all(b"a")
            self.assertEqual(await stream.receive_some(1), b"a")

        self.run_link(test)

    def test_held_back_until_open(self) -> None:
        """Data that a link held back is passed on once it is open again."""
        for state in (LinkState.SILENT, LinkState.ONE_WAY):
            with self.subTest(state=state):

                async def test(link: Link, state: LinkState = state) -> None:
                    stream = await self.connect(link)
                    link.set_state(state)
                    await stream.send_all(b"a")
                    with trio.move_on_after(0.05) as waited:
                        await stream.receive_some(1)
                    self.assertTrue(waited.cancelled_caught)
                    link.set_state(LinkState.OPEN)
                    self.assertEqual(await stream.receive_some(1), b"a")

                self.run_link(test)

    def test_reset(self) -> None:
        """Resetting a link breaks its open connections."""

        async def test(link: Link) -> None:
            stream = await self.connect(link)
            await stream.send_all(b"a")
            await stream.receive_some(1)
            link.reset()
            with self.assertRaises(trio.BrokenResourceError):
                await stream.receive_some(1)

        self.run_link(test)

    def test_reset_of_a_connection_that_the_server_closed(self) -> None:
        """A silent link may hold data for a connection whose server has closed."""

        async def test(link: Link) -> None:
            stream = await self.connect(link)
            await stream.send_all(b"a")
            await stream.receive_some(1)
            link.set_state(LinkState.SILENT)
            await stream.send_all(b"b")
            await trio.sleep(0.05)
            await self.close_server()
            await trio.sleep(0.05)
            link.reset()
            self.assertEqual(await stream.receive_some(1), b"")

        self.run_link(test)

    def test_refusing(self) -> None:
        """A refusing link closes new connections at once."""

        async def test(link: Link) -> None:
            link.set_state(LinkState.REFUSING)
            stream = await self.connect(link)
            with contextlib.suppress(trio.BrokenResourceError):
                self.assertEqual(await stream.receive_some(1), b"")

        self.run_link(test)


class RunTest(unittest.TestCase):
    """A soak of real processes."""

    def test_short_run(self) -> None:
        """A run of seed 1 with 4 s of faults has no findings and serves calls."""
        result = trio.run(run_soak, 1, 4.0)
        self.assertEqual(result.findings, ())
        self.assertGreater(result.served, 0)
