"""Placement: which replica takes a request, by expected milliseconds.

Answers the ordinary day: spread by own outstanding work, near before far, where the
prompt is cached before where it would be read again.
"""

import random
from collections.abc import Sequence

from attrs import define, field, frozen

REGION_COST_MS = 40.0  # a round trip between regions
ZONE_COST_MS = 3.0  # a round trip between zones
PREFILL_TOKENS_PER_MS = 59.0  # the customers' engines
LOAD_COST_MS = 120.0  # expected wait at a replica whose places are all taken
COLD_COST_MS = 80.0  # a replica that has just started is slower
FAILED_COST_MS = 2_000.0  # a replica that has just failed is used only when others are worse
FAILED_S = 2.0
SHED_S = 0.25  # a replica that was full is mostly full for a service time longer


@frozen
class Candidate:
    """A replica as placement sees it."""

    name: str
    zone: str
    region: str
    slots: int
    cold: bool = False


@frozen
class PlacementReq:
    """What is to be placed: where its caller's entry is, and its prompt."""

    zone: str
    region: str
    prompt_tokens: int = 0


@define
class ReplicaLoad:
    """One replica as this entry has experienced it."""

    outstanding: int = 0
    full_until: float = 0.0
    failed_until: float = 0.0


@define
class Placement:
    """Chooses the replica of least expected cost; ties are broken at random."""

    rng: random.Random
    peers: int = 1
    _loads: dict[str, ReplicaLoad] = field(factory=dict)

    def load(self, name: str) -> ReplicaLoad:
        """Return the experience with a replica."""
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
        """Return the best candidate that need not be avoided, None without one."""
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
        """Note that a replica had no room."""
        self.load(name).full_until = now + SHED_S

    def failed(self, name: str, now: float) -> None:
        """Note that a replica could not be reached or broke an answer off."""
        self.load(name).failed_until = now + FAILED_S

    def worked(self, name: str) -> None:
        """Note a whole answer."""
        self.load(name).failed_until = 0.0

    def keep_only(self, names: set[str]) -> None:
        """Forget replicas that are gone and have nothing in progress."""
        for name in list(self._loads):
            if name not in names and not self._loads[name].outstanding:
                del self._loads[name]
