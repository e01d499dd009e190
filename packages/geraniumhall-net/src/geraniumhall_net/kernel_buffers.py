"""Bounds on the bytes that the kernel holds for a connection.

Without them a buffer grows with the speed of its connection, up to megabytes. Bytes
that were received and not read, or sent and not taken, count toward the memory of the
host.

A listening socket passes its bounds on to the connections that it accepts, also while
they wait for that::

    limit_buffers(listening_socket, WAITING_RECEIVE_BYTES, SEND_BYTES)
"""

import socket

import trio
from loguru import logger

# The kernel doubles the sizes, for its own data too: see socket(7).
KERNEL_FACTOR = 2
WAITING_RECEIVE_BYTES = 8 * 2**10  # of a caller of whom little was read
UPLOAD_RECEIVE_BYTES = 64 * 2**10  # of a caller who sends a long body
SEND_BYTES = 32 * 2**10  # to a caller
SERVER_RECEIVE_BYTES = 16 * 2**10  # from a server
SERVER_SEND_BYTES = 64 * 2**10  # to a server
# Of an answer that its caller takes slowly, on both connections.
UNTAKEN_BYTES = KERNEL_FACTOR * (SEND_BYTES + SERVER_RECEIVE_BYTES)


def limit_buffers(
    tcp_socket: trio.socket.SocketType, receive_bytes: int, send_bytes: int
) -> None:
    """Bound both buffers of a socket that is not yet connected, in bytes."""
    _set_size(tcp_socket, socket.SO_RCVBUF, receive_bytes)
    _set_size(tcp_socket, socket.SO_SNDBUF, send_bytes)


def limit_receive_buffer(tcp_socket: trio.socket.SocketType, size: int) -> None:
    """Bound the receive buffer of a socket in bytes, also of a connected one."""
    _set_size(tcp_socket, socket.SO_RCVBUF, size)


def _set_size(tcp_socket: trio.socket.SocketType, option: int, size: int) -> None:
    """Set the size of a buffer; a system that refuses keeps its own size."""
    try:
        tcp_socket.setsockopt(socket.SOL_SOCKET, option, size)
    except OSError as error:
        fields = {"option": option, "size": size, "reason": str(error)}
        logger.bind(**fields).warning("socket_buffer_not_limited")
