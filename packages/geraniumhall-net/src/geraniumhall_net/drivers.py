"""Drivers of the platform's interfaces, chosen in the settings by name.

A driver takes a message and returns an answer. It never raises for a fault
of the platform: that is a `PlatformFailure` whose verdict says whether a
write may have taken effect.
"""

from collections.abc import Callable
from typing import Protocol

from geraniumhall_core.platform import PlatformAnswer, PlatformMessage
from geraniumhall_core.registry import Registry
from geraniumhall_net.client import Connector
from geraniumhall_wire.settings import Settings


class PlatformDriver(Protocol):
    """A way to reach the platform."""

    async def call(self, message: PlatformMessage) -> PlatformAnswer:
        """Make one call and return its answer."""


DriverBuilder = Callable[[Settings, Connector], PlatformDriver]
PLATFORM_DRIVERS: Registry[str, DriverBuilder] = Registry("platform driver")
