"""Limit queue: requests that wait for a rate token, the most urgent first.

Serves load above what replicas accept at the moment. A request that cannot get a token
within `QUEUE_S` is refused at once, the least urgent first, so that no caller waits for
what it cannot get.
"""

import itertools

from attrs import define, field, frozen

QUEUE_S = 0.5  # the longest wait; a caller that returns later is served as soon
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0


@frozen(order=True)
class Waiting:
    """A waiting request; a lower rank is more urgent, and earlier arrivals go first."""

    rank: tuple[int, int]
    arrived_at: float
    number: int


@define
class LimitQueue:
    """The requests of one service that wait at this entry."""

    _waiting: list[Waiting] = field(factory=list)
    _numbers: itertools.count = field(factory=itertools.count)

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def enter(self, rank: tuple[int, int], arrived_at: float) -> Waiting:
        """Add a request."""
        waiting = Waiting(rank, arrived_at, next(self._numbers))
        self._waiting.append(waiting)
        self._waiting.sort()
        return waiting

    def leave(self, waiting: Waiting) -> None:
        """Remove a request, if it still waits."""
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def first(self, count: int) -> list[Waiting]:
        """Return the most urgent requests."""
        return self._waiting[:count]

    def excess(self, rate_per_s: float) -> list[Waiting]:
        """Return the requests that cannot get a token in time, at a rate of tokens."""
        return self._waiting[max(1, int(rate_per_s * QUEUE_S)) :]

    def retry_after_s(self, rate_per_s: float) -> float:
        """Return when a refused request should come back: after those that wait now."""
        if rate_per_s <= 0:
            return MAX_RETRY_AFTER_S
        wait_s = (len(self._waiting) + 1) / rate_per_s
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
