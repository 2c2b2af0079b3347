"""Checks of waiting watches: a watch whose answer is lost looks like one without changes."""

import asyncio
import random
from collections.abc import Callable

import structlog

from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.timers import Timers

from .kv import HistoryCompacted, PollingStore
from .watch import PrefixWatcher

log = structlog.get_logger()

# How old the last proof may get that nothing is missed. With the time of two answers this is half
# of the time within which a configuration has to be in force.
CHECK_AGE_S = 1.1
CHECK_JITTER = 0.15  # so that, of the processes that tell each other, mostly one makes the call
CHECK_WAIT_S = 0.001  # the service answers at once
CHECK_MARGIN_S = 0.3  # the service responds in 4 ms, or in 250 ms when it is slow
CHECK_MARGIN_LIMIT_S = 1.0
CHECK_RETRY_S = 0.1
PEER_LEAD_S = 0.2  # a watch may be answered so much later than a peer's


class WatchCheck:
    """Finds out whether a watch has missed changes, and has it ask for them again.

    Proof that it has not is a response of the service after the same revision, or a peer that
    had all changes and knows of none that is newer. Without either for `CHECK_AGE_S`, the
    changes are asked for over another connection.
    """

    def __init__(
        self,
        watcher: PrefixWatcher,
        store: PollingStore,
        timers: Timers,
        rng: random.Random,
        is_lost: Callable[[], bool],
        on_proof: Callable[[], None],
    ) -> None:
        """`is_lost` returns whether the service is away, `on_proof` is called after a check.

        The watchers are restarted when the service is back, so nothing is checked before.
        """
        self._watcher = watcher
        self._store = store
        self._timers = timers
        self._rng = rng
        self._is_lost = is_lost
        self._on_proof = on_proof
        self._margin_s = CHECK_MARGIN_S
        self._retry_at = 0.0
        self._peer_revision = 0
        self._peer_heard_at = 0.0
        self._peer_heard = asyncio.Event()

    def hear(self, revision: int, complete_at: float) -> None:
        """Compare with a peer that had all changes at `complete_at`, the latest at `revision`."""
        if revision <= self._watcher.applied_revision:
            self._watcher.note_complete(complete_at)
        elif revision > self._peer_revision:
            self._peer_revision, self._peer_heard_at = revision, self._timers.now()
            self._peer_heard.set()

    async def run(self) -> None:
        """Check the watch until cancelled."""
        while True:
            limit_s = CHECK_AGE_S * (1 - CHECK_JITTER * self._rng.random())
            while (delay_s := self._due_at(limit_s) - self._timers.now()) > 0:
                await self._sleep(delay_s)
            if self._is_behind():
                log.info('watch_behind_peer', **self._state(), peer=self._peer_revision)
                self._peer_heard_at = self._timers.now()
                self._watcher.repeat()
            elif self._is_lost() or self._watcher.revision is None:
                await self._sleep(CHECK_RETRY_S)
            else:
                await self._check()

    def _is_behind(self) -> bool:
        """Return whether a peer has seen a change some time ago that this watch has not."""
        late = self._timers.now() - self._peer_heard_at >= PEER_LEAD_S
        return late and self._peer_revision > self._watcher.applied_revision

    def _due_at(self, limit_s: float) -> float:
        complete_at = self._watcher.complete_at
        due_at = self._retry_at if complete_at is None else complete_at + limit_s
        due_at = max(due_at, self._retry_at)
        if self._peer_revision > self._watcher.applied_revision:
            due_at = min(due_at, self._peer_heard_at + PEER_LEAD_S)
        return due_at

    async def _sleep(self, delay_s: float) -> None:
        """Sleep, or until a peer has seen a newer change."""
        self._peer_heard.clear()
        try:
            async with asyncio.timeout(delay_s):
                await self._peer_heard.wait()
        except TimeoutError:
            return

    async def _check(self) -> None:
        watcher, revision, asked_at = self._watcher, self._watcher.revision, self._timers.now()
        try:
            changes = await self._store.poll(watcher.prefix, revision, CHECK_WAIT_S, self._margin_s)
        except HistoryCompacted:
            watcher.restart()
        except (NotSent, OutcomeUnknown) as exc:
            log.info('watch_check_failed', **self._state(), error=str(exc))
            self._margin_s = CHECK_MARGIN_LIMIT_S
        else:
            self._margin_s = CHECK_MARGIN_S
            watcher.last_response_at = self._timers.now()
            if watcher.revision == revision and changes.events:
                log.info('watch_silent', **self._state(), missed=len(changes.events))
                watcher.repeat()
            elif watcher.revision == revision:
                watcher.note_complete(asked_at)
                self._on_proof()
                return
        self._retry_at = self._timers.now() + CHECK_RETRY_S

    def _state(self) -> dict:
        complete_at = self._watcher.complete_at
        age_s = None if complete_at is None else round(self._timers.now() - complete_at, 3)
        return {
            'prefix': self._watcher.prefix,
            'revision': self._watcher.revision,
            'age_s': age_s,
        }
