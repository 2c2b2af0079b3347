"""Administration by operators' commands and HTTP: configuration, doubts, programs."""

import asyncio
import io
import tempfile

import orjson

from toucanlead.core import main
from toucanlead.environment import Environment
from toucanlead.status import ExitStatus
from toucanlead_entry.auth import key_digest
from toucanlead_trials.rollout import RolloutFault, measure_rollout
from toucanlead_trials.site import team_key

from .utils.command import CommandResult
from .utils.site import MODEL, Caller, with_site


async def run_command(caller, *args, key='operator-key', entry=0):
    """Run an operators' command against one entry of the site."""
    out, err = io.StringIO(), io.StringIO()
    server = f'127.0.0.1:{caller.site.daemons[entry].admin_port}'
    variables = {'TOUCANLEAD_SERVER': server, 'TOUCANLEAD_KEY': key}
    env = Environment(out, err, variables=variables)
    status = await asyncio.to_thread(main, list(args), env)
    return CommandResult(status, out.getvalue(), err.getvalue())


class TestPresets:
    @with_site()
    async def test_put_activate_wait_history_diff(self, caller):
        with tempfile.NamedTemporaryFile('w', suffix='.toml') as file:
            file.write('admit_queue_s = 3.5\n')
            file.flush()
            put = await run_command(caller, 'preset', 'put', 'peak', '--file', file.name)
        assert put.stdout == 'revision 1 accepted\n', put
        active = await run_command(caller, 'preset', 'activate', 'peak', '--wait', entry=1)
        assert active.status == ExitStatus.SUCCESS, active
        assert 'in force at 2 of 2 entries' in active.stderr
        for daemon in caller.site.daemons:
            assert daemon.entry.ctx.preset.admit_queue_s == 3.5
            assert daemon.entry.ctx.preset.name == 'peak'
        listed = await run_command(caller, 'preset', 'list')
        assert '* peak' in listed.stdout
        history = await run_command(caller, 'preset', 'history')
        assert 'activate preset peak' in history.stdout
        diff = await run_command(caller, 'preset', 'diff', '1..2')
        assert 'preset in force' in diff.stdout

    @with_site()
    async def test_the_loser_of_a_race_sees_the_difference(self, caller):
        first = await caller.admin('PUT', '/admin/presets/a', {'attempts': 5})
        assert first.status == 200
        status, text = await self._put_on_revision_0(caller)
        assert status == 412
        assert 'preset/a' in text

    async def _put_on_revision_0(self, caller):
        url = f'http://127.0.0.1:{caller.site.daemons[1].admin_port}/admin/presets/b'
        headers = {'Authorization': 'Bearer operator-key', 'If-Match': '"0"'}
        async with caller.site.session.put(url, json={}, headers=headers) as resp:
            return resp.status, await resp.text()

    @with_site()
    async def test_operators_racing_without_a_base_all_take_effect_in_some_order(self, caller):
        changes = [
            Caller(caller.site, entry=n % 2).admin('PUT', f'/admin/presets/p{n}', {})
            for n in range(6)
        ]
        replies = await asyncio.gather(*changes)
        accepted = [r['revision'] for r in replies if r.status == 200]
        assert len(set(accepted)) == len(accepted)
        assert all(r.status in (200, 412) for r in replies)

    @with_site()
    async def test_a_wrong_preset_is_refused_and_nothing_changes(self, caller):
        for body in ({'attempts': 0}, {'colour': 'red'}, {'candidates': 'many'}, [1]):
            reply = await caller.admin('PUT', '/admin/presets/bad', body)
            assert reply.status == 400, body
        missing = await caller.admin('POST', '/admin/presets/nobody/activate')
        assert missing.status == 400
        listed = await caller.admin('GET', '/admin/presets')
        assert listed['presets'] == ['ordinary']


class TestRollout:
    def test_in_force_everywhere_within_the_targets_13_s(self):
        for fault in RolloutFault:
            result = measure_rollout(60, fault)
            assert result.max_s <= 13.0, result
            assert result.reverted == 0

    def test_an_entry_that_restarts_without_the_service_learns_from_peers(self):
        result = measure_rollout(12, RolloutFault.KV_DOWN)
        assert result.max_s <= 13.0


class TestTeams:
    @with_site()
    async def test_a_new_team_and_a_key_rotation_without_a_gap(self, caller):
        old, new = 'first-key', 'second-key'
        team = Caller(caller.site, 'newcomers')

        async def open_with(key):
            body = {'model': MODEL, 'budget': 50}
            return (await team.request('POST', '/v1/programs', body, key=key)).status

        assert await open_with(old) == 401
        await caller.admin('PUT', '/admin/teams/newcomers', {'key_digests': [key_digest(old)]})
        assert await open_with(old) == 201
        both = {'key_digests': [key_digest(old), key_digest(new)]}
        await caller.admin('PUT', '/admin/teams/newcomers', both)
        assert await open_with(old) == await open_with(new) == 201
        await caller.admin('PUT', '/admin/teams/newcomers', {'key_digests': [key_digest(new)]})
        assert await open_with(old) == 401
        assert await open_with(new) == 201


class TestDrain:
    @with_site()
    async def test_a_drained_backend_server_gets_nothing_new(self, caller):
        site = caller.site
        name = site.engines[0].name
        replica = site.daemons[0].entry.ctx.fleet.replicas[name]
        drained = await run_command(caller, 'drain', replica.address, '--wait')
        assert drained.status == ExitStatus.SUCCESS, drained
        await asyncio.sleep(0.2)
        for number in range(6):
            program = await caller.open(key=f'k{number}')
            answer = await caller.call_model(program, 1)
            assert answer['replica'] != name
        lifted = await run_command(caller, 'drain', replica.address, '--lift', '--wait')
        assert lifted.status == ExitStatus.SUCCESS


class TestDoubts:
    @with_site()
    async def test_list_and_resolve(self, caller):
        caller.site.tools.reports_outcomes = False
        program = await caller.open()
        caller.site.tools.faults.lose_answer = True
        lost = await caller.call_tool(program, 1, 'charge')
        assert (lost['reason'], lost['ran']) == ('in_doubt', 'unknown')
        again = await caller.call_tool(program, 1, 'charge')
        assert (again['reason'], again['ran']) == ('in_doubt', 'unknown')
        listed = await run_command(caller, 'doubt', 'list')
        assert program in listed.stdout
        assert 'charge' in listed.stdout
        settled = await run_command(
            caller, 'doubt', 'resolve', program, '1', '--ran', 'yes', '--content', 'paid'
        )
        assert settled.status == ExitStatus.SUCCESS, settled
        answer = await caller.call_tool(program, 1, 'charge')
        assert answer['content'] == 'paid'
        assert caller.site.recorder.counts()['doubled_effect'] == 0

    @with_site()
    async def test_a_doubt_ends_by_itself_when_the_tool_knows_the_outcome(self, caller):
        program = await caller.open()
        caller.site.tools.faults.lose_answer = True
        answer = await caller.call_tool(program, 1, 'charge')
        assert answer['content'] == f'@{program}/1 charge done'


class TestStatus:
    @with_site()
    async def test_status_shows_an_entry(self, caller):
        result = await run_command(caller, 'status')
        assert result.status == ExitStatus.SUCCESS
        for word in ('centro-1', 'preset', 'config_age_s', 'replica', 'flama-llm-0'):
            assert word in result.stdout

    @with_site()
    async def test_keys_and_roles(self, caller):
        refused = await run_command(caller, 'status', key=team_key(caller.team))
        assert refused.status == ExitStatus.REFUSED
        assert 'forbidden' in refused.stderr
        assert (await run_command(caller, 'status', key='')).status == ExitStatus.REFUSED
        address = caller.site.caller_addresses[0]
        async with caller.site.session.get(f'http://{address}/admin/status') as resp:
            assert resp.status == 404  # not served on the callers' port

    @with_site()
    async def test_programs_are_shown_and_ended(self, caller):
        program = await caller.open()
        shown = await run_command(caller, 'program', 'show', caller.team, program)
        assert orjson.loads(shown.stdout)['program_id'] == program
        ended = await run_command(caller, 'program', 'end', caller.team, program)
        assert orjson.loads(ended.stdout)['ended'] is True
