"""Native HTTP API for callers."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import orjson
import structlog
from aiohttp import web

from toucanlead_core.codec import to_json
from toucanlead_core.errors import ExecutionStatus, Reason, Refusal
from toucanlead_core.ids import child_id_for, program_id_for
from toucanlead_core.messages import CallReq, Chunk, ProgramSpec
from toucanlead_peer.messages import ForwardReq, Frame, Operation

from .auth import ApiKeyAuth
from .bodies import json_object, typed_body
from .entry import Entry
from .problems import problem_document, problem_response
from .settings import LimitsSection

log = structlog.get_logger()

KEEP_ALIVE_INTERVAL_S = 10.0
MAX_IDEMPOTENCY_KEY_CHARS = 200

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@web.middleware
async def refusal_middleware(req: web.Request, handler: Handler) -> web.StreamResponse:
    """Answer refusals and unexpected errors with problem documents."""
    try:
        return await handler(req)
    except Refusal as refusal:
        return problem_response(refusal)
    except web.HTTPRequestEntityTooLarge as exc:
        return problem_response(Refusal(Reason.TOO_LARGE, exc.text or ''))
    except web.HTTPException:
        raise
    except (asyncio.CancelledError, ConnectionResetError):
        raise
    except Exception as exc:
        log.error('request_failed', path=req.path, error=repr(exc))
        return problem_response(Refusal(Reason.INTERNAL, ran=ExecutionStatus.UNKNOWN))


class CallerApi:
    """HTTP handlers of the native API, of health checks and of metrics."""

    def __init__(self, entry: Entry, keys: ApiKeyAuth) -> None:
        """Serve requests through the gateway of `entry`; authenticate them with `keys`."""
        self._entry = entry
        self._keys = keys

    def add_routes(self, app: web.Application) -> None:
        """Register all routes with `app`."""
        app.router.add_post('/v1/programs', self.open)
        app.router.add_get('/v1/programs/{program}', self.show)
        app.router.add_delete('/v1/programs/{program}', self.end)
        app.router.add_post('/v1/programs/{program}/calls', self.call)
        app.router.add_get('/v1/programs/{program}/calls/{seq}', self.fetch)
        app.router.add_get('/healthz', self.healthz)
        app.router.add_get('/readyz', self.readyz)
        app.router.add_get('/metrics', self.metrics)

    async def open(self, req: web.Request) -> web.StreamResponse:
        """Handle POST /v1/programs: open a program."""
        team = self._team(req)
        body = await json_object(req)
        body['key'] = self._idempotency_key(req)
        spec = typed_body(orjson.dumps(body), ProgramSpec)
        _check_spec(spec)
        program_id = self.program_id(team, spec)
        forward = ForwardReq(Operation.OPEN, team, program_id, body=to_json(spec))
        return await self._document_response(req, forward, status=201)

    async def show(self, req: web.Request) -> web.StreamResponse:
        """Handle GET /v1/programs/{program}: show its history and spending."""
        forward = ForwardReq(Operation.SHOW, self._team(req), req.match_info['program'])
        return await self._document_response(req, forward)

    async def end(self, req: web.Request) -> web.StreamResponse:
        """Handle DELETE /v1/programs/{program}: end the program."""
        forward = ForwardReq(Operation.END, self._team(req), req.match_info['program'])
        return await self._document_response(req, forward)

    async def call(self, req: web.Request) -> web.StreamResponse:
        """Handle POST /v1/programs/{program}/calls: make a call."""
        team = self._team(req)
        call = typed_body(await req.read(), CallReq)
        _check_call(call)
        forward = ForwardReq(
            Operation.CALL,
            team,
            req.match_info['program'],
            seq=call.seq,
            body=to_json(call),
            from_offset=_last_event_id(req),
        )
        return await self._call_response(req, forward)

    async def fetch(self, req: web.Request) -> web.StreamResponse:
        """Handle GET /v1/programs/{program}/calls/{seq}: return the answer of an earlier call."""
        seq = req.match_info['seq']
        if not seq.isdecimal() or len(seq) > 9:
            raise self._count_refusal(
                Refusal(Reason.BAD_REQUEST, f'seq: expected a number, got {seq!r}')
            )
        forward = ForwardReq(
            Operation.FETCH,
            self._team(req),
            req.match_info['program'],
            seq=int(seq),
            from_offset=_last_event_id(req),
        )
        return await self._call_response(req, forward)

    async def healthz(self, req: web.Request) -> web.Response:
        """Handle GET /healthz: report that the process is running."""
        return web.Response(text='ok\n')

    async def readyz(self, req: web.Request) -> web.Response:
        """Handle GET /readyz: report whether this entry accepts new callers."""
        ready = self._entry.ready
        return web.Response(
            text='ready\n' if ready else 'not ready\n', status=200 if ready else 503
        )

    async def metrics(self, req: web.Request) -> web.Response:
        """Handle GET /metrics: return the metrics in the Prometheus text format."""
        return web.Response(body=self._entry.ctx.metrics.text(), content_type='text/plain')

    def program_id(self, team: str, spec: ProgramSpec) -> str:
        """Return the id of the program that `spec` opens, derived from its idempotency key."""
        if spec.parent is not None:
            return child_id_for(spec.parent, spec.key)
        return program_id_for(team, spec.key, self._entry.ctx.identity.slots)

    def _team(self, req: web.Request) -> str:
        try:
            return self._keys.team_of(req)
        except Refusal as refusal:
            raise self._count_refusal(refusal) from None

    def _idempotency_key(self, req: web.Request) -> str:
        key = req.headers.get('Idempotency-Key') or self._entry.ctx.nonce()
        if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
            raise self._count_refusal(Refusal(Reason.BAD_REQUEST, 'Idempotency-Key is too long'))
        return key

    async def _document_response(
        self, req: web.Request, forward: ForwardReq, status: int = 200
    ) -> web.Response:
        async for frame in self._entry.gateway.request(forward):
            if not isinstance(frame, Chunk):
                return web.Response(body=frame.body, status=status, content_type='application/json')
        raise Refusal(Reason.INTERNAL, 'the owner sent no result', ran=ExecutionStatus.UNKNOWN)

    async def _call_response(self, req: web.Request, forward: ForwardReq) -> web.StreamResponse:
        if 'text/event-stream' not in req.headers.get('Accept', ''):
            return await self._document_response(req, forward)
        return await stream_events(req, self._entry.gateway.request(forward))

    def _count_refusal(self, refusal: Refusal) -> Refusal:
        self._entry.ctx.metrics.refused(refusal.reason)
        return refusal


async def stream_events(req: web.Request, frames: AsyncIterator[Frame]) -> web.StreamResponse:
    """Send frames as server-sent events; an event's id is the token offset after it."""
    source = frames.__aiter__()
    first = await anext(source)  # a refusal raised here is still sent with its HTTP status
    resp = web.StreamResponse(headers={'Content-Type': 'text/event-stream'})
    resp.headers['Cache-Control'] = 'no-store'
    await resp.prepare(req)
    keep_alive = asyncio.ensure_future(_keep_alive(resp))
    try:
        await resp.write(_encode_event(first))
        async for frame in source:
            await resp.write(_encode_event(frame))
    except Refusal as refusal:
        data = orjson.dumps(problem_document(refusal))
        await resp.write(b'event: refusal\ndata: ' + data + b'\n\n')
    except ConnectionResetError:
        return resp  # the caller disconnected; the call continues and can be fetched
    finally:
        keep_alive.cancel()
    await resp.write_eof()
    return resp


async def _keep_alive(resp: web.StreamResponse) -> None:
    """Send comments periodically, so that a silent connection is not taken for a dead one."""
    with contextlib.suppress(ConnectionResetError):
        while True:
            await asyncio.sleep(KEEP_ALIVE_INTERVAL_S)
            await resp.write(b': keep-alive\n\n')


def _encode_event(frame: Frame) -> bytes:
    if isinstance(frame, Chunk):
        end = frame.offset + frame.tokens
        return b'id: %d\nevent: token\ndata: %s\n\n' % (end, to_json(frame))
    return b'event: answer\ndata: ' + frame.body + b'\n\n'


def _last_event_id(req: web.Request) -> int:
    text = req.headers.get('Last-Event-ID', '0')
    if not text.isdecimal() or len(text) > 9:
        raise Refusal(Reason.BAD_REQUEST, f'Last-Event-ID: expected a number, got {text!r}')
    return int(text)


def _check_spec(spec: ProgramSpec) -> None:
    if spec.budget < 1:
        raise Refusal(Reason.BAD_REQUEST, f'budget: expected at least 1, got {spec.budget}')
    if not 0 < spec.deadline_s <= 604_800:
        raise Refusal(
            Reason.BAD_REQUEST, f'deadline_s: expected up to 604800, got {spec.deadline_s}'
        )


def _check_call(call: CallReq) -> None:
    if call.seq < 1:
        raise Refusal(Reason.BAD_REQUEST, f'seq: expected at least 1, got {call.seq}')
    if not 1 <= call.max_tokens <= 1_000_000:
        raise Refusal(
            Reason.BAD_REQUEST, f'max_tokens: expected 1 to 1000000, got {call.max_tokens}'
        )
    if call.kind == 'model' and not call.messages:
        raise Refusal(Reason.BAD_REQUEST, 'messages: a model call requires at least one message')
    if call.kind != 'model' and not call.tool:
        raise Refusal(Reason.BAD_REQUEST, 'tool: a tool or app call requires the name of its tool')


def create_app(limits: LimitsSection) -> web.Application:
    """Return an application with the body size limit and the error handling of the APIs."""
    return web.Application(client_max_size=limits.body_bytes, middlewares=[refusal_middleware])
