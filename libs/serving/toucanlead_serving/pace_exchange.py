"""Pooling of what entries see of replicas: one entry of each zone collects for its zone.

Each entry reports its work to the collector of its zone and gets that of all entries back.
Collectors exchange the sums of their zones. All of it is optional: an entry that hears
nothing learns from its own work.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable

import structlog
from attrs import define, field

from toucanlead_archive.directory import EntryRecord
from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.ids import rendezvous
from toucanlead_core.pace_messages import ReplicaWork, WorkReply, WorkReport
from toucanlead_core.timers import Timers
from toucanlead_peer.serving_interfaces import WorkHandler, WorkTransport
from toucanlead_policy.replica_pace import Pace, PacedReplica, ReplicaPaces
from toucanlead_policy.replica_work import WorkPool, WorkSums
from toucanlead_replicas.registry import Registry

from .metrics import ServingMetrics
from .replica_observations import ReplicaObservations
from .routes import RouteTable

log = structlog.get_logger()

REPORT_PERIOD_S = 1.0
EXCHANGE_PERIOD_S = 1.5  # between the collectors of two zones
REPORT_TIMEOUT_S = 0.8  # within a period, also from a busy VM
AVOID_S = 10.0  # for which a collector that did not answer, or is of an older build, is passed over
POOL_LIFETIME_S = 3.0  # after which an entry that hears nothing goes by its own work
LOGGED_SLOWDOWN = 2.0  # times the mean of the service
MAX_COLLECTORS = 4  # that are tried for one report, while builds are mixed
MAX_RUNS = 4096  # that a report may name


def paced_replicas(registry: Registry, table: RouteTable | None) -> list[PacedReplica]:
    """Return the runs that are not leaving, with what the configuration says of them."""
    services = table.services if table is not None else {}
    found = []
    for replica in registry.replicas.values():
        if replica.leaving or replica.removed_at is not None:
            continue
        record = replica.record
        service = services.get(record.service)
        tokens = service.engine.cache_tokens if service and service.engine else 0
        found.append(PacedReplica(replica.run, record.ident, record.service, record.slots, tokens))
    return found


@define(eq=False)
class PaceExchange(WorkHandler):
    """Learns the pace of replicas from this entry's work and that of the others.

    `entries` returns the records of all entries, `members_version` changes with them, and
    `replicas` returns the runs whose pace is to be learned. `heard_at` is when the work of
    other entries was last heard of, None if that is too long ago.
    """

    address: str
    zone: str
    paces: ReplicaPaces
    observations: ReplicaObservations
    _transport: WorkTransport
    _timers: Timers
    _metrics: ServingMetrics
    _entries: Callable[[], list[EntryRecord]]
    _members_version: Callable[[], int]
    _replicas: Callable[[], list[PacedReplica]]
    _own: WorkSums = field(factory=WorkSums)
    _pool: WorkPool = field(factory=WorkPool)
    _pooled: tuple[ReplicaWork, ...] = ()
    heard_at: float | None = None
    _exchanged_at: float = float('-inf')
    _avoided_until: dict[str, float] = field(factory=dict)
    _orders: dict[str, list[str]] = field(factory=dict)
    _orders_version: int | None = None
    _slow: set[str] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Add the gauges, whose number does not grow with the fleet."""
        gauge, paces = self._metrics.gauge, self._pace_values
        gauge('toucanlead_slow_replicas', 'Replicas believed slow', lambda: len(self._slow))
        gauge(
            'toucanlead_replicas_take',
            'Requests that all replicas together take well',
            lambda: sum(pace.takes for pace in paces()),
        )
        gauge(
            'toucanlead_replica_slowdown_max',
            'Time of an answer of the slowest replica, in times the nominal one',
            lambda: max((pace.slowdown for pace in paces()), default=0.0),
        )
        gauge(
            'toucanlead_pooled_work_age_seconds',
            'Since the work of other entries was last heard of',
            lambda: self._timers.now() - (self.heard_at or 0.0),
        )

    async def update(self) -> None:
        """Report this entry's work, and learn; to be called every REPORT_PERIOD_S."""
        now = self._timers.now()
        seen = self.observations.own.take(now)
        self._own.add(seen, now)
        if seen or self._pooled:
            await self._report(tuple(seen))
        now = self._timers.now()
        if self.heard_at is not None and now - self.heard_at > POOL_LIFETIME_S:
            self._pooled, self.heard_at = (), None
            log.info('replica_work_unheard', zone=self.zone)
        own = self._own.rows(now)
        total = self._pooled if self.heard_at is not None else own
        replicas = self._replicas()
        self.paces.update(replicas, total, own, now)
        self._log_changes(replicas)

    def collect(self, report: WorkReport) -> WorkReply:
        """Add the work that another entry reports, or that of another zone."""
        now = self._timers.now()
        work = report.work[:MAX_RUNS]
        if report.whole:
            if report.zone != self.zone:
                self._pool.put_zone(report.zone, work, now)
            return WorkReply(self.zone, tuple(self._pool.own.rows(now)))
        self._pool.own.add(work, now)
        return WorkReply(self.zone, tuple(self._pool.rows(now)))

    async def _report(self, work: tuple[ReplicaWork, ...]) -> None:
        report = WorkReport(self.zone, work)
        for _ in range(MAX_COLLECTORS):
            collector = self.collector(self.zone)
            if collector in (None, self.address):
                reply = self.collect(report)
                await self._exchange()
            else:
                reply = await self._call(collector, report)
            if reply is not None:
                self._pooled, self.heard_at = reply.work, self._timers.now()
                return

    async def _exchange(self) -> None:
        """Exchange sums with the collectors of the zones that come after this one by name."""
        now = self._timers.now()
        if now - self._exchanged_at < EXCHANGE_PERIOD_S:
            return
        self._exchanged_at = now
        report = WorkReport(self.zone, tuple(self._pool.own.rows(self._timers.now())), whole=True)
        zones = [zone for zone in self._zones() if zone > self.zone]
        collectors = [c for c in map(self.collector, zones) if c is not None]
        replies = await asyncio.gather(*(self._call(c, report) for c in collectors))
        for reply in replies:
            if reply is not None:
                self._pool.put_zone(reply.zone, reply.work[:MAX_RUNS], self._timers.now())

    async def _call(self, address: str, report: WorkReport) -> WorkReply | None:
        try:
            return await self._transport.report(address, report, REPORT_TIMEOUT_S)
        except (NotSent, OutcomeUnknown) as exc:
            self._avoided_until[address] = self._timers.now() + AVOID_S
            log.info('work_collector_lost', collector=address, error=str(exc))
            return None

    def collector(self, zone: str) -> str | None:
        """Return the address of the entry that collects for a zone."""
        now = self._timers.now()
        self._zones()
        for address in self._orders.get(zone, ()):
            if self._avoided_until.get(address, 0.0) <= now:
                return address
        return None

    def _zones(self) -> list[str]:
        """Return the zones that have entries, whose order of collectors is then known."""
        version = self._members_version()
        if version != self._orders_version:
            self._orders_version = version
            by_zone = defaultdict(list)
            for entry in self._entries():
                by_zone[entry.zone].append(entry.address)
            self._orders = {zone: rendezvous(zone, members) for zone, members in by_zone.items()}
            known = {address for members in by_zone.values() for address in members}
            for address in self._avoided_until.keys() - known:
                del self._avoided_until[address]
        return list(self._orders)

    def _pace_values(self) -> list[Pace]:
        return [pace for _, pace in self.paces.items()]

    def _log_changes(self, replicas: list[PacedReplica]) -> None:
        """Log replicas that have become slow, or are so no more."""
        services: dict[str, list[str]] = defaultdict(list)
        for replica in replicas:
            services[replica.service].append(replica.name)
        slow = set()
        for names in services.values():
            known = {name: self.paces.pace(name) for name in names}
            paces = {name: pace for name, pace in known.items() if pace is not None}
            if not paces:
                continue
            mean = sum(pace.slowdown for pace in paces.values()) / len(paces)
            slow |= {n for n, pace in paces.items() if pace.slowdown > LOGGED_SLOWDOWN * mean}
        for name in slow ^ self._slow:
            pace = self.paces.pace(name)
            if pace is None:
                continue
            log.info(
                'replica_slow' if name in slow else 'replica_not_slow',
                replica=name,
                slowdown=round(pace.slowdown, 2),
                takes=round(pace.takes, 1),
                others=round(pace.others, 1),
                memory=round(pace.memory, 2),
                failure_cost_ms=round(pace.failure_cost_ms),
                pooled=self.heard_at is not None,
            )
        self._slow = slow
