"""Drivers of the platform's interfaces, registered under their settings names.

A driver sends a message and returns the answer. It raises nothing for a
failure of the platform but returns a `PlatformFailure`, whose verdict says
whether a write may have taken effect.
"""

from collections.abc import Callable
from typing import Protocol

from geraniumhall_core.platform import PlatformAnswer, PlatformMessage
from geraniumhall_core.registry import Registry
from geraniumhall_net.client import Connector
from geraniumhall_wire.settings import Settings


class PlatformDriver(Protocol):
    """Client of the platform's interfaces."""

    async def call(self, message: PlatformMessage) -> PlatformAnswer:
        """Make one call and return its answer."""


DriverBuilder = Callable[[Settings, Connector], PlatformDriver]
PLATFORM_DRIVERS: Registry[str, DriverBuilder] = Registry("platform driver")
