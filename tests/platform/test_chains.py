"""Tests that a chain of turns is kept for as long as its newest turn."""

import asyncio
import tempfile
from pathlib import Path

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from toucanlead_archive.archive import Archive
from toucanlead_archive.store import TurnStore
from toucanlead_peer.serving_interfaces import Turn

from .site import (
    ARCHIVE_1,
    ARCHIVE_2,
    ARCHIVE_3,
    ENTRY_1,
    ENTRY_2,
    ENTRY_3,
    with_platform_site,
)

PAUSE_S = 33.0  # two of them are longer than the retention of the site's routes
RETENTION_S = 60.0


def turn(ident, previous='', keep_s=RETENTION_S, size=10):
    return Turn(ident, previous, b'i' * size, b'', keep_s, ('own',))


def open_store(folder, clock=lambda: 0.0, limit_bytes=1_000_000):
    store = TurnStore(folder, limit_bytes, lambda: 'own', clock)
    store.open()
    return store


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


class StoreMachine(RuleBasedStateMachine):
    """A store keeps exactly the turns that a model with all turns in a tree keeps."""

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.folder = None
        self.expiry = {}  # by turn, the end of its own retention
        self.previous = {}
        self._open()

    def _open(self):
        if self.folder is None:
            self.folder = tempfile.TemporaryDirectory(prefix='toucanlead-chains-')
        self.store = open_store(Path(self.folder.name), self.clock)

    def teardown(self):
        self.store.close()
        self.folder.cleanup()

    def is_kept(self, ident):
        """Return whether a turn or one of those that continue it has not expired."""
        if ident not in self.expiry:
            return False
        if self.expiry[ident] > self.clock.now:
            return True
        return any(self.is_kept(later) for later, prev in self.previous.items() if prev == ident)

    def forget(self):
        for ident in [ident for ident in self.expiry if not self.is_kept(ident)]:
            del self.expiry[ident], self.previous[ident]

    @rule(number=st.integers(0, 12), before=st.integers(0, 12), keep_s=st.integers(1, 60))
    def write(self, number, before, keep_s):
        """Turns come in any order, and some name one that is not held."""
        previous = f't{before}' if before < number else ''
        self.store.write([turn(f't{number}', previous, keep_s)])
        self.forget()
        if f't{number}' not in self.expiry:
            self.expiry[f't{number}'] = self.clock.now + keep_s
            self.previous[f't{number}'] = previous

    @rule(seconds=st.integers(1, 40))
    def wait(self, seconds):
        self.clock.now += seconds

    @rule()
    def drop_expired(self):
        self.store.drop_expired()

    @invariant()
    def holds_what_the_model_keeps(self):
        for number in range(13):
            ident = f't{number}'
            assert (self.store.read(ident) is not None) == self.is_kept(ident)
        self.forget()
        assert set(self.store.turns_by_id) == set(self.expiry)
        assert self.store.used_bytes == sum(t.size for t in self.store.turns_by_id.values())

    @invariant()
    def names_the_nearest_turn_that_is_missing(self):
        for ident in self.expiry:
            nearest = self.previous[ident]
            while nearest in self.expiry:
                nearest = self.previous[nearest]
            assert self.store.missing_predecessor(ident) == nearest


TestStoreMachine = StoreMachine.TestCase
TestStoreMachine.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)


class TestStore:
    def test_a_restart_begins_the_clock_of_a_whole_chain_anew(self, tmp_path):
        clock = Clock()
        store = open_store(tmp_path, clock)
        store.write([turn('t1')])
        clock.now = 50.0
        store.write([turn('t2', 't1')])
        store.close()
        clock.now = 100.0
        store = open_store(tmp_path, clock)
        clock.now = 159.0
        assert store.read('t1') is not None
        clock.now = 161.0
        assert store.read('t1') is None

    def test_turns_that_continue_each_other_expire_all_the_same(self, tmp_path):
        """Guards against ids that a caller uses again: a cycle would stay for ever."""
        clock = Clock()
        store = open_store(tmp_path, clock)
        store.write([turn('t2', 't1'), turn('t1', 't2'), turn('t3', 't3')])
        assert store.missing_predecessor('t2') == ''
        assert store.remaining_s('t1') == RETENTION_S
        clock.now = 61.0
        store.drop_expired()
        assert not store.turns_by_id

    def test_a_turn_costs_one_sync_however_long_its_chain_is(self, tmp_path):
        clock = Clock()
        store = open_store(tmp_path, clock)
        store.write([turn('t0')])
        costs = []
        for number in range(1, 400):
            clock.now += 5.0
            statements = []
            store._db.set_trace_callback(statements.append)
            store.write([turn(f't{number}', f't{number - 1}')])
            store._db.set_trace_callback(None)
            commits = sum(statement == 'COMMIT' for statement in statements)
            costs.append((commits, len(statements)))
        assert set(costs) == {(1, 3)}
        assert store.read('t0') is not None
        assert store.missing_predecessor('t399') == ''

    def test_a_chain_goes_as_soon_as_its_newest_turn_has_expired(self, tmp_path):
        clock = Clock()
        store = open_store(tmp_path, clock)
        store.write([turn('t0')])
        for number in range(1, 300):
            clock.now += 30.0
            store.write([turn(f't{number}', f't{number - 1}')])
        clock.now += RETENTION_S - 0.001
        assert store.read('t0') is not None
        clock.now += 0.001
        assert store.read('t0') is None
        assert not store.turns_by_id


class TestArchive:
    def test_it_names_what_it_misses_of_a_chain(self, tmp_path):
        async def scenario():
            archive = Archive(open_store(tmp_path))
            assert (await archive.put(turn('t3', 't2'))).missing == ('t2',)
            assert (await archive.copy([turn('t2', 't1')])).missing == ('t1',)
            assert (await archive.put(turn('t4', 't3'))).missing == ('t1',)
            assert (await archive.copy([turn('t1')])).missing == ()
            assert (await archive.put(turn('t5', 't4'))).missing == ()

        asyncio.run(scenario())


async def converse(site, caller, entries, pause_s=PAUSE_S):
    """Make a turn through each entry in turn; return the replies, each of which continues."""
    replies = []
    for entry in entries:
        if replies:
            await asyncio.sleep(pause_s)
        previous = replies[-1].ident if replies else None
        replies.append(await caller.turn(entry, previous=previous))
    return replies


class TestChainLongerThanTheRetention:
    @with_platform_site()
    async def test_a_conversation_with_two_long_pauses_goes_on_in_another_zone(self, site, caller):
        """Guards against the loss of a chain's first turns while its newest is kept (LOST)."""
        caller.budget = 100_000
        replies = await converse(site, caller, [ENTRY_1, ENTRY_1, ENTRY_2])
        assert [reply.status for reply in replies] == [200, 200, 200]
        assert site.log.runs_of(replies[-1].ident)[0].body.count(b'hello') == 3

    @with_platform_site()
    async def test_it_goes_on_in_another_region_and_after_restarts(self, site, caller):
        caller.budget = 100_000
        replies = await converse(site, caller, [ENTRY_1, ENTRY_3, ENTRY_2])
        for vm in (ENTRY_1, ENTRY_2, ENTRY_3):
            site.network.kill(vm.ip)
            await site.start_entry(vm)
        await site.wait_until(lambda: all(e.is_ready() for e in site.entries.values()))
        await asyncio.sleep(PAUSE_S)
        last = await caller.turn(ENTRY_3, previous=replies[-1].ident)
        assert last.status == 200
        assert site.log.runs_of(last.ident)[0].body.count(b'hello') == 4

    @with_platform_site()
    async def test_a_branch_keeps_the_beginning_that_it_shares(self, site, caller):
        caller.budget = 100_000
        trunk = await converse(site, caller, [ENTRY_1, ENTRY_1])
        helper = type(caller)(program='p2', session='l2', budget=100_000)
        branch = await helper.turn(ENTRY_2, previous=trunk[-1].ident)
        for _ in range(3):
            await asyncio.sleep(PAUSE_S)
            branch = await helper.turn(ENTRY_2, previous=branch.ident)
            assert branch.status == 200
        fetched = await helper.turn(ENTRY_3, previous=branch.ident)
        assert fetched.status == 200
        assert site.log.runs_of(fetched.ident)[0].body.count(b'hello') == 7

    @with_platform_site()
    async def test_its_end_is_known_to_the_second(self, site, caller):
        caller.budget = 100_000
        replies = await converse(site, caller, [ENTRY_1, ENTRY_1])
        await asyncio.sleep(RETENTION_S + 2.0)
        late = await caller.turn(ENTRY_2, previous=replies[-1].ident)
        assert late.status == 404


class TestChainThatMoves:
    @with_platform_site()
    async def test_archives_fail_one_after_the_other(self, site, caller):
        """Each archive that takes a chain up gets the turns before, so that any two suffice."""
        caller.budget = 100_000
        previous = None
        for number, failing in enumerate((ARCHIVE_1, ARCHIVE_2, ARCHIVE_3) * 2):
            site.network.kill(failing.ip)
            site.archives[failing.name].archive.store.close()
            reply = await caller.turn(ENTRY_1, previous=previous)
            assert reply.status == 200, number
            previous = reply.ident
            await site.start_archive(failing)
            await asyncio.sleep(20.0)
        last = await caller.turn(ENTRY_2, previous=previous)
        assert last.status == 200
        assert site.log.runs_of(last.ident)[0].body.count(b'hello') == 7

    @with_platform_site()
    async def test_every_disk_is_wiped_in_turn(self, site, caller):
        caller.budget = 100_000
        replies = await converse(site, caller, [ENTRY_1, ENTRY_1, ENTRY_1], pause_s=25.0)
        for vm in (ARCHIVE_1, ARCHIVE_2, ARCHIVE_3):
            await asyncio.sleep(20.0)
            replies.append(await caller.turn(ENTRY_1, previous=replies[-1].ident))
            site.network.kill(vm.ip)
            site.archives[vm.name].archive.store.close()
            for path in (site.folder / vm.name).iterdir():
                path.unlink()
            await site.start_archive(vm)
        await asyncio.sleep(12.0)
        last = await caller.turn(ENTRY_2, previous=replies[-1].ident)
        assert last.status == 200
        assert site.log.runs_of(last.ident)[0].body.count(b'hello') == 7

    @with_platform_site()
    async def test_without_archives_the_key_value_service_holds_the_whole_chain(self, site, caller):
        caller.budget = 100_000
        replies = await converse(site, caller, [ENTRY_1, ENTRY_1], pause_s=5.0)
        for vm in (ARCHIVE_1, ARCHIVE_2, ARCHIVE_3):
            site.network.kill(vm.ip)
        replies.append(await caller.turn(ENTRY_1, previous=replies[-1].ident))
        assert replies[-1].status == 200
        last = await caller.turn(ENTRY_2, previous=replies[-1].ident)
        assert last.status in (200, 503)
        stored = site.model.scan('toucanlead/turns/')
        assert len(stored) >= 3

    @with_platform_site()
    async def test_a_turn_sends_older_turns_only_to_an_archive_that_is_new_to_the_chain(
        self, site, caller
    ):
        caller.budget = 1_000_000
        previous = None
        for _ in range(12):
            previous = (await caller.turn(ENTRY_1, previous=previous)).ident
        held = [len(a.archive.store.turns_by_id) for a in site.archives.values()]
        assert sorted(held) == [0, 12, 12]


class TestIncompleteHistory:
    @with_platform_site()
    async def test_a_turn_whose_beginning_is_gone_is_not_denied(self, site, caller):
        """Guards against a 404 for a turn that exists: only the turn itself can be unknown."""
        caller.budget = 100_000
        replies = await converse(site, caller, [ENTRY_1, ENTRY_1], pause_s=1.0)
        for process in site.archives.values():
            held = process.archive.store.turns_by_id
            if replies[0].ident in held:
                del held[replies[0].ident]
        reply = await caller.turn(ENTRY_2, previous=replies[-1].ident)
        assert reply.status == 503
