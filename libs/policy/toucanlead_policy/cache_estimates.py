"""Cache estimates: how many tokens of each program's prefix each replica has cached.

Answered turns set the estimates; cache events, which arrive late, lower them. Each
estimate is scaled by the confidence in its replica, a factor from 0 to 1: a moving
average of the share of the expected cached tokens that its answers report. A gap in the
numbers of a replica's events lowers its confidence, since the missing events may be
evictions.
"""

from collections import OrderedDict

from attrs import define, field

EVENT_GAP_FACTOR = 0.5
MAX_PROGRAMS = 50_000  # the least recently answered programs are dropped first


@define
class CacheEstimates:
    """Estimated cached tokens by program and replica, for routing."""

    max_programs: int = MAX_PROGRAMS
    _programs: OrderedDict[str, dict[str, float]] = field(factory=OrderedDict)
    _confidence: dict[str, float] = field(factory=dict)
    _last_event_number: dict[str, int] = field(factory=dict)
    _cached_groups: set[tuple[str, str]] = field(factory=set)

    def tokens_by_replica(self, program_id: str) -> dict[str, float]:
        """Return the estimated cached tokens of a program by replica."""
        return self._programs.get(program_id, {})

    def cached_tokens(self, program_id: str, replica: str) -> float:
        """Return the cached tokens to expect, scaled by the confidence in the replica."""
        tokens = self.tokens_by_replica(program_id).get(replica, 0.0)
        return tokens * self._confidence.get(replica, 1.0)

    def items(self) -> list[tuple[str, dict[str, float]]]:
        """Return all programs with their estimated cached tokens by replica."""
        return list(self._programs.items())

    def record_group_prefix(self, group: str, replica: str) -> None:
        """Record that a replica has computed the prefix that a group's programs share."""
        self._cached_groups.add((group, replica))

    def has_group_prefix(self, group: str, replica: str) -> bool:
        """Return whether a replica is expected to have a group's shared prefix cached."""
        return bool(group) and (group, replica) in self._cached_groups

    def record_turn(
        self, program_id: str, replica: str, prompt_tokens: int, output_tokens: int
    ) -> None:
        """Record that a replica has processed a program's whole history; sizes in tokens."""
        by_replica = self._programs.setdefault(program_id, {})
        by_replica[replica] = float(prompt_tokens + output_tokens)
        self._programs.move_to_end(program_id)
        while len(self._programs) > self.max_programs:
            self._programs.popitem(last=False)

    def update_confidence(
        self, program_id: str, replica: str, expected: float, cached: int
    ) -> None:
        """Adjust the confidence in a replica by an answer's actual cached tokens."""
        if expected <= 0:
            return
        ratio = min(1.0, cached / expected)
        old = self._confidence.get(replica, 1.0)
        self._confidence[replica] = 0.8 * old + 0.2 * ratio

    def apply_event(self, replica: str, number: int, program_id: str, tokens: int) -> None:
        """Apply a cache event; a gap in the event numbers lowers the confidence."""
        last = self._last_event_number.get(replica)
        if last is not None and number > last + 1:
            self._confidence[replica] = self._confidence.get(replica, 1.0) * EVENT_GAP_FACTOR
        self._last_event_number[replica] = max(number, last or 0)
        by_replica = self._programs.get(program_id)
        if by_replica is not None and replica in by_replica:
            by_replica[replica] = min(by_replica[replica], float(tokens))

    def remove_estimate(self, program_id: str, replica: str) -> None:
        """Record that a replica was told to free a program's cache."""
        self.tokens_by_replica(program_id).pop(replica, None)

    def forget(self, program_id: str) -> None:
        """Remove an ended program."""
        self._programs.pop(program_id, None)

    def forget_replica(self, replica: str) -> None:
        """Remove everything known of a replica that restarted."""
        for by_replica in self._programs.values():
            by_replica.pop(replica, None)
        self._cached_groups = {(g, r) for g, r in self._cached_groups if r != replica}
        self._confidence.pop(replica, None)
        self._last_event_number.pop(replica, None)
