"""Replica failures.

A request that may have run is never reported as not run, and one that must not be
repeated never runs twice.
"""

import asyncio

import pytest

from .site import ENTRY_1, app_replicas, engine_replicas, with_platform_site


class TestOutcomes:
    @with_platform_site()
    async def test_a_booking_without_a_response_is_not_reported_as_not_run(self, site, caller):
        for replica in app_replicas(site):
            replica.faults.never_respond = True
        reply = await caller.book(ENTRY_1, deadline_ms=1000)
        assert len(site.log.runs_of(reply.ident)) == 1
        assert reply.status == 504

    @with_platform_site()
    async def test_a_booking_whose_response_is_lost_is_not_sent_again(self, site, caller):
        for replica in app_replicas(site):
            replica.faults.lose_answers = 1
        reply = await caller.book(ENTRY_1)
        assert len(site.log.runs_of(reply.ident)) == 1
        assert reply.status == 502

    @with_platform_site()
    async def test_a_lookup_whose_response_is_lost_is_sent_again(self, site, caller):
        for replica in app_replicas(site):
            replica.faults.lose_answers = 1
        reply = await caller.lookup(ENTRY_1)
        assert reply.succeeded
        runs = site.log.runs_of(reply.ident)
        assert len(runs) > 1
        assert len({run.replica for run in runs}) == 2

    @with_platform_site()
    async def test_a_request_rejected_by_a_full_replica_is_sent_to_another(self, site, caller):
        for replica in app_replicas(site)[:2]:
            replica.faults.reject_requests = 1
        replies = [await caller.book(ENTRY_1) for _ in range(3)]
        assert all(reply.succeeded for reply in replies)
        assert all(len(site.log.runs_of(reply.ident)) == 1 for reply in replies)

    @with_platform_site()
    async def test_when_all_replicas_are_full_the_request_is_refused_with_retry_after(
        self, site, caller
    ):
        for replica in app_replicas(site):
            replica.faults.reject_requests = 1000
        reply = await caller.book(ENTRY_1)
        assert reply.status == 503
        assert float(reply.headers['Retry-After']) >= 0
        assert not site.log.runs_of(reply.ident)

    @with_platform_site()
    async def test_a_booking_continues_when_its_caller_disconnects(self, site, caller):
        reply = await caller.book(ENTRY_1, disconnect_after_s=0.01)
        assert reply.status == 0
        await asyncio.sleep(0.5)
        (run,) = site.log.runs_of(reply.ident)
        assert run.ended

    @with_platform_site()
    async def test_a_stream_stops_when_its_caller_disconnects(self, site, caller):
        reply = await caller.turn(ENTRY_1, disconnect_after_s=0.08)
        assert reply.status == 0
        await asyncio.sleep(0.5)
        (run,) = site.log.runs_of(reply.ident)
        assert not run.ended
        assert all(replica.running == 0 for replica in engine_replicas(site))


class TestStreams:
    @with_platform_site()
    async def test_a_broken_resumable_stream_continues_after_its_last_event(self, site, caller):
        for replica in engine_replicas(site):
            replica.faults.break_after_events = 3
            replica.faults.cut_bytes = b'id: 4\nda'
        reply = await caller.resumable_turn(ENTRY_1)
        assert reply.succeeded
        numbers = [int(data.rpartition(b'-')[2]) for data in reply.event_data]
        assert numbers == [1, 2, 3, 4, 5, 6]
        runs = site.log.runs_of(reply.ident)
        assert runs[1].headers['Last-Event-Id'] == '3'
        assert runs[0].replica == runs[1].replica

    @with_platform_site()
    async def test_a_stream_continues_at_another_replica_when_its_replica_dies(self, site, caller):
        for replica in engine_replicas(site):
            replica.events = 20
        turn = asyncio.ensure_future(caller.resumable_turn(ENTRY_1))
        await asyncio.sleep(0.1)
        (run,) = site.log.runs
        site.network.kill(site.replicas[run.replica].host)
        reply = await turn
        assert reply.succeeded
        numbers = [int(data.rpartition(b'-')[2]) for data in reply.event_data]
        assert numbers == list(range(1, 21))

    @with_platform_site()
    async def test_a_broken_stream_that_cannot_be_resumed_does_not_look_complete(
        self, site, caller
    ):
        for replica in engine_replicas(site):
            replica.faults.break_after_events = 3
        reply = await caller.turn(ENTRY_1)
        assert reply.status == 0
        assert len(site.log.runs_of(reply.ident)) == 1

    @with_platform_site()
    async def test_a_broken_turn_is_not_stored(self, site, caller):
        for replica in engine_replicas(site):
            replica.faults.break_after_events = 3
        reply = await caller.turn(ENTRY_1)
        assert (await caller.turn(ENTRY_1, previous=reply.ident)).status == 404

    @with_platform_site()
    async def test_a_response_without_length_ends_when_the_connection_closes(self, site, caller):
        for replica in engine_replicas(site):
            replica.faults.omit_length = True
        reply = await caller.turn(ENTRY_1)
        assert reply.succeeded
        assert len(reply.event_data) == 6


class TestMismatchedResponses:
    @pytest.mark.parametrize('fault', ['extra_answer', 'late_answer'])
    def test_a_response_to_another_request_is_never_forwarded(self, fault):
        @with_platform_site()
        async def scenario(_, site, caller):
            for replica in app_replicas(site):
                setattr(replica.faults, fault, True)
            replies = []
            for number in range(12):
                replies.append(await caller.book(ENTRY_1))
                await asyncio.sleep(0.011 * number)
            assert all(reply.succeeded for reply in replies)
            assert all(len(site.log.runs_of(reply.ident)) == 1 for reply in replies)

        scenario(None)

    @with_platform_site()
    async def test_a_response_before_the_end_of_the_body_does_not_affect_the_next_request(
        self, site, caller
    ):
        for replica in app_replicas(site):
            replica.faults.respond_before_body = True
        reply = await caller.request(ENTRY_1, 'POST', '/booking/x', b'x' * 60_000)
        assert reply.status == 500
        for replica in app_replicas(site):
            replica.faults.respond_before_body = False
        assert (await caller.book(ENTRY_1)).succeeded


class TestAttemptsOfOneRequest:
    def most_replicas(self, site, replies):
        """Return the most replicas on which one request ran."""
        return max(len({run.replica for run in site.log.runs_of(r.ident)}) for r in replies)

    async def refuse_after_runs(self, site, replicas, refusals):
        """Have each replica that has run a request refuse the next ones, as a full one does."""
        while True:
            for replica in replicas:
                if replica.faults.lose_answers == 0 and site.log.runs:
                    ran = {run.replica for run in site.log.runs}
                    if replica.ident in ran and replica.ident not in refusals:
                        refusals.add(replica.ident)
                        replica.faults.reject_requests = 3
            await asyncio.sleep(0.001)

    @pytest.mark.parametrize('kind', ['lookup', 'resumable_turn'])
    def test_a_full_replica_is_no_reason_to_run_on_more_of_them(self, kind):
        """Guards against repeats beyond a route's attempts when its replicas are full (BUDGET)."""

        @with_platform_site()
        async def scenario(_, site, caller):
            replicas = engine_replicas(site) if kind == 'resumable_turn' else app_replicas(site)
            replies = []
            for number in range(8):
                refusals = set()
                site.log.runs.clear()
                for replica in replicas:
                    replica.faults.lose_answers = 1
                    replica.faults.break_after_events = 2
                refusing = asyncio.ensure_future(self.refuse_after_runs(site, replicas, refusals))
                caller.program = f'p{number}'
                replies.append(await getattr(caller, kind)(ENTRY_1))
                refusing.cancel()
                allowed = 2 if kind == 'lookup' else 1
                assert self.most_replicas(site, replies[-1:]) <= allowed
            assert sum(reply.succeeded for reply in replies) >= 4

        scenario(None)

    @with_platform_site()
    async def test_a_replica_that_is_gone_is_replaced_by_another(self, site, caller):
        for replica in app_replicas(site):
            replica.faults.never_respond = True
        sent = asyncio.ensure_future(caller.lookup(ENTRY_1))
        await site.wait_until(lambda: site.log.runs)
        first = site.replicas[site.log.runs[0].replica]
        for replica in app_replicas(site):
            replica.faults.never_respond = False
        site.stop_replica(first)
        reply = await sent
        assert reply.succeeded
