"""Relayed requests to replicas over grpclib, client and server side."""

import asyncio
from collections import Counter
from contextlib import aclosing, asynccontextmanager

from google.protobuf.message import DecodeError
from grpclib.client import Channel
from grpclib.client import Stream as ClientStream
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError
from grpclib.server import Stream
from h2.exceptions import ProtocolError as H2ProtocolError
from h2.exceptions import StreamClosedError

from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.received_bytes import ReceivedBytes

from . import serving_grpc
from .channels import RPC_ERRORS, ChannelPool, ReceiveWindows
from .replica_relay_codec import decode_message, decode_reply, encode_message, encode_reply
from .replica_relay_interfaces import (
    MalformedRelayMessage,
    RelayOffer,
    RelayReply,
    RelayRequest,
    RelayStream,
    ReplicaRelayHandler,
    ReplicaRelayTransport,
)

MAX_STREAMS_PER_CHANNEL = 90  # a server closes a connection with more than 100
STREAM_WINDOW_BYTES = 131_072  # unread on one stream; callers read slower than replicas send
# A stream whose caller does not read must leave room for all others on its channel.
RECEIVE_WINDOWS = ReceiveWindows(
    channel_bytes=MAX_STREAMS_PER_CHANNEL * STREAM_WINDOW_BYTES, stream_bytes=STREAM_WINDOW_BYTES
)
RESET_TIMEOUT_S = 0.1  # to tell an origin that this process is being closed
# grpclib asserts that a message is whole, so that a stream cut within one raises AssertionError.
_STREAM_ERRORS = (*RPC_ERRORS, ProtocolError, H2ProtocolError, DecodeError, AssertionError)


class _StreamLeft(Exception):
    """Makes grpclib reset a stream instead of waiting for its end."""


class GrpcRelayStream(RelayStream):
    """A relayed request on a gRPC stream."""

    def __init__(self, stream: ClientStream, address: str, relays: 'GrpcReplicaRelays') -> None:
        """`stream` is open, and nothing has been sent on it."""
        self._stream = stream
        self._address = address
        self._relays = relays
        self._answered = False

    async def send(self, message: RelayOffer | RelayRequest) -> None:
        """Send a message; raise OutcomeUnknown if the stream has ended."""
        encoded = encode_message(message)
        try:
            await self._stream.send_message(encoded, end=isinstance(message, RelayRequest))
        except _STREAM_ERRORS as exc:
            raise self._failure(repr(exc)) from exc

    async def receive(self) -> RelayReply:
        """Return the peer's next message; raise NotSent or OutcomeUnknown if none comes."""
        try:
            message = await self._stream.recv_message()
            if message is None:
                await self._stream.recv_trailing_metadata()  # raises the error that ended it
        except _STREAM_ERRORS as exc:
            unknown = isinstance(exc, GRPCError) and exc.status is Status.UNIMPLEMENTED
            if unknown and not self._answered:
                raise NotSent(repr(exc), step='relay', peer=self._address) from exc
            raise self._failure(repr(exc)) from exc
        if message is None:
            raise self._failure('the peer ended the stream')
        self._answered = True
        try:
            return decode_reply(message)
        except MalformedRelayMessage as exc:
            raise self._failure(repr(exc)) from exc

    def avoid_channel(self) -> None:
        """Use another channel for later streams to the peer."""
        self._relays.retire(self._address, self._stream._channel)

    def _failure(self, detail: str) -> OutcomeUnknown:
        return OutcomeUnknown(detail, step='relay', peer=self._address)


class GrpcReplicaRelays(ReplicaRelayTransport):
    """Opens streams to peers over gRPC, many on one channel.

    A failing stream leaves the others on its channel alone; only the end of the connection
    ends them.
    """

    def __init__(self, received: ReceivedBytes | None = None) -> None:
        """Create a pool of channels that carry only relayed requests; see ChannelPool."""
        self._channels = ChannelPool(windows=RECEIVE_WINDOWS, received=received)
        self._streams: Counter[Channel] = Counter()

    @asynccontextmanager
    async def open(self, address: str, timeout_s: float):
        """Open a stream to the peer at an address; raise NotSent if it cannot be reached."""
        channel = await self._channels.open(address, timeout_s)
        while self._streams[channel] >= MAX_STREAMS_PER_CHANNEL:  # others opened meanwhile
            self.retire(address, channel)
            channel = await self._channels.open(address, timeout_s)
        self._streams[channel] += 1
        try:
            async with serving_grpc.ReplicaRelayStub(channel).Send.open() as stream:
                yield GrpcRelayStream(stream, address, self)
                raise _StreamLeft
        except _StreamLeft:
            return
        finally:
            self._streams[channel] -= 1
            self._close_unused(address, channel)

    def retire(self, address: str, channel: Channel) -> None:
        """Use a new channel for later streams; this one is closed when its last stream ends."""
        self._channels.retire(address, channel)
        self._close_unused(address, channel)

    def close(self) -> None:
        """Close all channels; relayed requests in progress break off."""
        self._channels.close()
        for channel in self._streams:
            channel.close()

    def _close_unused(self, address: str, channel: Channel) -> None:
        if self._streams[channel]:
            return
        del self._streams[channel]
        if not self._channels.holds(address, channel):
            channel.close()


class ReplicaRelayServicer(serving_grpc.ReplicaRelayBase):
    """Serves relayed requests."""

    def __init__(self, handler: ReplicaRelayHandler) -> None:
        self._handler = handler

    async def Send(self, stream: Stream) -> None:  # noqa: N802 - generated name
        """Serve one relayed request."""
        try:
            await self._serve(stream)
        except (MalformedRelayMessage, DecodeError) as exc:
            raise GRPCError(Status.INVALID_ARGUMENT, str(exc)) from exc
        except StreamClosedError:
            return  # the origin has left, and the handler has recorded that
        except asyncio.CancelledError:
            await _reset(stream)
            raise

    async def _serve(self, stream: Stream) -> None:
        async def receive_request() -> RelayRequest | None:
            message = await stream.recv_message()
            if message is None:
                return None
            request = decode_message(message)
            if not isinstance(request, RelayRequest):
                raise MalformedRelayMessage('a second offer')
            return request

        first = await stream.recv_message()
        if first is None:
            raise MalformedRelayMessage('no offer')
        offer = decode_message(first)
        if not isinstance(offer, RelayOffer):
            raise MalformedRelayMessage('a request without an offer')
        async with aclosing(self._handler.relay(offer, _host(stream), receive_request)) as replies:
            async for reply in replies:
                await stream.send_message(encode_reply(reply))


def _host(stream: Stream) -> str:
    address = stream.peer.addr()
    return address[0] if address else ''


async def _reset(stream: Stream) -> None:
    """Tell the origin that this process gives its request up, unless the origin has left."""
    try:
        async with asyncio.timeout(RESET_TIMEOUT_S):
            await stream.cancel()
    except (TimeoutError, H2ProtocolError, ProtocolError):
        return
