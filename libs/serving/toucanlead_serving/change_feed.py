"""Change feed: passes the key-value changes that this process watches on to followers."""

import asyncio
from collections.abc import AsyncGenerator, Callable

from attrs import define, evolve, field, frozen

from toucanlead_core.timers import Timers
from toucanlead_kv.kv import KvEntry, WatchEvent
from toucanlead_kv.watch import ChangeSink
from toucanlead_peer.serving_interfaces import FeedHandler, FeedRow, FeedUpdate, KnownPrefix

HEARTBEAT_S = 0.4  # followers take a publisher that is silent for longer as lost
FOLLOWER_QUEUE_UPDATES = 256  # a follower that falls further behind is disconnected
IDLE_PUBLISHER_S = 10.0  # a publisher without followers stops publishing after this time


@frozen
class Freshness:
    """Whether this process misses no changes, as far as it knows, and how old that knowledge is.

    `age_s` is the time in seconds since the key-value service last showed that it has them all.
    """

    current: bool
    age_s: float


@define(eq=False)
class _Follower:
    """One open feed: the updates that it has not been sent yet."""

    prefixes: frozenset[str]
    queue: asyncio.Queue[FeedUpdate] = field(factory=lambda: asyncio.Queue(FOLLOWER_QUEUE_UPDATES))
    ended: bool = False


class _PublishedPrefix(ChangeSink):
    """Keeps the entries under a prefix, and publishes and forwards their changes."""

    def __init__(self, feed: 'ChangeFeed', prefix: str, sink: ChangeSink | None) -> None:
        self._feed = feed
        self._prefix = prefix
        self._sink = sink
        self.entries: dict[str, KvEntry] = {}
        self.revision: Callable[[], int] = lambda: 0

    def replace(self, entries: list[KvEntry]) -> None:
        """Publish the differences to the entries known before."""
        if self._sink is not None:
            self._sink.replace(entries)
        known, self.entries = self.entries, {entry.key: entry for entry in entries}
        latest = max((entry.mod_rev for entry in entries), default=0)
        deleted = [
            FeedRow(key, None, max(latest, entry.mod_rev))
            for key, entry in known.items()
            if key not in self.entries
        ]
        changed = [
            _row(entry)
            for entry in entries
            if entry.key not in known or known[entry.key].mod_rev != entry.mod_rev
        ]
        self._feed.publish(self._prefix, (*deleted, *changed))

    def apply(self, events: list[WatchEvent]) -> None:
        """Publish changes."""
        if self._sink is not None:
            self._sink.apply(events)
        for event in events:
            if event.value is None:
                self.entries.pop(event.key, None)
            else:
                entry = KvEntry(event.key, event.value, event.mod_rev, event.mod_rev)
                self.entries[event.key] = entry
        rows = tuple(FeedRow(event.key, event.value, event.mod_rev) for event in events)
        self._feed.publish(self._prefix, rows)

    def snapshot(self) -> FeedUpdate:
        """Return all entries, with the revision up to which they are known."""
        rows = tuple(_row(entry) for entry in self.entries.values())
        return FeedUpdate(self._prefix, rows, complete=True, revision=self.revision())


class ChangeFeed(FeedHandler):
    """The changes of all prefixes that this process watches, for any number of followers.

    `freshness` says what followers may rely on, as each update passes it on, and `known` what
    other publishers compare with what they know;
    `on_first_follower` is called when a follower arrives while nothing is published.
    """

    def __init__(self, timers: Timers) -> None:
        """`timers` is the source of time."""
        self._timers = timers
        self._prefixes: dict[str, _PublishedPrefix] = {}
        self._followers: set[_Follower] = set()
        self._published = asyncio.Event()
        self._last_followed_at = -IDLE_PUBLISHER_S
        self._peers: set[asyncio.Event] = set()
        self.freshness: Callable[[], Freshness] = lambda: Freshness(False, 0.0)
        self.known: Callable[[], tuple[KnownPrefix, ...]] = tuple
        self.on_first_follower: Callable[[], None] = lambda: None

    @property
    def in_use(self) -> bool:
        """Return whether there are followers, or were a moment ago."""
        idle_s = self._timers.now() - self._last_followed_at
        return bool(self._followers) or idle_s < IDLE_PUBLISHER_S

    def sink(self, prefix: str, sink: ChangeSink | None) -> ChangeSink:
        """Return the sink of a watched prefix; it publishes, and forwards to `sink`."""
        self._prefixes[prefix] = _PublishedPrefix(self, prefix, sink)
        return self._prefixes[prefix]

    def start(self, revisions: dict[str, Callable[[], int]]) -> None:
        """Serve followers: all prefixes have been read.

        `revisions` returns, for each prefix, the revision up to which it is known.
        """
        for prefix, revision in revisions.items():
            self._prefixes[prefix].revision = revision
        self._published.set()

    def stop(self) -> None:
        """End all feeds and forget the entries: this process no longer watches them."""
        self._published.clear()
        self._prefixes.clear()
        for follower in self._followers:
            follower.ended = True

    def publish(self, prefix: str, rows: tuple[FeedRow, ...]) -> None:
        """Queue changes for the followers of a prefix."""
        if not rows:
            return
        self.tell_peers()
        update = FeedUpdate(prefix, rows)
        for follower in self._followers:
            if prefix not in follower.prefixes or follower.ended:
                continue
            try:
                follower.queue.put_nowait(update)
            except asyncio.QueueFull:
                follower.ended = True

    def tell_peers(self) -> None:
        """Tell other publishers at once what is known, before the next heartbeat."""
        for told in self._peers:
            told.set()

    async def follow(self, prefixes: list[str]) -> AsyncGenerator[FeedUpdate, None]:
        """Yield the entries under each prefix, then changes and heartbeats.

        Without prefixes, for another publisher, yield what is known while anything is published.
        """
        if not prefixes:
            async for update in self._updates_for_peer():
                yield update
            return
        follower = _Follower(frozenset(prefixes))
        self._last_followed_at = self._timers.now()
        if not self._published.is_set():
            self.on_first_follower()
            await self._published.wait()
        if not follower.prefixes <= self._prefixes.keys():
            return
        snapshots = [self._prefixes[prefix].snapshot() for prefix in prefixes]
        self._followers.add(follower)
        try:
            for update in snapshots:
                yield self._with_freshness(update)
            while not follower.ended:
                yield self._with_freshness(await self._next_update(follower))
        finally:
            self._followers.discard(follower)
            self._last_followed_at = self._timers.now()

    async def _updates_for_peer(self) -> AsyncGenerator[FeedUpdate, None]:
        told = asyncio.Event()
        self._peers.add(told)
        try:
            while self._published.is_set():
                told.clear()
                yield self._with_freshness(FeedUpdate(known=self.known()))
                try:
                    async with asyncio.timeout(HEARTBEAT_S):
                        await told.wait()
                except TimeoutError:
                    continue
        finally:
            self._peers.discard(told)

    async def _next_update(self, follower: _Follower) -> FeedUpdate:
        """Return the next change, or a heartbeat if there is none for a while."""
        try:
            async with asyncio.timeout(HEARTBEAT_S):
                return await follower.queue.get()
        except TimeoutError:
            return FeedUpdate()

    def _with_freshness(self, update: FeedUpdate) -> FeedUpdate:
        freshness = self.freshness()
        return evolve(update, current=freshness.current, age_s=freshness.age_s)


def _row(entry: KvEntry) -> FeedRow:
    return FeedRow(entry.key, entry.value, entry.mod_rev, entry.create_rev)
