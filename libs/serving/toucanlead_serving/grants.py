"""Grants: a program's budget as the key-value service records it."""

import asyncio
import hashlib
from collections.abc import Callable
from enum import Enum

import structlog
from attrs import evolve

from toucanlead_core.codec import from_json, to_json
from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.timers import Timers
from toucanlead_kv.kv import Compare, KeyValueStore, KvEntry, Put, TxnResult

from .allowance import Allowance, BudgetRecord, PendingGrant, Share

log = structlog.get_logger()

BUDGET_PREFIX = 'toucanlead/budgets/'
MAX_PLAIN_ID_CHARS = 120
ATTEMPT_TIMEOUTS_S = (0.3, 0.3, 0.35)  # the service answers in 4 ms, when it is slow in 0.25 s
SERVICE_RETRY_S = 0.6  # how long a service that did not answer is not asked
GIVE_BACK_BATCH = 30  # the service takes 32 rows in a transaction


class GrantOutcome(Enum):
    """What came of asking for a grant."""

    GRANTED = 'granted'
    RECORD_CHANGED = 'learnt'
    NO_ANSWER = 'no answer'


class Grants:
    """Takes grants for the entry at one address."""

    def __init__(
        self, store: KeyValueStore, timers: Timers, address: str, make_nonce: Callable[[], str]
    ) -> None:
        """Take the service, the address that becomes the holder, and unique texts."""
        self._store = store
        self._timers = timers
        self._address = address
        self._make_nonce = make_nonce
        self._next_attempt_at: float | None = None
        self.last_outage_at: float | None = None
        self.unavailable_since: float | None = None

    async def take(
        self, allowance: Allowance, tokens: int, *, may_retry: bool = True
    ) -> GrantOutcome:
        """Ask for a grant, and record any debt with it.

        A service that has not answered counts as away, and only now and then one caller
        tries again; the others need not wait.
        """
        if not self._may_attempt():
            return GrantOutcome.NO_ANSWER
        attempts = (
            ATTEMPT_TIMEOUTS_S
            if may_retry and self._next_attempt_at is None
            else ATTEMPT_TIMEOUTS_S[:1]
        )
        pending = allowance.prepare_write(tokens, Share(self._address, self._make_nonce()))
        key = budget_key(allowance.program)
        result = await self._write(key, allowance, pending, attempts)
        if result is None:
            self._mark_unavailable()
            return GrantOutcome.NO_ANSWER
        self._next_attempt_at = self.unavailable_since = None
        if result.succeeded:
            allowance.confirm_pending(result.revision)
        else:
            self._update_record(allowance, result, key)
        if not allowance.own or allowance.record != pending.record:
            return GrantOutcome.RECORD_CHANGED
        log.info(
            'budget_granted',
            program=allowance.program,
            tokens=pending.tokens,
            recorded=allowance.record.granted,
            budget=allowance.budget,
            revision=allowance.revision,
        )
        return GrantOutcome.GRANTED

    async def refresh(self, allowance: Allowance) -> bool:
        """Learn what is recorded of a program; False when nothing is, or no answer comes."""
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUTS_S[0]):
                found = await self._store.get(budget_key(allowance.program))
        except (NotSent, OutcomeUnknown, TimeoutError):
            self.note_outage()
            return False
        if found is not None:
            allowance.replace_record(parse_record(found), found.mod_rev)
        return found is not None

    def note_outage(self) -> None:
        """Note that an entry finds the service away, so that grants on debt may exist."""
        self.last_outage_at = self._timers.now()

    async def give_back(self, allowances: list[Allowance]) -> None:
        """Record that what is unused of these grants may be granted to others."""
        for start in range(0, len(allowances), GIVE_BACK_BATCH):
            await self._give_back_batch(allowances[start : start + GIVE_BACK_BATCH])

    def _may_attempt(self) -> bool:
        if self._next_attempt_at is None:
            return True
        now = self._timers.now()
        if now < self._next_attempt_at:
            return False
        self._next_attempt_at = now + sum(ATTEMPT_TIMEOUTS_S)
        return True

    def _mark_unavailable(self) -> None:
        now = self._timers.now()
        self._next_attempt_at = now + SERVICE_RETRY_S
        self.last_outage_at = now
        if self.unavailable_since is None:
            self.unavailable_since = now

    async def _write(
        self, key: str, allowance: Allowance, pending: PendingGrant, attempts: tuple[float, ...]
    ) -> TxnResult | None:
        """Write until answered; a write that certainly was not made is pending no longer."""
        compares = [Compare(key, allowance.revision)]
        puts = [Put(key, to_json(pending.record))]
        for timeout_s in attempts:
            try:
                async with asyncio.timeout(timeout_s):
                    return await self._store.txn(compares, puts)
            except (OutcomeUnknown, TimeoutError):
                pending.uncertain = True
                self.note_outage()
            except NotSent:
                break
        if not pending.uncertain:
            allowance.pending = None
        return None

    def _update_record(self, allowance: Allowance, result: TxnResult, key: str) -> None:
        found = next((entry for entry in result.current if entry.key == key), None)
        if found is None:
            allowance.replace_record(BudgetRecord(allowance.budget, 0), 0)
        else:
            allowance.replace_record(parse_record(found), found.mod_rev)

    async def _give_back_batch(self, allowances: list[Allowance]) -> None:
        compares, puts = [], []
        for allowance in allowances:
            unused = allowance.withdraw_unused()
            record = evolve(allowance.record, granted=allowance.record.granted - unused)
            key = budget_key(allowance.program)
            compares.append(Compare(key, allowance.revision))
            puts.append(Put(key, to_json(record)))
        try:
            result = await self._store.txn(compares, puts)
        except (NotSent, OutcomeUnknown) as exc:
            log.warning('give_back_failed', programs=len(allowances), error=str(exc))
            return
        if not result.succeeded:
            log.warning('give_back_refused', programs=len(allowances))


def budget_key(program: str) -> str:
    """Return the key of a program's record; unusual ids are hashed."""
    if len(program) <= MAX_PLAIN_ID_CHARS and program.isascii() and program.isalnum():
        return BUDGET_PREFIX + program
    digest = hashlib.blake2b(program.encode('utf-8', 'surrogateescape'), digest_size=16)
    return f'{BUDGET_PREFIX}h-{digest.hexdigest()}'


def parse_record(entry: KvEntry) -> BudgetRecord:
    """Return a record; one that cannot be read leaves nothing to spend."""
    try:
        return from_json(entry.value, BudgetRecord)
    except ValueError as exc:
        log.error('budget_record_unreadable', key=entry.key, error=str(exc))
        return BudgetRecord(0, 1 << 62)
