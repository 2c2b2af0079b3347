"""Archive client: stores finished turns and fetches the history that a new turn continues."""

import asyncio

import structlog
from attrs import evolve, frozen

from toucanlead_archive.chains import batches, send_predecessors
from toucanlead_archive.directory import (
    ARCHIVE_PREFIX,
    ArchiveRecord,
    PeerDirectory,
    spread_over_zones,
)
from toucanlead_core.errors import NotSent, OutcomeUnknown, Reason, Refusal, Step
from toucanlead_core.recent_ids import RecentIds
from toucanlead_core.tasks import TaskSet
from toucanlead_core.timers import Timers
from toucanlead_kv.kv import Compare, KeyValueStore, Put
from toucanlead_peer.serving_interfaces import (
    ArchiveTransport,
    StoreResult,
    Turn,
    TurnChain,
)
from toucanlead_peer.serving_transport import turn_from_bytes, turn_to_bytes

from .histories import CACHE_BYTES, NO_HISTORY, History, TurnCache

log = structlog.get_logger()

FALLBACK_PREFIX = 'toucanlead/turns/'
PUT_TIMEOUT_S = 0.3  # a round trip between regions, a disk sync and one retransmission
COPY_TIMEOUT_S = 1.0  # of a batch of older turns, to an archive that is new to their chain
FETCH_TIMEOUT_S = 0.3
MAX_TXN_PUTS = 32  # of the key-value service
IN_SERVICE_LIMIT = 10_000  # ids of turns known to be in the key-value service
ARCHIVE_RETRY_S = 1.0  # pause before an archive that failed is asked again
HISTORY_RETRY_AFTER_MS = 300


@frozen
class NoteSearch:
    """The text of a note, None if none was found, and for how long it is kept on.

    `complete` says that a note that was not found does not exist: every archive answered.
    """

    text: str | None
    keep_s: float
    complete: bool


class ArchiveClient:
    """Stores and fetches turns for an entry.

    A turn is written once, under the id of its request, and is immutable, so its copies
    need no consensus. It is durable on `copies` disks, or in the key-value service if
    too few archives answer.
    """

    def __init__(
        self,
        directory: PeerDirectory,
        archives: ArchiveTransport,
        store: KeyValueStore,
        timers: Timers,
        zone: str,
        region: str,
        copies: int,
        cache_bytes: int = CACHE_BYTES,
    ) -> None:
        """`zone` and `region` are those of this entry; `copies` is the number of disks per turn.

        Recent turns are kept in up to `cache_bytes`.
        """
        self._directory = directory
        self._archives = archives
        self._store = store
        self._timers = timers
        self._zone = zone
        self._region = region
        self.copies = copies
        self._failed_at: dict[str, float] = {}
        self._tasks = TaskSet()
        self.cache = TurnCache(cache_bytes)
        self._in_service = RecentIds(IN_SERVICE_LIMIT)

    async def history(self, previous: str, program: str, deadline_at: float) -> History:
        """Return a chain of turns up to `previous`.

        Raise Refusal with UNKNOWN_TURN if `previous` does not exist, with HISTORY_UNAVAILABLE
        if that cannot be determined or if a turn before it was not found, and TimeoutError
        at the deadline (loop time).
        """
        chain: list[Turn] = []
        seen: set[str] = set()
        ident = previous
        while ident:
            if ident in seen:
                raise _history_unavailable(f'{previous} continues itself')
            turn = self.cache.get(ident)
            if turn is None:
                async with asyncio.timeout_at(deadline_at):
                    turn = await self._fetch_of_chain(ident, previous, program)
            seen.add(ident)
            chain.append(turn)
            ident = turn.previous
        return History(tuple(chain))

    async def store_turn(self, turn: Turn, program: str, history: History = NO_HISTORY) -> None:
        """Make a turn and its history durable; raise NotSent or OutcomeUnknown if that fails."""
        started_at = self._timers.now()
        disks = await self._put_on_disks(turn, self._write_candidates(program), history)
        if len(disks) < self.copies:
            log.warning('turn_written_to_key_value_service', turn=turn.ident, copies=len(disks))
            await self._put_in_service(turn, history)
        self.cache.put(turn)
        log.info(
            'turn_kept',
            turn=turn.ident,
            previous=turn.previous,
            disks=','.join(disks),
            bytes=turn.size,
            ms=round(1e3 * (self._timers.now() - started_at), 1),
        )

    async def put_note(self, ident: str, key: str, text: str, keep_s: float) -> bool:
        """Write a note under an unused id; return whether it is new and durable.

        A note is a turn whose input is a text. `key` selects its archives, as the program id
        does for other turns. The note does not count as new if the archives that did not
        answer could hold an earlier one.
        """
        archives = self._note_archives(key)
        found, unanswered = await self._find_note(ident, archives)
        if found is not None or not archives or unanswered >= self.copies:
            return False
        disks = await self._put_on_disks(Turn(ident, '', text.encode(), b'', keep_s), archives)
        return len(disks) >= self.copies

    async def get_note(self, ident: str, key: str, everywhere: bool) -> NoteSearch:
        """Search the archives that `put_note` selects for a note, then all others if `everywhere`.

        Its copies may have moved since, and it may have been written in another region. The note
        does not exist if fewer archives than it has copies did not answer, not counting those
        that are away.
        """
        likely = self._note_archives(key)
        others = [a for a in self._directory.archives.values() if a not in likely]
        unanswered = 0
        for archives in (likely, others) if everywhere else (likely,):
            (found, more_unanswered), (found_away, _) = await asyncio.gather(
                self._find_note(ident, [a for a in archives if not a.away]),
                self._find_note(ident, [a for a in archives if a.away]),
            )
            found = found or found_away
            if found is not None:
                return NoteSearch(found.input.decode(), found.keep_s, complete=True)
            unanswered += more_unanswered
        return NoteSearch(None, 0.0, complete=unanswered < self.copies)

    async def write_note(self, ident: str, key: str, text: str, keep_s: float) -> bool:
        """Write a note under an unused id; return whether it is durable on one disk.

        The other copies are written in the background.
        """
        note = Turn(ident, '', text.encode(), b'', keep_s)
        candidates = [a for a in self._write_candidates(key) if self._may_try(a)]
        chosen = candidates[: self.copies]
        disks = tuple(archive.disk for archive in chosen)
        writes = [self._tasks.spawn(self._put(a, note, disks), 'note') for a in chosen]
        for write in asyncio.as_completed(writes):
            if await write:
                return True
        return False

    async def find_note(self, ident: str, key: str) -> NoteSearch:
        """Search all archives for a note, first those that are likely to hold it."""
        archives = self._read_candidates(key)
        likely, rest = archives[: 2 * self.copies], archives[2 * self.copies :]
        found, unanswered = await self._find_note(ident, likely)
        if found is None and rest:
            found, more_unanswered = await self._find_note(ident, rest)
            unanswered += more_unanswered
        if found is None:
            return NoteSearch(None, 0.0, complete=bool(archives) and not unanswered)
        return NoteSearch(found.input.decode(), found.keep_s, complete=True)

    async def close(self) -> None:
        """Cancel the writes in the background."""
        await self._tasks.cancel()

    def _note_archives(self, key: str) -> list[ArchiveRecord]:
        """Return the only archives that may hold a note.

        They are so few that those which hold a note, and any set of them that is large
        enough to write one, have an archive in common.
        """
        archives = self._directory.nearest(key, '', self._region)
        return spread_over_zones(archives, self.copies)[: 2 * self.copies - 1]

    async def _find_note(
        self, ident: str, archives: list[ArchiveRecord]
    ) -> tuple[Turn | None, int]:
        """Ask archives at the same time; return the note, or how many did not answer."""
        unanswered = 0
        fetches = [asyncio.ensure_future(self._fetch_from(a, ident)) for a in archives]
        try:
            for fetch in asyncio.as_completed(fetches):
                chain = await fetch
                if chain is None:
                    unanswered += 1
                elif chain.turns:
                    return chain.turns[0], 0
        finally:
            for fetch in fetches:
                fetch.cancel()
        return None, unanswered

    async def _put_on_disks(
        self, turn: Turn, candidates: list[ArchiveRecord], history: History = NO_HISTORY
    ) -> list[str]:
        """Write copies to archives in parallel, then to spares; return the disks written.

        Each of these disks then holds the turns of the history, too.
        """
        spares = [archive for archive in candidates if self._may_try(archive)]
        chosen, spares = spares[: self.copies], spares[self.copies :]
        planned = tuple(archive.disk for archive in chosen)
        results = await asyncio.gather(*(self._put(a, turn, planned, history) for a in chosen))
        disks = [archive.disk for archive, stored in zip(chosen, results) if stored]
        if len(disks) == len(chosen) == self.copies:
            return disks
        while spares and len(disks) < self.copies:
            archive = spares.pop(0)
            if await self._put(archive, turn, (*disks, archive.disk), history):
                disks.append(archive.disk)
        await self._update_disks([turn.ident, *(t.ident for t in history.turns)], disks)
        return disks

    async def _put(
        self,
        archive: ArchiveRecord,
        turn: Turn,
        disks: tuple[str, ...],
        history: History = NO_HISTORY,
    ) -> bool:
        """Write a turn, and what the archive does not hold of its history."""

        async def copy(turns: list[Turn]) -> StoreResult:
            log.info('history_copied', turn=turn.ident, archive=archive.name, turns=len(turns))
            copies = [evolve(t, disks=disks) for t in turns]
            return await self._archives.copy(archive.address, copies, COPY_TIMEOUT_S)

        try:
            result = await self._archives.put(
                archive.address, evolve(turn, disks=disks), PUT_TIMEOUT_S
            )
            if not result.stored or result.disk != archive.disk:
                return False
            return await send_predecessors(result, history.up_to, copy)
        except (NotSent, OutcomeUnknown) as exc:
            self._note_failure(archive, exc)
            return False

    async def _update_disks(self, idents: list[str], disks: list[str]) -> None:
        """Tell the archives which disks hold copies; drop disks whose archive does not answer."""
        final = tuple(disks)
        for disk in final:
            archive = self._directory.by_disk(disk)
            try:
                if archive is None:
                    raise NotSent('archive not in directory', step='archive amend', peer=disk)
                await self._archives.update_disks(archive.address, idents, final, PUT_TIMEOUT_S)
            except (NotSent, OutcomeUnknown) as exc:
                log.info('archive_amend_failed', disk=disk, error=str(exc))
                disks.remove(disk)

    async def _put_in_service(self, turn: Turn, history: History) -> None:
        """Write a turn, and the turns before it that the service does not hold yet."""
        written = [t for t in history.turns if t.ident not in self._in_service]
        for batch in batches(reversed(written), MAX_TXN_PUTS):
            await self._store.txn([], [_put_op(t) for t in batch])
            self._in_service.add(*(t.ident for t in batch))
        key = FALLBACK_PREFIX + turn.ident
        result = await self._store.txn([Compare(key, 0)], [_put_op(turn)])
        if not result.succeeded and not any(e.key == key for e in result.current):
            raise OutcomeUnknown('turn not stored', step='keep', peer='key-value service')
        self._in_service.add(turn.ident)

    async def _fetch_of_chain(self, ident: str, newest: str, program: str) -> Turn:
        """Fetch a turn of the chain of `newest`; raise Refusal if it is not found."""
        try:
            return await self._fetch(ident, program)
        except Refusal as refusal:
            if ident == newest or refusal.reason is not Reason.UNKNOWN_TURN:
                raise
            log.error('history_incomplete', turn=newest, missing=ident)
            raise _history_unavailable(f'{ident}, before {newest}, was not found') from refusal

    async def _fetch(self, ident: str, program: str) -> Turn:
        """Fetch a turn from the archives or the key-value service; raise Refusal if not found."""
        turn, asked, unanswered = await self._ask_archives(ident, program)
        if turn is None:
            turn = await self._fetch_from_service(ident)
        if turn is None:
            turn, more_unanswered = await self._ask_unknown_archives(ident, asked)
            unanswered += more_unanswered
        if turn is not None:
            return turn
        all_asked = bool(asked) and self._directory.disks() <= {a.disk for a in asked}
        log.warning(
            'turn_not_found',
            turn=ident,
            asked=len(asked),
            directory_version=self._directory.version,
            all_asked=all_asked,
            unanswered=unanswered,
        )
        if unanswered or not all_asked:
            raise _history_unavailable(f'{ident}: not every archive answered')
        raise Refusal(Reason.UNKNOWN_TURN, ident, step=Step.ORDER)

    async def _ask_archives(
        self, ident: str, program: str
    ) -> tuple[Turn | None, list[ArchiveRecord], int]:
        """Return the turn if found, all candidate archives, and how many did not answer."""
        asked = self._read_candidates(program)
        turn, unanswered = await self._ask_in_turn(ident, asked)
        return turn, asked, unanswered

    async def _ask_unknown_archives(
        self, ident: str, asked: list[ArchiveRecord]
    ) -> tuple[Turn | None, int]:
        """Ask the archives that have joined unnoticed; add them to those asked.

        The directory may be out of date, as long as this entry does not notice that it misses
        changes. Raise Refusal if the key-value service cannot tell.
        """
        try:
            entries = await self._store.scan(ARCHIVE_PREFIX)
        except (NotSent, OutcomeUnknown) as exc:
            raise _history_unavailable(f'{ident}: {exc}') from exc
        self._directory.learn(entries)
        known = {archive.disk for archive in asked}
        listed = [self._directory.archives.get(entry.key) for entry in entries]
        joined = [a for a in listed if a is not None and a.disk not in known]
        if joined:
            log.info('archives_joined_unnoticed', turn=ident, archives=len(joined))
        asked += joined
        return await self._ask_in_turn(ident, joined)

    async def _ask_in_turn(
        self, ident: str, archives: list[ArchiveRecord]
    ) -> tuple[Turn | None, int]:
        """Ask archives until one has a turn; return it and how many did not answer."""
        unanswered = 0
        for archive in archives:
            chain = await self._fetch_from(archive, ident)
            if chain is None:
                unanswered += 1
                continue
            for turn in chain.turns:
                self.cache.put(turn)
            if chain.turns:
                log.info(
                    'history_fetched', turn=ident, archive=archive.name, turns=len(chain.turns)
                )
                return chain.turns[0], unanswered
        return None, unanswered

    async def _fetch_from(self, archive: ArchiveRecord, ident: str) -> TurnChain | None:
        """Return what an archive holds of a chain of turns, None if it does not answer."""
        if not self._may_try(archive):
            return None
        try:
            return await self._archives.fetch(archive.address, ident, [], FETCH_TIMEOUT_S)
        except (NotSent, OutcomeUnknown) as exc:
            self._note_failure(archive, exc)
            return None

    async def _fetch_from_service(self, ident: str) -> Turn | None:
        try:
            entry = await self._store.get(FALLBACK_PREFIX + ident)
        except (NotSent, OutcomeUnknown) as exc:
            raise _history_unavailable(f'{ident}: {exc}') from exc
        if entry is None:
            return None
        try:
            turn = turn_from_bytes(entry.value)
        except ValueError as exc:
            raise _history_unavailable(f'{ident}: {exc}') from exc
        self.cache.put(turn)
        self._in_service.add(ident)
        return turn

    def _write_candidates(self, program: str) -> list[ArchiveRecord]:
        archives = [a for a in self._by_preference(program) if a.staying]
        return spread_over_zones(archives, self.copies)

    def _read_candidates(self, program: str) -> list[ArchiveRecord]:
        """Return archives with the likely holders first, and of these this zone's first."""
        archives = spread_over_zones(self._by_preference(program), self.copies)
        likely, rest = archives[: self.copies], archives[self.copies :]
        return sorted(likely, key=lambda a: a.zone != self._zone) + rest

    def _by_preference(self, program: str) -> list[ArchiveRecord]:
        """Order archives by region, then by hash of the program id.

        Those that are away or have failed a moment ago come last.
        """
        archives = self._directory.nearest(program, '', self._region)
        return sorted(archives, key=lambda archive: archive.away or not self._may_try(archive))

    def _may_try(self, archive: ArchiveRecord) -> bool:
        """Return whether to ask an archive; False for a while after it failed."""
        failed_at = self._failed_at.get(archive.disk)
        return failed_at is None or self._timers.now() - failed_at >= ARCHIVE_RETRY_S

    def _note_failure(self, archive: ArchiveRecord, exc: Exception) -> None:
        self._failed_at[archive.disk] = self._timers.now()
        log.info('archive_failed', archive=archive.name, error=str(exc))


def _put_op(turn: Turn) -> Put:
    return Put(FALLBACK_PREFIX + turn.ident, turn_to_bytes(turn))


def _history_unavailable(detail: str) -> Refusal:
    return Refusal(
        Reason.HISTORY_UNAVAILABLE,
        detail,
        step=Step.ORDER,
        retry_after_ms=HISTORY_RETRY_AFTER_MS,
    )
