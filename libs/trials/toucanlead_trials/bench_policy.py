"""Policies to compare: the product's, variants of it, and baselines."""

import random
from collections.abc import Callable

from attrs import evolve, frozen

from toucanlead_policy.cache_estimates import CacheEstimates
from toucanlead_policy.preset import MAINTENANCE, ORDINARY, PEAK, Preset
from toucanlead_policy.routing import (
    ExpectedCostRouter,
    LeastOutstandingRouter,
    RoundRobinRouter,
    Router,
    StickyRouter,
)

PRESETS = {preset.name: preset for preset in (ORDINARY, PEAK, MAINTENANCE)}
RouterFactory = Callable[[CacheEstimates, random.Random], Router]


@frozen
class BenchPolicy:
    """A router, and the other mechanisms that are enabled.

    With `own_load` an entry subtracts its own turns from the load that a replica reports.
    """

    name: str
    make_router: RouterFactory
    preset: Preset = ORDINARY
    priority: bool = False
    retention: bool = False
    admission: bool = False
    own_load: bool = True


def product_policy(preset: Preset = ORDINARY, name: str = 'toucanlead') -> BenchPolicy:
    """Return the product's policy under a preset, with every mechanism enabled."""

    def make(cache_estimates: CacheEstimates, rng: random.Random) -> Router:
        return ExpectedCostRouter(preset, cache_estimates, rng)

    return BenchPolicy(name, make, preset, priority=True, retention=True, admission=True)


def baselines() -> list[BenchPolicy]:
    """Return the baseline routers, with every other mechanism disabled."""
    return [
        BenchPolicy('round_robin', lambda cache_estimates, rng: RoundRobinRouter()),
        BenchPolicy('least_outstanding', lambda cache_estimates, rng: LeastOutstandingRouter()),
        BenchPolicy('sticky', lambda cache_estimates, rng: StickyRouter()),
    ]


def ablations() -> list[BenchPolicy]:
    """Return variants of the product's policy, each with one mechanism disabled."""
    full_policy = product_policy()
    return [
        evolve(full_policy, name='no_priority', priority=False),
        evolve(full_policy, name='no_retention', retention=False),
        evolve(full_policy, name='no_admission', admission=False),
        evolve(full_policy, name='no_own_load', own_load=False),
        product_policy(evolve(ORDINARY, prefill_weight=0.0), 'no_cache_cost'),
        product_policy(evolve(ORDINARY, queue_weight=0.0), 'no_queue_cost'),
        product_policy(evolve(ORDINARY, candidates=1), 'one_candidate'),
        product_policy(evolve(ORDINARY, candidates=1000), 'all_candidates'),
    ]
