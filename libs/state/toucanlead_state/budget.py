"""Budget escrow: durable grants per holder, so that two owners cannot overspend.

A holder is one incarnation of an entry. It may spend only from grants that are
durable in its own journal. The grants of all holders together never exceed the
budget, even while several holders believe that they own the program.
"""

from attrs import define, field


@define
class Grant:
    """The tokens that one holder has been granted and has spent."""

    granted: int = 0
    spent: int = 0


@define
class Escrow:
    """The budget of a root program and its sub-agents, in tokens.

    `reserved` is set aside for calls in progress at the current owner.
    """

    total: int
    grants: dict[str, Grant] = field(factory=dict)
    reserved: int = 0

    @property
    def granted(self) -> int:
        """Return the tokens granted to all holders, an upper bound of what they have spent."""
        return sum(grant.granted for grant in self.grants.values())

    @property
    def spent(self) -> int:
        """Return the tokens known to be spent by all holders."""
        return sum(grant.spent for grant in self.grants.values())

    @property
    def ungranted(self) -> int:
        """Return the tokens that can still be granted."""
        return self.total - self.granted

    def available(self, holder: str) -> int:
        """Return the tokens that a holder can still reserve without a new grant."""
        grant = self.grants.get(holder, Grant())
        return grant.granted - grant.spent - self.reserved

    def reserve(self, holder: str, tokens: int) -> bool:
        """Reserve tokens for a call; return False if the holder's grants do not cover them."""
        if self.available(holder) < tokens:
            return False
        self.reserved += tokens
        return True

    def unreserve(self, tokens: int) -> None:
        """Release reserved tokens."""
        self.reserved -= tokens

    def grant(self, holder: str, tokens: int) -> None:
        """Apply a durable grant to a holder."""
        self.grants.setdefault(holder, Grant()).granted += tokens

    def spend(self, holder: str, tokens: int) -> None:
        """Apply a durable expense of a holder."""
        self.grants.setdefault(holder, Grant()).spent += tokens

    def settle(self, holder: str, limit: int) -> None:
        """Lower a former holder's grants to `limit`, the most that it can have spent."""
        grant = self.grants.get(holder)
        if grant is not None:
            grant.granted = max(grant.spent, min(limit, grant.granted))


def next_grant(escrow: Escrow, holder: str, wanted: int, ahead: int) -> int:
    """Return the tokens to grant so that a holder can spend `wanted`, and `ahead` more.

    Zero if the holder has enough already; never more than what is ungranted.
    """
    missing = wanted - escrow.available(holder)
    if missing <= 0:
        return 0
    return max(0, min(escrow.ungranted, missing + ahead))
