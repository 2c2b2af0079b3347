"""The key-value service is down, unreachable, or rejects the requests of some processes."""

import asyncio

from toucanlead_platform_standins.site import (
    APP,
    ARCHIVES,
    SERVICE_HOST,
    configuration,
    route,
)

from .site import ENTRY_1, ENTRY_2, ENTRY_3, with_platform_site

EXTRA = route('extra', '/extra/', 'safe', APP)


class TestHistoryLost:
    @with_platform_site()
    async def test_a_watch_that_begins_before_history_is_dropped_misses_nothing(self, site, caller):
        # A configuration change goes unreported. New watches begin after it, while the
        # service still has its history; the history is dropped before they report it.
        site.service.faults.suppress_watch_events = True
        site.configure(configuration(7, (EXTRA,)))
        site.service.abort_watches()
        await asyncio.sleep(0.3)
        site.model.compact_history()
        site.service.faults.suppress_watch_events = False
        await asyncio.sleep(2.0)
        for entry in site.entries.values():
            assert entry.routes.table.version == 7

    @with_platform_site()
    async def test_entries_read_everything_again_when_history_is_gone(self, site, caller):
        site.model.compact_history()
        site.service.abort_watches()
        site.configure(configuration(7, (EXTRA,)))
        site.replicas['i-e0'].register('draining')
        await asyncio.sleep(1.0)
        for entry in site.entries.values():
            assert entry.routes.table.version == 7
            assert entry.registry.replicas['i-e0'].leaving


class TestRejectedProcess:
    @with_platform_site()
    async def test_a_rejected_entry_receives_changes_through_its_peers(self, site, caller):
        site.service.faults.rejected_hosts = frozenset({ENTRY_1.ip})
        site.service.abort_watches()
        await asyncio.sleep(2.0)
        site.configure(configuration(7, (EXTRA,)))
        await asyncio.sleep(1.0)
        assert (await caller.request(ENTRY_1, 'GET', '/extra/x')).succeeded
        assert (await caller.turn(ENTRY_1)).succeeded

    @with_platform_site()
    async def test_direct_calls_resume_once_the_service_accepts_them(self, site, caller):
        site.service.faults.rejected_hosts = frozenset({ENTRY_1.ip})
        await asyncio.sleep(3.0)
        site.service.faults.rejected_hosts = frozenset()
        await asyncio.sleep(3.0)
        relays = [a._peer_server for a in site.archives.values()]
        for server in relays:
            server.close()
        site.configure(configuration(7, (EXTRA,)))
        await asyncio.sleep(1.0)
        assert site.entries['entry-1'].routes.table.version == 7


class TestOutage:
    @with_platform_site()
    async def test_running_programs_continue_without_the_service(self, site, caller):
        first = await caller.turn(ENTRY_1, b'one ')
        site.service.faults.down = True
        second = await caller.turn(ENTRY_1, b'two ', previous=first.ident)
        third = await caller.turn(ENTRY_1, b'three ', previous=second.ident)
        assert second.succeeded
        assert third.succeeded

    @with_platform_site()
    async def test_entries_recover_after_the_service_stops_responding(self, site, caller):
        site.service.faults.silent = True
        await asyncio.sleep(5.0)
        site.service.faults.silent = False
        site.configure(configuration(7, (EXTRA,)))
        await asyncio.sleep(2.5)
        for entry in site.entries.values():
            assert entry.routes.table.version == 7

    @with_platform_site()
    async def test_a_grant_whose_response_was_lost_is_not_taken_twice(self, site, caller):
        site.service.faults.lose_answers = 1
        assert (await caller.turn(ENTRY_1)).succeeded
        holder = site.entries[site.grant_holder_vm('p1').name]
        await asyncio.sleep(1.5)  # a grant on debt is recorded within this time
        allowance = holder.budgets.allowance('p1')
        assert allowance.granted == allowance.record.granted == 1450


class TestBrokenConnections:
    @with_platform_site()
    async def test_silent_connections_are_replaced(self, site, caller):
        first = await caller.turn(ENTRY_1)
        for vm in (ENTRY_1, ENTRY_2, ENTRY_3):
            site.network.silence_connections(vm.ip)
        caller.pools.clear()
        await asyncio.sleep(4.0)
        second = await caller.turn(ENTRY_2, previous=first.ident)
        assert second.succeeded

    @with_platform_site()
    async def test_an_entry_cut_off_from_service_and_archives_serves_through_other_entries(
        self, site, caller
    ):
        await site.wait_until(lambda: len(site.entries['entry-1'].directory.entries) == 3)
        for host in (SERVICE_HOST, *(vm.ip for vm in ARCHIVES)):
            site.network.cut(ENTRY_1.ip, host)
        await asyncio.sleep(4.0)
        first = await caller.turn(ENTRY_1, b'one ')
        second = await caller.turn(ENTRY_1, b'two ', previous=first.ident)
        assert first.succeeded
        assert second.succeeded
        assert second.seconds < 1.0
        third = await caller.turn(ENTRY_2, b'three ', previous=second.ident)
        assert third.succeeded
        site.configure(configuration(7, (EXTRA,)))
        await asyncio.sleep(1.0)
        assert (await caller.request(ENTRY_1, 'GET', '/extra/x')).succeeded
