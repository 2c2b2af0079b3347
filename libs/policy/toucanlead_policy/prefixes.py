"""Prefix cache estimates: which parts of prompts each replica has cached.

A prompt is a sequence of parts, each given as its id and its size in tokens.
"""

from collections import OrderedDict
from collections.abc import Sequence

from attrs import define, field

MEMORY_SHARE = 0.7  # of an engine's cache; the rest serves running requests and other entries


@define
class ReplicaPrefixes:
    """Prompt parts that one replica is expected to have cached, as an LRU list."""

    limit_tokens: int
    used_tokens: int = 0
    _parts: OrderedDict[str, int] = field(factory=OrderedDict)

    def cached(self, parts: Sequence[tuple[str, int]]) -> int:
        """Return how many leading tokens of a prompt are expected to be cached."""
        total = 0
        for ident, tokens in parts:
            held = self._parts.get(ident, 0)
            total += min(held, tokens)
            if held < tokens:
                break
        return total

    def read(self, parts: Sequence[tuple[str, int]], generated: int) -> None:
        """Record that the replica has processed a prompt and generated tokens after it."""
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
    """Prefix cache estimates of all replicas, by replica id, for placement."""

    cache_tokens: int = 100_000
    _replicas: dict[str, ReplicaPrefixes] = field(factory=dict)

    def cached(self, replica: str, parts: Sequence[tuple[str, int]]) -> int:
        """Return how many leading tokens of a prompt a replica is expected to have cached."""
        known = self._replicas.get(replica)
        return known.cached(parts) if known is not None else 0

    def read(self, replica: str, parts: Sequence[tuple[str, int]], generated: int) -> None:
        """Record that a replica has processed a prompt and generated tokens after it."""
        known = self._replicas.get(replica)
        if known is None:
            limit = int(MEMORY_SHARE * self.cache_tokens)
            known = self._replicas[replica] = ReplicaPrefixes(limit)
        known.read(parts, generated)

    def keep_only(self, replicas: set[str]) -> None:
        """Remove replicas that are not in `replicas`."""
        for name in list(self._replicas):
            if name not in replicas:
                del self._replicas[name]
