"""Entry process on a platform: creates the parts and starts and stops them."""

import asyncio
import random

import structlog

from toucanlead_archive.directory import (
    PEER_PREFIX,
    EntryRecord,
    PeerDirectory,
    register,
)
from toucanlead_core.connection_budget import SWEEP_PERIOD_S, Cause, ConnectionBudget
from toucanlead_core.ids import random_id
from toucanlead_core.memory_plan import MemoryPlan
from toucanlead_core.process_settings import ProcessSettings, SettingsFile
from toucanlead_core.received_bytes import ReceivedBytes
from toucanlead_core.sockets import split_address
from toucanlead_core.tasks import TaskSet
from toucanlead_core.timers import LoopTimers, TimerHandle
from toucanlead_kv.watch import TeeSink
from toucanlead_links.own_links import OwnLinks
from toucanlead_links.peer_links import Peer, PeerLinks
from toucanlead_links.peer_relay import PeerRelay
from toucanlead_links.relay_admission import RelayAdmission
from toucanlead_links.relay_service import RelayService
from toucanlead_links.replica_links import CHECK_PERIOD_S, ReplicaLinks
from toucanlead_peer.channels import ChannelPool
from toucanlead_peer.crash_transport import GrpcCrashes
from toucanlead_peer.pace_transport import GrpcWork
from toucanlead_peer.rate_transport import GrpcTokens
from toucanlead_peer.replica_relay_transport import GrpcReplicaRelays
from toucanlead_peer.serving_transport import (
    GrpcArchives,
    GrpcFeeds,
    GrpcLoans,
    GrpcRelay,
    serving_server,
)
from toucanlead_policy.placement import Placement
from toucanlead_policy.prefixes import PrefixCacheEstimates
from toucanlead_policy.replica_pace import ReplicaPaces
from toucanlead_policy.team_ledger import QuotaBounds
from toucanlead_replicas.registry import Registry, Replica

from .adapter import Adapter, WatchedPrefix
from .archive_client import ArchiveClient
from .budgets import Budgets
from .change_follower import PROBE_PERIOD_S, ChangeFollower
from .crash_verdicts import CrashVerdicts
from .crash_watch import CrashWatch
from .debts import ArchiveDebtStore
from .direct_watch import WatchedSink
from .dispatch import Dispatch
from .forwarder import Forwarder
from .grants import Grants
from .metrics import ServingMetrics
from .metrics_server import MetricsServer, age_of
from .pace_exchange import REPORT_PERIOD_S, PaceExchange, paced_replicas
from .planned_stop import PlannedStop
from .rate_keepers import RateKeepers
from .reload import SettingsReload
from .replica_limits import ASK_PERIOD_S, ReplicaLimits
from .replica_observations import ReplicaObservations
from .routes import CurrentRoutes
from .sends import ReplicaSends
from .stream_forwarding import StreamForwarding
from .stream_origins import StreamOrigins
from .team_door import TeamDoor
from .team_keepers import TeamKeepers
from .team_rates import TeamRates
from .version_lists import UPKEEP_PERIOD_S as VERSIONS_PERIOD_S
from .version_lists import VersionLists

log = structlog.get_logger()

UPKEEP_PERIOD_S = 5.0
UNREADY_WAIT_S = 2.6  # the platform probes every second and drops an entry after two misses
STOP_MARGIN_S = 0.6  # before the end of the grace period, to send the last responses
CONNECTIONS_CHECK_S = 0.02
ABORT_WAIT_S = 0.1  # to send the answers of aborted requests


class EntryProcess:
    """Runs the entry of one VM: its servers, its budgets and its background tasks."""

    def __init__(self, settings: ProcessSettings, adapter: Adapter, rng: random.Random) -> None:
        """Create all parts; requires a running event loop."""
        process = settings.process
        self.settings = settings
        self._adapter = adapter
        self._timers = LoopTimers(rng)
        plan = MemoryPlan.for_vm(settings.limits.memory_mb)
        received = ReceivedBytes(plan.peers)
        self._channels = ChannelPool(received=received)
        # a failed call on a channel must not end a feed
        self._feed_channels = ChannelPool(received=received)
        self.metrics = ServingMetrics()
        self.routes = CurrentRoutes()
        self.registry = Registry(settings.zones)
        self.directory = PeerDirectory()
        self._store = adapter.store(GrpcRelay(self._channels), self._relay_peers, plan.store)
        self.archive_client = ArchiveClient(
            self.directory,
            GrpcArchives(self._channels),
            self._store,
            self._timers,
            process.zone,
            process.region,
            settings.tolerance.vms + 1,
            plan.turns,
        )
        address = settings.listen.peers
        self.budgets = Budgets(
            Grants(self._store, self._timers, address, lambda: random_id(rng)),
            ArchiveDebtStore(self.archive_client),
            GrpcLoans(self._channels),
            self._timers,
            address,
            self._region_entries,
            None if process.first_start else self._timers.now(),
            self._other_regions_entries,
        )
        self._replica_client = adapter.replica_client(self._timers, process.region)
        self._relays = GrpcReplicaRelays(received)
        self._placement = Placement(rng)
        peer_links = PeerLinks(address)
        self.links = ReplicaLinks(
            self._replica_client,
            PeerRelay(
                self._relays,
                self._timers,
                lambda peer: peer_links.is_in_region(peer, process.region),
            ),
            OwnLinks(),
            peer_links,
            self._timers,
            rng,
            process.region,
            lambda: list(self.registry.replicas.values()),
            self._entries,
            lambda: self.directory.version,
            on_down=self._placement.forget_failures,
        )
        self.rate_keepers = RateKeepers(
            address,
            GrpcTokens(self._channels),
            self._timers,
            lambda: list(self.directory.entries.values()),
            lambda: self.settings.zones,
        )
        self.team_keepers = TeamKeepers(
            self.rate_keepers, self.routes, self._regions, self._quota_bounds, self._timers
        )
        self.team_rates = TeamRates(
            self._timers, self.metrics, self.rate_keepers, self._regions, self._quota_bounds
        )
        self.limits = ReplicaLimits(
            self._timers,
            self.metrics,
            self.rate_keepers,
            self._replicas_by_distance,
            lambda: len(self.directory.entries),
        )
        self.pace = self._create_pace_exchange() if adapter.learns_pace(settings) else None
        self.dispatch = Dispatch(
            self.registry,
            self.links,
            self._placement,
            PrefixCacheEstimates(),
            self.limits,
            self._timers,
            self.metrics,
            process.zone,
            process.region,
            self.pace.observations if self.pace else None,
        )
        self.verdicts = CrashVerdicts(
            address,
            GrpcCrashes(self._channels),
            self._store,
            self._timers,
            lambda: list(self.directory.entries.values()),
            self.metrics,
        )
        self.version_lists = VersionLists(
            address,
            self._store,
            self.registry,
            self._timers,
            lambda: list(self.directory.entries.values()),
            self._heard_at,
            process.first_start,
        )
        self.stream_origins = StreamOrigins(
            self.version_lists,
            self.archive_client,
            self.registry,
            self._timers,
            self.metrics,
        )
        self.crash_watch = CrashWatch(self.links.is_down, self._timers, self.verdicts.report)
        self.planned_stop = PlannedStop()
        sends = ReplicaSends(
            self.dispatch,
            self.crash_watch,
            self.verdicts,
            self.stream_origins,
            self.version_lists,
            self.team_rates,
            self._timers,
            self.metrics,
            plan.answers,
        )
        self.forwarder = Forwarder(
            self.planned_stop,
            self.routes,
            self.dispatch,
            sends,
            StreamForwarding(
                sends, self.dispatch, self.archive_client, self.budgets, self.stream_origins
            ),
            self.verdicts,
            self.team_rates,
            self._timers,
            self.metrics,
        )
        door = TeamDoor(self.routes, self._changes_age_s, self.metrics)
        self.connection_budget = _connection_budget(settings)
        self._caller_server = adapter.caller_server(
            settings,
            self.forwarder,
            self._timers,
            self.is_ready,
            self.planned_stop,
            door,
            self.connection_budget,
        )
        self._relay_service = RelayService(
            self.dispatch.send_for_peer,
            self.links.is_down,
            self.registry,
            RelayAdmission(lambda: self.forwarder.in_progress, max_body_bytes=plan.relayed),
            self._timers,
            cut_off=lambda: self.links.own.down,
            suggested_peer=self.links.suggested_peer,
            accepts=lambda expires_at: expires_at <= self.planned_stop.abort_at,
        )
        self._peer_server = serving_server(
            loans=self.budgets,
            relay=adapter.relay_handler(),
            tokens=self.rate_keepers,
            crashes=self.verdicts,
            replica_relay=self._relay_service,
            work=self.pace,
            received=received,
        )
        watched = [
            *adapter.watched_prefixes(self.routes, self.registry, self._timers.now),
            WatchedPrefix(
                'members',
                PEER_PREFIX,
                TeeSink(self.directory, self.verdicts, self.version_lists),
            ),
        ]
        self.follower = ChangeFollower(
            self._store,
            GrpcFeeds(self._feed_channels),
            self._timers,
            rng,
            [WatchedSink(item.prefix, item.sink) for item in watched],
            lambda: self.directory.publishers(self.settings),
            on_task_failure=self.metrics.task_failed,
        )
        self._metrics_server = MetricsServer(self.metrics, settings.listen.metrics)
        self._tasks = TaskSet(self.metrics.task_failed)
        self._timer_handles: list[TimerHandle] = []
        self._add_gauges([item.name for item in watched])

    def is_ready(self) -> bool:
        """Return whether this entry can serve new callers."""
        synced = self.follower.synced.is_set()
        return not self.planned_stop.stopping and synced and bool(self.registry.replicas)

    async def start(self) -> None:
        """Open the sockets, watch the key-value service and start the background tasks."""
        host, port = split_address(self.settings.listen.peers)
        await self._peer_server.start(host, port)
        self._tasks.keep_running(self.follower.run, 'follow')
        every = self._timers.every
        self._timer_handles = [
            every(PROBE_PERIOD_S, self.follower.probe_if_relayed, 'probe'),
            every(CHECK_PERIOD_S, self.links.check, 'links'),
            every(ASK_PERIOD_S, self.limits.ask_ahead, 'rate tokens'),
            every(VERSIONS_PERIOD_S, self.version_lists.update, 'versions'),
        ]
        if self.pace is not None:
            self._timer_handles.append(every(REPORT_PERIOD_S, self.pace.update, 'pace'))
        own_jitter = LoopTimers(random.Random(self.settings.process.name))
        self._timer_handles.append(own_jitter.every(SWEEP_PERIOD_S, self._sweep_callers, 'callers'))
        self._tasks.keep_running(self.budgets.record_debts, 'debts')
        self._tasks.keep_running(self._upkeep, 'upkeep')
        await self._metrics_server.start()
        await self._caller_server.start()
        log.info('entry_started', name=self.settings.process.name)

    def _create_pace_exchange(self) -> PaceExchange:
        self._placement.paces = ReplicaPaces()
        return PaceExchange(
            self.settings.listen.peers,
            self.settings.process.zone,
            self._placement.paces,
            ReplicaObservations(),
            GrpcWork(self._channels),
            self._timers,
            self.metrics,
            lambda: list(self.directory.entries.values()),
            lambda: self.directory.version,
            lambda: paced_replicas(self.registry, self.routes.table),
        )

    def _add_gauges(self, names: list[str]) -> None:
        """Add gauges for the age of watched data, for known members and for requests."""
        now = self._timers.now
        read = age_of(lambda: self.follower.heard_at, now)
        for name in names:
            self.metrics.gauge(
                f'toucanlead_{name}_age_seconds', f'Since the {name} was last heard of', read
            )
        gauge = self.metrics.gauge
        gauge('toucanlead_configuration_version', 'Version in force', self._config_version)
        gauge('toucanlead_replicas', 'Replicas known', lambda: len(self.registry.replicas))
        gauge('toucanlead_entries', 'Entries known', lambda: len(self.directory.entries))
        gauge('toucanlead_archives', 'Archives known', lambda: len(self.directory.archives))
        gauge('toucanlead_debts', 'Grants not recorded yet', self.budgets.count_debts)
        gauge('toucanlead_in_progress', 'Requests', lambda: self.forwarder.in_progress)
        gauge(
            'toucanlead_relayed_in_progress',
            'Requests of peers',
            lambda: self._relay_service.in_progress,
        )
        gauge(
            'toucanlead_own_links_down',
            '1 while this entry reaches no replica itself',
            lambda: float(self.links.own.down),
        )

        budget = self.connection_budget
        gauge('toucanlead_caller_connections', 'Of callers', lambda: len(budget))
        gauge('toucanlead_caller_bytes', 'Held for callers', lambda: budget.total)
        gauge('toucanlead_caller_bytes_bound', 'At most of them', lambda: budget.bound)
        gauge(
            'toucanlead_leaving_connections',
            'Given up, and not ended yet',
            lambda: budget.leaving,
        )
        gauge(
            'toucanlead_leaving_bytes',
            'Held for connections that are given up',
            lambda: budget.leaving_bytes,
        )
        for cause in Cause:
            gauge(
                f'toucanlead_connections_given_up_for_{cause.value}',
                'Connections of callers, since the start',
                lambda cause=cause: budget.given_up[cause],
            )

    async def _sweep_callers(self) -> None:
        self.connection_budget.sweep(self._timers.now())

    def _config_version(self) -> int:
        return self.routes.table.version if self.routes.table else 0

    def _heard_at(self) -> float | None:
        """Return when this process last missed no change, None until it has all entries."""
        return self.follower.heard_at if self.follower.synced.is_set() else None

    def _changes_age_s(self) -> float | None:
        """Return how long ago this process last missed no change, None if it never did."""
        heard_at = self._heard_at()
        return None if heard_at is None else self._timers.now() - heard_at

    def _entries(self) -> list[Peer]:
        """Return all entries as peers."""
        return [
            Peer(entry.address, entry.zone, entry.region)
            for entry in self.directory.entries.values()
        ]

    def _region_entries(self) -> list[str]:
        """Return the peer addresses of this region's entries."""
        region = self.settings.process.region
        entries = self.directory.entries.values()
        return [entry.address for entry in entries if entry.region == region]

    def _other_regions_entries(self) -> list[list[str]]:
        """Return the peer addresses of the entries of each other region."""
        by_region: dict[str, list[str]] = {}
        for entry in self.directory.entries.values():
            by_region.setdefault(entry.region, []).append(entry.address)
        by_region.pop(self.settings.process.region, None)
        return list(by_region.values())

    def _regions(self) -> list[str]:
        """Return all regions, this process's first."""
        own = self.settings.process.region
        return [own, *sorted(set(self.settings.zones.values()) - {own})]

    def _quota_bounds(self) -> QuotaBounds:
        section = self.settings.team_rates
        return QuotaBounds(section.window_s, section.overage, section.slack)

    def _replicas_by_distance(self, service: str) -> list[Replica]:
        """Return the usable replicas of a service, the nearest first."""
        process = self.settings.process
        usable = self.registry.usable(service, self._timers.now())
        return sorted(usable, key=lambda r: (r.zone != process.zone, r.region != process.region))

    def _relay_peers(self) -> list[str]:
        """Return addresses of processes that can relay calls to the key-value service."""
        return self.directory.relay_addresses(self.settings)

    def apply(self, settings: ProcessSettings) -> None:
        """Apply changed settings; addresses and names change only at the next start."""
        self.settings = settings
        self.registry.regions = settings.zones
        self.connection_budget.resize(_connection_budget(settings))
        self.archive_client.copies = settings.tolerance.vms + 1

    async def stop(self) -> None:
        """Stop accepting callers, finish requests in progress and return unused grants.

        Requests still in progress shortly before the end of the grace period are aborted.
        """
        abort_at = self._timers.now() + self.settings.times.grace_s - STOP_MARGIN_S
        self.planned_stop.leave(abort_at)
        self.rate_keepers.stopping = True
        log.info('entry_stopping', in_progress=self.forwarder.in_progress)
        await self._timers.sleep(UNREADY_WAIT_S)
        await self._caller_server.stop_accepting()
        self.planned_stop.close_connections()
        while (left := self._unfinished()) and self._timers.now() < abort_at:
            await self._timers.sleep(CONNECTIONS_CHECK_S)
        if left:
            log.warning('requests_aborted', requests=self.forwarder.in_progress, connections=left)
            self.forwarder.abort_all()
            self._caller_server.refuse_unread()
            await self._timers.sleep(ABORT_WAIT_S)
        self.planned_stop.finish()
        await self.budgets.record_debts_at_stop()
        await self.budgets.return_unused_grants()
        await self._caller_server.stop()
        await self._metrics_server.stop()
        self._peer_server.close()
        for handle in self._timer_handles:
            handle.cancel()
        await self.crash_watch.close()
        await self.verdicts.close()
        await self.stream_origins.close()
        await self.archive_client.close()
        await self.links.close()
        await self.limits.close()
        await self.team_rates.close()
        await self.team_keepers.close()
        await self.rate_keepers.close()
        await self._tasks.cancel()
        self._replica_client.close()
        self._relays.close()
        self._channels.close()
        self._feed_channels.close()
        await self._adapter.close()
        log.info('entry_stopped', name=self.settings.process.name)

    def _unfinished(self) -> int:
        """Close callers' connections that are not needed; return what the stop has to wait for."""
        return self._caller_server.close_unused() + self._relay_service.in_progress

    def _record(self) -> EntryRecord:
        process = self.settings.process
        return EntryRecord(process.name, self.settings.listen.peers, process.zone, process.region)

    async def _upkeep(self) -> None:
        began_at = self._timers.now()
        await self.follower.synced.wait()
        log.info(
            'entry_synced',
            ms=round(1e3 * (self._timers.now() - began_at), 1),
            archives=len(self.directory.archives),
            away=sum(archive.away for archive in self.directory.archives.values()),
            replicas=len(self.registry.replicas),
        )
        while True:
            await register(self._store, self.directory, self._record())
            await self._timers.sleep(UPKEEP_PERIOD_S)
            self.dispatch.forget_removed()
            self._replica_client.keep_only(list(self.registry.replicas.values()))
            self.budgets.drop_idle()


def _connection_budget(settings: ProcessSettings) -> ConnectionBudget:
    return ConnectionBudget.for_vm(settings.limits.memory_mb, settings.limits.file_descriptors)


async def run_entry(
    file: SettingsFile, adapter: Adapter, rng: random.Random, stop: asyncio.Event
) -> None:
    """Run an entry until `stop` is set."""
    process = EntryProcess(file.settings, adapter, rng)
    await process.start()
    reload = SettingsReload(file, process.apply)
    reload.start()
    await stop.wait()
    reload.stop()
    await process.stop()
