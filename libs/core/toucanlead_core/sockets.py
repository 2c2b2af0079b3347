"""TCP options that detect dead connections, and parsing of addresses."""

import socket

# A connection to an unreachable peer fails after about 3 s: idle time + probes * interval.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
MAX_SHOWN_CHARS = 80  # of a malformed address, in an error


def set_dead_peer_timeouts(sock: socket.socket, unacked_s: float) -> None:
    """Make the kernel close a connection whose peer stops acknowledging data.

    `unacked_s` is the time in seconds that sent data may stay unacknowledged. An idle
    connection is closed after two unanswered keepalive probes.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(1e3 * unacked_s))


def split_address(address: str) -> tuple[str, int]:
    """Split 'host:port' into host and port; raise ValueError if it is malformed."""
    host, _, port = address.rpartition(':')
    digits = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    if not host or not digits or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'expected host:port, got {address[:MAX_SHOWN_CHARS]!r}')
    return host, int(port)
