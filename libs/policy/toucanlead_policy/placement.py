"""Placement: chooses the replica of a request by expected cost in milliseconds.

In normal operation it spreads requests by this entry's own outstanding work, and
prefers replicas that are near and that have the prompt cached.
"""

import random
from collections.abc import Sequence

from attrs import define, field, frozen

from .replica_pace import Pace, ReplicaPaces

CROSS_REGION_COST_MS = 40.0  # round trip between regions
CROSS_ZONE_COST_MS = 3.0  # round trip between zones
PREFILL_TOKENS_PER_MS = 59.0  # rate of the customers' engines
FULL_LOAD_COST_MS = 120.0  # expected wait at a replica whose slots are all in use
COLD_START_COST_MS = 80.0  # a replica that has just started is slower
HELD_TOKEN_GAIN_MS = 30.0  # an unused token expires, and other replicas have to do its work
FAILED_COST_MS = 2_000.0  # a replica that has just failed is used only if all others cost more
FAILED_S = 2.0
OWN_POWER = 4  # own requests are the only load that is known without delay
SAME_ZONE_WEIGHT = 6.0  # prompts of a zone are cached on its own replicas
TOKEN_WEIGHT = 4.0  # for a replica whose rate token is held
COLD_WEIGHT = 0.5
FULL_WEIGHT = 0.1
FAILED_WEIGHT = 1e-6  # used only if all others have failed too
FAR_LOAD = 0.8  # of the own region, above which other regions get a part of its requests
FAR_SHARE = 0.5
FULL_S = 0.25  # about one service time, for which a full replica usually stays full


@frozen
class Candidate:
    """A replica that may take the request.

    `cold` says whether it has just started, `token_held` whether this entry holds a rate
    token for it.
    """

    name: str
    zone: str
    region: str
    slots: int
    cold: bool = False
    token_held: bool = False


@frozen
class PlacementReq:
    """A request to place: the location of this entry and the size of the prompt.

    `work_ms` is the nominal time of its answer, without the prompt; it is needed only where
    the pace of replicas is learned.
    """

    zone: str
    region: str
    prompt_tokens: int = 0
    work_ms: float = 0.0


@define
class ReplicaLoad:
    """A replica's outstanding requests from this entry, and until when it is full or failed."""

    outstanding: int = 0
    full_until: float = 0.0
    failed_until: float = 0.0


@define
class _Draw:
    """Candidates to draw one from; those together take `takes` requests and have `requests`."""

    candidates: list[Candidate] = field(factory=list)
    weights: list[float] = field(factory=list)
    takes: float = 0.0
    requests: float = 0.0

    def add(self, candidate: Candidate, pace: Pace | None, weight: float) -> None:
        self.candidates.append(candidate)
        self.weights.append(weight)
        if pace is not None:
            self.takes += pace.takes
            self.requests += pace.others

    @property
    def load(self) -> float:
        return self.requests / self.takes if self.takes else 0.0


def _far_share(near: _Draw, far: _Draw) -> float:
    """Return the share of requests that goes to other regions."""
    if near.load <= FAR_LOAD or far.load >= near.load:
        return 0.0
    return FAR_SHARE * min(1.0, (near.load - FAR_LOAD) / (1.0 - FAR_LOAD), near.load - far.load)


@define
class Placement:
    """Chooses the replica of least expected cost.

    Up to 1 ms of random cost breaks ties. `entries` estimates how many entries
    send as many requests as this one. With `paces`, the cost of the work at a replica follows
    from its learned pace and load, and only some random candidates are compared.
    """

    rng: random.Random
    entries: int = 1
    paces: ReplicaPaces | None = None
    _loads: dict[str, ReplicaLoad] = field(factory=dict)

    def load(self, name: str) -> ReplicaLoad:
        """Return the load of a replica, and start to track it if it is new."""
        load = self._loads.get(name)
        if load is None:
            load = self._loads[name] = ReplicaLoad()
        return load

    def choose(
        self,
        req: PlacementReq,
        candidates: Sequence[Candidate],
        cached_tokens: dict[str, int],
        now: float,
        avoid: frozenset[str] = frozenset(),
    ) -> Candidate | None:
        """Return the candidate of least cost that is not in `avoid`, None if there is none.

        `cached_tokens` gives the tokens of the prompt that each replica has cached.
        """
        if self.paces is not None:
            candidates = self._sample(req, candidates, cached_tokens, now, avoid)
        best, best_cost = None, 0.0
        for candidate in candidates:
            if candidate.name in avoid:
                continue
            cost = self.cost_ms(req, candidate, cached_tokens.get(candidate.name, 0), now)
            cost += self.rng.random()
            if best is None or cost < best_cost:
                best, best_cost = candidate, cost
        return best

    def _sample(
        self,
        req: PlacementReq,
        candidates: Sequence[Candidate],
        cached_tokens: dict[str, int],
        now: float,
        avoid: frozenset[str],
    ) -> Sequence[Candidate]:
        """Return a random candidate, and one that has most of the prompt cached.

        All entries believe much the same of replicas: if each took the best one, they would
        crowd there until they hear of it. Each replica gets a share by its weight instead, and
        less from an entry that has requests there. Other regions get a share while the own
        region has little room.
        """
        near, far = _Draw(), _Draw()
        cached, most, ties = None, 0, 0
        for candidate in candidates:
            name = candidate.name
            if name in avoid:
                continue
            tokens = cached_tokens.get(name, 0)
            if tokens > most:
                cached, most, ties = candidate, tokens, 1
            elif ties and tokens == most:
                ties += 1
                if self.rng.random() * ties < 1.0:
                    cached = candidate
            draw = near if candidate.region == req.region else far
            pace = self.paces.pace(name)
            weight = self._weight(req, candidate, pace, now)
            if pace is not None and tokens < req.prompt_tokens and req.work_ms:
                prefill_ms = (req.prompt_tokens - tokens) / PREFILL_TOKENS_PER_MS
                work_ms = pace.work_ms(req.work_ms, prefill_ms, self.load(name).outstanding)
                weight *= req.work_ms / work_ms
            draw.add(candidate, pace, weight)
            draw.requests += self.load(name).outstanding
        if near.weights and far.weights:
            draw = far if self.rng.random() < _far_share(near, far) else near
        else:
            draw = near if near.weights else far
        sample = self.rng.choices(draw.candidates, draw.weights) if draw.weights else []
        if cached is not None:
            sample.append(cached)
        return sample

    def _weight(
        self, req: PlacementReq, candidate: Candidate, pace: Pace | None, now: float
    ) -> float:
        """Return the share of a candidate in this entry's requests, relative to others."""
        load = self.load(candidate.name)
        weight = pace.weight if pace is not None else 1.0
        if load.outstanding:
            weight /= (1.0 + load.outstanding) ** OWN_POWER
        if candidate.zone == req.zone:
            weight *= SAME_ZONE_WEIGHT
        if candidate.cold:
            weight *= COLD_WEIGHT
        if candidate.token_held:
            weight *= TOKEN_WEIGHT
        if now < load.full_until:
            weight *= FULL_WEIGHT
        if now < load.failed_until:
            weight *= FAILED_WEIGHT
        return weight

    def cost_ms(
        self, req: PlacementReq, candidate: Candidate, cached_tokens: int, now: float
    ) -> float:
        """Return the expected cost of a candidate in milliseconds."""
        load = self.load(candidate.name)
        cost = 0.0
        if candidate.region != req.region:
            cost += CROSS_REGION_COST_MS
        elif candidate.zone != req.zone:
            cost += CROSS_ZONE_COST_MS
        prefill_ms = max(0, req.prompt_tokens - cached_tokens) / PREFILL_TOKENS_PER_MS
        pace = self.paces.pace(candidate.name) if self.paces is not None else None
        if pace is not None:
            work_ms = pace.work_ms(req.work_ms, prefill_ms, load.outstanding)
            cost += pace.expected_ms(work_ms)
        else:
            utilization = (load.outstanding * self.entries) / max(1, candidate.slots)
            cost += prefill_ms + FULL_LOAD_COST_MS * utilization * utilization
        if candidate.cold:
            cost += COLD_START_COST_MS
        if candidate.token_held:
            cost -= HELD_TOKEN_GAIN_MS
        if now < load.full_until:
            cost += 2 * FULL_LOAD_COST_MS
        if now < load.failed_until:
            cost += FAILED_COST_MS
        return cost

    def record_full(self, name: str, now: float) -> None:
        """Record that a replica refused a request because it was full."""
        self.load(name).full_until = now + FULL_S

    def record_failure(self, name: str, now: float) -> None:
        """Record that a replica could not be reached or did not finish an answer."""
        self.load(name).failed_until = now + FAILED_S

    def record_success(self, name: str) -> None:
        """Record that a replica finished an answer."""
        self.load(name).failed_until = 0.0

    def forget_failures(self) -> None:
        """Forget the failures of all replicas: their cause was found elsewhere."""
        for load in self._loads.values():
            load.failed_until = 0.0

    def keep_only(self, names: set[str]) -> None:
        """Remove replicas that are not in `names` and have no outstanding requests."""
        for name in list(self._loads):
            if name not in names and not self._loads[name].outstanding:
                del self._loads[name]
