"""Timer service: the one source of time, to which parts subscribe."""

import abc
import asyncio
import random
from collections.abc import Awaitable, Callable

import structlog

log = structlog.get_logger()


class Subscription(abc.ABC):
    """A running timer that can be cancelled."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Stop the timer; a callback that has begun is cancelled too."""


class Timers(abc.ABC):
    """Time for every part of the process, in seconds."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return monotonic seconds."""

    @abc.abstractmethod
    async def sleep(self, delay_s: float) -> None:
        """Wait for a delay."""

    @abc.abstractmethod
    def every(
        self, period_s: float, callback: Callable[[], Awaitable[None]], name: str
    ) -> Subscription:
        """Call back each period, with jitter, never twice at once."""


class _TaskSubscription(Subscription):
    def __init__(self, task: asyncio.Task) -> None:
        self._task = task

    def cancel(self) -> None:
        self._task.cancel()


class LoopTimers(Timers):
    """Timers on the running asyncio loop, real or virtual."""

    JITTER = 0.1  # share of a period by which subscribers are spread

    def __init__(self, rng: random.Random) -> None:
        """Take the generator that spreads the periods."""
        self._rng = rng
        self._loop = asyncio.get_running_loop()

    def now(self) -> float:
        """Return the loop's seconds."""
        return self._loop.time()

    async def sleep(self, delay_s: float) -> None:
        """Wait on the loop."""
        await asyncio.sleep(delay_s)

    def every(
        self, period_s: float, callback: Callable[[], Awaitable[None]], name: str
    ) -> Subscription:
        """Call back each period; an error is logged and the timer goes on."""
        return _TaskSubscription(self._loop.create_task(self._run(period_s, callback, name)))

    async def _run(
        self, period_s: float, callback: Callable[[], Awaitable[None]], name: str
    ) -> None:
        while True:
            spread = 1 + self.JITTER * (2 * self._rng.random() - 1)
            await asyncio.sleep(period_s * spread)
            try:
                await callback()
            except Exception as exc:
                log.warning('timer_failed', timer=name, error=repr(exc))
