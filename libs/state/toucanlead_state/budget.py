"""Budget escrow: durable grants per holder, so that no two owners overspend.

A holder is one incarnation of an entry. It may spend only out of grants that
are durable in its own journal. The grants of all holders together never
exceed the budget, whatever each of them believes about who owns the program.
"""

from attrs import define, field


@define
class Grant:
    """What one holder was granted and has spent, in tokens."""

    granted: int = 0
    spent: int = 0


@define
class Escrow:
    """The budget of one root program, in tokens."""

    total: int
    grants: dict[str, Grant] = field(factory=dict)
    reserved: int = 0

    @property
    def granted(self) -> int:
        """Return what all holders together may have spent."""
        return sum(grant.granted for grant in self.grants.values())

    @property
    def spent(self) -> int:
        """Return what is known to be spent."""
        return sum(grant.spent for grant in self.grants.values())

    @property
    def ungranted(self) -> int:
        """Return what can still be granted to anyone."""
        return self.total - self.granted

    def free(self, holder: str) -> int:
        """Return what a holder may still reserve without a new grant."""
        grant = self.grants.get(holder, Grant())
        return grant.granted - grant.spent - self.reserved

    def reserve(self, holder: str, units: int) -> bool:
        """Set units aside for a call; False when the grant does not cover it."""
        if self.free(holder) < units:
            return False
        self.reserved += units
        return True

    def unreserve(self, units: int) -> None:
        """Give a reservation back."""
        self.reserved -= units

    def grant(self, holder: str, units: int) -> None:
        """Apply a durable grant."""
        self.grants.setdefault(holder, Grant()).granted += units

    def spend(self, holder: str, units: int) -> None:
        """Apply a durable expense of a holder."""
        self.grants.setdefault(holder, Grant()).spent += units

    def settle(self, holder: str, limit: int) -> None:
        """Close a former holder's grants at the most that it can have spent."""
        grant = self.grants.get(holder)
        if grant is not None:
            grant.granted = max(grant.spent, min(limit, grant.granted))


def next_grant(escrow: Escrow, holder: str, wanted: int, ahead: int) -> int:
    """Return the grant that lets a holder spend `wanted`, and some ahead of need.

    Zero when the holder has enough; never more than what is ungranted.
    """
    missing = wanted - escrow.free(holder)
    if missing <= 0:
        return 0
    return max(0, min(escrow.ungranted, missing + ahead))
