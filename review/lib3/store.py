"""The platform's store, as PROTOCOL.md describes it: items, transactions, leases and watches."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from .http import Request, response, serve

PAGE_ITEMS = 500


class Store:
    """Keeps all items in memory; `down` makes it answer 503 to all calls."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.down = False
        self.calls: list[tuple[float, str, int]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await serve(host, port, self._handle)

    def put(self, key: str, document: dict) -> None:
        """Write an item as the operator or a replica does."""
        self._put(key, base64.b64encode(json.dumps(document).encode()).decode(), 0)
        self._notify()

    def _put(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        created = self.items[key]['created'] if key in self.items else self.revision
        item = {
            'key': key,
            'value': value,
            'revision': self.revision,
            'created': created,
            'lease': lease,
        }
        self.items[key] = item
        self.events.append(item)

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({'key': key, 'revision': self.revision, 'tombstone': True})
            self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _end_leases(self) -> None:
        now = time.monotonic()
        for lease, (ends_at, _) in list(self.leases.items()):
            if ends_at <= now:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item['lease'] == lease]:
            self.remove(key)

    async def _handle(self, req: Request, writer: asyncio.StreamWriter) -> None:
        url = urlsplit(req.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        name, _, argument = url.path.strip('/').partition('/')
        if self.down:
            status, document = 503, {}
        elif name == 'kv-watch':
            status, document = await self._watch(query)
        else:
            self._end_leases()
            body = json.loads(req.body) if req.body else {}
            status, document = self._call(req.method, name, argument, query, body)
        self.calls.append((time.monotonic(), f'{req.method} {url.path}', status))
        headers = {'Content-Type': 'application/json'}
        writer.write(response(status, headers, json.dumps(document).encode()))

    def _call(
        self, method: str, name: str, argument: str, query: dict, body: dict
    ) -> tuple[int, dict]:
        if name == 'kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'storeRevision': self.revision}
            return 200, {**item, 'storeRevision': self.revision}
        if name == 'kv-range':
            prefix, after = query['pathPrefix'], query.get('after', '')
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[key] for key in keys[:PAGE_ITEMS]]
            more = len(keys) > PAGE_ITEMS
            return 200, {'items': items, 'hasMore': more, 'storeRevision': self.revision}
        if name == 'kv-txn':
            return self._txn(body)
        if name == 'kv-lease':
            lease = len(self.leases) + self.revision * 1000 + 7
            self.leases[lease] = (time.monotonic() + body['ttlMs'] / 1e3, body['ttlMs'] / 1e3)
            return 200, {'lease': lease, 'ttlMs': body['ttlMs']}
        if name == 'kv-keep' and int(argument) in self.leases:
            ttl_s = self.leases[int(argument)][1]
            self.leases[int(argument)] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {'ttlMs': int(1e3 * ttl_s)}
        if name == 'kv-lease-end' and int(argument) in self.leases:
            self._end_lease(int(argument))
            return 200, {}
        return 404, {}

    def _txn(self, body: dict) -> tuple[int, dict]:
        rows = body.get('expected', [])
        for row in rows:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                current = [self.items[r['key']] for r in rows if r['key'] in self.items]
                return 412, {'items': current, 'storeRevision': self.revision}
        if any(row.get('lease', 0) and row['lease'] not in self.leases for row in body['put']):
            return 404, {}
        for row in body.get('put', []):
            self._put(row['key'], row['value'], row.get('lease', 0))
        for key in body.get('remove', []):
            self.remove(key)
        self._notify()
        return 200, {'revision': self.revision}

    async def _watch(self, query: dict) -> tuple[int, dict]:
        prefix, after = query['pathPrefix'], int(query['after'])
        ends_at = time.monotonic() + int(query['waitMs']) / 1e3
        while True:
            changed, revision = self._changed, self.revision
            found = [
                e for e in self.events if e['revision'] > after and e['key'].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if found or left_s <= 0:
                return 200, {'events': found, 'storeRevision': max(after, revision)}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue
            if self.down:
                return 503, {}
