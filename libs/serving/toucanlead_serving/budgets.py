"""Budgets: reserves each turn's tokens out of grants recorded in the key-value service.

The first entry that a program's turn reaches takes a grant and is its holder. Another
entry borrows from the holder, turn by turn, and takes a grant of its own only when the
holder cannot be reached. No entry owns a program; the record only says whom to ask.
"""

import asyncio
import hashlib
from collections.abc import Callable

import structlog
from attrs import define, field, frozen

from toucanlead_core.codec import from_json, to_json
from toucanlead_core.errors import NotSent, OutcomeUnknown, Reason, Refusal, Step
from toucanlead_core.timers import Timers
from toucanlead_kv.kv import Compare, KeyValueStore, KvEntry, Put
from toucanlead_peer.turns import (
    BUSY,
    GRANTED,
    SPENT,
    UNKNOWN,
    EscrowHandler,
    EscrowTransport,
    Loan,
)

from .allowance import Allowance

log = structlog.get_logger()

BUDGET_PREFIX = 'toucanlead/budgets/'
BORROW_TIMEOUT_S = 0.25  # a round trip between regions and a retransmission
BUSY_WAIT_S = 0.6  # turns in progress give back what they did not use within this, mostly
RETRY_DELAY_S = 0.05
RETRY_DELAY_LIMIT_S = 0.4
BUDGET_RETRY_AFTER_MS = 500  # the service's short outages end within this
MAX_KEY_CHARS = 120
SETTLE_BATCH = 30  # the service takes 32 rows in a transaction
IDLE_S = 300.0  # a program that has been idle for so long has mostly ended


@frozen
class BudgetRecord:
    """What the service records of a program's budget, in tokens.

    `nonce` tells an entry whose write got no answer whether the record is its own.
    """

    budget: int
    granted: int
    holder: str
    nonce: str


@define(eq=False)
class Reservation:
    """Tokens set aside for one turn; settled once, with what was handed out."""

    allowance: Allowance
    tokens: int
    used: int = 0
    settled: bool = False

    @property
    def left(self) -> int:
        """Return how many tokens the turn may still hand out."""
        return self.tokens - self.used


@define(eq=False)
class _Program:
    allowance: Allowance
    lock: asyncio.Lock = field(factory=asyncio.Lock)
    changed: asyncio.Event = field(factory=asyncio.Event)


class Budgets(EscrowHandler):
    """All programs' tokens at this entry."""

    def __init__(
        self,
        store: KeyValueStore,
        peers: EscrowTransport,
        timers: Timers,
        address: str,
        nonce: Callable[[], str],
    ) -> None:
        """Take the service, the peers, and the address at which peers find this entry."""
        self._store = store
        self._peers = peers
        self._timers = timers
        self._address = address
        self._nonce = nonce
        self._programs: dict[str, _Program] = {}
        self._repaying: set[asyncio.Task] = set()
        self.store_calls = 0

    async def reserve(
        self, program: str, budget: int, tokens: int, deadline_at: float
    ) -> Reservation:
        """Set a turn's tokens aside; Refusal when they are spent or cannot be had in time."""
        entry = self._programs.get(program)
        if entry is None:
            entry = self._programs[program] = _Program(Allowance(program, budget))
        allowance = entry.allowance
        allowance.used_at = self._timers.now()
        while not allowance.reserve(tokens):
            async with entry.lock:
                if allowance.available < tokens:
                    await self._obtain(entry, tokens, deadline_at)
        return Reservation(allowance, tokens)

    def settle(self, reservation: Reservation) -> None:
        """End a turn's reservation; what it did not use may be reserved again."""
        if reservation.settled:
            return
        reservation.settled = True
        allowance = reservation.allowance
        allowance.settle(reservation.tokens, reservation.used)
        allowance.used_at = self._timers.now()
        self._wake(allowance.program)
        if allowance.holder not in ('', self._address) and not allowance.reserved:
            self._repay_later(allowance)

    async def borrow(self, program: str, tokens: int) -> Loan:
        """Lend tokens of a grant held here."""
        entry = self._programs.get(program)
        if entry is None or entry.allowance.holder != self._address:
            return Loan(UNKNOWN)
        allowance = entry.allowance
        now = self._timers.now()
        allowance.used_at = now
        allowance.write_off_loans(now)
        if not allowance.lend(tokens, now):
            try:
                async with entry.lock:
                    await self._obtain(entry, tokens, now + BUSY_WAIT_S)
            except Refusal as refusal:
                spent = refusal.reason is Reason.BUDGET_EXHAUSTED
                return Loan(SPENT if spent else BUSY)
            if not allowance.lend(tokens, self._timers.now()):
                return Loan(BUSY)
        return Loan(GRANTED, tokens)

    async def repay(self, program: str, unused: int, used: int) -> None:
        """Take back what a peer did not use."""
        entry = self._programs.get(program)
        if entry is not None:
            entry.allowance.repaid(unused, used)
            self._wake(program)

    async def give_back_all(self) -> None:
        """Record that grants held here were not used, so that other entries may use them."""
        held = [
            e.allowance
            for e in self._programs.values()
            if e.allowance.holder == self._address and e.allowance.available > 0
        ]
        for start in range(0, len(held), SETTLE_BATCH):
            await self._give_back(held[start : start + SETTLE_BATCH])

    def forget_idle(self) -> None:
        """Forget programs that have been idle for long; their grants count as spent."""
        now = self._timers.now()
        for program, entry in list(self._programs.items()):
            allowance = entry.allowance
            idle = now - allowance.used_at > IDLE_S
            if idle and not allowance.in_progress and not entry.lock.locked():
                del self._programs[program]

    async def _obtain(self, entry: _Program, tokens: int, deadline_at: float) -> None:
        """Get more tokens into an allowance, from the holder or from the service."""
        allowance = entry.allowance
        delay_s = RETRY_DELAY_S
        while allowance.available < tokens:
            if allowance.holder not in ('', self._address):
                loan = await self._ask_holder(allowance, tokens)
                if loan.outcome == GRANTED:
                    allowance.borrowed(loan.tokens)
                    return
                if loan.outcome == SPENT:
                    raise _spent(allowance)
                if loan.outcome == UNKNOWN:
                    allowance.holder = ''
                    continue
            elif allowance.unrecorded > 0:
                if await self._take_grant(allowance, tokens):
                    continue
            elif not allowance.in_progress:
                raise _spent(allowance)
            if allowance.unrecorded == 0 or allowance.holder not in ('', self._address):
                if await self._changed(entry, min(deadline_at, self._timers.now() + BUSY_WAIT_S)):
                    continue
                raise _unavailable('turns in progress hold the rest of the budget')
            if self._timers.now() + delay_s > deadline_at:
                raise _unavailable('the key-value service does not answer')
            await self._timers.sleep(delay_s)
            delay_s = min(2 * delay_s, RETRY_DELAY_LIMIT_S)

    async def _ask_holder(self, allowance: Allowance, tokens: int) -> Loan:
        holder = allowance.holder
        try:
            return await self._peers.borrow(holder, allowance.program, tokens, BORROW_TIMEOUT_S)
        except (NotSent, OutcomeUnknown) as exc:
            log.info('borrow_failed', program=allowance.program, peer=holder, error=str(exc))
            return Loan(UNKNOWN)

    async def _take_grant(self, allowance: Allowance, tokens: int) -> bool:
        """Ask the service for a grant once; say whether anything was learnt."""
        amount = allowance.next_grant(tokens)
        record = BudgetRecord(
            allowance.budget, allowance.recorded + amount, self._address, self._nonce()
        )
        key = budget_key(allowance.program)
        compare = Compare(key, allowance.revision)
        uncertain = False
        while True:
            self.store_calls += 1
            try:
                result = await self._store.txn([compare], [Put(key, to_json(record))])
                break
            except OutcomeUnknown:
                if uncertain:
                    return False
                uncertain = True  # the same write again: its condition lets only one take effect
            except NotSent:
                return False
        if result.succeeded:
            allowance.grant(amount, record.granted, result.revision)
            allowance.holder = self._address
            log.info(
                'budget_granted',
                program=allowance.program,
                tokens=amount,
                recorded=record.granted,
                budget=record.budget,
                revision=result.revision,
            )
            return True
        return self._learn(allowance, key, result.current, record.nonce, amount)

    def _learn(
        self, allowance: Allowance, key: str, current: list[KvEntry], nonce: str, amount: int
    ) -> bool:
        """Take what the service holds in place of what was expected."""
        found = next((e for e in current if e.key == key), None)
        if found is None:
            allowance.recorded, allowance.revision = 0, 0
            return True
        record = read_record(found)
        allowance.revision = found.mod_rev
        allowance.recorded = record.granted
        if record.nonce == nonce:  # an earlier try took effect although its answer was lost
            allowance.grant(amount, record.granted, found.mod_rev)
            allowance.holder = self._address
        elif record.holder != self._address:
            allowance.holder = record.holder
        return True

    async def _changed(self, entry: _Program, until: float) -> bool:
        """Wait until tokens were given back; say whether some were."""
        entry.changed.clear()
        try:
            async with asyncio.timeout(max(0.0, until - self._timers.now())):
                await entry.changed.wait()
        except TimeoutError:
            return False
        return True

    def _wake(self, program: str) -> None:
        entry = self._programs.get(program)
        if entry is not None:
            entry.changed.set()

    def _repay_later(self, allowance: Allowance) -> None:
        unused, used = allowance.repay()
        if unused or used:
            task = asyncio.ensure_future(self._repay(allowance, unused, used))
            self._repaying.add(task)
            task.add_done_callback(self._repaying.discard)

    async def _repay(self, allowance: Allowance, unused: int, used: int) -> None:
        try:
            await self._peers.repay(
                allowance.holder, allowance.program, unused, used, BORROW_TIMEOUT_S
            )
        except (NotSent, OutcomeUnknown) as exc:
            log.info('repay_failed', program=allowance.program, unused=unused, error=str(exc))

    async def _give_back(self, allowances: list[Allowance]) -> None:
        compares, puts = [], []
        for allowance in allowances:
            unused = allowance.give_back()
            allowance.recorded -= unused
            key = budget_key(allowance.program)
            record = BudgetRecord(allowance.budget, allowance.recorded, '', self._nonce())
            compares.append(Compare(key, allowance.revision))
            puts.append(Put(key, to_json(record)))
        self.store_calls += 1
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
        return BudgetRecord(0, 1 << 62, '', '')


def _spent(allowance: Allowance) -> Refusal:
    detail = f'{allowance.program}: {allowance.recorded} of {allowance.budget} tokens granted'
    return Refusal(Reason.BUDGET_EXHAUSTED, detail, step=Step.RESERVE)


def _unavailable(why: str) -> Refusal:
    return Refusal(
        Reason.BUDGET_UNAVAILABLE, why, step=Step.RESERVE, retry_after_ms=BUDGET_RETRY_AFTER_MS
    )
