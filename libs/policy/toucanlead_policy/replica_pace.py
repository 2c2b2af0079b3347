"""Pace of replicas: how long work takes at each, and how much of it each takes well.

By Little's law, the time that requests spent at a replica, divided by the nominal time of
what it answered, is how many times longer than nominal an answer takes there. Requests in
progress count, so that a replica that answers nothing is slow before the first late answer.
"""

from collections.abc import Iterable
from statistics import fmean

from attrs import define, field, frozen

from toucanlead_core.pace_messages import ReplicaWork

from .replica_work import RECENT_S

ASSUMED_WORK_S = 0.4  # weight of what is known of old, in nominal time of recent answers
THIN_WORK_S = 0.25  # less recent work than this says nothing
NEW_SHARE = 0.25  # of its slots that a new replica is taken to take well
LEARNING_S = 4.0  # for which the base of a new run follows what is seen freely
BASE_S = 15.0  # time constant of the base
BASE_RISE_PER_S = 0.02  # the base of a replica hardly follows a slowdown of seconds
BASE_FALL_PER_S = 0.2
CONGESTED = 1.5  # times the base
SHRINK_PER_S = 1.0
GROW_PER_S = 0.25
GROW_SLOTS_PER_S = 0.1  # of the slots
IDLE_POWER = 2.5  # of the slowdown, by which an idle service prefers its fast replicas
FULL_POWER = 1.0  # the same at full load, where each replica gets as much as it can do
MIN_IDLE = 0.1  # part of a service, for the wait in a queue
ASSUMED_ANSWERS = 4.0  # without a failure, against which failures are weighed
FAILURE_POWER = 4
FAILURE_COST_MS = 2_000.0  # of a failed answer, for which the caller starts again
MAX_SLOWDOWN = 50.0


@frozen
class PacedReplica:
    """A run of a replica whose pace is learned; `cache_tokens` is 0 for an application."""

    run: str
    name: str
    service: str
    slots: int
    cache_tokens: int = 0


@frozen
class Pace:
    """What is believed of a replica.

    An answer takes `slowdown` times its nominal time with the queue of late, `pace` times as
    far as that matters at the load of its service. Of the requests that a replica takes well,
    `takes`, other entries have `others` there; `crowding` is how much longer work that is
    done in vain makes requests wait at the load of the service; `memory` is the share of the
    engine's memory that requests hold. `weight` is its share of new work, relative to other
    replicas.
    """

    slowdown: float = 1.0
    pace: float = 1.0
    takes: float = 1.0
    weight: float = 1.0
    others: float = 0.0
    crowding: float = 1.0
    memory: float = 0.0
    failure_cost_ms: float = 0.0

    def work_ms(self, answer_ms: float, prefill_ms: float, own: int) -> float:
        """Return the nominal time of a request and of the delay of others, in milliseconds.

        `own` requests of this entry are at the replica. Engines read prompts between the
        tokens of the other requests, each of which waits.
        """
        return answer_ms + prefill_ms * (1.0 + self.others + own) * self.crowding

    def expected_ms(self, work_ms: float) -> float:
        """Return the cost of `work_ms` at this replica in milliseconds.

        The queue of a moment ago does not count: all would leave a prompt that is cached there
        at once, and prompts that are read again slow all replicas down.
        """
        return self.pace * work_ms + self.failure_cost_ms


@define
class _Belief:
    """The usual slowdown of a run, for how long it was seen, and how much it takes well."""

    base: float
    takes: float
    seen_s: float = 0.0


@define
class ReplicaPaces:
    """Beliefs about all replicas, by name; `update` sets them from the work that was seen."""

    _paces: dict[str, Pace] = field(factory=dict)
    _beliefs: dict[str, _Belief] = field(factory=dict)
    _updated_at: float | None = None

    def pace(self, name: str) -> Pace | None:
        """Return what is believed of a replica, None before the first update."""
        return self._paces.get(name)

    def items(self) -> list[tuple[str, Pace]]:
        """Return all beliefs by name."""
        return list(self._paces.items())

    def update(
        self,
        replicas: Iterable[PacedReplica],
        total: Iterable[ReplicaWork],
        own: Iterable[ReplicaWork],
        now: float,
    ) -> None:
        """Set the beliefs from recent sums over all entries, and those of this entry in them."""
        elapsed_s = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        work = {row.run: row for row in total}
        own_busy = {row.run: row.busy_s for row in own}
        services: dict[str, list[PacedReplica]] = {}
        for replica in replicas:
            services.setdefault(replica.service, []).append(replica)
        self._paces = {}
        for members in services.values():
            rows = [work.get(member.run, ReplicaWork(member.run)) for member in members]
            self._learn(members, rows, elapsed_s)
            takes = sum(self._beliefs[member.run].takes for member in members)
            load = min(1.0, sum(row.busy_s for row in rows) / RECENT_S / takes)
            for member, row in zip(members, rows, strict=True):
                others = (row.busy_s - own_busy.get(member.run, 0.0)) / RECENT_S
                self._paces[member.name] = self._pace(member, row, max(0.0, others), load)
        runs = {member.run for members in services.values() for member in members}
        for run in self._beliefs.keys() - runs:
            del self._beliefs[run]

    def _learn(
        self, members: list[PacedReplica], rows: list[ReplicaWork], elapsed_s: float
    ) -> None:
        """Learn from the work of one service's replicas."""
        mean = _mean_slowdown(rows)
        is_first = not any(member.run in self._beliefs for member in members)
        for member, row in zip(members, rows, strict=True):
            slots = max(1, member.slots)
            belief = self._beliefs.get(member.run)
            if belief is None:
                takes = slots if is_first else max(1.0, NEW_SHARE * slots)
                belief = self._beliefs[member.run] = _Belief(mean, takes)
            in_slots_s = min(row.busy_s, slots * RECENT_S)
            if row.nominal_s >= THIN_WORK_S:
                _learn_base(belief, _slowdown(in_slots_s, row, belief), elapsed_s)
            slowdown = _slowdown(row.busy_s, row, belief)
            _learn_limit(belief, slowdown, row.busy_s / RECENT_S, slots, elapsed_s)

    def _pace(self, member: PacedReplica, row: ReplicaWork, others: float, load: float) -> Pace:
        belief = self._beliefs[member.run]
        failed = row.failures / (row.answers + row.failures + ASSUMED_ANSWERS)
        slots = max(1, member.slots)
        memory = row.token_s / RECENT_S / member.cache_tokens if member.cache_tokens else 0.0
        pace = belief.base * slots / belief.takes
        power = FULL_POWER + (IDLE_POWER - FULL_POWER) * (1.0 - load)
        room = (1.0 - failed) ** FAILURE_POWER * max(0.1, 1.0 - memory**4)
        return Pace(
            _slowdown(row.busy_s, row, belief),
            belief.base ** (1.0 - load) * slots / belief.takes,
            belief.takes,
            slots * pace**-power * room,
            others,
            1.0 / max(MIN_IDLE, 1.0 - load),
            memory,
            FAILURE_COST_MS * failed,
        )


def _slowdown(busy_s: float, row: ReplicaWork, belief: _Belief) -> float:
    """Return the recent slowdown; without recent work, the usual one."""
    slowdown = (busy_s + ASSUMED_WORK_S * belief.base) / (row.nominal_s + ASSUMED_WORK_S)
    return max(1.0 / MAX_SLOWDOWN, min(MAX_SLOWDOWN, slowdown))


def _mean_slowdown(rows: list[ReplicaWork]) -> float:
    """Return the mean slowdown of a service's replicas that have recent work, 1 without any."""
    slowdowns = [row.busy_s / row.nominal_s for row in rows if row.nominal_s >= THIN_WORK_S]
    if not slowdowns:
        return 1.0
    return max(1.0 / MAX_SLOWDOWN, min(MAX_SLOWDOWN, fmean(slowdowns)))


def _learn_base(belief: _Belief, slowdown: float, elapsed_s: float) -> None:
    """Move the usual slowdown towards what is seen.

    A long congestion does not become usual: the limit follows it.
    """
    belief.seen_s += elapsed_s
    if belief.seen_s > LEARNING_S and slowdown > CONGESTED * belief.base:
        return
    share = min(1.0, elapsed_s / max(elapsed_s, min(BASE_S, belief.seen_s), 1e-9))
    step = share * (slowdown - belief.base)
    if belief.seen_s > LEARNING_S:
        most = BASE_RISE_PER_S * belief.base * elapsed_s
        least = -BASE_FALL_PER_S * belief.base * elapsed_s
        step = max(least, min(most, step))
    belief.base += step


def _learn_limit(
    belief: _Belief, slowdown: float, requests: float, slots: int, elapsed_s: float
) -> None:
    """Move the number of requests that a run takes well: as many as it really works on.

    That is their number while it is at its usual pace, and less by its slowdown otherwise.
    """
    target = float(slots)
    if slowdown > CONGESTED * belief.base:
        target = min(target, max(requests, float(slots)) * belief.base / slowdown)
    target = max(1.0, target)
    if target < belief.takes:
        belief.takes = max(target, belief.takes * (1.0 - min(1.0, SHRINK_PER_S * elapsed_s)))
    else:
        grown = belief.takes + (GROW_PER_S * belief.takes + GROW_SLOTS_PER_S * slots) * elapsed_s
        belief.takes = min(target, grown)
