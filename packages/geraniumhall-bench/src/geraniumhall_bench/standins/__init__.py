"""Small stand-ins for the platform, engines and plain services.

Importing `STAND_IN` from here gives the reducer with every behaviour and
fault registered.
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
