"""Recorder at the stand-ins: judges the invariants without the entries' books.

It sees what callers sent and received, what engines were prompted with and
generated, and which effects tools performed. Inputs carry a marker
`#<program>/<seq>~<tokens>`, so that an answer can be told from the input alone.
"""

import re
from collections import defaultdict
from enum import Enum

from attrs import define, field, frozen

from toucanlead_core.errors import Ran
from toucanlead_core.messages import Message, count_tokens

MARKER = re.compile(r'#([\w.-]+)/(\d+)~(\d+)')
WORDS = (
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
    """What must always hold."""

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
    """One broken invariant."""

    invariant: Invariant
    program: str
    detail: str


@frozen
class Marker:
    """The mark in an input: program name, call number, answer length in tokens."""

    program: str
    seq: int
    tokens: int


@define
class _Book:
    """What is known of one program."""

    root: str
    budget: int | None = None
    answered: dict[int, str] = field(factory=dict)
    expected: dict[int, str] = field(factory=dict)
    spent: int = 0
    ended: bool = False


def find_marker(text: str) -> Marker | None:
    """Return the mark in a text."""
    match = MARKER.search(text)
    return Marker(match[1], int(match[2]), int(match[3])) if match else None


def expected_answer(marker: Marker) -> str:
    """Return the whole answer that an engine gives to a marked input."""
    words = [f'@{marker.program}/{marker.seq}']
    words += [WORDS[(marker.seq + i) % len(WORDS)] for i in range(marker.tokens - 1)]
    return ' '.join(words[: max(1, marker.tokens)])


class Recorder:
    """Collects what happened at the edges; `violations` judges it."""

    def __init__(self) -> None:
        """Start empty."""
        self._books: dict[str, _Book] = {}
        self._found: list[Violation] = []
        self._effects: dict[tuple[str, int], int] = defaultdict(int)
        self._touched_since_attempt: set[tuple[str, int]] = set()
        self._open_attempts: set[tuple[str, int]] = set()
        self._prompt_tokens = 0
        self._wasted_tokens = 0

    def opened(self, program: str, root: str, budget: int | None) -> None:
        """A caller opened a program; sub-agents draw on their root's budget."""
        self._books[program] = _Book(root=root, budget=budget)

    def call_sent(self, program: str, seq: int, expected: str) -> None:
        """A caller has a call to make whose complete answer must be `expected`."""
        self._books[program].expected[seq] = expected

    def attempt(self, program: str, seq: int) -> None:
        """A caller sends the call, for the first time or again."""
        self._touched_since_attempt.discard((program, seq))

    def call_answered(self, program: str, seq: int, content: str) -> None:
        """A caller received an answer."""
        book = self._books[program]
        if content != book.expected[seq]:
            self._note(Invariant.WRONG_ANSWER, program, f'seq {seq}: {content[:60]!r}')
        if any(earlier not in book.answered for earlier in range(1, seq)):
            self._note(Invariant.ORDER, program, f'seq {seq} answered before its predecessors')
        book.answered[seq] = content

    def call_refused(self, program: str, seq: int, ran: Ran) -> None:
        """A caller was refused; "not run" must be true of the refused request.

        An earlier "unknown" for the same call stands: an entry that is cut off
        refuses truthfully what it does not run, while the owner that took
        over runs the call for the earlier request.
        """
        if ran is not Ran.NOT_RUN:
            self._open_attempts.add((program, seq))
        elif (program, seq) in self._open_attempts:
            return
        elif (program, seq) in self._touched_since_attempt:
            self._note(Invariant.FALSE_NOT_RUN, program, f'seq {seq} had run')

    def ended(self, program: str) -> None:
        """A caller was told that its program has ended."""
        self._books[program].ended = True

    def prompted(self, messages: list[Message], new_tokens: int, cached: int, wasted: int) -> None:
        """An engine began to work on a prompt; tokens as the engine counts them."""
        marker = find_marker(messages[-1].content)
        self._prompt_tokens += sum(count_tokens(m.content) for m in messages)
        self._wasted_tokens += wasted
        if marker is None or marker.program not in self._books:
            return
        self._touched_since_attempt.add((marker.program, marker.seq))
        self._judge_prompt(marker, messages)

    def charged(self, program: str, tokens: int) -> None:
        """A back end did work that costs budget."""
        book = self._books.get(program)
        if book is None:
            return
        root = self._books[book.root]
        root.spent += tokens
        if root.budget is not None and root.spent > root.budget:
            detail = f'spent {root.spent} of {root.budget}'
            self._note(Invariant.OVER_BUDGET, book.root, detail)

    def effect(self, program: str, seq: int, *, repeatable: bool) -> None:
        """A tool performed a call."""
        self._touched_since_attempt.add((program, seq))
        book = self._books.get(program)
        if book and any(earlier not in book.answered for earlier in range(1, seq)):
            self._note(Invariant.ORDER, program, f'tool seq {seq} ran before its predecessors')
        if repeatable:
            return
        self._effects[program, seq] += 1
        if self._effects[program, seq] > 1:
            self._note(Invariant.DOUBLED_EFFECT, program, f'seq {seq}')

    def memory_held(self, programs: list[str]) -> None:
        """Final reading of what engines still hold, by program name."""
        for program in programs:
            book = self._books.get(program)
            if book is not None and book.ended:
                self._note(Invariant.HELD_MEMORY, program, 'held after its end')

    def violations(self) -> list[Violation]:
        """Return every violation found."""
        return list(self._found)

    def counts(self) -> dict[str, int]:
        """Return the number of violations of each invariant."""
        totals = {invariant.value: 0 for invariant in Invariant}
        for violation in self._found:
            totals[violation.invariant.value] += 1
        return totals

    @property
    def wasted_cache_ratio(self) -> float:
        """Return recomputed prompt tokens over all prompt tokens."""
        return self._wasted_tokens / self._prompt_tokens if self._prompt_tokens else 0.0

    def _judge_prompt(self, marker: Marker, messages: list[Message]) -> None:
        book = self._books[marker.program]
        for message in messages:
            for program, _seq, _tokens in MARKER.findall(message.content):
                if program != marker.program:
                    self._note(Invariant.MIXED_HISTORY, marker.program, program)
        texts = [message.content for message in messages]
        position = -1
        for seq in sorted(s for s in book.answered if s < marker.seq):
            try:
                position = texts.index(book.answered[seq], position + 1)
            except ValueError:
                detail = f'seq {marker.seq} without the answer to {seq}'
                self._note(Invariant.LOST_HISTORY, marker.program, detail)
                return
        missing = [s for s in range(1, marker.seq) if s not in book.answered]
        if missing:
            detail = f'seq {marker.seq} before {missing}'
            self._note(Invariant.ORDER, marker.program, detail)

    def _note(self, invariant: Invariant, program: str, detail: str) -> None:
        self._found.append(Violation(invariant, program, detail))
