"""Turns on one disk, in a SQLite file that survives crashes and power failures."""

import contextlib
import heapq
import sqlite3
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path

import structlog
from attrs import define, field

from toucanlead_peer.serving_interfaces import Turn

log = structlog.get_logger()

PAGE_CACHE_KIB = 2048  # small, since turns are read once or twice, soon after they were written
FILE_NAME = 'turns.db'
ROW_OVERHEAD_BYTES = 200  # ids, disks and SQLite's metadata

_SCHEMA = """
create table if not exists meta (name text primary key, value text not null);
create table if not exists turns (
    ident text primary key, previous text not null, input blob not null,
    output blob not null, keep_s real not null, disks text not null);
"""
# A table of its own, since builds without teams write rows of `turns` by position.
_TEAMS_SCHEMA = """
create table if not exists turn_teams (ident text primary key, team text not null);
"""


class DiskFull(Exception):
    """The disk space for turns is used up by turns that have not expired."""


@define
class HeldTurn:
    """The metadata of a stored turn that is kept in memory.

    `expires_at` is a time of the store's clock: the end of the turn's own retention; `size`
    is in bytes, with the row overhead. `missing` is a predecessor that was not held when it
    was last looked up, empty if there was none. `team` is as in `Turn`.
    """

    previous: str
    expires_at: float
    size: int
    disks: tuple[str, ...]
    missing: str = ''
    team: str | None = None


@define
class TurnStore:
    """Stores the turns of one disk in a SQLite file.

    A turn is kept until its own retention has ended and no turn that continues it is held, so
    that a chain lives as long as its newest turn.
    `disk` is the id of the disk, and `is_new_disk` says whether `open` created that id.
    Retention is measured with a monotonic clock that does not survive a restart, so that
    turns found at a start are kept for their full retention time again.
    """

    folder: Path
    limit_bytes: int
    new_disk_id: Callable[[], str]
    clock: Callable[[], float] = time.monotonic
    disk: str = ''
    is_new_disk: bool = False
    used_bytes: int = 0
    turns_by_id: dict[str, HeldTurn] = field(factory=dict)
    _expiry: list[tuple[float, str]] = field(factory=list)
    _successors: dict[str, list[str]] = field(factory=dict)  # also of turns that are not held
    _undeleted: list[str] = field(factory=list)  # dropped turns that are still in the file
    _holds_teams: bool = False  # the file has the table of teams
    _db: sqlite3.Connection | None = None

    def open(self) -> None:
        """Open or create the file; rename a corrupt one and start with an empty file."""
        try:
            self._connect()
        except sqlite3.DatabaseError as exc:
            log.error('archive_file_unreadable', error=str(exc))
            self._rename_corrupt_files()
            self._connect()
        self._load()

    def close(self) -> None:
        """Close the file."""
        if self._db is not None:
            self._db.close()

    def write(self, turns: Iterable[Turn]) -> None:
        """Store turns durably in one transaction.

        For a turn that is already stored only the disks change. Raises DiskFull if there is
        not enough space; then no turn is stored.
        """
        turns = list(turns)
        self._expire()
        new_bytes = sum(
            t.size + ROW_OVERHEAD_BYTES for t in turns if t.ident not in self.turns_by_id
        )
        if self.used_bytes + new_bytes > self.limit_bytes:
            raise DiskFull(f'{self.used_bytes} of {self.limit_bytes} bytes are in use')
        rows = [
            (t.ident, t.previous, t.input, t.output, t.keep_s, ','.join(t.disks)) for t in turns
        ]
        with self._db:
            self._delete_dropped()
            self._db.executemany(
                'insert into turns values (?, ?, ?, ?, ?, ?)'
                ' on conflict (ident) do update set disks = excluded.disks',
                rows,
            )
            wrote_teams = self._write_teams(turns)
        self._holds_teams = self._holds_teams or wrote_teams
        self._undeleted.clear()
        for turn in turns:
            self._track(turn.ident, turn.previous, turn.keep_s, turn.size, turn.disks, turn.team)

    def update_disks(self, idents: Iterable[str], disks: tuple[str, ...]) -> int:
        """Update the disks that hold copies of turns; return how many turns are stored here."""
        known = [ident for ident in idents if ident in self.turns_by_id]
        with self._db:
            self._db.executemany(
                'update turns set disks = ? where ident = ?',
                [(','.join(disks), ident) for ident in known],
            )
        for ident in known:
            self.turns_by_id[ident].disks = disks
        return len(known)

    def read(self, ident: str) -> Turn | None:
        """Return a turn with the rest of its own retention time, or None if it is not held.

        The rest is 0 if only turns that continue it keep the turn.
        """
        self._expire()
        held = self.turns_by_id.get(ident)
        if held is None:
            return None
        row = self._db.execute(
            'select previous, input, output from turns where ident = ?', (ident,)
        ).fetchone()
        keep_s = max(0.0, held.expires_at - self.clock())
        return Turn(ident, row[0], row[1], row[2], keep_s, held.disks, held.team)

    def remaining_s(self, ident: str) -> float:
        """Return how long a held turn is kept: until it and all that continues it have expired."""
        expires_at = 0.0
        pending = [ident]
        while pending:
            current = pending.pop()
            expires_at = max(expires_at, self.turns_by_id[current].expires_at)
            pending += self._successors.get(current, ())
        return max(0.0, expires_at - self.clock())

    def missing_predecessor(self, ident: str) -> str:
        """Return the nearest predecessor of a turn that is not held, empty if all are held."""
        held = self.turns_by_id.get(ident)
        if held is None:
            return ident
        while (gap := self.turns_by_id.get(held.missing)) is not None:
            held.missing = gap.missing
        return held.missing

    def drop_expired(self) -> None:
        """Delete turns whose retention time has ended."""
        self._expire()
        if self._undeleted:
            with self._db:
                self._delete_dropped()
            self._undeleted.clear()

    def _expire(self) -> None:
        """Drop turns that have expired, and their predecessors that only they have kept."""
        now = self.clock()
        while self._expiry and self._expiry[0][0] <= now:
            _, ident = heapq.heappop(self._expiry)
            while self._has_expired(ident, now):
                ident = self._drop(ident)

    def _has_expired(self, ident: str, now: float) -> bool:
        held = self.turns_by_id.get(ident)
        return held is not None and held.expires_at <= now and ident not in self._successors

    def _drop(self, ident: str) -> str:
        """Forget a turn; return its predecessor, which may have expired before."""
        held = self.turns_by_id.pop(ident)
        self.used_bytes -= held.size
        self._undeleted.append(ident)
        successors = self._successors.get(held.previous)
        if successors is not None:
            successors.remove(ident)
            if not successors:
                del self._successors[held.previous]
        return held.previous

    def _delete_dropped(self) -> None:
        """Delete the rows of dropped turns, in the transaction of the caller."""
        idents = [(ident,) for ident in self._undeleted]
        self._db.executemany('delete from turns where ident = ?', idents)
        if self._holds_teams:
            self._db.executemany('delete from turn_teams where ident = ?', idents)

    def _write_teams(self, turns: list[Turn]) -> bool:
        """Write the teams of turns, in the transaction of the caller; return whether there are any.

        A team that is held stays.
        """
        rows = [(turn.ident, turn.team) for turn in turns if turn.team is not None]
        if rows:
            if not self._holds_teams:
                self._db.execute(_TEAMS_SCHEMA)
            self._db.executemany('insert or ignore into turn_teams values (?, ?)', rows)
        return bool(rows)

    def _connect(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        db = sqlite3.connect(self.folder / FILE_NAME, isolation_level='IMMEDIATE')
        # Exclusive locking keeps the WAL index in heap memory instead of a memory-mapped file.
        db.execute('pragma locking_mode = exclusive')
        db.execute('pragma journal_mode = wal')
        db.execute('pragma synchronous = full')
        db.execute(f'pragma cache_size = -{PAGE_CACHE_KIB}')
        db.executescript(_SCHEMA)
        row = db.execute("select value from meta where name = 'disk'").fetchone()
        if row is None:
            self.disk, self.is_new_disk = self.new_disk_id(), True
            with db:
                db.execute("insert into meta values ('disk', ?)", (self.disk,))
        else:
            self.disk = row[0]
        self._db = db

    def _load(self) -> None:
        teams = self._load_teams()
        rows = self._db.execute(
            'select ident, previous, keep_s, length(input) + length(output), disks from turns'
        )
        for ident, previous, keep_s, size, disks in rows:
            held_on = tuple(disks.split(',')) if disks else ()
            self._track(ident, previous, keep_s, size, held_on, teams.get(ident))

    def _load_teams(self) -> dict[str, str]:
        """Return the teams of turns; delete those of turns that a build without teams deleted."""
        found = self._db.execute("select 1 from sqlite_master where name = 'turn_teams'")
        self._holds_teams = found.fetchone() is not None
        if not self._holds_teams:
            return {}
        with self._db:
            self._db.execute('delete from turn_teams where ident not in (select ident from turns)')
        rows = self._db.execute('select ident, team from turn_teams')
        return {ident: sys.intern(team) for ident, team in rows}

    def _track(
        self,
        ident: str,
        previous: str,
        keep_s: float,
        size: int,
        disks: tuple[str, ...],
        team: str | None,
    ) -> None:
        held = self.turns_by_id.get(ident)
        if held is not None:
            held.disks = disks
            if held.team is None:
                held.team = team
            return
        if self._closes_cycle(ident, previous):
            log.warning('turn_continues_itself', turn=ident, previous=previous)
            previous = ''
        stored_bytes = size + ROW_OVERHEAD_BYTES
        held = HeldTurn(previous, self.clock() + keep_s, stored_bytes, disks, previous, team)
        self.turns_by_id[ident] = held
        self.used_bytes += stored_bytes
        heapq.heappush(self._expiry, (held.expires_at, ident))
        if previous:
            self._successors.setdefault(previous, []).append(ident)

    def _closes_cycle(self, ident: str, previous: str) -> bool:
        """Return whether a new turn continues one of those that continue it.

        That takes callers that use an id again. The turns would keep each other for ever.
        """
        if ident not in self._successors:
            return previous == ident
        while (held := self.turns_by_id.get(previous)) is not None:
            previous = held.previous
        return previous == ident

    def _rename_corrupt_files(self) -> None:
        for name in (FILE_NAME, f'{FILE_NAME}-wal', f'{FILE_NAME}-shm'):
            path = self.folder / name
            with contextlib.suppress(FileNotFoundError):
                path.replace(path.with_name(f'{name}.unreadable'))
