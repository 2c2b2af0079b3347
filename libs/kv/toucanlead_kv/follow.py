"""Following a prefix of the key-value service: a snapshot, then each change."""

import abc
import asyncio
import random

import structlog

from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.timers import Timers

from .kv import HistoryLost, KvEntry, PollingStore, WatchEvent

log = structlog.get_logger()

WAIT_S = 25.0  # the platform lets a watch wait for 30 s
MIN_WAIT_S = 0.05
RETRY_BASE_S = 0.1
RETRY_LIMIT_S = 2.0  # a watchdog says earlier when the service is back
GATHER_S = 0.2  # changes seldom come alone, and a call for each of them is priced
CHECKS_S = (1.0, 2.5)  # after a watch was cut, read everything again this much later
PROBE_PERIOD_S = 1.0  # a stale read costs a tenth of a call
PROBE_TIMEOUT_S = 0.9


class ChangeSink(abc.ABC):
    """Takes what stands under a prefix and how it changes."""

    @abc.abstractmethod
    def replace(self, entries: list[KvEntry]) -> None:
        """Take all entries; what is missing is gone."""

    @abc.abstractmethod
    def apply(self, events: list[WatchEvent]) -> None:
        """Take changes in the order in which they were made."""


class Follower:
    """Keeps one sink up to date; never returns."""

    def __init__(
        self,
        store: PollingStore,
        timers: Timers,
        rng: random.Random,
        prefix: str,
        sink: ChangeSink,
    ) -> None:
        """Take the service, the time, the prefix and who takes its changes."""
        self._store = store
        self._timers = timers
        self._rng = rng
        self._prefix = prefix
        self._sink = sink
        self._renew = asyncio.Event()
        self._revision: int | None = None
        self._checks_at: list[float] = []
        self.heard_at: float | None = None
        self.synced = asyncio.Event()

    def restart(self) -> None:
        """Ask again at once: a call that waits may never be answered."""
        self._renew.set()

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        delay_s = RETRY_BASE_S
        while True:
            if self._renew.is_set():
                self._renew.clear()
                self._distrust()
            try:
                if self._revision is None:
                    await self._read()
                await self._wait()
                delay_s = RETRY_BASE_S
            except HistoryLost as exc:
                log.info('watch_history_lost', prefix=self._prefix, detail=str(exc))
                self._distrust()
            except (NotSent, OutcomeUnknown) as exc:
                log.info('watch_failed', prefix=self._prefix, error=str(exc))
                self._distrust()
                await self._pause(delay_s * self._rng.uniform(0.5, 1.0))
                delay_s = min(2 * delay_s, RETRY_LIMIT_S)
            except Exception as exc:  # what cannot be read now may be mended by the next change
                log.error('watch_unreadable', prefix=self._prefix, error=repr(exc))
                self._revision = None
                await self._pause(RETRY_LIMIT_S)

    async def _pause(self, delay_s: float) -> None:
        """Wait before the next try, or until asked to begin again."""
        try:
            async with asyncio.timeout(delay_s):
                await self._renew.wait()
        except TimeoutError:
            return

    async def _read(self) -> None:
        snapshot = await self._store.snapshot(self._prefix)
        self._sink.replace(snapshot.entries)
        self._heard(snapshot.revision)
        self.synced.set()

    def _distrust(self) -> None:
        """Read everything again, now and a little later.

        A watch that begins just before the service drops its history may hear
        nothing of what was dropped, and a watch that was cut may be the sign of it.
        """
        self._revision = None
        now = self._timers.now()
        self._checks_at = [now + after_s for after_s in CHECKS_S]

    def _wait_s(self) -> float:
        """Return how long to poll before everything is to be read again."""
        if not self._checks_at:
            return WAIT_S
        return max(MIN_WAIT_S, self._checks_at[0] - self._timers.now())

    async def _wait(self) -> None:
        """Poll once, unless asked to begin again meanwhile."""
        poll = asyncio.ensure_future(self._store.poll(self._prefix, self._revision, self._wait_s()))
        renew = asyncio.ensure_future(self._renew.wait())
        try:
            await asyncio.wait({poll, renew}, return_when=asyncio.FIRST_COMPLETED)
            if poll.done():
                changes = poll.result()
                self._sink.apply(changes.events)
                self._heard(changes.revision)
                if changes.events:
                    await self._pause(GATHER_S)
            if self._checks_at and self._timers.now() >= self._checks_at[0]:
                self._checks_at.pop(0)
                self._revision = None
        finally:
            for task in (poll, renew):
                task.cancel()
            await asyncio.gather(poll, renew, return_exceptions=True)

    def _heard(self, revision: int) -> None:
        self._revision = revision
        self.heard_at = self._timers.now()


class StoreWatchdog:
    """Notices when the service is lost and regained, and restarts the followers then."""

    def __init__(self, store: PollingStore, timers: Timers, key: str) -> None:
        """Take the service and a key that a cheap read may name."""
        self._store = store
        self._timers = timers
        self._key = key
        self._followers: list[Follower] = []
        self.lost_since: float | None = None

    def watch_over(self, follower: Follower) -> None:
        """Restart a follower whenever the service is back."""
        self._followers.append(follower)

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await self._timers.sleep(PROBE_PERIOD_S)
            await self._probe()

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
            away_s = self._timers.now() - self.lost_since
            self.lost_since = None
            log.info('key_value_service_regained', away_s=round(away_s, 3))
            self._restart_all()

    def _restart_all(self) -> None:
        """Let calls that may never be answered begin again."""
        for follower in self._followers:
            follower.restart()
