"""Rates of teams: admits each request of a team, or refuses it at once."""

import asyncio
from collections.abc import Callable

import structlog
from attrs import define, field

from toucanlead_core.errors import Reason, Refusal, Step
from toucanlead_core.rate_messages import TeamAsk, TeamGrant, TokenAsk, TokenReply
from toucanlead_core.tasks import TaskSet
from toucanlead_core.timers import Timers
from toucanlead_policy.team_ledger import QuotaBounds
from toucanlead_policy.team_programs import KNOWN_S
from toucanlead_policy.team_tokens import TeamTokens
from toucanlead_replicas.request import CallerReq
from toucanlead_teams.teams import Team

from .metrics import ServingMetrics
from .rate_keepers import RateKeepers
from .routes import Route, RouteKind, RouteTable
from .team_keepers import SENT_PREFIX, in_region, team_group

log = structlog.get_logger()

BEGUN_WAIT_S = 0.5  # the longest wait of a request of a begun program
NEW_WAIT_S = 0.25  # of a new one: it is refused at once, unless the next report makes room
RETRY_ELSEWHERE_MS = 50  # other entries may reach a keeper
MAX_PROGRAMS = 4096
SWEEP_PERIOD_S = 5.0


@define(eq=False)
class _Waiting:
    """A request that waits for the reply of a keeper.

    The result of `fut` is whether it may be sent, None if no keeper answered.
    """

    team: str
    program: str
    may_be_new: bool
    fut: asyncio.Future


@define(eq=False)
class _Group:
    """The requests for the next ask of a group's keeper."""

    waiting: list[_Waiting] = field(factory=list)
    asking: bool = False


@define(eq=False)
class TeamRates:
    """Keeps this entry to its part of the rates of teams.

    `regions` returns all regions, this entry's first.
    """

    _timers: Timers
    _metrics: ServingMetrics
    _keepers: RateKeepers
    _regions: Callable[[], list[str]]
    _bounds: Callable[[], QuotaBounds]
    _teams: dict[str, TeamTokens] = field(factory=dict)
    _groups: dict[str, _Group] = field(factory=dict)
    _programs: dict[tuple[str, str], float] = field(factory=dict)
    _swept_at: float = 0.0
    _tasks: TaskSet = field(factory=TaskSet)

    def __attrs_post_init__(self) -> None:
        """Add the gauge, and answer new keepers."""
        self._keepers.answer_directly(SENT_PREFIX, self._tell_sent)
        gauge = self._metrics.gauge
        gauge('toucanlead_teams_counted', 'Teams with requests here', lambda: len(self._teams))

    async def admit(self, req: CallerReq, route: Route, table: RouteTable) -> bool:
        """Wait for the token of a request; raise Refusal if its team is above its rate.

        Return whether a token was used, which is to be given back if no replica runs it.
        """
        if not req.team:
            return False
        team = table.teams.named(req.team)
        if team is None or team.rate_per_s <= 0:
            return False
        self._sweep(self._timers.now())
        tokens = self._tokens(team.name)
        program = req.program.program if req.program else ''
        may_be_new = self._may_be_new(req, route, program)
        wait_s = NEW_WAIT_S if may_be_new else BEGUN_WAIT_S
        wait_until = None
        group = team_group(team.name, len(table.teams.teams), '')
        while True:
            retry_after_s = tokens.retry_after_s(may_be_new, self._timers.now())
            if retry_after_s is None:
                admitted = await self._ask(group, team.name, program, may_be_new)
                if admitted is None:
                    self._take_spare(tokens)
                if admitted is not False:
                    break
                retry_after_s = tokens.retry_after_s(may_be_new, self._timers.now()) or 0.0
            now = self._timers.now()
            wait_until = wait_until or min(now + wait_s, req.deadline_at)
            if now + retry_after_s > wait_until:
                raise self._refusal(team, may_be_new, retry_after_s)
            await self._timers.sleep(retry_after_s)
        self._remember(team.name, program, self._timers.now())
        return True

    def give_back(self, team: str) -> None:
        """Return the token of a request that no replica ran."""
        self._tokens(team).give_back(self._timers.now())

    async def close(self) -> None:
        """Cancel the calls in progress."""
        await self._tasks.cancel()

    def _tell_sent(self, ask: TokenAsk) -> TokenReply:
        """Tell a new keeper what those before it granted to this entry."""
        now = self._timers.now()
        sent = {team: tokens.sent(ask.region, now) for team, tokens in self._teams.items()}
        return TokenReply(teams=tuple(TeamGrant(t, recent=count) for t, count in sent.items()))

    def _may_be_new(self, req: CallerReq, route: Route, program: str) -> bool:
        """Return whether a request may be the first of a program: only turns are."""
        if not program or req.previous_turn or route.kind is not RouteKind.STREAM:
            return False
        seen_at = self._programs.get((req.team, program))
        return seen_at is None or self._timers.now() - seen_at > KNOWN_S

    def _remember(self, team: str, program: str, now: float) -> None:
        if not program:
            return
        self._programs.pop((team, program), None)
        self._programs[team, program] = now
        if len(self._programs) > MAX_PROGRAMS:
            del self._programs[next(iter(self._programs))]

    def _tokens(self, team: str) -> TeamTokens:
        tokens = self._teams.get(team)
        if tokens is None:
            tokens = self._teams[team] = TeamTokens(team, self._bounds().window_s)
        return tokens

    def _take_spare(self, tokens: TeamTokens) -> None:
        """Use a request of those left without a keeper; raise Refusal if there is none."""
        if not tokens.take_spare(self._regions()[0], self._timers.now()):
            raise Refusal(
                Reason.TEAM_RATE_UNKNOWN,
                f'{tokens.team}: no keeper of its rate answers',
                step=Step.ROUTE,
                retry_after_ms=RETRY_ELSEWHERE_MS,
            )

    def _refusal(self, team: Team, may_be_new: bool, retry_after_s: float) -> Refusal:
        what = 'a new program' if may_be_new else 'a begun program'
        return Refusal(
            Reason.TEAM_LIMIT,
            f'{team.name}: {team.rate_per_s:g}/s and {team.burst:g} at once reached, for {what}',
            step=Step.ROUTE,
            retry_after_ms=int(1e3 * retry_after_s),
        )

    async def _ask(self, name: str, team: str, program: str, may_be_new: bool) -> bool | None:
        """Ask the keeper, together with other requests; return None if there is none."""
        group = self._groups.setdefault(name, _Group())
        fut = asyncio.get_running_loop().create_future()
        group.waiting.append(_Waiting(team, program, may_be_new, fut))
        if not group.asking:
            group.asking = True
            self._tasks.spawn(self._ask_while_waiting(name, group), 'team rates')
        return await fut

    async def _ask_while_waiting(self, name: str, group: _Group) -> None:
        try:
            while group.waiting:
                waiting, group.waiting = group.waiting, []
                try:
                    await self._ask_keepers(name, waiting)
                finally:
                    for item in waiting:
                        self._resolve(item, None)
        finally:
            group.asking = False

    async def _ask_keepers(self, name: str, waiting: list[_Waiting]) -> None:
        """Ask the keeper of this region, or another one if there is none now."""
        for region in self._regions():
            asks = self._team_asks(waiting, region)
            group = in_region(name, region)
            ask = TokenAsk(group, self._keepers.address, 0, teams=asks)
            reply = await self._keepers.ask(ask)
            if reply is not None:
                self._apply(ask, reply, region, waiting)
                return

    def _team_asks(self, waiting: list[_Waiting], region: str) -> tuple[TeamAsk, ...]:
        asks = []
        for team in sorted({item.team for item in waiting}):
            wanted = [item for item in waiting if item.team == team]
            programs = tuple(dict.fromkeys(i.program for i in wanted if i.may_be_new))
            begun = tuple(item.program for item in wanted if not item.may_be_new)
            asks.append(self._tokens(team).ask(programs, begun, region, self._timers.now()))
        return tuple(asks)

    def _apply(
        self, ask: TokenAsk, reply: TokenReply, region: str, waiting: list[_Waiting]
    ) -> None:
        """Admit what was granted; an older version that keeps no teams answers without grants."""
        grants = {grant.team: grant for grant in reply.teams}
        for team_ask in ask.teams:
            team = team_ask.team
            uncounted = TeamGrant(team, len(team_ask.begun), team_ask.programs)
            grant = grants.get(team, uncounted)
            self._tokens(team).apply(team_ask, grant, region, self._timers.now())
            wanted = [item for item in waiting if item.team == team]
            for number, item in enumerate(i for i in wanted if not i.may_be_new):
                self._resolve(item, number < grant.granted)
            for item in wanted:
                if item.may_be_new:
                    self._resolve(item, item.program in grant.admitted)

    def _resolve(self, item: _Waiting, admitted: bool | None) -> None:
        if not item.fut.done():
            item.fut.set_result(admitted)
        elif item.fut.cancelled() and admitted:
            self.give_back(item.team)

    def _sweep(self, now: float) -> None:
        """Forget the teams without requests now and then."""
        if now - self._swept_at < SWEEP_PERIOD_S:
            return
        self._swept_at = now
        for team, tokens in list(self._teams.items()):
            if tokens.is_idle(now):
                del self._teams[team]
