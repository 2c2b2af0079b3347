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
MAX_KEY_CHARS = 120
ATTEMPT_S = (0.3, 0.3, 0.35)  # the service answers in 4 ms, when it is slow in 0.25 s
AWAY_S = 0.6  # how long a service that did not answer is not asked
GIVE_BACK_BATCH = 30  # the service takes 32 rows in a transaction


class Taken(Enum):
    """What came of asking for a grant."""

    GRANTED = 'granted'
    LEARNT = 'learnt'
    NO_ANSWER = 'no answer'


class Grants:
    """Takes grants for the entry at one address."""

    def __init__(
        self, store: KeyValueStore, timers: Timers, address: str, nonce: Callable[[], str]
    ) -> None:
        """Take the service, the address that becomes the holder, and unique texts."""
        self._store = store
        self._timers = timers
        self._address = address
        self._nonce = nonce
        self._away_until: float | None = None
        self.troubled_at: float | None = None
        self.away_since: float | None = None

    async def take(self, allowance: Allowance, tokens: int, *, patient: bool = True) -> Taken:
        """Ask for a grant, and record any debt with it.

        A service that has not answered counts as away, and only now and then one caller
        tries again; the others need not wait.
        """
        if not self._may_ask():
            return Taken.NO_ANSWER
        attempts = ATTEMPT_S if patient and self._away_until is None else ATTEMPT_S[:1]
        pending = allowance.write_pending(tokens, Share(self._address, self._nonce()))
        key = budget_key(allowance.program)
        result = await self._write(key, allowance, pending, attempts)
        if result is None:
            self._no_answer()
            return Taken.NO_ANSWER
        self._away_until = self.away_since = None
        if result.succeeded:
            allowance.pending_took_effect(result.revision)
        else:
            self._learn(allowance, result, key)
        if not allowance.own or allowance.record != pending.record:
            return Taken.LEARNT
        log.info(
            'budget_granted',
            program=allowance.program,
            tokens=pending.tokens,
            recorded=allowance.record.granted,
            budget=allowance.budget,
            revision=allowance.revision,
        )
        return Taken.GRANTED

    async def read(self, allowance: Allowance) -> bool:
        """Learn what is recorded of a program; False when nothing is, or no answer comes."""
        try:
            async with asyncio.timeout(ATTEMPT_S[0]):
                found = await self._store.get(budget_key(allowance.program))
        except (NotSent, OutcomeUnknown, TimeoutError):
            self.note_trouble()
            return False
        if found is not None:
            allowance.learn(read_record(found), found.mod_rev)
        return found is not None

    def note_trouble(self) -> None:
        """Note that an entry finds the service away, so that grants on debt may exist."""
        self.troubled_at = self._timers.now()

    async def give_back(self, allowances: list[Allowance]) -> None:
        """Record that what is unused of these grants may be granted to others."""
        for start in range(0, len(allowances), GIVE_BACK_BATCH):
            await self._give_back(allowances[start : start + GIVE_BACK_BATCH])

    def _may_ask(self) -> bool:
        if self._away_until is None:
            return True
        now = self._timers.now()
        if now < self._away_until:
            return False
        self._away_until = now + sum(ATTEMPT_S)
        return True

    def _no_answer(self) -> None:
        now = self._timers.now()
        self._away_until = now + AWAY_S
        self.troubled_at = now
        if self.away_since is None:
            self.away_since = now

    async def _write(
        self, key: str, allowance: Allowance, pending: PendingGrant, attempts: tuple[float, ...]
    ) -> TxnResult | None:
        """Write until answered; a write that certainly was not made is pending no longer."""
        compares = [Compare(key, allowance.revision)]
        puts = [Put(key, to_json(pending.record))]
        for limit_s in attempts:
            try:
                async with asyncio.timeout(limit_s):
                    return await self._store.txn(compares, puts)
            except (OutcomeUnknown, TimeoutError):
                pending.uncertain = True
                self.note_trouble()
            except NotSent:
                break
        if not pending.uncertain:
            allowance.pending = None
        return None

    def _learn(self, allowance: Allowance, result: TxnResult, key: str) -> None:
        found = next((entry for entry in result.current if entry.key == key), None)
        if found is None:
            allowance.learn(BudgetRecord(allowance.budget, 0), 0)
        else:
            allowance.learn(read_record(found), found.mod_rev)

    async def _give_back(self, allowances: list[Allowance]) -> None:
        compares, puts = [], []
        for allowance in allowances:
            unused = allowance.give_back()
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
    if len(program) <= MAX_KEY_CHARS and program.isascii() and program.isalnum():
        return BUDGET_PREFIX + program
    digest = hashlib.blake2b(program.encode('utf-8', 'surrogateescape'), digest_size=16)
    return f'{BUDGET_PREFIX}h-{digest.hexdigest()}'


def read_record(entry: KvEntry) -> BudgetRecord:
    """Return a record; one that cannot be read leaves nothing to spend."""
    try:
        return from_json(entry.value, BudgetRecord)
    except ValueError as exc:
        log.error('budget_record_unreadable', key=entry.key, error=str(exc))
        return BudgetRecord(0, 1 << 62)
