"""Socket options by which a connection that has gone silent is noticed."""

import socket

KEEPALIVE_IDLE_S = 1  # a peer cut off without a reset shows within about three seconds
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def guard_against_silence(sock: socket.socket, unacked_s: float) -> None:
    """Let the kernel end a connection whose peer acknowledges nothing.

    `unacked_s` bounds how long sent bytes may stay unacknowledged, in seconds;
    an idle connection ends after two unanswered probes.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(1e3 * unacked_s))


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of 'host:port'; raise ValueError for anything else."""
    host, sep, port = address.rpartition(':')
    if not sep or not host or not port.isdecimal() or not 0 < int(port) <= 65_535:
        raise ValueError(f'expected host:port, got {address!r}')
    return host, int(port)
