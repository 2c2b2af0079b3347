"""Grant witnesses: the few entries that know which entries need grants of a program.

An entry announces itself to a program's witnesses before it takes its first grant. While
the key-value service is unavailable, they and the entries that they name can tell whether
anybody may hold a grant, so that the answer takes the same number of messages however many
entries there are.
"""

import asyncio
from collections.abc import Callable

import structlog
from attrs import define, field, frozen

from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.ids import rendezvous
from toucanlead_core.timers import Timers
from toucanlead_peer.serving_interfaces import GrantHolder, LoanTransport

log = structlog.get_logger()

WITNESSES = 3  # per program; the loss of two of them leaves one that knows
MAX_REQUESTERS = 8  # remembered per program; programs rarely reach more entries
ENTRY_RETRY_S = 3.0  # how long an entry that did not answer is not asked again
ASK_TIMEOUT_S = 0.15


@define
class _Requesters:
    """The entries that have announced themselves, oldest first."""

    addresses: list[str] = field(factory=list)
    complete: bool = True
    asked_at: float = 0.0


@frozen
class Announcement:
    """The result of announcing this entry: who may hold a grant, and whether a witness knows.

    `debt_free` says that every witness has answered, and none was asked about a debt.
    """

    holder: str
    witnessed: bool
    debt_free: bool


@frozen
class GrantSurvey:
    """The result of asking who holds a grant.

    `holder` is empty if none was found, and `certain` says whether there is none then.
    `asked` counts the messages.
    """

    holder: str
    certain: bool
    asked: int


class GrantWitnesses:
    """Announces this entry's grants to witnesses, and is a witness for other entries."""

    def __init__(
        self,
        peers: LoanTransport,
        timers: Timers,
        address: str,
        region_entries: Callable[[], list[str]],
        other_regions: Callable[[], list[list[str]]],
    ) -> None:
        """`address` is this entry's; `region_entries` returns those of the region's entries.

        `other_regions` returns the addresses of the entries of each other region.
        """
        self._peers = peers
        self._timers = timers
        self._address = address
        self._region_entries = region_entries
        self._other_regions = other_regions
        self._requesters: dict[str, _Requesters] = {}
        self._surveyed_at: dict[str, float] = {}
        self._avoided_until: dict[str, float] = {}
        self._background: set[asyncio.Task] = set()

    def coordinator_of(self, program: str) -> str:
        """Return the program's coordinator among the entries not known to be unreachable."""
        return next(a for a in self._by_preference(program) if not self._is_avoided(a))

    def avoid(self, address: str) -> None:
        """Do not use an entry for a while: it did not answer."""
        self._avoided_until[address] = self._timers.now() + ENTRY_RETRY_S

    def note_requester(self, program: str, requester: str) -> str:
        """Remember an entry that needs a grant; return the first that did."""
        known = self._requesters.setdefault(program, _Requesters())
        known.asked_at = self._timers.now()
        if requester not in known.addresses:
            if len(known.addresses) < MAX_REQUESTERS:
                known.addresses.append(requester)
            else:
                known.complete = False
        return known.addresses[0]

    def requesters(self, program: str) -> _Requesters:
        """Return the entries that have announced themselves to this one."""
        return self._requesters.get(program) or _Requesters()

    def note_survey(self, program: str) -> None:
        """Remember that a coordinator has asked who holds a grant, and may grant on debt."""
        self._surveyed_at[program] = self._timers.now()

    def was_surveyed(self, program: str) -> bool:
        """Return whether a coordinator has asked this entry about a program."""
        return program in self._surveyed_at

    def forget_idle(self, idle_s: float, debt_retention_s: float) -> None:
        """Forget programs that nobody has asked about for `idle_s`, and surveys that are old."""
        now = self._timers.now()
        self._surveyed_at = {
            program: at for program, at in self._surveyed_at.items() if now - at <= debt_retention_s
        }
        for program, known in list(self._requesters.items()):
            if now - known.asked_at > idle_s:
                del self._requesters[program]

    async def announce(self, program: str, until_holder: bool) -> Announcement:
        """Tell the witnesses that this entry needs a grant.

        Returns once all have answered, or with `until_holder` once one, first the coordinator,
        names a holder. A debt of more than one turn is granted only after every witness was asked
        about it, so that one that remembers is enough; one that has restarted does not know.
        """
        witnesses = self._witnesses(program)
        holder, witnessed, answers = '', False, 0
        if self._address in witnesses:
            first = self.note_requester(program, self._address)
            holder, witnessed = (first if first != self._address else ''), True
            answers += not self.was_surveyed(program)
        others = [a for a in witnesses if a != self._address and not self._is_avoided(a)]
        asking = [self._spawn(self._ask(a, program, self._address)) for a in others]
        for task in asking:
            if holder and until_holder:
                break
            reply = await task
            if reply is not None:
                witnessed = True
                named = reply.address if reply.address != self._address else ''
                holder = holder or named
                answers += reply.complete
        return Announcement(holder, witnessed, answers == len(witnesses))

    async def survey(self, program: str) -> GrantSurvey:
        """Ask who holds a grant of a program: this region's witnesses, then all that they name."""
        witnesses = [a for a in self._witnesses(program) if a != self._address]
        return await self._survey(program, witnesses, self.requesters(program))

    async def survey_other_regions(self, program: str) -> GrantSurvey:
        """Ask the same of the witnesses of all other regions, then all that they name."""
        witnesses = []
        for addresses in self._other_regions():
            witnesses += rendezvous(program, sorted(addresses))[:WITNESSES]
        return await self._survey(program, witnesses, _Requesters())

    async def _survey(self, program: str, witnesses: list[str], known: _Requesters) -> GrantSurvey:
        """Ask witnesses, then the entries that they name and those that are known."""
        replies = await self._ask_all(witnesses, program)
        named = {*known.addresses, *(a for r in replies if r is not None for a in r.requesters)}
        others = sorted(named - {self._address, *witnesses})
        replies += await self._ask_all(others, program)
        holders = [r.address for r in replies if r is not None and r.address]
        holder = next((a for a in holders if a != self._address), '')
        certain = known.complete and all(r is not None and r.complete for r in replies)
        return GrantSurvey(holder, certain, len(replies))

    def _by_preference(self, program: str) -> list[str]:
        return rendezvous(program, sorted({self._address, *self._region_entries()}))

    def _witnesses(self, program: str) -> list[str]:
        return self._by_preference(program)[:WITNESSES]

    def _is_avoided(self, address: str) -> bool:
        if address == self._address:
            return False
        return self._avoided_until.get(address, 0.0) > self._timers.now()

    async def _ask_all(self, addresses: list[str], program: str) -> list[GrantHolder | None]:
        return await asyncio.gather(*(self._ask(a, program, '') for a in addresses))

    async def _ask(self, peer: str, program: str, requester: str) -> GrantHolder | None:
        try:
            return await self._peers.grant_holder(peer, program, requester, ASK_TIMEOUT_S)
        except (NotSent, OutcomeUnknown) as exc:
            log.info('holder_request_failed', program=program, peer=peer, error=str(exc))
            self.avoid(peer)
            return None

    def _spawn(self, coro) -> asyncio.Task:
        task = asyncio.ensure_future(coro)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task
