"""Encoding of the messages for relayed requests to replicas as protobuf messages."""

import math
from collections.abc import Iterable

from toucanlead_core.http_status import is_final_status

from . import serving_pb2
from .replica_relay_interfaces import (
    HeaderPairs,
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
)


def encode_message(message: RelayOffer | RelayRequest) -> serving_pb2.RelaySendMessage:
    """Encode a message of the origin; raise MalformedRelayMessage if that is impossible."""
    try:
        if isinstance(message, RelayOffer):
            return serving_pb2.RelaySendMessage(offer=_encode_offer(message))
        return serving_pb2.RelaySendMessage(request=_encode_request(message))
    except ValueError as exc:
        raise MalformedRelayMessage(str(exc)) from exc


def decode_message(message: serving_pb2.RelaySendMessage) -> RelayOffer | RelayRequest:
    """Decode a message of the origin; raise MalformedRelayMessage."""
    match message.WhichOneof('kind'):
        case 'offer':
            return _decode_offer(message.offer)
        case 'request':
            return _decode_request(message.request)
        case kind:
            raise MalformedRelayMessage(f'message of kind {kind}')


def encode_reply(reply: RelayReply) -> serving_pb2.RelaySendReply:
    """Encode a message of the peer."""
    match reply:
        case RelayChunk():
            return serving_pb2.RelaySendReply(chunk=reply.data)
        case RelayReady():
            return serving_pb2.RelaySendReply(ready=serving_pb2.ReplicaRelayReady())
        case RelayEnd():
            return serving_pb2.RelaySendReply(end=serving_pb2.ReplicaRelayEnd())
        case RelayHead():
            head = serving_pb2.ReplicaRelayHead(
                status=reply.status,
                headers=_encode_headers(reply.headers),
                streamed=reply.streamed,
                rate_limit_per_s=reply.rate_limit_per_s,
                leaving=reply.leaving,
            )
            return serving_pb2.RelaySendReply(head=head)
        case RelayRefused():
            refused = serving_pb2.ReplicaRelayRefused(
                reason=reply.reason,
                detail=_printable(reply.detail),
                suggested_peer=reply.suggested_peer,
            )
            return serving_pb2.RelaySendReply(refused=refused)
        case RelayNotExecuted():
            not_executed = serving_pb2.ReplicaRelayNotExecuted(
                wrong_replica=reply.wrong_replica,
                rate_limit_per_s=reply.rate_limit_per_s,
                leaving=reply.leaving,
                detail=_printable(reply.detail),
            )
            return serving_pb2.RelaySendReply(not_executed=not_executed)
        case RelayFailed():
            failed = serving_pb2.ReplicaRelayFailed(
                detail=_printable(reply.detail),
                step=reply.step,
                replica_ended=reply.replica_ended,
            )
            return serving_pb2.RelaySendReply(failed=failed)


def decode_reply(message: serving_pb2.RelaySendReply) -> RelayReply:
    """Decode a message of the peer; raise MalformedRelayMessage."""
    match message.WhichOneof('kind'):
        case 'chunk':
            return RelayChunk(message.chunk)
        case 'ready':
            return RelayReady()
        case 'end':
            return RelayEnd()
        case 'head':
            return _decode_head(message.head)
        case 'refused':
            refused = message.refused
            return RelayRefused(refused.reason, refused.detail, refused.suggested_peer)
        case 'not_executed':
            item = message.not_executed
            return RelayNotExecuted(
                item.detail, item.wrong_replica, _decode_limit(item), item.leaving
            )
        case 'failed':
            failed = message.failed
            return RelayFailed(failed.detail, failed.step, failed.replica_ended)
        case kind:
            raise MalformedRelayMessage(f'reply of kind {kind}')


def _encode_offer(offer: RelayOffer) -> serving_pb2.ReplicaRelayOffer:
    return serving_pb2.ReplicaRelayOffer(
        request=_to_wire(offer.request),
        replica=offer.replica,
        service=offer.service,
        started_ms=offer.started_ms,
        body_bytes=offer.body_bytes,
        remaining_ms=int(1e3 * offer.remaining_s),
        same_run=offer.same_run,
        repeatable=offer.repeatable,
    )


def _decode_offer(offer: serving_pb2.ReplicaRelayOffer) -> RelayOffer:
    if not offer.replica or not offer.service:
        raise MalformedRelayMessage('offer without a replica')
    if offer.body_bytes < 0 or offer.started_ms < 0:
        raise MalformedRelayMessage(f'offer of {offer.body_bytes} bytes for {offer.started_ms}')
    return RelayOffer(
        _from_wire(offer.request),
        offer.replica,
        offer.service,
        offer.started_ms,
        offer.body_bytes,
        offer.remaining_ms / 1e3,
        offer.same_run,
        offer.repeatable,
    )


def _encode_request(request: RelayRequest) -> serving_pb2.ReplicaRelayRequest:
    resume_after = request.resume_after
    return serving_pb2.ReplicaRelayRequest(
        method=request.method,
        target=_to_wire(request.target),
        host=_to_wire(request.host),
        headers=_encode_headers(request.headers),
        body=request.body,
        priority=request.priority,
        resume_after=None if resume_after is None else _to_wire(resume_after),
    )


def _decode_request(request: serving_pb2.ReplicaRelayRequest) -> RelayRequest:
    if not request.method or not request.target:
        raise MalformedRelayMessage('request without a method or target')
    return RelayRequest(
        request.method,
        _from_wire(request.target),
        _from_wire(request.host),
        _decode_headers(request.headers),
        request.body,
        request.priority if request.HasField('priority') else None,
        _from_wire(request.resume_after) if request.HasField('resume_after') else None,
    )


def _decode_head(head: serving_pb2.ReplicaRelayHead) -> RelayHead:
    if not is_final_status(head.status):
        raise MalformedRelayMessage(f'status {head.status}')
    return RelayHead(
        head.status, _decode_headers(head.headers), head.streamed, _decode_limit(head), head.leaving
    )


def _decode_limit(
    message: serving_pb2.ReplicaRelayHead | serving_pb2.ReplicaRelayNotExecuted,
) -> float | None:
    if not message.HasField('rate_limit_per_s'):
        return None
    limit = message.rate_limit_per_s
    if not math.isfinite(limit) or limit < 0:
        raise MalformedRelayMessage(f'rate limit {limit}')
    return limit


def _encode_headers(headers: HeaderPairs) -> list[serving_pb2.ReplicaRelayHeader]:
    return [
        serving_pb2.ReplicaRelayHeader(name=_to_wire(name), value=_to_wire(value))
        for name, value in headers
    ]


def _decode_headers(headers: Iterable[serving_pb2.ReplicaRelayHeader]) -> HeaderPairs:
    return tuple((_from_wire(header.name), _from_wire(header.value)) for header in headers)


def _to_wire(text: str) -> bytes:
    return text.encode('utf-8', 'surrogateescape')


def _from_wire(data: bytes) -> str:
    return data.decode('utf-8', 'surrogateescape')


def _printable(text: str) -> str:
    """Replace what protobuf cannot hold; text of a replica may contain any bytes."""
    return text.encode('utf-8', 'replace').decode('utf-8')
