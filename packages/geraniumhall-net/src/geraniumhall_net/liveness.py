"""TCP socket options that detect a dead peer.

Without them a connection whose packets are dropped by the network looks idle
for as long as neither side sends.
"""

import socket

import trio

KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MILLISECONDS = 4000


def enable_tcp_keepalive(tcp_socket: trio.socket.SocketType) -> None:
    """Let the kernel close a connection whose peer acknowledges no probe or data."""
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS
    )
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS
    )
