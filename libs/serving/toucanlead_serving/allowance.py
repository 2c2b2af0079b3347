"""Allowance: the tokens of one program that this entry may hand out.

Every token comes out of a grant that the key-value service has recorded, so the sum
over all entries stays within the budget whatever fails. A grant whose entry was lost
counts as spent.
"""

from attrs import define

FIRST_GRANT_TURNS = 2  # so that a program may begin with two turns at once
GRANT_SHARE = 0.5  # of what is left; the rest outlives the loss of this entry
LOAN_LIFE_S = 20.0  # longer than any turn and its settlement


@define
class Allowance:
    """One program's tokens at this entry.

    `granted` counts grants and loans received less what was given back, `lent` what
    peers have borrowed and not given back, `recorded` what the service's record
    says that all entries together have been granted.
    """

    program: str
    budget: int
    granted: int = 0
    spent: int = 0
    reserved: int = 0
    lent: int = 0
    recorded: int = 0
    revision: int = 0
    holder: str = ''
    lent_at: float = 0.0
    unreported: int = 0
    used_at: float = 0.0

    @property
    def available(self) -> int:
        """Return what may be reserved now."""
        return self.granted - self.spent - self.reserved - self.lent

    @property
    def unrecorded(self) -> int:
        """Return what no entry has been granted yet, as far as is known."""
        return max(0, self.budget - self.recorded)

    @property
    def in_progress(self) -> bool:
        """Say whether turns or loans may still give tokens back."""
        return self.reserved > 0 or self.lent > 0

    def reserve(self, tokens: int) -> bool:
        """Set tokens aside for a turn; say whether there were enough."""
        if self.available < tokens:
            return False
        self.reserved += tokens
        return True

    def settle(self, reserved: int, used: int) -> None:
        """End a turn that handed out `used` tokens."""
        self.reserved -= reserved
        self.spent += used
        self.unreported += used

    def lend(self, tokens: int, now: float) -> bool:
        """Lend tokens to a peer; say whether there were enough."""
        if self.available < tokens:
            return False
        self.lent += tokens
        self.lent_at = now
        return True

    def repaid(self, unused: int, used: int) -> None:
        """Take back what a peer did not use, and count as spent what it did."""
        self.lent = max(0, self.lent - unused - used)
        self.spent += used

    def write_off_loans(self, now: float) -> None:
        """Count loans as spent whose borrowers have not been heard of for long."""
        if self.lent and now - self.lent_at > LOAN_LIFE_S:
            self.spent += self.lent
            self.lent = 0

    def borrowed(self, tokens: int) -> None:
        """Take a loan from the entry that holds the grant."""
        self.granted += tokens

    def repay(self) -> tuple[int, int]:
        """Return (unused, used) since the last time, and take the unused out."""
        unused, used = self.give_back(), self.unreported
        self.unreported = 0
        return unused, used

    def next_grant(self, tokens: int) -> int:
        """Return how many tokens to ask the service for, 0 when none are left there."""
        needed = tokens - self.available
        wanted = max(
            needed, FIRST_GRANT_TURNS * tokens - self.available, int(GRANT_SHARE * self.unrecorded)
        )
        if self.unrecorded - wanted < tokens:
            wanted = self.unrecorded  # a remainder that no turn could use is of no use
        return min(wanted, self.unrecorded)

    def grant(self, tokens: int, recorded: int, revision: int) -> None:
        """Take a grant that the service has recorded."""
        self.granted += tokens
        self.recorded = recorded
        self.revision = revision

    def give_back(self) -> int:
        """Return what is unused and take it out of the allowance."""
        unused = max(0, self.available)
        self.granted -= unused
        return unused
