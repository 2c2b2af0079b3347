"""An asyncio event loop in virtual time: sleeping takes no real time and is deterministic."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar('T')
MIN_ADVANCE_S = 1e-6  # rounding can lose a smaller step, and the loop would never reach the timer


class _VirtualSelector(selectors.BaseSelector):
    """Advances the loop's clock instead of waiting for sockets."""

    def __init__(self, loop: 'VirtualLoop') -> None:
        self._loop = loop
        self._keys: dict = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        key = selectors.SelectorKey(fileobj, 0, events, data)
        self._keys[fileobj] = key
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self._keys.pop(fileobj)

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError(
                'deadlock in virtual time: all tasks are waiting and no timer is set'
            )
        self._loop.advance(timeout)
        return []

    def get_map(self) -> dict:
        return self._keys


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose `time()` jumps to the next timer."""

    def __init__(self) -> None:
        """Start the clock at zero."""
        self._virtual_now_s = 0.0
        super().__init__(selector=_VirtualSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_now_s

    def advance(self, delay_s: float) -> None:
        """Advance the clock, by MIN_ADVANCE_S at least unless the delay is zero."""
        if delay_s > 0:
            self._virtual_now_s += max(delay_s, MIN_ADVANCE_S)


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in virtual time, as asyncio.run does."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
