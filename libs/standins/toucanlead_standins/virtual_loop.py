"""An asyncio loop in virtual time: waiting costs nothing and is repeatable."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar('T')
TICK_S = 1e-6  # less would be lost in rounding, and a timer would spin


class _JumpSelector(selectors.BaseSelector):
    """Moves the loop's clock on instead of waiting for sockets."""

    def __init__(self, loop: 'VirtualLoop') -> None:
        self._loop = loop
        self._map: dict = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        key = selectors.SelectorKey(fileobj, 0, events, data)
        self._map[fileobj] = key
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self._map.pop(fileobj)

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError('virtual loop: every task waits and no timer is set')
        self._loop.advance(timeout)
        return []

    def get_map(self) -> dict:
        return self._map


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose `time()` jumps to the next timer."""

    def __init__(self) -> None:
        """Start at zero seconds."""
        self._virtual_now_s = 0.0
        super().__init__(selector=_JumpSelector(self))

    def time(self) -> float:
        """Return virtual seconds."""
        return self._virtual_now_s

    def advance(self, delay_s: float) -> None:
        """Move the clock on."""
        if delay_s > 0:
            self._virtual_now_s += max(delay_s, TICK_S)


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in virtual time, as asyncio.run does."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
