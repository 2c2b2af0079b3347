"""What entries and archives say to each other about turns, budgets and the key-value service."""

import abc

from attrs import field, frozen


@frozen
class Turn:
    """One finished turn, by the id of its request.

    `output` holds the data of each event, each followed by a line feed.
    `keep_s` is how much longer it is kept, `disks` the disks that hold a copy.
    """

    ident: str
    previous: str
    input: bytes
    output: bytes
    keep_s: float
    disks: tuple[str, ...] = ()

    @property
    def size(self) -> int:
        """Return its bytes."""
        return len(self.input) + len(self.output)


@frozen
class Stored:
    """An archive's answer to a write: its disk, and whether it took the turns."""

    disk: str
    stored: bool


@frozen
class Chain:
    """Turns from the one asked for backwards, as far as an archive holds them."""

    turns: list[Turn] = field(factory=list)


class ArchiveTransport(abc.ABC):
    """Calls to archives by host:port; NotSent or OutcomeUnknown when they fail."""

    @abc.abstractmethod
    async def put(self, address: str, turn: Turn, timeout_s: float) -> Stored:
        """Store a turn on the archive's disk."""

    @abc.abstractmethod
    async def fetch(self, address: str, ident: str, known: list[str], timeout_s: float) -> Chain:
        """Return a chain, up to turns that the caller knows."""

    @abc.abstractmethod
    async def copy(self, address: str, turns: list[Turn], timeout_s: float) -> Stored:
        """Store turns that another disk holds."""

    @abc.abstractmethod
    async def amend(
        self, address: str, idents: list[str], disks: tuple[str, ...], timeout_s: float
    ) -> int:
        """Name the disks that now hold copies; return how many turns were known."""


class ArchiveHandler(abc.ABC):
    """The serving side at an archive."""

    @abc.abstractmethod
    async def put(self, turn: Turn) -> Stored:
        """Store a turn; returns once it is durable."""

    @abc.abstractmethod
    async def fetch(self, ident: str, known: list[str]) -> Chain:
        """Return a chain."""

    @abc.abstractmethod
    async def copy(self, turns: list[Turn]) -> Stored:
        """Store copies of turns; returns once they are durable."""

    @abc.abstractmethod
    async def amend(self, idents: list[str], disks: tuple[str, ...]) -> int:
        """Note which disks hold copies."""


@frozen
class Loan:
    """An answer to a request for tokens: granted, busy, spent or unknown.

    The borrower adds unreachable for a lender that gave none.
    """

    outcome: str
    tokens: int = 0


@frozen
class Holder:
    """What an entry knows of a program: the holder's address, and whether it knows all.

    An entry that has restarted may not know of grants that it took before.
    """

    address: str
    complete: bool


GRANTED = 'granted'
BUSY = 'busy'
SPENT = 'spent'
UNKNOWN = 'unknown'
SILENT = 'silent'
UNREACHABLE = 'unreachable'


class EscrowTransport(abc.ABC):
    """Calls to the entry that holds a program's grant; NotSent or OutcomeUnknown."""

    @abc.abstractmethod
    async def borrow(
        self, address: str, program: str, tokens: int, budget: int, timeout_s: float
    ) -> Loan:
        """Ask for tokens of a program's grant.

        With a budget other than 0, the lender takes a grant if it holds none.
        """

    @abc.abstractmethod
    async def holder(self, address: str, program: str, asker: str, timeout_s: float) -> Holder:
        """Ask which entry holds a program's grant.

        The asker's address is remembered as the holder's if none is known; it may be empty.
        """

    @abc.abstractmethod
    async def repay(
        self, address: str, program: str, unused: int, used: int, timeout_s: float
    ) -> None:
        """Settle a loan: give back what was not used, and say what was."""


class EscrowHandler(abc.ABC):
    """The serving side at an entry."""

    @abc.abstractmethod
    async def borrow(self, program: str, tokens: int, budget: int) -> Loan:
        """Lend tokens out of a grant held here, or taken for this where a budget is named."""

    @abc.abstractmethod
    async def holder(self, program: str, asker: str) -> Holder:
        """Say which entry holds a program's grant, as far as is known here."""

    @abc.abstractmethod
    async def repay(self, program: str, unused: int, used: int) -> None:
        """Take unused tokens back, and note the used ones as spent."""


@frozen
class RelayedCall:
    """A call to the key-value service that a peer makes in our place."""

    method: str
    target: str
    body: bytes
    timeout_s: float


@frozen
class RelayedReply:
    """The service's answer; status NO_ANSWER or NOT_SENT where there is none."""

    status: int
    body: bytes = b''


NO_ANSWER = 0
NOT_SENT = -1


class RelayTransport(abc.ABC):
    """Calls to the key-value service through a peer."""

    @abc.abstractmethod
    async def call(self, address: str, call: RelayedCall) -> RelayedReply:
        """Let a peer make a call."""


class RelayHandler(abc.ABC):
    """The serving side: makes a peer's call on its own connection."""

    @abc.abstractmethod
    async def call(self, call: RelayedCall) -> RelayedReply:
        """Make a call."""
