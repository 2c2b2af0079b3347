"""TCP options that detect dead connections, the size of reads, and parsing of addresses."""

import asyncio
import socket

from attrs import frozen

READ_BYTES = 65_536  # taken from a socket at once
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
MAX_SHOWN_CHARS = 80  # of a malformed address, in an error


@frozen
class DeadPeerTimeouts:
    """When the kernel gives up a connection whose peer has fallen silent.

    The first probe is sent after `idle_s` without a byte from the peer, the next ones every
    `interval_s`. `unacked_s` is TCP_USER_TIMEOUT: once it is set, Linux takes it in place of
    the count of probes, and closes a connection at the first probe that is due `unacked_s`
    or more after the last byte. It also limits how long sent data may stay unacknowledged,
    and how long the peer may leave its receive window closed.
    """

    idle_s: int
    interval_s: int
    unacked_s: float

    @property
    def probes(self) -> int:
        """How many probes stay unanswered before the connection is closed."""
        sent, due_s = 1, self.idle_s + self.interval_s
        while due_s < self.unacked_s:
            sent += 1
            due_s += self.interval_s
        return sent

    @property
    def closed_after_s(self) -> int:
        """Time from the last byte of a silent peer until the connection is closed.

        It holds while no sent data is unacknowledged, as for a request that waits.
        """
        return self.idle_s + self.probes * self.interval_s

    @property
    def tolerated_silence_s(self) -> float:
        """The longest silence of a peer that never costs the connection.

        The last probe must reach a peer that fell silent just before the first one. Data is
        sent again after growing pauses, the last of which may span half of `unacked_s`.
        """
        return min((self.probes - 1) * self.interval_s, self.unacked_s / 2)

    def apply(self, sock: socket.socket) -> None:
        """Set the options of a connected socket."""
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, self.idle_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, self.interval_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, self.probes)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(1e3 * self.unacked_s))


# A sound peer may fall silent for two seconds; keep-alive counts whole seconds.
DEAD_PEER_TIMEOUTS = DeadPeerTimeouts(idle_s=1, interval_s=1, unacked_s=4.0)


def set_dead_peer_timeouts(sock: socket.socket) -> None:
    """Send data at once, and make the kernel close a connection whose peer is dead."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    DEAD_PEER_TIMEOUTS.apply(sock)


def limit_reads(transport: asyncio.BaseTransport) -> None:
    """Take at most READ_BYTES from a connection's socket at once."""
    if hasattr(transport, 'max_size'):
        transport.max_size = READ_BYTES  # asyncio has no setter for it


def split_address(address: str) -> tuple[str, int]:
    """Split 'host:port' into host and port; raise ValueError if it is malformed."""
    host, _, port = address.rpartition(':')
    digits = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    if not host or not digits or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'expected host:port, got {address[:MAX_SHOWN_CHARS]!r}')
    return host, int(port)
