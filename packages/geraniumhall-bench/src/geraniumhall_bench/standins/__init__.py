"""Stand-ins for the platform, model engines, replicas and plain services.

Importing this package registers every behaviour and fault with `STAND_IN`.
"""

from geraniumhall_bench.standins import engine, faults, platform, replica, service
from geraniumhall_bench.standins.model import STAND_IN, StandInState

__all__ = [
    "STAND_IN",
    "StandInState",
    "engine",
    "faults",
    "platform",
    "replica",
    "service",
]
