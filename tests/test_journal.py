"""Fencing of a journal, deletion of old journals, and eviction of idle programs."""

import asyncio

import pytest
from attrs import evolve

from toucanlead_core.codec import from_json
from toucanlead_core.messages import Message
from toucanlead_entry.kv_records import SlotRecord, journal_prefix
from toucanlead_kv.kv import Compare, Delete, Put
from toucanlead_standins.kv_model import KvModel
from toucanlead_standins.network import Place, SimulatedNetwork, SimulatedProcess
from toucanlead_standins.network_clients import SimulatedStoreClient
from toucanlead_standins.virtual_loop import run_virtual
from toucanlead_trials.caller import Replayer
from toucanlead_trials.fault_matrix import concurrent_programs, victim_program
from toucanlead_trials.virtual_site import ENTRY_PLACES, VirtualEntryClient, VirtualSite

INCARNATION_KEY = 'incarnations/a.1'


async def append_across_a_pause(seal, append):
    """Pause a holder during an append, seal its journal meanwhile, and finish the append."""
    kv = KvModel(asyncio.get_running_loop().time)
    place = Place('r', 'z')
    holder, service = SimulatedProcess('a', place), SimulatedProcess('kv', place)
    store = SimulatedStoreClient(SimulatedNetwork(), holder, service, kv)
    kv.txn([], [Put(INCARNATION_KEY, b'open')])
    guard_rev = kv.get(INCARNATION_KEY).mod_rev
    holder.pause()
    appending = asyncio.ensure_future(append(store, guard_rev))
    await asyncio.sleep(1.0)
    seal(kv)
    holder.resume()
    return await appending


class TestFence:
    def test_a_sealed_incarnation_stays_closed_after_clean_up(self):
        def seal(kv):
            kv.txn([], [Put(INCARNATION_KEY, b'sealed')])
            kv.txn([], [Delete('journal/a.1/00000000'), Delete(INCARNATION_KEY)])

        async def append(store, guard_rev):
            compares = [Compare('journal/a.1/00000000', 0), Compare(INCARNATION_KEY, guard_rev)]
            return await store.txn(compares, [Put('journal/a.1/00000000', b'late')])

        assert not run_virtual(append_across_a_pause(seal, append)).succeeded

    def test_a_seal_at_the_next_index_would_not_survive_clean_up(self):
        """A seal stored in the journal is deleted with its segments, so a late append succeeds."""

        def seal(kv):
            kv.txn([Compare('journal/a.1/00000000', 0)], [Put('journal/a.1/00000000', b'seal')])
            kv.txn([], [Delete('journal/a.1/00000000')])

        async def append(store, guard_rev):
            compares = [Compare('journal/a.1/00000000', 0)]
            return await store.txn(compares, [Put('journal/a.1/00000000', b'late')])

        assert run_virtual(append_across_a_pause(seal, append)).succeeded


class TestCleanUp:
    def test_journals_of_dead_holders_are_deleted_once_their_programs_are_saved(self):
        async def scenario():
            site = VirtualSite()
            await site.start()
            replayer = Replayer(VirtualEntryClient(site), site.recorder, 1.0)
            replaying = asyncio.ensure_future(replayer.play(concurrent_programs()))
            await asyncio.sleep(1.0)
            owners = {from_json(e.value, SlotRecord).holder for e in site.kv.scan('slots/')}
            dead = sorted(owners)[0]
            site.kill(dead.rpartition('.')[0])
            await replaying
            await asyncio.sleep(20.0)
            remaining = site.kv.scan(journal_prefix(dead))
            lineages = [from_json(e.value, SlotRecord).lineage for e in site.kv.scan('slots/')]
            await site.stop()
            return remaining, lineages, dead, replayer.report

        remaining, lineages, dead, report = run_virtual(scenario())
        assert remaining == []
        assert all(dead not in lineage for lineage in lineages)
        assert report.unexpected == []

    def test_idle_programs_are_evicted_and_loaded_again_on_demand(self):
        async def scenario():

            from toucanlead_trials.virtual_site import VirtualEntryClient

            site = VirtualSite()
            site.intervals.idle_evict_s = 5.0
            await site.start()
            client = VirtualEntryClient(site)
            program = evolve(victim_program(600), deadline_s=3600.0)
            site.recorder.program_opened(program.name, program.name, 600)
            opened = await client.open(program, None)
            program_id = opened.document['program_id']
            first = await client.call(program.team, program_id, 1, program.calls[0])
            site.recorder.answer_expected(program.name, 1, first.document['content'])
            site.recorder.call_answered(program.name, 1, first.document['content'])
            await asyncio.sleep(30.0)
            in_memory = [
                program_id in r.entry.slot_manager.owner.ledger.programs
                for r in site.entries.values()
            ]
            second = [Message('user', f'#{program.name}/2~12 and now')]
            call = evolve(program.calls[2], messages=second)
            again = await client.call(program.team, program_id, 2, call)
            await site.stop()
            return in_memory, again, site.recorder.violations()

        in_memory, again, violations = run_virtual(scenario())
        assert in_memory == [False, False, False]
        assert not again.refused, again
        assert violations == []


class TestTakeover:
    @pytest.mark.parametrize('seed', [1, 2, 3])
    def test_maintenance_during_a_takeover_loses_no_turn(self, seed):
        """Slots are claimed one after another, and maintenance runs in between."""
        first, second = list(ENTRY_PLACES)[:2]

        async def play(client, program):
            opened = await client.open(program, None)
            program_id = opened.document['program_id']
            for seq, call in enumerate(program.calls, 1):
                reply = await client.call(program.team, program_id, seq, call)
                assert not reply.refused, reply
            return program_id

        async def maintain(entry):
            while True:
                await entry._maintain()
                await asyncio.sleep(0.001)

        async def scenario():
            site = VirtualSite(seed=seed, places={n: ENTRY_PLACES[n] for n in (first, second)})
            await site.start()
            client = VirtualEntryClient(site)
            programs = [
                evolve(program, name=f'program-{number}', calls=program.calls[:2])
                for number in range(24)
                for program in [evolve(concurrent_programs()[0], start_s=0.0)]
            ]
            ids = await asyncio.gather(*(play(client, program) for program in programs))
            site.kill(first)
            maintaining = asyncio.ensure_future(maintain(site.entries[second].entry))
            await asyncio.sleep(8.0)
            maintaining.cancel()
            await asyncio.gather(maintaining, return_exceptions=True)
            site.kill(second)
            await site.start_entry(first)
            await asyncio.sleep(30.0)
            lost = []
            for program, program_id in zip(programs, ids):
                for seq in (1, 2):
                    reply = await client.fetch(program.team, program_id, seq)
                    if reply.refused:
                        lost.append((program_id, seq, reply.document))
            await site.stop()
            return lost

        assert run_virtual(scenario()) == []
