"""Recorder that checks the invariants independently of the entries' own records.

It sees what callers sent and received, the prompts and outputs of the engines, and
the effects of the tools. Inputs carry a marker `#<program>/<seq>~<tokens>`, from
which the expected answer can be computed.
"""

import re
from collections import defaultdict
from enum import Enum

from attrs import define, field, frozen

from toucanlead_core.errors import ExecutionStatus
from toucanlead_core.messages import Message, count_tokens

MARKER = re.compile(r'#([\w.-]+)/(\d+)~(\d+)')
ANSWER_WORDS = (
    'check',
    'the',
    'flame',
    'then',
    'book',
    'order',
    'seal',
    'valve',
    'gauge',
    'cell',
    'burner',
)


class Invariant(str, Enum):
    """A rule that must hold under every fault; the value names its violation."""

    ORDER = 'order'
    LOST_HISTORY = 'lost_history'
    MIXED_HISTORY = 'mixed_history'
    OVER_BUDGET = 'over_budget'
    DOUBLED_EFFECT = 'doubled_effect'
    HELD_MEMORY = 'held_memory'
    WRONG_ANSWER = 'wrong_answer'
    FALSE_NOT_RUN = 'false_not_run'


@frozen
class Violation:
    """One violation of an invariant by a program."""

    invariant: Invariant
    program: str
    detail: str


@frozen
class Marker:
    """The marker in an input: program name, call number, answer length in tokens."""

    program: str
    seq: int
    tokens: int


@define
class _ProgramRecord:
    """A program's root, budget and spending, and its answers by call number."""

    root: str
    budget: int | None = None
    answered: dict[int, str] = field(factory=dict)
    expected: dict[int, str] = field(factory=dict)
    spent: int = 0
    ended: bool = False


def find_marker(text: str) -> Marker | None:
    """Return the first marker in a text, or None."""
    match = MARKER.search(text)
    return Marker(match[1], int(match[2]), int(match[3])) if match else None


def expected_answer(marker: Marker) -> str:
    """Return the complete answer that an engine gives to an input with this marker."""
    words = [f'@{marker.program}/{marker.seq}']
    words += [ANSWER_WORDS[(marker.seq + i) % len(ANSWER_WORDS)] for i in range(marker.tokens - 1)]
    return ' '.join(words[: max(1, marker.tokens)])


class Recorder:
    """Collects what callers, engines and tools observed, and checks the invariants."""

    def __init__(self) -> None:
        self._programs: dict[str, _ProgramRecord] = {}
        self._violations: list[Violation] = []
        self._effect_counts: dict[tuple[str, int], int] = defaultdict(int)
        self._ran_since_attempt: set[tuple[str, int]] = set()
        self._unknown_attempts: set[tuple[str, int]] = set()
        self._prompt_tokens = 0
        self._wasted_tokens = 0

    def program_opened(self, program: str, root: str, budget: int | None) -> None:
        """Record that a caller opened a program; a sub-agent spends its root's budget."""
        self._programs[program] = _ProgramRecord(root=root, budget=budget)

    def answer_expected(self, program: str, seq: int, expected: str) -> None:
        """Record that a caller will make a call whose complete answer must be `expected`."""
        self._programs[program].expected[seq] = expected

    def call_attempted(self, program: str, seq: int) -> None:
        """Record that a caller sends the call, for the first time or again."""
        self._ran_since_attempt.discard((program, seq))

    def call_answered(self, program: str, seq: int, content: str) -> None:
        """Check an answer that a caller received, and the order of the answers."""
        record = self._programs[program]
        if content != record.expected[seq]:
            self._add_violation(Invariant.WRONG_ANSWER, program, f'seq {seq}: {content[:60]!r}')
        if any(earlier not in record.answered for earlier in range(1, seq)):
            self._add_violation(
                Invariant.ORDER, program, f'seq {seq} answered before earlier calls'
            )
        record.answered[seq] = content

    def call_refused(self, program: str, seq: int, ran: ExecutionStatus) -> None:
        """Check a refusal: "not run" must be true of the refused request.

        It is not checked after an earlier "unknown" for the same call: an entry that
        is cut off rightly says that it did not run this request, while the new owner
        runs the call for the earlier one.
        """
        if ran is not ExecutionStatus.NOT_RUN:
            self._unknown_attempts.add((program, seq))
        elif (program, seq) in self._unknown_attempts:
            return
        elif (program, seq) in self._ran_since_attempt:
            self._add_violation(
                Invariant.FALSE_NOT_RUN, program, f'seq {seq} was refused as not run, but had run'
            )

    def program_ended(self, program: str) -> None:
        """Record that a caller was told that its program has ended."""
        self._programs[program].ended = True

    def prompt_started(
        self, messages: list[Message], new_tokens: int, cached: int, wasted: int
    ) -> None:
        """Check a prompt that an engine starts to process.

        `wasted` is the number of its tokens that the engine had computed before and
        computes again.
        """
        marker = find_marker(messages[-1].content)
        self._prompt_tokens += sum(count_tokens(m.content) for m in messages)
        self._wasted_tokens += wasted
        if marker is None or marker.program not in self._programs:
            return
        self._ran_since_attempt.add((marker.program, marker.seq))
        self._check_prompt(marker, messages)

    def tokens_charged(self, program: str, tokens: int) -> None:
        """Add tokens that a back end charged, and check the root program's budget."""
        record = self._programs.get(program)
        if record is None:
            return
        root = self._programs[record.root]
        root.spent += tokens
        if root.budget is not None and root.spent > root.budget:
            detail = f'spent {root.spent} of {root.budget}'
            self._add_violation(Invariant.OVER_BUDGET, record.root, detail)

    def tool_call_executed(self, program: str, seq: int, *, repeatable: bool) -> None:
        """Check a call that a tool performed: its order, and that its effect is not doubled."""
        self._ran_since_attempt.add((program, seq))
        record = self._programs.get(program)
        if record and any(earlier not in record.answered for earlier in range(1, seq)):
            self._add_violation(
                Invariant.ORDER,
                program,
                f'tool call seq {seq} ran before earlier calls were answered',
            )
        if repeatable:
            return
        self._effect_counts[program, seq] += 1
        if self._effect_counts[program, seq] > 1:
            self._add_violation(Invariant.DOUBLED_EFFECT, program, f'seq {seq}')

    def check_held_caches(self, programs: list[str]) -> None:
        """Check that engines hold no cache of ended programs; call it at the end of a test."""
        for program in programs:
            record = self._programs.get(program)
            if record is not None and record.ended:
                self._add_violation(
                    Invariant.HELD_MEMORY, program, 'cache still held after the program ended'
                )

    def violations(self) -> list[Violation]:
        """Return all violations found so far."""
        return list(self._violations)

    def counts(self) -> dict[str, int]:
        """Return the number of violations of each invariant."""
        totals = {invariant.value: 0 for invariant in Invariant}
        for violation in self._violations:
            totals[violation.invariant.value] += 1
        return totals

    @property
    def wasted_cache_ratio(self) -> float:
        """Return the share of prompt tokens that engines computed again."""
        return self._wasted_tokens / self._prompt_tokens if self._prompt_tokens else 0.0

    def _check_prompt(self, marker: Marker, messages: list[Message]) -> None:
        record = self._programs[marker.program]
        for message in messages:
            for program, _seq, _tokens in MARKER.findall(message.content):
                if program != marker.program:
                    self._add_violation(Invariant.MIXED_HISTORY, marker.program, program)
        texts = [message.content for message in messages]
        position = -1
        for seq in sorted(s for s in record.answered if s < marker.seq):
            try:
                position = texts.index(record.answered[seq], position + 1)
            except ValueError:
                detail = f'prompt of seq {marker.seq} lacks the answer to seq {seq}'
                self._add_violation(Invariant.LOST_HISTORY, marker.program, detail)
                return
        missing = [s for s in range(1, marker.seq) if s not in record.answered]
        if missing:
            detail = f'prompt of seq {marker.seq} sent before the answers to {missing}'
            self._add_violation(Invariant.ORDER, marker.program, detail)

    def _add_violation(self, invariant: Invariant, program: str, detail: str) -> None:
        self._violations.append(Violation(invariant, program, detail))
