"""Rate limits that replicas name in their answers: who may be sent a request, and when."""

import asyncio
from collections.abc import Callable

import structlog
from attrs import define, field

from toucanlead_core.errors import ExecutionStatus, Reason, Refusal, Step
from toucanlead_core.tasks import TaskSet
from toucanlead_core.timers import Timers
from toucanlead_policy.limit_queue import LimitQueue, Waiting
from toucanlead_policy.rate_tokens import HORIZON_S, ArrivalRate, LimitedReplica, RateTokens
from toucanlead_policy.token_use import TokenUse
from toucanlead_replicas.registry import Replica

from .metrics import ServingMetrics
from .rate_keepers import RateKeepers, group_name

log = structlog.get_logger()

LOGGED_CHANGE = 0.1  # relative change of a limit that gets a log line
ASK_PERIOD_S = 0.25
MIN_ASK_INTERVAL_S = 0.05  # between calls to the keeper of a group while requests wait


@define
class _LoggedLimit:
    """A limit as last logged, and how many requests this entry has sent since it was named."""

    per_s: float
    sent: int = 0


@define(eq=False)
class _ServiceDemand:
    """The requests for one service: their rate, those that wait, those not taken elsewhere."""

    arrivals: ArrivalRate = field(factory=ArrivalRate)
    token_use: TokenUse = field(factory=TokenUse)
    queue: LimitQueue = field(factory=LimitQueue)
    futures: dict[Waiting, asyncio.Future] = field(factory=dict)
    shortfall: int = 0
    asking: bool = False


@define(eq=False)
class ReplicaLimits:
    """Keeps this entry to its part of the rates that replicas accept from all entries.

    `replicas_of` returns the usable replicas of a service, the nearest first; `entries`
    counts the entries.
    """

    _timers: Timers
    _metrics: ServingMetrics
    _keepers: RateKeepers
    _replicas_of: Callable[[str], list[Replica]]
    _entries: Callable[[], int]
    _tokens: RateTokens = field(init=False)
    _logged: dict[str, _LoggedLimit] = field(factory=dict)
    _demands: dict[str, _ServiceDemand] = field(factory=dict)
    _tasks: TaskSet = field(factory=TaskSet)

    def __attrs_post_init__(self) -> None:
        """Add the gauges."""
        self._tokens = RateTokens(self._keepers.address)
        gauge = self._metrics.gauge
        gauge('toucanlead_limited_replicas', 'Replicas naming a limit', lambda: len(self._logged))
        gauge('toucanlead_waiting_for_token', 'Requests waiting', self._count_waiting)

    def observe(self, replica: Replica, per_s: float | None) -> None:
        """Record the limit in an answer, None if the answer names none."""
        now = self._timers.now()
        known = self._tokens.limit_of(replica.run)
        if known is None and per_s is None:
            return
        logged = self._logged.get(replica.run)
        if per_s is None:
            del self._logged[replica.run]
            self._log_change(replica, known, logged, None, now)
        elif logged is None:
            self._logged[replica.run] = _LoggedLimit(per_s)
            self._log_change(replica, None, None, per_s, now)
        elif abs(per_s - logged.per_s) > LOGGED_CHANGE * logged.per_s:
            self._log_change(replica, known, logged, per_s, now)
            logged.per_s = per_s
        group = group_name(replica.record.service, replica.zone)
        self._tokens.observe(replica.run, group, per_s, now)
        if per_s is None:
            self._wake(replica.record.service, len(self._demand(replica.record.service).queue))

    def is_limited(self, replica: Replica) -> bool:
        """Return whether a replica names a limit."""
        return self._tokens.limit_of(replica.run) is not None

    def may_send(self, replica: Replica) -> bool:
        """Return whether a request may be sent to a replica now."""
        if not self._logged:
            return True
        return self._tokens.may_send(replica.run, self._timers.now(), self._entries())

    def holds_token(self, replica: Replica) -> bool:
        """Return whether a token for a replica is held, which is lost if it is not used."""
        if not self._logged:
            return False
        known = self._tokens.limit_of(replica.run)
        return known is not None and known.tokens(self._timers.now()) > 0

    def record_size(self, service: str, work_ms: float) -> None:
        """Record the size of a request for a service."""
        self._demand(service).token_use.record(work_ms)

    def is_worth_token(self, service: str, work_ms: float, replicas: list[Replica]) -> bool:
        """Return whether a request should use a token held for one of some replicas."""
        if not self._logged:
            return False
        now = self._timers.now()
        expiry_times = self._tokens.expiry_times([replica.run for replica in replicas], now)
        demand = self._demand(service)
        arrivals_per_s = demand.arrivals.per_s(now)
        return demand.token_use.is_worth_token(
            work_ms, expiry_times, arrivals_per_s, self._rate_per_s(service), now
        )

    def take(self, replica: Replica) -> None:
        """Use a token for a request to a replica for which `may_send` is true."""
        logged = self._logged.get(replica.run)
        if logged is not None:
            logged.sent += 1
            self._metrics.sent_to_limited()
        self._tokens.take(replica.run, self._timers.now())

    def give_back(self, replica: Replica) -> None:
        """Return the token of a request that was not sent after all."""
        self._tokens.give_back(replica.run, self._timers.now())

    def record_request(self, service: str) -> None:
        """Count a request for a service, whether a replica accepts it or not."""
        self._demand(service).arrivals.count(self._timers.now())

    def record_shortfall(self, service: str) -> None:
        """Ask for one more token: a replica without a limit is full."""
        if self._logged and self._limited(service):
            self._demand(service).shortfall += 1
            self._ask_soon(service)

    async def wait_for_token(
        self,
        service: str,
        rank: tuple[int, int],
        arrived_at: float,
        wait_until: float,
        ran: ExecutionStatus,
    ) -> None:
        """Wait until a request may be sent to some replica; a lower rank goes first.

        Raises Refusal at once if that is not to be expected soon, or when the wait ends.
        """
        demand = self._demand(service)
        waiting = demand.queue.enter(rank, arrived_at)
        fut = asyncio.get_running_loop().create_future()
        demand.futures[waiting] = fut
        self._refuse_excess(service, demand)
        self._ask_soon(service)
        try:
            async with asyncio.timeout_at(wait_until):
                admitted = await fut
        except TimeoutError:
            admitted = False
        finally:
            demand.queue.leave(waiting)
            demand.futures.pop(waiting, None)
        if not admitted:
            raise self._refusal(service, demand, ran)

    async def ask_ahead(self) -> None:
        """Ask for the tokens of the next requests; to be called every ASK_PERIOD_S."""
        for service in {group.partition('|')[0] for group in self._tokens.groups()}:
            await self._ask_for_service(service)

    def keep_only(self, runs: set[str]) -> None:
        """Forget the limits of replicas that no longer exist."""
        self._tokens.keep_only(runs)
        for run in self._logged.keys() - runs:
            del self._logged[run]

    async def close(self) -> None:
        """Cancel the calls in progress."""
        await self._tasks.cancel()

    def _demand(self, service: str) -> _ServiceDemand:
        return self._demands.setdefault(service, _ServiceDemand())

    def _count_waiting(self) -> int:
        return sum(len(demand.queue) for demand in self._demands.values())

    def _limited(self, service: str) -> list[str]:
        """Return the runs of a service's replicas that name a limit."""
        runs = [replica.run for replica in self._replicas_of(service)]
        return [run for run in runs if self._tokens.limit_of(run) is not None]

    def _rate_per_s(self, service: str) -> float:
        return self._tokens.rate_per_s(self._limited(service), self._timers.now(), self._entries())

    def _refuse_excess(self, service: str, demand: _ServiceDemand) -> None:
        for waiting in demand.queue.excess(self._rate_per_s(service)):
            demand.queue.leave(waiting)
            fut = demand.futures[waiting]
            if not fut.done():
                fut.set_result(False)

    def _refusal(self, service: str, demand: _ServiceDemand, ran: ExecutionStatus) -> Refusal:
        rate_per_s = self._rate_per_s(service)
        retry_after_s = demand.queue.retry_after_s(rate_per_s)
        limits = [self._tokens.limit_of(run) for run in self._limited(service)]
        oldest_s = max((self._timers.now() - limit.seen_at for limit in limits), default=0.0)
        detail = (
            f'{service}: replicas accept {sum(limit.per_s for limit in limits):.1f}/s, '
            f'{rate_per_s:.1f}/s of it here, last named {oldest_s:.2f} s ago'
        )
        return Refusal(
            Reason.REPLICA_LIMIT,
            detail,
            ran=ran,
            step=Step.ROUTE,
            retry_after_ms=int(1e3 * retry_after_s),
        )

    def _wake(self, service: str, count: int) -> None:
        demand = self._demand(service)
        for waiting in demand.queue.first(count):
            fut = demand.futures[waiting]
            if not fut.done():
                fut.set_result(True)

    def _ask_soon(self, service: str) -> None:
        demand = self._demand(service)
        if not demand.asking:
            self._tasks.spawn(self._ask_while_waiting(service), 'rate tokens')

    async def _ask_while_waiting(self, service: str) -> None:
        demand = self._demand(service)
        demand.asking = True
        try:
            while demand.queue or demand.shortfall:
                await self._ask_for_service(service)
                ready = sum(self.may_send(replica) for replica in self._replicas_of(service))
                self._wake(service, ready)
                self._refuse_excess(service, demand)
                await self._timers.sleep(MIN_ASK_INTERVAL_S)
        finally:
            demand.asking = False

    async def _ask_for_service(self, service: str) -> None:
        """Ask the keepers of a service's groups, the nearest first, until enough is granted.

        Tokens for the next requests are asked for only in the nearest region: those for
        other regions would mostly expire, while entries there need them.
        """
        demand = self._demand(service)
        replicas = self._replicas_of(service)
        expected = demand.arrivals.per_s(self._timers.now()) * HORIZON_S
        missing = len(demand.queue) + demand.shortfall
        demand.shortfall = 0
        nearest_region = replicas[0].region if replicas else ''
        groups = {group_name(service, r.zone): r.region == nearest_region for r in replicas}
        near_limited = sum(self._tokens.count_limited(g) or 0 for g in groups if groups[g])
        for group, near in groups.items():
            members = self._tokens.count_limited(group)
            if members is None:
                continue
            ahead = int(expected * members / max(1, near_limited) + 0.5) if near else 0
            missing -= await self._ask_group(service, group, ahead + max(0, missing))

    async def _ask_group(self, service: str, group: str, wanted: int) -> int:
        """Ask a keeper and return how many tokens it granted."""
        asked_at = self._timers.now()
        ask = self._tokens.ask_for(group, wanted, asked_at)
        if ask is None:
            return 0
        reply = await self._keepers.ask(ask)
        if reply is None:
            self._tokens.lose_keeper(group)
            return 0
        self._tokens.apply(ask, reply, asked_at, self._timers.now())
        granted = sum(count.tokens for count in reply.granted)
        self._wake(service, granted)
        return granted

    def _log_change(
        self,
        replica: Replica,
        known: LimitedReplica | None,
        logged: _LoggedLimit | None,
        per_s: float | None,
        now: float,
    ) -> None:
        log.info(
            'replica_limit_changed',
            replica=replica.ident,
            service=replica.record.service,
            per_s='none' if per_s is None else round(per_s, 3),
            before='none' if logged is None else round(logged.per_s, 3),
            sent=logged.sent if logged else 0,
            age_s=round(now - known.since, 3) if known else 0.0,
        )
