"""Verdicts on requests that crash replicas, whatever else runs there."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from toucanlead_core.crash_messages import BrokenRequest, CrashReport
from toucanlead_policy.crash_judge import (
    MAX_CONTENTS,
    MAX_CRASHES,
    MEMORY_S,
    MIN_CRASHES,
    SETTLE_S,
    CrashJudge,
    VerdictTable,
)
from toucanlead_serving.crash_verdicts import DECIDE_AFTER_S

DEADLY = 'whole:deadly'


def sound(number):
    """Return the content of a sound request."""
    return f'whole:sound-{number}'


def report(replica, *without_output, with_output=()):
    """Return the report of a crash."""
    requests = [BrokenRequest(content, False) for content in without_output]
    requests += [BrokenRequest(content, True) for content in with_output]
    return CrashReport(replica, tuple(requests))


class CrashMachine(RuleBasedStateMachine):
    """Replicas crash under a deadly request or by themselves, with sound requests beside.

    Several entries report each crash, in any order. A sound request runs at two replicas that
    crash at most: then it is answered.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.judge = CrashJudge()
        self.crashes = 0
        self.deadly_crashes = 0
        self.beside = {}

    @rule(seconds=st.floats(0.1, 20.0))
    def wait(self, seconds):
        self.now += seconds

    @rule(
        deadly=st.booleans(),
        beside=st.sets(st.integers(0, 11), max_size=8),
        entries=st.integers(1, 3),
    )
    def crash(self, deadly, beside, entries):
        self.crashes += 1
        self.deadly_crashes += deadly
        replica = f'i-{self.crashes}@1'
        contents = [sound(n) for n in sorted(beside) if self.beside.get(n, 0) < 2]
        for n in beside:
            self.beside[n] = self.beside.get(n, 0) + 1
        contents += [DEADLY] if deadly else []
        for entry in range(entries):
            self.judge.record(report(replica, *contents[entry::entries]), self.now)

    @rule(n=st.integers(0, 11))
    def answer(self, n):
        self.judge.record(CrashReport(cleared=(sound(n),)), self.now)
        self.beside[n] = 0

    @invariant()
    def only_the_deadly_one_is_condemned(self):
        later = self.now + DECIDE_AFTER_S
        condemned = self.judge.condemned(later)
        assert set(condemned) <= {DEADLY}
        if self.deadly_crashes >= MIN_CRASHES and self.now < MEMORY_S / 2:
            assert DEADLY in condemned


TestVerdicts = CrashMachine.TestCase
TestVerdicts.settings = settings(max_examples=200, stateful_step_count=25, deadline=None)


class TestEvidence:
    def condemned(self, *reports):
        judge = CrashJudge()
        for number, item in enumerate(reports):
            judge.record(item, float(number))
        return set(judge.condemned(len(reports) + SETTLE_S))

    def test_a_request_beside_the_deadly_one_is_explained_by_it(self):
        reports = [report(f'i-{n}', DEADLY, sound(1)) for n in range(3)]
        assert self.condemned(*reports, report('i-9', DEADLY)) == {DEADLY}

    def test_requests_that_were_always_together_wait_for_more_evidence(self):
        reports = [report(f'i-{n}', DEADLY, sound(1)) for n in range(4)]
        assert self.condemned(*reports) == set()
        assert DEADLY in self.condemned(*reports, report('i-9', DEADLY, sound(1)))

    def test_output_speaks_for_a_request(self):
        reports = [report(f'i-{n}', DEADLY, with_output=[sound(1)]) for n in range(3)]
        assert self.condemned(*reports) == {DEADLY}

    def test_a_request_that_crashes_after_some_output_is_found(self):
        reports = [report(f'i-{n}', with_output=[DEADLY, sound(n)]) for n in range(3)]
        assert self.condemned(*reports) == {DEADLY}

    def test_one_crash_reported_by_several_entries_counts_once(self):
        assert self.condemned(*[report('i-1', DEADLY)] * 5) == set()

    def test_two_deadly_requests_are_both_found(self):
        other = 'whole:other'
        reports = [report(f'i-{n}', DEADLY) for n in range(3)]
        reports += [report(f'j-{n}', other) for n in range(3)]
        assert self.condemned(*reports, report('k', DEADLY, other)) == {DEADLY, other}


class TestBounds:
    def test_crashes_and_contents_are_bounded(self):
        judge = CrashJudge()
        for number in range(2 * MAX_CRASHES):
            contents = [f'whole:{number}-{n}' for n in range(2 * MAX_CONTENTS)]
            judge.record(report(f'i-{number}', *contents), number * 1e-3)
        assert len(judge._crashes) <= MAX_CRASHES
        assert all(len(c.without_output) <= MAX_CONTENTS for c in judge._crashes.values())

    def test_old_crashes_are_forgotten(self):
        judge = CrashJudge()
        for number in range(2):
            judge.record(report(f'i-{number}', DEADLY), 0.0)
        judge.record(report('i-9', DEADLY), MEMORY_S + 1.0)
        assert judge.condemned(MEMORY_S + 2.0) == {}

    def test_verdicts_are_bounded_and_end(self):
        table = VerdictTable(max_verdicts=3)
        for number in range(5):
            table.add(f'whole:{number}', ends_at=10.0 + number)
        assert len(table) == 3
        assert table.left_s('whole:4', 13.0) == 1.0
        assert table.left_s('whole:4', 14.0) == 0.0
