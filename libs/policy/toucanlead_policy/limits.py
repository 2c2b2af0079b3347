"""Limits per team (token rate, concurrency) and per program (turns, repeated calls)."""

from attrs import define, field

from toucanlead_core.errors import Reason

from .preset import Preset

BURST_S = 10.0  # the burst of a team, in seconds of its token rate


@define
class TokenBucket:
    """A token bucket.

    An amount above the burst may be taken from a full bucket; the level is then
    negative, and later amounts wait until it has refilled.
    """

    rate_per_s: float
    burst: float
    level: float = field(init=False)
    updated_at: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket."""
        self.level = self.burst

    def wait_s(self, amount: float, now: float) -> float:
        """Refill the bucket, and return the seconds until the amount may be taken, 0 for now."""
        self.level = min(self.burst, self.level + (now - self.updated_at) * self.rate_per_s)
        self.updated_at = now
        needed = min(amount, self.burst)
        return max(0.0, (needed - self.level) / self.rate_per_s)

    def take(self, amount: float) -> None:
        """Take an amount, or give one back if it is negative."""
        self.level -= amount


@define
class TeamLimits:
    """Limits the concurrent calls and the token rate of each team at one entry."""

    _running: dict[str, int] = field(factory=dict)
    _buckets: dict[str, TokenBucket] = field(factory=dict)

    def retry_after_s(self, team: str, tokens: int, preset: Preset, now: float) -> float | None:
        """Return the seconds to wait before retrying if the team is over a limit, else None."""
        if self._running.get(team, 0) >= preset.team_concurrency:
            return 1.0
        rate = preset.team_tokens_per_s
        bucket = self._buckets.setdefault(team, TokenBucket(rate, rate * BURST_S, updated_at=now))
        bucket.rate_per_s = rate
        wait_s = bucket.wait_s(tokens, now)
        return wait_s if wait_s > 0 else None

    def start(self, team: str, tokens: int) -> None:
        """Count a call as started; `retry_after_s` must have been called for the team before."""
        self._running[team] = self._running.get(team, 0) + 1
        self._buckets[team].take(tokens)

    def finish(self, team: str, unused_tokens: int) -> None:
        """Count a call as ended, and give back the reserved tokens that it did not use."""
        left = self._running[team] - 1
        if left:
            self._running[team] = left
        else:
            del self._running[team]
        self._buckets[team].take(-unused_tokens)


def exceeded_limit(bodies: list[str], body: str, turns: int, preset: Preset) -> Reason | None:
    """Return why a call must be refused: too many turns or identical calls in a row, else None.

    `bodies` holds the bodies of the program's recent calls, the latest last.
    """
    if turns >= preset.max_turns:
        return Reason.TURN_LIMIT
    recent = bodies[-preset.repeat_limit :]
    if len(recent) == preset.repeat_limit and all(other == body for other in recent):
        return Reason.RUNAWAY
    return None
