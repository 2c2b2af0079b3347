"""Cache retention during pauses between model calls: keep, export or release."""

from collections import deque
from enum import Enum

from attrs import define, field

SAMPLES_PER_KIND = 64  # most recent pauses
UNKNOWN_PAUSE_S = 60.0


class Retention(str, Enum):
    """What to do with a program's cache during a pause."""

    KEEP = 'keep'
    EXPORT = 'export'
    RELEASE = 'release'


@define
class PausePredictor:
    """Predicts the length of pauses from recent ones of the same kind, in seconds."""

    _pauses: dict[str, deque[float]] = field(factory=dict)

    def observe(self, kind: str, pause_s: float) -> None:
        """Record the length of a pause that ended."""
        self._pauses.setdefault(kind, deque(maxlen=SAMPLES_PER_KIND)).append(pause_s)

    def expected_s(self, kind: str) -> float:
        """Return the mean of recent pauses, `UNKNOWN_PAUSE_S` if there are none."""
        samples = self._pauses.get(kind)
        return sum(samples) / len(samples) if samples else UNKNOWN_PAUSE_S


def choose_retention(
    pause_s: float, recompute_s: float, export_s: float, pressure: float
) -> Retention:
    """Return the cheapest choice for a predicted pause; costs are engine seconds.

    `pressure` is the cost of keeping the cache, in engine seconds per second.
    """
    keep_s = pressure * pause_s
    if keep_s <= min(recompute_s, export_s):
        return Retention.KEEP
    return Retention.EXPORT if export_s < recompute_s else Retention.RELEASE
