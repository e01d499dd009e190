"""Messages between hosts over UDP."""

import trio

from geraniumhall_core.effects import SendToPeers
from geraniumhall_core.events import PeerMessageReceived
from geraniumhall_daemon.daemon import PERFORMERS, Daemon
from geraniumhall_daemon.logs import write_log
from geraniumhall_wire.converter import InvalidDataError
from geraniumhall_wire.peers import decode_peer_message, encode_peer_message
from geraniumhall_wire.settings import split_address

MAX_DATAGRAM_BYTES = 65536


async def receive_messages(daemon: Daemon) -> None:
    """Dispatch received messages until cancelled; log and drop invalid ones."""
    assert daemon.peers_socket is not None
    while True:
        try:
            data, _ = await daemon.peers_socket.recvfrom(MAX_DATAGRAM_BYTES)
            message = decode_peer_message(data)
        except InvalidDataError as error:
            write_log("warning", "peer_message_unusable", {"reason": str(error)})
        except OSError as error:
            write_log("warning", "peer_message_not_received", {"reason": str(error)})
        else:
            daemon.dispatch(
                PeerMessageReceived(
                    at=daemon.read_now(), message=message, draws=daemon.draw()
                )
            )


async def open_peers_socket(address: str) -> trio.socket.SocketType:
    """Bind a UDP socket to `address`; raises `OSError`."""
    udp_socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
    await udp_socket.bind(split_address(address))
    return udp_socket


@PERFORMERS.performs(SendToPeers)
async def send_to_peers(daemon: Daemon, effect: SendToPeers) -> None:
    """Send a message to each peer; a failed send is logged and not retried."""
    if daemon.peers_socket is None:
        return
    try:
        data = encode_peer_message(effect.message)
    except (OverflowError, ValueError) as error:
        fields = {"message": type(effect.message).__name__, "reason": str(error)}
        write_log("error", "peer_message_not_encoded", fields)
        return
    for address in effect.addresses:
        try:
            await daemon.peers_socket.sendto(data, split_address(address))
        except (OSError, ValueError) as error:
            fields = {"address": address, "reason": str(error)}
            write_log("debug", "peer_message_not_sent", fields)
