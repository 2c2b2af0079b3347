"""Crash judge: finds the requests that crash the replicas that run them.

Serves a request that crashes each replica that begins to run it and comes again, beside
sound requests that break off with it. Evidence against a content is that it was running
without output at three replicas that crashed, and that each of these crashes is explained
by no other content with more crashes. Output, or a full answer at any time, speaks for it.
"""

import math
from collections import Counter

from attrs import define, field

from toucanlead_core.crash_messages import CrashReport

MIN_CRASHES = 3
MIN_TIED_CRASHES = 5  # of contents that have always been at the same crashes
SETTLE_S = 0.3  # the entries report a crash within this time of each other
MEMORY_S = 600.0
MAX_CRASHES = 256
MAX_CONTENTS = 128  # of one crash; two for each request that runs on a replica at once


@define
class _Crash:
    """The contents that broke off when a run of a replica crashed."""

    at: float
    without_output: set[str] = field(factory=set)
    with_output: set[str] = field(factory=set)
    any_without_output: bool = False

    @property
    def suspects(self) -> set[str]:
        """Return those that may have caused the crash: those without output, if there are any."""
        return self.without_output if self.any_without_output else self.with_output

    def add(self, content: str, produced: bool) -> None:
        if not produced:
            self.any_without_output = True
        contents = self.with_output if produced else self.without_output
        if len(contents) < MAX_CONTENTS:
            contents.add(content)

    def discard(self, content: str) -> None:
        self.without_output.discard(content)
        self.with_output.discard(content)


@define
class CrashJudge:
    """The crashes of the last minutes, by run of the replica, the oldest first."""

    _crashes: dict[str, _Crash] = field(factory=dict)

    def record(self, report: CrashReport, now: float) -> None:
        """Record the requests that broke off at one entry, and those that were answered."""
        self._drop_old(now)
        if report.replica:
            crash = self._crashes.setdefault(report.replica, _Crash(now))
            for request in report.requests:
                crash.add(request.content, request.produced)
        for content in report.cleared:
            for crash in self._crashes.values():
                crash.discard(content)

    def condemned(self, now: float) -> dict[str, int]:
        """Return the contents that crash replicas, and how many they have crashed."""
        settled = [crash for crash in self._crashes.values() if now - crash.at >= SETTLE_S]
        counts = Counter(content for crash in settled for content in crash.suspects)
        found = {}
        for content, count in counts.items():
            if count < MIN_CRASHES:
                continue
            explained = [
                crash.suspects
                for crash in settled
                if content in crash.suspects
                and all(counts[other] <= count for other in _rivals(content, crash.suspects))
            ]
            if len(explained) < MIN_CRASHES:
                continue
            always_beside = _rivals(content, set.intersection(*explained))
            tied = any(counts[other] == count for other in always_beside)
            if not tied or count >= MIN_TIED_CRASHES:
                found[content] = count
        return found

    def _drop_old(self, now: float) -> None:
        for replica, crash in list(self._crashes.items()):
            excess = len(self._crashes) - MAX_CRASHES
            if now - crash.at <= MEMORY_S and excess < 0:
                break
            del self._crashes[replica]


def _rivals(content: str, contents: set[str]) -> list[str]:
    """Return the others of the same kind: whole contents are judged apart from beginnings."""
    kind = content.partition(':')[0]
    return [other for other in contents if other != content and other.startswith(kind)]


@define
class VerdictTable:
    """The contents that are sent to no replica, with the loop time at which that ends."""

    max_verdicts: int = 1024
    _ends_at: dict[str, float] = field(factory=dict)

    def add(self, content: str, ends_at: float) -> None:
        """Add a content; the one whose time ends first makes room if there are too many."""
        self._ends_at[content] = ends_at
        if len(self._ends_at) > self.max_verdicts:
            del self._ends_at[min(self._ends_at, key=lambda name: self._ends_at[name])]

    def remove(self, content: str) -> None:
        """Remove a content, if it is there."""
        self._ends_at.pop(content, None)

    def left_s(self, content: str, now: float) -> float:
        """Return for how long a content is still held back; 0 if it is not."""
        ends_at = self._ends_at.get(content, -math.inf)
        if ends_at > now:
            return ends_at - now
        self._ends_at.pop(content, None)
        return 0.0

    def __len__(self) -> int:
        """Return how many contents are held back."""
        return len(self._ends_at)
