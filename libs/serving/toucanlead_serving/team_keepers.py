"""Keepers of the rates of teams that this entry runs, and their reports to other regions."""

import asyncio
from collections.abc import Callable

import structlog
from attrs import define, field

from toucanlead_core.ids import slot_of_key
from toucanlead_core.rate_messages import TokenAsk, TokenReply
from toucanlead_core.tasks import TaskSet
from toucanlead_core.timers import Timers
from toucanlead_policy.team_keeper import TeamKeeper
from toucanlead_policy.team_ledger import Allotment, QuotaBounds

from .rate_keepers import RateKeepers
from .routes import CurrentRoutes

log = structlog.get_logger()

GROUP_PREFIX = 'teams'
SENT_PREFIX = 'sent'  # of asks to entries what they sent lately
TEAMS_PER_GROUP = 256
REPORT_PERIOD_S = 0.25
MIN_REPORT_INTERVAL_S = 0.05
STALL_S = 2.0  # a keeper that did not run for so long may have had a stand-in


def team_group(team: str, teams: int, region: str) -> str:
    """Return the group of a team, one of `teams`, in a region."""
    groups = -(-teams // TEAMS_PER_GROUP)
    return f'{GROUP_PREFIX}-{slot_of_key(team, max(1, groups))}|{region}'


def in_region(group: str, region: str) -> str:
    """Return the group of the same teams in another region."""
    return f'{group.partition("|")[0]}|{region}'


@define(eq=False)
class TeamKeepers:
    """Answers for the groups of teams that this entry keeps.

    `regions` returns all regions.
    """

    _keepers: RateKeepers
    _routes: CurrentRoutes
    _regions: Callable[[], list[str]]
    _bounds: Callable[[], QuotaBounds]
    _timers: Timers
    _groups: dict[str, TeamKeeper] = field(factory=dict)
    _ran_at: dict[str, float] = field(factory=dict)
    _began: int = 0
    _tasks: TaskSet = field(factory=TaskSet)

    def __attrs_post_init__(self) -> None:
        """Register for the groups of teams."""
        self._keepers.keep_groups(GROUP_PREFIX, self.answer)

    def __len__(self) -> int:
        """Return how many groups this entry keeps now."""
        return len(self._groups)

    def allotment_of(self, team: str) -> Allotment | None:
        """Return the allotment of a team, None if it has no limit."""
        found = self._routes.table.teams.named(team)
        if found is None or found.rate_per_s <= 0:
            return None
        return Allotment.of(found.rate_per_s, found.burst, self._bounds())

    def answer(self, ask: TokenAsk) -> TokenReply:
        """Answer an entry, or the keeper of another region."""
        if self._routes.table is None:
            return TokenReply(declined=True)
        if not ask.teams and not ask.region:  # a probe
            return TokenReply()
        now = self._timers.now()
        region = ask.group.rpartition('|')[2]
        keeper = self._groups.get(ask.group)
        if keeper is None or now - self._ran_at.get(ask.group, now) > STALL_S:
            keeper = self._begin(ask.group, 'asked')
        if ask.region == region:
            keeper.take_over(ask.teams, now)
            return TokenReply()
        if ask.region:
            known = keeper.hear(ask.entry, ask.region, ask.teams, now)
            return TokenReply(teams=known, age_s=now - keeper.since)
        reply = TokenReply(teams=keeper.ask(ask.entry, ask.teams, self._others(region), now))
        if ask.group not in self._ran_at:
            self._ran_at[ask.group] = now
            self._tasks.spawn(self._report_repeatedly(ask.group), 'team rates')
        return reply

    async def close(self) -> None:
        """End the reports."""
        await self._tasks.cancel()

    def _begin(self, group: str, reason: str) -> TeamKeeper:
        """Begin to keep a group, also again after others may have kept it."""
        now = self._timers.now()
        region = group.rpartition('|')[2]
        self._began += 1
        name = f'{self._keepers.address}#{self._began}'
        keeper = TeamKeeper(name, region, self._bounds(), self.allotment_of, now)
        self._groups[group] = keeper
        if group in self._ran_at:
            self._ran_at[group] = now
        self._tasks.spawn(self._learn(keeper), 'team keeper')
        log.info('team_keeper_began', group=group, reason=reason)
        return keeper

    async def _learn(self, keeper: TeamKeeper) -> None:
        """Have the entries of the region tell what keepers before this one granted them."""
        ask = TokenAsk(f'{SENT_PREFIX}-|{keeper.region}', keeper.name, 0, region=keeper.region)

        async def ask_entry(address: str) -> None:
            reply = await self._keepers.ask_entry(address, ask)
            if reply is not None:
                keeper.hear_entry(address, reply.teams, self._timers.now())

        addresses = self._keepers.addresses_in(keeper.region)
        await asyncio.gather(*map(ask_entry, addresses))
        keeper.has_learned = True

    def _others(self, region: str) -> list[str]:
        return [other for other in self._regions() if other != region]

    async def _report_repeatedly(self, group: str) -> None:
        """Report to the other regions while there is something to report."""
        others = self._others(group.rpartition('|')[2])
        try:
            while self._groups[group].is_active(others) and await self._is_keeper(group):
                for region in others:
                    await self._report(group, region)
                self._groups[group].drop_idle(self._timers.now())
                await self._wait_for_next_report(group, others)
            if not await self._is_keeper(group):
                await self._hand_over(group)
                del self._groups[group]
                log.info('team_keeper_ended', group=group)
        finally:
            del self._ran_at[group]

    async def _is_keeper(self, group: str) -> bool:
        return not self._keepers.stopping and await self._keepers.is_keeper(group)

    async def _hand_over(self, group: str) -> None:
        """Tell the keeper that is back what this one granted in its place."""
        keeper = self._groups[group]
        if teams := keeper.counts(self._timers.now()):
            ask = TokenAsk(group, keeper.name, 0, teams=teams, region=keeper.region)
            await self._keepers.ask(ask)

    async def _wait_for_next_report(self, group: str, others: list[str]) -> None:
        wait_until = self._timers.now() + REPORT_PERIOD_S
        while (now := self._timers.now()) < wait_until:
            self._ran_at[group] = now
            await self._timers.sleep(MIN_REPORT_INTERVAL_S)
            if self._groups[group].must_report_soon(others, now):
                return

    async def _report(self, group: str, region: str) -> None:
        keeper = self._groups[group]
        teams, granted = keeper.report(region, self._timers.now()), keeper.granted()
        if not teams and keeper.has_heard_from(region):
            return
        target = in_region(group, region)
        ask = TokenAsk(target, keeper.name, 0, teams=teams, region=keeper.region)
        reply = await self._keepers.ask(ask)
        now = self._timers.now()
        if reply is None:
            keeper.report_failed(region, now)
        else:
            keeper.reported(region, teams, granted, reply, now)
