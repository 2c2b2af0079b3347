"""Percentile, mean and standard deviation."""

import math
from collections.abc import Sequence


def percentile(values: Sequence[float], percent: float) -> float:
    """Return the nearest-rank percentile, or 0.0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = max(1, math.ceil(percent / 100 * len(ordered)))
    return ordered[rank - 1]


def mean(values: Sequence[float]) -> float:
    """Return the mean, or 0.0 without values."""
    return sum(values) / len(values) if values else 0.0


def spread(values: Sequence[float]) -> float:
    """Return the sample standard deviation, or 0.0 for fewer than two values."""
    if len(values) < 2:
        return 0.0
    middle = mean(values)
    return math.sqrt(sum((v - middle) ** 2 for v in values) / (len(values) - 1))
