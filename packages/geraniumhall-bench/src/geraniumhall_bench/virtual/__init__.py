"""Several daemons' reducers in one process, on a virtual clock."""

from geraniumhall_bench.virtual import performers
from geraniumhall_bench.virtual.hosts import PLATFORM_NAME, VirtualHosts

__all__ = ["PLATFORM_NAME", "VirtualHosts", "performers"]
