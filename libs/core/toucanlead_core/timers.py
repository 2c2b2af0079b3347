"""Clock, delays and periodic timers; the only source of time for all components."""

import abc
import asyncio
import random
from collections.abc import Awaitable, Callable

import structlog

log = structlog.get_logger()


class TimerHandle(abc.ABC):
    """A handle to a running timer."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Stop the timer, and cancel its callback if that is running."""


class Timers(abc.ABC):
    """The clock and timers of a process; all times are in seconds."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return the time of a monotonic clock."""

    @abc.abstractmethod
    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task for a delay."""

    @abc.abstractmethod
    def every(
        self, period_s: float, callback: Callable[[], Awaitable[None]], name: str
    ) -> TimerHandle:
        """Run a callback once per period, with jitter; runs never overlap."""


class _TaskTimerHandle(TimerHandle):
    def __init__(self, task: asyncio.Task) -> None:
        self._task = task

    def cancel(self) -> None:
        self._task.cancel()


class LoopTimers(Timers):
    """Timers on the running asyncio event loop, which may run on virtual time."""

    JITTER_FRACTION = 0.1  # of the period, so that timers do not fire all at once

    def __init__(self, rng: random.Random) -> None:
        """Use the running event loop; `rng` generates the jitter."""
        self._rng = rng
        self._loop = asyncio.get_running_loop()

    def now(self) -> float:
        """Return the event loop's time."""
        return self._loop.time()

    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task for a delay."""
        await asyncio.sleep(delay_s)

    def every(
        self, period_s: float, callback: Callable[[], Awaitable[None]], name: str
    ) -> TimerHandle:
        """Run a callback once per period; an exception is logged and the timer continues."""
        return _TaskTimerHandle(self._loop.create_task(self._run(period_s, callback, name)))

    async def _run(
        self, period_s: float, callback: Callable[[], Awaitable[None]], name: str
    ) -> None:
        while True:
            factor = 1 + self.JITTER_FRACTION * (2 * self._rng.random() - 1)
            await asyncio.sleep(period_s * factor)
            try:
                await callback()
            except Exception as exc:
                log.warning('timer_failed', timer=name, error=repr(exc))
