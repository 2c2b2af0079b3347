"""Retries: a retry budget, exponential backoff with full jitter, circuit breakers."""

import random

from attrs import define, field

BACKOFF_BASE_S = 0.05
BACKOFF_LIMIT_S = 2.0
INITIAL_CREDIT = 10.0  # retries allowed before the first request is counted


@define
class RetryBudget:
    """Limits retries to a share of the requests, so that they cannot multiply the load."""

    share: float
    _credit: float = INITIAL_CREDIT

    def record_request(self) -> None:
        """Count the first attempt of a request, which earns credit for retries."""
        self._credit = min(10 * INITIAL_CREDIT, self._credit + self.share)

    def take_retry(self) -> bool:
        """Take one retry from the budget, and return whether there was one left."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Return the delay before retry number `attempt` (1, 2, ...), with full jitter."""
    return rng.uniform(0, min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2**attempt))


@define
class CircuitBreakers:
    """One circuit breaker for each replica.

    A breaker opens after `threshold` failures in a row, for `open_s` seconds.
    Requests are then allowed again, and the next failure opens it for longer.
    """

    threshold: int = 3
    open_s: float = 5.0
    _failures: dict[str, int] = field(factory=dict)
    _open_until: dict[str, float] = field(factory=dict)

    def open_breakers(self, now: float) -> frozenset[str]:
        """Return the replicas whose breaker is open."""
        return frozenset(name for name, until in self._open_until.items() if until > now)

    def record_failure(self, name: str, now: float) -> None:
        """Count a failure; from the threshold on, open the breaker, each time for longer."""
        count = self._failures.get(name, 0) + 1
        self._failures[name] = count
        if count >= self.threshold:
            scale = min(8, 2 ** (count - self.threshold))
            self._open_until[name] = now + self.open_s * scale

    def record_success(self, name: str) -> None:
        """Close the breaker."""
        self._failures.pop(name, None)
        self._open_until.pop(name, None)
