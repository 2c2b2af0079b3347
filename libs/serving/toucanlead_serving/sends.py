"""Sends of a request to replicas: to one after another, until one accepts it."""

from collections.abc import Set
from contextlib import asynccontextmanager

import structlog

from toucanlead_backends.http_connection import MAX_BODY_BYTES, join_chunks
from toucanlead_core.errors import (
    ExecutionStatus,
    NotSent,
    OutcomeUnknown,
    Reason,
    Refusal,
    RetryReason,
    Step,
)
from toucanlead_core.received_bytes import ReceivedBytes, TooManyBytes
from toucanlead_core.timers import Timers
from toucanlead_links.relay import NotRelayed, RelayRefusal
from toucanlead_links.replica_links import Link
from toucanlead_policy.limit_queue import QUEUE_S
from toucanlead_replicas.replica_client import NotExecuted, ReplicaEnded, ReplicaResponse
from toucanlead_replicas.request import ReplicaCall

from .active_request import GONE_AFTER, ActiveRequest
from .crash_verdicts import CrashVerdicts
from .crash_watch import CrashWatch
from .dispatch import Dispatch
from .metrics import ServingMetrics
from .routes import RouteKind
from .stream_origins import StreamOrigins
from .team_rates import TeamRates
from .version_lists import VersionLists

log = structlog.get_logger()

FULL_WAIT_LIMIT_S = 1.0  # how long to look for a replica that accepts a request
FULL_RETRY_DELAY_S = 0.03
RETRY_AFTER_MS = 400
OTHER_ENTRY_RETRY_AFTER_MS = 50  # other entries serve; a new connection leads to one of them
MAX_SENDS = 4  # per repeatable request
MAX_CRASHES = 2  # of replicas under one request, which may be the cause


class ReplicaSends:
    """Chooses the replicas of a request, and decides whether it may be sent once more.

    `received` counts the bytes of all answers that are being received, `received_bytes` at most.
    """

    def __init__(
        self,
        dispatch: Dispatch,
        crash_watch: CrashWatch,
        verdicts: CrashVerdicts,
        origins: StreamOrigins,
        version_lists: VersionLists,
        team_rates: TeamRates,
        timers: Timers,
        metrics: ServingMetrics,
        received_bytes: int,
    ) -> None:
        self._dispatch = dispatch
        self._crash_watch = crash_watch
        self._verdicts = verdicts
        self._origins = origins
        self._version_lists = version_lists
        self._team_rates = team_rates
        self._timers = timers
        self._metrics = metrics
        self.received = ReceivedBytes(received_bytes)

    @asynccontextmanager
    async def send(self, active: ActiveRequest, call: ReplicaCall):
        """Send to one replica after another and yield the response of the first to accept."""
        if not active.counted:
            active.counted = await self._team_rates.admit(active.req, active.route, active.table)
        give_up_at = min(active.expires_at, self._timers.now() + FULL_WAIT_LIMIT_S)
        while True:
            link = await self._wait_for_link(active)
            accepted = False
            try:
                with active.record_attempt(link):
                    async with self._dispatch.send(link, call) as response:
                        accepted = True
                        yield response
                        return
            except (NotSent, NotExecuted) as exc:
                if accepted:
                    raise
                await self._avoid_link(active, link, exc, give_up_at)

    async def _wait_for_link(self, active: ActiveRequest) -> Link:
        """Return the link to send over; wait while the limits of all replicas are reached."""
        self._verdicts.check(active.content, active.ran)
        origin = active.origin
        service = origin.service if origin else active.route.service_for(active.req.split_key)
        versions = {origin.version} if origin else None
        waiting_since = self._timers.now() if active.may_have_run else active.req.arrived_at
        wait_until = min(active.expires_at, waiting_since + QUEUE_S)
        while True:
            if origin is not None and self._origins.is_doubtful(origin):
                raise Refusal(
                    Reason.STREAM_VERSION_UNKNOWN,
                    f'{origin.replica} runs another version than {origin.version} now',
                    ran=active.ran,
                    step=Step.ROUTE,
                )
            link = self._choose_link(active, service, versions)
            if link is not None:
                return link
            if not self._dispatch.is_limit_reached(service, self._allowed(active), versions):
                usable = self._dispatch.usable(service, self._allowed(active), versions)
                if usable and self._dispatch.links.own.down:
                    raise Refusal(
                        Reason.NO_LINK,
                        f'no link to a replica of {service}, nor a peer that has one',
                        ran=active.ran,
                        step=Step.ROUTE,
                        retry_after_ms=OTHER_ENTRY_RETRY_AFTER_MS,
                    )
                if origin is not None:
                    raise self.version_gone(active)
                raise Refusal(
                    Reason.NO_REPLICA,
                    service,
                    ran=active.ran,
                    step=Step.ROUTE,
                    retry_after_ms=RETRY_AFTER_MS,
                )
            await self._dispatch.limits.wait_for_token(
                service, active.rank, active.req.arrived_at, wait_until, active.ran
            )

    def _allowed(self, active: ActiveRequest) -> set[str] | None:
        """Return the replicas that a request may still be sent to, None for all."""
        return active.tried if len(active.tried) >= active.route.max_attempts else None

    def _choose_link(
        self, active: ActiveRequest, service: str, versions: Set[str] | None
    ) -> Link | None:
        """Return a link to a replica, of one of the versions if given.

        New streams prefer versions that are listed.
        """
        only = self._allowed(active)
        preferred = versions
        if preferred is None and active.route.kind is RouteKind.STREAM:
            preferred = self._version_lists.to_prefer(service)
        link = self._dispatch.choose_link(service, active.req, active.avoid, only, preferred)
        if link is None and versions is None and preferred is not None:
            link = self._dispatch.choose_link(service, active.req, active.avoid, only)
        if link is not None or self._dispatch.is_limit_reached(service, only, versions):
            return link
        if only is not None:
            left = {r.ident for r in self._dispatch.usable(service, only, versions)}
            left -= active.gone()
            if left:  # they are full; that is no reason to run the request on more replicas
                active.avoid -= left
                return self._dispatch.choose_link(service, active.req, active.avoid, left, versions)
            active.tried.clear()
            link = self._dispatch.choose_link(service, active.req, active.avoid, None, versions)
        if link is None and active.avoid:
            active.avoid.clear()
            link = self._dispatch.choose_link(service, active.req, active.avoid, None, versions)
        return link

    async def _avoid_link(
        self, active: ActiveRequest, link: Link, exc: NotSent | NotExecuted, give_up_at: float
    ) -> None:
        """Avoid a link over which the request was not run; raise Refusal if time is up.

        The replica itself is not avoided for the failure of a peer or of this entry's links.
        """
        now = self._timers.now()
        replica = link.replica
        wrong = isinstance(exc, NotExecuted) and exc.wrong_replica
        reason = RetryReason.CONNECT_FAILED
        if isinstance(exc, NotExecuted):
            reason = RetryReason.WRONG_REPLICA if wrong else RetryReason.REPLICA_BUSY
        self._metrics.retried(reason)
        links_fail = reason is RetryReason.CONNECT_FAILED and self._dispatch.links.own.down
        if isinstance(exc, NotRelayed) and exc.refusal is RelayRefusal.REPLICA_UNREACHED:
            links_fail = False
        if not links_fail:
            active.avoid.add(replica.ident)
            if reason is not RetryReason.REPLICA_BUSY:
                active.unreached[replica.ident] += GONE_AFTER if wrong else 1
        log.info(
            'not_taken',
            request=active.req.ident,
            replica=replica.ident,
            peer=link.peer,
            reason=reason.value,
            error=str(exc),
        )
        if now + FULL_RETRY_DELAY_S > give_up_at:
            raise Refusal(
                Reason.REPLICAS_FULL,
                f'no replica of {replica.record.service} accepted the request',
                ran=active.ran,
                step=Step.SEND,
                peer=replica.ident,
                retry_after_ms=RETRY_AFTER_MS,
            )
        if reason is RetryReason.REPLICA_BUSY or (links_fail and not isinstance(exc, NotRelayed)):
            await self._timers.sleep(FULL_RETRY_DELAY_S)

    async def check_resend(self, active: ActiveRequest, exc: OutcomeUnknown) -> None:
        """Raise Refusal unless the request may be sent again.

        It may go to the same replica again, or to another one within the route's
        `max_attempts` or when none of those tried before is left.
        """
        produced = len(active.events) > active.events_before_send
        ended = isinstance(exc, ReplicaEnded)
        if active.link.own or ended:
            self._crash_watch.record_break(active.replica, active.content, produced, ended)
        if active.route.repeatable and not produced and active.link.own:
            ended = await self._dispatch.links.is_down(active.replica)
        if ended:
            active.crashes += not produced
            active.unreached[active.replica.ident] += GONE_AFTER
        may_resend = active.sends < MAX_SENDS and active.crashes < MAX_CRASHES
        if active.route.repeatable and may_resend:
            log.info(
                'sent_again',
                request=active.req.ident,
                replica=active.replica.ident,
                peer=active.link.peer,
                version=active.replica.record.version,
                events=len(active.events),
                error=str(exc),
            )
            self._metrics.retried(RetryReason.ANSWER_LOST)
            return
        raise Refusal(
            Reason.BACKEND_FAILED,
            str(exc),
            ran=ExecutionStatus.UNKNOWN,
            step=Step.SEND,
            peer=exc.peer,
        ) from exc

    async def read_body(self, active: ActiveRequest, response: ReplicaResponse) -> bytes:
        """Return a whole body; raise OutcomeUnknown if it is cut off or has no end."""
        peer = active.replica.ident
        try:
            async with self.received.hold() as held:
                return await join_chunks(held.count(response.chunks()), MAX_BODY_BYTES, peer)
        except TooManyBytes as exc:
            raise OutcomeUnknown(str(exc), step='stream', peer=peer) from exc

    def version_gone(self, active: ActiveRequest) -> Refusal:
        """Return the refusal of a stream whose version no replica serves any more."""
        origin = active.origin
        return Refusal(
            Reason.STREAM_VERSION_GONE,
            f'the stream began at {origin.service} {origin.version}, which no replica serves now',
            ran=active.ran,
            step=Step.ROUTE,
        )


def replica_call(active: ActiveRequest, body: bytes) -> ReplicaCall:
    """Return the call for a request, which goes on after the events that have come."""
    resume_after = active.req.resume_after
    if active.events:
        resume_after = active.events[-1].ident
    return ReplicaCall(
        active.req,
        body,
        active.expires_at,
        resume_after=resume_after,
        same_run=active.origin is not None,
        repeatable=active.route.repeatable,
    )
