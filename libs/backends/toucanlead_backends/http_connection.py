"""Pooled HTTP/1.1 connections to back ends, with one request at a time on each.

`answer_reader` says which bytes belong to the response. This module chooses the connection
for each request and reports whether a failed request may have been executed.
"""

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import AsyncIterator, Callable

import structlog
from attrs import frozen
from multidict import CIMultiDict, CIMultiDictProxy

from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.recent_ids import RecentIds
from toucanlead_core.sockets import limit_reads, set_dead_peer_timeouts, split_address

from .answer_reader import AnswerEnd, AnswerHead, AnswerReader, LateAnswer, State, UnexpectedBytes

log = structlog.get_logger()

PAUSE_READING_BYTES = 131_072  # of a body that nobody has read yet
MAX_BODY_BYTES = 4_194_304  # of a body that is read as a whole
MAX_SKIP_S = 0.2  # a late answer comes whole, or in pieces that follow closely
CARRIED_IDS = 1024  # ids of requests that a connection remembers


@frozen
class ResponseHead:
    """The status and headers of a response.

    `closes` is true if the server closes the connection after this response.
    """

    status: int
    headers: CIMultiDictProxy[str]
    closes: bool


class _Body:
    """The body of a response, as far as it was received and not read yet."""

    def __init__(self, resume_reading: Callable[[], None]) -> None:
        """`resume_reading` is called when all that was received has been read."""
        self.ended = False
        self.error: Exception | None = None
        self.size = 0
        self._chunks: deque[bytes] = deque()
        self._changed = asyncio.Event()
        self._resume_reading = resume_reading

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._chunks.append(data)
        self.size += len(data)
        self._changed.set()

    def end(self, error: Exception | None = None) -> None:
        """Note the end, with an error if it came too early."""
        if not self.ended:
            self.ended = True
            self.error = error
            self._changed.set()

    async def read_some(self) -> bytes:
        """Return what was received, b'' at the end; raise the error that ended it early."""
        while True:
            if self.error is not None:
                raise self.error
            if self._chunks:
                data = b''.join(self._chunks)
                self._chunks.clear()
                self.size = 0
                self._resume_reading()
                return data
            if self.ended:
                return b''
            self._changed.clear()
            await self._changed.wait()


class HttpResponse:
    """One response; its body can be read once."""

    def __init__(self, head: ResponseHead, body: _Body, peer: str) -> None:
        """`body` may still be coming; `peer` is host:port."""
        self.head = head
        self._body = body
        self._peer = peer

    @property
    def complete(self) -> bool:
        """Whether the whole body was received without an error."""
        return self._body.ended and self._body.error is None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise OutcomeUnknown if it ends early."""
        while True:
            try:
                chunk = await self._body.read_some()
            except ConnectionError as exc:
                raise OutcomeUnknown(
                    f'response body ended early: {exc!r}', step='stream', peer=self._peer
                ) from exc
            if not chunk:
                return
            yield chunk

    async def read(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the whole body; raise OutcomeUnknown if it ends early or is too long."""
        return await join_chunks(self.chunks(), max_bytes, self._peer)


async def join_chunks(chunks: AsyncIterator[bytes], max_bytes: int, peer: str) -> bytes:
    """Return the chunks of a body as one; raise OutcomeUnknown beyond `max_bytes`."""
    body = bytearray()
    async for chunk in chunks:
        body += chunk
        if len(body) > max_bytes:
            raise OutcomeUnknown(
                f'response body exceeds {max_bytes} bytes', step='stream', peer=peer
            )
    return bytes(body)


class HttpConnection(asyncio.Protocol):
    """One connection to a back end."""

    def __init__(
        self, peer: str, on_lost: Callable[['HttpConnection'], None], id_header: str = ''
    ) -> None:
        """`peer` is host:port; `on_lost` is called when the connection has ended.

        `id_header` is the header in which responses name their request, if they do.
        """
        self._loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.peer = peer
        self.opened_at = self.idle_since = self._loop.time()
        self.keep_alive_s: float | None = None
        self.carried = RecentIds(CARRIED_IDS)
        self.got_unexpected_bytes = False
        self._on_lost = on_lost
        self._reader = AnswerReader(id_header)
        self._ident = ''
        self._responses: deque[HttpResponse] = deque()
        self._body: _Body | None = None
        self._waiter: asyncio.Future | None = None
        self._error: Exception | None = None
        self._must_close = False
        self._reading_paused = False
        self._skip_timer: asyncio.TimerHandle | None = None

    @classmethod
    async def open(
        cls,
        address: str,
        timeout_s: float,
        on_lost: Callable[['HttpConnection'], None],
        id_header: str = '',
    ) -> 'HttpConnection':
        """Connect to host:port; raise NotSent if that fails or times out."""
        loop = asyncio.get_running_loop()
        try:
            host, port = split_address(address)
            async with asyncio.timeout(timeout_s):
                transport, conn = await loop.create_connection(
                    lambda: cls(address, on_lost, id_header), host, port
                )
        except (OSError, TimeoutError, ValueError) as exc:
            raise NotSent(repr(exc), step='connect', peer=address) from exc
        sock = transport.get_extra_info('socket')
        if sock is not None:
            set_dead_peer_timeouts(sock)
        return conn

    @property
    def requests_sent(self) -> int:
        """The number of requests that were sent on this connection."""
        return self._reader.requests

    @property
    def usable(self) -> bool:
        """Whether another request may be sent on this connection."""
        transport = self.transport
        return (
            transport is not None
            and not transport.is_closing()
            and not self._must_close
            and self._error is None
            and not self._responses
            and self._reader.state in (State.IDLE, State.DONE)
            and transport.get_write_buffer_size() == 0
        )

    def send(self, head: bytes, body: bytes, ident: str = '') -> None:
        """Write a request; raise NotSent if the connection is closed.

        Once this returns, the server may execute the request. `ident` is the id that its
        response names.
        """
        if self.transport is None or self.transport.is_closing() or self._must_close:
            raise NotSent('connection closed', step='send', peer=self.peer)
        if self._reader.state is State.DONE:
            self._reader.release()
        self._ident = ident
        self._reader.send(head.partition(b' ')[0].decode('ascii', 'replace'), ident)
        self.transport.write(head + body if body else head)

    async def next_response(self) -> HttpResponse:
        """Return the response; raise OutcomeUnknown if the connection ends first."""
        while not self._responses:
            if self._error is not None:
                raise OutcomeUnknown(
                    f'connection ended before the response: {self._error!r}',
                    step='send',
                    peer=self.peer,
                ) from self._error
            self._waiter = self._loop.create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        return self._responses.popleft()

    def set_idle(self) -> None:
        """Expect no more bytes until the next request."""
        self.idle_since = self._loop.time()
        self._reader.release()
        self._resume_reading()

    def close(self) -> None:
        """Abort the connection; the back end sees that the caller has disconnected."""
        self._must_close = True
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport
        limit_reads(transport)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Take what belongs to the response; fail if any bytes belong to none."""
        self._take(self._reader.receive, data)

    def eof_received(self) -> None:
        """End a response without a length; the transport closes by itself."""
        self._take(self._reader.receive_eof)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail a response that has not ended."""
        self._fail(exc or ConnectionError('connection closed'))
        self._stop_skip_timer()
        self.transport = None
        self._on_lost(self)

    def _take(self, receive: Callable[..., list], *args: bytes) -> None:
        state = self._reader.state
        try:
            events = receive(*args)
        except UnexpectedBytes as exc:
            self._reject(exc, state)
            return
        for event in events:
            if isinstance(event, AnswerHead):
                self._begin_response(event)
            elif isinstance(event, AnswerEnd):
                self._body.end()
            elif isinstance(event, LateAnswer):
                self._note_late_answer(event)
            else:
                self._body.feed(event)
        if self._body is not None and self._body.size > PAUSE_READING_BYTES:
            self._pause_reading()
        if self._reader.state is State.LOST:
            self._reject(UnexpectedBytes('bytes behind a whole response'), State.DONE)
        elif self._reader.state is State.SKIPPING:
            if self._skip_timer is None:
                self._skip_timer = self._loop.call_later(MAX_SKIP_S, self._end_skip)
        else:
            self._stop_skip_timer()

    def _begin_response(self, answer: AnswerHead) -> None:
        headers = CIMultiDictProxy(CIMultiDict(answer.headers))
        keep_alive = headers.get('Keep-Alive', '')
        name, _, value = keep_alive.partition('=')
        if name.strip().lower() == 'timeout' and value.strip().isdecimal():
            self.keep_alive_s = float(value)
        # a server that responds before it has read the request may take other bytes for its rest
        if answer.closes or self.transport.get_write_buffer_size() > 0:
            self._must_close = True
        self._body = _Body(self._resume_reading)
        head = ResponseHead(answer.status, headers, answer.closes)
        self._responses.append(HttpResponse(head, self._body, self.peer))
        self._wake_waiter()

    def _note_late_answer(self, answer: LateAnswer) -> None:
        self.got_unexpected_bytes = True
        log.info('late_answer_dropped', peer=self.peer, request=self._ident, answer_to=answer.ident)

    def _end_skip(self) -> None:
        self._skip_timer = None
        self._reject(UnexpectedBytes('a late answer that does not end'), State.SKIPPING)

    def _stop_skip_timer(self) -> None:
        if self._skip_timer is not None:
            self._skip_timer.cancel()
            self._skip_timer = None

    def _pause_reading(self) -> None:
        if not self._reading_paused and not self.transport.is_closing():
            self._reading_paused = True
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._reading_paused and self.transport is not None:
            self._reading_paused = False
            if not self.transport.is_closing():
                self.transport.resume_reading()

    def _reject(self, exc: UnexpectedBytes, state: State) -> None:
        """Log that received bytes belong to no response, and fail."""
        self.got_unexpected_bytes = True
        if self._error is None:
            log.info(
                'unexpected_bytes',
                peer=self.peer,
                state=state.name.lower(),
                cause=str(exc),
                request=self._ident,
                requests=self.requests_sent,
                age_s=round(self._loop.time() - self.opened_at, 3),
            )
        self._fail(exc)

    def _fail(self, exc: Exception) -> None:
        self._must_close = True
        if self._error is None:
            self._error = exc
        if self._body is not None:
            self._body.end(ConnectionError(repr(exc)))
        self._wake_waiter()
        if self.transport is not None:
            self.transport.abort()

    def _wake_waiter(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class ConnectionPool:
    """The connections to one address; the most recently used idle one is reused first."""

    IDLE_MARGIN_S = 1.5  # margin below the server's timeout, which counts whole seconds
    DEFAULT_IDLE_S = 4.0  # used if the server sends no Keep-Alive timeout
    SINGLE_USE_S = 10.0  # connections carry one request each, after bytes that belong to none

    def __init__(self, address: str, id_header: str = '') -> None:
        """`address` is host:port; connections are opened on demand.

        `id_header` is the header in which responses name their request, if they do.
        """
        self.address = address
        self.opened_count = 0
        self._id_header = id_header
        self._single_use_until = 0.0
        self._idle: list[HttpConnection] = []
        self._open: set[HttpConnection] = set()

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    @property
    def idle(self) -> int:
        """The number of idle connections."""
        return len(self._idle)

    async def acquire(self, timeout_s: float, ident: str = '') -> HttpConnection:
        """Return a connection for one request; raise NotSent if connecting fails.

        With `ident`, the connection has not carried a request with that id: a late second
        copy of its answer could not be told from the answer to this request. A new connection
        then replaces one that has, so that a repeated id does not add to their number.
        """
        conn = self._take_idle(ident)
        if conn is None:
            if self._idle:
                self._idle.pop(0).close()
            conn = await self._open_new(timeout_s)
        if ident:
            conn.carried.add(ident)
        return conn

    async def open_idle(self, timeout_s: float) -> None:
        """Open a connection for a later request; raise NotSent if connecting fails."""
        self.release(await self._open_new(timeout_s))

    async def _open_new(self, timeout_s: float) -> HttpConnection:
        conn = await HttpConnection.open(self.address, timeout_s, self._remove, self._id_header)
        self.opened_count += 1
        self._open.add(conn)
        return conn

    def _take_idle(self, ident: str) -> HttpConnection | None:
        """Take the most recently used idle connection that has not carried an id."""
        now = asyncio.get_running_loop().time()
        for conn in reversed(self._idle[:]):
            if not conn.usable or now - conn.idle_since >= self._idle_limit_s(conn):
                self._idle.remove(conn)
                conn.close()
            elif ident not in conn.carried:
                self._idle.remove(conn)
                return conn
        return None

    def release(self, conn: HttpConnection) -> None:
        """Return a connection to the pool, or close it if it is not reusable."""
        self._note_unexpected_bytes(conn)
        single_use = asyncio.get_running_loop().time() < self._single_use_until
        if conn.usable and not (single_use and conn.requests_sent):
            conn.set_idle()
            self._idle.append(conn)
        else:
            conn.close()

    def close(self) -> None:
        """Close all connections."""
        for conn in list(self._open):
            conn.close()

    def close_idle(self) -> None:
        """Close the idle connections; leave those in use open."""
        for conn in self._idle[:]:
            conn.close()

    def _idle_limit_s(self, conn: HttpConnection) -> float:
        if conn.keep_alive_s is None:
            return self.DEFAULT_IDLE_S
        return max(0.5, conn.keep_alive_s - self.IDLE_MARGIN_S)

    def _note_unexpected_bytes(self, conn: HttpConnection) -> None:
        if conn.got_unexpected_bytes:
            self._single_use_until = asyncio.get_running_loop().time() + self.SINGLE_USE_S
            self.close_idle()

    def _remove(self, conn: HttpConnection) -> None:
        self._note_unexpected_bytes(conn)
        self._open.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)
