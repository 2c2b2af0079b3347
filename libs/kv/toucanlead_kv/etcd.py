"""Client of etcd v3's JSON/HTTP API (the gRPC gateway)."""

import asyncio
import base64
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import orjson

from toucanlead_core.errors import NotSent, OutcomeUnknown

from .kv import Compare, Delete, KeyValueStore, KvEntry, Put, TxnResult, WatchEvent

REQUEST_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5


class EtcdStore(KeyValueStore):
    """A key-value service that speaks etcd v3's JSON/HTTP API at one address."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Use a shared client session; `address` is the service's host:port."""
        self._session = session
        self._address = address

    async def get(self, key: str) -> KvEntry | None:
        """Return the entry at a key, or None if the key does not exist."""
        reply = await self._post('kv/range', {'key': _b64encode(key)})
        kvs = reply.get('kvs') or []
        return _entry(kvs[0]) if kvs else None

    async def scan(self, prefix: str) -> list[KvEntry]:
        """Return all entries whose keys have a prefix."""
        body = {'key': _b64encode(prefix), 'range_end': _b64encode(prefix_end(prefix))}
        reply = await self._post('kv/range', body)
        return [_entry(kv) for kv in reply.get('kvs') or []]

    async def txn(self, compares: list[Compare], ops: list[Put | Delete]) -> TxnResult:
        """Apply all operations atomically if all conditions hold."""
        body = {
            'compare': [_compare(c) for c in compares],
            'success': [_operation(op) for op in ops],
        }
        reply = await self._post('kv/txn', body)
        revision = int(reply['header']['revision'])
        return TxnResult(bool(reply.get('succeeded', False)), revision)

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id."""
        return int((await self._post('lease/grant', {'TTL': str(ttl_s)}))['ID'])

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""
        reply = await self._post('lease/keepalive', {'ID': str(lease)})
        return int((reply.get('result') or reply).get('TTL', 0)) > 0

    async def revoke(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys."""
        await self._post('lease/revoke', {'ID': str(lease)})

    async def watch(self, prefix: str, from_rev: int) -> AsyncIterator[WatchEvent]:
        """Yield changes under a prefix; raise OutcomeUnknown when the connection fails."""
        body = {
            'create_request': {
                'key': _b64encode(prefix),
                'range_end': _b64encode(prefix_end(prefix)),
                'start_revision': str(from_rev),
                'progress_notify': True,
            }
        }
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.post(
                f'http://{self._address}/v3/watch', json=body, timeout=timeout
            ) as resp:
                async for line in resp.content:
                    for event in orjson.loads(line).get('result', {}).get('events', []):
                        yield _watch_event(event)
        except (aiohttp.ClientError, asyncio.TimeoutError) as exc:
            raise OutcomeUnknown(repr(exc), step='watch', peer=self._address) from exc

    async def _post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        url = f'http://{self._address}/v3/{path}'
        try:
            async with self._session.post(url, json=body, timeout=timeout) as resp:
                data = await resp.read()
                if resp.status != 200:
                    raise OutcomeUnknown(f'status {resp.status}', step=path, peer=self._address)
                return orjson.loads(data)
        except aiohttp.ClientConnectorError as exc:
            raise NotSent(str(exc), step=path, peer=self._address) from exc
        except (aiohttp.ClientError, asyncio.TimeoutError, ConnectionError) as exc:
            raise OutcomeUnknown(repr(exc), step=path, peer=self._address) from exc


def prefix_end(prefix: str) -> str:
    """Return the end of the key range of a prefix, exclusive."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _b64encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _b64decode(text: str) -> str:
    return base64.b64decode(text).decode()


def _entry(kv: dict[str, Any]) -> KvEntry:
    return KvEntry(
        key=_b64decode(kv['key']),
        value=base64.b64decode(kv.get('value', '')),
        create_rev=int(kv['create_revision']),
        mod_rev=int(kv['mod_revision']),
    )


def _compare(compare: Compare) -> dict[str, Any]:
    return {
        'key': _b64encode(compare.key),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(compare.mod_rev),
    }


def _operation(op: Put | Delete) -> dict[str, Any]:
    if isinstance(op, Delete):
        return {'request_delete_range': {'key': _b64encode(op.key)}}
    value = base64.b64encode(op.value).decode()
    return {'request_put': {'key': _b64encode(op.key), 'value': value, 'lease': str(op.lease)}}


def _watch_event(event: dict[str, Any]) -> WatchEvent:
    kv = event['kv']
    deleted = event.get('type') == 'DELETE'
    value = None if deleted else base64.b64decode(kv.get('value', ''))
    return WatchEvent(_b64decode(kv['key']), value, int(kv['mod_revision']))
