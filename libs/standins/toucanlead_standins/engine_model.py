"""Stand-in model engine: continuous batching, prefix cache, delayed cache events."""

import asyncio
import heapq
import itertools
from collections import OrderedDict
from collections.abc import AsyncIterator

from attrs import define, field

from toucanlead_backends.engine import (
    CacheEvent,
    EngineOrder,
    GenerateReq,
    LoadReport,
    ModelEngine,
    TokenUsage,
)
from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.messages import Chunk, Message, count_tokens

from .recorder import Recorder, expected_answer, find_marker


@define
class EngineRates:
    """Speed and capacity of a stand-in replica.

    `slots` is the number of requests that run at once. A cache event can be read
    `event_delay_s` after the change; load reports are up to `load_delay_s` old.
    """

    slots: int = 8
    prefill_tokens_per_s: float = 8000.0
    decode_token_s: float = 0.004
    cache_limit_tokens: int = 60_000
    event_delay_s: float = 0.5
    load_delay_s: float = 1.0


@define
class EngineFaults:
    """Faults that a test can switch on.

    `silent` halts running streams while their connections stay open,
    `break_after_tokens` breaks one stream after that many tokens, and `slowness`
    multiplies the time for prefill and decoding.
    """

    down: bool = False
    silent: bool = False
    break_after_tokens: int | None = None
    drop_events: bool = False
    slowness: float = 1.0


@define(order=True)
class _Waiter:
    """A request that waits for a slot; ordered by priority (lowest first), then by arrival."""

    priority: int
    number: int
    ready: asyncio.Event = field(factory=asyncio.Event, order=False)


class EngineModel(ModelEngine):
    """Simulates one replica, in-process or behind an EngineServer.

    `exports` holds the caches moved to slower memory, by program id; replicas may share it.
    """

    def __init__(
        self,
        name: str,
        recorder: Recorder,
        rates: EngineRates | None = None,
        exports: dict[str, list[Message]] | None = None,
    ) -> None:
        self.name = name
        self.faults = EngineFaults()
        self.checks_fence = True
        self._recorder = recorder
        self.rates = rates or EngineRates()
        self._running = 0
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count(1)
        self._cache: OrderedDict[str, list[Message]] = OrderedDict()
        self._pinned: set[str] = set()
        self._exported: dict[str, list[Message]] = {} if exports is None else exports
        self._events: list[tuple[float, CacheEvent]] = []
        self._order = EngineOrder(fence=0, model='')
        self._last_report = (0.0, 0, 0)
        self.most_computed_tokens: dict[str, int] = {}

    async def generate(self, req: GenerateReq) -> AsyncIterator[Chunk | TokenUsage]:
        """Wait for a slot, prefill what is not cached, then decode."""
        if self.faults.down:
            raise NotSent('connection refused', peer=self.name)
        await self._take_slot(req.priority)
        try:
            async for item in self._run_request(req):
                yield item
        finally:
            self._free_slot()

    async def load_report(self) -> LoadReport:
        """Return the load; its request counts are up to `load_delay_s` seconds old."""
        self._check_reachable()
        now = self._now()
        if now - self._last_report[0] >= self.rates.load_delay_s:
            self._last_report = (now, self._running, len(self._waiters))
        return LoadReport(
            running=self._last_report[1],
            waiting=self._last_report[2],
            cache_used_tokens=self._cache_used_tokens(),
            cache_limit_tokens=self.rates.cache_limit_tokens,
            age_s=now - self._last_report[0],
        )

    async def cache_events(self, since: int) -> list[CacheEvent]:
        """Return cache events numbered above `since` and at least `event_delay_s` old."""
        self._check_reachable()
        latest_at = self._now() - self.rates.event_delay_s
        return [event for at, event in self._events if event.number > since and at <= latest_at]

    async def held_programs(self) -> list[str]:
        """Return the ids of programs whose caches are held, pinned or exported."""
        self._check_reachable()
        return sorted(set(self._cache) | self._pinned | set(self._exported))

    async def hold(self, program_id: str) -> None:
        """Pin a program's cache: it is evicted only when all others are pinned too."""
        self._check_reachable()
        if program_id in self._cache:
            self._pinned.add(program_id)

    async def release(self, program_id: str) -> None:
        """Free a program's cache, its exported copy included."""
        self._check_reachable()
        self._pinned.discard(program_id)
        self._exported.pop(program_id, None)
        if self._cache.pop(program_id, None) is not None:
            self._add_event(program_id, 0)

    async def export_cache(self, program_id: str) -> str:
        """Move a program's cache to slower memory and return its handle."""
        self._check_reachable()
        messages = self._cache.get(program_id, [])
        await self.release(program_id)
        self._exported[program_id] = messages
        return program_id

    async def import_cache(self, program_id: str, handle: str) -> None:
        """Load an exported cache; an unknown handle loads an empty one."""
        self._check_reachable()
        self._cache_messages(program_id, self._exported.pop(handle, []))

    async def order(self, order: EngineOrder) -> EngineOrder:
        """Set the wanted state unless its fencing number is too low; return what is set."""
        self._check_reachable()
        if not self.checks_fence or order.fence >= self._order.fence:
            self._order = order
        return self._order

    @property
    def running(self) -> int:
        """Return the number of requests in a slot."""
        return self._running

    def clear_cache(self) -> None:
        """Drop all caches that were not exported, as a restart does."""
        self._cache.clear()
        self._pinned.clear()

    def held_program_names(self) -> list[str]:
        """Return the names of `held_programs`, from the markers in their prompts."""
        names = []
        for program_id in {*self._cache, *self._pinned, *self._exported}:
            messages = self._cache.get(program_id) or self._exported.get(program_id, [])
            texts = [m.content for m in messages]
            markers = [marker for marker in map(find_marker, texts) if marker]
            names.append(markers[0].program if markers else program_id)
        return sorted(names)

    async def _run_request(self, req: GenerateReq) -> AsyncIterator[Chunk | TokenUsage]:
        prompt = [count_tokens(m.content) for m in req.messages]
        cached = self._cached_tokens(req)
        computed_before = min(self.most_computed_tokens.get(req.program_id, 0), sum(prompt))
        new_tokens = sum(prompt) - cached
        marker = find_marker(req.messages[-1].content)
        self._recorder.prompt_started(
            req.messages, new_tokens, cached, max(0, computed_before - cached)
        )
        if req.resume_from == 0 and marker is not None:
            self._recorder.tokens_charged(marker.program, self._new_input_tokens(req))
        slowness = self.faults.slowness
        await asyncio.sleep(slowness * new_tokens / self.rates.prefill_tokens_per_s)
        answer = expected_answer(marker).split(' ') if marker else ['ok']
        answer = answer[: req.max_tokens]
        for offset in range(req.resume_from, len(answer)):
            await asyncio.sleep(slowness * self.rates.decode_token_s)
            await self._inject_fault(offset - req.resume_from)
            if marker is not None:
                self._recorder.tokens_charged(marker.program, 1)
            text = answer[offset] if offset == 0 else ' ' + answer[offset]
            yield Chunk(offset, text, 1)
        history = [*req.messages, Message('assistant', ' '.join(answer))]
        self._cache_messages(req.program_id, history)
        total = sum(prompt) + len(answer)
        self.most_computed_tokens[req.program_id] = max(
            self.most_computed_tokens.get(req.program_id, 0), total
        )
        yield TokenUsage(sum(prompt), cached, len(answer) - req.resume_from)

    def _new_input_tokens(self, req: GenerateReq) -> int:
        """Count the tokens of the new input, which follows the last answer."""
        total = 0
        for message in reversed(req.messages):
            if message.role in ('assistant', 'tool'):
                break
            total += count_tokens(message.content)
        return total

    async def _inject_fault(self, produced: int) -> None:
        while self.faults.silent:
            await asyncio.sleep(1.0)
        if self.faults.down:
            raise OutcomeUnknown('connection reset', peer=self.name)
        limit = self.faults.break_after_tokens
        if limit is not None and produced >= limit:
            self.faults.break_after_tokens = None
            raise OutcomeUnknown('stream broken', peer=self.name)

    async def _take_slot(self, priority: int) -> None:
        if self._running < self.rates.slots and not self._waiters:
            self._running += 1
            return
        waiter = _Waiter(priority, next(self._numbers))
        heapq.heappush(self._waiters, waiter)
        try:
            await waiter.ready.wait()
        except asyncio.CancelledError:
            if waiter.ready.is_set():
                self._free_slot()
            else:
                self._waiters.remove(waiter)
                heapq.heapify(self._waiters)
            raise

    def _free_slot(self) -> None:
        if self._waiters:
            heapq.heappop(self._waiters).ready.set()
        else:
            self._running -= 1

    def _cached_tokens(self, req: GenerateReq) -> int:
        """Return the length of the prompt's cached prefix, in tokens."""
        cached_messages = self._cache.get(req.program_id, [])
        tokens = 0
        for cached, sent in zip(cached_messages, req.messages, strict=False):
            if cached != sent:
                break
            tokens += count_tokens(cached.content)
        return tokens

    def _cache_messages(self, program_id: str, messages: list[Message]) -> None:
        self._cache[program_id] = messages
        self._cache.move_to_end(program_id)
        self._add_event(program_id, sum(count_tokens(m.content) for m in messages))
        while self._cache_used_tokens() > self.rates.cache_limit_tokens:
            candidates = [p for p in self._cache if p not in self._pinned] or list(self._cache)
            self._pinned.discard(candidates[0])
            del self._cache[candidates[0]]
            self._add_event(candidates[0], 0)

    def _cache_used_tokens(self) -> int:
        return sum(count_tokens(m.content) for msgs in self._cache.values() for m in msgs)

    def _add_event(self, program_id: str, tokens: int) -> None:
        number = next(self._numbers)
        if not self.faults.drop_events:
            event = CacheEvent(number, program_id, tokens)
            self._events.append((self._now(), event))

    def _check_reachable(self) -> None:
        if self.faults.down:
            raise NotSent('connection refused', peer=self.name)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
