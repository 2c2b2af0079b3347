"""Caller: replays recorded programs against entries, over HTTP or in virtual time."""

import abc
import asyncio
from collections.abc import Callable

import aiohttp
import orjson
from attrs import define, field, frozen

from toucanlead_core.errors import ExecutionStatus
from toucanlead_core.messages import CallKind
from toucanlead_standins.recorder import Recorder, expected_answer, find_marker
from toucanlead_standins.tool_model import tool_answer

from .trace import TraceCall, TraceProgram

RETRY_DELAY_S = 0.25
RETRY_TIMEOUT_S = 30.0
DISCONNECT_AFTER_S = 0.05


@frozen
class Reply:
    """An entry's answer: status and JSON document; a refusal is a problem document.

    Clients return status 599 when no complete answer arrives.
    """

    status: int
    document: dict

    @property
    def refused(self) -> bool:
        """Return whether the request was refused or got no complete answer."""
        return self.status >= 400


@define
class CallerReport:
    """Counts and latencies of replayed programs; latencies leave out recorded pauses."""

    programs: int = 0
    completed: int = 0
    calls: int = 0
    retries: int = 0
    unexpected: list[str] = field(factory=list)
    latencies_s: list[float] = field(factory=list)
    turn_latencies_s: list[float] = field(factory=list)


class EntryClient(abc.ABC):
    """Connection of a caller to the entries: over HTTP, or directly in virtual time."""

    @abc.abstractmethod
    async def open(self, program: TraceProgram, parent_id: str | None) -> Reply:
        """Open a program."""

    @abc.abstractmethod
    async def call(self, team: str, program_id: str, seq: int, call: TraceCall) -> Reply:
        """Make a call and wait for its answer."""

    @abc.abstractmethod
    async def fetch(self, team: str, program_id: str, seq: int) -> Reply:
        """Fetch the answer to an earlier call."""

    @abc.abstractmethod
    async def end(self, team: str, program_id: str) -> Reply:
        """End a program."""


class HttpEntryClient(EntryClient):
    """Client of the public HTTP API; sends to the entries in turn, as a load balancer does.

    `addresses` are the entries' as host:port, `key_of` returns a team's API key, and
    `latency_s` is the one-way latency between caller and entries.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        addresses: list[str],
        key_of: Callable[[str], str],
        latency_s: float = 0.0,
    ) -> None:
        self._session = session
        self._addresses = addresses
        self._key_of = key_of
        self._latency_s = latency_s
        self._request_count = 0

    async def open(self, program: TraceProgram, parent_id: str | None) -> Reply:
        """POST /v1/programs."""
        body = {
            'model': program.model,
            'budget': program.budget or 1,
            'deadline_s': program.deadline_s,
            'parent': parent_id,
        }
        return await self._request('POST', '/v1/programs', program.team, body, program.name)

    async def call(self, team: str, program_id: str, seq: int, call: TraceCall) -> Reply:
        """POST /v1/programs/{id}/calls, and read the answer from the event stream."""
        body = orjson.loads(orjson.dumps(_call_body(call, seq)))
        path = f'/v1/programs/{program_id}/calls'
        return await self._request('POST', path, team, body, stream=True)

    async def fetch(self, team: str, program_id: str, seq: int) -> Reply:
        """GET /v1/programs/{id}/calls/{seq}."""
        return await self._request('GET', f'/v1/programs/{program_id}/calls/{seq}', team)

    async def end(self, team: str, program_id: str) -> Reply:
        """DELETE /v1/programs/{id}."""
        return await self._request('DELETE', f'/v1/programs/{program_id}', team)

    async def _request(
        self,
        method: str,
        path: str,
        team: str,
        body: dict | None = None,
        key: str = '',
        stream: bool = False,
    ) -> Reply:
        self._request_count += 1
        address = self._addresses[self._request_count % len(self._addresses)]
        headers = {'Authorization': f'Bearer {self._key_of(team)}'}
        if key:
            headers['Idempotency-Key'] = key
        if stream:
            headers['Accept'] = 'text/event-stream'
        await asyncio.sleep(self._latency_s)
        try:
            async with self._session.request(
                method, f'http://{address}{path}', json=body, headers=headers
            ) as resp:
                reply = await _read_reply(resp)
        except (aiohttp.ClientError, ConnectionError) as exc:
            return Reply(599, {'ran': ExecutionStatus.UNKNOWN.value, 'reason': repr(exc)})
        await asyncio.sleep(self._latency_s)
        return reply


class Replayer:
    """Replays programs as their callers, and reports to the recorder what callers see.

    Recorded start times and pauses are multiplied by `time_scale`.
    """

    def __init__(self, client: EntryClient, recorder: Recorder, time_scale: float) -> None:
        self.report = CallerReport()
        self._client = client
        self._recorder = recorder
        self._time_scale = time_scale
        self._ids: dict[str, asyncio.Future] = {}

    async def play(self, programs: list[TraceProgram]) -> None:
        """Replay all programs from their recorded start times."""
        loop = asyncio.get_running_loop()
        children: dict[str, list[TraceProgram]] = {}
        for program in programs:
            self._ids[program.name] = loop.create_future()
            if program.parent is not None:
                children.setdefault(program.parent, []).append(program)
        async with asyncio.TaskGroup() as group:
            for program in programs:
                if program.parent is None:
                    group.create_task(self._play_root(program, children.get(program.name, [])))

    async def _play_root(self, program: TraceProgram, children: list[TraceProgram]) -> None:
        await asyncio.sleep(program.start_s * self._time_scale)
        self._recorder.program_opened(program.name, program.name, program.budget)
        for child in children:
            self._recorder.program_opened(child.name, program.name, None)
        await self._play(program, children)

    async def _play(self, program: TraceProgram, children: list[TraceProgram]) -> bool:
        self.report.programs += 1
        opened = await self._retry(
            lambda: self._client.open(program, self._program_id(program.parent))
        )
        if opened.refused:
            self._record_unexpected(program, 0, opened)
            return False
        program_id = opened.document['program_id']
        self._ids[program.name].set_result(program_id)
        started = asyncio.get_running_loop().time()
        paused_s = 0.0
        complete = True
        for seq, call in enumerate(program.calls, 1):
            paused_s += call.pause_s * self._time_scale
            await asyncio.sleep(call.pause_s * self._time_scale)
            if not await self._call(program, program_id, seq, call):
                complete = False
                break
            starting = [c for c in children if c.after_seq == seq]
            if starting:
                results = await asyncio.gather(*(self._play(c, []) for c in starting))
                complete = complete and all(results)
        ended = await self._retry(lambda: self._client.end(program.team, program_id))
        if not ended.refused:
            self._recorder.program_ended(program.name)
        if complete:
            self.report.completed += 1
            took_s = asyncio.get_running_loop().time() - started - paused_s
            self.report.latencies_s.append(took_s)
        return complete

    async def _call(
        self, program: TraceProgram, program_id: str, seq: int, call: TraceCall
    ) -> bool:
        """Repeat a call until it is answered; return False when the program cannot go on."""
        self._recorder.answer_expected(program.name, seq, expected_content(program.name, seq, call))
        self.report.calls += 1
        started = asyncio.get_running_loop().time()
        if call.late:
            await self._disconnect_early(program, program_id, seq, call)
        reply = await self._retry(lambda: self._attempt(program, program_id, seq, call))
        if reply.refused:
            if reply.document.get('reason') == call.refusal:
                return True
            self._record_unexpected(program, seq, reply)
            return False
        self.report.turn_latencies_s.append(asyncio.get_running_loop().time() - started)
        self._recorder.call_answered(program.name, seq, reply.document['content'])
        return True

    async def _attempt(
        self, program: TraceProgram, program_id: str, seq: int, call: TraceCall
    ) -> Reply:
        if call.late:
            reply = await self._client.fetch(program.team, program_id, seq)
            if reply.document.get('reason') != 'unknown_call':
                return reply
        self._recorder.call_attempted(program.name, seq)
        reply = await self._client.call(program.team, program_id, seq, call)
        if reply.refused:
            ran = ExecutionStatus(reply.document.get('ran', 'unknown'))
            self._recorder.call_refused(program.name, seq, ran)
        return reply

    async def _disconnect_early(
        self, program: TraceProgram, program_id: str, seq: int, call: TraceCall
    ) -> None:
        """Send the call, and close the connection before the answer."""
        self._recorder.call_attempted(program.name, seq)
        try:
            await asyncio.wait_for(
                self._client.call(program.team, program_id, seq, call), DISCONNECT_AFTER_S
            )
        except TimeoutError:
            await asyncio.sleep(2.0 * self._time_scale)

    async def _retry(self, attempt) -> Reply:
        """Repeat refused attempts that may be retried, for up to `RETRY_TIMEOUT_S`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + RETRY_TIMEOUT_S
        while True:
            reply = await attempt()
            if not reply.refused or not _is_retryable(reply) or loop.time() > deadline:
                return reply
            self.report.retries += 1
            wait_ms = reply.document.get('retry_after_ms') or 0
            await asyncio.sleep(max(RETRY_DELAY_S, wait_ms / 1000))

    def _record_unexpected(self, program: TraceProgram, seq: int, reply: Reply) -> None:
        reason = reply.document.get('reason', reply.status)
        detail = reply.document.get('detail', '')
        self.report.unexpected.append(f'{program.name}/{seq}: {reason} {detail}')

    def _program_id(self, name: str | None) -> str | None:
        return self._ids[name].result() if name is not None else None


def expected_content(name: str, seq: int, call: TraceCall) -> str:
    """Return the complete answer that a call must receive."""
    if call.kind is not CallKind.MODEL:
        return tool_answer(call.tool, name, seq)
    marker = find_marker(call.messages[-1].content)
    return ' '.join(expected_answer(marker).split(' ')[: call.max_tokens])


def _call_body(call: TraceCall, seq: int) -> dict:
    return {
        'seq': seq,
        'kind': call.kind.value,
        'messages': [{'role': m.role, 'content': m.content} for m in call.messages],
        'max_tokens': call.max_tokens,
        'tool': call.tool,
        'args': call.args,
    }


_FINAL_REASONS = {
    'budget_exhausted',
    'runaway',
    'turn_limit',
    'program_ended',
    'unknown_program',
    'unknown_model',
    'unknown_tool',
    'body_mismatch',
    'bad_request',
    'deadline',
}


def _is_retryable(reply: Reply) -> bool:
    return reply.document.get('reason') not in _FINAL_REASONS


async def _read_reply(resp: aiohttp.ClientResponse) -> Reply:
    if resp.content_type != 'text/event-stream':
        return Reply(resp.status, orjson.loads(await resp.read()))
    event = ''
    reply = Reply(599, {'ran': ExecutionStatus.UNKNOWN.value, 'reason': 'stream cut'})
    async for line in resp.content:
        if line.startswith(b'event: '):
            event = line[7:].strip().decode()
        elif line.startswith(b'data: ') and event in ('answer', 'refusal'):
            document = orjson.loads(line[6:])
            reply = Reply(200 if event == 'answer' else document['status'], document)
    return reply
