"""OpenAI-compatible chat completions API, which agent frameworks can use unchanged.

The header `X-Toucanlead-Program` names the program; a request without it opens
and ends a program of its own. The messages must extend the stored history.
"""

import time
from typing import Any

import orjson
from aiohttp import web
from attrs import frozen

from toucanlead_core.codec import to_json
from toucanlead_core.errors import ExecutionStatus, Reason, Refusal
from toucanlead_core.ids import program_id_for
from toucanlead_core.messages import (
    Answer,
    CallKind,
    CallReq,
    Chunk,
    Message,
    ProgramSpec,
    ProgramView,
    count_tokens,
)
from toucanlead_peer.messages import ForwardReq, Operation

from .auth import ApiKeyAuth
from .entry import Entry

PROGRAM_HEADER = 'X-Toucanlead-Program'
DEFAULT_MAX_TOKENS = 256


@frozen
class ChatRequest:
    """The supported fields of a chat completion request."""

    model: str
    messages: list[Message]
    max_tokens: int
    stream: bool


class ChatApi:
    """HTTP handler of the chat completions API."""

    def __init__(self, entry: Entry, keys: ApiKeyAuth) -> None:
        """Serve requests through the gateway of `entry`; authenticate them with `keys`."""
        self._entry = entry
        self._keys = keys

    def add_routes(self, app: web.Application) -> None:
        """Register the route with `app`."""
        app.router.add_post('/v1/chat/completions', self.complete)

    async def complete(self, req: web.Request) -> web.StreamResponse:
        """Handle POST /v1/chat/completions: make a model call and return or stream its answer."""
        team = self._keys.team_of(req)
        chat = _parse_chat(await req.read())
        program_id = req.headers.get(PROGRAM_HEADER)
        if program_id:
            return await self._make_call(req, team, program_id, chat)
        program_id = await self._open_program(team, chat)
        try:
            return await self._make_call(req, team, program_id, chat)
        finally:
            await self._request_view(ForwardReq(Operation.END, team, program_id))

    async def _open_program(self, team: str, chat: ChatRequest) -> str:
        entry = self._entry
        budget = chat.max_tokens + sum(count_tokens(m.content) for m in chat.messages)
        spec = ProgramSpec(chat.model, budget, key=entry.ctx.nonce())
        program_id = program_id_for(team, spec.key, entry.ctx.identity.slots)
        await self._request_view(ForwardReq(Operation.OPEN, team, program_id, body=to_json(spec)))
        return program_id

    async def _make_call(
        self, req: web.Request, team: str, program_id: str, chat: ChatRequest
    ) -> web.StreamResponse:
        view = await self._request_view(ForwardReq(Operation.SHOW, team, program_id))
        call = _next_call(view, chat)
        forward = ForwardReq(Operation.CALL, team, program_id, seq=call.seq, body=to_json(call))
        if chat.stream:
            return await self._stream(req, forward, chat)
        answer = await self._entry.gateway.result(forward, Answer)
        return web.json_response(_completion(answer, chat), dumps=_dump_json)

    async def _stream(
        self, req: web.Request, forward: ForwardReq, chat: ChatRequest
    ) -> web.StreamResponse:
        source = self._entry.gateway.request(forward)
        first = await anext(source)
        resp = web.StreamResponse(headers={'Content-Type': 'text/event-stream'})
        await resp.prepare(req)
        sent = 0
        item = first
        try:
            while item is not None:
                if isinstance(item, Chunk):
                    sent += item.tokens
                    await _send_event(resp, _completion_chunk(forward, chat, item.text, None))
                elif sent == 0:  # a stored answer has no chunks
                    answer = orjson.loads(item.body)
                    await _send_event(
                        resp, _completion_chunk(forward, chat, answer['content'], None)
                    )
                item = await anext(source, None)
            await _send_event(resp, _completion_chunk(forward, chat, '', 'stop'))
        except Refusal as refusal:
            error = {'message': str(refusal), 'code': refusal.reason.value}
            await _send_event(resp, {'error': error})
        await resp.write(b'data: [DONE]\n\n')
        await resp.write_eof()
        return resp

    async def _request_view(self, forward: ForwardReq) -> ProgramView:
        return await self._entry.gateway.result(forward, ProgramView)


def _parse_chat(body: bytes) -> ChatRequest:
    try:
        raw = orjson.loads(body)
        messages = [Message(str(m['role']), _message_text(m)) for m in raw['messages']]
        max_tokens = raw.get('max_completion_tokens') or raw.get('max_tokens') or DEFAULT_MAX_TOKENS
        chat = ChatRequest(raw['model'], messages, max_tokens, bool(raw.get('stream', False)))
    except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError) as exc:
        raise Refusal(Reason.BAD_REQUEST, f'invalid chat completion request: {exc!r}') from None
    if not messages or type(max_tokens) is not int or max_tokens < 1 or type(chat.model) is not str:
        raise Refusal(Reason.BAD_REQUEST, 'model, messages or max_tokens is invalid')
    return chat


def _message_text(message: dict[str, Any]) -> str:
    content = message.get('content') or ''
    if isinstance(content, list):
        return ''.join(part.get('text', '') for part in content)
    return str(content)


def _next_call(view: ProgramView, chat: ChatRequest) -> CallReq:
    """Return the call made by the messages that extend the stored history.

    Messages equal to the history without its last answer repeat the last call,
    which then returns its stored answer.
    """
    history = view.history
    if chat.messages[: len(history)] == history and len(chat.messages) > len(history):
        new = chat.messages[len(history) :]
        return CallReq(view.turns + 1, CallKind.MODEL, new, chat.max_tokens)
    if history and history[:-1] == chat.messages:
        start = _last_turn_start(history)
        return CallReq(view.turns, CallKind.MODEL, history[start:-1], chat.max_tokens)
    raise Refusal(
        Reason.HISTORY_MISMATCH,
        f'the messages do not extend the {len(history)} stored messages',
        ran=ExecutionStatus.NOT_RUN,
    )


def _last_turn_start(history: list[Message]) -> int:
    for position in range(len(history) - 2, -1, -1):
        if history[position].role in ('assistant', 'tool'):
            return position + 1
    return 0


def _completion(answer: Answer, chat: ChatRequest) -> dict[str, Any]:
    return {
        'id': f'{answer.program_id}-{answer.seq}',
        'object': 'chat.completion',
        'created': int(time.time()),
        'model': chat.model,
        'choices': [
            {
                'index': 0,
                'message': {'role': 'assistant', 'content': answer.content},
                'finish_reason': 'stop',
            }
        ],
        'usage': {
            'prompt_tokens': answer.prompt_tokens,
            'completion_tokens': answer.output_tokens,
            'total_tokens': answer.prompt_tokens + answer.output_tokens,
            'prompt_tokens_details': {'cached_tokens': answer.cached_tokens},
        },
    }


def _completion_chunk(
    forward: ForwardReq, chat: ChatRequest, text: str, finish: str | None
) -> dict[str, Any]:
    delta = {'role': 'assistant', 'content': text} if text else {}
    return {
        'id': f'{forward.program_id}-{forward.seq}',
        'object': 'chat.completion.chunk',
        'created': int(time.time()),
        'model': chat.model,
        'choices': [{'index': 0, 'delta': delta, 'finish_reason': finish}],
    }


async def _send_event(resp: web.StreamResponse, document: dict[str, Any]) -> None:
    await resp.write(b'data: ' + orjson.dumps(document) + b'\n\n')


def _dump_json(value: Any) -> str:
    return orjson.dumps(value).decode()
