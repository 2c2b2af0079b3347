"""Change follower: keeps a process up to date from a publisher nearby or the service itself.

The calls and bytes that the key-value service and the links between regions carry would
otherwise grow with the number of processes times the number of changes. A process follows
an archive of its availability zone, which watches the service for all of them. It watches
the service itself while no archive passes changes on.
"""

import asyncio
import random
from collections.abc import Callable
from contextlib import aclosing

import structlog
from attrs import define

from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.tasks import TaskSet
from toucanlead_core.timers import Timers
from toucanlead_kv.kv import KvEntry, PollingStore, WatchEvent
from toucanlead_kv.watch import ChangeSink, IsolatingSink
from toucanlead_peer.serving_interfaces import FeedTransport, FeedUpdate, KnownPrefix

from .change_feed import HEARTBEAT_S, ChangeFeed, Freshness
from .direct_watch import DirectWatch, WatchedSink

log = structlog.get_logger()

SILENCE_LIMIT_S = 2.5 * HEARTBEAT_S  # tolerates a heartbeat that is lost and sent again
FIRST_FALLBACK_S = 1.0  # all processes start at once; publishers may need a moment
FALLBACK_S = SILENCE_LIMIT_S + 0.5  # how old the state may get before the service is watched
AVOID_S = 5.0  # how long a publisher that failed is not followed again
AVOID_AT_START_S = 0.2  # the same until the first fallback; less than RETRY_S
RECHECK_S = 5.0  # how often a better publisher is looked for
RETRY_S = 0.25
PROBE_PERIOD_S = 1.0  # a probe is a stale read, billed as a tenth of a call
PUBLISHER_PROBE_PERIOD_S = 0.5  # followers depend on it


class _PublisherBehind(Exception):
    """The publisher misses changes that this process has seen or could see."""


@define
class _TrackedSink(ChangeSink):
    """Forwards to a sink; `revision` is the newest one seen, whatever the source."""

    sink: ChangeSink
    revision: int = 0

    def replace(self, entries: list[KvEntry]) -> None:
        self.sink.replace(entries)
        self.revision = max([self.revision, *(entry.mod_rev for entry in entries)])

    def apply(self, events: list[WatchEvent]) -> None:
        self.sink.apply(events)
        self.revision = max([self.revision, *(event.mod_rev for event in events)])


class ChangeFollower:
    """Feeds the sinks of watched prefixes.

    `synced` is set once every sink has all entries; `publisher` is the address of the one
    followed, empty while there is none. With a `feed`, this process may be a publisher: it
    then watches the service itself, and follows no other process.
    """

    def __init__(
        self,
        store: PollingStore,
        feeds: FeedTransport,
        timers: Timers,
        rng: random.Random,
        watched: list[WatchedSink],
        publishers: Callable[[], list[str]],
        own_address: str = '',
        feed: ChangeFeed | None = None,
        on_task_failure: Callable[[str], None] = lambda name: None,
    ) -> None:
        """`publishers` returns the host:port of each possible publisher, best first.

        `on_task_failure` is called with the name of each background task that fails.
        """
        self._store = store
        self._feeds = feeds
        self._timers = timers
        self._rng = rng
        self._sinks = {item.prefix: _TrackedSink(IsolatingSink(item.sink)) for item in watched}
        self._publishers = publishers
        self._own_address = own_address
        self._feed = feed
        self._on_task_failure = on_task_failure
        self._avoided_until: dict[str, float] = {}
        self._direct: DirectWatch | None = None
        self._fallback_at = 0.0
        self._heard_at: float | None = None
        self._service_reached_at: float | None = None
        self._service_tried_at: float | None = None
        self.synced = asyncio.Event()
        self.publisher = ''
        if feed is not None:
            feed.freshness = self._freshness
            feed.known = self._known
            feed.on_first_follower = self._watch_directly

    @property
    def heard_at(self) -> float | None:
        """Return when this process was last known to miss no change."""
        return self._heard_at if self._direct is None else self._direct.complete_at()

    @property
    def watches(self) -> bool:
        """Return whether this process watches the service itself."""
        return self._direct is not None

    async def run(self) -> None:
        """Follow the best publisher until cancelled; watch the service if there is none."""
        self._fallback_at = self._timers.now() + FIRST_FALLBACK_S
        try:
            while True:
                address = self._next_publisher()
                if address:
                    await self._follow(address)
                    continue
                if self._is_publisher() or not self._is_starting():
                    self._watch_directly()
                await self._timers.sleep(RETRY_S if self._direct is None else RECHECK_S)
        finally:
            await self._stop_direct()

    async def probe_if_relayed(self) -> None:
        """Find out whether the service accepts this process again; to be called each second."""
        if self._direct is None and self._store.is_relayed:
            await self._reaches_service()

    def _is_starting(self) -> bool:
        """Return whether a publisher may not be up yet, as all processes start at once."""
        return not self.synced.is_set() and self._timers.now() < self._fallback_at

    def _is_publisher(self) -> bool:
        """Return whether this process has to watch the service for others."""
        if self._feed is None:
            return False
        return self._feed.in_use or self._publishers()[:1] in ([], [self._own_address])

    def _next_publisher(self) -> str:
        """Return the best publisher that has not just failed, or an empty text."""
        if self._is_publisher():
            return ''
        now = self._timers.now()
        usable = [
            address
            for address in self._publishers()
            if address != self._own_address and self._avoided_until.get(address, 0.0) <= now
        ]
        return usable[0] if usable else ''

    async def _follow(self, address: str) -> None:
        """Follow a publisher until it fails or another source is better."""
        fallback = asyncio.ensure_future(self._fall_back())
        missing = set(self._sinks)
        followed = False
        recheck_at = self._timers.now() + RECHECK_S
        try:
            updates = self._feeds.follow(address, list(self._sinks))
            async with asyncio.timeout(SILENCE_LIMIT_S) as silence, aclosing(updates):
                async for update in updates:
                    silence.reschedule(None)
                    if not update.current:
                        await self._check_service()
                    self._apply(update)
                    missing.discard(update.prefix)
                    if not missing and not followed:
                        followed = True
                        fallback.cancel()
                        await self._stop_watching_for(address)
                    if followed:
                        self._note_heard(update)
                    if self._timers.now() >= recheck_at:
                        recheck_at = self._timers.now() + RECHECK_S
                        if (better := self._next_publisher()) != address:
                            log.info('publisher_changed', publisher=address, better=better)
                            return
                    silence.reschedule(asyncio.get_running_loop().time() + SILENCE_LIMIT_S)
        except (NotSent, OutcomeUnknown, TimeoutError, _PublisherBehind) as exc:
            avoid_s = AVOID_AT_START_S if self._is_starting() else AVOID_S
            self._avoided_until[address] = self._timers.now() + avoid_s
            detail = str(exc) or 'silent'
            log.info('publisher_left', publisher=address, followed=followed, detail=detail)
        finally:
            self.publisher = ''
            fallback.cancel()

    def _apply(self, update: FeedUpdate) -> None:
        sink = self._sinks.get(update.prefix)
        if sink is None:
            return
        if not update.complete:
            sink.apply([WatchEvent(row.key, row.value, row.revision) for row in update.rows])
            return
        if update.revision < sink.revision:
            raise _PublisherBehind(f'its revision {update.revision} is before {sink.revision}')
        entries = [
            KvEntry(row.key, row.value, row.created, row.revision)
            for row in update.rows
            if row.value is not None
        ]
        sink.replace(entries)

    async def _stop_watching_for(self, address: str) -> None:
        """Rely on a publisher, which has passed on all entries."""
        log.info('publisher_followed', publisher=address)
        self.publisher = address
        self.synced.set()
        if not self._is_publisher():
            await self._stop_direct()

    def _note_heard(self, update: FeedUpdate) -> None:
        """Note a sign of life of the publisher, the best source at the moment."""
        now = self._timers.now()
        self._fallback_at = now + FALLBACK_S
        if update.current:
            self._heard_at = now - update.age_s

    async def _check_service(self) -> None:
        """Leave a publisher that has lost the service if this process still reaches it."""
        now = self._timers.now()
        if self._service_tried_at is None or now - self._service_tried_at >= PROBE_PERIOD_S:
            await self._reaches_service()
        reached_at = self._service_reached_at
        if reached_at is not None and now - reached_at < PROBE_PERIOD_S:
            raise _PublisherBehind('it does not reach the key-value service')

    async def _reaches_service(self) -> None:
        self._service_tried_at = self._timers.now()
        self._service_reached_at = None
        try:
            await self._store.probe(next(iter(self._sinks)))
        except (NotSent, OutcomeUnknown, TimeoutError):
            return
        self._service_reached_at = self._timers.now()

    async def _fall_back(self) -> None:
        await self._timers.sleep(max(0.0, self._fallback_at - self._timers.now()))
        self._watch_directly()

    def _watch_directly(self) -> None:
        if self._direct is not None:
            return
        log.info('service_watched', publisher=self._is_publisher())
        watched: list[WatchedSink] = []
        for prefix, sink in self._sinks.items():
            published = sink if self._feed is None else self._feed.sink(prefix, sink)
            watched.append(WatchedSink(prefix, published))
        period_s = PROBE_PERIOD_S if self._feed is None else PUBLISHER_PROBE_PERIOD_S
        self._direct = DirectWatch(
            self._store,
            self._timers,
            self._rng,
            watched,
            period_s,
            self._note_watched,
            self._tell_peers,
            TaskSet(self._on_task_failure),
        )

    def _note_watched(self, direct: DirectWatch) -> None:
        self.synced.set()
        if self._feed is not None:
            self._feed.start(direct.revisions())

    def hear(self, known: tuple[KnownPrefix, ...]) -> None:
        """Compare this process's own watches with what another publisher knows."""
        if self._direct is not None:
            self._direct.hear(known)

    def _tell_peers(self) -> None:
        if self._feed is not None:
            self._feed.tell_peers()

    def _known(self) -> tuple[KnownPrefix, ...]:
        return () if self._direct is None else self._direct.known()

    async def _stop_direct(self) -> None:
        if self._direct is not None:
            direct, self._direct = self._direct, None
            if self._feed is not None:
                self._feed.stop()
            await direct.stop()

    def _freshness(self) -> Freshness:
        """Return what followers may rely on: no more than this process's own watches returned."""
        complete_at = None if self._direct is None else self._direct.complete_at()
        if complete_at is None:
            return Freshness(False, 0.0)
        return Freshness(self._direct.is_current(), self._timers.now() - complete_at)
