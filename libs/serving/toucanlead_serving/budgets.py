"""Budgets: reserves each turn's tokens out of grants.

The first entry that a program's turn reaches takes a grant. Another entry borrows from
it, turn by turn, and takes a grant of its own only when those that took one cannot help.
No entry owns a program. One of the region's, chosen by the program's id, is asked first
who holds a grant, and remembers who asked first; that it may be wrong or gone does no
harm, since the service's record decides, and names the holders too.

While the service cannot be reached, the chosen entry grants on debt, once: one turn's
most, by which a budget may be overdrawn at worst, or an ordinary grant when it is certain
that no entry of the region knows of the program. Entries that were asked about one in an
outage look for debts before they take a first grant from the service.
"""

import asyncio
from collections.abc import Callable

import attrs
import structlog
from attrs import define, field, frozen

from toucanlead_core.errors import NotSent, OutcomeUnknown, Reason, Refusal, Step
from toucanlead_core.ids import rendezvous
from toucanlead_core.timers import Timers
from toucanlead_peer.turns import (
    BUSY,
    GRANTED,
    SILENT,
    SPENT,
    UNKNOWN,
    UNREACHABLE,
    EscrowHandler,
    EscrowTransport,
    Holder,
    Loan,
)

from .allowance import Allowance, BudgetRecord
from .debts import DEBT_KEEP_S, Debt, DebtBook
from .grants import Grants, Taken

log = structlog.get_logger()

BORROW_TIMEOUT_S = 0.25  # a round trip between regions and a retransmission
BORROW_GRANT_TIMEOUT_S = 0.8  # the granter asks the service and its own peers first
AVOID_S = 3.0  # an entry that did not answer is not asked who holds a grant for so long
HOLDER_TIMEOUT_S = 0.15
BUSY_WAIT_S = 0.6  # turns in progress give back what they did not use within this, mostly
QUICK_STEPS = 4  # a lost lender, the service, another lender: one after the other at once
RETRY_DELAY_S = 0.05
RETRY_DELAY_LIMIT_S = 0.4
BUDGET_RETRY_AFTER_MS = 500  # the service's short outages end within this
IDLE_S = 300.0  # a program that has been idle for so long has mostly ended
DEBT_CHECK_S = 0.5


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
    deciding: bool = False  # whether a first grant may be about to be asked for
    lock: asyncio.Lock = field(factory=asyncio.Lock)
    changed: asyncio.Event = field(factory=asyncio.Event)


@frozen
class _Asker:
    address: str
    asked_at: float


@define(eq=False)
class _Quest:
    """One search for tokens: whom it has asked in vain, and who could not be reached."""

    entry: _Program
    tokens: int
    patient: bool = True
    for_peer: bool = False
    alone: bool = False
    asked_for_holder: bool = False
    refused: set[str] = field(factory=set)
    lost: bool = False

    @property
    def allowance(self) -> Allowance:
        """Return the allowance to be filled."""
        return self.entry.allowance

    @property
    def missing(self) -> int:
        """Return how many tokens are still to be found."""
        return self.tokens - self.allowance.available


class Budgets(EscrowHandler):
    """All programs' tokens at this entry."""

    def __init__(
        self,
        grants: Grants,
        debts: DebtBook,
        peers: EscrowTransport,
        timers: Timers,
        address: str,
        entries: Callable[[], list[str]],
        knows_all_since: float | None = None,
    ) -> None:
        """Take the parts, this entry's address, and what names the region's entries.

        `knows_all_since` is None for an entry of a system that starts for the first
        time; one that has restarted knows all grants only after `IDLE_S`.
        """
        self._grants = grants
        self._debts = debts
        self._peers = peers
        self._timers = timers
        self._address = address
        self._entries = entries
        self._knows_all_since = knows_all_since
        self._started_at = timers.now()
        self._programs: dict[str, _Program] = {}
        self._first_askers: dict[str, _Asker] = {}
        self._avoided_until: dict[str, float] = {}
        self._repaying: set[asyncio.Task] = set()

    async def reserve(
        self,
        program: str,
        budget: int,
        tokens: int,
        deadline_at: float,
        expected: int | None = None,
    ) -> Reservation:
        """Set a turn's tokens aside; Refusal when they are spent or cannot be had in time."""
        entry = self._entry(program, budget)
        allowance = entry.allowance
        allowance.used_at = self._timers.now()
        while not (amount := allowance.reserve(tokens, expected)):
            async with entry.lock:
                if allowance.available < tokens:
                    await self._obtain(entry, _Quest(entry, tokens), deadline_at)
        return Reservation(allowance, amount)

    def settle(self, reservation: Reservation) -> None:
        """End a turn's reservation; what it did not use may be reserved again."""
        if reservation.settled:
            return
        reservation.settled = True
        allowance = reservation.allowance
        allowance.settle(reservation.tokens, reservation.used)
        allowance.used_at = self._timers.now()
        self._wake(allowance.program)
        if allowance.lender and not allowance.own and not allowance.reserved:
            self._repay_later(allowance)

    async def borrow(self, program: str, tokens: int, budget: int) -> Loan:
        """Lend tokens of a grant held here, or taken for this where a budget is named."""
        entry = self._programs.get(program)
        if entry is None or not entry.allowance.holds_grant:
            if not budget:
                return Loan(UNKNOWN)
            entry = self._entry(program, budget)
        allowance = entry.allowance
        now = self._timers.now()
        allowance.used_at = now
        allowance.write_off_loans(now)
        lent = allowance.lend(tokens, now)
        if not lent:
            quest = _Quest(entry, tokens, not budget, for_peer=True, alone=not budget)
            try:
                async with entry.lock:
                    await self._obtain(entry, quest, now + BUSY_WAIT_S)
            except Refusal as refusal:
                spent = refusal.reason is Reason.BUDGET_EXHAUSTED
                return Loan(SPENT if spent else BUSY)
            lent = allowance.lend(tokens, self._timers.now())
        return Loan(GRANTED, lent) if lent else Loan(BUSY)

    async def repay(self, program: str, unused: int, used: int) -> None:
        """Take back what a peer did not use."""
        entry = self._programs.get(program)
        if entry is not None:
            entry.allowance.repaid(unused, used)
            self._wake(program)

    async def holder(self, program: str, asker: str) -> Holder:
        """Say which entry holds a program's grant, as far as is known here.

        One who asks because it needs a grant gives its address; one who asks because
        the service is away gives none.
        """
        entry = self._programs.get(program)
        address = '' if entry is None else self._known_holder(entry.allowance)
        if asker:
            return Holder(address or self._first_asker(program, asker), False)
        self._grants.note_trouble()
        is_sure = entry is None or (entry.allowance.pending is None and not entry.deciding)
        return Holder(address, self._knows_all() and (bool(address) or is_sure))

    def _known_holder(self, allowance: Allowance) -> str:
        if allowance.own:
            return self._address
        lenders = allowance.lenders(self._address)
        return lenders[0] if lenders else ''

    def allowance(self, program: str) -> Allowance | None:
        """Return what is known here of a program."""
        entry = self._programs.get(program)
        return None if entry is None else entry.allowance

    async def give_back_all(self) -> None:
        """Record that grants held here were not used, so that other entries may use them."""
        allowances = [entry.allowance for entry in self._programs.values()]
        await self._grants.give_back(
            [a for a in allowances if a.own and a.available > 0 and not a.debt and a.revision]
        )

    async def record_debts(self) -> None:
        """Record grants on debt, again and again until cancelled."""
        while True:
            await self._timers.sleep(DEBT_CHECK_S)
            for entry in list(self._programs.values()):
                if entry.allowance.debt and not entry.lock.locked():
                    async with entry.lock:
                        taken = await self._grants.take(entry.allowance, 0)
                    if taken is Taken.NO_ANSWER:
                        break

    def forget_idle(self) -> None:
        """Forget programs that have been idle for long; their grants count as spent."""
        now = self._timers.now()
        for program, asker in list(self._first_askers.items()):
            if now - asker.asked_at > IDLE_S:
                del self._first_askers[program]
        for program, entry in list(self._programs.items()):
            allowance = entry.allowance
            idle = now - allowance.used_at > IDLE_S and not allowance.debt
            if idle and not allowance.in_progress and not entry.lock.locked():
                del self._programs[program]

    def _entry(self, program: str, budget: int) -> _Program:
        entry = self._programs.get(program)
        if entry is None:
            entry = _Program(Allowance(program, BudgetRecord(budget, 0)))
            self._programs[program] = entry
        return entry

    async def _obtain(self, entry: _Program, quest: _Quest, deadline_at: float) -> None:
        """Get more tokens into an allowance; returns when some more may be reserved."""
        allowance = entry.allowance
        quick_steps = QUICK_STEPS
        delay_s = RETRY_DELAY_S
        while quest.missing > 0:
            before = allowance.available
            why = await self._step(quest)
            if allowance.available > before:
                return
            quick_steps -= 1
            if quick_steps > 0:
                continue
            until = min(deadline_at, self._timers.now() + delay_s)
            if until >= deadline_at:
                raise _unavailable(why)
            await self._changed(entry, until)
            quest.refused.clear()
            delay_s = min(2 * delay_s, RETRY_DELAY_LIMIT_S)

    async def _step(self, quest: _Quest) -> str:
        """Do the next thing that may bring tokens; return why there may be none."""
        allowance = quest.allowance
        if allowance.pending is not None and not quest.alone:
            taken = await self._grants.take(allowance, quest.tokens, patient=quest.patient)
            if taken is not Taken.NO_ANSWER:
                return 'a grant without an answer has been cleared up'
        lender = self._next_lender(quest)
        if lender and not allowance.own:
            return await self._ask(quest, lender)
        if self._is_new(quest) and not quest.asked_for_holder:
            return await self._find_holder(quest)
        if allowance.unrecorded > 0 or allowance.pending is not None:
            return await self._ask_service(quest)
        if lender:
            return await self._ask(quest, lender)
        if quest.lost:
            raise _unavailable('an entry that holds a grant cannot be reached')
        if not allowance.in_progress:
            raise _spent(allowance)
        return 'turns in progress hold the rest of the budget'

    def _next_lender(self, quest: _Quest) -> str:
        if quest.alone:
            return ''
        lenders = quest.allowance.lenders(self._address)
        return next((lender for lender in lenders if lender not in quest.refused), '')

    async def _ask(self, quest: _Quest, lender: str) -> str:
        """Borrow from another entry; one that has nothing is not asked again."""
        asked = quest.missing
        loan = await self._borrow(quest.allowance, lender, asked, 0, BORROW_TIMEOUT_S)
        if loan.outcome == GRANTED:
            quest.allowance.borrow(loan.tokens, asked, lender)
        elif loan.outcome not in (BUSY, SILENT):
            quest.refused.add(lender)
            quest.lost = quest.lost or loan.outcome == UNREACHABLE
        return f'the grant is held at {lender}: {loan.outcome}'

    def _chosen(self, program: str) -> str:
        """Return the entry that is asked first about a program, as seen from here."""
        now = self._timers.now()
        known = [a for a in self._entries() if self._avoided_until.get(a, now) <= now]
        return rendezvous(program, sorted({self._address, *known}))[0]

    def _is_new(self, quest: _Quest) -> bool:
        """Say whether nothing is known here of a program, and others may know more."""
        allowance = quest.allowance
        known = allowance.revision or allowance.holds_grant or allowance.lender
        return not known and not quest.for_peer

    async def _find_holder(self, quest: _Quest) -> str:
        """Ask the chosen entry who holds a grant; one that is not sure does no harm."""
        allowance = quest.allowance
        quest.asked_for_holder = True
        chosen = self._chosen(allowance.program)
        if chosen == self._address:
            holder = self._first_asker(allowance.program, self._address)
        else:
            reply = await self._holder_at(chosen, allowance.program, self._address)
            holder = reply.address if reply is not None else ''
            if reply is None:
                self._avoided_until[chosen] = self._timers.now() + AVOID_S
        allowance.lender = holder if holder != self._address else ''
        return f'{chosen} names as holder: {holder}'

    def _first_asker(self, program: str, asker: str) -> str:
        """Return who asked first for a program's holder, and remember who did."""
        first = self._first_askers.setdefault(program, _Asker(asker, self._timers.now()))
        return first.address

    async def _ask_service(self, quest: _Quest) -> str:
        allowance = quest.allowance
        quest.entry.deciding = True
        try:
            debt = await self._debt_elsewhere(allowance)
            if debt is not None:
                if await self._grants.read(allowance):
                    return 'others were granted tokens'
                if not await self._is_lost(quest, debt):
                    return f'a grant on debt of {debt.holder} is not recorded yet'
                allowance.count_lost(debt.tokens)
            taken = await self._grants.take(allowance, quest.tokens, patient=quest.patient)
        finally:
            quest.entry.deciding = False
        if taken is Taken.NO_ANSWER:
            await self._without_service(quest)
        return 'the key-value service does not answer'

    async def _is_lost(self, quest: _Quest, debt: Debt) -> bool:
        """Say whether the holder of a debt cannot record it; if it can, borrow from it."""
        if debt.holder == self._address:
            return True  # from before a restart: a debt of this run would be known
        if debt.holder in quest.refused or quest.alone:
            return debt.holder in quest.refused
        allowance, asked = quest.allowance, quest.missing
        loan = await self._borrow(allowance, debt.holder, asked, 0, BORROW_TIMEOUT_S)
        if loan.outcome == GRANTED:
            allowance.borrow(loan.tokens, asked, debt.holder)
        elif loan.outcome in (UNKNOWN, UNREACHABLE):
            log.warning('debt_lost', program=allowance.program, **attrs.asdict(debt))
            return True
        return False

    async def _debt_elsewhere(self, allowance: Allowance) -> Debt | None:
        """Return another entry's debt that no record may show yet."""
        troubled_at = self._grants.troubled_at
        recent = self._started_at if troubled_at is None else max(troubled_at, self._started_at)
        knows = self._knows_all_since is None and troubled_at is None
        is_known = allowance.revision or allowance.debt or knows
        if is_known or self._timers.now() - recent > DEBT_KEEP_S:
            return None
        if self._grants.away_since is not None:
            return None  # whether to grant on debt is decided elsewhere
        return await self._debts.find(allowance.program)

    async def _without_service(self, quest: _Quest) -> None:
        """Get tokens for a program that is new here while the service cannot be reached."""
        allowance = quest.allowance
        if allowance.revision or allowance.debt:
            return
        chosen = self._chosen(allowance.program)
        if quest.for_peer or chosen == self._address:
            others = [address for address in self._entries() if address != self._address]
            await self._grant_on_debt(quest, others)
            return
        asked = quest.missing
        loan = await self._borrow(
            allowance, chosen, asked, allowance.budget, BORROW_GRANT_TIMEOUT_S
        )
        if loan.outcome == GRANTED:
            allowance.borrow(loan.tokens, asked, chosen)
        elif loan.outcome in (UNREACHABLE, SILENT):
            self._avoided_until[chosen] = self._timers.now() + AVOID_S

    async def _grant_on_debt(self, quest: _Quest, others: list[str]) -> None:
        """Grant tokens that the service will be told of later; once for a program."""
        allowance = quest.allowance
        most = min(quest.tokens, allowance.budget)
        ordinary = allowance.next_grant(quest.tokens)
        debt = Debt(self._address, max(most, ordinary))
        if not await self._debts.enter(allowance.program, debt):
            found = await self._debts.find(allowance.program)
            elsewhere = found is not None and found.holder != self._address
            allowance.lender = found.holder if elsewhere else ''
            return
        replies = await asyncio.gather(*(self._holder_at(o, allowance.program, '') for o in others))
        known = next((r.address for r in replies if r is not None and r.address), '')
        if known not in ('', self._address):
            allowance.lender = known
            return
        is_new = self._knows_all() and all(r is not None and r.complete for r in replies)
        amount = ordinary if is_new else most
        allowance.grant_on_debt(amount)
        log.warning(
            'budget_granted_on_debt',
            program=allowance.program,
            tokens=amount,
            budget=allowance.budget,
            asked=len(others),
            is_new=is_new,
        )

    async def _borrow(
        self, allowance: Allowance, peer: str, tokens: int, budget: int, timeout_s: float
    ) -> Loan:
        try:
            return await self._peers.borrow(peer, allowance.program, tokens, budget, timeout_s)
        except NotSent as exc:
            log.info('borrow_failed', program=allowance.program, peer=peer, error=str(exc))
            return Loan(UNREACHABLE)
        except OutcomeUnknown as exc:
            log.info('borrow_unanswered', program=allowance.program, peer=peer, error=str(exc))
            return Loan(SILENT)

    async def _holder_at(self, peer: str, program: str, asker: str) -> Holder | None:
        try:
            return await self._peers.holder(peer, program, asker, HOLDER_TIMEOUT_S)
        except (NotSent, OutcomeUnknown) as exc:
            log.info('holder_not_asked', program=program, peer=peer, error=str(exc))
            return None

    def _knows_all(self) -> bool:
        since = self._knows_all_since
        return since is None or self._timers.now() - since >= IDLE_S

    async def _changed(self, entry: _Program, until: float) -> None:
        """Wait until tokens were given back, or until a time."""
        entry.changed.clear()
        try:
            async with asyncio.timeout(max(0.0, until - self._timers.now())):
                await entry.changed.wait()
        except TimeoutError:
            return

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
                allowance.lender, allowance.program, unused, used, BORROW_TIMEOUT_S
            )
        except (NotSent, OutcomeUnknown) as exc:
            log.info('repay_failed', program=allowance.program, unused=unused, error=str(exc))


def _spent(allowance: Allowance) -> Refusal:
    detail = f'{allowance.program}: {allowance.record.granted} of {allowance.budget} granted'
    return Refusal(Reason.BUDGET_EXHAUSTED, detail, step=Step.RESERVE)


def _unavailable(why: str) -> Refusal:
    return Refusal(
        Reason.BUDGET_UNAVAILABLE, why, step=Step.RESERVE, retry_after_ms=BUDGET_RETRY_AFTER_MS
    )
