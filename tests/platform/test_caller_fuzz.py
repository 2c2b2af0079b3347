"""Any order of what callers send, read and break off, in memory and in virtual time."""

import asyncio
import contextlib
import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from toucanlead_platform_standins.site import BOOKING_PATH, CALLER_PORT, LOOKUP_PATH, ROUTE_HOST

from .site import ENTRY_1, with_platform_site

CONNECTIONS = 4
EXAMPLES = 40
PIECE_BYTES = 60_000
PIECE = b'x' * PIECE_BYTES
CHUNK = b'%x\r\n%s\r\n' % (PIECE_BYTES, PIECE)
TINY_CHUNKS = b'1\r\ny\r\n' * 2000
HEAD = re.compile(rb'HTTP/1\.1 (\d+) [^\r]*\r\n((?:[^\r]+\r\n)*)\r\n')
IDENT = re.compile(rb'(?i)toucanlead-request-id: (\S+)')
STATUSES_NOT_RUN = {402, 404, 413, 429, 431, 503}
ACTIONS = (
    'chunked',
    'with length',
    'order',
    'piece',
    'tiny',
    'end',
    'ahead',
    'garbage',
    'read',
    'stop reading',
    'reset',
    'close',
    'pause',
    'deadline',
)
STEPS = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.integers(0, CONNECTIONS - 1)), min_size=5, max_size=60
)


class Client:
    """Connections of one caller, and all bytes that came back on each."""

    def __init__(self, site):
        self.site = site
        self.count = 0
        self.conns = {}
        self.received = []
        self.readers = set()

    async def connection(self, number):
        reader_writer = self.conns.get(number)
        if reader_writer is None or reader_writer[1].is_closing():
            reader, writer = await asyncio.open_connection(ENTRY_1.ip, CALLER_PORT)
            self.conns[number] = reader_writer = reader, writer
            task = asyncio.ensure_future(self.collect(reader))
            self.readers.add(task)
        return reader_writer

    async def collect(self, reader):
        data = bytearray()
        self.received.append(data)
        with contextlib.suppress(ConnectionError):
            while piece := await reader.read(65_536):
                data += piece

    def head(self, *lines, path=LOOKUP_PATH, method='POST'):
        self.count += 1
        fixed = (
            f'{method} {path}x HTTP/1.1',
            f'Host: {ROUTE_HOST}',
            f'Toucanlead-Request-Id: f{self.count}',
            'Toucanlead-Deadline-Ms: 900',
        )
        return '\r\n'.join((*fixed, *lines)).encode() + b'\r\n\r\n'

    async def act(self, action, number):
        if action in ('pause', 'deadline'):
            await asyncio.sleep(0.3 if action == 'pause' else 1.0)
            return
        _, writer = await self.connection(number)
        data = {
            'chunked': lambda: self.head('Transfer-Encoding: chunked'),
            'with length': lambda: self.head(f'Content-Length: {PIECE_BYTES}'),
            'order': lambda: self.head('Content-Length: 2', path=BOOKING_PATH) + b'ok',
            'piece': lambda: CHUNK,
            'tiny': lambda: TINY_CHUNKS,
            'end': lambda: b'0\r\n\r\n',
            'ahead': lambda: b''.join(self.head('Content-Length: 0') for _ in range(20)),
            'garbage': lambda: b'\x00\xff\r\n',
        }.get(action)
        if data is not None:
            writer.write(data())
        elif action == 'read':
            writer.transport.resume_reading()
        elif action == 'stop reading':
            writer.transport.pause_reading()
        elif action == 'reset':
            writer.transport.abort()
        else:
            writer.close()
        await asyncio.sleep(0.005)

    async def leave(self):
        for _, writer in self.conns.values():
            writer.transport.abort()
        for task in self.readers:
            task.cancel()

    def answers(self):
        """Return the status and id of each answer."""
        for data in self.received:
            for status, headers in HEAD.findall(bytes(data)):
                ident = IDENT.search(headers)
                yield int(status), ident[1].decode() if ident else ''


async def play(site, steps):
    """Play the steps, and check what was answered, run and held."""
    budget = site.entries[ENTRY_1.name].connection_budget
    budget.max_bytes = 0
    client = Client(site)
    for action, number in steps:
        await client.act(action, number)
        assert budget.total >= 0
        assert budget.total <= budget.bound
        assert len(budget) + budget.leaving <= 2 * CONNECTIONS
    await asyncio.sleep(3.0)
    await client.leave()
    await asyncio.sleep(3.0)
    check_answers(site, client)
    assert (budget.total, budget.leaving_bytes) == (0, 0)
    assert (len(budget), budget.leaving) == (0, 0)


def check_answers(site, client):
    """Check that no request was answered twice, and that each status tells the truth."""
    seen = set()
    for status, ident in client.answers():
        if status == 100 or not ident:
            continue
        assert ident not in seen, (ident, status)
        seen.add(ident)
        runs = site.log.runs_of(ident)
        assert len(runs) <= 2, ident
        if status in STATUSES_NOT_RUN:
            assert not runs, (ident, status)
        if status == 200:
            assert runs, ident
    for run in site.log.runs:
        if run.target.startswith(BOOKING_PATH):
            assert len(site.log.runs_of(run.ident)) == 1, run.ident


class TestConnections:
    def test_any_order_holds_no_more_than_the_bound_and_tells_the_truth(self, event_log):
        @settings(max_examples=EXAMPLES, deadline=None, derandomize=True, database=None)
        @given(STEPS)
        def check(steps):
            class Case:
                @with_platform_site()
                async def run(self, site, caller):
                    await play(site, steps)
                    assert (await caller.lookup(ENTRY_1)).succeeded

            Case().run()

        check()
        for event in ('task_failed', 'timer_failed', 'Traceback'):
            assert event not in event_log.getvalue()

    @pytest.mark.parametrize('action', ACTIONS)
    def test_each_step_on_all_connections_at_once(self, action):
        class Case:
            @with_platform_site()
            async def run(self, site, caller):
                steps = [('chunked', number) for number in range(CONNECTIONS)]
                steps += [('piece', number) for number in range(CONNECTIONS)] * 3
                await play(site, steps + [(action, number) for number in range(CONNECTIONS)])
                assert (await caller.lookup(ENTRY_1)).succeeded

        Case().run()
