"""Overhead of an entry on requests, compared with a bare proxy, in one process on loopback."""

import asyncio
import socket
import time
from contextlib import AsyncExitStack

import aiohttp
import orjson
from aiohttp import web
from attrs import frozen

from toucanlead_entry.context import Intervals
from toucanlead_policy.preset import Preset

from .site import EntryPlace, Site, SitePlan, team_key
from .statistics import percentile

CALLS = 150
TOKENS = 8
STREAMS = 40
STREAM_TOKENS = 400
TARGET_TOKENS_PER_S = 7400  # per entry at the target size


@frozen
class PayloadResult:
    """Latency and processor time per request, and processor time per streamed token.

    `direct` calls go to the engine, `bare` ones through a bare proxy and `entry` ones through
    an entry. Processor times leave out a direct call's; `rate_of_bare` is the proxy's
    processor time over the entry's.
    """

    direct_p50_ms: float
    bare_p50_ms: float
    entry_p50_ms: float
    entry_p99_ms: float
    added_p50_ms: float
    bare_cpu_ms: float
    entry_cpu_ms: float
    rate_of_bare: float
    stream_us_per_token: float
    stream_core_share: float


async def measure_payload() -> PayloadResult:
    """Call an engine directly, through a bare proxy and through an entry, and compare."""
    place = EntryPlace('solo', 'centro-a', 'centro')
    plan = SitePlan('flamaviva', (place,), 'centro', ('centro-a',), 2, 0.0)
    site = Site(plan)
    await site.start(Preset(team_concurrency=10_000, team_tokens_per_s=1e9), Intervals())
    for engine in site.engines:
        engine.rates.decode_token_s = 0.0
        engine.rates.slots = 64
    async with AsyncExitStack() as stack:
        target = site.settings_for(place, Preset()).replicas[0].address
        bare = await _start_bare_proxy(stack, target)
        direct = await _measure_calls(site, lambda n: _engine_call(site, target, n))
        proxied = await _measure_calls(site, lambda n: _engine_call(site, bare, n))
        entry = await _measure_calls(site, lambda n: _entry_call(site, n, TOKENS))
        direct_us = await _measure_streams(lambda n: _engine_call(site, target, n, STREAM_TOKENS))
        entry_us = await _measure_streams(lambda n: _entry_call(site, n, STREAM_TOKENS))
    await site.stop()
    return PayloadResult(
        direct_p50_ms=percentile(direct.latencies_ms, 50),
        bare_p50_ms=percentile(proxied.latencies_ms, 50),
        entry_p50_ms=percentile(entry.latencies_ms, 50),
        entry_p99_ms=percentile(entry.latencies_ms, 99),
        added_p50_ms=percentile(entry.latencies_ms, 50) - percentile(direct.latencies_ms, 50),
        bare_cpu_ms=proxied.cpu_ms - direct.cpu_ms,
        entry_cpu_ms=entry.cpu_ms - direct.cpu_ms,
        rate_of_bare=(proxied.cpu_ms - direct.cpu_ms) / (entry.cpu_ms - direct.cpu_ms),
        stream_us_per_token=entry_us - direct_us,
        stream_core_share=TARGET_TOKENS_PER_S * (entry_us - direct_us) / 1e6,
    )


@frozen
class _CallCosts:
    latencies_ms: list[float]
    cpu_ms: float


async def _measure_calls(site: Site, call) -> _CallCosts:
    for number in range(10):
        await call(number)
    latencies: list[float] = []
    started = time.process_time()
    for number in range(100, 100 + CALLS):
        call_started = time.perf_counter()
        await call(number)
        latencies.append(round(1000 * (time.perf_counter() - call_started), 3))
    return _CallCosts(latencies, 1000 * (time.process_time() - started) / CALLS)


async def _measure_streams(call) -> float:
    """Return processor time per token over concurrent streams, in microseconds."""
    started = time.process_time()
    await asyncio.gather(*(call(10_000 + 100 * n) for n in range(STREAMS)))
    return 1e6 * (time.process_time() - started) / (STREAMS * STREAM_TOKENS)


async def _engine_call(site: Site, address: str, number: int, tokens: int = TOKENS) -> None:
    message = {'role': 'user', 'content': f'#d{number}/1~{tokens} hello'}
    body = {'model': 'm', 'messages': [message], 'user': f'd{number}', 'stream': True}
    body['max_tokens'] = tokens
    url = f'http://{address}/v1/chat/completions'
    async with site.session.post(url, json=body) as resp:
        await resp.read()


async def _entry_call(site: Site, number: int, tokens: int) -> None:
    """Make the next call of a program; open the program first if needed."""
    address = site.caller_addresses[0]
    team = f'flamaviva-{number % 6}'
    program = _PROGRAM_IDS.get((id(site), number // 100))
    headers = {'Authorization': f'Bearer {team_key("flamaviva-0")}', 'Accept': 'text/event-stream'}
    if program is None:
        program = await _open(site, address, f'payload-{number}')
        if tokens == TOKENS:
            _PROGRAM_IDS[id(site), number // 100] = program
            _LAST_SEQS[program] = 0
    seq = _LAST_SEQS.get(program, 0) + 1
    _LAST_SEQS[program] = seq
    message = {'role': 'user', 'content': f'#{team}/{seq}~{tokens} hello {number}'}
    body = {'seq': seq, 'kind': 'model', 'messages': [message], 'max_tokens': tokens}
    url = f'http://{address}/v1/programs/{program}/calls'
    async with site.session.post(url, data=orjson.dumps(body), headers=headers) as resp:
        await resp.read()


_PROGRAM_IDS: dict[tuple[int, int], str] = {}
_LAST_SEQS: dict[str, int] = {}


async def _open(site: Site, address: str, key: str) -> str:
    headers = {'Authorization': f'Bearer {team_key("flamaviva-0")}', 'Idempotency-Key': key}
    body = {'model': site.shape.model, 'budget': 1_000_000}
    async with site.session.post(
        f'http://{address}/v1/programs', json=body, headers=headers
    ) as resp:
        return orjson.loads(await resp.read())['program_id']


async def _start_bare_proxy(stack: AsyncExitStack, target: str) -> str:
    session = await stack.enter_async_context(aiohttp.ClientSession())

    async def relay(req: web.Request) -> web.StreamResponse:
        async with session.post(f'http://{target}{req.path}', data=await req.read()) as upstream:
            resp = web.StreamResponse(headers={'Content-Type': upstream.content_type})
            await resp.prepare(req)
            async for data in upstream.content.iter_any():
                await resp.write(data)
            await resp.write_eof()
            return resp

    app = web.Application()
    app.router.add_post('/{path:.*}', relay)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    sock = socket.create_server(('127.0.0.1', 0))
    await web.SockSite(runner, sock).start()
    return f'127.0.0.1:{sock.getsockname()[1]}'
