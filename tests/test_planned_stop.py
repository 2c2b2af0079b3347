"""Tests of the decisions of a planned stop, without a network."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from toucanlead_serving.planned_stop import (
    FIRST_REQUEST_WAIT_S,
    ConnectionState,
    PlannedStop,
)

GRACE_S = 7.4
LEAVING_S = 2.6
DEADLINE_S = 4.0


class ConnectionMachine(RuleBasedStateMachine):
    """One connection during a stop: whatever was read is answered, and then it ends.

    The caller sends requests, also several at once, until it sees or is told of the end.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.stop = PlannedStop()
        self.state = ConnectionState.NEW
        self.changed_at = 0.0
        self.read = 0  # requests that arrived whole and are not answered yet
        self.told = False  # the answer in progress announces the end
        self.closed = False
        self.ends_at = 0.0

    def change_to(self, state):
        self.state, self.changed_at = state, self.now

    def start_next(self):
        """Serve the next request, or refuse it at once."""
        self.ends_at = self.now + DEADLINE_S
        self.told = False
        self.change_to(ConnectionState.ANSWERING)
        if not self.stop.accepts(self.ends_at):
            self.send_head()
            self.end_answer()

    @precondition(lambda self: not self.closed and not self.told)
    @rule(count=st.integers(1, 3))
    def send_requests(self, count):
        self.read += count
        if self.state is not ConnectionState.ANSWERING:
            self.start_next()

    @precondition(lambda self: self.state is ConnectionState.ANSWERING and not self.told)
    @rule()
    def send_head(self):
        self.told = self.stop.ends_after_answer(self.read - 1)

    @precondition(lambda self: self.state is ConnectionState.ANSWERING)
    @rule()
    def end_answer(self):
        self.read -= 1
        if self.told or self.stop.ends_after_answer(self.read):
            assert not self.read, 'a request that was read is left without an answer'
            self.closed = True
            self.change_to(ConnectionState.ENDING)
        elif self.read:
            self.start_next()
        else:
            self.change_to(ConnectionState.IDLE)

    @precondition(lambda self: not self.stop.stopping)
    @rule()
    def begin_stop(self):
        self.stop.leave(self.now + GRACE_S)

    @precondition(lambda self: self.stop.stopping)
    @rule()
    def stop_accepting(self):
        self.now = max(self.now, self.stop.abort_at - GRACE_S + LEAVING_S)
        self.stop.close_connections()

    @rule(seconds=st.floats(0.01, 2.0))
    def wait(self, seconds):
        if self.state is ConnectionState.ANSWERING:
            seconds = min(seconds, max(0.0, self.ends_at - self.now))
        self.now += seconds

    @rule()
    def close_unused(self):
        if self.stop.should_close(self.state, self.now - self.changed_at):
            assert not self.read
            self.closed = True

    @invariant()
    def what_is_accepted_while_closing_ends_in_time(self):
        if self.state is ConnectionState.ANSWERING and self.changed_at >= (
            self.stop.abort_at - GRACE_S + LEAVING_S
        ):
            assert self.stop.phase.value != 'closing' or self.ends_at <= self.stop.abort_at


TestConnectionMachine = ConnectionMachine.TestCase
TestConnectionMachine.settings = settings(
    derandomize=True, max_examples=200, stateful_step_count=30, deadline=None
)


class TestPlannedStop:
    def test_nothing_ends_while_the_process_runs(self):
        stop = PlannedStop()
        assert stop.accepts(1e9)
        assert not stop.ends_after_answer(0)
        assert not any(stop.should_close(state, 60.0) for state in ConnectionState)

    def test_while_new_connections_come_each_gets_one_more_answer(self):
        stop = PlannedStop()
        stop.leave(7.4)
        assert stop.accepts(30.0)
        assert stop.ends_after_answer(0)
        assert not stop.ends_after_answer(1)
        assert not any(stop.should_close(state, 60.0) for state in ConnectionState)

    def test_later_only_requests_that_end_in_time_are_accepted(self):
        stop = PlannedStop()
        stop.leave(7.4)
        stop.close_connections()
        assert stop.accepts(7.4)
        assert not stop.accepts(7.5)

    def test_only_connections_that_nobody_waits_on_are_closed(self):
        stop = PlannedStop()
        stop.leave(7.4)
        stop.close_connections()
        assert stop.should_close(ConnectionState.IDLE, 0.0)
        assert not stop.should_close(ConnectionState.NEW, 0.5 * FIRST_REQUEST_WAIT_S)
        assert stop.should_close(ConnectionState.NEW, FIRST_REQUEST_WAIT_S)
        assert not stop.should_close(ConnectionState.READING, 60.0)
        assert not stop.should_close(ConnectionState.ANSWERING, 60.0)
