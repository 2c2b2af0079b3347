"""The rules that tell which version began a stream, against random releases and power cuts.

The model plays the key-value service's list, the archives' notes and the memory of several
entries. What an entry believes of a stream must be the truth, or that it does not know.
"""

from attrs import define, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from toucanlead_policy.stream_versions import (
    STREAM_LIFETIME_S,
    UNKNOWN_VERSION,
    ServiceVersions,
)

VERSIONS = ('v1', 'v2', 'v3')
ENTRIES = 3


class TestServiceVersions:
    def test_one_version_alone_is_known(self):
        versions = ServiceVersions(frozenset({'v1'}))
        versions.observe({'v1'}, True, 0.0)
        assert versions.only_version == 'v1'

    def test_nothing_is_known_without_a_list_or_of_what_began_before_it(self):
        for listed in (frozenset(), frozenset({'v1', UNKNOWN_VERSION})):
            versions = ServiceVersions(listed)
            versions.observe({'v1'}, True, 0.0)
            assert versions.only_version is None

    def test_a_version_that_left_is_possible_until_its_streams_have_ended(self):
        versions = ServiceVersions(frozenset({'v1', 'v2'}))
        versions.observe({'v2'}, True, 0.0)
        versions.observe({'v2'}, True, STREAM_LIFETIME_S)
        assert versions.outlived(STREAM_LIFETIME_S) == frozenset()
        assert versions.outlived(STREAM_LIFETIME_S + 0.1) == {'v1'}

    def test_absence_counts_from_anew_after_a_gap_in_what_is_known(self):
        versions = ServiceVersions(frozenset({'v1', 'v2'}))
        versions.observe({'v2'}, True, 0.0)
        versions.observe({'v2'}, False, 20.0)
        versions.observe({'v2'}, True, 21.0)
        assert versions.outlived(STREAM_LIFETIME_S + 1.0) == frozenset()
        assert versions.outlived(21.0 + STREAM_LIFETIME_S + 0.1) == {'v1'}

    def test_new_streams_begin_at_a_listed_version_as_long_as_there_is_one(self):
        versions = ServiceVersions(frozenset({'v1'}))
        versions.observe({'v1', 'v2'}, True, 0.0)
        assert versions.to_prefer() == {'v1'}
        versions.observe({'v1', 'v2'}, False, 0.0)
        assert versions.to_prefer() is None
        versions.observe({'v2'}, True, 0.0)
        assert versions.to_prefer() is None

    def test_a_release_back_to_the_older_version_is_two_versions_again(self):
        versions = ServiceVersions(frozenset({'v2'}))
        versions.observe({'v1', 'v2'}, True, 0.0)
        assert versions.only_version is None
        assert versions.unlisted() == {'v1'}


@define
class _Entry:
    versions: ServiceVersions = field(factory=ServiceVersions)
    memory: dict[int, str] = field(factory=dict)
    revision: int = 0


class StreamVersionsMachine(RuleBasedStateMachine):
    """Releases, streams, power cuts, cut-off entries, and lists written with compare-and-swap."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.serving = {'v1'}
        self.list, self.list_revision = frozenset(), 0
        self.notes = {}
        self.streams = {}  # number -> (version, begun at)
        self.entries = [_Entry() for _ in range(ENTRIES)]
        self.cut_off = [False] * ENTRIES
        self._tell_all()

    def _tell_all(self):
        """Have each entry that is in touch observe the truth and keep the list up to date."""
        for entry, cut_off in zip(self.entries, self.cut_off):
            if cut_off:
                entry.versions.observe(entry.versions.present, False, self.now)
                continue
            entry.versions.listed, entry.revision = self.list, self.list_revision
            entry.versions.observe(self.serving, True, self.now)
        for entry, cut_off in zip(self.entries, self.cut_off):
            wanted = entry.versions.listed | entry.versions.present
            wanted -= entry.versions.outlived(self.now)
            current = entry.revision == self.list_revision
            if entry.versions.fresh and not cut_off and current and wanted != self.list:
                self.list, self.list_revision = wanted, self.list_revision + 1
                entry.versions.listed, entry.revision = self.list, self.list_revision
        for entry, cut_off in zip(self.entries, self.cut_off):
            if not cut_off:
                entry.versions.listed, entry.revision = self.list, self.list_revision

    @rule(version=st.sampled_from(VERSIONS))
    def release(self, version):
        self.serving.add(version)
        self._tell_all()

    @precondition(lambda self: len(self.serving) > 1)
    @rule(data=st.data())
    def withdraw(self, data):
        self.serving.discard(data.draw(st.sampled_from(sorted(self.serving))))
        self._tell_all()

    @rule(number=st.integers(0, ENTRIES - 1), data=st.data(), noted=st.booleans())
    def begin_stream(self, number, data, noted):
        """A stream begins; its note may fail, but is never left out without a reason."""
        entry = self.entries[number]
        possible = self.serving & entry.versions.present or self.serving
        version = data.draw(st.sampled_from(sorted(possible)))
        stream = len(self.streams)
        self.streams[stream] = (version, self.now)
        entry.memory[stream] = version
        if noted and entry.versions.only_version != version:
            self.notes[stream] = version

    @rule(seconds=st.sampled_from([0.1, 1.0, STREAM_LIFETIME_S / 2, STREAM_LIFETIME_S + 1.0]))
    def pass_time(self, seconds):
        self._tell_all()
        self.now += seconds
        self._tell_all()

    @rule()
    def lose_power(self):
        self.entries = [_Entry() for _ in range(ENTRIES)]
        self._tell_all()

    @rule(number=st.integers(0, ENTRIES - 1))
    def cut_off_or_join(self, number):
        self.cut_off[number] = not self.cut_off[number]
        self._tell_all()

    @invariant()
    def what_is_believed_of_a_stream_is_true(self):
        for entry in self.entries:
            for stream, (version, begun_at) in self.streams.items():
                if self.now - begun_at > STREAM_LIFETIME_S:
                    continue
                believed = (
                    entry.memory.get(stream)
                    or entry.versions.only_version
                    or self.notes.get(stream)
                )
                assert believed in (version, None)

    @invariant()
    def one_version_alone_is_known_without_notes(self):
        if len(self.list) == 1 and self.list == frozenset(self.serving):
            for entry, cut_off in zip(self.entries, self.cut_off):
                assert cut_off or entry.versions.only_version is not None


StreamVersionsMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
TestStreamVersionsMachine = StreamVersionsMachine.TestCase
