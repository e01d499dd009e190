"""A randomized run of real processes under faults from outside.

A seed draws a plan of faults: signals to daemons, links that delay, reset,
fall silent or carry one way only, a store and servers that misbehave, edits
beside them. Callers keep their connections meanwhile. The witness checks what
callers and servers see against what must hold.
"""

from geraniumhall_bench.soak import checks, faults
from geraniumhall_bench.soak.run import SoakResult, run_soak

__all__ = ["SoakResult", "checks", "faults", "run_soak"]
