"""Model engine client for the OpenAI-compatible HTTP API with streaming.

Engines differ in how the KV cache is controlled; this client uses the JSON form
described in docs/backends.md.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import orjson
from cattrs import unstructure
from prometheus_client.parser import text_string_to_metric_families

from toucanlead_core.codec import structure
from toucanlead_core.errors import NotSent, OutcomeUnknown, Step
from toucanlead_core.http_status import is_final_status
from toucanlead_core.messages import Chunk

from .engine import (
    CacheEvent,
    EngineOrder,
    GenerateReq,
    LoadReport,
    ModelEngine,
    TokenUsage,
)
from .http_connection import MAX_BODY_BYTES, join_chunks

CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 3.0


class HttpEngine(ModelEngine):
    """A replica reached over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """`address` is the replica's host:port; the caller owns `session`."""
        self._session = session
        self._address = address
        self._base_url = f'http://{address}'

    async def generate(self, req: GenerateReq) -> AsyncIterator[Chunk | TokenUsage]:
        """Request an answer and parse its server-sent events."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        offset = req.resume_from
        ended = False
        try:
            async with self._session.post(
                f'{self._base_url}/v1/chat/completions', json=_chat_request(req), timeout=timeout
            ) as resp:
                self._check_status(resp, Step.SEND)
                async for line in resp.content:
                    if not line.startswith(b'data: ') or line.startswith(b'data: [DONE]'):
                        continue
                    item = _parse_event(orjson.loads(line[6:]), offset)
                    if isinstance(item, Chunk):
                        offset += item.tokens
                    else:
                        ended = True
                    yield item
        except aiohttp.ClientConnectorError as exc:
            raise NotSent(str(exc), step=Step.SEND, peer=self._address) from exc
        except (aiohttp.ClientError, asyncio.TimeoutError, ConnectionError) as exc:
            raise OutcomeUnknown(repr(exc), step=Step.STREAM, peer=self._address) from exc
        if not ended:
            raise OutcomeUnknown(
                'stream ended without token counts', step=Step.STREAM, peer=self._address
            )

    async def load_report(self) -> LoadReport:
        """Return the load from the replica's Prometheus metrics."""
        text = (await self._request('GET', '/metrics')).decode()
        values = {
            sample.name: sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
        }
        return LoadReport(
            running=int(values.get('engine_requests_running', 0)),
            waiting=int(values.get('engine_requests_waiting', 0)),
            cache_used_tokens=int(values.get('engine_cache_used_tokens', 0)),
            cache_limit_tokens=int(values.get('engine_cache_limit_tokens', 0)),
            age_s=values.get('engine_report_age_seconds', 0.0),
        )

    async def cache_events(self, since: int) -> list[CacheEvent]:
        """Return the cache events with a number greater than `since`."""
        data = await self._request('GET', f'/control/events?since={since}')
        return structure(orjson.loads(data), list[CacheEvent])

    async def held_programs(self) -> list[str]:
        """Return the ids of programs whose KV cache the replica holds."""
        return structure(orjson.loads(await self._request('GET', '/control/held')), list[str])

    async def hold(self, program_id: str) -> None:
        """Pin a program's KV cache."""
        await self._request('POST', f'/control/hold/{program_id}')

    async def release(self, program_id: str) -> None:
        """Free a program's KV cache."""
        await self._request('POST', f'/control/release/{program_id}')

    async def export_cache(self, program_id: str) -> str:
        """Export a program's KV cache and return its handle."""
        return (await self._request('POST', f'/control/export/{program_id}')).decode()

    async def import_cache(self, program_id: str, handle: str) -> None:
        """Restore a program's KV cache from its handle."""
        await self._request('POST', f'/control/import/{program_id}', {'handle': handle})

    async def order(self, order: EngineOrder) -> EngineOrder:
        """Send the desired state and return the state that the replica reports."""
        data = await self._request('POST', '/control/orders', unstructure(order))
        return structure(orjson.loads(data), EngineOrder)

    async def _request(self, method: str, path: str, body: Any = None) -> bytes:
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.request(
                method, self._base_url + path, json=body, timeout=timeout
            ) as resp:
                self._check_status(resp, 'control')
                return await self._read(resp)
        except aiohttp.ClientConnectorError as exc:
            raise NotSent(str(exc), step='control', peer=self._address) from exc
        except (aiohttp.ClientError, asyncio.TimeoutError) as exc:
            raise OutcomeUnknown(repr(exc), step='control', peer=self._address) from exc

    async def _read(self, resp: aiohttp.ClientResponse) -> bytes:
        """Return the whole body; raise OutcomeUnknown if it is too long."""
        return await join_chunks(resp.content.iter_any(), MAX_BODY_BYTES, self._address)

    def _check_status(self, resp: aiohttp.ClientResponse, step: Step | str) -> None:
        if resp.status in (429, 503):
            raise NotSent(f'status {resp.status}', step=step, peer=self._address)
        if resp.status >= 400 or not is_final_status(resp.status):
            raise OutcomeUnknown(f'status {resp.status}', step=step, peer=self._address)


def _chat_request(req: GenerateReq) -> dict[str, Any]:
    return {
        'model': req.model,
        'messages': [{'role': m.role, 'content': m.content} for m in req.messages],
        'max_tokens': req.max_tokens,
        'stream': True,
        'priority': req.priority,
        'user': req.program_id,
        'request_id': req.request_id,
        'seq': req.seq,
        'resume_from': req.resume_from,
        'resume_text': req.resume_text,
    }


def _parse_event(event: dict[str, Any], offset: int) -> Chunk | TokenUsage:
    usage = event.get('usage')
    if usage:
        details = usage.get('prompt_tokens_details') or {}
        return TokenUsage(
            prompt_tokens=usage['prompt_tokens'],
            cached_tokens=details.get('cached_tokens', 0),
            output_tokens=usage['completion_tokens'],
        )
    text = event['choices'][0]['delta'].get('content', '')
    return Chunk(offset=offset, text=text, tokens=event.get('tokens', 1))
