"""Journal tails: outcomes that are not durable yet, copied to peers meanwhile.

While the key-value service cannot be reached, an outcome is answered once at
least one peer keeps a copy. The peer drops its copy when the sender reports that
the outcome is durable, or when the program's new owner has accepted it. This
resembles the hinted handoff of DeCandia et al., "Dynamo: Amazon's Highly
Available Key-value Store", SOSP 2007, section 4.6; docs/design/cut-off.md gives
the measurement that justifies it.
"""

import asyncio

import structlog

from toucanlead_core.codec import from_json, to_json
from toucanlead_core.errors import PeerError, Reason, Refusal, Step
from toucanlead_core.ids import slot_of_program
from toucanlead_peer.messages import TailPiece
from toucanlead_state.records import (
    Adopted,
    Branched,
    Finished,
    Record,
    Segment,
    Settled,
    Unclaimed,
)

from .context import Context
from .owner import Owner
from .slots import SlotManager

log = structlog.get_logger()

TAIL_COPIES = 2
MAX_KEPT_BYTES = 16_000_000


class TailReplicator:
    """Copies this entry's tail to peers, and keeps and delivers the tails of peers."""

    def __init__(self, ctx: Context, slot_manager: SlotManager) -> None:
        """Start with no tails; `slot_manager` gives the peers and the owners of slots."""
        self._ctx = ctx
        self._slot_manager = slot_manager
        self._kept: dict[tuple[str, int], TailPiece] = {}
        self._kept_bytes = 0
        self._last_index = 0

    @property
    def kept(self) -> int:
        """Return how many pieces are kept here for delivery."""
        return len(self._kept)

    async def copy(self, owner: Owner, finished: Finished, future: asyncio.Future) -> bool:
        """Copy an outcome to peers; return False when none accepted it.

        `future` resolves when the outcome is durable; then the peers drop their copies.
        """
        self._last_index += 1
        segment = Segment(self._ctx.nonce(), owner.holder, self._last_index, [finished])
        piece = TailPiece(owner.holder, self._last_index, to_json(segment))
        accepted = []
        for address in self._copy_targets():
            if len(accepted) == TAIL_COPIES:
                break
            if await self._send(address, piece):
                accepted.append(address)
        if accepted:
            self._ctx.tasks.spawn(self._drop_when_durable(piece, accepted, future), 'tail drop')
        return bool(accepted)

    def keep(self, piece: TailPiece) -> None:
        """Keep a piece; one with an empty segment drops the kept piece of its holder and index."""
        key = (piece.holder, piece.index)
        if not piece.segment:
            old = self._kept.pop(key, None)
            self._kept_bytes -= len(old.segment) if old else 0
            return
        if self._kept_bytes + len(piece.segment) > MAX_KEPT_BYTES:
            raise Refusal(Reason.OVERLOAD, 'the memory limit for tails is reached')
        self._kept[key] = piece
        self._kept_bytes += len(piece.segment)

    def keep_uncommitted(self, holder: str, records: list[Record]) -> None:
        """Keep this entry's own records that were not durable before a takeover."""
        for record in records:
            if isinstance(record, Finished | Unclaimed | Settled):
                self._last_index += 1
                segment = Segment(self._ctx.nonce(), holder, self._last_index, [record])
                self.keep(TailPiece(holder, self._last_index, to_json(segment)))

    async def deliver_kept(self) -> None:
        """Deliver the kept pieces, in order, to the new owners of their programs."""
        for key in sorted(self._kept):
            piece = self._kept.get(key)
            if piece is not None:
                await self._deliver(piece)

    def programs_in(self, piece: TailPiece) -> set[str]:
        """Return the ids of the programs that a piece has records of."""
        return {r.program_id for r in from_json(piece.segment, Segment).records}

    async def apply(self, owner: Owner, piece: TailPiece) -> None:
        """Append a piece's records to the owner's journal; a late outcome becomes a branch."""
        segment = from_json(piece.segment, Segment)
        for record in segment.records:
            if isinstance(record, Finished):
                await self._apply_finished(owner, piece.holder, record)
            elif isinstance(record, Unclaimed):
                await self._apply_unclaimed(owner, piece.holder, record)
            elif isinstance(record, Settled) and record.holder == piece.holder:
                await owner.journal.append([record])

    async def _apply_finished(self, owner: Owner, holder: str, finished: Finished) -> None:
        program = owner.ledger.programs.get(finished.program_id)
        if program is None:
            return
        if finished.seq > program.next_seq or owner.has_calls_in_progress({program.program_id}):
            raise Refusal(Reason.IN_PROGRESS, 'an earlier call must finish first')
        if finished.seq == program.next_seq:
            record = Adopted(program.program_id, holder, finished)
        elif any(_same_outcome(known, finished) for known in [*program.turns, *program.branches]):
            return
        else:
            record = Branched(program.program_id, holder, finished)
        await owner.journal.append([record])
        log.info('tail_applied', program=program.program_id, seq=finished.seq, holder=holder)

    async def _apply_unclaimed(self, owner: Owner, holder: str, record: Unclaimed) -> None:
        """Void a claim whose holder reports that the call was never sent or did not run."""
        program = owner.ledger.programs.get(record.program_id)
        claim = program.claims.get(record.seq) if program else None
        if claim is not None and claim.holder == holder:
            await owner.journal.append([record])
            log.info('claim_voided', program=record.program_id, seq=record.seq)

    async def _deliver(self, piece: TailPiece) -> None:
        segment = from_json(piece.segment, Segment)
        slot = slot_of_program(segment.records[0].program_id, self._ctx.identity.slots)
        record = self._slot_manager.owner_of(slot)
        if record is None or record.holder == piece.holder:
            return
        address = self._slot_manager.view.address_of(record.holder)
        if address is None:
            return
        try:
            await self._ctx.peers.deliver_tail(address, piece)
        except (PeerError, Refusal) as exc:
            log.info('tail_delivery_retried', peer=address, error=str(exc))
            return
        self.keep(TailPiece(piece.holder, piece.index, b''))

    def _copy_targets(self) -> list[str]:
        identity = self._ctx.identity
        others = [m for m in self._slot_manager.view.members.values() if m.entry != identity.entry]
        others.sort(key=lambda m: (m.zone != identity.zone, m.region != identity.region, m.entry))
        return [member.peer_address for member in others]

    async def _send(self, address: str, piece: TailPiece) -> bool:
        try:
            await self._ctx.peers.keep_tail(address, piece)
        except (PeerError, Refusal) as exc:
            log.info('tail_copy_failed', peer=address, step=Step.RECORD.value, error=str(exc))
            return False
        return True

    async def _drop_when_durable(
        self, piece: TailPiece, addresses: list[str], future: asyncio.Future
    ) -> None:
        await asyncio.wait([future])
        if future.exception() is not None:
            return
        for address in addresses:
            await self._send(address, TailPiece(piece.holder, piece.index, b''))


def _same_outcome(one: Finished, other: Finished) -> bool:
    return one.digest == other.digest and one.answer.content == other.answer.content
