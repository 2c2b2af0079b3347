"""The archive, which stores turns for entries and returns them with their predecessors."""

import asyncio
from collections.abc import Iterable

import structlog
from attrs import frozen

from toucanlead_peer.serving_interfaces import ArchiveHandler, StoreResult, Turn, TurnChain

from .store import DiskFull, TurnStore

log = structlog.get_logger()

CHAIN_LIMIT_BYTES = 4_000_000  # the longest expected history, 760,000 tokens, takes two fetches


@frozen
class _PendingWrite:
    turns: list[Turn]
    done: asyncio.Future


class Archive(ArchiveHandler):
    """Serves the turns on one disk; concurrent writes are committed together with one sync."""

    def __init__(self, store: TurnStore) -> None:
        """`store` must already be open."""
        self.store = store
        self.retiring = False
        self._pending: list[_PendingWrite] = []
        self._commit_task: asyncio.Task | None = None

    async def put(self, turn: Turn) -> StoreResult:
        """Store a turn; refuse it if the disk is full or being retired."""
        return await self.copy([turn])

    async def copy(self, turns: list[Turn]) -> StoreResult:
        """Store copies of turns that other disks hold; refuse them as `put` does.

        The result names the nearest predecessors that are not held here.
        """
        if self.retiring:
            return StoreResult(self.store.disk, False)
        if not await self._commit(turns):
            return StoreResult(self.store.disk, False)
        missing = dict.fromkeys(self.store.missing_predecessor(turn.ident) for turn in turns)
        return StoreResult(self.store.disk, True, tuple(ident for ident in missing if ident))

    async def fetch(self, ident: str, known: list[str]) -> TurnChain:
        """Return a turn and its predecessors, as far as they are held here and fit the limit."""
        return TurnChain(read_chain(self.store, ident, CHAIN_LIMIT_BYTES, known))

    async def update_disks(self, idents: list[str], disks: tuple[str, ...]) -> int:
        """Update the disks that hold copies of turns; return how many turns are held here."""
        return self.store.update_disks(idents, disks)

    async def _commit(self, turns: list[Turn]) -> bool:
        pending = _PendingWrite(turns, asyncio.get_running_loop().create_future())
        self._pending.append(pending)
        if self._commit_task is None:
            self._commit_task = asyncio.ensure_future(self._write_pending())
        return await pending.done

    async def _write_pending(self) -> None:
        """Let other ready tasks add their writes, then commit all pending writes."""
        await asyncio.sleep(0)
        self._commit_task = None
        batch, self._pending = self._pending, []
        try:
            self.store.write(turn for pending in batch for turn in pending.turns)
        except DiskFull as exc:
            log.warning('archive_full', detail=str(exc))
            _complete(batch, False)
        except Exception as exc:  # report the turns as not stored rather than leave writers waiting
            log.error('archive_write_failed', error=repr(exc))
            _complete(batch, False)
        else:
            for turn in (turn for pending in batch for turn in pending.turns):
                log.info('turn_stored', turn=turn.ident, disks=','.join(turn.disks))
            _complete(batch, True)


def read_chain(
    store: TurnStore, ident: str, limit_bytes: int, known: Iterable[str] = ()
) -> list[Turn]:
    """Return a turn and its predecessors, newest first.

    Ends at the first that is in `known` or not held, and after `limit_bytes`.
    """
    seen = set(known)
    turns: list[Turn] = []
    size = 0
    while ident and ident not in seen and size < limit_bytes:
        turn = store.read(ident)
        if turn is None:
            break
        seen.add(ident)
        turns.append(turn)
        size += turn.size
        ident = turn.previous
    return turns


def _complete(batch: list[_PendingWrite], stored: bool) -> None:
    for pending in batch:
        if not pending.done.done():
            pending.done.set_result(stored)
