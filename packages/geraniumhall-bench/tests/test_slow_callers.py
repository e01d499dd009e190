"""A test of a sound caller that reads slowly, against a real daemon."""

import unittest
from typing import Any

import trio
from crowds import ORDINARY, REPORT_BYTES, build_seed, open_crowd

REPORT = ORDINARY.replace(b"/filings", b"/reports")
READ_BYTES = 1024
PAUSE_SECONDS = 0.05
PLAY_SECONDS = 90.0


def build_settings(server: str) -> dict[str, Any]:
    """Return settings of a daemon with the default limits."""
    seed = build_seed(server, "filings", "reports")
    for entry in seed["entry"].values():
        entry["limits"] = {"deadline": PLAY_SECONDS}
    return {
        "host": {"name": "h1", "failure_domain": "a"},
        "callers": {"listen": "127.0.0.1:0"},
        "admin": {"listen": "127.0.0.1:0"},
        "platform": {"driver": "memory", "seed": seed},
    }


class SlowCallerTest(unittest.TestCase):
    """A caller that goes on reading is not cut off."""

    def test_slow_caller_gets_the_whole_answer(self) -> None:
        """It reads a little many times a second, far less than it is sent."""
        sizes: list[int] = []

        async def run() -> None:
            async with open_crowd(build_settings) as crowd:
                stream = await crowd.connect()
                await stream.send_all(REPORT)
                with trio.move_on_after(PLAY_SECONDS):
                    while sum(sizes) < REPORT_BYTES:
                        data = await stream.receive_some(READ_BYTES)
                        if not data:
                            break
                        sizes.append(len(data))
                        await trio.sleep(PAUSE_SECONDS)

        trio.run(run)
        self.assertGreaterEqual(sum(sizes), REPORT_BYTES)


if __name__ == "__main__":
    unittest.main()
