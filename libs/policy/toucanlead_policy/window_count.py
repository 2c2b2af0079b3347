"""Count of events in a sliding window, in slots of a tenth of a second."""

from collections import deque

from attrs import define, field

SLOT_S = 0.1


@define
class _Slot:
    ends_at: float
    count: int


@define
class WindowCount:
    """How many events were added in the last `span_s` seconds; up to a slot more than that."""

    span_s: float
    _slots: deque[_Slot] = field(factory=deque)
    _total: int = 0

    def add(self, count: int, now: float) -> None:
        """Add events."""
        if count <= 0:
            return
        if not self._slots or now >= self._slots[-1].ends_at:
            self._slots.append(_Slot(now + SLOT_S, 0))
        self._slots[-1].count += count
        self._total += count

    def remove(self, count: int, now: float) -> None:
        """Remove events, the oldest first, which never shortens the time others are counted."""
        self._drop_old(now)
        while count > 0 and self._slots:
            removed = min(count, self._slots[0].count)
            self._slots[0].count -= removed
            self._total -= removed
            count -= removed
            if not self._slots[0].count:
                self._slots.popleft()

    def total(self, now: float) -> int:
        """Return how many events are counted."""
        self._drop_old(now)
        return self._total

    def added_since(self, since: float, now: float) -> int:
        """Return how many of the events counted were added after a time."""
        self._drop_old(now)
        return sum(slot.count for slot in self._slots if slot.ends_at > since)

    def seconds_until_fewer(self, count: int, now: float) -> float:
        """Return when `count` of the events will be counted no more, at most `span_s`."""
        self._drop_old(now)
        for slot in self._slots:
            count -= slot.count
            if count <= 0:
                return max(0.0, slot.ends_at + self.span_s - now)
        return self.span_s

    def _drop_old(self, now: float) -> None:
        while self._slots and self._slots[0].ends_at + self.span_s <= now:
            self._total -= self._slots.popleft().count
