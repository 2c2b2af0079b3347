"""Direct watch: one process's own watches of the key-value service."""

import random
from collections.abc import Callable

from attrs import frozen

from toucanlead_core.tasks import TaskSet
from toucanlead_core.timers import Timers
from toucanlead_kv.kv import PollingStore
from toucanlead_kv.watch import ChangeSink, PrefixWatcher, StoreWatchdog

PROOF_LIMIT_S = 2.0  # a probe's period and timeout, and some delay


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
        tasks: TaskSet,
    ) -> None:
        """Start watching; `on_synced` is called once every sink has all entries.

        `tasks` are only this watch's own.
        """
        self._timers = timers
        self._watchers = {
            item.prefix: PrefixWatcher(store, timers, rng, item.prefix, item.sink)
            for item in watched
        }
        self._watchdog = StoreWatchdog(store, timers, watched[0].prefix, probe_period_s)
        self._on_synced = on_synced
        self._tasks = tasks
        for watcher in self._watchers.values():
            self._watchdog.add_watcher(watcher)
            self._tasks.keep_running(watcher.run, 'watch')
        self._tasks.keep_running(self._watchdog.run, 'watchdog')
        self._tasks.spawn(self._wait_synced(), 'first watch')

    @property
    def synced(self) -> bool:
        """Return whether every sink has all entries."""
        return all(watcher.synced.is_set() for watcher in self._watchers.values())

    def revisions(self) -> dict[str, Callable[[], int]]:
        """Return for each prefix a function that returns its known revision."""
        return {
            prefix: lambda watcher=watcher: watcher.applied_revision
            for prefix, watcher in self._watchers.items()
        }

    def answered_at(self) -> float | None:
        """Return when the service last answered a probe or every watch."""
        watches = [watcher.last_response_at for watcher in self._watchers.values()]
        watched_at = None if None in watches else min(watches)
        probed_at = self._watchdog.last_answer_at
        return max((at for at in (watched_at, probed_at) if at is not None), default=None)

    def is_current(self) -> bool:
        """Return whether the service has answered a moment ago and does not seem lost."""
        answered_at = self.answered_at()
        return (
            self.synced
            and self._watchdog.lost_since is None
            and answered_at is not None
            and self._timers.now() - answered_at < PROOF_LIMIT_S
        )

    async def stop(self) -> None:
        """Stop watching."""
        await self._tasks.cancel()

    async def _wait_synced(self) -> None:
        for watcher in self._watchers.values():
            await watcher.synced.wait()
        self._on_synced(self)
