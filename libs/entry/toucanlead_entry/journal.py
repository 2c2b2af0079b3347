"""Journal: writes one incarnation's segments while its incarnation record is unsealed."""

import asyncio
from collections.abc import Callable

import structlog

from toucanlead_core.codec import from_json, to_json
from toucanlead_core.errors import Fenced, NotSent, OutcomeUnknown, Step
from toucanlead_kv.kv import Compare, Put
from toucanlead_state.batcher import Batcher, commit_delay_s
from toucanlead_state.records import Record, Segment

from .context import Context
from .kv_records import incarnation_key, journal_key, journal_prefix

log = structlog.get_logger()

TIMER_TOLERANCE_S = 1e-6  # a timer may fire early by a rounding error; `run` must not busy-wait


class Journal:
    """Commits records in groups; the future of `append` resolves once they are durable."""

    def __init__(
        self,
        ctx: Context,
        holder: str,
        guard_rev: int,
        on_durable: Callable[[list[Record], int], None],
        on_fenced: Callable[[list[Record]], None],
    ) -> None:
        """Start an empty journal for the incarnation `holder`.

        `guard_rev` is the revision of its unsealed incarnation record.
        `on_durable` gets the records and the index of each segment that was written;
        `on_fenced` gets the records that were not durable when a takeover ended the journal.
        """
        self.holder = holder
        self.fenced = False
        self._ctx = ctx
        self._guard = Compare(incarnation_key(holder), guard_rev)
        self._on_durable = on_durable
        self._on_fenced = on_fenced
        self._batcher = Batcher(holder, ctx.intervals.min_commit_interval_s)
        self._futures: dict[int, asyncio.Future] = {}
        self._wake = asyncio.Event()
        self.member_count = 1
        self.last_commit_at = ctx.timers.now()

    @property
    def guard(self) -> Compare:
        """Return the condition on all writes of this incarnation; false after a takeover."""
        return self._guard

    @property
    def next_index(self) -> int:
        """Return the index of the next segment."""
        return self._batcher.next_index

    @property
    def healthy(self) -> bool:
        """Return whether no commit has been in flight for a second or more."""
        return self._batcher.in_flight is None or (
            self._ctx.timers.now() - self.last_commit_at < 1.0
        )

    def append(self, records: list[Record], *, urgent: bool = False) -> asyncio.Future:
        """Queue records; the returned future raises Fenced after a takeover."""
        future = asyncio.get_running_loop().create_future()
        future.add_done_callback(_retrieve_exception)
        if self.fenced:
            future.set_exception(self._fenced_error())
            return future
        intervals = self._ctx.intervals
        self._batcher.delay_s = commit_delay_s(
            self.member_count, intervals.writes_per_s, intervals.min_commit_interval_s
        )
        ticket = self._batcher.add(records, self._ctx.timers.now(), urgent=urgent)
        self._futures[ticket] = future
        self._wake.set()
        return future

    async def wait_flushed(self) -> None:
        """Wait until every queued record is durable, or the journal is fenced."""
        while self._futures and not self.fenced:
            await asyncio.wait(list(self._futures.values()))

    def uncommitted(self) -> list[Record]:
        """Return records that are not known to be durable."""
        return self._batcher.uncommitted()

    async def run(self) -> None:
        """Write segments until the journal is fenced."""
        while not self.fenced:
            await self._wait_until_due()
            self.last_commit_at = self._ctx.timers.now()
            segment = self._batcher.start(self._ctx.nonce(), self.last_commit_at)
            if await self._write(segment):
                self._commit(segment)
            else:
                self.fence()

    def fence(self) -> None:
        """Fail all queued records, and pass those not known to be durable to `on_fenced`."""
        self.fenced = True
        uncommitted_records = self._batcher.uncommitted()
        for ticket in self._batcher.drop_uncommitted():
            future = self._futures.pop(ticket)
            if not future.done():
                future.set_exception(self._fenced_error())
        self._on_fenced(uncommitted_records)

    async def _wait_until_due(self) -> None:
        while True:
            due = self._batcher.due_at()
            now = self._ctx.timers.now()
            if due is not None and due <= now + TIMER_TOLERANCE_S:
                return
            self._wake.clear()
            timeout = None if due is None else due - now
            try:
                await asyncio.wait_for(self._wake.wait(), timeout)
            except TimeoutError:
                pass

    async def _write(self, segment: Segment) -> bool:
        put = Put(journal_key(self.holder, segment.index), to_json(segment))
        return await self._ctx.writer.write(put, 0, [self._guard])

    def _commit(self, segment: Segment) -> None:
        tickets = self._batcher.mark_committed()
        self._on_durable(segment.records, segment.index)
        for ticket in tickets:
            future = self._futures.pop(ticket)
            if not future.done():
                future.set_result(None)

    def _fenced_error(self) -> Fenced:
        return Fenced('journal sealed', step=Step.RECORD, peer=self.holder)


def _retrieve_exception(future: asyncio.Future) -> None:
    # asyncio logs an exception that nobody retrieves; not every append is awaited.
    if not future.cancelled():
        future.exception()


async def read_journal(ctx: Context, holder: str) -> list[Segment]:
    """Read a journal's segments; retry until the service answers."""
    while True:
        try:
            entries = await ctx.store.scan(journal_prefix(holder))
            return [from_json(entry.value, Segment) for entry in entries]
        except (NotSent, OutcomeUnknown) as exc:
            log.info('journal_read_retried', holder=holder, error=str(exc))
            await ctx.timers.sleep(0.2)
