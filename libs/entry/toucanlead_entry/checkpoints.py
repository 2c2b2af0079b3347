"""Checkpoints: save programs, trim journals, evict idle programs and load them again."""

import asyncio

import structlog

from toucanlead_core.codec import from_json, to_json
from toucanlead_core.errors import Fenced, Step
from toucanlead_core.ids import slot_of_program
from toucanlead_kv.kv import Compare, Delete, KvEntry, Put
from toucanlead_state.checkpoint import Head, Part, make_head, restore, unsaved_parts
from toucanlead_state.ledger import Ledger, Program
from toucanlead_state.records import Record, Segment

from .context import Context
from .kv_records import journal_key, journal_prefix
from .owner import Owner
from .settlement import settlement

log = structlog.get_logger()

MAX_JOURNAL_SEGMENTS = 200  # a takeover reads the whole journal
DELETES_PER_TXN = 64
MAX_CONCURRENT_SAVES = 8


class Checkpoints:
    """Saves an owner's programs, trims its journal and evicts its idle programs."""

    def __init__(self, ctx: Context, owner: Owner) -> None:
        """Save the programs of `owner`, whose journal has no segments yet."""
        self._ctx = ctx
        self._owner = owner
        self._first_unsaved: dict[str, int] = {}
        self._trimmed_up_to = 0

    def note_durable(self, records: list[Record], index: int) -> None:
        """Note which programs have records in the durable segment `index` and need saving."""
        for record in records:
            self._first_unsaved.setdefault(record.program_id, index)

    def note_recovered(self, program_ids: list[str]) -> None:
        """Note programs rebuilt from other holders' journals, to be saved soon."""
        for program_id in program_ids:
            self._first_unsaved.setdefault(program_id, self._owner.journal.next_index)

    @property
    def unsaved(self) -> int:
        """Return how many programs have records that are only in a journal."""
        return len(self._first_unsaved)

    async def trim_journal(self) -> None:
        """Save the programs with the oldest unsaved records, then delete saved segments."""
        limit = self._owner.journal.next_index - MAX_JOURNAL_SEGMENTS
        overdue = [p for p, index in self._first_unsaved.items() if index < limit]
        for program_id in overdue:
            await self.save(program_id)
        await self._delete_saved_segments()

    async def save_all(self, program_ids: list[str]) -> None:
        """Save those of the programs that have records only in journals."""
        for program_id in program_ids:
            if program_id in self._first_unsaved:
                await self.save(program_id)

    async def settle_and_save(self, program_ids: list[str]) -> None:
        """Close this holder's open budget grants, and save programs for their next owner."""
        settled: list[Record] = []
        for program_id in program_ids:
            record = settlement(self._owner.ledger, self._owner.holder, program_id)
            if record is not None:
                settled.append(record)
        if settled:
            await self._owner.journal.append(settled, urgent=True)
        for program_id in program_ids:
            self._first_unsaved.setdefault(program_id, self._owner.journal.next_index)
        for start in range(0, len(program_ids), MAX_CONCURRENT_SAVES):
            batch = program_ids[start : start + MAX_CONCURRENT_SAVES]
            await asyncio.gather(*(self.save(program_id) for program_id in batch))

    async def save(self, program_id: str) -> None:
        """Write a program's new turns and its head; raise Fenced after a takeover."""
        program = self._owner.ledger.programs.get(program_id)
        if program is None:
            self._first_unsaved.pop(program_id, None)
            return
        applied_index = self._owner.journal.next_index
        parts = unsaved_parts(program)
        turns = len(program.turns)
        part_index = program.saved_parts
        applied = {**program.applied, self._owner.holder: applied_index}
        head = make_head(program, part_index + len(parts), applied, self._ctx.nonce())
        for part in parts:
            await self._put_part(program, part_index, part)
            part_index += 1
        head_rev = await self._put_head(program, head)
        program.head_rev = head_rev
        program.saved_turns = turns
        program.saved_parts = part_index
        program.applied = applied
        first_unsaved = self._first_unsaved.get(program_id)
        if first_unsaved is not None and self._owner.journal.next_index == applied_index:
            del self._first_unsaved[program_id]
        elif first_unsaved is not None:
            self._first_unsaved[program_id] = max(first_unsaved, applied_index)

    async def evict_idle(self, idle_before: float) -> int:
        """Save and evict programs last used before `idle_before`, in seconds; return how many.

        A root program and its sub-agents are evicted together or not at all.
        """
        evicted = 0
        for tree in self._idle_trees(idle_before):
            await self.save_all(tree)
            if self._owner.has_calls_in_progress(set(tree)) or any(
                p in self._first_unsaved for p in tree
            ):
                continue
            for program_id in tree:
                self._owner.evict(program_id)
                evicted += 1
        return evicted

    async def delete(self, program: Program) -> None:
        """Delete an ended program's checkpoint."""
        prefix = program_prefix(self._ctx, program.program_id)
        for kv_entry in await self._ctx.store.scan(prefix):
            await self._ctx.store.txn([self._owner.journal.guard], [Delete(kv_entry.key)])
        self._first_unsaved.pop(program.program_id, None)

    def _idle_trees(self, idle_before: float) -> list[list[str]]:
        """Return the program ids of each idle tree: a root program and all its sub-agents."""
        trees: dict[str, list[str]] = {}
        ledger = self._owner.ledger
        for program in ledger.programs.values():
            root = ledger.root_of(program).program_id
            trees.setdefault(root, []).append(program.program_id)
        return [
            tree
            for tree in trees.values()
            if all(self._owner.runtime(p).last_used_at < idle_before for p in tree)
            and not any(ledger.programs[p].claims for p in tree)
            and not self._owner.has_calls_in_progress(set(tree))
        ]

    async def _put_part(self, program: Program, part_index: int, part: Part) -> None:
        key = f'{program_prefix(self._ctx, program.program_id)}t{part_index:04d}'
        put = Put(key, to_json(part))
        # An interrupted save may have left this part without a head; it is overwritten.
        existing = await self._ctx.store.get(key)
        if existing is not None and existing.value == put.value:
            return
        await self._write_fenced(put, existing.mod_rev if existing else 0)

    async def _put_head(self, program: Program, head: Head) -> int:
        key = f'{program_prefix(self._ctx, program.program_id)}head'
        await self._write_fenced(Put(key, to_json(head)), program.head_rev)
        kv_entry = await self._ctx.store.get(key)
        return kv_entry.mod_rev if kv_entry else 0

    async def _write_fenced(self, put: Put, mod_rev: int) -> None:
        if not await self._ctx.writer.write(put, mod_rev, [self._owner.journal.guard]):
            raise Fenced('checkpoint write refused', step=Step.RECORD, peer=put.key)

    async def _delete_saved_segments(self) -> None:
        """Delete the segments whose records are all in checkpoints."""
        journal = self._owner.journal
        first_needed = min(self._first_unsaved.values(), default=journal.next_index)
        first_needed = min(first_needed, journal.next_index)
        while self._trimmed_up_to < first_needed:
            end = min(first_needed, self._trimmed_up_to + DELETES_PER_TXN)
            ops = [Delete(journal_key(journal.holder, i)) for i in range(self._trimmed_up_to, end)]
            await self._ctx.store.txn([journal.guard], ops)
            self._trimmed_up_to = end


def program_prefix(ctx: Context, program_id: str) -> str:
    """Return the key prefix of a program's checkpoint."""
    slot = slot_of_program(program_id, ctx.identity.slots)
    return f'state/{slot:04x}/{program_id}/'


async def load_slot(ctx: Context, slot: int) -> Ledger:
    """Load the checkpoints of all programs in a slot."""
    ledger = Ledger()
    entries = await ctx.store.scan(f'state/{slot:04x}/')
    for program in _restore_all(entries):
        ledger.programs[program.program_id] = program
    return ledger


async def load_program(ctx: Context, program_id: str) -> Program | None:
    """Load one program's checkpoint; None if there is none."""
    programs = _restore_all(await ctx.store.scan(program_prefix(ctx, program_id)))
    return programs[0] if programs else None


def replay(
    ctx: Context,
    slot: int,
    ledger: Ledger,
    lineage: list[str],
    journals: dict[str, list[Segment]],
) -> None:
    """Apply to a slot's ledger the journal records that its checkpoints lack.

    `lineage` names the holders of the journals, oldest first.
    """
    for holder in lineage:
        for segment in journals[holder]:
            for record in segment.records:
                if slot_of_program(record.program_id, ctx.identity.slots) != slot:
                    continue
                program = ledger.programs.get(record.program_id)
                if program is None or segment.index >= program.applied.get(holder, 0):
                    ledger.apply(record, holder)


async def delete_journal(ctx: Context, holder: str, guard: Compare) -> None:
    """Delete a sealed journal's segments; its incarnation record stays, still sealed."""
    for kv_entry in await ctx.store.scan(journal_prefix(holder)):
        await ctx.store.txn([guard], [Delete(kv_entry.key)])


def _restore_all(entries: list[KvEntry]) -> list[Program]:
    heads = [e for e in entries if e.key.endswith('/head')]
    values = {kv_entry.key: kv_entry.value for kv_entry in entries}
    programs = []
    for kv_entry in heads:
        head = from_json(kv_entry.value, Head)
        prefix = kv_entry.key.removesuffix('head')
        parts = [from_json(values[f'{prefix}t{i:04d}'], Part) for i in range(head.parts)]
        programs.append(restore(head, parts, kv_entry.mod_rev))
    return programs
