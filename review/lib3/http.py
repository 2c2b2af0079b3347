"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable

from attrs import define, field

READ_LIMIT = 1 << 20
PIECE_BYTES = 65_536
WINDOW_BYTES = 65_536


@define
class Request:
    """One request as it was received; header names are in lowercase."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b''


@define
class Answer:
    """One response as it was received; `complete` says whether the whole body has come."""

    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b''
    complete: bool = False


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers; raise IncompleteReadError at the end."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a body in chunks."""
    body = b''
    while True:
        size = int((await reader.readline()).split(b';')[0] or b'0', 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


class Link:
    """The link of a machine: what comes over it is read at its rate, all connections together."""

    def __init__(self, mbit_per_s: float) -> None:
        self._bytes_per_s = mbit_per_s * 1e6 / 8
        self._free_at = 0.0

    async def read(self, reader: asyncio.StreamReader, size: int) -> bytes:
        """Return `size` bytes, not before the link has brought them."""
        data = bytearray()
        while len(data) < size:
            piece = await reader.read(min(PIECE_BYTES, size - len(data)))
            if not piece:
                raise asyncio.IncompleteReadError(bytes(data), size)
            data += piece
            now = asyncio.get_running_loop().time()
            self._free_at = max(now, self._free_at) + len(piece) / self._bytes_per_s
            await asyncio.sleep(self._free_at - now)
        return bytes(data)


async def serve(
    host: str,
    port: int,
    handler: Handler,
    link: Link | None = None,
    open_now: set[asyncio.StreamWriter] | None = None,
) -> asyncio.Server:
    """Serve requests on kept connections; the handler writes the whole response.

    With a `link`, bodies come at its rate, through small windows. `open_now` is kept up to date
    with the open connections.
    """
    opened = set() if open_now is None else open_now

    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        opened.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(' ')
                if headers.get('transfer-encoding', '').lower() == 'chunked':
                    body = await read_chunks(reader)
                elif link is not None:
                    body = await link.read(reader, int(headers.get('content-length', '0')))
                else:
                    body = await reader.readexactly(int(headers.get('content-length', '0')))
                await handler(Request(method, target, headers, body), writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:  # at the end of the script
            pass
        finally:
            opened.discard(writer)
            writer.close()

    if link is None:
        return await asyncio.start_server(connection, host, port, limit=READ_LIMIT, backlog=1024)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    sock.bind((host, port))
    return await asyncio.start_server(connection, sock=sock, limit=PIECE_BYTES, backlog=1024)


def response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a response with a length."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


async def ask(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 10.0,
) -> Answer:
    """Send a request on a connection of its own; return what came until it ended."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address, limit=READ_LIMIT)
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {value}' for name, value in headers.items()]
            if body or method != 'GET':
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
            writer.write(body)
            first, answer.headers = await read_head(reader)
            answer.status = int(first.split(' ')[1])
            await _read_body(reader, answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
            with contextlib.suppress(OSError):
                await asyncio.wait_for(writer.wait_closed(), 0.2)
    return answer


async def _read_body(reader: asyncio.StreamReader, answer: Answer) -> None:
    if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            answer.body += data[:-2]
    else:
        answer.body = await reader.readexactly(int(answer.headers.get('content-length', '0')))
    answer.complete = True
