"""Allowances: the tokens of one program at one entry."""

import asyncio

from toucanlead_core.timers import Timers
from toucanlead_serving.allowance import LOAN_LIFE_S, Allowance


class FakeTimers(Timers):
    """Time that stands still."""

    def now(self):
        return 0.0

    async def sleep(self, delay_s):
        await asyncio.sleep(0)

    def every(self, period_s, callback, name):
        raise AssertionError('no timer is wanted')


class TestAllowance:
    def test_nothing_is_handed_out_without_a_grant(self):
        assert not Allowance('p', 1000).reserve(1)

    def test_what_a_turn_did_not_use_may_be_reserved_again(self):
        allowance = Allowance('p', 1000)
        allowance.grant(300, 300, 1)
        assert allowance.reserve(290)
        assert not allowance.reserve(290)
        allowance.settle(290, 70)
        assert allowance.available == 230

    def test_loans_come_back_or_count_as_spent(self):
        allowance = Allowance('p', 1000)
        allowance.grant(600, 600, 1)
        assert allowance.lend(290, now=0.0)
        allowance.repaid(200, 90)
        assert (allowance.available, allowance.spent, allowance.lent) == (510, 90, 0)
        assert allowance.lend(290, now=1.0)
        allowance.write_off_loans(now=1.0 + LOAN_LIFE_S)
        assert allowance.lent == 290
        allowance.write_off_loans(now=1.1 + LOAN_LIFE_S)
        assert (allowance.lent, allowance.spent) == (0, 380)

    def test_a_grant_leaves_something_for_other_entries(self):
        allowance = Allowance('p', 5000)
        assert allowance.next_grant(290) == 2500

    def test_a_remainder_too_small_for_a_turn_is_taken_too(self):
        allowance = Allowance('p', 870)
        assert allowance.next_grant(290) == 580
        allowance.grant(580, 580, 1)
        allowance.spent = 580
        assert allowance.next_grant(290) == 290
        assert Allowance('p', 800).next_grant(290) == 800
