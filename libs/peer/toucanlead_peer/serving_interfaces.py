"""Messages and interfaces for turns, token budgets, rate tokens, relayed calls and feeds.

Entries and archives use them to call each other; serving_transport.py implements them.
"""

import abc
from collections.abc import AsyncGenerator

from attrs import field, frozen

from toucanlead_core.crash_messages import CrashReport, CrashVerdict
from toucanlead_core.pace_messages import WorkReply, WorkReport
from toucanlead_core.rate_messages import TokenAsk, TokenReply


@frozen
class Turn:
    """One finished turn of a program; `ident` is the id of its request.

    `previous` is the id of the turn that it continues, or empty. `output` contains the
    data of each event followed by a line feed. `keep_s` is the remaining retention time,
    and `disks` are the ids of the disks that hold a copy. `team` is the team of its caller,
    empty for a caller without one, and None if that is not recorded.
    """

    ident: str
    previous: str
    input: bytes
    output: bytes
    keep_s: float
    disks: tuple[str, ...] = ()
    team: str | None = None

    @property
    def size(self) -> int:
        """Return the size of input and output in bytes."""
        return len(self.input) + len(self.output)


@frozen
class StoreResult:
    """An archive's response to a write: its disk id, and whether it stored the turns.

    `missing` are the ids of the nearest predecessors that the archive does not hold.
    """

    disk: str
    stored: bool
    missing: tuple[str, ...] = ()


@frozen
class TurnChain:
    """A turn and its predecessors, newest first, as far as one archive holds them."""

    turns: list[Turn] = field(factory=list)


class ArchiveTransport(abc.ABC):
    """Calls archives by host:port; failed calls raise NotSent or OutcomeUnknown."""

    @abc.abstractmethod
    async def put(self, address: str, turn: Turn, timeout_s: float) -> StoreResult:
        """Store a turn on the archive's disk."""

    @abc.abstractmethod
    async def fetch(
        self, address: str, ident: str, known: list[str], timeout_s: float
    ) -> TurnChain:
        """Return a turn and its predecessors, stopping before those in `known`."""

    @abc.abstractmethod
    async def copy(self, address: str, turns: list[Turn], timeout_s: float) -> StoreResult:
        """Store copies of turns that another disk holds."""

    @abc.abstractmethod
    async def update_disks(
        self, address: str, idents: list[str], disks: tuple[str, ...], timeout_s: float
    ) -> int:
        """Update the disks that hold copies of turns; return how many turns the archive holds."""


class ArchiveHandler(abc.ABC):
    """Serves the calls that an archive receives."""

    @abc.abstractmethod
    async def put(self, turn: Turn) -> StoreResult:
        """Store a turn; return once it is durable."""

    @abc.abstractmethod
    async def fetch(self, ident: str, known: list[str]) -> TurnChain:
        """Return a turn and its predecessors, stopping before those in `known`."""

    @abc.abstractmethod
    async def copy(self, turns: list[Turn]) -> StoreResult:
        """Store copies of turns; return once they are durable."""

    @abc.abstractmethod
    async def update_disks(self, idents: list[str], disks: tuple[str, ...]) -> int:
        """Update the disks that hold copies of turns; return how many turns are held here."""


@frozen
class Loan:
    """A lender's response to a request for tokens.

    `outcome` is one of the constants below: LOAN_GRANTED; LOAN_BUSY while no tokens are
    free; LOAN_BUDGET_SPENT if the budget is used up; or LOAN_NO_GRANT if the lender has no
    grant. The borrower itself sets LOAN_UNREACHABLE if the request was not sent, and
    LOAN_NO_RESPONSE if no response arrived.
    """

    outcome: str
    tokens: int = 0


@frozen
class GrantHolder:
    """Which entry holds a program's grant, according to the entry that was asked.

    `address` is empty if no holder is known. `complete` is False if the entry may not know
    of every grant that it took or was told of, for example after a restart. To an entry that
    needs a grant, it says instead whether the program certainly has no debt that this entry was
    asked about. `requesters` are the addresses of entries that have told it that they need one.
    """

    address: str
    complete: bool
    requesters: tuple[str, ...] = ()


LOAN_GRANTED = 'granted'
LOAN_BUSY = 'busy'
LOAN_BUDGET_SPENT = 'spent'
LOAN_NO_GRANT = 'unknown'
LOAN_NO_RESPONSE = 'silent'
LOAN_UNREACHABLE = 'unreachable'


class LoanTransport(abc.ABC):
    """Calls other entries about token grants; failed calls raise NotSent or OutcomeUnknown.

    A grant is a part of a program's budget that an entry has taken from the key-value
    service; other entries borrow tokens from it.
    """

    @abc.abstractmethod
    async def borrow(
        self, address: str, program: str, tokens: int, budget: int, timeout_s: float
    ) -> Loan:
        """Borrow tokens from a program's grant.

        If `budget` is not 0, a lender without a grant acquires one for that budget.
        """

    @abc.abstractmethod
    async def grant_holder(
        self, address: str, program: str, requester: str, timeout_s: float
    ) -> GrantHolder:
        """Ask which entry holds a program's grant.

        If no holder is known, the entry records `requester`, an address or empty, as the holder.
        """

    @abc.abstractmethod
    async def repay(
        self, address: str, program: str, unused: int, used: int, timeout_s: float
    ) -> None:
        """Settle a loan: return the unused tokens and report the used ones."""


class LoanHandler(abc.ABC):
    """Serves the calls about token grants that an entry receives."""

    @abc.abstractmethod
    async def lend(self, program: str, tokens: int, budget: int) -> Loan:
        """Lend tokens from this entry's grant; acquire one first if `budget` is not 0."""

    @abc.abstractmethod
    async def grant_holder(self, program: str, requester: str) -> GrantHolder:
        """Return which entry holds a program's grant, as far as this entry knows."""

    @abc.abstractmethod
    async def accept_repayment(self, program: str, unused: int, used: int) -> None:
        """Take back the unused tokens of a loan and record the used ones as spent."""


class TokenTransport(abc.ABC):
    """Asks other entries for rate tokens; failed calls raise NotSent or OutcomeUnknown."""

    @abc.abstractmethod
    async def ask(self, address: str, ask: TokenAsk, timeout_s: float) -> TokenReply:
        """Ask the entry at an address for tokens."""


class TokenHandler(abc.ABC):
    """Serves the requests for rate tokens that an entry receives."""

    @abc.abstractmethod
    async def ask_tokens(self, ask: TokenAsk) -> TokenReply:
        """Return tokens, or decline if this entry is not the group's keeper."""


class WorkTransport(abc.ABC):
    """Tells other entries of replicas' work; failed calls raise NotSent or OutcomeUnknown."""

    @abc.abstractmethod
    async def report(self, address: str, report: WorkReport, timeout_s: float) -> WorkReply:
        """Report work to a collector, and return what it knows."""


class WorkHandler(abc.ABC):
    """Serves the reports of replicas' work that an entry receives."""

    @abc.abstractmethod
    def collect(self, report: WorkReport) -> WorkReply:
        """Add reported work to what is known, and return that."""


class CrashTransport(abc.ABC):
    """Tells other entries of crashes; failed calls raise NotSent or OutcomeUnknown."""

    @abc.abstractmethod
    async def report(self, address: str, report: CrashReport, timeout_s: float) -> None:
        """Report a crash to a judge."""

    @abc.abstractmethod
    async def tell(self, address: str, verdict: CrashVerdict, timeout_s: float) -> None:
        """Tell an entry of a verdict."""


class CrashHandler(abc.ABC):
    """Serves the calls about crashes that an entry receives."""

    @abc.abstractmethod
    async def record_crash(self, report: CrashReport) -> None:
        """Judge a report of a crash."""

    @abc.abstractmethod
    async def record_verdict(self, verdict: CrashVerdict) -> None:
        """Accept a verdict from its judge."""


@frozen
class RelayedCall:
    """An HTTP call to the key-value service that a peer makes on behalf of this process."""

    method: str
    target: str
    body: bytes
    timeout_s: float


@frozen
class RelayedReply:
    """The service's HTTP response; without one, status is RELAY_NO_RESPONSE or RELAY_NOT_SENT."""

    status: int
    body: bytes = b''


RELAY_NO_RESPONSE = 0
RELAY_NOT_SENT = -1


class RelayTransport(abc.ABC):
    """Calls the key-value service through a peer."""

    @abc.abstractmethod
    async def call(self, address: str, call: RelayedCall) -> RelayedReply:
        """Have the peer at an address make a call."""


class RelayHandler(abc.ABC):
    """Makes relayed calls for peers, over this process's own connection."""

    @abc.abstractmethod
    async def call(self, call: RelayedCall) -> RelayedReply:
        """Make a call and return its response."""


@frozen
class FeedRow:
    """A key of the key-value service with its value, or None if it was deleted.

    `revision` is that of the key's last change or deletion, `created` that of its creation.
    """

    key: str
    value: bytes | None
    revision: int
    created: int = 0


@frozen
class KnownPrefix:
    """What a process knows of a prefix: the revision of the latest change that it has seen.

    `age_s` is how long before, in seconds, it last knew that it missed no change.
    """

    prefix: str
    revision: int
    age_s: float


@frozen
class FeedUpdate:
    """The entries under a key prefix, or changes to them; without a prefix, a heartbeat.

    With `complete`, the rows are all entries, known up to `revision`; otherwise they are
    changes, in order. `current` is False while the publisher may be missing changes, and
    `age_s` is how long before it sent this it last knew to miss none, in seconds. `known` is
    for other publishers.
    """

    prefix: str = ''
    rows: tuple[FeedRow, ...] = ()
    complete: bool = False
    current: bool = True
    revision: int = 0
    age_s: float = 0.0
    known: tuple[KnownPrefix, ...] = ()


class FeedTransport(abc.ABC):
    """Receives the changes that another process watches in the key-value service."""

    @abc.abstractmethod
    def follow(self, address: str, prefixes: list[str]) -> AsyncGenerator[FeedUpdate, None]:
        """Yield the entries under each prefix, then changes and heartbeats.

        Raises NotSent if the publisher cannot be reached, OutcomeUnknown when the feed ends.
        """


class FeedHandler(abc.ABC):
    """Serves the feeds that followers ask this process for."""

    @abc.abstractmethod
    def follow(self, prefixes: list[str]) -> AsyncGenerator[FeedUpdate, None]:
        """Yield the entries under each prefix, then changes and heartbeats."""
