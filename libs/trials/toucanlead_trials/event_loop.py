"""Event loop in virtual time for the benchmark."""

import heapq
import itertools
from collections.abc import Callable

from attrs import define, field


@define
class EventLoop:
    """Runs callbacks in order of their virtual time, in seconds."""

    now: float = 0.0
    _events: list = field(factory=list)
    _sequence: itertools.count = field(factory=itertools.count)

    def call_at(self, when: float, action: Callable[[], object]) -> None:
        """Schedule an action for a virtual time, at the earliest now."""
        heapq.heappush(self._events, (max(when, self.now), next(self._sequence), action))

    def call_later(self, delay_s: float, action: Callable[[], object]) -> None:
        """Schedule an action after a delay."""
        self.call_at(self.now + delay_s, action)

    def run(self, until: float) -> None:
        """Run scheduled actions up to and including a virtual time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
