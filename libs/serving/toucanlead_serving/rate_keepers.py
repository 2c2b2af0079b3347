"""Choice of the entry that keeps a group's rates, of replicas or of teams, and calls to it.

All entries put the entries in the same order for a group. The first that can be reached is
the keeper; a later one takes over only when it cannot reach those before it and the tokens
that they handed out have expired.
"""

from collections.abc import Callable

import structlog
from attrs import define, field

from toucanlead_archive.directory import EntryRecord
from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.ids import rendezvous
from toucanlead_core.rate_messages import TokenAsk, TokenReply
from toucanlead_core.tasks import TaskSet
from toucanlead_core.timers import Timers
from toucanlead_peer.serving_interfaces import TokenHandler, TokenTransport
from toucanlead_policy.rate_keeper import TOKEN_LIFETIME_S, RateKeeper

log = structlog.get_logger()

ASK_TIMEOUT_S = 0.3  # several round trips between regions
AVOID_S = 30.0  # an entry that did not answer is asked again when a later one declines
DECLINED_AVOID_S = 0.3
MAX_TRIES = 2  # of one ask: a keeper that does not answer, and the one after it
SENIOR_PROBE_PERIOD_S = 1.0

GroupHandler = Callable[[TokenAsk], TokenReply]


def group_name(service: str, zone: str) -> str:
    """Return the name of the group of a service's replicas in a zone."""
    return f'{service}|{zone}'


@define
class _Senior:
    """An entry before this one in a group's order, as last probed."""

    probed_at: float
    unreachable_since: float | None = None


@define(eq=False)
class RateKeepers(TokenHandler):
    """Asks the keepers of groups for tokens, and is the keeper of some groups itself.

    `entries` returns the records of all entries, `zones` the region of each zone.
    """

    address: str
    _transport: TokenTransport
    _timers: Timers
    _entries: Callable[[], list[EntryRecord]]
    _zones: Callable[[], dict[str, str]]
    _keeper: RateKeeper = field(factory=RateKeeper)
    _avoided_until: dict[str, float] = field(factory=dict)
    _seniors: dict[str, _Senior] = field(factory=dict)
    _tasks: TaskSet = field(factory=TaskSet)
    _handlers: dict[str, GroupHandler] = field(factory=dict)
    _direct_handlers: dict[str, GroupHandler] = field(factory=dict)
    stopping: bool = False

    def keep_groups(self, prefix: str, handler: GroupHandler) -> None:
        """Have a handler answer for the groups of a prefix, which are not of replicas."""
        self._handlers[prefix] = handler

    def answer_directly(self, prefix: str, handler: GroupHandler) -> None:
        """Have a handler answer asks of a prefix, which any entry answers for itself."""
        self._direct_handlers[prefix] = handler

    async def ask_entry(self, address: str, ask: TokenAsk) -> TokenReply | None:
        """Ask one entry, of which this one is the keeper; return None if it does not answer."""
        try:
            return await self._call(address, ask)
        except (NotSent, OutcomeUnknown):
            return None

    def addresses_in(self, region: str) -> list[str]:
        """Return the addresses of a region's entries."""
        return [entry.address for entry in self._entries() if entry.region == region]

    async def ask(self, ask: TokenAsk) -> TokenReply | None:
        """Ask a group's keeper for tokens; return None if there is none now."""
        order = self._order(ask.group)
        now = self._timers.now()
        usable = [a for a in order if self._avoided_until.get(a, 0.0) <= now]
        for address in (usable or order)[:MAX_TRIES]:
            try:
                reply = await self._call(address, ask)
            except (NotSent, OutcomeUnknown) as exc:
                self._avoided_until[address] = now + AVOID_S
                log.info('rate_keeper_lost', group=ask.group, keeper=address, error=str(exc))
                continue
            if not reply.declined:
                return reply
            for senior in order[: order.index(address)]:
                self._avoided_until.pop(senior, None)
            self._avoided_until[address] = now + DECLINED_AVOID_S
            return None
        return None

    async def ask_tokens(self, ask: TokenAsk) -> TokenReply:
        """Return tokens of a group, or decline if this entry is not its keeper."""
        prefix = ask.group.partition('-')[0]
        if prefix in self._direct_handlers:
            return self._direct_handlers[prefix](ask)
        if self.stopping or not await self.is_keeper(ask.group):
            return TokenReply(declined=True)
        handler = self._handlers.get(prefix)
        if handler is not None:
            return handler(ask)
        return self._keeper.ask(ask, self._timers.now())

    async def close(self) -> None:
        """Cancel the probes in progress."""
        await self._tasks.cancel()

    async def _call(self, address: str, ask: TokenAsk) -> TokenReply:
        if address == self.address:
            return await self.ask_tokens(ask)
        return await self._transport.ask(address, ask, ASK_TIMEOUT_S)

    def _order(self, group: str) -> list[str]:
        """Return the addresses of all entries, the first choice for a group first.

        Those of the group's zone come before those of its region and the others. A group of
        a region has no zone.
        """
        zone = group.rpartition('|')[2]
        region = self._zones().get(zone, zone)
        entries = {entry.address: entry for entry in self._entries()}

        def distance(address: str) -> int:
            if entries[address].zone == zone:
                return 0
            return 1 if entries[address].region == region else 2

        return sorted(rendezvous(group, list(entries)), key=distance)

    async def is_keeper(self, group: str) -> bool:
        """Return whether this entry is a group's keeper: none before it can be reached."""
        order = self._order(group)
        if self.address not in order:
            return False
        for address in order[: order.index(self.address)]:
            if not await self._is_unreachable(address, group):
                return False
        return True

    async def _is_unreachable(self, address: str, group: str) -> bool:
        """Return whether an entry cannot be reached, and holds no valid tokens any more."""
        now = self._timers.now()
        senior = self._seniors.get(address)
        if senior is None:
            await self._probe(address, group)
        elif now - senior.probed_at > SENIOR_PROBE_PERIOD_S:
            senior.probed_at = now
            self._tasks.spawn(self._probe(address, group), 'rate keeper probe')
        since = self._seniors[address].unreachable_since
        return since is not None and self._timers.now() - since >= TOKEN_LIFETIME_S

    async def _probe(self, address: str, group: str) -> None:
        """Find out whether an entry would keep a group."""
        senior = self._seniors.setdefault(address, _Senior(self._timers.now()))
        try:
            probe = TokenAsk(group, self.address, 0)
            reply = await self._transport.ask(address, probe, ASK_TIMEOUT_S)
            reachable = not reply.declined
        except (NotSent, OutcomeUnknown):
            reachable = False
        if reachable:
            senior.unreachable_since = None
            self._avoided_until.pop(address, None)
        elif senior.unreachable_since is None:
            senior.unreachable_since = self._timers.now()
            log.info('rate_keeper_unreachable', group=group, keeper=address)
