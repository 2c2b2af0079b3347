"""Spending: reservations and grants of one program's budget at its owner."""

from toucanlead_core.errors import Reason, Refusal, Step
from toucanlead_state.budget import Escrow, next_grant
from toucanlead_state.ledger import Ledger, Program
from toucanlead_state.records import Granted, Spent

from .context import Context
from .journal import Journal
from .live import LiveCall
from .waiting import within


class Spending:
    """Reserves the worst case before a call, out of durable grants only."""

    def __init__(self, ctx: Context, ledger: Ledger, journal: Journal) -> None:
        """Take the books of one incarnation."""
        self._ctx = ctx
        self._ledger = ledger
        self._journal = journal
        self._queued: dict[str, int] = {}

    async def reserve(self, program: Program, live: LiveCall, units: int) -> None:
        """Set units aside for a call, taking a grant when there is too little.

        The call keeps its reservation until its expense is in the books.
        """
        await self._reserve(program, units)
        live.reserved += units

    def release(self, program: Program, live: LiveCall) -> None:
        """Give back what a call reserved and did not spend."""
        self._ledger.escrow_of(program).unreserve(live.reserved)
        live.reserved = 0

    def spend_reserved(self, program: Program, live: LiveCall, replica: str) -> None:
        """Write a call's whole reservation off, for an attempt without an answer."""
        units = live.reserved
        live.reserved = 0
        escrow = self._ledger.escrow_of(program)
        future = self._journal.append([Spent(program.program_id, units, replica)])
        future.add_done_callback(lambda _: escrow.unreserve(units))

    async def _reserve(self, program: Program, units: int) -> None:
        escrow = self._ledger.escrow_of(program)
        root = self._ledger.root_of(program).program_id
        holder = self._journal.holder
        if escrow.reserve(holder, units):
            return
        wanted = self._grant(escrow, root, units, ahead=0)
        if escrow.free(holder) + wanted < units:
            raise Refusal(
                Reason.BUDGET_EXHAUSTED,
                f'needs {units} tokens, {max(0, escrow.free(holder))} are free',
                step=Step.RESERVE,
            )
        self.note_queued(root, wanted)
        future = self._journal.append([Granted(root, wanted)])
        if not await within(self._ctx.timers, future, self._ctx.preset.claim_wait_s):
            raise Refusal(
                Reason.PLATFORM_DOWN,
                'no budget grant could be made durable',
                step=Step.RESERVE,
                peer='key-value service',
                retry_after_ms=1000,
            )
        if not escrow.reserve(holder, units):
            raise Refusal(Reason.BUDGET_EXHAUSTED, 'grant used up', step=Step.RESERVE)

    def grant_ahead(self, program: Program, live: LiveCall, need: int, cost: int) -> int:
        """Return the grant to write along with an outcome, for the calls that follow."""
        escrow = self._ledger.escrow_of(program)
        root = self._ledger.root_of(program).program_id
        free_after = escrow.free(self._journal.holder) + live.reserved - cost
        if free_after >= need:
            return 0
        ahead = (self._ctx.preset.grant_calls - 1) * need
        grant = self._room(escrow, root, need - free_after + ahead)
        self.note_queued(root, grant)
        return grant

    def note_queued(self, root: str, units: int) -> None:
        """Count a grant that waits in the journal, so that it is not given twice."""
        self._queued[root] = self._queued.get(root, 0) + units

    def note_durable(self, root: str, units: int) -> None:
        """Count it off again."""
        left = self._queued.get(root, 0) - units
        if left > 0:
            self._queued[root] = left
        else:
            self._queued.pop(root, None)

    def _grant(self, escrow: Escrow, root: str, units: int, ahead: int) -> int:
        wanted = next_grant(escrow, self._journal.holder, units, ahead)
        return self._room(escrow, root, wanted)

    def _room(self, escrow: Escrow, root: str, units: int) -> int:
        return max(0, min(units, escrow.ungranted - self._queued.get(root, 0)))
