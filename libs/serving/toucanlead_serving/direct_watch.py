"""Direct watch: one process's own watches of the key-value service."""

import random
from collections.abc import Callable

from attrs import frozen

from toucanlead_core.tasks import TaskSet
from toucanlead_core.timers import Timers
from toucanlead_kv.kv import PollingStore
from toucanlead_kv.watch import ChangeSink, PrefixWatcher, StoreWatchdog
from toucanlead_kv.watch_check import WatchCheck
from toucanlead_peer.serving_interfaces import KnownPrefix

CURRENT_LIMIT_S = 1.5  # a check's period and answer, and some delay


@frozen
class WatchedSink:
    """A key prefix to watch and the sink of its changes."""

    prefix: str
    sink: ChangeSink


class DirectWatch:
    """Watches prefixes in the service until stopped."""

    def __init__(
        self,
        store: PollingStore,
        timers: Timers,
        rng: random.Random,
        watched: list[WatchedSink],
        probe_period_s: float,
        on_synced: Callable[['DirectWatch'], None],
        on_proof: Callable[[], None],
        tasks: TaskSet,
    ) -> None:
        """Start watching; `on_synced` is called once every sink has all entries.

        `on_proof` is called when the service has shown that no change was missed. `tasks` are
        only this watch's own.
        """
        self._timers = timers
        self._watchers = {
            item.prefix: PrefixWatcher(store, timers, rng, item.prefix, item.sink)
            for item in watched
        }
        self._watchdog = StoreWatchdog(store, timers, watched[0].prefix, probe_period_s)
        self._on_synced = on_synced
        self._tasks = tasks
        self._checks = {
            prefix: WatchCheck(watcher, store, timers, rng, self._is_lost, on_proof)
            for prefix, watcher in self._watchers.items()
        }
        for prefix, watcher in self._watchers.items():
            self._watchdog.add_watcher(watcher)
            self._tasks.keep_running(watcher.run, 'watch')
            self._tasks.keep_running(self._checks[prefix].run, 'watch check')
        self._tasks.keep_running(self._watchdog.run, 'watchdog')
        self._tasks.spawn(self._wait_synced(), 'first watch')

    def revisions(self) -> dict[str, Callable[[], int]]:
        """Return for each prefix a function that returns its known revision."""
        return {
            prefix: lambda watcher=watcher: watcher.applied_revision
            for prefix, watcher in self._watchers.items()
        }

    def complete_at(self) -> float | None:
        """Return when the sinks last missed no change, None if there is no proof."""
        times = [watcher.complete_at for watcher in self._watchers.values()]
        return None if None in times else min(times)

    def known(self) -> tuple[KnownPrefix, ...]:
        """Return what this process knows of each prefix."""
        now = self._timers.now()
        return tuple(
            KnownPrefix(prefix, watcher.changed_revision, now - watcher.complete_at)
            for prefix, watcher in self._watchers.items()
            if watcher.complete_at is not None
        )

    def hear(self, known: tuple[KnownPrefix, ...]) -> None:
        """Compare with what a peer knows."""
        now = self._timers.now()
        for item in known:
            check = self._checks.get(item.prefix)
            if check is not None:
                check.hear(item.revision, now - item.age_s)

    def is_current(self) -> bool:
        """Return whether nothing was missed a moment ago and the service does not seem lost."""
        complete_at = self.complete_at()
        return (
            complete_at is not None
            and not self._is_lost()
            and self._timers.now() - complete_at < CURRENT_LIMIT_S
        )

    def _is_lost(self) -> bool:
        return self._watchdog.lost_since is not None

    async def stop(self) -> None:
        """Stop watching."""
        await self._tasks.cancel()

    async def _wait_synced(self) -> None:
        for watcher in self._watchers.values():
            await watcher.synced.wait()
        self._on_synced(self)
