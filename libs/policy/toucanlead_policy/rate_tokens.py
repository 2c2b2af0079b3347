"""Rate tokens: an entry's part of the rates that replicas accept from all entries.

Serves the same load as rate_keeper.py, which hands the tokens out. An entry without a
keeper uses its part of a spare share of each limit, so that all keepers and entries without
one, taken together, stay within what a replica tolerates.
"""

import math
from collections import deque

from attrs import define, field

from toucanlead_core.rate_messages import LimitSighting, TokenAsk, TokenCount, TokenReply

from .rate_keeper import MIN_RATE_PER_S, TOKEN_LIFETIME_S

HORIZON_S = 0.5  # tokens are asked for this far ahead
DEMAND_SMOOTHING_S = 1.0
SPARE_SHARE = 0.25  # of a limit, for all entries without a keeper together
REPORT_PERIOD_S = 2.0  # a keeper is told again of unchanged limits, since it may be a new one
RATE_FRESH_S = 1.0  # how long a keeper's statement of the rate is relied on


@define
class ArrivalRate:
    """An exponentially smoothed rate of events."""

    _per_s: float = 0.0
    _updated_at: float = 0.0

    def count(self, now: float) -> None:
        """Count an event."""
        self._per_s = self.per_s(now) + 1.0 / DEMAND_SMOOTHING_S
        self._updated_at = now

    def per_s(self, now: float) -> float:
        """Return the rate."""
        return self._per_s * math.exp((self._updated_at - now) / DEMAND_SMOOTHING_S)


@define
class LimitedReplica:
    """A replica that names a limit, and the tokens for it that this entry holds.

    `expiry_times` has the loop time at which each token expires, the earliest first.
    """

    replica: str
    group: str
    per_s: float
    seen_at: float
    since: float
    expiry_times: deque[float] = field(factory=deque)
    spare_tokens: float = 0.0
    spare_updated_at: float | None = None

    def tokens(self, now: float) -> int:
        """Return how many tokens are left; drop those that have expired."""
        while self.expiry_times and self.expiry_times[0] <= now:
            self.expiry_times.popleft()
        return len(self.expiry_times)


@define
class _GroupState:
    """What is known of a group's keeper; `reported` are the limits that it was told last."""

    rate_per_s: float = 0.0
    heard_at: float | None = None
    lost: bool = False
    reported: dict[str, float | None] = field(factory=dict)
    reported_at: float = -math.inf
    ended: dict[str, float] = field(factory=dict)


@define
class RateTokens:
    """The limits that this entry knows, and its tokens for them."""

    entry: str
    _replicas: dict[str, LimitedReplica] = field(factory=dict)
    _groups: dict[str, _GroupState] = field(factory=dict)

    def observe(self, replica: str, group: str, per_s: float | None, now: float) -> None:
        """Record the limit in an answer of a replica, None if it named none."""
        known = self._replicas.get(replica)
        if per_s is None:
            if known is not None:
                del self._replicas[replica]
                self._groups[group].ended[replica] = now
            return
        if known is None:
            known = LimitedReplica(replica, group, per_s, now, now)
            self._replicas[replica] = known
            self._groups.setdefault(group, _GroupState()).ended.pop(replica, None)
        known.per_s, known.seen_at = per_s, now

    def limit_of(self, replica: str) -> LimitedReplica | None:
        """Return what is known of a replica's limit, None if it names none."""
        return self._replicas.get(replica)

    def expiry_times(self, replicas: list[str], now: float) -> list[float]:
        """Return when the tokens that are held for some replicas expire."""
        known = [self._replicas[name] for name in replicas if name in self._replicas]
        return [at for limited in known if limited.tokens(now) for at in limited.expiry_times]

    def may_send(self, replica: str, now: float, entries: int) -> bool:
        """Return whether a request may be sent: no limit, or a token is left.

        `entries` is how many entries share the limits.
        """
        known = self._replicas.get(replica)
        if known is None or known.tokens(now):
            return True
        return self._spare_tokens(known, now, entries) >= 1.0

    def take(self, replica: str, now: float) -> None:
        """Use a token for a request to a replica for which `may_send` is true."""
        known = self._replicas.get(replica)
        if known is None:
            return
        if known.tokens(now):
            known.expiry_times.popleft()
        else:
            known.spare_tokens -= 1.0

    def give_back(self, replica: str, now: float) -> None:
        """Return the token of a request that was not sent after all."""
        known = self._replicas.get(replica)
        if known is not None:
            known.expiry_times.appendleft(now + TOKEN_LIFETIME_S / 2)

    def groups(self) -> list[str]:
        """Return the groups that have a limited replica, or whose keeper must hear of its end."""
        limited = {known.group for known in self._replicas.values()}
        return [name for name, group in self._groups.items() if name in limited or group.ended]

    def count_limited(self, group: str) -> int | None:
        """Return how many replicas of a group name a limit, None if none ever did."""
        if group not in self._groups:
            return None
        return sum(known.group == group for known in self._replicas.values())

    def ask_for(self, group: str, wanted: int, now: float) -> TokenAsk | None:
        """Return what to ask a group's keeper so that `wanted` tokens are held, if anything."""
        state = self._groups[group]
        members = [known for known in self._replicas.values() if known.group == group]
        held = sum(known.tokens(now) for known in members)
        returned = self._surplus(members, held - wanted, now)
        missing = max(0, wanted - held)
        sightings = self._unreported(state, members, now)
        if not missing and not returned and not sightings:
            return None
        return TokenAsk(group, self.entry, missing, tuple(sightings), tuple(returned))

    def apply(self, ask: TokenAsk, reply: TokenReply, asked_at: float, now: float) -> None:
        """Add the tokens of a keeper's reply; they expire counting from the time of asking."""
        state = self._groups[ask.group]
        state.heard_at, state.lost = now, False
        if ask.wanted:
            state.rate_per_s = reply.rate_per_s
        for sighting in ask.sightings:
            state.reported[sighting.replica] = sighting.per_s
            if sighting.per_s is None:
                state.ended.pop(sighting.replica, None)
        for count in reply.granted:
            known = self._replicas.get(count.replica)
            if known is not None:
                known.expiry_times.extend([asked_at + TOKEN_LIFETIME_S] * count.tokens)

    def lose_keeper(self, group: str) -> None:
        """Record that a group has no keeper for now, or a new one."""
        state = self._groups[group]
        state.heard_at, state.lost = None, True
        state.reported_at = -math.inf

    def has_keeper(self, group: str, now: float) -> bool:
        """Return whether a keeper has answered for the group lately."""
        state = self._groups[group]
        return state.heard_at is not None and now - state.heard_at < RATE_FRESH_S

    def rate_per_s(self, replicas: list[str], now: float, entries: int) -> float:
        """Return how many requests a second this entry can expect to send to limited replicas."""
        known = [self._replicas[name] for name in replicas if name in self._replicas]
        total = 0.0
        for group in {limited.group for limited in known}:
            members = [limited for limited in known if limited.group == group]
            if self.has_keeper(group, now):
                total += self._groups[group].rate_per_s
            elif self._groups[group].lost:
                total += sum(_spare_rate(limited, entries) for limited in members)
            else:
                total += sum(limited.per_s for limited in members) / max(1, entries)
        return total

    def keep_only(self, replicas: set[str]) -> None:
        """Forget the replicas that no longer exist."""
        for name in self._replicas.keys() - replicas:
            del self._replicas[name]
        for state in self._groups.values():
            for name in state.ended.keys() - replicas:
                del state.ended[name]

    def _spare_tokens(self, known: LimitedReplica, now: float, entries: int) -> float:
        """Return the tokens of the spare share, which count up only without a keeper."""
        if self.has_keeper(known.group, now):
            known.spare_tokens, known.spare_updated_at = 0.0, None
            return 0.0
        if known.spare_updated_at is not None:
            elapsed_s = now - known.spare_updated_at
            refilled = known.spare_tokens + elapsed_s * _spare_rate(known, entries)
            known.spare_tokens = min(1.0, refilled)
        known.spare_updated_at = now
        return known.spare_tokens

    def _surplus(self, members: list[LimitedReplica], surplus: int, now: float) -> list[TokenCount]:
        """Remove tokens beyond those wanted, so that other entries can use them."""
        returned = []
        for known in members:
            count = min(surplus, known.tokens(now))
            if count > 0:
                surplus -= count
                for _ in range(count):
                    known.expiry_times.popleft()
                returned.append(TokenCount(known.replica, count))
        return returned

    def _unreported(
        self, state: _GroupState, members: list[LimitedReplica], now: float
    ) -> list[LimitSighting]:
        """Return the limits that the keeper has to be told."""
        if now - state.reported_at >= REPORT_PERIOD_S:
            state.reported.clear()
            state.reported_at = now
        sightings = [
            LimitSighting(known.replica, known.per_s, now - known.seen_at)
            for known in members
            if state.reported.get(known.replica) != known.per_s
        ]
        sightings += [LimitSighting(name, None, now - at) for name, at in state.ended.items()]
        return sightings


def _spare_rate(known: LimitedReplica, entries: int) -> float:
    return SPARE_SHARE * max(MIN_RATE_PER_S, known.per_s) / max(1, entries)
