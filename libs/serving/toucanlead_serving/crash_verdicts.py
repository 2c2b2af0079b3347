"""Crash verdicts: all entries hold back the requests that crash the replicas that run them.

The first two entries of an order that all entries share are the judges; each gets the
crash reports of all entries and decides for itself. A verdict is written to the key-value
service, so that every entry learns of it, also one that starts later. While the service is
unavailable, the judge tells the other entries itself.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import structlog
from attrs import define, evolve, field

from toucanlead_archive.directory import PEER_PREFIX, EntryRecord
from toucanlead_core.codec import from_stored_json, to_json
from toucanlead_core.crash_messages import BrokenRequest, CrashReport, CrashVerdict
from toucanlead_core.errors import ExecutionStatus, NotSent, OutcomeUnknown, Reason, Refusal, Step
from toucanlead_core.ids import rendezvous
from toucanlead_core.tasks import TaskSet
from toucanlead_core.timers import Timers
from toucanlead_kv.kv import KeyValueStore, KvEntry, LeaseLost, Put, WatchEvent
from toucanlead_kv.watch import ChangeSink
from toucanlead_peer.serving_interfaces import CrashHandler, CrashTransport
from toucanlead_policy.crash_judge import SETTLE_S, CrashJudge, VerdictTable
from toucanlead_replicas.registry import Replica
from toucanlead_replicas.request import ContentIds

from .crash_watch import BrokenAnswer
from .metrics import ServingMetrics

log = structlog.get_logger()

VERDICT_S = 300  # how long a content is held back
VERDICT_PREFIX = PEER_PREFIX + 'crash-verdicts/'
JUDGES = 2  # the loss of one costs nothing
MAX_JUDGES_TRIED = 4
JUDGE_ORDER_KEY = 'crash judge'
REPORT_TIMEOUT_S = 0.3
WRITE_RETRY_S = 1.0
DECIDE_AFTER_S = SETTLE_S + 0.01  # the crash itself must have settled, whatever the rounding
SUSPECT_RETRY_AFTER_MS = 500  # a turn takes a few hundred milliseconds
MAX_REMEMBERED = 4096  # contents that broke off, and as many that were answered
ANSWERED_S = 60.0  # for how long an answer speaks for a content; a new model may crash on it


@define
class _KnownVerdict:
    verdict: CrashVerdict
    learned_at: float


@define(eq=False)
class CrashVerdicts(ChangeSink, CrashHandler):
    """The verdicts that this entry knows; a judge for all entries if it is one.

    `entries` returns the records of all entries.
    """

    _address: str
    _transport: CrashTransport
    _store: KeyValueStore
    _timers: Timers
    _entries: Callable[[], list[EntryRecord]]
    _metrics: ServingMetrics
    _judge: CrashJudge = field(factory=CrashJudge)
    _table: VerdictTable = field(factory=VerdictTable)
    _known: dict[str, _KnownVerdict] = field(factory=dict)
    _reported: dict[str, float] = field(factory=dict)
    _answered: dict[str, float] = field(factory=dict)
    _running: dict[str, int] = field(factory=dict)
    _tasks: TaskSet = field(factory=TaskSet)

    def __attrs_post_init__(self) -> None:
        """Add the gauge."""
        self._metrics.gauge(
            'toucanlead_crash_verdicts', 'Contents held back', lambda: len(self._table)
        )

    def check(self, content: ContentIds, ran: ExecutionStatus) -> None:
        """Raise Refusal if a content crashes replicas.

        A beginning counts only if nothing that begins so was answered here lately.
        """
        now = self._timers.now()
        held_back = content.whole
        left_s = self._table.left_s(held_back, now)
        if not left_s and not self._was_answered(content.beginning):
            held_back = content.beginning
            left_s = self._table.left_s(held_back, now)
        if not left_s:
            return
        known = self._known[held_back]
        raise Refusal(
            Reason.CRASHES_REPLICAS,
            f'{held_back} crashed {known.verdict.crashes} replicas, found by '
            f'{known.verdict.judge}, known for {now - known.learned_at:.1f} s',
            ran=ran,
            step=Step.ROUTE,
            retry_after_ms=int(1e3 * left_s),
        )

    @contextmanager
    def running(self, content: ContentIds) -> Iterator[None]:
        """Count a request as running; raise Refusal if it is a suspect that runs already.

        Until it is answered, what broke off at a crash runs once at a time at an entry, so
        that many callers who send it crash fewer replicas.
        """
        name = content.beginning if content.beginning in self._reported else content.whole
        running = self._running.get(name, 0)
        if running and name in self._reported:
            raise Refusal(
                Reason.CRASHES_REPLICAS,
                f'{name} broke off when a replica crashed, and runs again now',
                step=Step.ROUTE,
                retry_after_ms=SUSPECT_RETRY_AFTER_MS,
            )
        names = (content.whole, content.beginning)
        for name in names:
            self._running[name] = self._running.get(name, 0) + 1
        try:
            yield
        finally:
            for name in names:
                self._running[name] -= 1
                if not self._running[name]:
                    del self._running[name]

    def record_answer(self, content: ContentIds) -> None:
        """Record a full answer; tell the judges if the content had broken off before."""
        names = (content.whole, content.beginning)
        for name in names:
            _remember(self._answered, name, self._timers.now())
        cleared = [name for name in names if name in self._reported]
        if cleared:
            for name in cleared:
                del self._reported[name]
            self._tasks.spawn(self._send(CrashReport(cleared=tuple(cleared))), 'crash report')

    async def report(self, replica: Replica, answers: list[BrokenAnswer]) -> None:
        """Report a crash and the requests of this entry that broke off.

        What was answered lately is no suspect: many callers may ask for the same.
        """
        requests = [
            BrokenRequest(name, answer.produced)
            for answer in answers
            for name in (answer.content.whole, answer.content.beginning)
            if not self._was_answered(name)
        ]
        for request in requests:
            _remember(self._reported, request.content, self._timers.now())
        await self._send(CrashReport(replica.run, tuple(requests)))

    def _was_answered(self, name: str) -> bool:
        answered_at = self._answered.get(name)
        return answered_at is not None and self._timers.now() - answered_at < ANSWERED_S

    async def record_crash(self, report: CrashReport) -> None:
        """Judge a report of this or another entry."""
        self._judge.record(report, self._timers.now())
        self._tasks.spawn(self._decide(report), 'crash verdict')

    async def record_verdict(self, verdict: CrashVerdict) -> None:
        """Accept a verdict from its judge."""
        self._learn(verdict, 'peer')

    def replace(self, entries: list[KvEntry]) -> None:
        """Learn the verdicts of a snapshot; those that are missing stay until they end."""
        for entry in entries:
            self._learn_entry(entry.key, entry.value)

    def apply(self, events: list[WatchEvent]) -> None:
        """Learn verdicts that were written."""
        for event in events:
            if event.value is not None:
                self._learn_entry(event.key, event.value)

    async def close(self) -> None:
        """Cancel the calls in progress."""
        await self._tasks.cancel()

    async def _send(self, report: CrashReport) -> None:
        """Send a report to the judges: the first entries that can be reached."""
        addresses = [entry.address for entry in self._entries()] or [self._address]
        reached = 0
        for address in rendezvous(JUDGE_ORDER_KEY, addresses)[:MAX_JUDGES_TRIED]:
            if address == self._address:
                await self.record_crash(report)
            else:
                try:
                    await self._transport.report(address, report, REPORT_TIMEOUT_S)
                except (NotSent, OutcomeUnknown) as exc:
                    log.info('crash_report_failed', judge=address, error=str(exc))
                    continue
            reached += 1
            if reached == JUDGES:
                return
        if not reached:
            await self.record_crash(report)

    async def _decide(self, report: CrashReport) -> None:
        """Publish the verdicts that follow once all entries have reported a crash."""
        for content in report.cleared:
            if self._table.left_s(content, self._timers.now()):
                known = self._known[content]
                self._spawn_publishing(evolve(known.verdict, withdrawn=True))
        if not report.replica:
            return
        await self._timers.sleep(DECIDE_AFTER_S)
        now = self._timers.now()
        for content, crashes in self._judge.condemned(now).items():
            if not self._table.left_s(content, now):
                self._spawn_publishing(CrashVerdict(content, crashes, self._address))

    def _spawn_publishing(self, verdict: CrashVerdict) -> None:
        self._learn(verdict, 'judge')
        self._tasks.spawn(self._publish(verdict), 'crash verdict')

    async def _publish(self, verdict: CrashVerdict) -> None:
        """Write a verdict to the key-value service; tell the entries if that fails."""
        ends_at = self._timers.now() + VERDICT_S
        told = False
        while self._timers.now() < ends_at and self._known[verdict.content].verdict == verdict:
            try:
                lease = await self._store.grant_lease(VERDICT_S)
                put = Put(VERDICT_PREFIX + verdict.content, to_json(verdict), lease)
                await self._store.txn([], [put])
                return
            except (NotSent, OutcomeUnknown, LeaseLost) as exc:
                log.info('crash_verdict_unwritten', content=verdict.content, error=str(exc))
            if not told:
                told = True
                addresses = {entry.address for entry in self._entries()} - {self._address}
                await asyncio.gather(*(self._tell(address, verdict) for address in addresses))
            await self._timers.sleep(WRITE_RETRY_S)

    async def _tell(self, address: str, verdict: CrashVerdict) -> None:
        try:
            await self._transport.tell(address, verdict, REPORT_TIMEOUT_S)
        except (NotSent, OutcomeUnknown) as exc:
            log.info('crash_verdict_untold', entry=address, error=str(exc))

    def _learn_entry(self, key: str, value: bytes) -> None:
        if not key.startswith(VERDICT_PREFIX):
            return
        try:
            verdict = from_stored_json(value, CrashVerdict)
        except ValueError as exc:
            log.warning('crash_verdict_unreadable', key=key, error=str(exc))
            return
        self._learn(verdict, 'key-value service')

    def _learn(self, verdict: CrashVerdict, source: str) -> None:
        now = self._timers.now()
        held_back = self._table.left_s(verdict.content, now) > 0.0
        if held_back != verdict.withdrawn:
            return  # both judges write the same verdict, and it comes from several sources
        if verdict.withdrawn:
            self._table.remove(verdict.content)
        else:
            self._table.add(verdict.content, now + VERDICT_S)
        self._known.pop(verdict.content, None)
        self._known[verdict.content] = _KnownVerdict(verdict, now)
        while len(self._known) > 2 * self._table.max_verdicts:
            del self._known[next(iter(self._known))]
        log.info(
            'crash_verdict',
            content=verdict.content,
            crashes=verdict.crashes,
            judge=verdict.judge,
            withdrawn=verdict.withdrawn,
            source=source,
        )


def _remember(contents: dict[str, float], content: str, now: float) -> None:
    """Add a content as the newest, and forget the oldest if there are too many."""
    contents.pop(content, None)
    contents[content] = now
    if len(contents) > MAX_REMEMBERED:
        del contents[next(iter(contents))]
