"""HTTP servers for the stand-in engines, tool services and VM list."""

import asyncio
from collections.abc import AsyncIterator, Callable

import orjson
from aiohttp import web

from toucanlead_backends.engine import EngineOrder, GenerateReq, TokenUsage
from toucanlead_backends.tool import ToolReq
from toucanlead_core.codec import converter, to_json
from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.messages import Chunk, Message
from toucanlead_kv.vm_list import Vm

from .engine_model import EngineModel
from .tool_model import ToolModel


class EngineServer:
    """Serves one EngineModel over HTTP, with an OpenAI-compatible completions endpoint."""

    def __init__(self, model: EngineModel) -> None:
        self.model = model

    def app(self) -> web.Application:
        """Build the aiohttp application."""
        app = web.Application(client_max_size=64_000_000)
        app.router.add_post('/v1/chat/completions', self._complete)
        app.router.add_get('/metrics', self._metrics)
        app.router.add_get('/control/held', self._held)
        app.router.add_get('/control/events', self._events)
        app.router.add_post('/control/orders', self._order)
        app.router.add_post('/control/{action}/{program}', self._change_cache)
        return app

    async def _complete(self, req: web.Request) -> web.StreamResponse:
        body = orjson.loads(await req.read())
        generate = GenerateReq(
            request_id=body.get('request_id', ''),
            program_id=body.get('user', ''),
            seq=body.get('seq', 0),
            model=body['model'],
            messages=[Message(m['role'], m['content']) for m in body['messages']],
            max_tokens=body.get('max_tokens', 256),
            priority=body.get('priority', 0),
            resume_from=body.get('resume_from', 0),
            resume_text=body.get('resume_text', ''),
        )
        resp = web.StreamResponse(headers={'Content-Type': 'text/event-stream'})
        source: AsyncIterator = self.model.generate(generate)
        try:
            await resp.prepare(req)
            async for item in source:
                await resp.write(_sse_event(item))
        except NotSent:
            return _reset_connection(req, resp)
        except (OutcomeUnknown, ConnectionResetError):
            return _reset_connection(req, resp)
        finally:
            await source.aclose()
        await resp.write(b'data: [DONE]\n\n')
        await resp.write_eof()
        return resp

    async def _metrics(self, req: web.Request) -> web.Response:
        report = await self.model.load_report()
        lines = [
            f'engine_requests_running {report.running}',
            f'engine_requests_waiting {report.waiting}',
            f'engine_cache_used_tokens {report.cache_used_tokens}',
            f'engine_cache_limit_tokens {report.cache_limit_tokens}',
            f'engine_report_age_seconds {report.age_s}',
        ]
        return web.Response(text='\n'.join(lines) + '\n')

    async def _held(self, req: web.Request) -> web.Response:
        return web.Response(body=orjson.dumps(await self.model.held_programs()))

    async def _events(self, req: web.Request) -> web.Response:
        events = await self.model.cache_events(int(req.query.get('since', '0')))
        return web.Response(body=to_json(events))

    async def _order(self, req: web.Request) -> web.Response:
        order = converter.structure(orjson.loads(await req.read()), EngineOrder)
        return web.Response(body=to_json(await self.model.order(order)))

    async def _change_cache(self, req: web.Request) -> web.Response:
        program = req.match_info['program']
        match req.match_info['action']:
            case 'hold':
                await self.model.hold(program)
            case 'release':
                await self.model.release(program)
            case 'export':
                return web.Response(text=await self.model.export_cache(program))
            case 'import':
                body = orjson.loads(await req.read())
                await self.model.import_cache(program, body['handle'])
            case _:
                return web.Response(status=404)
        return web.Response(text='ok')


class ToolServer:
    """Serves one ToolModel over HTTP."""

    def __init__(self, model: ToolModel) -> None:
        self.model = model

    def app(self) -> web.Application:
        """Build the aiohttp application."""
        app = web.Application()
        app.router.add_post('/v1/tools/{tool}', self._call)
        app.router.add_get('/v1/outcomes/{key}', self._outcome)
        return app

    async def _call(self, req: web.Request) -> web.StreamResponse:
        call = ToolReq(
            program_id=req.headers.get('X-Program', ''),
            seq=int(req.headers.get('X-Seq', '0')),
            tool=req.match_info['tool'],
            args=orjson.loads(await req.read()),
            idempotency_key=req.headers.get('Idempotency-Key', ''),
        )
        try:
            return web.Response(text=await self.model.call(call))
        except NotSent:
            return web.Response(status=503)
        except OutcomeUnknown:
            return _reset_connection(req, web.StreamResponse())

    async def _outcome(self, req: web.Request) -> web.Response:
        outcome = await self.model.outcome(req.match_info['key'])
        return web.Response(body=to_json(outcome))


class VmListServer:
    """Serves the VM list over HTTP.

    It calls `current_vms` for a new list at most every `refresh_interval_s` seconds.
    """

    def __init__(
        self, current_vms: Callable[[], list[Vm]], refresh_interval_s: float = 5.0
    ) -> None:
        self._current_vms = current_vms
        self._refresh_interval_s = refresh_interval_s
        self._listed: list[Vm] = []
        self._listed_at = -1e9

    def app(self) -> web.Application:
        """Build the aiohttp application."""
        app = web.Application()
        app.router.add_get('/vms', self._vms)
        return app

    async def _vms(self, req: web.Request) -> web.Response:
        now = asyncio.get_running_loop().time()
        if now - self._listed_at >= self._refresh_interval_s:
            self._listed, self._listed_at = self._current_vms(), now
        return web.Response(body=to_json(self._listed))


def _sse_event(item: Chunk | TokenUsage) -> bytes:
    if isinstance(item, Chunk):
        document = {
            'choices': [{'index': 0, 'delta': {'content': item.text}}],
            'tokens': item.tokens,
        }
    else:
        document = {
            'choices': [],
            'usage': {
                'prompt_tokens': item.prompt_tokens,
                'completion_tokens': item.output_tokens,
                'prompt_tokens_details': {'cached_tokens': item.cached_tokens},
            },
        }
    return b'data: ' + orjson.dumps(document) + b'\n\n'


def _reset_connection(req: web.Request, resp: web.StreamResponse) -> web.StreamResponse:
    """Reset the connection, as a server that dies would."""
    if req.transport is not None:
        req.transport.abort()
    return resp
