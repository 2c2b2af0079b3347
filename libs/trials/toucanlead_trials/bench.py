"""Benchmark: compare policies with baselines by customer, preset, load and fault."""

from collections.abc import Callable, Iterator

from attrs import asdict, frozen

from .bench_engine import EngineShape
from .bench_policy import PRESETS, BenchPolicy, ablations, baselines, product_policy
from .bench_run import BenchCell, BenchFault, BenchResult, run_cell, run_clairvoyant
from .statistics import mean, spread
from .workload import FLAMAVIVA, KUSHIRO, WorkloadShape

LOADS = (0.5, 0.8, 1.0, 1.3)
SEEDS = (1, 2, 3, 4, 5)
FAULT_LOAD = 0.8
CLAIRVOYANT = 'clairvoyant'
PRODUCT = 'toucanlead'


@frozen
class Customer:
    """A customer's workload, number of replicas and replica size."""

    shape: WorkloadShape
    replicas: int
    engine: EngineShape


CUSTOMERS = (
    Customer(FLAMAVIVA, 6, EngineShape(cache_tokens=150_000)),
    Customer(KUSHIRO, 5, EngineShape(cache_tokens=600_000, host_tokens=6_000_000)),
)


@frozen
class BenchRow:
    """Results of one cell for one policy and preset, averaged over the seeds.

    `latency_p95_spread_s` is the standard deviation of the 95th percentile between seeds.
    """

    customer: str
    preset: str
    load: float
    fault: str
    policy: str
    program_latency_s: dict[str, float]
    latency_p95_spread_s: float
    first_token_s_p95: float
    wasted_cache_ratio: float
    link_bytes_per_turn: float
    full_history_bytes_per_turn: float
    goodput: float
    finished: float


@frozen
class Verdict:
    """A target, its bound, the value reached, and whether the target is met."""

    target: str
    bound: float
    reached: float
    met: bool


def run_bench(
    log: Callable[[str], None], programs: int, seeds: tuple[int, ...] = SEEDS
) -> list[BenchRow]:
    """Run every policy in every cell and return one row for each."""
    rows = []
    for customer in CUSTOMERS:
        for load, fault in _loads_and_faults():
            for policy in _policies(load, fault):
                rows.append(_measure_cell(customer, load, fault, policy, programs, seeds))
            log(f'{customer.shape.customer} load {load} {fault.value}')
    return rows


def run_ablation(programs: int, seeds: tuple[int, ...] = SEEDS) -> list[BenchRow]:
    """Run the full policy, and variants that each leave one mechanism out."""
    policies = [product_policy(), *ablations()]
    return [
        _measure_cell(customer, load, BenchFault.NONE, policy, programs, seeds)
        for customer in CUSTOMERS
        for load in (0.8, 1.3)
        for policy in policies
    ]


def check_targets(rows: list[BenchRow]) -> list[Verdict]:
    """Check the targets; `rows` must contain every cell that `run_bench` measures.

    Latency and cache targets compare the product with the best baseline of the same cell.
    """
    verdicts = []
    flamaviva = _cell_rows(rows, 'flamaviva', 0.8)
    ratio = _ratio_to_baseline(flamaviva, lambda r: r.program_latency_s['p95'])
    verdicts.append(_at_most('flamaviva p95 latency at 0.8, of best baseline', 0.6, ratio))
    kushiro = _cell_rows(rows, 'kushiro', 0.8)
    ratio = _ratio_to_baseline(kushiro, lambda r: r.wasted_cache_ratio)
    verdicts.append(_at_most('kushiro wasted cache at 0.8, of best baseline', 0.25, ratio))
    verdicts.extend(_worst_cell_verdicts(rows))
    product_rows = [r for r in rows if r.policy == PRODUCT]
    link = max(r.link_bytes_per_turn / r.full_history_bytes_per_turn for r in product_rows)
    verdicts.append(_at_most('link bytes per turn, of full-history forwarding', 0.2, link))
    for name in ('flamaviva', 'kushiro'):
        kept_share = (
            _cell_row(rows, name, 1.3, PRODUCT).goodput
            / _cell_row(rows, name, 1.0, PRODUCT).goodput
        )
        verdicts.append(_at_least(f'{name} goodput at 1.3, of that at 1.0', 0.95, kept_share))
        p95 = _cell_row(rows, name, 0.8, PRODUCT).program_latency_s['p95']
        bound = _cell_row(rows, name, 0.8, CLAIRVOYANT).program_latency_s['p95']
        verdicts.append(_at_most(f'{name} p95 latency at 0.8, of clairvoyant', 1.25, p95 / bound))
    return verdicts


def bench_report(rows: list[BenchRow], ablation: list[BenchRow]) -> dict:
    """Return the report that is written to build/bench.json."""
    return {
        'cells': [asdict(row) for row in rows],
        'ablation': [asdict(row) for row in ablation],
        'targets': [asdict(verdict) for verdict in check_targets(rows)],
    }


def table_row(row: BenchRow) -> list:
    """Return a row's values in the order of the printed table's columns."""
    return [
        row.customer,
        row.load,
        row.fault,
        row.policy,
        row.preset,
        row.program_latency_s['p50'],
        row.program_latency_s['p95'],
        row.latency_p95_spread_s,
        row.first_token_s_p95,
        row.wasted_cache_ratio,
        row.link_bytes_per_turn,
        row.goodput,
    ]


def _loads_and_faults() -> Iterator[tuple[float, BenchFault]]:
    for load in LOADS:
        yield load, BenchFault.NONE
    for fault in BenchFault:
        if fault is not BenchFault.NONE:
            yield FAULT_LOAD, fault


def _policies(load: float, fault: BenchFault) -> list[BenchPolicy | None]:
    """Return the policies to run in a cell; None stands for the clairvoyant run."""
    policies: list[BenchPolicy | None] = [*baselines()]
    if fault is BenchFault.NONE:
        policies += [product_policy(preset) for preset in PRESETS.values()]
        policies.append(None)
    else:
        policies.append(product_policy())
    return policies


def _measure_cell(
    customer: Customer,
    load: float,
    fault: BenchFault,
    policy: BenchPolicy | None,
    programs: int,
    seeds: tuple[int, ...],
) -> BenchRow:
    results = [_run_seed(customer, load, fault, policy, programs, seed) for seed in seeds]
    p95 = [r.latency_p95_s for r in results]
    return BenchRow(
        customer=customer.shape.customer,
        preset=policy.preset.name if policy else '',
        load=load,
        fault=fault.value,
        policy=policy.name if policy else CLAIRVOYANT,
        program_latency_s={
            'p50': _mean(results, 'latency_p50_s'),
            'p95': round(mean(p95), 4),
            'p99': _mean(results, 'latency_p99_s'),
        },
        latency_p95_spread_s=round(spread(p95), 4),
        first_token_s_p95=_mean(results, 'first_token_p95_s'),
        wasted_cache_ratio=_mean(results, 'wasted_cache_ratio'),
        link_bytes_per_turn=_mean(results, 'link_bytes_per_turn'),
        full_history_bytes_per_turn=_mean(results, 'full_history_bytes_per_turn'),
        goodput=_mean(results, 'goodput_per_s'),
        finished=_mean(results, 'finished'),
    )


def _run_seed(
    customer: Customer,
    load: float,
    fault: BenchFault,
    policy: BenchPolicy | None,
    programs: int,
    seed: int,
) -> BenchResult:
    cell = BenchCell(
        customer.shape,
        customer.replicas,
        load,
        seed,
        policy or product_policy(),
        fault,
        programs,
        customer.engine,
    )
    return run_clairvoyant(cell) if policy is None else run_cell(cell)


def _mean(results: list[BenchResult], name: str) -> float:
    return round(mean([getattr(result, name) for result in results]), 4)


def _cell_rows(
    rows: list[BenchRow], customer: str, load: float, fault: str = 'none'
) -> list[BenchRow]:
    return [
        r
        for r in rows
        if (r.customer, r.load, r.fault) == (customer, load, fault)
        and (r.policy != PRODUCT or r.preset == 'ordinary')
    ]


def _cell_row(rows: list[BenchRow], customer: str, load: float, policy: str) -> BenchRow:
    return next(r for r in _cell_rows(rows, customer, load) if r.policy == policy)


def _ratio_to_baseline(cell: list[BenchRow], figure: Callable[[BenchRow], float]) -> float:
    product_value = next(figure(r) for r in cell if r.policy == PRODUCT)
    best = min(figure(r) for r in cell if r.policy not in (PRODUCT, CLAIRVOYANT))
    return product_value / best if best else float(product_value > 0)


def _worst_cell_verdicts(rows: list[BenchRow]) -> list[Verdict]:
    latency, waste = [], []
    for customer in ('flamaviva', 'kushiro'):
        for load, fault in _loads_and_faults():
            cell = _cell_rows(rows, customer, load, fault.value)
            latency.append(_ratio_to_baseline(cell, lambda r: r.program_latency_s['p95']))
            waste.append(_ratio_to_baseline(cell, lambda r: r.wasted_cache_ratio))
    return [
        _at_most('worst cell, p95 latency of best baseline', 1.0, max(latency)),
        _at_most('worst cell, wasted cache of best baseline', 1.0, max(waste)),
    ]


def _at_most(target: str, bound: float, reached: float) -> Verdict:
    return Verdict(target, bound, round(reached, 4), reached <= bound)


def _at_least(target: str, bound: float, reached: float) -> Verdict:
    return Verdict(target, bound, round(reached, 4), reached >= bound)
