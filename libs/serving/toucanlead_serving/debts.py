"""Debts: grants that the key-value service will be told of later, noted where they last."""

import abc

from attrs import frozen

from toucanlead_core.codec import from_json, to_json

from .turns import Turns

DEBT_RETENTION_S = 600.0  # longer than a program lives, and than the service's outages
_NOTE_PREFIX = 'debt-'


@frozen
class Debt:
    """A grant on debt: the entry that holds it, and how many tokens it is at most."""

    holder: str
    tokens: int


class DebtStore(abc.ABC):
    """Notes each program's debt once, so that a restart cannot grant it again."""

    @abc.abstractmethod
    async def add(self, program: str, debt: Debt) -> bool:
        """Note a debt; False when there is one already or it would not last."""

    @abc.abstractmethod
    async def find(self, program: str) -> Debt | None:
        """Return the debt that has been noted for a program."""


class ArchivedDebts(DebtStore):
    """Debts on the archives' disks, beside the turns."""

    def __init__(self, turns: Turns) -> None:
        """Take what writes to the archives."""
        self._turns = turns

    async def add(self, program: str, debt: Debt) -> bool:
        """Note a debt on several disks."""
        text = to_json(debt).decode()
        return await self._turns.put_note(_NOTE_PREFIX + program, program, text, DEBT_RETENTION_S)

    async def find(self, program: str) -> Debt | None:
        """Ask the archives."""
        text = await self._turns.get_note(_NOTE_PREFIX + program, program)
        return None if text is None else from_json(text.encode(), Debt)
