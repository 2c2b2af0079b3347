"""Allowance: the tokens of one program that this entry may hand out.

Every token comes out of a grant. Grants are recorded in the key-value service, so the
sum over all entries stays within the budget whatever fails; one whose entry was lost
counts as spent. While the service is away a grant may be a debt, recorded later.
"""

from attrs import define, frozen

FIRST_GRANT_TURNS = 2  # so that a program may begin with two turns at once
GRANT_FRACTION = 0.5  # of what is left; the rest outlives the loss of this entry
LOAN_EXPIRY_S = 20.0  # longer than any turn and its settlement
MIN_EXPECTED_RATIO = 1.5  # of the expected output, below which a turn is not begun on what is left
DEFAULT_EXPECTED_FRACTION = 0.25  # of a turn's most, where its caller does not say what it expects
MAX_RECORDED_SHARES = 4  # of the latest grants in a record; programs rarely meet more entries


@frozen
class Share:
    """One grant in a record: the entry that took it, and a text that is only its own."""

    holder: str
    nonce: str


@frozen
class BudgetRecord:
    """What the service records of a program's budget, in tokens; the latest shares go last."""

    budget: int
    granted: int
    shares: tuple[Share, ...] = ()

    def with_share(self, tokens: int, share: Share) -> 'BudgetRecord':
        """Return the record with one more grant."""
        shares = (*self.shares, share)[-MAX_RECORDED_SHARES:]
        return BudgetRecord(self.budget, self.granted + tokens, shares)


@define
class PendingGrant:
    """A write that is not answered: when `uncertain`, it may take effect or have done so.

    `tokens` is by how much it raises the record on behalf of this entry.
    """

    record: BudgetRecord
    tokens: int
    uncertain: bool = False

    @property
    def share(self) -> Share:
        """Return the share that it adds."""
        return self.record.shares[-1]


@define
class Allowance:
    """One program's tokens at this entry.

    `granted` counts grants and loans received less what was given back, `lent` what
    peers have borrowed and not given back, `record` what the service was last heard to
    hold, at `revision`; `debt` is what is granted here and not recorded yet. `own` says
    that a grant was taken here, `lender` from whom tokens were borrowed last, `short`
    that no more can be had for now.
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
    own: bool = False
    lender: str = ''
    last_loan_partial: bool = False
    last_lent_at: float = 0.0
    unreported_used: int = 0
    last_used_at: float = 0.0

    @property
    def budget(self) -> int:
        """Return the tokens that all the program's turns may generate."""
        return self.record.budget

    @property
    def available(self) -> int:
        """Return what may be reserved now."""
        return self.granted - self.spent - self.reserved - self.lent

    @property
    def ungranted(self) -> int:
        """Return what no entry has been granted yet, as far as is known."""
        return max(0, self.budget - self.record.granted - self.debt)

    @property
    def holds_grant(self) -> bool:
        """Say whether a grant was taken here, or may have been."""
        return self.own or self.pending is not None

    @property
    def in_progress(self) -> bool:
        """Say whether turns or loans may still give tokens back."""
        return self.reserved > 0 or self.lent > 0

    def lenders(self, own_address: str) -> list[str]:
        """Return the other entries that may have tokens to lend, the likeliest first."""
        holders = [share.holder for share in reversed(self.record.shares)]
        known = [self.lender, *holders] if self.lender else holders
        return [holder for holder in dict.fromkeys(known) if holder != own_address]

    def reserve(self, tokens: int, expected: int | None = None) -> int:
        """Set tokens aside for a turn and return how many, 0 when there are too few.

        When no more can be had, a turn may begin on less than its most, if what is
        left well exceeds what it is expected to use.
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
        """End a turn that handed out `used` tokens."""
        self.reserved -= reserved
        self.spent += used
        self.unreported_used += used

    def lend(self, tokens: int, now: float) -> int:
        """Lend tokens to a peer and return how many; on debt also fewer than asked for."""
        amount = min(tokens, self.available) if self.debt else tokens
        if self.available < amount or amount <= 0:
            return 0
        self.lent += amount
        self.last_lent_at = now
        return amount

    def accept_repayment(self, unused: int, used: int) -> None:
        """Take back what a peer did not use, and count as spent what it did."""
        self.lent = max(0, self.lent - unused - used)
        self.spent += used

    def expire_loans(self, now: float) -> None:
        """Count loans as spent whose borrowers have not been heard of for long."""
        if self.lent and now - self.last_lent_at > LOAN_EXPIRY_S:
            self.spent += self.lent
            self.lent = 0

    def add_loan(self, tokens: int, asked: int, lender: str) -> None:
        """Take a loan."""
        self.granted += tokens
        self.last_loan_partial = tokens < asked
        self.lender = lender

    def prepare_repayment(self) -> tuple[int, int]:
        """Return (unused, used) since the last time, and take the unused out."""
        unused, used = self.withdraw_unused(), self.unreported_used
        self.unreported_used = 0
        return unused, used

    def next_grant_size(self, tokens: int) -> int:
        """Return how many tokens to ask the service for, 0 when none are left there."""
        needed = tokens - self.available
        wanted = max(
            needed,
            FIRST_GRANT_TURNS * tokens - self.available,
            int(GRANT_FRACTION * self.ungranted),
        )
        if self.ungranted - wanted < tokens:
            wanted = self.ungranted  # a remainder that no turn could use is of no use
        return max(0, min(wanted, self.ungranted))

    def prepare_write(self, tokens: int, share: Share) -> PendingGrant:
        """Return the write that asks for tokens and records any debt.

        One whose answer never came is made again as it was: its condition lets only
        one take effect.
        """
        if self.pending is None:
            increase = (self.next_grant_size(tokens) if tokens else 0) + self.debt
            self.pending = PendingGrant(self.record.with_share(increase, share), increase)
        return self.pending

    def confirm_pending(self, revision: int) -> None:
        """Take the grant of the pending write; debts made before or since are covered by it."""
        covered = min(self.debt, self.pending.tokens)
        self.debt -= covered
        self.granted += self.pending.tokens - covered
        self.record = self.pending.record
        self.revision = revision
        self.own = True
        self.last_loan_partial = False
        self.pending = None

    def replace_record(self, record: BudgetRecord, revision: int) -> None:
        """Take what the service holds in place of what was expected."""
        pending = self.pending
        if pending is not None and pending.share in record.shares:
            self.confirm_pending(revision)
        self.pending = None
        self.record = record
        self.revision = revision

    def count_lost_debt(self, tokens: int) -> None:
        """Count as granted what an entry had on debt that cannot record it any more."""
        if not self.revision:
            self.record = BudgetRecord(self.record.budget, tokens)

    def grant_on_debt(self, tokens: int) -> None:
        """Take a grant that the service cannot record now."""
        self.granted += tokens
        self.debt += tokens
        self.own = True

    def withdraw_unused(self) -> int:
        """Return what is unused and take it out of the allowance."""
        unused = max(0, self.available)
        self.granted -= unused
        return unused
