"""Beliefs about prompt parts: which replica has read which parts lately."""

from collections import OrderedDict
from collections.abc import Sequence

from attrs import define, field

MEMORY_SHARE = 0.7  # of an engine's cache; running requests and other entries use the rest


@define
class ReplicaPrefixes:
    """Parts that one replica is believed to hold, the least recently used go first."""

    limit_tokens: int
    used_tokens: int = 0
    _parts: OrderedDict[str, int] = field(factory=OrderedDict)

    def cached(self, parts: Sequence[tuple[str, int]]) -> int:
        """Return how many leading tokens of a prompt are believed to be held."""
        total = 0
        for ident, tokens in parts:
            held = self._parts.get(ident, 0)
            total += min(held, tokens)
            if held < tokens:
                break
        return total

    def read(self, parts: Sequence[tuple[str, int]], generated: int) -> None:
        """Note that the replica has read a prompt and generated tokens after it."""
        for index, (ident, tokens) in enumerate(parts):
            whole = tokens + (generated if index == len(parts) - 1 else 0)
            old = self._parts.pop(ident, 0)
            self._parts[ident] = max(old, whole)
            self.used_tokens += max(0, whole - old)
        while self.used_tokens > self.limit_tokens and len(self._parts) > 1:
            _, tokens = self._parts.popitem(last=False)
            self.used_tokens -= tokens


@define
class PrefixBeliefs:
    """Beliefs about all replicas, by replica and run."""

    cache_tokens: int = 100_000
    _replicas: dict[str, ReplicaPrefixes] = field(factory=dict)

    def cached(self, replica: str, parts: Sequence[tuple[str, int]]) -> int:
        """Return the leading tokens that a replica is believed to hold."""
        known = self._replicas.get(replica)
        return known.cached(parts) if known is not None else 0

    def read(self, replica: str, parts: Sequence[tuple[str, int]], generated: int) -> None:
        """Note what a replica has read."""
        known = self._replicas.get(replica)
        if known is None:
            limit = int(MEMORY_SHARE * self.cache_tokens)
            known = self._replicas[replica] = ReplicaPrefixes(limit)
        known.read(parts, generated)

    def keep_only(self, replicas: set[str]) -> None:
        """Forget replicas that are gone."""
        for name in list(self._replicas):
            if name not in replicas:
                del self._replicas[name]
