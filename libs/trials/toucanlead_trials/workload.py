"""Workload: generates the customers' programs from a seed."""

import random

from attrs import evolve, frozen

from toucanlead_core.errors import Reason
from toucanlead_core.messages import CallKind, Message, count_tokens

from .trace import TraceCall, TraceProgram

RUNAWAY_CALLS = 9  # the last one is refused


@frozen
class WorkloadShape:
    """Parameters of a customer's programs; sizes in tokens, pauses in seconds.

    Pairs of numbers are the bounds of a uniform distribution. `lookup` and `effects` name
    tools without and with effects. Inputs begin with an opening, and phrases fill them up
    to their length.
    """

    customer: str
    model: str
    app_tool: str
    lookup: str
    effects: tuple[str, ...]
    teams: int
    turns: tuple[int, int]
    system_tokens: int
    input_tokens: tuple[int, int]
    output_tokens: tuple[int, int]
    tool_pause_s: tuple[float, float]
    person_pause_s: tuple[float, float]
    sub_agent_share: float
    openings: tuple[str, ...]
    phrases: tuple[str, ...]


FLAMAVIVA = WorkloadShape(
    customer='flamaviva',
    model='flama-llm',
    app_tool='despacho-app',
    lookup='parts_lookup',
    effects=('book', 'order', 'charge'),
    teams=6,
    turns=(3, 9),
    system_tokens=220,
    input_tokens=(12, 60),
    output_tokens=(20, 90),
    tool_pause_s=(0.2, 2.0),
    person_pause_s=(4.0, 30.0),
    sub_agent_share=0.2,
    openings=(
        'The flame on the left wok burner is yellow and there is soot on the pan.',
        'A jet is clogged after the grease trap overflowed and the station is cold.',
        'The pilot goes out whenever the extractor starts, mid-service.',
        'The regulator hisses and the big burner will not reach full heat.',
    ),
    phrases=(
        'I turned the valve and it still burns uneven on one side.',
        'There are eleven orders waiting at the counter.',
        'The jet reads one point eight on the rim.',
        'Please send someone before the dinner service.',
        'We have the spare ring but no gasket.',
    ),
)
KUSHIRO = WorkloadShape(
    customer='kushiro',
    model='kkbw-llm',
    app_tool='kkbw-app',
    lookup='jacket_lookup',
    effects=('reorder', 'return_shipment'),
    teams=5,
    turns=(6, 20),
    system_tokens=400,
    input_tokens=(60, 240),
    output_tokens=(30, 120),
    tool_pause_s=(0.5, 6.0),
    person_pause_s=(10.0, 90.0),
    sub_agent_share=0.35,
    openings=(
        'Inspection note: forty two jackets from the cooperative, cells unopened since spring.',
        'The ferry line returned a crate, three auto-inflators show green, one red.',
        'Boating club lot, straps worn, papers missing for two serial numbers.',
        'Skipper asks when the trawler set of twelve comes back to the quay.',
    ),
    phrases=(
        'Cell pressure held at two point one after sixteen hours.',
        'The oral tube valve leaks under load and was replaced.',
        'Ledger page nine lists the serial as already condemned.',
        'The cylinder weight is nine grams under the stamped value.',
        'Webbing on the left shoulder shows salt damage at the seam.',
    ),
)
WORKLOAD_SHAPES = {shape.customer: shape for shape in (FLAMAVIVA, KUSHIRO)}


def make_programs(
    shape: WorkloadShape, count: int, seed: int, *, rate_per_s: float
) -> list[TraceProgram]:
    """Return `count` root programs, and their sub-agents, with Poisson arrivals."""
    rng = random.Random(f'{shape.customer}/{seed}')
    programs: list[TraceProgram] = []
    start_s = 0.0
    for number in range(count):
        start_s += rng.expovariate(rate_per_s)
        factory = _ProgramFactory(shape, rng)
        name = f'{shape.customer[:3]}-{seed}-{number:04d}'
        programs.extend(factory.root_with_sub_agent(name, start_s))
    return programs


def special_programs(shape: WorkloadShape, seed: int) -> list[TraceProgram]:
    """Return a runaway program, one that exceeds its budget, and two that fetch answers late."""
    rng = random.Random(f'{shape.customer}/special/{seed}')
    factory = _ProgramFactory(shape, rng)
    prefix = f'{shape.customer[:3]}-{seed}'
    return [
        factory.runaway(f'{prefix}-loop'),
        factory.out_of_budget(f'{prefix}-poor'),
        factory.late_caller(f'{prefix}-late1'),
        factory.late_caller(f'{prefix}-late2'),
    ]


class _ProgramFactory:
    """Generates single programs of one customer."""

    def __init__(self, shape: WorkloadShape, rng: random.Random) -> None:
        self._shape = shape
        self._rng = rng

    def root_with_sub_agent(self, name: str, start_s: float) -> list[TraceProgram]:
        """Return a root program, and perhaps its sub-agent."""
        shape = self._shape
        calls = self._calls(name, self._rng.randint(*shape.turns))
        root = self._program(name, start_s, calls)
        if self._rng.random() >= shape.sub_agent_share:
            return [root]
        child = self._program(
            f'{name}.sub', start_s, self._calls(f'{name}.sub', self._rng.randint(2, 4), 'sub')
        )
        models = [i for i, c in enumerate(root.calls, 1) if c.kind is CallKind.MODEL]
        child = evolve(
            child, team=root.team, parent=name, after_seq=models[len(models) // 2], budget=0
        )
        budget = root.budget + sum(_max_cost(c) for c in child.calls) * 4
        return [evolve(root, budget=budget), child]

    def runaway(self, name: str) -> TraceProgram:
        """Return a program that repeats one call until it is refused."""
        text = f'#{name}/0~5 try again'
        repeated = TraceCall(CallKind.MODEL, 0.1, [Message('user', text)], 16, 5)
        calls = [repeated] * RUNAWAY_CALLS
        calls[8:] = [evolve(repeated, refusal=Reason.RUNAWAY.value)] * (RUNAWAY_CALLS - 8)
        return self._program(name, 1.0, calls)

    def out_of_budget(self, name: str) -> TraceProgram:
        """Return a program whose last call may cost more than its whole budget."""
        calls = self._calls(name, 6, effects=False)
        program = self._program(name, 2.0, calls)
        spent = 0
        limited = []
        for call in program.calls[:3]:
            limited.append(call)
            spent += _max_cost(call)
        refused = evolve(program.calls[0], refusal=Reason.BUDGET_EXHAUSTED.value)
        refused = evolve(refused, max_tokens=spent * 4)
        return evolve(program, budget=spent * 3, calls=[*limited, refused])

    def late_caller(self, name: str) -> TraceProgram:
        """Return a program whose caller disconnects and fetches the answers later."""
        calls = [evolve(call, late=call.kind is CallKind.MODEL) for call in self._calls(name, 4)]
        return self._program(name, 3.0, calls)

    def _program(self, name: str, start_s: float, calls: list[TraceCall]) -> TraceProgram:
        shape = self._shape
        team = f'{shape.customer}-{self._rng.randrange(shape.teams)}'
        budget = sum(_max_cost(call) for call in calls) * 4
        return TraceProgram(name, team, shape.model, start_s, 600.0, calls, budget)

    def _calls(
        self, name: str, turns: int, role: str = 'root', effects: bool = True
    ) -> list[TraceCall]:
        calls: list[TraceCall] = []
        for turn in range(turns):
            calls.append(self._model_call(name, len(calls) + 1, first=turn == 0))
            if turn == turns - 1:
                break
            draw = self._rng.random()
            if draw < 0.3:
                calls.append(self._tool_call(name, len(calls) + 1, self._shape.lookup))
            elif draw < 0.45:
                calls.append(self._tool_call(name, len(calls) + 1, self._shape.app_tool))
        if effects and role == 'root':
            calls.extend(self._effects(name, len(calls) + 1))
        return calls

    def _effects(self, name: str, seq: int) -> list[TraceCall]:
        chosen = [t for t in self._shape.effects if self._rng.random() < 0.7]
        return [self._tool_call(name, seq + i, tool) for i, tool in enumerate(chosen)]

    def _model_call(self, name: str, seq: int, *, first: bool) -> TraceCall:
        shape, rng = self._shape, self._rng
        output = rng.randint(*shape.output_tokens)
        size = rng.randint(*shape.input_tokens)
        pause_s = 0.0 if first else rng.uniform(*shape.person_pause_s)
        messages = [Message('user', self._input_text(f'#{name}/{seq}~{output}', size))]
        if first:
            messages.insert(0, Message('system', self._system_prompt()))
        return TraceCall(
            CallKind.MODEL, pause_s, messages, max(32, output + rng.randint(0, 60)), output
        )

    def _tool_call(self, name: str, seq: int, tool: str) -> TraceCall:
        kind = CallKind.APP if tool == self._shape.app_tool else CallKind.TOOL
        args = {'program': name, 'n': seq, 'item': self._rng.randrange(1000)}
        pause_s = self._rng.uniform(*self._shape.tool_pause_s)
        return TraceCall(kind, pause_s, tool=tool, args=args)

    def _system_prompt(self) -> str:
        base = f'You help the callers of {self._shape.customer}. Work step by step.'
        return self._pad_text(base, self._shape.system_tokens, self._shape.phrases)

    def _input_text(self, marker: str, size: int) -> str:
        opening = self._rng.choice(self._shape.openings)
        return self._pad_text(f'{marker} {opening}', size, self._shape.phrases)

    def _pad_text(self, text: str, size: int, phrases: tuple[str, ...]) -> str:
        words = text.split()
        start = self._rng.randrange(len(phrases)) if text.startswith('#') else 0
        number = start
        while len(words) < size:
            words.extend(phrases[number % len(phrases)].split())
            number += 1
        return ' '.join(words[: max(size, 1)])


def _max_cost(call: TraceCall) -> int:
    tokens = sum(count_tokens(m.content) for m in call.messages)
    return tokens + call.max_tokens if call.kind is CallKind.MODEL else 10
