"""Stand-in for the platform's key-value store."""

import asyncio
import base64
import itertools
from collections.abc import Callable

import orjson
from aiohttp import web

ANSWER_S = 0.004  # the sheets give 4 ms an answer
MAX_WAIT_S = 30.0
PAGE_ITEMS = 500
TXN_ENTRIES = 32


class Store:
    """A linearizable store that loses nothing; while `busy`, every call gets 503.

    `on_write` is called with each key that processes of the system write. `loses_answer` is
    called with the prefix when a watch is about to be answered; if it returns True, the answer
    is lost, and the connection returns nothing further.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.revision = 1
        self.busy = False
        self.on_write: Callable[[str], None] = lambda key: None
        self.loses_answer: Callable[[str], bool] = lambda prefix: False
        self._history: list[dict] = []
        self._changed = asyncio.Event()
        self._leases: dict[int, asyncio.TimerHandle] = {}
        self._lease_ids = itertools.count(1)
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item."""
        self._write([(key, value, lease)], [])

    def remove(self, key: str) -> None:
        """Remove an item, if it is there."""
        if key in self.items:
            self._write([], [key])

    def value(self, key: str) -> bytes | None:
        """Return the value of an item, None if it is not there."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item['value'])

    def _write(self, puts: list[tuple[str, bytes, int]], removed: list[str]) -> None:
        self.revision += 1
        for key, value, lease in puts:
            before = self.items.get(key)
            self.items[key] = {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'revision': self.revision,
                'created': before['created'] if before else self.revision,
                'lease': lease,
            }
            self._history.append(self.items[key])
        for key in removed:
            if self.items.pop(key, None) is not None:
                change = {'key': key, 'revision': self.revision, 'tombstone': True}
                self._history.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        body = await req.read()
        await asyncio.sleep(ANSWER_S)
        if self.busy:
            return web.Response(status=503)
        name, _, argument = req.path.strip('/').partition('/')
        document = orjson.loads(body) if body else {}
        match name:
            case 'kv-key':
                item = self.items.get(req.query['key'])
                return _answer(404 if item is None else 200, {**(item or {}), **self._at()})
            case 'kv-range':
                return self._range(req)
            case 'kv-watch':
                return await self._watch(req)
            case 'kv-txn':
                return self._txn(document)
            case 'kv-lease':
                return _answer(200, self._grant(document['ttlMs'] / 1e3))
            case 'kv-keep' | 'kv-lease-end':
                known = int(argument) in self._leases
                if known and name == 'kv-lease-end':
                    self._end_lease(int(argument))
                return _answer(200 if known else 404, {})
        return _answer(404, {})

    def _at(self) -> dict:
        return {'storeRevision': self.revision}

    def _range(self, req: web.BaseRequest) -> web.Response:
        prefix, after = req.query['pathPrefix'], req.query.get('after', '')
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return _answer(200, {'items': items, 'hasMore': len(keys) > PAGE_ITEMS, **self._at()})

    async def _watch(self, req: web.BaseRequest) -> web.Response:
        prefix, after = req.query['pathPrefix'], int(req.query['after'])
        loop = asyncio.get_running_loop()
        end_at = loop.time() + min(MAX_WAIT_S, int(req.query['waitMs']) / 1e3)
        while True:
            changed = self._changed
            events = [
                each
                for each in self._history
                if each['revision'] > after and each['key'].startswith(prefix)
            ]
            if self.busy:
                return web.Response(status=503)
            if events and self.loses_answer(prefix):
                await asyncio.Event().wait()
            if events or loop.time() >= end_at:
                return _answer(200, {'events': events, **self._at()})
            try:
                async with asyncio.timeout_at(end_at):
                    await changed.wait()
            except TimeoutError:
                continue

    def _txn(self, document: dict) -> web.Response:
        expected, puts = document.get('expected', []), document.get('put', [])
        removed = document.get('remove', [])
        if len(expected) + len(puts) + len(removed) > TXN_ENTRIES * 2:
            return _answer(400, {})
        if any(row['key'].startswith(('op/', 'servers/')) for row in puts):
            return _answer(403, {})
        if any(row.get('lease', 0) not in {0, *self._leases} for row in puts):
            return _answer(404, {})
        for row in expected:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                current = [self.items[r['key']] for r in expected if r['key'] in self.items]
                return _answer(412, {'items': current, **self._at()})
        self._write(
            [(r['key'], base64.b64decode(r['value']), r.get('lease', 0)) for r in puts], removed
        )
        for row in puts:
            self.on_write(row['key'])
        return _answer(200, {'revision': self.revision})

    def _grant(self, ttl_s: float) -> dict:
        lease = next(self._lease_ids)
        loop = asyncio.get_running_loop()
        self._leases[lease] = loop.call_later(ttl_s, self._end_lease, lease)
        return {'lease': lease, 'ttlMs': int(1e3 * ttl_s)}

    def _end_lease(self, lease: int) -> None:
        timer = self._leases.pop(lease, None)
        if timer is not None:
            timer.cancel()
            self._write([], [key for key, item in self.items.items() if item['lease'] == lease])


def _answer(status: int, document: dict) -> web.Response:
    return web.Response(body=orjson.dumps(document), status=status, content_type='application/json')
