"""One benchmark run: simulates a workload's programs on entries and replicas."""

import functools
import random
from enum import Enum

from attrs import define, evolve, field, frozen

from toucanlead_core.messages import CallKind, count_tokens
from toucanlead_policy.admission import admit_program
from toucanlead_policy.cache_estimates import CacheEstimates
from toucanlead_policy.fleet import Fleet, PendingPrefill, ReplicaState
from toucanlead_policy.priority import PriorityInputs, engine_priority
from toucanlead_policy.retention import PausePredictor, Retention, choose_retention
from toucanlead_policy.routing import Choice, Router, RoutingReq

from .bench_engine import BenchEngine, EngineShape, Job, JobResult
from .bench_policy import BenchPolicy
from .event_loop import EventLoop
from .statistics import mean, percentile
from .trace import TraceCall, TraceProgram
from .workload import WorkloadShape, make_programs

ENTRIES = 4
LINK_LATENCY_S = 0.020
LINK_BYTES_PER_S = 15e6 / 8
BYTES_PER_TOKEN = 5
FRAME_BYTES = 120
TOOL_CALL_S = 0.3
REPORT_PERIOD_S = 0.5
EVENT_DELAY_S = 0.5
RETRY_DELAY_S = 0.1
TOKEN_SCALE = 10  # the workload's texts are short; real agents' inputs include whole notes
FAULT_S = 60.0  # from the start of measuring to the fault, and the fault's duration
WARM_UP_SHARE = 0.4  # of the arrival period; programs opened during warm-up are not measured


class BenchFault(str, Enum):
    """Fault that is injected during a run."""

    NONE = 'none'
    REPLICA_DIES = 'replica_dies'
    REPLICA_SLOW = 'replica_slow_5x'
    LINK_HALVED = 'link_halved'
    EVENTS_GAPPED = 'events_gapped'
    REPORTS_LATE = 'reports_late_5s'


@frozen
class BenchCell:
    """Parameters of one run.

    `load` is the arrival rate as a share of the replicas' capacity, and `programs` the number
    of root programs. `clairvoyant` is set by `run_clairvoyant`.
    """

    shape: WorkloadShape
    replicas: int
    load: float
    seed: int
    policy: BenchPolicy
    fault: BenchFault = BenchFault.NONE
    programs: int = 300
    engine: EngineShape = EngineShape()
    clairvoyant: bool = False


@frozen
class BenchResult:
    """Results of one run; program latencies leave out recorded pauses.

    `full_history_bytes_per_turn` is what the link would carry if each turn sent its whole
    history. Goodput counts the root programs that finish within their deadlines.
    """

    latency_p50_s: float
    latency_p95_s: float
    latency_p99_s: float
    first_token_p95_s: float
    wasted_cache_ratio: float
    link_bytes_per_turn: float
    full_history_bytes_per_turn: float
    goodput_per_s: float
    finished: int


@define
class _ProgramRun:
    """State of one running program; sub-agents refer to their root.

    `attained` counts the tokens prefilled and generated for the program so far.
    """

    program: TraceProgram
    root: '_ProgramRun | None'
    entry: int
    opened_at: float
    system_tokens: int
    next_call: int = 0
    history_tokens: int = 0
    attained: int = 0
    paused_s: float = 0.0
    last_replica: str = ''
    exported_tokens: int = 0
    paused_since: float = 0.0
    call_started_at: float = 0.0
    running_children: int = 0
    children: list['_ProgramRun'] = field(factory=list)


@define
class _Entry:
    """The routing state of one entry."""

    router: Router
    cache_estimates: CacheEstimates
    fleet: Fleet
    pause_predictor: PausePredictor = field(factory=PausePredictor)


class BenchSite:
    """Entries, replicas and the link between regions, simulated in virtual time."""

    def __init__(self, cell: BenchCell) -> None:
        """Build the replicas and entries; all randomness comes from the cell's seed."""
        self._cell = cell
        self._loop = EventLoop()
        self._rng = random.Random(f'{cell.shape.customer}/{cell.seed}/{cell.load}')
        self._engines = {
            f'r{i}': BenchEngine(f'r{i}', self._loop, cell.engine) for i in range(cell.replicas)
        }
        for engine in self._engines.values():
            engine.on_evict = lambda program, name=engine.name: self._on_evict(name, program)
        self._entries = [self._make_entry(i) for i in range(ENTRIES)]
        self._computed_tokens: dict[str, int] = {}
        self._computed_groups: set[str] = set()
        self._link_free_at = 0.0
        self._link_rate = LINK_BYTES_PER_S
        self._latencies: list[float] = []
        self._first_tokens: list[float] = []
        self._met_deadline = 0
        self._finished = 0
        self._prompt_tokens = 0
        self._wasted_tokens = 0
        self._turns = 0
        self._link_bytes = 0
        self._full_history_bytes = 0
        self._events_lost = False
        self._report_delay_s = 5.0 if cell.fault is BenchFault.REPORTS_LATE else 1.0

    def run(self) -> BenchResult:
        """Simulate all programs and return the results."""
        cell = self._cell
        rate = cell.load * capacity_per_s(cell.shape, cell.replicas, cell.engine)
        programs = workload(cell.shape, cell.programs, cell.seed)
        children: dict[str, list[TraceProgram]] = {}
        for program in programs:
            if program.parent is not None:
                children.setdefault(program.parent, []).append(program)
        roots = [p for p in programs if p.parent is None]
        for number, program in enumerate(roots):
            start_s = program.start_s / rate
            run = self._make_run(program, None, number % ENTRIES, start_s)
            run.children = [
                self._make_run(c, run, run.entry, start_s) for c in children.get(program.name, [])
            ]
            self._loop.call_at(start_s, lambda run=run: self._admit(run))
        last_s = roots[-1].start_s / rate
        self._measure_from_s = WARM_UP_SHARE * last_s
        self._measure_to_s = last_s
        self._loop.call_later(0.0, self._report_loads)
        self._schedule_fault()
        self._reports_end_at = last_s + 3000.0
        self._loop.run(last_s + 3000.0)
        return self._result(last_s)

    def _make_entry(self, number: int) -> _Entry:
        cache_estimates = CacheEstimates()
        rng = random.Random(f'{self._cell.seed}/{number}')
        fleet = Fleet()
        shape = self._cell.engine
        for name in self._engines:
            fleet.add(
                ReplicaState(
                    name,
                    self._cell.shape.model,
                    'zone',
                    'home',
                    shape.slots,
                    shape.prefill_tokens_per_s,
                    shape.decode_token_s,
                )
            )
        return _Entry(self._cell.policy.make_router(cache_estimates, rng), cache_estimates, fleet)

    def _make_run(
        self, program: TraceProgram, root: _ProgramRun | None, entry: int, start_s: float
    ) -> _ProgramRun:
        system = self._cell.shape.system_tokens * TOKEN_SCALE
        return _ProgramRun(program, root, entry, start_s, system)

    def _admit(self, run: _ProgramRun) -> None:
        entry = self._entries[run.entry]
        policy = self._cell.policy
        if policy.admission:
            wait_s = admit_program(
                entry.fleet, run.program.model, policy.preset, self._deadline_s(run)
            )
            if wait_s is not None and self._loop.now < run.opened_at + self._deadline_s(run):
                self._loop.call_later(1.0 + wait_s * self._rng.random(), lambda: self._admit(run))
                return
            if wait_s is not None:
                return  # its deadline has passed, so it never starts
        self._advance(run)

    def _advance(self, run: _ProgramRun) -> None:
        if run.next_call >= len(run.program.calls):
            self._end_program(run)
            return
        call = run.program.calls[run.next_call]
        run.paused_s += call.pause_s
        run.paused_since = self._loop.now
        self._apply_retention(run, call.pause_s)
        self._loop.call_later(call.pause_s, lambda: self._start_call(run))

    def _start_call(self, run: _ProgramRun) -> None:
        call = run.program.calls[run.next_call]
        run.call_started_at = self._loop.now
        if call.kind is not CallKind.MODEL:
            run.history_tokens += 10
            self._loop.call_later(TOOL_CALL_S, lambda: self._on_answer(run))
            return
        entry = self._entries[run.entry]
        entry.pause_predictor.observe(self._pause_kind(run), self._loop.now - run.paused_since)
        new = self._new_tokens(run)
        run.history_tokens += new
        self._turns += 1
        self._full_history_bytes += run.history_tokens * BYTES_PER_TOKEN + FRAME_BYTES
        self._send_over_link(
            new * BYTES_PER_TOKEN + FRAME_BYTES, lambda: self._route(run, frozenset())
        )

    def _route(self, run: _ProgramRun, avoid: frozenset[str]) -> None:
        entry = self._entries[run.entry]
        req = RoutingReq(
            run.program.name,
            run.program.model,
            'home',
            run.history_tokens,
            run.history_tokens * BYTES_PER_TOKEN,
            exported_tokens=run.exported_tokens,
            import_tokens_per_s=self._cell.engine.import_tokens_per_s,
            group=self._cell.shape.customer,
            group_tokens=run.system_tokens,
        )
        choice = self._choose(entry, req, avoid)
        if choice is None:
            self._loop.call_later(RETRY_DELAY_S, lambda: self._route(run, frozenset()))
            return
        self._submit(run, entry, choice, avoid)

    def _choose(self, entry: _Entry, req: RoutingReq, avoid: frozenset[str]) -> Choice | None:
        if not self._cell.clairvoyant:
            return entry.router.choose(req, entry.fleet, self._loop.now, avoid)
        usable = [e for e in self._engines.values() if e.up]
        best = min(usable, key=lambda e: (e.running + e.waiting, -e.cached(req.program_id)))
        return Choice(best.name, 0.0, 0.0)

    def _submit(
        self, run: _ProgramRun, entry: _Entry, choice: Choice, avoid: frozenset[str]
    ) -> None:
        call = run.program.calls[run.next_call]
        replica = entry.fleet.replicas[choice.replica]
        prefill = max(0.0, run.history_tokens - choice.cached_tokens)
        replica.record_sent(prefill, self._loop.now)
        pending_prefill = PendingPrefill(replica, prefill)
        sent_at = self._loop.now
        imported = run.exported_tokens
        if self._cell.clairvoyant:
            imported = run.history_tokens - self._new_tokens(run)
        job = Job(
            run.program.name,
            self._cell.shape.customer,
            run.system_tokens,
            run.history_tokens,
            call.output_tokens,
            self._priority(run),
            imported,
            lambda: self._on_first_token(run, pending_prefill),
            lambda result: self._on_done(run, choice, pending_prefill, sent_at, result, avoid),
        )
        self._engines[choice.replica].submit(job)

    def _on_first_token(self, run: _ProgramRun, pending_prefill: PendingPrefill) -> None:
        pending_prefill.stop()
        if run.opened_at >= self._measure_from_s:
            self._first_tokens.append(self._loop.now - run.call_started_at)

    def _on_done(
        self,
        run: _ProgramRun,
        choice: Choice,
        pending_prefill: PendingPrefill,
        sent_at: float,
        result: JobResult,
        avoid: frozenset[str],
    ) -> None:
        entry = self._entries[run.entry]
        replica = entry.fleet.replicas[choice.replica]
        now = self._loop.now
        pending_prefill.stop()
        replica.record_end(now, None if result.failed else now - sent_at)
        if result.failed:
            self._loop.call_later(
                RETRY_DELAY_S, lambda: self._route(run, avoid | frozenset([choice.replica]))
            )
            return
        self._count_wasted_tokens(run, result)
        call = run.program.calls[run.next_call]
        entry.cache_estimates.update_confidence(
            run.program.name, choice.replica, choice.cached_tokens, result.cached
        )
        entry.cache_estimates.record_turn(
            run.program.name, choice.replica, run.history_tokens, call.output_tokens
        )
        entry.cache_estimates.record_group_prefix(self._cell.shape.customer, choice.replica)
        run.history_tokens += call.output_tokens
        run.attained += result.prefilled + call.output_tokens
        run.last_replica = choice.replica
        run.exported_tokens = 0
        # Token frames are sent during decoding, so only the last one adds to the latency.
        self._link_bytes += call.output_tokens * BYTES_PER_TOKEN
        self._send_over_link(FRAME_BYTES, lambda: self._on_answer(run))

    def _count_wasted_tokens(self, run: _ProgramRun, result: JobResult) -> None:
        name = run.program.name
        computed = self._computed_tokens.get(name, 0)
        if computed == 0 and self._cell.shape.customer in self._computed_groups:
            computed = run.system_tokens
        if run.opened_at < self._measure_from_s:
            computed = 0
        else:
            self._prompt_tokens += run.history_tokens
        reused = run.history_tokens - result.prefilled
        self._wasted_tokens += max(0, min(computed, run.history_tokens) - reused)
        call = run.program.calls[run.next_call]
        self._computed_tokens[name] = run.history_tokens + call.output_tokens
        self._computed_groups.add(self._cell.shape.customer)

    def _on_answer(self, run: _ProgramRun) -> None:
        run.next_call += 1
        starting = [c for c in run.children if c.program.after_seq == run.next_call]
        if not starting:
            self._advance(run)
            return
        run.running_children = len(starting)
        for child in starting:
            child.opened_at = self._loop.now
            self._advance(child)

    def _end_program(self, run: _ProgramRun) -> None:
        for engine in self._engines.values():
            engine.release(run.program.name)
        self._entries[run.entry].cache_estimates.forget(run.program.name)
        if run.root is not None:
            run.root.paused_s += run.paused_s
            run.root.attained += run.attained
            run.root.running_children -= 1
            if run.root.running_children == 0:
                self._advance(run.root)
            return
        self._finished += 1
        if run.opened_at < self._measure_from_s:
            return
        latency_s = self._loop.now - run.opened_at - run.paused_s
        self._latencies.append(latency_s)
        if latency_s <= self._deadline_s(run):
            self._met_deadline += 1

    def _apply_retention(self, run: _ProgramRun, pause_s: float) -> None:
        """Keep, export or release the program's cache for a pause."""
        if not self._cell.policy.retention or not run.last_replica:
            return
        entry = self._entries[run.entry]
        engine = self._engines[run.last_replica]
        share = entry.fleet.replicas[run.last_replica].cache_usage
        pressure = max(0.0, share - 0.5) * 2
        tokens = run.history_tokens
        expected = entry.pause_predictor.expected_s(self._pause_kind(run))
        recompute_s = tokens / self._cell.engine.prefill_tokens_per_s
        export_s = tokens / self._cell.engine.import_tokens_per_s
        price = pressure / max(1, self._cell.engine.slots)
        decision = choose_retention(expected, recompute_s, export_s, price)
        if decision is Retention.EXPORT and engine.cached(run.program.name):
            run.exported_tokens = engine.cached(run.program.name)
            engine.release(run.program.name)
        elif decision is Retention.RELEASE:
            engine.release(run.program.name)

    def _pause_kind(self, run: _ProgramRun) -> str:
        call = run.program.calls[run.next_call]
        return call.tool or 'person'

    def _priority(self, run: _ProgramRun) -> int:
        if not self._cell.policy.priority:
            return 0
        top = run.root or run
        inputs = PriorityInputs(
            top.attained + run.attained,
            top.opened_at,
            self._deadline_s(top),
            self._loop.now - run.call_started_at,
            run.root is not None,
        )
        return engine_priority(inputs, self._loop.now, self._cell.policy.preset.aging_s)

    def _new_tokens(self, run: _ProgramRun) -> int:
        call = run.program.calls[run.next_call]
        return new_tokens(call)

    def _deadline_s(self, run: _ProgramRun) -> float:
        ideal = sum(_service_s(c, self._cell.engine) for c in run.program.calls)
        return 3 * ideal + 10.0

    def _send_over_link(self, size: int, on_arrival) -> None:
        """Send bytes over the shared link, and call `on_arrival` when they arrive."""
        self._link_bytes += size
        start = max(self._loop.now, self._link_free_at)
        self._link_free_at = start + size / self._link_rate
        self._loop.call_at(self._link_free_at + LINK_LATENCY_S, on_arrival)

    def _report_loads(self) -> None:
        taken_at = self._loop.now
        loads = {n: (e.running, e.waiting, e.cache_usage) for n, e in self._engines.items()}

        def deliver() -> None:
            for entry in self._entries:
                for name, (running, waiting, share) in loads.items():
                    state = entry.fleet.replicas[name]
                    state.apply_load_report(running, waiting, taken_at, share)
                    if not self._cell.policy.own_load:
                        state.own_outstanding_at_report = 0

        self._loop.call_later(self._report_delay_s, deliver)
        if self._loop.now < self._reports_end_at:
            self._loop.call_later(REPORT_PERIOD_S, self._report_loads)

    def _on_evict(self, replica: str, program: str) -> None:
        """Report an eviction to the entries after a delay, unless events are lost."""
        if self._events_lost:
            return

        def deliver() -> None:
            for entry in self._entries:
                estimates = entry.cache_estimates.tokens_by_replica(program)
                if replica in estimates:
                    estimates[replica] = float(self._engines[replica].cached(program))

        self._loop.call_later(EVENT_DELAY_S, deliver)

    def _schedule_fault(self) -> None:
        first = next(iter(self._engines.values()))
        begin = self._measure_from_s + FAULT_S
        match self._cell.fault:
            case BenchFault.REPLICA_DIES:
                self._loop.call_at(begin, first.crash)
                self._loop.call_at(begin + FAULT_S, first.restart)
            case BenchFault.REPLICA_SLOW:
                self._loop.call_at(begin, lambda: setattr(first, 'slowness', 5.0))
                self._loop.call_at(begin + FAULT_S, lambda: setattr(first, 'slowness', 1.0))
            case BenchFault.LINK_HALVED:
                self._link_rate = LINK_BYTES_PER_S / 2
            case BenchFault.EVENTS_GAPPED:
                self._events_lost = True

    def _result(self, last_s: float) -> BenchResult:
        turns = max(1, self._turns)
        return BenchResult(
            percentile(self._latencies, 50),
            percentile(self._latencies, 95),
            percentile(self._latencies, 99),
            percentile(self._first_tokens, 95),
            self._wasted_tokens / max(1, self._prompt_tokens),
            self._link_bytes / turns,
            self._full_history_bytes / turns,
            self._met_deadline / (last_s - self._measure_from_s),
            self._finished,
        )


def run_cell(cell: BenchCell) -> BenchResult:
    """Run a cell with its policy."""
    return BenchSite(cell).run()


def run_clairvoyant(cell: BenchCell) -> BenchResult:
    """Run a cell with true loads and every prefix cached, as a bound on what a policy can reach."""
    engine = evolve(cell.engine, cache_tokens=10**12, import_tokens_per_s=1e12)
    return BenchSite(evolve(cell, engine=engine, clairvoyant=True)).run()


@functools.cache
def workload(shape: WorkloadShape, count: int, seed: int) -> list[TraceProgram]:
    """Return programs that arrive at one per second; calls have token counts but no texts."""
    programs = make_programs(shape, count, seed, rate_per_s=1.0)
    return [evolve(p, calls=[_without_texts(c) for c in p.calls]) for p in programs]


def new_tokens(call: TraceCall) -> int:
    """Return the input tokens that a call adds to the history."""
    return int(call.args['new_tokens']) if call.kind is CallKind.MODEL else 0


def _without_texts(call: TraceCall) -> TraceCall:
    if call.kind is not CallKind.MODEL:
        return call
    tokens = sum(count_tokens(m.content) for m in call.messages) * TOKEN_SCALE
    return evolve(call, messages=[], args={'new_tokens': tokens})


@functools.cache
def capacity_per_s(shape: WorkloadShape, replicas: int, engine: EngineShape) -> float:
    """Return the root programs per second that all slots serve when every prefix is cached."""
    sample = workload(shape, 200, 0)
    per_root = mean([sum(_service_s(c, engine) for c in p.calls) for p in sample])
    roots = sum(1 for p in sample if p.parent is None)
    return replicas * engine.slots / (per_root * len(sample) / roots)


def _service_s(call: TraceCall, engine: EngineShape) -> float:
    if call.kind is not CallKind.MODEL:
        return 0.0
    return (
        new_tokens(call) / engine.prefill_tokens_per_s + call.output_tokens * engine.decode_token_s
    )
