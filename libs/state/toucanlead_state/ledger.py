"""Ledger: the state of the programs whose slots one entry owns, built from records."""

from attrs import define, field

from toucanlead_core.messages import Message, ProgramView, count_tokens

from .budget import Escrow
from .records import (
    Adopted,
    Branched,
    Claimed,
    Ended,
    Finished,
    Forgotten,
    Granted,
    Opened,
    Record,
    Released,
    Settled,
    Spent,
    Unclaimed,
)


@define
class PendingClaim:
    """A claim without an outcome and the holder that made it."""

    claim: Claimed
    holder: str


@define
class Program:
    """The durable state of one program.

    `claims` is keyed by call number, and `replicas` may have the program cached.
    `applied` gives, by journal, the index of the first segment that the program's
    checkpoint does not contain. The `saved` fields count the turns and parts in that
    checkpoint; `head_rev` is the revision of its head.
    """

    opened: Opened
    escrow: Escrow | None = None
    turns: list[Finished] = field(factory=list)
    messages: list[Message] = field(factory=list)
    tokens: int = 0
    text_bytes: int = 0
    claims: dict[int, PendingClaim] = field(factory=dict)
    replicas: set[str] = field(factory=set)
    branches: list[Finished] = field(factory=list)
    ended: bool = False
    applied: dict[str, int] = field(factory=dict)
    saved_turns: int = 0
    saved_parts: int = 0
    head_rev: int = 0

    @property
    def program_id(self) -> str:
        """Return the program's id."""
        return self.opened.program_id

    @property
    def next_seq(self) -> int:
        """Return the number of the next call to take effect."""
        return len(self.turns) + 1

    @property
    def attained(self) -> int:
        """Return the service that this program has received, in tokens."""
        return sum(turn.answer.cost for turn in self.turns)

    def append(self, turn: Finished) -> None:
        """Append a turn to the history."""
        self.turns.append(turn)
        answer = Message(answer_role(turn), turn.answer.content)
        for message in (*turn.req.messages, answer):
            self.messages.append(message)
            self.tokens += count_tokens(message.content)
            self.text_bytes += len(message.content)

    def history(self) -> list[Message]:
        """Return the whole history as messages, in order."""
        return list(self.messages)


def answer_role(turn: Finished) -> str:
    """Return the message role of a turn's answer."""
    return 'assistant' if turn.req.kind == 'model' else 'tool'


class Ledger:
    """Holds the programs of the owned slots; `apply` changes their state."""

    def __init__(self) -> None:
        self.programs: dict[str, Program] = {}

    def root_of(self, program: Program) -> Program:
        """Return the root program, which holds the budget of all its sub-agents."""
        while program.opened.parent is not None:
            parent = self.programs.get(program.opened.parent)
            if parent is None:
                break
            program = parent
        return program

    def escrow_of(self, program: Program) -> Escrow:
        """Return the escrow of a program's root."""
        root = self.root_of(program)
        if root.escrow is None:
            root.escrow = Escrow(total=0)
        return root.escrow

    def children_of(self, program_id: str) -> list[Program]:
        """Return the sub-agents that a program has opened."""
        return [p for p in self.programs.values() if p.opened.parent == program_id]

    def view(self, program: Program, *, with_history: bool) -> ProgramView:
        """Return what operators and callers are shown of a program."""
        escrow = self.escrow_of(program)
        return ProgramView(
            program_id=program.program_id,
            team=program.opened.team,
            model=program.opened.model,
            budget=escrow.total,
            spent=escrow.spent,
            granted=escrow.granted,
            ended=program.ended,
            turns=len(program.turns),
            doubts=sorted(program.claims),
            history=program.history() if with_history else [],
            branches=len(program.branches),
        )

    def apply(self, record: Record, holder: str) -> None:
        """Apply one durable record written by a holder; ignore unknown programs."""
        if isinstance(record, Opened):
            self._apply_opened(record, holder)
            return
        program = self.programs.get(record.program_id)
        if program is not None:
            _APPLY_BY_TYPE[type(record)](self, program, record, holder)

    def _apply_opened(self, record: Opened, holder: str) -> None:
        if record.program_id in self.programs:
            return
        program = Program(opened=record)
        if record.parent is None:
            program.escrow = Escrow(total=record.budget)
        self.programs[record.program_id] = program
        self.escrow_of(program).grant(holder, record.grant)

    def _apply_granted(self, program: Program, record: Granted, holder: str) -> None:
        self.escrow_of(program).grant(holder, record.units)

    def _apply_claimed(self, program: Program, record: Claimed, holder: str) -> None:
        program.claims[record.seq] = PendingClaim(record, holder)

    def _apply_unclaimed(self, program: Program, record: Unclaimed, holder: str) -> None:
        program.claims.pop(record.seq, None)

    def _apply_finished(self, program: Program, record: Finished, holder: str) -> None:
        if self._append_turn(program, record, holder):
            self.escrow_of(program).grant(holder, record.grant)

    def _append_turn(self, program: Program, finished: Finished, holder: str) -> bool:
        if finished.seq != program.next_seq:
            return False
        program.append(finished)
        program.claims.pop(finished.seq, None)
        if finished.answer.replica and finished.req.kind == 'model':
            program.replicas.add(finished.answer.replica)
        self.escrow_of(program).spend(holder, finished.answer.cost)
        return True

    def _apply_adopted(self, program: Program, record: Adopted, holder: str) -> None:
        self._append_turn(program, record.finished, record.holder)

    def _apply_spent(self, program: Program, record: Spent, holder: str) -> None:
        self.escrow_of(program).spend(holder, record.units)
        if record.replica:
            program.replicas.add(record.replica)

    def _apply_settled(self, program: Program, record: Settled, holder: str) -> None:
        self.escrow_of(program).settle(record.holder, record.limit)

    def _apply_branched(self, program: Program, record: Branched, holder: str) -> None:
        program.branches.append(record.finished)
        self.escrow_of(program).spend(record.holder, record.finished.answer.cost)

    def _apply_ended(self, program: Program, record: Ended, holder: str) -> None:
        program.ended = True

    def _apply_released(self, program: Program, record: Released, holder: str) -> None:
        program.replicas.discard(record.replica)

    def _apply_forgotten(self, program: Program, record: Forgotten, holder: str) -> None:
        self.programs.pop(program.program_id, None)


_APPLY_BY_TYPE = {
    Granted: Ledger._apply_granted,
    Claimed: Ledger._apply_claimed,
    Unclaimed: Ledger._apply_unclaimed,
    Finished: Ledger._apply_finished,
    Spent: Ledger._apply_spent,
    Settled: Ledger._apply_settled,
    Adopted: Ledger._apply_adopted,
    Branched: Ledger._apply_branched,
    Ended: Ledger._apply_ended,
    Released: Ledger._apply_released,
    Forgotten: Ledger._apply_forgotten,
}
