"""Handling of forwarded requests for the programs that this entry owns."""

import asyncio
from collections.abc import AsyncIterator

import orjson
from attrs import frozen

from toucanlead_core.codec import to_json
from toucanlead_core.errors import Reason, Refusal
from toucanlead_core.ids import slot_of_program
from toucanlead_core.messages import Answer, CallReq, Chunk, ProgramSpec
from toucanlead_peer.messages import ForwardReq, Frame, Operation, Result

from .bodies import typed_body
from .checkpoints import load_program
from .context import Context
from .owner import Owner
from .slots import SlotManager

HANDOVER_WAIT_S = 5.0  # the longest that a request waits for a handover


@frozen
class Resolution:
    """An operator's decision on a call in doubt: its result, or None if it did not run."""

    content: str | None = None


@frozen
class Doubt:
    """A call in doubt: it may have run, and its outcome is unknown."""

    program_id: str
    seq: int
    team: str
    tool: str
    idempotency_key: str


class LocalService:
    """Parses forwarded requests and dispatches them to this entry's owner."""

    def __init__(self, ctx: Context, slot_manager: SlotManager) -> None:
        """Serve the programs in the slots that `slot_manager` owns."""
        self._ctx = ctx
        self._slot_manager = slot_manager
        self._handovers: dict[int, asyncio.Event] = {}

    def block_slot(self, slot: int) -> asyncio.Event:
        """Block new requests for a slot during its handover, until `unblock_slot`."""
        return self._handovers.setdefault(slot, asyncio.Event())

    def is_slot_blocked(self, slot: int) -> bool:
        """Return whether a slot is being handed over."""
        return slot in self._handovers

    def unblock_slot(self, slot: int) -> None:
        """Unblock the requests for a slot after its handover succeeded or failed."""
        event = self._handovers.pop(slot, None)
        if event is not None:
            event.set()

    async def forward(self, req: ForwardReq) -> AsyncIterator[Frame]:
        """Yield a request's frames; raise Refusal(NOT_OWNER) if the program is not owned here."""
        if req.operation is Operation.DOUBTS:
            yield Result(to_json(self.doubts()))
            return
        owner = await self._owner_for(req)
        if req.operation in (Operation.CALL, Operation.FETCH):
            async for item in self._call_frames(owner, req):
                yield Result(to_json(item)) if isinstance(item, Answer) else item
        else:
            yield Result(await self._result_body(owner, req))

    def doubts(self) -> list[Doubt]:
        """Return the calls in doubt of the programs owned here."""
        if self._slot_manager.owner is None:
            return []
        return [
            Doubt(
                program.program_id,
                seq,
                program.opened.team,
                program.claims[seq].claim.tool,
                program.claims[seq].claim.idempotency_key,
            )
            for program, seq in self._slot_manager.owner.doubts()
        ]

    def _call_frames(self, owner: Owner, req: ForwardReq) -> AsyncIterator[Chunk | Answer]:
        if req.operation is Operation.FETCH:
            return owner.fetch(req.team, req.program_id, req.seq, req.from_offset)
        call = typed_body(req.body, CallReq)
        return owner.call(req.team, req.program_id, call, req.from_offset)

    async def _result_body(self, owner: Owner, req: ForwardReq) -> bytes:
        match req.operation:
            case Operation.OPEN:
                spec = typed_body(req.body, ProgramSpec)
                return to_json(await owner.open(req.team, req.program_id, spec))
            case Operation.SHOW:
                return to_json(owner.show(req.team, req.program_id))
            case Operation.END:
                return to_json(await owner.end(req.team, req.program_id))
            case Operation.ALIVE:
                return orjson.dumps(owner.alive(req.program_id))
            case Operation.RESOLVE:
                resolution = typed_body(req.body, Resolution)
                await owner.resolve(req.program_id, req.seq, resolution.content)
                return orjson.dumps(True)
        raise Refusal(Reason.BAD_REQUEST, req.operation.value)

    async def _owner_for(self, req: ForwardReq) -> Owner:
        slot = slot_of_program(req.program_id, self._ctx.identity.slots)
        if slot is None:
            raise Refusal(Reason.UNKNOWN_PROGRAM, req.program_id)
        handover = self._handovers.get(slot)
        if handover is not None:
            try:
                await asyncio.wait_for(handover.wait(), HANDOVER_WAIT_S)
            except TimeoutError:
                # A call run now would be missing from the checkpoint that the new owner loads.
                raise Refusal(Reason.NOT_OWNER, f'slot {slot} is being handed over') from None
        owner = self._slot_manager.owner
        if owner is None or slot not in self._slot_manager.owned or owner.journal.fenced:
            raise Refusal(Reason.NOT_OWNER, f'slot {slot} is not owned by this entry')
        if req.operation is not Operation.ALIVE:  # periodic sweeps must not undo evictions
            await self._load(owner, req.program_id)
        return owner

    async def _load(self, owner: Owner, program_id: str) -> None:
        """Load an evicted program and its parents into memory again."""
        if program_id in owner.ledger.programs or not owner.is_evicted(program_id):
            return
        program = await load_program(self._ctx, program_id)
        if program is None or program_id in owner.ledger.programs:
            return
        if program.opened.parent is not None:
            await self._load(owner, program.opened.parent)
        owner.restore(program)
