"""Tests of the records that hosts write to the store for each other."""

import unittest
from json import dumps

from geraniumhall_core.hosts import Demand, HostRecord
from geraniumhall_core.state import HOSTS_AT_BASE_INTERVAL
from geraniumhall_core.usage import UsageFigures, UsageLine, WindowUsage
from geraniumhall_wire.records import encode_record
from geraniumhall_wire.settings import HostsSettings

HOSTS = 79
WORKSPACES = 16
UNSEALED_WINDOWS = 2
CONTROL_BYTES_PER_SECOND = 7_000  # the budget of a daemon, on the developers' page


def build_record() -> HostRecord:
    """Return the record of a host that serves all workspaces."""
    names = [f"wumi{number:03}" for number in range(WORKSPACES)]
    figures = UsageFigures(requests=3, prompt_tokens=24_187)
    lines = tuple(UsageLine(name, figures) for name in names)
    return HostRecord(
        failure_domain="riga-a",
        incarnation=1_780_000_000_000,
        sequence=120,
        published_at=1_780_000_000.125,
        peer_address="10.1.0.30:7001",
        demands=tuple(Demand(name, 1234.567, 1122.334) for name in names),
        usage=tuple(WindowUsage(n, lines) for n in range(UNSEALED_WINDOWS)),
    )


class RecordSizeTest(unittest.TestCase):
    """Guards against control traffic that delays streams on hosts with thin links."""

    def test_reading_the_records_of_all_hosts_keeps_to_the_budget(self) -> None:
        """What a host reads of 78 others a second is within the control budget."""
        interval = HostsSettings().publish_interval * HOSTS / HOSTS_AT_BASE_INTERVAL
        size = len(dumps(encode_record(build_record())))
        read = (HOSTS - 1) * size / interval
        self.assertLessEqual(read, CONTROL_BYTES_PER_SECOND)


if __name__ == "__main__":
    unittest.main()
