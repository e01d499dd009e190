"""A test that memory is given back after crowds of different kinds.

One `geraniumhalld` meets crowd after crowd. After each has left, the memory of the
process comes under half of the host's again, so that the next crowd finds the room that
the first one had.
"""

import unittest
from typing import Any

import trio
from crowds import MIB, Crowd, CrowdCase, Sender, build_seed, open_crowd
from test_crowds import BLOCK, CHUNKED, build_sender, send_many_parts

MAX_MEMORY = 160 * MIB
MAX_HELD_MEMORY = MAX_MEMORY // 2
MAX_BODY = 8 * MIB
CROWD = 60
JSON_CROWD = 20
ROUNDS = 2
CROWD_SECONDS = 6.0
LEFT_SECONDS = 4.0
SIZE = MAX_BODY - len(BLOCK)
CROWDS: dict[str, tuple[int, Sender]] = {
    "large chunks": (CROWD, build_sender(CHUNKED, BLOCK, SIZE)),
    "small chunks": (CROWD, build_sender(CHUNKED, b"x" * 256, SIZE)),
    "over the limit": (CROWD, build_sender(CHUNKED, BLOCK, 4 * MAX_BODY)),
    "many parts": (JSON_CROWD, send_many_parts),
}


def build_settings(server: str) -> dict[str, Any]:
    """Return settings of a daemon with the default limits."""
    return {
        "host": {"name": "h1", "failure_domain": "a"},
        "callers": {"listen": "127.0.0.1:0"},
        "admin": {"listen": "127.0.0.1:0"},
        "platform": {"driver": "memory", "seed": build_seed(server, "filings")},
    }


async def wait_until_returned(crowd: Crowd) -> int:
    """Return the memory held once it is under its bound, or at last."""
    with trio.move_on_after(LEFT_SECONDS):
        while crowd.read_memory("VmRSS") > MAX_HELD_MEMORY:
            await trio.sleep(0.1)
    return crowd.read_memory("VmRSS")


class ReturnedMemoryTest(CrowdCase):
    """What crowds have held is free for others once they have left."""

    def test_crowds_of_different_kinds(self) -> None:
        """One after the other, each kind twice."""
        held: dict[str, int] = {}
        found: dict[str, Any] = {}

        async def run() -> None:
            async with open_crowd(build_settings) as crowd:
                for number in range(ROUNDS):
                    for name, (count, send) in CROWDS.items():
                        with trio.move_on_after(CROWD_SECONDS):
                            await crowd.send_all(count, send)
                        await crowd.leave()
                        held[f"{name} {number}"] = await wait_until_returned(crowd)
                found["answer"] = await crowd.call_ordinarily()
                found["peak"] = crowd.read_memory("VmHWM")
                found["exit"] = crowd.process.process.poll()

        trio.run(run)
        self.check({**found, **held}, MAX_MEMORY)
        self.assertLess(max(held.values()), MAX_HELD_MEMORY)


if __name__ == "__main__":
    unittest.main()
