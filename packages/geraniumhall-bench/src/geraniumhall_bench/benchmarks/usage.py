"""CPU time and memory of a process, as the kernel accounts for them in /proc."""

import os
from pathlib import Path

import attrs

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
KIB_PER_MIB = 1024


@attrs.frozen
class ProcessUsage:
    """CPU time so far, user and system, in seconds; resident memory in MiB."""

    cpu_seconds: float
    resident_mib: float

    @classmethod
    def from_pid(cls, pid: int) -> "ProcessUsage":
        """Read the figures of a running process."""
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return cls(ticks / TICKS_PER_SECOND, _read_resident_mib(pid))


def _read_resident_mib(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KIB_PER_MIB
    return 0.0
