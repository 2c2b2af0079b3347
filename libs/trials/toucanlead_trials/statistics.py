"""Small statistics for reports."""

import math
from collections.abc import Sequence


def percentile(values: Sequence[float], percent: float) -> float:
    """Return the nearest-rank percentile, 0.0 of nothing."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = max(1, math.ceil(percent / 100 * len(ordered)))
    return ordered[rank - 1]


def mean(values: Sequence[float]) -> float:
    """Return the mean, 0.0 of nothing."""
    return sum(values) / len(values) if values else 0.0


def spread(values: Sequence[float]) -> float:
    """Return the sample standard deviation, 0.0 of fewer than two."""
    if len(values) < 2:
        return 0.0
    middle = mean(values)
    return math.sqrt(sum((v - middle) ** 2 for v in values) / (len(values) - 1))
