"""Team tokens: what an entry remembers of one team between its asks.

An entry that reaches no keeper goes on a little below the rate of the window before, so that
all such entries together stay within what the keeper had granted.
"""

from attrs import define, field

from toucanlead_core.rate_messages import TeamAsk, TeamGrant

from .window_count import WindowCount

SPARE_SHARE = 0.75  # of the requests of the last window, for an entry without a keeper
REMEMBER_REFUSAL_S = 0.25  # how long a keeper that refused is not asked again


@define
class _Refused:
    at: float
    retry_at: float


@define
class TeamTokens:
    """What one team was granted and refused at this entry.

    Each keeper hears only of what its region granted: the other regions report the rest.
    """

    team: str
    window_s: float
    _returned: int = 0
    _share: int = 0
    _refused: dict[bool, _Refused] = field(factory=dict)
    _sent: WindowCount = field(init=False)
    _sent_by_region: dict[str, WindowCount] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Start the count."""
        self._sent = WindowCount(self.window_s)

    def ask(
        self, programs: tuple[str, ...], begun: tuple[str, ...], region: str, now: float
    ) -> TeamAsk:
        """Return what to ask a region's keeper for, with the tokens that were not used."""
        returned, self._returned = self._returned, 0
        return TeamAsk(self.team, programs, begun, returned, self._of_region(region).total(now))

    def apply(self, ask: TeamAsk, grant: TeamGrant, region: str, now: float) -> None:
        """Record the reply of a region's keeper."""
        granted = grant.granted + len(grant.admitted)
        self._of_region(region).add(granted, now)
        self._sent.add(granted, now)
        self._share = self._sent.total(now)
        if grant.granted < len(ask.begun):
            self._refused[False] = _Refused(now, now + grant.retry_after_s)
        if len(grant.admitted) < len(ask.programs):
            self._refused[True] = _Refused(now, now + grant.program_retry_after_s)

    def retry_after_s(self, may_be_new: bool, now: float) -> float | None:
        """Return when a request may come after a refusal; None if the keeper may be asked."""
        refused = self._refused.get(may_be_new)
        if refused is None or refused.retry_at <= now or now - refused.at > REMEMBER_REFUSAL_S:
            return None
        return refused.retry_at - now

    def take_spare(self, region: str, now: float) -> bool:
        """Use a request of those that an entry without a keeper may send, if one is left."""
        if self._sent.total(now) >= SPARE_SHARE * self._share:
            return False
        self._of_region(region).add(1, now)
        self._sent.add(1, now)
        return True

    def give_back(self, now: float) -> None:
        """Return the token of a request that no replica ran."""
        self._returned += 1
        self._sent.remove(1, now)

    def sent(self, region: str, now: float) -> int:
        """Return how many requests of the last window the keepers of a region granted."""
        return self._of_region(region).total(now)

    def is_idle(self, now: float) -> bool:
        """Return whether nothing is counted any more."""
        return not self._sent.total(now)

    def _of_region(self, region: str) -> WindowCount:
        """Return the count of what the keepers of a region granted."""
        return self._sent_by_region.setdefault(region, WindowCount(self.window_s))
