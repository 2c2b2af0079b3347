"""Any order of what connections do to their budget, with connections that take time to end."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from toucanlead_core.connection_budget import (
    ALWAYS_HELD_BYTES,
    LEAVING_LIMIT_S,
    LEAVING_SHARE,
    WHOLE_COPIES,
    ConnectionBudget,
    ConnectionHold,
)
from toucanlead_core.kernel_buffers import KernelBytes

MAX_BYTES = 400_000
MAX_LEAVING_BYTES = 250_000
MAX_CONNECTIONS = 8
SIZES = st.integers(0, 150_000)
PICKS = st.integers(0, 1000)


class Connection:
    """A connection whose buffers fill and drain, and that ends only when it is told to."""

    def __init__(self, now):
        self.hold = ConnectionHold(self.give_up, now, lambda: self.buffers, self.reset)
        self.buffers = KernelBytes()
        self.causes = []
        self.was_running = False
        self.has_ended = False

    def give_up(self, cause):
        self.causes.append(cause)
        self.was_running = self.hold.answering and not self.hold.yieldable

    def reset(self):
        self.has_ended = True


class ConnectionMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.budget = ConnectionBudget(
            MAX_BYTES, MAX_CONNECTIONS, max_leaving_bytes=MAX_LEAVING_BYTES
        )
        self.conns = []
        self.now = 0.0

    def pick(self, number):
        return self.conns[number % len(self.conns)]

    @rule()
    def open(self):
        conn = Connection(self.now)
        if self.budget.open(conn.hold):
            self.conns.append(conn)
        else:
            ending = [each for each in self.conns if each.causes and not each.hold.answering]
            waiting = [each for each in self.conns if each.hold.answering]
            assert len(ending) > MAX_CONNECTIONS * LEAVING_SHARE or len(waiting) >= MAX_CONNECTIONS

    @precondition(lambda self: self.conns)
    @rule(number=PICKS, size=SIZES)
    def receive(self, number, size):
        conn = self.pick(number)
        if not conn.causes:
            conn.hold.behind = conn.hold.answering
            self.budget.update(conn.hold, self.now, arriving=size)

    @precondition(lambda self: self.conns)
    @rule(number=PICKS, size=SIZES)
    def serve(self, number, size):
        conn = self.pick(number)
        if conn.causes or conn.hold.answering:
            return
        conn.hold.answering = True
        self.budget.update(conn.hold, self.now, arriving=0, serving=WHOLE_COPIES * size)
        small = conn.hold.held <= WHOLE_COPIES * ALWAYS_HELD_BYTES
        fits = self.budget.total <= self.budget.bound
        assert self.budget.accepts(conn.hold) == (small or fits)

    @precondition(lambda self: self.conns)
    @rule(number=PICKS, left=SIZES, unsent=SIZES)
    def answer(self, number, left, unsent):
        conn = self.pick(number)
        if conn.hold.answering and not conn.causes:
            conn.buffers = KernelBytes(conn.buffers.unread, unsent)
            self.budget.update(conn.hold, self.now, unread=left, buffered=conn.buffers)

    @precondition(lambda self: self.conns)
    @rule(number=PICKS)
    def finish(self, number):
        conn = self.pick(number)
        conn.hold.answering = conn.hold.behind = False
        self.budget.update(conn.hold, self.now, serving=0, unread=0)

    @precondition(lambda self: self.conns)
    @rule(number=PICKS, unread=SIZES, unsent=SIZES)
    def buffers_change_unseen(self, number, unread, unsent):
        conn = self.pick(number)
        conn.hold.watched = True
        conn.buffers = KernelBytes(unread, unsent)

    @precondition(lambda self: self.conns)
    @rule(number=PICKS)
    def end(self, number):
        conn = self.pick(number)
        self.conns.remove(conn)
        self.budget.close(conn.hold)

    @rule(seconds=st.sampled_from((0.01, 0.3, 1.0, LEAVING_LIMIT_S)))
    def sweep_later(self, seconds):
        self.now += seconds
        self.budget.sweep(self.now)
        for conn in [each for each in self.conns if each.has_ended]:
            assert conn.causes
            self.conns.remove(conn)
            self.budget.close(conn.hold)
        for conn in self.conns:
            late = self.now - conn.hold.given_up_at >= LEAVING_LIMIT_S
            assert not conn.causes or conn.hold.answering or not late

    @invariant()
    def every_open_connection_counts(self):
        staying = [each for each in self.conns if not each.causes]
        leaving = [each for each in self.conns if each.causes]
        assert len(self.budget) == len(staying) <= MAX_CONNECTIONS
        assert self.budget.leaving == len(leaving)
        assert self.budget.total == sum(each.hold.held for each in staying) >= 0
        assert self.budget.leaving_bytes == sum(each.hold.held for each in leaving)

    @invariant()
    def the_rest_is_above_the_bound_only_if_nobody_can_give_way(self):
        if self.budget.total > self.budget.bound:
            for conn in self.conns:
                hold = conn.hold
                assert conn.causes or hold.yieldable <= ALWAYS_HELD_BYTES
                assert conn.causes or hold.answering or not hold.yieldable

    @invariant()
    def each_is_given_up_once_and_never_for_a_request_that_runs(self):
        for conn in self.conns:
            assert len(conn.causes) <= 1
            assert not conn.was_running


TestConnectionMachine = ConnectionMachine.TestCase
TestConnectionMachine.settings = settings(
    max_examples=200, stateful_step_count=60, deadline=None, derandomize=True
)
