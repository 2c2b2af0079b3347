"""Local service: serves requests for the programs that this entry owns."""

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
from .slots import SlotKeeper

HOLD_LIMIT_S = 5.0


@frozen
class Resolution:
    """An operator's word on a call in doubt; no content when it did not run."""

    content: str | None = None


@frozen
class Doubt:
    """A call whose outcome is unknown."""

    program_id: str
    seq: int
    team: str
    tool: str
    idempotency_key: str


class LocalService:
    """Maps typed requests to the owner's methods."""

    def __init__(self, ctx: Context, keeper: SlotKeeper) -> None:
        """Take the slots."""
        self._ctx = ctx
        self._keeper = keeper
        self._held: dict[int, asyncio.Event] = {}

    def hold(self, slot: int) -> asyncio.Event:
        """Let new requests for a slot wait until the event is set."""
        return self._held.setdefault(slot, asyncio.Event())

    def is_held(self, slot: int) -> bool:
        """Say whether a slot is being handed over."""
        return slot in self._held

    def unhold(self, slot: int) -> None:
        """Let them go on, here or at the new owner."""
        event = self._held.pop(slot, None)
        if event is not None:
            event.set()

    async def forward(self, req: ForwardReq) -> AsyncIterator[Frame]:
        """Serve one request; Refusal(NOT_OWNER) when the slot is elsewhere."""
        if req.operation is Operation.DOUBTS:
            yield Result(to_json(self.doubts()))
            return
        owner = await self._owner_for(req)
        if req.operation in (Operation.CALL, Operation.FETCH):
            async for item in self._follow(owner, req):
                yield Result(to_json(item)) if isinstance(item, Answer) else item
        else:
            yield Result(await self._document(owner, req))

    def doubts(self) -> list[Doubt]:
        """Return the doubts about calls of owned programs."""
        if self._keeper.owner is None:
            return []
        return [
            Doubt(
                program.program_id,
                seq,
                program.opened.team,
                program.claims[seq].claim.tool,
                program.claims[seq].claim.idempotency_key,
            )
            for program, seq in self._keeper.owner.doubts()
        ]

    def _follow(self, owner: Owner, req: ForwardReq) -> AsyncIterator[Chunk | Answer]:
        if req.operation is Operation.FETCH:
            return owner.fetch(req.team, req.program_id, req.seq, req.from_offset)
        call = typed_body(req.body, CallReq)
        return owner.call(req.team, req.program_id, call, req.from_offset)

    async def _document(self, owner: Owner, req: ForwardReq) -> bytes:
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
        held = self._held.get(slot)
        if held is not None:
            try:
                await asyncio.wait_for(held.wait(), HOLD_LIMIT_S)
            except TimeoutError:
                # What ran here now would be in no checkpoint that the heir loads.
                raise Refusal(Reason.NOT_OWNER, f'slot {slot} is being handed over') from None
        owner = self._keeper.owner
        if owner is None or slot not in self._keeper.owned or owner.journal.fenced:
            raise Refusal(Reason.NOT_OWNER, f'slot {slot}')
        if req.operation is not Operation.ALIVE:  # sweeps must not undo evictions
            await self._load(owner, req.program_id)
        return owner

    async def _load(self, owner: Owner, program_id: str) -> None:
        """Bring an evicted program back, with the programs above it."""
        if program_id in owner.ledger.programs or not owner.has_evicted(program_id):
            return
        program = await load_program(self._ctx, program_id)
        if program is None or program_id in owner.ledger.programs:
            return
        if program.opened.parent is not None:
            await self._load(owner, program.opened.parent)
        owner.adopt(program)
