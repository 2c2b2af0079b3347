"""Watching a key prefix of the key-value service: a snapshot, then every change."""

import abc
import asyncio
import random
from collections.abc import Iterable

import structlog

from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.timers import Timers

from .kv import HistoryCompacted, KvEntry, PollingStore, WatchEvent

log = structlog.get_logger()

POLL_WAIT_S = 25.0  # below the platform's limit of 30 s per watch call
MIN_POLL_WAIT_S = 0.05
RETRY_DELAY_S = 0.1
RETRY_DELAY_LIMIT_S = 2.0  # the watchdog restarts watches sooner once the service has recovered
BATCH_DELAY_S = 0.2  # changes come in bursts; collecting them saves calls, which are billed
RESYNC_DELAYS_S = (1.0, 2.5)  # delays of the additional snapshots after a watch failed
PROBE_PERIOD_S = 1.0  # a probe is a stale read, billed as a tenth of a call
PROBE_TIMEOUT_S = 0.9


class ChangeSink(abc.ABC):
    """Receives the entries under a prefix and their changes."""

    @abc.abstractmethod
    def replace(self, entries: list[KvEntry]) -> None:
        """Replace all entries; a key that is missing has been deleted."""

    @abc.abstractmethod
    def apply(self, events: list[WatchEvent]) -> None:
        """Apply changes, which are in the order of their revisions."""


class NullSink(ChangeSink):
    """Ignores everything."""

    def replace(self, entries: list[KvEntry]) -> None:
        """Ignore a snapshot."""

    def apply(self, events: list[WatchEvent]) -> None:
        """Ignore changes."""


class IsolatingSink(ChangeSink):
    """Passes everything on to a sink, but for entries that make it fail.

    A sink reports what it cannot read by itself. This is the last barrier: one entry must
    never keep the others from being followed.
    """

    def __init__(self, sink: ChangeSink) -> None:
        self._sink = sink

    def replace(self, entries: list[KvEntry]) -> None:
        """Pass a snapshot on."""
        try:
            self._sink.replace(entries)
        except Exception as exc:
            log.error('snapshot_failed', entries=len(entries), error=repr(exc))
            readable = [
                e for e in entries if self._apply_one(WatchEvent(e.key, e.value, e.mod_rev))
            ]
            self._sink.replace(readable)

    def apply(self, events: list[WatchEvent]) -> None:
        """Pass changes on, one by one if they fail together."""
        try:
            self._sink.apply(events)
        except Exception as exc:
            log.error('changes_failed', changes=len(events), error=repr(exc))
            for event in events:
                self._apply_one(event)

    def _apply_one(self, event: WatchEvent) -> bool:
        try:
            self._sink.apply([event])
        except Exception as exc:
            log.error('change_left_out', key=event.key, revision=event.mod_rev, error=repr(exc))
            return False
        return True


class TeeSink(ChangeSink):
    """Passes everything on to several sinks."""

    def __init__(self, *sinks: ChangeSink) -> None:
        self._sinks = sinks

    def replace(self, entries: list[KvEntry]) -> None:
        """Pass a snapshot on."""
        for sink in self._sinks:
            sink.replace(entries)

    def apply(self, events: list[WatchEvent]) -> None:
        """Pass changes on."""
        for sink in self._sinks:
            sink.apply(events)


class PrefixWatcher:
    """Watches a prefix by long polling and passes its entries and changes to a sink.

    `synced` is set after the first snapshot; `last_response_at` is the time of the last
    response, and the sink has all changes up to `applied_revision`, the latest of them at
    `changed_revision`. At `complete_at` the sink missed no change. A call that waits shows
    nothing: its answer may be lost.
    """

    def __init__(
        self,
        store: PollingStore,
        timers: Timers,
        rng: random.Random,
        prefix: str,
        sink: ChangeSink,
    ) -> None:
        self._store = store
        self._timers = timers
        self._rng = rng
        self._sink = sink
        self._interrupted = asyncio.Event()
        self._resync_requested = False
        self._resync_times: list[float] = []
        self.prefix = prefix
        self.revision: int | None = None  # after which changes are asked for
        self.last_response_at: float | None = None
        self.complete_at: float | None = None
        self.applied_revision = 0
        self.changed_revision = 0
        self.synced = asyncio.Event()

    def restart(self) -> None:
        """Abandon the pending call, which may never be answered, and take a new snapshot."""
        self._resync_requested = True
        self._interrupted.set()

    def repeat(self) -> None:
        """Abandon the pending call, whose answer is lost, and ask for the same changes again."""
        self._interrupted.set()

    def note_complete(self, complete_at: float) -> None:
        """Note a time at which the sink missed no change, as somebody else has found out."""
        if self.complete_at is not None:
            self.complete_at = max(self.complete_at, complete_at)

    async def run(self) -> None:
        """Watch the prefix until cancelled."""
        delay_s = RETRY_DELAY_S
        while True:
            if self._interrupted.is_set():
                self._interrupted.clear()
                if self._resync_requested:
                    self._resync_requested = False
                    self._schedule_resync()
            try:
                if self.revision is None:
                    await self._read_snapshot()
                await self._poll()
                delay_s = RETRY_DELAY_S
            except HistoryCompacted as exc:
                log.info('watch_history_lost', prefix=self.prefix, detail=str(exc))
                self._schedule_resync()
            except (NotSent, OutcomeUnknown) as exc:
                log.info('watch_failed', prefix=self.prefix, error=str(exc))
                self._schedule_resync()
                await self._interruptible_sleep(delay_s * self._rng.uniform(0.5, 1.0))
                delay_s = min(2 * delay_s, RETRY_DELAY_LIMIT_S)
            except Exception as exc:  # invalid data; the next change may correct it
                log.error('watch_unreadable', prefix=self.prefix, error=repr(exc))
                self.revision = None
                await self._interruptible_sleep(RETRY_DELAY_LIMIT_S)

    async def _interruptible_sleep(self, delay_s: float) -> None:
        """Sleep before the next attempt; a restart or repeat ends the sleep early."""
        try:
            async with asyncio.timeout(delay_s):
                await self._interrupted.wait()
        except TimeoutError:
            return

    async def _read_snapshot(self) -> None:
        asked_at = self._timers.now()  # a change may come between two pages
        snapshot = await self._store.snapshot(self.prefix)
        self._sink.replace(snapshot.entries)
        self._note_response(snapshot.revision, asked_at, snapshot.entries)
        self.synced.set()

    def _schedule_resync(self) -> None:
        """Schedule a new snapshot now and more of them a little later.

        A failed watch may mean that the service is dropping its history. A watch that
        starts just before it does so can miss the dropped changes, so that one snapshot
        is not enough.
        """
        self.revision = None
        now = self._timers.now()
        self._resync_times = [now + resync_delay_s for resync_delay_s in RESYNC_DELAYS_S]

    def _poll_timeout_s(self) -> float:
        """Return the long-poll timeout, which ends at the next scheduled snapshot."""
        if not self._resync_times:
            return POLL_WAIT_S
        return max(MIN_POLL_WAIT_S, self._resync_times[0] - self._timers.now())

    async def _poll(self) -> None:
        """Make one long-poll call and apply its changes; a restart or repeat abandons the call."""
        poll_task = asyncio.ensure_future(
            self._store.poll(self.prefix, self.revision, self._poll_timeout_s())
        )
        interrupt_task = asyncio.ensure_future(self._interrupted.wait())
        asked_at = self._timers.now()
        try:
            await asyncio.wait({poll_task, interrupt_task}, return_when=asyncio.FIRST_COMPLETED)
            if poll_task.done():
                changes = poll_task.result()
                self._sink.apply(changes.events)
                self._note_response(changes.revision, asked_at, changes.events)
                if changes.events:
                    await self._interruptible_sleep(BATCH_DELAY_S)
            if self._resync_times and self._timers.now() >= self._resync_times[0]:
                self._resync_times.pop(0)
                self.revision = None
        finally:
            for task in (poll_task, interrupt_task):
                task.cancel()
            await asyncio.gather(poll_task, interrupt_task, return_exceptions=True)

    def _note_response(
        self, revision: int, complete_at: float, changed: Iterable[KvEntry | WatchEvent]
    ) -> None:
        self.revision = self.applied_revision = revision
        self.changed_revision = max([self.changed_revision, *(c.mod_rev for c in changed)])
        self.complete_at = max(complete_at, self.complete_at or complete_at)
        self.last_response_at = self._timers.now()


class StoreWatchdog:
    """Detects outages of the service and restarts all watchers when one begins or ends.

    A probe says nothing about changes, since it goes out over a connection of its own. None is
    made while the watches are answered. `lost_since` is the start of the current outage, or None.
    """

    def __init__(
        self, store: PollingStore, timers: Timers, key: str, period_s: float = PROBE_PERIOD_S
    ) -> None:
        """`key` is the key that the probes read; it need not exist."""
        self._store = store
        self._timers = timers
        self._key = key
        self._period_s = period_s
        self._watchers: list[PrefixWatcher] = []
        self.lost_since: float | None = None

    def add_watcher(self, watcher: PrefixWatcher) -> None:
        """Restart a watcher whenever an outage begins or ends."""
        self._watchers.append(watcher)

    async def run(self) -> None:
        """Probe the service periodically until cancelled."""
        while True:
            await self._timers.sleep(self._period_s)
            if self.lost_since is not None or self._store.is_relayed or not self._is_answered():
                await self._probe()

    def _is_answered(self) -> bool:
        """Return whether the service has answered a watcher within the last period."""
        answered = [w.last_response_at for w in self._watchers if w.last_response_at is not None]
        return bool(answered) and self._timers.now() - max(answered) < self._period_s

    async def _probe(self) -> None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await self._store.probe(self._key)
        except (NotSent, OutcomeUnknown, TimeoutError) as exc:
            if self.lost_since is None:
                self.lost_since = self._timers.now()
                log.warning('key_value_service_lost', error=str(exc) or 'no answer')
                self._restart_all()
            return
        if self.lost_since is not None:
            outage_s = self._timers.now() - self.lost_since
            self.lost_since = None
            log.info('key_value_service_regained', outage_s=round(outage_s, 3))
            self._restart_all()

    def _restart_all(self) -> None:
        """Restart all watchers, since their pending calls may never be answered."""
        for watcher in self._watchers:
            watcher.restart()
