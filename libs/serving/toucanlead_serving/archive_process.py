"""Archive process on a platform: stores turns, maintains their copies, empties its disk."""

import asyncio
import random
from pathlib import Path

import structlog
from attrs import evolve

from toucanlead_archive.archive import Archive
from toucanlead_archive.copy_maintenance import CopyMaintainer
from toucanlead_archive.directory import (
    PEER_PREFIX,
    ArchiveRecord,
    PeerDirectory,
    register,
    unregister,
)
from toucanlead_archive.store import TurnStore
from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.ids import random_id
from toucanlead_core.memory_plan import MemoryPlan
from toucanlead_core.process_settings import ProcessSettings, SettingsFile
from toucanlead_core.received_bytes import ReceivedBytes
from toucanlead_core.sockets import split_address
from toucanlead_core.tasks import TaskSet
from toucanlead_core.timers import LoopTimers, TimerHandle
from toucanlead_kv.kv import Delete, KvEntry, Put, WatchEvent
from toucanlead_kv.watch import ChangeSink, NullSink
from toucanlead_peer.channels import ChannelPool
from toucanlead_peer.serving_transport import GrpcArchives, GrpcFeeds, GrpcRelay, serving_server

from .adapter import Adapter, RetirementKeys
from .change_feed import ChangeFeed
from .change_follower import PROBE_PERIOD_S, ChangeFollower
from .direct_watch import WatchedSink
from .metrics import ServingMetrics
from .metrics_server import MetricsServer, age_of
from .publisher_exchange import PublisherExchange
from .reload import SettingsReload

log = structlog.get_logger()

RESTORE_PERIOD_S = 0.7  # short enough to replace lost copies within the platform's catch-up time
STOP_MARGIN_S = 1.5  # before the end of the grace period, to close what is open
ANNOUNCE_TIMEOUT_S = 0.5  # a stop goes on when the key-value service is away
HAND_OVER_RETRY_S = 0.2
RETIRE_RETRY_S = 0.3
REGISTER_RETRY_S = 0.3
BYTES_PER_MB = 1_000_000
TURNS_DISK_SHARE = 0.6  # of the disk; the write-ahead log and freed pages need the rest


class RetirementOrder(ChangeSink):
    """Records whether the operator has ordered this disk to be emptied."""

    def __init__(self, key: str) -> None:
        self._key = key
        self.received = asyncio.Event()

    def replace(self, entries: list[KvEntry]) -> None:
        """Check a snapshot for the order."""
        if any(entry.key == self._key for entry in entries):
            self.received.set()

    def apply(self, events: list[WatchEvent]) -> None:
        """Check changes for the order."""
        if any(e.key == self._key and e.value is not None for e in events):
            self.received.set()


class ArchiveProcess:
    """Runs the archive of one VM: its disk, its servers and its background tasks."""

    def __init__(self, settings: ProcessSettings, adapter: Adapter, rng: random.Random) -> None:
        """Create all parts; requires a running event loop."""
        self.settings = settings
        self._adapter = adapter
        self._rng = rng
        self._timers = LoopTimers(rng)
        plan = MemoryPlan.for_vm(settings.limits.memory_mb)
        received = ReceivedBytes(plan.peers)
        self._channels = ChannelPool(received=received)
        # a failed call on a channel must not end a feed
        self._feed_channels = ChannelPool(received=received)
        self._turns = TurnStore(
            Path(settings.archive.folder),
            int(settings.archive.disk_mb * TURNS_DISK_SHARE * BYTES_PER_MB),
            lambda: random_id(random.SystemRandom()),
            self._timers.now,
        )
        self.archive = Archive(self._turns)
        self.directory = PeerDirectory()
        self._store = adapter.store(GrpcRelay(self._channels), self._relay_peers, plan.store)
        self.copy_maintainer = CopyMaintainer(
            self.archive,
            self.directory,
            GrpcArchives(self._channels),
            self._timers,
            settings.process.name,
            settings.tolerance.vms + 1,
        )
        self._retirement_keys: RetirementKeys = adapter.retirement_keys(settings.process.name)
        self._retirement_order = RetirementOrder(self._retirement_keys.order_key)
        self.metrics = ServingMetrics()
        feed = ChangeFeed(self._timers)
        sinks: dict[str, ChangeSink] = dict.fromkeys(adapter.published_prefixes(), NullSink())
        sinks |= {
            self._retirement_keys.order_prefix: self._retirement_order,
            PEER_PREFIX: self.directory,
        }
        self.follower = ChangeFollower(
            self._store,
            GrpcFeeds(self._feed_channels),
            self._timers,
            rng,
            [WatchedSink(prefix, sink) for prefix, sink in sinks.items()],
            lambda: self.directory.publishers(self.settings),
            settings.listen.peers,
            feed,
            self.metrics.task_failed,
        )
        self._exchange = PublisherExchange(
            GrpcFeeds(self._feed_channels),
            self._timers,
            self._other_publishers,
            self.follower.hear,
        )
        self._peer_server = serving_server(
            archive=self.archive, relay=adapter.relay_handler(), feed=feed, received=received
        )
        self._metrics_server = MetricsServer(self.metrics, settings.listen.metrics)
        self._tasks = TaskSet(self.metrics.task_failed)
        self._probes: TimerHandle | None = None
        self._stopping = False

    async def start(self) -> None:
        """Open the disk and the sockets, and start the background tasks."""
        began_at = self._timers.now()
        self._turns.open()
        read_ms = round(1e3 * (self._timers.now() - began_at), 1)
        host, port = split_address(self.settings.listen.peers)
        await self._peer_server.start(host, port)
        self._add_gauges()
        await self._metrics_server.start()
        self._tasks.keep_running(self.follower.run, 'follow')
        self._tasks.keep_running(self._exchange.run, 'exchange')
        self._probes = self._timers.every(PROBE_PERIOD_S, self.follower.probe_if_relayed, 'probe')
        self._tasks.keep_running(self._maintain_copies, 'copies')
        self._tasks.keep_running(self._retire_when_ordered, 'retire')
        log.info(
            'archive_started',
            name=self.settings.process.name,
            disk=self._turns.disk,
            fresh=self._turns.is_new_disk,
            turns=len(self._turns.turns_by_id),
            read_ms=read_ms,
        )

    def _relay_peers(self) -> list[str]:
        """Return addresses of processes that can relay calls to the key-value service."""
        return self.directory.relay_addresses(self.settings)

    def _other_publishers(self) -> list[str]:
        """Return the publishers of other zones while this archive is one itself."""
        return self.directory.other_publishers(self.settings) if self.follower.watches else []

    def apply(self, settings: ProcessSettings) -> None:
        """Apply changed settings; addresses, names and the disk change only at the next start."""
        self.settings = settings
        self.copy_maintainer.copies = settings.tolerance.vms + 1

    async def stop(self) -> None:
        """Finish writes in progress and close; the stored turns stay on the disk.

        The other archives are told, and wait less long for this one. Its turns are copied to them
        if it may be about to be replaced.
        """
        stop_by = self._timers.now() + self.settings.times.grace_s - STOP_MARGIN_S
        self._stopping = True
        handing_over = self.copy_maintainer.may_be_replaced()
        log.info('archive_stopping', turns=len(self._turns.turns_by_id), handing_over=handing_over)
        await self._announce_stop()
        if handing_over:
            await self._hand_over(stop_by)
        self._peer_server.close()
        await self._peer_server.wait_closed()
        self._probes.cancel()
        await self._tasks.cancel()
        await self._metrics_server.stop()
        self._turns.close()
        self._channels.close()
        self._feed_channels.close()
        await self._adapter.close()
        log.info('archive_stopped', name=self.settings.process.name)

    async def _announce_stop(self) -> None:
        """Note in the directory that this archive is away."""
        try:
            async with asyncio.timeout(ANNOUNCE_TIMEOUT_S):
                if self.follower.synced.is_set():
                    await register(self._store, self.directory, self._record())
        except TimeoutError:
            log.warning('stop_not_announced', name=self.settings.process.name)

    async def _hand_over(self, stop_by: float) -> None:
        """Copy the turns of this disk to others until all have enough copies there."""
        self.archive.retiring = True
        started_at, before = self._timers.now(), self.copy_maintainer.copied_bytes
        complete = False
        try:
            async with asyncio.timeout(max(0.0, stop_by - started_at)):
                while not (complete := await self.copy_maintainer.copy_to_other_disks()):
                    await self._timers.sleep(HAND_OVER_RETRY_S)
        except TimeoutError:
            log.warning('hand_over_incomplete', turns=self.copy_maintainer.count_incomplete())
        log.info(
            'handed_over',
            complete=complete,
            bytes=self.copy_maintainer.copied_bytes - before,
            ms=round(1e3 * (self._timers.now() - started_at), 1),
        )

    def _add_gauges(self) -> None:
        """Add gauges for disk usage, copies, and the age of the member list."""
        gauge = self.metrics.gauge
        gauge('toucanlead_turns_held', 'Turns on this disk', lambda: len(self._turns.turns_by_id))
        maintainer = self.copy_maintainer
        gauge('toucanlead_turns_incomplete', 'Too few copies', maintainer.count_incomplete)
        gauge('toucanlead_copied_bytes', 'Sent to other disks', lambda: maintainer.copied_bytes)
        gauge('toucanlead_disk_used_bytes', 'Of turns', lambda: self._turns.used_bytes)
        gauge('toucanlead_disk_limit_bytes', 'For turns', lambda: self._turns.limit_bytes)
        age = age_of(lambda: self.follower.heard_at, self._timers.now)
        gauge('toucanlead_members_age_seconds', 'Since the members were last heard of', age)

    def _record(self) -> ArchiveRecord:
        process = self.settings.process
        return ArchiveRecord(
            process.name,
            self._turns.disk,
            self.settings.listen.peers,
            process.zone,
            process.region,
            away=self._stopping,
        )

    async def _maintain_copies(self) -> None:
        """Register this archive and restore lost copies periodically, until it is to retire."""
        began_at = self._timers.now()
        await self.follower.synced.wait()
        log.info('archive_synced', ms=round(1e3 * (self._timers.now() - began_at), 1))
        while True:
            if not self._retirement_order.received.is_set() and not self._stopping:
                await register(self._store, self.directory, self._record())
                await self.copy_maintainer.restore()
                await self._update_records()
            await self._timers.sleep(RESTORE_PERIOD_S)

    async def _update_records(self) -> None:
        """Note which other archives nobody waits for any more, and delete those long gone."""
        for record in self.copy_maintainer.lost():
            log.warning('archive_lost', archive=record.name, disk=record.disk)
            await register(self._store, self.directory, evolve(record, away=True))
        for record in self.copy_maintainer.gone():
            await unregister(self._store, self.directory, record)

    async def _retire_when_ordered(self) -> None:
        """Empty the disk when the operator orders it, and report when that is done."""
        await self._retirement_order.received.wait()
        log.info('retirement_started', turns=len(self._turns.turns_by_id))
        self.archive.retiring = True
        await self._write_status(self._retirement_keys.running_document, [])
        while True:
            retiring_record = evolve(self._record(), retiring=True)
            await register(self._store, self.directory, retiring_record)
            if await self.copy_maintainer.copy_to_other_disks():
                break
            await self._timers.sleep(RETIRE_RETRY_S)
        await self._write_status(self._retirement_keys.done_document, [Delete(retiring_record.key)])
        log.info('retirement_done')
        await asyncio.Event().wait()  # nothing is left to do

    async def _write_status(self, document: bytes, deletes: list[Delete]) -> None:
        while True:
            try:
                await self._store.txn(
                    [], [Put(self._retirement_keys.status_key, document), *deletes]
                )
                return
            except (NotSent, OutcomeUnknown) as exc:
                log.info('retirement_report_failed', error=str(exc))
                await self._timers.sleep(RETIRE_RETRY_S)


async def run_archive(
    file: SettingsFile, adapter: Adapter, rng: random.Random, stop: asyncio.Event
) -> None:
    """Run an archive until `stop` is set."""
    process = ArchiveProcess(file.settings, adapter, rng)
    await process.start()
    reload = SettingsReload(file, process.apply)
    reload.start()
    await stop.wait()
    reload.stop()
    await process.stop()
