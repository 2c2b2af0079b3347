"""Allowance: the part of a program's token budget that this entry may hand out.

Every token comes from a grant, either directly or as a loan from the entry that holds it.
A grant moves tokens from the budget to one entry and is recorded in the key-value service,
so the sum over all entries stays within the budget whatever fails. A grant whose entry was
lost counts as spent. A debt is a grant made while the key-value service is unavailable and
recorded later.
"""

from attrs import define, frozen

FIRST_GRANT_TURNS = 2  # lets a program start with two parallel turns
GRANT_FRACTION = 0.5  # of the ungranted tokens; the rest survives the loss of this entry
LOAN_EXPIRY_S = 20.0  # longer than any turn and its settlement
MIN_EXPECTED_RATIO = 1.5  # a partial reservation is at least this multiple of the expected tokens
DEFAULT_EXPECTED_FRACTION = 0.25  # of the turn's token limit, if the caller gives no expectation
LOST_DEBT_NONCE = 'lost-debt'  # of the share of a debt that another entry counted as granted
MAX_RECORDED_SHARES = 4  # latest grants kept in a record; programs rarely reach more entries


@frozen
class Share:
    """One grant in a record: the address of the entry that took it and a unique nonce."""

    holder: str
    nonce: str


@frozen
class BudgetRecord:
    """A program's budget in the key-value service, in tokens, with the latest shares last."""

    budget: int
    granted: int
    shares: tuple[Share, ...] = ()

    def with_share(self, tokens: int, share: Share) -> 'BudgetRecord':
        """Return a copy of the record with one more grant."""
        shares = (*self.shares, share)[-MAX_RECORDED_SHARES:]
        return BudgetRecord(self.budget, self.granted + tokens, shares)


@define
class PendingGrant:
    """A write of a record whose result is not known yet.

    `tokens` is the increase of `granted` in the record, including debts. `uncertain` is
    set when an attempt got no answer, so the write may have taken effect or still may.
    """

    record: BudgetRecord
    tokens: int
    uncertain: bool = False

    @property
    def share(self) -> Share:
        """Return the share that the write adds."""
        return self.record.shares[-1]


@define
class Allowance:
    """One program's tokens at this entry.

    `granted` counts grants and loans received, minus tokens returned. `lent` counts
    tokens that peers have borrowed and not repaid. `record` is the last known record in
    the key-value service, read at `revision` (0 if there is none). `debt` counts tokens
    granted here and not recorded yet. `has_own_grant` is set once a grant was taken here.
    `lender` is the address of the entry to borrow from first. With `one_turn_grants`, a
    grant covers no more than the next turn. `last_loan_partial` is set
    when the last loan was smaller than requested. `unreported_used` counts used tokens not
    yet reported to the lender.
    """

    program: str
    record: BudgetRecord
    revision: int = 0
    granted: int = 0
    spent: int = 0
    reserved: int = 0
    lent: int = 0
    debt: int = 0
    pending: PendingGrant | None = None
    has_own_grant: bool = False
    one_turn_grants: bool = False
    lender: str = ''
    last_loan_partial: bool = False
    last_lent_at: float = 0.0
    unreported_used: int = 0
    last_used_at: float = 0.0

    @property
    def budget(self) -> int:
        """Return how many tokens all turns of the program together may generate."""
        return self.record.budget

    @property
    def available(self) -> int:
        """Return how many tokens can be reserved now."""
        return self.granted - self.spent - self.reserved - self.lent

    @property
    def ungranted(self) -> int:
        """Return how many tokens have not been granted to any entry, as far as is known."""
        return max(0, self.budget - self.record.granted - self.debt)

    @property
    def may_hold_grant(self) -> bool:
        """Return whether a grant was taken here or may have been."""
        return self.has_own_grant or self.pending is not None

    @property
    def in_progress(self) -> bool:
        """Return whether running turns or loans may still give tokens back."""
        return self.reserved > 0 or self.lent > 0

    def lenders(self, own_address: str) -> list[str]:
        """Return the addresses of other entries that may lend tokens, most likely first."""
        holders = [share.holder for share in reversed(self.record.shares)]
        known = [self.lender, *holders] if self.lender else holders
        return [holder for holder in dict.fromkeys(known) if holder != own_address]

    def reserve(self, tokens: int, expected: int | None = None) -> int:
        """Reserve tokens for a turn and return how many, 0 if there are too few.

        While there is a debt or the last loan was partial, a turn may start with fewer
        than `tokens`, if at least MIN_EXPECTED_RATIO times `expected` are available.
        """
        if expected is None:
            expected = int(DEFAULT_EXPECTED_FRACTION * tokens)
        amount = tokens if self.available >= tokens else 0
        if not amount and (self.debt or self.last_loan_partial):
            enough = self.available >= MIN_EXPECTED_RATIO * expected
            amount = self.available if enough and self.available > 0 else 0
        self.reserved += amount
        return amount

    def settle(self, reserved: int, used: int) -> None:
        """Release the reservation of a turn that handed out `used` tokens."""
        self.reserved -= reserved
        self.spent += used
        self.unreported_used += used

    def lend(self, tokens: int, now: float) -> int:
        """Lend tokens to a peer and return how many.

        Lend all or none, but while there is a debt lend what is available.
        """
        amount = min(tokens, self.available) if self.debt else tokens
        if self.available < amount or amount <= 0:
            return 0
        self.lent += amount
        self.last_lent_at = now
        return amount

    def accept_repayment(self, unused: int, used: int) -> None:
        """Take back a peer's unused tokens and count its used ones as spent."""
        self.lent = max(0, self.lent - unused - used)
        self.spent += used

    def expire_loans(self, now: float) -> None:
        """Count all loans as spent once the latest one has expired."""
        if self.lent and now - self.last_lent_at > LOAN_EXPIRY_S:
            self.spent += self.lent
            self.lent = 0

    def add_loan(self, tokens: int, asked: int, lender: str) -> None:
        """Add borrowed tokens."""
        self.granted += tokens
        self.last_loan_partial = tokens < asked
        self.lender = lender

    def prepare_repayment(self) -> tuple[int, int]:
        """Withdraw the unused tokens; return (unused, used since the last repayment)."""
        unused, used = self.withdraw_unused(), self.unreported_used
        self.unreported_used = 0
        return unused, used

    def next_grant_size(self, tokens: int) -> int:
        """Return how many tokens to request as a grant, 0 if none are ungranted."""
        needed = tokens - self.available
        if self.one_turn_grants:
            return max(0, min(needed, self.ungranted))
        wanted = max(
            needed,
            FIRST_GRANT_TURNS * tokens - self.available,
            int(GRANT_FRACTION * self.ungranted),
        )
        if self.ungranted - wanted < tokens:
            wanted = self.ungranted  # the remainder would be too small for a turn
        return max(0, min(wanted, self.ungranted))

    def prepare_write(self, tokens: int, share: Share) -> PendingGrant:
        """Return the write that requests a grant and records any debt.

        A write that is still pending is returned unchanged: its condition on the
        revision lets only one attempt take effect. With 0 tokens, only the debt is recorded.
        """
        if self.pending is None:
            increase = (self.next_grant_size(tokens) if tokens else 0) + self.debt
            self.pending = PendingGrant(self.record.with_share(increase, share), increase)
        return self.pending

    def confirm_pending(self, revision: int) -> None:
        """Apply the pending write.

        Its tokens first cover the debt, also debt added after the write was prepared; the
        rest is granted.
        """
        covered = min(self.debt, self.pending.tokens)
        self.debt -= covered
        self.granted += self.pending.tokens - covered
        self.record = self.pending.record
        self.revision = revision
        self.has_own_grant = True
        self.last_loan_partial = False
        self.pending = None

    def replace_record(self, record: BudgetRecord, revision: int, own_address: str = '') -> None:
        """Replace the known record, and confirm the pending write if the new one contains it.

        A debt of this entry, at `own_address`, is recorded if another one has counted it as lost.
        """
        if Share(own_address, LOST_DEBT_NONCE) in record.shares:
            self.debt = 0
        pending = self.pending
        if pending is not None and pending.share in record.shares:
            self.confirm_pending(revision)
        self.pending = None
        self.record = record
        self.revision = revision

    def count_lost_debt(self, tokens: int, holder: str) -> None:
        """Count as granted a debt that its holder can no longer record."""
        if not self.revision:
            shares = (Share(holder, LOST_DEBT_NONCE),)
            self.record = BudgetRecord(self.record.budget, tokens, shares)

    def grant_on_debt(self, tokens: int) -> None:
        """Add a grant that is to be recorded in the key-value service later."""
        self.granted += tokens
        self.debt += tokens
        self.has_own_grant = True

    def withdraw_unused(self) -> int:
        """Remove the unused tokens from the allowance and return how many."""
        unused = max(0, self.available)
        self.granted -= unused
        return unused
