"""The fault matrix, regression cases, and broken variants that the matrix must detect."""

import json

import pytest

from toucanlead.status import ExitStatus
from toucanlead_core.codec import to_json
from toucanlead_core.errors import OutcomeUnknown, Step
from toucanlead_entry.journal import Journal
from toucanlead_entry.kv_records import journal_key
from toucanlead_entry.releaser import Releaser
from toucanlead_entry.tool_calls import ToolCalls
from toucanlead_kv.conditional_writer import ConditionalWriter
from toucanlead_kv.kv import Compare, Put
from toucanlead_state.budget import Escrow
from toucanlead_trials.fault_matrix import Case, Follow, run_case

from .utils.command import toucanlead


def invariants(*args, **fields):
    """Run one case and return the names of violated invariants."""
    return {v.invariant.value for v in run_case(Case(*args, **fields)).violations}


class TestMatrix:
    def test_no_fault_at_any_step_violates_an_invariant(self, tmp_path):
        result = toucanlead('faults', folder=tmp_path)
        report = json.loads((tmp_path / 'build' / 'faults.json').read_text())
        assert report['failed'] == [], result.stderr
        assert result.status == ExitStatus.SUCCESS, result.stdout
        assert report['cases'] == 372
        assert report['fired'] == report['cases']


class TestRegressions:
    """Cases that failed before; each test name states the rule that was violated."""

    def test_new_owners_not_run_is_not_passed_on_when_the_former_owner_ran_it(self):
        faults = ('process_dies', 'backend_leaving')
        assert invariants(faults, Step.ACCEPT, 2, 2) == set()

    def test_a_cancelled_call_that_was_sent_is_not_reported_as_not_run(self):
        assert invariants(('process_paused',), Step.RESERVE, 2, 1, True) == set()

    def test_slots_are_taken_only_from_the_holder_that_was_sealed(self):
        result = run_case(Case(('process_dies',), Step.SEND, 3, 2, True))
        assert result.unexpected == []
        assert result.answered == result.calls

    def test_a_claim_that_its_holder_voided_does_not_stay_in_doubt(self):
        result = run_case(Case(('zone_cut',), Step.CLAIM, 2, 1))
        assert result.answered == result.calls

    @pytest.mark.parametrize(
        ('first', 'step', 'second', 'later', 'seed'),
        [
            ('process_paused', Step.RESERVE, 'zone_cut_with_callers', Step.ANSWER, 32),
            ('zone_cut', Step.CLAIM, 'zone_cut_with_callers', Step.RECORD, 32),
            ('zone_cut', Step.ORDER, 'process_dies', Step.ANSWER, 33),
            ('process_paused', Step.ORDER, 'lease_lapsed', Step.RESERVE, 32),
        ],
    )
    def test_a_slot_being_claimed_is_not_loaded_from_checkpoints_alone(
        self, first, step, second, later, seed
    ):
        """A watch event can report a claim of a slot before the claim's request returns."""
        result = run_case(Case((first,), step, 2, seed, follow=Follow(second, later, 2)))
        assert result.violations == []
        assert not any('seq_gap' in text for text in result.unexpected)

    def test_a_backend_server_that_ended_holds_nothing(self):
        follow = Follow('backend_leaving', Step.ROUTE, 3)
        assert invariants(('zone_cut_with_callers',), Step.RESERVE, 3, 1, follow=follow) == set()

    def test_takeovers_do_not_use_up_the_budget(self):
        result = run_case(Case(('zone_cut_with_callers',), Step.ORDER, 3, 2, True))
        assert result.unexpected == []


class TestBrokenVariants:
    """Each test disables one mechanism, and the matrix must detect it."""

    def test_without_claims_an_effect_is_doubled(self, monkeypatch):
        async def no_claim(self, program, live, spec):
            return None

        monkeypatch.setattr(ToolCalls, '_claim', no_claim)
        assert 'doubled_effect' in invariants(('process_dies',), Step.ANSWER, 2, 1)

    def test_without_the_fence_a_paused_owner_still_writes(self, monkeypatch):
        async def write_unfenced(self, segment):
            put = Put(journal_key(self.holder, segment.index), to_json(segment))
            return await self._ctx.writer.write(put, 0)

        monkeypatch.setattr(Journal, '_write', write_unfenced)
        violated = set()
        for step, seq in [(Step.CLAIM, 2), (Step.ORDER, 2), (Step.RESERVE, 2)]:
            violated |= invariants(('process_paused',), step, seq, 1)
        assert violated & {'doubled_effect', 'lost_history', 'order', 'wrong_answer'}

    def test_without_read_back_an_answered_call_is_lost(self, monkeypatch):
        async def write_without_read_back(
            self, put, mod_rev, guards=None, deadline=None, extra=None
        ):
            try:
                compares = [Compare(put.key, mod_rev), *(guards or [])]
                return (await self._store.txn(compares, [put])).succeeded
            except OutcomeUnknown:
                return True

        monkeypatch.setattr(ConditionalWriter, 'write', write_without_read_back)
        follow = Follow('process_dies', Step.ANSWER, 2)
        assert 'doubled_effect' in invariants(('kv_down',), Step.ORDER, 2, 1, follow=follow)

    def test_without_escrow_two_owners_overspend(self, monkeypatch):
        def available_without_escrow(self, holder):
            return self.total - self.spent - self.reserved

        monkeypatch.setattr(Escrow, 'available', available_without_escrow)
        violated = set()
        for step in (Step.SEND, Step.STREAM, Step.ROUTE, Step.ANSWER):
            for budget in (65, 66, 68):
                violated |= invariants(('process_paused',), step, 3, 1, budget=budget)
        assert 'over_budget' in violated

    def test_without_release_memory_stays_held(self, monkeypatch):
        async def no_sweep(self):
            return None

        monkeypatch.setattr(Releaser, 'release', lambda self, owner, program: None)
        monkeypatch.setattr(Releaser, 'sweep', no_sweep)
        assert 'held_memory' in invariants(('events_gapped',), Step.ORDER, 2, 1)

    @pytest.mark.parametrize('budget', [65, 66, 68])
    def test_with_escrow_no_budget_is_exceeded(self, budget):
        for step in (Step.SEND, Step.STREAM, Step.ROUTE, Step.ANSWER):
            assert invariants(('process_paused',), step, 3, 1, budget=budget) == set()
