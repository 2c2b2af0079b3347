"""Releaser: frees engine memory of ended programs, retrying until each replica confirms."""

import structlog

from toucanlead_core.errors import Fenced, PeerError, Refusal, RetryReason, Step
from toucanlead_core.ids import rendezvous, slot_of_program
from toucanlead_peer.messages import ForwardReq, Operation, Result
from toucanlead_policy.retry import backoff_s
from toucanlead_state.ledger import Program
from toucanlead_state.records import Released

from .context import Context
from .owner import Owner
from .slots import SlotManager

log = structlog.get_logger()


class Releaser:
    """Releases engine memory of ended programs, and memory that no live program owns."""

    def __init__(self, ctx: Context, slot_manager: SlotManager) -> None:
        """Use the slots of `slot_manager` to find the owner of a program."""
        self._ctx = ctx
        self._slot_manager = slot_manager
        self._releasing: set[str] = set()

    def release(self, owner: Owner, program: Program) -> None:
        """Release an ended program's memory in the background."""
        if program.program_id in self._releasing:
            return
        self._releasing.add(program.program_id)
        self._ctx.tasks.spawn(self._release(owner, program), f'release {program.program_id}')

    def resume(self, owner: Owner) -> None:
        """Continue the releases of ended programs whose slots this entry has acquired."""
        for program in list(owner.ledger.programs.values()):
            if program.ended and program.replicas:
                self.release(owner, program)

    async def sweep(self) -> None:
        """Release memory of programs that are not alive, at the engines assigned to this entry."""
        candidates = self._slot_manager.owner_candidates()  # entries in the replicas' regions
        entry = self._ctx.identity.entry
        for name in list(self._ctx.backends.engines):
            if rendezvous(name, candidates)[:1] != [entry]:
                continue
            try:
                await self._sweep_replica(name)
            except PeerError as exc:
                log.info('sweep_failed', replica=name, error=str(exc))

    async def _sweep_replica(self, name: str) -> None:
        engine = self._ctx.backends.engines[name]
        for program_id in await engine.held_programs():
            if await self._is_alive(program_id) is False:
                await engine.release(program_id)
                log.info('orphaned_memory_released', replica=name, program=program_id)

    async def _is_alive(self, program_id: str) -> bool | None:
        """Ask its owner whether a program is alive; return None when no owner answers."""
        slot = slot_of_program(program_id, self._ctx.identity.slots)
        if slot is None:
            return False
        record = self._slot_manager.owner_of(slot)
        address = self._slot_manager.view.address_of(record.holder) if record else None
        if address is None:
            return None
        req = ForwardReq(Operation.ALIVE, '', program_id)
        try:
            async for frame in self._ctx.peers.forward(address, req):
                if isinstance(frame, Result):
                    return frame.body == b'true'
        except (PeerError, Refusal):
            return None
        return None

    async def _release(self, owner: Owner, program: Program) -> None:
        program_id = program.program_id
        try:
            replicas_used = owner.models.replicas_used.pop(program_id, set())
            for name in sorted(program.replicas | replicas_used):
                await self._release_on_replica(owner, program_id, name)
            self._ctx.cache_estimates.forget(program_id)
            owner.cache_retention.forget(program_id)
            await self._ctx.step_reached(Step.RELEASE, program_id, 0)
        except Fenced:
            log.info('release_left_to_new_owner', program=program_id)
        finally:
            self._releasing.discard(program_id)

    async def _release_on_replica(self, owner: Owner, program_id: str, name: str) -> None:
        attempt = 0
        while name in self._ctx.backends.engines:
            try:
                await self._ctx.backends.engines[name].release(program_id)
                break
            except PeerError:
                attempt += 1
                self._ctx.metrics.retried(RetryReason.RELEASE_FAILED)
            await self._ctx.timers.sleep(0.2 + backoff_s(attempt, self._ctx.rng))
        await owner.journal.append([Released(program_id, name)])
