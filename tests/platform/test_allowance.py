"""Tests of the token accounting for one program at one entry."""

import asyncio

from toucanlead_core.timers import Timers
from toucanlead_serving.allowance import (
    LOAN_EXPIRY_S,
    Allowance,
    BudgetRecord,
    PendingGrant,
    Share,
)

OWN_SHARE = Share('a', 'n1')


class FakeTimers(Timers):
    """A clock that always shows 0 and sleeps that end at once."""

    def now(self):
        return 0.0

    async def sleep(self, delay_s):
        await asyncio.sleep(0)

    def every(self, period_s, callback, name):
        raise AssertionError('periodic timers are not used')


def make_allowance(budget, granted=0):
    allowance = Allowance('p', BudgetRecord(budget, 0))
    if granted:
        allowance.pending = PendingGrant(BudgetRecord(budget, granted, (OWN_SHARE,)), granted)
        allowance.confirm_pending(1)
    return allowance


class TestAllowance:
    def test_nothing_is_handed_out_without_a_grant(self):
        assert make_allowance(1000).reserve(1) == 0

    def test_what_a_turn_did_not_use_may_be_reserved_again(self):
        allowance = make_allowance(1000, granted=300)
        assert allowance.reserve(290)
        assert not allowance.reserve(290)
        allowance.settle(290, 70)
        assert allowance.available == 230

    def test_loans_come_back_or_count_as_spent(self):
        allowance = make_allowance(1000, granted=600)
        assert allowance.lend(290, now=0.0) == 290
        allowance.accept_repayment(200, 90)
        assert (allowance.available, allowance.spent, allowance.lent) == (510, 90, 0)
        assert allowance.lend(290, now=1.0) == 290
        allowance.expire_loans(now=1.0 + LOAN_EXPIRY_S)
        assert allowance.lent == 290
        allowance.expire_loans(now=1.1 + LOAN_EXPIRY_S)
        assert (allowance.lent, allowance.spent) == (0, 380)

    def test_a_grant_leaves_something_for_other_entries(self):
        assert make_allowance(5000).next_grant_size(290) == 2500

    def test_a_remainder_too_small_for_a_turn_is_taken_too(self):
        assert make_allowance(870).next_grant_size(290) == 580
        allowance = make_allowance(870, granted=580)
        allowance.spent = 580
        assert allowance.next_grant_size(290) == 290
        assert make_allowance(800).next_grant_size(290) == 800

    def test_a_write_without_an_answer_is_made_again_as_it_was(self):
        allowance = make_allowance(1000)
        first = allowance.prepare_write(290, OWN_SHARE)
        assert allowance.prepare_write(100, Share('a', 'n2')) is first

    def test_a_pending_grant_that_others_wrote_over_is_still_found(self):
        allowance = make_allowance(1000)
        pending = allowance.prepare_write(290, OWN_SHARE)
        other = pending.record.with_share(300, Share('b', 'n9'))
        allowance.replace_record(other, 7)
        assert allowance.granted == pending.tokens
        assert allowance.lenders('a') == ['b']

    def test_a_debt_made_while_a_write_was_pending_is_covered_by_it(self):
        allowance = make_allowance(1000)
        pending = allowance.prepare_write(290, OWN_SHARE)
        allowance.grant_on_debt(290)
        allowance.confirm_pending(3)
        assert allowance.debt == 0
        assert allowance.granted == pending.tokens
