"""Simulated network: latencies, cuts between zones and regions, silent connections."""

import asyncio

from attrs import define, field, frozen

from toucanlead_core.errors import NotSent, OutcomeUnknown

CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 1.0


@frozen
class Place:
    """The region and the zone that a process runs in."""

    region: str
    zone: str


@define
class SimulatedProcess:
    """One process on the simulated network: running, paused or dead."""

    name: str
    place: Place
    alive: bool = True
    died: asyncio.Event = field(factory=asyncio.Event)
    _running: asyncio.Event = field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Start in the running state."""
        self._running.set()

    def kill(self) -> None:
        """Kill the process, also when it is paused."""
        self.alive = False
        self.died.set()
        self._running.set()

    def pause(self) -> None:
        """Stop the process from sending and receiving."""
        self._running.clear()

    def resume(self) -> None:
        """Let a paused process send and receive again."""
        self._running.set()

    @property
    def paused(self) -> bool:
        """Return whether the process is paused."""
        return not self._running.is_set()

    async def wait_until_running(self) -> None:
        """Wait while the process is paused."""
        await self._running.wait()


@define
class SimulatedNetwork:
    """Latency and reachability between processes; counts the bytes sent between regions."""

    zone_latency_s: float = 0.001
    region_latency_s: float = 0.020
    link_bytes_per_s: float = 15e6 / 8
    cut_zones: set[frozenset[str]] = field(factory=set)
    cut_regions: bool = False
    link_bytes: int = 0
    _silence_count: int = 0

    def latency_s(self, src: Place, dst: Place) -> float:
        """Return the one-way latency between two processes."""
        if src.region != dst.region:
            return self.region_latency_s
        return self.zone_latency_s if src.zone != dst.zone else self.zone_latency_s / 4

    def reachable(self, src: SimulatedProcess, dst: SimulatedProcess) -> bool:
        """Return whether packets get through now."""
        if not src.alive or not dst.alive:
            return False
        if self.cut_regions and src.place.region != dst.place.region:
            return False
        return frozenset((src.place.zone, dst.place.zone)) not in self.cut_zones

    def cut_zone(self, zone: str, others: list[str]) -> None:
        """Drop all packets between a zone and other zones."""
        self.cut_zones.update(frozenset((zone, other)) for other in others if other != zone)

    def end_cuts(self) -> None:
        """End all cuts between zones and regions."""
        self.cut_zones.clear()
        self.cut_regions = False

    def silence_connections(self) -> None:
        """Drop all packets on open connections for good; new connections work."""
        self._silence_count += 1

    def new_connection_token(self) -> int:
        """Return a token for a new connection, to be passed to `hang_if_broken`."""
        return self._silence_count

    async def hang_if_broken(
        self, token: int, src: SimulatedProcess, dst: SimulatedProcess
    ) -> None:
        """Return if the connection works; hang for good if it is silent or cut."""
        await dst.wait_until_running()
        if token != self._silence_count or not self.reachable(src, dst):
            await asyncio.Event().wait()

    async def send(
        self, src: SimulatedProcess, dst: SimulatedProcess, size_bytes: int = 200
    ) -> None:
        """Carry a request; NotSent when `dst` is unreachable, OutcomeUnknown when it dies."""
        await src.wait_until_running()
        if not self.reachable(src, dst):
            await asyncio.sleep(CONNECT_TIMEOUT_S if src.alive and dst.alive else 0.001)
            raise NotSent('connection refused', peer=dst.name)
        await self._transfer(src, dst, size_bytes)
        await dst.wait_until_running()
        if not dst.alive:
            raise OutcomeUnknown('connection reset', peer=dst.name)

    async def reply(
        self, src: SimulatedProcess, dst: SimulatedProcess, size_bytes: int = 200
    ) -> None:
        """Carry an answer; OutcomeUnknown when it cannot arrive."""
        await src.wait_until_running()
        if not self.reachable(src, dst):
            await asyncio.sleep(REQUEST_TIMEOUT_S)
            raise OutcomeUnknown('no answer', peer=src.name)
        await self._transfer(src, dst, size_bytes)
        await dst.wait_until_running()

    async def _transfer(
        self, src: SimulatedProcess, dst: SimulatedProcess, size_bytes: int
    ) -> None:
        delay_s = self.latency_s(src.place, dst.place)
        if src.place.region != dst.place.region:
            self.link_bytes += size_bytes
            delay_s += size_bytes / self.link_bytes_per_s
        await asyncio.sleep(delay_s)
