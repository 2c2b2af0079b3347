"""Stand-in for a replica: a model engine or an application."""

import asyncio
import socket
import struct
import time
from collections.abc import Callable

import orjson
from aiohttp import web

from .store import Store

HEARTBEAT_S = 1.2


class _Connection(web.RequestHandler):
    """A connection, which is reset if there are too many."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Reset a connection beyond the limit of its server."""
        super().connection_made(transport)
        if len(self._manager.connections) > self._manager.connection_limit:
            sock = transport.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
            transport.abort()


class _Server(web.Server):
    """A server that accepts `connection_limit` connections."""

    def __init__(self, handler, connection_limit: int) -> None:
        super().__init__(handler, access_log=None, handler_cancellation=True)
        self.connection_limit = connection_limit

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return _Connection(self, loop=self._loop, **self._kwargs)


class Replica:
    """One replica, which registers itself in the store and reports what reaches it.

    `on_event` is called with a word, the ids of the replica and the request, the path and the
    body. The word is `arrived`, and then `full`, or `began`, and then `crashed` if the body holds
    `crash_on`: the replica writes the first event of such a request and crashes. `prefill_s` is
    the time before the first event, `work_s` that between two events or of a whole request.
    """

    def __init__(
        self,
        store: Store,
        ident: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        on_event: Callable[[str, str, str, str, bytes], None],
        *,
        engine: bool,
        slots: int,
        queue: int,
        connection_limit: int,
        work_s: float,
        events: int = 6,
        prefill_s: float = 0.0,
        crash_on: bytes | None = None,
    ) -> None:
        self._options = {
            'engine': engine,
            'slots': slots,
            'queue': queue,
            'connection_limit': connection_limit,
            'work_s': work_s,
            'events': events,
            'prefill_s': prefill_s,
            'crash_on': crash_on,
        }
        self.work_s = work_s
        self._prefill_s, self._crash_on = prefill_s, crash_on
        self._open: set[asyncio.Transport] = set()
        self._store = store
        self.ident, self._service, self._zone, self._address = ident, service, zone, address
        self._on_event = on_event
        self.is_engine = engine
        self._slots, self._queue, self._events = slots, queue, events
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._sequence = 0
        self._born = int(1e3 * time.time())
        server = _Server(self._handle, connection_limit)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        self._task: asyncio.Task | None = None
        self._state = 'ready'
        self._transports: set[asyncio.Transport] = set()

    def successor(self, ident: str) -> 'Replica':
        """Return the next run at this address, under another id."""
        place = (ident, self._service, self._zone, self._address)
        return Replica(self._store, *place, self._on_event, **self._options)

    async def crash(self) -> None:
        """End at once: all connections are reset, and new ones refused."""
        for transport in self._open:
            transport.abort()
        await self.stop()

    def drain(self) -> None:
        """Report that it leaves; it goes on serving."""
        self._state = 'draining'
        self._register()

    def reset_connections(self, share: float) -> int:
        """Reset a share of the connections whose requests are running; return how many."""
        chosen = sorted(self._transports, key=id)[: int(share * len(self._transports))]
        for transport in chosen:
            transport.abort()
        return len(chosen)

    @property
    def running(self) -> int:
        """The number of requests that are running."""
        return len(self._transports)

    async def start(self) -> None:
        """Listen and register."""
        await self._runner.setup()
        await web.TCPSite(self._runner, *self._address, backlog=512).start()
        self._register()
        self._task = asyncio.ensure_future(self._heartbeat())

    async def stop(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()
        await self._runner.cleanup()

    def _register(self) -> None:
        self._sequence += 1
        entry = {
            'service': self._service,
            'address': f'{self._address[0]}:{self._address[1]}',
            'zone': self._zone,
            'version': 'v1',
            'slots': self._slots,
            'state': self._state,
            'coldRemainingMs': 0,
            'sequence': self._sequence,
            'born': self._born,
        }
        self._store.put(f'servers/{self.ident}', orjson.dumps(entry))

    async def _heartbeat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self._store.busy:
                self._register()

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        if req.path == '/report':
            return self._report()
        if req.path == '/health':
            return web.Response(headers={'Toucanlead-Instance-Id': self.ident})
        self._open = {t for t in self._open if not t.is_closing()} | {req.transport}
        body = await req.read()
        ident = req.headers.get('Toucanlead-Request-Id', '')
        self._on_event('arrived', self.ident, ident, req.path, body)
        if req.headers.get('Toucanlead-Expect-Instance', self.ident) != self.ident:
            return self._refuse(ident, 421)
        if self._free.locked() and self._waiting >= self._queue:
            self._on_event('full', self.ident, ident, req.path, body)
            return self._refuse(ident, 503)
        deadline_s = int(req.headers['Toucanlead-Deadline-Ms']) / 1e3
        self._waiting += 1
        try:
            async with asyncio.timeout(deadline_s):
                await self._free.acquire()
        except TimeoutError:
            return self._refuse(ident, 503)
        finally:
            self._waiting -= 1
        transport = req.transport
        self._transports.add(transport)
        try:
            self._on_event('began', self.ident, ident, req.path, body)
            if self.is_engine:
                return await self._stream(req, ident, body)
            await asyncio.sleep(self.work_s)
            return web.Response(body=b'done ' + ident.encode(), headers=_headers(ident))
        finally:
            self._transports.discard(transport)
            self._free.release()

    def _refuse(self, ident: str, status: int) -> web.Response:
        headers = {'Toucanlead-Request-Id': ident, 'Toucanlead-Not-Executed': '1'}
        return web.Response(status=status, headers=headers)

    def _report(self) -> web.Response:
        document = {
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': 0,
            'waiting': self._waiting,
            'running': self._slots - self._free._value,
            'kvCacheUsed': 0,
            'kvCacheTotal': 98_048,
            'handles': 0,
            'born': self._born,
        }
        return web.Response(body=orjson.dumps(document), content_type='application/json')

    async def _stream(self, req: web.BaseRequest, ident: str, body: bytes) -> web.StreamResponse:
        if req.transport is None or req.transport.is_closing():
            raise ConnectionResetError('the caller has left')
        resp = web.StreamResponse(headers=_headers(ident))
        resp.content_type = 'text/event-stream'
        resp.enable_chunked_encoding()
        await resp.prepare(req)
        await asyncio.sleep(self._prefill_s)
        for number in range(int(req.headers.get('Last-Event-Id', 0)) + 1, self._events + 1):
            await asyncio.sleep(self.work_s)
            await resp.write(b'id: %d\ndata: %s-%d\n\n' % (number, ident.encode(), number))
            if self._crash_on is not None and self._crash_on in body:
                self._on_event('crashed', self.ident, ident, req.path, body)
                await asyncio.sleep(30.0)
        await resp.write_eof()
        return resp


def _headers(ident: str) -> dict[str, str]:
    return {
        'Toucanlead-Request-Id': ident,
        'Toucanlead-Response-Signature': f'sig.{ident}',
        'Toucanlead-Weight-Versions': '1',
        'Keep-Alive': 'timeout=10',
    }
