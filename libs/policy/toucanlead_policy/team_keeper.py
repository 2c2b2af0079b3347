"""Team keeper: divides the rates of teams between the entries of a region, and the regions.

Serves teams whose load is uneven, moves between entries, zones and regions, and may exceed
their rates. The keeper of a region, one of its entries, counts what it grants in a sliding
window and reports the counts to the keepers of the other regions. Between two reports it
grants no more than its part of the room that was left, so that the regions stay within a
rate together although none of them waits for another.
"""

import math
from collections.abc import Callable, Sequence

from attrs import define, field

from toucanlead_core.rate_messages import TeamAsk, TeamGrant, TokenReply

from .team_ledger import Allotment, QuotaBounds, TeamLedger

MIN_RETRY_AFTER_S = 0.1
CUT_S = 1.0  # how long reports fail before a region keeps to its equal part
YOUNG_S = 0.75  # how long a new keeper waits for word of what its predecessor granted
INFORMED_S = 2.5  # how long a keeper has run that knows what others granted before
YOUNG_FACTOR = 3  # how much more a new keeper expects to be told of than it has been
REPEAT_S = 2.0  # an unchanged count is reported again, since the keeper may be a new one
BEGUN_FIRST_S = 1.0  # how long no program begins after a begun one was refused
BEGUN_PART, NEW_PART = 0.8, 0.4  # of the slack, which begun and new programs may use
AHEAD_PART = 1 / 8  # of all that is tolerated, always granted before the next report


@define
class TeamKeeper:
    """Grants the requests of teams to the entries of one region; `name` is new at each start.

    `has_learned` says that all entries that can be reached have told what they sent before.

    `allotment_of` returns the allotment of a team, None if it has no limit. In all methods
    `regions` are the other regions.
    """

    name: str
    region: str
    bounds: QuotaBounds
    allotment_of: Callable[[str], Allotment | None]
    since: float
    has_learned: bool = False
    _ledgers: dict[str, TeamLedger] = field(factory=dict)
    _failing_since: dict[str, float] = field(factory=dict)
    _heard_from: set[str] = field(factory=set)
    _informed: set[str] = field(factory=set)
    _reporters: dict[str, str] = field(factory=dict)

    def ask(
        self, entry: str, asks: Sequence[TeamAsk], regions: Sequence[str], now: float
    ) -> tuple[TeamGrant, ...]:
        """Return what an entry may send."""
        return tuple(self._ask_team(entry, ask, regions, now) for ask in asks)

    def hear(
        self, reporter: str, region: str, asks: Sequence[TeamAsk], now: float
    ) -> tuple[TeamGrant, ...]:
        """Record the counts of another region; tell a new keeper there those known before."""
        known: tuple[TeamGrant, ...] = ()
        if self._reporters.get(region) != reporter:
            self._reporters[region] = reporter
            known = tuple(
                TeamGrant(team, recent=ledger.heard_from(region, now))
                for team, ledger in self._ledgers.items()
            )
        before = {grant.team: grant.recent for grant in known}
        for ask in asks:
            requests = max(ask.recent, before.get(ask.team, 0))  # it has yet to inherit those
            self._ledger(ask.team).hear(region, requests, ask.expected, now)
        return known

    def report(self, region: str, now: float) -> tuple[TeamAsk, ...]:
        """Return the counts that another region has to hear."""
        asks = []
        for team, ledger in self._ledgers.items():
            told = ledger.told(region)
            requests, expected = ledger.own_requests(now), math.ceil(ledger.programs.expected(now))
            changed = (requests, expected) != (told.requests, told.expected)
            if changed or (requests and now - told.at > REPEAT_S):
                asks.append(TeamAsk(team, recent=requests, expected=expected))
        return tuple(asks)

    def counts(self, now: float) -> tuple[TeamAsk, ...]:
        """Return the counts of this region, for the keeper that goes on with them."""
        counted = ((team, ledger.own_requests(now)) for team, ledger in self._ledgers.items())
        return tuple(TeamAsk(team, recent=requests) for team, requests in counted if requests)

    def hear_entry(self, entry: str, sent: Sequence[TeamGrant], now: float) -> None:
        """Record what an entry sent in the last window."""
        for team in sent:
            self._ledger(team.team).hear_entry(entry, team.recent, 0, now)

    def take_over(self, asks: Sequence[TeamAsk], now: float) -> None:
        """Go on with the counts of a keeper that stood in."""
        for ask in asks:
            self._ledger(ask.team).inherit(ask.recent, now)

    def granted(self) -> dict[str, float]:
        """Return what each team was granted so far, to be passed to `reported`."""
        return {team: ledger.granted for team, ledger in self._ledgers.items()}

    def reported(
        self,
        region: str,
        asks: Sequence[TeamAsk],
        granted: dict[str, float],
        reply: TokenReply,
        now: float,
    ) -> None:
        """Record that a region has heard a report, made when `granted` was the state."""
        self._failing_since.pop(region, None)
        self._heard_from.add(region)
        for ask in asks:
            told = (ask.recent, ask.expected, granted.get(ask.team, 0.0), now)
            self._ledger(ask.team).tell(region, *told)
        if reply.age_s > INFORMED_S:
            self._informed.add(region)
        for grant in reply.teams:
            if grant.recent:
                self._ledger(grant.team).inherit(grant.recent, now)

    def report_failed(self, region: str, now: float) -> None:
        """Record that a region was not reached."""
        self._failing_since.setdefault(region, now)

    def was_cut_off(self, region: str, now: float) -> bool:
        """Return whether a region could not be reached for long."""
        return now - self._failing_since.get(region, math.inf) > CUT_S

    def has_heard_from(self, region: str) -> bool:
        """Return whether a region has answered a report."""
        return region in self._heard_from

    def is_active(self, regions: Sequence[str]) -> bool:
        """Return whether there is something to report, or to hear from another region."""
        return bool(self._ledgers) or not self._heard_from.issuperset(regions)

    def drop_idle(self, now: float) -> None:
        """Forget the teams without a count, once the other regions have heard of its end."""
        for team, ledger in list(self._ledgers.items()):
            if ledger.is_idle(now):
                del self._ledgers[team]

    def must_report_soon(self, regions: Sequence[str], now: float) -> bool:
        """Return whether a team has used much of what it may before the next report."""
        for team, ledger in self._ledgers.items():
            unreported = ledger.unreported(regions)
            allotment = self.allotment_of(team) if unreported else None
            if allotment and 2 * unreported > self._ahead(ledger, allotment, regions, now):
                return True
        return False

    def _ledger(self, team: str) -> TeamLedger:
        ledger = self._ledgers.get(team)
        if ledger is None:
            ledger = self._ledgers[team] = TeamLedger(self.bounds.span_s)
        return ledger

    def _ask_team(self, entry: str, ask: TeamAsk, regions: Sequence[str], now: float) -> TeamGrant:
        allotment = self.allotment_of(ask.team)
        if allotment is None:
            return TeamGrant(ask.team, len(ask.begun), ask.programs)
        ledger = self._ledger(ask.team)
        ledger.hear_entry(entry, ask.recent, ask.returned, now)
        granted = max(0, min(len(ask.begun), self._room(ledger, allotment, regions, now)))
        for program in ask.begun[:granted]:
            ledger.grant(entry, program, now)
        for program in ask.begun[granted:]:
            self._refuse(ledger, allotment, program, now)
        admitted = tuple(
            program
            for program in ask.programs
            if self._admit(entry, ledger, allotment, program, regions, now)
        )
        refused = len(ask.programs) - len(admitted)
        return TeamGrant(
            ask.team,
            granted,
            admitted,
            self._retry_after_s(ledger, allotment, now) if granted < len(ask.begun) else 0.0,
            self._program_retry_after_s(ledger, allotment, refused, now) if refused else 0.0,
        )

    def _admit(
        self,
        entry: str,
        ledger: TeamLedger,
        allotment: Allotment,
        program: str,
        regions: Sequence[str],
        now: float,
    ) -> bool:
        """Grant the next request of a program, which is a new one unless it is known."""
        room = self._room(ledger, allotment, regions, now)
        if ledger.programs.is_begun(program):
            if room < 1:
                self._refuse(ledger, allotment, program, now)
                return False
            ledger.grant(entry, program, now)
            return True
        each = ledger.programs.requests_each
        is_alone = not ledger.programs.expected(now) and room >= 1
        fits = room >= each and self._excess(ledger, allotment, now) <= 0
        if now - ledger.begun_refused_at < BEGUN_FIRST_S or not (fits or is_alone):
            return False
        ledger.grant(entry, program, now)
        ledger.granted += each - 1  # the other region hears of them as expected
        return True

    def _refuse(self, ledger: TeamLedger, allotment: Allotment, program: str, now: float) -> None:
        """Note the refusal of a begun program, which may only have to wait for a report."""
        ledger.programs.hinder(program)
        if ledger.used(now) + 1 > allotment.limit(BEGUN_PART):
            ledger.begun_refused_at = now

    def _excess(self, ledger: TeamLedger, allotment: Allotment, now: float) -> float:
        """Return by how much the requests of a new program and all others exceed the rate.

        Counted are those made and those expected in the window that ends when half of the
        time of a program has passed. In a steady state these are the requests of a window.
        """
        needed = ledger.forecast(self._half_program_s(ledger), now) + ledger.programs.requests_each
        return needed - allotment.limit(NEW_PART)

    def _half_program_s(self, ledger: TeamLedger) -> float:
        """Return half of the usual time of a team's programs, at most a window."""
        return min(self.bounds.window_s, ledger.programs.duration_s / 2)

    def _ahead(
        self, ledger: TeamLedger, allotment: Allotment, regions: Sequence[str], now: float
    ) -> float:
        """Return how many requests may be granted before the other regions hear of any."""
        before = ledger.used(now) - ledger.unreported(regions)
        part = (allotment.limit(BEGUN_PART) - before) / (len(regions) + 2)
        return max(AHEAD_PART * allotment.tolerated, part)

    def _room(
        self, ledger: TeamLedger, allotment: Allotment, regions: Sequence[str], now: float
    ) -> int:
        """Return how many more requests may be granted now."""
        limit = allotment.limit(BEGUN_PART)
        room = limit - ledger.used(now)
        is_known = bool(regions) and self._informed.issuperset(regions)
        is_known = is_known or self.has_learned or now - self.since > YOUNG_S
        if not is_known:  # most entries have yet to tell what they sent
            room -= YOUNG_FACTOR * ledger.others(now)
        if not regions:
            return math.floor(room if is_known else room / 2)
        cut = any(self.was_cut_off(region, now) for region in regions)
        if cut or not is_known:
            equal_part = limit / (len(regions) + 1) - ledger.own_requests(now)
            return math.floor(min(room, equal_part))
        ahead = self._ahead(ledger, allotment, regions, now) - ledger.unreported(regions)
        return math.floor(min(room, ahead))

    def _retry_after_s(self, ledger: TeamLedger, allotment: Allotment, now: float) -> float:
        """Return when a request of a begun program has room."""
        excess = ledger.used(now) + 1 - allotment.limit(BEGUN_PART)
        if excess <= 0:  # the next report makes room
            return MIN_RETRY_AFTER_S
        return max(MIN_RETRY_AFTER_S, ledger.requests.seconds_until_fewer(math.ceil(excess), now))

    def _program_retry_after_s(
        self, ledger: TeamLedger, allotment: Allotment, refused: int, now: float
    ) -> float:
        """Return when a new program has room, after those that were refused before it."""
        before = ledger.refused.total(now)
        ledger.refused.add(refused, now)
        excess = self._excess(ledger, allotment, now)
        if excess <= 0:
            return MIN_RETRY_AFTER_S
        needed = math.ceil(excess + before * ledger.programs.requests_each)
        wait_s = ledger.requests.seconds_until_fewer(needed, now) - self._half_program_s(ledger)
        return max(MIN_RETRY_AFTER_S, wait_s)
