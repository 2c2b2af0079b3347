"""Reservations and grants of program budgets at their owner, in tokens."""

from toucanlead_core.errors import Reason, Refusal, Step
from toucanlead_state.budget import Escrow, next_grant
from toucanlead_state.ledger import Ledger, Program
from toucanlead_state.records import Granted, Spent

from .context import Context
from .journal import Journal
from .live_call import LiveCall
from .waiting import completes_within


class Spending:
    """Reserves the highest possible cost of each call, out of durable grants only."""

    def __init__(self, ctx: Context, ledger: Ledger, journal: Journal) -> None:
        """Use the ledger and the journal of one incarnation of the entry."""
        self._ctx = ctx
        self._ledger = ledger
        self._journal = journal
        self._queued_grants: dict[str, int] = {}

    async def reserve(self, program: Program, live: LiveCall, units: int) -> None:
        """Reserve tokens for a call, with a new grant if the present ones are too small.

        The reservation is kept until the expense of the call is in the ledger.
        """
        await self._reserve(program, units)
        live.reserved += units

    def release(self, program: Program, live: LiveCall) -> None:
        """Release the rest of a call's reservation."""
        self._ledger.escrow_of(program).unreserve(live.reserved)
        live.reserved = 0

    def spend_reserved(self, program: Program, live: LiveCall, replica: str) -> None:
        """Record a call's whole reservation as spent, for an attempt with an unknown outcome."""
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
        wanted = self._needed_grant(escrow, root, units, ahead=0)
        if escrow.available(holder) + wanted < units:
            raise Refusal(
                Reason.BUDGET_EXHAUSTED,
                f'{units} tokens needed, {max(0, escrow.available(holder))} available',
                step=Step.RESERVE,
            )
        self.add_queued_grant(root, wanted)
        future = self._journal.append([Granted(root, wanted)])
        if not await completes_within(self._ctx.timers, future, self._ctx.preset.claim_wait_s):
            raise Refusal(
                Reason.PLATFORM_DOWN,
                'the budget grant could not be made durable in time',
                step=Step.RESERVE,
                peer='key-value service',
                retry_after_ms=1000,
            )
        if not escrow.reserve(holder, units):
            raise Refusal(
                Reason.BUDGET_EXHAUSTED, 'other calls used up the new grant', step=Step.RESERVE
            )

    def grant_ahead(self, program: Program, live: LiveCall, need: int, cost: int) -> int:
        """Return the grant to record along with an outcome, 0 if the next call needs none.

        `need` is the expected reservation of each following call, `cost` what this call spent.
        """
        escrow = self._ledger.escrow_of(program)
        root = self._ledger.root_of(program).program_id
        available_after = escrow.available(self._journal.holder) + live.reserved - cost
        if available_after >= need:
            return 0
        ahead = (self._ctx.preset.grant_calls - 1) * need
        grant = self._limit_to_ungranted(escrow, root, need - available_after + ahead)
        self.add_queued_grant(root, grant)
        return grant

    def add_queued_grant(self, root: str, units: int) -> None:
        """Count a grant queued in the journal, so that its tokens are not granted twice."""
        self._queued_grants[root] = self._queued_grants.get(root, 0) + units

    def remove_queued_grant(self, root: str, units: int) -> None:
        """Stop counting a queued grant, which is durable now."""
        left = self._queued_grants.get(root, 0) - units
        if left > 0:
            self._queued_grants[root] = left
        else:
            self._queued_grants.pop(root, None)

    def _needed_grant(self, escrow: Escrow, root: str, units: int, ahead: int) -> int:
        wanted = next_grant(escrow, self._journal.holder, units, ahead)
        return self._limit_to_ungranted(escrow, root, wanted)

    def _limit_to_ungranted(self, escrow: Escrow, root: str, units: int) -> int:
        return max(0, min(units, escrow.ungranted - self._queued_grants.get(root, 0)))
