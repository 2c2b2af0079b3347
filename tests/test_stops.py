"""Planned stops, handovers and replacements of entries interrupt and lose no call."""

import asyncio
import json
import signal
import sys

import aiohttp
from attrs import evolve

from toucanlead_core.codec import to_json
from toucanlead_core.errors import ExecutionStatus, Refusal
from toucanlead_core.ids import slot_of_program
from toucanlead_entry.context import Intervals
from toucanlead_peer.messages import ForwardReq, Operation
from toucanlead_policy.preset import Preset
from toucanlead_standins.virtual_loop import run_virtual
from toucanlead_trials.caller import HttpEntryClient, Replayer
from toucanlead_trials.fault_matrix import concurrent_programs, victim_program
from toucanlead_trials.site import Site, team_key
from toucanlead_trials.virtual_site import SLOTS, VirtualEntryClient, VirtualSite
from toucanlead_trials.workload import FLAMAVIVA, make_programs

from .utils.site import FULL_PLAN, ONE_REGION_PLAN, TEAM, EntryPlace, with_site

# Long periods, so that an hour of virtual time takes few steps.
SLOW_INTERVALS = Intervals(
    lease_ttl_s=60,
    reconcile_s=5.0,
    forward_wait_s=12.0,
    load_poll_s=30.0,
    sweep_s=30.0,
    doubt_poll_s=30.0,
    tail_sweep_s=30.0,
    probe_s=30.0,
    vm_list_s=30.0,
    config_poll_s=30.0,
    rescan_s=30.0,
)


class TestSafeStop:
    @with_site()
    async def test_a_stop_lets_a_running_call_finish_and_hands_programs_over(self, caller):
        program = await caller.open(budget=100_000)
        first, second = caller.site.daemons
        running = asyncio.create_task(caller.call_model(program, 1, tokens=400, max_tokens=400))
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(first.entry.stop())
        answer = await running
        assert answer['output_tokens'] == 400
        await stopping
        caller.entry = 1
        async with asyncio.timeout(2.0):
            while second.entry.slot_manager.owned != set(range(16)):
                await asyncio.sleep(0.02)
        assert (await caller.call_model(program, 2)).status == 200
        view = await caller.request('GET', f'/v1/programs/{program}')
        assert view['turns'] == 2

    @with_site()
    async def test_slots_spread_to_an_entry_that_joins(self, caller):
        async with asyncio.timeout(20):
            while not all(3 <= len(d.entry.slot_manager.owned) <= 13 for d in caller.site.daemons):
                await asyncio.sleep(0.1)

    @with_site(plan=FULL_PLAN)
    async def test_an_entry_far_from_the_replicas_leaves_slots_to_nearer_ones(self, caller):
        """Guards against a far entry that claims all slots because it starts first.

        Whole prompts then crossed the link.
        """
        far, *near = caller.site.daemons
        assert far.entry.slot_manager.owned == set()
        assert set().union(*(d.entry.slot_manager.owned for d in near)) == set(range(16))

    def test_rolling_replacement_of_every_entry_under_load_fails_no_request(self):
        async def scenario():
            site = Site(ONE_REGION_PLAN)
            await site.start(Preset(), Intervals())
            client = _ReadyEntriesClient(site)
            programs = make_programs(FLAMAVIVA, 25, 7, rate_per_s=0.2)
            replayer = Replayer(client, site.recorder, 0.02)
            replaying = asyncio.create_task(replayer.play(programs))
            for number in range(2):
                await asyncio.sleep(0.5)
                old = site.daemons[0]
                place = EntryPlace(f'new-{number}', 'centro-a', 'centro')
                await site.start_entry(place, Preset(), Intervals())
                site.daemons.remove(old)
                await old.stop()
            await replaying
            await site.stop()
            return replayer.report, site.recorder.violations()

        report, violations = asyncio.run(scenario())
        assert violations == []
        assert report.unexpected == []
        assert report.completed == report.programs
        assert report.retries == 0


class TestConnectionsOfAStop:
    """The native API's connections, each in another state when the daemon stops."""

    def head(self, program, body):
        return (
            f'POST /v1/programs/{program}/calls HTTP/1.1\r\nHost: h\r\n'
            f'Authorization: Bearer {team_key(TEAM)}\r\nContent-Length: {len(body)}\r\n\r\n'
        ).encode()

    def body(self, program, seq, tokens):
        message = {'role': 'user', 'content': f'#{program}/{seq}~{tokens} yellow'}
        call = {'seq': seq, 'kind': 'model', 'messages': [message], 'max_tokens': 400}
        return json.dumps(call).encode()

    async def read_answers(self, reader, seconds):
        """Return the status of each answer until the connection ends."""
        received = b''
        async with asyncio.timeout(seconds):
            while data := await reader.read(65_536):
                received += data
        return [int(part[:3]) for part in received.split(b'HTTP/1.1 ')[1:]]

    @with_site()
    async def test_an_idle_connection_is_closed_and_a_running_call_answered(self, caller):
        program = await caller.open(budget=100_000)
        first = caller.site.daemons[0]
        host, port = caller.site.caller_addresses[0].split(':')
        idle, _ = await asyncio.open_connection(host, int(port))
        reader, writer = await asyncio.open_connection(host, int(port))
        body = self.body(program, 1, 300)
        writer.write(self.head(program, body) + body)
        await asyncio.sleep(0.2)
        stopping = asyncio.ensure_future(first.stop())
        assert await self.read_answers(reader, 10.0) == [200]
        assert await self.read_answers(idle, 10.0) == []
        await stopping
        caller.site.daemons.remove(first)

    @with_site()
    async def test_a_call_whose_body_is_still_coming_is_answered(self, caller):
        program = await caller.open(budget=100_000)
        first = caller.site.daemons[0]
        host, port = caller.site.caller_addresses[0].split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        body = self.body(program, 1, 8)
        writer.write(self.head(program, body) + body[:20])
        await asyncio.sleep(0.2)
        stopping = asyncio.ensure_future(first.stop())
        await asyncio.sleep(1.0)
        writer.write(body[20:])
        assert await self.read_answers(reader, 10.0) in ([200], [503])
        await stopping
        caller.site.daemons.remove(first)


class _ReadyEntriesClient(HttpEntryClient):
    """Sends requests to the entries that are ready, as a load balancer does."""

    def __init__(self, site):
        super().__init__(site.session, [], team_key)
        self._site = site

    async def _request(self, *args, **kwargs):
        ready = [d for d in self._site.daemons if d.entry is not None and d.entry.ready]
        self._addresses = [f'127.0.0.1:{daemon.port}' for daemon in ready]
        return await super()._request(*args, **kwargs)


class TestHandOver:
    def test_a_slow_hand_over_lets_no_call_run_at_the_old_owner(self):
        """Guards against a call that the old owner runs once its wait for the handover times out.

        It is in no checkpoint that the new owner loads, so an answered call was lost.
        """

        async def scenario():
            site = VirtualSite()
            await site.start()
            client = VirtualEntryClient(site)
            program = victim_program(600)
            site.recorder.program_opened(program.name, program.name, 600)
            opened = await client.open(program, None)
            program_id = opened.document['program_id']
            slot = slot_of_program(program_id, SLOTS)
            owners = [r.entry for r in site.entries.values() if slot in r.entry.slot_manager.owned]
            owners[0].local_service.block_slot(slot)
            body = to_json(program.calls[0].request(1))
            req = ForwardReq(Operation.CALL, program.team, program_id, 1, body)
            refused = None
            try:
                async for _ in owners[0].gateway.request(req):
                    pass
            except Refusal as refusal:
                refused = refusal
            turns = len(owners[0].slot_manager.owner.ledger.programs[program_id].turns)
            await site.stop()
            return refused, turns

        refused, turns = run_virtual(scenario())
        assert refused is not None and refused.ran is ExecutionStatus.NOT_RUN
        assert turns == 0


class TestProcess:
    """The `toucanlead entry` command, run as an operator runs it."""

    def test_sigterm_stops_an_entry_safely_with_status_0(self, tmp_path):
        async def scenario():
            site = Site(ONE_REGION_PLAN)
            await site.start(Preset(), Intervals())
            text = _settings_text(site)
            config = tmp_path / 'entry.toml'
            config.write_text(text)
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'toucanlead',
                'entry',
                '--config',
                str(config),
                stdout=asyncio.subprocess.PIPE,
            )
            try:
                port = await asyncio.wait_for(_port_of(process), 15)
                url = f'http://127.0.0.1:{port}/readyz'
                async with aiohttp.ClientSession() as session, session.get(url) as resp:
                    assert resp.status == 200
                process.send_signal(signal.SIGTERM)
                return await asyncio.wait_for(process.wait(), 20)
            finally:
                if process.returncode is None:
                    process.kill()
                await site.stop()

        assert asyncio.run(scenario()) == 0


async def _port_of(process):
    async for line in process.stdout:
        if b'event=entry_started' in line:
            return line.decode().split(' port=')[1].split()[0]
    raise AssertionError('the entry did not start')


def _settings_text(site):
    kv = site.settings_for(ONE_REGION_PLAN.entries[0], Preset()).platform.key_value
    return '\n'.join(
        [
            '[entry]',
            "name = 'outside-1'",
            "zone = 'centro-a'",
            "region = 'centro'",
            'port = 0',
            'peer_port = 0',
            'admin_port = 0',
            'slots = 16',
            '[platform]',
            f'key_value = {json.dumps(kv)}',
        ]
    )


class TestKeyValueOutage:
    """The key-value service cannot be reached for an hour."""

    def test_model_calls_continue_and_claims_are_refused_as_not_run(self):
        async def scenario():
            site = VirtualSite(intervals=SLOW_INTERVALS)
            await site.start()
            client = VirtualEntryClient(site)
            program = evolve(victim_program(600), deadline_s=7200.0)
            opened = await client.open(program, None)
            program_id = opened.document['program_id']
            site.recorder.program_opened(program.name, program.name, 600)
            assert not (await client.call(program.team, program_id, 1, program.calls[0])).refused
            site.kv.down = True
            await asyncio.sleep(3600.0)
            booked = await client.call(program.team, program_id, 2, program.calls[1])
            model = await client.call(program.team, program_id, 2, program.calls[2])
            new = await client.open(concurrent_programs()[0], None)
            site.kv.down = False
            await asyncio.sleep(120.0)
            programs = [
                r.entry.slot_manager.owner.ledger.programs.get(program_id)
                for r in site.entries.values()
                if r.entry.slot_manager.owner is not None
            ]
            turns = [len(p.turns) for p in programs if p is not None]
            await site.stop()
            return booked.document, model.document, new.document, turns

        booked, model, new, turns = run_virtual(scenario())
        assert (booked['reason'], booked['ran']) == ('platform_down', 'not_run')
        assert model['durability'] == 'zone'
        assert new['reason'] == 'platform_down'
        assert turns == [2]
