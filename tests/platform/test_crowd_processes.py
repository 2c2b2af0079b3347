"""Crowds of clients that nobody controls, on real processes: bodies, heads, connections, readers.

Each test checks that the process lives, that its memory and descriptors stay under those of
its VM, and that an ordinary caller is answered beside the crowd.
"""

import asyncio
import contextlib
import signal

import pytest

from .crowd import (
    AHEAD,
    ANSWER_BYTES,
    BEHIND,
    BODY_BYTES,
    CROWD,
    DESCRIPTORS,
    DRIPPING,
    ENDLESS_HEAD,
    FAR_AHEAD,
    FEW_DESCRIPTORS,
    FEW_READERS,
    IDLE_CROWD,
    KEY,
    LARGE_CHUNKS,
    LONG_BODY_BYTES,
    MEMORY_LIMIT_KB,
    ONE_ID_AHEAD,
    PATIENT_PATH,
    READERS,
    SMALL_CHUNKS,
    WHOLE,
    WITH_LENGTH,
    CrowdSite,
    request_head,
    requests_ahead,
)

ENTRY = ('entry', '--adapter', 'platform')


def play(folder, scenario, *command, **options):
    """Run a scenario on a site of its own."""

    async def run():
        site = CrowdSite(folder, **options)
        await site.start(*(command or ENTRY))
        try:
            await scenario(site)
        finally:
            with contextlib.suppress(OSError):  # it may have ended
                print('peak_kb', site.peak_kb(), 'descriptors', site.most_descriptors)
            print('with kernel buffers, KiB', site.most_kb)
            await site.end()

    asyncio.run(run())


async def check_served(site):
    """Check that the process lives in its memory, and serves beside the crowd and after it."""
    reply = await site.request()
    assert site.lives()
    assert site.peak_kb() <= MEMORY_LIMIT_KB
    assert reply.status == 200
    site.leave()
    reply = await site.request(b'y' * BODY_BYTES)
    assert site.lives()
    assert reply.status == 200
    assert site.peak_kb() <= MEMORY_LIMIT_KB


class TestBodies:
    @pytest.mark.parametrize(
        'kinds',
        [
            pytest.param((LARGE_CHUNKS,), id='large chunks'),
            pytest.param((SMALL_CHUNKS,), id='chunks of a byte'),
            pytest.param((LARGE_CHUNKS, LARGE_CHUNKS, SMALL_CHUNKS), id='mixed'),
            pytest.param((WITH_LENGTH,), id='with a length'),
            pytest.param((BEHIND,), id='behind a request'),
        ],
    )
    def test_bodies_that_stop_short_stay_within_the_memory(self, tmp_path, kinds):
        async def scenario(site):
            await site.attack(*kinds)
            await check_served(site)

        play(tmp_path, scenario)

    def test_heads_without_an_end_stay_within_the_memory(self, tmp_path):
        async def scenario(site):
            await site.attack(ENDLESS_HEAD)
            await check_served(site)

        play(tmp_path, scenario)

    def test_answers_that_nobody_reads_stay_within_the_memory(self, tmp_path):
        async def scenario(site):
            replica = site.replicas[0]
            replica.answer_padding = b'z' * BODY_BYTES
            await site.attack((request_head(PATIENT_PATH, 'Content-Length: 0'),))
            await asyncio.sleep(5.0)
            replica.answer_padding = b''
            await check_served(site)

        play(tmp_path, scenario)


async def check_all_memory(site, descriptors):
    """Check that process and kernel buffers together stay in the VM, and that it serves."""
    reply = await site.request()
    assert site.lives()
    assert site.peak_kb() <= MEMORY_LIMIT_KB
    assert site.most_kb <= MEMORY_LIMIT_KB
    assert site.most_descriptors <= descriptors
    assert reply.status == 200


class TestKernelBuffers:
    @pytest.mark.parametrize(
        ('kind', 'count'),
        [
            pytest.param(lambda: requests_ahead(AHEAD), READERS, id='many connections'),
            pytest.param(lambda: requests_ahead(FAR_AHEAD), FEW_READERS, id='few connections'),
            pytest.param(ONE_ID_AHEAD, READERS, id='one id'),
        ],
    )
    def test_unread_answers_of_requests_ahead_stay_within_the_memory(self, tmp_path, kind, count):
        async def scenario(site):
            replica = site.replicas[0]
            replica.answer_padding = b'z' * ANSWER_BYTES
            await site.attack(kind, count=count)
            await asyncio.sleep(5.0)
            replica.answer_padding = b''
            await check_all_memory(site, FEW_DESCRIPTORS)

        play(tmp_path, scenario, descriptors=FEW_DESCRIPTORS)

    @pytest.mark.parametrize(
        'kinds',
        [
            pytest.param((WITH_LENGTH,), id='with a length'),
            pytest.param((LARGE_CHUNKS, SMALL_CHUNKS), id='chunks'),
            pytest.param((WHOLE,), id='whole, at slow replicas'),
            pytest.param((DRIPPING,), id='byte by byte at the end'),
        ],
    )
    def test_unread_bodies_stay_within_the_memory(self, tmp_path, kinds):
        async def scenario(site):
            await site.attack(*kinds)
            if DRIPPING in kinds:
                await site.drip()
            await check_all_memory(site, FEW_DESCRIPTORS)

        play(tmp_path, scenario, descriptors=FEW_DESCRIPTORS)


class TestReturningClients:
    def test_connections_that_are_reset_leave_memory_and_descriptors(self, tmp_path):
        async def scenario(site):
            await site.come_again()
            await check_all_memory(site, FEW_DESCRIPTORS)

        play(tmp_path, scenario, descriptors=FEW_DESCRIPTORS, body_bytes=LONG_BODY_BYTES)


class TestKeys:
    @pytest.mark.parametrize(
        'kinds',
        [
            pytest.param((LARGE_CHUNKS, SMALL_CHUNKS), id='chunks'),
            pytest.param((WITH_LENGTH,), id='with a length'),
        ],
    )
    def test_bodies_of_callers_without_a_key_stay_within_the_memory(self, tmp_path, kinds):
        async def scenario(site):
            await site.attack(*kinds)
            await check_all_memory(site, FEW_DESCRIPTORS)

        play(tmp_path, scenario, descriptors=FEW_DESCRIPTORS, key=KEY)


class TestPlannedStop:
    @pytest.mark.parametrize(
        'kinds',
        [
            pytest.param((LARGE_CHUNKS, SMALL_CHUNKS), id='chunks'),
            pytest.param((WHOLE, BEHIND), id='whole and behind'),
        ],
    )
    def test_a_process_ends_as_planned_beside_a_crowd(self, tmp_path, kinds):
        async def scenario(site):
            coming = asyncio.ensure_future(site.attack(*kinds))
            await asyncio.sleep(1.0)
            peak_kb = site.peak_kb()
            site.process.send(signal.SIGTERM)
            assert await site.process.process.wait() == 0
            await coming
            assert max(peak_kb, site.most_kb) <= MEMORY_LIMIT_KB
            assert site.most_descriptors <= FEW_DESCRIPTORS

        play(tmp_path, scenario, descriptors=FEW_DESCRIPTORS)


class TestConnections:
    @pytest.mark.parametrize('pieces', [(), (b'POST / HTTP/1.1\r\n',), LARGE_CHUNKS[:1]])
    def test_many_connections_leave_descriptors_for_others(self, tmp_path, pieces):
        async def scenario(site):
            await site.attack(pieces, count=IDLE_CROWD)
            reply = await site.request()
            assert site.lives()
            assert site.most_descriptors <= DESCRIPTORS
            assert reply.status == 200

        play(tmp_path, scenario, descriptors=DESCRIPTORS)


class TestOtherDoors:
    @pytest.mark.parametrize(
        ('command', 'port'),
        [(ENTRY, 'readiness'), (ENTRY, 'metrics'), (('archive',), 'metrics')],
    )
    def test_a_crowd_at_another_port_stays_within_the_memory(self, tmp_path, command, port):
        async def scenario(site):
            with contextlib.suppress(TimeoutError):
                await site.attack(
                    LARGE_CHUNKS, SMALL_CHUNKS, ENDLESS_HEAD, count=3 * CROWD, port=port
                )
            assert site.lives()
            assert site.peak_kb() <= MEMORY_LIMIT_KB
            if command == ENTRY:
                assert (await site.request()).status == 200

        play(tmp_path, scenario, *command)
