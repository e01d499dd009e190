"""Socket options by which a connection to a lost peer ends by itself.

Without them a connection whose packets are dropped on the way looks idle for
as long as nobody sends.
"""

import socket

import trio

KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MILLISECONDS = 4000


def enable_tcp_keepalive(tcp_socket: trio.socket.SocketType) -> None:
    """Let the kernel probe an idle peer and give up on an unresponsive one."""
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
