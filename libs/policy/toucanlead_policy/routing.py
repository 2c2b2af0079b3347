"""Routing: chooses the replica of a program's next turn."""

import abc
import random

from attrs import define, field, frozen

from .cache_estimates import CacheEstimates
from .fleet import Fleet, ReplicaState
from .preset import Preset

LINK_LATENCY_MS = 40.0  # round trip between regions


@frozen
class RoutingReq:
    """What is known of a turn before it runs.

    The prompts of all programs of a group share a prefix of `group_tokens`. Any
    replica can load an exported cache, of `exported_tokens`, at the import rate.
    """

    program_id: str
    model: str
    region: str
    prompt_tokens: int
    prompt_bytes: int
    max_tokens: int = 256
    exported_tokens: int = 0
    import_tokens_per_s: float = 100_000.0
    group: str = ''
    group_tokens: int = 0


@frozen
class Choice:
    """The chosen replica, its expected cost and the tokens it is expected to have cached."""

    replica: str
    cost_ms: float
    cached_tokens: float


class Router(abc.ABC):
    """Interface of the routing policies."""

    def use_preset(self, preset: Preset) -> None:
        """Use the weights of a preset; the baselines have no weights."""
        return

    @abc.abstractmethod
    def choose(
        self, req: RoutingReq, fleet: Fleet, now: float, avoid: frozenset[str] = frozenset()
    ) -> Choice | None:
        """Return the replica to use, None if no replica outside `avoid` is usable."""


@define
class ExpectedCostRouter(Router):
    """Chooses the least expected cost among a few candidates.

    Candidates are the replicas expected to have the program cached and some picked
    at random, or all replicas of the model if none of these is usable.
    """

    preset: Preset
    cache_estimates: CacheEstimates
    rng: random.Random
    link_bytes_per_s: float = 15e6 / 8

    def use_preset(self, preset: Preset) -> None:
        """Use the weights of a preset."""
        self.preset = preset

    def choose(
        self, req: RoutingReq, fleet: Fleet, now: float, avoid: frozenset[str] = frozenset()
    ) -> Choice | None:
        """Return the candidate of least expected cost, None if none is usable."""
        best: Choice | None = None
        for replica in self._candidates(req, fleet, avoid):
            cached_tokens = self._cached_tokens(req, replica.name)
            cost_ms = self.cost_ms(req, replica, cached_tokens, now)
            if best is None or cost_ms < best.cost_ms:
                best = Choice(replica.name, cost_ms, cached_tokens)
        return best

    def cost_ms(
        self, req: RoutingReq, replica: ReplicaState, cached_tokens: float, now: float
    ) -> float:
        """Return the weighted sum of queue, prefill and link time, in milliseconds."""
        preset = self.preset
        queue_ms = 1e3 * replica.queue_s(now)
        imported = max(0.0, min(req.exported_tokens, req.prompt_tokens) - cached_tokens)
        missing = req.prompt_tokens - cached_tokens - imported
        prefill_ms = 1e3 * missing / replica.prefill_tokens_per_s
        prefill_ms += 1e3 * imported / req.import_tokens_per_s
        link_ms = 0.0
        if replica.region != req.region:
            link_ms = LINK_LATENCY_MS + 1e3 * req.prompt_bytes / self.link_bytes_per_s
        return (
            preset.queue_weight * queue_ms
            + preset.prefill_weight * prefill_ms
            + preset.link_weight * link_ms
        )

    def _cached_tokens(self, req: RoutingReq, replica: str) -> float:
        cached_tokens = self.cache_estimates.cached_tokens(req.program_id, replica)
        if cached_tokens == 0 and self.cache_estimates.has_group_prefix(req.group, replica):
            cached_tokens = float(req.group_tokens)
        return min(float(req.prompt_tokens), cached_tokens)

    def _candidates(
        self, req: RoutingReq, fleet: Fleet, avoid: frozenset[str]
    ) -> list[ReplicaState]:
        names = fleet.names_of_model(req.model)
        cached_on = [
            n for n in self.cache_estimates.tokens_by_replica(req.program_id) if n in fleet.replicas
        ]
        sampled = _sample(self.rng, names, self.preset.candidates)
        found = _usable(fleet, dict.fromkeys([*cached_on, *sampled]), req.model, avoid)
        return found or _usable(fleet, names, req.model, avoid)


@define
class RoundRobinRouter(Router):
    """Baseline: the replicas in rotation."""

    _next: int = 0

    def choose(
        self, req: RoutingReq, fleet: Fleet, now: float, avoid: frozenset[str] = frozenset()
    ) -> Choice | None:
        """Return the next usable replica, None if there is none."""
        usable = _usable(fleet, fleet.names_of_model(req.model), req.model, avoid)
        if not usable:
            return None
        self._next += 1
        return Choice(usable[self._next % len(usable)].name, 0.0, 0.0)


@define
class LeastOutstandingRouter(Router):
    """Baseline: the replica with the fewest outstanding requests."""

    def choose(
        self, req: RoutingReq, fleet: Fleet, now: float, avoid: frozenset[str] = frozenset()
    ) -> Choice | None:
        """Return the usable replica with the fewest requests, None if there is none."""
        usable = _usable(fleet, fleet.names_of_model(req.model), req.model, avoid)
        if not usable:
            return None
        return Choice(min(usable, key=ReplicaState.outstanding).name, 0.0, 0.0)


@define
class StickyRouter(Router):
    """Baseline: keeps each program at one replica, first chosen by least outstanding."""

    _assigned: dict[str, str] = field(factory=dict)
    _least_outstanding: LeastOutstandingRouter = field(factory=LeastOutstandingRouter)

    def choose(
        self, req: RoutingReq, fleet: Fleet, now: float, avoid: frozenset[str] = frozenset()
    ) -> Choice | None:
        """Return the program's replica, or a new one if it is leaving or in `avoid`."""
        assigned = fleet.replicas.get(self._assigned.get(req.program_id, ''))
        if assigned is not None and not assigned.leaving and assigned.name not in avoid:
            return Choice(assigned.name, 0.0, 0.0)
        choice = self._least_outstanding.choose(req, fleet, now, avoid)
        if choice is not None:
            self._assigned[req.program_id] = choice.replica
        return choice


def _sample(rng: random.Random, names: list[str], count: int) -> list[str]:
    if len(names) <= count:
        return names
    return [names[rng.randrange(len(names))] for _ in range(count)]


def _usable(fleet: Fleet, names, model: str, avoid: frozenset[str]) -> list[ReplicaState]:
    found = (fleet.replicas[name] for name in names)
    return [r for r in found if r.model == model and not r.leaving and r.name not in avoid]
