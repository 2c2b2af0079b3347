"""HTTP servers whose connections hold a bounded number of bytes, whatever clients send."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import structlog
from aiohttp import web

from .connection_budget import (
    ALWAYS_HELD_BYTES,
    WHOLE_COPIES,
    Cause,
    ConnectionBudget,
    ConnectionHold,
)
from .kernel_buffers import KernelBuffers, KernelBytes, limit_unsent, reset
from .memory_plan import MONITOR_BYTES
from .sockets import READ_BYTES, limit_reads

log = structlog.get_logger()

STREAM_BYTES = 16_384  # aiohttp stops reading at twice as many that nobody has read
CHUNK_BYTES = 80  # of a chunk that nobody has read, beside its content
REQUEST_BYTES = 4096  # of a parsed request, beside its body
BEHIND_BYTES = 262_144  # of a back end's answer, received while its client reads nothing
HEAD_COPIES = 3  # aiohttp keeps each header as bytes and as text
HEAD_SLACK_BYTES = 4096  # above what a head may have
DEFAULT_HEAD_BYTES = 16_384
MONITOR_CONNECTIONS = 32  # of load balancers and metrics collectors
_HEAD_TOO_LONG = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)


class BodyTooLong(Exception):
    """A body exceeds its limit."""


class BoundedConnection(web.RequestHandler):
    """One connection of a client, with what is held for it in `hold`.

    With `refuses_in_handler`, handlers read bodies by `read_body` and refuse those given up.
    """

    refuses_in_handler = False

    def __init__(
        self,
        manager: 'BoundedServer',
        now: Callable[[], float],
        budget: ConnectionBudget,
        max_head: Callable[[], int],
        **options,
    ) -> None:
        """`now` returns the loop time in seconds, `max_head` the longest head in bytes.

        The options are those of aiohttp.
        """
        super().__init__(manager, read_bufsize=STREAM_BYTES, **options)
        self._now = now
        self._budget = budget
        self._max_head = max_head
        self._kernel = manager.kernel
        self._open_transport: asyncio.Transport | None = None  # aiohttp forgets it on closing
        self.hold = ConnectionHold(self._give_up, now(), self._measured, self._reset)
        self._sent_bytes = 0  # since the buffers were measured
        self._head_bytes = 0  # of a head that is not whole, or of a trailer
        self._payload = None  # the stream of the body that came last
        self._read = None  # the stream that `read_body` reads
        self._buffer = bytearray()  # what it has read
        self._reading: asyncio.Timeout | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close a connection that there is no room for."""
        super().connection_made(transport)
        self._open_transport = transport
        limit_reads(transport)
        limit_unsent(transport)
        if not self._budget.open(self.hold):
            self.hold.given_up = True
            log.info(
                'connection_refused',
                cause=Cause.CONNECTIONS.value,
                open=len(self._budget),
                leaving=self._budget.leaving,
            )
            self.force_close()
            self._reset()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._budget.close(self.hold)
        self._open_transport = None
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and count what is held of them."""
        if self.hold.given_up:
            return
        requests, in_head = self._request_count, self.received_whole
        content = 0 if in_head else self._payload.total_bytes
        super().data_received(data)
        if self._request_count != requests:
            self._head_bytes = 0
            if self._messages:
                self._payload = self._messages[-1][1]
        elif not in_head and (self.received_whole or self._payload.total_bytes > content):
            self._head_bytes = 0
        elif not self._reading_paused:
            self._head_bytes += len(data)
            if self._head_bytes > self._max_head() + HEAD_SLACK_BYTES:
                self._refuse_head()
                return
        self._count_arriving()
        if data:
            self._count_left_unread(len(data))

    def _count_left_unread(self, taken: int) -> None:
        """Count what a read of `taken` bytes left in the socket."""
        buffered = self.hold.buffered
        if taken >= READ_BYTES:
            self._measure()
        elif buffered.unread:
            self._update_buffered(KernelBytes(0, buffered.unsent))

    def _measured(self) -> KernelBytes:
        return self._kernel.measure(self._open_transport)

    def _measure(self) -> None:
        """Count what the buffers of the socket hold."""
        self._sent_bytes = 0
        self._update_buffered(self._measured())

    def _update_buffered(self, buffered: KernelBytes) -> None:
        if buffered != self.hold.buffered:
            self._budget.update(self.hold, self._now(), buffered=buffered)

    def _refuse_head(self) -> None:
        log.info('head_too_long', bytes=self._head_bytes, peer=str(self.peername))
        if not self.hold.answering and self.transport is not None:
            self.transport.write(_HEAD_TOO_LONG)
        self._head_bytes = 0
        self.force_close()

    def _count_arriving(self) -> None:
        """Count a head or body that is not whole, and requests behind the one being served."""
        size = self._head_bytes * HEAD_COPIES
        self.hold.watched = self._reading_paused or self._buffer_paused
        self.hold.behind = self.hold.answering and bool(self._messages)
        payload = self._payload
        if payload is not None and payload is self._read:
            if not payload.is_eof():
                size += len(self._buffer) + _unread(payload)
        elif self.hold.behind:
            size += sum(REQUEST_BYTES + _unread(each) for _, each in self._messages)
            if self._reading_paused:
                size += READ_BYTES
        elif payload is not None and not payload.is_eof():  # somebody else may read it
            size += payload.total_bytes + _unread(payload)
        if size or self.hold.arriving:
            self._budget.update(self.hold, self._now(), arriving=size)

    @property
    def received_whole(self) -> bool:
        """Whether the body of the last request has arrived."""
        return self._payload is None or self._payload.is_eof()

    @contextmanager
    def answering(self, req: web.BaseRequest) -> Iterator[None]:
        """Mark the time during which a request is served."""
        self.hold.answering = req.content.is_eof()  # a body may follow behind it already
        self._count_arriving()
        try:
            yield
        finally:
            self.hold.answering = False
            self._read = None
            self._budget.update(self.hold, self._now(), serving=0, unread=0)
            self._count_arriving()

    async def read_body(self, req: web.BaseRequest, limit: int, timeout: asyncio.Timeout) -> bytes:
        """Return a body; raise BodyTooLong above `limit` bytes.

        If the connection is given up, `timeout` ends the reading, or TimeoutError is raised.
        """
        content = self._read = req.content
        self._reading = timeout
        if self.hold.given_up:
            timeout.reschedule(self._loop.time())
        try:
            first = await content.readany()
            if content.at_eof() and len(first) <= limit:
                return first
            self._buffer = bytearray(first)
            while True:
                if len(self._buffer) > limit:
                    raise BodyTooLong(f'body exceeds the limit of {limit} bytes')
                self._count_arriving()
                piece = await content.readany()
                if self.hold.given_up:
                    raise TimeoutError('the connection is given up')
                if not piece:
                    return bytes(self._buffer)
                self._buffer += piece
        finally:
            self.hold.answering = not self.hold.given_up
            self._reading = None
            self._read = None
            self._buffer = bytearray()

    def serve_whole(self, size: int) -> bool:
        """Count a whole request; return whether there is room to serve it."""
        self._budget.update(self.hold, self._now(), arriving=0, serving=WHOLE_COPIES * size)
        return not self.hold.given_up and self._budget.accepts(self.hold)

    async def write(self, resp: web.StreamResponse, data: bytes) -> None:
        """Write a part of an answer; count it until the client has taken it."""
        if len(data) <= STREAM_BYTES and not self._is_unread():
            await resp.write(data)
            self._count_sent(len(data))
            return
        for begin in range(0, len(data), READ_BYTES):
            self._count_unread(len(data) - begin)
            await resp.write(memoryview(data)[begin : begin + READ_BYTES])
        self._count_unread(0)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Send the rest of an answer, and count it until the client has taken it."""
        finished = await super().finish_response(request, resp, start_time)
        self._count_sent(request.writer.output_size)
        return finished

    def _count_sent(self, size: int) -> None:
        """Measure the buffers when more has been sent than any connection may hold."""
        self._sent_bytes += size
        if self._sent_bytes > ALWAYS_HELD_BYTES:
            self._measure()

    def _is_unread(self) -> bool:
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def _count_unread(self, left: int) -> None:
        """Count an answer, `left` bytes of which are not written, and what waits behind it."""
        self._sent_bytes = 0
        size = left + (BEHIND_BYTES if self._is_unread() else 0)
        self._budget.update(self.hold, self._now(), unread=size, buffered=self._measured())

    @property
    def may_linger(self) -> bool:
        """Whether the connection may stay open for its client to read the last answer."""
        return not self.hold.given_up or self._budget.may_linger

    def _give_up(self, cause: Cause) -> None:
        hold = self.hold
        log.info('connection_given_up', cause=cause.value, held=hold.held, peer=str(self.peername))
        self._lingering_time = 0.0
        if hold.unread or hold.buffered.unsent > ALWAYS_HELD_BYTES:
            self._reset()  # so that the answer cannot look complete
        elif self._reading is not None:
            self._buffer = bytearray()
            self._drop_what_comes()
            if not self._budget.may_linger:
                self._reset()
            elif not self._reading.expired():
                self._reading.reschedule(self._loop.time())
        elif hold.answering:
            self._messages.clear()
            self._payload = None
            self.close()  # after the answer in progress
            self._drop_what_comes()
        elif not self._messages or not self.refuses_in_handler:
            self.force_close()

    def _drop_what_comes(self) -> None:
        """Read on until the connection ends, but keep nothing."""
        self.hold.arriving = 0
        self._open_transport.resume_reading()

    def _reset(self) -> None:
        reset(self._open_transport)


class BoundedServer(web.Server):
    """aiohttp's server, with connections that share a budget."""

    def __init__(
        self,
        now: Callable[[], float],
        handler,
        budget: ConnectionBudget | None = None,
        max_head: Callable[[], int] = lambda: DEFAULT_HEAD_BYTES,
        **options,
    ) -> None:
        """`now` returns the loop time in seconds; by default, the server is for monitors only.

        The rest is that of aiohttp's server.
        """
        if budget is None:
            budget = ConnectionBudget(MONITOR_BYTES, MONITOR_CONNECTIONS)
            options.setdefault('lingering_time', 0.0)
        super().__init__(handler, **options)
        self.budget = budget
        self.kernel = KernelBuffers()
        self._now = now
        self._max_head = max_head

    def __call__(self) -> BoundedConnection:
        """Return the protocol of a new connection."""
        return self._connection(BoundedConnection)

    def _connection(self, kind: type[BoundedConnection], **more) -> BoundedConnection:
        options = {**self._kwargs, **more}
        return kind(self, self._now, self.budget, self._max_head, loop=self._loop, **options)


class BoundedAppRunner(web.AppRunner):
    """aiohttp's runner of an application, with connections that share a budget."""

    def __init__(
        self,
        app: web.Application,
        now: Callable[[], float],
        budget: ConnectionBudget,
        max_head: Callable[[], int],
        **options,
    ) -> None:
        """`now`, `budget` and `max_head` are as for BoundedConnection, the options aiohttp's."""
        super().__init__(app, **options)
        self._bounds = (now, budget, max_head)

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        now, budget, max_head = self._bounds
        return BoundedServer(
            now,
            server.request_handler,
            budget,
            max_head,
            request_factory=server.request_factory,
            loop=server._loop,
            **server._kwargs,
        )


def _unread(payload) -> int:
    """Return what aiohttp holds of a body that has not been read, in bytes."""
    chunks = getattr(payload, '_http_chunk_splits', None) or ()
    return getattr(payload, '_size', 0) + CHUNK_BYTES * len(chunks)
