"""Tests that one entry that cannot be read hides none of the others."""

import asyncio

import orjson
import pytest

from toucanlead_archive.directory import PEER_PREFIX
from toucanlead_kv.kv import KvEntry, Put, WatchEvent
from toucanlead_kv.watch import ChangeSink, IsolatingSink
from toucanlead_platform_standins.site import APP, configuration, route

from .site import ENTRY_1, ENTRY_2, ENTRY_3, with_platform_site
from .test_decoders import ODD_BYTES, REGISTRATION

LONG_PORT = orjson.dumps({**REGISTRATION, 'address': '10.0.0.1:' + '9' * 5000})
ODD_ENTRIES = {
    'servers/i-long-port': LONG_PORT,
    'servers/i-port-range': orjson.dumps({**REGISTRATION, 'address': '10.0.0.1:70000'}),
    'servers/i-nested': b'{"a":' * 1000 + b'1' + b'}' * 1000,
    'servers/i-number': b'{"slots":' + b'9' * 400 + b'}',
    'servers/i-bytes': b'\xff\xfe\x00',
    'servers/': LONG_PORT,
    **{f'servers/i-odd-{n}': data for n, data in enumerate(ODD_BYTES) if len(data) < 10_000},
    'op/retire/x': b'{',
    'op/other': b'\xff',
    PEER_PREFIX + 'archives/odd': b'{"name": 1}',
    PEER_PREFIX + 'entries/odd': orjson.dumps(
        {'name': 'odd', 'address': 'x:' + '9' * 5000, 'zone': 'z', 'region': 'centro'}
    ),
    PEER_PREFIX + 'crashes/odd': b'[]',
}


def write(site, entries):
    for key, value in entries.items():
        site.model.txn([], [Put(key, value)])


def with_extra(version):
    return configuration(version, (route('extra', '/extra/', 'safe', APP),))


class TestOddEntries:
    @with_platform_site()
    async def test_the_next_configuration_is_in_force_everywhere(self, site, caller):
        """Guards against one odd registration that ends the following of changes (CONFIG)."""
        write(site, ODD_ENTRIES)
        await asyncio.sleep(8.0)
        site.configure(with_extra(9))
        await asyncio.sleep(2.5)
        for vm in (ENTRY_1, ENTRY_2, ENTRY_3):
            assert site.entries[vm.name].routes.table.version == 9
            assert (await caller.request(vm, 'GET', '/extra/x')).status == 200

    @with_platform_site()
    async def test_an_entry_that_starts_beside_them_serves(self, site, caller):
        write(site, ODD_ENTRIES)
        await asyncio.sleep(1.0)
        for process in list(site.archives.values()):
            assert process.follower.synced.is_set()
        site.network.kill(ENTRY_2.ip)
        await site.start_entry(ENTRY_2)
        await site.wait_until(site.entries[ENTRY_2.name].is_ready, 3.0)
        assert (await caller.book(ENTRY_2)).status == 200
        replicas = site.entries[ENTRY_2.name].registry.replicas
        assert set(replicas) == set(site.replicas)

    @with_platform_site()
    async def test_a_replica_whose_entry_becomes_odd_is_not_used(self, site, caller):
        write(site, {'servers/i-a0': LONG_PORT})
        await asyncio.sleep(3.0)
        for _ in range(6):
            assert (await caller.book(ENTRY_1)).status == 200
        assert not [run for run in site.log.runs if run.replica == 'i-a0']


class FailingSink(ChangeSink):
    """Keeps the keys that it is given, but raises an error for some."""

    def __init__(self, failing):
        self.failing = failing
        self.keys = set()

    def replace(self, entries):
        self.keys.clear()
        self.apply([WatchEvent(e.key, e.value, e.mod_rev) for e in entries])

    def apply(self, events):
        for event in events:
            if event.key in self.failing:
                raise RuntimeError(event.key)
            self.keys.add(event.key)


class TestIsolatingSink:
    def test_entries_that_make_a_sink_fail_are_left_out(self):
        sink = FailingSink({'b', 'd'})
        IsolatingSink(sink).replace([KvEntry(key, b'', 1, 1) for key in 'abcde'])
        assert sink.keys == set('ace')

    def test_changes_that_make_a_sink_fail_are_left_out(self):
        sink = FailingSink({'a'})
        IsolatingSink(sink).apply([WatchEvent(key, b'', 1) for key in 'abc'])
        assert sink.keys == set('bc')


class TestFailingTasks:
    @pytest.mark.parametrize('task', ['follow', 'debts', 'upkeep'])
    def test_a_failing_task_of_an_entry_is_started_again_and_counted(self, task):
        @with_platform_site()
        async def scenario(self, site, caller):
            entry = site.entries[ENTRY_1.name]
            names = {
                'follow': (entry.follower, '_next_publisher'),
                'debts': (entry.budgets._timers, 'sleep'),
                'upkeep': (entry.dispatch, 'forget_removed'),
            }
            part, method = names[task]
            sound = getattr(part, method)
            failures = iter(range(2))

            def fail_twice(*args):
                if next(failures, None) is not None:
                    raise RuntimeError('unexpected')
                return sound(*args)

            setattr(part, method, fail_twice)
            if task == 'follow':
                site.network.kill(site.archives['archive-1'].settings.listen.peers.split(':')[0])
            await asyncio.sleep(20.0)
            text = entry.metrics.text().decode()
            assert 'toucanlead_task_failures_total{task=' in text
            site.configure(with_extra(9))
            await asyncio.sleep(2.5)
            assert entry.routes.table.version == 9
            assert (await caller.book(ENTRY_1)).status == 200

        scenario(None)
