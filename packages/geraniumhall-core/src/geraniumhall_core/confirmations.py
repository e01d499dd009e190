"""Confirmation policies: who confirms a host's copy of the store.

Each policy is a function registered under the name used in settings. It gets the place
of this host among the hosts of its failure domain and returns how this host confirms
its copy::

    @CONFIRMATION_POLICIES.register("first_reads")
    def let_first_read(rank):
        return ReaderRole.READER if rank == 0 else ReaderRole.FOLLOWER
"""

from collections.abc import Callable
from enum import Enum

from geraniumhall_core.registry import Registry


class ReaderRole(Enum):
    """How a host keeps its copy of the store current."""

    READER = "reader"
    FOLLOWER = "follower"


ConfirmationPolicy = Callable[[int], ReaderRole]
CONFIRMATION_POLICIES: Registry[str, ConfirmationPolicy] = Registry(
    "confirmation policy"
)


@CONFIRMATION_POLICIES.register("store")
def read_store(rank: int) -> ReaderRole:
    """Let every host read the store itself: the baseline."""
    return ReaderRole.READER
