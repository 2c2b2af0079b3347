"""Forwarding of requests to the entry that owns their program, which may be this one."""

from collections.abc import AsyncIterator

import orjson
import structlog

from toucanlead_core.codec import converter
from toucanlead_core.errors import (
    ExecutionStatus,
    NotSent,
    OutcomeUnknown,
    Reason,
    Refusal,
    RetryReason,
    Step,
)
from toucanlead_core.ids import slot_of_program
from toucanlead_core.messages import Chunk
from toucanlead_peer.messages import ForwardReq, Frame, Result

from .context import Context
from .local_service import LocalService
from .slots import SlotManager

log = structlog.get_logger()

RETRY_DELAY_S = 0.1
RETRY_DELAY_LIMIT_S = 1.0
_OWNER_CHANGED = (Reason.NOT_OWNER, Reason.OWNERSHIP_LOST)


class Gateway:
    """Forwards requests to the owners of their programs and retries when an owner changes.

    Calls are idempotent by program, sequence number and body, so a request whose
    owner failed can be sent to the next owner. No other layer retries it.
    """

    def __init__(
        self, ctx: Context, slot_manager: SlotManager, local_service: LocalService
    ) -> None:
        """Look owners up in `slot_manager`; serve requests with `local_service` if owned here."""
        self._ctx = ctx
        self._slot_manager = slot_manager
        self._local_service = local_service

    async def request(self, req: ForwardReq) -> AsyncIterator[Frame]:
        """Yield the owner's frames, without repeating tokens after a retry; raise its Refusal."""
        slot = slot_of_program(req.program_id, self._ctx.identity.slots)
        if slot is None:
            raise self._count_refusal(Refusal(Reason.UNKNOWN_PROGRAM, req.program_id))
        offset = req.from_offset
        may_have_run = False
        deadline = self._ctx.timers.now() + self._ctx.intervals.forward_wait_s
        delay_s = RETRY_DELAY_S
        while True:
            try:
                async for frame in self._forward_once(slot, req):
                    may_have_run = True
                    if isinstance(frame, Chunk):
                        if frame.offset < offset:
                            continue
                        offset = frame.offset + frame.tokens
                    yield frame
                return
            except Refusal as refusal:
                if refusal.reason not in _OWNER_CHANGED:
                    raise self._count_refusal(
                        _adjusted_for_retries(refusal, may_have_run)
                    ) from None
                may_have_run = may_have_run or refusal.ran is not ExecutionStatus.NOT_RUN
                detail, reason = str(refusal), RetryReason.OWNER_MOVED
            except NotSent as exc:
                detail, reason = str(exc), RetryReason.OWNER_UNREACHABLE
            except OutcomeUnknown as exc:
                may_have_run = True
                detail, reason = str(exc), RetryReason.OWNER_UNREACHABLE
            if self._ctx.timers.now() + delay_s > deadline:
                raise self._count_refusal(_owner_unreachable(detail, may_have_run))
            self._ctx.metrics.retried(reason)
            await self._ctx.timers.sleep(delay_s)
            delay_s = min(2 * delay_s, RETRY_DELAY_LIMIT_S)

    async def result(self, req: ForwardReq, kind: type):
        """Return the document in the result frame, parsed as an instance of `kind`."""
        async for frame in self.request(req):
            if isinstance(frame, Result):
                return converter.structure(orjson.loads(frame.body), kind)
        raise self._count_refusal(
            Refusal(Reason.INTERNAL, 'the owner sent no result', ran=ExecutionStatus.UNKNOWN)
        )

    def _forward_once(self, slot: int, req: ForwardReq) -> AsyncIterator[Frame]:
        slot_manager = self._slot_manager
        if slot_manager.owner is not None and slot in slot_manager.owned:
            return self._local_service.forward(req)
        record = slot_manager.owner_of(slot)
        address = slot_manager.view.address_of(record.holder) if record else None
        if address is None or address == self._ctx.identity.peer_address:
            raise NotSent('the slot has no live owner', step='forward', peer=f'slot {slot}')
        return self._ctx.peers.forward(address, req)

    def _count_refusal(self, refusal: Refusal) -> Refusal:
        self._ctx.metrics.refused(refusal.reason)
        return refusal


def _adjusted_for_retries(refusal: Refusal, may_have_run: bool) -> Refusal:
    """Change NOT_RUN to UNKNOWN when an earlier attempt of the request reached an owner.

    A former owner may have run the call and failed before recording it; the
    new owner's NOT_RUN covers its own attempt only.
    """
    if may_have_run and refusal.ran is ExecutionStatus.NOT_RUN:
        refusal.ran = ExecutionStatus.UNKNOWN
    return refusal


def _owner_unreachable(detail: str, may_have_run: bool) -> Refusal:
    return Refusal(
        Reason.OWNER_UNREACHABLE,
        detail,
        ran=ExecutionStatus.UNKNOWN if may_have_run else ExecutionStatus.NOT_RUN,
        step=Step.ACCEPT,
        retry_after_ms=1000,
    )
