"""Tests that a planned stop of an entry cuts nothing on connections that stay in use."""

import asyncio

from attrs import define, field

from toucanlead_backends.http_connection import HttpConnection
from toucanlead_backends.http_request import request_head
from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_platform_standins.caller import Reply
from toucanlead_platform_standins.site import (
    BOOKING_PATH,
    CALLER_PORT,
    KEPT_PATH,
    LOOKUP_PATH,
    ROUTE_HOST,
    configuration,
)

from .site import ENTRY_1, ENTRY_2, app_replicas, engine_replicas, with_platform_site

DEADLINE_MS = 4000
TURN_HEADERS = {'Toucanlead-Token-Usage': '600,290', 'Toucanlead-Program-Id': 'p1'}


@define
class KeptConnection:
    """A connection on which a caller goes on sending until it sees its end."""

    conn: HttpConnection
    number: int = 0
    replies: list[Reply] = field(factory=list)

    @classmethod
    async def open(cls, vm):
        return cls(await HttpConnection.open(f'{vm.ip}:{CALLER_PORT}', 1.0, lambda conn: None))

    def send(self, method, target, body=b'', headers=None):
        """Send a request; return its reply, which is filled in by `receive`."""
        self.number += 1
        reply = Reply(f'k{id(self):x}-{self.number}', 0)
        sent = {
            'Toucanlead-Request-Id': reply.ident,
            'Toucanlead-Deadline-Ms': str(DEADLINE_MS),
            **(headers or {}),
        }
        self.conn.send(request_head(method, target, ROUTE_HOST, sent.items(), len(body)), body)
        self.replies.append(reply)
        return reply

    async def receive(self, reply):
        """Receive the next answer; its status stays 0 if it is cut."""
        try:
            response = await self.conn.next_response()
            reply.headers = dict(response.head.headers)
            reply.body = await response.read()
            reply.status = response.head.status
        except OutcomeUnknown:
            return reply
        return reply

    async def request(self, *args, **options):
        """Send a request and receive its answer; None if the connection has ended."""
        if not self.conn.usable:
            return None
        self.conn.set_idle()
        try:
            reply = self.send(*args, **options)
        except NotSent:
            return None
        return await self.receive(reply)

    async def turn(self):
        return await self.request('POST', KEPT_PATH + 'x', b'hello', TURN_HEADERS)

    async def book(self):
        return await self.request('POST', BOOKING_PATH + 'x', b'booking')


def check_nothing_cut(site, replies):
    """Each request that a replica ran was answered whole, each other one refused as not run."""
    for reply in replies:
        if site.log.runs_of(reply.ident):
            assert reply.status == 200, reply
        else:
            assert reply.status in (0, 503), reply


def slow_down(site, event_s, booking_s):
    """Set the time of an event and of a booking at all replicas."""
    for replica in engine_replicas(site):
        replica.event_interval_s = event_s
    for replica in app_replicas(site):
        replica.call_duration_s = booking_s


class TestKeptConnections:
    @with_platform_site()
    async def test_requests_after_a_stream_that_began_before_the_stop_are_not_cut(
        self, site, caller
    ):
        """Guards against connections that stay open after such a stream (LOST)."""
        slow_down(site, 0.63, 0.3)
        began_at = asyncio.get_running_loop().time() + 0.3

        async def two_turns(number):
            conn = await KeptConnection.open(ENTRY_1)
            await asyncio.sleep(0.03 * number)
            return [await conn.turn(), await conn.turn()]

        async def turn_and_late_booking(number):
            conn = await KeptConnection.open(ENTRY_1)
            first = await conn.turn()
            await asyncio.sleep(began_at + 7.2 + 0.04 * number - asyncio.get_running_loop().time())
            return [first, await conn.book()]

        calls = [call(n) for n in range(5) for call in (two_turns, turn_and_late_booking)]
        calling = asyncio.gather(*calls)
        await asyncio.sleep(0.3)
        stopping = asyncio.ensure_future(site.entries[ENTRY_1.name].stop())
        replies = [reply for pair in await calling for reply in pair]
        await stopping
        check_nothing_cut(site, [reply for reply in replies if reply is not None])

    @with_platform_site()
    async def test_callers_that_go_on_until_the_end_lose_nothing(self, site, caller):
        slow_down(site, 0.1, 0.3)
        replies = []

        async def go_on(call, pause_s):
            while True:
                conn = await KeptConnection.open(ENTRY_1)
                while (reply := await call(conn)) is not None:
                    replies.append(reply)
                    await asyncio.sleep(pause_s)

        async def run(call, pause_s):
            try:
                await go_on(call, pause_s)
            except NotSent:
                return

        callers = [
            asyncio.ensure_future(run(call, pause_s))
            for call in (KeptConnection.turn, KeptConnection.book)
            for pause_s in (0.0, 0.02, 0.4, 1.7, 3.1)
        ]
        await asyncio.sleep(1.0)
        await site.entries[ENTRY_1.name].stop()
        await asyncio.gather(*callers)
        check_nothing_cut(site, replies)
        assert sum(reply.status == 200 for reply in replies) > 30

    @with_platform_site()
    async def test_an_answer_that_begins_during_the_stop_announces_the_end(self, site, caller):
        conn = await KeptConnection.open(ENTRY_1)
        await conn.book()
        stopping = asyncio.ensure_future(site.entries[ENTRY_1.name].stop())
        await asyncio.sleep(0.1)
        reply = await conn.book()
        assert (reply.status, reply.headers['Connection']) == (200, 'close')
        assert await conn.book() is None
        await stopping

    @with_platform_site()
    async def test_requests_sent_together_are_all_answered(self, site, caller):
        """Guards against the loss of requests that were read behind one another."""
        slow_down(site, 0.3, 0.3)
        conn = await KeptConnection.open(ENTRY_1)
        sent = [
            conn.send('POST', KEPT_PATH + 'x', b'hello', TURN_HEADERS),
            conn.send('POST', BOOKING_PATH + 'x', b'booking'),
            conn.send('GET', LOOKUP_PATH + 'x'),
        ]
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(site.entries[ENTRY_1.name].stop())
        replies = [await conn.receive(reply) for reply in sent]
        await stopping
        assert [reply.status for reply in replies] == [200, 200, 200]
        assert replies[-1].headers['Connection'] == 'close'

    @with_platform_site()
    async def test_a_request_whose_body_is_still_coming_is_answered(self, site, caller):
        conn = await KeptConnection.open(ENTRY_1)
        headers = {'Toucanlead-Request-Id': 'slow', 'Toucanlead-Deadline-Ms': '4000'}
        headers |= TURN_HEADERS
        head = request_head('POST', KEPT_PATH + 'x', ROUTE_HOST, headers.items(), 7)
        conn.conn.send(head, b'hel')
        stopping = asyncio.ensure_future(site.entries[ENTRY_1.name].stop())
        await asyncio.sleep(3.0)
        conn.conn.send(b'lo..', b'')
        reply = await conn.receive(Reply('slow', 0))
        await stopping
        assert reply.status == 200
        assert len(site.log.runs_of('slow')) == 1

    @with_platform_site()
    async def test_a_connection_of_the_last_moment_gets_its_answer(self, site, caller):
        stopping = asyncio.ensure_future(site.entries[ENTRY_1.name].stop())
        await asyncio.sleep(2.55)
        conn = await KeptConnection.open(ENTRY_1)
        await asyncio.sleep(0.2)
        assert (await conn.book()).status == 200
        await stopping

    @with_platform_site()
    async def test_a_slow_reader_gets_all_of_a_long_answer(self, site, caller):
        site.configure(configuration(9))
        for replica in app_replicas(site):
            replica.answer_padding = b'x' * 400_000
        reader, writer = await asyncio.open_connection(ENTRY_1.ip, CALLER_PORT, limit=1000)
        headers = [('Toucanlead-Request-Id', 'long'), ('Toucanlead-Deadline-Ms', '4000')]
        writer.write(request_head('GET', LOOKUP_PATH + 'x', ROUTE_HOST, headers, 0))
        await asyncio.sleep(0.3)
        stopping = asyncio.ensure_future(site.entries[ENTRY_1.name].stop())
        await asyncio.sleep(3.0)
        received = b''
        while data := await reader.read(60_000):
            received += data
            await asyncio.sleep(0.2)
        writer.close()
        await stopping
        assert received.endswith(b'x' * 400_000)

    @with_platform_site()
    async def test_what_cannot_end_in_time_is_refused_as_not_run(self, site, caller):
        conn = await KeptConnection.open(ENTRY_1)
        head = request_head(
            'POST',
            BOOKING_PATH + 'x',
            ROUTE_HOST,
            [('Toucanlead-Request-Id', 'late'), ('Toucanlead-Deadline-Ms', '4000')],
            7,
        )
        conn.conn.send(head[:20], b'')
        stopping = asyncio.ensure_future(site.entries[ENTRY_1.name].stop())
        await asyncio.sleep(6.9)
        conn.conn.send(head[20:], b'booking')
        reply = await conn.receive(Reply('late', 0))
        await stopping
        assert reply.status == 503
        assert float(reply.headers['Retry-After']) < 0.2
        assert not site.log.runs_of('late')

    @with_platform_site()
    async def test_what_is_still_running_at_the_end_is_answered_truthfully(self, site, caller):
        slow_down(site, 0.1, 30.0)
        document = configuration(9)
        for raw in document['routes']:
            raw['timeoutMs'] = 30_000
        site.configure(document)
        await asyncio.sleep(1.0)
        conn = await KeptConnection.open(ENTRY_1)
        sent = asyncio.ensure_future(
            conn.request(
                'POST', BOOKING_PATH + 'x', b'booking', {'Toucanlead-Deadline-Ms': '30000'}
            )
        )
        await asyncio.sleep(0.2)
        await site.entries[ENTRY_1.name].stop()
        reply = await sent
        assert reply.status == 502
        assert len(site.log.runs_of(reply.ident)) == 1

    @with_platform_site()
    async def test_a_reload_during_a_stop_changes_nothing(self, site, caller):
        conn = await KeptConnection.open(ENTRY_2)
        entry = site.entries[ENTRY_2.name]
        stopping = asyncio.ensure_future(entry.stop())
        await asyncio.sleep(0.2)
        entry.apply(entry.settings)
        site.configure(configuration(9))
        await asyncio.sleep(0.5)
        assert (await conn.book()).status == 200
        await stopping
