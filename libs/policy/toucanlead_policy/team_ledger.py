"""Team ledger: what the keeper of a region granted to one team, and what it knows of others."""

import math
from collections.abc import Sequence

from attrs import define, field, frozen

from .team_programs import TeamPrograms
from .window_count import WindowCount

TOKEN_LIFETIME_S = 0.4  # from the grant to the use of a token, at most
REFUSED_S = 1.0  # how long a refused program counts as one that comes back


@frozen
class QuotaBounds:
    """The window in which a rate is judged, and what is tolerated above it.

    A team may exceed what its rate allows in `window_s` by the share `overage`, and by
    `slack` requests.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    @property
    def span_s(self) -> float:
        """Return how long a grant counts: its token may be used until it expires."""
        return self.window_s + TOKEN_LIFETIME_S


@frozen
class Allotment:
    """How many requests a team may make in the window, and how many more are tolerated."""

    allowed: float
    tolerated: float
    slack: float

    @classmethod
    def of(cls, rate_per_s: float, burst: float, bounds: QuotaBounds) -> 'Allotment':
        """Return the allotment of a team."""
        allowed = rate_per_s * bounds.window_s + burst
        return cls(allowed, bounds.overage * allowed + bounds.slack, bounds.slack)

    def limit(self, part: float) -> float:
        """Return the requests allowed and a part of the slack; the rest pays for failures."""
        return self.allowed + part * self.slack


@define
class _Elsewhere:
    """What the keeper of another region reported last."""

    requests: int
    expected: int
    heard_at: float


@frozen
class Told:
    """What another region's keeper has been told: counts, and all grants up to then."""

    requests: int = 0
    expected: int = 0
    granted: float = 0.0
    at: float = -math.inf


@define
class _Entry:
    """The requests of an entry: those granted here, and how many more it told of."""

    granted: WindowCount
    others: int = 0
    told_at: float = 0.0


@define
class TeamLedger:
    """The grants of one team in a region.

    `granted` counts all requests that were granted or promised to programs.
    """

    span_s: float
    granted: float = 0.0
    begun_refused_at: float = -math.inf
    programs: TeamPrograms = field(factory=TeamPrograms)
    requests: WindowCount = field(init=False)
    refused: WindowCount = field(init=False)
    _predecessors: int = 0
    _inherited_at: float = 0.0
    _entries: dict[str, _Entry] = field(factory=dict)
    _elsewhere: dict[str, _Elsewhere] = field(factory=dict)
    _told: dict[str, Told] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Start the counts."""
        self.requests = WindowCount(self.span_s)
        self.refused = WindowCount(REFUSED_S)

    def grant(self, entry: str, program: str, now: float) -> None:
        """Count a request; `program` is empty if it belongs to none."""
        self.requests.add(1, now)
        self._entries[entry].granted.add(1, now)
        self.granted += 1
        if program:
            self.programs.count(program, now)

    def own_requests(self, now: float) -> int:
        """Return the requests of the window in this region, those of a predecessor too."""
        return self.requests.total(now) + self.others(now)

    def others(self, now: float) -> int:
        """Return the requests of the window that other keepers granted in this region."""
        left = max(0.0, 1.0 - (now - self._inherited_at) / self.span_s)
        by_entries = sum(
            entry.others * max(0.0, 1.0 - (now - entry.told_at) / self.span_s)
            for entry in self._entries.values()
            if entry.others
        )
        return math.ceil(max(by_entries, self._predecessors * left))

    def used(self, now: float) -> int:
        """Return the requests of the window in all regions, as far as known."""
        return self.own_requests(now) + sum(other.requests for other in self._heard(now))

    def forecast(self, ahead_s: float, now: float) -> float:
        """Return the requests of the window that ends in `ahead_s`, without new programs."""
        kept = self.requests.added_since(now - self.span_s + ahead_s, now)
        left = 1.0 - ahead_s / self.span_s
        elsewhere = self._heard(now)
        others = self.others(now) + sum(other.requests for other in elsewhere)
        expected = self.programs.expected(now) + sum(other.expected for other in elsewhere)
        return kept + left * others + expected

    def heard_from(self, region: str, now: float) -> int:
        """Return the requests that another region reported last."""
        other = self._elsewhere.get(region)
        return other.requests if other and now - other.heard_at < self.span_s else 0

    def hear(self, region: str, requests: int, expected: int, now: float) -> None:
        """Record what another region reports."""
        self._elsewhere[region] = _Elsewhere(requests, expected, now)

    def told(self, region: str) -> Told:
        """Return what another region has been told."""
        return self._told.get(region, Told())

    def tell(self, region: str, requests: int, expected: int, granted: float, now: float) -> None:
        """Record what another region has been told."""
        self._told[region] = Told(requests, expected, granted, now)

    def unreported(self, regions: Sequence[str]) -> float:
        """Return the most grants that one of the other regions has not heard of."""
        return max((self.granted - self.told(region).granted for region in regions), default=0.0)

    def hear_entry(self, entry: str, recent: int, returned: int, now: float) -> None:
        """Record the requests that an entry made in the last window, whoever granted them."""
        known = self._entries.get(entry)
        if known is None:
            known = self._entries[entry] = _Entry(WindowCount(self.span_s))
        known.granted.remove(returned, now)
        self.requests.remove(returned, now)
        known.others = max(0, recent - known.granted.total(now))
        known.told_at = now

    def inherit(self, requests: int, now: float) -> None:
        """Record what another region heard from this keeper's predecessor, or a stand-in."""
        self._predecessors = max(0, requests - self.requests.total(now))
        self._inherited_at = now

    def is_idle(self, now: float) -> bool:
        """Return whether nothing is counted, and the other regions know that."""
        told = any(told.requests or told.expected for told in self._told.values())
        going_on = self.own_requests(now) or self.programs.expected(now)
        return not told and not going_on and not self._heard(now)

    def _heard(self, now: float) -> list[_Elsewhere]:
        return [other for other in self._elsewhere.values() if now - other.heard_at < self.span_s]
