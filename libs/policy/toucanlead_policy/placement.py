"""Placement: chooses the replica of a request by expected cost in milliseconds.

In normal operation it spreads requests by this entry's own outstanding work, and
prefers replicas that are near and that have the prompt cached.
"""

import random
from collections.abc import Sequence

from attrs import define, field, frozen

REGION_COST_MS = 40.0  # round trip between regions
ZONE_COST_MS = 3.0  # round trip between zones
PREFILL_TOKENS_PER_MS = 59.0  # rate of the customers' engines
LOAD_COST_MS = 120.0  # expected wait at a replica whose slots are all in use
COLD_COST_MS = 80.0  # a replica that has just started is slower
FAILED_COST_MS = 2_000.0  # a replica that has just failed is used only if all others cost more
FAILED_S = 2.0
SHED_S = 0.25  # about one service time, for which a full replica usually stays full


@frozen
class Candidate:
    """A replica that may take the request; `cold` if it has just started."""

    name: str
    zone: str
    region: str
    slots: int
    cold: bool = False


@frozen
class PlacementReq:
    """A request to place: the location of this entry and the size of the prompt."""

    zone: str
    region: str
    prompt_tokens: int = 0


@define
class ReplicaLoad:
    """A replica's outstanding requests from this entry, and until when it is full or failed."""

    outstanding: int = 0
    full_until: float = 0.0
    failed_until: float = 0.0


@define
class Placement:
    """Chooses the replica of least expected cost.

    Up to 1 ms of random cost breaks ties. `peers` estimates how many entries
    send as many requests as this one.
    """

    rng: random.Random
    peers: int = 1
    _loads: dict[str, ReplicaLoad] = field(factory=dict)

    def load(self, name: str) -> ReplicaLoad:
        """Return the load of a replica, and start to track it if it is new."""
        found = self._loads.get(name)
        if found is None:
            found = self._loads[name] = ReplicaLoad()
        return found

    def choose(
        self,
        req: PlacementReq,
        candidates: Sequence[Candidate],
        cached: dict[str, int],
        now: float,
        avoid: frozenset[str] = frozenset(),
    ) -> Candidate | None:
        """Return the candidate of least cost that is not in `avoid`, None if there is none.

        `cached` gives the tokens of the prompt that each replica has cached.
        """
        best, best_cost = None, 0.0
        for candidate in candidates:
            if candidate.name in avoid:
                continue
            cost = self.cost_ms(req, candidate, cached.get(candidate.name, 0), now)
            cost += self.rng.random()
            if best is None or cost < best_cost:
                best, best_cost = candidate, cost
        return best

    def cost_ms(self, req: PlacementReq, candidate: Candidate, cached: int, now: float) -> float:
        """Return the expected cost of a candidate in milliseconds."""
        load = self.load(candidate.name)
        cost = 0.0
        if candidate.region != req.region:
            cost += REGION_COST_MS
        elif candidate.zone != req.zone:
            cost += ZONE_COST_MS
        cost += max(0, req.prompt_tokens - cached) / PREFILL_TOKENS_PER_MS
        share = (load.outstanding * self.peers) / max(1, candidate.slots)
        cost += LOAD_COST_MS * share * share
        if candidate.cold:
            cost += COLD_COST_MS
        if now < load.full_until:
            cost += 2 * LOAD_COST_MS
        if now < load.failed_until:
            cost += FAILED_COST_MS
        return cost

    def full(self, name: str, now: float) -> None:
        """Record that a replica refused a request because it was full."""
        self.load(name).full_until = now + SHED_S

    def failed(self, name: str, now: float) -> None:
        """Record that a replica could not be reached or did not finish an answer."""
        self.load(name).failed_until = now + FAILED_S

    def worked(self, name: str) -> None:
        """Record that a replica finished an answer."""
        self.load(name).failed_until = 0.0

    def keep_only(self, names: set[str]) -> None:
        """Remove replicas that are not in `names` and have no outstanding requests."""
        for name in list(self._loads):
            if name not in names and not self._loads[name].outstanding:
                del self._loads[name]
