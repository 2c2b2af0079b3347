"""Timing model of a model engine: slots, prefill and decode rates, prefix cache with eviction."""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable

from attrs import define, field, frozen

from .event_loop import EventLoop


@frozen
class EngineShape:
    """A replica's slots, rates and memory; memory in tokens, decoding in seconds per token.

    `cache_tokens` limits the prefix cache. `host_tokens` is not enforced: caches exported to
    host memory take no space in this model.
    """

    slots: int = 8
    prefill_tokens_per_s: float = 8000.0
    decode_token_s: float = 0.025
    cache_tokens: int = 120_000
    host_tokens: int = 1_200_000
    import_tokens_per_s: float = 100_000.0


@frozen
class Job:
    """One turn at a replica; sizes in tokens, lower priorities run first.

    Programs of one group share their system prompt, which is cached per group.
    """

    program: str
    group: str
    system_tokens: int
    prompt_tokens: int
    output_tokens: int
    priority: int
    import_tokens: int
    on_first_token: Callable[[], None]
    on_done: Callable[['JobResult'], None]


@frozen
class JobResult:
    """Prompt tokens that a turn reused and prefilled, and whether the turn failed.

    `cached` counts the reused tokens, from the cache or from an import.
    """

    cached: int
    prefilled: int
    failed: bool = False


@define
class BenchEngine:
    """One simulated replica: its queue, running turns and prefix cache."""

    name: str
    loop: EventLoop
    shape: EngineShape
    slowness: float = 1.0
    up: bool = True
    running: int = 0
    _queue: list = field(factory=list)
    _sequence: itertools.count = field(factory=itertools.count)
    _prefill_free_at: float = 0.0
    _cache: OrderedDict[str, int] = field(factory=OrderedDict)
    _group_tokens: dict[str, int] = field(factory=dict)
    _active: dict[int, Job] = field(factory=dict)
    on_evict: Callable[[str], None] = field(default=lambda program: None)
    _epoch: int = 0
    _cached_tokens: int = 0

    @property
    def waiting(self) -> int:
        """Return the number of queued turns."""
        return len(self._queue)

    @property
    def cache_usage(self) -> float:
        """Return the share of cache memory in use."""
        return self._cached_tokens / self.shape.cache_tokens

    def submit(self, job: Job) -> None:
        """Start a turn in a free slot, or queue it by priority."""
        if not self.up:
            self.loop.call_later(0.0, lambda: job.on_done(JobResult(0, 0, failed=True)))
            return
        heapq.heappush(self._queue, (job.priority, next(self._sequence), job))
        self._start_queued()

    def release(self, program: str) -> None:
        """Free the cache of a program."""
        self._cached_tokens -= self._cache.pop(program, 0)

    def cached(self, program: str) -> int:
        """Return the number of tokens cached for a program."""
        return self._cache.get(program, 0)

    def crash(self) -> None:
        """Fail every queued and running turn, and lose the cache."""
        self.up = False
        self._epoch += 1
        failed_jobs = [job for _, _, job in self._queue] + list(self._active.values())
        self._queue.clear()
        self._active.clear()
        self._cache.clear()
        self._cached_tokens = 0
        self._group_tokens.clear()
        self.running = 0
        for job in failed_jobs:
            self.loop.call_later(0.0, lambda job=job: job.on_done(JobResult(0, 0, failed=True)))

    def restart(self) -> None:
        """Serve again with an empty cache."""
        self.up = True
        self._prefill_free_at = self.loop.now

    def _start_queued(self) -> None:
        while self._queue and self.running < self.shape.slots:
            _, number, job = heapq.heappop(self._queue)
            self._start(number, job)

    def _start(self, number: int, job: Job) -> None:
        self.running += 1
        self._active[number] = job
        cached = min(self.cached(job.program), job.prompt_tokens)
        if cached == 0 and job.group in self._group_tokens:
            cached = min(job.system_tokens, job.prompt_tokens)
        imported = max(0, min(job.import_tokens, job.prompt_tokens) - cached)
        uncached = job.prompt_tokens - cached - imported
        import_s = imported / self.shape.import_tokens_per_s
        prefill_s = self.slowness * uncached / self.shape.prefill_tokens_per_s
        prefill_at = max(self.loop.now + import_s, self._prefill_free_at)
        self._prefill_free_at = prefill_at + prefill_s
        decode_s = self.slowness * job.output_tokens * self.shape.decode_token_s
        if job.program in self._cache:
            self._cache.move_to_end(job.program)
        epoch = self._epoch
        result = JobResult(cached + imported, uncached)
        first_token_at = self._prefill_free_at + self.slowness * self.shape.decode_token_s
        self.loop.call_at(first_token_at, lambda: epoch == self._epoch and job.on_first_token())
        self.loop.call_at(
            self._prefill_free_at + decode_s, lambda: self._finish(number, job, result, epoch)
        )

    def _finish(self, number: int, job: Job, result: JobResult, epoch: int) -> None:
        if epoch != self._epoch:
            return
        del self._active[number]
        self.running -= 1
        self._cache_history(job)
        job.on_done(result)
        self._start_queued()

    def _cache_history(self, job: Job) -> None:
        tokens = job.prompt_tokens + job.output_tokens
        self._cached_tokens += tokens - self._cache.get(job.program, 0)
        self._cache[job.program] = tokens
        self._cache.move_to_end(job.program)
        self._group_tokens[job.group] = job.system_tokens
        while self._cached_tokens > self.shape.cache_tokens and len(self._cache) > 1:
            victim, tokens = self._cache.popitem(last=False)
            self._cached_tokens -= tokens
            self.on_evict(victim)
