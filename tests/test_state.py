"""State machines without I/O: budget escrow, batcher, ledger and checkpoints."""

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from toucanlead_core.codec import from_json, to_json
from toucanlead_core.messages import Answer, CallKind, CallReq, Message
from toucanlead_state.batcher import SEGMENT_LIMIT_BYTES, Batcher
from toucanlead_state.budget import Escrow, next_grant
from toucanlead_state.checkpoint import Head, Part, make_head, restore, unsaved_parts
from toucanlead_state.ledger import Ledger
from toucanlead_state.records import Adopted, Finished, Opened, Segment, Unclaimed

HOLDERS = st.sampled_from(['a.1', 'b.1', 'c.1'])
FUZZ = 'TOUCANLEAD_FUZZ' in os.environ  # set by `make fuzz`: more examples, from random seeds
MACHINE_SETTINGS = settings(
    derandomize=not FUZZ,
    max_examples=3000 if FUZZ else 60,
    stateful_step_count=60 if FUZZ else 30,
    deadline=None,
)


def finished(seq, cost=5, grant=0, text='answer'):
    req = CallReq(seq, CallKind.MODEL, [Message('user', f'q{seq}')])
    answer = Answer('p0000-x', seq, text, cost, replica='r1')
    return Finished('p0000-x', seq, req.digest(), req, answer, grant)


def opened(budget=1000, grant=100):
    return Opened('p0000-x', 'team', 'm', budget, 'k', 60.0, None, grant, 'd')


class EscrowMachine(RuleBasedStateMachine):
    """The budget is never exceeded while several holders believe that they own the program.

    A holder that is paused or cut off may keep spending from its grants without a
    record of it in the escrow.
    """

    def __init__(self):
        super().__init__()
        self.escrow = Escrow(total=500)
        self.unspent = dict.fromkeys(('a.1', 'b.1', 'c.1'), 0)
        self.actually_spent = 0

    @rule(holder=HOLDERS, wanted=st.integers(1, 200), ahead=st.integers(0, 100))
    def grant(self, holder, wanted, ahead):
        tokens = next_grant(self.escrow, holder, wanted, ahead)
        self.escrow.grant(holder, tokens)
        self.unspent[holder] += tokens

    @rule(holder=HOLDERS, tokens=st.integers(1, 120))
    def spend_unrecorded(self, holder, tokens):
        """A paused or cut-off holder spends from its own grants without a record."""
        if tokens <= self.unspent[holder]:
            self.unspent[holder] -= tokens
            self.actually_spent += tokens

    @rule(holder=HOLDERS, tokens=st.integers(1, 120))
    def spend_recorded(self, holder, tokens):
        if tokens <= self.unspent[holder]:
            self.unspent[holder] -= tokens
            self.actually_spent += tokens
            self.escrow.spend(holder, tokens)

    @rule(holder=HOLDERS)
    def settle(self, holder):
        """The holder stops and reports the most that it can have spent."""
        grant = self.escrow.grants.get(holder)
        if grant is not None:
            self.escrow.settle(holder, grant.granted - self.unspent[holder])
            self.unspent[holder] = 0

    @invariant()
    def never_over_budget(self):
        assert self.actually_spent <= self.escrow.total
        assert self.escrow.granted <= self.escrow.total
        assert self.actually_spent <= self.escrow.granted


class BatcherMachine(RuleBasedStateMachine):
    """Each record is committed once, in order, in segments within the size limit."""

    def __init__(self):
        super().__init__()
        self.batcher = Batcher('a.1', 0.01)
        self.now = 0.0
        self.added = []
        self.durable = []
        self.tickets = []

    @rule(size=st.sampled_from([10, 1000, 200_000, 400_000]), urgent=st.booleans())
    def add(self, size, urgent):
        records = [finished(len(self.added) + 1, text='x' * size)]
        self.tickets.append(self.batcher.add(records, self.now, urgent=urgent))
        self.added.extend(records)
        self.now += 0.001

    @precondition(lambda self: self.batcher.due_at() is not None)
    @rule()
    def start(self):
        segment = self.batcher.start('n', self.now)
        assert len(to_json(segment)) <= SEGMENT_LIMIT_BYTES
        assert segment.records

    @precondition(lambda self: self.batcher.in_flight is not None)
    @rule()
    def commit(self):
        self.durable.extend(self.batcher.in_flight.records)
        committed = self.batcher.mark_committed()
        assert committed == self.tickets[: len(committed)]
        self.tickets = self.tickets[len(committed) :]

    @invariant()
    def order_is_kept_and_nothing_lost(self):
        assert self.durable + self.batcher.uncommitted() == self.added


TestEscrow = EscrowMachine.TestCase
TestEscrow.settings = MACHINE_SETTINGS
TestBatcher = BatcherMachine.TestCase
TestBatcher.settings = MACHINE_SETTINGS


class TestLedger:
    def test_outcomes_apply_once_and_in_order(self):
        ledger = Ledger()
        ledger.apply(opened(), 'a.1')
        for seq in (1, 1, 3, 2):
            ledger.apply(finished(seq), 'a.1')
        program = ledger.programs['p0000-x']
        assert [t.seq for t in program.turns] == [1, 2]
        assert ledger.escrow_of(program).spent == 10

    def test_an_adopted_outcome_is_paid_from_its_holders_grant(self):
        ledger = Ledger()
        ledger.apply(opened(), 'a.1')
        ledger.apply(Adopted('p0000-x', 'a.1', finished(1, cost=40)), 'b.1')
        escrow = ledger.escrow_of(ledger.programs['p0000-x'])
        assert escrow.grants['a.1'].spent == 40
        assert 'b.1' not in escrow.grants

    def test_records_of_unknown_programs_are_ignored(self):
        ledger = Ledger()
        ledger.apply(Unclaimed('p0000-y', 1), 'a.1')
        assert ledger.programs == {}

    def test_records_round_trip_through_json(self):
        segment = Segment('n', 'a.1', 0, [opened(), finished(1), Unclaimed('p0000-x', 2)])
        assert from_json(to_json(segment), Segment) == segment


class TestCheckpoint:
    def test_the_longest_program_is_split_under_a_megabyte_and_reassembled(self):
        ledger = Ledger()
        ledger.apply(opened(budget=2_000_000), 'a.1')
        program = ledger.programs['p0000-x']
        words = 'tok ' * (760_000 // 260)
        for seq in range(1, 261):
            ledger.apply(finished(seq, cost=1, text=f'{seq} {words}'), 'a.1')
        parts = unsaved_parts(program)
        encoded = [to_json(part) for part in parts]
        assert max(len(data) for data in encoded) < 1_000_000
        head = from_json(to_json(make_head(program, len(parts), {'a.1': 260}, 'n')), Head)
        restored = restore(head, [from_json(data, Part) for data in encoded], 7)
        assert restored.turns == program.turns
        assert restored.escrow.grants == program.escrow.grants
