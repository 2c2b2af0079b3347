"""Entry: builds and connects the parts of one entry, and stops it gracefully."""

from collections.abc import AsyncIterator
from pathlib import Path

import structlog

from toucanlead_core.codec import to_json
from toucanlead_core.errors import (
    Fenced,
    PeerError,
    Reason,
    Refusal,
)
from toucanlead_core.ids import rendezvous, slot_of_program
from toucanlead_kv.vm_list import VmList
from toucanlead_peer.messages import (
    ForwardReq,
    Frame,
    Operation,
    ProbeReply,
    ProbeReq,
    Result,
    TailPiece,
)
from toucanlead_peer.transport import PeerHandler
from toucanlead_state.ledger import Ledger

from .backend_watch import BackendWatch, LeavingBackends
from .checkpoints import Checkpoints, delete_journal
from .coalesce import coalesced
from .config_manager import ConfigManager
from .context import Context
from .doubt_poller import DoubtPoller
from .gateway import Gateway
from .load_poller import LoadPoller
from .local_service import LocalService
from .owner import Owner
from .releaser import Releaser
from .settlement import settlements
from .slots import SlotManager, suppress_outage
from .tails import TailReplicator

log = structlog.get_logger()

SLOTS_MOVED_PER_ROUND = 4


class Entry(PeerHandler):
    """One entry without its listening sockets; answers its peers' requests."""

    def __init__(self, ctx: Context, vms: VmList | None = None, folder: Path | None = None) -> None:
        """Build the parts; `vms` is the platform's VM list, `folder` the data folder, if any."""
        self.ctx = ctx
        self.leaving_backends = LeavingBackends(ctx)
        self.backend_watch = BackendWatch(self.leaving_backends, vms) if vms is not None else None
        self.slot_manager = SlotManager(ctx)
        self.config = ConfigManager(ctx, self.leaving_backends, self._peer_addresses, folder)
        self.local_service = LocalService(ctx, self.slot_manager)
        self.gateway = Gateway(ctx, self.slot_manager, self.local_service)
        self.releaser = Releaser(ctx, self.slot_manager)
        self.tails = TailReplicator(ctx, self.slot_manager)
        self.load_poller = LoadPoller(ctx, self.slot_manager.owned)
        self.doubt_poller = DoubtPoller(ctx, self.slot_manager)
        self.checkpoints: Checkpoints | None = None
        self.stopping = False
        self._subscriptions = []
        self.slot_manager.on_new_owner = self._on_new_owner
        self.slot_manager.on_slot_acquired = self._on_slot_acquired

    async def start(self) -> None:
        """Register, read members and slots, and start the periodic tasks."""
        await self.slot_manager.register()
        intervals = self.ctx.intervals
        self._run_every(intervals.lease_ttl_s / 3, self.slot_manager.renew, 'lease')
        await suppress_outage(self.slot_manager.refresh(), 'first view')
        self.ctx.tasks.keep_running(self.slot_manager.watch_view, 'view')
        self._run_every(intervals.reconcile_s, self.slot_manager.reconcile, 'slots')
        self._run_every(intervals.load_poll_s, self.load_poller.poll, 'load')
        self._run_every(intervals.sweep_s, self.releaser.sweep, 'sweep')
        self._run_every(intervals.config_poll_s, self.config.poll, 'config')
        self._run_every(intervals.probe_s, self.config.probe_peers, 'probes')
        self._run_every(intervals.doubt_poll_s, self.doubt_poller.poll, 'doubts')
        self._run_every(intervals.tail_sweep_s, self.tails.deliver_kept, 'tails')
        self._run_every(intervals.reconcile_s * 4, self._maintain, 'checkpoints')
        if self.backend_watch is not None:
            self._run_every(intervals.vm_list_s, self.backend_watch.poll, 'vm list')
        await suppress_outage(self.slot_manager.reconcile(), 'first reconcile')
        await suppress_outage(self.config.poll(), 'first config')

    @property
    def ready(self) -> bool:
        """Return whether the entry accepts new callers."""
        return self.slot_manager.owner is not None and not self.stopping

    async def stop(self) -> None:
        """Hand the slots over, finish the calls in progress, and give up the member record."""
        self.stopping = True
        while self.slot_manager.owned and self.slot_manager.owner is not None:
            try:
                if not await self._hand_over_round():
                    break
            except (PeerError, Fenced) as exc:
                log.info('hand_over_retried', error=str(exc))
            await self.ctx.timers.sleep(0.05)
        while self.slot_manager.owner is not None and self.slot_manager.owner.in_progress:
            await self.ctx.timers.sleep(0.05)
        await suppress_outage(self.slot_manager.resign(), 'resign')
        await self.kill()

    async def kill(self) -> None:
        """Cancel all tasks at once, as a crash would."""
        for subscription in self._subscriptions:
            subscription.cancel()
        await self.ctx.tasks.cancel()

    async def forward(self, req: ForwardReq) -> AsyncIterator[Frame]:
        """Serve a peer's request as the program's owner, with token frames merged."""
        if req.operation is Operation.CONFIG:
            yield Result(to_json(self.config.bundle()))
            return
        async for frame in coalesced(self.local_service.forward(req)):
            yield frame

    async def probe(self, req: ProbeReq) -> ProbeReply:
        """Answer a peer's probe."""
        return await self.config.answer_probe(req)

    async def keep_tail(self, piece: TailPiece) -> None:
        """Keep a copy of a peer's records that are not durable yet."""
        self.tails.keep(piece)

    async def deliver_tail(self, piece: TailPiece) -> None:
        """Apply a former owner's records to programs owned here.

        Raises Refusal(NOT_OWNER) if a slot is not owned here or is being handed over.
        """
        slots = self.ctx.identity.slots
        for program_id in self.tails.programs_in(piece):
            slot = slot_of_program(program_id, slots)
            if slot not in self.slot_manager.owned or self.local_service.is_slot_blocked(slot):
                raise Refusal(Reason.NOT_OWNER, f'slot {slot}')
        await self.tails.apply(self.slot_manager.owner, piece)

    def _peer_addresses(self) -> list[str]:
        members = self.slot_manager.view.members.values()
        own_name = self.ctx.identity.entry
        return sorted(m.peer_address for m in members if m.entry != own_name)

    def _run_every(self, period_s: float, func, name: str) -> None:
        async def callback() -> None:
            await suppress_outage(func(), name)

        self._subscriptions.append(self.ctx.timers.every(period_s, callback, name))

    def _on_new_owner(self, owner: Owner) -> None:
        checkpoints = Checkpoints(self.ctx, owner)
        self.checkpoints = checkpoints
        owner.on_durable = checkpoints.note_durable
        owner.on_ended = lambda program: self.releaser.release(owner, program)
        owner.on_fenced = lambda: self._on_fenced(owner)

        async def copy_to_peers(finished, future):
            return await self.tails.copy(owner, finished, future)

        owner.copy_to_peers = copy_to_peers

    def _on_slot_acquired(self, owner: Owner, staged: Ledger) -> None:
        owner.add_programs(staged)
        if self.checkpoints is not None:
            self.checkpoints.note_recovered(list(staged.programs))
        self.releaser.resume(owner)

    def _on_fenced(self, owner: Owner) -> None:
        """Register a new incarnation; other entries own the slots now."""
        log.warning('fenced', holder=owner.holder)
        self.ctx.tasks.spawn(self._keep_uncommitted_records(owner), 'tail')
        if self.slot_manager.owner is owner:
            self.slot_manager.owner = None
            self.slot_manager.owned.clear()
            if not self.stopping:
                self.ctx.tasks.spawn(self.slot_manager.register(), 'register')

    async def _keep_uncommitted_records(self, owner: Owner) -> None:
        """Keep records that are not durable, and budget spent, for the new owners."""
        uncommitted_records = list(owner.uncommitted_records)
        settled = settlements(owner.ledger, owner.holder, uncommitted_records)
        await owner.cancel_calls()
        self.tails.keep_uncommitted(owner.holder, [*uncommitted_records, *settled])

    async def _maintain(self) -> None:
        owner = self.slot_manager.owner
        checkpoints = self.checkpoints
        if owner is None or checkpoints is None or owner.journal.fenced:
            return
        try:
            await checkpoints.trim_journal()
            await self._shorten_lineages(checkpoints)
            await self._rebalance()
            idle_before = self.ctx.timers.now() - self.ctx.intervals.idle_evict_s
            await checkpoints.evict_idle(idle_before)
        except Fenced as exc:
            log.info('maintenance_fenced', error=str(exc))

    async def _shorten_lineages(self, checkpoints: Checkpoints) -> None:
        """Save the programs of slots taken over, then delete journals that no slot needs."""
        slot_manager = self.slot_manager
        inherited = slot_manager.inherited_slots()
        if not inherited:
            return
        await checkpoints.save_all(self._programs_in_slots(set(inherited)))
        await slot_manager.shorten_lineages(inherited)
        for holder in slot_manager.unreferenced_journals():
            await delete_journal(self.ctx, holder, slot_manager.owner.journal.guard)
            slot_manager.sealed.discard(holder)

    async def _rebalance(self) -> None:
        """Hand idle slots to the entries that should own them, a few each round."""
        candidates = self.slot_manager.owner_candidates()
        preferred = [
            (slot, rendezvous(f'slot{slot}', candidates)[0])
            for slot in sorted(self.slot_manager.owned)
        ]
        own_name = self.ctx.identity.entry
        to_move = [(slot, entry) for slot, entry in preferred if entry != own_name]
        for slot, entry in to_move[:SLOTS_MOVED_PER_ROUND]:
            target = self.slot_manager.view.members.get(entry)
            if target is not None and not self.stopping:
                await self._hand_over(slot, target)

    async def _hand_over_round(self) -> bool:
        """Hand over the idle slots; return whether any are left and can be handed over."""
        targets = [
            m for m in self.slot_manager.view.members.values() if m.entry != self.ctx.identity.entry
        ]
        if not targets:
            return False
        by_entry = {m.entry: m for m in targets}
        for slot in sorted(self.slot_manager.owned):
            nearby = [e for e in self.slot_manager.owner_candidates() if e in by_entry] or sorted(
                by_entry
            )
            target = by_entry[rendezvous(f'slot{slot}', nearby)[0]]
            await self._hand_over(slot, target)
        return bool(self.slot_manager.owned)

    async def _hand_over(self, slot: int, target) -> None:
        owner = self.slot_manager.owner
        programs = set(self._programs_in_slots({slot}))
        if owner.has_calls_in_progress(programs):
            return
        self.local_service.block_slot(slot)
        try:
            await owner.journal.wait_flushed()
            if owner.has_calls_in_progress(programs):
                return
            await self.checkpoints.settle_and_save(self._programs_in_slots({slot}))
            if await self.slot_manager.hand_over(slot, target):
                for program_id in self._programs_in_slots({slot}):
                    owner.drop(program_id)
        finally:
            self.local_service.unblock_slot(slot)

    def _programs_in_slots(self, slots: set[int]) -> list[str]:
        slot_count = self.ctx.identity.slots
        programs = self.slot_manager.owner.ledger.programs
        return [p for p in programs if slot_of_program(p, slot_count) in slots]
