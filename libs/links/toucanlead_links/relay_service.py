"""Sends requests to replicas for other entries: the side of the entry that reaches replicas."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, aclosing

import structlog

from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.timers import Timers
from toucanlead_peer.replica_relay_interfaces import (
    MAX_CHUNK_BYTES,
    MalformedRelayMessage,
    ReceiveRequest,
    RelayChunk,
    RelayEnd,
    RelayFailed,
    RelayHead,
    RelayNotExecuted,
    RelayOffer,
    RelayReady,
    RelayRefused,
    RelayReply,
    RelayRequest,
    ReplicaRelayHandler,
)
from toucanlead_replicas.registry import REMOVAL_GRACE_S, Registry, Replica
from toucanlead_replicas.replica_client import NotExecuted, ReplicaResponse
from toucanlead_replicas.request import CallerReq, ReplicaCall

from .relay import RelayRefusal
from .relay_admission import RelayAdmission

log = structlog.get_logger()

REQUEST_WAIT_S = 1.0  # from ready until the request has come, for a short body
MIN_BODY_BYTES_PER_S = 1_048_576  # a longer body gets more time
DEADLINE_MARGIN_S = 1.0  # the origin ends the request at its deadline, unless it is cut off

MAX_LOGGED_CHARS = 200

DirectSend = Callable[[Replica, ReplicaCall], AbstractAsyncContextManager[ReplicaResponse]]


class RelayService(ReplicaRelayHandler):
    """Serves offers of other entries over this entry's own links; it never relays again."""

    def __init__(
        self,
        send: DirectSend,
        is_down: Callable[[Replica], Awaitable[bool]],
        registry: Registry,
        admission: RelayAdmission,
        timers: Timers,
        cut_off: Callable[[], bool],
        suggested_peer: Callable[[], str],
        accepts: Callable[[float], bool],
    ) -> None:
        """Create the service.

        `send` sends directly and keeps this entry's records, `is_down` returns whether a
        replica has ended. `cut_off` returns whether this
        entry's own links seem down, `suggested_peer` the address of an entry that may serve
        instead, or empty. `accepts` returns whether a request that ends at a loop time is
        accepted; it is not during the last part of a planned stop.
        """
        self._send = send
        self._is_down = is_down
        self._registry = registry
        self._admission = admission
        self._timers = timers
        self._cut_off = cut_off
        self._suggested_peer = suggested_peer
        self._accepts = accepts
        self._idle = asyncio.Event()
        self._idle.set()
        self.in_progress = 0

    async def finished(self) -> None:
        """Wait until no request that was taken is in progress."""
        await self._idle.wait()

    async def relay(
        self, offer: RelayOffer, origin: str, receive_request: ReceiveRequest
    ) -> AsyncGenerator[RelayReply, None]:
        """Yield the replies to an offer; see ReplicaRelayHandler."""
        deadline_at = self._timers.now() + offer.remaining_s
        refused = self._refusal(offer, deadline_at)
        place = None if refused else self._admission.take(offer.body_bytes)
        if place is None:
            refused = refused or self._refuse(RelayRefusal.BUSY, self._load())
            _log_outcome(offer, origin, refused)
            yield refused
            return
        self.in_progress += 1
        self._idle.clear()
        reply: RelayReply | None = None
        try:
            async with aclosing(self._serve(offer, deadline_at, receive_request)) as replies:
                async for reply in replies:
                    yield reply
        finally:
            self._admission.give_back(place)
            self.in_progress -= 1
            if not self.in_progress:
                self._idle.set()
            _log_outcome(offer, origin, reply)

    async def _serve(
        self, offer: RelayOffer, deadline_at: float, receive_request: ReceiveRequest
    ) -> AsyncGenerator[RelayReply, None]:
        yield RelayReady()
        wait_s = REQUEST_WAIT_S + offer.body_bytes / MIN_BODY_BYTES_PER_S
        try:
            async with asyncio.timeout(wait_s):
                request = await receive_request()
        except TimeoutError:
            yield self._refuse(RelayRefusal.NO_ANSWER, 'the request did not come in time')
            return
        if request is None:
            return
        if len(request.body) != offer.body_bytes:
            raise MalformedRelayMessage(f'{len(request.body)} bytes, not {offer.body_bytes}')
        # The replica may have begun to leave, or the deadline passed, since the offer came.
        replica = self._replica(offer)
        if replica is None:
            yield self._refuse(RelayRefusal.UNKNOWN_REPLICA, offer.replica)
            return
        if self._timers.now() >= deadline_at:
            yield self._refuse(RelayRefusal.NO_ANSWER, 'deadline has passed')
            return
        call = self._call(offer, request, deadline_at)
        async with aclosing(self._pass_on(replica, call)) as replies:
            async for reply in replies:
                yield reply

    async def _pass_on(
        self, replica: Replica, call: ReplicaCall
    ) -> AsyncGenerator[RelayReply, None]:
        """Send a call, and yield the head, the body and how it ended."""
        has_head = False
        try:
            async with (
                asyncio.timeout_at(call.deadline_at + DEADLINE_MARGIN_S),
                self._send(replica, call) as response,
            ):
                has_head = True
                head = response.head
                yield RelayHead(
                    head.status,
                    head.headers,
                    head.streamed,
                    response.rate_limit_per_s,
                    response.leaving,
                )
                async for data in response.chunks():
                    for start in range(0, len(data), MAX_CHUNK_BYTES):
                        yield RelayChunk(data[start : start + MAX_CHUNK_BYTES])
            last: RelayReply = RelayEnd()
        except NotExecuted as exc:
            last = RelayNotExecuted(
                exc.detail, exc.wrong_replica, exc.rate_limit_per_s, exc.leaving
            )
        except NotSent as exc:
            last = RelayFailed(exc.detail, 'stream') if has_head else self._unreached(exc)
        except OutcomeUnknown as exc:
            ended = await self._is_down(replica)
            last = RelayFailed(exc.detail, getattr(exc.step, 'value', exc.step), ended)
        except TimeoutError:
            last = RelayFailed('deadline has passed', 'stream')
        yield last

    def _refusal(self, offer: RelayOffer, deadline_at: float) -> RelayRefused | None:
        """Return why an offer is refused, None if it may be taken when there is room."""
        if not self._accepts(deadline_at):
            return self._refuse(RelayRefusal.STOPPING, '')
        if self._replica(offer) is None:
            return self._refuse(RelayRefusal.UNKNOWN_REPLICA, offer.replica)
        if self._cut_off():
            return self._refuse(RelayRefusal.CUT_OFF, '')
        return None

    def _replica(self, offer: RelayOffer) -> Replica | None:
        """Return the replica of an offer if it may receive new requests."""
        replica = self._registry.replicas.get(offer.replica)
        if replica is None or replica.leaving or replica.record.service != offer.service:
            return None
        started_ms = replica.record.started_ms
        if started_ms and offer.started_ms and started_ms != offer.started_ms:
            return None
        removed_at = replica.removed_at
        if removed_at is not None and self._timers.now() - removed_at > REMOVAL_GRACE_S:
            return None
        return replica

    def _call(self, offer: RelayOffer, request: RelayRequest, deadline_at: float) -> ReplicaCall:
        req = CallerReq(
            offer.request,
            request.method,
            request.host,
            request.target,
            request.headers,
            request.body,
            self._timers.now(),
            deadline_at,
        )
        return ReplicaCall(
            req,
            request.body,
            deadline_at,
            request.priority,
            request.resume_after,
            offer.same_run,
            offer.repeatable,
        )

    def _unreached(self, exc: NotSent) -> RelayRefused:
        refusal = RelayRefusal.CUT_OFF if self._cut_off() else RelayRefusal.REPLICA_UNREACHED
        return self._refuse(refusal, exc.detail)

    def _refuse(self, refusal: RelayRefusal, detail: str) -> RelayRefused:
        return RelayRefused(refusal.value, detail, self._suggested_peer())

    def _load(self) -> str:
        admission = self._admission
        return (
            f'{admission.requests} relayed, {admission.own_in_progress()} own, '
            f'{admission.body_bytes} bytes'
        )


def _log_outcome(offer: RelayOffer, origin: str, reply: RelayReply | None) -> None:
    """Log what became of an offer; `reply` is the last one, None if the origin left at once."""
    match reply:
        case RelayRefused(reason, detail):
            outcome = reason
        case RelayNotExecuted(detail) | RelayFailed(detail):
            outcome = 'not_executed' if isinstance(reply, RelayNotExecuted) else 'failed'
        case RelayEnd():
            outcome, detail = 'answered', ''
        case _:
            outcome, detail = 'broken_off', type(reply).__name__
    log.info(
        'request_relayed',
        request=offer.request,
        replica=offer.replica,
        origin=origin,
        outcome=outcome,
        detail=detail[:MAX_LOGGED_CHARS],
    )
