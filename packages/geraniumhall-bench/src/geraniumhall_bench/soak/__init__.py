"""A randomized test of real processes under injected faults.

A seed determines the schedule of faults: signals to daemons, links that delay,
reset, refuse, hold back or carry data one way only, faults of the platform and
of backend servers, and key rotation. Callers send requests over kept-alive
connections meanwhile. The checker compares what callers and servers observed
with the guarantees of the system.
"""

from geraniumhall_bench.soak import checks, faults
from geraniumhall_bench.soak.run import SoakResult, run_soak

__all__ = ["SoakResult", "checks", "faults", "run_soak"]
