"""Tests of whole requests through an entry, with a simulated platform."""

import asyncio

from toucanlead_platform_standins.caller import Caller
from toucanlead_platform_standins.site import (
    APP,
    BOOKING_PATH,
    ENGINES,
    LOOKUP_PATH,
    configuration,
    route,
)

from .site import ENTRY_1, ENTRY_2, ENTRY_3, with_platform_site


class TestAnswers:
    @with_platform_site()
    async def test_each_kind_of_request_is_answered_whole(self, site, caller):
        turn = await caller.turn(ENTRY_1)
        resumed = await caller.resumable_turn(ENTRY_1)
        lookup = await caller.lookup(ENTRY_1)
        booking = await caller.book(ENTRY_1)
        assert all(reply.succeeded for reply in (turn, resumed, lookup, booking))
        assert len(turn.event_data) == 6
        assert booking.body == b'done ' + booking.ident.encode()

    @with_platform_site()
    async def test_method_target_and_body_reach_the_replica_unchanged(self, site, caller):
        reply = await caller.request(
            ENTRY_1, 'PUT', LOOKUP_PATH + 'a%2Fb;c?d=%20e', b'\x00\r\n\xff'
        )
        run = site.log.runs_of(reply.ident)[0]
        assert (run.method, run.target) == ('PUT', LOOKUP_PATH + 'a%2Fb;c?d=%20e')
        assert run.body == b'\x00\r\n\xff'

    @with_platform_site()
    async def test_hop_by_hop_and_reserved_headers_are_not_forwarded(self, site, caller):
        forged = {
            'Toucanlead-Hold': 'h1',
            'Toucanlead-Pin-Ms': '9000',
            'Toucanlead-Kv-Backup': '10.3.0.1:1',
            'Kv-From': '10.3.0.1:1/x',
            'Toucanlead-Request-Priority': '0',
            'X-Own': 'kept',
            'X-Hop': 'dropped',
            'Connection': 'keep-alive, X-Hop',
        }
        reply = await caller.turn(ENTRY_1)
        reply = await caller.request(ENTRY_1, 'POST', BOOKING_PATH, b'x', forged)
        seen = site.log.runs_of(reply.ident)[0].headers
        assert seen['X-Own'] == 'kept'
        assert 'X-Hop' not in seen
        assert not {name for name in forged if name.startswith(('Toucanlead', 'Kv'))} & set(seen)

    @with_platform_site()
    async def test_the_remaining_time_is_sent_to_the_replica(self, site, caller):
        reply = await caller.book(ENTRY_1, deadline_ms=900)
        left_ms = int(site.log.runs_of(reply.ident)[0].headers['Toucanlead-Deadline-Ms'])
        assert 700 < left_ms <= 900

    @with_platform_site()
    async def test_a_replica_s_error_is_returned_unchanged(self, site, caller):
        for replica in site.replicas.values():
            replica.faults.error_status = 500
        reply = await caller.book(ENTRY_1)
        assert reply.status == 500
        assert reply.body == b'failed'
        assert len(site.log.runs_of(reply.ident)) == 1

    @with_platform_site()
    async def test_a_request_without_a_matching_route_gets_404(self, site, caller):
        assert (await caller.request(ENTRY_1, 'GET', '/elsewhere/x')).status == 404
        assert (
            await caller.request(ENTRY_1, 'GET', LOOKUP_PATH, host='other.example')
        ).status == 404

    @with_platform_site()
    async def test_the_longest_prefix_wins(self, site, caller):
        inner = route('inner', LOOKUP_PATH + 'inner/', 'safe', ENGINES)
        site.configure(configuration(8, (inner,)))
        await site.wait_until(lambda: site.entries['entry-1'].routes.table.version == 8)
        reply = await caller.request(ENTRY_1, 'GET', LOOKUP_PATH + 'inner/x')
        assert site.replicas[site.log.runs_of(reply.ident)[0].replica].service == ENGINES
        reply = await caller.request(ENTRY_1, 'GET', LOOKUP_PATH + 'outer/x')
        assert site.replicas[site.log.runs_of(reply.ident)[0].replica].service == APP

    @with_platform_site()
    async def test_a_malformed_request_gets_a_clear_error(self, site, caller):
        bad = {'Toucanlead-Token-Usage': 'many'}
        assert (await caller.request(ENTRY_1, 'POST', BOOKING_PATH, b'x', bad)).status == 400
        too_large = await caller.request(ENTRY_1, 'POST', BOOKING_PATH, b'x' * 70_000)
        assert too_large.status == 413
        assert not site.log.runs_of(too_large.ident)


class TestHistory:
    @with_platform_site()
    async def test_a_turn_continues_from_its_predecessor_at_any_entry(self, site, caller):
        first = await caller.turn(ENTRY_1, b'one ')
        second = await caller.turn(ENTRY_2, b'two ', previous=first.ident)
        third = await caller.turn(ENTRY_3, b'three ', previous=second.ident)
        history = b'one ' + b''.join(data + b'\n' for data in first.event_data)
        history += b'two ' + b''.join(data + b'\n' for data in second.event_data)
        assert site.log.runs_of(third.ident)[0].body == history + b'three '

    @with_platform_site()
    async def test_several_turns_may_continue_from_the_same_one(self, site, caller):
        first = await caller.turn(ENTRY_1, b'one ')
        replies = await asyncio.gather(
            *(caller.turn(ENTRY_1, body, previous=first.ident) for body in (b'a', b'b', b'c'))
        )
        bodies = {site.log.runs_of(reply.ident)[0].body[-1:] for reply in replies}
        assert bodies == {b'a', b'b', b'c'}

    @with_platform_site()
    async def test_a_turn_after_an_unknown_one_is_refused_and_does_not_run(self, site, caller):
        reply = await caller.turn(ENTRY_1, previous='never')
        assert reply.status == 404
        assert not site.log.runs_of(reply.ident)

    @with_platform_site()
    async def test_a_new_program_may_continue_from_an_old_one_s_turn(self, site, caller):
        first = await caller.turn(ENTRY_1, b'one ')
        reply = await Caller('another').turn(ENTRY_3, b'two', previous=first.ident)
        assert reply.succeeded


class TestConfiguration:
    @with_platform_site()
    async def test_a_newer_version_applies_at_once_and_an_older_one_is_ignored(self, site, caller):
        extra = route('extra', '/extra/', 'safe', APP)
        site.configure(configuration(7, (extra,)))
        await asyncio.sleep(0.1)
        assert (await caller.request(ENTRY_3, 'GET', '/extra/x')).succeeded
        site.configure(configuration(5))
        await asyncio.sleep(1.0)
        assert (await caller.request(ENTRY_3, 'GET', '/extra/x')).succeeded

    @with_platform_site()
    async def test_a_malformed_configuration_changes_nothing(self, site, caller):
        document = configuration(9)
        del document['routes'][0]['host']
        site.configure(document)
        await asyncio.sleep(0.5)
        assert (await caller.lookup(ENTRY_1)).succeeded


class TestRegistry:
    @with_platform_site()
    async def test_a_draining_replica_gets_no_new_requests(self, site, caller):
        site.replicas['i-e0'].register('draining')
        await asyncio.sleep(0.1)
        replies = [await caller.turn(ENTRY_1, prefix=f'{n}:600') for n in range(12)]
        assert all(reply.succeeded for reply in replies)
        assert all(run.replica != 'i-e0' for run in site.log.runs)

    @with_platform_site()
    async def test_malformed_registrations_are_ignored(self, site, caller):
        from toucanlead_kv.kv import Put

        for number, value in enumerate((b'\xff', b'[]', b'{"service": 4}', b'{}')):
            site.model.txn([], [Put(f'servers/x{number}', value)])
        await asyncio.sleep(0.1)
        assert set(site.entries['entry-1'].registry.replicas) == set(site.replicas)

    @with_platform_site()
    async def test_another_replica_at_a_reused_address_runs_nothing(self, site, caller):
        site.replicas['i-a0'].ident = 'i-new'
        replies = [await caller.book(ENTRY_1) for _ in range(6)]
        assert all(reply.succeeded for reply in replies)
        assert all(len(site.log.runs_of(reply.ident)) == 1 for reply in replies)
        assert 'i-new' not in {run.replica for run in site.log.runs}

    @with_platform_site()
    async def test_replicas_are_still_used_just_after_all_registrations_expire(self, site, caller):
        for replica in site.replicas.values():
            replica.unregister()
        await asyncio.sleep(0.5)
        assert (await caller.book(ENTRY_1)).succeeded
        await asyncio.sleep(2.0)
        reply = await caller.book(ENTRY_1)
        assert reply.status == 503
        assert 'Retry-After' in reply.headers
