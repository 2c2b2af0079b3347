"""Debts: grants that the key-value service will be told of later, noted where they last."""

import abc

from .turns import Turns

DEBT_KEEP_S = 600.0  # longer than a program lives, and than the service's outages
_PREFIX = 'debt-'


class DebtBook(abc.ABC):
    """Notes each program's debt once, so that a restart cannot grant it again."""

    @abc.abstractmethod
    async def enter(self, program: str, holder: str) -> bool:
        """Note a debt of an entry; False when there is one already or it would not last."""

    @abc.abstractmethod
    async def holder(self, program: str) -> str:
        """Return the entry whose debt has been noted for a program, '' when none has."""


class ArchivedDebts(DebtBook):
    """Debts on the archives' disks, beside the turns."""

    def __init__(self, turns: Turns) -> None:
        """Take what writes to the archives."""
        self._turns = turns

    async def enter(self, program: str, holder: str) -> bool:
        """Note a debt on several disks."""
        return await self._turns.note_once(_PREFIX + program, program, holder, DEBT_KEEP_S)

    async def holder(self, program: str) -> str:
        """Ask the archives."""
        return await self._turns.noted(_PREFIX + program, program) or ''
