"""Background tasks of a process."""

import asyncio
import traceback
from collections.abc import Coroutine, Iterable
from typing import Any

import structlog

log = structlog.get_logger()

CANCEL_AGAIN_S = 0.2


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

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, coro: Coroutine[Any, Any, Any], name: str) -> asyncio.Task:
        """Run a coroutine as a background task; an exception is logged."""
        task = asyncio.get_running_loop().create_task(coro, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        await cancel_all(self._tasks)

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            frame = traceback.extract_tb(exc.__traceback__)[-1]
            log.error(
                'task_failed',
                task=task.get_name(),
                error=repr(exc),
                at=f'{frame.filename}:{frame.lineno}',
            )
