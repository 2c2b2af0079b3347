"""Retries: a budget as a share of requests, full jitter, breaker per replica."""

import random

from attrs import define, field

BACKOFF_BASE_S = 0.05
BACKOFF_LIMIT_S = 2.0
RESERVE = 10.0  # retries allowed before any request was counted


@define
class RetryBudget:
    """Allows retries up to a share of requests, so that they cannot multiply load."""

    share: float
    _credit: float = RESERVE

    def request(self) -> None:
        """Count a first attempt."""
        self._credit = min(10 * RESERVE, self._credit + self.share)

    def allow(self) -> bool:
        """Take one retry from the budget."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Return a delay with full jitter before attempt 1, 2, ..."""
    return rng.uniform(0, min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2**attempt))


@define
class Breaker:
    """Keeps requests from a replica that fails, and lets one probe through."""

    threshold: int = 3
    open_s: float = 5.0
    _failures: dict[str, int] = field(factory=dict)
    _open_until: dict[str, float] = field(factory=dict)

    def blocked(self, now: float) -> frozenset[str]:
        """Return the replicas to avoid now."""
        return frozenset(name for name, until in self._open_until.items() if until > now)

    def failed(self, name: str, now: float) -> None:
        """Count a failure; open at the threshold, for longer each time."""
        count = self._failures.get(name, 0) + 1
        self._failures[name] = count
        if count >= self.threshold:
            scale = min(8, 2 ** (count - self.threshold))
            self._open_until[name] = now + self.open_s * scale

    def succeeded(self, name: str) -> None:
        """Close again."""
        self._failures.pop(name, None)
        self._open_until.pop(name, None)
