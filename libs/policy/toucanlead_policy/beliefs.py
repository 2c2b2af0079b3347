"""Cache estimates: how many tokens of each program's prefix each replica has cached.

Answered turns set the estimates; cache events, which arrive late, lower them. Each
estimate is scaled by the confidence in its replica, which follows the cached tokens
that answers report. A gap in the numbers of a replica's events lowers its confidence,
since the missing events may be evictions.
"""

from collections import OrderedDict

from attrs import define, field

GAP_FACTOR = 0.5
BELIEF_LIMIT = 50_000  # the least recently answered programs are dropped first


@define
class CacheBeliefs:
    """Estimated cached tokens by program and replica, for routing."""

    limit: int = BELIEF_LIMIT
    _programs: OrderedDict[str, dict[str, float]] = field(factory=OrderedDict)
    _trust: dict[str, float] = field(factory=dict)
    _last_event: dict[str, int] = field(factory=dict)
    _groups: set[tuple[str, str]] = field(factory=set)

    def holders(self, program_id: str) -> dict[str, float]:
        """Return the estimated cached tokens of a program by replica."""
        return self._programs.get(program_id, {})

    def cached(self, program_id: str, replica: str) -> float:
        """Return the cached tokens to expect, scaled by the confidence in the replica."""
        tokens = self.holders(program_id).get(replica, 0.0)
        return tokens * self._trust.get(replica, 1.0)

    def items(self) -> list[tuple[str, dict[str, float]]]:
        """Return all programs with their estimated cached tokens by replica."""
        return list(self._programs.items())

    def group_seen(self, group: str, replica: str) -> None:
        """Record that a replica has computed the prefix that a group's programs share."""
        self._groups.add((group, replica))

    def group_held(self, group: str, replica: str) -> bool:
        """Return whether a replica is expected to have a group's shared prefix cached."""
        return bool(group) and (group, replica) in self._groups

    def answered(self, program_id: str, replica: str, prompt: int, output: int) -> None:
        """Record that a replica has processed a program's whole history; sizes in tokens."""
        known = self._programs.setdefault(program_id, {})
        known[replica] = float(prompt + output)
        self._programs.move_to_end(program_id)
        while len(self._programs) > self.limit:
            self._programs.popitem(last=False)

    def measured(self, program_id: str, replica: str, expected: float, cached: int) -> None:
        """Adjust the confidence in a replica by an answer's actual cached tokens."""
        if expected <= 0:
            return
        share = min(1.0, cached / expected)
        old = self._trust.get(replica, 1.0)
        self._trust[replica] = 0.8 * old + 0.2 * share

    def event(self, replica: str, number: int, program_id: str, tokens: int) -> None:
        """Apply a cache event; a gap in the event numbers lowers the confidence."""
        last = self._last_event.get(replica)
        if last is not None and number > last + 1:
            self._trust[replica] = self._trust.get(replica, 1.0) * GAP_FACTOR
        self._last_event[replica] = max(number, last or 0)
        known = self._programs.get(program_id)
        if known is not None and replica in known:
            known[replica] = min(known[replica], float(tokens))

    def dropped(self, program_id: str, replica: str) -> None:
        """Record that a replica was told to free a program's cache."""
        self.holders(program_id).pop(replica, None)

    def forget(self, program_id: str) -> None:
        """Remove an ended program."""
        self._programs.pop(program_id, None)

    def forget_replica(self, replica: str) -> None:
        """Remove everything known of a replica that restarted."""
        for known in self._programs.values():
            known.pop(replica, None)
        self._groups = {(g, r) for g, r in self._groups if r != replica}
        self._trust.pop(replica, None)
        self._last_event.pop(replica, None)
