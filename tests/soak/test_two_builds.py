"""The last landing and this code side by side, as real processes on loopback."""

import asyncio
import io
import subprocess
import tarfile
from pathlib import Path

import orjson
import pytest

from toucanlead_kv.kv import Put
from toucanlead_platform_standins.caller import Caller
from toucanlead_platform_standins.site import configuration, team

from .test_soak import Soak, subnet

LAST_LANDING = '3bd3a63'
BUILD_NETS = 240  # addresses of their own: listeners of test_soak.py close late
ROOT = Path(__file__).parents[2]
CALLERS = 12
LONGEST_S = 60.0  # for all replacements
SETTLE_S = 1.0  # calls before the first and after the last replacement
TEAMS = (team('schools', 'key-schools-1'), team('library', 'key-library-1'))


@pytest.fixture(scope='module')
def last_landing(tmp_path_factory):
    """Return a folder with the code of the last landing."""
    archived = subprocess.run(
        ['git', 'archive', LAST_LANDING, 'libs', 'platform'],
        cwd=ROOT,
        check=True,
        capture_output=True,
    )
    folder = tmp_path_factory.mktemp('last-landing')
    with tarfile.open(fileobj=io.BytesIO(archived.stdout)) as tar:
        tar.extractall(folder, filter='data')
    return folder


class Replacement(Soak):
    """Callers go on while the processes are replaced, one of each kind at a time."""

    def __init__(self, folder, seed, before, after):
        super().__init__(folder, seed)
        self.net = subnet(seed + BUILD_NETS)
        self.before, self.after = before, after

    def _add(self, vm, command, seeds):
        super()._add(vm, command, seeds)
        self.processes[-1].build = self.before
        self.processes[-1].extra_settings = ''  # the last landing has no limits

    async def replace_all(self):
        """Call, and replace the processes meanwhile; then all serve the newest configuration."""
        loop = asyncio.get_running_loop()
        end = loop.time() + LONGEST_S
        callers = [asyncio.ensure_future(self._call(number, end)) for number in range(CALLERS)]
        await asyncio.sleep(SETTLE_S)
        archives = [process for process in self.processes if process not in self.entries]
        for pair in zip(self.entries, archives, strict=True):
            for process in pair:
                process.build = self.after
            await asyncio.gather(*(process.stop_and_start(self.rng) for process in pair))
            while not all(process.has_started() for process in pair):
                await asyncio.sleep(0.1)
            await asyncio.sleep(SETTLE_S)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await self._await_newest_configuration()


class OldArchives(Soak):
    """Entries of this code, teams, and archives of the last landing."""

    def __init__(self, folder, seed, build):
        super().__init__(folder, seed)
        self.net = subnet(seed + BUILD_NETS)
        self.build = build

    def _add(self, vm, command, seeds):
        super()._add(vm, command, seeds)
        if command[0] == 'archive':
            self.processes[-1].build = self.build

    async def list_teams(self):
        """List teams in the configuration, and wait until all entries ask for keys."""
        document = configuration(100, teams=TEAMS)
        self.log.teams.add_keys(document)
        self.service.model.txn([], [Put('op/config', orjson.dumps(document))])
        for process in self.entries:
            while (await Caller('no-key').lookup(process.vm)).status != 401:
                await asyncio.sleep(0.1)


def play(soak, scenario):
    async def run():
        try:
            await soak.start()
            await scenario()
        finally:
            await soak.end()

    asyncio.run(run())


class TestTwoBuilds:
    @pytest.mark.parametrize('back', [False, True], ids=['upgrade', 'return'])
    def test_promises_hold_while_one_build_replaces_the_other(self, tmp_path, last_landing, back):
        before, after = (None, last_landing) if back else (last_landing, None)
        soak = Replacement(tmp_path, 2 if back else 1, before, after)
        play(soak, soak.replace_all)
        soak.check()
        assert len(soak.chains) > 10
        for process in soak.entries:
            applied = process.log_lines('configuration_in_force')
            of_this_build = {'teams=' in line for line in applied}  # the last landing knows none
            assert of_this_build == {False, True}

    def test_turns_of_teams_go_on_with_archives_of_the_last_landing(self, tmp_path, last_landing):
        soak = OldArchives(tmp_path, 3, last_landing)

        async def scenario():
            await soak.list_teams()
            caller = Caller(key='key-schools-1', team='schools')
            first, second, third = soak.entries
            reply = await caller.turn(first.vm)
            for process in (second, third, first):
                assert reply.succeeded, (reply.status, reply.body)
                reply = await caller.turn(process.vm, previous=reply.ident)
            assert reply.succeeded
            await first.kill_and_start(soak.rng)
            while not first.has_started() or not (await caller.lookup(first.vm)).succeeded:
                await asyncio.sleep(0.1)
            assert (await caller.turn(first.vm, previous=reply.ident)).succeeded
            assert not soak.log.teams.broken

        play(soak, scenario)
