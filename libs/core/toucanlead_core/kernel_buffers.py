"""What the kernel holds for a connection, and how to make it let go."""

import asyncio
import contextlib
import errno
import fcntl
import socket
import struct
import termios

import structlog
from attrs import frozen

log = structlog.get_logger()

_UNSUPPORTED = {errno.ENOTTY, errno.EINVAL, errno.EOPNOTSUPP, errno.ENOSYS}
UNSENT_BYTES = 32_768  # the kernel takes no more of an answer before it has sent some of it
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@frozen
class KernelBytes:
    """Bytes that have arrived and are `unread`, and bytes that the peer has not acknowledged."""

    unread: int = 0
    unsent: int = 0

    @property
    def total(self) -> int:
        """All bytes."""
        return self.unread + self.unsent


NO_BYTES = KernelBytes()


class KernelBuffers:
    """Asks the kernel for the bytes of sockets, until it says that it cannot tell."""

    def __init__(self) -> None:
        self.supported = True

    def measure(self, transport: asyncio.Transport | None) -> KernelBytes:
        """Return the bytes of a connection, with those that the kernel has not taken yet.

        The kernel's are left out if it cannot tell.
        """
        if transport is None:
            return NO_BYTES
        waiting = transport.get_write_buffer_size()
        sock = _socket_of(transport)
        if sock is None or not self.supported:
            return KernelBytes(0, waiting)
        try:
            unread, unsent = _count(sock, termios.FIONREAD), _count(sock, termios.TIOCOUTQ)
        except OSError as exc:
            if exc.errno in _UNSUPPORTED:
                self.supported = False
                log.warning('kernel_buffers_unknown', error=exc.strerror)
            return KernelBytes(0, waiting)
        return KernelBytes(unread, waiting + unsent)


def limit_unsent(transport: asyncio.BaseTransport) -> None:
    """Have the kernel take little more of an answer than it can send.

    What is on its way to the peer is not limited, so that a large answer keeps its pace.
    """
    sock = _socket_of(transport)
    if sock is not None:
        with contextlib.suppress(OSError):  # not every system has the option
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES)


def reset(transport: asyncio.BaseTransport | None) -> None:
    """Close a connection at once; what the kernel holds for it is dropped."""
    if transport is None:
        return
    sock = _socket_of(transport)
    if sock is not None:
        with contextlib.suppress(OSError):  # it may be gone already
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()


def _socket_of(transport: asyncio.BaseTransport | None):
    """Return the open socket of a connection, None if there is none."""
    sock = None if transport is None else transport.get_extra_info('socket')
    return sock if sock is not None and sock.fileno() >= 0 else None


def _count(sock, request: int) -> int:
    return struct.unpack('i', fcntl.ioctl(sock.fileno(), request, bytes(4)))[0]
