"""Clients that stay outside the limits, among the faults of a soak."""

import asyncio
import contextlib
import itertools
import random
import socket
import struct

from toucanlead_platform_standins.site import (
    BOOKING_PATH,
    CALLER_PORT,
    LOOKUP_PATH,
    ROUTE_HOST,
)

BODY_BYTES = 1_000_000  # the longest body of a soak's configuration
PIECE_BYTES = 65_536
LARGE_CHUNK = b'%x\r\n%s\r\n' % (PIECE_BYTES, b'x' * PIECE_BYTES)
HEADER_LINE = b'A: ' + b'x' * 8000 + b'\r\n'
TINY_CHUNKS = b'1\r\nx\r\n' * 10_000
AHEAD = 200  # requests ahead on a connection whose answers are not read
CLIENT_BUFFER_BYTES = 4096
STAY_S = 3.0  # at most, for a client that has sent what it wants to
SEND_LIMIT_S = 3.0
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_NUMBERS = itertools.count(1)


def head(path: str, *lines: str) -> bytes:
    """Return the head of a request of the crowd."""
    fixed = (
        f'POST {path}x HTTP/1.1',
        f'Host: {ROUTE_HOST}',
        f'Toucanlead-Request-Id: crowd-{next(_NUMBERS)}',
        'Toucanlead-Deadline-Ms: 2000',
    )
    return '\r\n'.join((*fixed, *lines)).encode() + b'\r\n\r\n'


def with_length(sent: int) -> list[bytes]:
    """Return a request whose longest body ends after `sent` bytes."""
    pieces = [b'x' * PIECE_BYTES] * (sent // PIECE_BYTES) + [b'x' * (sent % PIECE_BYTES)]
    return [head(LOOKUP_PATH, f'Content-Length: {BODY_BYTES}'), *pieces]


def in_chunks(chunks: bytes, count: int) -> list[bytes]:
    """Return a request whose body has no end."""
    return [head(LOOKUP_PATH, 'Transfer-Encoding: chunked'), *[chunks] * count]


def ahead(path: str) -> list[bytes]:
    """Return requests that are sent before the first of them is answered."""
    return [head(path, 'Content-Length: 0') for _ in range(AHEAD)]


KINDS = (
    lambda: with_length(BODY_BYTES - 1),
    lambda: with_length(BODY_BYTES),
    lambda: in_chunks(LARGE_CHUNK, BODY_BYTES // PIECE_BYTES),
    lambda: in_chunks(TINY_CHUNKS, 4),
    lambda: ahead(LOOKUP_PATH),
    lambda: ahead(BOOKING_PATH),
    lambda: [b'POST / HTTP/1.1\r\n', *[HEADER_LINE] * 20],
    list,
)


async def misbehave(ip: str, rng: random.Random) -> None:
    """Connect to an entry once, send something, and stay, close or reset."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock, contextlib.suppress(OSError, TimeoutError):
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
        if rng.random() < 0.5:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        async with asyncio.timeout(SEND_LIMIT_S):
            await loop.sock_connect(sock, (ip, CALLER_PORT))
            for piece in rng.choice(KINDS)():
                await loop.sock_sendall(sock, piece)
        if rng.random() < 0.5:
            await asyncio.sleep(STAY_S * rng.random())
