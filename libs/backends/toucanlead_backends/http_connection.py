"""Connections to back ends: one request at a time, every answer read whole or in chunks.

aiohttp parses the answers; which connection carries a request, and what a failure says
about the request, is decided here.
"""

import asyncio
import contextlib
from collections import deque
from collections.abc import AsyncIterator, Callable

from aiohttp import ClientPayloadError
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpResponseParser, RawResponseMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from attrs import frozen
from multidict import CIMultiDictProxy

from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.sockets import guard_against_silence, split_address

READ_BUFFER_BYTES = 65_536  # aiohttp's own default for a response body
HEADER_BYTES = 32_768  # answers carry a few hundred bytes of headers
UNACKED_S = 2.0  # one lost packet and its retransmissions fit, a dead peer shows


@frozen
class HttpHead:
    """Status and headers of an answer."""

    status: int
    headers: CIMultiDictProxy[str]
    closes: bool


class HttpAnswer:
    """One answer; its body can be read once."""

    def __init__(self, head: HttpHead, payload: StreamReader, peer: str) -> None:
        """Take the head and the reader that the connection feeds."""
        self.head = head
        self._payload = payload
        self._peer = peer

    @property
    def complete(self) -> bool:
        """Say whether the whole body has been read."""
        return self._payload.is_eof() and self._payload.exception() is None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; OutcomeUnknown when it is cut off."""
        while True:
            try:
                chunk = await self._payload.readany()
            except (ClientPayloadError, HttpProcessingError, ConnectionError) as exc:
                raise OutcomeUnknown(
                    f'answer cut off: {exc!r}', step='stream', peer=self._peer
                ) from exc
            if not chunk:
                return
            yield chunk

    async def read(self) -> bytes:
        """Return the whole body; OutcomeUnknown when it is cut off."""
        return b''.join([chunk async for chunk in self.chunks()])


class HttpConnection(BaseProtocol):
    """One connection; aiohttp's parser turns its bytes into answers."""

    def __init__(self, peer: str, on_lost: Callable[['HttpConnection'], None]) -> None:
        """Take the peer's host:port and whom to tell when the connection ends."""
        loop = asyncio.get_running_loop()
        parser = HttpResponseParser(
            self,
            loop,
            READ_BUFFER_BYTES,
            payload_exception=ClientPayloadError,
            response_with_body=True,
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=HEADER_BYTES,
            max_field_size=HEADER_BYTES,
        )
        super().__init__(loop, parser)
        self.peer = peer
        self.idle_since = loop.time()
        self.keep_alive_s: float | None = None
        self._on_lost = on_lost
        self._answers: deque[HttpAnswer] = deque()
        self._current: StreamReader | None = None
        self._waiter: asyncio.Future | None = None
        self._error: Exception | None = None
        self._spoiled = False

    @classmethod
    async def open(
        cls, address: str, timeout_s: float, on_lost: Callable[['HttpConnection'], None]
    ) -> 'HttpConnection':
        """Connect to host:port; NotSent when that fails or takes too long."""
        loop = asyncio.get_running_loop()
        try:
            host, port = split_address(address)
            async with asyncio.timeout(timeout_s):
                transport, conn = await loop.create_connection(
                    lambda: cls(address, on_lost), host, port
                )
        except (OSError, TimeoutError, ValueError) as exc:
            raise NotSent(repr(exc), step='connect', peer=address) from exc
        sock = transport.get_extra_info('socket')
        if sock is not None:
            guard_against_silence(sock, UNACKED_S)
        return conn

    @property
    def usable(self) -> bool:
        """Say whether another request may go out on this connection."""
        transport = self.transport
        return (
            transport is not None
            and not transport.is_closing()
            and not self._spoiled
            and self._error is None
            and not self._answers
            and (self._current is None or self._current.is_eof())
            and transport.get_write_buffer_size() == 0
        )

    def send(self, head: bytes, body: bytes) -> None:
        """Write a request; from here on it may run."""
        if self.transport is None or self.transport.is_closing():
            raise NotSent('connection closed', step='send', peer=self.peer)
        self.transport.write(head + body if body else head)

    async def next_answer(self) -> HttpAnswer:
        """Return the next answer; OutcomeUnknown when the connection ends first."""
        while not self._answers:
            if self._error is not None:
                raise OutcomeUnknown(
                    f'no answer: {self._error!r}', step='send', peer=self.peer
                ) from self._error
            self._waiter = self._loop.create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        answer = self._answers.popleft()
        if answer.head.closes or self._body_pending():
            self._spoiled = True
        return answer

    def close(self) -> None:
        """Close; the replica sees that the caller has left."""
        self._spoiled = True
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived."""
        if self._parser is None:
            return
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except HttpProcessingError as exc:
            self._fail(exc)
            return
        if upgraded:
            self._fail(ConnectionError('the answer switches protocols'))
            return
        for message, payload in messages:
            self._take(message, payload)

    def eof_received(self) -> None:
        """Let the transport close; `connection_lost` follows."""

    def connection_lost(self, exc: Exception | None) -> None:
        """End a body that runs until the connection's end; cut off any other."""
        if exc is None:
            with contextlib.suppress(HttpProcessingError):
                self._parser.feed_eof()
        self._fail(exc or ConnectionError('connection closed'))
        self._parser = None
        super().connection_lost(exc)
        self._on_lost(self)

    def _take(self, message: RawResponseMessage, payload: StreamReader) -> None:
        head = HttpHead(message.code, message.headers, message.should_close)
        self._current = None if payload is EMPTY_PAYLOAD else payload
        self._answers.append(HttpAnswer(head, payload, self.peer))
        keep_alive = message.headers.get('Keep-Alive', '')
        name, _, value = keep_alive.partition('=')
        if name.strip().lower() == 'timeout' and value.strip().isdecimal():
            self.keep_alive_s = float(value)
        self._wake()

    def _body_pending(self) -> bool:
        return self.transport is None or self.transport.get_write_buffer_size() > 0

    def _fail(self, exc: Exception) -> None:
        self._spoiled = True
        if self._error is None:
            self._error = exc
        current = self._current
        if current is not None and not current.is_eof():
            current.set_exception(ClientPayloadError(repr(exc)))
        self._wake()
        if self.transport is not None:
            self.transport.abort()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class ConnectionPool:
    """The connections to one address; the most recently used goes first."""

    IDLE_MARGIN_S = 1.5  # the server closes idle connections after whole seconds
    IDLE_DEFAULT_S = 4.0  # where the server does not say for how long it keeps them

    def __init__(self, address: str) -> None:
        """Take the host:port; connections open as they are needed."""
        self.address = address
        self.opened = 0
        self._idle: list[HttpConnection] = []
        self._open: set[HttpConnection] = set()

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    @property
    def idle(self) -> int:
        """Return the number of connections that wait for a request."""
        return len(self._idle)

    async def acquire(self, timeout_s: float) -> HttpConnection:
        """Return a connection for one request; NotSent when none can be had."""
        now = asyncio.get_running_loop().time()
        while self._idle:
            conn = self._idle.pop()
            if conn.usable and now - conn.idle_since < self._keep_s(conn):
                return conn
            conn.close()
        conn = await HttpConnection.open(self.address, timeout_s, self._lost)
        self.opened += 1
        self._open.add(conn)
        return conn

    def release(self, conn: HttpConnection) -> None:
        """Take a connection back; one that cannot be used again is closed."""
        if conn.usable:
            conn.idle_since = asyncio.get_running_loop().time()
            self._idle.append(conn)
        else:
            conn.close()

    def close(self) -> None:
        """Close all connections."""
        for conn in list(self._open):
            conn.close()

    def close_idle(self) -> None:
        """Close the connections that wait; those in use end with their request."""
        for conn in self._idle[:]:
            conn.close()

    def _keep_s(self, conn: HttpConnection) -> float:
        if conn.keep_alive_s is None:
            return self.IDLE_DEFAULT_S
        return max(0.5, conn.keep_alive_s - self.IDLE_MARGIN_S)

    def _lost(self, conn: HttpConnection) -> None:
        self._open.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)
