"""Sends requests over links to replicas, and learns from each send which links work."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager

import structlog
from attrs import define, field, frozen

from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.tasks import TaskSet
from toucanlead_core.timers import Timers
from toucanlead_replicas.registry import Replica
from toucanlead_replicas.replica_client import NotExecuted, ReplicaClient, ReplicaResponse
from toucanlead_replicas.request import ReplicaCall, ReplicaResponseHead

from .own_links import MIN_REPLICAS, OpenFailure, OwnLinks
from .peer_links import Peer, PeerLinks
from .relay import NotRelayed, RelayRefusal, ReplicaRelay

log = structlog.get_logger()

CHECK_PERIOD_S = 0.1
CONNECT_STEP = 'connect'
RELAY_STEP = 'relay'


@frozen
class Link:
    """A replica and the way to it: the entry's own link, or that of the peer at an address."""

    replica: Replica
    peer: str = ''

    @property
    def own(self) -> bool:
        """Return whether it is this entry's own link."""
        return not self.peer


@define(eq=False)
class ReplicaLinks:
    """All links of an entry: its own, by `client`, and those of its peers, by `relay`.

    `replicas` returns the registered replicas, `entries` all entries, whose version is
    `entries_version`. `on_down` is called when the own links are found to be down.
    """

    client: ReplicaClient
    relay: ReplicaRelay
    own: OwnLinks
    peers: PeerLinks
    _timers: Timers
    _rng: random.Random
    _replicas: Callable[[], list[Replica]]
    _entries: Callable[[], list[Peer]]
    _entries_version: Callable[[], int]
    on_down: Callable[[], None] = lambda: None
    _abandonable: set[asyncio.Timeout] = field(factory=set)
    _tasks: TaskSet = field(factory=TaskSet)
    _was_down: bool = False

    @asynccontextmanager
    async def send(self, link: Link, call: ReplicaCall) -> AsyncIterator[ReplicaResponse]:
        """Send a call over a link and yield the response, as ReplicaClient.send does.

        Also raises NotRelayed when a peer did not pass the call on.
        """
        sending = self._send_directly(link.replica, call) if link.own else self._relay(link, call)
        async with sending as response:
            yield response

    def suggested_peer(self) -> str:
        """Return the address of a peer that brought an answer of a replica lately, or empty."""
        return self.peers.best(self._timers.now())

    def current_peers(self) -> PeerLinks:
        """Return what is believed of the peers, which are up to date while they are needed."""
        if self.own.down:
            self.peers.update(self._entries, self._entries_version())
        return self.peers

    async def is_down(self, replica: Replica) -> bool:
        """Return whether a replica has ended; one that only this entry cannot reach has not.

        What counts as its end is that it refuses connections while another replica is heard.
        """
        if self.own.down:
            return False
        asked_at = self._timers.now()
        if not await self.client.is_down(replica):
            return False
        if self.own.heard_at >= asked_at:
            return True
        self.own.record_open_failed(replica.run, OpenFailure.REFUSED, self._timers.now())
        await self._probe(exclude={replica.run})
        self._note_change()
        return self.own.heard_at >= asked_at

    async def check(self) -> None:
        """Try connections while the links seem down; to be called every CHECK_PERIOD_S."""
        now = self._timers.now()
        if self.own.is_probe_due(now):
            self._tasks.spawn(self._probe_and_note(), 'link probe')
        if self.own.is_lost(now):
            self._abandon_unanswered()

    def keep_only(self, runs: set[str]) -> None:
        """Forget runs of replicas that no longer exist."""
        self.own.keep_only(runs)

    async def close(self) -> None:
        """Cancel the probes in progress."""
        await self._tasks.cancel()

    @asynccontextmanager
    async def _send_directly(
        self, replica: Replica, call: ReplicaCall
    ) -> AsyncIterator[ReplicaResponse]:
        send = self.own.record_send(self._timers.now())
        opened_before = self.client.opened_count(replica)
        try:
            async with AsyncExitStack() as stack:
                try:
                    response = await self._wait_for_head(stack, replica, call)
                except NotExecuted:
                    self._record_heard(replica, opened_before)
                    raise
                except NotSent as exc:
                    self._record_not_sent(replica, exc)
                    raise
                self._record_heard(replica, opened_before)
                yield _HeardResponse(response, self._hear)
        finally:
            self.own.record_end(send)

    async def _wait_for_head(
        self, stack: AsyncExitStack, replica: Replica, call: ReplicaCall
    ) -> ReplicaResponse:
        """Return the response once its head has come; give up if no link works any more.

        A call that must not be repeated is left to its deadline: the replica may be at work.
        """
        if not call.repeatable:
            return await stack.enter_async_context(self.client.send(replica, call))
        try:
            async with asyncio.timeout(None) as timeout:
                self._abandonable.add(timeout)
                try:
                    return await stack.enter_async_context(self.client.send(replica, call))
                finally:
                    self._abandonable.discard(timeout)
        except TimeoutError as exc:
            raise OutcomeUnknown(
                'no link to any replica works', step='send', peer=replica.ident
            ) from exc

    @asynccontextmanager
    async def _relay(self, link: Link, call: ReplicaCall) -> AsyncIterator[ReplicaResponse]:
        state = self.peers.state(link.peer)
        state.outstanding += 1
        try:
            async with self.relay.send(link.peer, link.replica, call) as response:
                self.peers.record_heard(link.peer, self._timers.now())
                yield response
        except NotExecuted:
            self.peers.record_heard(link.peer, self._timers.now())
            raise
        except NotRelayed as exc:
            self._record_refusal(link, exc.refusal, exc.suggested_peer)
            raise
        except OutcomeUnknown as exc:
            if exc.step == RELAY_STEP:
                self._record_refusal(link, RelayRefusal.NO_ANSWER)
            raise
        finally:
            state.outstanding -= 1

    def _record_refusal(self, link: Link, refusal: RelayRefusal, suggested_peer: str = '') -> None:
        now = self._timers.now()
        self.peers.record_refusal(link.peer, link.replica.run, refusal, suggested_peer, now)

    def _hear(self) -> None:
        self.own.record_heard(self._timers.now())

    def _record_heard(self, replica: Replica, opened_before: int) -> None:
        if self.client.opened_count(replica) > opened_before:
            self.own.record_opened(self._timers.now())
            self._note_change()
        else:
            self._hear()

    def _record_not_sent(self, replica: Replica, exc: NotSent) -> None:
        if exc.step == CONNECT_STEP:
            self.own.record_open_failed(replica.run, _open_failure(exc), self._timers.now())
            self._note_change()

    async def _probe_and_note(self) -> None:
        await self._probe(exclude=self.own.failed_runs())
        self._note_change()

    async def _probe(self, exclude: set[str]) -> None:
        """Open connections to a few replicas, preferably to none whose run is in `exclude`."""
        replicas = [replica for replica in self._replicas() if not replica.leaving]
        self._rng.shuffle(replicas)
        replicas.sort(key=lambda replica: replica.run in exclude)
        await asyncio.gather(*(self._open(replica) for replica in replicas[:MIN_REPLICAS]))

    async def _open(self, replica: Replica) -> None:
        try:
            await self.client.open_connection(replica)
        except NotSent as exc:
            self.own.record_open_failed(replica.run, _open_failure(exc), self._timers.now())
        else:
            self.own.record_opened(self._timers.now())

    def _note_change(self) -> None:
        """Log whether the own links work, if that has changed; act on it."""
        own, now = self.own, self._timers.now()
        if own.down == self._was_down:
            return
        self._was_down = own.down
        if not own.down:
            log.info('own_links_up')
            return
        log.warning(
            'own_links_down',
            unreached=len(own.failed_runs()),
            heard_age_s=round(now - own.heard_at, 3),
            silent=own.is_silent(now),
        )
        self.on_down()

    def _abandon_unanswered(self) -> None:
        now = asyncio.get_running_loop().time()
        for timeout in self._abandonable:
            if not timeout.expired():
                timeout.reschedule(now)


class _HeardResponse(ReplicaResponse):
    """A response that tells when bytes of it come."""

    def __init__(self, response: ReplicaResponse, on_heard: Callable[[], None]) -> None:
        self._response = response
        self._on_heard = on_heard

    @property
    def head(self) -> ReplicaResponseHead:
        """Return status and end-to-end headers."""
        return self._response.head

    @property
    def rate_limit_per_s(self) -> float | None:
        """Return the rate limit that the replica names."""
        return self._response.rate_limit_per_s

    @property
    def leaving(self) -> bool:
        """Return whether the replica says that it leaves."""
        return self._response.leaving

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise OutcomeUnknown if it is cut off."""
        async for chunk in self._response.chunks():
            self._on_heard()
            yield chunk


def _open_failure(exc: NotSent) -> OpenFailure:
    """Return why a connection could not be opened."""
    refused = isinstance(exc.__cause__, ConnectionError)
    return OpenFailure.REFUSED if refused else OpenFailure.NO_ANSWER
