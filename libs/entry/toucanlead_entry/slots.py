"""Registration of an entry, and its claims, takeovers and handovers of slots."""

import asyncio
import math
from collections.abc import Callable
from typing import TypeVar

import structlog
from attrs import define, evolve

from toucanlead_core.codec import from_json, from_stored_json, to_json
from toucanlead_core.errors import NotSent, OutcomeUnknown, PeerError
from toucanlead_core.ids import rendezvous
from toucanlead_kv.kv import KvEntry, Put, WatchEvent
from toucanlead_state.ledger import Ledger
from toucanlead_state.records import Segment

from .checkpoints import load_slot, replay
from .context import Context
from .journal import read_journal
from .kv_records import (
    MEMBERS_PREFIX,
    SLOTS_PREFIX,
    IncarnationRecord,
    MemberRecord,
    SlotRecord,
    holder_name,
    incarnation_key,
    member_key,
    slot_key,
)
from .owner import Owner

log = structlog.get_logger()

T = TypeVar('T')

MAX_TAKEOVER_ENTRIES = 8  # entries that share a dead entry's slots
CLAIMS_PER_ROUND = 64
REMOTE_CLAIM_DELAY_S = 10.0  # entries in the replicas' regions claim first
MEMBERS_PER_RESCAN = 50  # with more members, the view is read in full less often
MEMBERS_PER_LEASE_S = 40  # 350 members renew 9 s leases every 3 s: 117 writes/s


@define
class ClusterView:
    """Members and slots as last read from the key-value service.

    `slots` gives each slot's record and revision, 0 where the record was not read
    by a scan or a watch. `read_at` is in seconds.
    """

    members: dict[str, MemberRecord]
    slots: dict[int, tuple[SlotRecord, int]]
    read_at: float

    def address_of(self, holder: str) -> str | None:
        """Return the peer address of a live holder."""
        for member in self.members.values():
            if member.holder == holder:
                return member.peer_address
        return None


class SlotManager:
    """Keeps this entry registered, and acquires and hands over its slots."""

    def __init__(self, ctx: Context) -> None:
        """Start unregistered, without slots."""
        self._ctx = ctx
        self.view = ClusterView({}, {}, -1e9)
        self.owner: Owner | None = None
        self.owned: set[int] = set()
        self.leaving = False
        self.lease = 0
        self._renewal_paused_until = 0.0
        self._renewed_at = -1e9
        self._registered_at = -1e9
        self._lease_ttl_s = 0
        self._view_revision = 0
        self._transfer_lock = asyncio.Lock()
        self._claiming: set[int] = set()
        self._absent_since: dict[str, float] = {}
        self.sealed: set[str] = set()
        self.on_new_owner = lambda owner: None
        self.on_slot_acquired = lambda owner, staged: None

    async def register(self) -> None:
        """Register a new incarnation; retry until the service answers."""
        while True:
            try:
                await self._register_once()
                return
            except PeerError as exc:
                log.info('register_retried', error=str(exc))
                await self._ctx.timers.sleep(0.3)

    async def renew(self) -> None:
        """Renew the lease; get a new one if it has expired."""
        if (
            self.owner is None
            or self.leaving
            or self._ctx.timers.now() < self._renewal_paused_until
        ):
            return
        now = self._ctx.timers.now()
        if now < self._renewed_at + self._lease_ttl_s / 3:
            return
        if await self._ctx.store.keep_alive(self.lease):
            self._renewed_at = now
            return
        log.warning('lease_lapsed', holder=self.owner.holder)
        await self._write_member_record(self.owner.holder)

    def stop_renewing_until(self, when: float) -> None:
        """Skip lease renewals until `when`, in seconds, as if the process were paused."""
        self._renewal_paused_until = when

    async def reconcile(self) -> None:
        """Load slots handed over, claim free slots and take over those of dead entries."""
        if self.owner is None or self.leaving:
            return
        self.owner.journal.member_count = max(1, len(self.view.members))
        self._drop_lost_slots()
        await self._load_handed_over()
        await self._claim_free()
        await self._take_over_dead()

    async def watch_view(self) -> None:
        """Keep the view up to date by watches, and read it in full at intervals.

        Each full read also replaces the watches, whose connections may have gone silent.
        """
        while True:
            try:
                await self.refresh()
                scale = max(1.0, len(self.view.members) / MEMBERS_PER_RESCAN)
                await asyncio.wait_for(self._watch_all(), scale * self._ctx.intervals.rescan_s)
            except TimeoutError:
                continue
            except PeerError as exc:
                log.info('view_refresh_retried', error=str(exc))
                await self._ctx.timers.sleep(0.3)

    async def _watch_all(self) -> None:
        await asyncio.gather(
            self._watch(MEMBERS_PREFIX, self._member_changed),
            self._watch(SLOTS_PREFIX, self._slot_changed),
        )

    async def _watch(self, prefix: str, on_event: Callable[[WatchEvent], None]) -> None:
        async for event in self._ctx.store.watch(prefix, self._view_revision + 1):
            on_event(event)
            self.view.read_at = self._ctx.timers.now()

    def _member_changed(self, event: WatchEvent) -> None:
        entry = event.key.removeprefix(MEMBERS_PREFIX)
        if event.value is None:
            self.view.members.pop(entry, None)
        elif (record := _readable(event.key, event.value, MemberRecord)) is not None:
            self.view.members[entry] = record

    def _slot_changed(self, event: WatchEvent) -> None:
        if event.value is not None:
            record = _readable(event.key, event.value, SlotRecord)
            if record is None:
                return
            known = self.owner_of(record.slot)
            if known is None or record.epoch >= known.epoch:
                self.view.slots[record.slot] = (record, event.mod_rev)
                self._load_if_handed_over(record)

    def _is_handed_over(self, record: SlotRecord, owner: Owner) -> bool:
        """Return whether a slot was handed over to this entry and is not loaded yet.

        The record of a slot that this entry is claiming itself may look the same before
        the claim returns. Loading that slot from checkpoints alone would lose the records
        that are only in journals.
        """
        named_here = record.holder == owner.holder and record.lineage == [owner.holder]
        return named_here and record.slot not in self.owned | self._claiming

    def _load_if_handed_over(self, record: SlotRecord) -> None:
        owner = self.owner
        if owner is not None and self._is_handed_over(record, owner):
            self._ctx.tasks.spawn(
                suppress_outage(self._load_handed_over(), 'handed slot'), 'handed slot'
            )

    async def _confirm_dead(self, holder: str) -> bool:
        """Read a holder's member record again; return whether the holder is dead."""
        kv_entry = await self._ctx.store.get(member_key(holder.rpartition('.')[0]))
        if kv_entry is None:
            return True
        record = from_json(kv_entry.value, MemberRecord)
        self.view.members[record.entry] = record
        return record.holder != holder

    async def refresh(self) -> None:
        """Read all members and slots."""
        # An entry registers before it claims slots. With the slots read first, a holder
        # that is missing from the members has therefore ended.
        slots = await self._ctx.store.scan(SLOTS_PREFIX)
        members = await self._ctx.store.scan(MEMBERS_PREFIX)
        self._view_revision = max((e.mod_rev for e in [*slots, *members]), default=0)
        self.view = ClusterView(
            {m.entry: m for e in members if (m := _readable(e.key, e.value, MemberRecord))},
            {
                record.slot: (record, e.mod_rev)
                for e in slots
                if (record := _readable(e.key, e.value, SlotRecord))
            },
            self._ctx.timers.now(),
        )

    def owner_candidates(self) -> list[str]:
        """Return the entries that should own slots: those in the replicas' regions, if any.

        A caller sends only deltas to the owner, but the owner sends whole prompts to the
        engine. So the link between regions should carry the deltas.
        """
        regions = self._ctx.fleet.regions()
        members = self.view.members.values()
        in_replica_regions = sorted(m.entry for m in members if m.region in regions)
        return in_replica_regions or sorted(self.view.members)

    def _is_remote(self) -> bool:
        """Return whether all replicas are in other regions."""
        regions = self._ctx.fleet.regions()
        return bool(regions) and self._ctx.identity.region not in regions

    def owner_of(self, slot: int) -> SlotRecord | None:
        """Return the slot's record as last read, None if it has no owner."""
        known = self.view.slots.get(slot)
        return known[0] if known else None

    async def resign(self) -> None:
        """Delete the member record at once, so that others need not wait for the lease."""
        self.leaving = True
        if self.lease:
            await self._ctx.store.revoke(self.lease)

    async def _register_once(self) -> None:
        ctx = self._ctx
        entry = ctx.identity.entry
        incarnations = await ctx.store.scan(f'incarnations/{entry}.')
        numbers = [int(e.key.rpartition('.')[2]) for e in incarnations]
        holder = holder_name(entry, max(numbers, default=0) + 1)
        record = IncarnationRecord(holder, '', ctx.nonce())
        put = Put(incarnation_key(holder), to_json(record))
        deadline = ctx.timers.now() + 5.0
        if not await ctx.writer.write(put, 0, deadline=deadline):
            raise NotSent('incarnation number already taken', step='register')
        written = await ctx.store.get(put.key)
        await self._write_member_record(holder)
        self._registered_at = ctx.timers.now()
        self.owned.clear()
        self.sealed.clear()
        self.owner = Owner(ctx, holder, written.mod_rev)
        self.owner.start()
        self.on_new_owner(self.owner)
        log.info('registered', holder=holder)

    async def _write_member_record(self, holder: str) -> None:
        ctx = self._ctx
        identity = ctx.identity
        # Leases are longer with more members, so that renewals keep within the write rate.
        needed_ttl_s = math.ceil(len(self.view.members) / MEMBERS_PER_LEASE_S)
        self._lease_ttl_s = max(ctx.intervals.lease_ttl_s, needed_ttl_s)
        self.lease = await ctx.store.grant_lease(self._lease_ttl_s)
        record = MemberRecord(
            identity.entry,
            holder,
            identity.peer_address,
            identity.zone,
            identity.region,
            ctx.nonce(),
        )
        await ctx.store.txn([], [Put(member_key(identity.entry), to_json(record), self.lease)])

    async def _claim_free(self) -> None:
        if (
            self._is_remote()
            and self._ctx.timers.now() < self._registered_at + REMOTE_CLAIM_DELAY_S
        ):
            return
        members = self.owner_candidates()
        entry = self._ctx.identity.entry
        free = [
            slot
            for slot in range(self._ctx.identity.slots)
            if slot not in self.view.slots and rendezvous(f'slot{slot}', members)[:1] == [entry]
        ]
        for slot in free[:CLAIMS_PER_ROUND]:
            await self._claim(slot, None, 0, [], Ledger())

    async def _claim(
        self, slot: int, old: SlotRecord | None, mod_rev: int, lineage: list[str], staged: Ledger
    ) -> bool:
        """Write a slot's record with this entry as owner; return whether that succeeded.

        `lineage` names the other holders whose journals may have records that are in no
        checkpoint yet; `staged` holds the programs loaded for the slot.
        """
        owner = self.owner
        if owner is None:
            return False
        epoch = old.epoch + 1 if old else 1
        record = SlotRecord(slot, owner.holder, epoch, self._ctx.nonce(), [*lineage, owner.holder])
        put = Put(slot_key(slot), to_json(record))
        self._claiming.add(slot)
        try:
            claimed = await self._ctx.writer.write(put, mod_rev, [owner.journal.guard])
            if claimed and self.owner is owner:
                self._acquire(slot, record, staged)
        finally:
            self._claiming.discard(slot)
        return claimed

    async def hand_over(self, slot: int, target: MemberRecord) -> bool:
        """Make another entry the owner of a saved slot; it loads the checkpoints."""
        kv_entry = await self._ctx.store.get(slot_key(slot))
        old, mod_rev = _parse_slot(kv_entry)
        if old.holder != self.owner.holder:
            return False
        record = SlotRecord(slot, target.holder, old.epoch + 1, self._ctx.nonce(), [target.holder])
        put = Put(slot_key(slot), to_json(record))
        done = await self._ctx.writer.write(put, mod_rev, [self.owner.journal.guard])
        self.owned.discard(slot)
        self.view.slots[slot] = (record, 0)
        return done

    def inherited_slots(self) -> dict[int, SlotRecord]:
        """Return the records of the owned slots that still need other holders' journals."""
        records = {slot: self.view.slots[slot][0] for slot in self.owned}
        return {slot: record for slot, record in records.items() if len(record.lineage) > 1}

    async def shorten_lineages(self, saved: dict[int, SlotRecord]) -> None:
        """Drop other holders' journals from the lineages of slots.

        `saved` has the slots' records from before their programs were saved. Slots claimed
        since are not in it: their programs may be in those journals only.
        """
        for slot, record in sorted(saved.items()):
            kv_entry = await self._ctx.store.get(slot_key(slot))
            old, mod_rev = _parse_slot(kv_entry)
            if self.owner is None or old != record or old.holder != self.owner.holder:
                continue
            short = evolve(old, lineage=[self.owner.holder], nonce=self._ctx.nonce())
            put = Put(slot_key(slot), to_json(short))
            if await self._ctx.writer.write(put, mod_rev, [self.owner.journal.guard]):
                self.view.slots[slot] = (short, 0)

    def unreferenced_journals(self) -> list[str]:
        """Return the sealed holders whose journals no slot's lineage names any more."""
        referenced = {h for record, _ in self.view.slots.values() for h in record.lineage}
        return sorted(self.sealed - referenced)

    async def _take_over_dead(self) -> None:
        for holder, slots in sorted(self._dead_slots().items()):
            takeover_entries = rendezvous(holder, self.owner_candidates())[:MAX_TAKEOVER_ENTRIES]
            entry = self._ctx.identity.entry
            if entry not in takeover_entries:
                continue
            assigned = [s for s in slots if rendezvous(f'slot{s}', takeover_entries)[0] == entry]
            if not assigned:
                continue
            if takeover_entries[0] != entry:
                rank = takeover_entries.index(entry)
                await self._ctx.timers.sleep(rank * self._ctx.intervals.seal_stagger_s)
            if await self._confirm_dead(holder) and await self._seal(holder) and self.owner:
                self.sealed.add(holder)
                await self._load_and_claim(holder, assigned)

    def _dead_slots(self) -> dict[str, list[int]]:
        """Return the slots whose holder has no member record, by holder."""
        now = self._ctx.timers.now()
        live = {member.holder for member in self.view.members.values()}
        dead: dict[str, list[int]] = {}
        holders = {record.holder for record, _ in self.view.slots.values()}
        for holder in holders - live:
            self._absent_since.setdefault(holder, now)
        for holder in list(self._absent_since):
            if holder in live or holder not in holders:
                del self._absent_since[holder]
        for slot, (record, _) in self.view.slots.items():
            if record.holder in self._absent_since:
                dead.setdefault(record.holder, []).append(slot)
        return dead

    async def _seal(self, holder: str) -> bool:
        """Seal an incarnation, so that none of its later journal writes can succeed."""
        if self.owner is None:
            return False
        key = incarnation_key(holder)
        kv_entry: KvEntry | None = await self._ctx.store.get(key)
        if kv_entry is None:
            return True
        record = from_json(kv_entry.value, IncarnationRecord)
        if record.sealed_by:
            return True
        sealed = evolve(record, sealed_by=self.owner.holder, nonce=self._ctx.nonce())
        put = Put(key, to_json(sealed))
        done = await self._ctx.writer.write(put, kv_entry.mod_rev, [self.owner.journal.guard])
        log.info('journal_sealed', holder=holder, by=self.owner.holder, done=done)
        return done or await self._seal(holder)

    async def _load_and_claim(self, dead_holder: str, slots: list[int]) -> None:
        """Rebuild programs from checkpoints and sealed journals, then claim the slots."""
        journals: dict[str, list[Segment]] = {}
        for slot in slots:
            kv_entry = await self._ctx.store.get(slot_key(slot))
            old, mod_rev = _parse_slot(kv_entry)
            if old.holder != dead_holder:
                continue  # another entry has claimed it
            for holder in old.lineage:
                if holder not in journals:
                    journals[holder] = await read_journal(self._ctx, holder)
            staged = await load_slot(self._ctx, slot)
            replay(self._ctx, slot, staged, old.lineage, journals)
            if await self._claim(slot, old, mod_rev, old.lineage, staged):
                self._ctx.metrics.takeovers.labels('dead').inc()

    async def _load_handed_over(self) -> None:
        """Load the slots that other entries have handed over to this one."""
        async with self._transfer_lock:
            for slot, (record, _) in list(self.view.slots.items()):
                owner = self.owner
                if owner is None or not self._is_handed_over(record, owner):
                    continue
                staged = await load_slot(self._ctx, slot)
                unchanged = self.owner is owner and self.owner_of(slot) == record
                if unchanged and self._is_handed_over(record, owner):
                    self._acquire(slot, record, staged)
                    self._ctx.metrics.takeovers.labels('handed').inc()

    def _acquire(self, slot: int, record: SlotRecord, staged: Ledger) -> None:
        self.owned.add(slot)
        self._ctx.metrics.slots_owned.set(len(self.owned))
        self.view.slots[slot] = (record, 0)
        self.on_slot_acquired(self.owner, staged)
        log.info('slot_acquired', slot=slot, epoch=record.epoch, programs=len(staged.programs))

    def _drop_lost_slots(self) -> None:
        """Drop the slots that belong to another holder, as last read."""
        for slot in list(self.owned):
            record = self.owner_of(slot)
            if record is not None and record.holder != self.owner.holder:
                self.owned.discard(slot)


def _readable(key: str, value: bytes, kind: type[T]) -> T | None:
    """Return a record of the view; one that cannot be read must not hide the others."""
    try:
        return from_stored_json(value, kind)
    except ValueError as exc:
        log.error('record_unreadable', key=key, error=str(exc))
        return None


def _parse_slot(kv_entry: KvEntry) -> tuple[SlotRecord, int]:
    return from_json(kv_entry.value, SlotRecord), kv_entry.mod_rev


async def suppress_outage(awaitable, name: str) -> None:
    """Await a maintenance step; log a key-value service outage instead of raising."""
    try:
        await awaitable
    except (NotSent, OutcomeUnknown) as exc:
        log.info('maintenance_failed', name=name, error=str(exc))
    except asyncio.CancelledError:
        raise
