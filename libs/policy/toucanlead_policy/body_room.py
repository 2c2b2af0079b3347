"""How many bytes of requests a replica is given at once, learned from how replicas end.

A replica that holds more than its memory has room for crashes under all of them. How much that
is, it doesn't say; replicas of one service are taken to be alike, since one that comes back has
another id. Does no input or output and has no clock.
"""

from collections import Counter

from attrs import define, field, frozen

SMALL_BYTES = 65_536  # of a request; smaller ones are never held back
DECREASE = 0.5  # of what a replica held when it ended
RECOVERY_S = 30.0  # until the room is twice as large again
MIN_BYTES = 1_048_576
ONE_END_S = 1.0  # requests that break off within it broke off by the same end


@frozen
class _Limit:
    """What a replica may hold, in bytes, as learned at a loop time."""

    size: float
    learned_at: float


@define
class BodyRoom:
    """The large requests that this entry has at each replica, and the bounds of services."""

    _held: Counter[str] = field(factory=Counter)
    _limits: dict[str, _Limit] = field(factory=dict)

    def fits(self, service: str, replica: str, size: int, now: float) -> bool:
        """Return whether a request of `size` bytes may be sent to a replica.

        One alone always may.
        """
        held = self._held.get(replica, 0)
        if size <= SMALL_BYTES or not held:
            return True
        return held + size <= self.limit(service, now)

    def limit(self, service: str, now: float) -> float:
        """Return how many bytes a replica may hold; infinity if none ended under many."""
        limit = self._limits.get(service)
        if limit is None:
            return float('inf')
        return limit.size * 2.0 ** ((now - limit.learned_at) / RECOVERY_S)

    def sent(self, replica: str, size: int) -> None:
        """Count a request that is being sent."""
        if size > SMALL_BYTES:
            self._held[replica] += size

    def done(self, replica: str, size: int) -> None:
        """Count a request that has ended, however it did."""
        if size > SMALL_BYTES:
            self._held[replica] -= size
            if self._held[replica] <= 0:
                del self._held[replica]

    def ended(self, service: str, replica: str, now: float) -> None:
        """Note that a replica ended, or broke off, under what it holds."""
        held = self._held.get(replica, 0)
        last = self._limits.get(service)
        if held <= MIN_BYTES or (last is not None and now - last.learned_at < ONE_END_S):
            return
        size = max(MIN_BYTES, DECREASE * held)
        if size < self.limit(service, now):
            self._limits[service] = _Limit(size, now)
