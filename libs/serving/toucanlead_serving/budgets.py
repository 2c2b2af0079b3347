"""Budgets: reserves the tokens of each turn out of grants.

The first entry that handles a turn of a program takes a grant. Other entries borrow from
this holder, turn by turn, and take a grant of their own only when no holder can lend.

No entry owns a program. Each program has a few witnesses, entries of the region selected
by rendezvous hashing of the program's id; the first of them is its coordinator. An entry
that knows nothing of a program asks them who holds a grant, and they remember who asked.
Their answer may be wrong or missing without harm, because the record in the key-value
service is authoritative and names the holders too. While no witness answers, grants are
limited to one turn.

While the key-value service is unavailable, the coordinator grants tokens as a debt, once
per program: the token limit of one turn, by which the budget may be overdrawn at worst,
or a regular grant if the witnesses are certain that no entry holds a grant. It notes the debt
on the archives first, and then asks the witnesses. An entry that takes a first grant does it the
other way round: it tells the witnesses, and looks for a debt on the archives unless all of them
answer that nobody has asked them about one. So one of the two sees the other, whoever noticed
the outage, and whichever of them restarts, stops or is lost.
"""

import asyncio
import math
from collections.abc import Callable, Coroutine

import attrs
import structlog
from attrs import define, field

from toucanlead_core.errors import NotSent, OutcomeUnknown, Reason, Refusal, Step
from toucanlead_core.timers import Timers
from toucanlead_peer.serving_interfaces import (
    LOAN_BUDGET_SPENT,
    LOAN_BUSY,
    LOAN_GRANTED,
    LOAN_NO_GRANT,
    LOAN_NO_RESPONSE,
    LOAN_UNREACHABLE,
    GrantHolder,
    Loan,
    LoanHandler,
    LoanTransport,
)

from .allowance import Allowance, BudgetRecord
from .debts import DEBT_RETENTION_S, Debt, DebtSearch, DebtStore
from .grant_witnesses import Announcement, GrantSurvey, GrantWitnesses
from .grants import GrantOutcome, Grants

log = structlog.get_logger()

BORROW_TIMEOUT_S = 0.25  # a round trip between regions and one retransmission
BORROW_GRANT_TIMEOUT_S = 0.8  # the lender first asks the key-value service and its peers
RESERVE_WAIT_S = 1.0  # callers abandon a turn after two seconds; refused, they come back
LEND_WAIT_S = 0.6  # turns in progress mostly return their unused tokens within this time
STEPS_BEFORE_BACKOFF = 4  # enough for a lost lender, the service and another lender
RETRY_DELAY_S = 0.05
RETRY_DELAY_LIMIT_S = 0.4
BUDGET_RETRY_AFTER_MS = 500  # turns in progress return tokens, and short outages end, by then
IDLE_S = 300.0  # most programs that have been idle for this long have ended
DEBT_CHECK_S = 0.5
STOP_RECORD_S = 0.3  # for recording debts while the entry stops; the archives have notes of them
# How long a debt is presumed possible while too few archives answer and witnesses do not know.
# Archives that are lost at the same time are back by then, or their copies have been replaced.
DEBT_DOUBT_S = 5.0


@define(eq=False)
class Reservation:
    """Tokens reserved for one turn; `used` of them have been handed out."""

    allowance: Allowance
    tokens: int
    used: int = 0
    settled: bool = False

    @property
    def left(self) -> int:
        """Return how many tokens the turn may still hand out."""
        return self.tokens - self.used


@define(eq=False)
class _ProgramState:
    allowance: Allowance
    requesting_grant: bool = False  # from the announcement to the answer of a grant request
    witnessed: bool = False  # a witness knows that this entry needs a grant
    lock: asyncio.Lock = field(
        factory=asyncio.Lock
    )  # serializes token searches and the recording of debts
    tokens_returned: asyncio.Event = field(factory=asyncio.Event)


@define(eq=False)
class _TokenSearch:
    """The progress of one search for tokens over lenders and the key-value service."""

    state: _ProgramState
    tokens: int
    may_retry: bool = True  # a request to the key-value service may be sent again
    for_peer: bool = False  # the tokens are to be lent to a peer
    no_borrowing: bool = False
    asked_for_holder: bool = False
    announcement: Announcement | None = None  # made for the grant request that comes next
    failed_lenders: set[str] = field(factory=set)  # not asked again until the next delay
    lender_unreachable: bool = False

    @property
    def allowance(self) -> Allowance:
        """Return the allowance that receives the tokens."""
        return self.state.allowance

    @property
    def missing(self) -> int:
        """Return how many tokens are still to be found."""
        return self.tokens - self.allowance.available


class Budgets(LoanHandler):
    """Reserves and lends the tokens of all programs at this entry."""

    def __init__(
        self,
        grants: Grants,
        debts: DebtStore,
        peers: LoanTransport,
        timers: Timers,
        address: str,
        region_entries: Callable[[], list[str]],
        restarted_at: float | None = None,
        other_regions: Callable[[], list[list[str]]] = list,
    ) -> None:
        """`address` is this entry's; `region_entries` returns those of the region's entries.

        `other_regions` returns the addresses of the entries of each other region.
        `restarted_at` is None on the first start of the system, else the time at which
        this entry started. A restarted entry knows all grants only after `IDLE_S`.
        """
        self._grants = grants
        self._debts = debts
        self._peers = peers
        self._timers = timers
        self._address = address
        self._witnesses = GrantWitnesses(peers, timers, address, region_entries, other_regions)
        self._restarted_at = restarted_at
        self._programs: dict[str, _ProgramState] = {}
        self._background: set[asyncio.Task] = set()
        self._doubtful_since: float | None = None

    async def reserve(
        self,
        program: str,
        budget: int,
        tokens: int,
        deadline_at: float,
        expected: int | None = None,
    ) -> Reservation:
        """Reserve a turn's tokens.

        `tokens` is the turn's token limit and `expected` its expected use. Raise Refusal
        if the budget is exhausted, or if no tokens are available within `RESERVE_WAIT_S`
        and before `deadline_at`.
        """
        state = self._state_of(program, budget)
        allowance = state.allowance
        allowance.last_used_at = self._timers.now()
        deadline_at = min(deadline_at, allowance.last_used_at + RESERVE_WAIT_S)
        if not tokens:
            return Reservation(allowance, 0)
        while not (amount := allowance.reserve(tokens, expected)):
            async with state.lock:
                if allowance.available < tokens:
                    await self._obtain_tokens(state, _TokenSearch(state, tokens), deadline_at)
        return Reservation(allowance, amount)

    def settle(self, reservation: Reservation) -> None:
        """End a turn's reservation and free its unused tokens; later calls do nothing."""
        if reservation.settled:
            return
        reservation.settled = True
        allowance = reservation.allowance
        allowance.settle(reservation.tokens, reservation.used)
        allowance.last_used_at = self._timers.now()
        self._notify_waiters(allowance.program)
        if allowance.lender and not allowance.has_own_grant and not allowance.reserved:
            self._schedule_repayment(allowance)

    async def lend(self, program: str, tokens: int, budget: int) -> Loan:
        """Lend tokens to a peer from a grant held here.

        With a budget other than 0, take a grant first if none is held here.
        """
        state = self._programs.get(program)
        if state is None or not state.allowance.may_hold_grant:
            if not budget:
                return Loan(LOAN_NO_GRANT)
            state = self._state_of(program, budget)
        allowance = state.allowance
        now = self._timers.now()
        allowance.last_used_at = now
        allowance.expire_loans(now)
        lent = allowance.lend(tokens, now)
        if not lent:
            search = _TokenSearch(state, tokens, not budget, for_peer=True, no_borrowing=not budget)
            try:
                async with state.lock:
                    await self._obtain_tokens(state, search, now + LEND_WAIT_S)
            except Refusal as refusal:
                spent = refusal.reason is Reason.BUDGET_EXHAUSTED
                return Loan(LOAN_BUDGET_SPENT if spent else LOAN_BUSY)
            lent = allowance.lend(tokens, self._timers.now())
        return Loan(LOAN_GRANTED, lent) if lent else Loan(LOAN_BUSY)

    async def accept_repayment(self, program: str, unused: int, used: int) -> None:
        """Take back a peer's unused tokens and count its used ones as spent."""
        state = self._programs.get(program)
        if state is not None:
            state.allowance.accept_repayment(unused, used)
            self._notify_waiters(program)

    async def grant_holder(self, program: str, requester: str) -> GrantHolder:
        """Return which entry holds a program's grant, as far as is known here.

        `requester` is the address of an entry that needs a grant. It is empty when an entry
        asks because the key-value service is unavailable.
        """
        state = self._programs.get(program)
        address = '' if state is None else self._known_holder(state.allowance)
        if requester:
            first = self._witnesses.note_requester(program, requester)
            asked_about_debt = self._witnesses.was_surveyed(program)
            return GrantHolder(address or first, self._knows_all_surveys() and not asked_about_debt)
        self._witnesses.note_survey(program)
        self._grants.note_outage()
        no_grant_pending = state is None or (
            state.allowance.pending is None and not state.requesting_grant
        )
        requesters = self._witnesses.requesters(program)
        complete = self._knows_all_grants() and requesters.complete
        return GrantHolder(
            address, complete and (bool(address) or no_grant_pending), tuple(requesters.addresses)
        )

    def _known_holder(self, allowance: Allowance) -> str:
        if allowance.has_own_grant:
            return self._address
        lenders = allowance.lenders(self._address)
        return lenders[0] if lenders else ''

    def allowance(self, program: str) -> Allowance | None:
        """Return a program's allowance at this entry, None if it has none."""
        state = self._programs.get(program)
        return None if state is None else state.allowance

    async def return_unused_grants(self) -> None:
        """Return unused grants to the recorded budgets, so that other entries can use them."""
        allowances = [state.allowance for state in self._programs.values()]
        await self._grants.return_unused(
            [
                a
                for a in allowances
                if a.has_own_grant and a.available > 0 and not a.debt and a.revision
            ]
        )

    def count_debts(self) -> int:
        """Return how many programs have a debt here that is not recorded yet."""
        return sum(state.allowance.debt > 0 for state in self._programs.values())

    async def record_debts(self) -> None:
        """Record debts periodically until cancelled."""
        while True:
            await self._timers.sleep(DEBT_CHECK_S)
            await self._record_open_debts()

    async def record_debts_at_stop(self) -> None:
        """Record the debts of an entry that stops, as far as there is time."""
        try:
            async with asyncio.timeout(STOP_RECORD_S):
                await self._record_open_debts()
        except TimeoutError:
            pass
        for state in self._programs.values():
            if state.allowance.debt:
                log.warning(
                    'debt_not_recorded',
                    program=state.allowance.program,
                    tokens=state.allowance.debt,
                )

    async def _record_open_debts(self) -> None:
        for state in list(self._programs.values()):
            if state.allowance.debt and not state.lock.locked():
                async with state.lock:
                    outcome = await self._grants.take(state.allowance, 0)
                if outcome is GrantOutcome.NO_ANSWER:
                    return

    def drop_idle(self) -> None:
        """Remove the state of programs idle for `IDLE_S`; their unused tokens count as spent."""
        now = self._timers.now()
        self._witnesses.forget_idle(IDLE_S, DEBT_RETENTION_S)
        for program, state in list(self._programs.items()):
            allowance = state.allowance
            idle = now - allowance.last_used_at > IDLE_S and not allowance.debt
            if idle and not allowance.in_progress and not state.lock.locked():
                del self._programs[program]

    def _state_of(self, program: str, budget: int) -> _ProgramState:
        state = self._programs.get(program)
        if state is None:
            state = _ProgramState(Allowance(program, BudgetRecord(budget, 0)))
            self._programs[program] = state
        return state

    async def _obtain_tokens(
        self, state: _ProgramState, search: _TokenSearch, deadline_at: float
    ) -> None:
        """Search for tokens until more are available.

        Raise Refusal at the deadline or when the budget is exhausted.
        """
        try:
            await self._search_tokens(state, search, deadline_at)
        finally:
            state.requesting_grant = False

    async def _search_tokens(
        self, state: _ProgramState, search: _TokenSearch, deadline_at: float
    ) -> None:
        allowance = state.allowance
        steps_left = STEPS_BEFORE_BACKOFF
        delay_s = RETRY_DELAY_S
        while search.missing > 0:
            before = allowance.available
            detail = await self._try_next_source(search)
            if allowance.available > before:
                return
            steps_left -= 1
            if steps_left > 0:
                continue
            wait_until = min(deadline_at, self._timers.now() + delay_s)
            if wait_until >= deadline_at:
                raise _budget_unavailable(detail)
            await self._wait_for_tokens(state, wait_until)
            search.failed_lenders.clear()
            delay_s = min(2 * delay_s, RETRY_DELAY_LIMIT_S)

    async def _try_next_source(self, search: _TokenSearch) -> str:
        """Try the next source of tokens.

        Return what happened, as the detail of a refusal in case no tokens are found.
        """
        allowance = search.allowance
        if allowance.pending is not None and not search.no_borrowing:
            outcome = await self._grants.take(allowance, search.tokens, may_retry=search.may_retry)
            if outcome is not GrantOutcome.NO_ANSWER:
                return 'an unanswered grant request has been resolved'
        lender = self._next_lender(search)
        if lender and not allowance.has_own_grant:
            return await self._borrow_from(search, lender)
        if self._is_new(search) and not search.asked_for_holder:
            return await self._find_holder(search)
        if allowance.ungranted > 0 or allowance.pending is not None:
            return await self._request_grant(search)
        if lender:
            return await self._borrow_from(search, lender)
        if search.lender_unreachable:
            raise _budget_unavailable('an entry that holds a grant is unreachable')
        if not allowance.in_progress:
            raise _budget_exhausted(allowance)
        return 'the rest of the budget is reserved by turns in progress'

    def _next_lender(self, search: _TokenSearch) -> str:
        if search.no_borrowing:
            return ''
        lenders = search.allowance.lenders(self._address)
        return next((lender for lender in lenders if lender not in search.failed_lenders), '')

    async def _borrow_from(self, search: _TokenSearch, lender: str) -> str:
        """Borrow from another entry; mark it as failed if it has no tokens or is unreachable."""
        asked = search.missing
        loan = await self._send_borrow(search.allowance, lender, asked, 0, BORROW_TIMEOUT_S)
        if loan.outcome == LOAN_GRANTED:
            search.allowance.add_loan(loan.tokens, asked, lender)
        elif loan.outcome not in (LOAN_BUSY, LOAN_NO_RESPONSE):
            search.failed_lenders.add(lender)
            search.lender_unreachable = (
                search.lender_unreachable or loan.outcome == LOAN_UNREACHABLE
            )
        return f'borrowing from {lender}: {loan.outcome}'

    def _is_new(self, search: _TokenSearch) -> bool:
        """Return whether nothing is known of the program and the tokens are for a turn here."""
        allowance = search.allowance
        known = allowance.revision or allowance.may_hold_grant or allowance.lender
        return not known and not search.for_peer

    async def _find_holder(self, search: _TokenSearch) -> str:
        """Tell the witnesses that a grant is needed, and learn who holds one; it may be wrong."""
        search.asked_for_holder = True
        announcement = await self._announce(search, until_holder=True)
        search.allowance.lender = announcement.holder
        if announcement.holder:
            self._end_grant_request(search)
        return f'reported as holder: {announcement.holder}'

    async def _announce(self, search: _TokenSearch, until_holder: bool = False) -> Announcement:
        """Tell the witnesses that a grant is needed; from now on, one may be requested."""
        search.state.requesting_grant = True
        program = search.allowance.program
        search.announcement = await self._witnesses.announce(program, until_holder)
        search.state.witnessed = search.announcement.witnessed
        return search.announcement

    def _end_grant_request(self, search: _TokenSearch) -> None:
        search.state.requesting_grant = False
        search.announcement = None

    async def _request_grant(self, search: _TokenSearch) -> str:
        allowance = search.allowance
        if not self._grants.attempt_due:
            self._end_grant_request(search)
            await self._obtain_without_service(search)
            return 'the key-value service does not answer'
        is_first = not allowance.revision and not allowance.debt
        try:
            if search.announcement is None and (is_first or not search.state.witnessed):
                await self._announce(search)
            search.state.requesting_grant = True
            if is_first and (obstacle := await self._check_unrecorded_debt(search)):
                return obstacle
            allowance.one_turn_grants = not search.state.witnessed
            outcome = await self._grants.take(allowance, search.tokens, may_retry=search.may_retry)
        finally:
            self._end_grant_request(search)
        if outcome is GrantOutcome.NO_ANSWER:
            await self._obtain_without_service(search)
        return 'the key-value service does not answer'

    async def _check_unrecorded_debt(self, search: _TokenSearch) -> str:
        """Look for a debt that has to count as granted before a program's first grant.

        Return why no grant can be taken now, an empty text if one can.
        """
        allowance = search.allowance
        announced = search.announcement is not None and search.announcement.debt_free
        debt_free = announced and self._knows_all_surveys()
        undisturbed = self._since_disruption_s() > DEBT_RETENTION_S
        if allowance.record.granted or (debt_free and undisturbed):
            return ''
        found = await self._debts.find(allowance.program, everywhere=not debt_free)
        if found.debt is None and (debt_free or not self._is_doubtful(found)):
            return ''
        if await self._grants.refresh(allowance):
            return 'other entries have been granted tokens'
        if found.debt is None:
            return 'too few archives say whether there is a debt'
        if not await self._is_debt_lost(search, found.debt):
            return f'a debt of {found.debt.holder} is not recorded yet'
        allowance.count_lost_debt(found.debt.tokens, found.debt.holder)
        return ''

    def _is_doubtful(self, search: DebtSearch) -> bool:
        """Return whether too few archives have answered, but not for so long that none will."""
        now = self._timers.now()
        if search.complete:
            self._doubtful_since = None
        elif self._doubtful_since is None:
            self._doubtful_since = now
        return self._doubtful_since is not None and now - self._doubtful_since < DEBT_DOUBT_S

    def _since_disruption_s(self) -> float:
        """Return how long ago this entry restarted or heard of an outage, infinity if never."""
        last_outage_at = self._grants.last_outage_at
        times = [at for at in (self._restarted_at, last_outage_at) if at is not None]
        return self._timers.now() - max(times) if times else math.inf

    def _knows_all_surveys(self) -> bool:
        """Return whether this entry knows of all debts that it was asked about."""
        restarted_at = self._restarted_at
        return restarted_at is None or self._timers.now() - restarted_at > DEBT_RETENTION_S

    async def _is_debt_lost(self, search: _TokenSearch, debt: Debt) -> bool:
        """Return whether a debt is to count as granted, as far as its holder's answer says.

        A holder that lends knows the debt and records it.
        """
        if debt.holder == self._address:
            return True  # made before a restart; a debt of this process would be known
        if debt.holder in search.failed_lenders or search.no_borrowing:
            return debt.holder in search.failed_lenders
        allowance, asked = search.allowance, search.missing
        loan = await self._send_borrow(allowance, debt.holder, asked, 0, BORROW_TIMEOUT_S)
        if loan.outcome == LOAN_GRANTED:
            allowance.add_loan(loan.tokens, asked, debt.holder)
        elif loan.outcome in (LOAN_NO_GRANT, LOAN_UNREACHABLE, LOAN_NO_RESPONSE):
            log.warning('debt_lost', program=allowance.program, **attrs.asdict(debt))
            return True
        return False

    async def _obtain_without_service(self, search: _TokenSearch) -> None:
        """Obtain tokens for a program new to this entry while the service is unavailable.

        The coordinator grants them as a debt; any other entry borrows from it.
        """
        allowance = search.allowance
        if allowance.revision or allowance.debt:
            return
        coordinator = self._witnesses.coordinator_of(allowance.program)
        if search.for_peer or coordinator == self._address:
            await self._grant_on_debt(search)
            return
        asked = search.missing
        loan = await self._send_borrow(
            allowance, coordinator, asked, allowance.budget, BORROW_GRANT_TIMEOUT_S
        )
        if loan.outcome == LOAN_GRANTED:
            allowance.add_loan(loan.tokens, asked, coordinator)
        elif loan.outcome in (LOAN_UNREACHABLE, LOAN_NO_RESPONSE):
            self._witnesses.avoid(coordinator)

    async def _grant_on_debt(self, search: _TokenSearch) -> None:
        """Grant tokens as a debt unless the program has one or another entry holds a grant."""
        allowance = search.allowance
        turn_grant = min(search.tokens, allowance.budget)
        regular_grant = allowance.next_grant_size(search.tokens)
        debt = Debt(self._address, max(turn_grant, regular_grant))
        if not await self._debts.add(allowance.program, debt):
            found = (await self._debts.find(allowance.program)).debt
            held_elsewhere = found is not None and found.holder != self._address
            allowance.lender = found.holder if held_elsewhere else ''
            return
        survey = await self._witnesses.survey(allowance.program)
        if survey.holder:
            allowance.lender = survey.holder
            return
        # This turn need not wait for other regions, which answer only after tens of milliseconds.
        allowance.grant_on_debt(turn_grant)
        self._spawn(self._extend_debt(search.state, survey, regular_grant - turn_grant))

    async def _extend_debt(self, state: _ProgramState, survey: GrantSurvey, tokens: int) -> None:
        """Add tokens to a debt of one turn if no entry of any region holds a grant."""
        allowance = state.allowance
        elsewhere = await self._witnesses.survey_other_regions(allowance.program)
        is_new = self._knows_all_grants() and survey.certain and elsewhere.certain
        async with state.lock:
            if elsewhere.holder:
                allowance.lender = elsewhere.holder
            elif is_new and allowance.debt and not allowance.revision:
                allowance.grant_on_debt(max(0, tokens))
                self._notify_waiters(allowance.program)
        log.warning(
            'budget_granted_on_debt',
            program=allowance.program,
            tokens=allowance.debt,
            budget=allowance.budget,
            asked=survey.asked + elsewhere.asked,
            is_new=is_new and not elsewhere.holder,
        )

    async def _send_borrow(
        self, allowance: Allowance, peer: str, tokens: int, budget: int, timeout_s: float
    ) -> Loan:
        try:
            return await self._peers.borrow(peer, allowance.program, tokens, budget, timeout_s)
        except NotSent as exc:
            log.info('borrow_failed', program=allowance.program, peer=peer, error=str(exc))
            return Loan(LOAN_UNREACHABLE)
        except OutcomeUnknown as exc:
            log.info('borrow_unanswered', program=allowance.program, peer=peer, error=str(exc))
            return Loan(LOAN_NO_RESPONSE)

    def _knows_all_grants(self) -> bool:
        restarted_at = self._restarted_at
        return restarted_at is None or self._timers.now() - restarted_at >= IDLE_S

    async def _wait_for_tokens(self, state: _ProgramState, wait_until: float) -> None:
        """Wait until tokens have been returned, at most until `wait_until`."""
        state.tokens_returned.clear()
        try:
            async with asyncio.timeout(max(0.0, wait_until - self._timers.now())):
                await state.tokens_returned.wait()
        except TimeoutError:
            return

    def _notify_waiters(self, program: str) -> None:
        state = self._programs.get(program)
        if state is not None:
            state.tokens_returned.set()

    def _schedule_repayment(self, allowance: Allowance) -> None:
        unused, used = allowance.prepare_repayment()
        if unused or used:
            self._spawn(self._send_repayment(allowance, unused, used))

    def _spawn(self, coro: Coroutine) -> None:
        task = asyncio.ensure_future(coro)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _send_repayment(self, allowance: Allowance, unused: int, used: int) -> None:
        try:
            await self._peers.repay(
                allowance.lender, allowance.program, unused, used, BORROW_TIMEOUT_S
            )
        except (NotSent, OutcomeUnknown) as exc:
            log.info('repay_failed', program=allowance.program, unused=unused, error=str(exc))


def _budget_exhausted(allowance: Allowance) -> Refusal:
    detail = f'{allowance.program}: {allowance.record.granted} of {allowance.budget} granted'
    return Refusal(Reason.BUDGET_EXHAUSTED, detail, step=Step.RESERVE)


def _budget_unavailable(detail: str) -> Refusal:
    return Refusal(
        Reason.BUDGET_UNAVAILABLE, detail, step=Step.RESERVE, retry_after_ms=BUDGET_RETRY_AFTER_MS
    )
