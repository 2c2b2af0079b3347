"""Grants: reads and writes the budget records in the key-value service."""

import asyncio
import hashlib
from collections.abc import Callable
from enum import Enum

import structlog
from attrs import evolve

from toucanlead_core.codec import from_stored_json, to_json
from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.timers import Timers
from toucanlead_kv.kv import Compare, KeyValueStore, KvEntry, Put, TxnResult

from .allowance import Allowance, BudgetRecord, PendingGrant, Share

log = structlog.get_logger()

BUDGET_PREFIX = 'toucanlead/budgets/'
MAX_PLAIN_ID_CHARS = 120
ATTEMPT_TIMEOUTS_S = (0.3, 0.3, 0.35)  # the service answers in 4 ms, or 0.25 s when slow
SERVICE_RETRY_S = 0.6  # pause before an unavailable service is tried again
RETURN_BATCH = 30  # records; a transaction is limited to 32 rows


class GrantOutcome(Enum):
    """The result of requesting a grant."""

    GRANTED = 'granted'
    RECORD_CHANGED = 'learnt'  # by another write; the allowance now has the current record
    NO_ANSWER = 'no answer'


class Grants:
    """Takes grants from the key-value service for one entry.

    `last_outage_at` is when the service was last found unavailable, here or by a peer;
    `unavailable_since` is set while it does not answer this entry.
    """

    def __init__(
        self, store: KeyValueStore, timers: Timers, address: str, make_nonce: Callable[[], str]
    ) -> None:
        """`address` is recorded as the holder; `make_nonce` returns a unique text per call."""
        self._store = store
        self._timers = timers
        self._address = address
        self._make_nonce = make_nonce
        self._next_attempt_at: float | None = None
        self.last_outage_at: float | None = None
        self.unavailable_since: float | None = None

    @property
    def attempt_due(self) -> bool:
        """Return whether `take` would try the service now."""
        return self._next_attempt_at is None or self._timers.now() >= self._next_attempt_at

    async def take(
        self, allowance: Allowance, tokens: int, *, may_retry: bool = True
    ) -> GrantOutcome:
        """Request a grant and record any debt with it.

        After a request without an answer the service counts as unavailable. Only one
        caller at a time then tries it again, so that the others need not wait.
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
        if not allowance.has_own_grant or allowance.record != pending.record:
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
        """Update an allowance from its record; return False if there is none or no answer."""
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUTS_S[0]):
                found = await self._store.get(budget_key(allowance.program))
        except (NotSent, OutcomeUnknown, TimeoutError):
            self.note_outage()
            return False
        if found is not None:
            allowance.replace_record(parse_record(found), found.mod_rev, self._address)
        return found is not None

    def note_outage(self) -> None:
        """Note that an entry found the service unavailable, so debts may exist."""
        self.last_outage_at = self._timers.now()

    async def return_unused(self, allowances: list[Allowance]) -> None:
        """Return the unused tokens of these grants to the recorded budgets."""
        for start in range(0, len(allowances), RETURN_BATCH):
            await self._return_batch(allowances[start : start + RETURN_BATCH])

    def _may_attempt(self) -> bool:
        due = self.attempt_due
        if due and self._next_attempt_at is not None:
            self._next_attempt_at = self._timers.now() + sum(ATTEMPT_TIMEOUTS_S)
        return due

    def _mark_unavailable(self) -> None:
        now = self._timers.now()
        self._next_attempt_at = now + SERVICE_RETRY_S
        self.last_outage_at = now
        if self.unavailable_since is None:
            self.unavailable_since = now

    async def _write(
        self, key: str, allowance: Allowance, pending: PendingGrant, attempts: tuple[float, ...]
    ) -> TxnResult | None:
        """Write the pending record, one attempt per timeout, until answered.

        Return None without an answer. The write stays pending only if it may have taken
        effect.
        """
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
            allowance.replace_record(parse_record(found), found.mod_rev, self._address)

    async def _return_batch(self, allowances: list[Allowance]) -> None:
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
            log.warning('give_back_conflict', programs=len(allowances))


def budget_key(program: str) -> str:
    """Return the key of a program's record; a long or non-alphanumeric id is hashed."""
    if len(program) <= MAX_PLAIN_ID_CHARS and program.isascii() and program.isalnum():
        return BUDGET_PREFIX + program
    digest = hashlib.blake2b(program.encode('utf-8', 'surrogateescape'), digest_size=16)
    return f'{BUDGET_PREFIX}h-{digest.hexdigest()}'


def parse_record(entry: KvEntry) -> BudgetRecord:
    """Decode a record; for an unreadable one return a record with nothing left to grant."""
    try:
        return from_stored_json(entry.value, BudgetRecord)
    except ValueError as exc:
        log.error('budget_record_unreadable', key=entry.key, error=str(exc))
        return BudgetRecord(0, 1 << 62)
