"""Maintenance of the copies of turns: replaces lost copies and drains retiring disks."""

import asyncio
import math
from collections.abc import Iterator

import structlog
from attrs import define, evolve, field, frozen

from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.timers import Timers
from toucanlead_peer.serving_interfaces import ArchiveTransport, StoreResult, Turn

from .archive import CHAIN_LIMIT_BYTES, Archive, read_chain
from .chains import batches, send_predecessors
from .directory import ArchiveRecord, PeerDirectory, spread_over_zones

log = structlog.get_logger()

COPY_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 0.5
# Unreachable this long, an archive is presumed lost, and its turns are copied from their other
# disks: if another archive has joined since; if it stopped as planned, or one had joined shortly
# before, so that it may have been replaced; in any case, since VM freezes last some seconds.
LOST_AFTER_JOIN_S = 1.0
LOST_AFTER_STOP_S = 1.5
LOST_AFTER_S = 8.0
JOIN_MEMORY_S = 120.0  # how long an archive that joined may be the successor of another
# All archives of a fleet start at once; those that are seen so soon after this one's start have
# not joined to replace another.
START_S = 3.0
GONE_AFTER_S = 600.0  # exceeds the retention of what an archive held that is away for so long
# Each holder of a turn waits this long for every holder with a lower disk id to copy it first.
HOLDER_DELAY_S = 0.8


@frozen
class _Group:
    """Turns that have their copies on the same disks."""

    disks: tuple[str, ...]
    idents: list[str]


@define
class CopyMaintainer:
    """Keeps `copies` copies of each of an archive's turns on existing disks.

    `name` is the archive's own name in the directory. `_unreachable_since` is keyed by
    archive name, `_incomplete_since` by the disks of a group of turns, joined by commas, and
    `_first_seen` by disk. `copied_bytes` counts what was sent to other archives.
    """

    archive: Archive
    directory: PeerDirectory
    transport: ArchiveTransport
    timers: Timers
    name: str
    copies: int
    _unreachable_since: dict[str, float] = field(factory=dict)
    _incomplete_since: dict[str, float] = field(factory=dict)
    _first_seen: dict[str, float] = field(factory=dict)
    _started_at: float | None = None
    copied_bytes: int = 0

    async def restore(self) -> int:
        """Copy turns that have too few copies; return the number of turns copied."""
        await self._probe_peers()
        copied = 0
        for group in self._groups(self._must_copy):
            copied += await self._copy_group(group, self._usable_disks(group.disks))
        if copied:
            log.info('copies_restored', turns=copied)
        return copied

    async def copy_to_other_disks(self) -> bool:
        """Copy turns off this disk, which is to leave; return whether all have enough copies.

        Copies on disks that are to leave as well don't count.
        """
        await self._probe_peers()
        for group in self._groups(lambda disks: True):
            others = self._staying_disks(group.disks)
            if len(others) < self.copies:
                await self._copy_group(group, others)
        groups = self._groups(lambda disks: len(self._staying_disks(disks)) < self.copies)
        return not groups

    def may_be_replaced(self) -> bool:
        """Return whether an archive has joined lately that may be this one's successor."""
        return self._has_joined_after(self.timers.now() - JOIN_MEMORY_S)

    def lost(self) -> list[ArchiveRecord]:
        """Return archives newly presumed lost, and whose turns have enough copies again."""
        now = self.timers.now()
        present = [record for record in self.directory.archives.values() if not record.away]
        lost = [record for record in present if self._is_presumed_lost(record, now)]
        return [] if lost and self.count_incomplete() else lost

    def gone(self) -> list[ArchiveRecord]:
        """Return archives that have been away for longer than turns are kept."""
        now = self.timers.now()
        if not self._away_before(now - GONE_AFTER_S):
            return []
        held = self.archive.store.turns_by_id.values()
        kept_s = max((turn.expires_at - now for turn in held), default=0.0)
        return self._away_before(now - max(GONE_AFTER_S, kept_s))

    def _away_before(self, latest: float) -> list[ArchiveRecord]:
        """Return archives that are away, and have been unreachable since a time or longer."""
        return [
            record
            for record in self.directory.archives.values()
            if record.away and self._unreachable_since.get(record.name, math.inf) <= latest
        ]

    def count_incomplete(self) -> int:
        """Return the number of turns that have too few copies, as far as this archive knows."""
        groups = self._groups(lambda disks: len(self._usable_disks(disks)) < self.copies)
        return sum(len(group.idents) for group in groups)

    def _usable_disks(self, disks: tuple[str, ...]) -> tuple[str, ...]:
        """Return those disks that exist and are not presumed lost."""
        now = self.timers.now()
        usable = []
        for disk in disks:
            record = self.directory.by_disk(disk)
            if record is not None and not self._is_presumed_lost(record, now):
                usable.append(disk)
        return tuple(usable)

    def _staying_disks(self, disks: tuple[str, ...]) -> tuple[str, ...]:
        """Return those other usable disks that are not to leave."""
        own = self.archive.store.disk
        return tuple(
            disk
            for disk in self._usable_disks(disks)
            if disk != own and self.directory.by_disk(disk).staying
        )

    def _is_presumed_lost(self, record: ArchiveRecord, now: float) -> bool:
        """Return whether an archive has been unreachable too long to wait for it."""
        since = self._unreachable_since.get(record.name)
        if since is None:
            return False
        if any(seen > since for seen in self._first_seen.values()):
            limit_s = LOST_AFTER_JOIN_S
        elif record.away or self._has_joined_after(since - JOIN_MEMORY_S):
            limit_s = LOST_AFTER_STOP_S
        else:
            limit_s = LOST_AFTER_S
        return now - since >= limit_s

    def _has_joined_after(self, earliest: float) -> bool:
        """Return whether an archive has joined since a time, other than at the fleet's start."""
        if self._started_at is None:
            return False
        earliest = max(earliest, self._started_at + START_S)
        return any(seen > earliest for seen in self._first_seen.values())

    def _must_copy(self, disks: tuple[str, ...]) -> bool:
        """Return whether this archive must now copy the turns that are on these disks."""
        usable = self._usable_disks(disks)
        own = self.archive.store.disk
        if len(usable) >= self.copies or own not in usable:
            self._incomplete_since.pop(','.join(disks), None)
            return False
        since = self._incomplete_since.setdefault(','.join(disks), self.timers.now())
        return self.timers.now() - since >= HOLDER_DELAY_S * sorted(usable).index(own)

    def _groups(self, predicate) -> list[_Group]:
        self.archive.store.drop_expired()
        by_disks: dict[tuple[str, ...], list[str]] = {}
        for ident, held in self.archive.store.turns_by_id.items():
            by_disks.setdefault(held.disks, []).append(ident)
        return [_Group(disks, idents) for disks, idents in by_disks.items() if predicate(disks)]

    async def _copy_group(self, group: _Group, holders: tuple[str, ...]) -> int:
        """Copy a group to as many other disks as copies are missing; return the turns copied."""
        copied = 0
        targets = self._targets(holders)
        for batch in batches(self._held_turns(group.idents)):
            new_holders = list(holders)
            for target in targets:
                if len(new_holders) >= self.copies:
                    break
                disks = (*new_holders, target.disk)
                if await self._copy_chains(target, batch, disks):
                    new_holders.append(target.disk)
            if len(new_holders) > len(holders):
                await self._update_holders([turn.ident for turn in batch], tuple(new_holders))
                copied += len(batch)
            if len(new_holders) < self.copies:
                break
        return copied

    def _targets(self, holders: tuple[str, ...]) -> list[ArchiveRecord]:
        """Return archives that can take copies, first those in zones without a copy."""
        own = self.directory.by_disk(self.archive.store.disk)
        zone, region = (own.zone, own.region) if own else ('', '')
        zones = {record.zone for disk in holders if (record := self.directory.by_disk(disk))}
        candidates = [
            record
            for record in self.directory.nearest('', zone, region)
            if record.disk not in holders
            and record.name != self.name
            and record.staying
            and record.name not in self._unreachable_since
        ]
        other_zones = [record for record in candidates if record.zone not in zones]
        same_zones = [record for record in candidates if record.zone in zones]
        return spread_over_zones(other_zones, self.copies) + same_zones

    def _held_turns(self, idents: list[str]) -> Iterator[Turn]:
        return (turn for ident in idents if (turn := self.archive.store.read(ident)))

    async def _copy_chains(
        self, target: ArchiveRecord, turns: list[Turn], disks: tuple[str, ...]
    ) -> bool:
        """Copy turns, and those before them that the target does not hold."""

        def chain_from(ident: str) -> list[Turn]:
            return read_chain(self.archive.store, ident, CHAIN_LIMIT_BYTES)

        async def copy(batch: list[Turn]) -> StoreResult:
            return await self._copy(target, batch, disks)

        result = await copy(turns)
        return result.stored and await send_predecessors(result, chain_from, copy)

    async def _copy(
        self, target: ArchiveRecord, turns: list[Turn], disks: tuple[str, ...]
    ) -> StoreResult:
        """Send turns to a target, each for as long as it is kept here."""
        store = self.archive.store
        kept = [t for t in turns if t.ident in store.turns_by_id]
        copies = [evolve(t, disks=disks, keep_s=store.remaining_s(t.ident)) for t in kept]
        self.copied_bytes += sum(t.size for t in copies)
        try:
            result = await self.transport.copy(target.address, copies, COPY_TIMEOUT_S)
        except (NotSent, OutcomeUnknown) as exc:
            log.info('copy_failed', archive=target.name, turns=len(turns), error=str(exc))
            self._unreachable_since.setdefault(target.name, self.timers.now())
            return StoreResult(target.disk, False)
        return evolve(result, stored=result.stored and result.disk == target.disk)

    async def _update_holders(self, idents: list[str], disks: tuple[str, ...]) -> None:
        """Update the disks of turns here and at the other archives that hold copies.

        The last disk is left out, since its archive got the list together with the copy.
        """
        self.archive.store.update_disks(idents, disks)
        own = self.archive.store.disk
        for disk in disks[:-1]:
            record = self.directory.by_disk(disk)
            if disk == own or record is None:
                continue
            try:
                await self.transport.update_disks(record.address, idents, disks, COPY_TIMEOUT_S)
            except (NotSent, OutcomeUnknown) as exc:
                log.info('amend_failed', archive=record.name, error=str(exc))

    async def _probe_peers(self) -> None:
        """Check which archives are reachable."""
        peers = [r for r in self.directory.archives.values() if r.name != self.name]
        await asyncio.gather(*(self._probe(record) for record in peers))
        now = self.timers.now()
        if self._started_at is None:
            self._started_at = now
        names = {record.name for record in peers}
        self._unreachable_since = {n: t for n, t in self._unreachable_since.items() if n in names}
        disks = {record.disk for record in peers}
        self._first_seen = {disk: self._first_seen.get(disk, now) for disk in disks}

    async def _probe(self, record: ArchiveRecord) -> None:
        """Check one archive, using an update of no turns as the probe."""
        try:
            await self.transport.update_disks(record.address, [], (), PROBE_TIMEOUT_S)
        except (NotSent, OutcomeUnknown):
            self._unreachable_since.setdefault(record.name, self.timers.now())
        else:
            self._unreachable_since.pop(record.name, None)
