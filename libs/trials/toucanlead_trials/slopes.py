"""Slopes: how an entry's costs grow with the size of what it serves, on this machine."""

import asyncio
import random
import time
import tracemalloc
from collections.abc import Callable, Sequence

from attrs import frozen

from toucanlead_core.codec import from_json, to_json
from toucanlead_core.messages import Answer, CallKind, CallReq, Message
from toucanlead_entry.context import Intervals
from toucanlead_policy.cache_estimates import CacheEstimates
from toucanlead_policy.fleet import Fleet, ReplicaState
from toucanlead_policy.preset import Preset
from toucanlead_policy.routing import ExpectedCostRouter, RoutingReq
from toucanlead_state.ledger import Ledger
from toucanlead_state.records import Finished, Opened, Segment

from .rollout import RolloutFault, measure_rollout
from .site import EntryPlace, Site, SitePlan

DECISIONS = 4000
IDLE_SAMPLE_S = 4.0
ROUTER_SEED = 1


@frozen
class Fit:
    """A line fitted to measured points; `spread` is the root mean square residual."""

    base: float
    slope: float
    spread: float

    def at(self, size: float) -> float:
        """Return the fitted value at a size."""
        return self.base + self.slope * size


@frozen
class SlopeResult:
    """A cost measured at several sizes, and the fitted line."""

    name: str
    unit: str
    against: str
    sizes: list[float]
    values: list[float]
    fit: Fit


def measure_all(log: Callable[[str], None]) -> list[SlopeResult]:
    """Measure every slope, and report each result."""
    results = []
    for measure in (
        decision_cost,
        cache_estimate_memory,
        program_memory,
        record_bytes,
        recovery_time,
        idle_cost_by_entries,
        kv_calls_by_entries,
        rollout_time,
        rollout_reads,
    ):
        result = measure()
        results.append(result)
        log(f'{result.name}: {result.values} {result.unit}')
    return results


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Return the least-squares line."""
    count = len(sizes)
    mean_x, mean_y = sum(sizes) / count, sum(values) / count
    sum_xx = sum((x - mean_x) ** 2 for x in sizes)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(sizes, values)) / sum_xx
    base = mean_y - slope * mean_x
    residual = sum((y - base - slope * x) ** 2 for x, y in zip(sizes, values)) / count
    return Fit(base, slope, residual**0.5)


def decision_cost() -> SlopeResult:
    """Measure the microseconds of a routing decision against the number of replicas."""
    sizes = [5, 50, 200, 910]
    values = [_decision_us(int(size)) for size in sizes]
    return _result('routing decision', 'us', 'replicas', sizes, values)


def cache_estimate_memory() -> SlopeResult:
    """Measure the KiB of cache estimates against the number of programs."""
    sizes = [1000, 2000, 4000, 8000]

    def fill(count: int) -> object:
        cache_estimates = CacheEstimates()
        for number in range(count):
            cache_estimates.record_turn(f'p0001-{number:020x}', f'r{number % 9}', 1000, 50)
        return cache_estimates

    return _measure_memory('cache beliefs', 'programs', sizes, fill)


def program_memory() -> SlopeResult:
    """Measure the ledger's KiB against programs, each of ten turns with short texts."""
    sizes = [250, 500, 1000, 2000]

    def fill(count: int) -> object:
        ledger = Ledger()
        for number in range(count):
            name = f'p0001-{number:020x}'
            ledger.apply(Opened(name, 'team', 'm', 9999, name, 60.0, None, 100, 'd'), 'a.1')
            for seq in range(1, 11):
                ledger.apply(_finished(name, seq), 'a.1')
        return ledger

    return _measure_memory('programs in memory', 'programs', sizes, fill)


def record_bytes() -> SlopeResult:
    """Measure the bytes of a turn's outcome record against the turn's tokens."""
    sizes = [20, 100, 500, 2500]
    values = [float(len(to_json(_finished('p0001-x', 1, int(size))))) for size in sizes]
    return _result('journal record', 'bytes', 'tokens of a turn', sizes, values)


def recovery_time() -> SlopeResult:
    """Measure the milliseconds to rebuild a slot from a sealed journal against its programs."""
    sizes = [50, 100, 200, 400]
    values = [_recovery_ms(int(size)) for size in sizes]
    return _result('slot rebuilt from a journal', 'ms', 'programs of ten turns', sizes, values)


def idle_cost_by_entries() -> SlopeResult:
    """Measure an idle entry's processor share (in 0.1% of a core) against the number of entries."""
    sizes = [2, 4, 8, 16]
    values = [round(_idle_cost(int(size)).cpu_permille, 3) for size in sizes]
    return _result('idle control processor time', '0.1% core', 'entries', sizes, values)


def kv_calls_by_entries() -> SlopeResult:
    """Measure the key-value calls per second of all idle entries against their number."""
    sizes = [2, 4, 8, 16]
    values = [round(_idle_cost(int(size)).kv_calls_per_s, 2) for size in sizes]
    return _result('key-value calls, idle', 'calls/s', 'entries', sizes, values)


def rollout_time() -> SlopeResult:
    """Measure, in virtual time, the seconds until a change is in force at every entry."""
    sizes = [6, 50, 150, 350]
    values = [measure_rollout(int(size), RolloutFault.KV_DOWN).max_s for size in sizes]
    return _result('change in force, service down', 's', 'entries', sizes, values)


def rollout_reads() -> SlopeResult:
    """Measure, in virtual time, the key-value reads per second of configuration polls."""
    sizes = [50, 100, 200, 350]
    values = [measure_rollout(int(size), RolloutFault.NONE).kv_reads_per_s for size in sizes]
    return _result('configuration reads', 'reads/s', 'entries', sizes, values)


@frozen
class IdleCost:
    """Processor share of one idle entry, and key-value calls of all idle entries."""

    cpu_permille: float
    kv_calls_per_s: float


_IDLE_COSTS: dict[int, IdleCost] = {}


def _idle_cost(entries: int) -> IdleCost:
    if entries not in _IDLE_COSTS:
        _IDLE_COSTS[entries] = asyncio.run(_measure_idle(entries))
    return _IDLE_COSTS[entries]


async def _measure_idle(entries: int) -> IdleCost:
    places = tuple(EntryPlace(f'e{n}', f'centro-{"ab"[n % 2]}', 'centro') for n in range(entries))
    plan = SitePlan('flamaviva', places, 'centro', ('centro-a', 'centro-b'), 2, 0.0)
    site = Site(plan)
    await site.start(Preset(), Intervals())
    await asyncio.sleep(1.0)
    counters = site.kv.counters
    calls_before = counters.reads + counters.writes
    cpu_before, wall_before = time.process_time(), time.monotonic()
    await asyncio.sleep(IDLE_SAMPLE_S)
    cpu_s = time.process_time() - cpu_before
    wall_s = time.monotonic() - wall_before
    calls = counters.reads + counters.writes - calls_before
    await site.stop()
    # The processor time includes the stand-ins', so it is an upper bound.
    return IdleCost(1000 * cpu_s / wall_s / entries, calls / wall_s)


def _recovery_ms(programs: int) -> float:
    segments = []
    for number in range(programs):
        name = f'p0001-{number:020x}'
        opened = Opened(name, 'team', 'm', 9999, name, 60.0, None, 100, 'd')
        turns = [_finished(name, seq) for seq in range(1, 11)]
        segments.append(to_json(Segment('n', 'a.1', number, [opened, *turns])))
    started = time.perf_counter()
    ledger = Ledger()
    for data in segments:
        for record in from_json(data, Segment).records:
            ledger.apply(record, 'a.1')
    return round(1000 * (time.perf_counter() - started), 2)


def _decision_us(replicas: int) -> float:
    fleet = Fleet()
    for number in range(replicas):
        fleet.add(ReplicaState(f'r{number}', 'm', 'zone', 'region'))
    cache_estimates = CacheEstimates()
    for number in range(DECISIONS):
        cache_estimates.record_turn(f'p{number}', f'r{number % replicas}', 900, 50)
    router = ExpectedCostRouter(Preset(), cache_estimates, random.Random(ROUTER_SEED))
    reqs = [RoutingReq(f'p{n}', 'm', 'region', 1000, 5000) for n in range(DECISIONS)]
    started = time.perf_counter()
    for req in reqs:
        router.choose(req, fleet, 0.0)
    return round(1e6 * (time.perf_counter() - started) / DECISIONS, 2)


def _finished(name: str, seq: int, tokens: int = 40) -> Finished:
    req = CallReq(seq, CallKind.MODEL, [Message('user', 'word ' * (tokens // 2))])
    answer = Answer(name, seq, 'word ' * (tokens // 2), tokens, replica='r1')
    return Finished(name, seq, req.digest(), req, answer, 0)


def _measure_memory(
    name: str, against: str, sizes: list[float], fill: Callable[[int], object]
) -> SlopeResult:
    values = []
    for size in sizes:
        tracemalloc.start()
        filled = fill(int(size))
        values.append(round(tracemalloc.get_traced_memory()[0] / 1024, 1))
        tracemalloc.stop()
        del filled
    return _result(name, 'KiB', against, sizes, values)


def _result(
    name: str, unit: str, against: str, sizes: Sequence[float], values: list[float]
) -> SlopeResult:
    return SlopeResult(name, unit, against, list(sizes), values, fit_line(sizes, values))
