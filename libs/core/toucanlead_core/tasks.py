"""Background tasks of a process."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any

import structlog

log = structlog.get_logger()

CANCEL_AGAIN_S = 0.2
RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0
STEADY_S = 30.0  # a task that has run for so long starts again after the shortest delay


async def cancel_all(tasks: Iterable[asyncio.Task]) -> None:
    """Cancel tasks and wait until they have ended.

    A task is cancelled again if it goes on: a library that reports a lost connection at
    the same moment may have replaced the cancellation by its own error.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_AGAIN_S)


class TaskSet:
    """The background tasks of one process; logs their failures and cancels them together."""

    def __init__(self, on_failure: Callable[[str], None] = lambda name: None) -> None:
        """`on_failure` is called with the name of each task that fails."""
        self._tasks: set[asyncio.Task] = set()
        self._on_failure = on_failure

    def spawn(self, coro: Coroutine[Any, Any, Any], name: str) -> asyncio.Task:
        """Run a coroutine as a background task; an exception is logged."""
        task = asyncio.get_running_loop().create_task(coro, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def keep_running(self, work: Callable[[], Awaitable[None]], name: str) -> asyncio.Task:
        """Run a coroutine function that is not meant to return as a background task.

        It starts again, after a delay that grows with each failure, if it fails or ends.
        """
        return self.spawn(self._run_repeatedly(work, name), name)

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        await cancel_all(self._tasks)

    async def _run_repeatedly(self, work: Callable[[], Awaitable[None]], name: str) -> None:
        loop = asyncio.get_running_loop()
        delay_s = RESTART_DELAY_S
        while True:
            started_at = loop.time()
            try:
                await work()
                log.error('task_ended', task=name)
            except Exception as exc:
                self._log_failure(name, exc)
            self._on_failure(name)
            if loop.time() - started_at >= STEADY_S:
                delay_s = RESTART_DELAY_S
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RESTART_DELAY_S)
            log.warning('task_started_again', task=name)

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            self._log_failure(task.get_name(), exc)
            self._on_failure(task.get_name())

    def _log_failure(self, name: str, exc: BaseException) -> None:
        frame = traceback.extract_tb(exc.__traceback__)[-1]
        log.error('task_failed', task=name, error=repr(exc), at=f'{frame.filename}:{frame.lineno}')
