"""Dispatch: chooses replicas and links for requests, sends them, and records the results."""

from collections.abc import Set
from contextlib import AbstractAsyncContextManager, asynccontextmanager

import structlog

from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.timers import Timers
from toucanlead_links.link_choice import choose_link
from toucanlead_links.replica_links import Link, ReplicaLinks
from toucanlead_policy.body_room import BodyRoom
from toucanlead_policy.placement import Candidate, Placement, PlacementReq
from toucanlead_policy.prefixes import PrefixCacheEstimates
from toucanlead_replicas.registry import Registry, Replica
from toucanlead_replicas.replica_client import NotExecuted, ReplicaEnded, ReplicaResponse
from toucanlead_replicas.request import CallerReq, ReplicaCall

from .metrics import ServingMetrics
from .replica_limits import ReplicaLimits
from .replica_observations import ReplicaObservations

log = structlog.get_logger()


class Dispatch:
    """Chooses replicas and tracks their load and cached prefixes for one entry."""

    def __init__(
        self,
        registry: Registry,
        links: ReplicaLinks,
        placement: Placement,
        prefix_estimates: PrefixCacheEstimates,
        limits: ReplicaLimits,
        timers: Timers,
        metrics: ServingMetrics,
        zone: str,
        region: str,
        observations: ReplicaObservations | None = None,
    ) -> None:
        """`zone` and `region` are those of this entry.

        `observations` is given where the pace of replicas is learned.
        """
        self.registry = registry
        self.links = links
        self.placement = placement
        self._prefix_estimates = prefix_estimates
        self.body_room = BodyRoom()
        self.limits = limits
        self._timers = timers
        self._metrics = metrics
        self._zone = zone
        self._region = region
        self._observations = observations

    def choose_link(
        self,
        service: str,
        req: CallerReq,
        avoid: Set[str],
        only: Set[str] | None,
        versions: Set[str] | None = None,
    ) -> Link | None:
        """Return the replica for a request and the link to it, or None if there is none.

        `avoid` excludes replicas by id; `only` and `versions`, if given, restrict the choice
        to ids and to software versions.
        The request must then be sent, or its token returned: it counts against the limit that
        the replica names.
        """
        now = self._timers.now()
        usable = {
            replica.ident: replica
            for replica in self.usable(service, only, versions)
            if self.limits.may_send(replica)
            and self.body_room.fits(service, replica.ident, len(req.body), now)
        }
        candidates = [self._candidate(replica, now) for replica in usable.values()]
        generation = req.generation
        cached, prompt_tokens = {}, 0
        if generation is not None:
            parts = [(part.ident, part.tokens) for part in generation.parts]
            prompt_tokens = generation.prompt_tokens
            cached = {name: self._prefix_estimates.cached_tokens(name, parts) for name in usable}
        work_ms = 0.0
        if self._observations is not None:
            work_ms = self._observations.expected_ms(service, req)
        choice = choose_link(
            self.placement,
            self.links.own,
            self.links.current_peers(),
            PlacementReq(self._zone, self._region, prompt_tokens, work_ms),
            candidates,
            cached,
            {name: replica.run for name, replica in usable.items()},
            lambda name: self.links.client.idle_connections(usable[name]) > 0,
            now,
            frozenset(avoid),
        )
        if choice is None:
            return None
        replica = usable[choice.replica]
        self.limits.take(replica)
        return Link(replica, choice.peer)

    def _candidate(self, replica: Replica, now: float) -> Candidate:
        record = replica.record
        return Candidate(
            record.ident,
            record.zone,
            replica.region,
            record.slots,
            cold=now - replica.first_seen_at < record.cold_remaining_s,
            token_held=self.limits.holds_token(replica),
        )

    def is_limit_reached(
        self, service: str, only: Set[str] | None, versions: Set[str] | None = None
    ) -> bool:
        """Return whether the limits of usable replicas are all that keeps a request waiting.

        `only` and `versions` are as in `choose_link`.
        """
        usable = self.usable(service, only, versions)
        return bool(usable) and not any(self.limits.may_send(replica) for replica in usable)

    def usable(
        self, service: str, only: Set[str] | None, versions: Set[str] | None = None
    ) -> list[Replica]:
        """Return the usable replicas; `only` and `versions` are as in `choose_link`."""
        usable = self.registry.usable(service, self._timers.now(), versions)
        return [replica for replica in usable if only is None or replica.ident in only]

    @asynccontextmanager
    async def send(self, link: Link, call: ReplicaCall):
        """Send a call for which a link was chosen, and yield the response.

        The call counts as outstanding at the replica until exit.
        """
        replica = link.replica
        if not link.own:
            self._metrics.relayed('out')
        try:
            sending = self._recorded(replica, call, self.links.send(link, call))
            if self._observations is not None and link.own:
                sending = self._observed(replica, call.req, sending)
            async with sending as response:
                yield response
        except NotExecuted as exc:
            if not exc.wrong_replica:
                self.limits.record_shortfall(replica.record.service)
            raise
        except (NotSent, OutcomeUnknown) as exc:
            if isinstance(exc, NotSent):
                self.limits.give_back(replica)
            if link.own and not self.links.own.down:
                self.placement.record_failure(replica.ident, self._timers.now())
            raise

    @asynccontextmanager
    async def send_for_peer(self, replica: Replica, call: ReplicaCall):
        """Send a call of a peer over the own link; the peer holds the token for it."""
        self._metrics.relayed('in')
        sending = self.links.send(Link(replica), call)
        async with self._recorded(replica, call, sending) as response:
            yield response

    @asynccontextmanager
    async def _recorded(
        self,
        replica: Replica,
        call: ReplicaCall,
        sending: AbstractAsyncContextManager[ReplicaResponse],
    ):
        """Record what an answer says of its replica, and the call as outstanding until exit."""
        load = self.placement.load(replica.ident)
        load.outstanding += 1
        self.body_room.sent(replica.ident, len(call.body))
        try:
            async with sending as response:
                self.limits.observe(replica, response.rate_limit_per_s)
                if response.leaving:
                    self.registry.note_leaving(replica)
                yield response
            self.placement.record_success(replica.ident)
        except NotExecuted as exc:
            if exc.wrong_replica:
                replica.replaced = True
            else:
                self.limits.observe(replica, exc.rate_limit_per_s)
                if exc.leaving:
                    self.registry.note_leaving(replica)
                self.placement.record_full(replica.ident, self._timers.now())
            raise
        except OutcomeUnknown as exc:
            if isinstance(exc, ReplicaEnded) or isinstance(exc.__cause__, ConnectionError):
                self.body_room.ended(replica.record.service, replica.ident, self._timers.now())
            raise
        finally:
            load.outstanding -= 1
            self.body_room.done(replica.ident, len(call.body))

    @asynccontextmanager
    async def _observed(
        self,
        replica: Replica,
        req: CallerReq,
        sending: AbstractAsyncContextManager[ReplicaResponse],
    ):
        """Record how long a request is at its replica, and what becomes of it."""
        observations, began_at = self._observations, self._timers.now()
        observations.begin(replica, req, began_at)
        try:
            async with sending as response:
                yield response
            seconds = self._timers.now() - began_at
            observations.record_answer(replica, req, response.head.status, seconds)
        except (NotSent, OutcomeUnknown):
            if not self.links.own.down:
                observations.record_failure(replica)
            raise
        finally:
            observations.end(replica, req, self._timers.now())

    def record_generated(self, replica: Replica, req: CallerReq, tokens: int) -> None:
        """Record that a replica has processed a prompt and generated `tokens` tokens."""
        if req.generation is not None:
            parts = [(part.ident, part.tokens) for part in req.generation.parts]
            if self._observations is not None and not self.links.own.down:
                cached = self._prefix_estimates.cached_tokens(replica.ident, parts)
                uncached = max(0, req.generation.prompt_tokens - cached)
                self._observations.record_generated(replica, uncached, tokens)
            self._prefix_estimates.record_prompt(replica.ident, parts, tokens)

    def forget_removed(self) -> None:
        """Drop load, prefix data and limits of replicas that no longer exist."""
        names = set(self.registry.replicas)
        self.placement.keep_only(names)
        self._prefix_estimates.keep_only(names)
        runs = {replica.run for replica in self.registry.replicas.values()}
        self.limits.keep_only(runs)
        self.links.keep_only(runs)
