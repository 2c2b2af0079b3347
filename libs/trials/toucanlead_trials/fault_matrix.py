"""Fault matrix: inject faults at each step of a call, singly, twice, in pairs and in sequence."""

import asyncio
import itertools
import random
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from toucanlead_core.errors import Step
from toucanlead_core.messages import CallKind, Message
from toucanlead_standins.recorder import Violation
from toucanlead_standins.virtual_loop import run_virtual

from .caller import Replayer
from .fault_kinds import FAULTS
from .trace import TraceCall, TraceProgram
from .virtual_site import EntryObserver, VirtualEntryClient, VirtualSite

VICTIM = 'victim'
EFFECT_SEQ = 2  # the victim's first tool call with an effect
MODEL_SEQ = 3  # the victim's model call after it
RELEASE_SEQ = 0  # a release concerns the whole program, not one call
REPEAT_AFTER_S = 3.0
RELEASE_WAIT_S = 30.0
SETTLE_S = 12.0

TARGETS = (
    (Step.ACCEPT, EFFECT_SEQ),
    (Step.ACCEPT, MODEL_SEQ),
    (Step.ORDER, EFFECT_SEQ),
    (Step.ORDER, MODEL_SEQ),
    (Step.RESERVE, EFFECT_SEQ),
    (Step.RESERVE, MODEL_SEQ),
    (Step.CLAIM, EFFECT_SEQ),
    (Step.ROUTE, MODEL_SEQ),
    (Step.SEND, EFFECT_SEQ),
    (Step.SEND, MODEL_SEQ),
    (Step.STREAM, MODEL_SEQ),
    (Step.ANSWER, EFFECT_SEQ),
    (Step.ANSWER, MODEL_SEQ),
    (Step.RECORD, EFFECT_SEQ),
    (Step.RECORD, MODEL_SEQ),
    (Step.RELEASE, RELEASE_SEQ),
)


@frozen
class Follow:
    """A second fault, injected at a later step than the first."""

    fault: str
    step: Step
    seq: int


@frozen
class Case:
    """Faults to inject when the victim's call `seq` reaches a step, and perhaps a later one.

    The victim is the program that `victim_program` returns. With `twice` the faults are
    injected again when the victim next reaches the step, at the earliest `REPEAT_AFTER_S`
    later. `budget` is the victim's, in tokens.
    """

    faults: tuple[str, ...]
    step: Step
    seq: int
    seed: int
    twice: bool = False
    budget: int = 600
    follow: Follow | None = None

    @property
    def label(self) -> str:
        """Return the case's name for reports."""
        again = ' twice' if self.twice else ''
        then = ''
        if self.follow is not None:
            then = f' then {self.follow.fault}@{self.follow.step.value}/{self.follow.seq}'
        faults = '+'.join(self.faults)
        return f'{faults}@{self.step.value}/{self.seq}{again}{then} seed {self.seed}'


@frozen
class CaseResult:
    """Result of one case: injections, violations, and calls made and answered."""

    case: Case
    fired: int
    violations: list[Violation]
    calls: int
    answered: int
    unexpected: list[str]


@define
class _FaultInjector(EntryObserver):
    """Injects a case's faults when the victim reaches their steps."""

    case: Case
    site: VirtualSite | None = None
    victim_id: str = ''
    fired: int = 0
    fired_at: float = field(default=-1e9)
    follow_fired: bool = False

    async def step_reached(self, step: Step, program_id: str, seq: int) -> None:
        case = self.case
        if program_id != self.victim_id:
            return
        if self._matches(case.step, case.seq, step, seq) and self._may_fire():
            self.fired += 1
            self.fired_at = asyncio.get_running_loop().time()
            await self._inject(case.faults)
        elif case.follow is not None and self.fired and not self.follow_fired:
            follow = case.follow
            if self._matches(follow.step, follow.seq, step, seq):
                self.follow_fired = True
                await self._inject((follow.fault,))

    def _matches(self, wanted: Step, wanted_seq: int, step: Step, seq: int) -> bool:
        return step is wanted and wanted_seq in (seq, RELEASE_SEQ)

    async def _inject(self, faults: tuple[str, ...]) -> None:
        entry = self.entry_name
        process_ended = [FAULTS[name].inject(self.site, entry) for name in faults]
        if any(process_ended):
            await asyncio.Event().wait()
        # The fault takes effect before the call goes on; a paused entry waits here.
        await self.site.entries[entry].process.wait_until_running()

    def _may_fire(self) -> bool:
        limit = 2 if self.case.twice else 1
        now = asyncio.get_running_loop().time()
        return self.fired < limit and now >= self.fired_at + REPEAT_AFTER_S


def run_case(case: Case) -> CaseResult:
    """Run one case in virtual time."""
    return run_virtual(_run_case(case))


def single_cases(seed: int) -> list[Case]:
    """Return a case for every fault at every step."""
    return [Case((f,), step, seq, seed) for f in FAULTS for step, seq in TARGETS]


def repeated_cases(seed: int) -> list[Case]:
    """Return a case for every fault at every step, injected twice."""
    return [Case((f,), step, seq, seed, True) for f in FAULTS for step, seq in TARGETS]


def pair_cases(seed: int) -> list[Case]:
    """Return a case for every pair of faults, injected together at every step."""
    pairs = itertools.combinations(FAULTS, 2)
    return [Case(pair, step, seq, seed) for pair in pairs for step, seq in TARGETS]


def default_cases(seed: int, repeated: int, pairs: int) -> list[Case]:
    """Return all single cases, `repeated` of the repeated cases and `pairs` of the pairs.

    Half of the pairs are injected together and half in sequence. The choice depends only
    on the seed.
    """
    rng = random.Random(seed)
    cases = single_cases(seed)
    cases += rng.sample(repeated_cases(seed), repeated)
    cases += rng.sample(pair_cases(seed), pairs // 2)
    cases += rng.sample(follow_cases(seed), pairs - pairs // 2)
    return cases


def follow_cases(seed: int) -> list[Case]:
    """Return a case for every ordered pair of faults, the second at a later step of a call."""
    cases = []
    for first, second in itertools.permutations(FAULTS, 2):
        for (step, seq), (later, later_seq) in itertools.combinations(TARGETS, 2):
            if seq == later_seq:
                follow = Follow(second, later, later_seq)
                cases.append(Case((first,), step, seq, seed, follow=follow))
    return cases


def full_cases(seed: int) -> list[Case]:
    """Return every case: single, twice, in pairs and in sequence."""
    return single_cases(seed) + repeated_cases(seed) + pair_cases(seed) + follow_cases(seed)


def run_cases(cases: Iterable[Case], log: Callable[[str], None]) -> list[CaseResult]:
    """Run cases, and report each violation and the progress."""
    results = []
    for number, case in enumerate(cases, 1):
        result = run_case(case)
        results.append(result)
        for violation in result.violations:
            log(f'{case.label}: {violation.invariant.value} {violation.detail}')
        if number % 100 == 0:
            log(f'{number} cases')
    return results


def matrix_report(results: list[CaseResult]) -> dict:
    """Return the report that is written to build/faults.json."""
    return {
        'faults': sorted(FAULTS),
        'steps': [step.value for step in Step],
        'cases': len(results),
        'fired': sum(1 for r in results if r.fired),
        'failed': [
            {
                'fault': '+'.join(r.case.faults) + ('+again' if r.case.twice else ''),
                'label': r.case.label,
                'step': r.case.step.value,
                'seq': r.case.seq,
                'seed': r.case.seed,
                'invariant': v.invariant.value,
                'detail': v.detail,
            }
            for r in results
            for v in r.violations
        ],
        'served': served_shares(results),
        'served_minimum': {name: fault.min_answered_share for name, fault in FAULTS.items()},
    }


def served_shares(results: list[CaseResult]) -> dict[str, float]:
    """Return for each fault the share of calls that were answered in its single cases."""
    shares = {}
    for name in FAULTS:
        single = [r for r in results if _is_single(r.case, name)]
        calls = sum(r.calls for r in single)
        if calls:
            shares[name] = round(sum(r.answered for r in single) / calls, 4)
    return shares


def _is_single(case: Case, name: str) -> bool:
    return case.faults == (name,) and not case.twice and case.follow is None


def faults_below_minimum(shares: dict[str, float]) -> list[str]:
    """Return the faults under which the share of answered calls was below the minimum."""
    return [name for name, share in shares.items() if share < FAULTS[name].min_answered_share]


async def _run_case(case: Case) -> CaseResult:
    injector = _FaultInjector(case)
    site = VirtualSite(case.seed, injector)
    injector.site = site
    await site.start()
    client = VirtualEntryClient(site)
    replayer = Replayer(client, site.recorder, 1.0)
    programs = [victim_program(case.budget), *concurrent_programs()]
    injector.victim_id = client.program_id(programs[0])
    try:
        await replayer.play(programs)
        await _wait_for_release(site)
        site.recorder.check_held_caches(site.held_program_names())
    finally:
        await site.stop()
    answered = len(replayer.report.turn_latencies_s)
    calls = sum(len(p.calls) for p in programs)
    return CaseResult(
        case,
        injector.fired,
        site.recorder.violations(),
        calls,
        answered,
        replayer.report.unexpected,
    )


def victim_program(budget: int) -> TraceProgram:
    """Return the program at whose calls faults are injected."""
    return _program(VICTIM, 0.0, ['model', 'book', 'model', 'charge', 'model'], budget)


def concurrent_programs() -> list[TraceProgram]:
    """Return programs that run concurrently with the victim."""
    return [
        _program('beside1', 0.1, ['model', 'order', 'model', 'model']),
        _program('beside2', 0.2, ['model', 'parts_lookup', 'model', 'book']),
    ]


def _program(name: str, start_s: float, kinds: list[str], budget: int = 600) -> TraceProgram:
    calls = []
    for seq, kind in enumerate(kinds, 1):
        if kind == 'model':
            text = f'#{name}/{seq}~12 the flame is yellow'
            calls.append(TraceCall(CallKind.MODEL, 0.3, [Message('user', text)], 24, 12))
        else:
            args = {'program': name, 'n': seq}
            calls.append(TraceCall(CallKind.TOOL, 0.3, tool=kind, args=args))
    return TraceProgram(name, 'flamaviva-0', 'flama-llm', start_s, 300.0, calls, budget)


async def _wait_for_release(site: VirtualSite) -> None:
    """Wait until the faults have ended and engines have released ended programs."""
    await asyncio.sleep(SETTLE_S)
    deadline = asyncio.get_running_loop().time() + RELEASE_WAIT_S
    while site.held_program_names() and asyncio.get_running_loop().time() < deadline:
        await asyncio.sleep(0.5)
