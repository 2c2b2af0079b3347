"""HTTP server for the stand-in key-value service, with the JSON API of etcd v3."""

import asyncio
import base64
from typing import Any

import orjson
from aiohttp import web

from toucanlead_kv.kv import Compare, Delete, KvEntry, Put

from .kv_model import KvModel


class KvServer:
    """Serves one KvModel over HTTP and applies its faults."""

    def __init__(self, model: KvModel) -> None:
        self.model = model

    def app(self) -> web.Application:
        """Build the aiohttp application."""
        app = web.Application(client_max_size=4_000_000)
        app.router.add_post('/v3/kv/range', self._range)
        app.router.add_post('/v3/kv/txn', self._txn)
        app.router.add_post('/v3/lease/grant', self._grant)
        app.router.add_post('/v3/lease/keepalive', self._keep_alive)
        app.router.add_post('/v3/lease/revoke', self._revoke)
        app.router.add_post('/v3/watch', self._watch)
        return app

    async def _range(self, req: web.Request) -> web.Response:
        body = await self._read_body(req)
        key = _decode_key(body['key'])
        if 'range_end' in body:
            entries = self.model.scan(key)
        else:
            entry = self.model.get(key)
            entries = [entry] if entry else []
        return await self._reply(req, {'kvs': [_kv_document(e) for e in entries]}, is_write=False)

    async def _txn(self, req: web.Request) -> web.Response:
        body = await self._read_body(req)
        compares = [
            Compare(_decode_key(c['key']), int(c['mod_revision'])) for c in body.get('compare', [])
        ]
        try:
            result = self.model.txn(compares, [_parse_op(o) for o in body.get('success', [])])
        except ValueError as exc:
            return web.Response(status=400, text=str(exc))
        return await self._reply(req, {'succeeded': result.succeeded}, is_write=True)

    async def _grant(self, req: web.Request) -> web.Response:
        body = await self._read_body(req)
        lease = self.model.grant_lease(float(body['TTL']))
        return await self._reply(req, {'ID': str(lease), 'TTL': body['TTL']}, is_write=True)

    async def _keep_alive(self, req: web.Request) -> web.Response:
        body = await self._read_body(req)
        alive = self.model.keep_alive(int(body['ID']))
        return await self._reply(req, {'result': {'TTL': '1' if alive else '0'}}, is_write=True)

    async def _revoke(self, req: web.Request) -> web.Response:
        body = await self._read_body(req)
        self.model.revoke(int(body['ID']))
        return await self._reply(req, {}, is_write=True)

    async def _watch(self, req: web.Request) -> web.StreamResponse:
        body = (await self._read_body(req))['create_request']
        prefix = _decode_key(body['key'])
        revision = int(body.get('start_revision', 0)) or self.model.revision + 1
        self.model.counters.watches += 1
        resp = web.StreamResponse()
        await resp.prepare(req)
        while True:
            change = self.model.next_change(prefix)
            events = self.model.events_from(prefix, revision)
            if events:
                revision = events[-1].mod_rev + 1
                try:
                    await resp.write(_watch_line(events))
                except ConnectionResetError:
                    return resp  # the client has closed the connection
            try:
                await asyncio.wait_for(change.wait(), 1.0)
            except TimeoutError:
                continue

    async def _read_body(self, req: web.Request) -> dict[str, Any]:
        if self.model.down:
            await self._reset_connection(req)
        if self.model.delay_s:
            await asyncio.sleep(self.model.delay_s)
        return orjson.loads(await req.read())

    async def _reply(
        self, req: web.Request, document: dict[str, Any], *, is_write: bool
    ) -> web.Response:
        if is_write and self.model.lose_answers > 0:
            self.model.lose_answers -= 1
            await self._reset_connection(req)
        document['header'] = {'revision': str(self.model.revision)}
        return web.Response(body=orjson.dumps(document), content_type='application/json')

    async def _reset_connection(self, req: web.Request) -> None:
        if req.transport is not None:
            req.transport.abort()
        raise ConnectionResetError


def _decode_key(data: str) -> str:
    return base64.b64decode(data).decode()


def _encode_key(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _kv_document(entry: KvEntry) -> dict[str, str]:
    return {
        'key': _encode_key(entry.key),
        'value': base64.b64encode(entry.value).decode(),
        'create_revision': str(entry.create_rev),
        'mod_revision': str(entry.mod_rev),
    }


def _parse_op(operation: dict[str, Any]) -> Put | Delete:
    put = operation.get('request_put')
    if put is None:
        return Delete(_decode_key(operation['request_delete_range']['key']))
    return Put(_decode_key(put['key']), base64.b64decode(put['value']), int(put.get('lease', 0)))


def _watch_line(events) -> bytes:
    items = []
    for event in events:
        kv = {'key': _encode_key(event.key), 'mod_revision': str(event.mod_rev)}
        if event.value is None:
            items.append({'type': 'DELETE', 'kv': kv})
        else:
            kv['value'] = base64.b64encode(event.value).decode()
            items.append({'kv': kv})
    return orjson.dumps({'result': {'events': items}}) + b'\n'
