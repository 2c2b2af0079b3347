"""Rollout of a configuration change to many entries, in virtual time."""

import asyncio
import random
from collections.abc import AsyncIterator
from enum import Enum

from attrs import evolve, frozen

from toucanlead_core.codec import to_json
from toucanlead_core.timers import LoopTimers
from toucanlead_entry.backend_watch import LeavingBackends
from toucanlead_entry.config_manager import ConfigManager
from toucanlead_entry.context import Backends, Context, Identity, Intervals
from toucanlead_peer.messages import ForwardReq, Frame, ProbeReply, ProbeReq, Result, TailPiece
from toucanlead_peer.transport import PeerHandler
from toucanlead_policy.cache_estimates import CacheEstimates
from toucanlead_policy.fleet import Fleet
from toucanlead_policy.preset import ORDINARY, PEAK
from toucanlead_policy.routing import RoundRobinRouter
from toucanlead_standins.kv_model import KvModel
from toucanlead_standins.network import Place, SimulatedNetwork, SimulatedProcess
from toucanlead_standins.network_clients import SimulatedPeerClient, SimulatedStoreClient
from toucanlead_standins.virtual_loop import run_virtual

from .statistics import percentile

ZONES_PER_REGION = 3
TIMEOUT_S = 60.0
POLL_PERIOD_S = 0.05


class RolloutFault(str, Enum):
    """Fault that begins right after the change is accepted."""

    NONE = 'none'
    KV_DOWN = 'kv_down_after_acceptance'
    KV_DOWN_AND_PAUSES = 'kv_down_and_a_tenth_paused_8s'
    ZONE_CUT_FROM_KV = 'a_zone_reaches_peers_but_not_kv'


@frozen
class RolloutResult:
    """Seconds that entries took to apply the change, and the cost of the rollout.

    Percentiles are over the entries that applied it; `max_s` is infinite if any did not.
    `reverted` counts how often an entry went back to an older revision.
    """

    members: int
    trouble: str
    p50_s: float
    p99_s: float
    max_s: float
    kv_reads_per_s: float
    probes_per_entry_per_s: float
    reverted: int


def measure_rollout(members: int, fault: RolloutFault, seed: int = 1) -> RolloutResult:
    """Accept a change at one entry, and measure until every entry has applied it."""
    return run_virtual(_Rollout(members, fault, seed).run())


class _ConfigPeer(PeerHandler):
    """Peer endpoint with only the part of an entry that distributes configuration."""

    def __init__(self, config: ConfigManager) -> None:
        self.config = config
        self.probes = 0

    async def forward(self, req: ForwardReq) -> AsyncIterator[Frame]:
        yield Result(to_json(self.config.bundle()))

    async def probe(self, req: ProbeReq) -> ProbeReply:
        self.probes += 1
        return await self.config.answer_probe(req)

    async def keep_tail(self, piece: TailPiece) -> None:
        raise NotImplementedError

    async def deliver_tail(self, piece: TailPiece) -> None:
        raise NotImplementedError


class _Rollout:
    """One rollout: the entries' configuration parts on a simulated network."""

    def __init__(self, members: int, fault: RolloutFault, seed: int) -> None:
        self._members = members
        self._fault = fault
        self._rng = random.Random(seed)
        self._network = SimulatedNetwork()
        self._processes: list[SimulatedProcess] = []
        self._peers: list[_ConfigPeer] = []
        self._directory: dict = {}
        self._last_revisions: list[int] = [0] * members
        self._reverted = 0

    async def run(self) -> RolloutResult:
        loop = asyncio.get_running_loop()
        kv = KvModel(loop.time)
        kv_process = SimulatedProcess('kv', Place('region-0', 'platform'))
        addresses = [f'e{n}' for n in range(self._members)]
        for number, address in enumerate(addresses):
            self._start(number, address, addresses, kv, kv_process)
        await asyncio.sleep(5.0)
        config = self._peers[0].config
        sections = {'preset/peak': to_json(PEAK)}
        await config.change(0, sections, 'peak', 'operator', 'peak')
        accepted_at = loop.time()
        reads_before = kv.counters.reads
        probes_before = sum(peer.probes for peer in self._peers)
        self._inject_fault(kv, kv_process)
        times = await self._wait_until_in_force(accepted_at)
        took_s = max(POLL_PERIOD_S, loop.time() - accepted_at)
        probes = sum(peer.probes for peer in self._peers) - probes_before
        return RolloutResult(
            self._members,
            self._fault.value,
            round(percentile(times, 50), 2),
            round(percentile(times, 99), 2),
            round(max(times), 2) if len(times) == self._members else float('inf'),
            round((kv.counters.reads - reads_before) / took_s, 1),
            round(probes / took_s / self._members, 2),
            self._reverted,
        )

    def _start(
        self,
        number: int,
        address: str,
        addresses: list[str],
        kv: KvModel,
        kv_process: SimulatedProcess,
    ) -> None:
        region = number % 3
        zone = (number // 3) % ZONES_PER_REGION
        process = SimulatedProcess(address, Place(f'region-{region}', f'zone-{region}-{zone}'))
        rng = random.Random(f'{address}/{self._rng.random()}')
        timers = LoopTimers(rng)
        ctx = Context(
            identity=Identity(address, address, process.place.zone, process.place.region),
            store=SimulatedStoreClient(self._network, process, kv_process, kv),
            peers=SimulatedPeerClient(self._network, process, self._directory),
            backends=Backends(),
            timers=timers,
            rng=rng,
            router=RoundRobinRouter(),
            cache_estimates=CacheEstimates(),
            fleet=Fleet(),
            preset=evolve(ORDINARY),
            intervals=Intervals(),
        )
        others = [a for a in addresses if a != address]
        config = ConfigManager(ctx, LeavingBackends(ctx), lambda: others)
        peer = _ConfigPeer(config)
        self._processes.append(process)
        self._peers.append(peer)
        self._directory[address] = (process, peer)
        timers.every(ctx.intervals.config_poll_s, config.poll, 'config')
        timers.every(ctx.intervals.probe_s, config.probe_peers, 'probes')

    def _inject_fault(self, kv: KvModel, kv_process: SimulatedProcess) -> None:
        if self._fault in (RolloutFault.KV_DOWN, RolloutFault.KV_DOWN_AND_PAUSES):
            kv.down = True
        if self._fault is RolloutFault.KV_DOWN_AND_PAUSES:
            paused = self._rng.sample(self._processes[1:], self._members // 10)
            for process in paused:
                process.pause()
                asyncio.get_running_loop().call_later(8.0, process.resume)
        if self._fault is RolloutFault.ZONE_CUT_FROM_KV:
            zone = self._processes[-1].place.zone
            self._network.cut_zone(zone, [kv_process.place.zone])

    async def _wait_until_in_force(self, accepted_at: float) -> list[float]:
        loop = asyncio.get_running_loop()
        times: dict[int, float] = {}
        while len(times) < self._members and loop.time() < accepted_at + TIMEOUT_S:
            for number, peer in enumerate(self._peers):
                revision = peer.config.head.revision
                self._reverted += revision < self._last_revisions[number]
                self._last_revisions[number] = revision
                if revision >= 1:
                    times.setdefault(number, loop.time() - accepted_at)
            await asyncio.sleep(POLL_PERIOD_S)
        return list(times.values())
