"""Debts: grants not yet recorded in the key-value service, stored on the archives meanwhile."""

import abc

from attrs import frozen

from toucanlead_core.codec import from_stored_json, to_json

from .archive_client import ArchiveClient

DEBT_RETENTION_S = 600.0  # exceeds a program's lifetime and an outage of the key-value service
_NOTE_PREFIX = 'debt-'


@frozen
class Debt:
    """A debt: the address of the entry that holds it and its maximum size in tokens."""

    holder: str
    tokens: int


@frozen
class DebtSearch:
    """The result of searching for a program's debt.

    `complete` says that there is none if none was found, however many archives hold debts.
    """

    debt: Debt | None
    complete: bool


class DebtStore(abc.ABC):
    """Stores at most one debt per program, so that a restarted entry does not grant it again."""

    @abc.abstractmethod
    async def add(self, program: str, debt: Debt) -> bool:
        """Store a debt; return False if the program has one or it cannot be stored durably."""

    @abc.abstractmethod
    async def find(self, program: str, everywhere: bool = False) -> DebtSearch:
        """Search for the program's debt, with `everywhere` also where it was not written here."""


class ArchiveDebtStore(DebtStore):
    """Stores debts as notes on the archives' disks."""

    def __init__(self, archive_client: ArchiveClient) -> None:
        """`archive_client` reads and writes the notes."""
        self._archive_client = archive_client

    async def add(self, program: str, debt: Debt) -> bool:
        """Write the debt as a note."""
        text = to_json(debt).decode()
        return await self._archive_client.put_note(
            _NOTE_PREFIX + program, program, text, DEBT_RETENTION_S
        )

    async def find(self, program: str, everywhere: bool = False) -> DebtSearch:
        """Read the program's note from the archives."""
        search = await self._archive_client.get_note(_NOTE_PREFIX + program, program, everywhere)
        debt = None if search.text is None else from_stored_json(search.text.encode(), Debt)
        return DebtSearch(debt, search.complete)
