"""Cache retention through a tool pause: keep, export or release."""

from collections import deque
from enum import Enum

from attrs import define, field

SAMPLES = 64  # pauses remembered per tool
UNKNOWN_PAUSE_S = 60.0


class Retention(str, Enum):
    """What to do with a program's cache while it pauses."""

    KEEP = 'keep'
    EXPORT = 'export'
    RELEASE = 'release'


@define
class PauseModel:
    """Recent pause lengths by what the program waits for, in seconds."""

    _pauses: dict[str, deque[float]] = field(factory=dict)

    def observe(self, kind: str, pause_s: float) -> None:
        """Note a pause that ended."""
        self._pauses.setdefault(kind, deque(maxlen=SAMPLES)).append(pause_s)

    def expected_s(self, kind: str) -> float:
        """Return the mean of recent pauses, a minute when nothing is known."""
        samples = self._pauses.get(kind)
        return sum(samples) / len(samples) if samples else UNKNOWN_PAUSE_S


def decide(pause_s: float, recompute_s: float, export_s: float, pressure: float) -> Retention:
    """Return the cheapest for a predicted pause; all costs in engine seconds."""
    keep = pressure * pause_s
    if keep <= min(recompute_s, export_s):
        return Retention.KEEP
    return Retention.EXPORT if export_s < recompute_s else Retention.RELEASE
