"""Reloading of the settings file while a process runs."""

import asyncio
import signal
from collections.abc import Callable

import structlog

from toucanlead_core.process_settings import ProcessSettings, SettingsError, SettingsFile
from toucanlead_core.tasks import TaskSet

log = structlog.get_logger()

CHECK_PERIOD_S = 2.0  # the file may change without a SIGHUP


class SettingsReload:
    """Reads the settings file on SIGHUP and periodically, and applies changes."""

    def __init__(self, file: SettingsFile, apply: Callable[[ProcessSettings], None]) -> None:
        """Call `apply` with the new settings after each change of `file`."""
        self._file = file
        self._apply = apply
        self._requested = asyncio.Event()
        self._tasks = TaskSet()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start; from now on SIGHUP reloads instead of ending the process."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self._requested.set)
        self._task = self._tasks.keep_running(self._run, 'reload')

    def stop(self) -> None:
        """Stop reloading; SIGHUP has no effect any more."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(CHECK_PERIOD_S):
                    await self._requested.wait()
                log.info('reload_requested')
            except TimeoutError:
                pass
            self._requested.clear()
            self.check()

    def check(self) -> None:
        """Read the file and apply changes; a file with errors is ignored and logged."""
        try:
            changed = self._file.reload()
        except SettingsError as exc:
            log.error('settings_refused', errors='; '.join(exc.errors))
            return
        if changed:
            self._apply(self._file.settings)
            log.info('settings_in_force')
