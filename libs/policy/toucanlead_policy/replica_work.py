"""Work of replicas: what this entry saw of each run, and its sum over all entries."""

import math
from collections.abc import Iterable

from attrs import define, field

from toucanlead_core.pace_messages import ReplicaWork

RECENT_S = 1.5  # time constant of sums; a pause of half a second changes them by a quarter
FAILURES_S = 5.0  # the same for failures, so that a replica that fails is not tried every second
FORGET_S = 15.0  # after which the sums of a run have no weight left
ZONE_LIFETIME_S = 3.0  # sums of another zone that are older are not counted


def add_work(older: ReplicaWork, work: ReplicaWork, age_s: float = 0.0) -> ReplicaWork:
    """Return the sum of two works of a run; that of `older`, of `age_s` before, weighs less."""
    recent, kept = math.exp(-age_s / RECENT_S), math.exp(-age_s / FAILURES_S)
    return ReplicaWork(
        work.run,
        recent * older.busy_s + work.busy_s,
        recent * older.nominal_s + work.nominal_s,
        kept * older.answers + work.answers,
        kept * older.failures + work.failures,
        recent * older.token_s + work.token_s,
    )


@define
class _RunInProgress:
    """The requests of this entry at one run, and what was seen since the last report."""

    since: float
    requests: int = 0
    tokens: int = 0
    busy_s: float = 0.0
    token_s: float = 0.0
    nominal_s: float = 0.0
    answers: int = 0
    failures: int = 0

    def advance(self, now: float) -> None:
        elapsed_s = now - self.since
        self.since = now
        self.busy_s += self.requests * elapsed_s
        self.token_s += self.tokens * elapsed_s


@define
class OwnWork:
    """What this entry sees of each run; requests in progress count from their start."""

    _runs: dict[str, _RunInProgress] = field(factory=dict)

    def begin(self, run: str, tokens: int, now: float) -> None:
        """Record that a request that holds `tokens` tokens is sent to a run."""
        state = self._runs.get(run)
        if state is None:
            state = self._runs[run] = _RunInProgress(now)
        state.advance(now)
        state.requests += 1
        state.tokens += tokens

    def end(self, run: str, tokens: int, now: float) -> None:
        """Record that a request is no longer at a run, whatever became of it."""
        state = self._runs[run]
        state.advance(now)
        state.requests -= 1
        state.tokens -= tokens

    def record_answer(self, run: str, nominal_s: float) -> None:
        """Record an answer that takes `nominal_s` at a replica of nominal pace."""
        state = self._runs.setdefault(run, _RunInProgress(0.0))
        state.nominal_s += nominal_s
        state.answers += 1

    def record_failure(self, run: str) -> None:
        """Record an answer that was an error of the replica, or broke off."""
        state = self._runs.setdefault(run, _RunInProgress(0.0))
        state.failures += 1

    def take(self, now: float) -> list[ReplicaWork]:
        """Return the work of each run since the last call."""
        rows = []
        for run, state in list(self._runs.items()):
            state.advance(now)
            if state.busy_s or state.answers or state.failures:
                rows.append(
                    ReplicaWork(
                        run,
                        state.busy_s,
                        state.nominal_s,
                        state.answers,
                        state.failures,
                        state.token_s,
                    )
                )
            if not state.requests:
                del self._runs[run]
                continue
            state.busy_s = state.token_s = state.nominal_s = 0.0
            state.answers = state.failures = 0
        return rows


@define
class WorkSums:
    """Sums of work by run, in which older work weighs less."""

    _sums: dict[str, ReplicaWork] = field(factory=dict)
    _at: dict[str, float] = field(factory=dict)

    def add(self, rows: Iterable[ReplicaWork], now: float) -> None:
        """Add work done until now."""
        for row in rows:
            known = self._sums.get(row.run)
            age_s = now - self._at.get(row.run, now)
            self._sums[row.run] = row if known is None else add_work(known, row, age_s)
            self._at[row.run] = now

    def rows(self, now: float) -> list[ReplicaWork]:
        """Return the sums as they weigh now."""
        rows = []
        for run, known in list(self._sums.items()):
            age_s = now - self._at[run]
            if age_s > FORGET_S:
                del self._sums[run], self._at[run]
            else:
                rows.append(add_work(known, ReplicaWork(run), age_s))
        return rows


@define
class WorkPool:
    """The sums of this zone's entries, and those last heard of the other zones."""

    own: WorkSums = field(factory=WorkSums)
    _zones: dict[str, tuple[float, tuple[ReplicaWork, ...]]] = field(factory=dict)

    def put_zone(self, zone: str, rows: Iterable[ReplicaWork], now: float) -> None:
        """Replace what is known of another zone's sums."""
        self._zones[zone] = (now, tuple(rows))

    def rows(self, now: float) -> list[ReplicaWork]:
        """Return the sums over all zones as they weigh now."""
        total = {row.run: row for row in self.own.rows(now)}
        for zone, (at, rows) in list(self._zones.items()):
            if now - at > ZONE_LIFETIME_S:
                del self._zones[zone]
                continue
            for row in rows:
                known = total.get(row.run, ReplicaWork(row.run))
                total[row.run] = add_work(row, known, now - at)
        return list(total.values())
