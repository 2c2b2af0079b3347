"""Prefix cache estimates: which parts of prompts each replica has cached.

A prompt is a sequence of parts, each given as its id and its size in tokens.
"""

from collections import OrderedDict
from collections.abc import Sequence

from attrs import define, field

CACHE_SHARE = 0.7  # of an engine's cache; the rest serves running requests and other entries


@define
class ReplicaPrefixes:
    """Prompt parts that one replica is expected to have cached, evicted in LRU order."""

    limit_tokens: int
    used_tokens: int = 0
    _parts: OrderedDict[str, int] = field(factory=OrderedDict)

    def cached_tokens(self, parts: Sequence[tuple[str, int]]) -> int:
        """Return how many leading tokens of a prompt are expected to be cached."""
        total = 0
        for part_id, tokens in parts:
            cached = self._parts.get(part_id, 0)
            total += min(cached, tokens)
            if cached < tokens:
                break
        return total

    def record_prompt(self, parts: Sequence[tuple[str, int]], generated_tokens: int) -> None:
        """Record that the replica has processed a prompt and generated tokens after it."""
        for index, (part_id, tokens) in enumerate(parts):
            new = tokens + (generated_tokens if index == len(parts) - 1 else 0)
            old = self._parts.pop(part_id, 0)
            self._parts[part_id] = max(old, new)
            self.used_tokens += max(0, new - old)
        while self.used_tokens > self.limit_tokens and len(self._parts) > 1:
            _, tokens = self._parts.popitem(last=False)
            self.used_tokens -= tokens


@define
class PrefixCacheEstimates:
    """Prefix cache estimates of all replicas, by replica id, for placement."""

    cache_tokens: int = 100_000
    _replicas: dict[str, ReplicaPrefixes] = field(factory=dict)

    def cached_tokens(self, replica: str, parts: Sequence[tuple[str, int]]) -> int:
        """Return how many leading tokens of a prompt a replica is expected to have cached."""
        prefixes = self._replicas.get(replica)
        return prefixes.cached_tokens(parts) if prefixes is not None else 0

    def record_prompt(
        self, replica: str, parts: Sequence[tuple[str, int]], generated_tokens: int
    ) -> None:
        """Record that a replica has processed a prompt and generated tokens after it."""
        prefixes = self._replicas.get(replica)
        if prefixes is None:
            limit_tokens = int(CACHE_SHARE * self.cache_tokens)
            prefixes = self._replicas[replica] = ReplicaPrefixes(limit_tokens)
        prefixes.record_prompt(parts, generated_tokens)

    def keep_only(self, replicas: set[str]) -> None:
        """Remove replicas that are not in `replicas`."""
        for name in list(self._replicas):
            if name not in replicas:
                del self._replicas[name]
