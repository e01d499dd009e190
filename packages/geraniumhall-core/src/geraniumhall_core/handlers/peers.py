"""Dispatches peer messages by type, and selects the peers to send to."""

from collections.abc import Callable, Iterator
from typing import Any

from xxhash import xxh64_intdigest

from geraniumhall_core.events import PeerMessageReceived
from geraniumhall_core.handlers.reducer import REDUCER
from geraniumhall_core.hosts import KnownHost
from geraniumhall_core.reducer import Effect
from geraniumhall_core.registry import Registry
from geraniumhall_core.state import DaemonState

MAX_PEERS = 16

PeerMessageHandler = Callable[[DaemonState, PeerMessageReceived, Any], Iterator[Effect]]
PEER_MESSAGE_HANDLERS: Registry[type, PeerMessageHandler] = Registry(
    "peer message handler"
)


@REDUCER.handles(PeerMessageReceived)
def receive_message(state: DaemonState, event: PeerMessageReceived) -> Iterator[Effect]:
    """Dispatch a peer message by its type; ignore this host's own messages."""
    if event.message.host != state.policy.host:
        handler = PEER_MESSAGE_HANDLERS.find(type(event.message))
        yield from handler(state, event, event.message)


def list_peers(state: DaemonState, now: float) -> dict[str, str]:
    """Return the addresses of at most `MAX_PEERS` live, listening hosts by name."""
    return _sample_addresses(state, state.list_live_hosts(now))


def list_lenders(state: DaemonState, now: float) -> dict[str, str]:
    """Return the addresses of at most `MAX_PEERS` hosts with shares of the limits.

    A leaving host has little use for its share, but the others count it until its
    records are silent.
    """
    return _sample_addresses(state, state.list_claimants(now))


def _sample_addresses(
    state: DaemonState, hosts: dict[str, KnownHost]
) -> dict[str, str]:
    """Return the addresses of at most `MAX_PEERS` of the listening hosts.

    If there are more, rendezvous hashing picks a stable sample, so that the
    number of messages that a host sends does not grow with the number of hosts.
    """
    addresses = {name: known.record.peer_address for name, known in hosts.items()}
    listening = {name: address for name, address in addresses.items() if address}
    seed = xxh64_intdigest(state.policy.host)
    ranked = sorted(listening, key=lambda name: xxh64_intdigest(name, seed=seed))
    return {name: listening[name] for name in ranked[:MAX_PEERS]}
