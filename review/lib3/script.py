"""Runs the play of a case and turns its result into the exit code of the script."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from .fleet import Fleet

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
LIMIT_S = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


def run(play: Callable[[Fleet], Awaitable[int]], folder: Path, **options) -> None:
    """Play a case with a fleet of its own, and exit."""
    sys.exit(asyncio.run(_run(play, folder, options)))


async def _run(play: Callable[[Fleet], Awaitable[int]], folder: Path, options: dict) -> int:
    fleet = Fleet(folder / 'record.txt', **options)
    code = NOT_RUN
    try:
        async with asyncio.timeout(LIMIT_S):
            code = await play(fleet)
    except Exception as exc:  # whatever it is, it doesn't break the rule
        fleet.note(f'could not run: {exc!r}')
    finally:
        await fleet.end()
    fleet.note(f'exit {code}')
    return code
