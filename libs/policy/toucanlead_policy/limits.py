"""Limits by team and program: token rates, concurrency, runaway loops."""

from attrs import define, field

from toucanlead_core.errors import Reason

from .preset import Preset

BURST_S = 10.0  # seconds of a team's token rate that may be used at once


@define
class TokenBucket:
    """A rate with a burst; may go into debt once, then waits."""

    rate_per_s: float
    burst: float
    level: float = field(init=False)
    at: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Start full."""
        self.level = self.burst

    def wait_s(self, amount: float, now: float) -> float:
        """Return how long until the amount may be taken, 0 when now."""
        self.level = min(self.burst, self.level + (now - self.at) * self.rate_per_s)
        self.at = now
        needed = min(amount, self.burst)
        return max(0.0, (needed - self.level) / self.rate_per_s)

    def take(self, amount: float) -> None:
        """Take an amount."""
        self.level -= amount


@define
class TeamLimits:
    """Concurrency and token rate of each team at one entry."""

    _running: dict[str, int] = field(factory=dict)
    _buckets: dict[str, TokenBucket] = field(factory=dict)

    def refuse(self, team: str, tokens: int, preset: Preset, now: float) -> float | None:
        """Return seconds to wait when the team is over a limit, else None."""
        if self._running.get(team, 0) >= preset.team_concurrency:
            return 1.0
        rate = preset.team_tokens_per_s
        bucket = self._buckets.setdefault(team, TokenBucket(rate, rate * BURST_S, at=now))
        bucket.rate_per_s = rate
        wait_s = bucket.wait_s(tokens, now)
        return wait_s if wait_s > 0 else None

    def start(self, team: str, tokens: int) -> None:
        """Count a call that begins."""
        self._running[team] = self._running.get(team, 0) + 1
        self._buckets[team].take(tokens)

    def finish(self, team: str, unused_tokens: int) -> None:
        """Count its end and give back what was reserved and not used."""
        left = self._running[team] - 1
        if left:
            self._running[team] = left
        else:
            del self._running[team]
        self._buckets[team].take(-unused_tokens)


def runaway(bodies: list[str], body: str, turns: int, preset: Preset) -> Reason | None:
    """Say whether a call is one too many: turns, or identical repeats in a row."""
    if turns >= preset.max_turns:
        return Reason.TURN_LIMIT
    recent = bodies[-preset.repeat_limit :]
    if len(recent) == preset.repeat_limit and all(one == body for one in recent):
        return Reason.RUNAWAY
    return None
