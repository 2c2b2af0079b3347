"""Poller that asks tool services for the outcomes of calls in doubt."""

import structlog

from toucanlead_backends.tool import OutcomeState
from toucanlead_core.errors import PeerError, Refusal

from .context import Context
from .owner import Owner
from .slots import SlotManager

log = structlog.get_logger()


class DoubtPoller:
    """Resolves calls in doubt once their tool service reports an outcome.

    The answer "unseen" resolves nothing, since a paused former owner may still
    send the call. Only an outcome or an operator's decision resolves a call.
    """

    def __init__(self, ctx: Context, slot_manager: SlotManager) -> None:
        """Poll for the programs in the slots that `slot_manager` owns."""
        self._ctx = ctx
        self._slot_manager = slot_manager

    async def poll(self) -> None:
        """Query the outcome of each call in doubt once."""
        owner = self._slot_manager.owner
        if owner is None:
            return
        for program, seq in owner.doubts():
            await self._query_outcome(owner, program.program_id, seq, program.claims[seq].claim)

    async def _query_outcome(self, owner: Owner, program_id: str, seq: int, claim) -> None:
        spec = self._ctx.backends.tools.get(claim.tool)
        service = self._ctx.backends.services.get(spec.service) if spec else None
        if service is None:
            return
        try:
            outcome = await service.outcome(claim.idempotency_key)
            if outcome.state is OutcomeState.DONE:
                await owner.resolve(program_id, seq, outcome.content)
                log.info('in_doubt_call_resolved', program=program_id, seq=seq)
        except (PeerError, Refusal) as exc:
            log.info('outcome_query_failed', program=program_id, seq=seq, error=str(exc))
