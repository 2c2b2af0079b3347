"""What callers see that hold too much, in memory and virtual time."""

import asyncio

import pytest

from toucanlead_core.connection_budget import Cause
from toucanlead_platform_standins.site import CALLER_PORT, LOOKUP_PATH, ROUTE_HOST

from .site import ENTRY_1, with_platform_site

PIECE = b'%x\r\n%s\r\n' % (60_000, b'x' * 60_000)
CROWD = 5  # one more than always have room


def head(ident, *lines, deadline_ms=4000):
    """Return the head of a request whose body comes in chunks."""
    fixed = (
        f'POST {LOOKUP_PATH}x HTTP/1.1',
        f'Host: {ROUTE_HOST}',
        f'Toucanlead-Request-Id: {ident}',
        f'Toucanlead-Deadline-Ms: {deadline_ms}',
        'Transfer-Encoding: chunked',
    )
    return '\r\n'.join((*fixed, *lines)).encode() + b'\r\n\r\n'


async def open_and_send(data):
    """Open a connection to the first entry and send something."""
    reader, writer = await asyncio.open_connection(ENTRY_1.ip, CALLER_PORT)
    writer.write(data)
    await asyncio.sleep(0.05)
    return reader, writer


def fill_up(site):
    """Leave the entry no room but that for the longest bodies; return its budget."""
    budget = site.entries[ENTRY_1.name].connection_budget
    budget.max_bytes = 0
    return budget


class TestBodies:
    @with_platform_site()
    async def test_the_body_that_stands_still_is_refused_as_not_run(self, site, caller):
        budget = fill_up(site)
        conns = []
        for number in range(CROWD):
            conns.append(await open_and_send(head(f'c{number}') + PIECE))
            await asyncio.sleep(0.3)
        reply = await conns[0][0].read()
        status, _, rest = reply.partition(b'\r\n')
        assert b' 503 ' in status
        assert b'Retry-After' in rest
        assert b'no_memory' in rest
        assert budget.total <= budget.bound
        assert not site.log.runs_of('c0')
        assert (await caller.lookup(ENTRY_1)).succeeded

    @with_platform_site()
    async def test_one_of_the_longest_is_served_while_another_is_coming(self, site, caller):
        fill_up(site)
        await open_and_send(head('other') + PIECE)
        reader, writer = await open_and_send(head('own') + PIECE)
        writer.write(b'0\r\n\r\n')
        assert b' 200 ' in await reader.readline()
        (run,) = site.log.runs_of('own')
        assert run.body == b'x' * 60_000

    @with_platform_site()
    async def test_a_body_that_does_not_end_is_refused_at_its_deadline(self, site, caller):
        reader, _ = await open_and_send(head('late', deadline_ms=500) + PIECE)
        async with asyncio.timeout(0.6):
            assert b' 503 ' in await reader.readline()
        assert not site.log.runs_of('late')


class TestRequestsBehind:
    @with_platform_site()
    async def test_a_body_behind_a_request_gives_way_and_the_request_is_answered(
        self, site, caller
    ):
        budget = fill_up(site)
        for replica in site.replicas.values():
            replica.call_duration_s = 0.5
        first = head('first').replace(b'Transfer-Encoding: chunked', b'Content-Length: 0')
        conns = [await open_and_send(first + head(f'b{n}') + PIECE) for n in range(CROWD)]
        assert budget.given_up[Cause.BYTES]
        assert all(hold.behind for hold in budget._holds)
        reader, writer = await open_and_send(head('own') + PIECE + b'0\r\n\r\n')
        assert b' 200 ' in await reader.readline()
        for reader, _ in conns:
            assert b' 200 ' in await reader.readline()


class TestCallersThatLeave:
    def test_one_that_leaves_with_its_request_unread_is_no_error(self, caplog):
        class Case:
            @with_platform_site()
            async def run(self, site, caller):
                for number in range(20):
                    _, writer = await asyncio.open_connection(ENTRY_1.ip, CALLER_PORT)
                    writer.write(head(f'c{number}', 'Connection: close') + b'0\r\n\r\n')
                    await asyncio.sleep(0.0001 * number)
                    writer.transport.abort()
                await asyncio.sleep(0.5)
                conn = site.entries[ENTRY_1.name]._caller_server._http_server()
                error = ConnectionResetError('caller disconnected')
                with pytest.raises(ConnectionResetError):
                    conn.handle_error(None, 500, error)

        Case().run()
        assert 'Error handling request' not in caplog.text


class TestHeads:
    @with_platform_site()
    async def test_a_head_above_the_limit_is_refused_and_the_connection_closed(self, site, caller):
        reader, writer = await open_and_send(b'GET / HTTP/1.1\r\n')
        for _ in range(30):
            writer.write(b'A: ' + b'x' * 1000 + b'\r\n')
            await asyncio.sleep(0.01)
        reply = await reader.read()
        assert b' 431 ' in reply.partition(b'\r\n')[0]

    @with_platform_site()
    async def test_nor_does_a_trailer_go_on_without_an_end(self, site, caller):
        reader, writer = await open_and_send(head('trailer') + b'1\r\nx\r\n0\r\n')
        for _ in range(30):
            writer.write(b'A: ' + b'x' * 1000 + b'\r\n')
            await asyncio.sleep(0.01)
        assert b' 200 ' not in await reader.read()
        assert not site.log.runs_of('trailer')

    @with_platform_site()
    async def test_the_end_of_a_body_counts_as_no_head(self, site, caller):
        reader, writer = await open_and_send(head('long'))
        writer.write(PIECE + b'0\r\n\r\n')
        assert b' 200 ' in await reader.readline()


class TestConnections:
    @with_platform_site()
    async def test_the_idle_one_gives_way_to_a_new_one(self, site, caller):
        budget = site.entries[ENTRY_1.name].connection_budget
        budget.max_connections = 2
        idle, _ = await open_and_send(b'')
        for _ in range(2):
            assert (await caller.lookup(ENTRY_1)).succeeded
            caller.pools.clear()
        assert await idle.read() == b''
        assert len(budget) <= 2

    @with_platform_site()
    async def test_an_idle_one_stays_for_as_long_as_callers_may_be_idle(self, site, caller):
        assert (await caller.lookup(ENTRY_1)).succeeded
        reader, writer = await open_and_send(head('first') + b'0\r\n\r\n')
        await reader.readuntil(b'\r\n\r\n')
        await asyncio.sleep(15.0)
        assert not reader.at_eof()
        await asyncio.sleep(5.0)
        await reader.read()
        assert reader.at_eof()
