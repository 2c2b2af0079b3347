"""Replica failures.

A request that may have run is never reported as not run, and one that must not be
repeated never runs twice.
"""

import asyncio

import pytest

from .fleet import ENTRY_1, on_fleet


def each_app(site):
    return [replica for replica in site.replicas.values() if not replica.engine]


def each_engine(site):
    return [replica for replica in site.replicas.values() if replica.engine]


class TestOutcomes:
    @on_fleet()
    async def test_a_booking_without_an_answer_is_not_called_not_run(self, site, caller):
        for replica in each_app(site):
            replica.faults.mute = True
        reply = await caller.book(ENTRY_1, deadline_ms=1000)
        assert len(site.log.of(reply.ident)) == 1
        assert reply.status == 504

    @on_fleet()
    async def test_a_booking_whose_answer_is_lost_is_not_sent_again(self, site, caller):
        for replica in each_app(site):
            replica.faults.lose_answers = 1
        reply = await caller.book(ENTRY_1)
        assert len(site.log.of(reply.ident)) == 1
        assert reply.status == 502

    @on_fleet()
    async def test_a_lookup_whose_answer_is_lost_is_sent_again(self, site, caller):
        for replica in each_app(site):
            replica.faults.lose_answers = 1
        reply = await caller.lookup(ENTRY_1)
        assert reply.whole
        runs = site.log.of(reply.ident)
        assert len(runs) > 1
        assert len({run.replica for run in runs}) == 2

    @on_fleet()
    async def test_a_replica_that_is_full_has_not_run_and_another_is_asked(self, site, caller):
        for replica in each_app(site)[:2]:
            replica.faults.shed = 1
        replies = [await caller.book(ENTRY_1) for _ in range(3)]
        assert all(reply.whole for reply in replies)
        assert all(len(site.log.of(reply.ident)) == 1 for reply in replies)

    @on_fleet()
    async def test_when_all_are_full_the_refusal_is_true_and_says_when_to_return(
        self, site, caller
    ):
        for replica in each_app(site):
            replica.faults.shed = 1000
        reply = await caller.book(ENTRY_1)
        assert reply.status == 503
        assert float(reply.headers['Retry-After']) >= 0
        assert not site.log.of(reply.ident)

    @on_fleet()
    async def test_a_booking_goes_on_when_its_caller_leaves(self, site, caller):
        reply = await caller.book(ENTRY_1, leave_after_s=0.01)
        assert reply.status == 0
        await asyncio.sleep(0.5)
        (run,) = site.log.of(reply.ident)
        assert run.ended

    @on_fleet()
    async def test_a_stream_stops_when_its_caller_leaves(self, site, caller):
        reply = await caller.turn(ENTRY_1, leave_after_s=0.08)
        assert reply.status == 0
        await asyncio.sleep(0.5)
        (run,) = site.log.of(reply.ident)
        assert not run.ended
        assert all(replica.running == 0 for replica in each_engine(site))


class TestStreams:
    @on_fleet()
    async def test_a_broken_stream_that_may_be_resumed_goes_on_after_its_last_event(
        self, site, caller
    ):
        for replica in each_engine(site):
            replica.faults.break_after_events = 3
            replica.faults.cut_inside_event = True
        reply = await caller.resumed(ENTRY_1)
        assert reply.whole
        numbers = [int(data.rpartition(b'-')[2]) for data in reply.event_data]
        assert numbers == [1, 2, 3, 4, 5, 6]
        runs = site.log.of(reply.ident)
        assert runs[1].headers['Last-Event-Id'] == '3'
        assert runs[0].replica == runs[1].replica

    @on_fleet()
    async def test_a_stream_goes_on_elsewhere_when_its_replica_has_died(self, site, caller):
        for replica in each_engine(site):
            replica.events = 20
        turn = asyncio.ensure_future(caller.resumed(ENTRY_1))
        await asyncio.sleep(0.1)
        (run,) = site.log.runs
        site.network.kill(site.replicas[run.replica].host)
        reply = await turn
        assert reply.whole
        numbers = [int(data.rpartition(b'-')[2]) for data in reply.event_data]
        assert numbers == list(range(1, 21))

    @on_fleet()
    async def test_a_broken_stream_that_may_not_be_resumed_does_not_look_complete(
        self, site, caller
    ):
        for replica in each_engine(site):
            replica.faults.break_after_events = 3
        reply = await caller.turn(ENTRY_1)
        assert reply.status == 0
        assert len(site.log.of(reply.ident)) == 1

    @on_fleet()
    async def test_a_broken_turn_is_not_kept(self, site, caller):
        for replica in each_engine(site):
            replica.faults.break_after_events = 3
        reply = await caller.turn(ENTRY_1)
        assert (await caller.turn(ENTRY_1, previous=reply.ident)).status == 404

    @on_fleet()
    async def test_an_answer_without_length_ends_with_its_connection(self, site, caller):
        for replica in each_engine(site):
            replica.faults.unframed = True
        reply = await caller.turn(ENTRY_1)
        assert reply.whole
        assert len(reply.event_data) == 6


class TestForeignBytes:
    @pytest.mark.parametrize('fault', ['extra_answer', 'late_answer'])
    def test_an_answer_to_another_request_is_never_passed_on(self, fault):
        @on_fleet()
        async def scenario(_, site, caller):
            for replica in each_app(site):
                setattr(replica.faults, fault, True)
            replies = []
            for number in range(12):
                replies.append(await caller.book(ENTRY_1))
                await asyncio.sleep(0.011 * number)
            assert all(reply.whole for reply in replies)
            assert all(len(site.log.of(reply.ident)) == 1 for reply in replies)

        scenario(None)

    @on_fleet()
    async def test_an_early_answer_to_a_long_body_leaves_nothing_behind(self, site, caller):
        for replica in each_app(site):
            replica.faults.early_answer = True
        reply = await caller.request(ENTRY_1, 'POST', '/booking/x', b'x' * 60_000)
        assert reply.status == 500
        for replica in each_app(site):
            replica.faults.early_answer = False
        assert (await caller.book(ENTRY_1)).whole
