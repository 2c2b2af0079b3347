"""A heap of timed events: the clock of the benchmark."""

import heapq
import itertools
from collections.abc import Callable

from attrs import define, field


@define
class EventLoop:
    """Runs callbacks in order of their virtual time, in seconds."""

    now: float = 0.0
    _events: list = field(factory=list)
    _numbers: itertools.count = field(factory=itertools.count)

    def at(self, when: float, action: Callable[[], object]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (max(when, self.now), next(self._numbers), action))

    def after(self, delay_s: float, action: Callable[[], object]) -> None:
        """Run an action after a delay."""
        self.at(self.now + delay_s, action)

    def run(self, until: float) -> None:
        """Run events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
