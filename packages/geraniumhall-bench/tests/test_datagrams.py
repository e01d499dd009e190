"""Tests of strangers at the address on which hosts tell each other of their state.

Each test starts one `geraniumhalld` on a host with little memory, sends it many
datagrams of one kind and checks that the process lives, that its memory stays under the
host's and that one ordinary request is answered afterwards.
"""

import socket
import unittest
from collections.abc import Callable
from typing import Any

import trio
from crowds import MIB, Crowd, CrowdCase, build_seed, open_crowd
from msgpack import packb

from geraniumhall_wire.peers import FORMAT_VERSION

HOST_MEMORY = 96 * MIB
DATAGRAMS = 2000
PAUSE_SECONDS = 0.001
ROWS = 2500  # of a datagram
LONG_NAME = "y" * 40_000

DatagramBuilder = Callable[[int], bytes]


def find_free_port() -> int:
    """Return a UDP port that no socket is bound to now."""
    with socket.socket(type=socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def build_datagram(name: str, *fields: Any) -> bytes:
    """Return a datagram as a host would encode it."""
    return packb([FORMAT_VERSION, name, *fields])


class DatagramTest(CrowdCase):
    """No datagrams of strangers end a daemon or exceed its memory."""

    def play(self, build: DatagramBuilder) -> None:
        """Send datagrams, numbered from zero, and check what must hold."""
        port = find_free_port()
        found: dict[str, Any] = {}

        def build_settings(server: str) -> dict[str, Any]:
            memory = f"{HOST_MEMORY}B"
            return {
                "host": {"name": "h1", "failure_domain": "a", "memory": memory},
                "callers": {"listen": "127.0.0.1:0"},
                "admin": {"listen": "127.0.0.1:0"},
                "hosts": {"listen": f"127.0.0.1:{port}"},
                "platform": {"driver": "memory", "seed": build_seed(server, "filings")},
            }

        async def run() -> None:
            async with open_crowd(build_settings) as crowd:
                await self.send_all(crowd, port, build)
                found["answer"] = await crowd.call_ordinarily()
                found["peak"] = crowd.read_memory("VmHWM")
                found["exit"] = crowd.process.process.poll()

        trio.run(run)
        self.check(found, HOST_MEMORY)

    async def send_all(self, crowd: Crowd, port: int, build: DatagramBuilder) -> None:
        """Send the datagrams at a pace at which few of them are lost."""
        with socket.socket(type=socket.SOCK_DGRAM) as stranger:
            for number in range(DATAGRAMS):
                stranger.sendto(build(number), ("127.0.0.1", port))
                await trio.sleep(PAUSE_SECONDS)

    def test_reports_of_hosts_that_do_not_exist(self) -> None:
        """Each one names a host of its own, with work at many servers."""

        def build(number: int) -> bytes:
            work = [[f"s{number}-{row}", 1, 1, 1] for row in range(ROWS)]
            return build_datagram("load", f"x{number}", 1, 1, work, [], [])

        self.play(build)

    def test_summaries_of_domains_that_do_not_exist(self) -> None:
        """Each one names a failure domain of its own."""

        def build(number: int) -> bytes:
            work = [[f"s{number}-{row}", 1, 1, 1] for row in range(ROWS)]
            fields = (f"x{number}", 1, 1, f"d{number}", 1, 0, 1, work, [], [])
            return build_datagram("sum", *fields)

        self.play(build)

    def test_prompts_of_servers(self) -> None:
        """Each one names many parts of prompts that a known server keeps."""

        def build(number: int) -> bytes:
            parts = [[number * ROWS + row, 5] for row in range(ROWS)]
            uses = [["s1", parts]]
            return build_datagram("load", f"x{number}", 1, 1, [], uses, [])

        self.play(build)

    def test_limits_of_servers_with_long_names(self) -> None:
        """Each one states a limit of a server with a name of its own."""

        def build(number: int) -> bytes:
            statement = [[f"{number}{LONG_NAME}", 1], 1.0, 1, "x"]
            return build_datagram("limits", "x", [[statement, 0.0]], [], "")

        self.play(build)

    def test_speeds_of_servers_that_do_not_exist(self) -> None:
        """Each one tells the speed of many servers."""

        def build(number: int) -> bytes:
            speeds = [[f"s{number}-{row}", 50, 100, False] for row in range(ROWS)]
            return build_datagram("load", f"x{number}", 1, 1, [], [], speeds)

        self.play(build)

    def test_deeply_nested_lists(self) -> None:
        """Each one is deeper than any decoder goes."""
        self.play(lambda number: b"\x91" * 60_000)

    def test_lists_that_break_off(self) -> None:
        """Each one ends within many lists, none of them empty."""
        self.play(lambda number: b"\xdc\xff\xff" + b"\x93\x01\x02" * 500)

    def test_holds_of_parts(self) -> None:
        """Each one holds a part of a prompt for good."""

        def build(number: int) -> bytes:
            hold = [1, None, "operator", ""]
            return build_datagram("part", "x", f"p{number}", [], hold, [], 0)

        self.play(build)


if __name__ == "__main__":
    unittest.main()
