"""Rate keeper: divides the rates that replicas accept between all entries.

Serves replicas that name a limit far below their load, under a load that is uneven between
the entries. A group is the replicas of one service in one availability zone. The keeper of
a group, one of the entries, hands out tokens; a token is the permission to send one request
to one replica. Entries ask for tokens in batches and ahead of need.
"""

import math

from attrs import define, field

from toucanlead_core.rate_messages import LimitSighting, TokenAsk, TokenCount, TokenReply

TOKEN_LIFETIME_S = 0.75  # after this an unused token is lost, so that a paused entry holds none
KEEPER_BURST_S = 0.25  # tokens that nobody asks for are collected for this long
MIN_BURST = 2.0  # tokens
MIN_RATE_PER_S = 0.2  # of a replica that accepts nothing; only an answer says that this ended
DEMAND_S = 1.0  # how long an entry that asked counts as one that wants tokens
FORGET_S = 10.0  # how long a limit that no entry reports is kept


@define
class _KeptRate:
    """The tokens left of one replica; without a limit, `per_s` is None."""

    per_s: float | None
    seen_at: float
    updated_at: float
    level: float = 0.0
    reported_at: float = 0.0

    @property
    def rate_per_s(self) -> float:
        return max(MIN_RATE_PER_S, self.per_s or 0.0)

    def refill(self, now: float) -> None:
        burst = max(MIN_BURST, self.rate_per_s * KEEPER_BURST_S)
        self.level = min(burst, self.level + (now - self.updated_at) * self.rate_per_s)
        self.updated_at = now


@define
class _Demand:
    """What an entry wanted last, and the tokens that are set aside for it until it asks."""

    wanted: int
    asked_at: float
    credit: float = 0.0


@define
class _Group:
    rates: dict[str, _KeptRate] = field(factory=dict)
    demand: dict[str, _Demand] = field(factory=dict)
    credited_at: float = 0.0

    def rate_per_s(self) -> float:
        return sum(rate.rate_per_s for rate in self.rates.values())

    def total_wanted(self) -> int:
        return sum(demand.wanted for demand in self.demand.values())

    def add_credit(self, now: float) -> None:
        """Set the tokens of the time since the last ask aside for the entries that want them."""
        tokens = (now - self.credited_at) * self.rate_per_s()
        self.credited_at = now
        per_wanted = tokens / max(1, self.total_wanted())
        for demand in self.demand.values():
            demand.credit = min(demand.wanted, demand.credit + per_wanted * demand.wanted)

    def tokens_for(self, entry: str) -> int:
        """Return how many tokens an entry may take: its credit, and what nobody else wants."""
        available = sum(math.floor(rate.level) for rate in self.rates.values())
        demand = self.demand[entry]
        reserved = [math.floor(d.credit) for name, d in self.demand.items() if name != entry]
        allowed = max(demand.credit, available - sum(reserved))
        return min(demand.wanted, available, math.floor(allowed))


@define
class RateKeeper:
    """Hands out the tokens of the groups that this entry keeps.

    It starts with no tokens: those that its predecessor handed out may still be in use.
    """

    _groups: dict[str, _Group] = field(factory=dict)

    def ask(self, ask: TokenAsk, now: float) -> TokenReply:
        """Return tokens for an entry: its part, and those that no other entry wants."""
        group = self._groups.setdefault(ask.group, _Group())
        self._drop_old(group, now)
        for sighting in ask.sightings:
            _apply_sighting(group, sighting, now)
        for rate in group.rates.values():
            rate.refill(now)
        for count in ask.returned:
            rate = group.rates.get(count.replica)
            if rate is not None:
                rate.level += count.tokens
                rate.refill(now)
        group.add_credit(now)
        demand = group.demand.setdefault(ask.entry, _Demand(ask.wanted, now))
        demand.wanted, demand.asked_at = ask.wanted, now
        granted = _grant(group.rates, ask.wanted, group.tokens_for(ask.entry))
        taken = sum(count.tokens for count in granted)
        demand.credit = max(0.0, demand.credit - taken)
        part = ask.wanted / max(1, group.total_wanted())
        return TokenReply(tuple(granted), part * group.rate_per_s())

    def _drop_old(self, group: _Group, now: float) -> None:
        for replica, rate in list(group.rates.items()):
            if now - rate.reported_at > FORGET_S:
                del group.rates[replica]
        for entry, demand in list(group.demand.items()):
            if now - demand.asked_at > DEMAND_S:
                del group.demand[entry]


def _apply_sighting(group: _Group, sighting: LimitSighting, now: float) -> None:
    seen_at = now - sighting.age_s
    rate = group.rates.get(sighting.replica)
    if rate is None:
        rate = group.rates[sighting.replica] = _KeptRate(sighting.per_s, seen_at, now)
    elif seen_at >= rate.seen_at:
        rate.refill(now)
        rate.per_s, rate.seen_at = sighting.per_s, seen_at
    rate.reported_at = now


def _grant(rates: dict[str, _KeptRate], wanted: int, allowed: int) -> list[TokenCount]:
    """Take up to `allowed` tokens, from the replicas with the most left, and return them.

    A replica without a limit grants one more: with its answer the entry learns of that.
    """
    granted: dict[str, int] = {}
    while sum(granted.values()) < allowed:
        replica = max(rates, key=lambda name: rates[name].level)
        if rates[replica].level < 1:
            break
        rates[replica].level -= 1
        granted[replica] = granted.get(replica, 0) + 1
    unlimited = [name for name, rate in rates.items() if rate.per_s is None]
    if unlimited and sum(granted.values()) < wanted:
        granted[unlimited[0]] = granted.get(unlimited[0], 0) + 1
    return [TokenCount(replica, tokens) for replica, tokens in granted.items()]
