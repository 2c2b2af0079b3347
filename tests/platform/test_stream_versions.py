"""Streams and the software version that began them: no stream joins events of two versions."""

import asyncio

import pytest

from toucanlead_platform_standins.caller import Caller
from toucanlead_platform_standins.replica import INSTEAD_OF_STREAM
from toucanlead_platform_standins.site import (
    ARCHIVES,
    ENGINES,
    RESUMED_PATH,
    SERVICE_HOST,
    configuration,
)
from toucanlead_policy.stream_versions import STREAM_LIFETIME_S
from toucanlead_standins.memory_network import on_host

from .site import ENTRY_1, ENTRY_2, ENTRY_3, engine_replicas, with_platform_site

VMS = (ENTRY_1, ENTRY_2, ENTRY_3)
TWO_OF_EACH = {'engines': 4, 'versions': ('v1', 'v2')}
STREAM_EVENTS = 28
GONE_S = 3.0  # until a registration that has ended is not used any more
LISTED_S = 0.4  # until all entries know of a new version
STALE_S = 4.0  # until entries know that they may miss changes
REFUSED_AT_ONCE_S = 0.3  # the target latency of the route
LAST_CHUNK = b'0\r\n\r\n'
BEGIN_S = 0.3  # until the callers of a round of streams hold some events


async def _write_nothing(*_, **__):
    return False


def make_streams_long(site):
    """Have the engines' streams last 0.7 s."""
    for replica in engine_replicas(site):
        replica.events = STREAM_EVENTS


async def begin_streams(caller, count=12, vms=VMS):
    """Begin streams of different programs at entries in turn; return the running calls."""
    tasks = []
    for number in range(count):
        program = Caller(f'begun-{number}', pools=caller.pools)
        vm = vms[number % len(vms)]
        tasks.append(asyncio.ensure_future(program.resumable_turn(vm)))
    await asyncio.sleep(BEGIN_S)
    return tasks


async def break_streams(site, caller, entries=VMS, archives=(), count=12):
    """Begin streams, kill entries at once, and return the replies that were broken off."""
    streams = await begin_streams(caller, count)
    await site.kill_at_once(entries, archives, dark_s=0.2)
    replies = await asyncio.gather(*streams)
    return [reply for reply in replies if reply.status == 0 and reply.event_data]


async def resume_all(caller, replies, vms=VMS, **options):
    """Resume broken streams, each at an entry in turn."""
    return await asyncio.gather(
        *(
            Caller(f'resumed-{number}', pools=caller.pools).resume(
                vms[number % len(vms)], reply, reply, **options
            )
            for number, reply in enumerate(replies)
        )
    )


def joined(first, *rest):
    """Return whether a stream holds events of several versions, over all of a caller's tries."""
    return len(first.versions.union(*(reply.versions for reply in rest))) > 1


def assert_complete(first, *rest):
    """Check that a stream that was taken up holds each event once, and ends."""
    replies = [first, *rest]
    data = [item for reply in replies for item in reply.event_data]
    assert [int(item.rpartition(b'-')[2]) for item in data] == list(range(1, STREAM_EVENTS + 1))
    assert replies[-1].succeeded


class TestResumedStream:
    @pytest.mark.parametrize('archives', [(), ARCHIVES], ids=['entries', 'entries and archives'])
    def test_it_goes_on_at_its_version_after_all_entries_were_killed_at_once(self, archives):
        @with_platform_site(**TWO_OF_EACH)
        async def scenario(_, site, caller):
            make_streams_long(site)
            broken = await break_streams(site, caller, archives=archives)
            assert len(broken) == 12
            assert set().union(*(reply.versions for reply in broken)) == {'v1', 'v2'}
            resumed = await resume_all(caller, broken)
            assert not any(map(joined, broken, resumed))
            for first, rest in zip(broken, resumed):
                assert_complete(first, rest)

        scenario(None)

    @with_platform_site(**TWO_OF_EACH)
    async def test_it_is_refused_at_once_when_no_replica_of_its_version_is_left(self, site, caller):
        make_streams_long(site)
        broken = await break_streams(site, caller)
        for replica in engine_replicas(site):
            if replica.version == 'v1':
                site.stop_replica(replica)
        await asyncio.sleep(GONE_S)
        resumed = await resume_all(caller, broken)
        for first, rest in zip(broken, resumed):
            if first.versions == {'v2'}:
                assert_complete(first, rest)
                continue
            assert rest.status == 503
            assert rest.seconds < REFUSED_AT_ONCE_S
            assert 'Retry-After' not in rest.headers
            assert not site.log.runs_of(rest.ident)

    @with_platform_site(**TWO_OF_EACH)
    async def test_one_of_which_nothing_is_known_is_refused_and_has_not_run(self, site, caller):
        for headers in (
            {'Resumes': 'nothing', 'Last-Event-Id': '3'},
            {'Resumes': 'nothing'},
            {'Last-Event-Id': '3'},
        ):
            reply = await caller.resumable_turn(ENTRY_1, headers=headers)
            assert reply.status == 503
            assert reply.seconds < REFUSED_AT_ONCE_S
            assert not site.log.runs_of(reply.ident)

    @with_platform_site(**TWO_OF_EACH)
    async def test_it_may_be_resumed_again_and_again_by_any_of_its_tries(self, site, caller):
        make_streams_long(site)
        for by_first_try in (True, False):
            (first, *_) = await break_streams(site, caller)
            tries = [first]
            for vm in (ENTRY_2, ENTRY_3, ENTRY_1):
                held = [reply for reply in tries if reply.event_data][-1]
                named = first if by_first_try else held
                options = {'disconnect_after_s': 0.15} if vm != ENTRY_1 else {}
                tries.append(await caller.resume(vm, named, held, **options))
            assert not joined(*tries)
            assert_complete(*tries)

    @with_platform_site(**TWO_OF_EACH)
    async def test_it_may_be_resumed_elsewhere_while_the_first_try_still_streams(
        self, site, caller
    ):
        make_streams_long(site)
        (first,) = await begin_streams(caller, count=1)
        (run,) = site.log.runs
        headers = {'Resumes': run.ident, 'Last-Event-Id': '3'}
        second = await caller.resumable_turn(ENTRY_2, headers=headers)
        assert second.succeeded
        assert second.versions == (await first).versions

    @with_platform_site(engines=4, versions=('v1', 'v2', 'v3', 'v1'))
    async def test_it_keeps_its_version_among_three_and_after_a_release_back(self, site, caller):
        make_streams_long(site)
        for replica in engine_replicas(site):
            if replica.version == 'v1':
                replica.unregister()
        await asyncio.sleep(GONE_S)
        streams = await begin_streams(caller)
        for replica in engine_replicas(site):
            if replica.version == 'v1':
                replica.register('ready')
        await site.kill_at_once(dark_s=0.2)
        broken = [reply for reply in await asyncio.gather(*streams) if reply.event_data]
        resumed = await resume_all(caller, broken)
        assert not any(map(joined, broken, resumed))
        assert all(reply.succeeded for reply in resumed)

    @with_platform_site(engines=4)
    async def test_it_is_doubtful_when_its_replica_runs_another_version_under_its_id(
        self, site, caller
    ):
        make_streams_long(site)
        streams = await begin_streams(caller)
        for replica in engine_replicas(site)[:2]:
            site.network.kill(replica.host)
            replica.started_ms += 1
            replica.version = 'v2'
            await on_host(replica.host, replica.start())
        replies = await asyncio.gather(*streams)
        assert all(len(reply.versions) == 1 for reply in replies)
        broken = [reply for reply in replies if reply.status == 0]
        resumed = await resume_all(caller, broken)
        assert not any(map(joined, broken, resumed))


class TestOneVersionAlone:
    @with_platform_site(engines=4)
    async def test_nothing_is_kept_for_a_stream_and_it_may_be_resumed(self, site, caller):
        make_streams_long(site)
        broken = await break_streams(site, caller)
        assert not any(a.archive.store.turns_by_id for a in site.archives.values())
        resumed = await resume_all(caller, broken)
        for first, rest in zip(broken, resumed):
            assert_complete(first, rest)

    @with_platform_site(engines=2)
    async def test_streams_that_run_when_a_second_version_appears_are_noted(self, site, caller):
        make_streams_long(site)
        streams = await begin_streams(caller)
        for number in range(2):
            await site.add_replica(f'i-new{number}', ENGINES, 'centro-a', 'v2')
        await asyncio.sleep(LISTED_S)
        await site.kill_at_once(dark_s=0.2)
        broken = await asyncio.gather(*streams)
        resumed = await resume_all(caller, broken)
        assert not any(map(joined, broken, resumed))
        assert sum(reply.succeeded for reply in resumed) >= len(broken) / 2

    @with_platform_site(engines=4)
    async def test_streams_are_noted_while_the_key_value_service_is_away(self, site, caller):
        make_streams_long(site)
        site.network.kill(SERVICE_HOST)
        await asyncio.sleep(STALE_S)
        streams = await begin_streams(caller)
        await asyncio.sleep(BEGIN_S)
        for vm in VMS[:2]:
            site.network.reset_connections(vm.ip)
        broken = [r for r in await asyncio.gather(*streams) if r.status == 0 and r.event_data]
        assert broken
        resumed = await resume_all(caller, broken, vms=VMS[::-1])
        assert sum(reply.succeeded for reply in resumed) >= len(broken) / 2

    @with_platform_site(engines=3)
    async def test_the_list_forgets_a_version_once_its_streams_have_ended(self, site, caller):
        (old, *_) = engine_replicas(site)
        for replica in engine_replicas(site):
            if replica is not old:
                replica.version = 'v2'
                replica.register('ready')
        await asyncio.sleep(3 * LISTED_S)
        lists = [entry.version_lists for entry in site.entries.values()]
        assert all(item.listed(ENGINES) == {'v1', 'v2'} for item in lists)
        site.stop_replica(old)
        await asyncio.sleep(STREAM_LIFETIME_S - 1.0)
        assert all(item.listed(ENGINES) == {'v1', 'v2'} for item in lists)
        await asyncio.sleep(GONE_S + 2.0)
        assert all(item.only_version(ENGINES) == 'v2' for item in lists)


class TestEntryOfAnEarlierBuild:
    @with_platform_site(**TWO_OF_EACH)
    async def test_a_stream_that_it_began_is_not_joined_by_a_newer_entry(self, site, caller):
        make_streams_long(site)
        earlier = site.entries[ENTRY_1.name]
        earlier.archive_client.write_note = _write_nothing
        earlier.version_lists.update = _write_nothing
        streams = await begin_streams(caller, vms=(ENTRY_1,))
        site.network.kill(ENTRY_1.ip)
        broken = await asyncio.gather(*streams)
        resumed = await resume_all(caller, broken, vms=(ENTRY_2, ENTRY_3))
        assert not any(map(joined, broken, resumed))
        assert all(reply.status == 503 for reply in resumed)


class TestSplitRoute:
    @with_platform_site(engines=4)
    async def test_a_stream_is_resumed_at_the_service_that_began_it(self, site, caller):
        document = configuration(5)
        (resumed_route,) = [r for r in document['routes'] if r['name'] == 'resumed']
        del resumed_route['service']
        resumed_route['trafficSplit'] = [
            {'service': ENGINES, 'weight': 1},
            {'service': 'other', 'weight': 1},
        ]
        document['services'].append({**document['services'][0], 'name': 'other'})
        for number in range(2):
            replica = await site.add_replica(f'i-o{number}', 'other', 'centro-a', 'v2')
            replica.engine = True
        site.configure(document)
        await asyncio.sleep(1.0)
        make_streams_long(site)
        broken = await break_streams(site, caller)
        assert set().union(*(reply.versions for reply in broken)) == {'v1', 'v2'}
        tries = [
            await Caller(f'begun-{number}', pools=caller.pools).resume(ENTRY_2, reply, reply)
            for number, reply in enumerate(broken)
        ]
        assert not any(map(joined, broken, tries))
        assert all(reply.succeeded for reply in tries)


class TestEndOfAStream:
    @pytest.mark.parametrize('reset', [False, True], ids=['closed', 'reset'])
    def test_a_stream_without_a_length_ends_with_its_connection_unless_that_is_reset(self, reset):
        @with_platform_site()
        async def scenario(_, site, caller):
            for replica in engine_replicas(site):
                replica.faults.omit_length = True
                replica.faults.reset_at_end = reset
            for turn in (caller.turn, caller.resumable_turn):
                reply = await turn(ENTRY_1)
                assert reply.succeeded != reset
                assert len(reply.event_data) == 6

        scenario(None)

    @pytest.mark.parametrize(
        'cut_bytes',
        [b'i', b'id: 4\n', b'id: 4\ndata: \xc3', b'id: 4\ndata: x', b'id: 4\ndata: x\n'],
    )
    @pytest.mark.parametrize('omit_length', [False, True], ids=['chunked', 'without a length'])
    def test_a_stream_that_ends_inside_an_event_is_broken_off(self, cut_bytes, omit_length):
        @with_platform_site()
        async def scenario(_, site, caller):
            for replica in engine_replicas(site):
                replica.faults.break_after_events = 3
                replica.faults.cut_bytes = cut_bytes
                replica.faults.omit_length = omit_length
            broken = await caller.turn(ENTRY_1)
            assert broken.status == 0
            assert broken.last_event_id == 3
            assert broken.body.endswith(b'-3\n\n')
            whole = await caller.resumable_turn(ENTRY_1)
            assert whole.succeeded
            assert len(whole.event_data) == 6

        scenario(None)


class TestStreamWithinOneAnswer:
    @with_platform_site(engines=4, versions=('v1', 'v2', 'v2', 'v2'))
    async def test_it_is_broken_off_when_no_replica_of_its_version_is_left(self, site, caller):
        make_streams_long(site)
        streams = await begin_streams(caller)
        (last_of_v1,) = [r for r in engine_replicas(site) if r.version == 'v1']
        site.stop_replica(last_of_v1)
        replies = await asyncio.gather(*streams)
        assert not any(len(reply.versions) > 1 for reply in replies)
        broken = [reply for reply in replies if reply.status == 0]
        assert broken
        assert all(reply.versions == {'v1'} for reply in broken)

    @with_platform_site(**TWO_OF_EACH)
    async def test_it_goes_on_at_another_replica_of_its_version(self, site, caller):
        make_streams_long(site)
        streams = await begin_streams(caller)
        site.stop_replica(engine_replicas(site)[0])
        for reply in await asyncio.gather(*streams):
            assert len(reply.versions) == 1
            assert_complete(reply)

    @pytest.mark.parametrize('answer', sorted(INSTEAD_OF_STREAM))
    def test_nothing_but_its_own_events_reaches_the_caller(self, answer):
        @with_platform_site(engines=4)
        async def scenario(_, site, caller):
            make_streams_long(site)
            for replica in engine_replicas(site):
                replica.faults.instead_of_stream = answer
            answers = [asyncio.ensure_future(caller.read_raw_stream(ENTRY_1)) for _ in range(4)]
            await asyncio.sleep(BEGIN_S)
            for replica in engine_replicas(site):
                site.network.reset_connections(replica.host)
            for answer_bytes in await asyncio.gather(*answers):
                assert answer_bytes.count(b'HTTP/1.1') == 1
                assert answer_bytes.count(b'data: ') >= 1
                assert b'failed' not in answer_bytes
                assert not answer_bytes.endswith(LAST_CHUNK)

        scenario(None)

    @pytest.mark.parametrize('answer', ['whole body', 'error', 'redirect'])
    def test_a_caller_that_resumes_a_stream_gets_no_success_in_its_place(self, answer):
        @with_platform_site()
        async def scenario(_, site, caller):
            for replica in engine_replicas(site):
                replica.faults.break_after_events = 3
            first = await caller.turn(ENTRY_1, path=RESUMED_PATH, disconnect_after_s=0.1)
            for replica in engine_replicas(site):
                replica.faults.instead_of_stream = answer
            assert (await caller.resume(ENTRY_2, first, first)).status in (500, 502)

        scenario(None)


class TestEntryOutOfStep:
    """Another operator's report: a release reached one entry later than the others."""

    def out_of_step(self, site, how):
        """Cut an entry off from all but replicas and callers, or have it stand still."""
        if how == 'paused':
            site.network.pause(ENTRY_2.ip)
            return
        others = [vm.ip for vm in (ENTRY_1, ENTRY_3, *ARCHIVES)]
        for host in (SERVICE_HOST, *others):
            site.network.cut(ENTRY_2.ip, host)

    @pytest.mark.parametrize('how', ['cut off', 'paused'])
    @pytest.mark.parametrize('cut_s', [0.05, 0.5, 1.0])
    def test_a_stream_of_a_new_version_does_not_go_on_there_at_the_old_one(self, how, cut_s):
        """Guards against a stream taken up by what an entry knew before a release (ORDER)."""

        @with_platform_site()
        async def scenario(_, site, caller):
            caller.budget = None
            make_streams_long(site)
            old = engine_replicas(site)
            self.out_of_step(site, how)
            await asyncio.sleep(cut_s)
            new = await site.add_replica('i-new', ENGINES, 'centro-a', 'v2')
            new.events = STREAM_EVENTS
            await asyncio.sleep(0.5)
            for replica in old:
                replica.faults.reject_requests = 50
            streaming = asyncio.ensure_future(caller.resumable_turn(ENTRY_1))
            await asyncio.sleep(BEGIN_S)
            site.network.kill(ENTRY_1.ip)
            first = await streaming
            assert first.versions == {'v2'}
            assert first.status == 0
            for replica in old:
                replica.faults.reject_requests = 0
            resuming = asyncio.ensure_future(caller.resume(ENTRY_2, first, first))
            if how == 'paused':
                await asyncio.sleep(0.2)
                site.network.resume(ENTRY_2.ip)
            second = await resuming
            assert not joined(first, second)
            assert second.status in (0, 200, 503)

        scenario(None)

    @with_platform_site()
    async def test_an_entry_in_step_takes_it_up(self, site, caller):
        replies = await break_streams(site, caller)
        resumed = await resume_all(caller, replies)
        assert all(reply.succeeded for reply in resumed)
