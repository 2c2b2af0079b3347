"""Implementation of the commands that run or inspect processes of the system.

Each command imports its modules when it runs, to keep unused modules out of memory.
"""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from toucanlead_core.memory_plan import BYTES_PER_MB, MemoryPlan
from toucanlead_core.process_settings import SettingsFile, load_process_settings

from .environment import Environment
from .imports import resume_collection
from .logs import LogWriter, configure_logs
from .roles import NATIVE
from .status import ExitStatus

ProcessMain = Callable[[asyncio.Event], Awaitable[None]]


class ProcessCommands:
    """Implements the entry, archive, explain and check-config commands."""

    def __init__(self, env: Environment) -> None:
        self._env = env

    def entry(self, config: str, adapter: str, log_level: str) -> ExitStatus:
        """Run an entry until SIGTERM or SIGINT."""
        if adapter == NATIVE:
            return self._native_entry(config, log_level)
        from toucanlead_platform.adapter import PlatformAdapter
        from toucanlead_serving.entry_process import run_entry

        file = SettingsFile(Path(config))

        async def run(stop: asyncio.Event) -> None:
            adapter = PlatformAdapter(file.settings.service.address)
            await run_entry(file, adapter, random.Random(), stop)

        return self._run_process(run, log_level)

    def archive(self, config: str, log_level: str) -> ExitStatus:
        """Run an archive until SIGTERM or SIGINT."""
        from toucanlead_platform.adapter import PlatformAdapter
        from toucanlead_serving.archive_process import run_archive

        file = SettingsFile(Path(config))

        async def run(stop: asyncio.Event) -> None:
            adapter = PlatformAdapter(file.settings.service.address)
            await run_archive(file, adapter, random.Random(), stop)

        return self._run_process(run, log_level)

    def explain(self, ident: str) -> ExitStatus:
        """Print the lines of standard input that concern a request, turn or program."""
        from .explain import parse_line, select_lines

        parsed = (parse_line(text) for text in self._env.stdin)
        lines = select_lines([line for line in parsed if line is not None], ident)
        if not lines:
            self._env.print_err(f'{ident}: not found in the log lines')
            return ExitStatus.ERROR
        for line in lines:
            self._env.print_out(line.text())
        return ExitStatus.SUCCESS

    def check_config(self, file: str, adapter: str) -> ExitStatus:
        """Check a settings file; raise SettingsError if it has errors."""
        if adapter == NATIVE:
            from toucanlead_entry.settings import load_settings

            load_settings(Path(file))
        else:
            settings = load_process_settings(Path(file))
            self._print_plan(MemoryPlan.for_vm(settings.limits.memory_mb))
        self._env.print_out(f'{file}: ok')
        return ExitStatus.SUCCESS

    def _print_plan(self, plan: MemoryPlan) -> None:
        """Print the most that each part of a process holds."""
        for name, size in plan.parts.items():
            self._env.print_out(f'memory  {name:<12} {size / BYTES_PER_MB:7.1f} MB')
        sizes = f'{plan.planned / BYTES_PER_MB:.1f} of {plan.memory / BYTES_PER_MB:.1f} MB'
        self._env.print_out(f'memory  at most {sizes}')
        if not plan.fits:
            self._env.print_err(f'limits.memory_mb is too small for all parts at once: {sizes}')

    def _native_entry(self, config: str, log_level: str) -> ExitStatus:
        from toucanlead_entry.daemon import Daemon, run_until
        from toucanlead_entry.settings import load_settings

        settings = load_settings(Path(config))
        return self._run_process(
            lambda stop: run_until(Daemon(settings, random.Random()), stop), log_level
        )

    def _run_process(self, main: ProcessMain, log_level: str) -> ExitStatus:
        writer = LogWriter(self._env.stdout.fileno())
        configure_logs(writer, log_level)
        resume_collection()
        try:
            asyncio.run(_run_until_signal(main))
        finally:
            writer.close()
        return ExitStatus.SUCCESS


async def _run_until_signal(main: ProcessMain) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    await main(stop)
    # Closing the loop restores the default actions, which would end the process by a signal.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))
