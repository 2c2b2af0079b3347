"""Tests of the metrics that entries and archives serve over HTTP."""

from toucanlead_backends.http_connection import ConnectionPool
from toucanlead_backends.http_request import request_head
from toucanlead_platform_standins.site import METRICS_PORT

from .site import ARCHIVE_1, ENTRY_1, with_platform_site


async def metrics_of(vm):
    """Return the metrics of a VM's process: value by name with labels."""
    address = f'{vm.ip}:{METRICS_PORT}'
    pool = ConnectionPool(address)
    conn = await pool.acquire(1.0)
    conn.send(request_head('GET', '/metrics', address, [], 0), b'')
    response = await conn.next_response()
    text = (await response.read()).decode()
    pool.close()
    lines = [line.rpartition(' ') for line in text.splitlines() if not line.startswith('#')]
    return {name: float(value) for name, _, value in lines}


class TestEntry:
    @with_platform_site()
    async def test_serves_the_age_of_watched_data(self, site, caller):
        assert (await caller.turn(ENTRY_1)).succeeded
        values = await metrics_of(ENTRY_1)
        assert values['toucanlead_configuration_version'] == 3
        assert values['toucanlead_archives'] == 3
        for name in ('configuration', 'registry', 'members'):
            assert 0 <= values[f'toucanlead_{name}_age_seconds'] < 30

    @with_platform_site()
    async def test_counts_answers_and_refusals_with_their_reason(self, site, caller):
        assert (await caller.turn(ENTRY_1)).succeeded
        assert (await caller.turn(ENTRY_1, previous='nothing')).status == 404
        values = await metrics_of(ENTRY_1)
        assert values['toucanlead_answers_total{kind="stream"}'] == 1
        assert values['toucanlead_answer_seconds_count{kind="stream"}'] == 1
        assert values['toucanlead_serving_refusals_total{reason="unknown_turn"}'] == 1


class TestArchive:
    @with_platform_site()
    async def test_serves_disk_usage(self, site, caller):
        assert (await caller.turn(ENTRY_1)).succeeded
        values = await metrics_of(ARCHIVE_1)
        assert values['toucanlead_disk_used_bytes'] < values['toucanlead_disk_limit_bytes']
