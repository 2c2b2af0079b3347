"""Who gives way when clients hold more than the VM has room for."""

import pytest

from toucanlead_core.connection_budget import (
    ALWAYS_HELD_BYTES,
    BODIES_ALWAYS_HELD,
    LEAVING_LIMIT_S,
    LEAVING_SHARE,
    STILL_S,
    Cause,
    ConnectionBudget,
    ConnectionHold,
)
from toucanlead_core.kernel_buffers import KernelBytes

MAX_BYTES = 1_000_000
MAX_LEAVING_BYTES = 500_000
MB_128 = 128


class Crowd:
    """A budget with connections that note why they were given up, and end then.

    Without `end_at_once`, they stay open until they are reset.
    """

    def __init__(self, max_connections=100, longest_body=0, end_at_once=True):
        self.budget = ConnectionBudget(
            MAX_BYTES, max_connections, lambda: longest_body, MAX_LEAVING_BYTES
        )
        self.given_up = []
        self.buffers = {}
        self.end_at_once = end_at_once
        self.now = 0.0

    def hold(self):
        def give_up(cause):
            self.given_up.append((hold, cause))
            if self.end_at_once:
                self.budget.close(hold)

        hold = ConnectionHold(
            give_up,
            self.now,
            lambda: self.buffers.get(hold, KernelBytes()),
            lambda: self.budget.close(hold),
        )
        return hold

    def open(self, **held):
        hold = self.hold()
        assert self.budget.open(hold)
        if held:
            self.budget.update(hold, self.now, **held)
        return hold

    @property
    def victims(self):
        return [hold for hold, _ in self.given_up]


class TestBytes:
    def test_nobody_gives_way_below_the_bound(self):
        crowd = Crowd()
        for _ in range(10):
            crowd.open(arriving=MAX_BYTES // 10)
        assert not crowd.victims
        assert crowd.budget.total == MAX_BYTES

    def test_the_largest_gives_way_first(self):
        crowd = Crowd()
        large, small = crowd.open(arriving=600_000), crowd.open(arriving=300_000)
        crowd.budget.update(small, crowd.now, arriving=500_000)
        assert crowd.victims == [large]
        assert crowd.budget.total == 500_000

    def test_what_stands_still_gives_way_before_the_largest(self):
        crowd = Crowd()
        still = crowd.open(arriving=100_000)
        crowd.now = STILL_S
        crowd.open(arriving=950_000)
        assert crowd.victims == [still]

    def test_what_is_behind_a_request_gives_way_before_all(self):
        crowd = Crowd()
        crowd.open(arriving=500_000)
        behind = crowd.open(arriving=100_000)
        behind.answering = behind.behind = True
        crowd.open(arriving=450_000)
        assert crowd.victims == [behind]

    def test_an_unread_answer_gives_way_and_a_request_being_served_does_not(self):
        crowd = Crowd()
        served = crowd.open(serving=700_000)
        served.answering = True
        unread = crowd.open(unread=200_000)
        unread.answering = True
        crowd.open(arriving=150_000)
        assert crowd.victims == [unread]

    def test_many_small_ones_are_bounded_too(self):
        crowd = Crowd(max_connections=1000)
        for _ in range(1000):
            crowd.open(arriving=ALWAYS_HELD_BYTES)
        assert crowd.budget.total <= MAX_BYTES
        assert {cause for _, cause in crowd.given_up} == {Cause.BYTES}

    def test_some_of_the_longest_bodies_always_fit(self):
        crowd = Crowd(longest_body=MAX_BYTES)
        for _ in range(BODIES_ALWAYS_HELD):
            crowd.open(arriving=MAX_BYTES)
        assert not crowd.victims

    def test_a_whole_request_is_accepted_unless_large_ones_fill_the_room(self):
        crowd = Crowd()
        first, second = crowd.open(serving=MAX_BYTES), crowd.open(serving=500_000)
        small = crowd.open(serving=1000)
        assert crowd.budget.accepts(small)
        assert not crowd.budget.accepts(second)
        crowd.budget.close(first)
        assert crowd.budget.accepts(second)

    def test_a_connection_that_ends_is_forgotten(self):
        crowd = Crowd()
        hold = crowd.open(arriving=1000, unread=5)
        crowd.budget.close(hold)
        crowd.budget.close(hold)
        crowd.budget.update(hold, 1.0, arriving=77)
        assert (crowd.budget.total, len(crowd.budget)) == (0, 0)


class TestLeaving:
    def test_what_is_given_up_counts_until_it_has_ended(self):
        crowd = Crowd(end_at_once=False)
        larger, large = crowd.open(arriving=700_000), crowd.open(arriving=600_000)
        other = crowd.open(arriving=500_000)
        assert crowd.victims == [larger, large]
        assert (crowd.budget.total, crowd.budget.leaving_bytes) == (500_000, 1_300_000)
        crowd.budget.update(other, crowd.now, arriving=0, serving=500_000)
        assert crowd.budget.accepts(other)
        crowd.budget.close(large)
        assert crowd.budget.leaving_bytes == 700_000
        crowd.budget.close(larger)
        assert crowd.budget.leaving_bytes == 0

    def test_new_ones_are_refused_while_too_many_have_not_ended(self):
        crowd = Crowd(max_connections=20, end_at_once=False)
        refused = 0
        for crowd.now in range(100):
            refused += not crowd.budget.open(crowd.hold())
        assert refused
        assert len(crowd.budget) == 20
        assert crowd.budget.leaving <= 20 * LEAVING_SHARE + 1
        crowd.now += LEAVING_LIMIT_S
        crowd.budget.sweep(crowd.now)
        assert crowd.budget.leaving == 0
        assert crowd.budget.open(crowd.hold())

    def test_nobody_lingers_while_what_has_not_ended_fills_its_room(self):
        crowd = Crowd(end_at_once=False)
        crowd.open(arriving=MAX_LEAVING_BYTES + 1)
        assert crowd.budget.may_linger
        crowd.open(arriving=MAX_LEAVING_BYTES + 1)
        assert crowd.budget.leaving_bytes > MAX_LEAVING_BYTES
        assert not crowd.budget.may_linger
        crowd.budget.close(crowd.victims[0])
        assert crowd.budget.may_linger

    def test_one_whose_request_runs_is_not_reset(self):
        crowd = Crowd(end_at_once=False)
        behind = crowd.open(serving=1000, arriving=600_000)
        behind.answering = behind.behind = True
        crowd.open(arriving=500_000)
        assert crowd.victims == [behind]
        crowd.budget.sweep(LEAVING_LIMIT_S)
        assert crowd.budget.leaving == 1


class TestBuffers:
    def test_what_the_socket_holds_gives_way_too(self):
        crowd = Crowd()
        unsent = crowd.open(buffered=KernelBytes(unsent=600_000))
        crowd.buffers[unsent] = unsent.buffered
        crowd.open(arriving=500_000)
        assert crowd.victims == [unsent]

    def test_a_client_that_has_read_meanwhile_stays(self):
        crowd = Crowd()
        unsent = crowd.open(buffered=KernelBytes(unsent=600_000))
        crowd.buffers[unsent] = KernelBytes()
        crowd.open(arriving=500_000)
        assert not crowd.victims
        assert crowd.budget.total == 500_000

    def test_buffers_that_fill_by_themselves_are_found(self):
        crowd = Crowd()
        holds = [crowd.open() for _ in range(4)]
        for hold in holds:
            hold.watched = True
            crowd.buffers[hold] = KernelBytes(unread=400_000)
        crowd.budget.sweep(1.0)
        assert len(crowd.victims) == 2
        assert crowd.budget.total == 800_000


class TestConnections:
    def test_the_one_that_has_been_still_for_longest_gives_way(self):
        crowd = Crowd(max_connections=3)
        idle = []
        for crowd.now in (1.0, 2.0, 3.0):
            idle.append(crowd.open())
        crowd.budget.update(idle[0], 4.0, arriving=1)
        crowd.open()
        assert crowd.given_up == [(idle[1], Cause.CONNECTIONS)]

    def test_one_that_waits_for_an_answer_stays_and_a_new_one_is_refused(self):
        crowd = Crowd(max_connections=2)
        for _ in range(2):
            crowd.open(serving=1).answering = True
        assert not crowd.budget.open(ConnectionHold(lambda cause: None, 0.0))
        assert not crowd.victims
        assert crowd.budget.given_up[Cause.CONNECTIONS] == 1

    @pytest.mark.parametrize(
        ('memory_mb', 'descriptors', 'connections'),
        [(MB_128, 4100, 1024), (MB_128, 256, 128), (1024, 65_536, 8192)],
    )
    def test_memory_and_descriptors_bound_them(self, memory_mb, descriptors, connections):
        budget = ConnectionBudget.for_vm(memory_mb, descriptors)
        assert budget.max_connections == connections
        assert budget.max_bytes == memory_mb * 131_072
