"""Messages between hosts over UDP."""

import trio

from geraniumhall_core.effects import SendToPeers
from geraniumhall_core.events import PeerMessageReceived
from geraniumhall_core.peers import PeerMessage
from geraniumhall_core.senders import SenderVerdict
from geraniumhall_daemon.daemon import PERFORMERS, Daemon
from geraniumhall_daemon.logs import write_log
from geraniumhall_wire.converter import InvalidDataError
from geraniumhall_wire.peers import (
    decode_peer_message,
    decode_question,
    encode_peer_message,
)
from geraniumhall_wire.settings import split_address

MAX_DATAGRAM_BYTES = 65536


async def receive_messages(daemon: Daemon) -> None:
    """Dispatch received messages until cancelled; count and drop invalid ones."""
    assert daemon.peers_socket is not None
    while True:
        try:
            data, address = await daemon.peers_socket.recvfrom(MAX_DATAGRAM_BYTES)
            message = _decode_message(daemon, data, f"{address[0]}:{address[1]}")
        except InvalidDataError as error:
            daemon.limit_log.record_datagram("unusable", str(error))
        except OSError as error:
            daemon.limit_log.record_datagram("not_received", str(error))
        else:
            if message is not None:
                event = PeerMessageReceived(
                    at=daemon.read_now(), message=message, draws=daemon.draw()
                )
                daemon.dispatch(event)


def _decode_message(daemon: Daemon, data: bytes, sender: str) -> PeerMessage | None:
    """Decode what may be read of a datagram, None if that is nothing."""
    now = daemon.read_now()
    screen = daemon.senders
    if screen.is_due(now):
        known = daemon.state.hosts.known.values()
        screen.list_hosts((host.record.peer_address for host in known), now)
    verdict = screen.judge(sender, len(data), now)
    if verdict is SenderVerdict.MESSAGE:
        return decode_peer_message(data)
    if verdict is SenderVerdict.QUESTION:
        return decode_question(data, sender)
    daemon.limit_log.record_datagram("refused", f"{sender} is not known as a host")
    return None


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
