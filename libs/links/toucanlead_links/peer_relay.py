"""Sends requests to replicas through peers: the side of the entry that has the caller."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager

from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.timers import Timers
from toucanlead_peer.replica_relay_interfaces import (
    MalformedRelayMessage,
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
    RelayStream,
    ReplicaRelayTransport,
)
from toucanlead_replicas.registry import Replica
from toucanlead_replicas.replica_client import NotExecuted, ReplicaEnded, ReplicaResponse
from toucanlead_replicas.request import ReplicaCall, ReplicaResponseHead

from .relay import NotRelayed, RelayRefusal, ReplicaRelay

SAME_REGION_READY_TIMEOUT_S = 0.25  # to connect, and as long again until the peer is ready
CROSS_REGION_READY_TIMEOUT_S = 0.45  # several round trips between regions more
MAX_EARLY_BODY_BYTES = 65_536  # a longer body is sent only to a peer that is ready


class PeerRelay(ReplicaRelay):
    """Sends requests through peers.

    A peer gets an offer first, and the request when it is ready. Until then it is certain that
    nothing was passed on. A short request that may be repeated is sent with the offer.
    """

    def __init__(
        self,
        transport: ReplicaRelayTransport,
        timers: Timers,
        same_region: Callable[[str], bool],
    ) -> None:
        """`same_region` returns whether the peer at an address is in this entry's region."""
        self._transport = transport
        self._timers = timers
        self._same_region = same_region

    @asynccontextmanager
    async def send(self, peer: str, replica: Replica, call: ReplicaCall):
        """Have a peer send a call, and yield the replica's response.

        Raises NotSent, and asks no peer, if the deadline has passed or the call cannot be
        encoded; the other errors are those of ReplicaRelay.
        """
        timeout_s = (
            SAME_REGION_READY_TIMEOUT_S if self._same_region(peer) else CROSS_REGION_READY_TIMEOUT_S
        )
        async with AsyncExitStack() as stack:
            try:
                stream = await stack.enter_async_context(self._transport.open(peer, timeout_s))
            except NotSent as exc:
                raise NotRelayed(RelayRefusal.UNREACHABLE, exc.detail, peer=peer) from exc
            remaining_s = call.deadline_at - self._timers.now()
            if remaining_s <= 0:
                raise NotSent('deadline has passed', step='relay', peer=replica.ident)
            head = await _Exchange(stream, peer, replica, call).head(remaining_s, timeout_s)
            yield RelayedResponse(head, stream, replica)


class RelayedResponse(ReplicaResponse):
    """A replica's response that arrives through a peer."""

    def __init__(self, head: RelayHead, stream: RelayStream, replica: Replica) -> None:
        """`stream` has the body, which is still to come."""
        self._head = ReplicaResponseHead(head.status, head.headers, head.streamed)
        self._rate_limit_per_s = head.rate_limit_per_s
        self._leaving = head.leaving
        self._stream = stream
        self._replica = replica.ident

    @property
    def head(self) -> ReplicaResponseHead:
        """Return the status and the end-to-end headers."""
        return self._head

    @property
    def rate_limit_per_s(self) -> float | None:
        """Return the rate limit that the replica names."""
        return self._rate_limit_per_s

    @property
    def leaving(self) -> bool:
        """Return whether the replica says that it leaves."""
        return self._leaving

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise OutcomeUnknown if it ends early."""
        while True:
            match await self._stream.receive():
                case RelayChunk(data):
                    yield data
                case RelayEnd():
                    return
                case RelayFailed() as failed:
                    raise _failure(failed, self._replica)
                case reply:
                    raise _out_of_order(reply, self._replica)


class _Exchange:
    """The messages of one relayed request up to the head of the response."""

    def __init__(self, stream: RelayStream, peer: str, replica: Replica, call: ReplicaCall) -> None:
        self._stream = stream
        self._peer = peer
        self._replica = replica
        self._call = call
        self._request_sent = False

    async def head(self, remaining_s: float, ready_timeout_s: float) -> RelayHead:
        """Offer the call, send it, and return the head of the replica's response."""
        try:
            await self._become_ready(remaining_s, ready_timeout_s)
            if not self._request_sent:
                await self._send_request()
        except MalformedRelayMessage as exc:
            raise NotSent(str(exc), step='relay', peer=self._replica.ident) from exc
        match await self._stream.receive():
            case RelayHead() as head:
                return head
            case RelayRefused() as refused:
                raise self._not_relayed(refused)
            case RelayNotExecuted() as item:
                raise NotExecuted(
                    item.detail,
                    peer=self._replica.ident,
                    wrong_replica=item.wrong_replica,
                    rate_limit_per_s=item.rate_limit_per_s,
                    leaving=item.leaving,
                )
            case RelayFailed() as failed:
                raise _failure(failed, self._replica.ident)
            case reply:
                raise _out_of_order(reply, self._peer)

    async def _become_ready(self, remaining_s: float, timeout_s: float) -> None:
        """Send the offer and wait until the peer is ready."""
        call, record = self._call, self._replica.record
        offer = RelayOffer(
            call.req.ident,
            record.ident,
            record.service,
            record.started_ms,
            len(call.body),
            remaining_s,
            call.same_run,
            call.repeatable,
        )
        early = call.repeatable and len(call.body) <= MAX_EARLY_BODY_BYTES
        try:
            async with asyncio.timeout(timeout_s):
                await self._stream.send(offer)
                if early:
                    await self._send_request()
                reply = await self._stream.receive()
        except TimeoutError as exc:
            self._stream.avoid_channel()
            if self._request_sent:
                raise OutcomeUnknown('not ready in time', step='relay', peer=self._peer) from exc
            raise NotRelayed(RelayRefusal.NO_ANSWER, 'not in time', peer=self._peer) from exc
        except NotSent as exc:
            raise NotRelayed(RelayRefusal.UNREACHABLE, exc.detail, peer=self._peer) from exc
        except OutcomeUnknown as exc:
            if self._request_sent:
                raise
            raise NotRelayed(RelayRefusal.UNREACHABLE, exc.detail, peer=self._peer) from exc
        if isinstance(reply, RelayRefused):
            raise self._not_relayed(reply)
        if not isinstance(reply, RelayReady):
            raise _out_of_order(reply, self._peer)

    async def _send_request(self) -> None:
        call, req = self._call, self._call.req
        request = RelayRequest(
            req.method,
            req.target,
            req.host,
            req.headers,
            call.body,
            call.priority,
            call.resume_after,
        )
        self._request_sent = True
        await self._stream.send(request)

    def _not_relayed(self, refused: RelayRefused) -> NotRelayed:
        try:
            refusal, detail = RelayRefusal(refused.reason), refused.detail
        except ValueError:  # of a later version
            refusal, detail = RelayRefusal.NO_ANSWER, f'{refused.reason}: {refused.detail}'
        return NotRelayed(refusal, detail, peer=self._peer, suggested_peer=refused.suggested_peer)


def _failure(failed: RelayFailed, replica: str) -> OutcomeUnknown:
    kind = ReplicaEnded if failed.replica_ended else OutcomeUnknown
    return kind(failed.detail, step=failed.step, peer=replica)


def _out_of_order(reply: RelayReply, peer: str) -> OutcomeUnknown:
    return OutcomeUnknown(f'unexpected {type(reply).__name__}', step='relay', peer=peer)
